//! One attempt of a request on one worker: performs the calls that the delivery state machine asks
//! for and returns how the attempt ended.

use std::time::Duration;

use bytes::Bytes;
use dispatch::call::CallFailure;
use dispatch::delivery::{Action, Delivered, Delivery, DeliveryConfig, DeliveryCounts};
use futures::future::{FutureExt, OptionFuture};
use model::prelude::*;
use platform::error::CallError;
use platform::http_worker::HttpWorkerApi;
use platform::worker::WorkerApi;

use super::admission_control::WorkerTarget;
use super::{Answer, CheckedRequest};
use crate::clock::Clock;
use crate::telemetry::metrics::{Metrics, retry_counter};

/// Time after the deadline in which an answer is still delivered, in milliseconds.
const REPLY_MARGIN_MS: u64 = 500;

/// Time after the deadline in which the outcome of once-only work is still polled, in milliseconds.
const ONCE_ONLY_MARGIN_MS: u64 = 600_000;

/// Maximum sleep between two checks of the delivery timers, in milliseconds.
const SLEEP_MS_MAX: u64 = 1_000;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The worker answered and the answer passed its checks.
    Answered(Answer),
    /// The work ran and failed.
    Failed(Failed),
    /// It is unknown whether the work ran, and it must not be sent again.
    Unknown(OutcomeUnknown),
    /// The work may be sent again.
    Retry {
        /// Reason for the retry.
        reason: RetryReason,
        /// Proof that this attempt was not run; absent for idempotent work.
        proof: Option<NotRunProof>,
        /// Whether the worker reported that it is leaving.
        is_leaving: bool,
    },
}

/// Dependencies of one attempt.
pub(crate) struct AttemptContext<'a> {
    /// Client of the workers.
    pub(crate) workers: &'a HttpWorkerApi,
    /// Counters.
    pub(crate) metrics: &'a Metrics,
    /// Clock.
    pub(crate) clock: Clock,
    /// The worker.
    pub(crate) target: &'a WorkerTarget,
    /// Time by which the answer must have arrived, in milliseconds since the Unix epoch.
    pub(crate) deadline_at_ms: u64,
}

/// Sends `request` as `work_id` and follows it until its outcome is decided.
pub(crate) async fn run_attempt(
    context: &AttemptContext<'_>,
    request: &CheckedRequest,
    work_id: WorkId,
) -> AttemptOutcome {
    let now_ms = context.clock.now_ms();
    let margin_ms = if request.ticket.is_some() {
        ONCE_ONLY_MARGIN_MS
    } else {
        REPLY_MARGIN_MS
    };
    let until_ms = context.deadline_at_ms + margin_ms;
    let delivery = Delivery::new(
        DeliveryConfig::default(),
        now_ms,
        work_id.clone(),
        request.idempotent,
        until_ms,
    );
    let remaining_ms = context.deadline_at_ms.saturating_sub(now_ms).max(1);
    let run_request = RunRequest {
        work_id,
        ticket: request.ticket.clone(),
        organisation: request.organisation.clone(),
        class: request.class.clone(),
        remaining_ms,
        body: request.body.clone(),
    };
    let driver = Driver {
        context,
        delivery,
        is_leaving: false,
    };
    driver
        .drive(&run_request, until_ms.saturating_sub(now_ms))
        .await
}

/// Performs the actions of one delivery.
struct Driver<'a> {
    context: &'a AttemptContext<'a>,
    delivery: Delivery<Bytes>,
    is_leaving: bool,
}

impl Driver<'_> {
    /// Drives the delivery until its outcome is decided.
    async fn drive(mut self, request: &RunRequest<Bytes>, timeout_ms: u64) -> AttemptOutcome {
        let workers = self.context.workers;
        let address = self.context.target.address;
        let run = workers.run(address, request, timeout_ms).fuse();
        tokio::pin!(run);
        let mut status = OptionFuture::default();
        loop {
            if let Some(outcome) = self.perform_actions(&mut status, &request.work_id) {
                self.record_counts(self.delivery.counts());
                return outcome;
            }
            let sleep_ms = self.sleep_ms();
            tokio::select! {
                biased;
                reply = &mut run => {
                    self.record_refusal(&reply);
                    self.delivery.on_reply(reply.map_err(|e| to_call_failure(&e)));
                }
                Some(reply) = &mut status => {
                    status = OptionFuture::default();
                    self.delivery.on_status(reply);
                }
                () = tokio::time::sleep(Duration::from_millis(sleep_ms)) => {
                    self.delivery.tick(self.context.clock.now_ms());
                }
            }
        }
    }

    /// Performs the actions that are due; returns the outcome once the delivery has ended.
    fn perform_actions<'f>(
        &mut self,
        status: &mut OptionFuture<futures::future::BoxFuture<'f, StatusReply>>,
        work_id: &'f WorkId,
    ) -> Option<AttemptOutcome>
    where
        Self: 'f,
    {
        let mut outcome = None;
        while let Some(action) = self.delivery.poll() {
            match action {
                // The run call is in flight from the start; its result is acknowledged in batches.
                Action::Run | Action::Acknowledge => {}
                Action::AskStatus { after_ms } => {
                    let workers = self.context.workers.clone();
                    let address = self.context.target.address;
                    let query = async move {
                        tokio::time::sleep(Duration::from_millis(after_ms)).await;
                        workers
                            .status(address, work_id)
                            .await
                            .map_err(|e| to_call_failure(&e))
                    };
                    *status = Some(query.boxed()).into();
                }
                Action::Deliver(delivered) => outcome = Some(to_attempt_outcome(delivered)),
                Action::Retry { reason, proof } => {
                    let is_leaving = self.is_leaving;
                    outcome = Some(AttemptOutcome::Retry {
                        reason,
                        proof,
                        is_leaving,
                    });
                }
            }
        }
        outcome
    }

    /// Returns the time until the next check of the delivery timers, in milliseconds.
    fn sleep_ms(&self) -> u64 {
        let now_ms = self.context.clock.now_ms();
        let wake_ms = self.delivery.next_wake_ms().unwrap_or(now_ms);
        wake_ms.saturating_sub(now_ms).clamp(1, SLEEP_MS_MAX)
    }

    /// Records whether the worker refused because it is leaving.
    fn record_refusal(&mut self, reply: &Result<RunReply<Bytes>, CallError>) {
        if let Ok(RunReply::Refused(refusal)) = reply {
            self.is_leaving = refusal.why == WorkerRefusalReason::Leaving;
        }
    }

    /// Adds the anomalies of the delivery to the metrics.
    fn record_counts(&self, counts: DeliveryCounts) {
        let metrics = self.context.metrics;
        let counters = [
            ("answers.late".to_owned(), counts.late),
            ("answers.crossed".to_owned(), counts.crossed),
            ("answers.damaged".to_owned(), counts.damaged),
            (
                retry_counter(RetryReason::ConnectionSilent),
                counts.timed_out,
            ),
        ];
        for (name, count) in counters.into_iter().filter(|(_, count)| *count > 0) {
            metrics.count_many(&name, count.into());
        }
    }
}

/// Reply to a status query.
type StatusReply = Result<WorkStatus<Bytes>, CallFailure>;

/// Maps a failed call to what the delivery state machine needs to know.
fn to_call_failure(error: &CallError) -> CallFailure {
    if error.is_without_effect() {
        CallFailure::NotSent
    } else {
        CallFailure::ReplyLost
    }
}

/// Converts the result of a delivery that has ended.
fn to_attempt_outcome(delivered: Delivered<Bytes>) -> AttemptOutcome {
    match delivered {
        Delivered::Answer(RunAnswer {
            work_id,
            digest,
            body,
            ..
        }) => AttemptOutcome::Answered(Answer {
            work_id,
            digest,
            body,
        }),
        Delivered::Failed(failed) => AttemptOutcome::Failed(failed),
        Delivered::Unknown(unknown) => AttemptOutcome::Unknown(unknown),
    }
}
