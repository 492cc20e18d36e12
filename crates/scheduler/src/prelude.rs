//! The types that most users of this crate need.

pub use crate::{
    Configuration, JobId, JobRecord, JobRequest, JobState, Limits, Order, Planner, RenewalReport,
    Resources, StepSpec, StoredJob, TaskName, WorkerEntry, WorkerKey,
};
