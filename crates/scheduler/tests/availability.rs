//! How many tasks of a step with a limit on unavailable tasks the planner's own orders end at the same time.
//!
//! Guards against AVAIL: maintenance that ended all tasks of a machine at once, and a planner that took over and did not
//! know which tasks its predecessor had ended.

mod support;

use scheduler::prelude::*;
use scheduler::{ActiveRun, RunOutcome};
use support::guarantee_site::{PASS_MS, Site, lasting, long};
use support::{Harness, ended, job, running, stops};

/// Maintenance of a worker ends no more tasks of a limited step than the step allows, and the others only once the machine
/// can go down.
#[test]
fn drain_ends_no_more_limited_tasks_than_allowed() {
    let mut site = Site::new(2, &[]);
    let large = site.submit("plant", 1, lasting(4, 1, Some(1)));
    let usual = site.submit("plant", 1, long(1, 1));
    site.play(1_000);
    let worker = *site.count_by_worker(&large).keys().next().unwrap();
    assert_eq!(
        site.count_by_worker(&large)[&worker],
        4,
        "all are on one worker"
    );
    let id = format!(
        "i-{}",
        site.harness
            .workers
            .iter()
            .position(|w| *w == worker)
            .unwrap()
    );
    let mut most_stopping = 0;
    for _ in 0..200 {
        let now_ms = site.harness.now_ms;
        site.harness.planner.drain_worker(&id, now_ms);
        if site.harness.planner.is_kept_up(&id) {
            assert_eq!(site.count_stopped(&usual), 0);
        }
        site.play(PASS_MS);
        most_stopping = most_stopping.max(4 - site.count_running(&large));
    }
    assert_eq!(most_stopping, 1);
    assert!(!site.count_by_worker(&large).contains_key(&worker));
    assert_eq!(site.count_running(&large), 4);
    assert_eq!(site.count_stopped(&usual), 1);
}

/// The tasks that an earlier planner may have ended are away until a worker reports them at work.
#[test]
fn tasks_of_earlier_planner_are_away_until_they_are_at_work() {
    let stored = job(1, 1, vec![lasting(4, 1, Some(1))]);
    let mut first = Harness::with_workers(1);
    first.planner.add_job(stored.clone(), 1, first.now_ms);
    let (_, flush) = first.plan_without_store();
    let record = flush.writes[0].record.clone();
    first.planner.complete_flush(flush, first.now_ms);
    let runs = first.take_orders();

    let mut second = Harness::with_workers(1);
    let now_ms = second.now_ms;
    second.planner.restore_job(stored, Some(record), 1, now_ms);
    let at = |run: &Order, percent: u32| ActiveRun {
        percent,
        ..running(run)
    };
    let starting: Vec<ActiveRun> = runs.iter().map(|run| at(run, 10)).collect();
    second.report(0, starting, vec![]);
    second.planner.drain_worker("i-0", now_ms);
    assert_eq!(stops(&second.plan()).len(), 0);
    assert!(second.planner.is_kept_up("i-0"));

    let at_work: Vec<ActiveRun> = runs.iter().map(|run| at(run, 100)).collect();
    second.report(0, at_work.clone(), vec![]);
    second.planner.drain_worker("i-0", now_ms);
    let stopped = stops(&second.plan());
    assert_eq!(stopped.len(), 1);
    let is_stopped = |run: &Order| support::starts(std::slice::from_ref(run)) == stopped;
    let end = runs.iter().find(|run| is_stopped(run)).unwrap();
    let end = ended(end, 1, RunOutcome::Stopped, "");
    let left = at_work
        .into_iter()
        .filter(|run| run.task != end.task.unwrap());
    second.report(0, left.collect(), vec![end]);
    second.planner.drain_worker("i-0", now_ms);
    assert_eq!(
        stops(&second.plan()).len(),
        0,
        "the first is not at work yet"
    );
}
