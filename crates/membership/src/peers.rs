//! Failure detector for entry nodes, and the choice of the planner of each rack group.
//!
//! A peer is suspected when no heartbeat has arrived within its own timeout. Each false suspicion
//! doubles that timeout up to a limit, and a period without one halves it again, so that a VM that
//! pauses or is slow does not flap. The duration of a pause of the own node is not counted against
//! its peers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::rendezvous::{RackGroup, select_node};

/// Durations of [`Peers`], in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerConfig {
    /// Interval between two heartbeats of one node.
    pub heartbeat_ms: u64,
    /// Initial heartbeat timeout, after which a peer is suspected; also the time after its start
    /// for which a node does not plan.
    pub suspect_ms: u64,
    /// Longest heartbeat timeout.
    pub suspect_ms_max: u64,
    /// Time since the last heartbeat after which a suspected peer is gone.
    pub gone_ms: u64,
    /// Time without a false suspicion after which the timeout of a peer is halved.
    pub calm_ms: u64,
    /// Time after its return for which a formerly suspected peer does not plan.
    pub settle_ms: u64,
}

impl Default for PeerConfig {
    fn default() -> Self {
        Self {
            heartbeat_ms: 500,
            suspect_ms: 2_000,
            suspect_ms_max: 8_000,
            gone_ms: 30_000,
            calm_ms: 300_000,
            settle_ms: 5_000,
        }
    }
}

/// State of a node as its heartbeat reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatView {
    /// The sender.
    pub node: NodeName,
    /// Data centre of the sender.
    pub data_centre: DataCentreName,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence of the heartbeat within the incarnation, from 1.
    pub sequence: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
}

/// An entry node in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedPeer {
    /// The node.
    pub node: NodeName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// A change that [`Peers`] reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerEvent {
    /// A peer has sent its first heartbeat of an incarnation.
    PeerJoined {
        /// The peer.
        node: NodeName,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A peer's heartbeats have timed out; it may be paused, cut off or dead.
    Suspected {
        /// The peer.
        node: NodeName,
    },
    /// A suspected peer has been unresponsive for so long that it is taken for dead.
    Gone {
        /// The peer.
        node: NodeName,
    },
    /// A suspected or gone peer has sent a heartbeat again.
    Returned {
        /// The peer.
        node: NodeName,
    },
    /// Another node plans a rack group from now on.
    PlannerChanged {
        /// The rack group.
        group: RackGroup,
        /// The planner; `None` when no node of the data centre can plan.
        planner: Option<NodeName>,
    },
}

/// State of a peer as this node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// Listed by the platform; no heartbeat has arrived yet.
    Listed,
    /// A heartbeat has arrived within its timeout.
    Alive,
    /// No heartbeat has arrived within its timeout.
    Suspected,
    /// No heartbeat has arrived within [`PeerConfig::gone_ms`].
    Gone,
}

#[derive(Debug, Clone)]
struct Peer {
    data_centre: DataCentreName,
    incarnation: Incarnation,
    sequence: u64,
    state: PeerState,
    announced_leaving: bool,
    listed: bool,
    listed_leaving: bool,
    last_heartbeat_ms: u64,
    timeout_ms: u64,
    calm_since_ms: u64,
    plans_from_ms: u64,
}

/// Failure detector of one entry node for its peers.
#[derive(Debug, Clone)]
pub struct Peers {
    config: PeerConfig,
    own_node: NodeName,
    own_data_centre: DataCentreName,
    own_incarnation: Incarnation,
    own_leaving: bool,
    sequence: u64,
    heartbeat_phase_ms: u64,
    last_tick_ms: Option<u64>,
    started_ms: Option<u64>,
    peers: BTreeMap<NodeName, Peer>,
    planners: BTreeMap<RackGroup, Option<NodeName>>,
    events: VecDeque<PeerEvent>,
}

impl Peers {
    /// Creates a failure detector that knows no peer.
    ///
    /// `seed` sets the phase of the heartbeats, so that nodes with different seeds don't send at
    /// the same time.
    pub fn new(
        config: PeerConfig,
        own_node: NodeName,
        own_data_centre: DataCentreName,
        own_incarnation: Incarnation,
        seed: u64,
    ) -> Self {
        Self {
            heartbeat_phase_ms: seed % config.heartbeat_ms.max(1),
            config,
            own_node,
            own_data_centre,
            own_incarnation,
            own_leaving: false,
            sequence: 0,
            last_tick_ms: None,
            started_ms: None,
            peers: BTreeMap::new(),
            planners: BTreeMap::new(),
            events: VecDeque::new(),
        }
    }

    /// Watches the planners of `groups`; a change is reported as [`PeerEvent::PlannerChanged`].
    pub fn watch_groups(&mut self, now_ms: u64, groups: impl IntoIterator<Item = RackGroup>) {
        let mut old = std::mem::take(&mut self.planners);
        for group in groups {
            let planner = old.remove(&group).flatten();
            self.planners.insert(group, planner);
        }
        self.update_planners(now_ms);
    }

    /// Marks the own node as stopping; from then on it plans no rack group.
    pub fn set_leaving(&mut self, now_ms: u64) {
        self.own_leaving = true;
        self.update_planners(now_ms);
    }

    /// Builds the next heartbeat of the own node.
    pub fn heartbeat(&mut self) -> HeartbeatView {
        self.sequence += 1;
        HeartbeatView {
            node: self.own_node.clone(),
            data_centre: self.own_data_centre.clone(),
            incarnation: self.own_incarnation,
            sequence: self.sequence,
            leaving: self.own_leaving,
        }
    }

    /// Returns the time of the first heartbeat after `now_ms`, at the phase that the seed sets.
    pub fn next_heartbeat_ms(&self, now_ms: u64) -> u64 {
        let period_ms = self.config.heartbeat_ms.max(1);
        let shifted_ms = now_ms + period_ms - self.heartbeat_phase_ms;
        shifted_ms - shifted_ms % period_ms + self.heartbeat_phase_ms
    }

    /// Handles a heartbeat; reordered and repeated ones are ignored.
    pub fn on_heartbeat(&mut self, now_ms: u64, view: &HeartbeatView) {
        if view.node == self.own_node {
            return;
        }
        let config = self.config;
        let plans_from_ms = self.new_peer_plans_from_ms(now_ms);
        let peer = self
            .peers
            .entry(view.node.clone())
            .or_insert_with(|| new_peer(&config, now_ms, &view.data_centre));
        let newest = (peer.incarnation, peer.sequence);
        if (view.incarnation, view.sequence) <= newest {
            return;
        }
        let restarted = view.incarnation > peer.incarnation;
        peer.incarnation = view.incarnation;
        peer.sequence = view.sequence;
        peer.announced_leaving = view.leaving;
        peer.data_centre = view.data_centre.clone();
        peer.last_heartbeat_ms = now_ms;
        let before = peer.state;
        peer.state = PeerState::Alive;
        if restarted {
            peer.plans_from_ms = plans_from_ms;
            self.events.push_back(PeerEvent::PeerJoined {
                node: view.node.clone(),
                incarnation: view.incarnation,
            });
        } else if before != PeerState::Alive {
            peer.timeout_ms = (2 * peer.timeout_ms).min(config.suspect_ms_max);
            peer.calm_since_ms = now_ms;
            peer.plans_from_ms = now_ms + config.settle_ms;
            self.events.push_back(PeerEvent::Returned {
                node: view.node.clone(),
            });
        }
        self.update_planners(now_ms);
    }

    /// Handles the platform's list.
    ///
    /// The list lags, so heartbeats take precedence over it: a peer that is missing from it is
    /// forgotten only if it is gone or has never sent a heartbeat.
    pub fn on_list(&mut self, now_ms: u64, listed: &[ListedPeer]) {
        let names: BTreeSet<&NodeName> = listed.iter().map(|entry| &entry.node).collect();
        for (node, peer) in &mut self.peers {
            peer.listed = names.contains(node);
        }
        let config = self.config;
        for entry in listed {
            if entry.node == self.own_node {
                continue;
            }
            let peer = self
                .peers
                .entry(entry.node.clone())
                .or_insert_with(|| new_peer(&config, now_ms, &entry.data_centre));
            peer.listed = true;
            peer.listed_leaving = entry.leaving;
        }
        self.peers
            .retain(|_, p| p.listed || !matches!(p.state, PeerState::Listed | PeerState::Gone));
        self.update_planners(now_ms);
    }

    /// Handles timeouts that are due at `now_ms`; has to be called at least once per heartbeat
    /// interval.
    pub fn tick(&mut self, now_ms: u64) {
        self.discount_own_pause(now_ms);
        for (node, peer) in &mut self.peers {
            if let Some(event) = update_peer_state(&self.config, now_ms, node, peer) {
                self.events.push_back(event);
            }
        }
        self.update_planners(now_ms);
    }

    /// Takes the next event, in order.
    pub fn poll(&mut self) -> Option<PeerEvent> {
        self.events.pop_front()
    }

    /// Returns the peers that are alive, without the own node.
    pub fn alive(&self) -> impl Iterator<Item = (&NodeName, Incarnation)> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.state == PeerState::Alive)
            .map(|(node, peer)| (node, peer.incarnation))
    }

    /// Returns all known peers, listed or not; heartbeats are sent to them.
    pub fn known(&self) -> impl Iterator<Item = (&NodeName, PeerState)> {
        self.peers.iter().map(|(node, peer)| (node, peer.state))
    }

    /// Returns the peers that are stopping or that the platform is about to remove.
    pub fn leaving(&self) -> impl Iterator<Item = &NodeName> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.announced_leaving || peer.listed_leaving)
            .map(|(node, _)| node)
    }

    /// Returns the data centre of a known peer.
    pub fn data_centre_of(&self, node: &NodeName) -> Option<&DataCentreName> {
        self.peers.get(node).map(|peer| &peer.data_centre)
    }

    /// Returns whether the peer is listed by the platform.
    pub fn is_listed(&self, node: &NodeName) -> bool {
        self.peers.get(node).is_some_and(|peer| peer.listed)
    }

    /// Returns the planner of `group`, chosen among the nodes of its data centre that are alive.
    ///
    /// A node that has just started plans nothing until it has had time to receive heartbeats from
    /// the others. Peers that joined or returned recently are chosen only if no other node may plan
    /// the group.
    pub fn planner_of(&self, now_ms: u64, group: &RackGroup) -> Option<&NodeName> {
        let own_eligible = group.data_centre == self.own_data_centre && !self.own_leaving;
        let own = (own_eligible && self.is_settled(now_ms)).then_some(&self.own_node);
        let eligible = |peer: &Peer| {
            peer.data_centre == group.data_centre
                && peer.state == PeerState::Alive
                && !peer.announced_leaving
                && !peer.listed_leaving
        };
        let settled = |peer: &Peer| eligible(peer) && now_ms >= peer.plans_from_ms;
        let candidates = self.peers.iter().filter(|(_, peer)| settled(peer));
        let candidates = candidates.map(|(node, _)| node).chain(own);
        select_node(group, candidates).or_else(|| {
            let unsettled = self.peers.iter().filter(|(_, peer)| eligible(peer));
            select_node(group, unsettled.map(|(node, _)| node))
        })
    }

    /// Returns the time from which a peer may plan whose first heartbeat arrives at `now_ms`.
    ///
    /// A node that has just started cannot tell new peers from old ones, so all peers whose first
    /// heartbeat arrives before the node may plan itself may plan from that time too. Nodes that
    /// start together thus agree on the planner.
    fn new_peer_plans_from_ms(&self, now_ms: u64) -> u64 {
        let own_ms = self.started_ms.unwrap_or(now_ms) + self.config.suspect_ms;
        if now_ms < own_ms {
            own_ms
        } else {
            now_ms + self.config.suspect_ms
        }
    }

    /// Returns whether the own node has had time to receive heartbeats from the others since it
    /// started.
    fn is_settled(&self, now_ms: u64) -> bool {
        let settled = |started_ms| now_ms >= started_ms + self.config.suspect_ms;
        self.started_ms.is_some_and(settled)
    }

    /// Subtracts a pause of the own node from the time since each peer's last heartbeat.
    fn discount_own_pause(&mut self, now_ms: u64) {
        let last_ms = self.last_tick_ms.replace(now_ms).unwrap_or(now_ms);
        let gap_ms = now_ms.saturating_sub(last_ms);
        if gap_ms <= 2 * self.config.heartbeat_ms {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.last_heartbeat_ms = (peer.last_heartbeat_ms + gap_ms).min(now_ms);
        }
    }

    fn update_planners(&mut self, now_ms: u64) {
        self.started_ms.get_or_insert(now_ms);
        let mut changes = Vec::new();
        for (group, known) in &self.planners {
            let planner = self.planner_of(now_ms, group);
            if planner != known.as_ref() {
                changes.push((group.clone(), planner.cloned()));
            }
        }
        for (group, planner) in changes {
            self.planners.insert(group.clone(), planner.clone());
            self.events
                .push_back(PeerEvent::PlannerChanged { group, planner });
        }
    }
}

fn new_peer(config: &PeerConfig, now_ms: u64, data_centre: &DataCentreName) -> Peer {
    Peer {
        data_centre: data_centre.clone(),
        incarnation: Incarnation(0),
        sequence: 0,
        state: PeerState::Listed,
        announced_leaving: false,
        listed: false,
        listed_leaving: false,
        last_heartbeat_ms: now_ms,
        timeout_ms: config.suspect_ms,
        calm_since_ms: now_ms,
        plans_from_ms: now_ms,
    }
}

/// Updates a peer's timeout and its state by the time since its last heartbeat.
fn update_peer_state(
    config: &PeerConfig,
    now_ms: u64,
    node: &NodeName,
    peer: &mut Peer,
) -> Option<PeerEvent> {
    if now_ms.saturating_sub(peer.calm_since_ms) >= config.calm_ms {
        peer.timeout_ms = (peer.timeout_ms / 2).max(config.suspect_ms);
        peer.calm_since_ms = now_ms;
    }
    let elapsed_ms = now_ms.saturating_sub(peer.last_heartbeat_ms);
    match peer.state {
        PeerState::Alive if elapsed_ms >= peer.timeout_ms => {
            peer.state = PeerState::Suspected;
            Some(PeerEvent::Suspected { node: node.clone() })
        }
        PeerState::Suspected if elapsed_ms >= config.gone_ms => {
            peer.state = PeerState::Gone;
            Some(PeerEvent::Gone { node: node.clone() })
        }
        _ => None,
    }
}
