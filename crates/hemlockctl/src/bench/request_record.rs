//! Record of the outcomes of the requests and attempts of one simulation.

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The request has not ended yet.
    Pending,
    /// The answer arrived before the deadline.
    Answered,
    /// The request was rejected: on arrival, while it waited, or after a refused or lost attempt.
    Rejected,
    /// The deadline passed before a worker started the request.
    Expired,
    /// The worker stopped the request at its deadline, or lost it and it is not idempotent.
    Stopped,
}

/// An attempt that a worker started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptRecord {
    /// Index of the request.
    pub(crate) request: usize,
    /// Start of the attempt.
    pub(crate) started_ms: u64,
    /// End of the attempt on the worker.
    pub(crate) ended_ms: u64,
    /// Factor by which the attempt ran longer than on an idle worker.
    pub(crate) slowdown: f64,
    /// Whether the caller received the answer of this attempt.
    pub(crate) useful: bool,
    /// Whether the worker lost the attempt.
    pub(crate) lost: bool,
}

/// Result of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestRecord {
    /// Outcome of the request.
    pub(crate) outcome: Outcome,
    /// Start of the first attempt on a worker.
    pub(crate) first_started_ms: Option<u64>,
    /// Time at which the request ended for the caller.
    pub(crate) ended_ms: u64,
}

/// Record of one simulation.
#[derive(Debug, Default)]
pub(crate) struct Record {
    /// Requests in the order of the load.
    pub(crate) requests: Vec<RequestRecord>,
    /// Attempts that workers started.
    pub(crate) attempts: Vec<AttemptRecord>,
    /// Number of attempts that workers refused because no slot was free.
    pub(crate) refused: u64,
    /// Number of hedged attempts.
    pub(crate) hedges: u64,
}
