//! Decides, among work of one priority, whose turn it is while room is scarce.
//!
//! In: what each organisation holds in a service and when it was first given it; the groups that are ready, as [`Claim`]s;
//! the room of each service. Out: the order of the claims, each with the reason for its turn, and how far an
//! organisation is above its entitlement.

mod accounts;
mod record;
mod turns;

pub(crate) use accounts::{AccountKey, Shares};
pub use record::SharesRecord;
pub(crate) use turns::{Claim, Turn, YieldReason};

use crate::spec::Resources;

/// The room of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Room {
    /// Capacity of all listed workers.
    pub capacity: Resources,
    /// Free capacity of the workers that take new work.
    pub free: Resources,
    /// Part of the free capacity that work of lower priority leaves to urgent work that is expected.
    pub headroom: Resources,
}

/// Returns the amounts of the resources, in the order that the record names them.
fn amounts(resources: &Resources) -> [f64; 3] {
    [
        resources.cpu_millis as f64,
        resources.memory_mb as f64,
        resources.accelerators as f64,
    ]
}

/// Returns the share of the capacity that some amounts take of the resource of which they take most.
fn dominant_share(amounts: &[f64; 3], capacity: &Resources) -> f64 {
    amounts
        .iter()
        .zip(self::amounts(capacity))
        .filter(|(_, capacity)| *capacity > 0.0)
        .map(|(amount, capacity)| amount / capacity)
        .fold(0.0, f64::max)
}
