//! Messages between entry nodes.

use admission::UsageRow;
use declarations::ReplicaDigest;
use membership::peers::HeartbeatView;
use membership::workers::WorkerRow;
use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::http::NoAnswer;
use crate::members::Observation;
use crate::requests::{Answer, Outcome};

/// The state that a node reports to its peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Heartbeat {
    /// Sender, incarnation and sequence.
    pub(crate) view: HeartbeatView,
    /// Usage of the workers by the sender; empty for other data centres.
    pub(crate) use_rows: Vec<UsageRow>,
    /// Revision of the declarations that is active on the sender, and its age.
    pub(crate) declared: ReplicaDigest,
    /// Since when the sender has seen every change of the list of workers.
    pub(crate) observed: Observation,
    /// Issuers whose tickets the sender holds.
    pub(crate) held_tickets: Vec<(NodeName, Incarnation)>,
    /// Rows of the sender about workers; empty for other data centres.
    pub(crate) worker_rows: Vec<WorkerRow>,
}

/// Outcome of a request that another node ran.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RunOutcome {
    /// The worker answered.
    Answered(Answer),
    /// The work was not run.
    Refused(RefusalStatement),
    /// The work ran and failed.
    Failed(Failed),
    /// It is unknown whether the work ran.
    Unknown(OutcomeUnknown),
}

impl From<Outcome> for RunOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Ok(answer) => Self::Answered(answer),
            Err(NoAnswer::Refused(refused)) => Self::Refused(refused.into()),
            Err(NoAnswer::Failed(failed)) => Self::Failed(failed),
            Err(NoAnswer::Unknown(unknown)) => Self::Unknown(unknown),
        }
    }
}

impl From<RunOutcome> for Outcome {
    fn from(outcome: RunOutcome) -> Self {
        match outcome {
            RunOutcome::Answered(answer) => Ok(answer),
            RunOutcome::Refused(statement) => Err(NoAnswer::Refused(statement.into())),
            RunOutcome::Failed(failed) => Err(NoAnswer::Failed(failed)),
            RunOutcome::Unknown(unknown) => Err(NoAnswer::Unknown(unknown)),
        }
    }
}
