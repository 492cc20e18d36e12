//! The declarations: the revision that is active on this node, its propagation between nodes, and
//! changes.

mod edit;
mod propagate;
mod revert;
mod snapshot;
mod state;
mod watch;

pub use edit::EditError;
pub(crate) use edit::make_change;
pub(crate) use propagate::pull_if_behind;
pub(crate) use revert::{EarlierError, read_earlier};
pub(crate) use snapshot::{Principal, Snapshot};
pub(crate) use state::DeclaredState;
pub(crate) use watch::{is_watcher, run_watch};
