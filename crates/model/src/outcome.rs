//! Outcomes of work that did not yield an answer: refused, failed, or unknown.
//!
//! A [`Refused`] states that the work was not run. It can be built only from a [`NotRunProof`] or
//! from the [`RefusalStatement`] of another node. A proof exists only for work of which nothing was
//! sent, for work that its worker has refused, and for a ticket whose issuer is fenced at every
//! worker.

use std::marker::PhantomData;

use serde::{Deserialize, Serialize};

use crate::ident::WorkId;
use crate::reason::{FailureReason, RefusalReason, UnknownReason};

/// Marks an attempt of which no byte has left this process.
#[derive(Debug)]
pub struct Unsent;

/// Marks an attempt of which bytes may have reached a worker.
#[derive(Debug)]
pub struct Sent;

/// One attempt to run a piece of work on a worker.
#[derive(Debug)]
pub struct Attempt<S> {
    work_id: WorkId,
    state: PhantomData<S>,
}

impl Attempt<Unsent> {
    /// Creates an attempt of which nothing has been sent.
    pub const fn new(work_id: WorkId) -> Self {
        Self {
            work_id,
            state: PhantomData,
        }
    }

    /// Records that bytes may leave this process from now on.
    pub fn into_sent(self) -> Attempt<Sent> {
        Attempt {
            work_id: self.work_id,
            state: PhantomData,
        }
    }

    /// Returns a proof that the work was not run, because nothing was sent.
    pub fn into_proof(self) -> NotRunProof {
        NotRunProof { seal: () }
    }
}

impl Attempt<Sent> {
    /// Returns a proof that the work was not run, from the refusal of the worker that it was sent
    /// to.
    ///
    /// Returns `None` if the refusal is about other work.
    pub fn into_proof(self, refusal: &WorkerRefusal) -> Option<NotRunProof> {
        (refusal.work_id == self.work_id).then_some(NotRunProof { seal: () })
    }
}

impl<S> Attempt<S> {
    /// Returns the identifier of the work.
    pub const fn work_id(&self) -> &WorkId {
        &self.work_id
    }
}

/// Statement of a worker that it has not run a piece of work and will not run it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerRefusal {
    /// The work that was not run.
    pub work_id: WorkId,
    /// Why it was not run.
    pub why: WorkerRefusalReason,
}

/// Why a worker has not run a piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerRefusalReason {
    /// All slots are in use.
    SlotsInUse,
    /// The worker is leaving.
    Leaving,
    /// The incarnation that sent the work is fenced.
    Fenced,
    /// The ticket has been seen before.
    TicketSeen,
}

/// Proof that a piece of work was not run and will not be run.
#[derive(Debug)]
pub struct NotRunProof {
    seal: (),
}

impl NotRunProof {
    /// Creates a proof for work that was refused before an attempt was made.
    ///
    /// Consumes `request`, so that it cannot be sent afterwards.
    pub fn of_unsent<R>(request: R) -> Self {
        drop(request);
        Self { seal: () }
    }

    /// Creates a proof from fencing: every worker has confirmed that it refuses the issuer's
    /// incarnation, and none has seen the ticket.
    ///
    /// The arguments are numbers of workers. Returns `None` unless all `workers` have confirmed and
    /// none of them has `seen` the ticket.
    pub fn of_fencing(workers: usize, confirmed: usize, seen: usize) -> Option<Self> {
        (workers > 0 && confirmed == workers && seen == 0).then_some(Self { seal: () })
    }
}

/// The work was not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    reason: RefusalReason,
    detail: String,
    retry_after_ms: Option<u64>,
}

impl Refused {
    /// Creates a refusal and consumes the proof.
    pub fn new(proof: NotRunProof, reason: RefusalReason, detail: impl Into<String>) -> Self {
        let NotRunProof { seal: () } = proof;
        Self {
            reason,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the time after which the caller may retry, in milliseconds.
    #[must_use]
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns why the work was refused.
    pub const fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Returns the details for the caller.
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns the time after which the caller may retry, in milliseconds.
    pub const fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }
}

/// A refusal in the form in which one entry node sends it to another that forwarded the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RefusalStatement {
    reason: RefusalReason,
    detail: String,
    retry_after_ms: Option<u64>,
}

impl From<Refused> for RefusalStatement {
    fn from(refused: Refused) -> Self {
        let Refused {
            reason,
            detail,
            retry_after_ms,
        } = refused;
        Self {
            reason,
            detail,
            retry_after_ms,
        }
    }
}

impl From<RefusalStatement> for Refused {
    fn from(statement: RefusalStatement) -> Self {
        let RefusalStatement {
            reason,
            detail,
            retry_after_ms,
        } = statement;
        Self {
            reason,
            detail,
            retry_after_ms,
        }
    }
}

/// The work ran and failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failed {
    /// Why it failed.
    pub reason: FailureReason,
    /// Details for the caller.
    pub detail: String,
}

/// It is not known whether the work ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeUnknown {
    /// Why it is not known.
    pub reason: UnknownReason,
    /// Details for the caller.
    pub detail: String,
}
