//! Allocation and release of accelerators, and binding of guaranteed blocks.

use model::prelude::*;

use crate::blocks::block_around;
use crate::engine::Placement;
use crate::job::{JobKey, Phase};
use crate::organisation::{Block, BlockKey, OrganisationKey, add_demand};
use crate::topology::{Rack, RackKey, WorkerKey};

impl Placement {
    /// Binds a block to a guarantee of `organisation`; it stays bound while jobs use it.
    pub(crate) fn bind_block(
        &mut self,
        organisation: OrganisationKey,
        rack: RackKey,
        mask: u64,
        level: Level,
    ) -> BlockKey {
        self.topology.update(rack, |rack| rack.bound |= mask);
        self.change_bound(organisation, level, 1);
        let block = self.registry.blocks.insert(Block {
            organisation,
            rack,
            mask,
            level,
            jobs: 0,
        });
        let organisation = self.registry.organisation_mut(organisation);
        organisation.blocks.push(block);
        block
    }

    /// Unbinds a block, so that the guarantee can be bound elsewhere.
    fn unbind_block(&mut self, key: BlockKey) {
        let Some(block) = self.registry.blocks.remove(key) else {
            return;
        };
        self.topology
            .update(block.rack, |rack| rack.bound &= !block.mask);
        let organisation = self.registry.organisation_mut(block.organisation);
        organisation.blocks.retain(|&other| other != key);
        self.change_bound(block.organisation, block.level, -1);
        self.claim_ready.insert(block.organisation);
        if self.has_shortfall {
            self.recount_shortfall();
        }
    }

    fn change_bound(&mut self, key: OrganisationKey, level: Level, change: i32) {
        let organisation = self.registry.organisation_mut(key);
        let before = organisation.claimable(level);
        let bound = &mut organisation.bound[level as usize];
        *bound = bound.saturating_add_signed(change);
        let after = organisation.claimable(level);
        let blocks = i64::from(after) - i64::from(before);
        add_demand(&mut self.registry.demand, level, blocks);
    }

    /// Records that a job uses `blocks`.
    pub(crate) fn use_blocks(&mut self, key: JobKey, blocks: Vec<BlockKey>) {
        for &block in &blocks {
            if let Some(block) = self.registry.blocks.get_mut(block) {
                block.jobs += 1;
            }
        }
        if let Some(job) = self.jobs.get_mut(key) {
            job.blocks = blocks;
        }
    }

    /// Records that a job no longer uses `blocks`, and unbinds those that no job uses.
    pub(crate) fn drop_blocks(&mut self, blocks: Vec<BlockKey>) {
        for key in blocks {
            let Some(block) = self.registry.blocks.get_mut(key) else {
                continue;
            };
            block.jobs = block.jobs.saturating_sub(1);
            if block.jobs == 0 {
                self.unbind_block(key);
            }
        }
    }

    /// Calls `change` with the rack and the mask of each member of a job.
    pub(crate) fn update_members(&mut self, key: JobKey, mut change: impl FnMut(&mut Rack, u64)) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        for held in &job.members {
            let mask = held.mask();
            let rack = held.worker.rack();
            self.topology.update(rack, |rack| change(rack, mask));
        }
    }

    /// Marks the accelerators of a job's members as held by it.
    pub(crate) fn hold_members(&mut self, key: JobKey) {
        let is_guaranteed = self.jobs.get(key).is_some_and(|job| job.is_guaranteed());
        self.update_members(key, |rack, mask| {
            rack.used |= mask;
            if is_guaranteed {
                rack.used_guaranteed |= mask;
            }
            for bit in crate::blocks::bits(mask) {
                rack.holders[bit as usize] = key;
            }
        });
    }

    /// Releases everything that a job holds or has claimed.
    pub(crate) fn release_members(&mut self, key: JobKey) {
        self.charge(key, false);
        let is_claiming = self
            .jobs
            .get(key)
            .is_some_and(|job| job.phase == Phase::Claiming);
        self.update_members(key, |rack, mask| {
            if is_claiming {
                rack.claimed &= !mask;
                return;
            }
            rack.used &= !mask;
            rack.used_guaranteed &= !mask;
        });
        self.claiming.retain(|&other| other != key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let members = std::mem::take(&mut job.members);
        let blocks = std::mem::take(&mut job.blocks);
        if !blocks.is_empty() {
            self.claim_ready.insert(job.organisation);
        }
        self.drop_blocks(blocks);
        let mut racks: Vec<RackKey> = members.iter().map(|held| held.worker.rack()).collect();
        racks.dedup();
        for rack in racks {
            self.unblock_rack(rack);
        }
    }

    /// Unblocks the waiting jobs that could fit on the open accelerators of `rack`.
    pub(crate) fn unblock_rack(&mut self, rack: RackKey) {
        let options = crate::fit::SearchOptions {
            excluded: &[],
            include_reserved: true,
            include_probation: true,
            best_fit: true,
        };
        let open = options.open(&self.topology, rack);
        self.queue.unblock(open);
    }

    /// Adds the accelerators of a job to the usage of its organisation, or subtracts them.
    pub(crate) fn charge(&mut self, key: JobKey, add: bool) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let accelerators: u32 = job.members.iter().map(|m| m.accelerators.count()).sum();
        let workers: u64 = job.members.iter().map(|m| self.worker_permille(m)).sum();
        let is_guaranteed = job.is_guaranteed();
        let organisation = self.registry.organisation_mut(job.organisation);
        let change = |total: &mut u32| {
            *total = if add {
                *total + accelerators
            } else {
                total.saturating_sub(accelerators)
            };
        };
        change(&mut organisation.held);
        if is_guaranteed {
            change(&mut organisation.held_guaranteed);
            return;
        }
        let beyond = &mut organisation.worker_permille_beyond;
        *beyond = if add {
            *beyond + workers
        } else {
            beyond.saturating_sub(workers)
        };
    }

    /// Returns the share of the accelerators of its worker that a member holds, in thousandths.
    fn worker_permille(&self, held: &crate::fit::Allocation) -> u64 {
        let worker = self.topology.worker(held.worker);
        let accelerators = worker.map_or(0, |worker| worker.spec.accelerators).max(1);
        u64::from(held.accelerators.count() * 1000 / accelerators)
    }

    /// Returns whether a guarantee of `level` may be bound to the block at `start`: no larger block
    /// that it would split may be needed whole by other guarantees.
    pub(crate) fn may_split(&self, rack: RackKey, start: u32, level: Level) -> bool {
        let bindable = self.topology.rack(rack).bindable();
        let larger = &Level::ALL[level as usize + 1..];
        larger.iter().all(|&level| {
            let block = block_around(start, level);
            let index = level as usize;
            bindable & block != block || self.topology.bindable[index] > self.registry.demand[index]
        })
    }

    /// Unbinds the blocks with accelerators of a worker that takes no more work.
    ///
    /// Jobs on them continue as preemptible work, and the guarantees can be bound elsewhere.
    pub(crate) fn unbind_blocks_on(&mut self, worker: WorkerKey) {
        let bits = worker.mask(AcceleratorMask(u8::MAX));
        let blocks = self.registry.blocks.iter();
        let broken: Vec<(BlockKey, u64)> = blocks
            .filter(|(_, block)| block.rack == worker.rack() && block.mask & bits != 0)
            .map(|(key, block)| (key, block.mask))
            .collect();
        let mut users: Vec<JobKey> = Vec::new();
        for &(block, mask) in &broken {
            let holders = self.topology.holders(worker.rack(), mask);
            let candidates = holders.into_iter().chain(self.claiming.iter().copied());
            users.extend(candidates.filter(|&key| self.jobs[key].blocks.contains(&block)));
        }
        users.sort_unstable();
        users.dedup();
        for key in users {
            self.demote(key);
        }
    }

    /// Turns a job within its guarantee into preemptible work; one that is still claiming is queued
    /// again.
    fn demote(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.phase == Phase::Claiming {
            self.release_members(key);
            self.requeue(key);
            return;
        }
        self.charge(key, false);
        self.update_members(key, |rack, mask| rack.used_guaranteed &= !mask);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let blocks = std::mem::take(&mut job.blocks);
        self.drop_blocks(blocks);
        self.charge(key, true);
        self.promotable.push(key);
    }

    /// Binds blocks around a running job if a guarantee of its organisation covers it; returns
    /// whether it does.
    pub(crate) fn promote(&mut self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        if !job.is_holding() || job.is_guaranteed() {
            return false;
        }
        let organisation = job.organisation;
        let mut masks: Vec<(RackKey, u64)> = Vec::new();
        for held in &job.members {
            let rack = held.worker.rack();
            match masks.iter_mut().find(|(other, _)| *other == rack) {
                Some((_, mask)) => *mask |= held.mask(),
                None => masks.push((rack, held.mask())),
            }
        }
        let mut bound = Vec::new();
        for (rack, mask) in masks {
            match self.bind_around(organisation, rack, mask) {
                Some(block) => bound.push(block),
                None => {
                    bound.into_iter().for_each(|block| self.unbind_block(block));
                    return false;
                }
            }
        }
        self.charge(key, false);
        self.use_blocks(key, bound);
        self.update_members(key, |rack, mask| rack.used_guaranteed |= mask);
        self.charge(key, true);
        true
    }

    /// Binds the smallest claimable block around `mask`.
    fn bind_around(
        &mut self,
        organisation: OrganisationKey,
        rack: RackKey,
        mask: u64,
    ) -> Option<BlockKey> {
        let start = mask.trailing_zeros() % u64::BITS;
        let bindable = self.topology.rack(rack).bindable();
        let level = Level::ALL.into_iter().find(|&level| {
            let block = block_around(start, level);
            mask & !block == 0
                && block & !bindable == 0
                && self.registry.organisation(organisation).claimable(level) > 0
                && self.may_split(rack, start, level)
        })?;
        let block = block_around(start, level);
        Some(self.bind_block(organisation, rack, block, level))
    }
}
