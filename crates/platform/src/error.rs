//! Errors of calls to external services, classified by whether the call may have taken effect.

use thiserror::Error;

/// Why a call has no valid reply.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing was sent to the peer; the call had no effect.
    #[error("nothing was sent: {detail}")]
    NotSent {
        /// What went wrong.
        detail: String,
    },
    /// No complete reply was received; the call may have taken effect.
    #[error("the reply is lost: {detail}")]
    ReplyLost {
        /// What went wrong.
        detail: String,
    },
    /// The peer replied that it cannot serve the call now; the call had no effect.
    #[error("unavailable: {detail}")]
    Unavailable {
        /// Text of the peer's reply.
        detail: String,
    },
    /// The peer's reply cannot be decoded or does not fit the call.
    #[error("malformed reply: {detail}")]
    Malformed {
        /// What is wrong with the reply.
        detail: String,
    },
}

impl CallError {
    /// Returns whether the call certainly had no effect.
    pub const fn is_without_effect(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::Unavailable { .. })
    }
}

/// The HTTP client could not be built.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the HTTP client cannot be set up: {detail}")]
pub struct ClientError {
    /// What went wrong.
    pub detail: String,
}

impl From<reqwest::Error> for ClientError {
    fn from(error: reqwest::Error) -> Self {
        Self {
            detail: error.to_string(),
        }
    }
}
