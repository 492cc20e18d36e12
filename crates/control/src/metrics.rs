//! Counters and latency histograms, as text on the metrics address.

use std::fmt::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// What is counted.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Jobs stored by this node.
    JobsAccepted,
    /// Jobs handed in again under an id that is stored.
    JobsKnown,
    /// Refused: no queue has that host and path.
    RefusedNoQueue,
    /// Refused: unknown key.
    RefusedKey,
    /// Refused: the configuration is not known, or was not confirmed lately.
    RefusedNoConfiguration,
    /// Refused: the store did not take the call.
    RefusedStore,
    /// Refused: no node that was asked reaches the store.
    RefusedOutage,
    /// Refused: the body is too large.
    RefusedTooLarge,
    /// Refused: the body cannot be read.
    RefusedMalformed,
    /// Refused: not a method that callers use.
    RefusedMethod,
    /// Calls passed on to another node, since this one does not reach the store.
    PassedOn,
    /// Calls that no other node could answer either.
    PassedOnInVain,
    /// Calls answered for another node.
    AnsweredForPeer,
    /// Answered 504: whether the store took the call is not known.
    OutcomeUnknown,
    /// Store calls.
    StoreCalls,
    /// Store calls made again: not carried out.
    StoreRetriesNotDone,
    /// Store calls made again: no answer.
    StoreRetriesUnknown,
    /// Terms of the lead taken.
    LeadsTaken,
    /// Terms of the lead lost.
    LeadsLost,
    /// Renewals of workers' leases without an answer.
    HoldsUnanswered,
    /// Orders sent again for want of an answer.
    OrderRetries,
    /// Starts that workers refused.
    StartsRefused,
    /// Tasks stopped to make room.
    Preempted,
    /// Tasks lost with their worker's lease or life.
    TasksLost,
    /// Tasks that failed.
    TasksFailed,
    /// Tasks broken with their gang.
    TasksBroken,
    /// Tasks that waited in vain for their gang.
    TasksAlone,
    /// Core-seconds thrown away with runs that were stopped to make room.
    WastedPreemptedCoreS,
    /// The same with runs of cancelled or failed jobs.
    WastedUnwantedCoreS,
    /// The same with runs that failed.
    WastedFailedCoreS,
    /// The same with runs that broke with their gang.
    WastedBrokenCoreS,
    /// The same with runs that were lost with their worker.
    WastedLostCoreS,
}

/// What is timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Timing {
    /// From a job's arrival to its answer.
    Accept,
    /// From the planner's learning of a job to its first start.
    FirstStart,
    /// From taking the lead to having read the store.
    TakeOver,
    /// A store call.
    StoreCall,
    /// An order to a worker.
    Order,
}

/// The longest time that a histogram tells apart, in milliseconds.
const MAX_RECORDED_MS: u64 = 60_000;

/// All counters and histograms of a process.
#[derive(Debug)]
pub struct Metrics {
    counters: [AtomicU64; Counter::COUNT],
    timings: [Mutex<Histogram<u32>>; Timing::COUNT],
}

impl Metrics {
    /// Everything at zero.
    pub fn new() -> Result<Metrics, hdrhistogram::CreationError> {
        let empty = Histogram::new_with_bounds(1, MAX_RECORDED_MS, 2)?;
        Ok(Metrics {
            counters: std::array::from_fn(|_| AtomicU64::new(0)),
            timings: std::array::from_fn(|_| Mutex::new(empty.clone())),
        })
    }

    /// Adds one.
    pub fn count(&self, counter: Counter) {
        self.counters[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Sets a counter that is kept elsewhere.
    pub fn set(&self, counter: Counter, value: u64) {
        self.counters[counter as usize].store(value, Ordering::Relaxed);
    }

    /// Records a time.
    pub fn record(&self, timing: Timing, took_ms: u64) {
        if let Ok(mut histogram) = self.timings[timing as usize].lock() {
            histogram.saturating_record(took_ms.clamp(1, MAX_RECORDED_MS));
        }
    }

    /// The text that collectors read.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for counter in Counter::iter() {
            let name: &str = counter.into();
            let value = self.counters[counter as usize].load(Ordering::Relaxed);
            let _ = writeln!(
                text,
                "# TYPE hemlockloft_{name}_total counter\nhemlockloft_{name}_total {value}"
            );
        }
        for timing in Timing::iter() {
            let name: &str = timing.into();
            let Ok(histogram) = self.timings[timing as usize].lock() else {
                continue;
            };
            let _ = writeln!(text, "# TYPE hemlockloft_{name}_ms summary");
            for quantile in [0.5, 0.95, 0.99] {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "hemlockloft_{name}_ms{{quantile=\"{quantile}\"}} {value}"
                );
            }
            let _ = writeln!(text, "hemlockloft_{name}_ms_count {}", histogram.len());
        }
        text
    }
}
