//! `POST /v1/requests`: one request, answered on the same connection.

use std::sync::Arc;

use model::prelude::*;
use poem::http::HeaderMap;
use poem::web::Data;
use poem::{Body, IntoResponse, Request, Response, handler};
use tokio_util::sync::CancellationToken;

use super::auth::authenticate;
use super::body::read_body;
use super::error::{NoAnswer, refuse};
use super::health::check_serving;
use crate::declared::{Principal, Snapshot};
use crate::node::Shared;
use crate::requests::{Answer, CheckedRequest, serve};

/// Header with the class of the work.
const CLASS_HEADER: &str = "hemlock-class";

/// Header with the time until the deadline, in milliseconds.
const DEADLINE_HEADER: &str = "hemlock-deadline-ms";

/// Header with the ticket of once-only work.
const TICKET_HEADER: &str = "hemlock-ticket";

/// Header with the identifier of the work that ran.
const WORK_ID_HEADER: &str = "hemlock-work-id";

/// Header with the digest of the answer.
const DIGEST_HEADER: &str = "content-digest";

/// Maximum time until a deadline, in milliseconds from the arrival; later deadlines are shortened
/// to it.
const DEADLINE_MS_MAX: u64 = 24 * 60 * 60 * 1_000;

/// Runs a request and waits for its answer.
#[handler]
pub(crate) async fn post_request(
    shared: Data<&Arc<Shared>>,
    request: &Request,
    body: Body,
) -> Response {
    let shared = Arc::clone(&shared);
    shared.metrics.count("requests.offered");
    let started_ms = shared.clock.now_ms();
    let outcome = answer_request(&shared, request, body).await;
    shared.count_outcome(&outcome);
    shared
        .metrics
        .time_ms("requests.duration", shared.clock.now_ms() - started_ms);
    match outcome {
        Ok(answer) => answer_response(answer),
        Err(no_answer) => no_answer.into_response(),
    }
}

/// Checks a request and serves it.
async fn answer_request(
    shared: &Arc<Shared>,
    request: &Request,
    body: Body,
) -> Result<Answer, NoAnswer> {
    let snapshot = shared.snapshot();
    let principal = authenticate(&snapshot, request)?;
    check_serving(shared)?;
    let mut open = shared.open_request()?;
    let mut checked = check_headers(&snapshot, &principal, request.headers())?;
    checked.body = read_body(body, shared.settings.limits.body_bytes_max).await?;
    open.hold(checked.body.len())?;
    // The work continues without the caller once something was sent, so it runs in a separate task.
    let abandoned = CancellationToken::new();
    let _abandon_on_drop = abandoned.clone().drop_guard();
    let task = tokio::spawn(serve(Arc::clone(shared), checked, abandoned, open));
    task.await.unwrap_or_else(|_| {
        Err(NoAnswer::Unknown(OutcomeUnknown {
            reason: UnknownReason::IssuerLost,
            detail: "the node ended while it served the request".to_owned(),
        }))
    })
}

/// Converts the headers of a request to a checked request without a body.
///
/// # Errors
///
/// A header is missing, malformed or not allowed.
fn check_headers(
    snapshot: &Snapshot,
    principal: &Principal,
    headers: &HeaderMap,
) -> Result<CheckedRequest, Refused> {
    let Principal::Caller(organisation) = principal else {
        return Err(refuse(
            RefusalReason::Forbidden,
            "only callers submit requests",
        ));
    };
    let class: ClassName = match parse_header(headers, CLASS_HEADER)? {
        Some(class) => class,
        None => {
            let detail = format!("the header {CLASS_HEADER} is missing");
            return Err(refuse(RefusalReason::Malformed, detail));
        }
    };
    let spec = snapshot
        .class_for(organisation, &class)
        .map_err(|(reason, detail)| refuse(reason, detail))?;
    let remaining_ms = parse_deadline(headers, spec.deadline_ms)?;
    let ticket: Option<Ticket> = parse_header(headers, TICKET_HEADER)?;
    Ok(CheckedRequest {
        organisation: organisation.clone(),
        class,
        idempotent: spec.idempotent && ticket.is_none(),
        remaining_ms,
        ticket,
        body: bytes::Bytes::new(),
    })
}

/// Parses the deadline header; without it the default of the class applies.
fn parse_deadline(headers: &HeaderMap, default_ms: u64) -> Result<u64, Refused> {
    let remaining_ms: i64 = match parse_header(headers, DEADLINE_HEADER)? {
        Some(remaining_ms) => remaining_ms,
        None => return Ok(default_ms),
    };
    match u64::try_from(remaining_ms) {
        Ok(remaining_ms) if remaining_ms > 0 => Ok(remaining_ms.min(DEADLINE_MS_MAX)),
        _ => Err(refuse(
            RefusalReason::DeadlinePassed,
            "the deadline has passed already",
        )),
    }
}

/// Parses an optional header.
fn parse_header<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refused>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let malformed = |detail: String| {
        refuse(
            RefusalReason::Malformed,
            format!("the header {name}: {detail}"),
        )
    };
    let text = value.to_str().map_err(|e| malformed(e.to_string()))?;
    text.parse()
        .map(Some)
        .map_err(|e: T::Err| malformed(e.to_string()))
}

/// Builds the response of an answer.
fn answer_response(answer: Answer) -> Response {
    Response::builder()
        .header(WORK_ID_HEADER, answer.work_id.to_string())
        .header(DIGEST_HEADER, answer.digest.to_string())
        .content_type("application/octet-stream")
        .body(answer.body)
}
