//! Membership: which entry nodes are alive and plan, and which workers take new work.
//!
//! Its state machines take heartbeats, the platform's lists, refusals, drain commands and the time
//! in milliseconds, and yield events. They do no I/O and read no clock.

pub mod peers;
pub mod rendezvous;
pub mod workers;
