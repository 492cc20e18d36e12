//! A run of a gang counts as one failed run, however many of its members fail and however their ends arrive.
//!
//! Guards against LOST: several members of a gang fail in the same run, each failure uses up an attempt, and the job is
//! shown as failed after its first run.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{
    EndedRun, GroupRecord, JobRecord, JobState, RecordPart, RecordWrite, RunOutcome, TaskRecord,
    join_record,
};
use support::{Harness, ended, entry, job, limits, running, starts, step, worker_of};

/// Long enough that a gang starts again after a failure.
const RETRY_MS: u64 = 200;

/// Long enough that every lease that is not renewed has ended.
const LONGER_THAN_LEASE_MS: u64 = 12_000;

/// Returns a job whose only step is a gang of `members`, with `accelerators` each, that may fail `attempts` times.
fn gang(members: u32, accelerators: i64, attempts: u32) -> StoredJob {
    let step = StepSpec {
        gang: true,
        ..step(members, accelerators)
    };
    StoredJob {
        attempts,
        ..job(1, 1, vec![step])
    }
}

/// Returns a planner with `workers` workers that has started a gang, and the orders of its start.
fn start_gang(workers: u32, stored: &StoredJob) -> (Harness, Vec<Order>) {
    let mut harness = Harness::with_workers(workers);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let orders = harness.start_all();
    assert_eq!(orders.len() as u32, stored.request.steps[0].count);
    (harness, orders)
}

fn worker_index(harness: &Harness, order: &Order) -> usize {
    let worker = worker_of(order);
    harness.workers.iter().position(|w| *w == worker).unwrap()
}

/// Reports the end of one member, on a worker where nothing else runs.
fn end(harness: &mut Harness, order: &Order, number: u64, outcome: RunOutcome) {
    let index = worker_index(harness, order);
    harness.report(index, vec![], vec![ended(order, number, outcome, "")]);
}

/// Stores what has to be stored, and returns the job's write.
fn write_of(harness: &mut Harness) -> RecordWrite {
    let (_, flush) = harness.plan_without_store();
    let write = flush.writes.first().unwrap().clone();
    harness.planner.complete_flush(flush, harness.now_ms);
    write
}

/// Returns a successor, with `workers` listed workers, that reads a record and parts.
fn succeed(
    workers: u32,
    stored: &StoredJob,
    record: Option<JobRecord>,
    parts: Vec<RecordPart>,
) -> Harness {
    let mut next = Harness {
        planner: Planner::new(limits(), 20_000),
        now_ms: 20_000,
        workers: Vec::new(),
    };
    next.list((0..workers).map(entry).collect());
    let record = join_record(stored, record, parts);
    next.planner
        .restore_job(stored.clone(), record, 1, next.now_ms);
    next
}

/// Returns the run numbers that start once the gang may start again; empty if it does not.
fn next_runs(harness: &mut Harness) -> Vec<u32> {
    harness.now_ms += RETRY_MS;
    let runs = starts(&harness.plan()).into_iter().map(|(_, run)| run);
    runs.collect()
}

#[rstest]
#[case::two(2, 2)]
#[case::four(4, 4)]
#[case::others_break(4, 2)]
fn run_with_several_failed_members_costs_one_attempt(#[case] members: u32, #[case] failing: usize) {
    let stored = gang(members, 8, 2);
    let (mut harness, orders) = start_gang(members, &stored);
    for (index, order) in orders.iter().enumerate() {
        let outcome = match index < failing {
            true => RunOutcome::Failed,
            false => RunOutcome::Broken,
        };
        end(&mut harness, order, 1, outcome);
    }
    assert_eq!(next_runs(&mut harness), vec![2; members as usize]);
}

#[test]
fn run_with_failed_members_on_one_worker_costs_one_attempt() {
    let (mut harness, orders) = start_gang(1, &gang(4, 2, 2));
    let ends = (1..).zip(&orders);
    let ends = ends.map(|(number, order)| ended(order, number, RunOutcome::Failed, ""));
    let ends: Vec<EndedRun> = ends.collect();
    harness.report(0, vec![], ends);
    assert_eq!(next_runs(&mut harness), vec![2; 4]);
}

#[rstest]
#[case::one_attempt(1)]
#[case::two_attempts(2)]
#[case::three_attempts(3)]
fn job_fails_after_as_many_failed_runs_as_attempts(#[case] attempts: u32) {
    let mut harness = Harness::with_workers(4);
    harness
        .planner
        .add_job(gang(2, 8, attempts), 1, harness.now_ms);
    let mut ends_of = [0; 4];
    for run in 1..=attempts {
        let orders = harness.start_all();
        assert!(starts(&orders).iter().all(|(_, started)| *started == run));
        assert_eq!(orders.len(), 2, "run {run}");
        for order in &orders {
            let worker = worker_index(&harness, order);
            ends_of[worker] += 1;
            end(&mut harness, order, ends_of[worker], RunOutcome::Failed);
        }
        harness.now_ms += RETRY_MS;
    }
    assert_eq!(starts(&harness.plan()), []);
    assert_eq!(harness.planner.sizes().0, 0, "the job is over");
}

/// One member fails in each run, a different one each time: the gang has failed as often as its runs.
#[test]
fn failures_of_different_members_in_different_runs_add_up() {
    let mut harness = Harness::with_workers(2);
    harness.planner.add_job(gang(2, 8, 2), 1, harness.now_ms);
    for run in 1..=2 {
        let orders = harness.start_all();
        assert_eq!(orders.len(), 2, "run {run}");
        let outcomes = match run {
            1 => [RunOutcome::Failed, RunOutcome::Broken],
            _ => [RunOutcome::Broken, RunOutcome::Failed],
        };
        for (order, outcome) in orders.iter().zip(outcomes) {
            end(&mut harness, order, run, outcome);
        }
        harness.now_ms += RETRY_MS;
    }
    assert_eq!(starts(&harness.plan()), []);
    assert_eq!(harness.planner.sizes().0, 0, "the job is over");
}

#[rstest]
#[case::repeated(false)]
#[case::after_a_newer_one(true)]
fn repeated_answer_costs_no_attempt(#[case] newer_in_between: bool) {
    let (mut harness, orders) = start_gang(2, &gang(2, 8, 2));
    end(&mut harness, &orders[0], 1, RunOutcome::Failed);
    if newer_in_between {
        let index = worker_index(&harness, &orders[0]);
        harness.report(index, vec![], vec![]);
    }
    end(&mut harness, &orders[0], 1, RunOutcome::Failed);
    end(&mut harness, &orders[1], 1, RunOutcome::Failed);
    end(&mut harness, &orders[1], 1, RunOutcome::Failed);
    assert_eq!(next_runs(&mut harness), vec![2, 2]);
}

/// The second member's end arrives when the next run has begun, after its worker's lease ended.
#[rstest]
#[case::same_member_fails_again(0)]
#[case::other_member_fails(1)]
fn late_end_of_earlier_run_costs_no_attempt(#[case] failing: usize) {
    let (mut harness, first) = start_gang(4, &gang(2, 8, 3));
    end(&mut harness, &first[0], 1, RunOutcome::Failed);
    harness.now_ms += LONGER_THAN_LEASE_MS;
    let silent = worker_index(&harness, &first[1]);
    for index in (0..4).filter(|index| *index != silent) {
        harness.report(index, vec![], vec![]);
    }
    let second = harness.start_all();
    assert_eq!(second.len(), 2, "the next run begins");
    end(&mut harness, &first[1], 1, RunOutcome::Failed);
    for (index, order) in second.iter().enumerate() {
        let outcome = match index == failing {
            true => RunOutcome::Failed,
            false => RunOutcome::Broken,
        };
        end(&mut harness, order, 2, outcome);
    }
    assert_eq!(next_runs(&mut harness), vec![3, 3]);
}

/// What the first planner has stored when the second one takes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stored {
    BeforeEnds,
    AfterFirstEnd,
    AfterBothEnds,
}

/// The members' ends reach two planners: each hears of one, or of both.
#[rstest]
fn run_costs_one_attempt_across_change_of_planners(
    #[values(Stored::BeforeEnds, Stored::AfterFirstEnd, Stored::AfterBothEnds)] point: Stored,
    #[values(false, true)] is_first_end_listed_again: bool,
) {
    let stored = gang(2, 8, 2);
    let mut harness = Harness::with_workers(4);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let mut record = write_of(&mut harness).record;
    let orders = harness.take_orders();
    let ends: Vec<(usize, EndedRun)> = orders
        .iter()
        .map(|order| {
            let end = ended(order, 1, RunOutcome::Failed, "");
            (worker_index(&harness, order), end)
        })
        .collect();
    for order in &orders {
        harness.confirm(order);
    }
    end(&mut harness, &orders[0], 1, RunOutcome::Failed);
    if point == Stored::AfterFirstEnd {
        record = write_of(&mut harness).record;
    }
    end(&mut harness, &orders[1], 1, RunOutcome::Failed);
    if point == Stored::AfterBothEnds {
        record = write_of(&mut harness).record;
    }
    let mut next = succeed(4, &stored, Some(record), vec![]);
    let [(first_worker, first_end), (second_worker, second_end)] = ends.try_into().unwrap();
    let first_listed = match point == Stored::BeforeEnds || is_first_end_listed_again {
        true => vec![first_end],
        false => vec![],
    };
    next.report(first_worker, vec![], first_listed);
    next.report(second_worker, vec![], vec![second_end]);
    assert_eq!(next_runs(&mut next), vec![2, 2]);
}

/// A gang of more tasks than a part of a record holds: a failure that only one of the parts knows of counts.
#[rstest]
#[case::second_part_is_older(1)]
#[case::first_part_is_older(0)]
fn run_costs_one_attempt_in_parts_of_a_large_record(#[case] older: usize) {
    let mut stored = gang(300, 0, 2);
    stored.request.steps[0].need = Resources::default();
    let mut harness = Harness::with_workers(1);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let before = write_of(&mut harness);
    let orders = harness.take_orders();
    for order in &orders {
        harness.confirm(order);
    }
    let (failed, rest) = (&orders[0], &orders[1..]);
    harness.report(
        0,
        rest.iter().map(running).collect(),
        vec![ended(failed, 1, RunOutcome::Failed, "")],
    );
    let mut write = write_of(&mut harness);
    assert_eq!(write.parts.len(), 2);
    write.parts[older] = before.parts[older].clone();
    let mut next = succeed(1, &stored, Some(write.record), write.parts);
    let ends = (1..).zip(&orders);
    let ends = ends.map(|(number, order)| ended(order, number, RunOutcome::Failed, ""));
    let ends: Vec<EndedRun> = ends.collect();
    next.report(0, vec![], ends);
    assert_eq!(next_runs(&mut next), vec![2; 300]);
}

/// The parts are written before the state that follows from them.
#[test]
fn state_after_last_attempt_is_concluded_by_successor() {
    let stored = gang(2, 8, 1);
    let (mut harness, orders) = start_gang(2, &stored);
    for order in &orders {
        end(&mut harness, order, 1, RunOutcome::Failed);
    }
    let mut record = write_of(&mut harness).record;
    assert_eq!(record.state, JobState::Failed);
    record.state = JobState::Running;
    let task = TaskRecord {
        run: 1,
        ..TaskRecord::default()
    };
    record.groups = vec![GroupRecord {
        occurrence: 0,
        step: 0,
        gang_failed: 1,
        gang_failed_run: 1,
        first: 0,
        placed_unix_ms: 0,
        units: vec![task; 2],
    }];
    let mut next = succeed(2, &stored, Some(record), vec![]);
    for index in 0..2 {
        next.report(index, vec![], vec![]);
    }
    let (orders, flush) = next.plan_without_store();
    assert_eq!(starts(&orders), []);
    assert_eq!(flush.writes[0].record.state, JobState::Failed);
}
