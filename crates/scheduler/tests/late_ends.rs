//! A run that is listed as done after its worker's lease has ended does the work, also if a later run has begun.
//!
//! Guards against LOST: the next step waits for a later run of a task that is done, for as long as that run takes.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{JobState, RunOutcome};
use support::live_site::LiveSite;
use support::{job, step};

/// Long enough that every lease that is not renewed has ended.
const LONGER_THAN_LEASE_MS: u64 = 12_000;

/// Time in which the planner acts on what it has learned.
const PROMPT_MS: u64 = 1_000;

/// Returns a step of `count` tasks that fill a worker each.
fn whole_workers(count: u32, gang: bool) -> StepSpec {
    StepSpec {
        gang,
        ..step(count, 8)
    }
}

/// A job of two steps, the first of which is done behind a cut and started again elsewhere; then the cut ends.
/// Returns the workers of the first and of the later run.
fn run_behind_cut(site: &mut LiveSite, stored: &StoredJob) -> (Vec<usize>, Vec<usize>) {
    site.run_job(stored.clone());
    let first = site.find_runs(stored.id);
    for index in &first {
        site.workers[*index].reachable = false;
    }
    site.play(PROMPT_MS);
    for index in &first {
        site.workers[*index].finish_runs();
    }
    site.play(LONGER_THAN_LEASE_MS);
    let later = site.find_runs(stored.id);
    assert_eq!(later.len(), first.len(), "the later run has begun");
    (first, later)
}

fn two_steps(gang: bool) -> StoredJob {
    let next = StepSpec {
        after: vec![0],
        ..step(1, 1)
    };
    job(1, 1, vec![whole_workers(2, gang), next])
}

fn reconnect(site: &mut LiveSite, workers: &[usize]) {
    for index in workers {
        site.workers[*index].reachable = true;
    }
    site.play(PROMPT_MS);
}

#[rstest]
#[case::single_tasks(false)]
#[case::gang(true)]
fn next_step_starts_once_earlier_run_is_listed_as_done(#[case] gang: bool) {
    let mut site = LiveSite::new(4);
    let stored = two_steps(gang);
    let (first, later) = run_behind_cut(&mut site, &stored);
    reconnect(&mut site, &first);
    let started: Vec<u32> = site.starts.iter().map(|(task, ..)| task.step).collect();
    assert!(started.contains(&1), "the next step starts");
    for index in later {
        let running = &site.workers[index].running;
        assert!(
            running.iter().all(|active| active.task.step == 1),
            "the later run is stopped"
        );
    }
    assert_eq!(site.twice, Vec::<TaskName>::new());
}

/// How the later run ends after the earlier one was listed as done.
#[rstest]
fn job_completes_however_later_run_ends(
    #[values(
        Some(RunOutcome::Done),
        Some(RunOutcome::Failed),
        Some(RunOutcome::Stopped),
        None
    )]
    outcome: Option<RunOutcome>,
    #[values(false, true)] gang: bool,
) {
    let mut site = LiveSite::new(4);
    let stored = StoredJob {
        attempts: 1,
        ..job(1, 1, vec![whole_workers(2, gang)])
    };
    let (first, later) = run_behind_cut(&mut site, &stored);
    for index in &later {
        site.workers[*index].reachable = false;
    }
    reconnect(&mut site, &first);
    assert_eq!(site.state(stored.id), JobState::Completed);
    for index in &later {
        let worker = &mut site.workers[*index];
        match outcome {
            Some(outcome) => {
                for active in std::mem::take(&mut worker.running) {
                    worker.end(active, outcome);
                }
                worker.reachable = true;
            }
            None => worker.up = false,
        }
    }
    site.play(2 * LONGER_THAN_LEASE_MS);
    assert_eq!(site.state(stored.id), JobState::Completed);
    assert_eq!(site.starts.len(), 4, "nothing starts again");
}

/// What a successor reads says that the tasks are done.
#[rstest]
#[case::single_tasks(false)]
#[case::gang(true)]
fn successor_starts_next_step_while_later_run_is_being_stopped(#[case] gang: bool) {
    let mut site = LiveSite::new(4);
    let stored = two_steps(gang);
    let (first, later) = run_behind_cut(&mut site, &stored);
    for index in &later {
        site.workers[*index].reachable = false;
    }
    reconnect(&mut site, &first);
    site.take_over();
    site.play(PROMPT_MS);
    let first_step = site.starts.iter().filter(|(task, ..)| task.step == 0);
    assert_eq!(first_step.count(), 4, "the first step does not start again");
    let next = site.starts.iter().filter(|(task, ..)| task.step == 1);
    assert_eq!(next.count(), 1, "the next step starts once");
}
