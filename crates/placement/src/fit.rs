//! Search for open accelerators for a gang.

use model::prelude::*;

use crate::blocks::{bits, block_mask, largest_around, lowest_bits, windows};
use crate::topology::{RackKey, Topology, WorkerKey};

/// Accelerators that a gang needs, as units that each lie within one window on one worker.
///
/// A unit is a member, or all members of a gang that must be on the same worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Need {
    /// Number of units.
    pub(crate) units: u32,
    /// Number of accelerators of each unit.
    pub(crate) accelerators_per_unit: u32,
    /// Number of members that share one unit.
    members_per_unit: u32,
    /// Level of the window that a unit lies in.
    pub(crate) level: Level,
    /// Whether all units must be in one rack.
    pub(crate) one_rack: bool,
}

impl Need {
    /// Returns the need of `gang`, or `None` when its members do not fit on one worker as required.
    pub(crate) fn of_gang(gang: GangShape) -> Option<Self> {
        let on_one_worker = gang.adjacency() == Adjacency::Worker;
        let members_per_unit = if on_one_worker { gang.members() } else { 1 };
        let accelerators_per_unit = gang.accelerators_per_member() * members_per_unit;
        if accelerators_per_unit > ACCELERATORS_PER_WORKER {
            return None;
        }
        Some(Self {
            units: gang.members() / members_per_unit,
            accelerators_per_unit,
            members_per_unit,
            level: Level::covering(accelerators_per_unit)?,
            one_rack: gang.adjacency() != Adjacency::DataCentre,
        })
    }

    /// Returns the number of accelerators of all units.
    pub(crate) const fn accelerators(&self) -> u32 {
        self.units * self.accelerators_per_unit
    }

    /// Returns the level of the smallest block that holds the whole gang.
    pub(crate) fn block_level(&self) -> Option<Level> {
        Level::covering(self.units * self.level.accelerators())
    }

    /// Returns the level of a block that is open in every rack where a unit fits.
    pub(crate) fn least_level(&self) -> Level {
        if self.accelerators_per_unit == self.level.accelerators() {
            self.level
        } else {
            Level::Pair
        }
    }

    /// Returns the number of units that fit in `mask` of one rack.
    pub(crate) fn count_fitting(&self, mask: u64) -> u32 {
        windows(mask, self.level, self.accelerators_per_unit).count_ones()
    }

    /// Returns whether the gang would fit if all accelerators were free.
    pub(crate) fn fits_hardware(&self, topology: &Topology) -> bool {
        let mut total = 0;
        for rack in &topology.racks {
            let here = self.count_fitting(rack.hardware);
            total += here;
            if here >= self.units || (!self.one_rack && total >= self.units) {
                return true;
            }
        }
        false
    }

    /// Returns the allocation of each member for the given units.
    pub(crate) fn split_members(&self, placed_units: &[PlacedUnit]) -> Vec<Allocation> {
        let member = self.accelerators_per_unit / self.members_per_unit;
        let mut members = Vec::new();
        for unit in placed_units {
            let mut rest = unit.mask;
            for _ in 0..self.members_per_unit {
                let part = lowest_bits(rest, member);
                rest &= !part;
                members.push(Allocation::of_mask(unit.rack, part));
            }
        }
        members
    }
}

/// Accelerators for one unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PlacedUnit {
    pub(crate) rack: RackKey,
    pub(crate) mask: u64,
}

/// Accelerators of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Allocation {
    pub(crate) worker: WorkerKey,
    pub(crate) accelerators: AcceleratorMask,
}

impl Allocation {
    fn of_mask(rack: RackKey, mask: u64) -> Self {
        let worker = WorkerKey::of_bit(rack, mask.trailing_zeros() % u64::BITS);
        let shift = worker.position() * ACCELERATORS_PER_WORKER;
        Self {
            worker,
            accelerators: AcceleratorMask((mask >> shift) as u8),
        }
    }

    /// Returns the mask within the rack.
    pub(crate) const fn mask(&self) -> u64 {
        self.worker.mask(self.accelerators)
    }
}

/// Which open accelerators a job may take, and how they are chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SearchOptions<'a> {
    /// Workers on which the job has failed.
    pub(crate) excluded: &'a [WorkerKey],
    /// Whether accelerators reserved for blocked jobs may be taken.
    pub(crate) include_reserved: bool,
    /// Whether workers on probation may be used.
    pub(crate) include_probation: bool,
    /// Whether the smallest fitting blocks are taken, instead of the first.
    pub(crate) best_fit: bool,
}

impl SearchOptions<'_> {
    /// Returns the accelerators of `rack` that the job may take.
    pub(crate) fn open(&self, topology: &Topology, key: RackKey) -> u64 {
        let rack = topology.rack(key);
        let mut open = rack.usable & !excluded_bits(self.excluded, key);
        if self.include_probation {
            open |= rack.probation & !excluded_bits(self.excluded, key);
        }
        if !self.include_reserved {
            open &= !rack.reserved;
        }
        open & !rack.used & !rack.claimed & !rack.closed
    }
}

/// Returns the mask of the accelerators in `rack` that belong to the workers in `excluded`.
pub(crate) fn excluded_bits(excluded: &[WorkerKey], rack: RackKey) -> u64 {
    let workers = excluded.iter().filter(|worker| worker.rack() == rack);
    workers.fold(0, |bits, worker| {
        bits | worker.mask(AcceleratorMask(u8::MAX))
    })
}

/// Finds open accelerators for `need`, or returns `None` when it does not fit.
pub(crate) fn find_place(
    topology: &Topology,
    need: &Need,
    options: SearchOptions<'_>,
) -> Option<Vec<PlacedUnit>> {
    if need.units == 1 {
        return find_single_unit(topology, need, options).map(|unit| vec![unit]);
    }
    if let Some(placed_units) = find_in_rack(topology, need, options) {
        return Some(placed_units);
    }
    if need.one_rack {
        return None;
    }
    find_across_racks(topology, need, options)
}

/// Finds open accelerators for a single unit in the smallest block that holds it.
fn find_single_unit(
    topology: &Topology,
    need: &Need,
    options: SearchOptions<'_>,
) -> Option<PlacedUnit> {
    let take = |rack| {
        let open = options.open(topology, rack);
        pick_units(open, need, 1, options.best_fit).map(|mask| PlacedUnit { rack, mask })
    };
    let least = need.least_level();
    if !options.best_fit {
        return topology.racks_open_from(least).find_map(take);
    }
    let levels = &Level::ALL[least as usize..];
    levels
        .iter()
        .find_map(|&level| topology.racks_open_at(level).find_map(take))
}

/// Finds open accelerators for all units in the rack where they split the smallest blocks.
fn find_in_rack(
    topology: &Topology,
    need: &Need,
    options: SearchOptions<'_>,
) -> Option<Vec<PlacedUnit>> {
    let mut best: Option<((u32, u32), RackKey, u64)> = None;
    for rack in topology.racks_open_from(need.least_level()) {
        let open = options.open(topology, rack);
        let Some(mask) = pick_units(open, need, need.units, options.best_fit) else {
            continue;
        };
        let score = (largest_split_block(open, mask), (open & !mask).count_ones());
        if best.is_none_or(|(least, _, _)| score < least) {
            best = Some((score, rack, mask));
        }
        if !options.best_fit {
            break;
        }
    }
    best.map(|(_, rack, mask)| split_units(rack, mask, need))
}

/// Returns the number of accelerators of the largest open block that `taken` splits or fills.
fn largest_split_block(open: u64, taken: u64) -> u32 {
    bits(taken)
        .filter_map(|bit| largest_around(open, bit))
        .max()
        .map_or(0, Level::accelerators)
}

/// Finds open accelerators for all units, preferring racks that hold many of them.
fn find_across_racks(
    topology: &Topology,
    need: &Need,
    options: SearchOptions<'_>,
) -> Option<Vec<PlacedUnit>> {
    let mut racks: Vec<(u32, RackKey)> = topology
        .racks_open_from(need.least_level())
        .map(|rack| (need.count_fitting(options.open(topology, rack)), rack))
        .filter(|&(count, _)| count > 0)
        .collect();
    if racks.iter().map(|&(count, _)| count).sum::<u32>() < need.units {
        return None;
    }
    if options.best_fit {
        racks.sort_by_key(|&(count, rack)| (std::cmp::Reverse(count), rack));
    }
    let mut placed_units = Vec::new();
    let mut rest = need.units;
    for (index, &(count, rack)) in racks.iter().enumerate() {
        if rest == 0 {
            break;
        }
        let rack = if options.best_fit && count >= rest {
            let fitting = racks[index..].iter().rfind(|&&(count, _)| count >= rest);
            fitting.map_or(rack, |&(_, rack)| rack)
        } else {
            rack
        };
        let count = count.min(rest);
        let mask = pick_units(options.open(topology, rack), need, count, options.best_fit)?;
        placed_units.extend(split_units(rack, mask, need));
        rest -= count;
    }
    Some(placed_units)
}

/// Picks accelerators for `count` units from `open` of one rack, or returns `None` when they do not
/// fit.
pub(crate) fn pick_units(open: u64, need: &Need, count: u32, best_fit: bool) -> Option<u64> {
    let starts = windows(open, need.level, need.accelerators_per_unit);
    if starts.count_ones() < count {
        return None;
    }
    let mut ordered: Vec<u32> = bits(starts).collect();
    if best_fit {
        ordered.sort_by_key(|&start| {
            let window = block_mask(start, need.level);
            let level = largest_around(open, (open & window).trailing_zeros());
            ((open & window).count_ones(), level, start)
        });
    }
    let units = ordered.into_iter().take(count as usize);
    Some(units.fold(0, |mask, start| {
        let window = block_mask(start, need.level);
        mask | lowest_bits(open & window, need.accelerators_per_unit)
    }))
}

/// Splits the accelerators `mask` of one rack into units.
pub(crate) fn split_units(rack: RackKey, mask: u64, need: &Need) -> Vec<PlacedUnit> {
    let mut rest = mask;
    let mut placed_units = Vec::new();
    while rest != 0 {
        let window = crate::blocks::block_around(rest.trailing_zeros(), need.level);
        placed_units.push(PlacedUnit {
            rack,
            mask: rest & window,
        });
        rest &= !window;
    }
    placed_units
}
