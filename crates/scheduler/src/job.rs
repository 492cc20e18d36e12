//! A job that the planner holds, with its groups and its record for the store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::group::{Group, Phase, Task};
use crate::policy::shares::AccountKey;
use crate::record::{GroupRecord, JobRecord, RecordPart, StoredJob, StoredWorker, TaskRecord};
use crate::record_parts::{MAX_PROGRESS_BYTES, divide_groups};
use crate::spec::{Resources, StepSpec};
use crate::task::TaskName;

/// The state of a job, as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    Pending,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task or a gang has used up its attempts.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl JobState {
    /// Returns whether the job has ended; a final state does not change.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            JobState::Completed | JobState::Failed | JobState::Cancelled
        )
    }
}

/// A job that the planner holds.
#[derive(Debug)]
pub(crate) struct Job {
    pub stored: StoredJob,
    /// The account of its organisation in its service.
    pub account: AccountKey,
    /// Text that each task gets.
    pub text: Arc<str>,
    /// Position in the order of acceptance.
    pub order: u64,
    /// When the planner learned of the job.
    pub known_ms: u64,
    pub state: JobState,
    pub ended_unix_ms: u64,
    /// The groups of the first occurrences, in order. Those of an occurrence that is not due yet are built later, since
    /// jobs may wait for many occurrences of many tasks.
    pub groups: Vec<Group>,
    /// Whether a run of it is known to have started.
    pub has_started: bool,
    /// Whether its last record says that it has not begun.
    pub is_shown_waiting: bool,
    /// Whether its record in the store is outdated.
    pub dirty: bool,
    /// Whether the last record says that the job has ended and nothing runs; the job is removed once it is stored.
    pub over: bool,
    /// Since when nothing of it has run although a task could, as far as that was checked.
    pub idle_since_ms: Option<u64>,
    /// Whether that was logged.
    pub is_idle_logged: bool,
}

impl Job {
    pub fn new(mut stored: StoredJob, account: AccountKey, order: u64, now_ms: u64) -> Job {
        let text: Arc<str> = std::mem::take(&mut stored.request.text).into();
        Job {
            stored,
            account,
            text,
            order,
            known_ms: now_ms,
            state: JobState::Pending,
            ended_unix_ms: 0,
            groups: Vec::new(),
            has_started: false,
            is_shown_waiting: true,
            dirty: false,
            over: false,
            idle_since_ms: None,
            is_idle_logged: false,
        }
    }

    /// Returns for how many occurrences the groups are built.
    pub fn built_occurrences(&self) -> u32 {
        (self.groups.len() / self.stored.request.steps.len().max(1)) as u32
    }

    /// Builds the groups of the first `count` occurrences, as far as they are missing and the job has as many.
    pub fn build_occurrences(&mut self, count: u32, now_ms: u64) {
        let count = count.min(self.stored.request.timing.occurrences());
        for occurrence in self.built_occurrences()..count {
            let steps = (0..).zip(&self.stored.request.steps);
            let groups = steps.map(|(index, step)| Group::new(occurrence, index, step, now_ms));
            self.groups.extend(groups);
        }
    }

    /// Returns whether the groups of all occurrences are built.
    pub fn is_built(&self) -> bool {
        self.built_occurrences() == self.stored.request.timing.occurrences()
    }

    /// Returns the number of tasks of one occurrence.
    pub fn count_tasks_of_occurrence(&self) -> usize {
        let steps = self.stored.request.steps.iter();
        steps.map(|step| step.count as usize).sum()
    }

    /// Returns whether it counts as begun: a run of it has started, or is about to. A start without an answer may never
    /// be carried out.
    pub fn has_begun(&self) -> bool {
        let is_starting = |task: &Task| {
            matches!(
                task.phase,
                Phase::Assigned(_)
                    | Phase::Starting {
                        unanswered: false,
                        ..
                    }
            )
        };
        let mut tasks = self.groups.iter().flat_map(|group| &group.tasks);
        self.state.is_final() || self.has_started || tasks.any(is_starting)
    }

    /// Returns whether all tasks of all occurrences are done.
    pub fn is_done(&self) -> bool {
        self.is_built() && self.groups.iter().all(Group::is_done)
    }

    /// Returns the step that a group belongs to.
    pub fn step_of(&self, group: usize) -> &StepSpec {
        &self.stored.request.steps[self.groups[group].step as usize]
    }

    /// Returns the resources that one task of a group occupies on a worker. A filler reserves no processor time.
    pub fn need_of(&self, group: usize) -> Resources {
        let step = self.step_of(group);
        match step.fills {
            true => Resources {
                cpu_millis: 0,
                ..step.need
            },
            false => step.need,
        }
    }

    /// Returns how long a step that takes `run_ms` can wait and still be on time.
    pub fn slack_ms(&self, run_ms: u64) -> u64 {
        let beyond_percent = u64::from(self.stored.stretch_percent.saturating_sub(100));
        let stretch_ms = run_ms.saturating_mul(beyond_percent) / 100;
        stretch_ms.saturating_add(self.stored.goal_ms)
    }

    /// Returns the index of the group of an occurrence and step.
    pub fn find_group(&self, occurrence: u32, step: u32) -> Option<usize> {
        self.groups
            .iter()
            .position(|g| g.occurrence == occurrence && g.step == step)
    }

    /// Returns the name of a task.
    pub fn task_name(&self, group: usize, index: usize) -> TaskName {
        let group_state = &self.groups[group];
        TaskName {
            job: self.stored.id,
            occurrence: group_state.occurrence,
            step: group_state.step,
            index: index as u32,
        }
    }

    /// Returns whether the steps that a group depends on are done.
    pub fn is_unblocked(&self, group: usize) -> bool {
        let group_state = &self.groups[group];
        self.step_of(group).after.iter().all(|step| {
            self.find_group(group_state.occurrence, *step)
                .is_none_or(|g| self.groups[g].is_done())
        })
    }

    /// Returns whether any of its tasks occupies capacity on a worker.
    pub fn occupies_capacity(&self) -> bool {
        self.groups.iter().any(Group::occupies_capacity)
    }

    /// Returns whether a task of a group, or its gang, has used up its attempts. Tasks that run until the job is
    /// cancelled never do.
    pub fn is_exhausted(&self, group: usize) -> bool {
        let attempts = self.stored.attempts.max(1);
        let group_state = &self.groups[group];
        let failed = group_state
            .tasks
            .iter()
            .map(|t| t.failed)
            .max()
            .unwrap_or(0)
            .max(group_state.gang_failures.runs);
        !self.step_of(group).lasting && failed >= attempts
    }

    /// Returns the accelerators that its largest step needs if all tasks of the step run at the same time.
    pub fn accelerators(&self) -> i64 {
        self.stored
            .request
            .steps
            .iter()
            .map(|step| step.need.accelerators * i64::from(step.count))
            .max()
            .unwrap_or(0)
    }

    /// Returns the timing of the job for the log, in milliseconds on the planner's clock.
    pub fn describe_timing(&self) -> String {
        let tasks = || self.groups.iter().flat_map(|group| group.tasks.iter());
        let first_ms = tasks().map(|t| t.started_ms).filter(|ms| *ms > 0).min();
        let last_ms = tasks().map(|t| t.since_ms).max().unwrap_or(self.known_ms);
        let estimate_ms = self
            .stored
            .request
            .steps
            .iter()
            .map(|step| step.estimate_ms)
            .max()
            .unwrap_or(0);
        format!(
            "priority {}, {} tasks, highest run {}, known at {} ms, first current run confirmed {} ms later, last phase change {} ms later, estimate {estimate_ms} ms",
            self.stored.priority,
            tasks().count(),
            tasks().map(|t| t.run).max().unwrap_or(0),
            self.known_ms,
            first_ms.unwrap_or(last_ms).saturating_sub(self.known_ms),
            last_ms.saturating_sub(self.known_ms),
        )
    }

    /// Returns its record for the store, and the parts of the record if it has many tasks; `name` gives the stored form
    /// of a worker.
    pub fn record(
        &self,
        name: impl Fn(crate::worker::WorkerKey) -> Option<StoredWorker>,
    ) -> (JobRecord, Vec<RecordPart>) {
        let groups = match self.state.is_final() && !self.occupies_capacity() {
            true => Vec::new(),
            false => self
                .groups
                .iter()
                .filter(|g| g.tasks.iter().any(|t| t.run > 0))
                .map(|g| group_record(g, &name))
                .collect(),
        };
        let steps = &self.stored.request.steps;
        let sizes = (0..self.stored.request.timing.occurrences()).flat_map(|occurrence| {
            let steps = (0..).zip(steps);
            steps.map(move |(index, step)| (occurrence, index, step.count as usize))
        });
        let (groups, parts) = divide_groups(sizes, groups);
        let record = JobRecord {
            state: self.state,
            queue: self.stored.queue.clone(),
            organisation: self.stored.organisation.clone(),
            begun: self.has_begun(),
            unsubmitted: false,
            ended_unix_ms: self.ended_unix_ms,
            groups,
        };
        (record, parts)
    }
}

/// Returns the saved progress of a task that its record keeps.
fn recorded_progress(group: &Group, task: &Task) -> String {
    let progress = match task.progress.is_empty() {
        true => &group.progress,
        false => &task.progress,
    };
    match progress.len() <= MAX_PROGRESS_BYTES {
        true => progress.clone(),
        false => String::new(),
    }
}

/// Returns the part of a record for one group.
fn group_record(
    group: &Group,
    name: &impl Fn(crate::worker::WorkerKey) -> Option<StoredWorker>,
) -> GroupRecord {
    let tasks = group
        .tasks
        .iter()
        .map(|task| TaskRecord {
            run: task.run,
            failed: task.failed,
            crashes: task.crashes,
            done: task.is_done(),
            worker: task.phase.worker().and_then(name),
            progress: recorded_progress(group, task),
        })
        .collect();
    GroupRecord {
        occurrence: group.occurrence,
        step: group.step,
        gang_failed: group.gang_failures.runs,
        gang_failed_run: group.gang_failures.last_run,
        first: 0,
        placed_unix_ms: group.placed_unix_ms,
        units: tasks,
    }
}
