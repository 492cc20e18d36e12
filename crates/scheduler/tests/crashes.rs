//! Tasks that crash the workers that run them, on a simulated site.
//!
//! Guards against such a task crashing one worker after the other, and against giving up a task that only ran beside
//! one. A crashed worker reports no ends; the planner learns of the crash from the worker's next incarnation, or from
//! its silence.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{
    BodyLimits, Configuration, JobState, Organisation, StartOutcome, StepSpec, TaskName,
};
use support::crash_site::{AWAY_MS, LONG_AWAY_MS, MAX_STARTS, Site, gang, is_never, lasting};
use support::{Harness, entry, job, starts, step, worker_of};

fn is_first_of_job_1(task: &TaskName) -> bool {
    task.to_string() == format!("{:016x}.0.0.0", 1)
}

#[rstest]
#[case::single_task(step(1, 1))]
#[case::beside_others(step(12, 1))]
#[case::gang(gang(1, 8))]
#[case::gang_on_several_workers(gang(3, 8))]
fn give_up_task_that_crashes_workers(
    #[case] step: StepSpec,
    #[values(10, 1_000, 5_000)] survives_ms: u64,
    #[values(AWAY_MS, LONG_AWAY_MS)] away_ms: u64,
    #[values(false, true)] takes_over: bool,
) {
    let mut site = Site::new(16, is_first_of_job_1);
    site.survives_ms = survives_ms;
    site.away_ms = away_ms;
    site.takes_over = takes_over;
    site.add(job(1, 1, vec![step]));
    site.play(240_000);
    let deadly = site.starts.iter().find(|(task, _)| is_first_of_job_1(task));
    let starts = deadly.map_or(0, |(_, starts)| *starts);
    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert_eq!(site.state(1), JobState::Failed);
}

/// Guards against LOST: a job that lasts until it is cancelled is shown as failed after some crashes of its workers.
#[rstest]
fn lasting_task_starts_again_however_often_its_workers_crash(
    #[values(false, true)] gang: bool,
    #[values(10, 1_000, 5_000)] survives_ms: u64,
    #[values(AWAY_MS, LONG_AWAY_MS)] away_ms: u64,
    #[values(false, true)] takes_over: bool,
) {
    let mut site = Site::new(16, is_first_of_job_1);
    site.survives_ms = survives_ms;
    site.away_ms = away_ms;
    site.takes_over = takes_over;
    site.add(job(1, 1, vec![StepSpec { gang, ..lasting(2) }]));
    let mut starts_before = 0;
    for _ in 0..6 {
        site.play(40_000);
        assert_eq!(site.state(1), JobState::Running);
        let deadly = site.starts.iter().find(|(task, _)| is_first_of_job_1(task));
        let starts = deadly.map_or(0, |(_, starts)| *starts);
        assert!(starts > starts_before, "it has started {starts} times");
        starts_before = starts;
    }
    assert!(starts_before > MAX_STARTS, "{starts_before} starts");
}

/// Tasks that end are done although a lasting one beside them crashes its workers again and again.
#[test]
fn complete_tasks_beside_lasting_one_that_crashes_workers() {
    let mut site = Site::new(16, is_first_of_job_1);
    site.survives_ms = 1_000;
    site.add(job(1, 1, vec![lasting(1)]));
    for id in 2..=6 {
        site.add(job(id, 1, vec![step(4, 1)]));
    }
    site.play(120_000);
    for id in 2..=6 {
        assert_eq!(site.state(id), JobState::Completed, "job {id}");
    }
    assert_eq!(site.state(1), JobState::Running);
}

#[rstest]
#[case::one_of_many(6, 16)]
#[case::crowded(12, 3)]
fn complete_tasks_beside_one_that_crashes_workers(#[case] jobs: u64, #[case] workers: u32) {
    let mut site = Site::new(workers, is_first_of_job_1);
    for id in 1..=jobs {
        site.add(job(id, 1, vec![step(4, 1)]));
    }
    site.play(120_000);
    for id in 2..=jobs {
        assert_eq!(site.state(id), JobState::Completed, "job {id}");
    }
    assert_eq!(site.state(1), JobState::Failed);
    assert!(site.most_starts() <= MAX_STARTS);
}
/// Plays until a worker runs something for `age_ms`; returns its index.
fn find_busy_worker(site: &mut Site, age_ms: u64) -> usize {
    for _ in 0..1_000 {
        site.tick();
        let now_ms = site.harness.now_ms;
        let busy = site.workers.iter().position(|worker| {
            let mut runs = worker.runs.iter();
            runs.any(|run| now_ms >= run.began_ms + age_ms)
        });
        if let Some(busy) = busy {
            return busy;
        }
    }
    panic!("nothing runs for {age_ms} ms");
}

#[rstest]
#[case::soon_after_its_start(2, 100, AWAY_MS, step(1, 1))]
#[case::three_times_soon_after_its_start(3, 100, AWAY_MS, step(1, 1))]
#[case::later(4, 2_500, AWAY_MS, step(1, 1))]
#[case::cut_off_soon_after_its_start(4, 100, LONG_AWAY_MS, step(1, 1))]
#[case::gang_soon_after_its_start(2, 100, AWAY_MS, gang(3, 8))]
#[case::gang_three_times_soon_after_its_start(3, 100, AWAY_MS, gang(3, 8))]
fn complete_task_whose_workers_crash_by_chance(
    #[case] crashes: usize,
    #[case] age_ms: u64,
    #[case] away_ms: u64,
    #[case] step: StepSpec,
) {
    let mut site = Site::new(8, is_never);
    site.work_ms = 4_000;
    site.away_ms = away_ms;
    site.add(job(1, 1, vec![step]));
    for _ in 0..crashes {
        let busy = find_busy_worker(&mut site, age_ms);
        site.crash(busy);
    }
    site.play(60_000);
    assert_eq!(site.state(1), JobState::Completed);
}

/// Other tasks crash the workers just before the starts arrive there, so that none is answered. Others take their places.
#[test]
fn keep_job_whose_starts_reach_crashed_workers() {
    let mut entries: Vec<WorkerEntry> = (0..8).map(entry).collect();
    let mut harness = Harness::with_workers(8);
    let stored = job(1, 1, vec![step(1, 1)]);
    harness.planner.add_job(stored, 1, harness.now_ms);
    for lost in 0..MAX_STARTS {
        for index in 0..harness.workers.len() {
            let worker = harness.planner.entry(harness.workers[index]);
            if worker.is_some_and(|worker| entries.iter().any(|entry| entry.id == worker.id)) {
                harness.report(index, vec![], vec![]);
            }
        }
        let orders = harness.plan();
        assert_eq!(starts(&orders).len(), 1, "{lost} starts were lost");
        harness.report_start_outcome(&orders[0], StartOutcome::NoAnswer);
        harness.take_orders();
        let worker = harness.planner.entry(worker_of(&orders[0])).unwrap();
        let id = worker.id.clone();
        for entry in entries.iter_mut().filter(|entry| entry.id == id) {
            entry.born_unix_ms += 1;
            entry.id = format!("{id}-next");
        }
        harness.now_ms += AWAY_MS;
        harness.list(entries.clone());
    }
}

#[test]
fn complete_task_whose_workers_are_cut_off() {
    let mut site = Site::new(8, is_never);
    site.work_ms = 4_000;
    site.add(job(1, 1, vec![step(1, 1)]));
    for _ in 0..2 * MAX_STARTS {
        let busy = find_busy_worker(&mut site, 100);
        site.cut_off(busy);
    }
    site.play(60_000);
    assert_eq!(site.state(1), JobState::Completed);
}

#[test]
fn keep_lasting_task_whose_workers_crash_now_and_then() {
    let mut site = Site::new(8, is_never);
    site.work_ms = u64::MAX / 2;
    site.add(job(1, 1, vec![lasting(1)]));
    for _ in 0..20 {
        let busy = find_busy_worker(&mut site, 60_000);
        site.crash(busy);
    }
    site.play(60_000);
    assert_eq!(site.state(1), JobState::Running);
}

#[rstest]
#[case::for_good(false)]
#[case::replaced_at_their_addresses(true)]
fn complete_task_whose_workers_leave(#[case] replaces_at_address: bool) {
    let mut site = Site::new(8, is_never);
    site.work_ms = 4_000;
    site.replaces_at_address = replaces_at_address;
    site.add(job(1, 1, vec![step(1, 1)]));
    for _ in 0..2 * MAX_STARTS {
        let busy = find_busy_worker(&mut site, 100);
        site.workers[busy].leaves_ms = Some(site.harness.now_ms + 1_000);
        site.play(1_000);
    }
    site.play(60_000);
    assert_eq!(site.state(1), JobState::Completed);
}

/// A worker that has announced its leave can crash before.
#[test]
fn give_up_task_that_crashes_leaving_workers() {
    let mut site = Site::new(16, is_first_of_job_1);
    site.survives_ms = 5_000;
    site.add(job(1, 1, vec![step(1, 1)]));
    for _ in 0..2 * MAX_STARTS {
        let busy = site
            .workers
            .iter()
            .position(|worker| !worker.runs.is_empty());
        if let Some(busy) = busy {
            site.workers[busy].leaves_ms = Some(site.harness.now_ms + 60_000);
        }
        site.play(8_500);
    }
    assert_eq!(site.state(1), JobState::Failed);
    assert!(site.most_starts() <= MAX_STARTS);
}

#[test]
fn start_nothing_beside_suspect_in_its_start_phase() {
    let mut site = Site::new(2, is_first_of_job_1);
    site.survives_ms = 1_500;
    site.add(job(1, 1, vec![step(1, 1)]));
    let deadly = find_busy_worker(&mut site, 1_000);
    site.play(AWAY_MS + 2_000);
    let again = find_busy_worker(&mut site, 0);
    for id in 2..6 {
        site.add(job(id, 1, vec![step(1, 1)]));
    }
    site.play(1_000);
    assert_eq!(site.workers[again].runs.len(), 1, "first crash on {deadly}");
    assert_eq!(site.workers[1 - again].runs.len(), 4);
}

#[test]
fn start_suspects_without_empty_worker() {
    let mut site = Site::new(2, is_never);
    site.work_ms = 60_000;
    site.add(job(1, 1, vec![step(2, 1)]));
    let busy = find_busy_worker(&mut site, 100);
    site.crash(busy);
    site.add(job(2, 1, vec![step(4, 1)]));
    site.play(AWAY_MS + 4_000);
    let running: usize = site.workers.iter().map(|worker| worker.runs.len()).sum();
    assert_eq!(running, 6, "suspects wait for a second, not forever");
}

/// Crashes all workers at once, as often as `crashes` says, each time once their runs are `age_ms` old.
fn crash_all_workers(site: &mut Site, crashes: usize, age_ms: u64) {
    for _ in 0..crashes {
        find_busy_worker(site, age_ms);
        for index in 0..site.workers.len() {
            site.crash(index);
        }
        site.play(site.away_ms);
    }
}

fn count_runs(site: &Site) -> usize {
    site.workers.iter().map(|worker| worker.runs.len()).sum()
}

/// Suspects that start apart from others must not leave capacity idle: where many tasks are suspect, as after a crash
/// of all workers, one task on each worker is far less than fits.
#[rstest]
#[case::crashed_soon_after_their_start(1, 100, AWAY_MS)]
#[case::crashed_later(2, 5_000, AWAY_MS)]
#[case::cut_off_twice(2, 5_000, LONG_AWAY_MS)]
fn start_many_suspects_without_long_wait(
    #[case] crashes: usize,
    #[case] age_ms: u64,
    #[case] away_ms: u64,
) {
    let mut site = Site::new(4, is_never);
    site.work_ms = u64::MAX / 2;
    site.away_ms = away_ms;
    site.add(job(1, 1, vec![lasting(24)]));
    crash_all_workers(&mut site, crashes, age_ms);
    site.play(6_000);
    assert_eq!(count_runs(&site), 24);
}

/// A suspect runs for a minute; the guarantee of an urgent job holds meanwhile.
#[test]
fn preempt_suspects_for_urgent_job() {
    let mut site = Site::new(4, is_never);
    site.work_ms = 60_000;
    site.harness.planner.set_configuration(&Configuration {
        version: 1,
        queues: Vec::new(),
        services: Vec::new(),
        organisations: vec![Organisation {
            name: "desk".to_string(),
            keys: Vec::new(),
            guaranteed_accelerators: 16,
        }],
        limits: BodyLimits { body_bytes: 1 },
    });
    site.add(job(1, 1, vec![step(4, 8)]));
    crash_all_workers(&mut site, 2, 5_000);
    site.play(6_000);
    assert_eq!(count_runs(&site), 4);
    site.add(job(2, 0, vec![gang(2, 8)]));
    site.play(2_900);
    let begun = site
        .starts
        .iter()
        .filter(|(task, _)| task.to_string().starts_with(&format!("{:016x}", 2)));
    assert_eq!(begun.count(), 2);
}
