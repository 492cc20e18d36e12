//! Requests to workers, and the answers and states that workers report.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::ident::{Ticket, WorkId};
use crate::name::{ClassName, OrganisationName};
use crate::outcome::WorkerRefusal;

/// SHA-256 of the bytes of a request or an answer, printed as in RFC 9530: `sha-256=:BASE64:`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// Computes the digest of `bytes`.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

/// Why a string is not a content digest.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a content digest is sha-256=:BASE64: (RFC 9530)")]
pub struct ContentDigestError;

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "sha-256=:{}:", BASE64.encode(self.0))
    }
}

impl std::str::FromStr for ContentDigest {
    type Err = ContentDigestError;

    fn from_str(raw: &str) -> Result<Self, ContentDigestError> {
        let encoded = raw
            .strip_prefix("sha-256=:")
            .and_then(|rest| rest.strip_suffix(':'));
        let bytes = BASE64.decode(encoded.ok_or(ContentDigestError)?);
        let digest = bytes
            .ok()
            .and_then(|bytes| bytes.try_into().ok())
            .ok_or(ContentDigestError)?;
        Ok(Self(digest))
    }
}

/// A request to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRequest<B> {
    /// Identifier of the work.
    pub work_id: WorkId,
    /// Permission to run once, for work that is not idempotent.
    pub ticket: Option<Ticket>,
    /// Organisation that it runs for.
    pub organisation: OrganisationName,
    /// Class of the work.
    pub class: ClassName,
    /// Time left until the deadline.
    pub remaining_ms: u64,
    /// Opaque input.
    pub body: B,
}

/// The answer of a worker, with the digest and length that the worker states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunAnswer<B> {
    /// The work that was run.
    pub work_id: WorkId,
    /// Stated digest of the body.
    pub digest: ContentDigest,
    /// Stated length of the body.
    pub length_bytes: u64,
    /// Opaque output.
    pub body: B,
}

impl<B: AsRef<[u8]>> RunAnswer<B> {
    /// Checks that the answer belongs to the work `expected` and that its body matches the stated
    /// digest and length.
    ///
    /// # Errors
    ///
    /// Returns the defect of the answer.
    pub fn check(&self, expected: &WorkId) -> Result<(), AnswerDefect> {
        if self.work_id != *expected {
            return Err(AnswerDefect::Crossed);
        }
        let body = self.body.as_ref();
        if self.length_bytes != body.len() as u64 || self.digest != ContentDigest::of_bytes(body) {
            return Err(AnswerDefect::Damaged);
        }
        Ok(())
    }
}

/// Defect of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerDefect {
    /// It belongs to other work.
    Crossed,
    /// Its length or digest differs from the stated one.
    Damaged,
}

/// Reply of a worker to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunReply<B> {
    /// The work ran and this is its answer.
    Answered(RunAnswer<B>),
    /// The work ran and failed.
    Failed {
        /// The work that failed.
        work_id: WorkId,
        /// The worker's description of the failure.
        detail: String,
    },
    /// The work was not run.
    Refused(WorkerRefusal),
}

/// Status of work that was sent to a worker earlier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkStatus<B> {
    /// The worker has never seen the work, or has forgotten it after the acknowledgement.
    Unknown,
    /// The work is running.
    Running {
        /// How long it has run.
        run_ms: u64,
    },
    /// The work has ended.
    Ended(RunReply<B>),
}
