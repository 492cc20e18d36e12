//! Open requests of this node.

use crate::lane::Lane;
use crate::queue::{Age, ClassIndex, OrganisationIndex};
use crate::types::WorkerKey;

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It is queued.
    Waiting,
    /// It waits for its backoff to end.
    BackingOff,
    /// At least one attempt is in flight.
    Running,
    /// It is not queued and has no attempt in flight; the daemon retries or finishes it.
    Ended,
    /// It has its outcome; attempts may still be in flight.
    Finished,
}

/// One attempt in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlight {
    /// Worker that runs it.
    pub(crate) worker: WorkerKey,
    /// Time at which it was sent.
    pub(crate) started_ms: u64,
    /// Lane in which it is counted.
    pub(crate) lane: Lane,
}

/// One open request.
#[derive(Debug)]
pub(crate) struct Request {
    /// Class of the work.
    pub(crate) class: ClassIndex,
    /// Organisation that it runs for.
    pub(crate) organisation: OrganisationIndex,
    /// Time at which it was submitted.
    pub(crate) offered_ms: u64,
    /// Latest start that can meet the deadline.
    pub(crate) latest_start_ms: u64,
    /// Whether it may be executed more than once.
    pub(crate) idempotent: bool,
    /// Whether it may be spilled to another data centre.
    pub(crate) may_spill: bool,
    /// State of the request.
    pub(crate) phase: Phase,
    /// Whether it waits with the fresh or the overdue requests of its class.
    pub(crate) age: Age,
    /// Number of attempts that were started.
    pub(crate) attempts: u32,
    /// Worker of the last attempt.
    pub(crate) last_worker: Option<WorkerKey>,
    /// Attempts in flight.
    pub(crate) in_flight: Vec<InFlight>,
}
