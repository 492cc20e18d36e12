//! Messages about jobs, exchanged between nodes and returned to callers.

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// A job that is forwarded to the leader; the same one may arrive more than once.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Submission {
    /// Identifier of the job.
    pub(crate) job: JobId,
    /// The job as the caller specified it.
    pub(crate) spec: JobSpec,
}

/// Reply of the leader to a submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", rename_all_fields = "snake_case")]
pub(crate) enum SubmitReply {
    /// The job is accepted.
    Accepted {
        /// Whether the store holds its record.
        durable: bool,
    },
    /// The job is refused and will not run.
    Refused(RefusalStatement),
    /// No leader was found, or its take-over is not complete; retry.
    NotPlanner,
}

/// Status of a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JobStatus {
    /// Identifier of the job.
    pub(crate) job: JobId,
    /// Organisation that it runs for.
    pub(crate) organisation: OrganisationName,
    /// Class of the work.
    pub(crate) class: ClassName,
    /// State of the job.
    pub(crate) state: JobState,
    /// The workers and accelerators of its members.
    pub(crate) members: Vec<MemberView>,
    /// Total time that it has waited, in milliseconds.
    pub(crate) waited_ms: u64,
    /// Share of its work that its checkpoint covers, in thousandths.
    pub(crate) checkpoint_permille: u32,
    /// Whether the store holds its record.
    pub(crate) durable: bool,
    /// What it waits for, or why it ended as it did.
    pub(crate) why: String,
}

/// Reply to a status query or a cancellation.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum JobReply {
    /// The job is known.
    Known(Box<JobStatus>),
    /// The job is not known.
    NotFound,
    /// No leader was found, or its take-over is not complete; retry.
    NotPlanner,
}
