//! Stops what runs on a leaving worker before it may exit.
//!
//! A run that is done as its worker exits is listed in an answer that nobody receives. The platform counts that end, but
//! the planner would start the task again. So nothing that only this worker lists is left running until then.

use crate::group::{GroupKey, Phase, TaskKey};
use crate::planner::Planner;
use crate::worker::{Worker, WorkerEntry};

/// Time reserved for the delivery of a stop and of the answer that lists the end, both between regions, and for the wait
/// for a planning pass.
const STOP_DELIVERY_MS: u64 = 200;

impl Worker {
    /// Takes in what a list that was asked for at `asked_ms` says about the time of its leave.
    pub(crate) fn update_leave(&mut self, entry: &WorkerEntry, asked_ms: u64, now_ms: u64) {
        let is_new = !self.entry.leaving || self.entry.remaining_ms != entry.remaining_ms;
        let listed_before_ms = self.listed_asked_ms.replace(asked_ms);
        let (true, Some(remaining_ms)) = (entry.leaving, entry.remaining_ms) else {
            self.leaves_at_ms = self.leaves_at_ms.filter(|_| entry.leaving);
            return;
        };
        if !is_new && self.leaves_at_ms.is_some() {
            return;
        }
        // The entry is newer than the list before. Without one it may be of any age.
        let latest_ms = now_ms.saturating_add(remaining_ms);
        let earliest_ms = listed_before_ms.map(|ms| ms.saturating_add(remaining_ms));
        let before_ms = self.leaves_at_ms.unwrap_or(0);
        self.leaves_at_ms = Some(
            earliest_ms
                .unwrap_or(latest_ms)
                .max(before_ms)
                .min(latest_ms),
        );
    }
}

impl Planner {
    /// Stops the runs on workers that may exit as soon as the stops must have ended.
    pub(crate) fn stop_before_leave(&mut self, now_ms: u64) {
        let tasks: Vec<TaskKey> = self
            .workers
            .values()
            .filter(|worker| self.is_about_to_leave(worker, now_ms))
            .flat_map(|worker| worker.tasks.keys().copied())
            .filter(|task| self.ends_unheard(*task, now_ms))
            .collect();
        for task in tasks {
            // A member of its gang may have been stopped with the others.
            if !self.ends_unheard(task, now_ms) {
                continue;
            }
            self.counts.stopped_before_leave += self.stop_with_gang(task, now_ms);
            let id = self.jobs[task.group.job].stored.id;
            let why = format!("task {} is stopped before its worker may exit", task.index);
            self.record_decision(Some(id), "stopped for leave", why);
        }
    }

    /// Returns whether a worker may exit by the time at which stops that are ordered now must have ended.
    fn is_about_to_leave(&self, worker: &Worker, now_ms: u64) -> bool {
        let stop_ms = self.limits.stop_grace_ms + STOP_DELIVERY_MS;
        worker.entry.leaving
            && worker
                .leaves_at_ms
                .is_some_and(|leaves_at_ms| now_ms + stop_ms >= leaves_at_ms)
    }

    /// Returns whether a task works, and nobody but workers that are about to leave would list its end. Each member of a
    /// gang lists that the gang is done.
    fn ends_unheard(&self, key: TaskKey, now_ms: u64) -> bool {
        let works = self.task(key).is_some_and(|task| {
            matches!(
                task.phase,
                Phase::Assigned(_)
                    | Phase::Starting { .. }
                    | Phase::Inherited(_)
                    | Phase::Running { .. }
            )
        });
        works && (!self.is_gang(key.group) || self.all_members_leave(key.group, now_ms))
    }

    fn all_members_leave(&self, group: GroupKey, now_ms: u64) -> bool {
        self.list_tasks(group)
            .into_iter()
            .filter_map(|member| self.task(member)?.phase.worker())
            .filter_map(|worker| self.workers.get(worker))
            .all(|worker| self.is_about_to_leave(worker, now_ms))
    }
}
