//! Builds the tasks of jobs that are due, within a bound on the memory that tasks take.
//!
//! Jobs that wait for room need no tasks before their turn comes near. While more are due than the bound allows, each
//! organisation and priority has a part of it, in which jobs are built in the order of acceptance.

use std::collections::HashMap;

use crate::group::JobKey;
use crate::job::Job;
use crate::planner::Planner;
use crate::policy::shares::AccountKey;

/// How many tasks are built that are not done, by account and priority. Ends are not counted as they come: the count is made
/// anew where it matters.
#[derive(Debug, Default)]
pub(crate) struct BuiltTasks {
    by_queue: HashMap<(AccountKey, u32), usize>,
    total: usize,
    /// Whether due jobs were left unbuilt in the last pass.
    has_backlog: bool,
}

impl BuiltTasks {
    /// Returns whether so many more tasks may be built: always the first ones of a queue, any as long as half of `most`
    /// is free, and beyond that those within the queue's part of the other half.
    fn allows(&self, queue: (AccountKey, u32), more: usize, most: usize) -> bool {
        let own = self.by_queue.get(&queue).copied().unwrap_or(0);
        let part = most / 2 / self.by_queue.len().max(1);
        own == 0 || self.total + more <= most / 2 || own + more <= part
    }

    fn add(&mut self, queue: (AccountKey, u32), more: usize) {
        if more > 0 {
            *self.by_queue.entry(queue).or_default() += more;
            self.total += more;
        }
    }

    /// Counts anew.
    fn recount<'j>(&mut self, jobs: impl Iterator<Item = &'j Job>) {
        self.by_queue.clear();
        self.total = 0;
        for job in jobs {
            let tasks = job.groups.iter().flat_map(|group| &group.tasks);
            let unfinished = tasks.filter(|task| !task.is_done()).count();
            self.add(queue_of(job), unfinished);
        }
    }
}

fn queue_of(job: &Job) -> (AccountKey, u32) {
    (job.account, job.stored.priority)
}

impl Planner {
    /// Returns the number of tasks that are built and were not done when they were last counted.
    pub fn count_built_tasks(&self) -> usize {
        self.built_tasks.total
    }

    /// Builds the groups of the first `count` occurrences of a job, whatever the bound.
    pub(crate) fn build_occurrences(&mut self, key: JobKey, count: u32, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let before = job.built_occurrences();
        job.build_occurrences(count, now_ms);
        let more = job.built_occurrences() - before;
        let more = more as usize * job.count_tasks_of_occurrence();
        self.built_tasks.add(queue_of(job), more);
    }

    /// Builds the groups of all occurrences of a job that are due at `unix_ms`, as far as the bound allows; true if none is
    /// left.
    pub(crate) fn build_due_groups(&mut self, key: JobKey, unix_ms: u64, now_ms: u64) -> bool {
        loop {
            let Some(job) = self.jobs.get(key) else {
                return true;
            };
            let (built, timing) = (job.built_occurrences(), job.stored.request.timing);
            let has_steps = !job.stored.request.steps.is_empty();
            if !has_steps || built >= timing.occurrences() || timing.due_unix_ms(built) > unix_ms {
                return true;
            }
            let more = job.count_tasks_of_occurrence();
            let most = self.limits.max_built_tasks;
            if !self.built_tasks.allows(queue_of(job), more, most) {
                return false;
            }
            self.build_occurrences(key, built + 1, now_ms);
        }
    }

    /// Builds the groups of jobs that are due, in the order of acceptance.
    pub(crate) fn build_backlog(&mut self, now_ms: u64, unix_ms: u64) {
        if self.built_tasks.has_backlog {
            self.built_tasks.recount(self.jobs.values());
        }
        let mut unbuilt: Vec<(u64, JobKey)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.state.is_final() && !job.is_built())
            .map(|(key, job)| (job.order, key))
            .collect();
        unbuilt.sort_unstable();
        let mut waiting = 0;
        for (_, key) in unbuilt {
            // Advice about the steps of an occurrence is asked for before it is due.
            let lead_ms = self.advice_lead_ms(key);
            let is_complete = self.build_due_groups(key, unix_ms + lead_ms, now_ms);
            waiting += usize::from(!is_complete);
        }
        let had_backlog = std::mem::replace(&mut self.built_tasks.has_backlog, waiting > 0);
        if waiting > 0 && !had_backlog {
            let why = format!(
                "{waiting} jobs wait for others to end, {} tasks are held in memory",
                self.built_tasks.total
            );
            self.record_decision(None, "backlog", why);
        }
    }
}
