//! HTTP client of the workers.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use model::prelude::*;
use reqwest::{Client, RequestBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{CallError, ClientError};
use crate::http::malformed;
use crate::pool::{Pool, Reply};
use crate::runs::InFlightRuns;
use crate::wire::{
    FailedBody, HEADER_CLASS, HEADER_DIGEST, HEADER_LENGTH_BYTES, HEADER_NODE, HEADER_ORGANISATION,
    HEADER_OUTCOME, HEADER_REMAINING_MS, HEADER_TICKET, HEADER_WORK_ID, OUTCOME_ANSWERED,
    OUTCOME_FAILED, OUTCOME_REFUSED, OUTCOME_RUNNING, OUTCOME_UNKNOWN, RunningBody,
    WORKER_ACKNOWLEDGE, WORKER_FENCE, WORKER_INVENTORY, WORKER_LEASES, WORKER_RUN, WORKER_STATUS,
    WORKER_USAGE,
};
use crate::worker::{Usage, WorkerApi};

/// Idle connections per worker for calls other than `run` and `status`.
const CONTROL_IDLE_MAX: usize = 2;

/// Longest reply of a worker other than an answer, in bytes.
const CONTROL_BYTES_MAX: usize = 8_000_000;

/// Limits of the calls to each worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerLimits {
    /// Longest time to open a connection, in milliseconds.
    pub connect_ms: u64,
    /// Longest time of a call other than `run`, in milliseconds.
    pub call_ms: u64,
    /// Largest number of requests that this node runs on one worker at a time, each on a connection
    /// of its own.
    pub connections_max: usize,
    /// Longest answer that is read, in bytes.
    pub answer_bytes_max: usize,
}

impl Default for WorkerLimits {
    fn default() -> Self {
        Self {
            connect_ms: 1_000,
            call_ms: 3_000,
            connections_max: 16,
            answer_bytes_max: 16_000_000,
        }
    }
}

/// Client of all workers, with a bounded number of connections per worker.
#[derive(Debug, Clone)]
pub struct HttpWorkerApi {
    runs: Arc<InFlightRuns>,
    requests: Arc<Pool>,
    control: Arc<Pool>,
    unpooled: Arc<Pool>,
    node: NodeName,
    limits: WorkerLimits,
}

impl HttpWorkerApi {
    /// Creates a client that calls as `node`.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be built.
    pub fn new(node: NodeName, limits: WorkerLimits) -> Result<Self, ClientError> {
        let connect_ms = limits.connect_ms;
        Ok(Self {
            runs: Arc::new(InFlightRuns::new(limits.connections_max)),
            requests: Pool::new(connect_ms, limits.connections_max)?,
            control: Pool::new(connect_ms, CONTROL_IDLE_MAX)?,
            unpooled: Pool::new(connect_ms, 0)?,
            node,
            limits,
        })
    }

    /// Adds the header and the timeout of every call other than `run`.
    fn with_defaults(&self, call: RequestBuilder) -> RequestBuilder {
        call.header(HEADER_NODE, self.node.as_str())
            .timeout(Duration::from_millis(self.limits.call_ms))
    }

    /// Sends a GET of `path` to `worker` and decodes the JSON reply.
    async fn read_json<T: DeserializeOwned>(
        &self,
        worker: SocketAddr,
        path: &str,
    ) -> Result<T, CallError> {
        let build =
            |client: &Client| self.with_defaults(client.get(format!("http://{worker}{path}")));
        let call = self.control.call_json(worker, build, CONTROL_BYTES_MAX);
        call.await
    }

    /// Posts JSON to `path` of `worker` and decodes the JSON reply.
    async fn post_json<T: DeserializeOwned>(
        &self,
        worker: SocketAddr,
        path: &str,
        body: &(impl Serialize + ?Sized),
    ) -> Result<T, CallError> {
        let build = |client: &Client| {
            let call = client.post(format!("http://{worker}{path}"));
            self.with_defaults(call).json(body)
        };
        let call = self.control.call_json(worker, build, CONTROL_BYTES_MAX);
        call.await
    }

    /// Replaces the connections to a worker if a `run` call for `work_id` is still in flight.
    ///
    /// Called when the worker reports that the work has ended or is unknown: the connection of that
    /// call has then probably stalled.
    fn replace_stalled(&self, worker: SocketAddr, work_id: &WorkId) {
        if let Some(generation) = self.runs.generation(work_id) {
            self.requests.replace(worker, generation);
        }
    }

    /// Builds the call that runs a request.
    fn build_run(
        &self,
        client: &Client,
        worker: SocketAddr,
        request: &RunRequest<Bytes>,
        timeout_ms: u64,
    ) -> RequestBuilder {
        let call = client
            .post(format!("http://{worker}{WORKER_RUN}"))
            .timeout(Duration::from_millis(timeout_ms))
            .header(HEADER_NODE, self.node.as_str())
            .header(HEADER_WORK_ID, request.work_id.to_string())
            .header(HEADER_ORGANISATION, request.organisation.as_str())
            .header(HEADER_CLASS, request.class.as_str())
            .header(HEADER_REMAINING_MS, request.remaining_ms)
            .body(request.body.clone());
        match &request.ticket {
            Some(ticket) => call.header(HEADER_TICKET, ticket.to_string()),
            None => call,
        }
    }
}

/// Parses a mandatory header of a reply.
fn parse_header<T: FromStr>(reply: &Reply, name: &str) -> Result<T, CallError> {
    let value = reply.header(name).and_then(|value| value.parse().ok());
    value.ok_or_else(|| malformed(format!("the header {name} is missing or malformed")))
}

/// Reads the answer to a request from a reply.
async fn read_answer(reply: Reply, len_max: usize) -> Result<RunAnswer<Bytes>, CallError> {
    let work_id = parse_header(&reply, HEADER_WORK_ID)?;
    let digest = parse_header(&reply, HEADER_DIGEST)?;
    let length_bytes = parse_header(&reply, HEADER_LENGTH_BYTES)?;
    let body = reply.read_body(len_max).await?;
    Ok(RunAnswer {
        work_id,
        digest,
        length_bytes,
        body,
    })
}

/// Reads the status of a request from a reply.
async fn read_status(reply: Reply, len_max: usize) -> Result<WorkStatus<Bytes>, CallError> {
    let outcome: String = parse_header(&reply, HEADER_OUTCOME)?;
    match outcome.as_str() {
        OUTCOME_ANSWERED => {
            let answer = read_answer(reply, len_max).await?;
            Ok(WorkStatus::Ended(RunReply::Answered(answer)))
        }
        OUTCOME_FAILED => {
            let FailedBody { work_id, detail } = reply.read_json(CONTROL_BYTES_MAX).await?;
            Ok(WorkStatus::Ended(RunReply::Failed { work_id, detail }))
        }
        OUTCOME_REFUSED => {
            let refusal = reply.read_json(CONTROL_BYTES_MAX).await?;
            Ok(WorkStatus::Ended(RunReply::Refused(refusal)))
        }
        OUTCOME_RUNNING => {
            let RunningBody { run_ms } = reply.read_json(CONTROL_BYTES_MAX).await?;
            Ok(WorkStatus::Running { run_ms })
        }
        OUTCOME_UNKNOWN => Ok(WorkStatus::Unknown),
        other => Err(malformed(format!("the outcome {other:?} is not known"))),
    }
}

impl WorkerApi for HttpWorkerApi {
    async fn run(
        &self,
        worker: SocketAddr,
        request: &RunRequest<Bytes>,
        timeout_ms: u64,
    ) -> Result<RunReply<Bytes>, CallError> {
        let generation = self.requests.generation(worker);
        let _guard = InFlightRuns::start(&self.runs, worker, &request.work_id, generation)?;
        let build = |client: &Client| self.build_run(client, worker, request, timeout_ms);
        let reply = self.requests.send(worker, build).await?;
        match read_status(reply, self.limits.answer_bytes_max).await? {
            WorkStatus::Ended(reply) => Ok(reply),
            _ => Err(malformed("the reply tells no result")),
        }
    }

    async fn status(
        &self,
        worker: SocketAddr,
        work_id: &WorkId,
    ) -> Result<WorkStatus<Bytes>, CallError> {
        let build = |client: &Client| {
            let call = client.get(format!("http://{worker}{WORKER_STATUS}/{work_id}"));
            self.with_defaults(call)
        };
        let reply = self.unpooled.send(worker, build).await?;
        let status = read_status(reply, self.limits.answer_bytes_max).await?;
        if !matches!(status, WorkStatus::Running { .. }) {
            self.replace_stalled(worker, work_id);
        }
        Ok(status)
    }

    async fn acknowledge(&self, worker: SocketAddr, work_ids: &[WorkId]) -> Result<(), CallError> {
        self.post_json(worker, WORKER_ACKNOWLEDGE, work_ids).await
    }

    async fn inventory(&self, worker: SocketAddr) -> Result<Inventory, CallError> {
        self.read_json(worker, WORKER_INVENTORY).await
    }

    async fn apply_leases(
        &self,
        worker: SocketAddr,
        commands: &[LeaseCommand],
    ) -> Result<Vec<LeaseReply>, CallError> {
        let replies: Vec<LeaseReply> = self.post_json(worker, WORKER_LEASES, commands).await?;
        if replies.len() == commands.len() {
            Ok(replies)
        } else {
            Err(malformed("the number of replies is not that of commands"))
        }
    }

    async fn fence(
        &self,
        worker: SocketAddr,
        command: &FenceCommand,
    ) -> Result<FenceReply, CallError> {
        self.post_json(worker, WORKER_FENCE, command).await
    }

    async fn usage(&self, worker: SocketAddr) -> Result<Usage, CallError> {
        self.read_json(worker, WORKER_USAGE).await
    }
}
