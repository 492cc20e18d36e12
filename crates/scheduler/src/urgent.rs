//! Records urgent groups as they arrive and predicts those to come, from the arrivals within the last 12 s.

use std::collections::VecDeque;

use crate::group::GroupKey;
use crate::planner::Planner;
use crate::spec::Resources;

/// The window in which arrivals are counted.
const ARRIVAL_WINDOW_MS: u64 = 12_000;

/// The most arrivals that are remembered.
const MAX_ARRIVALS: usize = 64;

/// How long it takes to get capacity back that was given to other work: a stop and a start.
const CAPACITY_RECOVERY_MS: u64 = 1_600;

/// The most groups that headroom is reserved for.
const MAX_EXPECTED_GROUPS: u64 = 6;

/// Percentile of the group sizes in the window that headroom is reserved for.
const SIZE_PERCENTILE: usize = 75;

/// Headroom before any urgent group has arrived: this many tasks, each with this share of a worker's accelerators and
/// of its cores and memory, in hundredths, for this many groups. In the users' load sheets an urgent group has 3.4
/// tasks on average, each with 4.6 of 8 accelerators.
const DEFAULT_TASKS: usize = 4;
const DEFAULT_ACCELERATORS_PERCENT: i64 = 50;
const DEFAULT_CPU_AND_MEMORY_PERCENT: i64 = 12;
const DEFAULT_GROUPS: usize = 2;

/// The size of an urgent group and when it arrived.
#[derive(Debug, Clone)]
pub(crate) struct UrgentArrival {
    at_ms: u64,
    /// Number of tasks.
    pub count: usize,
    /// Resources of each task.
    pub need: Resources,
    /// The service whose workers run it.
    pub service: String,
}

/// Recent urgent groups, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct UrgentArrivals(VecDeque<UrgentArrival>);

impl UrgentArrivals {
    /// Records the arrival of an urgent group.
    fn record(&mut self, arrival: UrgentArrival) {
        if self.0.len() >= MAX_ARRIVALS {
            self.0.pop_front();
        }
        self.0.push_back(arrival);
    }

    /// Returns whether an urgent group arrived for a service within the window.
    pub fn came_lately(&self, service: &str, now_ms: u64) -> bool {
        let since_ms = now_ms.saturating_sub(ARRIVAL_WINDOW_MS);
        self.0
            .iter()
            .any(|arrival| arrival.at_ms >= since_ms && arrival.service == service)
    }

    /// Returns the group size to reserve headroom for, and for how many such groups; none without arrivals in the
    /// window.
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
    /// Records an urgent group that has become ready to start.
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

    /// Returns the group size to reserve headroom for, and for how many such groups. Without recent arrivals this is a
    /// default size on the workers of the service that runs urgent work; none if there is no such service.
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
            need: Resources {
                cpu_millis: capacity.cpu_millis * DEFAULT_CPU_AND_MEMORY_PERCENT / 100,
                memory_mb: capacity.memory_mb * DEFAULT_CPU_AND_MEMORY_PERCENT / 100,
                accelerators: capacity.accelerators * DEFAULT_ACCELERATORS_PERCENT / 100,
            },
            service: service.clone(),
        };
        Some((size, DEFAULT_GROUPS))
    }
}
