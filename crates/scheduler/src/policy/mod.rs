//! Decisions under load, each in a module with its own state and types.
//!
//! A part knows neither the planner nor its passes: values go in, a decision with its reasons comes out. The planner
//! keeps the state of all parts in one [`Policy`], feeds it, and carries out what it decides. What a successor needs of
//! that state is written to the store as [`SharesRecord`] and [`LearnedRecord`].

pub(crate) mod availability;
pub(crate) mod departures;
pub(crate) mod durations;
pub(crate) mod failures;
pub(crate) mod guarantees;
pub(crate) mod interference;
pub(crate) mod machine;
mod memory;
pub(crate) mod shares;
pub(crate) mod speeds;
pub(crate) mod stragglers;

pub use durations::DurationsRecord;
pub(crate) use failures::Health;
pub use interference::{InterferenceRecord, PairRecord};
pub use memory::{LearnedRecord, PolicyRecord};
pub use shares::SharesRecord;
pub use speeds::SpeedsRecord;

use departures::Departures;
use durations::Durations;
use failures::Failures;
use interference::Interference;
use memory::Memory;
use shares::Shares;
use speeds::Speeds;

/// The state of all parts.
#[derive(Debug, Default)]
pub(crate) struct Policy {
    /// What each organisation holds and has lately had.
    pub shares: Shares,
    /// How long work takes.
    pub durations: Durations,
    /// How fast machines are.
    pub speeds: Speeds,
    /// The latest failures of each service.
    pub failures: Failures,
    /// What was decided about work whose worker is expected to go.
    pub departures: Departures,
    /// Which work slows which other work down.
    pub interference: Interference,
    memory: Memory,
}
