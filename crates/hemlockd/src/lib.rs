//! The entry-node daemon as a library: serves callers and operators over HTTP, calls the other
//! entry nodes over tarpc, and calls the workers and the platform over HTTP.

mod byte_budget;
mod clock;
mod console;
mod declared;
pub mod dev;
mod dev_check;
mod http;
mod jobs;
mod members;
mod node;
mod peers;
mod requests;
pub mod settings;
mod telemetry;

pub use declared::EditError;
pub use node::{Node, StartError};
pub use telemetry::logs::start as start_logs;
pub use telemetry::metrics::counter_names;
