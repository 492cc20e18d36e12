//! The product's own jobs API, `/v1/jobs`: reads submissions, queries and cancels as JSON over HTTP, and handles them
//! in the same way as calls of the platform's callers.
//!
//! A job becomes a job of one step. Its class names the queue, and its bearer token is an organisation's key. A ticket
//! determines the job's identifier, so that a second submission with the same ticket is the same job.

use std::sync::Arc;

use model::job::{Adjacency, JobSpec};
use poem::http::{Method, StatusCode, header};
use poem::{Endpoint, Request, Response};
use scheduler::{JobId, JobRecord, JobRequest, JobState, Resources, StepSpec, Timing};
use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::body::collect_body;
use crate::call::{Call, Target, admit};
use crate::cancels::cancel_job;
use crate::clock::now_ms;
use crate::intake::accept_request;
use crate::job_calls::find_record;
use crate::metrics::Counter;
use crate::node::Node;
use crate::reply::Reply;
use crate::requests::{ActiveRequest, DEFAULT_WAIT_MS, log_reply};
use crate::returns::MIN_RETRY_AFTER_S;
use crate::settle::Settling;

/// Thousandths of a core reserved with each accelerator; the API asks for accelerators only.
const CPU_MILLIS_PER_ACCELERATOR: i64 = 1_000;

/// Memory reserved with each accelerator, in megabytes.
const MEMORY_MB_PER_ACCELERATOR: i64 = 1_024;

/// The largest body, in bytes: a job's text and its fields.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// Path of the jobs.
const JOBS_PATH: &str = "/v1/jobs";

/// Serves the jobs API.
pub(crate) struct JobsApi(pub Arc<Node>);

/// Body of the answer to an accepted job.
#[derive(Debug, Serialize)]
struct Accepted {
    job: String,
    durable: bool,
}

/// Body of the answer about a job.
#[derive(Debug, Serialize)]
struct Status {
    job: String,
    state: &'static str,
    members: Vec<Member>,
    why: String,
}

/// A member that is placed on a worker.
#[derive(Debug, Serialize)]
struct Member {
    worker: String,
}

impl Endpoint for JobsApi {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let node = &self.0;
        let _active = ActiveRequest::begin(node);
        let path = request.uri().path().to_string();
        let call = Call {
            arrived_ms: now_ms(),
            answer_by_ms: now_ms() + DEFAULT_WAIT_MS,
            key: scan_bearer(&request),
            target: Target::OwnJob {
                id: path.rsplit('/').next().unwrap_or_default().to_string(),
            },
            passed_on: false,
        };
        let method = request.method().clone();
        let (call, reply) = match path.strip_prefix(JOBS_PATH) {
            Some("" | "/") if method == Method::POST => {
                match collect_body(node, &mut request, MAX_BODY_BYTES).await {
                    Ok(body) => match node.permit_answer(&call).await {
                        Ok(_permit) => submit(node, call, &body.bytes).await,
                        Err(reply) => (call, Answer::Other(reply)),
                    },
                    Err(reply) => (call, Answer::Other(reply)),
                }
            }
            Some(rest) if rest.starts_with('/') => {
                let reply = match node.permit_answer(&call).await {
                    Ok(_permit) => query_or_cancel(node, &call, &method, &rest[1..]).await,
                    Err(reply) => Answer::Other(reply),
                };
                (call, reply)
            }
            _ => {
                let reply = Reply::refused(Counter::RefusedNoQueue, "there is nothing here");
                (call, Answer::Other(reply))
            }
        };
        Ok(match reply {
            Answer::Accepted(accepted) => json_response(StatusCode::ACCEPTED, &accepted),
            Answer::Status(status) => json_response(StatusCode::OK, &status),
            Answer::Other(reply) => {
                log_reply(node, &call, &method, &reply);
                reply.into_response(MIN_RETRY_AFTER_S)
            }
        })
    }
}

/// An answer of the jobs API.
enum Answer {
    /// The job was accepted.
    Accepted(Accepted),
    /// A job's status.
    Status(Status),
    /// An answer that is the same in both interfaces.
    Other(Reply),
}

fn json_response(status: StatusCode, body: &impl Serialize) -> Response {
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(serde_json::to_string(body).unwrap_or_default())
}

/// Returns the token of the `Authorization` header.
fn scan_bearer(request: &Request) -> Option<String> {
    let text = request
        .headers()
        .get(header::AUTHORIZATION)?
        .to_str()
        .ok()?;
    let (scheme, token) = text.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| token.trim().to_string())
}

/// Accepts a job. Returns the call with its target filled in from the body.
async fn submit(node: &Arc<Node>, mut call: Call, body: &[u8]) -> (Call, Answer) {
    let spec: JobSpec = match serde_json::from_slice(body) {
        Ok(spec) => spec,
        Err(e) => {
            let detail = format!("line {}, column {}: {e}", e.line(), e.column());
            let reply = Reply::refused(Counter::RefusedMalformed, detail);
            return (call, Answer::Other(reply));
        }
    };
    call.target = Target::Class {
        class: spec.class.to_string(),
        organisation: spec.organisation.to_string(),
    };
    let id = match &spec.ticket {
        Some(ticket) => derive_job_id(&ticket.to_string(), &spec.organisation.to_string()),
        None => JobId::from(rand::random::<u64>()),
    };
    let request = match build_job_request(&spec) {
        Ok(request) => request,
        Err(e) => {
            let reply = Reply::refused(Counter::RefusedMalformed, e.to_string());
            return (call, Answer::Other(reply));
        }
    };
    let mut settling = Settling::begin(node, &call);
    let reply = loop {
        let reply = accept_request(node, &call, id, &request).await;
        if let Some(reply) = settling.judge(reply).await {
            break reply;
        }
    };
    let answer = match reply {
        Reply::State(_) => Answer::Accepted(Accepted {
            job: id.to_string(),
            durable: true,
        }),
        other => Answer::Other(other),
    };
    (call, answer)
}

/// Returns the job identifier that belongs to a ticket; the same ticket of another organisation gives another
/// identifier.
fn derive_job_id(ticket: &str, organisation: &str) -> JobId {
    let digest = Sha256::digest(format!("{organisation} {ticket}").as_bytes());
    let high_bits = digest
        .iter()
        .take(8)
        .fold(0, |id, byte| id << 8 | u64::from(*byte));
    JobId::from(high_bits)
}

/// Builds a job of one step from a gang. Members that have to share a worker run as one task with the accelerators of
/// all of them.
fn build_job_request(spec: &JobSpec) -> Result<JobRequest, scheduler::SpecError> {
    let gang = spec.gang;
    let (count, accelerators) = match gang.adjacency() {
        Adjacency::Worker => (1, gang.accelerators()),
        Adjacency::Rack | Adjacency::DataCentre => (gang.members(), gang.accelerators_per_member()),
    };
    let accelerators = i64::from(accelerators);
    let step = StepSpec {
        count,
        need: Resources {
            cpu_millis: accelerators * CPU_MILLIS_PER_ACCELERATOR,
            memory_mb: accelerators * MEMORY_MB_PER_ACCELERATOR,
            accelerators,
        },
        estimate_ms: spec.run_ms_declared,
        saves_progress: spec.checkpointable,
        gang: true,
        one_rack: gang.adjacency() == Adjacency::Rack,
        ..StepSpec::default()
    };
    JobRequest::check(spec.input.clone(), vec![step], Timing::default())
}

/// Answers with a job's status, after cancelling it if the method is DELETE.
async fn query_or_cancel(node: &Arc<Node>, call: &Call, method: &Method, id: &str) -> Answer {
    let Ok(id) = id.parse::<JobId>() else {
        let detail = "a job's id is 16 lower-case hexadecimal digits";
        return Answer::Other(Reply::refused(Counter::RefusedMalformed, detail));
    };
    match find_or_cancel_own_job(node, call, method, id).await {
        Ok(Some(record)) => Answer::Status(build_status(id, &record)),
        Ok(None) => Answer::Other(Reply::Gone),
        Err(reply) => Answer::Other(reply),
    }
}

/// Returns the record of a job of the caller's organisation, after cancelling the job if that is asked for. A job of
/// another organisation is treated as if it did not exist.
async fn find_or_cancel_own_job(
    node: &Arc<Node>,
    call: &Call,
    method: &Method,
    id: JobId,
) -> Result<Option<JobRecord>, Reply> {
    let Some(active) = node
        .configuration
        .confirmed_since(node.oldest_confirmation_ms(now_ms()))
    else {
        let detail = "the configuration was not confirmed lately";
        return Err(Reply::refused(Counter::RefusedNoConfiguration, detail));
    };
    let caller = admit(&active.configuration, call)?;
    let record = find_record(node, call, &caller, id).await?;
    match *method {
        Method::GET => Ok(record),
        // A submission of a job that is not there yet may be under way.
        Method::DELETE => match cancel_job(node, call, id).await {
            Reply::State(state) => {
                let record = match record {
                    Some(record) => Some(record),
                    None => find_record(node, call, &caller, id).await?,
                };
                Ok(record.map(|record| JobRecord { state, ..record }))
            }
            Reply::Gone => Ok(None),
            other => Err(other),
        },
        _ => Err(Reply::refused(
            Counter::RefusedMethod,
            "GET, POST or DELETE",
        )),
    }
}

fn build_status(id: JobId, record: &JobRecord) -> Status {
    let members = record
        .groups
        .iter()
        .flat_map(|group| &group.units)
        .filter_map(|task| task.worker.as_ref())
        .map(|worker| Member {
            worker: worker.id.clone(),
        })
        .collect();
    let (state, why) = match record.state {
        JobState::Pending => ("waiting", "waits for room"),
        JobState::Running => ("running", ""),
        JobState::Completed => ("finished", "all its work is done"),
        JobState::Failed => ("failed", "it failed as often as its class bears"),
        JobState::Cancelled => ("cancelled", "its caller cancelled it"),
    };
    Status {
        job: id.to_string(),
        state,
        members,
        why: why.to_string(),
    }
}
