//! Keys of the store that the system writes.
//!
//! | key | value | written by | removed |
//! |---|---|---|---|
//! | `lead/planner` | the planner's node and a nonce | a node that takes the lead, under a lease | with the lease |
//! | `chain` | the planner's last write | the planner, with each write | never |
//! | `q/j/ID` | the job as accepted | the node that accepts it | by the planner, when all is over |
//! | `q/c/ID` | empty: its caller cancelled it | the node that takes the cancel | with `q/j/ID` |
//! | `n/ID` | its queue, while nothing of it has begun | the node that accepts it | by the planner |
//! | `peers/NODE` | where the node takes calls that its peers pass on | each node, under a lease | with the lease |
//! | `r/ID` | how far it has come | the planner | some time after its end |

use scheduler::JobId;

/// The lead.
pub(crate) const LEAD: &str = "lead/planner";
/// What the lead stands under.
pub(crate) const LEAD_PREFIX: &str = "lead/";
/// Orders the planner's writes, so that one that is carried out late changes nothing.
pub(crate) const CHAIN: &str = "chain";
/// What the planner watches.
pub(crate) const REQUESTS_PREFIX: &str = "q/";
/// Jobs as accepted.
pub(crate) const JOBS_PREFIX: &str = "q/j/";
/// Cancels.
pub(crate) const CANCELS_PREFIX: &str = "q/c/";
/// Jobs of which nothing has begun.
pub(crate) const WAITING_PREFIX: &str = "n/";
/// How far jobs have come.
pub(crate) const RECORDS_PREFIX: &str = "r/";

/// Where nodes take calls that their peers pass on.
pub(crate) const PEERS_PREFIX: &str = "peers/";

/// A node's entry among the peers.
pub(crate) fn peer(node: &str) -> String {
    format!("{PEERS_PREFIX}{node}")
}

/// A job as accepted.
pub(crate) fn job(id: JobId) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// A job's cancel.
pub(crate) fn cancel(id: JobId) -> String {
    format!("{CANCELS_PREFIX}{id}")
}

/// A job of which nothing has begun.
pub(crate) fn waiting(id: JobId) -> String {
    format!("{WAITING_PREFIX}{id}")
}

/// How far a job has come.
pub(crate) fn record(id: JobId) -> String {
    format!("{RECORDS_PREFIX}{id}")
}
