//! Timers of requests and workers; timers of ended requests are ignored when they fire.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::types::{RequestKey, WorkerKey};

/// Event of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A waiting request can no longer meet its deadline.
    Expire(RequestKey),
    /// A waiting request is no longer fresh.
    Overdue(RequestKey),
    /// A request is queued again after its backoff.
    Requeue(RequestKey),
    /// An attempt has overrun the expected run time of its class.
    Overrun(RequestKey, WorkerKey),
    /// A hedged attempt may be sent.
    Hedge(RequestKey),
    /// The pause of a worker has ended.
    Reopen(WorkerKey),
}

/// Number of timers, in addition to four for each open request, above which the heap is compacted.
const STALE_TIMERS_MAX: usize = 4_096;

/// All timers, earliest first.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(u64, Timer)>>,
}

impl Timers {
    /// Adds a timer.
    pub(crate) fn push(&mut self, at_ms: u64, timer: Timer) {
        self.heap.push(Reverse((at_ms, timer)));
    }

    /// Returns the time of the earliest timer.
    pub(crate) fn next_ms(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((at_ms, _))| *at_ms)
    }

    /// Removes and returns the earliest timer if it is due.
    pub(crate) fn pop_due(&mut self, now_ms: u64) -> Option<Timer> {
        if self.next_ms()? > now_ms {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }

    /// Removes the timers for which `is_live` returns false when there are far more timers than
    /// `live` requests.
    pub(crate) fn compact(&mut self, live: usize, is_live: impl Fn(Timer) -> bool) {
        if self.heap.len() > 4 * live + STALE_TIMERS_MAX {
            self.heap.retain(|Reverse((_, timer))| is_live(*timer));
        }
    }
}
