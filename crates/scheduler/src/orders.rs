//! What the planner wants carried out, and what came of it.

use std::sync::Arc;

use crate::group::{GroupKey, TaskKey};
use crate::record::JobRecord;
use crate::task::{JobId, TaskName};
use crate::worker::WorkerKey;

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Start a run.
    Start {
        /// The worker.
        worker: WorkerKey,
        /// Which task of the planner's.
        unit: TaskKey,
        /// Its name.
        task: TaskName,
        /// Which run.
        run: u32,
        /// The job's text.
        text: Arc<str>,
        /// Progress to resume from; empty for none.
        progress: String,
        /// The ticket for the step on this worker; empty if none is needed.
        ticket: String,
        /// Whether an earlier call of the same start got no answer.
        again: bool,
    },
    /// Let a run that fills work at a share of its speed.
    Pace {
        /// The worker.
        worker: WorkerKey,
        /// Which task of the planner's.
        unit: TaskKey,
        /// Its name.
        task: TaskName,
        /// Which run.
        run: u32,
        /// The share, in hundredths.
        percent: u32,
    },
    /// Ask which workers may run a step.
    Ask {
        /// The tasks of the step, in one occurrence.
        group: GroupKey,
        /// The step's name, `ID.OCCURRENCE.STEP`.
        step: String,
        /// The workers, and their ids.
        workers: Vec<(WorkerKey, String)>,
    },
    /// Stop a run.
    Stop {
        /// The worker.
        worker: WorkerKey,
        /// Which task of the planner's; none for a run that ought not to be there.
        unit: Option<TaskKey>,
        /// Its name.
        task: TaskName,
        /// Which run.
        run: u32,
        /// Whether an earlier call of the same stop got no answer.
        again: bool,
    },
}

/// Which of the workers asked about may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceAnswer {
    /// Their ids, with a ticket each.
    pub good: Vec<(String, String)>,
    /// How long the tickets last.
    pub valid_ms: u64,
    /// When the answer arrived, on the planner's clock.
    pub received_ms: u64,
}

/// What came of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs, or did already.
    Started {
        /// When the answer arrived.
        received_ms: u64,
    },
    /// A later planner has spoken to the worker.
    OlderTerm,
    /// The run is not higher than one that ended or was stopped there.
    OldRun,
    /// The order's lease had ended when it arrived.
    Late,
    /// The worker has no room.
    NoRoom,
    /// The ticket is missing or has run out.
    NoTicket,
    /// The worker turned the order away without doing anything.
    Unhealthy,
    /// The worker cannot read the order.
    Malformed,
    /// Another life of the worker answered.
    OtherLife,
    /// No answer; the order may still be carried out.
    NoAnswer,
}

/// What came of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// The worker took it.
    Taken {
        /// When the answer arrived.
        received_ms: u64,
    },
    /// A later planner has spoken to the worker.
    OlderTerm,
    /// Another life of the worker answered.
    OtherLife,
    /// No answer, or none that says whether it was taken.
    NoAnswer,
}

/// A job's record, to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordWrite {
    /// The job.
    pub job: JobId,
    /// The record.
    pub record: JobRecord,
    /// Whether the job no longer counts as waiting.
    pub begun: bool,
    /// Whether all is over, so that the request itself can go.
    pub over: bool,
}

/// What has to be in the store before the planner goes on.
#[derive(Debug, Default)]
pub struct Flush {
    /// Records to write.
    pub writes: Vec<RecordWrite>,
    /// Starts that may be sent afterwards.
    pub(crate) starts: Vec<(TaskKey, u32)>,
    /// Ends that may be confirmed afterwards.
    pub(crate) ends: Vec<(WorkerKey, u64)>,
}

impl Flush {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.starts.is_empty() && self.ends.is_empty()
    }
}
