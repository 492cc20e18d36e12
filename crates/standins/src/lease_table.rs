//! Leases of one worker: planner terms, lease states, expiry and the tasks of the leases.

use std::collections::{BTreeMap, VecDeque};

use model::prelude::*;

use crate::audit::{TaskEvent, TaskEventKind};
use crate::checkpoint::Checkpoints;
use crate::held_lease::{
    EndedLease, HeldLease, Stage, checkpoint, prepare, push_event, release, reply_current,
    reply_gone, reply_granted, reply_refused, throttle,
};

/// Largest numbers of ended tasks and of ended leases that a worker remembers.
const ENDED_MAX: usize = 1_024;

/// Time to save a checkpoint before a stop, in milliseconds.
const CHECKPOINT_MS: u64 = 200;

/// Leases of one worker.
#[derive(Debug)]
pub struct LeaseTable {
    accelerators: u32,
    highest_term: PlannerTerm,
    leaving: bool,
    fails_all: bool,
    paused: bool,
    held: BTreeMap<LeaseId, HeldLease>,
    ended_leases: BTreeMap<LeaseId, EndedLease>,
    ended_lease_order: VecDeque<LeaseId>,
    ended_tasks: VecDeque<EndedTask>,
    events: Vec<TaskEvent>,
}

impl LeaseTable {
    /// Creates the table of a worker with `accelerators` accelerators.
    pub fn new(accelerators: u32) -> Self {
        Self {
            accelerators,
            highest_term: PlannerTerm::default(),
            leaving: false,
            fails_all: false,
            paused: false,
            held: BTreeMap::new(),
            ended_leases: BTreeMap::new(),
            ended_lease_order: VecDeque::new(),
            ended_tasks: VecDeque::new(),
            events: Vec::new(),
        }
    }

    /// Sets whether new leases are refused.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Sets whether every task that starts fails.
    pub fn set_fails_all(&mut self, fails_all: bool) {
        self.fails_all = fails_all;
    }

    /// Pauses or resumes the worker. While it is paused, tasks make no progress; leases that are due
    /// meanwhile expire when it resumes.
    pub fn set_paused(&mut self, now_ms: u64, paused: bool, checkpoints: &mut Checkpoints) {
        self.advance(now_ms, checkpoints);
        if paused == self.paused {
            return;
        }
        self.paused = paused;
        for task in self.held.values_mut().filter_map(|h| h.stage.task_mut()) {
            if paused {
                task.accrue_progress(now_ms);
            } else {
                task.resume(now_ms);
            }
        }
        self.advance(now_ms, checkpoints);
    }

    /// Drops every lease and all that the worker remembers, as in a crash.
    pub fn crash(&mut self, now_ms: u64, checkpoints: &mut Checkpoints) {
        self.advance(now_ms, checkpoints);
        for (lease, held) in std::mem::take(&mut self.held) {
            if held.stage.task().is_some() {
                push_event(&mut self.events, now_ms, lease, &held, TaskEventKind::Lost);
            }
        }
        self.highest_term = PlannerTerm::default();
        self.ended_leases.clear();
        self.ended_lease_order.clear();
        self.ended_tasks.clear();
    }

    /// Removes and returns the task events since the last call.
    pub fn take_events(&mut self) -> Vec<TaskEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of accelerators under a lease.
    pub fn accelerators_used(&self) -> u32 {
        self.held.values().map(|h| h.accelerators.count()).sum()
    }

    /// Ends every lease and task that is due at `now_ms`; does nothing while the worker is paused.
    pub fn advance(&mut self, now_ms: u64, checkpoints: &mut Checkpoints) {
        if self.paused {
            return;
        }
        while let Some((at_ms, lease, end)) = self.next_to_end() {
            if at_ms > now_ms {
                return;
            }
            self.end(at_ms, lease, end, checkpoints);
        }
    }

    /// Finds the lease that ends next without a further command, with its time and outcome.
    fn next_to_end(&self) -> Option<(u64, LeaseId, TaskEnd)> {
        let ends = self.held.iter().map(|(&lease, held)| {
            let (at_ms, end) = held.next_outcome();
            (at_ms, lease, end)
        });
        ends.min_by_key(|(at_ms, lease, _)| (*at_ms, *lease))
    }

    /// Ends a lease and remembers the outcome of its task.
    ///
    /// If a checkpointable task ends by a stop, its progress is saved in a checkpoint.
    fn end(&mut self, at_ms: u64, lease: LeaseId, end: TaskEnd, checkpoints: &mut Checkpoints) {
        let Some(mut held) = self.held.remove(&lease) else {
            return;
        };
        let saves_checkpoint =
            held.spec.checkpointable && matches!(held.stage, Stage::Stopping { .. });
        if let (Some(task), TaskEnd::Stopped, true) = (held.stage.task(), end, saves_checkpoint) {
            held.checkpoint_permille = task.done_permille(at_ms);
            checkpoints.save(&held.job, held.member, held.checkpoint_permille);
        }
        let started = held.stage.task().is_some();
        if started {
            push_event(
                &mut self.events,
                at_ms,
                lease,
                &held,
                TaskEventKind::Ended(end),
            );
            self.remember_task(lease, &held, end);
        }
        if end == TaskEnd::Finished {
            checkpoints.forget(&held.job, held.member);
        }
        let ended = EndedLease {
            end: started.then_some(end),
            checkpoint_permille: held.checkpoint_permille,
        };
        self.remember_lease(lease, ended);
    }

    /// Adds an ended task to those that the inventory lists.
    fn remember_task(&mut self, lease: LeaseId, held: &HeldLease, end: TaskEnd) {
        if self.ended_tasks.len() >= ENDED_MAX {
            self.ended_tasks.pop_front();
        }
        self.ended_tasks.push_back(EndedTask {
            lease,
            job: held.job.clone(),
            member: held.member,
            end,
        });
    }

    /// Remembers an ended lease, so that a late command does not create it again.
    fn remember_lease(&mut self, lease: LeaseId, ended: EndedLease) {
        if self.ended_lease_order.len() >= ENDED_MAX
            && let Some(oldest) = self.ended_lease_order.pop_front()
        {
            self.ended_leases.remove(&oldest);
        }
        self.ended_leases.insert(lease, ended);
        self.ended_lease_order.push_back(lease);
    }

    /// Applies one command at `now_ms`; a command of an older planner term is refused.
    pub fn apply(
        &mut self,
        now_ms: u64,
        command: LeaseCommand,
        checkpoints: &mut Checkpoints,
    ) -> LeaseReply {
        self.advance(now_ms, checkpoints);
        if command.term < self.highest_term {
            let highest = self.highest_term;
            return reply_refused(LeaseRefusal::OldTerm { highest });
        }
        self.highest_term = command.term;
        let LeaseCommand { lease, op, .. } = command;
        if let Some(ended) = self.ended_leases.get(&lease) {
            return reply_gone(*ended);
        }
        let reply = self.apply_op(now_ms, lease, op, checkpoints);
        self.advance(now_ms, checkpoints);
        match self.ended_leases.get(&lease) {
            Some(ended) => reply_gone(*ended),
            None => reply,
        }
    }

    /// Applies one operation to a lease that has not ended.
    fn apply_op(
        &mut self,
        now_ms: u64,
        lease: LeaseId,
        op: LeaseOp,
        checkpoints: &mut Checkpoints,
    ) -> LeaseReply {
        if let LeaseOp::Reserve { .. } = op {
            return self.reserve(now_ms, lease, op, checkpoints);
        }
        let fails_all = self.fails_all;
        let Some(held) = self.held.get_mut(&lease) else {
            return reply_gone(EndedLease {
                end: None,
                checkpoint_permille: 0,
            });
        };
        match op {
            LeaseOp::Reserve { .. } => reply_refused(LeaseRefusal::WrongState),
            LeaseOp::Prepare => prepare(held),
            LeaseOp::Release => {
                let starts_task = matches!(held.stage, Stage::Prepared);
                let reply = release(now_ms, held, fails_all);
                if starts_task {
                    push_event(
                        &mut self.events,
                        now_ms,
                        lease,
                        held,
                        TaskEventKind::Started,
                    );
                }
                reply
            }
            LeaseOp::Renew { duration_ms } => {
                held.expires_ms = now_ms.saturating_add(duration_ms);
                reply_granted(held)
            }
            LeaseOp::Checkpoint => checkpoint(now_ms, held, checkpoints),
            LeaseOp::Throttle { percent } => throttle(now_ms, held, percent),
            LeaseOp::Stop { grace_ms } => self.stop(now_ms, lease, grace_ms, checkpoints),
            LeaseOp::Return => {
                self.end(now_ms, lease, TaskEnd::Stopped, checkpoints);
                reply_current(self.held.get(&lease), self.ended_leases.get(&lease))
            }
        }
    }

    /// Reserves accelerators for a new lease; a repeated command returns the existing lease.
    fn reserve(
        &mut self,
        now_ms: u64,
        lease: LeaseId,
        op: LeaseOp,
        checkpoints: &Checkpoints,
    ) -> LeaseReply {
        let LeaseOp::Reserve {
            job,
            member,
            members,
            accelerators,
            duration_ms,
            spec,
        } = op
        else {
            return reply_refused(LeaseRefusal::WrongState);
        };
        if let Some(held) = self.held.get(&lease) {
            return reply_granted(held);
        }
        if let Some(why) = self.find_refusal(accelerators) {
            return reply_refused(why);
        }
        let held = HeldLease {
            checkpoint_permille: checkpoints.get(&job, member),
            job,
            member,
            members,
            accelerators,
            expires_ms: now_ms.saturating_add(duration_ms),
            spec,
            stage: Stage::Reserved,
        };
        let reply = reply_granted(&held);
        self.held.insert(lease, held);
        reply
    }

    /// Returns the reason to refuse a reservation of accelerators, if any.
    fn find_refusal(&self, accelerators: AcceleratorMask) -> Option<LeaseRefusal> {
        let mut indices = accelerators.indices();
        if accelerators.count() == 0 || indices.any(|i| i >= self.accelerators) {
            return Some(LeaseRefusal::NoSuchAccelerator);
        }
        if self.leaving {
            return Some(LeaseRefusal::Leaving);
        }
        let mut held = self.held.values();
        held.any(|h| h.accelerators.overlaps(accelerators))
            .then_some(LeaseRefusal::AcceleratorHeld)
    }

    /// Stops a task after its grace; a lease without a task ends at once.
    ///
    /// A checkpointable task stops as soon as its checkpoint is saved, even if the grace is longer.
    /// A repeated stop can only bring the stop forward.
    fn stop(
        &mut self,
        now_ms: u64,
        lease: LeaseId,
        grace_ms: u64,
        checkpoints: &mut Checkpoints,
    ) -> LeaseReply {
        let Some(held) = self.held.get_mut(&lease) else {
            return reply_current(None, self.ended_leases.get(&lease));
        };
        let wait_ms = if held.spec.checkpointable {
            grace_ms.min(CHECKPOINT_MS)
        } else {
            grace_ms
        };
        let requested_stop_ms = now_ms.saturating_add(wait_ms);
        match std::mem::replace(&mut held.stage, Stage::Reserved) {
            Stage::Reserved | Stage::Prepared => {
                self.end(now_ms, lease, TaskEnd::Stopped, checkpoints);
            }
            Stage::Running(task) => {
                let stop_at_ms = requested_stop_ms;
                held.stage = Stage::Stopping { task, stop_at_ms };
            }
            Stage::Stopping { task, stop_at_ms } => {
                let stop_at_ms = stop_at_ms.min(requested_stop_ms);
                held.stage = Stage::Stopping { task, stop_at_ms };
            }
        }
        reply_current(self.held.get(&lease), self.ended_leases.get(&lease))
    }

    /// Returns the state that the worker reports to a planner.
    pub fn inventory(&self, now_ms: u64, boot: u64, slots: u32, connections_max: u32) -> Inventory {
        Inventory {
            boot,
            highest_term: self.highest_term,
            leaving: self.leaving,
            accelerators: self.accelerators,
            slots,
            connections_max,
            leases: self.lease_views(now_ms),
            ended: self.ended_tasks.iter().cloned().collect(),
        }
    }

    /// Reports of all leases that have not ended.
    fn lease_views(&self, now_ms: u64) -> Vec<LeaseView> {
        let views = self.held.iter().map(|(&lease, held)| LeaseView {
            lease,
            job: held.job.clone(),
            member: held.member,
            members: held.members,
            accelerators: held.accelerators,
            state: held.stage.state(),
            remaining_ms: held.expires_ms.saturating_sub(now_ms),
            run_ms: held
                .stage
                .task()
                .map_or(0, |task| now_ms.saturating_sub(task.started_ms)),
            checkpoint_permille: held.checkpoint_permille,
            spec: held.spec.clone(),
        });
        views.collect()
    }
}
