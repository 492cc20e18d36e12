//! Counters and latency histograms, rendered as text for the metrics address.

use std::fmt::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// The counters. Their names in snake case are metric names, and some are reasons in refusals.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Jobs accepted by this node.
    JobsAccepted,
    /// Submissions repeated under an id that is already stored.
    JobsKnown,
    /// Submissions whose job was read before the write, because the store was away for this node or for a peer.
    ReadBeforeWrite,
    /// Refused: no queue has that host and path.
    RefusedNoQueue,
    /// Refused: unknown key.
    RefusedKey,
    /// Refused: the configuration is not known, or has not been confirmed recently.
    RefusedNoConfiguration,
    /// Refused: the store did not carry out the call.
    RefusedStore,
    /// Refused: none of the nodes asked can reach the store.
    RefusedOutage,
    /// Callers refused in an outage that were told to come back later than the others, because more came than the store
    /// can accept at once.
    ReturnsSpread,
    /// Refused: the body is too large.
    RefusedTooLarge,
    /// Refused: the body is malformed.
    RefusedMalformed,
    /// Refused: not a method that callers use.
    RefusedMethod,
    /// Calls passed on to another node, because this one cannot reach the store.
    PassedOn,
    /// Calls that no other node could answer either.
    PassedOnInVain,
    /// Calls answered for another node.
    AnsweredForPeer,
    /// Calls in doubt that were settled within their caller's deadline.
    DoubtSettled,
    /// Refusals answered 504 instead, because an earlier attempt at the same job is in doubt.
    RefusalsWithheld,
    /// Answered 504: it is not known whether the store carried out the call.
    OutcomeUnknown,
    /// Store calls.
    StoreCalls,
    /// Store calls retried because they were not carried out.
    StoreRetriesNotDone,
    /// Store calls retried because they were unanswered.
    StoreRetriesUnknown,
    /// Choices of workers that keep work apart which is known to slow each other down.
    KeptApart,
    /// Pairs of work that are known to slow each other down, at this node's planner.
    KnownInterference,
    /// Terms begun by this node as leader.
    LeadsTaken,
    /// Terms of this node as leader that ended.
    LeadsLost,
    /// Runs listed as done that this node handed over to the next planner after its own term had ended.
    RunsHandedOver,
    /// Unanswered renewals of workers' leases.
    HoldsUnanswered,
    /// Renewals that a worker with another id answered.
    HoldsOtherId,
    /// Entries of the list that contradict what their worker itself has said.
    EntriesSetAside,
    /// Workers that answered as a later incarnation.
    WorkersRestarted,
    /// Orders sent again because they were unanswered.
    OrderRetries,
    /// Starts that workers refused.
    StartsRefused,
    /// Tasks preempted to free capacity.
    Preempted,
    /// Groups that a later group of another organisation went before, because its guarantee covered that one.
    PassedOverGuarantee,
    /// The same, because that one had waited far beyond the time in which it was worth something.
    PassedOverAged,
    /// The same, because its own organisation was further above its entitlement.
    PassedOverShare,
    /// The same, because that one had less time left to be on time.
    PassedOverSlack,
    /// The same, because it could no longer be worth anything.
    PassedOverWorthless,
    /// Tasks stopped before their worker may leave.
    StoppedBeforeLeave,
    /// Tasks stopped to go on elsewhere, since they were not likely to end before their worker may leave.
    MovedBeforeLeave,
    /// Tasks of gangs stopped for others, since they cannot end before one of their workers goes.
    StoppedWithoutHope,
    /// Decisions that a gang goes on although one of its workers is expected to go.
    KeptAtRisk,
    /// Tasks lost because their worker's lease expired or its incarnation ended.
    TasksLost,
    /// Jobs given up because a task crashed one worker after the other.
    JobsGivenUp,
    /// Workers quarantined after one failure, while many workers failed.
    QuarantinedInBurst,
    /// Attempts kept for workers known to work, while many workers failed.
    AttemptsKept,
    /// Tasks that failed by their job's own fault, while many workers failed.
    FailedByJob,
    /// Runs, or gangs, moved because they stood still.
    MovedStill,
    /// Answers of workers by which a run, or a gang, that stood still stayed where it was.
    StillKept,
    /// Workers chosen last because their runs stood still.
    WorkersStill,
    /// Queries to the advice service that this node's planner has sent, by any VM.
    AdviceQueries,
    /// Queries to the advice service that were refused or not answered in time.
    AdviceUnanswered,
    /// Workers named in queries to the advice service.
    AdviceNamed,
    /// Workers that answers of the advice service have allowed.
    AdviceAllowed,
    /// Tasks that failed.
    TasksFailed,
    /// Tasks that ended because another member of their gang did.
    TasksBroken,
    /// Tasks that ended because the other members of their gang never started.
    TasksAlone,
    /// Machines known to be faster than usual.
    MachinesFast,
    /// Machines known to be slower than usual.
    MachinesSlow,
    /// Gangs placed on machines of like speed while speeds decide.
    GangsAlike,
    /// Gangs placed on machines of different speeds while speeds decide.
    GangsMixed,
    /// Core-seconds of discarded work: runs preempted to free capacity.
    WastedPreemptedCoreS,
    /// Core-seconds of discarded work: runs of cancelled or failed jobs.
    WastedUnwantedCoreS,
    /// Core-seconds of discarded work: runs that failed.
    WastedFailedCoreS,
    /// Core-seconds of discarded work: runs that ended with another member of their gang, or whose gang did not start
    /// completely.
    WastedBrokenCoreS,
    /// Core-seconds of discarded work: runs lost with their worker.
    WastedLostCoreS,
    /// Refused: the bytes that the process may collect at once are used up.
    RefusedFull,
    /// Cancels of jobs that the store did not have, stored so that a late submission has no effect.
    CancelsUnknown,
    /// Refused: too many cancels of jobs that the store does not have.
    RefusedCancelsUnknown,
    /// Refused: another organisation has cancelled a job with the same id before its submission.
    RefusedCancelledId,
    /// Refused: the body took too long.
    RefusedSlow,
    /// Connections closed because a head took too long.
    HeadsCutOff,
    /// Connections closed to make room for a new one.
    ConnectionsGaveWay,
    /// Connections closed at once, because none could give way.
    ConnectionsNotTaken,
}

/// The latencies measured, in milliseconds. Their names in snake case are metric names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Timing {
    /// From a job's arrival to its answer.
    Accept,
    /// From the arrival of a call that changes nothing to its answer.
    Query,
    /// From the time the planner learns of a job to its first start.
    FirstStart,
    /// From taking the lead to the end of reading the predecessor's state.
    TakeOver,
    /// Duration of a planning pass, during which the node's thread does nothing else.
    PlanningPass,
    /// Duration of a conditional write to the store.
    StoreCall,
    /// Duration of an order to a worker.
    Order,
    /// Duration of an answered query to the advice service.
    Advice,
}

/// Longer times are recorded as this many milliseconds.
const MAX_RECORDED_MS: u64 = 60_000;

/// All counters and histograms of a process.
#[derive(Debug)]
pub struct Metrics {
    counters: [AtomicU64; Counter::COUNT],
    timings: [Mutex<Histogram<u32>>; Timing::COUNT],
}

impl Metrics {
    /// Creates all counters and histograms at zero; an error if a histogram cannot be built.
    pub fn new() -> Result<Metrics, hdrhistogram::CreationError> {
        let empty = Histogram::new_with_bounds(1, MAX_RECORDED_MS, 2)?;
        Ok(Metrics {
            counters: std::array::from_fn(|_| AtomicU64::new(0)),
            timings: std::array::from_fn(|_| Mutex::new(empty.clone())),
        })
    }

    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        self.counters[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Adds to a counter.
    pub fn add(&self, counter: Counter, count: u64) {
        self.counters[counter as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// Sets a counter whose value is maintained elsewhere.
    pub fn set(&self, counter: Counter, value: u64) {
        self.counters[counter as usize].store(value, Ordering::Relaxed);
    }

    /// Records a duration in milliseconds.
    pub fn record(&self, timing: Timing, took_ms: u64) {
        if let Ok(mut histogram) = self.timings[timing as usize].lock() {
            histogram.saturating_record(took_ms.clamp(1, MAX_RECORDED_MS));
        }
    }

    /// Returns the text that metrics collectors read.
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
