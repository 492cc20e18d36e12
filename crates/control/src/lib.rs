//! A node on the platform: accepts callers' jobs, answers questions about them, and plans while it is the leader.
//!
//! [`serve`] runs a node until it is stopped. Durable state is kept in the platform's store under the keys listed in
//! `keys`; scheduling decisions are made by the `scheduler` package.

mod advice;
mod body;
mod byte_budget;
mod call;
mod cancels;
mod charged_stream;
mod clock;
mod configuration;
mod configuration_cache;
mod door;
mod hand_over;
mod intake;
mod job_calls;
mod jobs_api;
mod keys;
mod lead;
mod lead_preference;
mod lease_renewal;
mod listeners;
mod listing;
mod log;
mod maintenance;
mod metrics;
mod node;
mod orders;
pub mod outage;
mod peers;
mod planner_counts;
pub mod polling;
mod record_writer;
mod reply;
mod request_watch;
mod requests;
pub mod returns;
mod serve;
mod settings;
mod settle;
mod stop;
mod takeover;
mod term;

pub use listeners::Listeners;
pub use log::Log;
pub use metrics::{Counter, Metrics, Timing};
pub use node::NodeError;
pub use serve::{ServeError, serve, serve_on};
pub use settings::{Finding, Settings};
