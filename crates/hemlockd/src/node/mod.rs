//! One entry node: its shared state, its background tasks and its planned stop.

mod lifecycle;
mod shared;

pub use lifecycle::{Node, StartError};
pub(crate) use shared::{OpenRequest, Shared};
