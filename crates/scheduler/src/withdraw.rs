//! Withdraws starts whose worker has no room for them any more, because its capacity has shrunk, or takes no new work.

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

    /// Returns whether a start may still be sent; to be asked right before each call. A start whose worker has no room
    /// for it any more or takes no new work, or whose gang is being torn down, is withdrawn. An earlier call that got no
    /// answer may still take effect, so its run is stopped.
    pub fn revalidate_start(&mut self, key: TaskKey, run: u32, now_ms: u64) -> bool {
        let Some(task) = self.task(key) else {
            return false;
        };
        let Phase::Starting { worker, unanswered } = task.phase else {
            return false;
        };
        if task.run != run {
            return false;
        }
        if self.may_start(key) {
            return true;
        }
        if !unanswered && let Some(task) = self.task_mut(key) {
            task.phase = Phase::Assigned(worker);
        }
        self.withdraw_start(key, now_ms);
        false
    }

    /// Returns whether the worker of a starting task, and those of all starting members of its gang, take new work and
    /// hold what is assigned to them. The capacity of an unlisted worker is unknown.
    fn may_start(&self, key: TaskKey) -> bool {
        let members = match self.is_gang(key.group) {
            true => self.list_tasks(key.group),
            false => vec![key],
        };
        let torn_down = self.jobs[key.group.job].groups[key.group.group as usize]
            .teardown_since_ms
            .is_some();
        !torn_down
            && members
                .into_iter()
                .filter_map(|member| match self.task(member)?.phase {
                    Phase::Starting { worker, .. } => self.workers.get(worker),
                    _ => None,
                })
                .all(|worker| self.is_open(worker) && !worker.is_overcommitted())
    }

    /// Withdraws the start of a task, and with it those of its gang.
    fn withdraw_start(&mut self, key: TaskKey, now_ms: u64) {
        let Some(job) = self.jobs.get(key.group.job) else {
            return;
        };
        let id = job.stored.id;
        let why = format!(
            "task {}: its worker, or that of a member of its gang, has too little room now or takes no new work",
            key.index
        );
        self.record_decision(Some(id), "start withdrawn", why);
        self.stop_task(key, now_ms);
        if self.is_gang(key.group) {
            self.tear_down_gang(key.group, now_ms);
        }
    }
}
