//! Slows fillers, the tasks that use a worker's spare capacity, when latency-sensitive tasks beside them suffer.

use crate::group::{Phase, TaskKey};
use crate::orders::Order;
use crate::planner::Planner;
use crate::worker::WorkerKey;

/// If a serving task's tail latency exceeds this share of its target, in hundredths, fillers are slowed.
const SLOW_DOWN_ABOVE_PERCENT: u64 = 85;

/// Below this share fillers may speed up again.
const SPEED_UP_BELOW_PERCENT: u64 = 60;

/// Delay after a change of pace before the next speed-up; reported metrics cover the last half second.
const SPEED_UP_DELAY_MS: u64 = 1_500;

/// Size of a speed-up, in hundredths of full speed.
const SPEED_UP_STEP_PERCENT: u32 = 15;

/// Below this pace fillers stop altogether.
const MIN_PACE_PERCENT: u32 = 10;

impl Planner {
    /// Returns whether a worker runs both serving tasks and fillers, so that its lease is to be renewed often.
    pub fn is_shared(&self, key: WorkerKey) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        let steps = || worker.tasks.keys().filter_map(|task| self.step(*task));
        steps().any(|step| step.fills) && steps().any(|step| step.latency_target_ms.is_some())
    }

    fn step(&self, key: TaskKey) -> Option<&crate::StepSpec> {
        self.jobs
            .get(key.group.job)
            .map(|job| job.step_of(key.group.group as usize))
    }

    /// Returns the worst tail latency of a worker's serving tasks, in hundredths of its target.
    fn worst_tail_percent(&self, key: WorkerKey) -> Option<u64> {
        self.workers
            .get(key)?
            .tasks
            .keys()
            .filter_map(|task| {
                let target_ms = self.step(*task)?.latency_target_ms?;
                let tail_ms = self.task(*task)?.last_metric;
                Some(tail_ms.saturating_mul(100) / target_ms.max(1))
            })
            .max()
    }

    /// Sets the pace of a worker's fillers after a report.
    pub(crate) fn set_pace(&mut self, key: WorkerKey, now_ms: u64) {
        let Some(worst) = self.worst_tail_percent(key) else {
            return;
        };
        let fillers: Vec<TaskKey> = self.workers[key]
            .tasks
            .keys()
            .copied()
            .filter(|task| self.step(*task).is_some_and(|step| step.fills))
            .filter(|task| {
                matches!(
                    self.task(*task).map(|t| t.phase),
                    Some(Phase::Running { .. })
                )
            })
            .collect();
        for task in fillers {
            self.set_task_pace(task, key, worst, now_ms);
        }
    }

    fn set_task_pace(&mut self, key: TaskKey, worker: WorkerKey, worst_percent: u64, now_ms: u64) {
        let Some(job) = self.jobs.get(key.group.job) else {
            return;
        };
        let name = job.task_name(key.group.group as usize, key.index as usize);
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let before = task.pace_percent;
        let after = match worst_percent {
            worst if worst > SLOW_DOWN_ABOVE_PERCENT => {
                let slower = if worst > 100 { before / 4 } else { before / 2 };
                if slower < MIN_PACE_PERCENT { 0 } else { slower }
            }
            worst
                if worst < SPEED_UP_BELOW_PERCENT
                    && now_ms > task.pace_set_ms + SPEED_UP_DELAY_MS =>
            {
                (before + SPEED_UP_STEP_PERCENT).min(100)
            }
            _ => before,
        };
        if after == before {
            return;
        }
        (task.pace_percent, task.pace_set_ms) = (after, now_ms);
        let run = task.run;
        self.orders.push(Order::Pace {
            worker,
            task_key: key,
            task: name,
            run,
            percent: after,
        });
        let why = format!(
            "task {name} at {after} % of full speed, worst tail latency at {worst_percent} % of its target"
        );
        self.record_decision(Some(name.job), "paced", why);
    }

    /// Resets the known pace after an order that was refused or unanswered; the next report sets it again.
    pub fn forget_pace(&mut self, key: TaskKey, run: u32) {
        if let Some(task) = self.task_mut(key)
            && task.run == run
        {
            task.pace_percent = 100;
        }
    }
}
