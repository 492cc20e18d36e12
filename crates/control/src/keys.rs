//! Keys of the store that the system writes.
//!
//! | key | value | written by | removed |
//! |---|---|---|---|
//! | `lead/planner` | the leader's node name and a nonce | a node that takes the lead, under a lease | with the lease |
//! | `chain` | the term and number of the planner's last write | the planner, with each write | never |
//! | `q/j/ID` | the accepted job | the node that accepts it | by the planner, once the job has ended |
//! | `q/c/ID` | empty; present if its caller cancelled the job | the node that receives the cancel | with `q/j/ID`, or with `r/ID` if the job was never accepted |
//! | `q/e/TERM-N` | runs that workers had listed as done to the planner of a term that has ended | that planner's node | by the next planner, with the records that hold them |
//! | `n/ID` | the job's queue, while nothing of it has begun | the node that accepts it, and the planner if a start may not be carried out | by the planner |
//! | `peers/NODE` | where the node takes calls of its peers, and its processor | each node, under a lease | with the lease |
//! | `waves/N` | the progress of each machine in a wave of maintenance | the planner, before it empties a machine and after it went down | never |
//! | `policy/shares` | what the order of turns rests on | the planner, along with starts | never |
//! | `policy/learned` | what was learned about work and machines | the planner, every 5 s along with a write | never |
//! | `r/ID` | the job's record: its state and groups | the planner; the node that receives a cancel of a job that the store does not have | some time after the job's end |
//! | `r/ID.N` | a part of the record of a job with many tasks, N from 1 | the planner | after the job's end |

use scheduler::{HandOverName, JobId};

/// Key of the lead.
pub(crate) const LEAD: &str = "lead/planner";
/// Prefix of the lead's key, for watches.
pub(crate) const LEAD_PREFIX: &str = "lead/";
/// Orders the planner's writes: each is conditional on the previous one, so that a delayed write has no effect.
pub(crate) const CHAIN: &str = "chain";
/// Prefix of everything the planner watches.
pub(crate) const REQUESTS_PREFIX: &str = "q/";
/// Accepted jobs.
pub(crate) const JOBS_PREFIX: &str = "q/j/";
/// Cancelled jobs.
pub(crate) const CANCELS_PREFIX: &str = "q/c/";
/// What planners hand over to the next one.
pub(crate) const HAND_OVERS_PREFIX: &str = "q/e/";
/// Jobs that have not begun.
pub(crate) const WAITING_PREFIX: &str = "n/";
/// The planner's records of jobs.
pub(crate) const RECORDS_PREFIX: &str = "r/";

/// What the planner's decisions under load rest on.
pub(crate) const POLICY_PREFIX: &str = "policy/";
/// What the order of turns rests on.
pub(crate) const SHARES: &str = "policy/shares";
/// What was learned about work and machines.
pub(crate) const LEARNED: &str = "policy/learned";

/// Addresses at which nodes take calls that their peers pass on.
pub(crate) const PEERS_PREFIX: &str = "peers/";

/// Returns the key of the progress of a wave of maintenance.
pub(crate) fn wave(number: u64) -> String {
    format!("waves/{number}")
}

/// Returns the key of a node's peer entry.
pub(crate) fn peer(node: &str) -> String {
    format!("{PEERS_PREFIX}{node}")
}

/// Returns the key of an accepted job.
pub(crate) fn job(id: JobId) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Returns the key of a job's cancel.
pub(crate) fn cancel(id: JobId) -> String {
    format!("{CANCELS_PREFIX}{id}")
}

/// Returns the key that marks a job as waiting.
pub(crate) fn waiting(id: JobId) -> String {
    format!("{WAITING_PREFIX}{id}")
}

/// Returns the key of a job's record.
pub(crate) fn record(id: JobId) -> String {
    format!("{RECORDS_PREFIX}{id}")
}

/// Returns the key of what a planner hands over.
pub(crate) fn hand_over(name: HandOverName) -> String {
    format!("{HAND_OVERS_PREFIX}{name}")
}

/// Returns the key of a part of a job's record.
pub(crate) fn record_part(id: JobId, number: u32) -> String {
    format!("{RECORDS_PREFIX}{id}.{number}")
}

/// Returns the job of a record's key, and the number of the part; 0 for the record itself.
pub(crate) fn parse_record(key: &str) -> Option<(JobId, u32)> {
    let name = key.strip_prefix(RECORDS_PREFIX)?;
    match name.split_once('.') {
        Some((id, number)) => Some((id.parse().ok()?, number.parse().ok()?)),
        None => Some((name.parse().ok()?, 0)),
    }
}
