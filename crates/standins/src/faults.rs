//! Fault switches: the faults, the calls that switch them and the list of those that are on.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use thiserror::Error;

/// A fault that can be switched on and off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum FaultKind {
    /// The store refuses every call.
    StoreDown,
    /// The store delays every call.
    StoreSlow,
    /// Calls of the store take effect, but their replies are lost.
    StoreLostAnswers,
    /// A worker loses all its work; it returns with a new boot number.
    WorkerCrash,
    /// Every task and request that a worker starts fails.
    WorkerFailsAll,
    /// A worker refuses new work and is listed as leaving.
    WorkerLeaving,
    /// A worker makes no progress and answers no call, so its leases are not renewed.
    WorkerPaused,
    /// The connections that are open now stall for good.
    ConnectionsSilent,
    /// A worker runs requests, but resets their connections instead of answering.
    AnswersLost,
    /// No bytes pass between two places.
    Cut,
    /// An entry node is killed at once.
    NodeKill,
    /// An entry node is shut down as planned.
    NodeStop,
}

impl FaultKind {
    /// Returns whether the fault is a single event that is never listed as on.
    pub const fn is_momentary(self) -> bool {
        matches!(self, Self::ConnectionsSilent | Self::NodeStop)
    }
}

/// Unchecked call that switches a fault.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawFaultCall {
    fault: String,
    #[serde(default)]
    target: Option<String>,
    #[serde(default)]
    between: Option<Vec<String>>,
    #[serde(default = "switched_on")]
    on: bool,
}

/// Returns the default of `on`.
const fn switched_on() -> bool {
    true
}

/// Reason to refuse a call that switches a fault.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FaultError {
    /// The fault does not exist.
    #[error("there is no fault {name:?}")]
    UnknownFault {
        /// Name in the call.
        name: String,
    },
    /// The target does not exist or is not valid for the fault.
    #[error("{fault} has no target {target:?}: it takes {expected}")]
    UnknownTarget {
        /// The fault.
        fault: FaultKind,
        /// Target in the call.
        target: String,
        /// Valid targets of the fault.
        expected: &'static str,
    },
    /// A cut does not name two different places.
    #[error("cut takes \"between\" with two different places")]
    Between,
}

/// Checked call that switches a fault.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct FaultCall {
    /// The fault.
    pub fault: FaultKind,
    /// Target of the fault; empty for a cut.
    pub target: String,
    /// The two places of a cut.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub between: Option<[String; 2]>,
    /// Whether the fault is switched on or off.
    pub on: bool,
}

impl TryFrom<RawFaultCall> for FaultCall {
    type Error = FaultError;

    fn try_from(raw: RawFaultCall) -> Result<Self, FaultError> {
        let RawFaultCall {
            fault: name,
            target,
            between,
            on,
        } = raw;
        let fault = name
            .parse()
            .map_err(|_| FaultError::UnknownFault { name })?;
        let between = match (fault, between) {
            (FaultKind::Cut, Some(places)) => Some(check_places(places)?),
            (FaultKind::Cut, None) => return Err(FaultError::Between),
            _ => None,
        };
        Ok(Self {
            fault,
            target: target.unwrap_or_default(),
            between,
            on,
        })
    }
}

/// Checks that there are two different places and sorts them.
fn check_places(places: Vec<String>) -> Result<[String; 2], FaultError> {
    let mut pair: [String; 2] = places.try_into().map_err(|_| FaultError::Between)?;
    pair.sort();
    if pair[0] == pair[1] {
        return Err(FaultError::Between);
    }
    Ok(pair)
}

/// The faults that are on.
#[derive(Debug, Default)]
pub struct FaultList(Vec<FaultCall>);

impl FaultList {
    /// Records that a fault was switched.
    pub fn record(&mut self, call: &FaultCall) {
        self.0.retain(|on| !is_same_switch(on, call));
        if call.on && !call.fault.is_momentary() {
            self.0.push(call.clone());
        }
    }

    /// Returns the faults that are on, in the order in which they were switched on.
    pub fn active(&self) -> &[FaultCall] {
        &self.0
    }
}

/// Returns whether two calls switch the same fault.
fn is_same_switch(a: &FaultCall, b: &FaultCall) -> bool {
    a.fault == b.fault && a.target == b.target && a.between == b.between
}
