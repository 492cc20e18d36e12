//! Read access to the state of placement: rows for tables and for the status of jobs.

use model::prelude::*;

use crate::engine::Placement;
use crate::event::PlacedMember;
use crate::job::{Job, Phase};
use crate::topology::WorkerState;

/// State of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRow<'a> {
    /// Identifier of the job.
    pub job: &'a JobId,
    /// The submission.
    pub spec: &'a JobSpec,
    /// State of the job.
    pub state: JobState,
    /// Accelerators that its members hold.
    pub members: Vec<PlacedMember>,
    /// Whether it runs within the guarantee of its organisation.
    pub is_guaranteed: bool,
    /// Total waiting time, in milliseconds.
    pub waited_ms: u64,
    /// Share of the work that the last checkpoint holds, in thousandths.
    pub checkpoint_permille: u32,
    /// Explanation of its state: what it needs, why it waits and when it is expected to start.
    pub why: String,
}

/// State of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerRow<'a> {
    /// Name of the worker.
    pub worker: &'a WorkerName,
    /// Rack of the worker.
    pub rack: &'a RackName,
    /// Position in the rack.
    pub position: u32,
    /// Health of the worker.
    pub state: WorkerState,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Number of accelerators that jobs hold.
    pub held: u32,
}

/// Guaranteed blocks of one organisation and level.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuaranteeRow<'a> {
    /// The organisation.
    pub organisation: &'a OrganisationName,
    /// Level of the blocks.
    pub level: Level,
    /// Number of declared blocks.
    pub declared: u32,
    /// Number of bound blocks.
    pub in_use: u32,
    /// Number of blocks that healthy workers do not cover.
    pub missing: u32,
    /// Number of accelerators that the organisation holds or has claimed, within and beyond its
    /// guarantees.
    pub held: u32,
}

/// State of an accelerator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceleratorRow<'a> {
    /// Worker of the accelerator.
    pub worker: &'a WorkerName,
    /// Index on the worker, from 0.
    pub index: u32,
    /// Job that holds it.
    pub holder: Option<&'a JobId>,
    /// Organisation of the job that holds it.
    pub organisation: Option<&'a OrganisationName>,
    /// Whether it is held within a guarantee.
    pub is_guaranteed: bool,
}

impl Placement {
    /// Returns all jobs, including ended ones that are not yet forgotten.
    pub fn jobs(&self) -> impl Iterator<Item = JobRow<'_>> {
        self.jobs.values().map(|job| self.job_row(job))
    }

    /// Returns the job with this identifier.
    pub fn job(&self, id: &JobId) -> Option<JobRow<'_>> {
        let key = *self.job_keys.get(id)?;
        self.jobs.get(key).map(|job| self.job_row(job))
    }

    /// Returns the submissions of the waiting jobs.
    pub fn waiting(&self) -> impl Iterator<Item = &JobSpec> {
        let jobs = self.jobs.values();
        let waiting = jobs.filter(|job| job.state() == JobState::Waiting);
        waiting.map(|job| &job.spec)
    }

    /// Returns all workers.
    pub fn workers(&self) -> impl Iterator<Item = WorkerRow<'_>> {
        self.topology.workers().map(|(key, worker)| {
            let rack = self.topology.rack(key.rack());
            let all = key.mask(AcceleratorMask(u8::MAX));
            WorkerRow {
                worker: &worker.spec.name,
                rack: &worker.spec.rack,
                position: worker.spec.position,
                state: worker.state,
                accelerators: worker.spec.accelerators,
                held: (rack.used & all).count_ones(),
            }
        })
    }

    /// Returns all guarantees that are declared or still in use.
    pub fn guarantees(&self) -> impl Iterator<Item = GuaranteeRow<'_>> {
        self.registry.organisations.iter().flat_map(|organisation| {
            let levels = Level::ALL.into_iter();
            let rows = levels.map(move |level| GuaranteeRow {
                organisation: &organisation.name,
                level,
                declared: organisation.guaranteed[level as usize],
                in_use: organisation.bound[level as usize],
                missing: organisation.missing[level as usize],
                held: organisation.held,
            });
            rows.filter(|row| row.declared > 0 || row.in_use > 0)
        })
    }

    /// Returns all accelerators.
    pub fn accelerators(&self) -> impl Iterator<Item = AcceleratorRow<'_>> {
        self.topology.workers().flat_map(move |(key, worker)| {
            (0..worker.spec.accelerators.min(ACCELERATORS_PER_WORKER)).map(move |index| {
                let rack = self.topology.rack(key.rack());
                let bit = key.position() * ACCELERATORS_PER_WORKER + index;
                let is_used = rack.used & 1 << bit != 0;
                let holder = is_used.then(|| rack.holders[bit as usize]);
                let job = holder.and_then(|holder| self.jobs.get(holder));
                AcceleratorRow {
                    worker: &worker.spec.name,
                    index,
                    holder: job.map(|job| &job.id),
                    organisation: job.map(|job| &job.spec.organisation),
                    is_guaranteed: rack.used_guaranteed & 1 << bit != 0,
                }
            })
        })
    }

    fn job_row<'a>(&'a self, job: &'a Job) -> JobRow<'a> {
        let waits = matches!(job.phase, Phase::Waiting { .. } | Phase::Claiming);
        let present_ms = if waits {
            self.now_ms.saturating_sub(job.waiting_since_ms)
        } else {
            0
        };
        JobRow {
            job: &job.id,
            spec: &job.spec,
            state: job.state(),
            members: self.placed_members(job),
            is_guaranteed: job.is_guaranteed(),
            waited_ms: job.waited_ms + present_ms,
            checkpoint_permille: job.checkpoint_permille,
            why: self.explain(job),
        }
    }

    /// Explains the state of a job: what it needs, why it waits and when it is expected to start.
    fn explain(&self, job: &Job) -> String {
        let needs = describe_need(job);
        match job.phase {
            Phase::Waiting { not_before_ms } if not_before_ms > self.now_ms => {
                let delay_ms = not_before_ms - self.now_ms;
                let failures = job.failures;
                format!("needs {needs}; tried again in {delay_ms} ms after {failures} failures")
            }
            Phase::Waiting { .. } => format!("needs {needs}; {}", self.explain_wait(job)),
            Phase::Claiming => {
                format!("needs {needs}; claims its guarantee, other work on it is stopping")
            }
            Phase::Starting => "leases are being taken".to_owned(),
            Phase::Running if job.is_guaranteed() => "runs within the guarantee".to_owned(),
            Phase::Running => "runs beyond the guarantee and may be stopped".to_owned(),
            Phase::Stopping { why, .. } => format!("is being stopped: {why:?}"),
            Phase::Ended { state, .. } => format!("has ended: {state}"),
        }
    }

    fn explain_wait(&self, job: &Job) -> String {
        let organisation = self.registry.organisation(job.organisation);
        if !self.is_within_quota(job.organisation, job.need.accelerators()) {
            let (held, quota) = (organisation.held, organisation.quota_accelerators);
            return format!("its organisation holds {held} of its quota of {quota}");
        }
        let open = self.topology.open_count;
        let mut reservations = self.reservations.iter();
        let reservation = reservations.find(|reservation| self.jobs[reservation.job].id == job.id);
        match reservation {
            Some(reservation) => {
                let delay_ms = reservation.start_ms.saturating_sub(self.now_ms);
                format!("{open} are open, its place is expected to be free in {delay_ms} ms")
            }
            None => format!("{open} are open but not where it needs them, or others are before it"),
        }
    }
}

fn describe_need(job: &Job) -> String {
    let gang = job.spec.gang;
    let (members, each) = (gang.members(), gang.accelerators_per_member());
    let adjacency = gang.adjacency();
    format!("{members} times {each} accelerators in one {adjacency}")
}
