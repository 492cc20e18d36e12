//! Outputs of the gang state machine: messages to send and events to act on.

use model::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::call::CallId;

/// Why a gang was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case", rename_all_fields = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StartFailure {
    /// A worker refused a step.
    Refused {
        /// Reason that the worker gave.
        why: LeaseRefusal,
    },
    /// A worker did not answer.
    WorkerUnreachable,
    /// A lease expired, or its worker restarted, before the start.
    LeaseLost,
    /// This node is not the planner, or its take-over is not complete.
    NotPlanner,
}

/// Members of a gang, by index: the worker and the accelerators of each.
pub type Members = Vec<(WorkerName, AcceleratorMask)>;

/// A message or an event of the gang state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GangOutput {
    /// Send these commands to the worker as one call.
    Call {
        /// Identifier of the call, for [`super::Gangs::on_replies`].
        call: CallId,
        /// The worker.
        worker: WorkerName,
        /// The commands, in order.
        commands: Vec<LeaseCommand>,
    },
    /// Query the worker's inventory.
    AskInventory {
        /// The worker.
        worker: WorkerName,
    },
    /// All members run.
    Started {
        /// The job.
        job: JobId,
    },
    /// The start has failed; no member has run or will run.
    StartFailed {
        /// The job.
        job: JobId,
        /// The worker on which it failed.
        worker: Option<WorkerName>,
        /// Reason of the failure.
        reason: StartFailure,
    },
    /// A member is lost and the others are being stopped; `Stopped` follows.
    MemberLost {
        /// The job.
        job: JobId,
        /// Worker of the lost member.
        worker: WorkerName,
    },
    /// All members have stopped, and not all of them had finished.
    Stopped {
        /// The job.
        job: JobId,
        /// Share of the work that every member has saved, in thousandths.
        checkpoint_permille: u32,
    },
    /// All members have finished.
    Finished {
        /// The job.
        job: JobId,
    },
    /// A member failed by itself and all other members have stopped.
    Failed {
        /// The job.
        job: JobId,
        /// Worker of the member that failed.
        worker: WorkerName,
    },
    /// A complete gang of an earlier term was found and is renewed from now on.
    Adopted {
        /// The job.
        job: JobId,
        /// The job as its caller submitted it.
        spec: JobSpec,
        /// Its members.
        members: Members,
        /// How long it has run; 0 while it is still being started.
        run_ms: u64,
    },
    /// An incomplete gang of an earlier term that may have run was found and is being stopped;
    /// `Stopped`, `Finished` or `Failed` follows.
    ///
    /// The leases of incomplete gangs that cannot have run are returned without a report.
    Partial {
        /// The job.
        job: JobId,
        /// The job as its caller submitted it.
        spec: JobSpec,
        /// The members that were found.
        members: Members,
    },
    /// A worker has seen a higher term, so another node is the planner; this one has stepped down.
    OldTerm {
        /// The highest term that the worker has seen.
        highest: PlannerTerm,
    },
    /// Tasks of a job of an earlier term have finished, and none of its tasks runs now.
    ///
    /// The job has finished if `members` is the number of its members.
    FoundFinished {
        /// The job.
        job: JobId,
        /// Number of members that finished.
        members: u32,
    },
    /// Every worker has reported its leases or is unreachable, and most have reported; starts are
    /// accepted.
    TakeOverDone,
    /// No unreachable worker can still hold a lease of an earlier term.
    ///
    /// A job of an earlier term that has not been reported since the take-over runs nowhere.
    Settled,
}
