//! The types that nearly every user of this crate needs.

pub use crate::{
    Configuration, HoldReport, JobId, JobRecord, JobRequest, JobState, Limits, Need, Order,
    Planner, StepSpec, StoredJob, TaskName, WorkerEntry, WorkerKey,
};
