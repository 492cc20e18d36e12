//! Propagates declarations between nodes: a node with a new revision notifies its peers, and each
//! peer that is behind pulls the changes.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use declarations::Offer;
use model::prelude::*;

use crate::node::Shared;

/// Timeout of a call that requests declarations, in milliseconds.
const PROPAGATION_TIMEOUT_MS: u64 = 3_000;

/// Sends heartbeats, so that peers learn of the new revision and pull what they lack.
pub(crate) fn notify_peers(shared: &Arc<Shared>) {
    crate::members::send_heartbeats(shared);
}

/// Pulls declarations if a peer has a higher revision; only one pull runs at a time.
pub(crate) fn pull_if_behind(shared: &Arc<Shared>, node: &NodeName, revision: Revision) {
    let have = shared.snapshot().revision;
    if revision <= have || shared.is_pulling.swap(true, Ordering::AcqRel) {
        return;
    }
    let shared = Arc::clone(shared);
    let node = node.clone();
    tokio::spawn(async move {
        let is_changed = pull(&shared, &node, Some(have).filter(|have| have.0 > 0)).await;
        shared.is_pulling.store(false, Ordering::Release);
        if is_changed {
            notify_peers(&shared);
        }
    });
}

/// Pulls a delta, then the full set if the delta does not apply; returns whether the active
/// revision has changed.
async fn pull(shared: &Arc<Shared>, node: &NodeName, have: Option<Revision>) -> bool {
    for have in [have, None] {
        let Some(offer) = request_offer(shared, node, have).await else {
            return false;
        };
        match shared.declared.offer(shared.clock.now_ms(), offer) {
            Ok(Some(snapshot)) => {
                shared.apply_snapshot(&snapshot);
                return true;
            }
            Ok(None) => return false,
            Err(_gap) => {}
        }
    }
    false
}

/// Requests from `node` what this node lacks.
async fn request_offer(shared: &Shared, node: &NodeName, have: Option<Revision>) -> Option<Offer> {
    let call = shared
        .peers
        .call(node, PROPAGATION_TIMEOUT_MS, async |client, context| {
            client.declarations(context, have).await
        });
    match call.await {
        Ok(Some(text)) => serde_json::from_str(&text).ok(),
        Ok(None) => None,
        Err(e) => {
            log::debug!(target: "declared", "Cannot pull declarations: {e}.");
            None
        }
    }
}
