//! Calls to workers as the state machines see them: identifiers and failures.

use serde::{Deserialize, Serialize};

/// Identifier of one call, unique within the state machine that assigned it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// Why a call has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallFailure {
    /// The call had no effect: no byte reached the worker, or the worker said so.
    NotSent,
    /// The call is unanswered and may have taken effect.
    ReplyLost,
}

/// The worker did not answer a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Unreachable;
