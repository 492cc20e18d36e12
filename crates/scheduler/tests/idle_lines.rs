//! Each job of which nothing runs for long is logged once, with what it waits for.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use support::live_site::LiveSite;
use support::{job, step};

/// Longer than a job may have nothing running before it is logged, shorter than a lease.
const IDLE_MS: u64 = 4_500;

/// Returns the reasons that the planner has logged for a job.
fn idle_lines(site: &mut LiveSite, id: JobId) -> Vec<String> {
    site.harness
        .planner
        .take_decisions()
        .into_iter()
        .filter(|decision| decision.job == Some(id) && decision.what == "idle")
        .map(|decision| decision.why)
        .collect()
}

#[rstest]
#[case::worker_silent(true, 8, "WorkerSilent")]
#[case::no_room(false, 9, "NoRoom")]
fn idle_job_is_logged_once(#[case] cut: bool, #[case] accelerators: i64, #[case] reason: &str) {
    let mut site = LiveSite::new(2);
    let stored = job(1, 1, vec![step(1, accelerators)]);
    match cut {
        true => {
            let index = site.run_job(stored.clone());
            site.workers[index].reachable = false;
        }
        false => site.add(stored.clone()),
    }
    site.play(2 * IDLE_MS);
    let lines = idle_lines(&mut site, stored.id);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].starts_with(reason), "{lines:?}");
}

#[test]
fn running_job_is_not_logged() {
    let mut site = LiveSite::new(2);
    let stored = job(1, 1, vec![step(1, 8)]);
    site.run_job(stored.clone());
    site.play(2 * IDLE_MS);
    assert_eq!(idle_lines(&mut site, stored.id), Vec::<String>::new());
}
