//! Rendezvous hashing, by which every node selects the same planner for a rack group without
//! communication.

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// Group of racks that are planned by one planner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RackGroup {
    /// Data centre of the racks.
    pub data_centre: DataCentreName,
    /// Index of the group in the data centre, from 0.
    pub index: u32,
}

impl std::fmt::Display for RackGroup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.data_centre, self.index)
    }
}

// Parameters of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

fn hash_bytes(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |state, &byte| {
        (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Mixes the bits of `value` with the finaliser of splitmix64.
fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the weight of `node` for `group`; the same on every node.
pub fn weight(group: &RackGroup, node: &NodeName) -> u64 {
    let state = hash_bytes(FNV_OFFSET, group.data_centre.as_str().as_bytes());
    let state = hash_bytes(state, &group.index.to_le_bytes());
    let state = hash_bytes(state, &[0]);
    mix(hash_bytes(state, node.as_str().as_bytes()))
}

/// Returns the node of `nodes` with the highest weight for `group`.
pub fn select_node<'a>(
    group: &RackGroup,
    nodes: impl Iterator<Item = &'a NodeName>,
) -> Option<&'a NodeName> {
    nodes.max_by_key(|node| (weight(group, node), *node))
}
