//! Classes of work.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::name::ClassName;

/// Scheduling priority of a class.
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
pub enum Urgency {
    /// Starts before all other work and may displace waiting work.
    Urgent,
    /// Starts in the usual order.
    Normal,
    /// Starts only while no other work waits.
    Background,
}

/// Declared properties of a class of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: ClassName,
    /// Scheduling priority of its work.
    pub urgency: Urgency,
    /// Run time that its owner expects, in milliseconds.
    pub expected_run_ms: u64,
    /// Default deadline of a request, in milliseconds from its arrival.
    pub deadline_ms: u64,
    /// Time between a request to checkpoint and the stop, in milliseconds.
    pub grace_ms: u64,
    /// Whether a request may be run more than once without harm.
    pub idempotent: bool,
    /// Concurrency limit: largest number of requests of the class in flight in one data centre.
    pub in_flight_max: u32,
    /// Queue limit: largest number of requests of the class that wait in one entry node.
    pub queue_max: u32,
}

impl ClassSpec {
    /// Returns whether work of this class counts as short, for the headroom that is kept for short
    /// work.
    pub const fn is_short(&self) -> bool {
        self.expected_run_ms <= SHORT_RUN_MS_MAX
    }
}

/// Longest expected run time of a short class, in milliseconds.
pub const SHORT_RUN_MS_MAX: u64 = 2_000;
