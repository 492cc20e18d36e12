//! Exchanges heartbeats with all known peers.

use std::sync::Arc;
use std::time::Duration;

use model::prelude::*;

use crate::declared::pull_if_behind;
use crate::node::Shared;
use crate::peers::Heartbeat;

/// Timeout of a heartbeat call, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 1_500;

/// Sends heartbeats to all known peers until the node ends.
pub(crate) async fn run_heartbeats(shared: Arc<Shared>) {
    for peer in &shared.settings.peers {
        shared.peers.set_address(&peer.node, peer.address);
    }
    loop {
        let now_ms = shared.clock.now_ms();
        let next_ms = {
            let mut peers = shared.members.peers();
            peers.tick(now_ms);
            peers.next_heartbeat_ms(now_ms)
        };
        shared.members.handle_peer_events();
        shared.tickets.tick(now_ms);
        shared
            .metrics
            .gauge("requests.open", shared.open_requests() as u64);
        let sleep_ms = next_ms.saturating_sub(now_ms).max(1);
        tokio::time::sleep(Duration::from_millis(sleep_ms)).await;
        send_heartbeats(&shared);
    }
}

/// Sends one heartbeat to each known peer, each in a separate task.
pub(crate) fn send_heartbeats(shared: &Arc<Shared>) {
    let known: Vec<_> = shared
        .members
        .peers()
        .known()
        .map(|(node, _)| node.clone())
        .collect();
    for node in known {
        let shared = Arc::clone(shared);
        tokio::spawn(async move { exchange_heartbeat(&shared, &node).await });
    }
}

/// Sends a heartbeat to `node` and handles the one in its reply.
async fn exchange_heartbeat(shared: &Arc<Shared>, node: &NodeName) {
    let data_centre = shared.members.peers().data_centre_of(node).cloned();
    let heartbeat = shared.heartbeat_for(data_centre.as_ref());
    shared.metrics.count("peers.heartbeats_sent");
    let call = shared
        .peers
        .call(node, HEARTBEAT_TIMEOUT_MS, async |client, context| {
            client.heartbeat(context, heartbeat).await
        });
    match call.await {
        Ok(reply) => shared.handle_heartbeat(reply),
        Err(e) => {
            shared.metrics.count("peers.heartbeats_failed");
            log::debug!(target: "members", "Heartbeat call failed: {e}.");
        }
    }
}

impl Shared {
    /// Builds the current heartbeat of this node for a node of `data_centre`.
    pub(crate) fn heartbeat_for(&self, data_centre: Option<&DataCentreName>) -> Heartbeat {
        let is_local = data_centre == Some(&self.settings.data_centre);
        let view = self.members.peers().heartbeat();
        Heartbeat {
            view,
            declared: self.declared.digest(self.clock.now_ms()),
            observed: self.members.observation(),
            held_tickets: self.tickets.held(),
            use_rows: if is_local {
                self.admission.rows()
            } else {
                Vec::new()
            },
            worker_rows: if is_local {
                self.members.worker_rows(self.clock.now_ms())
            } else {
                Vec::new()
            },
        }
    }

    /// Handles the heartbeat of a peer.
    pub(crate) fn handle_heartbeat(self: &Arc<Self>, heartbeat: Heartbeat) {
        let now_ms = self.clock.now_ms();
        let view = &heartbeat.view;
        self.members.peers().on_heartbeat(now_ms, view);
        self.members.handle_peer_events();
        for issuer in heartbeat.held_tickets {
            self.tickets
                .on_holder(issuer, (view.node.clone(), view.incarnation));
        }
        if let Some(revision) = heartbeat.declared.revision {
            if let Some(age_ms) = heartbeat.declared.age_ms {
                self.declared.confirm(now_ms, revision, age_ms);
            }
            pull_if_behind(self, &view.node, revision);
        }
        if view.data_centre != self.settings.data_centre {
            return;
        }
        self.members.merge_observation(view, heartbeat.observed);
        // A later incarnation of a node starts from a later time, so the sequence of its rows is
        // higher.
        let sequence = view.incarnation.0 + view.sequence;
        self.admission
            .merge_rows(&view.node, sequence, heartbeat.use_rows);
        self.members
            .workers()
            .machine
            .on_peer_rows(now_ms, &heartbeat.worker_rows);
        self.handle_worker_events();
        self.admission
            .set_entry_nodes(self.members.count_serving_nodes());
    }
}
