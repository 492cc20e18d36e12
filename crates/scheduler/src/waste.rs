//! Work that is thrown away when a run ends early: how much, and why.

use crate::group::{Phase, UnitKey};
use crate::planner::Planner;
use crate::worker::EndHow;

/// An accelerator counts as this many cores when lost work is weighed; the platform's prices say so.
const CORES_PER_ACCELERATOR: i64 = 8;

/// What a task that saves its progress loses at most: about half of a saving interval.
const LOST_WITH_PROGRESS_MS: u64 = 300;

impl Planner {
    /// Core-milliseconds of a running task's work that are saved nowhere.
    pub(crate) fn unsaved_work(&self, key: UnitKey, now_ms: u64) -> i64 {
        let Some(unit) = self.unit(key).filter(|unit| unit.started_ms > 0) else {
            return 0;
        };
        let step = self.jobs[key.group.job].step_of(key.group.group as usize);
        let ran_ms = now_ms.saturating_sub(unit.started_ms);
        let lost_ms = match step.saves_progress {
            true => ran_ms.min(LOST_WITH_PROGRESS_MS),
            false => ran_ms,
        };
        let cores_milli =
            step.need.cpu_millis + step.need.accelerators * CORES_PER_ACCELERATOR * 1000;
        lost_ms as i64 * cores_milli / 1000
    }

    /// Counts the work that a run throws away as it ends early; returns it, in core-milliseconds.
    pub(crate) fn count_waste(&mut self, key: UnitKey, how: EndHow, now_ms: u64) -> u64 {
        let Some(phase) = self.unit(key).map(|unit| unit.phase) else {
            return 0;
        };
        let work = self.unsaved_work(key, now_ms).max(0) as u64;
        let unwanted = self.jobs[key.group.job].state.is_final();
        let counts = &mut self.counts;
        let counter = match (phase, how) {
            (Phase::Waiting | Phase::Intended(_) | Phase::Ending { .. } | Phase::Done, _) => {
                return 0;
            }
            _ if unwanted => &mut counts.wasted_unwanted_core_ms,
            (_, EndHow::Failed) => &mut counts.wasted_failed_core_ms,
            (_, EndHow::Broken | EndHow::Alone) => &mut counts.wasted_broken_core_ms,
            (Phase::Stopping { .. }, _) | (_, EndHow::Stopped) => {
                &mut counts.wasted_preempted_core_ms
            }
            _ => &mut counts.wasted_lost_core_ms,
        };
        *counter += work;
        work
    }
}
