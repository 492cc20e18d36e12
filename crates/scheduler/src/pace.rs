//! Slows tasks that fill a worker's spare capacity when tasks beside them that serve users suffer.

use crate::group::{Phase, UnitKey};
use crate::orders::Order;
use crate::planner::Planner;
use crate::worker::WorkerKey;

/// Above this share of its target, in hundredths, a serving task's tail is in danger: fillers are slowed.
const DANGER_PERCENT: u64 = 85;

/// Below this share they may work faster again.
const CALM_PERCENT: u64 = 60;

/// How long calm has to last before each step up; the platform's figures cover the last half second.
const CALM_MS: u64 = 1_500;

/// How much faster at each step up, in hundredths of full speed.
const STEP_UP_PERCENT: u32 = 15;

/// Below this they stop altogether.
const LEAST_PACE_PERCENT: u32 = 10;

impl Planner {
    /// Whether a worker runs both serving and filling tasks, so that it is to be looked at often.
    pub fn is_shared(&self, key: WorkerKey) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        let steps = || worker.units.keys().filter_map(|unit| self.step(*unit));
        steps().any(|step| step.fills) && steps().any(|step| step.latency_target_ms.is_some())
    }

    fn step(&self, key: UnitKey) -> Option<&crate::StepSpec> {
        self.jobs
            .get(key.group.job)
            .map(|job| job.step_of(key.group.group as usize))
    }

    /// The worst tail of a worker's serving tasks, in hundredths of its target.
    fn worst_tail_percent(&self, key: WorkerKey) -> Option<u64> {
        self.workers
            .get(key)?
            .units
            .keys()
            .filter_map(|unit| {
                let target_ms = self.step(*unit)?.latency_target_ms?;
                Some(self.unit(*unit)?.figure * 100 / target_ms.max(1))
            })
            .max()
    }

    /// Sets the pace of a worker's filling tasks after it has reported.
    pub(crate) fn set_pace(&mut self, key: WorkerKey, now_ms: u64) {
        let Some(worst) = self.worst_tail_percent(key) else {
            return;
        };
        let fillers: Vec<UnitKey> = self.workers[key]
            .units
            .keys()
            .copied()
            .filter(|unit| self.step(*unit).is_some_and(|step| step.fills))
            .filter(|unit| {
                matches!(
                    self.unit(*unit).map(|u| u.phase),
                    Some(Phase::Running { .. })
                )
            })
            .collect();
        for unit in fillers {
            self.set_unit_pace(unit, key, worst, now_ms);
        }
    }

    fn set_unit_pace(&mut self, key: UnitKey, worker: WorkerKey, worst_percent: u64, now_ms: u64) {
        let Some(job) = self.jobs.get(key.group.job) else {
            return;
        };
        let task = job.task_name(key.group.group as usize, key.unit as usize);
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        let before = unit.pace_percent;
        let after = match worst_percent {
            worst if worst > DANGER_PERCENT => {
                let slower = if worst > 100 { before / 4 } else { before / 2 };
                if slower < LEAST_PACE_PERCENT {
                    0
                } else {
                    slower
                }
            }
            worst if worst < CALM_PERCENT && now_ms > unit.paced_ms + CALM_MS => {
                (before + STEP_UP_PERCENT).min(100)
            }
            _ => before,
        };
        if after == before {
            return;
        }
        (unit.pace_percent, unit.paced_ms) = (after, now_ms);
        let run = unit.run;
        self.orders.push(Order::Pace {
            worker,
            unit: key,
            task,
            run,
            percent: after,
        });
        let why =
            format!("task {task} at {after} of 100, tail at {worst_percent} of 100 of its target");
        self.decide(Some(task.job), "paced", why);
    }

    /// A pace was not taken, or may not have been: the next report sets it again.
    pub fn forget_pace(&mut self, key: UnitKey, run: u32) {
        if let Some(unit) = self.unit_mut(key)
            && unit.run == run
        {
            unit.pace_percent = 100;
        }
    }
}
