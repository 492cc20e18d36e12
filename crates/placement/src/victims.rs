//! Victim selection: choosing the work to stop so that the least work is discarded.

use crate::blocks::{bits, block_mask, windows};
use crate::engine::Placement;
use crate::event::{Decision, StopReason};
use crate::fit::{Need, pick_units};
use crate::job::{JobKey, Phase};
use crate::topology::RackKey;

/// Cost factor of work that must not run again.
const ONCE_ONLY_FACTOR: u64 = 1_000;

/// Cost factor of work within the guarantee of its organisation.
const GUARANTEED_FACTOR: u64 = 4;

/// Accelerators in one rack, and the jobs that have to stop for them.
#[derive(Debug)]
pub(crate) struct Pick {
    pub(crate) mask: u64,
    pub(crate) victims: Vec<JobKey>,
    /// Cost of stopping the victims, in weighted milliseconds of accelerator time.
    pub(crate) cost_ms: u64,
}

impl Placement {
    /// Returns the cost of stopping a job: discarded work and the restart, in milliseconds of
    /// accelerator time.
    ///
    /// The cost grows with each earlier preemption of the job.
    pub(crate) fn stop_cost_ms(&self, key: JobKey) -> u64 {
        let Some(job) = self.jobs.get(key) else {
            return 0;
        };
        if matches!(job.phase, Phase::Stopping { .. }) {
            return 1;
        }
        let unsaved_ms = self.now_ms.saturating_sub(job.checkpoint_ms);
        let lost_ms = if job.spec.checkpointable {
            unsaved_ms.min(self.registry.class(job.class).grace_ms)
        } else if job.phase == Phase::Running {
            unsaved_ms
        } else {
            0
        };
        let repeated = 1 + u64::from(job.preemptions);
        let once_only = if job.can_rerun() { 1 } else { ONCE_ONLY_FACTOR };
        let guaranteed = if job.is_guaranteed() {
            GUARANTEED_FACTOR
        } else {
            1
        };
        let lost_ms = (lost_ms + self.config.restart_ms) * repeated * once_only * guaranteed;
        lost_ms * u64::from(job.need.accelerators())
    }

    /// Picks accelerators for `units` units in `region` of a rack, with the victims that cost
    /// least; `None` when they do not fit.
    pub(crate) fn pick_with_victims(
        &self,
        rack: RackKey,
        region: u64,
        need: &Need,
        units: u32,
    ) -> Option<Pick> {
        let open = region & !self.topology.rack(rack).used;
        if let Some(mask) = pick_units(open, need, units, self.config.best_fit) {
            return Some(Pick {
                mask,
                victims: Vec::new(),
                cost_ms: 0,
            });
        }
        let starts = windows(region, need.level, need.accelerators_per_unit);
        if starts.count_ones() < units {
            return None;
        }
        let mut costs: Vec<(u64, u32, u64)> = bits(starts)
            .map(|start| self.window_cost(rack, region & block_mask(start, need.level), need))
            .collect();
        costs.sort_unstable();
        let chosen = costs.into_iter().take(units as usize);
        let mask = chosen.fold(0, |mask, (_, _, unit_mask)| mask | unit_mask);
        Some(self.drop_unneeded_victims(rack, region, mask, need, units))
    }

    /// Returns the cost, tie-breaker and accelerators of the cheapest unit in one window.
    fn window_cost(&self, rack: RackKey, window: u64, need: &Need) -> (u64, u32, u64) {
        let holders = &self.topology.rack(rack).holders;
        let used = self.topology.rack(rack).used;
        let open = window & !used;
        let mut unit_mask = crate::blocks::lowest_bits(open, need.accelerators_per_unit);
        let mut rest = need.accelerators_per_unit - unit_mask.count_ones();
        let mut victims: Vec<(u64, JobKey)> = self
            .topology
            .holders(rack, window)
            .into_iter()
            .map(|key| (self.stop_cost_ms(key), key))
            .collect();
        victims.sort_unstable();
        let mut cost_ms = 0;
        for (stop_ms, victim) in victims {
            if rest == 0 {
                break;
            }
            let held = bits(window & used).filter(|&bit| holders[bit as usize] == victim);
            let taken: u64 = held
                .take(rest as usize)
                .fold(0, |mask, bit| mask | 1 << bit);
            rest -= taken.count_ones();
            unit_mask |= taken;
            cost_ms += stop_ms;
        }
        (cost_ms, unit_mask.trailing_zeros(), unit_mask)
    }

    /// Removes each victim that is not needed for `units` units, the costliest first.
    fn drop_unneeded_victims(
        &self,
        rack: RackKey,
        region: u64,
        mask: u64,
        need: &Need,
        units: u32,
    ) -> Pick {
        let used = self.topology.rack(rack).used;
        let mut victims = self.topology.holders(rack, mask);
        victims.sort_by_key(|&key| std::cmp::Reverse(self.stop_cost_ms(key)));
        let mut allowed = region & (!used | self.held_mask(rack, &victims));
        for &victim in &victims {
            let without = allowed & !self.held_mask(rack, &[victim]);
            if need.count_fitting(without) >= units {
                allowed = without;
            }
        }
        let best_fit = self.config.best_fit;
        let mask = pick_units(allowed, need, units, best_fit).unwrap_or(mask);
        let victims = self.topology.holders(rack, mask);
        let cost_ms = victims.iter().map(|&key| self.stop_cost_ms(key)).sum();
        Pick {
            mask,
            victims,
            cost_ms,
        }
    }

    /// Returns the mask of the accelerators in `rack` that `jobs` hold.
    fn held_mask(&self, rack: RackKey, jobs: &[JobKey]) -> u64 {
        let members = jobs.iter().filter_map(|&key| self.jobs.get(key));
        let members = members.flat_map(|job| &job.members);
        members
            .filter(|held| held.worker.rack() == rack)
            .fold(0, |mask, held| mask | held.mask())
    }

    /// Stops a starting or running job after the grace of its class.
    ///
    /// A job that is cancelled or has lost a member gets no grace, because a checkpoint is not
    /// needed or not possible.
    pub(crate) fn stop(&mut self, key: JobKey, why: StopReason, out: &mut Vec<Decision>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if !matches!(job.phase, Phase::Starting | Phase::Running) {
            return;
        }
        let is_immediate = matches!(why, StopReason::Cancelled | StopReason::MemberLost);
        let grace_ms = if is_immediate {
            0
        } else {
            self.registry.class(job.class).grace_ms
        };
        let overdue_ms = self.now_ms + grace_ms + self.config.stop_overdue_ms;
        job.phase = Phase::Stopping { why, overdue_ms };
        self.stopping.insert((overdue_ms, key));
        out.push(Decision::Stop {
            job: job.id.clone(),
            grace_ms,
            why,
        });
    }
}
