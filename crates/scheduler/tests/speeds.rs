//! What the planner learns of the speed of machines, and where it places work by it.
//!
//! Load: workers of unequal speed, of which one in a gang makes the whole gang late; 3 of 100 tasks with seven times the
//! work; workers that are slow for a moment or after their start.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{LearnedRecord, PolicyRecord, StepSpec};
use support::speed_site::{ALL_ACCELERATORS, SpeedSite};
use support::{entry, step};

/// Workers of a site: four racks of eight.
const WORKERS: u32 = 32;

/// Run time on a usual worker.
const USUAL_MS: u64 = 6_000;

/// Workers whose number this divides are of another speed: two on each rack.
const ODD_ONES: usize = 4;

fn is_odd_one(index: usize) -> bool {
    index.is_multiple_of(ODD_ONES)
}

/// Returns a site on which every fourth worker takes `odd_ms`, as learned in some rounds.
fn learned_site(odd_ms: u64) -> SpeedSite {
    let mut site = SpeedSite::new(WORKERS);
    for _ in 0..4 {
        site.play_round(|index| if is_odd_one(index) { odd_ms } else { USUAL_MS });
    }
    site
}

fn gang(count: u32, accelerators: i64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accelerators)
    }
}

/// Takes the record of what was learned from the next flush that has one.
fn take_learned(site: &mut SpeedSite) -> Option<LearnedRecord> {
    site.harness.now_ms += 6_000;
    let now_ms = site.harness.now_ms;
    site.start(2, vec![step(1, 1)]);
    let job = site.next_job - 1;
    let id = format!("{job:016x}").parse().unwrap();
    site.harness.planner.cancel_job(id, now_ms + 6_000);
    let flush = site.harness.planner.begin_flush(now_ms + 6_000, now_ms);
    match flush.policy {
        Some(PolicyRecord::Learned(learned)) => Some(learned),
        _ => None,
    }
}

#[rstest]
#[case::fast_ones(2_700)]
#[case::usual_ones_beside_slow(13_200)]
fn place_urgent_gang_on_like_and_fast(#[case] odd_ms: u64) {
    let mut site = learned_site(odd_ms);
    let places = site.try_placing(0, gang(2, ALL_ACCELERATORS));
    assert_eq!(places.len(), 2);
    assert!(
        places
            .iter()
            .all(|index| is_odd_one(*index) == (odd_ms < USUAL_MS)),
        "{places:?}"
    );
}

#[rstest]
#[case::beside_fast(2_700)]
#[case::beside_slow(13_200)]
fn place_waiting_gang_on_usual(#[case] odd_ms: u64) {
    let mut site = learned_site(odd_ms);
    let places = site.try_placing(1, gang(6, ALL_ACCELERATORS));
    assert_eq!(places.len(), 6);
    assert!(places.iter().all(|index| !is_odd_one(*index)), "{places:?}");
}

/// The preference never makes a gang wait that fits beside machines of another speed.
#[rstest]
#[case::urgent(0)]
#[case::waiting(1)]
fn place_gang_on_all_if_needed(#[case] priority: u32) {
    let mut site = learned_site(13_200);
    let places = site.try_placing(priority, gang(WORKERS, ALL_ACCELERATORS));
    assert_eq!(places.len(), WORKERS as usize);
}

/// Single tasks that can wait leave fast machines to urgent work, and use them if there is no other room.
#[rstest]
#[case::room_on_usual(4, 0)]
#[case::room_on_all_only(WORKERS, 8)]
fn place_singles_on_usual_first(#[case] count: u32, #[case] on_fast: usize) {
    let mut site = learned_site(2_700);
    let places = site.try_placing(2, step(count, ALL_ACCELERATORS));
    assert_eq!(places.len(), count as usize);
    let fast = places.iter().filter(|index| is_odd_one(**index)).count();
    assert_eq!(fast, on_fast, "{places:?}");
}

#[rstest]
fn log_slow_machines_once() {
    let mut site = learned_site(13_200);
    let lines = site.take_lines("speeds changed");
    let named = |number: u32| {
        let id = format!("i-{number} at ");
        lines.iter().filter(|line| line.contains(&id)).count()
    };
    assert!((1..=2).contains(&lines.len()), "{lines:?}");
    assert_eq!(named(0), 1, "{lines:?}");
    assert_eq!(named(1), 0, "{lines:?}");
    let counts = site.harness.planner.counts();
    assert_eq!((counts.machines_fast, counts.machines_slow), (0, 8));
}

/// Run time of a task on a worker, in a round.
type Load = fn(usize, u64) -> u64;

/// With workers of one speed, every place is the one that a planner chooses that sees no progress at all.
#[rstest]
#[case::even(|_, _| USUAL_MS)]
#[case::uneven(|index: usize, round: u64| 4_500 + (index as u64 * 7 + round * 13) % 10 * 300)]
#[case::stragglers(|index: usize, round: u64| match (index as u64 + round * 5).is_multiple_of(32) {
    true => 7 * USUAL_MS,
    false => USUAL_MS,
})]
fn equal_speeds_decide_nothing(#[case] load: Load) {
    let (mut site, mut blind) = (SpeedSite::new(WORKERS), SpeedSite::new(WORKERS));
    for round in 0..8 {
        site.play_round(|index| load(index, round));
        blind.play_round(|_| 500);
    }
    assert_eq!(site.take_lines("speeds changed"), Vec::<String>::new());
    for (priority, count) in [(0, 2), (1, 6), (0, 12), (2, 5)] {
        for gang in [true, false] {
            let step = StepSpec {
                gang,
                ..step(count, 5)
            };
            let (here, orders) = site.start(priority, vec![step.clone()]);
            site.run_to_end(&orders, |_| 500);
            let (there, orders) = blind.start(priority, vec![step]);
            blind.run_to_end(&orders, |_| 500);
            assert_eq!(here, there);
        }
    }
}

/// Stragglers beside machines that do differ make no machine slow.
#[rstest]
fn stragglers_make_no_machine_slow() {
    let mut site = SpeedSite::new(WORKERS);
    for round in 0..7 {
        site.play_round(|index| {
            let usual_ms = if is_odd_one(index) { 2_700 } else { USUAL_MS };
            match (index as u64 + round * 5).is_multiple_of(32) {
                true => 7 * usual_ms,
                false => usual_ms,
            }
        });
    }
    let counts = site.harness.planner.counts();
    assert_eq!((counts.machines_fast, counts.machines_slow), (8, 0));
}

/// A slow moment of some workers passes: by new tasks there, or by time if they get none.
#[rstest]
#[case::new_tasks(true)]
#[case::time(false)]
fn slow_moment_passes(#[case] has_tasks: bool) {
    let mut site = SpeedSite::new(WORKERS);
    site.play_round(|_| 1_500);
    for _ in 0..3 {
        site.play_round(|index| if is_odd_one(index) { 2_500 } else { 500 });
    }
    assert!(site.harness.planner.counts().machines_slow > 0);
    if has_tasks {
        for _ in 0..5 {
            site.play_round(|_| 1_500);
        }
    } else {
        site.harness.now_ms += 25_000;
        for index in 0..WORKERS as usize {
            site.harness.report(index, vec![], vec![]);
        }
        site.harness.plan();
    }
    let counts = site.harness.planner.counts();
    assert_eq!((counts.machines_fast, counts.machines_slow), (0, 0));
}

/// Workers that say that they are cold are not known as slow for it.
#[rstest]
fn cold_start_is_not_slow() {
    let cold = |number: u32| WorkerEntry {
        cold_left_ms: if is_odd_one(number as usize) {
            60_000
        } else {
            0
        },
        ..entry(number)
    };
    let mut site = SpeedSite::with_entries((0..WORKERS).map(cold).collect());
    for _ in 0..4 {
        site.play_round(|index| if is_odd_one(index) { 13_200 } else { USUAL_MS });
    }
    let counts = site.harness.planner.counts();
    assert_eq!((counts.machines_fast, counts.machines_slow), (0, 0));
    assert_eq!(site.take_lines("speeds changed"), Vec::<String>::new());
}

/// A planner is replaced: its successor places urgent work by what was learned, before it has seen any progress.
#[rstest]
#[case::fast_ones(2_700)]
#[case::slow_ones(13_200)]
fn successor_places_by_what_was_learned(#[case] odd_ms: u64) {
    let mut site = learned_site(odd_ms);
    let learned = take_learned(&mut site).unwrap();
    let stored = serde_json::to_string(&learned).unwrap();
    let mut successor = SpeedSite::with_entries(Vec::new());
    let learned = serde_json::from_str(&stored).unwrap();
    let now_ms = successor.harness.now_ms;
    successor.harness.planner.restore_learned(learned, now_ms);
    let mut site = successor.list((0..WORKERS).map(entry).collect());
    for count in [2, 6] {
        let places = site.try_placing(0, gang(count, ALL_ACCELERATORS));
        let is_like = |index: &usize| is_odd_one(*index) == (odd_ms < USUAL_MS && count == 2);
        assert!(
            places.iter().all(is_like) || count == 6 && odd_ms < USUAL_MS,
            "{places:?}"
        );
    }
}

/// A record of another version, or a damaged one that still can be read, is taken for what it holds and no more.
#[rstest]
#[case::empty("{}")]
#[case::speed_out_of_range(r#"{"speeds":{"machines":[["i-0",30000],["i-1",-30000]]}}"#)]
#[case::unknown_machines(r#"{"speeds":{"machines":[["i-900",78],["",-300]]}}"#)]
#[case::other_fields(r#"{"speeds":{"later":1},"durations":{"later":[]}}"#)]
#[case::impossible_durations(
    r#"{"durations":{"kinds":[[1,9,[99999999,1],[0,0]],[2,0,[0,0],[0,0]],[3,9,[0,-4],[0,0]]]}}"#
)]
fn restore_damaged_record(#[case] stored: &str) {
    let learned = serde_json::from_str(stored).unwrap();
    let mut successor = SpeedSite::with_entries(Vec::new());
    let now_ms = successor.harness.now_ms;
    successor.harness.planner.restore_learned(learned, now_ms);
    let mut site = successor.list((0..WORKERS).map(entry).collect());
    let mut blind = SpeedSite::new(WORKERS);
    for priority in [0, 1, 2] {
        let step = gang(3, 5);
        assert_eq!(
            site.try_placing(priority, step.clone()),
            blind.try_placing(priority, step)
        );
    }
}

/// A machine keeps its speed while it is away for a moment.
#[rstest]
fn machine_that_returns_keeps_its_speed() {
    let mut site = learned_site(2_700);
    let now_ms = site.harness.now_ms;
    site.harness.list(Vec::new());
    site.harness.now_ms = now_ms + 6_000;
    site.harness.list(Vec::new());
    let mut site = site.list((0..WORKERS).map(entry).collect());
    let places = site.try_placing(0, gang(2, ALL_ACCELERATORS));
    assert!(places.iter().all(|index| is_odd_one(*index)), "{places:?}");
}

/// The record stays small on a site of many machines.
#[rstest]
fn learned_record_is_small() {
    const MANY: u32 = 350;
    let mut site = SpeedSite::new(MANY);
    for _ in 0..4 {
        site.play_round(|index| if index % 3 == 0 { 2_700 } else { USUAL_MS });
    }
    let learned = take_learned(&mut site).unwrap();
    let bytes = serde_json::to_vec(&learned).unwrap().len();
    assert!(bytes < 5_000, "{bytes} bytes");
    assert!(bytes > 1_000, "{bytes} bytes");
}
