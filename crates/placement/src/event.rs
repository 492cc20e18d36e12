//! Events that placement takes, and decisions that it returns.

use model::prelude::*;

/// A worker as placement knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub name: WorkerName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Position in the rack, from 0; adjacent workers have consecutive positions.
    pub position: u32,
    /// Number of accelerators, 0 to 8.
    pub accelerators: u32,
}

/// Accelerators of one worker that one member of a gang holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedMember {
    /// Worker of the member.
    pub worker: WorkerName,
    /// Its accelerators on that worker.
    pub accelerators: AcceleratorMask,
}

/// An input of [`Placement::apply`](crate::Placement::apply).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Declarations are in force; they replace the earlier ones.
    Declared {
        /// Data centre that this instance plans.
        data_centre: DataCentreName,
        /// All organisations.
        organisations: Vec<OrganisationSpec>,
        /// All classes.
        classes: Vec<ClassSpec>,
    },
    /// A worker has joined, or an existing one has a new description.
    WorkerJoined(WorkerSpec),
    /// A worker takes no new work and will be removed.
    WorkerLeaving {
        /// The worker.
        name: WorkerName,
    },
    /// A leaving or lost worker takes work again.
    WorkerReturned {
        /// The worker.
        name: WorkerName,
    },
    /// A worker is lost with all its runs.
    WorkerLost {
        /// The worker.
        name: WorkerName,
    },
    /// A caller has submitted a job; a job that is already known is not added again.
    Submitted {
        /// The job.
        job: JobId,
        /// The submission.
        spec: JobSpec,
    },
    /// A caller has cancelled a job.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// A new leader has found a running job.
    Adopted {
        /// The job.
        job: JobId,
        /// The submission.
        spec: JobSpec,
        /// Accelerators that its members hold.
        members: Vec<PlacedMember>,
        /// Time since the run started, in milliseconds.
        run_ms: u64,
    },
    /// All members of a job are running.
    Started {
        /// The job.
        job: JobId,
    },
    /// The start of a gang has failed, and all its leases are released.
    StartFailed {
        /// The job.
        job: JobId,
        /// The worker that refused or failed, if it is known.
        worker: Option<WorkerName>,
    },
    /// One member of a running job is lost, possibly on a healthy worker.
    MemberLost {
        /// The job.
        job: JobId,
        /// Worker of the member.
        worker: WorkerName,
    },
    /// A running job has written a checkpoint.
    Checkpointed {
        /// The job.
        job: JobId,
        /// Share of its work that the checkpoint holds, in thousandths.
        permille: u32,
    },
    /// All members of a job have stopped after a [`Decision::Stop`].
    Stopped {
        /// The job.
        job: JobId,
        /// Share of its work that its last checkpoint holds, in thousandths.
        checkpoint_permille: u32,
    },
    /// A job has succeeded.
    Finished {
        /// The job.
        job: JobId,
    },
    /// A job has failed while it ran; all its members have ended.
    Failed {
        /// The job.
        job: JobId,
        /// The worker that caused the failure, if it is known.
        worker: Option<WorkerName>,
    },
}

/// Why a running job is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// An organisation claims its guaranteed shape, which the job occupies.
    Reclaimed,
    /// It is moved to free adjacent accelerators for a gang.
    Moved,
    /// It was backfilled on reserved accelerators and still runs when they are needed.
    Overrun,
    /// A worker of the gang is leaving.
    WorkerLeaving,
    /// A member of the gang is lost.
    MemberLost,
    /// Its caller has cancelled it.
    Cancelled,
    /// It did not stop within its grace period; the stop is repeated.
    GraceOver,
}

/// An action that the caller of [`Placement`](crate::Placement) has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Obtain leases for all members and start the gang.
    Start {
        /// The job.
        job: JobId,
        /// Accelerators of each member.
        members: Vec<PlacedMember>,
    },
    /// Stop all members of a job; a checkpointable job writes a checkpoint first.
    Stop {
        /// The job.
        job: JobId,
        /// Time between the request to checkpoint and the stop, in milliseconds.
        grace_ms: u64,
        /// Reason of the stop.
        why: StopReason,
    },
    /// Refuse a job that has never run.
    Refuse {
        /// The job.
        job: JobId,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Explanation for the caller.
        detail: String,
    },
    /// Fail a job that has been started before; it is not started again.
    Fail {
        /// The job.
        job: JobId,
        /// Explanation for the caller.
        detail: String,
    },
    /// Give a worker no new work until `until_ms`.
    Quarantine {
        /// The worker.
        worker: WorkerName,
        /// End of the quarantine, in milliseconds.
        until_ms: u64,
    },
    /// The quarantine of a worker has ended; its probation begins.
    Release {
        /// The worker.
        worker: WorkerName,
    },
    /// The healthy workers do not cover all guarantees of an organisation.
    Shortfall {
        /// Organisation whose guarantee is not covered.
        organisation: OrganisationName,
        /// Level of the missing blocks.
        level: Level,
        /// Number of missing blocks.
        missing: u32,
    },
    /// A reported shortfall is over.
    ShortfallEnded {
        /// Organisation whose guarantee is covered again.
        organisation: OrganisationName,
        /// Level of the blocks.
        level: Level,
    },
}
