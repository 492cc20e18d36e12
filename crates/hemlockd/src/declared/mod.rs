//! The declarations: what is in force on this node, how it spreads, and how it is changed.

mod edit;
mod plane;
mod revert;
mod snapshot;
mod spread;
mod watch;

pub use edit::EditError;
pub(crate) use edit::make_change;
pub(crate) use plane::DeclaredState;
pub(crate) use revert::{EarlierError, read_earlier};
pub(crate) use snapshot::{Principal, Snapshot};
pub(crate) use spread::pull_if_behind;
pub(crate) use watch::{is_watcher, run_watch};
