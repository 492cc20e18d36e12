//! Sends heartbeats to all known peers and takes theirs.

use std::sync::Arc;
use std::time::Duration;

use model::prelude::*;

use crate::declared::pull_if_behind;
use crate::node::Shared;
use crate::peers::Heartbeat;

/// Time that a peer has to answer a heartbeat, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 1_500;

/// Sends heartbeats until the node ends.
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

/// Sends one heartbeat to each known peer; each call is a task of its own.
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

/// Sends a heartbeat to `node` and takes the one that it answers with.
async fn exchange_heartbeat(shared: &Arc<Shared>, node: &NodeName) {
    let data_centre = shared.members.peers().data_centre_of(node).cloned();
    let beat = shared.heartbeat_for(data_centre.as_ref());
    shared.metrics.count("peers.heartbeats_sent");
    let call = shared
        .peers
        .call(node, HEARTBEAT_TIMEOUT_MS, async |client, context| {
            client.heartbeat(context, beat).await
        });
    match call.await {
        Ok(reply) => shared.handle_heartbeat(reply),
        Err(e) => {
            shared.metrics.count("peers.heartbeats_failed");
            log::debug!(target: "members", "A heartbeat was not answered: {e}.");
        }
    }
}

impl Shared {
    /// The present heartbeat of this node towards a node of `data_centre`.
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

    /// Takes the heartbeat of a peer.
    pub(crate) fn handle_heartbeat(self: &Arc<Self>, beat: Heartbeat) {
        let now_ms = self.clock.now_ms();
        let view = &beat.view;
        self.members.peers().on_heartbeat(now_ms, view);
        self.members.handle_peer_events();
        for issuer in beat.held_tickets {
            self.tickets
                .on_holder(issuer, (view.node.clone(), view.incarnation));
        }
        if let Some(revision) = beat.declared.revision {
            if let Some(age_ms) = beat.declared.age_ms {
                self.declared.confirm(now_ms, revision, age_ms);
            }
            pull_if_behind(self, &view.node, revision);
        }
        if view.data_centre != self.settings.data_centre {
            return;
        }
        self.members.merge_observation(view, beat.observed);
        // A later life of a node counts on from a later time, so its rows are newer.
        let sequence = view.incarnation.0 + view.sequence;
        self.admission
            .merge_rows(&view.node, sequence, beat.use_rows);
        self.members
            .workers()
            .machine
            .on_peer_rows(now_ms, &beat.worker_rows);
        self.handle_worker_events();
        self.admission
            .set_peers_sharing(self.members.nodes_sharing());
    }
}
