//! What a caller's call comes to, and the HTTP answer that says so.

use adapter::{encode_refusal, encode_state, encode_waiting};
use poem::Response;
use poem::http::StatusCode;
use scheduler::JobState;
use serde::{Deserialize, Serialize};

use crate::metrics::Counter;

/// When a caller may come back after a refusal: the configuration and the store are looked at that often.
const RETRY_AFTER_S: u64 = 1;

/// What a call comes to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// A job's state.
    State(JobState),
    /// How many jobs wait.
    Waiting(usize),
    /// No such job.
    Gone,
    /// Turned away, and certainly not carried out.
    Refused {
        /// Which refusal.
        reason: Counter,
        /// What exactly was wrong.
        detail: String,
    },
    /// Whether it was carried out is not known.
    OutcomeUnknown,
}

impl Reply {
    /// Turns a call away.
    pub fn refused(reason: Counter, detail: impl Into<String>) -> Reply {
        Reply::Refused {
            reason,
            detail: detail.into(),
        }
    }

    /// Whether the store kept this node from answering, so that another node may do better.
    pub fn is_store_failure(&self) -> bool {
        matches!(
            self,
            Reply::OutcomeUnknown
                | Reply::Refused {
                    reason: Counter::RefusedStore | Counter::RefusedNoConfiguration,
                    ..
                }
        )
    }

    /// This node's own refusal, once no peer could do better either.
    pub fn after_asking_peers(self) -> Reply {
        match self {
            Reply::Refused {
                reason: Counter::RefusedStore | Counter::RefusedNoConfiguration,
                detail,
            } => Reply::refused(Counter::RefusedOutage, detail),
            other => other,
        }
    }

    /// The HTTP answer.
    pub fn into_response(self) -> Response {
        let json = Response::builder().content_type("application/json");
        match self {
            Reply::State(state) => json.status(StatusCode::OK).body(encode_state(state)),
            Reply::Waiting(count) => json.status(StatusCode::OK).body(encode_waiting(count)),
            Reply::Gone => {
                json.status(StatusCode::GONE)
                    .body(encode_refusal("refused", "no_such_job", ""))
            }
            Reply::Refused { reason, detail } => {
                let status = refusal_status(reason);
                let json = match status {
                    StatusCode::SERVICE_UNAVAILABLE => {
                        json.header("retry-after", RETRY_AFTER_S.to_string())
                    }
                    _ => json,
                };
                json.status(status)
                    .body(encode_refusal("refused", reason.into(), &detail))
            }
            Reply::OutcomeUnknown => {
                let detail = "the job may have been accepted; come back with the same id";
                json.status(StatusCode::GATEWAY_TIMEOUT)
                    .body(encode_refusal("outcome_unknown", "store_silent", detail))
            }
        }
    }
}

/// The status that says which refusal it is.
fn refusal_status(reason: Counter) -> StatusCode {
    match reason {
        Counter::RefusedNoQueue => StatusCode::NOT_FOUND,
        Counter::RefusedKey => StatusCode::UNAUTHORIZED,
        Counter::RefusedTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Counter::RefusedMalformed => StatusCode::BAD_REQUEST,
        Counter::RefusedMethod => StatusCode::METHOD_NOT_ALLOWED,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
