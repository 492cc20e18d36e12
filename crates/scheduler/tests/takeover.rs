//! What a new planner takes over, and what it must not start yet.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{EndHow, RunRow};
use support::{Bench, ended, entry, job, limits, starts, step, stops};

/// What a predecessor left: one task, assigned to worker 0.
fn left_by_predecessor() -> (StoredJob, JobRecord) {
    let mut bench = Bench::with_workers(1);
    let stored = job(1, 1, vec![step(1, 1)]);
    bench.planner.add_job(stored.clone(), 1, bench.now_ms);
    let (_, flush) = bench.plan_without_store();
    (stored, flush.writes[0].record.clone())
}

/// A new planner with the predecessor's job; `listed` says whether the list names its worker, beside another one.
fn successor(listed: bool) -> Bench {
    let (stored, record) = left_by_predecessor();
    let mut bench = Bench {
        planner: Planner::new(limits(), 20_000),
        now_ms: 20_000,
        workers: Vec::new(),
    };
    let mut entries = vec![entry(1)];
    if listed {
        entries.push(entry(0));
    }
    bench.list(entries);
    bench
        .planner
        .restore_job(stored, Some(record), 1, bench.now_ms);
    let other = bench
        .workers
        .iter()
        .position(|w| bench.planner.entry(*w).unwrap().id == "i-1")
        .unwrap();
    bench.report(other, vec![], vec![]);
    bench
}

fn first_task() -> RunRow {
    let task = format!("{:016x}.0.0.0", 1).parse().unwrap();
    RunRow {
        task,
        run: 1,
        progress: "saved".to_string(),
        percent: 40,
        figure: 0,
    }
}

#[rstest]
#[case::listed(true)]
#[case::not_listed(false)]
fn take_over_silent_worker(#[case] listed: bool) {
    let mut bench = successor(listed);
    bench.now_ms = 22_000;
    assert!(
        starts(&bench.plan()).is_empty(),
        "the task may still run on the silent worker"
    );
    bench.now_ms = 20_000 + limits().predecessor_holds_ms + limits().lease_ms * 100 / 98 + 1;
    let other = bench
        .workers
        .iter()
        .position(|w| bench.planner.entry(*w).unwrap().id == "i-1")
        .unwrap();
    bench.report(other, vec![], vec![]);
    assert_eq!(
        starts(&bench.plan()).len(),
        1,
        "its lease must have ended by now"
    );
}

/// The unlisted worker that the predecessor used, as the successor asks it.
fn ask_unlisted(bench: &mut Bench) -> usize {
    let asked = bench.planner.take_unpolled();
    assert_eq!(asked.len(), 1, "it is asked, though no list names it");
    bench.workers.extend(asked);
    bench.workers.len() - 1
}

#[test]
fn take_over_unlisted_worker_that_answers() {
    let mut bench = successor(false);
    let unlisted = ask_unlisted(&mut bench);
    let entry = bench.planner.entry(bench.workers[unlisted]).unwrap();
    assert_eq!(entry.address, "10.0.0.0:80");
    bench.report(unlisted, vec![first_task()], vec![]);
    bench.now_ms += 60_000;
    for at in 0..bench.workers.len() {
        let running = if at == unlisted {
            vec![first_task()]
        } else {
            vec![]
        };
        bench.report(at, running, vec![]);
    }
    assert!(starts(&bench.plan()).is_empty(), "its task goes on");
}

#[rstest]
#[case::had_said_that_it_leaves(true, 1)]
#[case::may_be_cut_off(false, 0)]
fn take_over_unlisted_worker_that_refuses_calls(#[case] leaving: bool, #[case] started: usize) {
    let mut before = Bench::with_workers(1);
    let stored = job(1, 1, vec![step(1, 1)]);
    before.planner.add_job(stored.clone(), 1, before.now_ms);
    before.start_all();
    before.list(vec![WorkerEntry {
        leaving,
        ..entry(0)
    }]);
    before
        .planner
        .add_job(job(2, 1, vec![step(1, 1)]), 2, before.now_ms);
    let (_, flush) = before.plan_without_store();
    let record = flush.writes.iter().find(|w| w.job == stored.id);
    let (_, first_record) = left_by_predecessor();
    let record = record.map_or(first_record, |w| w.record.clone());

    let mut bench = Bench {
        planner: Planner::new(limits(), 20_000),
        now_ms: 20_000,
        workers: Vec::new(),
    };
    bench.list(vec![entry(1)]);
    bench
        .planner
        .restore_job(stored, Some(record), 1, bench.now_ms);
    bench.report(0, vec![], vec![]);
    let unlisted = ask_unlisted(&mut bench);
    bench.planner.note_silence(bench.workers[unlisted], true);
    bench.now_ms += 800;
    bench.list(vec![entry(1)]);
    bench.report(0, vec![], vec![]);
    assert_eq!(starts(&bench.plan()).len(), started);
}

#[test]
fn take_over_two_silent_workers() {
    let mut first = job(1, 1, vec![step(2, 8)]);
    first.attempts = 4;
    let mut before = Bench {
        planner: Planner::new(limits(), 10_000),
        now_ms: 10_000,
        workers: Vec::new(),
    };
    let born = |number: u32| WorkerEntry {
        born_unix_ms: 1_000 + u64::from(number),
        ..entry(number)
    };
    before.list(vec![born(0), born(1)]);
    before.report(0, vec![], vec![]);
    before.report(1, vec![], vec![]);
    before.planner.add_job(first.clone(), 1, before.now_ms);
    let (_, flush) = before.plan_without_store();
    let record = flush.writes[0].record.clone();
    let mut bench = Bench {
        planner: Planner::new(limits(), 20_000),
        now_ms: 20_000,
        workers: Vec::new(),
    };
    bench.list(vec![entry(2)]);
    bench
        .planner
        .restore_job(first, Some(record), 1, bench.now_ms);
    bench.report(0, vec![], vec![]);
    assert!(
        starts(&bench.plan()).is_empty(),
        "neither of the two workers that are not listed is gone"
    );
}

#[test]
fn take_over_running_task() {
    let mut bench = successor(true);
    let at = bench
        .workers
        .iter()
        .position(|w| bench.planner.entry(*w).unwrap().id == "i-0")
        .unwrap();
    bench.report(at, vec![first_task()], vec![]);
    let orders = bench.plan();
    assert!(
        starts(&orders).is_empty() && stops(&orders).is_empty(),
        "it goes on: {orders:?}"
    );
}

#[test]
fn take_over_task_that_never_started() {
    let mut bench = successor(true);
    let at = bench
        .workers
        .iter()
        .position(|w| bench.planner.entry(*w).unwrap().id == "i-0")
        .unwrap();
    bench.report(at, vec![], vec![]);
    let started = starts(&bench.plan());
    assert_eq!(
        started,
        vec![(format!("{:016x}.0.0.0", 1), 2)],
        "under a higher run number"
    );
}

#[test]
fn take_over_end_that_was_not_confirmed() {
    let mut bench = successor(true);
    let at = bench
        .workers
        .iter()
        .position(|w| bench.planner.entry(*w).unwrap().id == "i-0")
        .unwrap();
    let task = first_task().task;
    let end = scheduler::EndRow {
        number: 7,
        task: Some(task),
        run: 1,
        how: EndHow::Done,
        progress: String::new(),
    };
    bench.report(at, vec![], vec![end]);
    assert_eq!(
        bench.planner.confirmed_ends(bench.workers[at]),
        0,
        "not before it is stored"
    );
    let (orders, flush) = bench.plan_without_store();
    assert!(starts(&orders).is_empty());
    assert_eq!(flush.writes[0].record.state, JobState::Completed);
    bench.planner.complete_flush(flush, bench.now_ms);
    assert_eq!(bench.planner.confirmed_ends(bench.workers[at]), 7);
}

#[test]
fn take_over_worker_reborn_under_same_id() {
    let mut bench = successor(true);
    let mut reborn = entry(0);
    reborn.born_unix_ms = 2_000;
    bench.list(vec![reborn, entry(1)]);
    assert_eq!(
        starts(&bench.plan()).len(),
        1,
        "the new life runs nothing of before"
    );
}

#[test]
fn start_waits_for_store() {
    let mut bench = Bench::with_workers(1);
    bench
        .planner
        .add_job(job(1, 1, vec![step(1, 1)]), 1, bench.now_ms);
    let (orders, flush) = bench.plan_without_store();
    assert!(
        orders.is_empty(),
        "nothing is sent before the choice is stored"
    );
    bench.planner.complete_flush(flush, bench.now_ms);
    assert_eq!(starts(&bench.take_orders()).len(), 1);
}

#[test]
fn start_unanswered_is_made_again_until_lease_ends() {
    let mut bench = Bench::with_workers(2);
    bench
        .planner
        .add_job(job(1, 1, vec![step(1, 8)]), 1, bench.now_ms);
    let orders = bench.plan();
    bench.outcome(&orders[0], scheduler::StartOutcome::NoAnswer);
    let again = bench.take_orders();
    assert_eq!(
        starts(&again),
        starts(&orders),
        "the same run on the same worker"
    );
    bench.now_ms += limits().lease_ms;
    let worker = support::worker_of(&orders[0]);
    let other = bench.workers.iter().position(|w| *w != worker).unwrap();
    bench.report(other, vec![], vec![]);
    assert!(
        starts(&bench.plan()).is_empty(),
        "a worker's clock may be 2% slow"
    );
    bench.now_ms += 500;
    bench.report(other, vec![], vec![]);
    assert_eq!(starts(&bench.plan()).len(), 1);
}

#[test]
fn start_refused_after_doubt_is_stopped_first() {
    let mut bench = Bench::with_workers(1);
    bench
        .planner
        .add_job(job(1, 1, vec![step(1, 1)]), 1, bench.now_ms);
    let orders = bench.plan();
    bench.outcome(&orders[0], scheduler::StartOutcome::NoAnswer);
    bench.take_orders();
    bench.outcome(&orders[0], scheduler::StartOutcome::Unhealthy);
    let after = bench.plan();
    assert!(starts(&after).is_empty());
    assert_eq!(
        stops(&after),
        starts(&orders),
        "the unanswered call may still be carried out"
    );
}

#[test]
fn end_of_another_run_changes_nothing() {
    let mut bench = Bench::with_workers(1);
    bench
        .planner
        .add_job(job(1, 1, vec![step(1, 1)]), 1, bench.now_ms);
    let orders = bench.start_all();
    let mut old = ended(&orders[0], 1, EndHow::Done, "");
    old.run = 99;
    bench.report(0, vec![support::running(&orders[0])], vec![old]);
    assert!(
        bench
            .records()
            .iter()
            .all(|record| record.state == JobState::Running)
    );
}
