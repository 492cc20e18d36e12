//! Jobs from acceptance to their end: order of steps, gangs, attempts, cancellation and schedules.
//!
//! Guards against partial gangs, tasks that run twice or too early, attempts that are counted wrongly, and starts after
//! a cancellation.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{RunOutcome, StartOutcome, Timing};
use support::{Harness, ended, entry, job, running, starts, step, stops, worker_of};

/// Returns the index of the order's worker in the harness.
fn worker_index(harness: &Harness, order: &Order) -> usize {
    harness
        .workers
        .iter()
        .position(|worker| *worker == worker_of(order))
        .unwrap()
}

/// Reports the run of each start as ended by its worker.
fn end_all(harness: &mut Harness, orders: &[Order], outcome: RunOutcome, progress: &str) {
    for (number, order) in orders.iter().enumerate() {
        let index = worker_index(harness, order);
        harness.report(
            index,
            vec![],
            vec![ended(order, number as u64 + 1, outcome, progress)],
        );
    }
}

#[test]
fn step_waits_for_step_before() {
    let mut harness = Harness::with_workers(2);
    let after = StepSpec {
        after: vec![0],
        ..step(1, 1)
    };
    harness
        .planner
        .add_job(job(1, 1, vec![step(2, 1), after]), 1, harness.now_ms);
    let first = harness.start_all();
    assert_eq!(first.len(), 2);
    let index = worker_index(&harness, &first[0]);
    harness.report(
        index,
        vec![],
        vec![ended(&first[0], 1, RunOutcome::Done, "")],
    );
    assert!(
        starts(&harness.plan()).is_empty(),
        "one task of the previous step still runs"
    );
    let index = worker_index(&harness, &first[1]);
    harness.report(
        index,
        vec![],
        vec![ended(&first[1], 2, RunOutcome::Done, "")],
    );
    assert_eq!(
        starts(&harness.plan()),
        vec![(format!("{:016x}.0.1.0", 1), 1)]
    );
}

#[test]
fn job_completes_when_all_is_done() {
    let mut harness = Harness::with_workers(2);
    harness
        .planner
        .add_job(job(1, 1, vec![step(3, 1)]), 1, harness.now_ms);
    let orders = harness.start_all();
    end_all(&mut harness, &orders, RunOutcome::Done, "");
    let records = harness.records();
    assert_eq!(records[0].state, JobState::Completed);
    assert!(
        records[0].groups.is_empty(),
        "a finished job needs no task records"
    );
}

#[test]
fn gang_starts_whole_or_not() {
    let mut harness = Harness::with_workers(2);
    harness
        .planner
        .add_job(job(1, 1, vec![step(1, 8)]), 1, harness.now_ms);
    harness.start_all();
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    harness
        .planner
        .add_job(job(2, 1, vec![gang]), 2, harness.now_ms);
    assert!(starts(&harness.plan()).is_empty(), "only one member fits");
}

#[test]
fn gang_runs_again_with_higher_number_and_shared_progress() {
    let mut harness = Harness::with_workers(2);
    let gang = StepSpec {
        gang: true,
        saves_progress: true,
        ..step(2, 8)
    };
    harness
        .planner
        .add_job(job(1, 1, vec![gang]), 1, harness.now_ms);
    let orders = harness.start_all();
    assert_eq!(
        starts(&orders)
            .iter()
            .map(|(_, run)| *run)
            .collect::<Vec<_>>(),
        vec![1, 1]
    );
    let index = worker_index(&harness, &orders[0]);
    harness.report(
        index,
        vec![],
        vec![ended(&orders[0], 1, RunOutcome::Failed, "saved")],
    );
    harness.now_ms += 200;
    assert!(
        starts(&harness.plan()).is_empty(),
        "the other member has not ended yet"
    );
    let index = worker_index(&harness, &orders[1]);
    harness.report(
        index,
        vec![],
        vec![ended(&orders[1], 1, RunOutcome::Broken, "saved")],
    );
    harness.now_ms += 200;
    let again = harness.plan();
    assert_eq!(again.len(), 2);
    for order in &again {
        let Order::Start { run, progress, .. } = order else {
            panic!("expected a start")
        };
        assert_eq!((*run, progress.as_str()), (2, "saved"));
    }
}

#[test]
fn gang_with_refused_member_is_taken_down() {
    let mut harness = Harness::with_workers(2);
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    harness
        .planner
        .add_job(job(1, 1, vec![gang]), 1, harness.now_ms);
    let orders = harness.plan();
    harness.confirm(&orders[0]);
    harness.report_start_outcome(&orders[1], StartOutcome::NoRoom);
    harness.now_ms += 500;
    let index = worker_index(&harness, &orders[0]);
    harness.report(index, vec![running(&orders[0])], vec![]);
    let after = harness.plan();
    assert_eq!(
        stops(&after),
        starts(&orders[..1]),
        "no member of a gang runs without the others"
    );
}

#[test]
fn gang_is_done_by_one_end() {
    let mut harness = Harness::with_workers(2);
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    harness
        .planner
        .add_job(job(1, 1, vec![gang]), 1, harness.now_ms);
    let orders = harness.start_all();
    let index = worker_index(&harness, &orders[0]);
    harness.report(
        index,
        vec![],
        vec![ended(&orders[0], 1, RunOutcome::Done, "")],
    );
    assert_eq!(harness.records()[0].state, JobState::Completed);
    harness
        .planner
        .add_job(job(2, 1, vec![step(1, 8)]), 2, harness.now_ms);
    let next = harness.plan();
    assert_ne!(
        worker_of(&next[0]),
        worker_of(&orders[1]),
        "the other member still occupies its capacity"
    );
}

#[rstest]
#[case::task(false)]
#[case::gang(true)]
fn attempts_run_out(#[case] gang: bool) {
    let mut harness = Harness::with_workers(4);
    let spec = StepSpec { gang, ..step(1, 8) };
    harness
        .planner
        .add_job(job(1, 1, vec![spec]), 1, harness.now_ms);
    for attempt in 1..=2 {
        let orders = harness.start_all();
        assert_eq!(
            starts(&orders),
            vec![(format!("{:016x}.0.0.0", 1), attempt)]
        );
        end_all(&mut harness, &orders, RunOutcome::Failed, "");
        harness.now_ms += 200;
    }
    assert!(
        starts(&harness.plan()).is_empty(),
        "the queue allows two attempts"
    );
    assert_eq!(
        harness.planner.sizes().0,
        0,
        "its end is stored, so it is removed"
    );
}

#[test]
fn ends_that_are_not_failures_cost_no_attempt() {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .add_job(job(1, 1, vec![step(1, 8)]), 1, harness.now_ms);
    for attempt in 1..=5 {
        let orders = harness.start_all();
        assert_eq!(starts(&orders)[0].1, attempt);
        let end = ended(&orders[0], u64::from(attempt), RunOutcome::Lapsed, "");
        harness.report(0, vec![], vec![end]);
    }
}

#[test]
fn cancel_stops_what_runs_and_starts_nothing() {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .add_job(job(1, 1, vec![step(9, 1)]), 1, harness.now_ms);
    let orders = harness.start_all();
    assert_eq!(orders.len(), 8);
    harness
        .planner
        .cancel_job(format!("{:016x}", 1).parse().unwrap(), harness.now_ms);
    let after = harness.plan();
    assert_eq!((starts(&after).len(), stops(&after).len()), (0, 8));
}

#[test]
fn cancel_of_chosen_task_sends_no_start() {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .add_job(job(1, 1, vec![step(1, 1)]), 1, harness.now_ms);
    let (_, flush) = harness.plan_without_store();
    harness
        .planner
        .cancel_job(format!("{:016x}", 1).parse().unwrap(), harness.now_ms);
    harness.planner.complete_flush(flush, harness.now_ms);
    assert!(
        harness.take_orders().is_empty(),
        "the store answered after the cancel"
    );
}

#[test]
fn schedule_starts_when_due() {
    let mut harness = Harness::with_workers(1);
    let mut stored = job(1, 1, vec![step(1, 1)]);
    stored.request.timing = Timing {
        times: 2,
        start_at_unix_ms: 12_000,
        interval_ms: 3_000,
    };
    harness.planner.add_job(stored, 1, harness.now_ms);
    assert!(starts(&harness.plan()).is_empty());
    harness.now_ms = 12_000;
    assert_eq!(
        starts(&harness.start_all()),
        vec![(format!("{:016x}.0.0.0", 1), 1)]
    );
    harness.now_ms = 15_000;
    harness.report(0, vec![], vec![]);
    assert!(
        starts(&harness.plan()).contains(&(format!("{:016x}.1.0.0", 1), 1)),
        "occurrences may overlap"
    );
}

#[test]
fn lasting_task_starts_again_however_it_ends() {
    let mut harness = Harness::with_workers(1);
    let lasting = StepSpec {
        lasting: true,
        ..step(1, 8)
    };
    harness
        .planner
        .add_job(job(1, 1, vec![lasting]), 1, harness.now_ms);
    for (number, outcome) in [
        RunOutcome::Done,
        RunOutcome::Failed,
        RunOutcome::Failed,
        RunOutcome::Failed,
    ]
    .into_iter()
    .enumerate()
    {
        let orders = harness.start_all();
        assert_eq!(orders.len(), 1, "after {number} ends");
        harness.report(
            0,
            vec![],
            vec![ended(&orders[0], number as u64 + 1, outcome, "")],
        );
        harness.now_ms += 200;
    }
}

#[test]
fn leaving_worker_gets_nothing_new() {
    let mut harness = Harness::with_workers(1);
    let leaving = WorkerEntry {
        leaving: true,
        ..entry(0)
    };
    harness.list(vec![leaving]);
    harness
        .planner
        .add_job(job(1, 0, vec![step(1, 1)]), 1, harness.now_ms);
    assert!(starts(&harness.plan()).is_empty());
}

#[test]
fn orphaned_run_is_stopped_and_occupies_capacity() {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .add_job(job(1, 1, vec![step(1, 8)]), 1, harness.now_ms);
    let orders = harness.start_all();
    harness.report(
        0,
        vec![],
        vec![ended(&orders[0], 1, RunOutcome::Failed, "")],
    );
    let mut orphaned_run = running(&orders[0]);
    orphaned_run.run = 1;
    harness.report(0, vec![orphaned_run], vec![]);
    harness.now_ms += 200;
    let after = harness.plan();
    assert_eq!(stops(&after), vec![(format!("{:016x}.0.0.0", 1), 1)]);
    assert!(starts(&after).is_empty(), "its capacity is not free");
    harness.report(0, vec![], vec![]);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

#[test]
fn finished_job_is_not_added_from_older_read() {
    let mut harness = Harness::with_workers(2);
    let stored = job(1, 1, vec![step(1, 1)]);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let orders = harness.start_all();
    end_all(&mut harness, &orders, RunOutcome::Done, "");
    assert!(
        harness.plan().is_empty(),
        "the job has ended and its record is stored"
    );
    // A read of all requests that was answered before that write arrives after it.
    harness.now_ms += 300;
    harness.planner.add_job(stored, 1, harness.now_ms);
    assert!(starts(&harness.plan()).is_empty(), "it ran already");
}

/// A worker on which nothing runs has no lease, and a planning pass may come before its next start is sent.
#[test]
fn start_that_is_not_sent_yet_is_not_lost_with_its_worker() {
    let mut harness = Harness::with_workers(1);
    harness.now_ms += 20_000;
    harness.report(0, vec![], vec![]);
    harness.now_ms += 1_500;
    harness
        .planner
        .add_job(job(1, 1, vec![step(1, 1)]), 1, harness.now_ms);
    let (_, flush) = harness.plan_without_store();
    harness.planner.complete_flush(flush, harness.now_ms);
    let orders = harness.planner.take_orders();
    assert_eq!(starts(&orders).len(), 1);
    harness.now_ms += 20;
    let (again, flush) = harness.plan_without_store();
    assert!(again.is_empty() && flush.is_empty(), "{again:?}");
}
