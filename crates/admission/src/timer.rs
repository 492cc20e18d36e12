//! Timers of requests and workers; those of ended requests are ignored when they fire.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::types::{RequestKey, WorkerKey};

/// What happens when a timer fires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A waiting request can no longer meet its deadline.
    Expire(RequestKey),
    /// A waiting request is no longer fresh.
    Overdue(RequestKey),
    /// A request is queued again after its backoff.
    Requeue(RequestKey),
    /// An attempt outruns its class.
    Overrun(RequestKey, WorkerKey),
    /// A second attempt may be sent.
    Hedge(RequestKey),
    /// A worker may be tried again.
    Reopen(WorkerKey),
}

/// Timers of ended requests that are kept before the heap is rebuilt.
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

    /// Time of the earliest timer.
    pub(crate) fn next_ms(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((at_ms, _))| *at_ms)
    }

    /// Takes the earliest timer that is due.
    pub(crate) fn pop_due(&mut self, now_ms: u64) -> Option<Timer> {
        if self.next_ms()? > now_ms {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }

    /// Drops timers that `is_live` denies, when there are many more than `live` entries.
    pub(crate) fn compact(&mut self, live: usize, is_live: impl Fn(Timer) -> bool) {
        if self.heap.len() > 4 * live + STALE_TIMERS_MAX {
            self.heap.retain(|Reverse((_, timer))| is_live(*timer));
        }
    }
}
