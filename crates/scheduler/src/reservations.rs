//! Reserves capacity for a group while the tasks that occupy it are being stopped.

use std::collections::HashMap;

use crate::group::{GroupKey, Phase, Reservation};
use crate::planner::Planner;
use crate::spec::Resources;
use crate::worker::WorkerKey;

/// A reservation is released, and planned anew elsewhere, if its capacity is not free this long after the stops must
/// have ended.
const RESERVATION_MARGIN_MS: u64 = 500;

impl Planner {
    /// Reserves capacity on workers for a group.
    pub(crate) fn reserve_capacity(
        &mut self,
        group: GroupKey,
        places: Vec<(u32, WorkerKey)>,
        now_ms: u64,
    ) {
        let need = self.need(group);
        for (_, worker) in &places {
            if let Some(worker) = self.workers.get_mut(*worker) {
                worker.reserved += need;
            }
            self.policy.shares.hold(self.jobs[group.job].account, need);
        }
        self.jobs[group.job].groups[group.group as usize].reservation = Some(Reservation {
            places,
            since_ms: now_ms,
        });
    }

    /// Releases the reservation of a group.
    pub(crate) fn release_reservation(&mut self, group: GroupKey) -> Option<Reservation> {
        let need = self.need(group);
        let reservation = self.jobs[group.job].groups[group.group as usize]
            .reservation
            .take()?;
        for (_, worker) in &reservation.places {
            if let Some(worker) = self.workers.get_mut(*worker) {
                worker.reserved -= need;
            }
            self.policy
                .shares
                .release(self.jobs[group.job].account, need);
        }
        Some(reservation)
    }

    /// Starts groups whose reserved capacity is free, and releases reservations that cannot be met.
    pub(crate) fn settle_reservations(&mut self, now_ms: u64) {
        let reserved: Vec<GroupKey> = self
            .jobs
            .iter()
            .flat_map(|(job, held)| {
                (0..)
                    .zip(held.groups.iter())
                    .map(move |(group, g)| (GroupKey { job, group }, g))
            })
            .filter(|(_, group)| group.reservation.is_some())
            .map(|(key, _)| key)
            .collect();
        for group in reserved {
            self.settle_reservation(group, now_ms);
        }
    }

    fn settle_reservation(&mut self, group: GroupKey, now_ms: u64) {
        let need = self.need(group);
        let group_state = &self.jobs[group.job].groups[group.group as usize];
        let Some(reservation) = &group_state.reservation else {
            return;
        };
        let mut wanted: HashMap<WorkerKey, Resources> = HashMap::new();
        for (_, worker) in &reservation.places {
            *wanted.entry(*worker).or_default() += need;
        }
        let phases = || {
            reservation
                .places
                .iter()
                .map(|(index, _)| group_state.tasks[*index as usize].phase)
        };
        // A gang that moves to its reserved capacity has to end first.
        let may_start = phases().all(|p| matches!(p, Phase::Waiting | Phase::Stopping { .. }));
        let waits = phases().all(|phase| phase == Phase::Waiting);
        let usable = wanted.keys().all(|w| {
            self.workers
                .get(*w)
                .is_some_and(|w| self.is_usable(w, now_ms))
        });
        if !may_start
            || !usable
            || now_ms > reservation.since_ms + self.limits.stop_grace_ms + RESERVATION_MARGIN_MS
        {
            self.release_reservation(group);
            return;
        }
        // The group's own reservation is part of what is reserved on the worker.
        let free = wanted.iter().all(|(worker, need)| {
            self.workers
                .get(*worker)
                .is_some_and(|w| need.fits(&(w.free() + w.reserved)))
        });
        if waits
            && free
            && let Some(reservation) = self.release_reservation(group)
        {
            self.assign_group(group, &reservation.places, now_ms);
        }
    }
}
