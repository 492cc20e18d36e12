//! Who may be stopped for the guarantee of an organisation: all work that no guarantee covers.
//!
//! Guards against RECLAIM and AVAIL: work that was never stopped, though it held accelerators that belong to another
//! organisation, or that was stopped though too many others of its step were away.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use scheduler::prelude::*;
use support::guarantee_site::{RECLAIM_MS, Site, gang, lasting, long};

/// Urgent work of an organisation beyond its guarantee was never stopped, so that a job within the guarantee of another
/// one did not begin.
#[rstest]
#[case::lasts(lasting(64, 1, None))]
#[case::single_tasks(long(64, 1))]
#[case::gang(gang(8, 8))]
#[case::may_be_away(lasting(64, 1, Some(64)))]
fn guarantee_holds_against_urgent_work(#[case] holder: StepSpec) {
    let mut site = Site::new(8, &[("desk", 8)]);
    let count = holder.count as usize;
    let large = site.submit("plant", 0, holder);
    site.play(2_000);
    assert_eq!(site.count_running(&large), count);
    let urgent = site.submit("desk", 0, long(8, 1));
    site.play(RECLAIM_MS);
    assert_eq!(site.count_running(&urgent), 8);
}

/// Work whose step limits the unavailable tasks was never stopped, however many of them may be away.
#[rstest]
#[case::exactly_as_many(8, true)]
#[case::too_few(7, false)]
#[case::none(0, false)]
fn guarantee_holds_against_limited_work_as_far_as_its_limit(
    #[case] most_away: u32,
    #[case] begins: bool,
    #[values(0, 2)] priority: u32,
) {
    let mut site = Site::new(8, &[("desk", 8)]);
    let large = site.submit("plant", priority, lasting(64, 1, Some(most_away)));
    site.play(2_000);
    let urgent = site.submit("desk", 0, long(8, 1));
    site.play(RECLAIM_MS);
    assert_eq!(site.count_running(&urgent), if begins { 8 } else { 0 });
    assert_eq!(site.count_stopped(&large), if begins { 8 } else { 0 });
}

/// A task that was stopped counts as away until it is at work again, also for the next guarantee.
#[test]
fn limited_work_is_not_stopped_while_stopped_tasks_are_away() {
    let mut site = Site::new(8, &[("desk", 8), ("lab", 8)]);
    let large = site.submit("plant", 2, lasting(64, 1, Some(12)));
    site.play(2_000);
    let first = site.submit("desk", 0, long(8, 1));
    site.play(RECLAIM_MS);
    let second = site.submit("lab", 0, long(8, 1));
    site.play(RECLAIM_MS);
    assert_eq!(
        (site.count_running(&first), site.count_running(&second)),
        (8, 0)
    );
    assert_eq!(site.count_stopped(&large), 8);
}

/// Lasting work that does not work for its users is not missed.
#[test]
fn limited_work_that_is_not_at_work_is_stopped() {
    let mut site = Site::new(8, &[("desk", 8)]);
    site.percent = 10;
    let large = site.submit("plant", 2, lasting(64, 1, Some(32)));
    site.play(4_000);
    let urgent = site.submit("desk", 0, long(8, 1));
    site.play(RECLAIM_MS);
    assert_eq!(
        (site.count_running(&urgent), site.count_stopped(&large)),
        (8, 8)
    );
}

/// A task that may not be away filled the gap beside work that may be stopped, so that no worker could be reclaimed as a whole.
#[test]
fn limited_tasks_leave_whole_worker_reclaimable() {
    let mut site = Site::new(2, &[("desk", 8)]);
    let first = site.submit("plant", 2, lasting(4, 1, Some(0)));
    site.play(500);
    let usual = site.submit("plant", 2, long(1, 6));
    site.play(500);
    let second = site.submit("plant", 2, lasting(1, 1, Some(0)));
    site.play(2_000);
    assert!(
        site.count_by_worker(&first)
            .keys()
            .eq(site.count_by_worker(&second).keys())
    );
    let urgent = site.submit("desk", 0, long(1, 8));
    site.play(RECLAIM_MS);
    assert_eq!(
        (site.count_running(&urgent), site.count_stopped(&usual)),
        (1, 1)
    );
}

/// Work of lower priority is stopped before urgent work, however much more that discards.
#[test]
fn urgent_work_is_stopped_last() {
    let mut site = Site::new(2, &[("desk", 8)]);
    let usual = site.submit("plant", 2, long(8, 1));
    site.play(60_000);
    let large = site.submit("plant", 0, long(8, 1));
    site.play(500);
    let urgent = site.submit("desk", 0, long(8, 1));
    site.play(RECLAIM_MS);
    assert_eq!(site.count_running(&urgent), 8);
    assert_eq!(
        (site.count_stopped(&usual), site.count_stopped(&large)),
        (8, 0)
    );
}

/// Two organisations within their guarantees both start, also at the same time, and stop nothing of each other.
#[test]
fn two_guarantees_are_met_at_once() {
    let mut site = Site::new(2, &[("desk", 8), ("lab", 8)]);
    let large = site.submit("plant", 0, long(16, 1));
    site.play(500);
    let first = site.submit("desk", 0, gang(2, 4));
    let second = site.submit("lab", 0, long(8, 1));
    site.play(20_000);
    assert_eq!(
        (site.count_running(&first), site.count_running(&second)),
        (2, 8)
    );
    assert_eq!(
        (site.count_stopped(&first), site.count_stopped(&second)),
        (0, 0)
    );
    assert_eq!(site.count_stopped(&large), 16);
}

/// Of two organisations beyond their guarantees, neither stops work of the other.
#[test]
fn organisations_beyond_their_guarantees_do_not_stop_each_other() {
    let mut site = Site::new(2, &[("desk", 4), ("lab", 4)]);
    let first = site.submit("desk", 0, long(16, 1));
    site.play(500);
    let second = site.submit("lab", 0, long(16, 1));
    site.play(20_000);
    assert_eq!(
        (site.count_running(&first), site.count_running(&second)),
        (16, 0)
    );
    assert_eq!(site.stopped.len(), 0);
}

/// The guarantee of an organisation that is beyond it still covers its first tasks, for as long as they run.
#[test]
fn covered_tasks_are_not_stopped() {
    let mut site = Site::new(2, &[("desk", 4), ("lab", 16)]);
    let first = site.submit("desk", 0, long(16, 1));
    site.play(500);
    let second = site.submit("lab", 0, long(12, 1));
    site.play(RECLAIM_MS);
    assert_eq!(
        (site.count_running(&first), site.count_running(&second)),
        (4, 12)
    );
    let third = site.submit("lab", 0, long(4, 1));
    site.play(20_000);
    assert_eq!(
        (site.count_running(&first), site.count_running(&third)),
        (4, 0)
    );
    assert_eq!(site.count_stopped(&first), 12);
    assert_eq!(site.count_stopped(&second), 0);
}

/// A gang is stopped whole, so the room of all its members is used before anything else is stopped.
#[test]
fn room_of_a_stopped_gang_is_used_on_all_its_workers() {
    let mut site = Site::new(4, &[("desk", 16)]);
    let large = site.submit("plant", 0, gang(2, 8));
    site.play(500);
    let others = site.submit("plant", 0, long(16, 1));
    site.play(500);
    let before = site.count_by_worker(&large);
    let urgent = site.submit("desk", 0, long(2, 8));
    site.play(RECLAIM_MS);
    assert_eq!(site.count_by_worker(&urgent), before);
    assert_eq!(
        (site.count_stopped(&large), site.count_stopped(&others)),
        (2, 0)
    );
}

/// A guaranteed job whose data is on a rack that is covered by another guarantee starts elsewhere.
#[test]
fn guaranteed_job_leaves_rack_that_cannot_be_reclaimed() {
    let mut site = Site::new(16, &[("desk", 8), ("lab", 64)]);
    let on_rack = |count, rack: &str| StepSpec {
        data_rack: Some(rack.to_string()),
        ..long(count, 1)
    };
    let covered = site.submit("lab", 0, on_rack(64, "rack-0"));
    site.submit("plant", 0, on_rack(64, "rack-1"));
    site.play(500);
    let urgent = site.submit("desk", 0, on_rack(8, "rack-0"));
    site.play(RECLAIM_MS);
    assert_eq!(site.count_running(&urgent), 8);
    assert_eq!(site.count_stopped(&covered), 0);
}

/// A guarantee that a new configuration raises is reclaimed like the others.
#[test]
fn raised_guarantee_is_reclaimed() {
    let mut site = Site::new(1, &[("desk", 0)]);
    let large = site.submit("plant", 0, long(8, 1));
    site.play(500);
    let urgent = site.submit("desk", 0, long(8, 1));
    site.play(RECLAIM_MS);
    assert_eq!(
        (site.count_running(&large), site.count_running(&urgent)),
        (8, 0)
    );
    site.guarantee(&[("desk", 8)]);
    site.play(RECLAIM_MS);
    assert_eq!(site.count_running(&urgent), 8);
}

/// No stop makes room, since the guarantees of both organisations do not fit together: this is logged, once.
#[test]
fn guarantee_that_cannot_be_met_is_logged() {
    let mut site = Site::new(1, &[("desk", 8), ("lab", 8)]);
    site.submit("lab", 0, long(8, 1));
    site.play(500);
    site.submit("desk", 0, long(8, 1));
    site.play(10_000);
    let decisions = site.harness.planner.take_decisions();
    let shortfalls = decisions.iter().filter(|d| d.what == "guarantee not met");
    let reasons: Vec<&str> = shortfalls.map(|d| d.why.as_str()).collect();
    assert_eq!(reasons.len(), 1);
    assert!(
        reasons[0].contains("8 tasks are covered by guarantees"),
        "{}",
        reasons[0]
    );
}

/// A planner that plans for longer loses the lead.
const LEAD_TTL: Duration = Duration::from_secs(1);

/// Guarantees that cannot be met were looked into for each waiting job anew, so that a pass took time by the square of
/// their number, and nodes answered callers too late.
#[test]
fn many_jobs_in_vain_are_looked_into_once() {
    let mut site = Site::new(8, &[("desk", 8), ("lab", 64)]);
    site.submit("lab", 0, long(64, 1));
    site.play(500);
    // They need no accelerators, but processor time that covered work holds.
    let busy = StepSpec {
        need: Resources {
            cpu_millis: 64_000,
            memory_mb: 1,
            accelerators: 0,
        },
        ..long(1, 0)
    };
    for _ in 0..2_000 {
        site.submit("desk", 0, busy.clone());
    }
    site.play(2_000);
    let began = Instant::now();
    site.play(500);
    let pass = began.elapsed() / 10;
    assert!(pass < LEAD_TTL, "a pass takes {pass:?}");
}
