//! Whose turn it is among work of one priority while room is scarce.
//!
//! Guards against an order by acceptance alone, by which whoever sends most gets most: one organisation's burst takes all
//! room for seconds, and the others' work is late behind it.

mod support;

use std::collections::HashMap;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{
    BodyLimits, Configuration, JobId, Organisation, PolicyRecord, RunOutcome, SharesRecord,
    StoredJob,
};
use support::{Harness, ended, entry, job, limits, running, starts, step, stops, worker_of};

/// A worker has 8 accelerators; each task of these tests takes all of them.
const WHOLE_WORKER: i64 = 8;

/// Returns a job of one task that takes a worker.
fn small_job(id: u64, organisation: &str, priority: u32) -> StoredJob {
    StoredJob {
        organisation: organisation.to_string(),
        ..job(id, priority, vec![step(1, WHOLE_WORKER)])
    }
}

/// Adds a job; its id also is its position in the order of acceptance.
fn add(harness: &mut Harness, stored: StoredJob) {
    let order = u64::from_str_radix(&stored.id.to_string(), 16).unwrap();
    harness.planner.add_job(stored, order, harness.now_ms);
}

/// Returns the ids of the jobs that start in a planning pass, each once, in the order of their starts.
fn started_jobs(orders: &[Order]) -> Vec<u64> {
    let mut ids: Vec<u64> = starts(orders)
        .iter()
        .map(|(task, _)| u64::from_str_radix(&task[..16], 16).unwrap())
        .collect();
    ids.dedup();
    ids
}

/// Ends the runs of the orders and advances the time.
fn end_all(harness: &mut Harness, orders: &[Order], numbers: &mut [u64], took_ms: u64) {
    harness.now_ms += took_ms;
    for (index, number) in numbers.iter_mut().enumerate() {
        let mut ends = Vec::new();
        for order in orders {
            if matches!(order, Order::Start { .. }) && worker_of(order) == harness.workers[index] {
                *number += 1;
                ends.push(ended(order, *number, RunOutcome::Done, ""));
            }
        }
        harness.report(index, vec![], ends);
    }
}

/// Advances the time; all workers answer, with these runs in progress.
fn wait(harness: &mut Harness, orders: &[Order], for_ms: u64) {
    harness.now_ms += for_ms;
    for index in 0..harness.workers.len() {
        let in_progress = orders
            .iter()
            .filter(|order| worker_of(order) == harness.workers[index])
            .map(running)
            .collect();
        harness.report(index, in_progress, vec![]);
    }
}

fn guarantee(harness: &mut Harness, organisation: &str, accelerators: i64) {
    harness.planner.set_configuration(&Configuration {
        version: 1,
        queues: Vec::new(),
        services: Vec::new(),
        organisations: vec![Organisation {
            name: organisation.to_string(),
            keys: Vec::new(),
            guaranteed_accelerators: accelerators,
        }],
        limits: BodyLimits { body_bytes: 1 },
    });
}

/// Returns the number of lines of a kind since the last call.
fn count_lines(harness: &mut Harness, what: &str) -> usize {
    let decisions = harness.planner.take_decisions();
    decisions.iter().filter(|d| d.what == what).count()
}

/// The order is by shares only where several organisations wait for more than there is.
#[rstest]
#[case::one_organisation(&["a", "a", "a", "a", "a", "a"], 2)]
#[case::enough_room(&["a", "a", "a", "a", "b", "c"], 6)]
fn order_is_that_of_acceptance_without_contest(
    #[case] organisations: &[&str],
    #[case] workers: u32,
) {
    let mut harness = Harness::with_workers(workers);
    for (id, organisation) in (1..).zip(organisations) {
        // Of decreasing slack, so that an order by slack would be the reverse.
        let stored = StoredJob {
            goal_ms: 5_000 - 500 * id,
            ..small_job(id, organisation, 1)
        };
        add(&mut harness, stored);
    }
    let mut numbers = vec![0; workers as usize];
    let mut order = Vec::new();
    for _ in 0..6 {
        let orders = harness.start_all();
        order.extend(started_jobs(&orders));
        end_all(&mut harness, &orders, &mut numbers, 100);
    }
    assert_eq!(order, [1, 2, 3, 4, 5, 6]);
    assert_eq!(count_lines(&mut harness, "passed over"), 0);
    assert_eq!(harness.planner.counts().passed_over_share, 0);
}

/// The same at 2.6 times the usual demand of one organisation: it gets what the others leave, and no room stays empty.
#[rstest]
#[case::priority_0(0)]
#[case::priority_1(1)]
fn burst_of_one_organisation_leaves_others_their_parts(#[case] priority: u32) {
    let mut harness = Harness::with_workers(6);
    for id in 1..=26 {
        add(&mut harness, small_job(id, "burst", priority));
    }
    for id in 27..=36 {
        add(&mut harness, small_job(id, "b", priority));
        add(&mut harness, small_job(id + 10, "c", priority));
    }
    let mut numbers = vec![0; 6];
    let mut had: HashMap<&str, usize> = HashMap::new();
    for round in 0..4 {
        let orders = harness.start_all();
        let started = started_jobs(&orders);
        assert_eq!(started.len(), 6, "no room stays empty in round {round}");
        for id in started {
            let organisation = match id {
                ..=26 => "burst",
                27..=36 => "b",
                _ => "c",
            };
            *had.entry(organisation).or_default() += 1;
        }
        end_all(&mut harness, &orders, &mut numbers, 300);
    }
    for organisation in ["burst", "b", "c"] {
        let had = had[organisation];
        assert!((7..=9).contains(&had), "{organisation} had {had} of 24");
    }
    assert!(harness.planner.counts().passed_over_share > 0);
}

/// Room that the others do not want goes to whoever wants it.
#[test]
fn organisation_above_entitlement_uses_room_left_by_others() {
    let mut harness = Harness::with_workers(6);
    for id in 1..=9 {
        add(&mut harness, small_job(id, "burst", 1));
    }
    add(&mut harness, small_job(10, "b", 1));
    let started = started_jobs(&harness.start_all());
    assert_eq!(started.len(), 6);
    assert!(started.contains(&10));
}

#[test]
fn guarantee_goes_first() {
    let mut harness = Harness::with_workers(1);
    guarantee(&mut harness, "desk", WHOLE_WORKER);
    for id in 1..=3 {
        add(&mut harness, small_job(id, "a", 0));
    }
    add(&mut harness, small_job(4, "desk", 0));
    assert_eq!(started_jobs(&harness.start_all()), [4]);
    assert_eq!(harness.planner.counts().passed_over_guarantee, 3);
}

/// A job that can no longer be worth anything goes behind one that can, and in front once it has waited twice as long.
#[rstest]
#[case::can_be_on_time(0, 1)]
#[case::worth_something(3_000, 2)]
#[case::worthless(9_000, 2)]
#[case::aged(17_000, 1)]
fn work_that_is_late_goes_behind_but_not_for_ever(#[case] waited_ms: u64, #[case] first: u64) {
    let mut harness = Harness::with_workers(1);
    add(&mut harness, small_job(9, "c", 1));
    let orders = harness.start_all();
    add(&mut harness, small_job(1, "a", 1));
    harness.start_all();
    wait(&mut harness, &orders, waited_ms);
    add(&mut harness, small_job(2, "b", 1));
    harness.start_all();
    end_all(&mut harness, &orders, &mut [0], 0);
    assert_eq!(started_jobs(&harness.start_all()), [first]);
}

/// Free room that is scattered so that nothing fits is scarce as well, though it would do in sum.
#[rstest]
#[case::left_waiting(200, 2)]
#[case::just_come(0, 1)]
fn scattered_room_is_scarce(#[case] waited_ms: u64, #[case] first: u64) {
    let mut harness = Harness::with_workers(4);
    // Takes more than half of each worker, and leaves 12 of 32 accelerators.
    let stored = StoredJob {
        organisation: "c".to_string(),
        ..job(9, 1, vec![step(4, 5)])
    };
    add(&mut harness, stored);
    let runs = harness.start_all();
    assert_eq!(starts(&runs).len(), 4);
    for (id, organisation, goal_ms) in [(1, "a", 5_000), (2, "b", 4_000)] {
        let stored = StoredJob {
            organisation: organisation.to_string(),
            goal_ms,
            ..job(id, 1, vec![step(1, 6)])
        };
        add(&mut harness, stored);
    }
    if waited_ms > 0 {
        assert!(harness.start_all().is_empty());
    }
    wait(&mut harness, &runs, waited_ms);
    let over = vec![ended(&runs[0], 1, RunOutcome::Done, "")];
    let index = harness
        .workers
        .iter()
        .position(|w| *w == worker_of(&runs[0]));
    harness.report(index.unwrap(), vec![], over);
    assert_eq!(started_jobs(&harness.start_all()), [first]);
}

#[test]
fn gang_starts_whole_in_its_turn() {
    let mut harness = Harness::with_workers(4);
    for id in 1..=4 {
        add(&mut harness, small_job(id, "a", 1));
    }
    let gang = StepSpec {
        gang: true,
        ..step(3, WHOLE_WORKER)
    };
    let stored = StoredJob {
        organisation: "b".to_string(),
        ..job(5, 1, vec![gang])
    };
    add(&mut harness, stored);
    let started = harness.start_all();
    let of_gang = starts(&started)
        .iter()
        .filter(|(task, _)| task.starts_with("0000000000000005"))
        .count();
    assert!(of_gang == 3 || of_gang == 0);
    assert_eq!(starts(&started).len(), 4, "no room stays empty");
}

/// Plays a turn of `a` that ends while nobody leads. Returns what the first planner wrote along with the turn.
fn play_turn() -> Option<SharesRecord> {
    let mut harness = Harness::with_workers(1);
    add(&mut harness, small_job(1, "a", 1));
    add(&mut harness, small_job(2, "a", 1));
    add(&mut harness, small_job(3, "b", 1));
    harness.planner.plan(harness.now_ms, harness.now_ms);
    let flush = harness.planner.begin_flush(harness.now_ms, harness.now_ms);
    assert_eq!(flush.writes.len(), 1);
    match flush.policy {
        Some(PolicyRecord::Shares(record)) => Some(record),
        _ => None,
    }
}

/// The planner changes between two turns, after the work of the first one has ended: without the record its organisation
/// would have the next turn as well.
#[rstest]
#[case::record_kept(true, 0, 3)]
#[case::clock_far_ahead(true, 5_000_000, 3)]
#[case::record_lost(false, 0, 2)]
fn successor_gives_no_organisation_its_turn_twice(
    #[case] kept: bool,
    #[case] clock_ahead_ms: u64,
    #[case] next: u64,
) {
    let record = play_turn().expect("the turn is written along with its start");
    let text = serde_json::to_string(&record).unwrap();
    let now_ms = 10_000 + clock_ahead_ms;
    let mut harness = Harness {
        planner: Planner::new(limits(), now_ms),
        now_ms,
        workers: Vec::new(),
    };
    if kept {
        let read = serde_json::from_str(&text).unwrap();
        harness.planner.restore_shares(read, now_ms);
    }
    harness.list(vec![entry(0)]);
    harness.report(0, vec![], vec![]);
    // The job of the first turn is over and its record is gone.
    for (id, organisation) in [(2, "a"), (3, "b")] {
        let stored = small_job(id, organisation, 1);
        harness.planner.restore_job(stored, None, id, now_ms);
    }
    assert_eq!(started_jobs(&harness.start_all()), [next]);
}

/// What an organisation was given counts less as time passes, so that it is not held against it for ever.
#[test]
fn turn_is_forgotten_in_time() {
    let mut harness = Harness::with_workers(1);
    let mut numbers = [0];
    add(&mut harness, small_job(1, "a", 1));
    let orders = harness.start_all();
    end_all(&mut harness, &orders, &mut numbers, 60_000);
    add(&mut harness, small_job(2, "a", 1));
    add(&mut harness, small_job(3, "b", 1));
    assert_eq!(started_jobs(&harness.start_all()), [2]);
}

#[test]
fn record_is_bounded() {
    let mut harness = Harness::with_workers(120);
    for id in 1..=200 {
        let organisation = format!("an-organisation-with-a-long-name-{id}");
        add(&mut harness, small_job(id, &organisation, 0));
    }
    harness.planner.plan(harness.now_ms, harness.now_ms);
    let flush = harness.planner.begin_flush(harness.now_ms, harness.now_ms);
    let Some(PolicyRecord::Shares(record)) = flush.policy else {
        panic!("no record");
    };
    let len = serde_json::to_vec(&record).unwrap().len();
    assert!((1_000..=2_048).contains(&len), "{len} bytes");
}

#[test]
fn nothing_is_recorded_without_contest() {
    let mut harness = Harness::with_workers(2);
    add(&mut harness, small_job(1, "a", 0));
    add(&mut harness, small_job(2, "b", 0));
    harness.planner.plan(harness.now_ms, harness.now_ms);
    let flush = harness.planner.begin_flush(harness.now_ms, harness.now_ms);
    assert_eq!(flush.policy, None);
}

/// Of work whose stop loses the same, that of the organisation furthest above its entitlement yields, as long as several
/// organisations wait.
#[rstest]
#[case::contested(true)]
#[case::no_longer_contested(false)]
fn organisation_above_entitlement_yields_room(#[case] contested: bool) {
    let mut harness = Harness::with_workers(4);
    add(&mut harness, small_job(1, "b", 2));
    for id in 2..=4 {
        add(&mut harness, small_job(id, "burst", 2));
    }
    let runs = harness.start_all();
    assert_eq!(starts(&runs).len(), 4);
    // Both wait for more, so that the room is contested.
    add(&mut harness, small_job(5, "b", 2));
    add(&mut harness, small_job(6, "burst", 2));
    harness.start_all();
    if !contested {
        for id in [5, 6] {
            harness.planner.cancel_job(JobId::from(id), harness.now_ms);
        }
    }
    wait(&mut harness, &runs, 1_000);
    add(&mut harness, small_job(7, "c", 0));
    let stopped = stops(&harness.plan());
    assert_eq!(stopped.len(), 1);
    let is_of_burst = !stopped[0].0.starts_with("0000000000000001");
    assert_eq!(is_of_burst, contested);
}

#[test]
fn passed_over_is_logged_once_for_each_group() {
    let mut harness = Harness::with_workers(1);
    let mut numbers = [0];
    add(&mut harness, small_job(1, "a", 1));
    for id in 2..=4 {
        add(&mut harness, small_job(id, "a", 1));
    }
    for id in 5..=7 {
        add(&mut harness, small_job(id, "b", 1));
    }
    let mut lines = 0;
    let mut order = Vec::new();
    for _ in 0..7 {
        let orders = harness.start_all();
        order.extend(started_jobs(&orders));
        lines += count_lines(&mut harness, "passed over");
        end_all(&mut harness, &orders, &mut numbers, 100);
    }
    assert_eq!(order, [1, 5, 2, 6, 3, 7, 4]);
    assert_eq!(lines, 3, "2, 3 and 4, once each");
}
