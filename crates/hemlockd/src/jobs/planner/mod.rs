//! The planner of a data centre: joins placement, gangs and records into one state.
//!
//! It takes messages and the time, and yields the calls that have to be made.

mod outcome;
mod take_over;

use std::collections::{BTreeMap, BTreeSet};

use dispatch::call::{CallFailure, CallId, Unreachable};
use dispatch::gangs::{GangConfig, Gangs};
use model::prelude::*;
use placement::{Decision, Event, PlacedMember, Placement, PlacementConfig, WorkerSpec};

use crate::declared::Snapshot;
use crate::jobs::book::{JOBS_MAX, JobBook, JobRecord, Stamp};
use crate::jobs::status::JobStatus;

/// A call that has to be made to a worker.
#[derive(Debug)]
pub(in crate::jobs) enum Effect {
    /// Apply lease commands.
    Leases {
        /// Identifier of the call.
        call: CallId,
        /// The worker.
        worker: WorkerName,
        /// The commands, in order.
        commands: Vec<LeaseCommand>,
    },
    /// Ask for the inventory.
    Inventory {
        /// The worker.
        worker: WorkerName,
    },
    /// Count an event.
    Count(&'static str),
}

/// What the console reads from a planner.
pub(crate) struct PlannerView<'a> {
    /// Placement of the data centre.
    pub(crate) placement: &'a Placement,
    /// Records of all jobs.
    pub(crate) records: &'a JobBook,
}

/// State of the planner of one data centre.
pub(in crate::jobs) struct Planner {
    data_centre: DataCentreName,
    placement: Placement,
    gangs: Gangs,
    /// Records of all jobs that are known.
    pub(in crate::jobs) book: JobBook,
    /// Jobs whose records have changed since they were last taken.
    changed: BTreeSet<JobId>,
    /// Jobs that the store holds, in their present or in an earlier state.
    durable: BTreeSet<JobId>,
    /// Jobs of earlier terms that may still run on a worker that could not be asked.
    unsettled: BTreeMap<JobId, JobSpec>,
    /// Refusals of placement that the submission has not seen yet.
    refusals: BTreeMap<JobId, (RefusalReason, String)>,
    changes: u64,
    can_start: bool,
    is_settled: bool,
    began_ms: u64,
    has_stepped_down: bool,
    decisions: Vec<Decision>,
    effects: Vec<Effect>,
}

impl Planner {
    /// A planner that begins its term by asking all workers.
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
            book: JobBook::default(),
            changed: BTreeSet::new(),
            durable: BTreeSet::new(),
            unsettled: BTreeMap::new(),
            refusals: BTreeMap::new(),
            changes: 0,
            can_start: false,
            is_settled: false,
            began_ms: now_ms,
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
        planner.settle(now_ms);
        planner
    }

    /// Whether another node plans now.
    pub(in crate::jobs) const fn has_stepped_down(&self) -> bool {
        self.has_stepped_down
    }

    /// Whether every worker was asked, so that jobs can be started.
    pub(in crate::jobs) const fn can_start(&self) -> bool {
        self.can_start
    }

    /// Puts a revision of the declarations in force.
    pub(in crate::jobs) fn declare(&mut self, now_ms: u64, snapshot: &Snapshot) {
        let declared = Event::Declared {
            data_centre: self.data_centre.clone(),
            organisations: snapshot.set.organisations.values().cloned().collect(),
            classes: snapshot.set.classes.values().cloned().collect(),
        };
        self.apply(now_ms, declared);
    }

    /// Tells placement about an event.
    pub(in crate::jobs) fn apply(&mut self, now_ms: u64, event: Event) {
        self.placement.apply(now_ms, event, &mut self.decisions);
    }

    /// Accepts a job; a job that is known already is left as it is.
    ///
    /// # Errors
    ///
    /// Why it is refused.
    pub(in crate::jobs) fn submit(
        &mut self,
        now_ms: u64,
        job: &JobId,
        spec: &JobSpec,
    ) -> Result<(), Refused> {
        if self.book.get(job).is_none() {
            if self.book.len() >= JOBS_MAX {
                let detail = "the data centre holds too many jobs";
                return Err(crate::http::refuse(RefusalReason::QueueFull, detail));
            }
            self.record(now_ms, job, spec, JobState::Waiting, String::new());
            let submitted = Event::Submitted {
                job: job.clone(),
                spec: spec.clone(),
            };
            self.apply(now_ms, submitted);
            self.settle(now_ms);
        }
        match self.refusals.remove(job) {
            Some((reason, detail)) => {
                self.book.remove(job);
                self.changed.remove(job);
                Err(crate::http::refuse(reason, detail))
            }
            None => Ok(()),
        }
    }

    /// Cancels a job; yields whether it is known.
    pub(in crate::jobs) fn cancel(&mut self, now_ms: u64, job: &JobId) -> bool {
        if self.book.get(job).is_none() {
            return false;
        }
        if let Some(spec) = self.unsettled.remove(job) {
            self.submit_known(now_ms, job, spec);
        }
        self.apply(now_ms, Event::Cancelled { job: job.clone() });
        self.end_if_final(now_ms, job);
        self.settle(now_ms);
        true
    }

    /// Handles the times that have passed.
    pub(in crate::jobs) fn tick(&mut self, now_ms: u64) {
        self.resubmit_unsettled(now_ms);
        self.placement.tick(now_ms, &mut self.decisions);
        self.gangs.tick(now_ms);
        let expired = self.book.expire(now_ms);
        for job in &expired {
            self.durable.remove(job);
        }
        self.changed.extend(expired);
        self.settle(now_ms);
    }

    /// Time of the next [`Planner::tick`].
    pub(in crate::jobs) fn next_wake_ms(&self) -> Option<u64> {
        [self.placement.next_wake_ms(), self.gangs.next_wake_ms()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Takes the replies of a worker to lease commands.
    pub(in crate::jobs) fn on_replies(
        &mut self,
        now_ms: u64,
        worker: &WorkerName,
        call: CallId,
        replies: Result<Vec<LeaseReply>, CallFailure>,
    ) {
        self.gangs.on_replies(now_ms, worker, call, replies);
        self.settle(now_ms);
    }

    /// Takes the inventory of a worker.
    pub(in crate::jobs) fn on_inventory(
        &mut self,
        now_ms: u64,
        worker: &WorkerName,
        inventory: Result<Inventory, Unreachable>,
    ) {
        self.gangs.on_inventory(now_ms, worker, inventory);
        self.settle(now_ms);
    }

    /// Stops planning; leases stay as they are.
    pub(in crate::jobs) fn step_down(&mut self, now_ms: u64) {
        self.gangs.step_down(now_ms);
    }

    /// Takes the calls that have to be made.
    pub(in crate::jobs) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes the records that have changed; expired ones are left out.
    pub(in crate::jobs) fn take_changed(&mut self) -> Vec<JobRecord> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .iter()
            .filter_map(|job| self.book.get(job))
            .cloned()
            .collect()
    }

    /// Whether the store holds the job, in its present or in an earlier state.
    pub(in crate::jobs) fn is_durable(&self, job: &JobId) -> bool {
        self.durable.contains(job)
    }

    /// Records that the store holds a job.
    pub(in crate::jobs) fn mark_durable(&mut self, job: JobId) {
        self.durable.insert(job);
    }

    /// What is known about a job.
    pub(in crate::jobs) fn status(&self, job: &JobId) -> Option<JobStatus> {
        let record = self.book.get(job)?;
        let durable = self.durable.contains(job);
        let mut status = status_of_record(record, durable);
        if record.state.is_final() {
            return Some(status);
        }
        if self.unsettled.contains_key(job) {
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

    /// The view for the console.
    pub(in crate::jobs) const fn view(&self) -> PlannerView<'_> {
        PlannerView {
            placement: &self.placement,
            records: &self.book,
        }
    }

    /// Hands decisions to the gangs and reports of the gangs to placement until both are quiet.
    fn settle(&mut self, now_ms: u64) {
        loop {
            for decision in std::mem::take(&mut self.decisions) {
                self.carry_out(now_ms, decision);
            }
            match self.gangs.poll() {
                Some(output) => self.take_output(now_ms, output),
                None if self.decisions.is_empty() => return,
                None => {}
            }
        }
    }

    /// Records that a job has ended.
    fn end(&mut self, now_ms: u64, job: &JobId, state: JobState, detail: String) {
        let Some(spec) = self.book.get(job).map(|record| record.spec.clone()) else {
            return;
        };
        self.record(now_ms, job, &spec, state, detail);
    }

    /// Records a change of a job that goes on.
    fn note(&mut self, now_ms: u64, job: &JobId, state: JobState) {
        self.end(now_ms, job, state, String::new());
    }

    /// Writes a record.
    fn record(
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
                .book
                .get(job)
                .map_or(now_ms, |known| known.accepted_at_ms),
            changed_at_ms: now_ms,
            stamp: Stamp {
                term,
                change: self.changes,
            },
        };
        if self.book.merge(record) {
            self.changed.insert(job.clone());
        }
    }
}

/// What a record tells about a job.
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

/// A member as callers see it.
fn member_view(member: &PlacedMember) -> MemberView {
    MemberView {
        worker: member.worker.clone(),
        accelerators: member.accelerators.indices().collect(),
    }
}
