//! Gang jobs: submission, planning, and the job records that outlive a leader.
//!
//! One node of a data centre leads at a time. The others forward submissions, queries and
//! cancellations to it and keep copies of its records, from which the next leader starts.

mod copies;
mod drive;
mod hand_over;
mod planner;
mod record;
mod route;
mod status;
mod storage;

pub(crate) use copies::run_copies;
pub(crate) use drive::{Jobs, run_planner};
pub(crate) use planner::PlannerView;
pub(crate) use record::JobRecord;
pub(crate) use route::{
    cancel_at_leader, cancel_job, job_status, query_leader, submit_job, submit_to_leader,
};
pub(crate) use status::{JobReply, JobStatus, Submission, SubmitReply};
pub(crate) use storage::run_record_storage;
