//! `POST /v1/jobs`, `GET` and `DELETE /v1/jobs/{id}`: gang jobs.

use std::sync::Arc;

use model::prelude::*;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{Body, IntoResponse, Request, Response, handler};
use serde::Serialize;

use super::auth::authenticate;
use super::body::read_json;
use super::error::{NoAnswer, refuse};
use super::health::check_serving;
use crate::declared::{Principal, Snapshot};
use crate::jobs::{JobReply, JobStatus, Submission, cancel_job, job_status, submit_job};
use crate::node::Shared;
use crate::requests::begin_job_ticket;

/// Reply to an accepted job.
#[derive(Debug, Serialize)]
struct Accepted {
    job: JobId,
    durable: bool,
}

/// Submits a job.
#[handler]
pub(crate) async fn post_job(
    shared: Data<&Arc<Shared>>,
    request: &Request,
    body: Body,
) -> Response {
    match submit(&shared, request, body).await {
        Ok(accepted) => Json(accepted)
            .with_status(StatusCode::ACCEPTED)
            .into_response(),
        Err(no_answer) => count_and_reply(&shared, no_answer),
    }
}

/// Counts a refusal and returns a reply that is not an answer.
fn count_and_reply(shared: &Shared, no_answer: NoAnswer) -> Response {
    if let NoAnswer::Refused(refused) = &no_answer {
        shared.count_refusal(refused.reason());
    }
    no_answer.into_response()
}

/// Checks a submission and forwards it to the leader.
async fn submit(shared: &Arc<Shared>, request: &Request, body: Body) -> Result<Accepted, NoAnswer> {
    let snapshot = shared.snapshot();
    let principal = authenticate(&snapshot, request)?;
    check_serving(shared)?;
    let spec: JobSpec = read_json(body).await?;
    check_spec(&snapshot, &principal, &spec)?;
    let job = match &spec.ticket {
        Some(ticket) => begin_job_ticket(shared, ticket, &spec).await?,
        None => shared.next_job_id(),
    };
    let submission = Submission {
        job: job.clone(),
        spec,
    };
    let durable = submit_job(shared, &submission).await?;
    Ok(Accepted { job, durable })
}

/// Checks a job against the declarations.
fn check_spec(snapshot: &Snapshot, principal: &Principal, spec: &JobSpec) -> Result<(), Refused> {
    if !principal.may_act_for(&spec.organisation) {
        let detail = format!("this token does not act for {}", spec.organisation);
        return Err(refuse(RefusalReason::Forbidden, detail));
    }
    snapshot
        .class_for(&spec.organisation, &spec.class)
        .map_err(|(reason, detail)| refuse(reason, detail))?;
    if spec.run_ms_declared == 0 {
        return Err(refuse(
            RefusalReason::Malformed,
            "run_ms_declared must not be 0",
        ));
    }
    Ok(())
}

/// Returns the status of a job.
#[handler]
pub(crate) async fn get_job(
    shared: Data<&Arc<Shared>>,
    request: &Request,
    Path(id): Path<String>,
) -> Response {
    match find(&shared, request, &id).await {
        Ok(status) => Json(status).into_response(),
        Err(refused) => count_and_reply(&shared, refused.into()),
    }
}

/// Cancels a job; a job that has ended is left unchanged.
#[handler]
pub(crate) async fn delete_job(
    shared: Data<&Arc<Shared>>,
    request: &Request,
    Path(id): Path<String>,
) -> Response {
    match cancel(&shared, request, &id).await {
        Ok(status) => Json(status).into_response(),
        Err(refused) => count_and_reply(&shared, refused.into()),
    }
}

/// Finds a job that the owner of the token may see.
async fn find(shared: &Arc<Shared>, request: &Request, id: &str) -> Result<JobStatus, Refused> {
    let principal = authenticate(&shared.snapshot(), request)?;
    let job = parse_id(id)?;
    let status = require_known(job_status(shared, &job).await?, &job)?;
    check_owner(&principal, &status)?;
    Ok(status)
}

/// Cancels a job that the owner of the token may see.
async fn cancel(shared: &Arc<Shared>, request: &Request, id: &str) -> Result<JobStatus, Refused> {
    let status = find(shared, request, id).await?;
    require_known(cancel_job(shared, &status.job).await?, &status.job)
}

/// Parses the identifier of a job.
fn parse_id(id: &str) -> Result<JobId, Refused> {
    id.parse()
        .map_err(|e| refuse(RefusalReason::Malformed, format!("the job {id:?}: {e}")))
}

/// Returns the status in a reply.
fn require_known(reply: JobReply, job: &JobId) -> Result<JobStatus, Refused> {
    match reply {
        JobReply::Known(status) => Ok(*status),
        JobReply::NotFound | JobReply::NotPlanner => Err(not_found(job)),
    }
}

/// Refuses a job of another organisation as if it did not exist.
fn check_owner(principal: &Principal, status: &JobStatus) -> Result<(), Refused> {
    if principal.may_act_for(&status.organisation) {
        return Ok(());
    }
    Err(not_found(&status.job))
}

/// Builds the refusal for an unknown job.
fn not_found(job: &JobId) -> Refused {
    refuse(RefusalReason::NotFound, format!("no job {job} is known"))
}
