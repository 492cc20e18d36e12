//! Lease identifiers, composed of the planner, its term, the start of a gang and the member.

use model::prelude::*;

// Widths of the parts of a lease identifier, lowest bits first.
const MEMBER_BITS: u32 = 8;
const NUMBER_BITS: u32 = 20;
const TERM_BITS: u32 = 16;
const SALT_BITS: u32 = 20;

/// Identifier of one start of a gang: the part that all leases of the start share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct StartId(pub u64);

impl StartId {
    /// Creates the identifier of start `number` of `term`; other terms of the same planner yield
    /// other values.
    pub fn new(term: PlannerTerm, number: u64) -> Self {
        let salt = low_bits(u64::from(term.salt), SALT_BITS);
        let term_number = low_bits(term.number, TERM_BITS);
        let number = low_bits(number, NUMBER_BITS);
        let planner = (salt << TERM_BITS) | term_number;
        Self((planner << NUMBER_BITS) | number)
    }

    /// Returns the start that a lease belongs to.
    pub fn of_lease(lease: LeaseId) -> Self {
        Self(lease.0 >> MEMBER_BITS)
    }

    /// Returns the lease of the member with index `member`.
    pub fn lease(self, member: u32) -> LeaseId {
        LeaseId((self.0 << MEMBER_BITS) | u64::from(member))
    }
}

const fn low_bits(value: u64, bits: u32) -> u64 {
    value & ((1 << bits) - 1)
}

/// Computes the hash of a planner's name and incarnation; orders planners that chose the same term
/// number.
pub(super) fn salt_of(node: &NodeName, incarnation: Incarnation) -> u32 {
    let digest = ContentDigest::of_bytes(format!("{node}.{}", incarnation.0).as_bytes());
    let [a, b, c, d, ..] = digest.0;
    u32::from_be_bytes([a, b, c, d])
}

/// Computes a deterministic pseudo-random value of `parts` (splitmix64), for jitter.
pub(super) fn jitter(parts: [u64; 3]) -> u64 {
    parts.into_iter().fold(0, |state: u64, part| {
        let mut value = state.wrapping_add(part).wrapping_add(0x9e37_79b9_7f4a_7c15);
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    })
}
