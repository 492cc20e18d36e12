//! Withdraws starts for which a worker has no room any more because its capacity has shrunk.

use crate::group::{Phase, TaskKey};
use crate::planner::Planner;
use crate::worker::{Worker, WorkerKey};

impl Planner {
    /// Withdraws starts on a worker that were not sent yet, the least urgent first, until the rest fits.
    pub(crate) fn withdraw_unsent_starts(&mut self, key: WorkerKey, now_ms: u64) {
        let mut unsent: Vec<(u32, u64, TaskKey)> = self.workers[key]
            .tasks
            .keys()
            .filter(|task| matches!(self.task(**task).map(|t| t.phase), Some(Phase::Assigned(_))))
            .map(|task| {
                let job = &self.jobs[task.group.job];
                (job.stored.priority, job.order, *task)
            })
            .collect();
        unsent.sort_unstable();
        while self.workers.get(key).is_some_and(Worker::is_overcommitted)
            && let Some((_, _, task)) = unsent.pop()
        {
            self.withdraw_start(task, now_ms);
        }
    }

    /// Withdraws the start of a task, and with it those of its gang.
    fn withdraw_start(&mut self, key: TaskKey, now_ms: u64) {
        let Some(job) = self.jobs.get(key.group.job) else {
            return;
        };
        let id = job.stored.id;
        let why = format!("task {}: its worker has no room for it any more", key.index);
        self.record_decision(Some(id), "start withdrawn", why);
        self.stop_task(key, now_ms);
        if self.is_gang(key.group) {
            self.tear_down_gang(key.group, now_ms);
        }
    }
}
