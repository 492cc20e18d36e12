//! Room kept free for urgent work that is yet to come.
//!
//! Urgent work that has to wait for a stop loses most of the time in which it can be on time. So other work leaves room
//! for as many urgent groups as lately came within the time of a stop, each of a size that most of them had.

use std::collections::{HashMap, VecDeque};

use crate::fit::{Spot, split_by_rack};
use crate::group::GroupKey;
use crate::planner::Planner;
use crate::spec::Need;
use crate::worker::WorkerKey;

/// How far back urgent groups are looked at to tell what is to come.
const LOOK_BACK_MS: u64 = 12_000;

/// The most urgent groups that are remembered.
const MOST_REMEMBERED: usize = 64;

/// How long room that was given away takes to come back: a stop and a start.
const COMES_BACK_MS: u64 = 1_600;

/// The most groups that room is kept for.
const MOST_KEPT_FOR: u64 = 6;

/// The size kept for is the one that this share of the groups does not exceed, in hundredths.
const SIZE_PERCENT: usize = 75;

/// Work of the second priority heeds the room kept for this share of the time that it can wait and still be on time, in
/// hundredths.
const HEED_PERCENT: u64 = 40;

/// The same for work of lower priorities, which counts least when it is late.
const LOWEST_HEED_PERCENT: u64 = 90;

/// An urgent group that came lately.
#[derive(Debug, Clone)]
pub(crate) struct UrgentArrival {
    at_ms: u64,
    count: usize,
    need: Need,
    service: String,
}

/// Urgent groups that came lately, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct UrgentArrivals(VecDeque<UrgentArrival>);

impl UrgentArrivals {
    /// Notes a group of the first priority.
    fn note(&mut self, arrival: UrgentArrival) {
        if self.0.len() >= MOST_REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back(arrival);
    }

    /// What to keep room for, and how many times.
    fn expect(&self, now_ms: u64) -> Option<(&UrgentArrival, usize)> {
        let since_ms = now_ms.saturating_sub(LOOK_BACK_MS);
        let mut recent: Vec<&UrgentArrival> =
            self.0.iter().filter(|a| a.at_ms >= since_ms).collect();
        recent.sort_by_key(|a| a.need.accelerators * a.count as i64);
        let size = *recent.get((recent.len() * SIZE_PERCENT / 100).min(recent.len().max(1) - 1))?;
        let times = (recent.len() as u64 * COMES_BACK_MS).div_ceil(LOOK_BACK_MS);
        Some((size, times.clamp(1, MOST_KEPT_FOR) as usize))
    }
}

impl Planner {
    /// Notes the groups of a job of the first priority that can start now.
    pub(crate) fn note_urgent(&mut self, key: GroupKey, now_ms: u64) {
        let job = &self.jobs[key.job];
        let arrival = UrgentArrival {
            at_ms: now_ms,
            count: job.groups[key.group as usize].units.len(),
            need: job.need_of(key.group as usize),
            service: job.stored.service.clone(),
        };
        self.urgent.note(arrival);
    }

    /// The room on each worker that other work leaves free now.
    pub(crate) fn keep_headroom(&self, now_ms: u64) -> HashMap<WorkerKey, Need> {
        let Some((size, times)) = self.urgent.expect(now_ms) else {
            return HashMap::new();
        };
        let mut spots: Vec<Spot> = self
            .workers
            .iter()
            .filter(|(_, w)| self.is_usable(w, now_ms) && w.entry.service == size.service)
            .map(|(key, worker)| Spot {
                worker: key,
                rack: worker.entry.rack.clone(),
                free: worker.free(),
                slots_left: u32::MAX,
                rack_free: 0,
                doubtful: worker.health.is_doubtful(),
            })
            .collect();
        let mut kept = HashMap::new();
        for _ in 0..times {
            for worker in find_roomiest(&spots, size) {
                *kept.entry(worker).or_default() += size.need;
                for spot in spots.iter_mut().filter(|spot| spot.worker == worker) {
                    spot.put(&size.need);
                }
            }
        }
        kept
    }

    /// Whether a group has waited so long that it no longer leaves room for urgent work to come.
    pub(crate) fn is_pressed(&self, group: GroupKey, now_ms: u64) -> bool {
        let job = &self.jobs[group.job];
        let ready_ms = job.groups[group.group as usize].ready_ms;
        let waited_ms = now_ms.saturating_sub(ready_ms.unwrap_or(now_ms));
        let estimate_ms = job.step_of(group.group as usize).estimate_ms;
        let slack_ms = estimate_ms * u64::from(job.stored.stretch_percent.saturating_sub(100))
            / 100
            + job.stored.goal_ms;
        let heed_percent = match job.stored.priority {
            0 | 1 => HEED_PERCENT,
            _ => LOWEST_HEED_PERCENT,
        };
        waited_ms > slack_ms * heed_percent / 100
    }
}

/// Where on one rack the most tasks of a group fit; among racks that hold the whole group, the fullest.
fn find_roomiest(spots: &[Spot], size: &UrgentArrival) -> Vec<WorkerKey> {
    split_by_rack(spots)
        .into_values()
        .map(|mut rack| {
            let free: i64 = rack.iter().map(|s| s.free.accelerators.max(0)).sum();
            let mut places = Vec::new();
            while places.len() < size.count
                && let Some(at) = crate::fit::find_best_spot(&mut rack, &size.need)
            {
                rack[at].put(&size.need);
                places.push(rack[at].worker);
            }
            (places, free)
        })
        .max_by_key(|(places, free)| (places.len(), -free))
        .map_or_else(Vec::new, |(places, _)| places)
}
