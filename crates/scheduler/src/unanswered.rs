//! Finds workers that answer renewals, but have not answered an order for long.
//!
//! Such an order may still be carried out, so its run is over only with the lease. The lease of a worker that has nothing else
//! to run is therefore not renewed any more.

use crate::group::{Phase, TaskKey};
use crate::planner::Planner;
use crate::worker::{Worker, WorkerKey};

impl Planner {
    /// Finds the workers with orders that have had no answer for the time of a lease, after which the runs of a worker that
    /// answers nothing are given up as well.
    pub(crate) fn find_unanswered_orders(&mut self, now_ms: u64) {
        let found: Vec<(WorkerKey, bool, bool)> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.tasks.is_empty() || worker.leaves_orders_unanswered)
            .map(|(key, worker)| {
                // A worker that answers nothing may have crashed, and its lease ends anyway.
                let answers = self.has_answered(worker, now_ms);
                let mut overdue = worker
                    .tasks
                    .keys()
                    .map(|task| answers && self.is_unanswered_for_long(*task, now_ms));
                let all = overdue.clone().all(|overdue| overdue) && !worker.tasks.is_empty();
                (
                    key,
                    overdue.any(|overdue| overdue),
                    all && worker.orphaned_runs.is_empty(),
                )
            })
            .collect();
        for (key, any, all) in found {
            let worker = &mut self.workers[key];
            (worker.leaves_orders_unanswered, worker.is_lease_withheld) = (any, all);
        }
    }

    /// Returns whether the current order for a task has had no answer for long.
    fn is_unanswered_for_long(&self, key: TaskKey, now_ms: u64) -> bool {
        self.task(key).is_some_and(|task| match task.phase {
            Phase::Starting { unanswered, .. } => {
                unanswered && now_ms >= task.placed_ms + self.limits.lease_ms
            }
            Phase::Stopping { confirmed_ms, .. } => {
                confirmed_ms.is_none() && now_ms >= task.since_ms + self.limits.lease_ms
            }
            _ => false,
        })
    }
}

impl Worker {
    /// Keeps new work away from a worker whose lease was withheld and has ended, and forgets why.
    pub fn end_withheld_lease(&mut self, now_ms: u64) {
        (self.leaves_orders_unanswered, self.is_lease_withheld) = (false, false);
        self.health.quarantine(now_ms);
    }
}
