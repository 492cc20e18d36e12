//! Claims: start of a job within the guarantee of its organisation, after stopping the work in its
//! way.

use model::prelude::*;

use crate::blocks::{bits, block_mask, full_blocks, largest_around, maximal_levels};
use crate::engine::Placement;
use crate::event::{Decision, StopReason};
use crate::fit::{Need, excluded_bits, split_units};
use crate::job::{JobKey, Phase};
use crate::organisation::{BlockKey, OrganisationKey};
use crate::queue::GroupKey;
use crate::topology::{RackKey, WorkerKey};
use crate::victims::Pick;

/// Maximum number of held blocks that are compared by cost for one claim.
const BLOCKS_EXAMINED_MAX: usize = 32;

/// Cost factor of accelerators that are reserved for blocked jobs.
const RESERVED_FACTOR: u64 = 8;

/// Minimum size of a claim relative to guaranteed work of the same organisation that it may stop.
const DISPLACEMENT_FACTOR: u32 = 2;

/// Maximum number of jobs that one event tries to claim for.
const CLAIMS_MAX: usize = 16;

/// Accelerators for a part of a claim.
#[derive(Debug)]
struct ClaimPart {
    rack: RackKey,
    pick: Pick,
    /// Mask and level of the block that has to be bound; `None` for a part in bound blocks.
    block: Option<(u64, Level)>,
}

/// Accelerators for a claim, and the bound blocks that contain them.
#[derive(Debug)]
struct Binding {
    picks: Vec<(RackKey, Pick)>,
    blocks: Vec<BlockKey>,
}

impl Placement {
    /// Claims for the waiting jobs of organisations that are marked in `claim_ready`.
    pub(crate) fn claim_guarantees(&mut self, out: &mut Vec<Decision>) {
        let mut claims_left = CLAIMS_MAX;
        while let Some(organisation) = self.claim_ready.pop_first() {
            if !self.registry.organisation(organisation).may_claim() {
                continue;
            }
            let mut groups = self.queue.groups_of(organisation);
            groups.sort_by_key(|&group| self.queue.group(group).waiting_of(organisation).next());
            for group in groups {
                loop {
                    if claims_left == 0 {
                        self.claim_ready.insert(organisation);
                        return;
                    }
                    claims_left -= 1;
                    if !self.claim_first(organisation, group, out) {
                        break;
                    }
                }
            }
        }
    }

    fn claim_first(
        &mut self,
        organisation: OrganisationKey,
        group: GroupKey,
        out: &mut Vec<Decision>,
    ) -> bool {
        let first = self.queue.group(group).waiting_of(organisation).next();
        first.is_some_and(|(_, _, key)| self.claim(key, out))
    }

    /// Claims accelerators within the guarantee for a waiting job, stops the work on them, and
    /// starts the job if there is none; returns whether the claim succeeded.
    fn claim(&mut self, key: JobKey, out: &mut Vec<Decision>) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let (organisation, need) = (job.organisation, job.need);
        if !self.is_within_quota(organisation, need.accelerators()) {
            return false;
        }
        let excluded = job.failed_on.clone();
        let may_displace_own = job.preemptions == 0;
        let Some(Binding { picks, blocks }) =
            self.bind_claim(organisation, &need, &excluded, may_displace_own)
        else {
            return false;
        };
        self.leave_queue(key);
        let placed_units = picks.iter();
        let placed_units: Vec<_> = placed_units
            .flat_map(|(rack, pick)| split_units(*rack, pick.mask, &need))
            .collect();
        if let Some(job) = self.jobs.get_mut(key) {
            job.members = need.split_members(&placed_units);
            job.phase = Phase::Claiming;
        }
        self.use_blocks(key, blocks);
        self.charge(key, true);
        self.update_members(key, |rack, mask| rack.claimed |= mask);
        self.claiming.push(key);
        for (_, pick) in picks {
            for victim in pick.victims {
                self.stop(victim, StopReason::Reclaimed, out);
            }
        }
        self.start_claims(out);
        true
    }

    /// Starts the claiming jobs whose accelerators are all free.
    pub(crate) fn start_claims(&mut self, out: &mut Vec<Decision>) {
        let ready: Vec<JobKey> = self
            .claiming
            .iter()
            .copied()
            .filter(|&key| self.is_claim_free(key))
            .collect();
        for key in ready {
            self.claiming.retain(|&other| other != key);
            self.update_members(key, |rack, mask| rack.claimed &= !mask);
            self.start(key, out);
        }
    }

    fn is_claim_free(&self, key: JobKey) -> bool {
        let members = self.jobs.get(key).into_iter().flat_map(|job| &job.members);
        let mut racks = members.map(|held| (self.topology.rack(held.worker.rack()), held.mask()));
        racks.all(|(rack, mask)| rack.used & mask == 0)
    }

    /// Finds accelerators within the guarantee and binds the blocks that contain them.
    fn bind_claim(
        &mut self,
        organisation: OrganisationKey,
        need: &Need,
        excluded: &[WorkerKey],
        may_displace_own: bool,
    ) -> Option<Binding> {
        let in_use = self.find_part_in_use(organisation, need, excluded, may_displace_own);
        if in_use.as_ref().is_some_and(|part| part.pick.cost_ms == 0) {
            return self.bind_parts(organisation, in_use.into_iter().collect());
        }
        let single = self.find_part_in_new_block(organisation, need, excluded);
        let parts = in_use.into_iter().chain(single);
        if let Some(part) = parts.min_by_key(|part| part.pick.cost_ms) {
            return self.bind_parts(organisation, vec![part]);
        }
        if need.one_rack {
            return None;
        }
        self.bind_several_blocks(organisation, need, excluded, may_displace_own)
    }

    /// Binds the blocks of `parts`; returns the picks and all bound blocks that contain them.
    fn bind_parts(
        &mut self,
        organisation: OrganisationKey,
        parts: Vec<ClaimPart>,
    ) -> Option<Binding> {
        let mut picks = Vec::new();
        for part in parts {
            if let Some((mask, level)) = part.block {
                self.bind_block(organisation, part.rack, mask, level);
            }
            picks.push((part.rack, part.pick));
        }
        let blocks = self.find_used_blocks(organisation, &picks);
        Some(Binding { picks, blocks })
    }

    /// Finds the bound blocks of the organisation that contain accelerators of the picks.
    fn find_used_blocks(
        &self,
        organisation: OrganisationKey,
        picks: &[(RackKey, Pick)],
    ) -> Vec<BlockKey> {
        let blocks = self.registry.organisation(organisation).blocks.iter();
        blocks
            .copied()
            .filter(|&key| {
                let Some(block) = self.registry.blocks.get(key) else {
                    return false;
                };
                picks
                    .iter()
                    .any(|(rack, pick)| *rack == block.rack && pick.mask & block.mask != 0)
            })
            .collect()
    }

    /// Lists the accelerators in the bound blocks of the organisation that a claim of `need` may
    /// use, by rack.
    ///
    /// A claim may stop guaranteed work of the same organisation in its blocks if it needs at least
    /// twice as many accelerators, so that small jobs do not fragment the guaranteed shape. A job
    /// that was itself stopped for another may not, or the two could preempt each other forever.
    fn list_regions_in_use(
        &self,
        organisation: OrganisationKey,
        need: &Need,
        excluded: &[WorkerKey],
        may_displace_own: bool,
    ) -> Vec<(RackKey, u64)> {
        let mut regions: Vec<(RackKey, u64)> = Vec::new();
        let blocks = self.registry.organisation(organisation).blocks.iter();
        for block in blocks.filter_map(|&key| self.registry.blocks.get(key)) {
            let rack = self.topology.rack(block.rack);
            let guaranteed = bits(rack.used_guaranteed & block.mask).filter(|&bit| {
                let holder = self.jobs.get(rack.holders[bit as usize]);
                let held = holder.map_or(u32::MAX, |job| job.need.accelerators());
                !may_displace_own || held.saturating_mul(DISPLACEMENT_FACTOR) > need.accelerators()
            });
            let guaranteed = guaranteed.fold(0, |mask, bit| mask | 1 << bit);
            let taken = guaranteed | rack.claimed | excluded_bits(excluded, block.rack);
            let region = block.mask & rack.usable & !taken;
            match regions.iter_mut().find(|(key, _)| *key == block.rack) {
                Some((_, mask)) => *mask |= region,
                None => regions.push((block.rack, region)),
            }
        }
        regions
    }

    /// Finds the cheapest accelerators in the bound blocks of the organisation.
    fn find_part_in_use(
        &self,
        organisation: OrganisationKey,
        need: &Need,
        excluded: &[WorkerKey],
        may_displace_own: bool,
    ) -> Option<ClaimPart> {
        let regions = self.list_regions_in_use(organisation, need, excluded, may_displace_own);
        let parts = regions.into_iter().filter_map(|(rack, region)| {
            let pick = self.pick_with_victims(rack, region, need, need.units)?;
            Some(ClaimPart {
                rack,
                pick,
                block: None,
            })
        });
        parts.min_by_key(|part| part.pick.cost_ms)
    }

    /// Finds the cheapest accelerators in a block that is not bound yet, preferring the smallest
    /// level with a block at no cost.
    fn find_part_in_new_block(
        &self,
        organisation: OrganisationKey,
        need: &Need,
        excluded: &[WorkerKey],
    ) -> Option<ClaimPart> {
        let least = need.block_level()?;
        let mut best: Option<ClaimPart> = None;
        for &level in &Level::ALL[least as usize..] {
            if self.registry.organisation(organisation).claimable(level) == 0 {
                continue;
            }
            let Some(part) = self.find_block(level, need, need.units, excluded) else {
                continue;
            };
            if part.pick.cost_ms == 0 {
                return Some(part);
            }
            if best
                .as_ref()
                .is_none_or(|best| part.pick.cost_ms < best.pick.cost_ms)
            {
                best = Some(part);
            }
        }
        best
    }

    /// Finds the cheapest block of `level` that holds `units` units.
    fn find_block(
        &self,
        level: Level,
        need: &Need,
        units: u32,
        excluded: &[WorkerKey],
    ) -> Option<ClaimPart> {
        self.find_free_block(level, need, units, excluded)
            .or_else(|| self.find_held_block(level, need, units, excluded))
    }

    /// Finds a block of `level` with open accelerators for `units` units that splits the smallest
    /// larger block.
    fn find_free_block(
        &self,
        level: Level,
        need: &Need,
        units: u32,
        excluded: &[WorkerKey],
    ) -> Option<ClaimPart> {
        let mut best: Option<((bool, Level), RackKey, u32)> = None;
        'racks: for key in self.topology.racks_open_from(need.least_level()) {
            let rack = self.topology.rack(key);
            let bindable = rack.bindable();
            let taken = rack.used | rack.claimed | excluded_bits(excluded, key);
            let whole = maximal_levels(bindable);
            let least = Level::ALL[level as usize..]
                .iter()
                .find(|&&level| whole[level as usize]);
            let Some(&least) = least else {
                continue;
            };
            if best.is_some_and(|(found, _, _)| found <= (false, least)) {
                continue;
            }
            for start in bits(full_blocks(bindable, level)) {
                let open = block_mask(start, level) & !taken;
                if need.count_fitting(open) < units || !self.may_split(key, start, level) {
                    continue;
                }
                let split = largest_around(bindable, start).unwrap_or(level);
                let score = (rack.reserved & block_mask(start, level) != 0, split);
                if best.is_none_or(|(least, _, _)| score < least) {
                    best = Some((score, key, start));
                }
                if score == (false, level) {
                    break 'racks;
                }
            }
        }
        let (_, rack, start) = best?;
        self.find_part_at(rack, start, level, need, units, excluded)
    }

    /// Finds the block of `level` on which stopping work costs least, among the first
    /// [`BLOCKS_EXAMINED_MAX`].
    fn find_held_block(
        &self,
        level: Level,
        need: &Need,
        units: u32,
        excluded: &[WorkerKey],
    ) -> Option<ClaimPart> {
        let racks = self.topology.racks.len();
        let first = self.next_rack;
        let keys = (0..racks).map(|index| RackKey(((first + index) % racks) as u32));
        let starts = keys.flat_map(|key| {
            let blocks = full_blocks(self.topology.rack(key).bindable(), level);
            bits(blocks).map(move |start| (key, start))
        });
        starts
            .filter(|&(key, start)| self.may_split(key, start, level))
            .filter_map(|(key, start)| self.find_part_at(key, start, level, need, units, excluded))
            .take(BLOCKS_EXAMINED_MAX)
            .min_by_key(|part| part.pick.cost_ms)
    }

    fn find_part_at(
        &self,
        key: RackKey,
        start: u32,
        level: Level,
        need: &Need,
        units: u32,
        excluded: &[WorkerKey],
    ) -> Option<ClaimPart> {
        let mask = block_mask(start, level);
        let rack = self.topology.rack(key);
        let region = mask & rack.bindable() & !rack.claimed & !excluded_bits(excluded, key);
        let mut pick = self.pick_with_victims(key, region, need, units)?;
        if rack.reserved & pick.mask != 0 {
            pick.cost_ms *= RESERVED_FACTOR;
        }
        Some(ClaimPart {
            rack: key,
            pick,
            block: Some((mask, level)),
        })
    }

    /// Places a gang that may span racks in several blocks; binds nothing when they do not suffice.
    fn bind_several_blocks(
        &mut self,
        organisation: OrganisationKey,
        need: &Need,
        excluded: &[WorkerKey],
        may_displace_own: bool,
    ) -> Option<Binding> {
        if !self.has_capacity(organisation, need) {
            return None;
        }
        let mut rest = need.units;
        let mut picks = Vec::new();
        for (rack, region) in
            self.list_regions_in_use(organisation, need, excluded, may_displace_own)
        {
            let units = need.count_fitting(region).min(rest);
            if units == 0 {
                continue;
            }
            if let Some(pick) = self.pick_with_victims(rack, region, need, units) {
                rest -= units;
                picks.push((rack, pick));
            }
        }
        let mut bound = Vec::new();
        while rest > 0 {
            let Some((part, units)) = self.find_next_part(organisation, need, rest, excluded)
            else {
                self.undo_binding(bound);
                return None;
            };
            if let Some((mask, level)) = part.block {
                bound.push(self.bind_block(organisation, part.rack, mask, level));
            }
            rest -= units;
            picks.push((part.rack, part.pick));
        }
        let blocks = self.find_used_blocks(organisation, &picks);
        Some(Binding { picks, blocks })
    }

    /// Returns whether the bound blocks and those that can be bound have enough accelerators for a
    /// gang.
    fn has_capacity(&self, key: OrganisationKey, need: &Need) -> bool {
        let organisation = self.registry.organisation(key);
        let in_use = organisation.blocks.iter();
        let in_use = in_use.filter_map(|&block| self.registry.blocks.get(block));
        let in_use: u32 = in_use.map(|block| block.level.accelerators()).sum();
        let claimable: u32 = Level::ALL
            .into_iter()
            .map(|level| organisation.claimable(level) * level.accelerators())
            .sum();
        in_use + claimable >= need.accelerators()
    }

    fn undo_binding(&mut self, bound: Vec<BlockKey>) {
        let was_ready = self.claim_ready.clone();
        self.drop_blocks(bound);
        self.claim_ready = was_ready;
    }

    /// Finds the next block of a gang in several blocks: the smallest that holds the remaining
    /// units, or else the largest; returns it with the number of its units.
    fn find_next_part(
        &self,
        organisation: OrganisationKey,
        need: &Need,
        rest: u32,
        excluded: &[WorkerKey],
    ) -> Option<(ClaimPart, u32)> {
        let organisation = self.registry.organisation(organisation);
        let capacity = |level: Level| level.accelerators() / need.level.accelerators();
        let levels = Level::ALL.into_iter();
        let claimable: Vec<Level> = levels
            .filter(|&level| level >= need.level && organisation.claimable(level) > 0)
            .collect();
        let holds_rest = claimable
            .iter()
            .position(|&level| capacity(level) >= rest)
            .unwrap_or(claimable.len());
        let larger = claimable[holds_rest..].iter();
        let smaller = claimable[..holds_rest].iter().rev();
        larger.chain(smaller).find_map(|&level| {
            let units = capacity(level).min(rest);
            let part = self.find_block(level, need, units, excluded)?;
            Some((part, units))
        })
    }
}
