//! Jobs that are due and wait for room: their tasks are held in memory up to a bound.
//!
//! Guards against a planner that exceeds the memory of its VM because of jobs that wait, and against jobs that are kept
//! waiting by the bound although there is room for them.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{EndedRun, RunOutcome, Timing};
use support::{Harness, ended, job, limits, starts, step, worker_of};

/// A planner that holds few tasks.
fn harness(workers: u32, max_built_tasks: usize) -> Harness {
    let mut harness = Harness::with_workers(workers);
    let limits = Limits {
        max_built_tasks,
        ..limits()
    };
    harness.planner = Planner::new(limits, harness.now_ms);
    harness.workers.clear();
    harness.list((0..workers).map(support::entry).collect());
    for index in 0..workers as usize {
        harness.report(index, vec![], vec![]);
    }
    harness
}

/// Starts what can start, and ends all of it as done; returns the names of the tasks.
fn play_round(harness: &mut Harness, ends: &mut u64) -> Vec<String> {
    harness.now_ms += 1_000;
    let orders = harness.start_all();
    for (index, worker) in harness.workers.clone().into_iter().enumerate() {
        let here = orders.iter().filter(|order| worker_of(order) == worker);
        let listed: Vec<EndedRun> = here
            .map(|order| {
                *ends += 1;
                ended(order, *ends, RunOutcome::Done, "")
            })
            .collect();
        harness.report(index, vec![], listed);
    }
    starts(&orders).into_iter().map(|(name, _)| name).collect()
}

/// All jobs get done in the order of acceptance, though few of them are held in memory at the same time.
#[rstest]
#[case::at_once(0)]
#[case::occurrences(3)]
#[case::many_occurrences(40)]
fn backlog_gets_done_within_bound(#[case] times: u32) {
    let mut harness = harness(2, 64);
    let jobs = 240 / u64::from(times.max(1));
    for id in 1..=jobs {
        let mut stored = job(id, 1, vec![step(8, 1)]);
        stored.request.timing = Timing {
            times,
            start_at_unix_ms: 1,
            interval_ms: u64::from(times > 0),
        };
        harness.planner.add_job(stored, id, harness.now_ms);
    }
    let (mut ends, mut done) = (0, Vec::new());
    for _ in 0..400 {
        done.extend(play_round(&mut harness, &mut ends));
        assert!(harness.planner.count_built_tasks() <= 64);
    }
    harness.plan();
    assert_eq!(done.len(), 8 * 240);
    assert_eq!(harness.planner.sizes().0, 0);
    let order: Vec<&str> = done
        .iter()
        .filter_map(|name| name.split('.').next())
        .collect();
    assert!(order.is_sorted(), "in the order of acceptance");
}

/// Work of another priority or organisation, and a job that is larger than the bound, are not kept waiting by a backlog.
#[rstest]
#[case::more_urgent("desk", 0, 1)]
#[case::other_organisation("plant", 2, 1)]
#[case::larger_than_bound("plant", 1, 100)]
fn backlog_of_others_keeps_no_job_waiting(
    #[case] organisation: &str,
    #[case] priority: u32,
    #[case] count: u32,
) {
    let mut harness = harness(1, 64);
    // What nobody can run, so that it waits for ever.
    let impossible = StepSpec {
        required_label: Some("none".to_string()),
        ..step(8, 1)
    };
    for id in 1..=100 {
        let stored = job(id, 2, vec![impossible.clone()]);
        harness.planner.add_job(stored, id, harness.now_ms);
    }
    harness.plan();
    assert!(harness.planner.count_built_tasks() <= 64);
    let stored = StoredJob {
        organisation: organisation.to_string(),
        ..job(1_000, priority, vec![step(count, 0)])
    };
    let name = stored.id.to_string();
    harness.planner.add_job(stored, 1_000, harness.now_ms);
    harness.now_ms += 50;
    let started = starts(&harness.plan());
    assert!(started.iter().any(|(task, _)| task.starts_with(&name)));
    let decisions = harness.planner.take_decisions();
    assert_eq!(decisions.iter().filter(|d| d.what == "backlog").count(), 1);
}

/// A successor holds what records name, and builds the rest within the bound.
#[test]
fn successor_builds_backlog_within_bound() {
    let mut first = harness(1, 64);
    let stored: Vec<StoredJob> = (1..=40).map(|id| job(id, 1, vec![step(8, 1)])).collect();
    for (order, job) in (1..).zip(&stored) {
        first.planner.add_job(job.clone(), order, first.now_ms);
    }
    let (_, flush) = first.plan_without_store();
    let mut second = harness(1, 64);
    for (order, job) in (1..).zip(&stored) {
        let write = flush.writes.iter().find(|write| write.job == job.id);
        let record = write.map(|write| write.record.clone());
        let now_ms = second.now_ms;
        second
            .planner
            .restore_job(job.clone(), record, order, now_ms);
    }
    assert!(second.planner.count_built_tasks() <= 64);
    second.report(0, vec![], vec![]);
    let (mut ends, mut done) = (0, Vec::new());
    for _ in 0..100 {
        done.extend(play_round(&mut second, &mut ends));
    }
    assert_eq!(done.len(), 8 * 40);
}

/// Returns the resident memory of this process, in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let figure = line.and_then(|line| line.split_whitespace().nth(1));
    figure.unwrap().parse().unwrap()
}

/// A node may spend 128 MB. These are a quarter of a day's jobs, of the size of the largest of a deployment, all of them due.
#[test]
fn jobs_that_wait_take_little_memory() {
    let mut harness = Harness::with_workers(8);
    let before_kb = resident_kb();
    for id in 1..=3_200 {
        let mut stored = job(id, 2, vec![step(94, 1)]);
        stored.request.timing = Timing {
            times: 4,
            start_at_unix_ms: 1,
            interval_ms: 1,
        };
        harness.planner.add_job(stored, id, harness.now_ms);
    }
    assert_eq!(starts(&harness.plan()).len(), 64);
    let grown_kb = resident_kb().saturating_sub(before_kb);
    assert!(grown_kb < 128 * 1_024, "{grown_kb} kB");
}
