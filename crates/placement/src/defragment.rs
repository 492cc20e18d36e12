//! Defragmentation: moving checkpointable work to free adjacent accelerators for blocked gangs.

use crate::blocks::bits;
use crate::engine::Placement;
use crate::event::{Decision, StopReason};
use crate::fit::{Need, PlacedUnit, split_units};
use crate::job::Phase;
use crate::topology::RackKey;
use crate::victims::Pick;

impl Placement {
    /// Moves checkpointable work away for blocked gangs where the gain exceeds the cost by the
    /// configured ratio.
    pub(crate) fn defragment(&mut self, out: &mut Vec<Decision>) {
        if !self.config.defragmentation {
            return;
        }
        for index in 0..self.reservations.len() {
            let reservation = &self.reservations[index];
            let Some(job) = self.jobs.get(reservation.job) else {
                continue;
            };
            let waited_ms = self.now_ms.saturating_sub(job.waiting_since_ms);
            if reservation.is_closed || waited_ms < self.config.defragmentation_after_ms {
                continue;
            }
            let need = job.need;
            // The moved work fits elsewhere only if as many accelerators are open as the gang
            // needs.
            if need.accelerators() > self.topology.open_count {
                continue;
            }
            let delay_ms = reservation.start_ms.saturating_sub(self.now_ms);
            let gain_ms = delay_ms * u64::from(need.accelerators());
            let Some(picks) = self.plan_moves(index, &need) else {
                continue;
            };
            let cost_ms: u64 = picks.iter().map(|(_, pick)| pick.cost_ms).sum();
            if gain_ms * 1000 < cost_ms * self.config.defragmentation_gain_permille {
                continue;
            }
            self.move_reservation(index, &need, picks, out);
        }
    }

    /// Moves a reservation to `picks`, closes it and stops the work there.
    pub(crate) fn move_reservation(
        &mut self,
        index: usize,
        need: &Need,
        picks: Vec<(RackKey, Pick)>,
        out: &mut Vec<Decision>,
    ) {
        let old = std::mem::take(&mut self.reservations[index].placed_units);
        self.unreserve_units(&old);
        let placed_units = picks.iter();
        let placed_units: Vec<PlacedUnit> = placed_units
            .flat_map(|(rack, pick)| split_units(*rack, pick.mask, need))
            .collect();
        self.reserve_units(&placed_units);
        self.reservations[index].placed_units = placed_units;
        self.close(index);
        for (_, pick) in picks {
            for victim in pick.victims {
                self.stop(victim, StopReason::Moved, out);
            }
        }
    }

    /// Finds accelerators for a gang that are open or held only by work that can be moved, with the
    /// least cost per unit first; `None` if there are not enough.
    pub(crate) fn plan_moves(&self, index: usize, need: &Need) -> Option<Vec<(RackKey, Pick)>> {
        let own = &self.reservations[index].placed_units;
        let mut parts: Vec<(RackKey, Pick)> = Vec::new();
        let mut rest = need.units;
        let mut racks: Vec<(u64, RackKey, u64, u32)> = Vec::new();
        for rack in self.examined_racks() {
            let region = self.movable_region(rack, own);
            let units = need.count_fitting(region).min(need.units);
            if units == 0 || need.one_rack && units < need.units {
                continue;
            }
            if let Some(pick) = self.pick_with_victims(rack, region, need, units) {
                racks.push((pick.cost_ms / u64::from(units), rack, region, units));
            }
        }
        racks.sort_unstable();
        for (_, rack, region, units) in racks {
            let units = units.min(rest);
            let pick = self.pick_with_victims(rack, region, need, units)?;
            parts.push((rack, pick));
            rest -= units;
            if rest == 0 {
                break;
            }
        }
        (rest == 0).then_some(parts)
    }

    /// Returns the accelerators of a rack that are open or held by work that can be moved; `own` is
    /// the reservation itself, whose accelerators count as open.
    pub(crate) fn movable_region(&self, key: RackKey, own: &[PlacedUnit]) -> u64 {
        let rack = self.topology.rack(key);
        let own = own.iter().filter(|unit| unit.rack == key);
        let own = own.fold(0, |mask, unit| mask | unit.mask);
        let fixed = bits(rack.used & !rack.used_guaranteed).filter(|&bit| {
            let job = self.jobs.get(rack.holders[bit as usize]);
            job.is_none_or(|job| job.phase != Phase::Running || !job.spec.checkpointable)
        });
        let fixed = fixed.fold(0, |mask, bit| mask | 1 << bit);
        rack.usable & !rack.used_guaranteed & !rack.claimed & !(rack.reserved & !own) & !fixed
    }
}
