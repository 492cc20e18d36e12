//! Leases that workers grant on their accelerators, and the commands and replies about them.
//!
//! The states of a lease are `reserved` → `prepared` → `running` → `stopping`. A lease is gone when
//! it is returned, when its task ends, or when it expires because it was not renewed within its
//! duration.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::ident::{Incarnation, JobId, LeaseId, PlannerTerm, Ticket};
use crate::job::JobSpec;
use crate::name::NodeName;

/// Set of accelerators of one worker; bit `i` represents accelerator `i`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AcceleratorMask(pub u8);

impl AcceleratorMask {
    /// Returns the number of accelerators in the set.
    pub const fn count(self) -> u32 {
        self.0.count_ones()
    }

    /// Returns whether the two sets have an accelerator in common.
    pub const fn overlaps(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }

    /// Returns the indices of the accelerators in the set, lowest first.
    pub fn indices(self) -> impl Iterator<Item = u32> {
        (0..u8::BITS).filter(move |&index| self.0 & (1 << index) != 0)
    }
}

/// Order of a planner to a worker to change one lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseCommand {
    /// The lease to change.
    pub lease: LeaseId,
    /// Term of the planner.
    pub term: PlannerTerm,
    /// The operation.
    pub op: LeaseOp,
}

/// Operation on one lease; every operation is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", rename_all_fields = "snake_case")]
pub enum LeaseOp {
    /// Reserve accelerators for one member of a gang.
    Reserve {
        /// Job of the gang.
        job: JobId,
        /// Index of the member, from 0.
        member: u32,
        /// Number of members of the gang.
        members: u32,
        /// Accelerators of the member.
        accelerators: AcceleratorMask,
        /// Time after which the lease expires unless it is renewed.
        duration_ms: u64,
        /// The job as submitted, which a later planner needs to adopt it.
        spec: JobSpec,
    },
    /// Prepare the task without running it.
    Prepare,
    /// Run the prepared task.
    Release,
    /// Extend the lease.
    Renew {
        /// Time from now after which the lease expires unless it is renewed again.
        duration_ms: u64,
    },
    /// Save the state of the running task.
    Checkpoint,
    /// Limit the task to a share of its processors.
    Throttle {
        /// Share in percent, 1 to 100.
        percent: u8,
    },
    /// Stop the task after a grace period, and end the lease when it has stopped.
    Stop {
        /// Grace period within which the task may checkpoint.
        grace_ms: u64,
    },
    /// End the lease; a running task is stopped at once.
    Return,
}

/// State of a lease on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LeaseState {
    /// The accelerators are reserved; nothing runs.
    Reserved,
    /// The task is ready to run; nothing runs.
    Prepared,
    /// The task runs.
    Running,
    /// The task is being stopped.
    Stopping,
}

/// How a task ended, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TaskEnd {
    /// It ran to its end.
    Finished,
    /// It failed by itself.
    Failed,
    /// It was stopped by a planner.
    Stopped,
    /// Its lease was not renewed in time.
    Expired,
}

/// Answer of a worker to one [`LeaseCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", rename_all_fields = "snake_case")]
pub enum LeaseReply {
    /// The operation took effect.
    Granted {
        /// State of the lease after the operation.
        state: LeaseState,
        /// Share of the work that the last checkpoint saved, in thousandths.
        checkpoint_permille: u32,
    },
    /// The worker has no such lease, or no longer has it.
    Gone {
        /// How its task ended, if it had started.
        end: Option<TaskEnd>,
        /// Share of the work that the last checkpoint saved, in thousandths.
        checkpoint_permille: u32,
    },
    /// The operation was refused and had no effect.
    Refused {
        /// Reason of the refusal.
        why: LeaseRefusal,
    },
}

/// Why a worker refuses a lease command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case", rename_all_fields = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LeaseRefusal {
    /// The worker has seen a higher term.
    OldTerm {
        /// The highest term that it has seen.
        highest: PlannerTerm,
    },
    /// An accelerator is reserved by another lease.
    AcceleratorHeld,
    /// The worker is leaving and grants no new lease.
    Leaving,
    /// The task could not be prepared.
    PrepareFailed,
    /// The operation does not fit the state of the lease.
    WrongState,
    /// The worker does not have such accelerators.
    NoSuchAccelerator,
}

/// One lease in the inventory of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseView {
    /// The lease.
    pub lease: LeaseId,
    /// Job of the gang.
    pub job: JobId,
    /// Index of the member, from 0.
    pub member: u32,
    /// Number of members of the gang.
    pub members: u32,
    /// Accelerators of the member.
    pub accelerators: AcceleratorMask,
    /// State of the lease.
    pub state: LeaseState,
    /// Time left until the lease expires unless it is renewed.
    pub remaining_ms: u64,
    /// How long the task has run.
    pub run_ms: u64,
    /// Share of the work that the last checkpoint saved, in thousandths.
    pub checkpoint_permille: u32,
    /// The job as submitted, which a planner needs to adopt it.
    pub spec: JobSpec,
}

/// Ended run of a task that a worker still lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndedTask {
    /// Lease that the task ran under.
    pub lease: LeaseId,
    /// Job of the gang.
    pub job: JobId,
    /// Index of the member, from 0.
    pub member: u32,
    /// How it ended.
    pub end: TaskEnd,
}

/// State of a worker, as it reports it to a planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Time at which this incarnation of the worker started, in milliseconds since the Unix epoch;
    /// a later incarnation has lost the tasks of an earlier one.
    pub boot: u64,
    /// Highest planner term that the worker has seen.
    pub highest_term: PlannerTerm,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Number of request slots.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections_max: u32,
    /// Leases that it has granted and that are not gone.
    pub leases: Vec<LeaseView>,
    /// Ended runs that it still lists.
    pub ended: Vec<EndedTask>,
}

/// Order to a worker to refuse all further work of one incarnation of an entry node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FenceCommand {
    /// The node.
    pub node: NodeName,
    /// The incarnation; it and all lower ones are refused from now on.
    pub incarnation: Incarnation,
}

/// Answer of a worker to a [`FenceCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FenceReply {
    /// Tickets of the incarnation that the worker has seen.
    pub tickets_seen: Vec<Ticket>,
}
