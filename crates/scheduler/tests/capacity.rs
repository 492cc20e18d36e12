//! Workers whose capacity shrinks and grows while they run.
//!
//! Guards against starts that bring a worker over its present capacity, stops that a smaller capacity does not call
//! for, and tasks that are not started once there is room again.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use support::{Harness, entry, job, starts, step};

/// Returns a worker with this many accelerators, and otherwise with the usual capacity.
fn resized(number: u32, accelerators: i64) -> WorkerEntry {
    let mut entry = entry(number);
    entry.capacity.accelerators = accelerators;
    entry
}

fn add_job(harness: &mut Harness, id: u64, priority: u32, step: StepSpec) {
    harness
        .planner
        .add_job(job(id, priority, vec![step]), id, harness.now_ms);
}

#[rstest]
#[case::shrunk(4)]
#[case::grown(16)]
fn changed_capacity_is_planned_with_at_once(#[case] accelerators: i64) {
    let mut harness = Harness::with_workers(1);
    harness.plan();
    assert!(!harness.planner.has_changed());
    harness.list(vec![entry(0)]);
    assert!(!harness.planner.has_changed());
    harness.list(vec![resized(0, accelerators)]);
    assert!(harness.planner.has_changed());
    add_job(&mut harness, 1, 1, step(32, 1));
    assert_eq!(starts(&harness.plan()).len() as i64, accelerators);
}
