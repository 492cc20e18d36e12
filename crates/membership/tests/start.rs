//! Nodes that start together agree on one planner.
//!
//! A node learns of its peers by their first heartbeats. If it took the late first heartbeat of a
//! peer for that of a newly started node, or planned before it had received any, two nodes would
//! plan at the same time, or none for a long time.

use membership::peers::{PeerConfig, Peers};
use membership::rendezvous::RackGroup;
use model::prelude::*;
use rstest::rstest;

const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 250;

fn new_node(index: u64) -> Peers {
    let data_centre: DataCentreName = "gyor".parse().unwrap();
    let node = format!("gyor-{index}").parse().unwrap();
    let config = PeerConfig {
        heartbeat_ms: HEARTBEAT_MS,
        ..PeerConfig::default()
    };
    let incarnation = Incarnation(1 + index);
    let mut peers = Peers::new(config, node, data_centre.clone(), incarnation, index);
    peers.watch_groups(0, [group()]);
    peers
}

fn group() -> RackGroup {
    RackGroup {
        data_centre: "gyor".parse().unwrap(),
        index: 0,
    }
}

#[rstest]
#[case::heard_at_once(0)]
#[case::heard_after_one_heartbeat(HEARTBEAT_MS)]
#[case::heard_late(1_000)]
fn planner_of_nodes_that_start_together(#[case] first_heartbeat_ms: u64) {
    let mut nodes: Vec<Peers> = (1..=3).map(new_node).collect();
    let mut planned_from_ms = None;
    for now_ms in (0..8_000).step_by(STEP_MS as usize) {
        if now_ms >= first_heartbeat_ms
            && (now_ms - first_heartbeat_ms).is_multiple_of(HEARTBEAT_MS)
        {
            let heartbeats: Vec<_> = nodes.iter_mut().map(Peers::heartbeat).collect();
            for (index, node) in nodes.iter_mut().enumerate() {
                let others = heartbeats.iter().enumerate().filter(|(at, _)| *at != index);
                others.for_each(|(_, heartbeat)| node.on_heartbeat(now_ms, heartbeat));
            }
        }
        for node in &mut nodes {
            node.tick(now_ms);
        }
        let planning = (1..=3).filter(|index| {
            let own: NodeName = format!("gyor-{index}").parse().unwrap();
            nodes[index - 1].planner_of(now_ms, &group()) == Some(&own)
        });
        let planning = planning.count();
        assert!(planning <= 1, "{planning} nodes plan at {now_ms} ms");
        if planning == 1 && planned_from_ms.is_none() {
            planned_from_ms = Some(now_ms);
        }
    }
    assert!(planned_from_ms.is_some_and(|from_ms| from_ms <= 4_500));
}
