//! HTTP interface of one simulated worker.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use model::prelude::*;
use platform::wire::{
    FailedBody, HEADER_DIGEST, HEADER_LENGTH_BYTES, HEADER_OUTCOME, HEADER_REMAINING_MS,
    HEADER_TICKET, HEADER_WORK_ID, OUTCOME_ANSWERED, OUTCOME_FAILED, OUTCOME_REFUSED,
    OUTCOME_RUNNING, OUTCOME_UNKNOWN, RunningBody, WORKER_ACKNOWLEDGE, WORKER_FENCE,
    WORKER_INVENTORY, WORKER_LEASES, WORKER_RUN, WORKER_STATUS, WORKER_USAGE,
};
use poem::http::{HeaderMap, Method, StatusCode, header};
use poem::{Addr, Body, Endpoint, Request, Response};

use crate::respond::{Refusal, json_reply, ok_reply, read_bytes, read_json};
use crate::worker::{IncomingRequest, Worker};

/// Serves the interface of a worker.
#[derive(Debug)]
pub(crate) struct WorkerEndpoint(pub(crate) Arc<Worker>);

impl Endpoint for WorkerEndpoint {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let worker = &self.0;
        let remote = remote_address(&request);
        if remote.is_some_and(|remote| worker.connections.is_over_limit(remote)) {
            return Ok(refuse_connection());
        }
        worker.wait_while_paused().await;
        let response = route(worker, request, remote).await;
        worker.wait_while_paused().await;
        Ok(response.unwrap_or_else(Refusal::into_reply))
    }
}

/// Returns the address of the caller.
pub(crate) fn remote_address(request: &Request) -> Option<SocketAddr> {
    match request.remote_addr().0 {
        Addr::SocketAddr(address) => Some(address),
        _ => None,
    }
}

/// Builds the reply on a connection above the limit; the connection is closed after it.
fn refuse_connection() -> Response {
    let refusal = Refusal::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_worker",
        "all connections are in use; nothing was run",
    );
    let mut response = refusal.into_reply();
    let close = header::HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Dispatches a call by method and path.
async fn route(
    worker: &Arc<Worker>,
    request: Request,
    remote: Option<SocketAddr>,
) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    match (&parts.method, path) {
        (&Method::POST, WORKER_RUN) => run(worker, &parts.headers, body, remote).await,
        (&Method::POST, WORKER_LEASES) => {
            let commands = read_json(body).await?;
            Ok(ok_reply(&worker.apply_leases(commands)))
        }
        (&Method::POST, WORKER_ACKNOWLEDGE) => {
            let work_ids: Vec<WorkId> = read_json(body).await?;
            worker.acknowledge(&work_ids);
            Ok(ok_reply(&()))
        }
        (&Method::POST, WORKER_FENCE) => {
            let command = read_json(body).await?;
            Ok(ok_reply(&worker.fence(&command)))
        }
        (&Method::GET, WORKER_INVENTORY) => Ok(ok_reply(&worker.inventory())),
        (&Method::GET, WORKER_USAGE) => Ok(ok_reply(&worker.usage())),
        (&Method::GET, _) => reply_status(worker, path),
        _ => Err(Refusal::not_found()),
    }
}

/// Runs a request; its connection is reset if answers are lost, unless the request was refused.
async fn run(
    worker: &Arc<Worker>,
    headers: &HeaderMap,
    body: Body,
    remote: Option<SocketAddr>,
) -> Result<Response, Refusal> {
    let request = IncomingRequest {
        work_id: parse_header(headers, HEADER_WORK_ID)?
            .ok_or_else(|| missing_header(HEADER_WORK_ID))?,
        ticket: parse_header(headers, HEADER_TICKET)?,
        remaining_ms: parse_header(headers, HEADER_REMAINING_MS)?.unwrap_or(u64::MAX),
        body: read_bytes(body).await?,
    };
    let reply = Arc::clone(worker).run(request).await;
    let is_refused = matches!(reply, Some(RunReply::Refused(_)));
    let is_lost = worker.loses_answers() && !is_refused;
    if let (true, Some(remote)) = (is_lost, remote) {
        worker.connections.reset(remote);
    }
    match reply {
        Some(reply) => Ok(reply_result(reply)),
        None => Err(Refusal::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "worker_lost",
            "the worker crashed",
        )),
    }
}

/// Parses an optional header.
fn parse_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    match text.and_then(|text| text.parse().ok()) {
        Some(parsed) => Ok(Some(parsed)),
        None => {
            let detail = format!("the header {name} is malformed");
            Err(Refusal::malformed(detail))
        }
    }
}

/// Creates the refusal of a call that lacks a mandatory header.
fn missing_header(name: &str) -> Refusal {
    Refusal::malformed(format!("the header {name} is missing"))
}

/// Builds the reply with the status of a request.
fn reply_status(worker: &Worker, path: &str) -> Result<Response, Refusal> {
    let raw = path
        .strip_prefix(WORKER_STATUS)
        .and_then(|rest| rest.strip_prefix('/'))
        .ok_or_else(Refusal::not_found)?;
    let work_id = raw.parse().map_err(|_| Refusal::not_found())?;
    Ok(match worker.status(&work_id) {
        WorkStatus::Unknown => {
            with_outcome(json_reply(StatusCode::NOT_FOUND, &()), OUTCOME_UNKNOWN)
        }
        WorkStatus::Running { run_ms } => with_outcome(
            json_reply(StatusCode::ACCEPTED, &RunningBody { run_ms }),
            OUTCOME_RUNNING,
        ),
        WorkStatus::Ended(reply) => reply_result(reply),
    })
}

/// Adds the outcome header to a reply.
fn with_outcome(mut response: Response, outcome: &'static str) -> Response {
    let outcome = header::HeaderValue::from_static(outcome);
    response.headers_mut().insert(HEADER_OUTCOME, outcome);
    response
}

/// Builds the reply for the result of a request.
fn reply_result(reply: RunReply<Bytes>) -> Response {
    match reply {
        RunReply::Answered(answer) => Response::builder()
            .header(HEADER_OUTCOME, OUTCOME_ANSWERED)
            .header(HEADER_WORK_ID, answer.work_id.to_string())
            .header(HEADER_DIGEST, answer.digest.to_string())
            .header(HEADER_LENGTH_BYTES, answer.length_bytes.to_string())
            .body(answer.body),
        RunReply::Failed { work_id, detail } => with_outcome(
            json_reply(
                StatusCode::INTERNAL_SERVER_ERROR,
                &FailedBody { work_id, detail },
            ),
            OUTCOME_FAILED,
        ),
        RunReply::Refused(refusal) => {
            with_outcome(json_reply(StatusCode::CONFLICT, &refusal), OUTCOME_REFUSED)
        }
    }
}
