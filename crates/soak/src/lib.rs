//! A soak of the real programs: plays sites of separate processes on loopback under faults drawn from a seed, and checks
//! the promises by what callers, workers and the store saw.

mod addresses;
mod advice;
mod attempts;
mod callers;
mod check;
mod claims;
mod doubts;
mod failures;
mod faults;
mod idle;
mod link;
mod outages;
mod plan;
mod play;
mod process;
mod site;
mod story;

pub use callers::{Asked, CallRecord, Confirmed};
pub use check::{Broken, Observed};
pub use claims::Claim;
pub use link::{Link, LinkState};
pub use plan::{Fault, FaultKind, Plan, PlannedJob};
pub use play::{Outcome, PlayError, PlayOptions, play};
pub use site::{Incident, Programs};
