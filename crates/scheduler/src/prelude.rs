//! The types that most users of this crate need.

pub use crate::{
    Configuration, HoldReport, JobId, JobRecord, JobRequest, JobState, Limits, Need, Order,
    Planner, StepSpec, StoredJob, TaskName, WorkerEntry, WorkerKey,
};
