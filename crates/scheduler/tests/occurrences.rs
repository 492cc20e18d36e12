//! Occurrences of jobs with a schedule: their tasks exist once they are due.
//!
//! Guards against a planner that exceeds the memory of its VM because of jobs that are due in hours, and against a job that
//! counts as done before its last occurrence.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{JobRecord, JobState, RecordPart, RecordWrite, RunOutcome, Timing, join_record};
use support::{Harness, ended, entry, job, limits, running, starts, step};

const INTERVAL_MS: u64 = 3_000;

/// When the first occurrence is due; the harness begins at 10 s and uses its clock as the time of day.
const FIRST_DUE_MS: u64 = 12_000;

/// Returns a job of `times` occurrences of `tasks` tasks that need nothing.
fn scheduled(id: u64, times: u32, tasks: u32) -> StoredJob {
    let free = StepSpec {
        need: Resources::default(),
        ..step(tasks, 0)
    };
    let mut stored = job(id, 1, vec![free]);
    stored.request.timing = Timing {
        times,
        start_at_unix_ms: FIRST_DUE_MS,
        interval_ms: INTERVAL_MS,
    };
    stored
}

fn with_job(stored: &StoredJob) -> Harness {
    let mut harness = Harness::with_workers(1);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    harness
}

/// Plans at a time, and returns the names of the tasks that start.
fn start_at(harness: &mut Harness, now_ms: u64) -> Vec<Order> {
    harness.now_ms = now_ms;
    harness.report(0, vec![], vec![]);
    harness.start_all()
}

/// Ends all runs as done, and returns the last write of the job.
fn finish(harness: &mut Harness, orders: &[Order], first_number: u64) -> RecordWrite {
    let ends = (first_number..).zip(orders);
    let ends = ends.map(|(number, order)| ended(order, number, RunOutcome::Done, ""));
    let ends = ends.collect();
    harness.report(0, vec![], ends);
    let (_, flush) = harness.plan_without_store();
    let write = flush.writes.last().unwrap().clone();
    harness.planner.complete_flush(flush, harness.now_ms);
    write
}

/// Returns a successor that takes the job over at a time.
fn succeed(
    stored: &StoredJob,
    record: Option<JobRecord>,
    parts: Vec<RecordPart>,
    now_ms: u64,
) -> Harness {
    let mut next = Harness {
        planner: Planner::new(limits(), now_ms),
        now_ms,
        workers: Vec::new(),
    };
    next.list(vec![entry(0)]);
    let record = join_record(stored, record, parts);
    next.planner.restore_job(stored.clone(), record, 1, now_ms);
    next
}

fn occurrences_of(orders: &[Order]) -> Vec<String> {
    let names = starts(orders).into_iter();
    let mut occurrences: Vec<String> = names
        .map(|(task, _)| task.split('.').nth(1).unwrap().to_string())
        .collect();
    occurrences.dedup();
    occurrences
}

#[test]
fn job_is_completed_after_its_last_occurrence() {
    let mut harness = with_job(&scheduled(1, 3, 2));
    assert_eq!(start_at(&mut harness, FIRST_DUE_MS - 1_000), []);
    for occurrence in 0..3 {
        let due_ms = FIRST_DUE_MS + occurrence * INTERVAL_MS;
        let orders = start_at(&mut harness, due_ms);
        assert_eq!(occurrences_of(&orders), [occurrence.to_string()]);
        let write = finish(&mut harness, &orders, 2 * occurrence + 1);
        let expected = match occurrence {
            2 => JobState::Completed,
            _ => JobState::Running,
        };
        assert_eq!(write.record.state, expected, "occurrence {occurrence}");
    }
}

/// The time of day may jump.
#[test]
fn occurrences_that_are_due_together_start_together() {
    let mut harness = with_job(&scheduled(1, 4, 1));
    let orders = start_at(&mut harness, FIRST_DUE_MS + 2 * INTERVAL_MS);
    assert_eq!(occurrences_of(&orders), ["0", "1", "2"]);
}

#[test]
fn occurrences_without_interval_start_together() {
    let mut stored = scheduled(1, 3, 1);
    stored.request.timing.interval_ms = 0;
    let mut harness = with_job(&stored);
    let orders = start_at(&mut harness, FIRST_DUE_MS);
    assert_eq!(occurrences_of(&orders), ["0", "1", "2"]);
}

#[rstest]
#[case::nothing_begun(0)]
#[case::first_done(1)]
#[case::all_but_last_done(2)]
fn successor_goes_on_with_next_occurrence(#[case] done: u64) {
    let stored = scheduled(1, 3, 2);
    let mut harness = with_job(&stored);
    let mut record = None;
    for occurrence in 0..done {
        let orders = start_at(&mut harness, FIRST_DUE_MS + occurrence * INTERVAL_MS);
        record = Some(finish(&mut harness, &orders, 2 * occurrence + 1).record);
    }
    let due_ms = FIRST_DUE_MS + done * INTERVAL_MS;
    let mut next = succeed(&stored, record, vec![], due_ms - 1_000);
    assert_eq!(start_at(&mut next, due_ms - 1_000), []);
    assert_eq!(next.planner.sizes().0, 1, "the job is not over");
    let orders = start_at(&mut next, due_ms);
    assert_eq!(occurrences_of(&orders), [done.to_string()]);
}

/// A run of a later occurrence than those that are due by the successor's clock goes on.
#[test]
fn successor_whose_clock_is_behind_keeps_what_runs() {
    let stored = scheduled(1, 3, 2);
    let mut harness = with_job(&stored);
    harness.now_ms = FIRST_DUE_MS + INTERVAL_MS;
    harness.report(0, vec![], vec![]);
    let (_, flush) = harness.plan_without_store();
    let record = flush.writes[0].record.clone();
    harness.planner.complete_flush(flush, harness.now_ms);
    let orders = harness.take_orders();
    assert_eq!(occurrences_of(&orders), ["0", "1"]);
    let mut next = succeed(&stored, Some(record), vec![], FIRST_DUE_MS - 5_000);
    next.report(0, orders.iter().map(running).collect(), vec![]);
    assert_eq!(next.plan(), [], "nothing is started or stopped");
}

/// Which part a task is in follows from the job's steps and occurrences alone.
#[test]
fn task_stays_in_its_part_when_the_next_occurrence_begins() {
    let stored = scheduled(1, 3, 200);
    let mut harness = with_job(&stored);
    let numbers =
        |write: &RecordWrite| -> Vec<u32> { write.parts.iter().map(|part| part.number).collect() };
    let first = start_at(&mut harness, FIRST_DUE_MS);
    let write = finish(&mut harness, &first, 1);
    assert_eq!(numbers(&write), [1]);
    let second = start_at(&mut harness, FIRST_DUE_MS + INTERVAL_MS);
    let write = finish(&mut harness, &second, 201);
    assert_eq!(numbers(&write), [1, 2]);
    let due_ms = FIRST_DUE_MS + 2 * INTERVAL_MS;
    let mut next = succeed(&stored, Some(write.record), write.parts, due_ms);
    let orders = start_at(&mut next, due_ms);
    assert_eq!(
        (occurrences_of(&orders), orders.len()),
        (vec!["2".to_string()], 200)
    );
}

#[test]
fn job_cancelled_before_it_is_due_is_over() {
    let stored = scheduled(1, 3, 2);
    let mut harness = with_job(&stored);
    harness.planner.cancel_job(stored.id, harness.now_ms);
    harness.plan();
    assert_eq!(harness.planner.sizes().0, 0);
}

/// Returns the resident memory of this process, in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let figure = line.and_then(|line| line.split_whitespace().nth(1));
    figure.unwrap().parse().unwrap()
}

/// A node may spend 128 MB. These are 1,800 jobs of the size of the largest of a deployment, an eighth of a day's.
#[test]
fn jobs_for_later_take_little_memory() {
    let mut harness = Harness::with_workers(1);
    let before_kb = resident_kb();
    for id in 1..=1_800 {
        let mut stored = scheduled(id, 4, 94);
        stored.request.timing.start_at_unix_ms = 3_600_000;
        harness.planner.add_job(stored, id, harness.now_ms);
    }
    assert_eq!(harness.plan(), []);
    let grown_kb = resident_kb().saturating_sub(before_kb);
    assert!(grown_kb < 128 * 1_024, "{grown_kb} kB");
}
