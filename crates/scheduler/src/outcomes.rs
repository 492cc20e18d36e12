//! Applies the outcomes of start and stop orders.

use crate::group::{JobKey, Phase, TaskKey};
use crate::orders::{StartOutcome, StopOutcome};
use crate::planner::Planner;
use crate::worker::WorkerKey;

/// A task whose start was refused is not started again before this time has passed.
const REFUSAL_BACKOFF_MS: u64 = 300;

impl Planner {
    /// Applies the outcome of a start.
    pub fn apply_start_outcome(
        &mut self,
        key: TaskKey,
        run: u32,
        outcome: StartOutcome,
        now_ms: u64,
    ) {
        self.changed = true;
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let Phase::Starting { worker, unanswered } = task.phase else {
            return;
        };
        if task.run != run {
            return;
        }
        match outcome {
            StartOutcome::Started { received_ms } => self.confirm_start(key, worker, received_ms),
            StartOutcome::NoAnswer => {
                task.phase = Phase::Starting {
                    worker,
                    unanswered: true,
                };
                task.start_in_doubt = true;
                let placed_ms = task.placed_ms;
                if !self.jobs[key.group.job].has_started {
                    self.mark_dirty(key.group.job);
                }
                self.counts.unanswered += 1;
                let restarted = self
                    .workers
                    .get(worker)
                    .is_some_and(|w| placed_ms < w.restarted_ms);
                match restarted {
                    true => self.stop_start_before_restart(key, worker, now_ms),
                    false => self.push_start(key, worker, true),
                }
            }
            StartOutcome::OlderTerm => self.superseded = true,
            _ => self.handle_refused_start(key, worker, unanswered, outcome, now_ms),
        }
    }

    /// Stops a run whose start got no answer and was sent before the worker restarted. The start may have crashed the
    /// worker, so it is not sent again; the next incarnation may still carry it out.
    fn stop_start_before_restart(&mut self, key: TaskKey, worker: WorkerKey, now_ms: u64) {
        if let Some(loss) = self.workers.get(worker).and_then(|w| w.loss()) {
            self.count_crashes(&[key], worker, loss);
        }
        self.push_stop(key, worker, false, now_ms);
    }

    fn confirm_start(&mut self, key: TaskKey, worker: WorkerKey, received_ms: u64) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        task.phase = Phase::Running {
            worker,
            confirmed_ms: received_ms,
        };
        task.started_ms = received_ms;
        task.progressed_ms = received_ms;
        self.record_start(key.group.job);
        let job = &self.jobs[key.group.job];
        let first = job
            .groups
            .iter()
            .flat_map(|g| g.tasks.iter())
            .filter(|t| t.started_ms > 0)
            .count()
            == 1;
        if first {
            self.first_start_ms
                .push(received_ms.saturating_sub(job.known_ms));
        }
    }

    /// Records that a run of a job has started.
    pub(crate) fn record_start(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if !std::mem::replace(&mut job.has_started, true) && job.is_shown_waiting {
            self.mark_dirty(key);
        }
    }

    /// Handles a refused start: the task starts elsewhere, unless an earlier unanswered call may still take effect.
    fn handle_refused_start(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        unanswered: bool,
        why: StartOutcome,
        now_ms: u64,
    ) {
        self.counts.refused += 1;
        let id = self.jobs[key.group.job].stored.id;
        let name = self
            .workers
            .get(worker)
            .map_or_else(String::new, |w| w.entry.id.clone());
        self.record_decision(
            Some(id),
            "start refused",
            format!("worker {name}: {why:?}, earlier call unanswered: {unanswered}"),
        );
        if unanswered || why == StartOutcome::OldRun {
            return self.push_stop(key, worker, false, now_ms);
        }
        if why == StartOutcome::NoTicket {
            self.jobs[key.group.job].groups[key.group.group as usize]
                .tickets
                .forget(worker);
        }
        if let Some(task) = self.task_mut(key) {
            task.avoid = Some(worker);
            task.not_before_ms = now_ms + REFUSAL_BACKOFF_MS;
        }
        if why == StartOutcome::OtherLife {
            self.record_unanswered_renewal(worker);
        }
        if why == StartOutcome::Unhealthy
            && let Some(worker) = self.workers.get_mut(worker)
        {
            worker.health.quarantine(now_ms);
        }
        self.release_task(key, Phase::Waiting, now_ms);
        if self.is_gang(key.group) {
            self.tear_down_gang(key.group, now_ms);
        }
    }

    /// Returns whether a later incarnation of a worker has answered since an order was sent, which may have been taken by
    /// the earlier one.
    fn has_restarted_since(&self, worker: WorkerKey, sent_ms: u64) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|w| sent_ms <= w.restarted_ms)
    }

    /// Applies the outcome of a stop.
    pub fn apply_stop_outcome(
        &mut self,
        key: TaskKey,
        run: u32,
        outcome: StopOutcome,
        now_ms: u64,
    ) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let Phase::Stopping {
            worker,
            confirmed_ms: None,
        } = task.phase
        else {
            return;
        };
        if task.run != run {
            return;
        }
        let outcome = match outcome {
            StopOutcome::Taken { sent_ms, .. } if self.has_restarted_since(worker, sent_ms) => {
                StopOutcome::NoAnswer
            }
            outcome => outcome,
        };
        let Some(task) = self.task_mut(key) else {
            return;
        };
        match outcome {
            StopOutcome::Taken { received_ms, .. } => {
                task.phase = Phase::Stopping {
                    worker,
                    confirmed_ms: Some(received_ms),
                };
            }
            StopOutcome::OlderTerm => self.superseded = true,
            // The run may go on where the worker is.
            StopOutcome::OtherLife | StopOutcome::NoAnswer => {
                self.counts.unanswered += 1;
                self.push_stop(key, worker, true, now_ms);
            }
        }
    }
}
