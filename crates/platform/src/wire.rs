//! Paths, headers and bodies of the HTTP interfaces of the platform and of workers.
//!
//! All bodies are JSON except those of requests and their answers, which are opaque bytes described
//! by headers.

use serde::{Deserialize, Serialize};

use crate::store::{KeyVersion, StoreLease};

/// Path of a read of one key; the body is a [`GetCall`].
pub const STORE_GET: &str = "/v1/store/get";
/// Path of a read of all keys with a prefix; the body is a [`ListCall`].
pub const STORE_LIST: &str = "/v1/store/list";
/// Path of a compare-and-swap; the body is a [`crate::store::Swap`].
pub const STORE_SWAP: &str = "/v1/store/swap";
/// Path of a watch; the body is a [`WatchCall`].
pub const STORE_WATCH: &str = "/v1/store/watch";
/// Path to create a lease; the body is a [`GrantCall`].
pub const STORE_GRANT: &str = "/v1/store/leases";
/// Path to extend a lease; the body is a [`RenewCall`].
pub const STORE_RENEW: &str = "/v1/store/leases/renew";
/// Path of the VM list, followed by `/` and the name of the data centre.
pub const VM_LIST: &str = "/v1/vms";

/// Path to run a request on a worker.
pub const WORKER_RUN: &str = "/v1/run";
/// Path of the status of a request, followed by `/` and the work identifier.
pub const WORKER_STATUS: &str = "/v1/work";
/// Path to acknowledge results; the body is a list of work identifiers.
pub const WORKER_ACKNOWLEDGE: &str = "/v1/acknowledge";
/// Path of the inventory of a worker.
pub const WORKER_INVENTORY: &str = "/v1/inventory";
/// Path of lease commands; the body is a list of commands.
pub const WORKER_LEASES: &str = "/v1/leases";
/// Path to fence an incarnation of an entry node; the body is a fence command.
pub const WORKER_FENCE: &str = "/v1/fence";
/// Path of the resource usage of a worker.
pub const WORKER_USAGE: &str = "/v1/usage";

/// Header that names the calling entry node.
pub const HEADER_NODE: &str = "hemlock-node";
/// Header with the work identifier, in requests and in replies.
pub const HEADER_WORK_ID: &str = "hemlock-work-id";
/// Header with the ticket of once-only work.
pub const HEADER_TICKET: &str = "hemlock-ticket";
/// Header with the organisation that the work runs for.
pub const HEADER_ORGANISATION: &str = "hemlock-organisation";
/// Header with the class of the work.
pub const HEADER_CLASS: &str = "hemlock-class";
/// Header with the time left until the deadline, in milliseconds.
pub const HEADER_REMAINING_MS: &str = "hemlock-remaining-ms";
/// Header with the length of an answer as the worker states it, in bytes.
pub const HEADER_LENGTH_BYTES: &str = "hemlock-length-bytes";
/// Header with the digest of an answer as the worker states it.
pub const HEADER_DIGEST: &str = "content-digest";
/// Header with the kind of a worker's reply: one of the `OUTCOME_` values.
pub const HEADER_OUTCOME: &str = "hemlock-outcome";

/// The work ran; the body is its answer.
pub const OUTCOME_ANSWERED: &str = "answered";
/// The work ran and failed; the body is a [`FailedBody`].
pub const OUTCOME_FAILED: &str = "failed";
/// The work was not run; the body is a [`model::outcome::WorkerRefusal`].
pub const OUTCOME_REFUSED: &str = "refused";
/// The work is running; the body is a [`RunningBody`].
pub const OUTCOME_RUNNING: &str = "running";
/// The worker does not know the work.
pub const OUTCOME_UNKNOWN: &str = "unknown";

/// Body of [`STORE_GET`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GetCall {
    /// The key.
    pub key: String,
}

/// Body of [`STORE_LIST`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListCall {
    /// Prefix of the keys.
    pub prefix: String,
}

/// Body of [`STORE_WATCH`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchCall {
    /// Prefix of the keys.
    pub prefix: String,
    /// Event number after which changes count.
    pub after: KeyVersion,
    /// Longest time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// Body of [`STORE_GRANT`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantCall {
    /// Duration of the lease, in milliseconds.
    pub duration_ms: u64,
}

/// Body of [`STORE_RENEW`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RenewCall {
    /// The lease.
    pub lease: StoreLease,
}

/// Body of a reply about work that failed.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailedBody {
    /// The work that failed.
    pub work_id: model::ident::WorkId,
    /// Description of the failure by the worker.
    pub detail: String,
}

/// Body of a reply about work that is running.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunningBody {
    /// Time since it started, in milliseconds.
    pub run_ms: u64,
}
