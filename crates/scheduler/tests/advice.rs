//! Queries to the advice service: how many workers they name, how long they are expected to take, and what follows one
//! without an answer.
//!
//! Guards against LOST: a query takes longer than the planner waits for it and is repeated alike, so that no job of the
//! queue starts.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{Advice, AdviceAnswer, BodyLimits, GroupKey, Queue};
use support::{Harness, job, queue, starts, step};

/// More workers than one query names.
const WORKERS: u32 = 40;

fn figures(decide_ms: u64, each_worker_ms: u64) -> Advice {
    Advice {
        decide_ms,
        each_worker_ms,
        valid_ms: 10_000,
    }
}

/// Returns a planner with a job that needs advice, by these figures at its acceptance.
fn with_job(advice: Advice) -> Harness {
    let mut harness = Harness::with_workers(WORKERS);
    let stored = StoredJob {
        advice: Some(advice),
        ..job(1, 1, vec![step(1, 1)])
    };
    harness.planner.add_job(stored, 1, harness.now_ms);
    harness
}

/// Puts a configuration in force in which the job's queue has these figures.
fn configure(harness: &mut Harness, advice: Advice) {
    harness.planner.set_configuration(&Configuration {
        version: 2,
        queues: vec![Queue {
            advice: Some(advice),
            ..queue(1)
        }],
        services: Vec::new(),
        organisations: Vec::new(),
        limits: BodyLimits { body_bytes: 1 },
    });
}

/// Returns the group, the workers and the expected time of the next query.
fn next_query(harness: &mut Harness) -> (GroupKey, Vec<WorkerKey>, u64) {
    for _ in 0..10 {
        harness.now_ms += 100;
        for index in 0..WORKERS as usize {
            harness.report(index, vec![], vec![]);
        }
        if let [
            Order::Ask {
                group,
                workers,
                expected_ms,
                ..
            },
        ] = harness.plan().as_slice()
        {
            let keys = workers.iter().map(|(key, _)| *key).collect();
            return (*group, keys, *expected_ms);
        }
    }
    panic!("no query");
}

fn answer(harness: &mut Harness, group: GroupKey, asked: &[WorkerKey], answer: Option<&str>) {
    let answer = answer.map(|id| AdviceAnswer {
        allowed: vec![(id.to_string(), "ticket".to_string())],
        valid_ms: 10_000,
        received_ms: harness.now_ms,
    });
    harness
        .planner
        .apply_advice(group, asked, answer, harness.now_ms);
}

#[rstest]
#[case::quick(60, 8, 30, 300)]
#[case::all_figures_zero(0, 0, 30, 0)]
#[case::slow_for_each_worker(500, 200, 22, 4_900)]
#[case::one_worker_is_too_slow(0, 9_000, 1, 9_000)]
#[case::slow_decision(8_000, 100, 30, 11_000)]
#[case::absurd(u64::MAX, u64::MAX, 1, u64::MAX)]
fn query_names_as_many_workers_as_take_some_seconds(
    #[case] decide_ms: u64,
    #[case] each_worker_ms: u64,
    #[case] workers: usize,
    #[case] expected_ms: u64,
) {
    let mut harness = with_job(figures(decide_ms, each_worker_ms));
    let (_, asked, expected) = next_query(&mut harness);
    assert_eq!((asked.len(), expected), (workers, expected_ms));
}

/// The operator changes the figures after the job was accepted.
#[rstest]
#[case::slower(figures(60, 8), figures(500, 200), 22, 4_900)]
#[case::quicker(figures(500, 200), figures(60, 8), 30, 300)]
fn query_goes_by_figures_in_force(
    #[case] accepted: Advice,
    #[case] in_force: Advice,
    #[case] workers: usize,
    #[case] expected_ms: u64,
) {
    let mut harness = with_job(accepted);
    configure(&mut harness, in_force);
    let (_, asked, expected) = next_query(&mut harness);
    assert_eq!((asked.len(), expected), (workers, expected_ms));
}

/// The service may be slower than its figures say.
#[test]
fn query_without_answer_is_followed_by_smaller_ones() {
    let mut harness = with_job(figures(60, 8));
    for expected in [30, 15, 7, 3, 1, 1, 1] {
        let (group, asked, _) = next_query(&mut harness);
        assert_eq!(asked.len(), expected);
        answer(&mut harness, group, &asked, None);
    }
    let (group, asked, _) = next_query(&mut harness);
    answer(&mut harness, group, &asked, Some("i-none"));
    let (group, asked, _) = next_query(&mut harness);
    assert_eq!(asked.len(), 30, "the service answers again");
    let allowed = harness.planner.entry(asked[0]).unwrap().id.clone();
    answer(&mut harness, group, &asked, Some(&allowed));
    assert_eq!(starts(&harness.plan()).len(), 1);
}
