//! The planner of a data centre: combines placement, gangs and job records in one state machine.
//!
//! It takes events, replies and the time, and returns the calls to make.

mod outcome;
mod take_over;

use std::collections::{BTreeMap, BTreeSet};

use dispatch::call::{CallFailure, CallId, Unreachable};
use dispatch::gangs::{GangConfig, Gangs};
use model::prelude::*;
use placement::{Decision, Event, PlacedMember, Placement, PlacementConfig, WorkerSpec};

use crate::declared::Snapshot;
use crate::jobs::record::{JOBS_MAX, JobRecord, JobRecords, Stamp};
use crate::jobs::status::JobStatus;

/// A side effect that the caller of the planner carries out.
#[derive(Debug)]
pub(in crate::jobs) enum Effect {
    /// Send lease commands to a worker.
    Leases {
        /// Identifier of the call.
        call: CallId,
        /// The worker.
        worker: WorkerName,
        /// The commands, in order.
        commands: Vec<LeaseCommand>,
    },
    /// Request the inventory of a worker.
    Inventory {
        /// The worker.
        worker: WorkerName,
    },
    /// Count an event.
    Count(&'static str),
}

/// Read access for the console.
pub(crate) struct PlannerView<'a> {
    /// Placement of the data centre.
    pub(crate) placement: &'a Placement,
    /// Records of all jobs.
    pub(crate) records: &'a JobRecords,
}

/// State of the planner of one data centre.
pub(in crate::jobs) struct Planner {
    data_centre: DataCentreName,
    placement: Placement,
    gangs: Gangs,
    /// Records of all jobs that are known.
    pub(in crate::jobs) records: JobRecords,
    /// Jobs whose records have changed since the last call of [`Planner::take_changed`].
    changed: BTreeSet<JobId>,
    /// Jobs whose record, in its current or an earlier state, is in the store.
    durable: BTreeSet<JobId>,
    /// Jobs of earlier terms that may still run on a worker that could not be queried.
    unreconciled: BTreeMap<JobId, JobSpec>,
    /// Refusals of placement that were not yet returned to the submission.
    refusals: BTreeMap<JobId, (RefusalReason, String)>,
    changes: u64,
    can_start: bool,
    is_reconciled: bool,
    began_at_ms: u64,
    has_stepped_down: bool,
    decisions: Vec<Decision>,
    effects: Vec<Effect>,
}

impl Planner {
    /// Creates a planner that begins its term by requesting the inventories of all workers.
    pub(in crate::jobs) fn new(
        now_ms: u64,
        node: NodeName,
        data_centre: DataCentreName,
        incarnation: Incarnation,
        workers: &[(WorkerSpec, bool)],
        snapshot: &Snapshot,
    ) -> Self {
        let seed = incarnation.0;
        let mut planner = Self {
            data_centre,
            placement: Placement::new(PlacementConfig::default(), seed),
            gangs: Gangs::new(GangConfig::default(), node, incarnation, seed),
            records: JobRecords::default(),
            changed: BTreeSet::new(),
            durable: BTreeSet::new(),
            unreconciled: BTreeMap::new(),
            refusals: BTreeMap::new(),
            changes: 0,
            can_start: false,
            is_reconciled: false,
            began_at_ms: now_ms,
            has_stepped_down: false,
            decisions: Vec::new(),
            effects: Vec::new(),
        };
        planner.declare(now_ms, snapshot);
        for (worker, is_open) in workers {
            planner.apply(now_ms, Event::WorkerJoined(worker.clone()));
            if !is_open {
                planner.apply(
                    now_ms,
                    Event::WorkerLeaving {
                        name: worker.name.clone(),
                    },
                );
            }
        }
        let names: Vec<_> = workers
            .iter()
            .map(|(worker, _)| worker.name.clone())
            .collect();
        planner.gangs.take_over(now_ms, &names);
        planner.process_outputs(now_ms);
        planner
    }

    /// Returns whether a worker has reported a higher term, so that another node leads now.
    pub(in crate::jobs) const fn has_stepped_down(&self) -> bool {
        self.has_stepped_down
    }

    /// Returns whether every worker was queried, so that jobs can be started.
    pub(in crate::jobs) const fn can_start(&self) -> bool {
        self.can_start
    }

    /// Applies a revision of the declarations.
    pub(in crate::jobs) fn declare(&mut self, now_ms: u64, snapshot: &Snapshot) {
        let declared = Event::Declared {
            data_centre: self.data_centre.clone(),
            organisations: snapshot.set.organisations.values().cloned().collect(),
            classes: snapshot.set.classes.values().cloned().collect(),
        };
        self.apply(now_ms, declared);
    }

    /// Passes an event to placement.
    pub(in crate::jobs) fn apply(&mut self, now_ms: u64, event: Event) {
        self.placement.apply(now_ms, event, &mut self.decisions);
    }

    /// Accepts a job; a known job is left unchanged.
    ///
    /// # Errors
    ///
    /// Placement refuses the job, or the data centre already has [`JOBS_MAX`] job records.
    pub(in crate::jobs) fn submit(
        &mut self,
        now_ms: u64,
        job: &JobId,
        spec: &JobSpec,
    ) -> Result<(), Refused> {
        if self.records.get(job).is_none() {
            if self.records.len() >= JOBS_MAX {
                let detail = "the data centre holds too many jobs";
                return Err(crate::http::refuse(RefusalReason::QueueFull, detail));
            }
            self.write_record(now_ms, job, spec, JobState::Waiting, String::new());
            let submitted = Event::Submitted {
                job: job.clone(),
                spec: spec.clone(),
            };
            self.apply(now_ms, submitted);
            self.process_outputs(now_ms);
        }
        match self.refusals.remove(job) {
            Some((reason, detail)) => {
                self.records.remove(job);
                self.changed.remove(job);
                Err(crate::http::refuse(reason, detail))
            }
            None => Ok(()),
        }
    }

    /// Cancels a job; returns whether it is known.
    pub(in crate::jobs) fn cancel(&mut self, now_ms: u64, job: &JobId) -> bool {
        if self.records.get(job).is_none() {
            return false;
        }
        if let Some(spec) = self.unreconciled.remove(job) {
            self.submit_known(now_ms, job, spec);
        }
        self.apply(now_ms, Event::Cancelled { job: job.clone() });
        self.end_if_final(now_ms, job);
        self.process_outputs(now_ms);
        true
    }

    /// Advances the time: handles all timers that are due.
    pub(in crate::jobs) fn tick(&mut self, now_ms: u64) {
        self.resubmit_unreconciled(now_ms);
        self.placement.tick(now_ms, &mut self.decisions);
        self.gangs.tick(now_ms);
        let expired = self.records.expire(now_ms);
        for job in &expired {
            self.durable.remove(job);
        }
        self.changed.extend(expired);
        self.process_outputs(now_ms);
    }

    /// Returns the time of the next [`Planner::tick`], in milliseconds since the Unix epoch.
    pub(in crate::jobs) fn next_wake_ms(&self) -> Option<u64> {
        [self.placement.next_wake_ms(), self.gangs.next_wake_ms()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Handles the replies of a worker to lease commands.
    pub(in crate::jobs) fn on_replies(
        &mut self,
        now_ms: u64,
        worker: &WorkerName,
        call: CallId,
        replies: Result<Vec<LeaseReply>, CallFailure>,
    ) {
        self.gangs.on_replies(now_ms, worker, call, replies);
        self.process_outputs(now_ms);
    }

    /// Handles the inventory of a worker.
    pub(in crate::jobs) fn on_inventory(
        &mut self,
        now_ms: u64,
        worker: &WorkerName,
        inventory: Result<Inventory, Unreachable>,
    ) {
        self.gangs.on_inventory(now_ms, worker, inventory);
        self.process_outputs(now_ms);
    }

    /// Ends the term; leases stay as they are.
    pub(in crate::jobs) fn step_down(&mut self, now_ms: u64) {
        self.gangs.step_down(now_ms);
    }

    /// Removes and returns the effects to carry out.
    pub(in crate::jobs) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the records that have changed since the last call, without expired ones.
    pub(in crate::jobs) fn take_changed(&mut self) -> Vec<JobRecord> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .iter()
            .filter_map(|job| self.records.get(job))
            .cloned()
            .collect()
    }

    /// Returns whether the store holds the record of a job, in its current or an earlier state.
    pub(in crate::jobs) fn is_durable(&self, job: &JobId) -> bool {
        self.durable.contains(job)
    }

    /// Records that the store holds the record of a job.
    pub(in crate::jobs) fn mark_durable(&mut self, job: JobId) {
        self.durable.insert(job);
    }

    /// Returns the status of a job.
    pub(in crate::jobs) fn status(&self, job: &JobId) -> Option<JobStatus> {
        let record = self.records.get(job)?;
        let durable = self.durable.contains(job);
        let mut status = status_of_record(record, durable);
        if record.state.is_final() {
            return Some(status);
        }
        if self.unreconciled.contains_key(job) {
            status.why = "a new planner asks the workers whether it runs".to_owned();
            return Some(status);
        }
        if let Some(row) = self.placement.job(job) {
            status.state = row.state;
            status.members = row.members.iter().map(member_view).collect();
            status.waited_ms = row.waited_ms;
            status.checkpoint_permille = row.checkpoint_permille;
            status.why = row.why;
        }
        Some(status)
    }

    /// Returns read access for the console.
    pub(in crate::jobs) const fn view(&self) -> PlannerView<'_> {
        PlannerView {
            placement: &self.placement,
            records: &self.records,
        }
    }

    /// Passes decisions of placement to the gangs and outputs of the gangs to placement until
    /// neither has any left.
    fn process_outputs(&mut self, now_ms: u64) {
        loop {
            for decision in std::mem::take(&mut self.decisions) {
                self.apply_decision(now_ms, decision);
            }
            match self.gangs.poll() {
                Some(output) => self.handle_gang_output(now_ms, output),
                None if self.decisions.is_empty() => return,
                None => {}
            }
        }
    }

    /// Updates the record of a known job with a state; `detail` says why the job ended and is empty
    /// before its end.
    fn update_record(&mut self, now_ms: u64, job: &JobId, state: JobState, detail: String) {
        let Some(spec) = self.records.get(job).map(|record| record.spec.clone()) else {
            return;
        };
        self.write_record(now_ms, job, &spec, state, detail);
    }

    /// Updates the record of a known job with a state that is not an end.
    fn update_state(&mut self, now_ms: u64, job: &JobId, state: JobState) {
        self.update_record(now_ms, job, state, String::new());
    }

    /// Merges a new version of a job's record, and marks the record as changed if the version was
    /// accepted.
    fn write_record(
        &mut self,
        now_ms: u64,
        job: &JobId,
        spec: &JobSpec,
        state: JobState,
        detail: String,
    ) {
        self.changes += 1;
        let term = self.gangs.term().map_or(0, |term| term.number);
        let record = JobRecord {
            job: job.clone(),
            spec: spec.clone(),
            state,
            checkpoint_permille: 0,
            detail,
            accepted_at_ms: self
                .records
                .get(job)
                .map_or(now_ms, |known| known.accepted_at_ms),
            changed_at_ms: now_ms,
            stamp: Stamp {
                term,
                change: self.changes,
            },
        };
        if self.records.merge(record) {
            self.changed.insert(job.clone());
        }
    }
}

/// Converts a record to a status.
pub(in crate::jobs) fn status_of_record(record: &JobRecord, durable: bool) -> JobStatus {
    JobStatus {
        job: record.job.clone(),
        organisation: record.spec.organisation.clone(),
        class: record.spec.class.clone(),
        state: record.state,
        members: Vec::new(),
        waited_ms: 0,
        checkpoint_permille: record.checkpoint_permille,
        durable,
        why: record.detail.clone(),
    }
}

/// Converts a member to the view that callers receive.
fn member_view(member: &PlacedMember) -> MemberView {
    MemberView {
        worker: member.worker.clone(),
        accelerators: member.accelerators.indices().collect(),
    }
}
