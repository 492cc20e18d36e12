//! The stored form of a job: its request and its progress.

use serde::{Deserialize, Serialize};

use crate::configuration::Advice;
use crate::crashes::CrashCounts;
use crate::job::JobState;
use crate::spec::JobRequest;
use crate::task::JobId;

/// An accepted job; written once, by the node that accepts it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredJob {
    /// Identifier of the job.
    pub id: JobId,
    /// The queue that accepted it.
    pub queue: String,
    /// The organisation of the caller; empty for a public queue without a known key.
    pub organisation: String,
    /// The service whose workers run it.
    pub service: String,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs after which a task is not retried.
    pub attempts: u32,
    /// A job is on time if it takes no longer than this percentage of its longest chain of work, ...
    #[serde(default)]
    pub stretch_percent: u32,
    /// ... plus this time.
    #[serde(default)]
    pub goal_ms: u64,
    /// The policy that decides which workers may run its steps, if its queue has one.
    #[serde(default)]
    pub advice: Option<Advice>,
    /// The submitted request.
    pub request: JobRequest,
}

/// The progress of a job; written only by the planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// State of the job.
    pub state: JobState,
    /// The queue that accepted it.
    pub queue: String,
    /// The organisation of the caller; empty for a public queue without a known key.
    #[serde(default)]
    pub organisation: String,
    /// Whether it counts as begun; false while it is uncertain that anything of it has started.
    #[serde(default = "has_begun", skip_serializing_if = "is_true")]
    pub begun: bool,
    /// Whether the job was cancelled before any submission of it was stored, so that callers are shown no such job.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub unsubmitted: bool,
    /// When the job ended, in Unix milliseconds; 0 before that.
    #[serde(default)]
    pub ended_unix_ms: u64,
    /// One entry for each occurrence and step in which a task was assigned; empty once the job has ended and nothing
    /// runs, and if the job's tasks are stored in parts.
    #[serde(default)]
    pub groups: Vec<GroupRecord>,
}

/// The tasks of one step in one occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Occurrence of the steps, from 0.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Number of failed runs of the gang.
    #[serde(default)]
    pub gang_failed: u32,
    /// The latest failed run of the gang; 0 for none, or if an earlier version wrote the record.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub gang_failed_run: u32,
    /// Index of the first task; above 0 only in a part of a record.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub first: u32,
    /// When a task of the group was last assigned, in Unix milliseconds by the clock of the planner that did; 0 if that
    /// is not known.
    #[serde(default, skip_serializing_if = "is_zero_time")]
    pub placed_unix_ms: u64,
    /// The tasks, in order.
    pub units: Vec<TaskRecord>,
}

fn has_begun() -> bool {
    true
}

fn is_true(value: &bool) -> bool {
    *value
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

fn is_zero_time(unix_ms: &u64) -> bool {
    *unix_ms == 0
}

/// A part of the record of a job with many tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPart {
    /// Its number, from 1; part of its key.
    #[serde(skip)]
    pub number: u32,
    /// The tasks of some steps and occurrences.
    pub groups: Vec<GroupRecord>,
}

/// The progress of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskRecord {
    /// The highest run number assigned.
    pub run: u32,
    /// Number of failed runs.
    pub failed: u32,
    /// Workers lost under the task.
    #[serde(skip_serializing_if = "CrashCounts::is_zero")]
    pub crashes: CrashCounts,
    /// Whether the task is done.
    pub done: bool,
    /// The worker that may be running it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worker: Option<StoredWorker>,
    /// The last progress known to be saved; empty for none.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub progress: String,
}

/// An incarnation of a worker, with what a later planner needs to ask it what it runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoredWorker {
    /// Id of the worker; several incarnations may share it.
    pub id: String,
    /// When this incarnation began, in Unix milliseconds.
    pub born_unix_ms: u64,
    /// Address for orders, as `IP:PORT`.
    pub address: String,
    /// Whether the worker had announced that it leaves.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}
