//! Maintenance waves: never more machines down than allowed, and no machine forgotten.
//!
//! Guards against a machine counted as up because the list is older than the call that took it down, or because that
//! call was unanswered.

mod support;

use scheduler::prelude::*;
use scheduler::{Machine, MaintenanceOutcome, MaintenanceWave, WaveProgress};
use support::{Harness, job, step, stops};

fn machine(number: u32, incarnation: u32) -> Machine {
    Machine {
        name: format!("m-{number}"),
        up: incarnation > 0,
        worker: (incarnation > 0).then(|| format!("i-{number}-{incarnation}")),
    }
}

fn wave(machines: u32, most_down: usize) -> WaveProgress {
    let machines = (0..machines).map(|number| format!("m-{number}")).collect();
    WaveProgress::new(MaintenanceWave {
        number: 1,
        machines,
        most_down,
    })
}

#[test]
fn wave_keeps_to_most_down() {
    let mut wave = wave(3, 1);
    let all = [machine(0, 1), machine(1, 1), machine(2, 1)];
    assert_eq!(wave.choose_machines(&all), vec!["m-0"]);
    wave.record_outcome("m-0", Some(MaintenanceOutcome::Begun));
    wave.apply_machine_list(&all);
    assert!(
        wave.choose_machines(&all).is_empty(),
        "the list may be older than the call"
    );
    let down = [machine(0, 0), machine(1, 1), machine(2, 1)];
    wave.apply_machine_list(&down);
    assert!(wave.choose_machines(&down).is_empty());
    let back = [machine(0, 2), machine(1, 1), machine(2, 1)];
    wave.apply_machine_list(&back);
    assert_eq!(wave.choose_machines(&back), vec!["m-1"]);
    assert!(!wave.is_completed());
}

#[test]
fn wave_asks_again_after_no_answer() {
    let mut wave = wave(2, 1);
    let all = [machine(0, 1), machine(1, 1)];
    assert_eq!(wave.choose_machines(&all), vec!["m-0"]);
    wave.record_outcome("m-0", None);
    assert_eq!(
        wave.choose_machines(&all),
        vec!["m-0"],
        "the same machine, and it counts as down"
    );
}

#[test]
fn wave_completes_without_machines_that_are_gone() {
    let mut wave = wave(2, 2);
    let left = [machine(0, 1)];
    wave.apply_machine_list(&left);
    assert_eq!(wave.choose_machines(&left), vec!["m-0"]);
    assert!(!wave.is_completed());
    wave.record_outcome("m-0", Some(MaintenanceOutcome::Begun));
    assert!(wave.is_completed());
}

#[test]
fn wave_waits_for_machine_that_is_down_for_another_reason() {
    let mut wave = wave(2, 1);
    assert!(
        wave.choose_machines(&[machine(0, 0), machine(1, 1)])
            .is_empty()
    );
}

#[test]
fn worker_is_drained_before_its_machine_goes_down() {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .add_job(job(1, 1, vec![step(2, 1)]), 1, harness.now_ms);
    harness.start_all();
    assert_eq!(harness.planner.drain_worker("i-0", harness.now_ms), 2);
    assert_eq!(stops(&harness.plan()).len(), 2);
    harness.now_ms += 100;
    harness.report(0, vec![], vec![]);
    assert!(
        harness
            .plan()
            .iter()
            .all(|order| !matches!(order, Order::Start { .. })),
        "it gets no new work"
    );
}
