//! Computes the headroom: free capacity reserved for urgent work that is expected.
//!
//! An urgent group that has to wait for a preemption loses most of the time in which it can be on time. Other work
//! therefore leaves capacity free for as many urgent groups as recently arrived within the time of a preemption, each
//! of a size that covers most of them.

use slotmap::SecondaryMap;

use crate::fit::{Candidate, count_fitting_tasks, find_best_candidate, split_by_rack};
use crate::group::GroupKey;
use crate::learning::UseOfSpeed;
use crate::planner::Planner;
use crate::spec::Resources;
use crate::urgent::UrgentArrival;
use crate::worker::WorkerKey;

/// Work of priority 1 leaves the headroom free for this share, in hundredths, of the time that it can wait and still be
/// on time.
const HEADROOM_WAIT_PERCENT: u64 = 40;

/// The same for work of lower priority, which costs least when it is late.
const LOW_PRIORITY_HEADROOM_WAIT_PERCENT: u64 = 90;

impl Planner {
    /// Returns the headroom reserved on each worker.
    pub(crate) fn compute_headroom(&self, now_ms: u64) -> SecondaryMap<WorkerKey, Resources> {
        let Some((size, group_count)) = self.predict_urgent(now_ms) else {
            return SecondaryMap::new();
        };
        let size = &size;
        let mut candidates = self.list_headroom_candidates(size, now_ms);
        let mut reserved: SecondaryMap<WorkerKey, Resources> = SecondaryMap::new();
        let mut left = self.max_headroom_tasks(size);
        for _ in 0..group_count {
            let mut places = find_headroom_places(&candidates, size);
            places.truncate(left);
            left -= places.len();
            for worker in places {
                if let Some(entry) = reserved.entry(worker) {
                    *entry.or_default() += size.need;
                }
                for candidate in candidates
                    .iter_mut()
                    .filter(|candidate| candidate.worker == worker)
                {
                    candidate.place(&size.need);
                }
            }
        }
        reserved
    }

    /// Returns the most tasks of expected groups that headroom is reserved for: those that fit into half of the service's
    /// capacity, so that other work can use the other half.
    pub(crate) fn max_headroom_tasks(&self, size: &UrgentArrival) -> usize {
        let total = self.service_capacity(&size.service);
        let half = Resources {
            cpu_millis: total.cpu_millis / 2,
            memory_mb: total.memory_mb / 2,
            accelerators: total.accelerators / 2,
        };
        count_fitting_tasks(&half, &size.need)
    }

    /// Returns the capacity of all listed workers of a service.
    pub(crate) fn service_capacity(&self, service: &str) -> Resources {
        let workers = self.workers.values();
        workers
            .filter(|w| w.listed && w.entry.service == service)
            .fold(Resources::default(), |sum, w| sum + w.entry.capacity)
    }

    /// Returns the workers on which headroom is reserved, with their current free capacity, in the order of their racks.
    pub(crate) fn list_headroom_candidates(
        &self,
        size: &UrgentArrival,
        now_ms: u64,
    ) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = self
            .workers
            .iter()
            .filter(|(_, w)| {
                self.is_usable(w, now_ms)
                    && !self.is_held_by_suspect(w)
                    && w.entry.service == size.service
            })
            .map(|(key, worker)| Candidate {
                worker: key,
                rack: worker.rack,
                free: worker.free(),
                slots_left: u32::MAX,
                rack_free: 0,
                quarantined: false,
                off_rack: false,
                disturbance_percent: 0,
                recently_failed: worker.health.has_recent_failure(),
                speed_rank: self.speed_rank(UseOfSpeed::Urgent, key),
                empty: worker.is_empty(),
                limited_accelerators: None,
            })
            .collect();
        candidates.sort_by_key(|candidate| candidate.rack);
        candidates
    }

    /// Returns whether a group has waited so long that it may use the headroom.
    pub(crate) fn may_use_headroom(&self, group: GroupKey, now_ms: u64) -> bool {
        let job = &self.jobs[group.job];
        let group_state = &job.groups[group.group as usize];
        let waited_ms = group_state.waited_ms(now_ms);
        let slack_ms = job.slack_ms(self.expected_run_ms(group));
        let wait_percent = match job.stored.priority {
            0 | 1 => HEADROOM_WAIT_PERCENT,
            _ => LOW_PRIORITY_HEADROOM_WAIT_PERCENT,
        };
        waited_ms > slack_ms.saturating_mul(wait_percent) / 100
    }
}

/// Places as many tasks of an expected group as fit on one rack. Of several racks that hold the most, picks the one
/// with the fewest free accelerators.
fn find_headroom_places(candidates: &[Candidate], size: &UrgentArrival) -> Vec<WorkerKey> {
    split_by_rack(candidates)
        .map(|rack| {
            let mut rack = rack.to_vec();
            let free: i64 = rack.iter().map(|s| s.free.accelerators.max(0)).sum();
            let mut places = Vec::new();
            while places.len() < size.count
                && let Some(best) = find_best_candidate(&rack, &size.need)
            {
                rack[best].place(&size.need);
                places.push(rack[best].worker);
            }
            (places, free)
        })
        .max_by_key(|(places, free)| (places.len(), -free))
        .map_or_else(Vec::new, |(places, _)| places)
}
