//! Decides which incarnation of a worker is alive.
//!
//! What runs on an incarnation is over only if that is certain: the worker itself no longer lists it, the worker itself
//! answers as a later incarnation, another worker itself answers at its address, or its lease must have expired. An entry
//! of the list, a refused or failed call, and an answer to an order prove nothing.

use std::collections::HashSet;

use crate::crashes::WorkerLoss;
use crate::group::{Phase, TaskKey};
use crate::planner::Planner;
use crate::task::TaskName;
use crate::worker::{RenewalReport, WorkerEntry, WorkerKey};

impl Planner {
    /// Returns whether a worker is still known.
    pub fn has_worker(&self, key: WorkerKey) -> bool {
        self.workers.contains_key(key)
    }

    /// Returns the listed properties of a worker, with the incarnation and address that it gave itself.
    pub fn entry(&self, key: WorkerKey) -> Option<&WorkerEntry> {
        self.workers.get(key).map(|w| &w.entry)
    }

    /// Returns where the list places a worker that does not answer at its own address, if that is elsewhere.
    pub fn proposed_address(&self, key: WorkerKey) -> Option<&str> {
        let worker = self.workers.get(key)?;
        let proposed = worker.proposed.as_ref()?.address.as_str();
        (worker.unresponsive && proposed != worker.entry.address).then_some(proposed)
    }

    /// Returns whether an answer comes from an earlier incarnation than the one that has answered since.
    pub(crate) fn is_outdated(&self, key: WorkerKey, report: &RenewalReport) -> bool {
        self.workers.get(key).is_some_and(|worker| {
            worker.fenced
                && report.sent_ms < worker.answered_ms
                && report
                    .born_unix_ms
                    .is_some_and(|born_unix_ms| born_unix_ms < worker.entry.born_unix_ms)
        })
    }

    /// Takes in which incarnation of a worker answered, and where.
    pub(crate) fn apply_incarnation(
        &mut self,
        key: WorkerKey,
        address: &str,
        report: &RenewalReport,
    ) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let born_unix_ms = report.born_unix_ms.unwrap_or(worker.entry.born_unix_ms);
        if born_unix_ms != worker.entry.born_unix_ms {
            match worker.is_confirmed {
                true => self.begin_incarnation(key, born_unix_ms, report),
                false => self.contradict_entry(key, born_unix_ms),
            }
        }
        let worker = &mut self.workers[key];
        if worker.entry.address != address {
            worker.entry.address = address.to_string();
        }
        if worker
            .proposed
            .as_ref()
            .is_some_and(|entry| entry.born_unix_ms == born_unix_ms && entry.address == address)
        {
            worker.proposed = None;
        }
        worker.is_confirmed = true;
        self.claim_address(key, report);
    }

    /// Notes that the entry of a worker that has not answered before names another incarnation than its answer.
    fn contradict_entry(&mut self, key: WorkerKey, born_unix_ms: u64) {
        let worker = &mut self.workers[key];
        worker.proposed = Some(worker.entry.clone());
        worker.entry.born_unix_ms = born_unix_ms;
        worker.listed = false;
    }

    /// Notes that a worker answered at its address. Whatever answered there before is over.
    fn claim_address(&mut self, key: WorkerKey, report: &RenewalReport) {
        let address = &self.workers[key].entry.address;
        let there = match self.by_address.get_mut(address) {
            Some(there) => there,
            None => self.by_address.entry(address.clone()).or_default(),
        };
        if !there.contains(&key) {
            there.push(key);
        }
        if there.len() == 1 {
            return;
        }
        let replaced: Vec<WorkerKey> = there
            .iter()
            .copied()
            .filter(|other| *other != key)
            .filter(|other| {
                self.workers
                    .get(*other)
                    .is_some_and(|w| !w.fenced || w.answered_ms <= report.sent_ms)
            })
            .collect();
        there.retain(|other| self.workers.contains_key(*other) && !replaced.contains(other));
        let id = self.workers[key].entry.id.clone();
        for other in replaced {
            // It may have moved since.
            if self.workers[other].entry.address == self.workers[key].entry.address {
                let why = format!("worker {id} answers at its address");
                self.remove_worker(other, &why, report.received_ms);
            }
        }
    }

    /// Replaces the incarnation of a worker by the one that answered under its id. What the earlier one ran is over. A
    /// start that may have reached the later one stays with it, until its own lists, or a stop, resolve it.
    fn begin_incarnation(&mut self, key: WorkerKey, born_unix_ms: u64, report: &RenewalReport) {
        let now_ms = report.received_ms;
        let named: HashSet<(TaskName, u32)> = report
            .running
            .iter()
            .map(|run| (run.task, run.run))
            .chain(
                report
                    .ended
                    .iter()
                    .filter_map(|end| Some((end.task?, end.run))),
            )
            .collect();
        let worker = &self.workers[key];
        let tasks: Vec<TaskKey> = worker.tasks.keys().copied().collect();
        let over: Vec<TaskKey> = tasks
            .iter()
            .copied()
            .filter(|task| !self.may_run_on_next(*task, &named, report))
            .collect();
        let why = format!(
            "{}; an incarnation born {born_unix_ms} answered; {} tasks were assigned to it, {} of them are over",
            worker.describe(now_ms),
            tasks.len(),
            over.len()
        );
        let loss = worker.loss();
        let evidence = format!(
            "it was started on the incarnation born {}, a later one answered",
            worker.entry.born_unix_ms
        );
        self.counts.restarted += 1;
        self.record_decision(None, "worker restarted", why);
        if let Some(loss) = loss {
            self.count_crashes(&over, key, loss);
        }
        let lease_ms = self.limits.lease_ms;
        self.workers[key].begin_incarnation(born_unix_ms, lease_ms, report);
        let rack = self.workers[key].entry.rack.clone();
        self.workers[key].rack = self.racks.key(&rack);
        for task in over {
            self.end_with_incarnation(task, key, &evidence, now_ms);
        }
        for task in tasks {
            self.mark_dirty(task.group.job);
        }
    }

    /// Returns whether a run that was assigned to an incarnation of a worker may run on the next one, which has answered
    /// with this report.
    fn may_run_on_next(
        &self,
        key: TaskKey,
        named: &HashSet<(TaskName, u32)>,
        report: &RenewalReport,
    ) -> bool {
        let (Some(job), Some(task)) = (self.jobs.get(key.group.job), self.task(key)) else {
            return false;
        };
        let name = job.task_name(key.group.group as usize, key.index as usize);
        if named.contains(&(name, task.run)) {
            return true;
        }
        // Its end may be among those that are not listed yet. A start in doubt has to be stopped there in any case.
        let may_have_ended = !report.ends_complete && !task.is_listed && !task.start_in_doubt;
        match task.phase {
            Phase::Assigned(_) => false,
            _ if may_have_ended => true,
            Phase::Starting { unanswered, .. } => !unanswered,
            Phase::Running { confirmed_ms, .. } => {
                !task.is_listed && report.sent_ms <= confirmed_ms
            }
            _ => false,
        }
    }

    /// Ends a run whose incarnation of the worker is over. One whose start got no answer may still be started on the
    /// next incarnation, until that one has taken a stop of it.
    fn end_with_incarnation(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        evidence: &str,
        now_ms: u64,
    ) {
        let Some(task) = self.task(key) else {
            return;
        };
        match task.phase {
            Phase::Assigned(_) => self.release_task(key, Phase::Waiting, now_ms),
            Phase::Starting { .. } | Phase::Running { .. } | Phase::Stopping { .. }
                if task.start_in_doubt =>
            {
                self.push_stop(key, worker, false, now_ms);
            }
            _ => self.lose_task(key, evidence, now_ms),
        }
    }

    /// Removes a worker on which nothing runs any more.
    pub(crate) fn remove_worker(&mut self, key: WorkerKey, why: &str, now_ms: u64) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let loss = worker.loss();
        let tasks: Vec<TaskKey> = worker.tasks.keys().copied().collect();
        let gone = format!(
            "{}: {why}; {} tasks were assigned to it",
            worker.describe(now_ms),
            tasks.len()
        );
        self.record_decision(None, "worker gone", gone);
        if let Some(loss) = loss {
            self.count_crashes(&tasks, key, loss);
        }
        for task in tasks {
            match self.task(task).map(|t| t.phase) {
                Some(Phase::Assigned(_)) => self.release_task(task, Phase::Waiting, now_ms),
                _ => self.lose_task(task, why, now_ms),
            }
        }
        self.policy.interference.forget_worker(key);
        if let Some(worker) = self.workers.remove(key) {
            self.policy.speeds.remove(key);
            if self.by_id.get(&worker.entry.id) == Some(&key) {
                self.by_id.remove(&worker.entry.id);
            }
            if let Some(there) = self.by_address.get_mut(&worker.entry.address) {
                there.retain(|other| *other != key);
                if there.is_empty() {
                    self.by_address.remove(&worker.entry.address);
                }
            }
        }
        self.changed = true;
    }

    /// Treats the tasks on workers whose leases must have expired as lost; assignments that were not sent yet stay.
    pub(crate) fn expire_leases(&mut self, now_ms: u64) {
        let expired: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.tasks.is_empty() && now_ms >= w.lease_expiry_ms())
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            let worker = &self.workers[key];
            let is_unlisted_over = now_ms >= worker.unlisted_expiry_ms(self.limits.lease_ms);
            let tasks: Vec<TaskKey> = worker
                .tasks
                .keys()
                .copied()
                .filter(|t| !self.is_unsent(*t, worker.granted_ms))
                .filter(|t| is_unlisted_over || self.is_listed_or_inherited(*t))
                .collect();
            if tasks.is_empty() {
                continue;
            }
            let why = worker.describe(now_ms);
            let loss = match worker.entry.leaving {
                true => worker.fell_silent_early().then_some(WorkerLoss::Silent),
                false => Some(WorkerLoss::Silent),
            };
            self.record_decision(None, "lease ended", why);
            if let Some(loss) = loss {
                self.count_crashes(&tasks, key, loss);
            }
            for task in tasks {
                self.lose_task(task, "the lease of its worker has ended", now_ms);
            }
        }
    }

    /// Returns whether a run is known to be one of the incarnation that answered last, or was started by an earlier
    /// planner.
    fn is_listed_or_inherited(&self, key: TaskKey) -> bool {
        self.task(key)
            .is_some_and(|task| task.is_listed || matches!(task.phase, Phase::Inherited(_)))
    }

    /// Returns whether a task is assigned to a worker to which no start of it was sent yet: a start carries a lease.
    fn is_unsent(&self, key: TaskKey, granted_ms: u64) -> bool {
        self.task(key).is_some_and(|task| match task.phase {
            Phase::Assigned(_) => true,
            Phase::Starting { unanswered, .. } => !unanswered && granted_ms < task.placed_ms,
            _ => false,
        })
    }
}
