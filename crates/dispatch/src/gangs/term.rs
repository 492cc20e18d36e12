//! Terms of a planner: the take-over, the adoption of gangs of earlier terms, and the term's end.

use model::prelude::*;

use super::calls::{CallQueue, QueuedCommand, Subject};
use super::found::{EndedMembers, FoundGang, FoundKey};
use super::gang::{Gang, Phase, StopCause};
use super::take_over::{Contact, TakeOver};
use super::{GangConfig, GangOutput, Gangs, StartId};
use crate::call::Unreachable;

impl Gangs {
    /// Begins a term by querying the inventory of every worker.
    ///
    /// Has to be called again after [`GangOutput::OldTerm`] if membership still names this node as
    /// the planner.
    pub fn take_over(&mut self, now_ms: u64, workers: &[WorkerName]) {
        let earlier = self.remove_gangs();
        self.workers = workers.len();
        self.term = None;
        self.take_over = Some(TakeOver::new(
            now_ms,
            workers,
            earlier,
            self.config.call_timeout_ms,
        ));
        for worker in workers {
            let worker = worker.clone();
            self.outputs.push_back(GangOutput::AskInventory { worker });
        }
        self.continue_take_over(now_ms);
        self.flush(now_ms);
    }

    /// Handles the answer of a worker to [`GangOutput::AskInventory`].
    pub fn on_inventory(
        &mut self,
        now_ms: u64,
        worker: &WorkerName,
        inventory: Result<Inventory, Unreachable>,
    ) {
        self.detect_own_pause(now_ms);
        let Some(take_over) = self.take_over.as_mut() else {
            return;
        };
        let retry_ms = now_ms + self.config.backoff_ms_max;
        let unreachable = Contact::Unreachable { retry_ms };
        match (take_over.contacts.get(worker).copied(), inventory) {
            (Some(Contact::TermQueried { .. }), Ok(inventory)) => {
                self.highest = self.highest.max(inventory.highest_term);
                take_over.set(worker, Contact::TermReported);
            }
            (Some(Contact::LeasesQueried { queried_ms }), Ok(inventory)) => {
                take_over.set(worker, Contact::Done);
                let found = &mut take_over.found;
                found.merge(queried_ms, now_ms, worker, inventory);
            }
            (
                Some(Contact::TermQueried { .. } | Contact::LeasesQueried { .. }),
                Err(Unreachable),
            ) => {
                take_over.set(worker, unreachable);
            }
            _ => return,
        }
        self.continue_take_over(now_ms);
        self.flush(now_ms);
    }

    /// Handles the result of the command that raises the term of a worker.
    pub(super) fn on_term_raised(&mut self, now_ms: u64, worker: &WorkerName, confirmed: bool) {
        let retry_ms = now_ms + self.config.backoff_ms_max;
        let Some(take_over) = self.take_over.as_mut() else {
            return;
        };
        if take_over.contacts.get(worker) != Some(&Contact::RaisingTerm) {
            return;
        }
        if confirmed {
            take_over.set(worker, Contact::LeasesQueried { queried_ms: now_ms });
            let worker = worker.clone();
            self.outputs.push_back(GangOutput::AskInventory { worker });
        } else {
            take_over.set(worker, Contact::Unreachable { retry_ms });
        }
        self.continue_take_over(now_ms);
    }

    /// Steps down because a worker has seen a higher term.
    pub(super) fn on_old_term(&mut self, highest: PlannerTerm) {
        self.highest = self.highest.max(highest);
        self.remove_gangs();
        self.take_over = None;
        self.term = None;
        self.outputs.push_back(GangOutput::OldTerm { highest });
    }

    /// Handles the deadlines of a take-over that are due at `now_ms`.
    pub(super) fn tick_take_over(&mut self, now_ms: u64) {
        let Some(take_over) = self.take_over.as_mut() else {
            return;
        };
        let retry_ms = now_ms + self.config.backoff_ms_max;
        for (worker, contact) in take_over.due(now_ms) {
            if matches!(contact, Contact::Unreachable { .. }) {
                take_over.set(&worker, Contact::TermQueried { queried_ms: now_ms });
                self.outputs.push_back(GangOutput::AskInventory { worker });
            } else {
                take_over.set(&worker, Contact::Unreachable { retry_ms });
            }
        }
        self.continue_take_over(now_ms);
    }

    fn continue_take_over(&mut self, now_ms: u64) {
        self.choose_term();
        self.raise_terms();
        self.adopt_complete(now_ms);
        self.finish_take_over(now_ms);
        self.stop_incomplete(now_ms);
        self.report_settled(now_ms);
    }

    fn choose_term(&mut self) {
        let Some(take_over) = &self.take_over else {
            return;
        };
        if self.term.is_none() && take_over.may_choose_term() {
            let term = PlannerTerm {
                number: self.highest.number + 1,
                salt: self.salt,
            };
            self.highest = term;
            self.term = Some(term);
            self.next_start = 1;
        }
    }

    /// Raises the term of the workers that have answered the first query.
    fn raise_terms(&mut self) {
        let (Some(take_over), Some(term)) = (self.take_over.as_mut(), self.term) else {
            return;
        };
        for worker in take_over.take_term_reported() {
            take_over.set(&worker, Contact::RaisingTerm);
            queue_term_raise(&mut self.calls, &self.config, &worker, term);
        }
    }

    /// Adopts complete gangs, once a majority of the workers refuses all earlier planners.
    fn adopt_complete(&mut self, now_ms: u64) {
        let Some(take_over) = self.take_over.as_mut().filter(|t| t.has_majority()) else {
            return;
        };
        for (key, complete) in take_over.found.take_all_complete() {
            self.adopt(now_ms, key, complete, 0);
        }
    }

    /// Adopts a gang that was found: renews it if it is complete, stops it otherwise.
    fn adopt(
        &mut self,
        now_ms: u64,
        key: FoundKey,
        found: FoundGang,
        missing_may_run_until_ms: u64,
    ) {
        let run_ms = found.run_ms();
        let mut gang = found.into_gang(&key);
        gang.missing_may_run_until_ms = missing_may_run_until_ms;
        self.restore_stop_decision(now_ms, &mut gang);
        let idle = gang.phase == Phase::Stopping && !gang.released;
        gang.reported |= idle;
        if self.by_job.contains_key(&gang.job) {
            gang.reported = true;
            gang.begin_stop(now_ms, StopCause::Lost(None), 0);
        }
        if !gang.reported {
            self.outputs.push_back(build_adoption_output(&gang, run_ms));
        }
        if gang.phase == Phase::Stopping {
            let grace_ms = match gang.cause {
                Some(StopCause::Requested) => self.config.grant_ms(),
                _ => 0,
            };
            gang.phase = Phase::Running;
            gang.begin_stop(now_ms, StopCause::Lost(None), grace_ms);
        }
        let job = gang.job.clone();
        let key = self.insert(gang);
        self.drive(now_ms, key);
        let stops = self.take_over.as_mut().map(|t| &mut t.stops);
        if let Some(grace_ms) = stops.and_then(|s| s.remove(&job)) {
            self.stop(now_ms, &job, grace_ms);
        }
    }

    /// Restores an earlier decision of this planner to stop the gang.
    fn restore_stop_decision(&mut self, now_ms: u64, gang: &mut Gang) {
        let Some(take_over) = self.take_over.as_mut() else {
            return;
        };
        let same = |earlier: &Gang| earlier.job == gang.job && earlier.start == gang.start;
        let Some(at) = take_over.earlier.iter().position(same) else {
            return;
        };
        let earlier = take_over.earlier.swap_remove(at);
        gang.reported = earlier.reported;
        if earlier.phase == Phase::Stopping {
            gang.released |= earlier.released;
            gang.cause = earlier.cause;
            gang.begin_stop(now_ms, StopCause::Requested, 0);
        }
    }

    /// Returns whether a majority of the workers has accepted a call of this term sent at
    /// `since_ms` or later.
    ///
    /// A take-over needs a majority as well, so no other planner had completed one before
    /// `since_ms`.
    pub(super) fn has_majority_since(&self, since_ms: u64) -> bool {
        let accepted = self.accepted.values().filter(|at_ms| **at_ms >= since_ms);
        2 * accepted.count() > self.workers
    }

    /// Sends a command without effect to the workers that have accepted no call since `since_ms`.
    pub(super) fn query_stale_workers(&mut self, since_ms: u64) {
        let Some(term) = self.term else {
            return;
        };
        let stale = self.accepted.iter().filter(|(_, at_ms)| **at_ms < since_ms);
        let workers: Vec<WorkerName> = stale.map(|(worker, _)| worker.clone()).collect();
        for worker in workers {
            if !self.calls.is_busy(&worker) {
                queue_term_raise(&mut self.calls, &self.config, &worker, term);
            }
        }
    }

    fn finish_take_over(&mut self, now_ms: u64) {
        let Some(take_over) = self.take_over.as_mut() else {
            return;
        };
        if self.term.is_none() || !take_over.is_done() || take_over.done_ms.is_some() {
            return;
        }
        take_over.done_ms = Some(now_ms);
        self.stop_incomplete(now_ms);
        self.outputs.push_back(GangOutput::TakeOverDone);
    }

    /// Stops incomplete gangs: at once if every worker has answered, otherwise as soon as one of
    /// their leases may have expired.
    fn stop_incomplete(&mut self, now_ms: u64) {
        let Some(take_over) = self.take_over.as_mut() else {
            return;
        };
        let Some(done_ms) = take_over.done_ms else {
            return;
        };
        let all_answered = !take_over.has_unreported();
        let missing_may_run_until_ms = if all_answered {
            0
        } else {
            done_ms + self.config.lease_ms
        };
        for (key, in_force_until_ms) in take_over.found.incomplete() {
            if !all_answered && now_ms < in_force_until_ms {
                continue;
            }
            let found = self.take_over.as_mut().map(|t| &mut t.found);
            if let Some(partial) = found.and_then(|f| f.take(&key)) {
                self.adopt(now_ms, key, partial, missing_may_run_until_ms);
            }
        }
    }

    /// Reports jobs of which only ended tasks were found.
    fn report_ended(&mut self) {
        let Some(take_over) = self.take_over.as_mut() else {
            return;
        };
        for ((job, _), members) in take_over.found.take_ended() {
            let live = take_over.found.has_job(&job) || self.by_job.contains_key(&job);
            if !live {
                self.outputs.extend(find_ended_outcome(job, &members));
            }
        }
    }

    fn report_settled(&mut self, now_ms: u64) {
        let Some(take_over) = &self.take_over else {
            return;
        };
        let Some(done_ms) = take_over.done_ms else {
            return;
        };
        let expired = now_ms >= done_ms + self.config.lease_ms;
        let open = !take_over.found.incomplete().is_empty();
        if open || (take_over.has_unreported() && !expired) {
            return;
        }
        self.report_ended();
        let Some(take_over) = self.take_over.take() else {
            return;
        };
        for job in take_over.stops.into_keys() {
            self.outputs.push_back(GangOutput::Stopped {
                job,
                checkpoint_permille: 0,
            });
        }
        self.outputs.push_back(GangOutput::Settled);
    }
}

/// Queues a renewal of a lease that does not exist, which has no effect other than raising the
/// worker's term.
fn queue_term_raise(
    calls: &mut CallQueue,
    config: &GangConfig,
    worker: &WorkerName,
    term: PlannerTerm,
) {
    let lease = StartId::new(term, 0).lease(0);
    let duration_ms = config.grant_ms();
    let op = LeaseOp::Renew { duration_ms };
    let command = LeaseCommand { lease, term, op };
    let subject = Subject::Term;
    calls.queue(worker, QueuedCommand { subject, command });
}

fn build_adoption_output(gang: &Gang, run_ms: u64) -> GangOutput {
    let job = gang.job.clone();
    let spec = gang.spec.clone();
    let members = gang.placement();
    if gang.phase == Phase::Stopping {
        return GangOutput::Partial { job, spec, members };
    }
    GangOutput::Adopted {
        job,
        spec,
        members,
        run_ms,
    }
}

/// Returns the outcome of a start whose tasks have all ended; `None` if the job has to run again.
fn find_ended_outcome(job: JobId, members: &EndedMembers) -> Option<GangOutput> {
    let failed = members
        .values()
        .find(|(_, task)| task.end == TaskEnd::Failed);
    if let Some((worker, _)) = failed {
        let worker = worker.clone();
        return Some(GangOutput::Failed { job, worker });
    }
    let finished = |(_, task): &(WorkerName, EndedTask)| task.end == TaskEnd::Finished;
    let members_finished = members.len() as u32;
    members
        .values()
        .all(finished)
        .then_some(GangOutput::FoundFinished {
            job,
            members: members_finished,
        })
}
