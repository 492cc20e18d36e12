//! State machines that dispatch work to workers: gangs, once-only tickets, fencing and delivery.
//!
//! Each state machine takes messages and the time in milliseconds, and yields messages. None of
//! them does I/O, reads a clock or waits; randomness comes from a seed.

pub mod call;
pub mod delivery;
pub mod fencing;
pub mod gangs;
pub mod tickets;
