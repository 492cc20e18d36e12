//! Counts the workers that crash under a task, keeps a task that may be the cause away from others, and gives up a task
//! that crashes one worker after the other, unless it lasts until its job is cancelled.
//!
//! A crashed worker reports no ends. All that it ran is suspect, most of all what it had just started.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::group::{GroupKey, Phase, TaskKey};
use crate::job::{Job, JobState};
use crate::planner::Planner;
use crate::worker::{Worker, WorkerKey};

/// A worker that crashes within this time after it started a task may have crashed because of that task; a worker
/// answers a renewal within 2 s.
const START_PHASE_MS: u64 = 2_000;

/// A task is given up after this many crashes within the start phase of its runs that their workers confirmed. Three in a
/// row come by chance where workers lose power one after the other.
const MAX_CRASHES_AT_START: u32 = 4;

/// A task is given up after this many crashes at any time of its runs, or while it was unknown whether they had begun. The
/// platform bears two starts after the third crash.
const MAX_CRASHES: u32 = 5;

/// From this many crashes on, the platform counts the starts of a task, and one that is stopped is wasted.
const FREE_CRASHES: u32 = 3;

/// A lasting task that has run for this long is no longer suspect.
const LASTING_CLEARED_MS: u64 = 30_000;

/// How long a suspect task waits for a worker on which nothing runs.
const EMPTY_WORKER_WAIT_MS: u64 = 1_000;

/// How long other tasks wait for a worker that no suspect task keeps from them. Less than the shortest time in which
/// the platform reclaims capacity for urgent work.
const SUSPECT_FREE_WAIT_MS: u64 = 1_000;

/// The workers lost under a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CrashCounts {
    /// Workers that crashed, or may have crashed, while a run of the task was there.
    pub all: u32,
    /// Those that crashed within the start phase of the run, after they had confirmed it, and without another suspect.
    pub at_start: u32,
}

impl CrashCounts {
    /// Returns whether no worker was lost.
    pub fn is_zero(&self) -> bool {
        *self == CrashCounts::default()
    }

    /// Returns whether the task may be the cause, so that it has to run apart from others.
    fn is_suspect(&self) -> bool {
        self.at_start >= 1 || self.all >= 2
    }

    /// Returns whether the task may be the one that crashes its workers, and has few starts left.
    fn is_nearly_used_up(&self) -> bool {
        self.all >= FREE_CRASHES
    }

    fn is_used_up(&self) -> bool {
        self.at_start >= MAX_CRASHES_AT_START || self.all >= MAX_CRASHES
    }
}

/// How a worker was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkerLoss {
    /// Another incarnation or worker answered in its place, and it had not announced that it leaves.
    Crashed,
    /// It fell silent until its lease expired; it may have crashed or be cut off.
    Silent,
    /// It had announced that it leaves, but fell silent before.
    Early,
}

impl Planner {
    /// Counts the loss of a worker for the tasks that run or may run there. A task is not suspect for what happens after
    /// its run has ended, or before its start is sent.
    pub(crate) fn count_crashes(&mut self, tasks: &[TaskKey], worker: WorkerKey, loss: WorkerLoss) {
        let Some(lost) = self.workers.get(worker) else {
            return;
        };
        let answered_ms = lost.answered_ms;
        let suspects: HashSet<GroupKey> = lost.suspects.iter().map(|key| key.group).collect();
        for key in tasks.iter().copied() {
            // Another suspect there may as well be the cause.
            let is_sole_suspect = suspects.iter().all(|group| *group == key.group);
            let may_be_at_start = loss == WorkerLoss::Crashed && is_sole_suspect;
            if self.count_crash(key, may_be_at_start, answered_ms)
                && loss == WorkerLoss::Silent
                && let Some(worker) = self.workers.get_mut(worker)
            {
                worker.lost_in_silence.push(key);
            }
        }
    }

    /// Counts the loss of a worker that answered last at `answered_ms` for one task. Returns whether it did.
    fn count_crash(&mut self, key: TaskKey, may_be_at_start: bool, answered_ms: u64) -> bool {
        let Some(task) = self.task_mut(key).filter(|task| !task.is_done()) else {
            return false;
        };
        // A start without an answer may have come after the crash.
        let confirmed = task.started_ms >= task.placed_ms;
        let at_start = confirmed && answered_ms < task.began_ms() + START_PHASE_MS;
        match task.phase {
            Phase::Waiting | Phase::Assigned(_) => return false,
            // When an earlier planner started it is unknown.
            Phase::Inherited(_) => task.crashes.all += 1,
            _ => {
                task.crashes.all += 1;
                task.crashes.at_start += u32::from(at_start && may_be_at_start);
            }
        }
        true
    }

    /// Takes back the crash of a worker that was silent until its lease expired: the same incarnation has answered.
    pub(crate) fn retract_crash(&mut self, worker: WorkerKey) {
        let lost = self
            .workers
            .get_mut(worker)
            .map_or_else(Vec::new, |w| std::mem::take(&mut w.lost_in_silence));
        for key in lost {
            if let Some(task) = self.task_mut(key) {
                task.crashes.all = task.crashes.all.saturating_sub(1);
                self.mark_dirty(key.group.job);
            }
        }
    }

    /// Fails a job with a task in this group that has crashed too many workers. A lasting task starts again however often
    /// its workers crash.
    pub(crate) fn give_up_if_crashing(&mut self, group: GroupKey, now_ms: u64) {
        let Some(job) = self.jobs.get(group.job) else {
            return;
        };
        if job.step_of(group.group as usize).lasting {
            return;
        }
        let tasks = &job.groups[group.group as usize].tasks;
        let cause = (0..).zip(tasks).find(|(_, t)| t.crashes.is_used_up());
        let Some((index, task)) = cause.filter(|_| !job.state.is_final()) else {
            return;
        };
        let why = format!(
            "{} workers were lost under task {}, {} of them right after its start",
            task.crashes.all,
            job.task_name(group.group as usize, index),
            task.crashes.at_start
        );
        let id = job.stored.id;
        self.counts.given_up += 1;
        self.record_decision(Some(id), "given up", why);
        self.end_job(group.job, JobState::Failed, now_ms);
    }

    /// Clears a lasting task that has run for long.
    pub(crate) fn clear_suspicion(&mut self, key: TaskKey, now_ms: u64) {
        let job = &self.jobs[key.group.job];
        if !job.step_of(key.group.group as usize).lasting {
            return;
        }
        if let Some(task) = self.task_mut(key)
            && now_ms >= task.began_ms() + LASTING_CLEARED_MS
        {
            task.crashes = CrashCounts::default();
        }
    }

    /// Returns whether a suspect task on a worker keeps it from others that can wait: during its start phase, or as
    /// long as it runs if not all of its crashes were in that phase.
    pub(crate) fn is_held_by_suspect(&self, worker: &Worker) -> bool {
        worker.suspects.iter().any(|key| {
            self.task(*key).is_some_and(|task| {
                task.crashes.all > task.crashes.at_start
                    || worker.answered_ms < task.began_ms() + START_PHASE_MS
            })
        })
    }

    /// Returns whether a group has waited so long that its tasks may start beside a suspect task. Otherwise many
    /// suspects, as after an outage of all workers, would leave most of the capacity idle.
    pub(crate) fn may_join_suspects(&self, group: GroupKey, now_ms: u64) -> bool {
        self.jobs[group.job].groups[group.group as usize].waited_ms(now_ms) >= SUSPECT_FREE_WAIT_MS
    }

    /// Returns whether a task has to start on a worker on which nothing runs. It does not wait for one forever.
    pub(crate) fn needs_empty_worker(&self, key: TaskKey, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(key.group.job) else {
            return false;
        };
        self.is_suspect(job, key)
            && job.groups[key.group.group as usize].tasks[key.index as usize].since_ms
                + EMPTY_WORKER_WAIT_MS
                > now_ms
    }

    /// Returns whether a stop of a task, or of its gang, would waste one of the few starts that it has left.
    pub(crate) fn has_few_starts_left(&self, key: TaskKey) -> bool {
        let job = &self.jobs[key.group.job];
        let step = job.step_of(key.group.group as usize);
        let tasks = &job.groups[key.group.group as usize].tasks;
        !step.lasting
            && (0..).zip(tasks).any(|(index, task)| {
                (step.gang || index == key.index) && task.crashes.is_nearly_used_up()
            })
    }

    /// Returns whether a task, or its gang, may have crashed a worker.
    pub(crate) fn is_suspect(&self, job: &Job, key: TaskKey) -> bool {
        let group = key.group.group as usize;
        let tasks = &job.groups[group].tasks;
        match job.step_of(group).gang {
            true => tasks.iter().any(|task| task.crashes.is_suspect()),
            false => tasks[key.index as usize].crashes.is_suspect(),
        }
    }

    /// Returns whether a task of a group has to start on a worker on which nothing runs.
    pub(crate) fn waits_for_empty_workers(&self, group: GroupKey, now_ms: u64) -> bool {
        self.list_tasks(group)
            .into_iter()
            .any(|task| self.needs_empty_worker(task, now_ms))
    }
}
