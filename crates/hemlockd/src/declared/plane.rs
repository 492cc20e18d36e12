//! The replica of this node and the snapshot that the request path reads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use declarations::{Accepted, Offer, Offered, Replica, ReplicaDigest};
use model::prelude::*;

use super::snapshot::Snapshot;

/// What is in force on this node.
#[derive(Debug)]
pub(crate) struct DeclaredState {
    replica: Mutex<Replica>,
    snapshot: RwLock<Arc<Snapshot>>,
    operators: Vec<TokenDigest>,
}

impl DeclaredState {
    /// Nothing in force; `operators` are the digests of the settings, which always count.
    pub(crate) fn new(operators: Vec<TokenDigest>) -> Self {
        let empty = Snapshot::new(&Accepted::default(), &operators);
        Self {
            replica: Mutex::default(),
            snapshot: RwLock::new(Arc::new(empty)),
            operators,
        }
    }

    fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The snapshot in force.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes an offer; yields the new snapshot when the revision in force has moved.
    pub(crate) fn offer(&self, now_ms: u64, offer: Offer) -> Result<Option<Arc<Snapshot>>, Gap> {
        let mut replica = self.replica();
        match replica.offer(now_ms, offer) {
            Offered::Ignored => Ok(None),
            Offered::Gap { .. } => Err(Gap),
            Offered::Moved { .. } => {
                let Some(accepted) = replica.accepted() else {
                    return Ok(None);
                };
                let next = Arc::new(Snapshot::new(accepted, &self.operators));
                // The replica stays locked, so that snapshots follow in the order of revisions.
                let mut current = self
                    .snapshot
                    .write()
                    .unwrap_or_else(PoisonError::into_inner);
                *current = Arc::clone(&next);
                Ok(Some(next))
            }
        }
    }

    /// Records that no revision above `revision` was accepted `age_ms` ago.
    pub(crate) fn confirm(&self, now_ms: u64, revision: Revision, age_ms: u64) {
        self.replica().confirm(now_ms, revision, age_ms);
    }

    /// The accepted configuration in force, empty before the first.
    pub(crate) fn accepted(&self) -> Accepted {
        self.replica().accepted().cloned().unwrap_or_default()
    }

    /// What a peer at `have` lacks.
    pub(crate) fn offer_for(&self, have: Option<Revision>) -> Option<Offer> {
        self.replica().offer_for(have)
    }

    /// What heartbeats tell.
    pub(crate) fn digest(&self, now_ms: u64) -> ReplicaDigest {
        self.replica().digest(now_ms)
    }
}

/// The offered delta starts above the revision in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Gap;
