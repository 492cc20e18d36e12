//! Admission control: decides which request is sent to which worker and when, and which requests
//! are rejected or offered to another data centre.
//!
//! [`Admission`] is the decision code of one entry node. It is pure: it takes events and the
//! current time and returns [`Decision`]s. The entry nodes of a data centre use the same workers
//! without shared state: each sends its counts to the others as [`UsageRow`]s, and workers refuse
//! requests beyond their slots.

mod attempt;
mod config;
mod core;
mod declare;
mod estimate;
mod lane;
mod offer;
mod poll;
mod queue;
mod request;
mod retry;
mod rows;
mod share;
mod timer;
mod types;
mod view;
mod worker;

pub use crate::config::AdmissionConfig;
pub use crate::core::Admission;
pub use crate::types::{
    AttemptEnd, Decision, Offer, QueueView, Rejection, RequestKey, UsageRow, UsageSubject,
    WorkerCondition, WorkerKey, WorkerView,
};
