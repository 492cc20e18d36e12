//! Replies and body parsing that the servers share.

use bytes::Bytes;
use poem::http::StatusCode;
use poem::{Body, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest body that is read, in bytes.
pub(crate) const BODY_BYTES_MAX: usize = 16_000_000;

/// Body of an error reply.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    detail: &'a str,
}

/// Builds a JSON reply.
pub(crate) fn json_reply(status: StatusCode, body: &impl Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(bytes) => Response::builder()
            .status(status)
            .content_type("application/json")
            .body(bytes),
        Err(e) => Response::builder()
            .status(StatusCode::INTERNAL_SERVER_ERROR)
            .body(e.to_string()),
    }
}

/// Builds a JSON reply with status 200.
pub(crate) fn ok_reply(body: &impl Serialize) -> Response {
    json_reply(StatusCode::OK, body)
}

/// Refusal of a call, as the caller receives it.
#[derive(Debug)]
pub(crate) struct Refusal {
    status: StatusCode,
    reason: &'static str,
    detail: String,
}

impl Refusal {
    /// Creates a refusal with a status, a reason and a detail.
    pub(crate) fn new(status: StatusCode, reason: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status,
            reason,
            detail: detail.into(),
        }
    }

    /// Creates the refusal of a call to an unknown path.
    pub(crate) fn not_found() -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", "there is no such path")
    }

    /// Creates the refusal of input that cannot be parsed.
    pub(crate) fn malformed(detail: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "malformed", detail)
    }

    /// Builds the reply for the refusal.
    pub(crate) fn into_reply(self) -> Response {
        let body = ErrorBody {
            outcome: "refused",
            reason: self.reason,
            detail: &self.detail,
        };
        json_reply(self.status, &body)
    }
}

/// Reads a body of at most [`BODY_BYTES_MAX`] bytes.
pub(crate) async fn read_bytes(body: Body) -> Result<Bytes, Refusal> {
    let bytes = body.into_bytes_limit(BODY_BYTES_MAX).await;
    bytes.map_err(|e| Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large", e.to_string()))
}

/// Reads and decodes a JSON body.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Body) -> Result<T, Refusal> {
    let bytes = read_bytes(body).await?;
    let parsed = serde_json::from_slice(&bytes);
    parsed.map_err(|e| Refusal::malformed(e.to_string()))
}
