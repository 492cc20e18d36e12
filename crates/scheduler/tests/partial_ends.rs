//! A worker lists a limited number of ended runs at a time; a run that it does not list may be among the others.
//!
//! Guards against TWICE: a worker has more ends than it lists, the runs whose ends are cut off count as lost, start again,
//! and are then listed as done.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{EndedRun, JobState, RunOutcome, StartOutcome, StopOutcome};
use support::live_site::{LiveSite, TICK_MS};
use support::{Harness, ended, entry, job, limits, running, starts, step, stops};

/// How long a worker that is cut off keeps its lease.
const CUT_MS: u64 = 5_400;

/// Time in which the planner acts on what it has learned.
const PROMPT_MS: u64 = 2_000;

/// When the next incarnation of the worker begins.
const NEXT_BORN_UNIX_MS: u64 = 2_000;

/// Reports the ends of the only worker, on which nothing runs; `complete` says whether these are all.
fn report(harness: &mut Harness, ended: Vec<EndedRun>, complete: bool) {
    harness.now_ms += TICK_MS;
    harness.apply_lists(0, Some(entry(0).born_unix_ms), vec![], ended, complete);
}

/// The same for the next incarnation of the worker.
fn report_as_next(harness: &mut Harness, ended: Vec<EndedRun>, complete: bool) {
    harness.now_ms += TICK_MS;
    harness.apply_lists(0, Some(NEXT_BORN_UNIX_MS), vec![], ended, complete);
}

/// Returns a planner that has started a job of two tasks on its only worker, and the orders.
fn start_two(gang: bool) -> (Harness, Vec<Order>) {
    let mut harness = Harness::with_workers(1);
    let stored = job(1, 1, vec![StepSpec { gang, ..step(2, 4) }]);
    harness.planner.add_job(stored, 1, harness.now_ms);
    let orders = harness.start_all();
    assert_eq!(orders.len(), 2);
    (harness, orders)
}

/// Lists the only worker with its next incarnation, so that it gets work again.
fn list_next_incarnation(harness: &mut Harness) {
    harness.list(vec![WorkerEntry {
        born_unix_ms: NEXT_BORN_UNIX_MS,
        ..entry(0)
    }]);
}

fn done(order: &Order, number: u64) -> EndedRun {
    ended(order, number, RunOutcome::Done, "")
}

/// Returns the rest of a worker's ends: that of a run, or none.
fn list_rest(order: &Order, is_done: bool) -> Vec<EndedRun> {
    match is_done {
        true => vec![done(order, 2)],
        false => vec![],
    }
}

/// Returns the runs that start now.
fn next_runs(harness: &mut Harness) -> Vec<u32> {
    let runs = starts(&harness.plan()).into_iter().map(|(_, run)| run);
    runs.collect()
}

#[rstest]
#[case::its_end_follows(true, vec![])]
#[case::it_is_lost(false, vec![2])]
fn run_beyond_listed_ends_waits_for_the_rest(
    #[case] is_done: bool,
    #[case] expected_runs: Vec<u32>,
) {
    let (mut harness, orders) = start_two(false);
    report(&mut harness, vec![done(&orders[0], 1)], false);
    assert_eq!(starts(&harness.plan()), []);
    report(&mut harness, list_rest(&orders[1], is_done), true);
    assert_eq!(next_runs(&mut harness), expected_runs);
}

/// The ends cannot be confirmed for some time, so that the worker lists the same ones again and again.
#[test]
fn same_part_of_ends_is_listed_again() {
    let (mut harness, orders) = start_two(false);
    for _ in 0..3 {
        report(&mut harness, vec![done(&orders[0], 1)], false);
        assert_eq!(starts(&harness.plan()), []);
    }
    report(&mut harness, vec![done(&orders[1], 2)], true);
    assert_eq!(starts(&harness.plan()), []);
    assert_eq!(harness.planner.sizes().0, 0, "the job is over");
}

/// A successor's first answers of the worker.
#[rstest]
#[case::its_end_follows(true, vec![])]
#[case::it_never_ran(false, vec![2])]
fn inherited_run_beyond_listed_ends_waits_for_the_rest(
    #[case] is_done: bool,
    #[case] expected_runs: Vec<u32>,
) {
    let mut before = Harness::with_workers(1);
    let stored = job(1, 1, vec![step(2, 4)]);
    before.planner.add_job(stored.clone(), 1, before.now_ms);
    let (_, flush) = before.plan_without_store();
    let record = flush.writes[0].record.clone();
    before.planner.complete_flush(flush, before.now_ms);
    let orders = before.take_orders();
    let mut next = Harness {
        planner: Planner::new(limits(), 20_000),
        now_ms: 20_000,
        workers: Vec::new(),
    };
    next.list(vec![entry(0)]);
    next.planner
        .restore_job(stored, Some(record), 1, next.now_ms);
    for _ in 0..2 {
        report(&mut next, vec![done(&orders[0], 1)], false);
        assert_eq!(starts(&next.plan()), []);
    }
    report(&mut next, list_rest(&orders[1], is_done), true);
    assert_eq!(next_runs(&mut next), expected_runs);
}

/// A run that is being stopped occupies its worker until all ends are listed.
#[test]
fn stopped_run_beyond_listed_ends_occupies_capacity() {
    let (mut harness, orders) = start_two(false);
    let id = job(1, 1, vec![step(1, 1)]).id;
    harness.planner.cancel_job(id, harness.now_ms);
    let stopped = harness.plan();
    assert_eq!(stops(&stopped).len(), 2);
    for order in &stopped {
        let Order::Stop { task_key, run, .. } = order else {
            panic!("not a stop")
        };
        let taken = StopOutcome::Taken {
            sent_ms: harness.now_ms,
            received_ms: harness.now_ms,
        };
        harness
            .planner
            .apply_stop_outcome(task_key.unwrap(), *run, taken, harness.now_ms);
    }
    harness
        .planner
        .add_job(job(2, 1, vec![step(1, 8)]), 2, harness.now_ms);
    let stopped = |order, number| ended(order, number, RunOutcome::Stopped, "");
    report(&mut harness, vec![stopped(&orders[0], 1)], false);
    assert_eq!(starts(&harness.plan()), []);
    report(&mut harness, vec![stopped(&orders[1], 2)], true);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

/// The answer to a start came from the next incarnation, whose first answer to a renewal lists a part of its ends.
#[rstest]
#[case::its_end_follows(true, vec![])]
#[case::it_ran_on_the_earlier_one(false, vec![2])]
fn run_of_next_incarnation_beyond_listed_ends_waits_for_the_rest(
    #[case] is_done: bool,
    #[case] expected_runs: Vec<u32>,
) {
    let (mut harness, orders) = start_two(false);
    report_as_next(&mut harness, vec![done(&orders[0], 1)], false);
    list_next_incarnation(&mut harness);
    assert_eq!(starts(&harness.plan()), []);
    report_as_next(&mut harness, list_rest(&orders[1], is_done), true);
    assert_eq!(next_runs(&mut harness), expected_runs);
}

/// What the earlier incarnation has listed as running is over with it, whatever the next one lists.
#[test]
fn listed_run_of_earlier_incarnation_is_over() {
    let mut harness = Harness::with_workers(1);
    let stored = job(1, 1, vec![step(1, 4)]);
    harness.planner.add_job(stored, 1, harness.now_ms);
    let orders = harness.start_all();
    harness.now_ms += TICK_MS;
    harness.report_as(0, 1_000, orders.iter().map(running).collect(), vec![]);
    report_as_next(&mut harness, vec![], false);
    list_next_incarnation(&mut harness);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

/// A start without an answer may still be carried out on the next incarnation, until that one has taken a stop.
#[test]
fn start_in_doubt_is_stopped_on_next_incarnation() {
    let mut harness = Harness::with_workers(1);
    let stored = job(1, 1, vec![step(1, 4)]);
    harness.planner.add_job(stored, 1, harness.now_ms);
    let orders = harness.plan();
    harness.report_start_outcome(&orders[0], StartOutcome::NoAnswer);
    harness.take_orders();
    report_as_next(&mut harness, vec![], false);
    list_next_incarnation(&mut harness);
    let orders = harness.plan();
    assert_eq!((starts(&orders).len(), stops(&orders).len()), (0, 1));
}

/// One end of a gang stands for all; the other members occupy their worker until their own ends are listed.
#[test]
fn done_gang_member_beyond_listed_ends_occupies_capacity() {
    let (mut harness, orders) = start_two(true);
    harness
        .planner
        .add_job(job(2, 1, vec![step(1, 8)]), 2, harness.now_ms);
    report(&mut harness, vec![done(&orders[0], 1)], false);
    report(&mut harness, vec![], false);
    assert_eq!(starts(&harness.plan()), []);
    report(&mut harness, vec![done(&orders[1], 2)], true);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

/// What happens while more work ends on a worker than it lists at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    WorkerCutOff,
    PlannerReplaced,
    PlannerReplacedAgain,
}

#[rstest]
fn work_that_ends_unheard_runs_once(
    #[values(
        Trouble::WorkerCutOff,
        Trouble::PlannerReplaced,
        Trouble::PlannerReplacedAgain
    )]
    trouble: Trouble,
    #[values(1, 3, 5, 6)] max_listed_ends: usize,
) {
    let mut site = LiveSite::new(2);
    for worker in &mut site.workers {
        worker.max_listed_ends = max_listed_ends;
    }
    let stored = job(1, 1, vec![step(6, 1)]);
    site.run_job(stored.clone());
    let at = site.find_runs(stored.id);
    for index in &at {
        site.workers[*index].reachable = false;
    }
    site.play(CUT_MS);
    for index in &at {
        site.workers[*index].finish_runs();
    }
    if trouble != Trouble::WorkerCutOff {
        site.take_over();
    }
    for index in &at {
        site.workers[*index].reachable = true;
    }
    if trouble == Trouble::PlannerReplacedAgain {
        site.tick();
        site.take_over();
    }
    site.play(PROMPT_MS);
    assert_eq!(site.state(stored.id), JobState::Completed);
    assert_eq!(site.starts.len(), 6, "nothing starts again");
    assert_eq!(site.twice, Vec::<TaskName>::new());
}
