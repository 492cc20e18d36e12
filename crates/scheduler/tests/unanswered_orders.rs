//! Workers that answer renewals, but no orders.
//!
//! Guards against a task that is held for good by a start or a stop that never gets an answer.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{ActiveRun, StartOutcome, StopOutcome};
use support::live_site::{LiveSite, TICK_MS};
use support::live_worker::LiveWorker;
use support::{Harness, job, running, starts, step, stops, worker_of};

/// Time between two answers of a worker.
const RENEWED_EVERY_MS: u64 = 500;

/// An order is given up after the time of a lease, and the run is over after another one, by a clock that is 2% slow.
const BOUND_MS: u64 = 2 * 9_500 * 100 / 98 + 3_000;

/// Lets time pass, until a task starts elsewhere, in which the first worker answers renewals, each with these runs, and no
/// orders. Returns the starts on other workers, by when the lease of the first must have ended on its clock.
fn play(harness: &mut Harness, listed: &[Vec<ActiveRun>], ms: u64) -> Vec<(String, u32)> {
    let first = harness.workers[0];
    let end_ms = harness.now_ms + ms;
    let mut started = Vec::new();
    let mut lease_end_clock_ms = 0;
    while harness.now_ms < end_ms && started.is_empty() {
        harness.now_ms += RENEWED_EVERY_MS;
        for (index, runs) in listed.iter().enumerate() {
            let lease = harness
                .planner
                .grant_lease(harness.workers[index], harness.now_ms);
            if let Some(end_clock_ms) = lease.filter(|_| index == 0) {
                lease_end_clock_ms = end_clock_ms;
            }
            harness.report(index, runs.clone(), vec![]);
        }
        // A renewal waits at the worker for an end.
        harness.now_ms += 200;
        for order in harness.plan() {
            if worker_of(&order) != first {
                assert!(500_000 + harness.now_ms > lease_end_clock_ms);
                started.extend(starts(std::slice::from_ref(&order)));
                harness.confirm(&order);
                continue;
            }
            harness.report_start_outcome(&order, StartOutcome::NoAnswer);
            if let Order::Stop {
                task_key: Some(task),
                run,
                ..
            } = order
            {
                let now_ms = harness.now_ms;
                harness
                    .planner
                    .apply_stop_outcome(task, run, StopOutcome::NoAnswer, now_ms);
            }
        }
    }
    started
}

/// Starts a job of one task on the first of two workers, and the second becomes known.
fn start_first() -> (Harness, Order) {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .add_job(job(1, 1, vec![step(1, 1)]), 1, harness.now_ms);
    let orders = harness.plan();
    harness.list(vec![support::entry(0), support::entry(1)]);
    harness.report(1, vec![], vec![]);
    (harness, orders[0].clone())
}

#[test]
fn start_without_answer_is_repeated_for_good() {
    let (mut harness, start) = start_first();
    harness.report_start_outcome(&start, StartOutcome::NoAnswer);
    let early = play(&mut harness, &[vec![], vec![]], 15_000);
    assert_eq!(early, [], "the start may still be carried out");
    let late = play(&mut harness, &[vec![], vec![]], BOUND_MS - 15_000);
    assert_eq!(late, [(format!("{:016x}.0.0.0", 1), 2)]);
}

#[rstest]
fn stop_without_answer_is_repeated_for_good(#[values(true, false)] is_listed: bool) {
    let (mut harness, start) = start_first();
    harness.confirm(&start);
    let now_ms = harness.now_ms;
    harness.planner.drain_worker("i-0", now_ms);
    let listed = match is_listed {
        true => vec![running(&start)],
        false => vec![],
    };
    let orders = harness.plan();
    assert_eq!(stops(&orders).len(), 1);
    if let Order::Stop {
        task_key: Some(task),
        run,
        ..
    } = orders[0]
    {
        harness
            .planner
            .apply_stop_outcome(task, run, StopOutcome::NoAnswer, now_ms);
    }
    let started = play(&mut harness, &[listed, vec![]], BOUND_MS);
    assert_eq!(started, [(format!("{:016x}.0.0.0", 1), 2)]);
}

/// The start of a second task on the same worker gets no answer.
#[test]
fn neighbour_of_unanswered_start_is_killed() {
    let (mut harness, start) = start_first();
    harness.confirm(&start);
    harness
        .planner
        .add_job(job(2, 1, vec![step(1, 1)]), 2, harness.now_ms);
    let started = play(&mut harness, &[vec![running(&start)], vec![]], BOUND_MS);
    assert_eq!(started, [], "both tasks are on the first worker");
    let lease = harness
        .planner
        .grant_lease(harness.workers[0], harness.now_ms);
    assert!(lease.is_some());
}

/// Starts to the first worker get no answer. Those sent from `from_ms` on are carried out `late_ms` later, unless the lease has
/// ended by then.
#[rstest]
fn given_up_start_is_carried_out_late(
    #[values(0, 2_000, 5_000, 7_000, 8_000, 9_000, 9_400, 30_000)] from_ms: u64,
    #[values(100, 700, 2_300, 5_000, 9_000)] late_ms: u64,
) {
    let mut site = LiveSite::new(1);
    let first = site.workers[0].id.clone();
    site.add(job(1, 1, vec![step(1, 1)]));
    let began_ms = site.harness.now_ms;
    let mut under_way: Vec<(u64, TaskName, u32, u64)> = Vec::new();
    for tick in 0..600 {
        site.harness.now_ms += TICK_MS;
        let now_ms = site.harness.now_ms;
        if tick == 5 {
            site.workers.push(LiveWorker::new(1, now_ms));
            site.entries.push(support::entry(1));
        }
        // Later tasks have the lease of the first worker renewed again.
        if tick % 50 == 10 {
            site.add(job(2 + tick, 2, vec![step(1, 1)]));
        }
        site.list();
        for worker in &mut site.workers {
            worker.expire_lease(now_ms);
        }
        for (_, task, run, lease_end_clock_ms) in under_way.extract_if(.., |call| call.0 <= now_ms)
        {
            let worker = &mut site.workers[0];
            if lease_end_clock_ms.max(worker.lease_end_clock_ms) > worker.clock_ms(now_ms) {
                worker.start(task, run, lease_end_clock_ms, now_ms);
            }
        }
        // Renewals wait at the workers.
        if tick % 5 == 0 {
            site.renew_all();
        }
        for order in site.plan() {
            let entry = site.harness.planner.entry(worker_of(&order)).cloned();
            if entry.is_none_or(|entry| entry.id != first) {
                site.carry_out(&order);
                continue;
            }
            match order {
                Order::Start {
                    worker, task, run, ..
                } => {
                    let lease = site.harness.planner.grant_lease(worker, now_ms);
                    if let Some(lease) = lease.filter(|_| now_ms >= began_ms + from_ms) {
                        under_way.push((now_ms + late_ms, task, run, lease));
                    }
                    site.harness
                        .report_start_outcome(&order, StartOutcome::NoAnswer);
                }
                Order::Stop {
                    task_key: Some(task),
                    run,
                    ..
                } => {
                    let outcome = StopOutcome::NoAnswer;
                    site.harness
                        .planner
                        .apply_stop_outcome(task, run, outcome, now_ms);
                }
                _ => {}
            }
        }
        for stored in &site.stored {
            let tasks = site.workers.iter().flat_map(|worker| &worker.running);
            let mut names: Vec<String> = tasks
                .filter(|active| active.task.job == stored.id)
                .map(|active| active.task.to_string())
                .collect();
            let all = names.len();
            names.sort_unstable();
            names.dedup();
            assert_eq!(names.len(), all, "tasks of {} run twice", stored.id);
        }
    }
    let task = job(1, 1, vec![step(1, 1)]).id;
    assert_eq!(site.find_runs(task).len(), 1, "it runs somewhere");
}
