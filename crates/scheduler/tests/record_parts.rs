//! Records of jobs with many tasks, which are stored in parts.
//!
//! Guards against records that the store refuses, or that a slow link does not carry in time, and against a successor that
//! misses tasks after only some of the parts were written.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{JobRecord, JobState, RecordPart, RecordWrite, RunOutcome, join_record};
use support::{Harness, ended, job, limits, running, starts, step};

/// The most tasks of one step that a caller may submit.
const MOST_TASKS: u32 = 4_096;

/// Bytes that a link of 2 Mbit/s carries in a quarter of a second, without the encoding in base64.
const MAX_PART_BYTES: usize = 46_875;

/// Returns a job with two steps that need nothing, so that all its tasks run at once.
fn wide_job(tasks: u32) -> StoredJob {
    let free = || StepSpec {
        need: Resources::default(),
        ..step(tasks, 0)
    };
    job(1, 1, vec![free(), free()])
}

/// Returns the write of the only job.
fn write_of(harness: &mut Harness) -> RecordWrite {
    let (_, flush) = harness.plan_without_store();
    let write = flush.writes.first().unwrap().clone();
    harness.planner.complete_flush(flush, harness.now_ms);
    write
}

/// Returns a successor that reads a record and parts.
fn restore(stored: &StoredJob, record: Option<JobRecord>, parts: Vec<RecordPart>) -> Harness {
    let mut next = Harness {
        planner: Planner::new(limits(), 20_000),
        now_ms: 20_000,
        workers: Vec::new(),
    };
    next.list(vec![support::entry(0)]);
    let record = join_record(stored, record, parts);
    next.planner
        .restore_job(stored.clone(), record, 1, next.now_ms);
    next
}

#[test]
fn part_of_8192_tasks_is_too_large() {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .add_job(wide_job(MOST_TASKS), 1, harness.now_ms);
    let write = write_of(&mut harness);
    let mut tasks = 0;
    for part in &write.parts {
        let mut part = part.clone();
        for task in part.groups.iter_mut().flat_map(|group| &mut group.units) {
            task.progress = "00000bb87a21d94b".to_string();
            task.worker.as_mut().unwrap().id = "i-b127ce5b8f".to_string();
            task.worker.as_mut().unwrap().born_unix_ms = u64::MAX / 1_000_000;
            task.worker.as_mut().unwrap().address = "10.200.100.100:65000".to_string();
            tasks += 1;
        }
        let bytes = serde_json::to_vec(&part).unwrap().len();
        assert!(bytes <= MAX_PART_BYTES, "{bytes} bytes");
    }
    assert_eq!((tasks, write.record.groups.len()), (2 * MOST_TASKS, 0));
}

#[test]
fn task_moves_to_another_part() {
    let mut harness = Harness::with_workers(1);
    let mut stored = wide_job(200);
    stored.request.steps[1].after = vec![0];
    harness.planner.add_job(stored, 1, harness.now_ms);
    let first = write_of(&mut harness);
    let orders = harness.take_orders();
    for order in &orders {
        harness.confirm(order);
    }
    let ends = (1..).zip(&orders);
    let ends = ends.map(|(number, order)| ended(order, number, RunOutcome::Done, ""));
    harness.report(0, vec![], ends.collect());
    let second = write_of(&mut harness);
    let places = |write: &RecordWrite| -> Vec<(u32, u32, u32, usize)> {
        let groups = write.parts.iter().flat_map(|part| {
            let number = part.number;
            part.groups.iter().map(move |group| (number, group))
        });
        groups
            .map(|(number, group)| (number, group.step, group.first, group.units.len()))
            .collect()
    };
    assert_eq!(places(&first), [(1, 0, 0, 200)]);
    assert_eq!(places(&second), [(1, 0, 0, 200), (2, 1, 0, 200)]);
}

#[test]
fn gang_is_divided() {
    let mut harness = Harness::with_workers(1);
    let mut stored = wide_job(128);
    let small = stored.request.steps[0].clone();
    stored.request.steps = vec![
        StepSpec {
            count: 200,
            ..small.clone()
        },
        StepSpec {
            gang: true,
            ..small.clone()
        },
        StepSpec {
            gang: true,
            ..small
        },
    ];
    harness.planner.add_job(stored, 1, harness.now_ms);
    let write = write_of(&mut harness);
    let sizes: Vec<Vec<usize>> = write
        .parts
        .iter()
        .map(|part| part.groups.iter().map(|g| g.units.len()).collect())
        .collect();
    assert_eq!(sizes, [vec![200], vec![128, 128]]);
}

#[test]
fn successor_starts_what_parts_name() {
    let mut harness = Harness::with_workers(1);
    let stored = wide_job(600);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let write = write_of(&mut harness);
    assert_eq!(write.parts.len(), 6);
    let orders = harness.take_orders();
    let mut next = restore(&stored, Some(write.record), write.parts);
    next.report(0, orders.iter().map(running).collect(), vec![]);
    assert_eq!(next.plan(), []);
}

/// The first write of a job that is divided over several may be cut short by a takeover.
#[test]
fn successor_misses_parts_without_record() {
    let mut harness = Harness::with_workers(1);
    let stored = wide_job(300);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let write = write_of(&mut harness);
    let written = write.parts[..1].to_vec();
    let orders = harness.take_orders();
    let mut next = restore(&stored, None, written);
    next.report(0, orders[..256].iter().map(running).collect(), vec![]);
    assert_eq!(starts(&next.plan()).len(), 600 - 256);
}

/// An earlier version wrote whole records; parts were written since, and the record not yet.
#[test]
fn whole_record_of_earlier_version_hides_parts() {
    let mut harness = Harness::with_workers(1);
    let stored = wide_job(300);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let write = write_of(&mut harness);
    let whole = join_record(&stored, Some(write.record), write.parts.clone()).unwrap();
    let mut next = restore(&stored, Some(whole.clone()), vec![]);
    let orders = harness.take_orders();
    next.report(0, orders.iter().map(running).collect(), vec![]);
    assert_eq!(next.plan(), []);
    let mut newer = write.parts[0].clone();
    for task in &mut newer.groups[0].units {
        (task.done, task.worker) = (true, None);
    }
    let mut next = restore(&stored, Some(whole), vec![newer]);
    next.report(0, vec![], vec![]);
    assert_eq!(starts(&next.plan()).len(), 600 - 256);
}

/// The parts are written before the state that follows from them.
#[rstest]
#[case::all_done(true, 0, JobState::Completed)]
#[case::used_up(false, 2, JobState::Failed)]
fn state_that_was_not_written_is_lost(
    #[case] done: bool,
    #[case] failed: u32,
    #[case] expected: JobState,
) {
    let mut harness = Harness::with_workers(1);
    let stored = wide_job(300);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let mut write = write_of(&mut harness);
    let groups = write.parts.iter_mut().flat_map(|part| &mut part.groups);
    for task in groups.flat_map(|group| &mut group.units) {
        (task.done, task.failed, task.worker) = (done, failed, None);
    }
    assert_eq!(write.record.state, JobState::Running);
    let mut next = restore(&stored, Some(write.record), write.parts);
    let (orders, flush) = next.plan_without_store();
    assert_eq!(starts(&orders), []);
    assert_eq!(flush.writes[0].record.state, expected);
}

/// A gang of more tasks than a part holds is written in several parts.
#[test]
fn gang_of_two_runs_goes_on() {
    let mut harness = Harness::with_workers(1);
    let mut stored = wide_job(300);
    stored.request.steps.truncate(1);
    stored.request.steps[0].gang = true;
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let mut write = write_of(&mut harness);
    for task in &mut write.parts[0].groups[0].units {
        task.run = 2;
    }
    let mut next = restore(&stored, Some(write.record), write.parts);
    next.report(0, vec![], vec![]);
    let orders = next.plan();
    assert_eq!(starts(&orders).len(), 300);
    assert!(starts(&orders).iter().all(|(_, run)| *run == 3));
}

/// Another writer may name tasks that the job does not have.
#[test]
fn part_beyond_the_step_takes_all_memory() {
    let mut harness = Harness::with_workers(1);
    let stored = wide_job(300);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let mut write = write_of(&mut harness);
    write.parts[0].groups[0].first = u32::MAX;
    write.parts[1].groups[0].step = u32::MAX;
    let joined = join_record(&stored, Some(write.record), write.parts).unwrap();
    assert!(joined.groups.iter().all(|group| group.units.len() <= 300));
}

/// A worker may list a progress of any length.
#[test]
fn long_progress_is_stored() {
    let mut harness = Harness::with_workers(1);
    harness.planner.add_job(wide_job(1), 1, harness.now_ms);
    let orders = harness.start_all();
    let mut end = ended(&orders[0], 1, RunOutcome::Stopped, "");
    end.progress = "x".repeat(100_000);
    harness.report(0, vec![], vec![end]);
    let write = write_of(&mut harness);
    assert!(serde_json::to_vec(&write.record).unwrap().len() < 1_000);
}
