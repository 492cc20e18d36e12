//! The interface between entry nodes: tarpc over TCP.

mod client;
mod messages;
mod server;
mod service;

pub(crate) use client::{PeerCallError, Peers};
pub(crate) use messages::{Heartbeat, RunOutcome};
pub(crate) use server::serve;
