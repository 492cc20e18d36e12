//! Records since when every change of the platform's list of workers has been seen, by this node or
//! by one that it exchanged heartbeats with.
//!
//! Proof that a ticket was never run needs every worker that the issuer may have used. A node that
//! received a heartbeat of the issuer adopts its observation, so together they have missed no
//! change.

use std::collections::HashMap;
use std::sync::PoisonError;

use membership::peers::HeartbeatView;
use model::prelude::*;
use serde::{Deserialize, Serialize};

use super::Members;

/// Since when every change of the list of workers has been seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Observation {
    /// Time of the first list, in milliseconds since the Unix epoch; `None` before it.
    pub(crate) since_ms: Option<u64>,
    /// Time at which a worker last vanished from the list, in milliseconds since the Unix epoch; 0
    /// for never.
    pub(crate) vanished_ms: u64,
}

/// Observations of this node and of the issuers that sent it heartbeats.
#[derive(Debug, Default)]
pub(super) struct Observations {
    own_since_ms: Option<u64>,
    vanished_ms: u64,
    /// Time of an issuer's first list, which precedes its first request.
    issuers: HashMap<(NodeName, Incarnation), u64>,
}

impl Members {
    /// Returns the observation of this node, combined with those of the peers of its data centre.
    pub(crate) fn observation(&self) -> Observation {
        let observations = self
            .observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Observation {
            since_ms: observations.own_since_ms,
            vanished_ms: observations.vanished_ms,
        }
    }

    /// Records that this node has read a list.
    pub(super) fn observe_list(&self, now_ms: u64, has_vanished: bool) {
        let mut observations = self
            .observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        observations.own_since_ms.get_or_insert(now_ms);
        if has_vanished {
            observations.vanished_ms = observations.vanished_ms.max(now_ms);
        }
    }

    /// Merges the observation of a peer of the data centre.
    pub(crate) fn merge_observation(&self, view: &HeartbeatView, seen: Observation) {
        let Some(since_ms) = seen.since_ms else {
            return;
        };
        let mut observations = self
            .observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // Without a list of its own, this node may miss a change after the heartbeat.
        let Some(own_ms) = observations.own_since_ms else {
            return;
        };
        observations.own_since_ms = Some(own_ms.min(since_ms));
        observations.vanished_ms = observations.vanished_ms.max(seen.vanished_ms);
        let issuer = (view.node.clone(), view.incarnation);
        observations.issuers.entry(issuer).or_insert(since_ms);
    }

    /// Returns whether a worker that started at `boot` remembers everything that the ticket's
    /// issuer sent, and no other worker can have accepted work of the issuer and vanished.
    pub(crate) fn covers(&self, ticket: &Ticket, boot: u64) -> bool {
        let observations = self
            .observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let issuer = (ticket.node.clone(), ticket.incarnation);
        observations
            .issuers
            .get(&issuer)
            .is_some_and(|&since_ms| boot <= since_ms && observations.vanished_ms < since_ms)
    }
}
