//! Urgent work that waits for capacity holds other work back only where it gets that capacity soon.
//!
//! Guards against workers that stay idle, in part or whole, for as long as an urgent group waits for work that runs for
//! long.

mod support;

use rstest::rstest;
use scheduler::RunOutcome;
use scheduler::prelude::*;
use support::{Harness, ended, job, running, starts, step, worker_of};

/// Run time of work that occupies workers for long.
const LONG_MS: u64 = 70_000;

/// Tasks that could run must not wait this long while most of the capacity is idle.
const LONGEST_WAIT_MS: u64 = 3_000;

/// Time between two planning passes.
const PASS_MS: u64 = 100;

/// Reports the runs as in progress, with their completed share, and returns the orders of a pass.
fn advance(harness: &mut Harness, runs: &[Order], percent: u32) -> Vec<Order> {
    harness.now_ms += PASS_MS;
    for index in 0..harness.workers.len() {
        let in_progress = runs
            .iter()
            .filter(|run| worker_of(run) == harness.workers[index])
            .map(|run| scheduler::ActiveRun {
                percent,
                ..running(run)
            });
        let in_progress = in_progress.collect();
        harness.report(index, in_progress, vec![]);
    }
    harness.start_all()
}

/// Returns a step whose tasks run for long, one on each worker.
fn long_step(count: u32, accelerators: i64) -> StepSpec {
    StepSpec {
        estimate_ms: LONG_MS,
        most_per_worker: 1,
        ..step(count, accelerators)
    }
}

/// Guards against LOST: an urgent gang that waits has all of its workers kept idle, however long it waits.
#[rstest]
#[case::next_priority(1, false)]
#[case::lasting(1, true)]
#[case::lowest_priority(3, false)]
fn work_starts_beside_urgent_gang_that_waits_for_long_work(
    #[case] priority: u32,
    #[case] lasting: bool,
) {
    let mut harness = Harness::with_workers(16);
    let add = |harness: &mut Harness, stored: StoredJob, order: u64| {
        harness.planner.add_job(stored, order, harness.now_ms);
    };
    add(&mut harness, job(1, 2, vec![long_step(16, 1)]), 1);
    let mut runs = harness.start_all();
    assert_eq!(starts(&runs).len(), 16);
    for _ in 0..150 {
        advance(&mut harness, &runs, 20);
    }
    let gang = StepSpec {
        gang: true,
        ..step(16, 8)
    };
    add(&mut harness, job(2, 0, vec![gang]), 2);
    assert_eq!(starts(&advance(&mut harness, &runs, 20)).len(), 0);
    let other = StepSpec {
        lasting,
        ..step(1, 1)
    };
    for number in 3..6 {
        add(
            &mut harness,
            job(number, priority, vec![other.clone()]),
            number,
        );
    }
    let mut started = 0;
    for _ in 0..LONGEST_WAIT_MS / PASS_MS {
        let orders = advance(&mut harness, &runs, 20);
        started += starts(&orders).len();
        runs.extend(orders);
    }
    assert_eq!(started, 3, "112 of 128 accelerators are idle");
}

/// Returns two workers that long work occupies, each whole, and an urgent gang and other work that wait for them.
fn occupied_workers(percent: u32) -> (Harness, Vec<Order>) {
    let mut harness = Harness::with_workers(2);
    harness
        .planner
        .add_job(job(1, 2, vec![long_step(2, 8)]), 1, harness.now_ms);
    let runs = harness.start_all();
    for _ in 0..400 {
        advance(&mut harness, &runs, percent);
    }
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    harness
        .planner
        .add_job(job(2, 0, vec![gang]), 2, harness.now_ms);
    harness
        .planner
        .add_job(job(3, 1, vec![step(1, 8)]), 3, harness.now_ms);
    assert_eq!(starts(&advance(&mut harness, &runs, percent)).len(), 0);
    (harness, runs)
}

/// Ends the first run, and returns the starts of a pass.
fn end_first(harness: &mut Harness, runs: &mut Vec<Order>, percent: u32) -> Vec<(String, u32)> {
    let run = runs.remove(0);
    let index = harness
        .workers
        .iter()
        .position(|worker| *worker == worker_of(&run))
        .unwrap();
    let done = ended(&run, 1, RunOutcome::Done, "");
    harness.report(index, vec![], vec![done]);
    starts(&advance(harness, runs, percent))
}

/// Other work that takes what the first of the runs frees would make the urgent group wait for longer.
#[rstest]
#[case::second_run_ends_soon(99)]
#[case::half_is_in_use(20)]
fn urgent_gang_keeps_capacity_that_becomes_free(#[case] percent: u32) {
    let (mut harness, mut runs) = occupied_workers(percent);
    assert_eq!(end_first(&mut harness, &mut runs, percent).len(), 0);
    let started = end_first(&mut harness, &mut runs, percent);
    assert_eq!(started.len(), 2);
    let is_urgent = |name: &str| name.starts_with("0000000000000002");
    assert!(started.iter().all(|(name, _)| is_urgent(name)));
}

/// Guards against capacity kept for an urgent job that is worth nothing any more: it took three times the time within
/// which it would be on time.
#[test]
fn urgent_gang_that_is_too_late_holds_nothing_back() {
    let (mut harness, mut runs) = occupied_workers(20);
    assert_eq!(end_first(&mut harness, &mut runs, 20).len(), 0);
    let too_late_ms = 3 * (2_000 * 150 / 100 + 400);
    let mut started = Vec::new();
    for _ in 0..too_late_ms / PASS_MS {
        let orders = advance(&mut harness, &runs, 20);
        started.extend(starts(&orders));
        runs.extend(orders);
    }
    assert_eq!(started.len(), 1);
    assert!(started[0].0.starts_with("0000000000000003"));
}
