//! What a new planner takes over from its predecessor, and what it must not start yet.
//!
//! Guards against a task that runs twice: a worker that is unresponsive or unlisted may still run what the predecessor
//! assigned to it, until its lease must have expired.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{ActiveRun, RunOutcome};
use support::{Harness, ended, entry, job, limits, starts, step, stops};

/// Returns what a predecessor stored: one task, assigned to worker 0.
fn predecessor_records() -> (StoredJob, JobRecord) {
    let mut harness = Harness::with_workers(1);
    let stored = job(1, 1, vec![step(1, 1)]);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let (_, flush) = harness.plan_without_store();
    (stored, flush.writes[0].record.clone())
}

/// Creates a new planner with the predecessor's job and worker 1; `listed` says whether worker 0 is listed, too.
fn successor(listed: bool) -> Harness {
    let (stored, record) = predecessor_records();
    let mut harness = Harness {
        planner: Planner::new(limits(), 20_000),
        now_ms: 20_000,
        workers: Vec::new(),
    };
    let mut entries = vec![entry(1)];
    if listed {
        entries.push(entry(0));
    }
    harness.list(entries);
    harness
        .planner
        .restore_job(stored, Some(record), 1, harness.now_ms);
    let other = harness
        .workers
        .iter()
        .position(|w| harness.planner.entry(*w).unwrap().id == "i-1")
        .unwrap();
    harness.report(other, vec![], vec![]);
    harness
}

fn first_task() -> ActiveRun {
    let task = format!("{:016x}.0.0.0", 1).parse().unwrap();
    ActiveRun {
        task,
        run: 1,
        progress: "saved".to_string(),
        percent: 40,
        metric: 0,
    }
}

#[rstest]
#[case::listed(true)]
#[case::not_listed(false)]
fn take_over_unresponsive_worker(#[case] listed: bool) {
    let mut harness = successor(listed);
    harness.now_ms = 22_000;
    assert!(
        starts(&harness.plan()).is_empty(),
        "the task may still run on the unresponsive worker"
    );
    harness.now_ms = 20_000 + limits().predecessor_renewal_ms + limits().lease_ms * 100 / 98 + 1;
    let other = harness
        .workers
        .iter()
        .position(|w| harness.planner.entry(*w).unwrap().id == "i-1")
        .unwrap();
    harness.report(other, vec![], vec![]);
    assert_eq!(
        starts(&harness.plan()).len(),
        1,
        "the lease must have expired by now"
    );
}

/// Returns the index of the predecessor's unlisted worker, which the successor has to poll.
fn poll_unlisted_worker(harness: &mut Harness) -> usize {
    let asked = harness.planner.take_unpolled();
    assert_eq!(asked.len(), 1, "it is polled although it is not listed");
    harness.workers.extend(asked);
    harness.workers.len() - 1
}

#[test]
fn take_over_unlisted_worker_that_answers() {
    let mut harness = successor(false);
    let unlisted = poll_unlisted_worker(&mut harness);
    let entry = harness.planner.entry(harness.workers[unlisted]).unwrap();
    assert_eq!(entry.address, "10.0.0.0:80");
    harness.report(unlisted, vec![first_task()], vec![]);
    harness.now_ms += 60_000;
    for index in 0..harness.workers.len() {
        let running = if index == unlisted {
            vec![first_task()]
        } else {
            vec![]
        };
        harness.report(index, running, vec![]);
    }
    assert!(starts(&harness.plan()).is_empty(), "its task continues");
}

#[rstest]
#[case::had_said_that_it_leaves(true, 0)]
#[case::had_not_said_so(false, limits().predecessor_renewal_ms)]
fn take_over_unlisted_worker_that_refuses_calls(
    #[case] leaving: bool,
    #[case] predecessor_renewal_ms: u64,
) {
    let mut before = Harness::with_workers(1);
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
    let (_, first_record) = predecessor_records();
    let record = record.map_or(first_record, |w| w.record.clone());

    let mut harness = Harness {
        planner: Planner::new(limits(), 20_000),
        now_ms: 20_000,
        workers: Vec::new(),
    };
    harness.list(vec![entry(1)]);
    harness
        .planner
        .restore_job(stored, Some(record), 1, harness.now_ms);
    harness.report(0, vec![], vec![]);
    let unlisted = poll_unlisted_worker(&mut harness);
    harness
        .planner
        .record_unanswered_renewal(harness.workers[unlisted]);
    let expiry_ms = 20_000 + predecessor_renewal_ms + limits().lease_ms * 100 / 98;
    for now_ms in [20_800, 21_600, expiry_ms - 1] {
        harness.now_ms = now_ms;
        harness.list(vec![entry(1)]);
        harness.report(0, vec![], vec![]);
        assert_eq!(
            starts(&harness.plan()).len(),
            0,
            "it may be cut off and run on until its lease ends"
        );
    }
    harness.now_ms = expiry_ms + 200;
    harness.report(0, vec![], vec![]);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

#[test]
fn take_over_two_unresponsive_workers() {
    let mut first = job(1, 1, vec![step(2, 8)]);
    first.attempts = 4;
    let mut before = Harness {
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
    let mut harness = Harness {
        planner: Planner::new(limits(), 20_000),
        now_ms: 20_000,
        workers: Vec::new(),
    };
    harness.list(vec![entry(2)]);
    harness
        .planner
        .restore_job(first, Some(record), 1, harness.now_ms);
    harness.report(0, vec![], vec![]);
    assert!(
        starts(&harness.plan()).is_empty(),
        "the tasks may still run on both unlisted workers"
    );
}

#[test]
fn take_over_running_task() {
    let mut harness = successor(true);
    let index = harness
        .workers
        .iter()
        .position(|w| harness.planner.entry(*w).unwrap().id == "i-0")
        .unwrap();
    harness.report(index, vec![first_task()], vec![]);
    let orders = harness.plan();
    assert!(
        starts(&orders).is_empty() && stops(&orders).is_empty(),
        "the task continues: {orders:?}"
    );
}

#[test]
fn take_over_task_that_never_started() {
    let mut harness = successor(true);
    let index = harness
        .workers
        .iter()
        .position(|w| harness.planner.entry(*w).unwrap().id == "i-0")
        .unwrap();
    harness.report(index, vec![], vec![]);
    let started = starts(&harness.plan());
    assert_eq!(
        started,
        vec![(format!("{:016x}.0.0.0", 1), 2)],
        "under a higher run number"
    );
}

#[test]
fn take_over_end_that_was_not_confirmed() {
    let mut harness = successor(true);
    let index = harness
        .workers
        .iter()
        .position(|w| harness.planner.entry(*w).unwrap().id == "i-0")
        .unwrap();
    let task = first_task().task;
    let end = scheduler::EndedRun {
        number: 7,
        task: Some(task),
        run: 1,
        outcome: RunOutcome::Done,
        progress: String::new(),
    };
    harness.report(index, vec![], vec![end]);
    assert_eq!(
        harness
            .planner
            .confirmed_ends(harness.workers[index], harness.now_ms),
        0,
        "not before it is stored"
    );
    let (orders, flush) = harness.plan_without_store();
    assert!(starts(&orders).is_empty());
    assert_eq!(flush.writes[0].record.state, JobState::Completed);
    harness.planner.complete_flush(flush, harness.now_ms);
    assert_eq!(
        harness
            .planner
            .confirmed_ends(harness.workers[index], harness.now_ms),
        7
    );
}

#[test]
fn take_over_worker_restarted_under_same_id() {
    let mut harness = successor(true);
    let mut restarted = entry(0);
    restarted.born_unix_ms = 2_000;
    harness.list(vec![restarted, entry(1)]);
    assert!(
        starts(&harness.plan()).is_empty(),
        "anybody may have written the entry"
    );
    let index = harness
        .workers
        .iter()
        .position(|w| harness.planner.entry(*w).unwrap().id == "i-0")
        .unwrap();
    harness.report_as(index, 2_000, vec![], vec![]);
    assert_eq!(
        starts(&harness.plan()).len(),
        1,
        "the new incarnation runs none of the earlier tasks"
    );
}

#[test]
fn start_waits_for_store() {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .add_job(job(1, 1, vec![step(1, 1)]), 1, harness.now_ms);
    let (orders, flush) = harness.plan_without_store();
    assert!(
        orders.is_empty(),
        "nothing is sent before the assignment is stored"
    );
    harness.planner.complete_flush(flush, harness.now_ms);
    assert_eq!(starts(&harness.take_orders()).len(), 1);
}

#[test]
fn start_unanswered_is_made_again_until_lease_ends() {
    let mut harness = Harness::with_workers(2);
    harness
        .planner
        .add_job(job(1, 1, vec![step(1, 8)]), 1, harness.now_ms);
    let orders = harness.plan();
    harness.report_start_outcome(&orders[0], scheduler::StartOutcome::NoAnswer);
    let again = harness.take_orders();
    assert_eq!(
        starts(&again),
        starts(&orders),
        "the same run on the same worker"
    );
    harness.now_ms += limits().lease_ms;
    let worker = support::worker_of(&orders[0]);
    let other = harness.workers.iter().position(|w| *w != worker).unwrap();
    harness.report(other, vec![], vec![]);
    assert!(
        starts(&harness.plan()).is_empty(),
        "a worker's clock may be 2% slow"
    );
    harness.now_ms += 1_500;
    harness.report(other, vec![], vec![]);
    assert!(
        starts(&harness.plan()).is_empty(),
        "the next incarnation may have taken the start, under the longest lease"
    );
    harness.now_ms += 500;
    harness.report(other, vec![], vec![]);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

#[test]
fn start_refused_after_unanswered_call_is_stopped_first() {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .add_job(job(1, 1, vec![step(1, 1)]), 1, harness.now_ms);
    let orders = harness.plan();
    harness.report_start_outcome(&orders[0], scheduler::StartOutcome::NoAnswer);
    harness.take_orders();
    harness.report_start_outcome(&orders[0], scheduler::StartOutcome::Unhealthy);
    let after = harness.plan();
    assert!(starts(&after).is_empty());
    assert_eq!(
        stops(&after),
        starts(&orders),
        "the unanswered call may still take effect"
    );
}

#[test]
fn end_of_another_run_changes_nothing() {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .add_job(job(1, 1, vec![step(1, 1)]), 1, harness.now_ms);
    let orders = harness.start_all();
    let mut old = ended(&orders[0], 1, RunOutcome::Done, "");
    old.run = 99;
    harness.report(0, vec![support::running(&orders[0])], vec![old]);
    assert!(
        harness
            .records()
            .iter()
            .all(|record| record.state == JobState::Running)
    );
}

/// A worker whose answers were lost until its lease had ended may list a run as done when the next start is being
/// stored.
#[test]
fn end_of_run_whose_lease_ended_withdraws_unsent_start() {
    let mut harness = Harness::with_workers(2);
    harness
        .planner
        .add_job(job(1, 1, vec![step(1, 8)]), 1, harness.now_ms);
    let orders = harness.start_all();
    let first = support::worker_of(&orders[0]);
    let silent = harness.workers.iter().position(|w| *w == first).unwrap();
    harness.report(silent, vec![support::running(&orders[0])], vec![]);
    harness.now_ms += limits().lease_ms + 500;
    harness.report(1 - silent, vec![], vec![]);
    let (_, flush) = harness.plan_without_store();
    let assigned_run = flush.writes[0].record.groups[0].units[0].run;
    assert_eq!(assigned_run, 2, "the lease must have expired by now");
    harness.report(
        silent,
        vec![],
        vec![ended(&orders[0], 1, RunOutcome::Done, "")],
    );
    harness.planner.complete_flush(flush, harness.now_ms);
    let (later, flush) = harness.plan_without_store();
    assert!(starts(&later).is_empty(), "the work is done: {later:?}");
    assert_eq!(flush.writes[0].record.state, JobState::Completed);
}

/// Guards against the loss of long runs right after a change of planners: a successor that counts the age of a run from
/// its own first report takes the oldest runs for the cheapest to stop.
#[test]
fn successor_stops_its_own_run_rather_than_an_older_one_of_its_predecessor() {
    let mut harness = Harness::with_workers(1);
    let old = job(1, 1, vec![step(1, 8)]);
    harness.planner.add_job(old.clone(), 1, harness.now_ms);
    let (_, flush) = harness.plan_without_store();
    let record = flush.writes[0].record.clone();

    let mut harness = Harness {
        planner: Planner::new(limits(), 20_000),
        now_ms: 20_000,
        workers: Vec::new(),
    };
    harness.list(vec![entry(0), entry(1)]);
    harness
        .planner
        .restore_job(old, Some(record), 1, harness.now_ms);
    harness.report(1, vec![], vec![]);
    harness
        .planner
        .add_job(job(2, 1, vec![step(1, 8)]), 2, harness.now_ms);
    let own = harness.start_all();
    assert_eq!(starts(&own), vec![(format!("{:016x}.0.0.0", 2), 1)]);
    harness.now_ms += 1_000;
    harness.report(0, vec![first_task()], vec![]);
    harness.report(1, vec![support::running(&own[0])], vec![]);
    let mut urgent = job(3, 0, vec![step(1, 8)]);
    urgent.request.steps[0].estimate_ms = 10_000;
    harness.planner.add_job(urgent, 3, harness.now_ms);
    let orders = harness.plan();
    assert_eq!(stops(&orders), vec![(format!("{:016x}.0.0.0", 2), 1)]);
}
