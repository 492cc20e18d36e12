//! Decides when callers that are refused in an outage of the store come back: spread over the time that the store needs to
//! accept them, urgent and small work first. Takes calls, rates and the time, returns seconds.

use std::collections::VecDeque;

/// The shortest time after which a caller comes back: `retry-after` counts in whole seconds.
pub const MIN_RETRY_AFTER_S: u64 = 1;

/// The part of the store's writes that acceptances may use after an outage; the planner, which has as much to catch up
/// with, has the rest.
const ACCEPTANCE_SHARE_PERCENT: u64 = 50;

/// The part of a second's returns that work of lower priority may fill; the rest stays free for urgent work.
const LARGE_WORK_PERCENT: u64 = 50;

/// The same for small work of lower priority.
const SMALL_WORK_PERCENT: u64 = 75;

/// A call that is refused, as far as its return is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Whether it is of the priority that comes first.
    pub urgent: bool,
    /// The sum of the estimates of its tasks, in milliseconds.
    pub work_ms: u64,
    /// How long its caller waits for an answer.
    pub deadline_ms: u64,
}

/// When callers that were refused come back, by second from the present one on. One outage's worth of callers is spread
/// over the time that the store needs to accept them.
#[derive(Debug, Default)]
pub struct Returns {
    /// The second, on the clock of the process, that the first slot stands for.
    first_s: u64,
    /// Number of callers that come back in each second.
    slots: VecDeque<u64>,
    refused: u64,
    refused_work_ms: u64,
}

impl Returns {
    /// Decides after how many seconds a caller comes back, and counts it. `per_s`: how many returns this node can accept
    /// in a second.
    pub fn choose_retry_after_s(&mut self, call: Refused, per_s: u64, now_ms: u64) -> u64 {
        self.begin_second(now_ms / 1_000);
        let is_small = self.is_small(call.work_ms);
        self.refused += 1;
        self.refused_work_ms = self.refused_work_ms.saturating_add(call.work_ms);
        let share_percent = match (call.urgent, is_small) {
            (true, _) => 100,
            (false, true) => SMALL_WORK_PERCENT,
            (false, false) => LARGE_WORK_PERCENT,
        };
        let places = (per_s * share_percent / 100).max(1);
        // A caller that waits for less than a second still comes back after one, the shortest time there is.
        let latest_s = (call.deadline_ms / 1_000).clamp(MIN_RETRY_AFTER_S, MAX_SLOTS);
        let after_s = (MIN_RETRY_AFTER_S..=latest_s)
            .find(|after_s| self.count_at(*after_s) < places)
            .or_else(|| {
                (MIN_RETRY_AFTER_S..=latest_s).min_by_key(|after_s| self.count_at(*after_s))
            })
            .unwrap_or(MIN_RETRY_AFTER_S);
        self.count_return(after_s);
        after_s
    }

    /// Forgets the returns of earlier seconds, and with the last of them the size of the work that was refused.
    fn begin_second(&mut self, now_s: u64) {
        while self.first_s < now_s && self.slots.pop_front().is_some() {
            self.first_s += 1;
        }
        if self.slots.is_empty() {
            *self = Returns {
                first_s: now_s,
                ..Returns::default()
            };
        }
    }

    /// Returns whether work is less than the mean of what was refused.
    fn is_small(&self, work_ms: u64) -> bool {
        work_ms.saturating_mul(self.refused) < self.refused_work_ms
    }

    fn count_at(&self, after_s: u64) -> u64 {
        self.slots.get(after_s as usize).copied().unwrap_or(0)
    }

    fn count_return(&mut self, after_s: u64) {
        let at = after_s as usize;
        if self.slots.len() <= at {
            self.slots.resize(at + 1, 0);
        }
        self.slots[at] += 1;
    }
}

/// The most seconds over which returns are spread: callers with a longer deadline gain nothing by a later return.
const MAX_SLOTS: u64 = 60;

/// Returns how many returns one of `nodes` nodes can accept in a second at a store that takes `writes_per_s`; none if that
/// is unknown (0), so that there is no reason to spread them.
pub fn acceptances_per_s(writes_per_s: u64, nodes: u64) -> Option<u64> {
    let all = writes_per_s.saturating_mul(ACCEPTANCE_SHARE_PERCENT) / 100;
    (writes_per_s > 0).then(|| (all / nodes.max(1)).max(1))
}
