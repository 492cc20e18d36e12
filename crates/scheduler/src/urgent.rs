//! Urgent groups that came lately, and what they say of those to come.

use std::collections::VecDeque;

use crate::group::GroupKey;
use crate::planner::Planner;
use crate::spec::Need;

/// How far back urgent groups are looked at to tell what is to come.
const ARRIVAL_WINDOW_MS: u64 = 12_000;

/// The most urgent groups that are remembered.
const MAX_ARRIVALS: usize = 64;

/// How long room that was given away takes to come back: a stop and a start.
const CAPACITY_RECOVERY_MS: u64 = 1_600;

/// The most groups that room is kept for.
const MAX_EXPECTED_GROUPS: u64 = 6;

/// The size kept for is the one that this share of the groups does not exceed, in hundredths.
const SIZE_PERCENTILE: usize = 75;

/// What room is kept for before any urgent group has come: this many tasks, each with this share of a worker's
/// accelerators and of its other room, in hundredths, and this many such groups. The users' sheets have urgent groups of
/// 3.4 tasks of 4.6 of 8 accelerators on average.
const DEFAULT_TASKS: usize = 4;
const DEFAULT_ACCELERATORS_PERCENT: i64 = 50;
const DEFAULT_CPU_AND_MEMORY_PERCENT: i64 = 12;
const DEFAULT_GROUPS: usize = 2;

/// An urgent group that came lately.
#[derive(Debug, Clone)]
pub(crate) struct UrgentArrival {
    at_ms: u64,
    /// How many tasks it has.
    pub count: usize,
    /// What each of them needs.
    pub need: Need,
    /// The service whose workers run it.
    pub service: String,
}

/// Urgent groups that came lately, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct UrgentArrivals(VecDeque<UrgentArrival>);

impl UrgentArrivals {
    /// Notes a group of the first priority.
    fn record(&mut self, arrival: UrgentArrival) {
        if self.0.len() >= MAX_ARRIVALS {
            self.0.pop_front();
        }
        self.0.push_back(arrival);
    }

    /// What to keep room for, and how many times.
    fn predict(&self, now_ms: u64) -> Option<(&UrgentArrival, usize)> {
        let since_ms = now_ms.saturating_sub(ARRIVAL_WINDOW_MS);
        let mut recent: Vec<&UrgentArrival> =
            self.0.iter().filter(|a| a.at_ms >= since_ms).collect();
        recent.sort_by_key(|a| a.need.accelerators * a.count as i64);
        let size =
            *recent.get((recent.len() * SIZE_PERCENTILE / 100).min(recent.len().max(1) - 1))?;
        let group_count = (recent.len() as u64 * CAPACITY_RECOVERY_MS).div_ceil(ARRIVAL_WINDOW_MS);
        Some((size, group_count.clamp(1, MAX_EXPECTED_GROUPS) as usize))
    }
}

impl Planner {
    /// Notes a group of the first priority whose turn has come.
    pub(crate) fn record_urgent_arrival(&mut self, key: GroupKey, now_ms: u64) {
        let job = &self.jobs[key.job];
        let arrival = UrgentArrival {
            at_ms: now_ms,
            count: job.groups[key.group as usize].tasks.len(),
            need: job.need_of(key.group as usize),
            service: job.stored.service.clone(),
        };
        self.urgent.record(arrival);
    }

    /// What to keep room for, and how many times: what came lately, or a common size where urgent work may come.
    pub(crate) fn predict_urgent(&self, now_ms: u64) -> Option<(UrgentArrival, usize)> {
        if let Some((size, group_count)) = self.urgent.predict(now_ms) {
            return Some((size.clone(), group_count));
        }
        let service = self.urgent_service.as_ref()?;
        let worker = self
            .workers
            .values()
            .find(|w| w.listed && w.entry.service == *service)?;
        let capacity = worker.entry.capacity;
        let size = UrgentArrival {
            at_ms: now_ms,
            count: DEFAULT_TASKS,
            need: Need {
                cpu_millis: capacity.cpu_millis * DEFAULT_CPU_AND_MEMORY_PERCENT / 100,
                memory_mb: capacity.memory_mb * DEFAULT_CPU_AND_MEMORY_PERCENT / 100,
                accelerators: capacity.accelerators * DEFAULT_ACCELERATORS_PERCENT / 100,
            },
            service: service.clone(),
        };
        Some((size, DEFAULT_GROUPS))
    }
}
