//! Gives the tickets of a stopping node to one peer.

use std::sync::Arc;
use std::time::Duration;

use dispatch::tickets::HandOver;
use model::prelude::*;

use crate::node::Shared;

/// Time that a peer has to take the tickets, in milliseconds.
const HAND_OVER_TIMEOUT_MS: u64 = 2_000;

/// Most repeats towards the peer whose reply was lost.
const REPEATS_MAX: u32 = 5;

/// Pause between two repeats, in milliseconds.
const REPEAT_PAUSE_MS: u64 = 200;

/// Gives all tickets to one peer of the data centre.
///
/// Another peer is tried only while nothing was sent to the one before it.
pub(crate) async fn hand_over_tickets(shared: &Arc<Shared>) {
    for (heir, incarnation) in shared.members.staying_peers() {
        let now_ms = shared.clock.now_ms();
        let Some(hand_over) = shared.tickets.hand_over(now_ms, &heir, incarnation) else {
            return;
        };
        match give(shared, &heir, &hand_over).await {
            Given::Taken => {
                shared.metrics.count("tickets.handed_over");
                log::info!(target: "tickets", "Node {heir} holds the tickets of this node now.");
                return;
            }
            Given::NotSent => shared.tickets.hand_over_not_sent(),
            Given::Unknown => return,
        }
    }
    log::warn!(target: "tickets", "No node took over the tickets of this node.");
}

/// What became of a hand-over.
enum Given {
    /// The peer has taken the tickets.
    Taken,
    /// Nothing was sent, or the peer has refused.
    NotSent,
    /// The peer may have taken the tickets.
    Unknown,
}

/// Gives the tickets to `heir`, again when its reply is lost.
async fn give(shared: &Shared, heir: &NodeName, hand_over: &HandOver) -> Given {
    let Ok(text) = serde_json::to_string(hand_over) else {
        return Given::NotSent;
    };
    let mut may_have_arrived = false;
    for _ in 0..REPEATS_MAX {
        let text = text.clone();
        let call = shared
            .peers
            .call(heir, HAND_OVER_TIMEOUT_MS, async |client, context| {
                client.hand_over(context, text).await
            });
        match call.await {
            Ok(true) => return Given::Taken,
            Ok(false) if !may_have_arrived => return Given::NotSent,
            Ok(false) => return Given::Unknown,
            Err(e) => may_have_arrived |= !e.is_unsent(),
        }
        tokio::time::sleep(Duration::from_millis(REPEAT_PAUSE_MS)).await;
    }
    if may_have_arrived {
        Given::Unknown
    } else {
        Given::NotSent
    }
}
