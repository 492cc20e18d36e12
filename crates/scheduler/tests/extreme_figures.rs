//! Figures at the ends of their ranges, as callers, workers and other writers may send them.
//!
//! Guards against a sum or product of such figures that overflows, which ends the planning or wraps to a small value.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{ActiveRun, Advice, AdviceAnswer, RunOutcome, StoredWorker, TaskRecord, Timing};
use support::{Harness, entry, job, limits, running, starts, step};

/// Groups that wait for room compare how long they waited with their estimate, stretch and goal.
#[rstest]
fn highest_estimate_stretch_and_goal_end_planning(
    #[values(0, 1, 2)] priority: u32,
    #[values(u64::MAX, u64::MAX / 2)] estimate_ms: u64,
    #[values(u64::MAX, u64::MAX / 50, 0)] goal_ms: u64,
    #[values(false, true)] gang: bool,
) {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .add_job(job(1, 2, vec![step(1, 8)]), 1, harness.now_ms);
    let started = harness.start_all();
    let waiting = StepSpec {
        estimate_ms,
        gang,
        one_rack: gang,
        data_rack: Some("rack-0".to_string()),
        ..step(1, 8)
    };
    let stored = StoredJob {
        stretch_percent: u32::MAX,
        goal_ms,
        ..job(2, priority, vec![waiting])
    };
    harness.planner.add_job(stored, 2, harness.now_ms);
    for _ in 0..3 {
        harness.now_ms += 1_000;
        harness.report(0, vec![running(&started[0])], vec![]);
        harness.plan();
    }
}

/// An occurrence that is due beyond the end of time must not become due at once.
#[rstest]
#[case::start(u64::MAX, 1)]
#[case::interval(u64::MAX - 1, u64::MAX)]
#[case::product(1, u64::MAX)]
fn occurrence_due_after_the_end_of_time_starts_at_once(
    #[case] start_at_unix_ms: u64,
    #[case] interval_ms: u64,
) {
    let mut harness = Harness::with_workers(1);
    let timing = Timing {
        times: 3,
        start_at_unix_ms,
        interval_ms,
    };
    let mut stored = job(1, 1, vec![step(1, 1)]);
    stored.request = JobRequest::check("text".to_string(), vec![step(1, 1)], timing).unwrap();
    harness.planner.add_job(stored, 1, harness.now_ms);
    let due = usize::from(start_at_unix_ms <= harness.now_ms);
    assert_eq!(starts(&harness.plan()).len(), due);
}

#[test]
fn highest_tail_latency_sets_wrong_pace() {
    let mut harness = Harness::with_workers(1);
    let serving = StepSpec {
        lasting: true,
        latency_target_ms: Some(100),
        ..step(1, 1)
    };
    let filling = StepSpec {
        fills: true,
        ..step(1, 1)
    };
    for (id, priority, step) in [(1, 0, serving), (2, 2, filling)] {
        harness
            .planner
            .add_job(job(id, priority, vec![step]), id, harness.now_ms);
    }
    let orders = harness.start_all();
    harness.now_ms += 2_000;
    let runs = orders
        .iter()
        .map(|order| ActiveRun {
            metric: u64::MAX,
            percent: u32::MAX,
            ..running(order)
        })
        .collect();
    harness.report(0, runs, vec![]);
    let paces = harness.plan();
    assert!(
        matches!(paces.as_slice(), [Order::Pace { percent: 25, .. }]),
        "{paces:?}"
    );
}

#[test]
fn ticket_valid_for_ever_counts_as_expired() {
    let mut harness = Harness::with_workers(1);
    let advice = Advice {
        decide_ms: u64::MAX,
        each_worker_ms: u64::MAX,
        valid_ms: u64::MAX,
    };
    let stored = StoredJob {
        advice: Some(advice),
        ..job(1, 0, vec![step(1, 8)])
    };
    harness.planner.add_job(stored, 1, harness.now_ms);
    let orders = harness.plan();
    let [Order::Ask { query, workers, .. }] = orders.as_slice() else {
        panic!("expected one advice query: {orders:?}")
    };
    let answer = AdviceAnswer {
        allowed: vec![(workers[0].clone(), "ticket".to_string())],
        valid_ms: u64::MAX,
        received_ms: harness.now_ms,
    };
    harness
        .planner
        .apply_advice(*query, Some(answer), harness.now_ms);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

/// A record of another writer may name the highest run; the planning of other jobs goes on.
#[rstest]
fn highest_run_in_a_record_ends_planning(#[values(false, true)] gang: bool) {
    let mut harness = Harness::with_workers(1);
    let stored = job(1, 1, vec![StepSpec { gang, ..step(2, 1) }]);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let (_, flush) = harness.plan_without_store();
    let mut record = flush.writes[0].record.clone();
    for task in &mut record.groups[0].units {
        *task = TaskRecord {
            run: u32::MAX,
            worker: Some(StoredWorker {
                id: "i-0".to_string(),
                born_unix_ms: entry(0).born_unix_ms,
                address: entry(0).address,
                leaving: false,
            }),
            ..TaskRecord::default()
        };
    }
    let mut next = Harness {
        planner: Planner::new(limits(), 20_000),
        now_ms: 20_000,
        workers: Vec::new(),
    };
    next.list(vec![entry(0)]);
    next.planner
        .restore_job(stored, Some(record), 1, next.now_ms);
    next.planner
        .add_job(job(2, 1, vec![step(1, 1)]), 2, next.now_ms);
    next.report(0, vec![], vec![]);
    assert!(starts(&next.plan()).contains(&(format!("{:016x}.0.0.0", 2), 1)));
}

/// Work is discarded when a run of the largest need that is accepted is lost after years.
#[test]
fn discarded_work_of_largest_run_ends_planning() {
    let largest = 1_000_000_000;
    let mut harness = Harness::with_workers(0);
    let mut giant = entry(0);
    giant.capacity = Resources {
        cpu_millis: largest,
        memory_mb: largest,
        accelerators: largest,
    };
    harness.list(vec![giant.clone()]);
    harness.report(0, vec![], vec![]);
    let whole = StepSpec {
        need: giant.capacity,
        ..step(1, 1)
    };
    harness
        .planner
        .add_job(job(1, 1, vec![whole]), 1, harness.now_ms);
    let started = harness.start_all();
    assert_eq!(started.len(), 1);
    harness.now_ms += 1 << 50;
    harness
        .planner
        .add_job(job(2, 0, vec![step(1, 1)]), 2, harness.now_ms);
    harness.report(0, vec![running(&started[0])], vec![]);
    harness.plan();
    let failed = support::ended(&started[0], 1, RunOutcome::Failed, "");
    harness.report(0, vec![], vec![failed]);
    harness.plan();
}
