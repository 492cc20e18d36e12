//! Whether a job counts as waiting: nothing of it has started, or is certain to be about to.
//!
//! Guards against MIXED: jobs whose starts went to a worker that was just lost are not counted as waiting, although none of
//! them has begun.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{JobRecord, RunOutcome, StartOutcome};
use support::{Harness, ended, entry, job, limits, running, starts, step};

/// Returns a planner that has sent the start of a job's only task, and the order.
fn send_start() -> (Harness, StoredJob, Vec<Order>) {
    let mut harness = Harness::with_workers(1);
    let stored = job(1, 1, vec![step(1, 8)]);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let (_, flush) = harness.plan_without_store();
    assert!(flush.writes[0].record.begun, "a start is about to be sent");
    harness.planner.complete_flush(flush, harness.now_ms);
    let orders = harness.take_orders();
    assert_eq!(orders.len(), 1);
    (harness, stored, orders)
}

/// Returns what the next writes say of the job, the last one last; empty without a write.
fn next_writes(harness: &mut Harness) -> Vec<bool> {
    let (_, flush) = harness.plan_without_store();
    let begun = flush
        .writes
        .iter()
        .map(|write| write.record.begun)
        .collect();
    harness.planner.complete_flush(flush, harness.now_ms);
    begun
}

#[test]
fn started_job_needs_no_further_write() {
    let (mut harness, _, orders) = send_start();
    harness.confirm(&orders[0]);
    assert_eq!(next_writes(&mut harness), Vec::<bool>::new());
}

/// What shows that a start without an answer was carried out.
#[derive(Debug, Clone, Copy)]
enum Shown {
    RepeatedStart,
    ListedRun,
    ListedEnd(RunOutcome),
}

#[rstest]
fn job_whose_start_got_no_answer_waits_until_it_has_started(
    #[values(
        Shown::RepeatedStart,
        Shown::ListedRun,
        Shown::ListedEnd(RunOutcome::Done),
        Shown::ListedEnd(RunOutcome::Failed)
    )]
    shown: Shown,
) {
    let (mut harness, _, orders) = send_start();
    harness.report_start_outcome(&orders[0], StartOutcome::NoAnswer);
    assert_eq!(next_writes(&mut harness), [false]);
    harness.report_start_outcome(&orders[0], StartOutcome::NoAnswer);
    assert!(!next_writes(&mut harness).contains(&true), "repeated alike");
    harness.now_ms += 10;
    match shown {
        Shown::RepeatedStart => harness.confirm(&orders[0]),
        Shown::ListedRun => harness.report(0, vec![running(&orders[0])], vec![]),
        Shown::ListedEnd(outcome) => {
            harness.report(0, vec![], vec![ended(&orders[0], 1, outcome, "")]);
        }
    }
    assert_eq!(next_writes(&mut harness), [true]);
}

#[rstest]
#[case::no_room(StartOutcome::NoRoom)]
#[case::unhealthy(StartOutcome::Unhealthy)]
#[case::late(StartOutcome::Late)]
fn job_whose_start_was_refused_waits(#[case] outcome: StartOutcome) {
    let (mut harness, _, orders) = send_start();
    harness.report_start_outcome(&orders[0], outcome);
    assert_eq!(next_writes(&mut harness), [false]);
}

/// A job of which one task has run has begun, whatever becomes of the others.
#[test]
fn job_of_which_something_has_started_does_not_wait() {
    let mut harness = Harness::with_workers(2);
    let stored = job(1, 1, vec![step(2, 8)]);
    harness.planner.add_job(stored, 1, harness.now_ms);
    let orders = harness.plan();
    harness.confirm(&orders[0]);
    harness.report_start_outcome(&orders[1], StartOutcome::NoAnswer);
    assert!(!next_writes(&mut harness).contains(&false));
}

#[test]
fn cancelled_job_does_not_wait() {
    let (mut harness, stored, orders) = send_start();
    harness.report_start_outcome(&orders[0], StartOutcome::NoAnswer);
    assert_eq!(next_writes(&mut harness), [false]);
    harness.planner.cancel_job(stored.id, harness.now_ms);
    assert_eq!(next_writes(&mut harness), [true]);
}

/// Returns a successor that reads a record.
fn succeed(stored: &StoredJob, record: JobRecord) -> Harness {
    let mut next = Harness {
        planner: Planner::new(limits(), 20_000),
        now_ms: 20_000,
        workers: Vec::new(),
    };
    next.list(vec![entry(0), entry(1)]);
    next.planner
        .restore_job(stored.clone(), Some(record), 1, next.now_ms);
    next
}

/// What the worker says to a successor of a start that was in doubt when the planner changed.
#[derive(Debug, Clone, Copy)]
enum Answer {
    Nothing,
    NeverCame,
    Runs,
}

#[rstest]
#[case::silent(Answer::Nothing, &[false])]
#[case::never_came_and_starts_again(Answer::NeverCame, &[true])]
#[case::runs(Answer::Runs, &[true])]
fn successor_counts_job_that_waits(#[case] answer: Answer, #[case] expected: &[bool]) {
    let (mut harness, stored, orders) = send_start();
    harness.report_start_outcome(&orders[0], StartOutcome::NoAnswer);
    let record = harness.records().pop().unwrap();
    assert!(!record.begun);
    let text = serde_json::to_string(&record).unwrap();
    let mut next = succeed(&stored, serde_json::from_str(&text).unwrap());
    match answer {
        Answer::Nothing => {}
        Answer::NeverCame => next.report(0, vec![], vec![]),
        Answer::Runs => next.report(0, vec![running(&orders[0])], vec![]),
    }
    assert_eq!(next_writes(&mut next), expected);
}

/// A record of an earlier version does not say whether the job has begun; its state does.
#[test]
fn record_without_the_field_has_begun() {
    let (mut harness, stored, orders) = send_start();
    harness.confirm(&orders[0]);
    let stopped = ended(&orders[0], 1, RunOutcome::Stopped, "");
    harness.report(0, vec![], vec![stopped]);
    let record = harness.records().pop().unwrap();
    let text = serde_json::to_string(&record).unwrap();
    assert!(!text.contains("begun"), "{text}");
    let mut next = succeed(&stored, serde_json::from_str(&text).unwrap());
    next.report(0, vec![], vec![]);
    next.report(1, vec![], vec![]);
    let (_, flush) = next.plan_without_store();
    assert!(flush.writes.iter().all(|write| write.record.begun));
    next.planner.complete_flush(flush, next.now_ms);
    assert_eq!(starts(&next.take_orders()).len(), 1);
}
