//! A node on the platform: takes callers' jobs, answers for them, and plans while it holds the lead.
//!
//! [`serve`] runs a node until it is stopped. What lasts is kept in the platform's store under the keys of [`keys`];
//! the decisions are those of the `scheduler` package.

mod call;
mod clock;
mod configuration;
mod contact;
mod flush;
mod follow;
mod holds;
mod intake;
mod job_calls;
mod keys;
mod lead;
mod listeners;
mod listing;
mod log;
mod metrics;
mod node;
mod orders;
mod own;
mod peers;
mod reply;
mod requests;
mod serve;
mod settings;
mod stop;
mod takeover;
mod term;
mod upkeep;

pub use listeners::Listeners;
pub use log::Log;
pub use metrics::{Counter, Metrics, Timing};
pub use node::NodeError;
pub use serve::{ServeError, serve, serve_on};
pub use settings::{Finding, Settings};
