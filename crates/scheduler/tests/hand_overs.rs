//! What a planner heard and could not store is known to the next one, also if the worker is gone.
//!
//! Guards against LOST: the next step waits for a task that was done while nobody could store it.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{DoneRun, HandOverName, JobState};
use support::live_site::LiveSite;
use support::{job, step};

/// Time in which the planner acts on what it has learned.
const PROMPT_MS: u64 = 1_000;

/// Longer than a new planner waits for a worker that does not answer it.
const LONGER_THAN_INHERITED_MS: u64 = 26_000;

/// The first hand-over of an earlier term.
const NAME: HandOverName = HandOverName { term: 1, number: 1 };

/// Returns a job of two steps, the first of which fills a worker with each of two tasks.
fn two_steps(gang: bool) -> StoredJob {
    let first = StepSpec { gang, ..step(2, 8) };
    let next = StepSpec {
        after: vec![0],
        ..step(1, 1)
    };
    job(1, 1, vec![first, next])
}

/// Lets the workers of the first step's tasks be lost together with their planner; returns the runs that were done there.
fn lose_workers_and_planner(site: &mut LiveSite, stored: &StoredJob) -> Vec<DoneRun> {
    site.run_job(stored.clone());
    site.play(PROMPT_MS);
    let workers = site.find_runs(stored.id);
    let done = workers
        .iter()
        .flat_map(|index| &site.workers[*index].running)
        .map(|active| DoneRun {
            task: active.task,
            run: active.run,
        })
        .collect();
    for index in workers {
        site.workers[index].reachable = false;
    }
    site.take_over();
    done
}

/// Hands runs over to the planner of a site.
fn hand_over(site: &mut LiveSite, done: &[DoneRun]) {
    let now_ms = site.harness.now_ms;
    site.harness.planner.take_in_hand_over(NAME, done, now_ms);
}

fn starts_of_step(site: &LiveSite, step: u32) -> usize {
    let starts = site.starts.iter();
    starts.filter(|(task, ..)| task.step == step).count()
}

#[rstest]
#[case::single_tasks(false)]
#[case::gang(true)]
fn next_step_starts_once_done_runs_are_handed_over(#[case] gang: bool) {
    let mut site = LiveSite::new(4);
    let stored = two_steps(gang);
    let mut done = lose_workers_and_planner(&mut site, &stored);
    if gang {
        // Each member lists the end of all.
        done.truncate(1);
    }
    site.play(PROMPT_MS);
    assert_eq!(starts_of_step(&site, 1), 0);
    hand_over(&mut site, &done);
    site.play(PROMPT_MS);
    assert_eq!(starts_of_step(&site, 1), 1, "the next step starts");
    site.play(LONGER_THAN_INHERITED_MS);
    assert_eq!(
        starts_of_step(&site, 0),
        2,
        "no task of the first step runs again"
    );
}

#[test]
fn later_run_is_stopped_once_the_earlier_one_is_handed_over() {
    let mut site = LiveSite::new(4);
    let stored = two_steps(false);
    let done = lose_workers_and_planner(&mut site, &stored);
    site.play(LONGER_THAN_INHERITED_MS);
    assert_eq!(starts_of_step(&site, 0), 4, "the tasks run again");
    hand_over(&mut site, &done);
    site.play(PROMPT_MS);
    assert_eq!(starts_of_step(&site, 1), 1, "the next step starts");
    assert_eq!(site.stops.len(), 2, "the later runs are stopped");
}

#[test]
fn later_run_than_the_stored_one_is_ignored() {
    let mut site = LiveSite::new(4);
    let stored = two_steps(false);
    let mut done = lose_workers_and_planner(&mut site, &stored);
    for run in &mut done {
        run.run += 1;
    }
    hand_over(&mut site, &done);
    site.play(PROMPT_MS);
    assert_eq!(starts_of_step(&site, 1), 0);
    assert_eq!(site.state(stored.id), JobState::Running);
}

#[test]
fn hand_over_is_removed_with_the_records_that_hold_it() {
    let mut site = LiveSite::new(4);
    let stored = two_steps(false);
    let done = lose_workers_and_planner(&mut site, &stored);
    hand_over(&mut site, &done);
    hand_over(&mut site, &done);
    let (_, flush) = site.harness.plan_without_store();
    assert_eq!(flush.taken_in, vec![NAME]);
    let record = &flush.writes.iter().find(|write| write.job == stored.id);
    let units = &record.unwrap().record.groups[0].units;
    assert!(units.iter().all(|unit| unit.done));
}
