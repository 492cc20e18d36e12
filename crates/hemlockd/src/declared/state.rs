//! The replica of the declarations on this node, and the snapshot of it that the request path
//! reads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use declarations::{AcceptedRevision, Offer, OfferOutcome, Replica, ReplicaDigest};
use model::prelude::*;

use super::snapshot::Snapshot;

/// The declarations that are active on this node.
#[derive(Debug)]
pub(crate) struct DeclaredState {
    replica: Mutex<Replica>,
    snapshot: RwLock<Arc<Snapshot>>,
    operators: Vec<TokenDigest>,
}

impl DeclaredState {
    /// Creates the state without declarations; `operators` are the token digests of the settings,
    /// which are always valid.
    pub(crate) fn new(operators: Vec<TokenDigest>) -> Self {
        let empty = Snapshot::new(&AcceptedRevision::default(), &operators);
        Self {
            replica: Mutex::default(),
            snapshot: RwLock::new(Arc::new(empty)),
            operators,
        }
    }

    fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the active snapshot.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Merges an offer; returns the new snapshot if the active revision has changed, and [`Gap`] if
    /// a delta does not follow on it.
    pub(crate) fn offer(&self, now_ms: u64, offer: Offer) -> Result<Option<Arc<Snapshot>>, Gap> {
        let mut replica = self.replica();
        match replica.offer(now_ms, offer) {
            OfferOutcome::Ignored => Ok(None),
            OfferOutcome::Gap { .. } => Err(Gap),
            OfferOutcome::Moved { .. } => {
                let Some(accepted) = replica.accepted() else {
                    return Ok(None);
                };
                let next = Arc::new(Snapshot::new(accepted, &self.operators));
                // The replica stays locked, so that snapshots are replaced in the order of
                // revisions.
                let mut current = self
                    .snapshot
                    .write()
                    .unwrap_or_else(PoisonError::into_inner);
                *current = Arc::clone(&next);
                Ok(Some(next))
            }
        }
    }

    /// Records that the store held no revision above `revision` at `age_ms` before `now_ms`.
    pub(crate) fn confirm(&self, now_ms: u64, revision: Revision, age_ms: u64) {
        self.replica().confirm(now_ms, revision, age_ms);
    }

    /// Returns the active declarations with their log; empty before the first revision.
    pub(crate) fn accepted(&self) -> AcceptedRevision {
        self.replica().accepted().cloned().unwrap_or_default()
    }

    /// Returns the offer for a peer whose revision is `have`; `None` if it lacks nothing.
    pub(crate) fn offer_for(&self, have: Option<Revision>) -> Option<Offer> {
        self.replica().offer_for(have)
    }

    /// Returns the active revision and its age, for heartbeats.
    pub(crate) fn digest(&self, now_ms: u64) -> ReplicaDigest {
        self.replica().digest(now_ms)
    }
}

/// The offered delta starts above the active revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Gap;
