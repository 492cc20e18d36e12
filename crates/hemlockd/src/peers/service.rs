//! The calls that entry nodes make to each other.

use console::{Row, TableName};
use model::prelude::*;

use super::messages::{Heartbeat, RunOutcome};
use crate::console::RowScope;
use crate::jobs::{JobRecord, JobReply, Submission, SubmitReply};
use crate::requests::{CheckedRequest, TicketCheck};

/// Interface of an entry node for the other nodes.
#[tarpc::service]
pub(crate) trait PeerService {
    /// Exchanges heartbeats.
    async fn heartbeat(beat: Heartbeat) -> Heartbeat;

    /// Runs a request on the workers of this node's data centre; `forwards` counts the nodes that
    /// have forwarded it.
    async fn run(request: CheckedRequest, forwards: u8) -> RunOutcome;

    /// Returns the declarations that a node at revision `have` lacks, as JSON.
    async fn declarations(have: Option<Revision>) -> Option<String>;

    /// Submits a job to the leader; `hops` counts the nodes that have forwarded the call.
    async fn submit_job(submission: Submission, hops: u8) -> SubmitReply;

    /// Queries the leader about a job.
    async fn job_status(job: JobId, hops: u8) -> JobReply;

    /// Cancels a job at the leader.
    async fn cancel_job(job: JobId, hops: u8) -> JobReply;

    /// Checks at the holder of a ticket whether it may be spent on the job with `digest`.
    async fn check_job_ticket(ticket: Ticket, digest: ContentDigest, forwards: u8) -> TicketCheck;

    /// Returns rows of a console table; `None` if their source is unreachable.
    async fn console_rows(table: TableName, scope: RowScope, hops: u8) -> Option<Vec<Row>>;

    /// Drains a worker of this data centre, or returns it to service; returns whether it is listed.
    async fn drain_worker(worker: WorkerName, is_drained: bool) -> bool;

    /// Merges copies of job records.
    async fn copy_jobs(records: Vec<JobRecord>);

    /// Accepts the tickets of a stopping node, as JSON; returns whether they were accepted.
    async fn hand_over(tickets: String) -> bool;
}
