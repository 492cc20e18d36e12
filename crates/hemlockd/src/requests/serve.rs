//! Serves one request with the workers of this data centre.

use std::sync::Arc;

use admission::{AttemptEnd, Offer, Rejection};
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use model::prelude::*;
use tokio_util::sync::CancellationToken;

use super::admission_control::{Origin, Verdict, WaitingRequest, WorkerTarget};
use super::attempt::{AttemptContext, AttemptOutcome, run_attempt};
use super::{CheckedRequest, Outcome};
use crate::http::{NoAnswer, refuse};
use crate::node::Shared;
use crate::telemetry::metrics::retry_counter;

/// How a request left admission control of this data centre.
#[derive(Debug)]
pub(crate) enum LocalOutcome {
    /// The outcome is decided.
    Done(Outcome),
    /// Nothing was sent, and another data centre may be tried; if that fails, this is the refusal.
    Spill(Refused),
}

/// The future of one attempt; yields its worker and how it ended.
type AttemptFuture = BoxFuture<'static, (WorkerTarget, AttemptOutcome)>;

/// Serves `request` with the workers of this data centre.
///
/// `abandoned` is cancelled when the caller has disconnected; a request of which nothing was sent
/// is then withdrawn.
pub(crate) async fn serve_local(
    shared: Arc<Shared>,
    request: Arc<CheckedRequest>,
    work_id: Option<WorkId>,
    origin: Origin,
    abandoned: CancellationToken,
) -> LocalOutcome {
    let deadline_at_ms = shared.clock.now_ms() + request.remaining_ms;
    let offer = Offer {
        organisation: request.organisation.clone(),
        class: request.class.clone(),
        deadline_at_ms,
        idempotent: request.idempotent,
    };
    match shared.admission.offer(offer, origin) {
        Ok(waiting) => {
            let serving = Serving {
                shared,
                request,
                work_id,
                deadline_at_ms,
                waiting,
                attempts: FuturesUnordered::new(),
                unresolved: None,
            };
            serving.run(abandoned).await
        }
        Err(rejection) => LocalOutcome::Done(Err(to_refusal(rejection).into())),
    }
}

/// Converts a rejection by admission into a refusal; nothing has been sent.
fn to_refusal(rejection: Rejection) -> Refused {
    let refused = refuse(rejection.reason, rejection.detail);
    match rejection.retry_after_ms {
        Some(retry_after_ms) => refused.with_retry_after_ms(retry_after_ms),
        None => refused,
    }
}

/// A request that is being served.
struct Serving {
    shared: Arc<Shared>,
    request: Arc<CheckedRequest>,
    work_id: Option<WorkId>,
    deadline_at_ms: u64,
    waiting: WaitingRequest,
    attempts: FuturesUnordered<AttemptFuture>,
    /// Set when an attempt was sent and its outcome stayed unknown.
    unresolved: Option<UnknownReason>,
}

impl Serving {
    /// Runs attempts until the outcome of the request is decided.
    async fn run(mut self, abandoned: CancellationToken) -> LocalOutcome {
        loop {
            let is_idle = self.attempts.is_empty();
            tokio::select! {
                Some((target, outcome)) = self.attempts.next() => {
                    if let Some(outcome) = self.on_attempt(&target, outcome) {
                        return self.finish(LocalOutcome::Done(outcome));
                    }
                }
                verdict = self.waiting.next_verdict() => {
                    if let Some(outcome) = self.on_verdict(verdict) {
                        return self.finish(outcome);
                    }
                }
                () = abandoned.cancelled(), if is_idle && self.unresolved.is_none() => {
                    let refused = refuse(RefusalReason::Cancelled, "the caller has gone");
                    return LocalOutcome::Done(Err(refused.into()));
                }
            }
        }
    }

    /// Removes the request from admission control and returns its outcome.
    fn finish(self, outcome: LocalOutcome) -> LocalOutcome {
        self.waiting.finish();
        outcome
    }

    /// Handles a verdict of admission; returns the outcome once it is decided.
    fn on_verdict(&mut self, verdict: Option<Verdict>) -> Option<LocalOutcome> {
        match verdict {
            Some(Verdict::Start { target, hedge }) => {
                let error = self.start_attempt(target, hedge).err()?;
                Some(LocalOutcome::Done(Err(error)))
            }
            Some(Verdict::Spill(rejection)) if self.is_unsent() => {
                Some(LocalOutcome::Spill(to_refusal(rejection)))
            }
            Some(Verdict::Spill(_)) => None,
            Some(Verdict::Reject(rejection)) => self
                .reject(rejection)
                .map(|no_answer| LocalOutcome::Done(Err(no_answer))),
            None => {
                let refused = refuse(RefusalReason::Stopping, "the node is stopping");
                Some(LocalOutcome::Done(Err(refused.into())))
            }
        }
    }

    /// Returns whether no attempt is in flight and none has an unknown outcome.
    fn is_unsent(&self) -> bool {
        self.attempts.is_empty() && self.unresolved.is_none()
    }

    /// Returns the reply to the caller after a rejection; `None` while an attempt is in flight.
    fn reject(&self, rejection: Rejection) -> Option<NoAnswer> {
        if !self.attempts.is_empty() {
            return None;
        }
        Some(match self.unresolved {
            Some(reason) => NoAnswer::Unknown(OutcomeUnknown {
                reason,
                detail: rejection.detail,
            }),
            None => NoAnswer::Refused(to_refusal(rejection)),
        })
    }

    /// Starts an attempt on `target`. With a ticket, no attempt is sent while an earlier one may
    /// have run.
    fn start_attempt(&mut self, target: WorkerTarget, hedge: bool) -> Result<(), NoAnswer> {
        if let Some(ticket) = &self.request.ticket
            && let Err(e) = self.shared.tickets.sent(ticket, &target.name)
        {
            self.waiting.attempt_ended(target.key, AttemptEnd::NotSent);
            let reason = UnknownReason::TicketSeen;
            return Err(NoAnswer::Unknown(OutcomeUnknown {
                reason,
                detail: e.to_string(),
            }));
        }
        if hedge {
            self.shared.metrics.count("attempts.hedged");
            self.shared
                .metrics
                .count(&retry_counter(RetryReason::Hedge));
        }
        let shared = Arc::clone(&self.shared);
        let request = Arc::clone(&self.request);
        let work_id = self
            .work_id
            .clone()
            .unwrap_or_else(|| shared.next_work_id());
        let deadline_at_ms = self.deadline_at_ms;
        self.attempts.push(Box::pin(async move {
            let context = AttemptContext {
                workers: &shared.workers,
                metrics: &shared.metrics,
                clock: shared.clock,
                target: &target,
                deadline_at_ms,
            };
            let outcome = run_attempt(&context, &request, work_id).await;
            (target, outcome)
        }));
        Ok(())
    }

    /// Handles the end of an attempt; returns the outcome of the request once it is decided.
    fn on_attempt(&mut self, target: &WorkerTarget, outcome: AttemptOutcome) -> Option<Outcome> {
        match outcome {
            AttemptOutcome::Answered(answer) => {
                self.waiting.attempt_ended(target.key, AttemptEnd::Answered);
                self.shared
                    .acknowledgements
                    .push(target.address, answer.work_id.clone());
                Some(Ok(answer))
            }
            AttemptOutcome::Failed(failed) => {
                self.waiting.attempt_ended(target.key, AttemptEnd::Failed);
                Some(Err(NoAnswer::Failed(failed)))
            }
            AttemptOutcome::Unknown(unknown) => {
                self.waiting.attempt_ended(target.key, AttemptEnd::Lost);
                Some(Err(NoAnswer::Unknown(unknown)))
            }
            AttemptOutcome::Retry {
                reason,
                proof,
                is_leaving,
            } => {
                self.record_retry(target, reason, is_leaving);
                self.record_proof(proof);
                self.retry_or_finish(reason)
            }
        }
    }

    /// Reports an attempt that may be repeated to admission and membership.
    fn record_retry(&self, target: &WorkerTarget, reason: RetryReason, is_leaving: bool) {
        let end = match reason {
            RetryReason::ConnectFailed => AttemptEnd::NotSent,
            RetryReason::WorkerRefused => AttemptEnd::RefusedByWorker,
            RetryReason::ConnectionSilent => AttemptEnd::Unresponsive,
            _ => AttemptEnd::Lost,
        };
        self.waiting.attempt_ended(target.key, end);
        if is_leaving {
            self.shared.mark_leaving(&target.name);
        }
    }

    /// Records whether the attempt is proved not to have run.
    fn record_proof(&mut self, proof: Option<NotRunProof>) {
        match (proof, &self.request.ticket) {
            (Some(proof), Some(ticket)) => self.shared.tickets.not_sent(ticket, &proof),
            (Some(_), None) => {}
            (None, _) => self.unresolved = Some(UnknownReason::WorkerLost),
        }
    }

    /// Queues the request for another attempt; returns the outcome if that is refused.
    fn retry_or_finish(&mut self, reason: RetryReason) -> Option<Outcome> {
        self.shared.metrics.count(&retry_counter(reason));
        match self.waiting.retry(reason) {
            Ok(()) => None,
            Err(rejection) => self.reject(rejection).map(Err),
        }
    }
}
