//! Workers whose capacity shrinks and grows while they run.
//!
//! Guards against starts that bring a worker over its present capacity, stops that a smaller capacity does not call
//! for, and tasks that are not started once there is room again.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{ActiveRun, RunOutcome, StartOutcome};
use support::{Harness, ended, entry, job, running, starts, step, stops, worker_of};

/// Returns a worker with this many accelerators, and otherwise with the usual capacity.
fn resized(number: u32, accelerators: i64) -> WorkerEntry {
    let mut entry = entry(number);
    entry.capacity.accelerators = accelerators;
    entry
}

fn gang(count: u32, accelerators: i64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accelerators)
    }
}

fn add_job(harness: &mut Harness, id: u64, priority: u32, step: StepSpec) {
    harness
        .planner
        .add_job(job(id, priority, vec![step]), id, harness.now_ms);
}

#[test]
fn unsent_start_on_worker_that_shrank_is_withdrawn() {
    let mut harness = Harness::with_workers(1);
    add_job(&mut harness, 1, 1, step(1, 8));
    let (_, flush) = harness.plan_without_store();
    harness.list(vec![resized(0, 4)]);
    harness.planner.complete_flush(flush, harness.now_ms);
    assert_eq!(starts(&harness.take_orders()), vec![]);
    assert_eq!(starts(&harness.plan()), vec![]);
    harness.list(vec![entry(0)]);
    assert_eq!(
        starts(&harness.plan()),
        vec![(format!("{:016x}.0.0.0", 1), 2)]
    );
}

#[test]
fn unsent_starts_on_worker_that_shrank_are_withdrawn_least_urgent_first() {
    let mut harness = Harness::with_workers(1);
    for (id, priority) in [(1, 2), (2, 0), (3, 1), (4, 1)] {
        add_job(&mut harness, id, priority, step(1, 2));
    }
    let (_, flush) = harness.plan_without_store();
    harness.list(vec![resized(0, 4)]);
    harness.planner.complete_flush(flush, harness.now_ms);
    assert_eq!(
        starts(&harness.take_orders()),
        vec![
            (format!("{:016x}.0.0.0", 2), 1),
            (format!("{:016x}.0.0.0", 3), 1)
        ]
    );
}

#[test]
fn unsent_gang_is_withdrawn_whole_if_one_worker_shrank() {
    let mut harness = Harness::with_workers(2);
    add_job(&mut harness, 1, 1, gang(2, 8));
    let (_, flush) = harness.plan_without_store();
    harness.list(vec![entry(0), resized(1, 7)]);
    harness.planner.complete_flush(flush, harness.now_ms);
    assert_eq!(starts(&harness.take_orders()), vec![]);
    assert_eq!(starts(&harness.plan()), vec![]);
    harness.list(vec![entry(0), entry(1)]);
    let again = starts(&harness.plan());
    assert_eq!(
        again.iter().map(|(_, run)| *run).collect::<Vec<_>>(),
        [2, 2]
    );
}

#[test]
fn start_held_back_until_worker_shrank_is_not_sent() {
    let mut harness = Harness::with_workers(1);
    add_job(&mut harness, 1, 1, step(1, 8));
    let orders = harness.plan();
    harness.list(vec![resized(0, 4)]);
    assert_eq!(starts(&harness.send_held_back(orders)), vec![]);
    assert_eq!(harness.plan(), vec![]);
    harness.list(vec![entry(0)]);
    let again = harness.plan();
    assert_eq!(harness.send_held_back(again).len(), 1);
}

#[test]
fn gang_held_back_until_one_worker_shrank_is_not_sent() {
    let mut harness = Harness::with_workers(2);
    add_job(&mut harness, 1, 1, gang(2, 8));
    let orders = harness.plan();
    harness.list(vec![entry(0), resized(1, 7)]);
    assert_eq!(starts(&harness.send_held_back(orders)), vec![]);
    assert_eq!(harness.plan(), vec![]);
    harness.list(vec![entry(0), entry(1)]);
    let again = harness.plan();
    assert_eq!(harness.send_held_back(again).len(), 2);
}

#[test]
fn unanswered_start_on_worker_that_shrank_is_stopped_instead_of_repeated() {
    let mut harness = Harness::with_workers(2);
    add_job(&mut harness, 1, 1, step(1, 8));
    let orders = harness.plan();
    let at = harness
        .workers
        .iter()
        .position(|worker| *worker == worker_of(&orders[0]))
        .unwrap();
    let sent = harness.send_held_back(orders);
    harness.report_start_outcome(&sent[0], StartOutcome::NoAnswer);
    let repeated = harness.take_orders();
    let mut entries = vec![entry(0), entry(1)];
    entries[at].capacity.accelerators = 4;
    harness.list(entries);
    assert_eq!(starts(&harness.send_held_back(repeated)), vec![]);
    let after = harness.plan();
    assert_eq!(
        (starts(&after), stops(&after)),
        (vec![], vec![(format!("{:016x}.0.0.0", 1), 1)]),
        "the unanswered call may still take effect"
    );
}

#[test]
fn unanswered_start_on_worker_that_is_no_longer_listed_is_stopped_instead_of_repeated() {
    let mut harness = Harness::with_workers(1);
    add_job(&mut harness, 1, 1, step(1, 8));
    let orders = harness.plan();
    let sent = harness.send_held_back(orders);
    harness.report_start_outcome(&sent[0], StartOutcome::NoAnswer);
    let repeated = harness.take_orders();
    harness.list(vec![]);
    assert_eq!(starts(&harness.send_held_back(repeated)), vec![]);
    assert_eq!(
        stops(&harness.plan()),
        vec![(format!("{:016x}.0.0.0", 1), 1)],
        "its capacity is not known any more"
    );
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

#[test]
fn unknown_run_found_on_shrunk_worker_still_fills_it_once_it_has_grown() {
    let mut harness = Harness::with_workers(1);
    add_job(&mut harness, 1, 1, step(1, 1));
    let order = harness.start_all().remove(0);
    let unknown = ActiveRun {
        task: format!("{:016x}.0.0.0", 99).parse().unwrap(),
        ..running(&order)
    };
    let mut shrunk = resized(0, 0);
    shrunk.capacity = Resources::default();
    harness.list(vec![shrunk]);
    harness.report(0, vec![running(&order), unknown], vec![]);
    harness.list(vec![entry(0)]);
    add_job(&mut harness, 2, 1, step(1, 1));
    assert_eq!(starts(&harness.plan()), vec![]);
    harness.report(0, vec![running(&order)], vec![]);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

#[rstest]
#[case::needs_accelerators(step(1, 1))]
#[case::needs_none(step(1, 0))]
#[case::uses_idle_processors(StepSpec { fills: true, ..step(1, 0) })]
fn worker_below_what_runs_there_gets_nothing_and_keeps_its_runs(#[case] more: StepSpec) {
    let mut harness = Harness::with_workers(1);
    let lasting = StepSpec {
        lasting: true,
        most_away: Some(1),
        ..step(1, 4)
    };
    add_job(&mut harness, 1, 2, step(1, 4));
    add_job(&mut harness, 2, 2, lasting);
    let orders = harness.start_all();
    assert_eq!(orders.len(), 2);
    harness.list(vec![resized(0, 6)]);
    add_job(&mut harness, 3, 2, more);
    for _ in 0..20 {
        harness.now_ms += 500;
        let runs = orders.iter().map(running).collect();
        harness.report(0, runs, vec![]);
        harness
            .planner
            .grant_lease(harness.workers[0], harness.now_ms);
        assert_eq!(harness.plan(), vec![]);
    }
    harness.list(vec![resized(0, 9)]);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

#[test]
fn reserved_room_that_has_shrunk_is_not_used() {
    let mut harness = Harness::with_workers(1);
    add_job(&mut harness, 1, 2, step(1, 8));
    let victim = harness.start_all().remove(0);
    harness.now_ms += 1_000;
    harness.report(0, vec![running(&victim)], vec![]);
    add_job(&mut harness, 2, 0, step(1, 8));
    assert_eq!(stops(&harness.plan()).len(), 1);
    harness.list(vec![resized(0, 4)]);
    harness.now_ms += 300;
    harness.report(0, vec![], vec![ended(&victim, 1, RunOutcome::Stopped, "")]);
    assert_eq!(starts(&harness.plan()), vec![]);
    harness.list(vec![entry(0)]);
    assert_eq!(
        starts(&harness.plan()),
        vec![(format!("{:016x}.0.0.0", 2), 1)]
    );
}

#[rstest]
#[case::task(step(1, 8))]
#[case::gang(gang(2, 8))]
#[case::gang_on_one_rack(StepSpec { one_rack: true, ..gang(2, 8) })]
#[case::task_near_its_data(StepSpec { data_rack: Some("rack-0".to_string()), ..step(1, 8) })]
fn job_that_no_worker_holds_waits_until_capacity_grows(#[case] step: StepSpec) {
    let mut harness = Harness::with_workers(2);
    harness.list(vec![resized(0, 4), resized(1, 4)]);
    let count = step.count as usize;
    add_job(&mut harness, 1, 0, step);
    for _ in 0..20 {
        harness.now_ms += 500;
        harness.report(0, vec![], vec![]);
        harness.report(1, vec![], vec![]);
        assert_eq!(harness.plan(), vec![]);
        assert!(!harness.planner.has_changed(), "nothing is left to plan");
    }
    harness.list(vec![entry(0), entry(1)]);
    assert_eq!(starts(&harness.plan()).len(), count);
}

#[test]
fn inherited_run_counts_against_capacity_of_worker_that_is_listed_late() {
    let mut before = Harness::with_workers(1);
    let stored = job(1, 1, vec![step(1, 6)]);
    before.planner.add_job(stored.clone(), 1, before.now_ms);
    let (_, flush) = before.plan_without_store();
    let record = flush.writes[0].record.clone();

    let mut harness = Harness::with_workers(0);
    harness
        .planner
        .restore_job(stored, Some(record), 1, harness.now_ms);
    let polled = harness.planner.take_unpolled();
    harness.workers.extend(polled);
    let inherited = ActiveRun {
        task: format!("{:016x}.0.0.0", 1).parse().unwrap(),
        run: 1,
        progress: String::new(),
        percent: 10,
        metric: 0,
    };
    harness.report(0, vec![inherited], vec![]);
    add_job(&mut harness, 2, 1, step(9, 1));
    assert_eq!(starts(&harness.plan()), vec![]);
    harness.list(vec![resized(0, 7)]);
    assert_eq!(starts(&harness.plan()).len(), 1);
    harness.list(vec![entry(0)]);
    assert_eq!(starts(&harness.plan()).len(), 1);
}
