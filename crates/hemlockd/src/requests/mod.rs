//! Requests: from admission through attempts on workers to the caller's outcome.

mod acknowledge;
mod attempt;
mod fenced;
mod hand_over;
mod plane;
mod route;
mod serve;
mod tickets;

use bytes::Bytes;
use model::prelude::*;
use serde::{Deserialize, Serialize};

pub(crate) use acknowledge::Acknowledgements;
pub(crate) use hand_over::hand_over_tickets;
pub(crate) use plane::AdmissionControl;
pub(crate) use route::{serve, serve_for_peer};
pub(crate) use tickets::{TicketCheck, Tickets, begin_job_ticket, check_job_ticket};

use crate::http::NoAnswer;

/// A request whose organisation, class and deadline have been checked.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CheckedRequest {
    /// Organisation that it runs for.
    pub(crate) organisation: OrganisationName,
    /// Class of the work.
    pub(crate) class: ClassName,
    /// Whether a second attempt does no harm.
    pub(crate) idempotent: bool,
    /// Time left until the deadline when it was received.
    pub(crate) remaining_ms: u64,
    /// Permission to run once.
    pub(crate) ticket: Option<Ticket>,
    /// Opaque input.
    pub(crate) body: Bytes,
}

/// A whole answer, checked against the work and its digest.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Answer {
    /// The work that was run.
    pub(crate) work_id: WorkId,
    /// Digest of the body.
    pub(crate) digest: ContentDigest,
    /// Opaque output.
    pub(crate) body: Bytes,
}

/// What a caller gets.
pub(crate) type Outcome = Result<Answer, NoAnswer>;
