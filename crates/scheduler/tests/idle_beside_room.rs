//! A job of which nothing runs starts where there is room while less than half of the service is in use.
//!
//! Guards against LOST for work that ends: capacity that was kept for urgent work, for a rack or from a quarantined worker
//! was kept from such a job for longer than the platform lets it have nothing running.

mod support;

use std::collections::HashSet;

use rstest::rstest;
use scheduler::RunOutcome;
use scheduler::prelude::*;
use support::idle_site::{
    LONG_MS, LONGEST_DECISION_MS, LONGEST_IDLE_MS, PASS_MS, Site, URGENT_WINDOW_MS, gang,
    long_step, on_rack_0, spread, step_of,
};
use support::{Harness, entry, job, limits, starts, step, stops, worker_of};

/// Why the rack that holds the data has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rack {
    Full,
    Silent,
    Evacuated,
    Leaves,
}

#[rstest]
fn job_leaves_rack_of_its_data(
    #[values(Rack::Full, Rack::Silent, Rack::Evacuated, Rack::Leaves)] rack: Rack,
    #[values(false, true)] is_gang: bool,
    #[values(1, 3)] priority: u32,
) {
    let mut site = Site::new(24);
    match rack {
        Rack::Full => site.submit(2, on_rack_0(long_step(8, 8))),
        Rack::Silent => site.silent.extend(0..8),
        Rack::Evacuated | Rack::Leaves => {
            let change = |number| WorkerEntry {
                data_centre: match rack == Rack::Evacuated && number < 8 {
                    true => "left".to_string(),
                    false => "gyor".to_string(),
                },
                leaving: rack == Rack::Leaves && number < 8,
                ..entry(number)
            };
            site.harness.list((0..24).map(change).collect());
            site.harness.planner.set_evacuated(vec!["left".to_string()]);
        }
    }
    site.play(4_000);
    let waiting = StepSpec {
        gang: is_gang,
        ..on_rack_0(long_step(2, 1))
    };
    site.submit(priority, waiting);
    assert_ne!(
        site.wait_for_start(LONGEST_DECISION_MS),
        0,
        "two racks are idle"
    );
}

/// The rack of the data has not been heard of.
#[test]
fn gang_starts_without_rack_of_its_data() {
    let mut site = Site::new(8);
    let waiting = StepSpec {
        data_rack: Some("rack-9".to_string()),
        ..gang(long_step(2, 1))
    };
    site.submit(1, waiting);
    assert_eq!(site.wait_for_start(LONGEST_DECISION_MS), 2);
}

/// The work takes three times as long away from its data.
#[rstest]
#[case::single_tasks(false)]
#[case::gang(true)]
fn job_stays_on_rack_of_its_data_if_only_headroom_is_free(#[case] is_gang: bool) {
    let mut site = Site::with_headroom(24);
    let waiting = StepSpec {
        gang: is_gang,
        data_rack: Some("rack-2".to_string()),
        ..long_step(1, 8)
    };
    for _ in 0..8 {
        site.submit(3, waiting.clone());
    }
    site.play(LONGEST_DECISION_MS);
    assert_eq!(site.runs.len(), 8);
    let rack_2: HashSet<_> = site.harness.workers[16..].iter().copied().collect();
    assert!(site.runs.iter().all(|run| rack_2.contains(&worker_of(run))));
}

/// No rack holds the whole gang although the racks together hold it twice.
#[rstest]
#[case::next_priority(1)]
#[case::lowest_priority(3)]
fn one_rack_gang_is_spread(#[case] priority: u32) {
    let mut site = Site::new(24);
    for rack in 0..3 {
        let long = StepSpec {
            data_rack: Some(format!("rack-{rack}")),
            ..long_step(1, 8)
        };
        site.submit(2, long);
    }
    site.play(1_000);
    assert_eq!(site.runs.len(), 3);
    let waiting = StepSpec {
        one_rack: true,
        ..gang(long_step(8, 8))
    };
    site.submit(priority, waiting);
    assert_eq!(site.wait_for_start(LONGEST_DECISION_MS), 8);
}

/// Returns a site of eight workers of which four are nearly full and the others are headroom.
fn site_with_free_headroom(in_use: StepSpec) -> Site {
    let mut site = Site::with_headroom(8);
    site.submit(2, spread(StepSpec { count: 4, ..in_use }));
    site.play(1_000);
    assert_eq!(site.runs.len(), 4);
    site
}

#[rstest]
#[case::accelerators(step_of(1_000, 1_000, 7), step_of(1_000, 1_000, 8))]
#[case::cores(step_of(60_000, 1_000, 0), step_of(60_000, 1_000, 0))]
#[case::memory(step_of(1_000, 120_000, 0), step_of(1_000, 120_000, 0))]
fn job_starts_in_headroom(
    #[case] in_use: StepSpec,
    #[case] waiting: StepSpec,
    #[values(1, 2, 3)] priority: u32,
    #[values(false, true)] is_gang: bool,
) {
    let mut site = site_with_free_headroom(in_use);
    let waiting = StepSpec {
        gang: is_gang,
        ..waiting
    };
    site.submit(priority, waiting);
    assert_ne!(site.wait_for_start(LONGEST_DECISION_MS), 0);
}

/// By the words of the platform the service may count as less than half used as long as any resource is.
#[rstest]
#[case::accelerators_half_used(step_of(1_000, 1_000, 4))]
#[case::cores_half_used(step_of(32_000, 1_000, 1))]
#[case::memory_half_used(step_of(1_000, 65_536, 1))]
fn job_starts_in_headroom_if_only_one_resource_is_half_used(#[case] in_use: StepSpec) {
    let mut site = Site::with_headroom(8);
    let in_use = spread(StepSpec { count: 8, ..in_use });
    site.submit(2, in_use);
    site.play(LONG_MS);
    assert_eq!(site.runs.len(), 8);
    site.submit(3, step_of(30_000, 60_000, 4));
    assert_ne!(site.wait_for_start(LONGEST_DECISION_MS), 0);
}

/// Urgent work that comes later finds the rest of its headroom.
#[test]
fn job_of_many_tasks_leaves_headroom_beside_its_first() {
    let mut site = site_with_free_headroom(step_of(1_000, 1_000, 7));
    site.submit(3, long_step(4, 8));
    site.play(LONGEST_IDLE_MS);
    assert_eq!(site.runs.len(), 5);
}

/// What runs in the headroom is stopped to refill it.
#[test]
fn job_stopped_to_refill_headroom_starts_again() {
    let mut site = site_with_free_headroom(step_of(1_000, 1_000, 7));
    let waiting = StepSpec {
        saves_progress: true,
        ..long_step(2, 8)
    };
    site.submit(3, waiting);
    let (mut idle_ms, mut stopped) = (0, 0);
    for _ in 0..20_000 / PASS_MS {
        let orders = site.advance();
        idle_ms = match site.runs.len() {
            4 => idle_ms + PASS_MS,
            _ => 0,
        };
        assert!(idle_ms <= LONGEST_DECISION_MS);
        for (name, _) in stops(&orders) {
            let run = site
                .runs
                .iter()
                .find(|run| starts(&[(*run).clone()])[0].0 == name);
            let run = run.unwrap().clone();
            site.end(run, RunOutcome::Stopped);
            stopped += 1;
        }
    }
    assert_ne!(stopped, 0);
}

/// A full service keeps its headroom.
#[test]
fn job_waits_outside_headroom_while_half_of_all_resources_is_used() {
    let mut site = Site::with_headroom(8);
    let in_use = spread(StepSpec {
        count: 8,
        ..step_of(32_000, 65_536, 4)
    });
    site.submit(2, in_use);
    site.play(LONG_MS);
    assert_eq!(site.runs.len(), 8);
    site.submit(3, step_of(1_000, 1_000, 1));
    assert_eq!(site.wait_for_start(LONGEST_IDLE_MS), 0);
}

/// While urgent work comes, its headroom is kept if any resource is half used.
#[rstest]
#[case::urgent_work_comes(true)]
#[case::urgent_work_has_ceased(false)]
fn job_waits_outside_headroom_of_urgent_work_that_comes(#[case] comes: bool) {
    let mut site = Site::new(16);
    site.submit(2, spread(long_step(16, 4)));
    site.play(15_000);
    assert_eq!(site.runs.len(), 16);
    let mut started = 0;
    for pass in 0..(URGENT_WINDOW_MS + LONGEST_DECISION_MS) / PASS_MS {
        if pass == 0 || comes && pass % 10 == 0 {
            site.submit_urgent();
        }
        if pass == 1 {
            site.submit(3, long_step(2, 1));
        }
        let orders = site.advance();
        let id = format!("{:016x}.", 2);
        started += starts(&orders)
            .iter()
            .filter(|(n, _)| n.starts_with(&id))
            .count();
    }
    assert_eq!(started, usize::from(!comes));
}

/// A job with a task at work waits for its other tasks as before.
#[test]
fn job_with_task_at_work_waits_for_its_rack() {
    let mut site = Site::new(24);
    site.submit(2, on_rack_0(long_step(7, 8)));
    site.play(1_000);
    site.submit(1, on_rack_0(long_step(2, 8)));
    assert_eq!(site.wait_for_start(1_000), 1);
    assert_eq!(site.wait_for_start(LONGEST_IDLE_MS), 0);
}

/// The worker with the running task is silent: nothing may run of the job.
#[test]
fn job_whose_only_run_may_be_lost_leaves_rack() {
    let mut site = Site::new(24);
    site.submit(2, on_rack_0(long_step(7, 8)));
    site.play(1_000);
    site.submit(1, on_rack_0(long_step(2, 8)));
    assert_eq!(site.wait_for_start(1_000), 1);
    let worker = worker_of(site.runs.last().unwrap());
    let index = site.harness.workers.iter().position(|w| *w == worker);
    site.silent.extend(index);
    assert_eq!(site.wait_for_start(LONGEST_DECISION_MS), 1);
}

/// The accelerators of the workers are half used, their cores and memory are not. No urgent work has come for long.
#[rstest]
#[case::with_accelerators(long_step(2, 1))]
#[case::without(long_step(2, 0))]
#[case::gang(gang(long_step(2, 1)))]
fn job_starts_beside_urgent_gang_that_waits(
    #[case] waiting: StepSpec,
    #[values(1, 3)] priority: u32,
) {
    let mut site = Site::new(16);
    site.submit(2, spread(long_step(16, 4)));
    site.play(15_000);
    assert_eq!(site.runs.len(), 16);
    let urgent = StepSpec {
        estimate_ms: 9_000,
        ..gang(step(16, 8))
    };
    site.submit(0, urgent);
    site.play(URGENT_WINDOW_MS);
    assert_eq!(site.runs.len(), 16, "the gang waits");
    site.submit(priority, waiting);
    assert_ne!(site.wait_for_start(LONGEST_DECISION_MS), 0);
}

/// One urgent gang after the other waits for runs that seem to end soon, and is cancelled. The platform gives 14 s after the
/// last that came.
#[test]
fn job_starts_beside_urgent_gangs_that_come_one_after_the_other() {
    let mut site = Site::new(16);
    let seems_short = StepSpec {
        estimate_ms: 1,
        need: Resources {
            cpu_millis: 20_000,
            ..step(1, 1).need
        },
        ..spread(long_step(16, 1))
    };
    site.submit(2, seems_short);
    site.play(60_000);
    assert_eq!(site.runs.len(), 16);
    site.submit_urgent();
    site.play(PASS_MS);
    assert_eq!(site.runs.len(), 16, "the gang waits");
    site.submit(3, long_step(2, 1));
    for _ in 0..3 {
        site.submit_urgent();
        site.play(1_000);
    }
    let rest_ms = URGENT_WINDOW_MS - 1_000;
    assert_ne!(site.wait_for_start(rest_ms + LONGEST_DECISION_MS), 0);
}

/// The workers take the stops, and what runs there goes on.
#[rstest]
#[case::one_gang(1)]
#[case::two_gangs(2)]
fn job_starts_beside_preemption_that_does_not_settle(#[case] gangs: u32) {
    let mut site = Site::new(16);
    site.submit(2, spread(long_step(16, 1)));
    site.play(500);
    assert_eq!(site.runs.len(), 16);
    for _ in 0..gangs {
        site.submit(0, gang(step(16 / gangs, 8)));
    }
    let orders = site.advance();
    assert_eq!(stops(&orders).len(), 16);
    site.submit(1, long_step(2, 1));
    assert_ne!(site.wait_for_start(LONGEST_DECISION_MS), 0);
}

#[test]
fn second_step_leaves_rack_that_is_full() {
    let mut site = Site::new(24);
    site.submit(2, on_rack_0(long_step(8, 8)));
    site.play(1_000);
    let second = StepSpec {
        after: vec![0],
        ..on_rack_0(long_step(2, 1))
    };
    site.submit_steps(1, vec![step(1, 1), second]);
    assert_eq!(site.wait_for_start(LONGEST_DECISION_MS), 1);
    site.play(10_000);
    let run = site.runs.pop().unwrap();
    site.end(run, RunOutcome::Done);
    assert_ne!(site.wait_for_start(LONGEST_DECISION_MS), 0);
}

/// The next planner does not know how long the job has waited.
#[rstest]
#[case::late_change(1, 1_400)]
#[case::two_changes(2, 700)]
fn job_does_not_wait_anew_for_each_planner(#[case] changes: u32, #[case] after_ms: u64) {
    let waiting = || job(1, 1, vec![on_rack_0(long_step(1, 1))]);
    let mut site = Site::new(16);
    let begin_ms = site.harness.now_ms;
    site.harness.planner.add_job(waiting(), 1, begin_ms);
    site.silent.extend(0..8);
    site.jobs = 1;
    for _ in 0..changes {
        if site.wait_for_start(after_ms) > 0 {
            break;
        }
        let now_ms = site.harness.now_ms;
        let mut harness = Harness {
            planner: Planner::new(limits(), now_ms),
            now_ms,
            workers: Vec::new(),
        };
        harness.list((0..16).map(entry).collect());
        harness.planner.restore_job(waiting(), None, 1, now_ms);
        site.harness = harness;
    }
    if site.runs.is_empty() {
        site.wait_for_start(LONGEST_DECISION_MS);
    }
    assert_eq!(site.runs.len(), 1);
    assert!(site.harness.now_ms <= begin_ms + LONGEST_DECISION_MS);
}
