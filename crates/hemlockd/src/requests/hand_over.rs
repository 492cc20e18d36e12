//! Hands the tickets of a stopping node over to one peer.

use std::sync::Arc;
use std::time::Duration;

use dispatch::tickets::HandOver;
use model::prelude::*;

use crate::node::Shared;

/// Timeout of one hand-over call, in milliseconds.
const HAND_OVER_TIMEOUT_MS: u64 = 2_000;

/// Maximum number of calls to one peer.
const CALLS_MAX: u32 = 5;

/// Delay between two calls, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// Hands all tickets over to one peer of the data centre.
///
/// Another peer is tried only if nothing was sent to the previous one or it refused, so that two
/// peers never hold the same tickets.
pub(crate) async fn hand_over_tickets(shared: &Arc<Shared>) {
    for (successor, incarnation) in shared.members.staying_peers() {
        let now_ms = shared.clock.now_ms();
        let Some(hand_over) = shared.tickets.hand_over(now_ms, &successor, incarnation) else {
            return;
        };
        match send_hand_over(shared, &successor, &hand_over).await {
            HandOverResult::Accepted => {
                shared.metrics.count("tickets.handed_over");
                log::info!(target: "tickets", "Handed the tickets of this node over to node {successor}.");
                return;
            }
            HandOverResult::NotSent => shared.tickets.hand_over_not_sent(),
            HandOverResult::Unknown => return,
        }
    }
    log::warn!(target: "tickets", "No peer accepted the tickets of this node.");
}

/// Result of a hand-over to one peer.
enum HandOverResult {
    /// The peer holds the tickets.
    Accepted,
    /// Nothing was sent, or the peer refused.
    NotSent,
    /// It is unknown whether the peer holds the tickets.
    Unknown,
}

/// Sends the tickets to `successor`; a call without a reply is repeated, up to [`CALLS_MAX`] calls
/// in all.
async fn send_hand_over(
    shared: &Shared,
    successor: &NodeName,
    hand_over: &HandOver,
) -> HandOverResult {
    let Ok(text) = serde_json::to_string(hand_over) else {
        return HandOverResult::NotSent;
    };
    let mut may_have_arrived = false;
    for _ in 0..CALLS_MAX {
        let text = text.clone();
        let call = shared
            .peers
            .call(successor, HAND_OVER_TIMEOUT_MS, async |client, context| {
                client.hand_over(context, text).await
            });
        match call.await {
            Ok(true) => return HandOverResult::Accepted,
            Ok(false) if !may_have_arrived => return HandOverResult::NotSent,
            Ok(false) => return HandOverResult::Unknown,
            Err(e) => may_have_arrived |= !e.is_unsent(),
        }
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
    if may_have_arrived {
        HandOverResult::Unknown
    } else {
        HandOverResult::NotSent
    }
}
