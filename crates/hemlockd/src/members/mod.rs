//! Membership as this node sees it: workers and peers, and the tasks that keep this view current.

mod drain;
mod heartbeats;
mod list;
mod observation;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use membership::peers::{ListedPeer, PeerConfig, PeerEvent, PeerState, Peers as PeerMachine};
use membership::rendezvous::RackGroup;
use membership::workers::{WorkerRow, Workers as WorkerMachine};
use model::prelude::*;
use platform::vm_list::WorkerVm;
use rand::seq::IndexedRandom;
use tokio::sync::watch;

pub(crate) use drain::{drain_local, drain_worker};
pub(crate) use heartbeats::{run_heartbeats, send_heartbeats};
pub(crate) use list::run_list;
pub(crate) use observation::Observation;

use self::observation::Observations;
use crate::settings::Settings;

/// Interval between two heartbeats, which carry the usage of workers, in milliseconds.
const HEARTBEAT_MS: u64 = 250;

/// The workers of the data centre: which accept new work, and their addresses.
#[derive(Debug, Default)]
pub(crate) struct WorkerView {
    /// Decides which workers accept new work.
    pub(crate) machine: WorkerMachine,
    /// The last entry of each worker in the platform's list.
    pub(crate) listed: BTreeMap<WorkerName, WorkerVm>,
}

/// Workers and peers as this node sees them.
pub(crate) struct Members {
    peers: Mutex<PeerMachine>,
    workers: Mutex<WorkerView>,
    leader: watch::Sender<Option<NodeName>>,
    observations: Mutex<Observations>,
    group: RackGroup,
}

impl Members {
    /// Creates the view of a node that has received no heartbeat yet.
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation, now_ms: u64) -> Self {
        let mut peers = PeerMachine::new(
            PeerConfig {
                heartbeat_ms: HEARTBEAT_MS,
                ..PeerConfig::default()
            },
            settings.node.clone(),
            settings.data_centre.clone(),
            incarnation,
            incarnation.0,
        );
        let listed: Vec<_> = settings.peers.iter().map(listed_peer).collect();
        peers.on_list(now_ms, &listed);
        let group = RackGroup {
            data_centre: settings.data_centre.clone(),
            index: 0,
        };
        peers.watch_groups(now_ms, [group.clone()]);
        Self {
            peers: Mutex::new(peers),
            workers: Mutex::default(),
            leader: watch::Sender::new(None),
            observations: Mutex::default(),
            group,
        }
    }

    /// Locks the state machine of the peers.
    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerMachine> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the workers of the data centre.
    pub(crate) fn workers(&self) -> MutexGuard<'_, WorkerView> {
        self.workers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the rows about workers, for the other nodes of the data centre.
    pub(crate) fn worker_rows(&self, now_ms: u64) -> Vec<WorkerRow> {
        self.workers().machine.rows(now_ms)
    }

    /// Returns the address of a listed worker.
    pub(crate) fn worker_address(&self, worker: &WorkerName) -> Option<SocketAddr> {
        self.workers().listed.get(worker).map(|vm| vm.address)
    }

    /// Subscribes to the leader of this data centre, which changes when nodes join, leave or fail.
    pub(crate) fn subscribe_leader(&self) -> watch::Receiver<Option<NodeName>> {
        self.leader.subscribe()
    }

    /// Returns the current leader of this data centre.
    pub(crate) fn current_leader(&self) -> Option<NodeName> {
        self.leader.borrow().clone()
    }

    /// Returns the incarnation of a peer that is alive.
    pub(crate) fn incarnation_of(&self, node: &NodeName) -> Option<Incarnation> {
        let peers = self.peers();
        let found = peers.alive().find(|(peer, _)| *peer == node);
        found.map(|(_, incarnation)| incarnation)
    }

    /// Returns whether a peer has been unresponsive for so long that it counts as gone.
    pub(crate) fn is_gone(&self, node: &NodeName) -> bool {
        let peers = self.peers();
        peers
            .known()
            .any(|(peer, state)| peer == node && state == PeerState::Gone)
    }

    /// Returns the peers of the data centre that are alive and not leaving, with their
    /// incarnations.
    pub(crate) fn staying_peers(&self) -> Vec<(NodeName, Incarnation)> {
        let peers = self.peers();
        let leaving: Vec<_> = peers.leaving().collect();
        peers
            .alive()
            .filter(|(node, _)| peers.data_centre_of(node) == Some(&self.group.data_centre))
            .filter(|(node, _)| !leaving.contains(node))
            .map(|(node, incarnation)| (node.clone(), incarnation))
            .collect()
    }

    /// Returns a peer of `data_centre` that is alive; `last_choice` only if there is no other.
    pub(crate) fn peer_in(
        &self,
        data_centre: &DataCentreName,
        last_choice: &NodeName,
    ) -> Option<NodeName> {
        let peers = self.peers();
        let local = peers
            .alive()
            .map(|(node, _)| node)
            .filter(|node| peers.data_centre_of(node) == Some(data_centre));
        local.min_by_key(|node| *node == last_choice).cloned()
    }

    /// Picks a node of another data centre to pass requests to, preferably of the same region.
    pub(crate) fn spill_target(&self, settings: &Settings) -> Option<NodeName> {
        let peers = self.peers();
        let targets: Vec<_> = peers
            .alive()
            .filter_map(|(node, _)| Some((node, peers.data_centre_of(node)?)))
            .filter(|(_, data_centre)| **data_centre != settings.data_centre)
            .map(|(node, data_centre)| {
                (
                    settings
                        .topology
                        .same_region(&settings.data_centre, data_centre),
                    node,
                )
            })
            .collect();
        let has_local = targets.iter().any(|(is_local, _)| *is_local);
        let best: Vec<_> = targets
            .into_iter()
            .filter(|(local, _)| *local == has_local)
            .collect();
        let pick = best.choose(&mut rand::rng())?;
        Some(pick.1.clone())
    }

    /// Returns whether a peer is in the region of this node.
    pub(crate) fn is_in_region(&self, node: &NodeName, settings: &Settings) -> bool {
        let peers = self.peers();
        let data_centre = peers.data_centre_of(node);
        data_centre.is_some_and(|dc| settings.topology.same_region(&settings.data_centre, dc))
    }

    /// Counts the nodes of this data centre that serve requests, including this one.
    pub(crate) fn count_serving_nodes(&self) -> u32 {
        let peers = self.peers();
        let local = peers
            .alive()
            .filter(|(node, _)| peers.data_centre_of(node) == Some(&self.group.data_centre));
        u32::try_from(local.count() + 1).unwrap_or(u32::MAX)
    }

    /// Handles the events of the peer state machine.
    pub(crate) fn handle_peer_events(&self) {
        let mut peers = self.peers();
        while let Some(event) = peers.poll() {
            match event {
                PeerEvent::PlannerChanged { group, planner } if group == self.group => {
                    let name = planner.as_ref().map_or("no node", NodeName::as_str);
                    log::info!(target: "members", "The leader of this data centre is now {name}.");
                    self.leader.send_replace(planner);
                }
                PeerEvent::PlannerChanged { .. } => {}
                PeerEvent::PeerJoined { node, .. } => {
                    log::info!(target: "members", "Node {node} has joined.");
                }
                PeerEvent::Suspected { node } => {
                    log::warn!(target: "members", "Node {node} is suspected: its heartbeats have stopped.");
                }
                PeerEvent::Gone { node } => {
                    log::warn!(target: "members", "Node {node} is gone: its heartbeats timed out.");
                }
                PeerEvent::Returned { node } => {
                    log::info!(target: "members", "Node {node} sends heartbeats again.");
                }
            }
        }
    }
}

/// Converts a peer of the settings to an entry of the platform's list.
fn listed_peer(peer: &crate::settings::PeerSettings) -> ListedPeer {
    ListedPeer {
        node: peer.node.clone(),
        data_centre: peer.data_centre.clone(),
        leaving: false,
    }
}
