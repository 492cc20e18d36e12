//! Replies other than answers: refused, failed, or outcome unknown.

use model::prelude::*;
use poem::http::{StatusCode, header};
use poem::{IntoResponse, Response};
use serde::Serialize;

/// Milliseconds per second, for headers in seconds.
const MS_PER_S: u64 = 1_000;

/// Body of every reply that is not an answer.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    outcome: &'static str,
    reason: &'a str,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    findings: Option<&'a Findings>,
}

/// Why a caller receives no answer.
#[derive(Debug)]
pub(crate) enum NoAnswer {
    /// The work was not run.
    Refused(Refused),
    /// The work ran and failed.
    Failed(Failed),
    /// It is unknown whether the work ran.
    Unknown(OutcomeUnknown),
}

impl From<Refused> for NoAnswer {
    fn from(refused: Refused) -> Self {
        Self::Refused(refused)
    }
}

/// Refuses input that has caused no work.
pub(crate) fn refuse(reason: RefusalReason, detail: impl Into<String>) -> Refused {
    Refused::new(NotRunProof::of_unsent(()), reason, detail)
}

/// Returns the HTTP status of a refusal.
pub(crate) const fn status_of(reason: RefusalReason) -> StatusCode {
    use RefusalReason as R;
    match reason {
        R::Unauthorised => StatusCode::UNAUTHORIZED,
        R::Forbidden | R::Suspended => StatusCode::FORBIDDEN,
        R::Malformed => StatusCode::BAD_REQUEST,
        R::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        R::NotFound => StatusCode::NOT_FOUND,
        R::UnknownClass | R::UnknownOrganisation | R::ImpossibleShape | R::DeadlinePassed => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        R::TicketMismatch | R::IssuerFenced | R::TicketExpired | R::Cancelled | R::Conflict => {
            StatusCode::CONFLICT
        }
        R::QuotaUsed | R::ClassLimit => StatusCode::TOO_MANY_REQUESTS,
        R::DeadlineUnreachable
        | R::QueueFull
        | R::NoWorker
        | R::RetryBudgetUsed
        | R::Stopping
        | R::NotReady
        | R::StoreUnavailable
        | R::Unreachable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Default of the `Retry-After` header, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

impl IntoResponse for NoAnswer {
    fn into_response(self) -> Response {
        match self {
            Self::Refused(refused) => refused_response(&refused, None),
            Self::Failed(failed) => {
                let reason: &'static str = failed.reason.into();
                error_response(
                    StatusCode::BAD_GATEWAY,
                    "failed",
                    reason,
                    &failed.detail,
                    None,
                )
            }
            Self::Unknown(unknown) => {
                let reason: &'static str = unknown.reason.into();
                let status = StatusCode::GATEWAY_TIMEOUT;
                error_response(status, "outcome_unknown", reason, &unknown.detail, None)
            }
        }
    }
}

/// Builds the response of a refusal, with the findings that led to it.
pub(crate) fn refused_response(refused: &Refused, findings: Option<&Findings>) -> Response {
    let status = status_of(refused.reason());
    let reason: &'static str = refused.reason().into();
    let mut response = error_response(status, "refused", reason, refused.detail(), findings);
    let is_temporary =
        status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
    if is_temporary {
        let retry_after_ms = refused.retry_after_ms().unwrap_or(RETRY_AFTER_MS);
        let retry_after_s = retry_after_ms.div_ceil(MS_PER_S).max(1);
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, retry_after_s.into());
    }
    response
}

/// Builds a response with the common body.
fn error_response(
    status: StatusCode,
    outcome: &'static str,
    reason: &str,
    detail: &str,
    findings: Option<&Findings>,
) -> Response {
    let body = ErrorBody {
        outcome,
        reason,
        detail,
        findings,
    };
    let text = serde_json::to_string(&body).unwrap_or_default();
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(text)
}
