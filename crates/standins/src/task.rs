//! Progress of one simulated task and the time at which it ends.

use model::prelude::*;
use serde::Deserialize;

/// Full speed of a task, in percent.
const PERCENT_FULL: u64 = 100;

/// The complete work of a task, in thousandths.
pub const PERMILLE_ALL: u64 = 1_000;

/// Run time and result of a task as the `input` of a job sets them; other inputs are ignored.
#[derive(Debug, Deserialize)]
struct TaskInput {
    run_ms: u64,
    #[serde(default)]
    fail: bool,
}

/// A running task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Time of its start, in milliseconds since the start of the site.
    pub started_ms: u64,
    /// Whether it fails when its work is done.
    pub fails: bool,
    total_ms: u64,
    done_ms: u64,
    accrued_until_ms: u64,
    percent: u64,
}

impl Task {
    /// Starts a task from the share of its work that a checkpoint saved, in thousandths.
    ///
    /// The run time is that of the job's input, or else the declared one.
    pub fn start(now_ms: u64, spec: &JobSpec, checkpoint_permille: u32) -> Self {
        let input: Option<TaskInput> = serde_json::from_str(&spec.input).ok();
        let total_ms = input.as_ref().map_or(spec.run_ms_declared, |i| i.run_ms);
        Self {
            started_ms: now_ms,
            fails: input.is_some_and(|i| i.fail),
            total_ms,
            done_ms: total_ms * u64::from(checkpoint_permille) / PERMILLE_ALL,
            accrued_until_ms: now_ms,
            percent: PERCENT_FULL,
        }
    }

    /// Makes the task fail after a further `run_ms`.
    pub fn fail_after(&mut self, run_ms: u64) {
        self.fails = true;
        self.total_ms = self.done_ms + run_ms;
    }

    /// Returns the work done until `now_ms`, in milliseconds at full speed.
    fn done_until(&self, now_ms: u64) -> u64 {
        let run_ms = now_ms.saturating_sub(self.accrued_until_ms);
        let done_ms = self.done_ms + run_ms * self.percent / PERCENT_FULL;
        done_ms.min(self.total_ms)
    }

    /// Returns the share of the work done until `now_ms`, in thousandths.
    pub fn done_permille(&self, now_ms: u64) -> u32 {
        let permille = self.done_until(now_ms) * PERMILLE_ALL / self.total_ms.max(1);
        u32::try_from(permille).unwrap_or(u32::MAX)
    }

    /// Returns the time at which the work will be done at the present speed.
    pub fn ends_at_ms(&self) -> u64 {
        let left_ms = self.total_ms - self.done_ms;
        self.accrued_until_ms + (left_ms * PERCENT_FULL).div_ceil(self.percent)
    }

    /// Changes the speed to a percentage of the full speed.
    pub fn throttle(&mut self, now_ms: u64, percent: u8) {
        self.accrue_progress(now_ms);
        self.percent = u64::from(percent).clamp(1, PERCENT_FULL);
    }

    /// Adds the progress since the last call to the work done.
    pub fn accrue_progress(&mut self, now_ms: u64) {
        self.done_ms = self.done_until(now_ms);
        self.accrued_until_ms = now_ms;
    }

    /// Resumes after a pause in which no work was done.
    pub fn resume(&mut self, now_ms: u64) {
        self.accrued_until_ms = now_ms;
    }
}
