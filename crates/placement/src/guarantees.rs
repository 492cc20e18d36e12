//! Check whether a set of workers covers the declared guarantees.

use std::collections::BTreeMap;

use model::prelude::*;

use crate::blocks::{LevelCounts, count_blocks};
use crate::event::WorkerSpec;

/// Guaranteed blocks that the hardware does not cover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuaranteeFinding {
    /// Organisation whose guarantee is not covered.
    pub organisation: OrganisationName,
    /// Level of the missing blocks.
    pub level: Level,
    /// Number of missing blocks.
    pub missing: u32,
}

/// Returns the guarantees of `organisations` in `data_centre` that the workers of `topology` do not
/// cover.
///
/// Larger blocks are covered before smaller ones, and organisations in the given order. An empty
/// result means that all guarantees can be met at the same time.
pub fn check_guarantees(
    topology: &[WorkerSpec],
    data_centre: &DataCentreName,
    organisations: &[OrganisationSpec],
) -> Vec<GuaranteeFinding> {
    let mut racks: BTreeMap<(&RackName, u32), u64> = BTreeMap::new();
    for worker in topology {
        let key = (&worker.rack, worker.position / WORKERS_PER_RACK);
        *racks.entry(key).or_default() |= worker_bits(worker.position, worker.accelerators);
    }
    let mut available = LevelCounts::default();
    for &mask in racks.values() {
        add_counts(&mut available, &count_blocks(mask));
    }
    let demands = organisations.iter().flat_map(|organisation| {
        let guarantees = organisation.guarantees.iter();
        guarantees
            .filter(|guarantee| guarantee.data_centre == *data_centre)
            .map(move |guarantee| (&organisation.name, guarantee.level, guarantee.count))
    });
    cover_demands(&available, demands)
        .into_iter()
        .map(|(organisation, level, missing)| GuaranteeFinding {
            organisation: organisation.clone(),
            level,
            missing,
        })
        .collect()
}

/// Returns the mask of the accelerators of a worker within its rack.
pub(crate) fn worker_bits(position: u32, accelerators: u32) -> u64 {
    let count = accelerators.min(ACCELERATORS_PER_WORKER);
    ((1 << count) - 1) << (position % WORKERS_PER_RACK * ACCELERATORS_PER_WORKER)
}

pub(crate) fn add_counts(counts: &mut LevelCounts, other: &LevelCounts) {
    for (count, more) in counts.iter_mut().zip(other) {
        *count += more;
    }
}

/// Returns the demands, largest level first, that `available` blocks do not cover.
///
/// A block consists of two blocks of the level below it, so covering the largest first is never
/// worse than another order.
pub(crate) fn cover_demands<O: Copy>(
    available: &LevelCounts,
    demands: impl Iterator<Item = (O, Level, u32)>,
) -> Vec<(O, Level, u32)> {
    let mut demands: Vec<_> = demands.collect();
    demands.sort_by_key(|&(_, level, _)| std::cmp::Reverse(level));
    let mut missing = Vec::new();
    let mut covered = 0;
    let mut current = Level::Rack;
    for (owner, level, count) in demands {
        covered <<= current as u32 - level as u32;
        current = level;
        let rest = (available[level as usize] - covered).max(0);
        let taken = rest.min(i64::from(count));
        covered += taken;
        let short = count - u32::try_from(taken).unwrap_or(count);
        if short > 0 {
            missing.push((owner, level, short));
        }
    }
    missing
}
