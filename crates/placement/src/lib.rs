//! Placement of gang jobs on the accelerators of one data centre.
//!
//! [`Placement`] is pure decision code: it takes events and the current time and returns decisions.
//! It does no I/O, and the same events with the same seed give the same decisions.
//!
//! A guaranteed shape is a block of adjacent accelerators. A guarantee that is not in use is not
//! bound to a particular block; instead, at every level, the blocks that are free or held by
//! preemptible work must cover all guarantees that are not in use. A block is bound when a job of
//! the organisation starts within its guarantee; preemptible work in its way is stopped.

mod allocation;
mod blocks;
mod claim;
mod config;
mod defragment;
mod engine;
mod estimate;
mod event;
mod fit;
mod guarantees;
mod hardware;
mod health;
mod invariant;
mod job;
mod organisation;
mod queue;
mod rounds;
mod rows;
mod schedule;
mod submit;
mod topology;
mod victims;

pub use config::PlacementConfig;
pub use engine::Placement;
pub use event::{Decision, Event, PlacedMember, StopReason, WorkerSpec};
pub use guarantees::{GuaranteeFinding, check_guarantees};
pub use invariant::InvariantViolation;
pub use rows::{AcceleratorRow, GuaranteeRow, JobRow, WorkerRow};
pub use topology::WorkerState;
