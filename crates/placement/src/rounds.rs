//! Work that is due at a time: ends of backoffs, repeated stops, and the periodic round that
//! refreshes reservations, moves work and reports shortfalls.

use model::prelude::*;

use crate::blocks::{bits, block_mask, windows};
use crate::engine::Placement;
use crate::event::{Decision, StopReason};
use crate::fit::{Need, PlacedUnit, excluded_bits};
use crate::job::{JobKey, Phase};
use crate::topology::RackKey;

/// Maximum number of racks that are examined for one reservation or move.
const RACKS_EXAMINED_MAX: usize = 32;

/// Divisor that makes a move of a reservation worthwhile: the delay at the new place must be less
/// than the present delay divided by it.
const REPLAN_GAIN_DIVISOR: u64 = 2;

/// Accelerators reserved for a blocked job.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobKey,
    /// Time at which all accelerators are expected to be free.
    pub(crate) start_ms: u64,
    pub(crate) placed_units: Vec<PlacedUnit>,
    /// Time at which the reservation was made.
    pub(crate) made_ms: u64,
    /// Whether work is being stopped on the accelerators, and no other job may start on them.
    pub(crate) is_closed: bool,
}

/// Accelerators with the time at which they are expected to be free, in milliseconds.
type TimedUnit = (u64, PlacedUnit);

impl Placement {
    /// Carries out the work that is due at `now_ms`, in milliseconds, and appends the resulting
    /// decisions to `out`.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Decision>) {
        self.now_ms = self.now_ms.max(now_ms);
        self.end_delays();
        self.repeat_stops(out);
        self.end_worker_timers(out);
        if self.now_ms >= self.next_round_ms {
            self.next_round_ms = self.now_ms + self.config.round_ms;
            self.run_round(out);
        }
        self.start_ready_jobs(out);
    }

    /// Returns the time in milliseconds at which [`Placement::tick`] has to be called if no event
    /// comes before.
    pub fn next_wake_ms(&self) -> Option<u64> {
        let has_round = self.queue.len() > 0
            || !self.promotable.is_empty()
            || !self.ended.is_empty()
            || self.hardware_changed
            || self.has_unreported_shortfall();
        let due = [
            self.delayed.first().map(|&(due_ms, _)| due_ms),
            self.stopping.first().map(|&(due_ms, _)| due_ms),
            self.worker_timers.first().map(|&(due_ms, _)| due_ms),
            has_round.then_some(self.next_round_ms),
            (self.has_untried || !self.claim_ready.is_empty()).then_some(self.now_ms),
        ];
        due.into_iter().flatten().min()
    }

    fn end_delays(&mut self) {
        while let Some(&(due_ms, key)) = self.delayed.first() {
            if due_ms > self.now_ms {
                return;
            }
            self.delayed.pop_first();
            self.enter_queue(key);
        }
    }

    /// Repeats overdue stops without grace.
    fn repeat_stops(&mut self, out: &mut Vec<Decision>) {
        while let Some(&(due_ms, key)) = self.stopping.first() {
            if due_ms > self.now_ms {
                return;
            }
            self.stopping.pop_first();
            let again_ms = self.now_ms + self.config.stop_overdue_ms;
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if let Phase::Stopping { overdue_ms, .. } = &mut job.phase {
                *overdue_ms = again_ms;
                self.stopping.insert((again_ms, key));
                out.push(Decision::Stop {
                    job: job.id.clone(),
                    grace_ms: 0,
                    why: StopReason::GraceOver,
                });
            }
        }
    }

    fn run_round(&mut self, out: &mut Vec<Decision>) {
        self.forget_ended();
        self.report_shortfalls(out);
        if self.hardware_changed && self.is_hardware_settled() {
            self.hardware_changed = false;
            self.refuse_impossible(out);
        }
        let promotable = std::mem::take(&mut self.promotable);
        for key in promotable {
            let is_holding = self.jobs.get(key).is_some_and(|job| job.is_holding());
            if is_holding && !self.promote(key) && !self.is_hardware_settled() {
                self.promotable.push(key);
            }
        }
        let racks = self.topology.racks.len().max(1);
        self.next_rack = (self.next_rack + RACKS_EXAMINED_MAX) % racks;
        self.refresh_reservations();
        self.stop_backfilled(out);
        self.defragment(out);
    }

    fn forget_ended(&mut self) {
        while let Some(&key) = self.ended.front() {
            let Some(job) = self.jobs.get(key) else {
                self.ended.pop_front();
                continue;
            };
            if let Phase::Ended { at_ms, .. } = job.phase
                && at_ms + self.config.ended_keep_ms > self.now_ms
            {
                return;
            }
            self.ended.pop_front();
            if let Some(job) = self.jobs.remove(key) {
                self.job_keys.remove(&job.id);
            }
        }
    }

    /// Refuses the waiting jobs that would not fit even if all accelerators were free.
    fn refuse_impossible(&mut self, out: &mut Vec<Decision>) {
        let groups = self.queue.active.iter().copied();
        let impossible: Vec<_> = groups
            .filter_map(|key| {
                let detail = self.check_hardware(&self.queue.group(key).need).err()?;
                Some((key, detail))
            })
            .collect();
        for (group, detail) in impossible {
            let heads = self.queue.group(group).heads();
            let organisations: Vec<_> = heads.map(|(organisation, _)| organisation).collect();
            for organisation in organisations {
                let waiting = self.queue.group(group).waiting_of(organisation);
                let jobs: Vec<JobKey> = waiting.map(|(_, _, key)| key).collect();
                for key in jobs {
                    let reason = RefusalReason::ImpossibleShape;
                    self.refuse_waiting(key, reason, detail.clone(), out);
                }
            }
        }
    }

    /// Reserves accelerators for the first blocked jobs.
    fn refresh_reservations(&mut self) {
        if !self.config.reservations {
            return;
        }
        for index in 0..self.reservations.len() {
            self.reopen(index);
            self.replan(index);
        }
        let blocked = self.list_blocked_jobs();
        for key in blocked {
            if self.reservations.len() >= self.config.reservations_max {
                return;
            }
            if let Some((start_ms, placed_units)) = self.plan_reservation(key) {
                self.reserve_units(&placed_units);
                self.reservations.push(Reservation {
                    job: key,
                    start_ms,
                    placed_units,
                    made_ms: self.now_ms,
                    is_closed: false,
                });
            }
        }
    }

    /// Lists the blocked jobs without a reservation, most urgent and longest waiting first.
    fn list_blocked_jobs(&self) -> Vec<JobKey> {
        let groups = self.queue.active.iter().map(|&key| self.queue.group(key));
        let blocked = groups.filter(|group| group.blocked);
        let mut heads: Vec<_> = blocked
            .flat_map(|group| {
                group
                    .heads()
                    .map(move |head| (group.need.accelerators(), head))
            })
            .filter(|&(accelerators, (organisation, (_, _, key)))| {
                let is_reserved = self.reservations.iter().any(|other| other.job == key);
                !is_reserved && self.is_within_quota(organisation, accelerators)
            })
            .map(|(_, (_, (urgency, _, key)))| (urgency, self.jobs[key].submitted_ms, key))
            .collect();
        heads.sort_unstable();
        heads.truncate(self.config.reservations_max);
        heads.into_iter().map(|(_, _, key)| key).collect()
    }

    /// Updates the expected start of a reservation, and moves it where it can start much earlier.
    fn replan(&mut self, index: usize) {
        let reservation = &self.reservations[index];
        let key = reservation.job;
        let ends = reservation.placed_units.iter();
        let start_ms = ends
            .map(|unit| self.expected_free_ms(unit.rack, unit.mask))
            .max();
        let start_ms = start_ms.unwrap_or(self.now_ms);
        let delay_ms = start_ms.saturating_sub(self.now_ms);
        self.reservations[index].start_ms = start_ms;
        if self.reservations[index].is_closed {
            return;
        }
        let Some((better_ms, placed_units)) = self.plan_reservation(key) else {
            return;
        };
        if better_ms.saturating_sub(self.now_ms) < delay_ms / REPLAN_GAIN_DIVISOR {
            let old = std::mem::take(&mut self.reservations[index].placed_units);
            self.unreserve_units(&old);
            self.reserve_units(&placed_units);
            self.reservations[index].placed_units = placed_units;
            self.reservations[index].start_ms = better_ms;
            self.reservations[index].made_ms = self.now_ms;
        }
    }

    /// Returns the time at which all accelerators in `mask` of a rack are expected to be free.
    fn expected_free_ms(&self, key: RackKey, mask: u64) -> u64 {
        let rack = self.topology.rack(key);
        let ends = bits(mask & rack.used)
            .map(|bit| self.expected_holder_end_ms(rack.holders[bit as usize]));
        ends.max().unwrap_or(self.now_ms)
    }

    fn expected_holder_end_ms(&self, key: JobKey) -> u64 {
        let job = self.jobs.get(key);
        job.map_or(self.now_ms, |job| match job.phase {
            Phase::Stopping { overdue_ms, .. } => overdue_ms,
            _ => job.expected_end_ms(self.now_ms),
        })
    }

    /// Returns the racks that one search examines; successive rounds begin at different racks.
    pub(crate) fn examined_racks(&self) -> impl Iterator<Item = RackKey> + use<> {
        let racks = self.topology.racks.len();
        let first = self.next_rack;
        let examined = 0..racks.min(RACKS_EXAMINED_MAX);
        examined.map(move |index| RackKey(((first + index) % racks) as u32))
    }

    /// Finds the accelerators on which a job is expected to start earliest, with that time.
    fn plan_reservation(&self, key: JobKey) -> Option<(u64, Vec<PlacedUnit>)> {
        let job = self.jobs.get(key)?;
        let need = job.need;
        let units = need.units as usize;
        let mut all: Vec<TimedUnit> = Vec::new();
        let mut best: Option<(u64, Vec<PlacedUnit>)> = None;
        for rack in self.examined_racks() {
            let placed_units = self.list_timed_units(rack, &need, job);
            if placed_units.len() >= units {
                let start_ms = placed_units[units - 1].0;
                if best.as_ref().is_none_or(|(least, _)| start_ms < *least) {
                    best = Some((start_ms, take_units(&placed_units, units)));
                }
            }
            if !need.one_rack {
                all.extend(placed_units);
            }
        }
        if need.one_rack || all.len() < units {
            return best;
        }
        all.sort_by_key(|&(free_ms, unit)| (free_ms, unit.rack, unit.mask));
        Some((all[units - 1].0, take_units(&all, units)))
    }

    /// Lists accelerators for single units in a rack, earliest free first.
    fn list_timed_units(&self, key: RackKey, need: &Need, job: &crate::job::Job) -> Vec<TimedUnit> {
        let rack = self.topology.rack(key);
        let taken = rack.claimed | rack.reserved | excluded_bits(&job.failed_on, key);
        let region = rack.usable & !taken;
        let ends: Vec<u64> = (0..u64::BITS)
            .map(|bit| self.expected_free_ms(key, region & 1 << bit))
            .collect();
        let starts = bits(windows(region, need.level, need.accelerators_per_unit));
        let mut placed_units: Vec<TimedUnit> = starts
            .map(|start| {
                let window = region & block_mask(start, need.level);
                let mut free: Vec<(u64, u32)> =
                    bits(window).map(|bit| (ends[bit as usize], bit)).collect();
                free.sort_unstable();
                let taken = &free[..need.accelerators_per_unit as usize];
                let free_ms = taken.last().map_or(self.now_ms, |&(end_ms, _)| end_ms);
                let mask = taken.iter().fold(0, |mask, &(_, bit)| mask | 1 << bit);
                (free_ms, PlacedUnit { rack: key, mask })
            })
            .collect();
        placed_units.sort_by_key(|&(free_ms, unit)| (free_ms, unit.mask));
        placed_units
    }

    pub(crate) fn reserve_units(&mut self, placed_units: &[PlacedUnit]) {
        for unit in placed_units {
            self.topology
                .update(unit.rack, |rack| rack.reserved |= unit.mask);
        }
    }

    /// Reopens a closed reservation when a claim or another job has taken some of its accelerators.
    fn reopen(&mut self, index: usize) {
        if !self.reservations[index].is_closed {
            return;
        }
        let is_leaving = |key: JobKey| {
            let job = self.jobs.get(key);
            job.is_none_or(|job| matches!(job.phase, Phase::Stopping { .. }))
        };
        let mut placed_units = self.reservations[index].placed_units.iter();
        let is_taken = placed_units.any(|unit| {
            let rack = self.topology.rack(unit.rack);
            let holders = self.topology.holders(unit.rack, unit.mask);
            rack.claimed & unit.mask != 0 || !holders.into_iter().all(is_leaving)
        });
        if !is_taken {
            return;
        }
        self.reservations[index].is_closed = false;
        let placed_units = self.reservations[index].placed_units.clone();
        for unit in placed_units {
            self.topology
                .update(unit.rack, |rack| rack.closed &= !unit.mask);
            self.unblock_rack(unit.rack);
        }
    }

    /// Closes a reservation: no other job may start on its accelerators.
    pub(crate) fn close(&mut self, index: usize) {
        self.reservations[index].is_closed = true;
        for unit in &self.reservations[index].placed_units {
            self.topology
                .update(unit.rack, |rack| rack.closed |= unit.mask);
        }
    }

    pub(crate) fn unreserve_units(&mut self, placed_units: &[PlacedUnit]) {
        for unit in placed_units {
            self.topology.update(unit.rack, |rack| {
                rack.reserved &= !unit.mask;
                rack.closed &= !unit.mask;
            });
            self.unblock_rack(unit.rack);
        }
    }

    /// Starts the jobs whose reserved accelerators are free.
    pub(crate) fn start_reserved(&mut self, out: &mut Vec<Decision>) {
        loop {
            let mut reservations = self.reservations.iter();
            let Some(index) =
                reservations.position(|reservation| self.is_reservation_free(reservation))
            else {
                return;
            };
            let reservation = self.reservations.swap_remove(index);
            self.unreserve_units(&reservation.placed_units);
            self.start_at(reservation.job, &reservation.placed_units, out);
        }
    }

    /// Stops backfilled work on reserved accelerators that hold no other work.
    fn stop_backfilled(&mut self, out: &mut Vec<Decision>) {
        for index in 0..self.reservations.len() {
            let reservation = &self.reservations[index];
            let mut backfilled: Vec<JobKey> = Vec::new();
            for unit in &reservation.placed_units {
                backfilled.extend(self.topology.holders(unit.rack, unit.mask));
            }
            backfilled.sort_unstable();
            backfilled.dedup();
            let made_ms = reservation.made_ms;
            if backfilled
                .iter()
                .all(|&key| self.is_backfilled(key, made_ms))
            {
                self.close(index);
                for key in backfilled {
                    self.stop(key, StopReason::Overrun, out);
                }
            }
        }
    }

    /// Returns whether a job is stopping, or is preemptible, checkpointable and started after a
    /// reservation was made.
    fn is_backfilled(&self, key: JobKey, made_ms: u64) -> bool {
        self.jobs.get(key).is_some_and(|job| {
            let is_after = matches!(job.phase, Phase::Running) && job.started_ms >= made_ms;
            let is_stopping = matches!(job.phase, Phase::Stopping { .. });
            is_stopping || is_after && job.spec.checkpointable && !job.is_guaranteed()
        })
    }

    fn is_reservation_free(&self, reservation: &Reservation) -> bool {
        let Some(job) = self.jobs.get(reservation.job) else {
            return false;
        };
        let is_open = |unit: &PlacedUnit| {
            let rack = self.topology.rack(unit.rack);
            let open = rack.usable & !rack.used & !rack.claimed;
            unit.mask & !open == 0
        };
        self.is_within_quota(job.organisation, job.need.accelerators())
            && reservation.placed_units.iter().all(is_open)
    }

    /// Removes the reservation of a job.
    pub(crate) fn drop_reservation(&mut self, key: JobKey) {
        let index = self
            .reservations
            .iter()
            .position(|reservation| reservation.job == key);
        if let Some(index) = index {
            let reservation = self.reservations.swap_remove(index);
            self.unreserve_units(&reservation.placed_units);
        }
    }

    /// Removes the reservations on accelerators that take no more work.
    pub(crate) fn drop_reservations_on(&mut self, rack: RackKey, mask: u64) {
        let is_hit = |reservation: &Reservation| {
            let mut placed_units = reservation.placed_units.iter();
            placed_units.any(|unit| unit.rack == rack && unit.mask & mask != 0)
        };
        let hit: Vec<JobKey> = self
            .reservations
            .iter()
            .filter(|reservation| is_hit(reservation))
            .map(|reservation| reservation.job)
            .collect();
        for key in hit {
            self.drop_reservation(key);
        }
    }
}

/// Returns the first `units` entries without their times.
fn take_units(placed_units: &[TimedUnit], units: usize) -> Vec<PlacedUnit> {
    placed_units
        .iter()
        .take(units)
        .map(|&(_, unit)| unit)
        .collect()
}
