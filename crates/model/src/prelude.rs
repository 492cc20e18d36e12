//! Re-exports of the types that most packages use.

pub use crate::class::{ClassSpec, Urgency};
pub use crate::finding::{Finding, Findings, Place};
pub use crate::ident::{Incarnation, JobId, LeaseId, PlannerTerm, Revision, Ticket, WorkId};
pub use crate::job::{Adjacency, GangShape, JobSpec, JobState, MemberView};
pub use crate::lease::{
    AcceleratorMask, EndedTask, FenceCommand, FenceReply, Inventory, LeaseCommand, LeaseOp,
    LeaseRefusal, LeaseReply, LeaseState, LeaseView, TaskEnd,
};
pub use crate::name::{
    ClassName, DataCentreName, NodeName, OrganisationName, RackName, RegionName, WorkerName,
};
pub use crate::organisation::{Guarantee, OrganisationSpec, Quota, Role, TokenDigest};
pub use crate::outcome::{
    Attempt, Failed, NotRunProof, OutcomeUnknown, RefusalStatement, Refused, Sent, Unsent,
    WorkerRefusal, WorkerRefusalReason,
};
pub use crate::reason::{FailureReason, RefusalReason, RetryReason, UnknownReason};
pub use crate::shape::{ACCELERATORS_PER_WORKER, Level, WORKERS_PER_RACK};
pub use crate::work::{AnswerDefect, ContentDigest, RunAnswer, RunReply, RunRequest, WorkStatus};
