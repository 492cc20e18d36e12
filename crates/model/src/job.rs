//! Gang jobs: the submission of a caller and the states that are reported to it.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use thiserror::Error;

use crate::ident::Ticket;
use crate::name::{ClassName, OrganisationName, WorkerName};
use crate::shape::ACCELERATORS_PER_WORKER;

/// Largest number of members of one gang.
pub const GANG_MEMBERS_MAX: u32 = 128;

/// Largest number of accelerators of one gang.
pub const GANG_ACCELERATORS_MAX: u32 = 128;

/// Placement constraint: the extent within which all members of a gang have to be placed.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Adjacency {
    /// All members on one worker.
    Worker,
    /// All members in one rack.
    Rack,
    /// All members in one data centre.
    DataCentre,
}

/// Why the shape of a gang is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum GangShapeError {
    /// The number of members is out of range.
    #[error("a gang has 1 to {GANG_MEMBERS_MAX} members, not {members}")]
    Members {
        /// The requested number.
        members: u32,
    },
    /// The number of accelerators of a member is out of range.
    #[error(
        "a member has 1 to {ACCELERATORS_PER_WORKER} accelerators, not {accelerators_per_member}"
    )]
    AcceleratorsPerMember {
        /// The requested number.
        accelerators_per_member: u32,
    },
    /// The gang as a whole is too large.
    #[error("a gang has at most {GANG_ACCELERATORS_MAX} accelerators, not {accelerators}")]
    Accelerators {
        /// The requested number.
        accelerators: u32,
    },
}

/// Unchecked shape of a gang, as a caller submits it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawGangShape {
    /// Number of members.
    pub members: u32,
    /// Accelerators of each member.
    pub accelerators_per_member: u32,
    /// Placement constraint of the members.
    pub adjacency: Adjacency,
}

/// Checked shape of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "RawGangShape", into = "RawGangShape")]
pub struct GangShape {
    members: u32,
    accelerators_per_member: u32,
    adjacency: Adjacency,
}

impl GangShape {
    /// Returns the number of members.
    pub const fn members(self) -> u32 {
        self.members
    }

    /// Returns the accelerators of each member, all on one worker.
    pub const fn accelerators_per_member(self) -> u32 {
        self.accelerators_per_member
    }

    /// Returns the placement constraint of the members.
    pub const fn adjacency(self) -> Adjacency {
        self.adjacency
    }

    /// Returns the number of accelerators of all members together.
    pub const fn accelerators(self) -> u32 {
        self.members * self.accelerators_per_member
    }
}

impl TryFrom<RawGangShape> for GangShape {
    type Error = GangShapeError;

    fn try_from(raw: RawGangShape) -> Result<Self, GangShapeError> {
        let RawGangShape {
            members,
            accelerators_per_member,
            adjacency,
        } = raw;
        if members == 0 || members > GANG_MEMBERS_MAX {
            return Err(GangShapeError::Members { members });
        }
        if accelerators_per_member == 0 || accelerators_per_member > ACCELERATORS_PER_WORKER {
            return Err(GangShapeError::AcceleratorsPerMember {
                accelerators_per_member,
            });
        }
        let accelerators = members * accelerators_per_member;
        if accelerators > GANG_ACCELERATORS_MAX {
            return Err(GangShapeError::Accelerators { accelerators });
        }
        Ok(Self {
            members,
            accelerators_per_member,
            adjacency,
        })
    }
}

impl From<GangShape> for RawGangShape {
    fn from(shape: GangShape) -> Self {
        Self {
            members: shape.members,
            accelerators_per_member: shape.accelerators_per_member,
            adjacency: shape.adjacency,
        }
    }
}

/// A gang job as a caller submits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Class of the work.
    pub class: ClassName,
    /// Organisation that it runs for.
    pub organisation: OrganisationName,
    /// Shape of the gang.
    pub gang: GangShape,
    /// Run time that the caller expects, in milliseconds.
    pub run_ms_declared: u64,
    /// Whether its tasks can be checkpointed and moved.
    #[serde(default)]
    pub checkpointable: bool,
    /// Permission to run once; a second submission with the same ticket is the same job.
    #[serde(default)]
    pub ticket: Option<Ticket>,
    /// Opaque text that is passed to every task.
    #[serde(default)]
    pub input: String,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    /// It waits for accelerators.
    Waiting,
    /// Its leases are being reserved and its tasks prepared.
    Starting,
    /// All its members run.
    Running,
    /// Its members are being stopped.
    Stopping,
    /// It ran to its end.
    Finished,
    /// It ran and failed, or can never run.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns whether the job will not change its state again.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled)
    }
}

/// Accelerators that one member of a gang holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberView {
    /// Worker of the member.
    pub worker: WorkerName,
    /// Indices of its accelerators on that worker, from 0.
    pub accelerators: Vec<u32>,
}
