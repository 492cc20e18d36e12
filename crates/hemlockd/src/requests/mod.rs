//! Serves requests: takes a checked request through admission and attempts on workers, and returns
//! the outcome for its caller.

mod acknowledge;
mod admission_control;
mod attempt;
mod fenced;
mod hand_over;
mod route;
mod serve;
mod tickets;

use bytes::Bytes;
use model::prelude::*;
use serde::{Deserialize, Serialize};

pub(crate) use acknowledge::Acknowledgements;
pub(crate) use admission_control::AdmissionControl;
pub(crate) use hand_over::hand_over_tickets;
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
    /// Whether a repeated attempt does no harm.
    pub(crate) idempotent: bool,
    /// Time left until the deadline when the request was received, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// Ticket of once-only work; `None` for other work.
    pub(crate) ticket: Option<Ticket>,
    /// Opaque input.
    pub(crate) body: Bytes,
}

/// An answer that was checked against its work id and its digest.
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

/// What a caller receives.
pub(crate) type Outcome = Result<Answer, NoAnswer>;
