//! Serves the calls of the other nodes over tarpc.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use console::{Row, TableName};
use futures::StreamExt;
use model::prelude::*;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio_util::sync::CancellationToken;

use super::client::FRAME_BYTES_MAX;
use super::messages::{Heartbeat, RunOutcome};
use super::service::PeerService;
use crate::console::{RowScope, rows_of_scope};
use crate::jobs::{
    JobRecord, JobReply, Submission, SubmitReply, cancel_at_leader, query_leader, submit_to_leader,
};
use crate::members::drain_local;
use crate::node::Shared;
use crate::requests::{CheckedRequest, TicketCheck, check_job_ticket, serve_for_peer};

/// Serves calls on `address` until `stopped` is cancelled; returns the bound address.
///
/// # Errors
///
/// The address cannot be bound.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    address: SocketAddr,
    stopped: CancellationToken,
) -> io::Result<SocketAddr> {
    let mut incoming = tcp::listen(address, Bincode::default).await?;
    incoming.config_mut().max_frame_length(FRAME_BYTES_MAX);
    let bound = incoming.local_addr();
    tokio::spawn(async move {
        let accept = incoming
            .filter_map(async |transport| transport.ok())
            .for_each(|transport| {
                let server = PeerServer {
                    shared: Arc::clone(&shared),
                };
                let channel = BaseChannel::with_defaults(transport).execute(server.serve());
                let stopped = stopped.clone();
                tokio::spawn(stopped.run_until_cancelled_owned(channel.for_each(spawn_call)));
                std::future::ready(())
            });
        stopped.run_until_cancelled(accept).await;
    });
    Ok(bound)
}

/// Runs a call in a separate task, so that calls of one connection don't block each other.
async fn spawn_call(call: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(call);
}

/// Handler of the calls of one connection.
#[derive(Clone)]
struct PeerServer {
    shared: Arc<Shared>,
}

impl PeerService for PeerServer {
    async fn heartbeat(self, _: Context, beat: Heartbeat) -> Heartbeat {
        let reply = self.shared.heartbeat_for(Some(&beat.view.data_centre));
        self.shared.handle_heartbeat(beat);
        reply
    }

    async fn run(self, _: Context, request: CheckedRequest, forwards: u8) -> RunOutcome {
        serve_for_peer(self.shared, request, forwards).await.into()
    }

    async fn declarations(self, _: Context, have: Option<Revision>) -> Option<String> {
        let offer = self.shared.declared.offer_for(have)?;
        serde_json::to_string(&offer).ok()
    }

    async fn submit_job(self, _: Context, submission: Submission, hops: u8) -> SubmitReply {
        let reply = submit_to_leader(&self.shared, submission, hops).await;
        reply.unwrap_or(SubmitReply::NotPlanner)
    }

    async fn job_status(self, _: Context, job: JobId, hops: u8) -> JobReply {
        let reply = query_leader(&self.shared, job, hops).await;
        reply.unwrap_or(JobReply::NotPlanner)
    }

    async fn cancel_job(self, _: Context, job: JobId, hops: u8) -> JobReply {
        let reply = cancel_at_leader(&self.shared, job, hops).await;
        reply.unwrap_or(JobReply::NotPlanner)
    }

    async fn check_job_ticket(
        self,
        _: Context,
        ticket: Ticket,
        digest: ContentDigest,
        forwards: u8,
    ) -> TicketCheck {
        check_job_ticket(&self.shared, &ticket, digest, forwards).await
    }

    async fn console_rows(
        self,
        _: Context,
        table: TableName,
        scope: RowScope,
        hops: u8,
    ) -> Option<Vec<Row>> {
        rows_of_scope(&self.shared, table, scope, hops).await
    }

    async fn drain_worker(self, _: Context, worker: WorkerName, is_drained: bool) -> bool {
        drain_local(&self.shared, &worker, is_drained)
    }

    async fn copy_jobs(self, _: Context, records: Vec<JobRecord>) {
        self.shared.merge_job_records(records);
    }

    async fn hand_over(self, _: Context, tickets: String) -> bool {
        let Ok(hand_over) = serde_json::from_str(&tickets) else {
            return false;
        };
        self.shared
            .tickets
            .accept_hand_over(self.shared.clock.now_ms(), hand_over)
    }
}
