//! State machine that delivers one request to one worker and its complete answer to the caller.
//!
//! A call that times out is not waited for: the status of the work is queried over a new
//! connection. An answer is checked, acknowledged and delivered once; later replies are dropped and
//! counted.

use std::collections::VecDeque;

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::call::CallFailure;

/// Durations and limits of a delivery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DeliveryConfig {
    /// Time without a reply after which the worker is queried over a new connection.
    pub progress_timeout_ms: u64,
    /// Initial pause between two status queries; it doubles with each query.
    pub status_pause_ms: u64,
    /// Longest pause between two status queries.
    pub status_pause_ms_max: u64,
    /// Consecutive unanswered status queries after which the worker counts as lost.
    pub status_failures_max: u32,
    /// Largest number of times that a damaged or mismatched answer is fetched again.
    pub fetches_max: u32,
    /// Time after which a hedged request is sent for idempotent work; `None` to send none.
    pub hedge_after_ms: Option<u64>,
}

impl Default for DeliveryConfig {
    fn default() -> Self {
        Self {
            progress_timeout_ms: 1_000,
            status_pause_ms: 250,
            status_pause_ms_max: 4_000,
            status_failures_max: 4,
            fetches_max: 3,
            hedge_after_ms: None,
        }
    }
}

/// How a delivery ended for its caller.
#[derive(Debug)]
pub enum Delivered<B> {
    /// The complete answer to this request.
    Answer(RunAnswer<B>),
    /// The work ran and failed.
    Failed(Failed),
    /// It is not known whether the work ran.
    Unknown(OutcomeUnknown),
}

/// What the caller of a delivery has to do.
#[derive(Debug)]
pub enum Action<B> {
    /// Send the request to the worker.
    Run,
    /// Query the status of the request from the worker, over a new connection.
    AskStatus {
        /// Pause before the query.
        after_ms: u64,
    },
    /// Allow the worker to forget the result.
    Acknowledge,
    /// Return this to the caller; the delivery is over.
    Deliver(Delivered<B>),
    /// Send the request to another worker if the retry budget allows it.
    ///
    /// If it does not, the caller may be refused when there is a proof, and keeps waiting after
    /// [`RetryReason::Hedge`]. The delivery is over, except after a hedge.
    Retry {
        /// Reason of the retry.
        reason: RetryReason,
        /// Proof that this attempt was not run; `None` for idempotent work that may have run.
        proof: Option<NotRunProof>,
    },
}

/// Counters of unusual events of a delivery.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DeliveryCounts {
    /// Replies that arrived after the end of the delivery.
    pub late: u32,
    /// Replies that belong to other work.
    pub crossed: u32,
    /// Answers with a wrong length or digest.
    pub damaged: u32,
    /// Calls that timed out without a reply.
    pub timed_out: u32,
}

/// State of the status query to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StatusQuery {
    Closed,
    /// Requested since the last tick; the next tick sets its deadline.
    Fresh {
        after_ms: u64,
    },
    /// In flight; counts as unanswered at the deadline.
    Open {
        deadline_ms: u64,
    },
}

/// State machine of one attempt to run a request on one worker.
#[derive(Debug)]
pub struct Delivery<B> {
    config: DeliveryConfig,
    work_id: WorkId,
    idempotent: bool,
    deadline_ms: u64,
    started_ms: u64,
    attempt: Option<Attempt<Unsent>>,
    call_open: bool,
    status: StatusQuery,
    hedged: bool,
    status_failures: u32,
    fetches: u32,
    pause_ms: u64,
    actions: VecDeque<Action<B>>,
    counts: DeliveryCounts,
}

impl<B: AsRef<[u8]>> Delivery<B> {
    /// Starts the delivery; the first action is [`Action::Run`].
    pub fn new(
        config: DeliveryConfig,
        now_ms: u64,
        work_id: WorkId,
        idempotent: bool,
        deadline_ms: u64,
    ) -> Self {
        Self {
            config,
            attempt: Some(Attempt::new(work_id.clone())),
            work_id,
            idempotent,
            deadline_ms,
            started_ms: now_ms,
            call_open: true,
            status: StatusQuery::Closed,
            hedged: false,
            status_failures: 0,
            fetches: 0,
            pause_ms: config.status_pause_ms,
            actions: VecDeque::from([Action::Run]),
            counts: DeliveryCounts::default(),
        }
    }

    /// Returns the identifier of the work.
    pub const fn work_id(&self) -> &WorkId {
        &self.work_id
    }

    /// Takes the next action, in order.
    pub fn poll(&mut self) -> Option<Action<B>> {
        self.actions.pop_front()
    }

    /// Returns whether the delivery is over.
    pub const fn is_over(&self) -> bool {
        self.attempt.is_none()
    }

    /// Returns the counters so far.
    pub const fn counts(&self) -> DeliveryCounts {
        self.counts
    }

    /// Returns the time at which [`Delivery::tick`] has to be called next; `None` once the delivery
    /// is over.
    pub fn next_wake_ms(&self) -> Option<u64> {
        if self.is_over() {
            return None;
        }
        let timeout_at_ms = self.started_ms + self.config.progress_timeout_ms;
        let timeout_at_ms = (self.call_open && !self.is_query_open()).then_some(timeout_at_ms);
        let status_at_ms = match self.status {
            StatusQuery::Closed => None,
            StatusQuery::Fresh { .. } => Some(self.started_ms),
            StatusQuery::Open { deadline_ms } => Some(deadline_ms),
        };
        let hedge_at_ms = self.hedge_at_ms();
        [
            timeout_at_ms,
            status_at_ms,
            hedge_at_ms,
            Some(self.deadline_ms),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Handles the result of the call that runs the request.
    pub fn on_reply(&mut self, reply: Result<RunReply<B>, CallFailure>) {
        if self.is_over() {
            self.count_late(reply.is_ok());
            return;
        }
        self.call_open = false;
        match reply {
            Ok(reply) => self.handle_run_reply(reply),
            Err(CallFailure::NotSent) => {
                let proof = self.attempt.take().map(Attempt::<Unsent>::into_proof);
                self.retry(RetryReason::ConnectFailed, proof);
            }
            Err(CallFailure::ReplyLost) => self.query_status(0),
        }
    }

    /// Handles the result of a status query.
    pub fn on_status(&mut self, status: Result<WorkStatus<B>, CallFailure>) {
        if self.is_over() {
            self.count_late(matches!(status, Ok(WorkStatus::Ended(_))));
            return;
        }
        self.status = StatusQuery::Closed;
        match status {
            Ok(WorkStatus::Ended(reply)) => self.handle_run_reply(reply),
            Ok(WorkStatus::Running { .. }) => {
                self.status_failures = 0;
                self.query_status_later();
            }
            Ok(WorkStatus::Unknown) => self.on_unknown_work(),
            Err(_) => self.on_status_failure(),
        }
    }

    /// Handles all timeouts that are due at `now_ms`.
    pub fn tick(&mut self, now_ms: u64) {
        if self.is_over() {
            return;
        }
        if now_ms >= self.deadline_ms {
            self.deliver_unknown(UnknownReason::DeadlinePassedAfterSend);
            return;
        }
        let timeout_at_ms = self.started_ms + self.config.progress_timeout_ms;
        if self.call_open && !self.is_query_open() && now_ms >= timeout_at_ms {
            self.counts.timed_out += 1;
            self.call_open = false;
            self.query_status(0);
        }
        self.tick_status(now_ms);
        if self.hedge_at_ms().is_some_and(|at_ms| now_ms >= at_ms) {
            self.hedged = true;
            let reason = RetryReason::Hedge;
            let proof = None;
            self.actions.push_back(Action::Retry { reason, proof });
        }
    }

    fn is_query_open(&self) -> bool {
        self.status != StatusQuery::Closed
    }

    fn tick_status(&mut self, now_ms: u64) {
        match self.status {
            StatusQuery::Fresh { after_ms } => {
                let deadline_ms = now_ms + after_ms + self.config.progress_timeout_ms;
                self.status = StatusQuery::Open { deadline_ms };
            }
            StatusQuery::Open { deadline_ms } if now_ms >= deadline_ms => {
                self.status = StatusQuery::Closed;
                self.on_status_failure();
            }
            StatusQuery::Closed | StatusQuery::Open { .. } => {}
        }
    }

    fn hedge_at_ms(&self) -> Option<u64> {
        let after_ms = self.config.hedge_after_ms?;
        (self.idempotent && !self.hedged && !self.is_over()).then_some(self.started_ms + after_ms)
    }

    fn handle_run_reply(&mut self, reply: RunReply<B>) {
        match reply {
            RunReply::Answered(answer) => match answer.check(&self.work_id) {
                Ok(()) => self.acknowledge_and_deliver(Delivered::Answer(answer)),
                Err(AnswerDefect::Crossed) => self.on_crossed(),
                Err(AnswerDefect::Damaged) => self.on_damaged(),
            },
            RunReply::Failed { work_id, detail } if work_id == self.work_id => {
                let reason = FailureReason::WorkerReportedFailure;
                self.acknowledge_and_deliver(Delivered::Failed(Failed { reason, detail }));
            }
            RunReply::Failed { .. } => self.on_crossed(),
            RunReply::Refused(refusal) if refusal.work_id != self.work_id => self.on_crossed(),
            RunReply::Refused(refusal) => self.on_refusal(&refusal),
        }
    }

    /// Handles a refusal: the worker has not run this attempt, but may have run an earlier one with
    /// the same ticket.
    fn on_refusal(&mut self, refusal: &WorkerRefusal) {
        if refusal.why == WorkerRefusalReason::TicketSeen {
            self.deliver_unknown(UnknownReason::TicketSeen);
            return;
        }
        let attempt = self.attempt.take().map(Attempt::into_sent);
        let proof = attempt.and_then(|attempt| attempt.into_proof(refusal));
        self.retry(RetryReason::WorkerRefused, proof);
    }

    fn on_crossed(&mut self) {
        self.counts.crossed += 1;
        self.refetch_answer(RetryReason::AnswerCrossed);
    }

    fn on_damaged(&mut self) {
        self.counts.damaged += 1;
        self.refetch_answer(RetryReason::AnswerDamaged);
    }

    fn refetch_answer(&mut self, reason: RetryReason) {
        self.fetches += 1;
        if self.fetches <= self.config.fetches_max {
            self.query_status(0);
        } else if self.idempotent {
            self.attempt = None;
            self.retry(reason, None);
        } else if reason == RetryReason::AnswerDamaged {
            self.deliver(Delivered::Failed(Failed {
                reason: FailureReason::AnswerDamaged,
                detail: "the work ran and its answer arrived damaged each time".to_owned(),
            }));
        } else {
            self.deliver_unknown(UnknownReason::LinkLost);
        }
    }

    /// Handles the answer that the worker has not seen the request, which may still be in flight.
    fn on_unknown_work(&mut self) {
        if self.idempotent {
            self.attempt = None;
            self.retry(RetryReason::ConnectionSilent, None);
        } else {
            self.query_status_later();
        }
    }

    fn on_status_failure(&mut self) {
        self.status_failures += 1;
        if self.status_failures < self.config.status_failures_max {
            self.query_status_later();
        } else if self.idempotent {
            self.attempt = None;
            self.retry(RetryReason::WorkerLost, None);
        } else {
            self.deliver_unknown(UnknownReason::WorkerLost);
        }
    }

    fn query_status_later(&mut self) {
        let after_ms = self.pause_ms;
        self.pause_ms = (2 * after_ms).min(self.config.status_pause_ms_max);
        self.query_status(after_ms);
    }

    fn query_status(&mut self, after_ms: u64) {
        if !self.is_query_open() {
            self.status = StatusQuery::Fresh { after_ms };
            self.actions.push_back(Action::AskStatus { after_ms });
        }
    }

    fn retry(&mut self, reason: RetryReason, proof: Option<NotRunProof>) {
        self.actions.push_back(Action::Retry { reason, proof });
    }

    fn acknowledge_and_deliver(&mut self, delivered: Delivered<B>) {
        self.actions.push_back(Action::Acknowledge);
        self.deliver(delivered);
    }

    fn deliver_unknown(&mut self, reason: UnknownReason) {
        let detail = format!("{} may have run", self.work_id);
        self.deliver(Delivered::Unknown(OutcomeUnknown { reason, detail }));
    }

    fn deliver(&mut self, delivered: Delivered<B>) {
        self.attempt = None;
        self.actions.push_back(Action::Deliver(delivered));
    }

    fn count_late(&mut self, has_result: bool) {
        self.counts.late += 1;
        if has_result {
            self.actions.push_back(Action::Acknowledge);
        }
    }
}
