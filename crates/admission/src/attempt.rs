//! Handling of ended attempts, and retries.

use model::prelude::*;

use crate::core::Admission;
use crate::request::Phase;
use crate::retry::backoff_ms;
use crate::timer::Timer;
use crate::types::{AttemptEnd, Rejection, RequestKey, WorkerKey};

impl Admission {
    /// Records the end of an attempt: frees its slot and updates the observed run time of the class
    /// and the health of the worker.
    pub fn attempt_ended(
        &mut self,
        now_ms: u64,
        request: RequestKey,
        worker: WorkerKey,
        end: AttemptEnd,
    ) {
        let key = request;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let mut attempts = request.in_flight.iter();
        let Some(at) = attempts.position(|attempt| attempt.worker == worker) else {
            return;
        };
        let attempt = request.in_flight.swap_remove(at);
        let (class, organisation) = (request.class, request.organisation);
        if request.in_flight.is_empty() {
            if request.phase == Phase::Finished {
                self.requests.remove(key);
            } else if request.phase == Phase::Running {
                request.phase = Phase::Ended;
            }
        }
        let queue = &mut self.classes[class];
        queue.in_flight = queue.in_flight.saturating_sub(1);
        let mut slowdown = None;
        if end == AttemptEnd::Answered {
            let run_ms = now_ms.saturating_sub(attempt.started_ms) as f64;
            slowdown = Some(run_ms / queue.run.mean_ms);
            queue.run.record(run_ms);
        }
        self.lanes.leave(attempt.lane);
        let state = &mut self.organisations[organisation];
        state.in_flight = state.in_flight.saturating_sub(1);
        self.rerank(organisation);
        if let Some(reopen_ms) = self.workers.end(now_ms, worker, end, slowdown) {
            self.timers.push(reopen_ms, Timer::Reopen(worker));
        }
    }

    /// Queues a request again after a backoff; returns the backoff in milliseconds.
    ///
    /// The outcome of all earlier attempts must be proved, or the work must be idempotent. A retry
    /// after a refusal by the worker costs no retry budget, since nothing was run. Neither does the
    /// first retry after a connection became unresponsive: all connections of a data centre may do
    /// so at the same time, and the worker has confirmed over a new connection that it does not
    /// know the work.
    ///
    /// # Errors
    ///
    /// Returns why the request is not sent again; it stays open until [`Admission::finish`].
    pub fn retry(
        &mut self,
        now_ms: u64,
        request: RequestKey,
        reason: RetryReason,
    ) -> Result<u64, Rejection> {
        let key = request;
        let Some(request) = self.requests.get(key) else {
            return Err(Rejection {
                reason: RefusalReason::NotFound,
                detail: "the request has its outcome".to_owned(),
                retry_after_ms: None,
            });
        };
        let (class, organisation) = (request.class, request.organisation);
        if request.phase != Phase::Ended {
            let detail = "the request waits or is in flight";
            return Err(self.rejection(now_ms, class, RefusalReason::Conflict, detail));
        }
        if let Some(denial_reason) = self.denial_reason(class, organisation) {
            return Err(self.rejection(
                now_ms,
                class,
                denial_reason,
                "the declarations have changed",
            ));
        }
        let is_refusal = reason == RetryReason::WorkerRefused;
        let delay_ms = backoff_ms(&mut self.rng, request.attempts, is_refusal);
        if self.config.shedding && now_ms + delay_ms > request.latest_start_ms {
            let detail = "the deadline cannot be met by another attempt";
            let reason = RefusalReason::DeadlineUnreachable;
            return Err(self.rejection(now_ms, class, reason, detail));
        }
        let is_first_timeout = reason == RetryReason::ConnectionSilent && request.attempts <= 1;
        let is_free = is_refusal || is_first_timeout;
        if self.config.retry_budget && !is_free && !self.spend_retry(organisation) {
            let detail = format!("no retry left after {reason}");
            return Err(self.rejection(now_ms, class, RefusalReason::RetryBudgetUsed, detail));
        }
        if let Some(request) = self.requests.get_mut(key) {
            request.phase = Phase::BackingOff;
        }
        self.timers.push(now_ms + delay_ms, Timer::Requeue(key));
        Ok(delay_ms)
    }

    /// Spends a retry from the budgets of the organisation and of the node; returns whether both
    /// had one left.
    fn spend_retry(&mut self, organisation: usize) -> bool {
        let own = &mut self.organisations[organisation].retries;
        if !own.has_token() || !self.node_retries.has_token() {
            return false;
        }
        own.spend();
        self.node_retries.spend();
        true
    }
}
