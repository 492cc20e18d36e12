//! Inputs and outputs of the decision code.

use model::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

slotmap::new_key_type! {
    /// Key of an open request of this node.
    pub struct RequestKey;
    /// Key of a worker of the data centre.
    pub struct WorkerKey;
}

/// A request that a caller submits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// Organisation that it runs for.
    pub organisation: OrganisationName,
    /// Class of the work.
    pub class: ClassName,
    /// Time by which the answer is needed, in milliseconds.
    pub deadline_at_ms: u64,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
}

/// Why a request is not sent to a worker, or not sent again.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{reason}: {detail}")]
pub struct Rejection {
    /// The reason, also used as a label of counters.
    pub reason: RefusalReason,
    /// Explanation for the caller.
    pub detail: String,
    /// Jittered time after which the caller may try again, in milliseconds; `None` if a retry
    /// cannot succeed.
    pub retry_after_ms: Option<u64>,
}

/// An action that the daemon has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to the worker.
    Start {
        /// The request.
        request: RequestKey,
        /// The worker to send it to.
        worker: WorkerKey,
        /// Whether this is a hedged attempt, sent while another one is in flight.
        hedge: bool,
    },
    /// Reject the request; its key is no longer valid.
    ///
    /// If the request was sent before, this only means that it is not sent again.
    Reject {
        /// The request.
        request: RequestKey,
        /// The rejection to return to the caller.
        rejection: Rejection,
    },
    /// Offer the request to another data centre of the region, because this one cannot run it in
    /// time. It was not sent to any worker; its key is no longer valid.
    Spill {
        /// The request.
        request: RequestKey,
        /// The rejection to return to the caller when no other data centre accepts the request.
        rejection: Rejection,
    },
}

/// Whether a worker takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WorkerCondition {
    /// It takes new work.
    Accepting,
    /// It finishes its attempts in flight and gets no new ones.
    Leaving,
    /// It is suspected to be unreachable and gets no new attempts until it is accepting again.
    Suspect,
    /// It no longer exists; it is removed when its last attempt has ended.
    Gone,
}

/// How an attempt on a worker ended, as observed by the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// The worker answered.
    Answered,
    /// The worker reported that the work failed.
    Failed,
    /// The worker refused the work without running it.
    RefusedByWorker,
    /// Nothing was sent, because no connection could be opened.
    NotSent,
    /// The worker was lost while the attempt was in flight.
    Lost,
    /// The connection became unresponsive.
    Unresponsive,
}

/// Subject of a [`UsageRow`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UsageSubject {
    /// All requests of the node.
    Node,
    /// Requests of an organisation.
    Organisation(OrganisationName),
    /// Requests of a class.
    Class(ClassName),
    /// Attempts on a worker.
    Worker(WorkerName),
    /// Average number of slots that urgent and brief work occupies, in thousandths.
    BriefLoad,
    /// Average number of slots that other short work occupies, in thousandths.
    ShortLoad,
}

/// One count of an entry node, as sent to the other entry nodes of the data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageRow {
    /// Subject of the count.
    pub subject: UsageSubject,
    /// Attempts in flight, or the load in thousandths of a slot.
    pub in_flight: u32,
    /// Waiting requests; always 0 for workers and loads.
    pub waiting: u32,
}

/// Queue of one class and organisation, for the console.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QueueView {
    /// Class of the queue.
    pub class: ClassName,
    /// Organisation of the queue.
    pub organisation: OrganisationName,
    /// Waiting requests.
    pub waiting: u32,
    /// Waiting time of the oldest request, in milliseconds.
    pub oldest_wait_ms: u64,
    /// Requests of the class in flight from this node.
    pub class_in_flight: u32,
    /// Requests of the organisation in flight from this node.
    pub organisation_in_flight: u32,
    /// Whether the organisation uses less than its share of the slots.
    pub within_share: bool,
}

/// State of a worker from the view of this node, for the console.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WorkerView {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Declared slots.
    pub slots: u32,
    /// Current limit of attempts in flight, derived from observed latency and failures.
    pub concurrency_limit: u32,
    /// Attempts in flight from this node.
    pub in_flight: u32,
    /// Attempts in flight from the other entry nodes, according to their rows.
    pub peers_in_flight: u32,
    /// Whether new work is sent to it.
    pub accepting: bool,
}
