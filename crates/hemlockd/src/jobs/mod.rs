//! Gang jobs: submission, planning, and the records that outlive a planner.
//!
//! One node of a data centre plans at a time. The others pass submissions and questions to it and
//! keep copies of its records, from which a new planner starts.

mod book;
mod copies;
mod drive;
mod hand_over;
mod planner;
mod records;
mod route;
mod status;

pub(crate) use book::JobRecord;
pub(crate) use copies::run_copies;
pub(crate) use drive::{Jobs, run_planner};
pub(crate) use planner::PlannerView;
pub(crate) use records::run_record_storage;
pub(crate) use route::{
    cancel_at_leader, cancel_job, job_status, query_leader, submit_job, submit_to_leader,
};
pub(crate) use status::{JobReply, JobStatus, Submission, SubmitReply};
