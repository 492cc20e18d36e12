//! Once-only requests: the tickets that this node holds, and forwarding to the node that holds a
//! ticket.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use dispatch::tickets::{Begin, HandOver, SendError, StoredOutcome, TicketBook, TicketConfig};
use model::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::admission_control::Origin;
use super::fenced::answer_for_dead_issuer;
use super::serve::{LocalOutcome, serve_local};
use super::{Answer, CheckedRequest, Outcome};
use crate::http::{NoAnswer, refuse};
use crate::node::Shared;
use crate::peers::RunOutcome;

/// Maximum number of forwards of one request between nodes.
const FORWARDS_MAX: u8 = 3;

/// Time after the deadline that the holder of a ticket may take to reply, in milliseconds.
const FORWARD_MARGIN_MS: u64 = 1_500;

/// The outcome, once decided, for all callers that use the same ticket.
type Pending = watch::Receiver<Option<RunOutcome>>;

/// Tickets that this node holds.
pub(crate) struct Tickets {
    book: Mutex<TicketBook>,
    pending: Mutex<HashMap<Ticket, Pending>>,
}

impl Tickets {
    /// Creates the tickets of a node that has issued none yet.
    pub(crate) fn new(
        data_centre: DataCentreName,
        node: NodeName,
        incarnation: Incarnation,
        valid_ms: u64,
    ) -> Self {
        let config = TicketConfig {
            valid_ms,
            keep_ms: 3 * valid_ms,
            ..TicketConfig::default()
        };
        Self {
            book: Mutex::new(TicketBook::new(data_centre, node, incarnation, config)),
            pending: Mutex::default(),
        }
    }

    fn book(&self) -> MutexGuard<'_, TicketBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<Ticket, Pending>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Issues up to `count` tickets.
    pub(crate) fn draw(&self, now_ms: u64, count: u32) -> Vec<Ticket> {
        self.book().draw(now_ms, count)
    }

    /// Returns the time within which a ticket must be used, in milliseconds.
    pub(crate) fn valid_ms(&self) -> u64 {
        self.book().valid_ms()
    }

    /// Records that the request may be sent to `worker`.
    ///
    /// # Errors
    ///
    /// The request must not be sent.
    pub(crate) fn sent(&self, ticket: &Ticket, worker: &WorkerName) -> Result<(), SendError> {
        self.book().record_sent(ticket, worker)
    }

    /// Records proof that the attempt in flight did not run.
    pub(crate) fn not_sent(&self, ticket: &Ticket, proof: &NotRunProof) {
        self.book().record_not_run(ticket, proof);
    }

    /// Packs all tickets for `successor`; afterwards this node spends none of them.
    pub(crate) fn hand_over(
        &self,
        now_ms: u64,
        successor: &NodeName,
        incarnation: Incarnation,
    ) -> Option<HandOver> {
        self.book().hand_over(now_ms, successor, incarnation)
    }

    /// Records that no peer received the hand-over, so that another one may be tried.
    pub(crate) fn hand_over_not_sent(&self) {
        self.book().hand_over_not_sent();
    }

    /// Accepts the tickets of a stopping peer; returns whether they were accepted.
    pub(crate) fn accept_hand_over(&self, now_ms: u64, hand_over: HandOver) -> bool {
        self.book().accept_hand_over(now_ms, hand_over)
    }

    /// Returns the issuers whose tickets this node holds.
    pub(crate) fn held(&self) -> Vec<(NodeName, Incarnation)> {
        self.book().held_issuers().cloned().collect()
    }

    /// Records which node holds the tickets of an issuer.
    pub(crate) fn on_holder(
        &self,
        issuer: (NodeName, Incarnation),
        holder: (NodeName, Incarnation),
    ) {
        self.book().on_holder(issuer, holder);
    }

    /// Removes the records that have expired.
    pub(crate) fn tick(&self, now_ms: u64) {
        self.book().tick(now_ms);
    }

    /// Begins a request, or returns how its outcome is found when the ticket was used before.
    fn begin(&self, now_ms: u64, ticket: &Ticket, digest: ContentDigest) -> Started {
        let mut pending = self.pending();
        match self.book().begin(now_ms, ticket, digest) {
            Begin::Run => {
                let (sender, receiver) = watch::channel(None);
                pending.insert(ticket.clone(), receiver);
                Started::Run(sender)
            }
            Begin::Join => match pending.get(ticket) {
                Some(receiver) => Started::Join(receiver.clone()),
                None => Started::Decided(Err(ticket_outcome_unknown(UnknownReason::IssuerLost))),
            },
            Begin::Answered(stored) => Started::Decided(to_outcome(stored)),
            Begin::Refuse(reason) => {
                Started::Decided(Err(refuse(reason, "the ticket cannot be spent").into()))
            }
            Begin::Unknown(reason) => Started::Decided(Err(ticket_outcome_unknown(reason))),
            Begin::Forward { node, incarnation } => Started::Forward { node, incarnation },
        }
    }

    /// Spends a ticket on a job; returns the node that holds the ticket as the error if that is
    /// another one.
    fn begin_job(
        &self,
        now_ms: u64,
        ticket: &Ticket,
        digest: ContentDigest,
    ) -> Result<TicketCheck, NodeName> {
        let mut book = self.book();
        match book.begin(now_ms, ticket, digest) {
            Begin::Run => {
                let id = job_id_of(ticket).to_string();
                let body = id.as_bytes();
                let outcome = StoredOutcome::Answer {
                    work_id: work_id_of(ticket),
                    digest: ContentDigest::of_bytes(body),
                    body: body.into(),
                };
                book.record_outcome(now_ms, ticket, outcome);
                Ok(TicketCheck::Valid)
            }
            Begin::Join | Begin::Answered(_) => Ok(TicketCheck::Valid),
            Begin::Refuse(reason) => Ok(TicketCheck::Refused(reason)),
            Begin::Unknown(reason) => Ok(TicketCheck::Unknown(reason)),
            Begin::Forward { node, .. } => Err(node),
        }
    }

    /// Records the outcome of a request that was begun here.
    fn end(&self, now_ms: u64, ticket: &Ticket, outcome: &RunOutcome) {
        let stored = match outcome {
            RunOutcome::Answered(answer) => StoredOutcome::Answer {
                work_id: answer.work_id.clone(),
                digest: answer.digest,
                body: answer.body.as_ref().into(),
            },
            RunOutcome::Failed(failed) => StoredOutcome::Failed(failed.clone()),
            RunOutcome::Unknown(unknown) => StoredOutcome::Unknown(unknown.clone()),
            RunOutcome::Refused(_) => {
                self.pending().remove(ticket);
                self.book().abandon(ticket);
                return;
            }
        };
        self.book().record_outcome(now_ms, ticket, stored);
        self.pending().remove(ticket);
    }
}

/// How a once-only request proceeds.
enum Started {
    /// It runs here; its outcome goes to the channel.
    Run(watch::Sender<Option<RunOutcome>>),
    /// It is already in flight.
    Join(Pending),
    /// Its outcome is decided.
    Decided(Outcome),
    /// Another node holds the ticket.
    Forward {
        /// The node.
        node: NodeName,
        /// Its incarnation.
        incarnation: Incarnation,
    },
}

/// Serves a once-only request: on this node if it holds the ticket, through the holder otherwise.
pub(crate) async fn serve_ticketed(
    shared: &Arc<Shared>,
    request: CheckedRequest,
    ticket: Ticket,
    forwards: u8,
) -> Outcome {
    let digest = digest_request(&request);
    let is_from_earlier_incarnation =
        ticket.node == shared.settings.node && ticket.incarnation < shared.incarnation;
    match shared.tickets.begin(shared.clock.now_ms(), &ticket, digest) {
        Started::Decided(Err(NoAnswer::Unknown(_))) if is_from_earlier_incarnation => {
            answer_for_dead_issuer(shared, request, ticket, forwards).await
        }
        Started::Decided(outcome) => outcome,
        Started::Join(pending) => await_pending(pending, request.remaining_ms).await,
        Started::Run(sender) => {
            let pending = sender.subscribe();
            let remaining_ms = request.remaining_ms;
            // The task records the outcome even if the caller no longer waits for it.
            tokio::spawn(run_here(Arc::clone(shared), request, ticket, sender));
            await_pending(pending, remaining_ms).await
        }
        Started::Forward { .. } if forwards >= FORWARDS_MAX => {
            Err(ticket_outcome_unknown(UnknownReason::IssuerLost))
        }
        Started::Forward { node, incarnation } => {
            forward(shared, request, ticket, (node, incarnation), forwards).await
        }
    }
}

/// Begins a once-only job; returns its identifier, which is the same for each submission.
///
/// The holder checks that the ticket is valid and was not spent on other work. The planner accepts
/// the identifier once.
///
/// # Errors
///
/// The ticket cannot be spent on this job, or its holder is unreachable.
pub(crate) async fn begin_job_ticket(
    shared: &Arc<Shared>,
    ticket: &Ticket,
    spec: &JobSpec,
) -> Result<JobId, NoAnswer> {
    let digest = digest_job(spec);
    match check_job_ticket(shared, ticket, digest, 0).await {
        TicketCheck::Valid => Ok(job_id_of(ticket)),
        TicketCheck::Refused(reason) => {
            Err(refuse(reason, "the ticket cannot be spent on this job").into())
        }
        TicketCheck::Unknown(reason) => Err(ticket_outcome_unknown(reason)),
    }
}

/// Whether a ticket may be spent on a job.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum TicketCheck {
    /// The ticket may be spent on the job, for the first time or again.
    Valid,
    /// The ticket may not be spent on the job.
    Refused(RefusalReason),
    /// The holder does not know.
    Unknown(UnknownReason),
}

/// Checks a ticket at the node that holds it.
pub(crate) async fn check_job_ticket(
    shared: &Arc<Shared>,
    ticket: &Ticket,
    digest: ContentDigest,
    forwards: u8,
) -> TicketCheck {
    match shared
        .tickets
        .begin_job(shared.clock.now_ms(), ticket, digest)
    {
        Ok(check) => check,
        Err(_) if forwards >= FORWARDS_MAX => TicketCheck::Unknown(UnknownReason::IssuerLost),
        Err(node) => {
            let (ticket, timeout_ms) = (ticket.clone(), FORWARD_MARGIN_MS);
            let call = shared
                .peers
                .call(&node, timeout_ms, async |client, context| {
                    client
                        .check_job_ticket(context, ticket, digest, forwards + 1)
                        .await
                });
            call.await
                .unwrap_or(TicketCheck::Unknown(UnknownReason::IssuerLost))
        }
    }
}

/// Returns the identifier of the job that a ticket runs; it is the same at every submission.
fn job_id_of(ticket: &Ticket) -> JobId {
    JobId {
        data_centre: ticket.data_centre.clone(),
        node: ticket.node.clone(),
        incarnation: ticket.incarnation,
        sequence: ticket.sequence,
    }
}

/// Computes the digest of everything that must be the same when a ticket is used again.
fn digest_job(spec: &JobSpec) -> ContentDigest {
    // Serialisation cannot fail: the type has string keys and no fallible serialisers.
    ContentDigest::of_bytes(&serde_json::to_vec(spec).unwrap_or_default())
}

/// Waits for the outcome of a request in flight, until [`FORWARD_MARGIN_MS`] after its deadline.
async fn await_pending(mut pending: Pending, remaining_ms: u64) -> Outcome {
    let wait = Duration::from_millis(remaining_ms + FORWARD_MARGIN_MS);
    let outcome = tokio::time::timeout(wait, pending.wait_for(Option::is_some)).await;
    match outcome {
        Ok(Ok(outcome)) => match outcome.clone() {
            Some(outcome) => outcome.into(),
            None => Err(ticket_outcome_unknown(UnknownReason::IssuerLost)),
        },
        Ok(Err(_)) => Err(ticket_outcome_unknown(UnknownReason::IssuerLost)),
        Err(_) => Err(ticket_outcome_unknown(
            UnknownReason::DeadlinePassedAfterSend,
        )),
    }
}

/// Runs a once-only request on the workers of this data centre.
async fn run_here(
    shared: Arc<Shared>,
    request: CheckedRequest,
    ticket: Ticket,
    sender: watch::Sender<Option<RunOutcome>>,
) {
    let open = shared.count_open();
    let work_id = work_id_of(&ticket);
    // The caller may retry with the same ticket, so the request is never abandoned.
    let never = CancellationToken::new();
    let local = serve_local(
        Arc::clone(&shared),
        Arc::new(request),
        Some(work_id),
        Origin::Caller,
        never,
    )
    .await;
    let outcome: RunOutcome = match local {
        LocalOutcome::Done(outcome) => outcome.into(),
        LocalOutcome::Spill(refused) => RunOutcome::Refused(refused.into()),
    };
    shared.tickets.end(shared.clock.now_ms(), &ticket, &outcome);
    sender.send_replace(Some(outcome));
    drop(open);
}

/// Forwards a once-only request to the node that holds its ticket.
async fn forward(
    shared: &Arc<Shared>,
    request: CheckedRequest,
    ticket: Ticket,
    (node, incarnation): (NodeName, Incarnation),
    forwards: u8,
) -> Outcome {
    let seen = shared.members.incarnation_of(&node);
    if seen.is_some_and(|seen| seen > incarnation) || shared.members.is_gone(&node) {
        return answer_for_dead_issuer(shared, request, ticket, forwards).await;
    }
    shared.metrics.count("requests.forwarded");
    let timeout_ms = request.remaining_ms + 2 * FORWARD_MARGIN_MS;
    let call = shared
        .peers
        .call(&node, timeout_ms, async |client, context| {
            client.run(context, request, forwards + 1).await
        });
    match call.await {
        Ok(outcome) => outcome.into(),
        Err(e) if e.is_unsent() => {
            let refused = refuse(RefusalReason::Unreachable, e.to_string());
            Err(NoAnswer::Refused(refused))
        }
        Err(_) => Err(ticket_outcome_unknown(UnknownReason::LinkLost)),
    }
}

/// Returns the identifier of the work that a ticket runs; it is the same at every attempt.
pub(super) fn work_id_of(ticket: &Ticket) -> WorkId {
    WorkId {
        data_centre: ticket.data_centre.clone(),
        node: ticket.node.clone(),
        incarnation: ticket.incarnation,
        sequence: ticket.sequence,
    }
}

/// Computes the digest of everything that must be the same when a ticket is used again.
fn digest_request(request: &CheckedRequest) -> ContentDigest {
    let mut hash = Sha256::new();
    for name in [request.organisation.as_str(), request.class.as_str()] {
        hash.update(name.as_bytes());
        hash.update([0]);
    }
    hash.update(&request.body);
    ContentDigest(hash.finalize().into())
}

/// Builds the reply for a once-only request whose outcome is unknown.
pub(super) fn ticket_outcome_unknown(reason: UnknownReason) -> NoAnswer {
    let detail = "the request may have run; ask again with the same ticket".to_owned();
    NoAnswer::Unknown(OutcomeUnknown { reason, detail })
}

/// Converts a stored outcome to the outcome for a caller.
fn to_outcome(stored: StoredOutcome) -> Outcome {
    match stored {
        StoredOutcome::Answer {
            work_id,
            digest,
            body,
        } => Ok(Answer {
            work_id,
            digest,
            body: Bytes::copy_from_slice(&body),
        }),
        StoredOutcome::Failed(failed) => Err(NoAnswer::Failed(failed)),
        StoredOutcome::Unknown(unknown) => Err(NoAnswer::Unknown(unknown)),
    }
}
