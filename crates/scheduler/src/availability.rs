//! Counts how many tasks of a step with a limit on unavailable tasks may be ended now, for all orders that end tasks.

use crate::group::{GroupKey, TaskKey};
use crate::planner::Planner;
use crate::policy::availability::count_endable;
use crate::worker::Worker;

impl Planner {
    /// Returns whether the tasks that are unavailable at the same time are limited in a group. They are not once its job
    /// has ended.
    pub(crate) fn is_limited(&self, group: GroupKey) -> bool {
        let job = self.jobs.get(group.job).filter(|j| !j.state.is_final());
        job.is_some_and(|job| job.step_of(group.group as usize).most_away.is_some())
    }

    /// Returns the accelerators of the tasks on a worker whose steps have a limit.
    pub(crate) fn sum_limited_accelerators(&self, worker: &Worker) -> i64 {
        let tasks = worker.tasks.keys().map(|task| task.group);
        let limited = tasks.filter(|group| self.is_limited(*group));
        limited.map(|group| self.need(group).accelerators).sum()
    }

    /// Returns how many tasks of a group that are at work may be ended now; none if there is no limit, or if the job has
    /// ended.
    pub(crate) fn count_endable_tasks(&self, group: GroupKey, now_ms: u64) -> Option<usize> {
        let job = self.jobs.get(group.job).filter(|j| !j.state.is_final())?;
        let most_away = job.step_of(group.group as usize).most_away?;
        let tasks = &job.groups[group.group as usize].tasks;
        let presences = tasks.iter().map(|task| task.presence);
        Some(count_endable(
            most_away,
            presences,
            self.limits.notice_ms,
            now_ms,
        ))
    }

    /// Returns how many tasks that are at work a stop ends: the task, or all members of its gang.
    pub(crate) fn count_ended_at_work(&self, key: TaskKey, now_ms: u64) -> usize {
        let members = match self.is_gang(key.group) {
            true => self.list_tasks(key.group),
            false => vec![key],
        };
        let notice_ms = self.limits.notice_ms;
        members
            .iter()
            .filter_map(|member| self.task(*member))
            .filter(|task| !task.presence.is_idle(notice_ms, now_ms))
            .count()
    }

    /// Returns whether a stop of a task, or of its gang, keeps to the limit on unavailable tasks of its step.
    pub(crate) fn may_end(&self, key: TaskKey, now_ms: u64) -> bool {
        self.count_endable_tasks(key.group, now_ms)
            .is_none_or(|endable| self.count_ended_at_work(key, now_ms) <= endable)
    }
}
