//! What is kept of a job in the store: what was asked, and how far it has come.

use serde::{Deserialize, Serialize};

use crate::configuration::Advice;
use crate::job::JobState;
use crate::spec::JobRequest;
use crate::task::JobId;

/// A job as accepted; written once, by the node that accepts it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredJob {
    /// Its identifier.
    pub id: JobId,
    /// The queue that took it.
    pub queue: String,
    /// Whose key it came with; empty for a public queue.
    pub organisation: String,
    /// The service whose workers run it.
    pub service: String,
    /// 0 comes first.
    pub priority: u32,
    /// How many failed runs of a task are borne.
    pub attempts: u32,
    /// A job is on time if it takes at most this share of its longest chain of work, in hundredths, ...
    #[serde(default)]
    pub stretch_percent: u32,
    /// ... and this much more.
    #[serde(default)]
    pub goal_ms: u64,
    /// Who says which workers may run its steps, if the queue has such a policy.
    #[serde(default)]
    pub advice: Option<Advice>,
    /// What was asked.
    pub request: JobRequest,
}

/// How far a job has come; written by the planner alone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its state.
    pub state: JobState,
    /// The queue that took it.
    pub queue: String,
    /// Whose it is.
    #[serde(default)]
    pub organisation: String,
    /// When it ended, in Unix milliseconds; 0 before.
    #[serde(default)]
    pub ended_unix_ms: u64,
    /// One for each occurrence and step in which something was assigned; empty once all is over.
    #[serde(default)]
    pub groups: Vec<GroupRecord>,
}

/// The tasks of one step in one occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Which time the steps run.
    pub occurrence: u32,
    /// Which step.
    pub step: u32,
    /// Runs of the gang that failed.
    #[serde(default)]
    pub gang_failed: u32,
    /// One for each task, in order.
    pub units: Vec<TaskRecord>,
}

/// One task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskRecord {
    /// The highest run number given out.
    pub run: u32,
    /// Runs that failed.
    pub failed: u32,
    /// Whether it has ended as done.
    pub done: bool,
    /// The worker that may be running it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worker: Option<StoredWorker>,
    /// The last progress known to be saved.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub progress: String,
}

/// One life of a worker, as far as a later planner needs it to ask what runs there.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoredWorker {
    /// Its id; may serve several lives.
    pub id: String,
    /// When this life began, in Unix milliseconds.
    pub born_unix_ms: u64,
    /// Where it takes orders, as `IP:PORT`.
    pub address: String,
    /// Whether it had said that it leaves.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}
