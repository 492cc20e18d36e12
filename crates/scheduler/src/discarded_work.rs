//! Measures the work that is discarded when a run ends early, and counts it by cause.

use crate::group::{Phase, Task, TaskKey};
use crate::planner::Planner;
use crate::worker::RunOutcome;

/// Weight of an accelerator in cores, as in the platform's prices.
const CORES_PER_ACCELERATOR: i64 = 8;

/// The most work that a task that saves its progress loses: about half of a saving interval.
const DISCARDED_WITH_PROGRESS_MS: u64 = 300;

impl Planner {
    /// Returns the work of a running task that is not saved, in core-milliseconds.
    pub(crate) fn unsaved_work(&self, key: TaskKey, now_ms: u64) -> i64 {
        let Some(task) = self.task(key).filter(|task| task.started_ms > 0) else {
            return 0;
        };
        let step = self.jobs[key.group.job].step_of(key.group.group as usize);
        let ran_ms = now_ms.saturating_sub(self.run_began_ms(task));
        let lost_ms = match step.saves_progress {
            true => ran_ms.min(DISCARDED_WITH_PROGRESS_MS),
            false => ran_ms,
        };
        let cores_milli =
            step.need.cpu_millis + step.need.accelerators * CORES_PER_ACCELERATOR * 1000;
        i64::try_from(lost_ms)
            .unwrap_or(i64::MAX)
            .saturating_mul(cores_milli)
            / 1000
    }

    /// Returns when the current run of a task that has been confirmed began: for one of an earlier planner when that
    /// assigned it, by its record.
    pub(crate) fn run_began_ms(&self, task: &Task) -> u64 {
        match task.inherited_unix_ms {
            0 => task.started_ms,
            unix_ms => task
                .started_ms
                .min(unix_ms.saturating_sub(self.unix_ahead_ms)),
        }
    }

    /// Counts the work that a run discards by ending early. Returns it, in core-milliseconds.
    pub(crate) fn count_discarded_work(
        &mut self,
        key: TaskKey,
        outcome: RunOutcome,
        now_ms: u64,
    ) -> u64 {
        let Some(phase) = self.task(key).map(|task| task.phase) else {
            return 0;
        };
        let work = self.unsaved_work(key, now_ms).max(0) as u64;
        let unwanted = self.jobs[key.group.job].state.is_final();
        let counts = &mut self.counts;
        let counter = match (phase, outcome) {
            (Phase::Waiting | Phase::Assigned(_) | Phase::Ending { .. } | Phase::Done, _) => {
                return 0;
            }
            _ if unwanted => &mut counts.discarded_unwanted_core_ms,
            (_, RunOutcome::Failed) => &mut counts.discarded_failed_core_ms,
            (_, RunOutcome::Broken | RunOutcome::Alone) => &mut counts.discarded_broken_core_ms,
            (Phase::Stopping { .. }, _) | (_, RunOutcome::Stopped) => {
                &mut counts.discarded_preempted_core_ms
            }
            _ => &mut counts.discarded_lost_core_ms,
        };
        *counter = counter.saturating_add(work);
        work
    }
}
