//! A job of which nothing runs starts at workers that other work is kept from, if no other has room.
//!
//! Guards against LOST for work that ends: workers are quarantined for up to 24 s after failures and refused starts, and
//! kept from other work by tasks that may crash them.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{
    Advice, AdviceAnswer, CrashCounts, GroupRecord, JobRecord, JobState, RunOutcome, TaskRecord,
};
use support::idle_site::{
    LONGEST_DECISION_MS, LONGEST_IDLE_MS, PASS_MS, Site, URGENT_WINDOW_MS, long_step, spread,
};
use support::{job, starts, step};

/// A worker that turned away starts again and again gets no other work for up to 24 s, also once it is healthy.
#[rstest]
fn job_starts_at_quarantined_worker(
    #[values(1, 3, 8)] refusals: usize,
    #[values(0, 1, 3)] priority: u32,
    #[values(false, true)] is_gang: bool,
) {
    let mut site = Site::new(1);
    site.refusing.insert(0);
    let waiting = StepSpec {
        gang: is_gang,
        ..long_step(2, 1)
    };
    site.submit(priority, waiting);
    let submitted_ms = site.harness.now_ms;
    for _ in 0..200 {
        if site.harness.planner.counts().refused >= refusals as u64 {
            break;
        }
        site.play(1_000);
    }
    site.refusing.clear();
    // The platform gives 14 s after the last urgent work.
    let urgent_ms = match priority {
        0 => (submitted_ms + URGENT_WINDOW_MS).saturating_sub(site.harness.now_ms),
        _ => 0,
    };
    assert_ne!(site.wait_for_start(urgent_ms + LONGEST_DECISION_MS), 0);
}

/// The runs of several jobs failed there.
#[test]
fn job_starts_at_worker_quarantined_for_failures() {
    let mut site = Site::new(1);
    for _ in 0..6 {
        site.submit(1, step(1, 1));
        site.wait_for_start(30_000);
        let run = site.runs.pop().unwrap();
        site.end(run, RunOutcome::Failed);
        site.cancel_last();
    }
    site.submit(1, long_step(1, 1));
    assert_eq!(site.wait_for_start(LONGEST_DECISION_MS), 1);
}

/// A worker that refuses work is the last to get any.
#[rstest]
#[case::single_tasks(false)]
#[case::gang(true)]
fn job_starts_at_quarantined_worker_only_if_no_other_has_room(#[case] is_gang: bool) {
    let mut site = Site::new(16);
    site.refusing.extend(0..12);
    site.submit(1, spread(long_step(16, 1)));
    site.play(PASS_MS);
    let runs = std::mem::take(&mut site.runs);
    assert_eq!(runs.len(), 4);
    for run in runs {
        site.end(run, RunOutcome::Done);
    }
    site.cancel_last();
    site.expect_urgent_work();
    site.harness.planner.take_decisions();
    let waiting = StepSpec {
        gang: is_gang,
        ..long_step(2, 8)
    };
    site.submit(3, waiting);
    assert_ne!(site.wait_for_start(LONGEST_DECISION_MS), 0);
    assert_eq!(site.harness.planner.counts().refused, 12);
}

/// An advice policy is asked about quarantined workers, too.
#[test]
fn job_with_advice_starts_at_quarantined_worker() {
    let mut site = Site::new(1);
    site.refusing.insert(0);
    site.submit(1, long_step(1, 1));
    site.play(10_000);
    site.refusing.clear();
    site.jobs += 1;
    let stored = StoredJob {
        advice: Some(Advice {
            decide_ms: 1,
            each_worker_ms: 1,
            valid_ms: 5_000,
        }),
        ..job(site.jobs, 1, vec![long_step(1, 1)])
    };
    let now_ms = site.harness.now_ms;
    site.harness.planner.add_job(stored, site.jobs, now_ms);
    let mut started = 0;
    for _ in 0..LONGEST_IDLE_MS / PASS_MS {
        let orders = site.advance();
        let last = format!("{:016x}.", site.jobs);
        let names = starts(&orders);
        started += names.iter().filter(|(n, _)| n.starts_with(&last)).count();
        for order in orders {
            let Order::Ask { query, workers, .. } = order else {
                continue;
            };
            let ticket = |id: String| (id, "ticket".to_string());
            let answer = AdviceAnswer {
                allowed: workers.into_iter().map(ticket).collect(),
                valid_ms: 5_000,
                received_ms: site.harness.now_ms,
            };
            let now_ms = site.harness.now_ms;
            site.harness
                .planner
                .apply_advice(query, Some(answer), now_ms);
        }
    }
    assert_eq!(started, 1);
}

/// Restores a job of single tasks that may have crashed their workers.
fn restore_suspects(site: &mut Site, count: u32) {
    site.jobs += 1;
    let stored = job(site.jobs, 1, vec![long_step(count, 1)]);
    let task = TaskRecord {
        run: 2,
        crashes: CrashCounts {
            all: 2,
            at_start: 1,
        },
        ..TaskRecord::default()
    };
    let record = JobRecord {
        state: JobState::Running,
        queue: stored.queue.clone(),
        organisation: stored.organisation.clone(),
        begun: true,
        unsubmitted: false,
        ended_unix_ms: 0,
        groups: vec![GroupRecord {
            first: 0,
            occurrence: 0,
            step: 0,
            gang_failed: 0,
            gang_failed_run: 0,
            placed_unix_ms: 0,
            units: vec![task; count as usize],
        }],
    };
    let now_ms = site.harness.now_ms;
    site.harness
        .planner
        .restore_job(stored, Some(record), site.jobs, now_ms);
}

#[rstest]
#[case::single_tasks(false)]
#[case::gang(true)]
fn job_starts_beside_suspects(#[case] is_gang: bool) {
    let mut site = Site::new(4);
    restore_suspects(&mut site, 4);
    assert_eq!(site.wait_for_start(LONGEST_DECISION_MS), 4);
    let waiting = StepSpec {
        gang: is_gang,
        ..long_step(2, 1)
    };
    site.submit(1, waiting);
    assert_eq!(site.wait_for_start(LONGEST_DECISION_MS), 2);
}

#[rstest]
#[case::no_headroom(false)]
#[case::headroom(true)]
fn suspects_start_without_empty_workers(#[case] headroom: bool) {
    let mut site = match headroom {
        true => Site::with_headroom(4),
        false => Site::new(4),
    };
    site.submit(2, spread(long_step(4, 1)));
    site.play(1_000);
    restore_suspects(&mut site, 2);
    assert_ne!(site.wait_for_start(LONGEST_DECISION_MS), 0);
}

/// The only worker is the one on which the last run failed, or that refused the last start.
#[rstest]
fn job_starts_again_at_worker_that_it_avoids(
    #[values(false, true)] is_gang: bool,
    #[values(1, 4)] failures: u32,
) {
    let mut site = Site::new(1);
    let waiting = StepSpec {
        gang: is_gang,
        ..long_step(1, 1)
    };
    site.submit(1, waiting);
    for _ in 0..failures {
        assert_eq!(site.wait_for_start(LONGEST_DECISION_MS), 1);
        let run = site.runs.pop().unwrap();
        site.end(run, RunOutcome::Failed);
    }
    assert_eq!(site.wait_for_start(LONGEST_DECISION_MS), 1);
}

/// The urgent job needs no more and finds no room outside of quarantined workers before it.
#[test]
fn job_starts_at_quarantined_worker_beside_urgent_job_that_waits() {
    let mut site = Site::new(1);
    site.refusing.insert(0);
    site.submit(1, long_step(1, 1));
    site.play(30_000);
    site.cancel_last();
    site.refusing.clear();
    let urgent = job(0xa00, 0, vec![long_step(1, 1)]);
    let now_ms = site.harness.now_ms;
    site.harness.planner.add_job(urgent, 0xa00, now_ms);
    site.submit(2, long_step(1, 2));
    let most_ms = URGENT_WINDOW_MS + LONGEST_DECISION_MS;
    assert_eq!(site.wait_for_start(most_ms), 1);
}
