//! Orders of the planner, their outcomes, and the records to write.

use std::sync::Arc;

use crate::advice::QueryKey;
use crate::group::TaskKey;
use crate::policy::PolicyRecord;
use crate::record::{JobRecord, RecordPart};
use crate::task::{JobId, TaskName};
use crate::unstored::HandOverName;
use crate::worker::WorkerKey;

/// An order that the planner wants carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Start a run.
    Start {
        /// The worker.
        worker: WorkerKey,
        /// Key of the task.
        task_key: TaskKey,
        /// Name of the task.
        task: TaskName,
        /// Run number.
        run: u32,
        /// Text of the job.
        text: Arc<str>,
        /// Progress to resume from; empty for none.
        progress: String,
        /// The ticket for the step on this worker; empty if none is needed.
        ticket: String,
        /// Whether an earlier call of the same start was unanswered.
        again: bool,
    },
    /// Run a filler at a share of its full speed.
    Pace {
        /// The worker.
        worker: WorkerKey,
        /// Key of the task.
        task_key: TaskKey,
        /// Name of the task.
        task: TaskName,
        /// Run number.
        run: u32,
        /// The share, in hundredths.
        percent: u32,
    },
    /// Ask the advice service which workers may run a step.
    Ask {
        /// Key of the query.
        query: QueryKey,
        /// Name of the VM that sends it; empty for this one if no names were set.
        vm: String,
        /// Name of the step, `ID.OCCURRENCE.STEP`.
        step: String,
        /// Ids of the workers.
        workers: Vec<String>,
        /// How long the service takes for it, by its figures.
        expected_ms: u64,
        /// How long an answer is waited for.
        timeout_ms: u64,
        /// Whether to use a new connection, since an earlier query of that VM was unanswered.
        new_connection: bool,
    },
    /// Stop a run.
    Stop {
        /// The worker.
        worker: WorkerKey,
        /// Key of the task; none for an orphaned run.
        task_key: Option<TaskKey>,
        /// Name of the task.
        task: TaskName,
        /// Run number.
        run: u32,
        /// Whether an earlier call of the same stop was unanswered.
        again: bool,
    },
}

/// The answer of the advice service to a query; workers that it does not name may not run the step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceAnswer {
    /// Ids of the allowed workers, each with a ticket.
    pub allowed: Vec<(String, String)>,
    /// How long the tickets are valid, from the arrival of the answer.
    pub valid_ms: u64,
    /// When the answer arrived, on the planner's clock.
    pub received_ms: u64,
}

/// The outcome of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is running, or was already.
    Started {
        /// When the answer arrived, on the planner's clock.
        received_ms: u64,
    },
    /// The worker has received a call of a later planner.
    OlderTerm,
    /// The run number is not higher than that of a run that ended or was stopped there.
    OldRun,
    /// The lease in the order had expired when it arrived.
    Late,
    /// The worker has too little free capacity.
    NoRoom,
    /// The ticket is missing or has expired.
    NoTicket,
    /// The worker refused the order without any effect.
    Unhealthy,
    /// The worker cannot parse the order.
    Malformed,
    /// Another incarnation of the worker answered.
    OtherLife,
    /// The call got no usable answer; the planner assumes that it may still take effect.
    NoAnswer,
}

/// The outcome of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// The worker accepted it.
    Taken {
        /// When the stop was sent, on the planner's clock.
        sent_ms: u64,
        /// When the answer arrived, on the planner's clock.
        received_ms: u64,
    },
    /// The worker has received a call of a later planner.
    OlderTerm,
    /// Another incarnation of the worker answered.
    OtherLife,
    /// The call was unanswered, or its answer does not say whether the stop was accepted.
    NoAnswer,
}

/// A job's record to write to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordWrite {
    /// The job.
    pub job: JobId,
    /// The record.
    pub record: JobRecord,
    /// The parts of the record, if the job has many tasks.
    pub parts: Vec<RecordPart>,
    /// Whether the job has ended and nothing runs, so that its request can be deleted.
    pub over: bool,
}

/// What has to be stored before dependent orders and confirmations may be sent.
#[derive(Debug, Default)]
pub struct Flush {
    /// Records to write.
    pub writes: Vec<RecordWrite>,
    /// What the decisions under load rest on, if a successor would learn something new; goes along with the records.
    pub policy: Option<PolicyRecord>,
    /// Starts that may be sent afterwards, with their run numbers.
    pub(crate) starts: Vec<(TaskKey, u32)>,
    /// Ended runs that may be confirmed to workers afterwards.
    pub(crate) ends: Vec<StoredEnds>,
    /// Workers that no record says to be leaving afterwards.
    pub(crate) staying: Vec<WorkerKey>,
    /// What earlier planners have handed over and these records hold; it can be removed with them.
    pub taken_in: Vec<HandOverName>,
    /// Jobs that were cancelled before their submission; what the store has of them is to be removed some time later.
    pub unsubmitted: Vec<JobId>,
}

/// The ended runs of one incarnation of a worker, up to a number.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoredEnds {
    pub worker: WorkerKey,
    pub born_unix_ms: u64,
    pub number: u64,
}

impl Flush {
    /// Returns whether there is nothing to store, send or confirm.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.starts.is_empty()
            && self.ends.is_empty()
            && self.taken_in.is_empty()
            && self.unsubmitted.is_empty()
    }
}
