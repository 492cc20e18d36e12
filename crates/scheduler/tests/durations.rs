//! What the planner learns of how long work takes.
//!
//! Load: callers' estimates are off by 3 to 40 times in the worst tenth, and 3 of 100 tasks take seven times as long.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{LearnedRecord, PolicyRecord, RunOutcome, StepSpec};
use support::speed_site::SpeedSite;
use support::{ended, job, running, step};

const WORKERS: u32 = 8;

/// What a job's last log line says: the declared run time, and the learned one with the tenth longest.
#[derive(Debug, PartialEq, Eq)]
struct Times {
    declared_ms: u64,
    learned: Option<(u64, u64)>,
}

/// Runs jobs of one task each, one after the other, and returns what the last one says.
struct Jobs {
    site: SpeedSite,
    ends: u64,
}

impl Jobs {
    fn new() -> Jobs {
        Jobs {
            site: SpeedSite::new(WORKERS),
            ends: 0,
        }
    }

    /// Runs a task that takes `run_ms` and is declared to take `declared_ms`.
    fn run(&mut self, queue: &str, organisation: &str, declared_ms: u64, run_ms: u64) -> Times {
        let number = self.site.next_job;
        self.site.next_job += 1;
        let spec = StepSpec {
            estimate_ms: declared_ms,
            ..step(1, 1)
        };
        let stored = StoredJob {
            queue: queue.to_string(),
            organisation: organisation.to_string(),
            ..job(number, 2, vec![spec])
        };
        let harness = &mut self.site.harness;
        harness.planner.add_job(stored, number, harness.now_ms);
        let orders = harness.start_all();
        assert_eq!(orders.len(), 1);
        let index = self.site.index_of(&orders[0]);
        let harness = &mut self.site.harness;
        let end_ms = harness.now_ms + run_ms;
        while harness.now_ms < end_ms {
            harness.now_ms = end_ms.min(harness.now_ms + 2_000);
            for other in (0..WORKERS as usize).filter(|other| *other != index) {
                harness.report(other, vec![], vec![]);
            }
            if harness.now_ms < end_ms {
                harness.report(index, vec![running(&orders[0])], vec![]);
            }
        }
        self.ends += 1;
        let end = ended(&orders[0], self.ends, RunOutcome::Done, "");
        harness.report(index, vec![], vec![end]);
        let lines = self.site.take_lines("job ended");
        parse_times(lines.last().unwrap())
    }

    /// Returns what is known of work, as the next planner reads it.
    fn take_learned(&mut self) -> LearnedRecord {
        let harness = &mut self.site.harness;
        harness.now_ms += 6_000;
        let stored = job(self.site.next_job, 2, vec![step(1, 1)]);
        harness.planner.add_job(stored.clone(), 1, harness.now_ms);
        harness.planner.cancel_job(stored.id, harness.now_ms);
        let flush = harness.planner.begin_flush(harness.now_ms, harness.now_ms);
        match flush.policy {
            Some(PolicyRecord::Learned(learned)) => learned,
            other => panic!("no record of what was learned, but {other:?}"),
        }
    }
}

fn parse_times(line: &str) -> Times {
    let number = |label: &str| {
        let (_, rest) = line.split_once(label)?;
        rest.split_once(' ')?.0.parse().ok()
    };
    Times {
        declared_ms: number("estimate ").unwrap(),
        learned: number("learned ").zip(number("9 of 10 within ")),
    }
}

/// Declarations that are off by up to forty times, in turn.
const DECLARED_MS: [u64; 10] = [
    50, 2_000, 80_000, 700, 2_100, 6_000, 1_900, 300, 2_200, 25_000,
];

#[rstest]
fn rough_declarations_give_way_to_experience() {
    let mut jobs = Jobs::new();
    for declared_ms in DECLARED_MS.into_iter().cycle().take(40) {
        jobs.run("q", "o", declared_ms, 2_000);
    }
    for declared_ms in [60, 80_000] {
        let (median_ms, p90_ms) = jobs.run("q", "o", declared_ms, 2_000).learned.unwrap();
        assert!((1_700..2_400).contains(&median_ms), "{median_ms}");
        assert!(p90_ms >= median_ms && p90_ms < 3_000, "{p90_ms}");
    }
}

/// Where callers know how long their work takes, they are believed, also if it differs from job to job.
#[rstest]
fn exact_declarations_are_followed() {
    let mut jobs = Jobs::new();
    for run_ms in [500, 4_000, 12_000, 1_000, 30_000]
        .into_iter()
        .cycle()
        .take(30)
    {
        jobs.run("q", "o", run_ms, run_ms);
    }
    for run_ms in [800, 20_000] {
        let (median_ms, _) = jobs.run("q", "o", run_ms, run_ms).learned.unwrap();
        assert!(median_ms.abs_diff(run_ms) < run_ms / 10, "{median_ms}");
    }
}

/// Little experience says nothing against the caller.
#[rstest]
fn few_runs_change_nothing() {
    let mut jobs = Jobs::new();
    for _ in 0..7 {
        let times = jobs.run("q", "o", 100, 2_000);
        assert_eq!(
            times,
            Times {
                declared_ms: 100,
                learned: None
            }
        );
    }
}

/// 3 of 100 runs with seven times the work move neither the median much nor what most runs take.
#[rstest]
fn stragglers_hardly_count() {
    let mut jobs = Jobs::new();
    for number in 0..66_u64 {
        let run_ms = if number % 33 == 32 { 14_000 } else { 2_000 };
        jobs.run("q", "o", DECLARED_MS[number as usize % 10], run_ms);
    }
    let (median_ms, p90_ms) = jobs.run("q", "o", 2_000, 2_000).learned.unwrap();
    assert!((1_800..2_600).contains(&median_ms), "{median_ms}");
    assert!(p90_ms < 5_000, "{p90_ms}");
}

/// Work that has changed is followed.
#[rstest]
fn changed_work_is_followed() {
    let mut jobs = Jobs::new();
    for declared_ms in DECLARED_MS.into_iter().cycle().take(60) {
        jobs.run("q", "o", declared_ms, 2_000);
    }
    for declared_ms in DECLARED_MS.into_iter().cycle().take(200) {
        jobs.run("q", "o", declared_ms, 8_000);
    }
    let (median_ms, _) = jobs.run("q", "o", 2_000, 8_000).learned.unwrap();
    assert!((6_500..9_000).contains(&median_ms), "{median_ms}");
}

/// An organisation that is new to a queue is known by the others there, and another queue by itself.
#[rstest]
fn new_organisation_is_known_by_its_queue() {
    let mut jobs = Jobs::new();
    for declared_ms in DECLARED_MS.into_iter().cycle().take(30) {
        jobs.run("short", "a", declared_ms, 1_000);
        jobs.run("long", "a", declared_ms, 16_000);
    }
    let (short_ms, _) = jobs.run("short", "b", 300, 1_000).learned.unwrap();
    let (long_ms, _) = jobs.run("long", "b", 300, 16_000).learned.unwrap();
    assert!(short_ms < 2_500, "{short_ms}");
    assert!(long_ms > 6_000, "{long_ms}");
}

/// A planner is replaced: its successor knows how long work takes, and damaged parts of the record are left out.
#[rstest]
#[case::whole(false)]
#[case::damaged(true)]
fn successor_knows_run_times(#[case] is_damaged: bool) {
    let mut jobs = Jobs::new();
    for declared_ms in DECLARED_MS.into_iter().cycle().take(40) {
        jobs.run("q", "o", declared_ms, 2_000);
    }
    let mut stored = serde_json::to_value(jobs.take_learned()).unwrap();
    if is_damaged {
        for kind in stored["durations"]["kinds"].as_array_mut().unwrap() {
            kind[2][1] = serde_json::json!(-1);
        }
    }
    let mut successor = Jobs::new();
    let learned = serde_json::from_value(stored).unwrap();
    successor.site.harness.planner.restore_learned(learned, 0);
    let times = successor.run("q", "o", 60, 2_000);
    match is_damaged {
        true => assert_eq!(times.learned, None),
        false => assert!(
            (1_700..2_400).contains(&times.learned.unwrap().0),
            "{times:?}"
        ),
    }
}

/// However many kinds of work there are, the record stays small.
#[rstest]
fn record_of_many_kinds_is_small() {
    let mut jobs = Jobs::new();
    for number in 0..300 {
        jobs.run("q", &format!("organisation-{number}"), 2_000, 500);
    }
    let bytes = serde_json::to_vec(&jobs.take_learned()).unwrap().len();
    assert!(bytes < 3_000, "{bytes} bytes");
}
