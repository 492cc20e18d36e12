//! What becomes of groups with a member on a worker that is expected to go.
//!
//! Guards against a group that works on beside a worker that has announced that it leaves, and is then lost whole; and
//! against one that is stopped although it would have ended. The load: several workers announce at once that they leave,
//! 2 to 11 s before, and groups that have run for seconds have members there.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{ActiveRun, Decision, RunOutcome};
use support::{Harness, ended, entry, job, limits, running, starts, step, stops, worker_of};

/// Members of the gang: each needs a whole worker.
const MEMBERS: u32 = 3;

/// How long before it may exit a worker says that it leaves, as on the users' load sheets.
const NOTICE_MS: u64 = 11_000;

fn gang(id: u64, saves_progress: bool, estimate_ms: u64) -> StoredJob {
    let step = StepSpec {
        gang: true,
        saves_progress,
        estimate_ms,
        ..step(MEMBERS, 8)
    };
    job(id, 1, vec![step])
}

/// A site on which a gang runs.
struct Site {
    harness: Harness,
    /// The starts of the gang's members.
    members: Vec<Order>,
    /// Workers that have announced that they leave, and when they may exit.
    leaving: Vec<(usize, u64)>,
    /// Workers that do not answer.
    silent: Vec<usize>,
    /// Done share that the members report.
    percent: u32,
    decisions: Vec<Decision>,
}

impl Site {
    fn with_gang(workers: u32, stored: StoredJob) -> Site {
        let mut harness = Harness::with_workers(workers);
        harness.planner.add_job(stored, 1, harness.now_ms);
        let members = harness.start_all();
        assert_eq!(starts(&members).len(), MEMBERS as usize);
        Site {
            harness,
            members,
            leaving: Vec::new(),
            silent: Vec::new(),
            percent: 0,
            decisions: Vec::new(),
        }
    }

    fn index_of(&self, order: &Order) -> usize {
        let key = worker_of(order);
        let position = self.harness.workers.iter().position(|w| *w == key);
        position.unwrap()
    }

    fn announce(&mut self, member: usize, notice_ms: u64) {
        let worker = self.index_of(&self.members[member]);
        self.list();
        self.leaving.push((worker, self.harness.now_ms + notice_ms));
        self.list();
    }

    fn list(&mut self) {
        self.list_workers(self.harness.workers.len() as u32);
    }

    fn list_workers(&mut self, count: u32) {
        let now_ms = self.harness.now_ms;
        let entries = (0..count).map(|number| {
            let leaves = self.leaving.iter().find(|(w, _)| *w == number as usize);
            WorkerEntry {
                leaving: leaves.is_some(),
                remaining_ms: leaves.map(|(_, at_ms)| at_ms.saturating_sub(now_ms)),
                ..entry(number)
            }
        });
        let entries = entries.collect();
        self.harness.list(entries);
    }

    fn report(&mut self, runs: &[Order]) {
        for worker in 0..self.harness.workers.len() {
            if self.silent.contains(&worker) {
                continue;
            }
            let here: Vec<ActiveRun> = runs
                .iter()
                .filter(|order| self.index_of(order) == worker)
                .map(|order| ActiveRun {
                    percent: self.percent,
                    ..running(order)
                })
                .collect();
            let key = self.harness.workers[worker];
            self.harness.planner.grant_lease(key, self.harness.now_ms);
            self.harness.report(worker, here, vec![]);
        }
    }

    /// Plays some time in which the members work at a rate, in hundredths a second; returns the orders.
    fn work(&mut self, ms: u64, percent_a_second: u32) -> Vec<Order> {
        let runs = self.members.clone();
        let mut orders = Vec::new();
        let begun = (self.harness.now_ms, self.percent);
        for _ in 0..ms / 100 {
            self.harness.now_ms += 100;
            let worked_ms = (self.harness.now_ms - begun.0) as u32;
            self.percent = (begun.1 + percent_a_second * worked_ms / 1_000).min(100);
            if (self.harness.now_ms / 100).is_multiple_of(5) {
                self.report(&runs);
            }
            orders.extend(self.harness.plan());
            self.decisions.extend(self.harness.planner.take_decisions());
            if !stops(&orders).is_empty() {
                break;
            }
        }
        orders
    }

    /// Lets the members end as stopped, and returns the orders after that.
    fn end_stopped(&mut self) -> Vec<Order> {
        self.harness.now_ms += 100;
        for (number, member) in self.members.clone().iter().enumerate() {
            let worker = self.index_of(member);
            if !self.silent.contains(&worker) {
                let end = ended(member, 1 + number as u64, RunOutcome::Stopped, "saved");
                self.harness.report(worker, vec![], vec![end]);
            }
        }
        self.harness.plan()
    }

    fn said(&self, what: &str) -> Vec<&str> {
        let of_kind = self.decisions.iter().filter(|d| d.what == what);
        of_kind.map(|d| d.why.as_str()).collect()
    }
}

/// What is expected of a gang of which a member's worker leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// It goes on.
    Kept,
    /// It is stopped within half a second of the notice.
    StoppedAtOnce,
    /// It is stopped as late as possible.
    StoppedLast,
}

#[rstest]
#[case::ends_in_time(false, 2_000, true, 10, Fate::Kept)]
#[case::cannot_end(false, 2_000, true, 4, Fate::StoppedAtOnce)]
#[case::cannot_end_and_no_room(false, 2_000, false, 4, Fate::StoppedLast)]
#[case::may_end_as_its_worker_exits(false, 2_000, false, 7, Fate::Kept)]
#[case::saves_and_room(true, 2_000, true, 4, Fate::StoppedAtOnce)]
#[case::saves_and_no_room(true, 2_000, false, 4, Fate::StoppedLast)]
#[case::saves_and_ends_in_time(true, 2_000, false, 10, Fate::Kept)]
#[case::estimate_far_too_low(false, 200, true, 4, Fate::StoppedAtOnce)]
#[case::estimate_far_too_high(false, 90_000, true, 10, Fate::Kept)]
fn gang_whose_member_leaves(
    #[case] saves_progress: bool,
    #[case] estimate_ms: u64,
    #[case] room: bool,
    #[case] percent_a_second: u32,
    #[case] fate: Fate,
) {
    let workers = if room { 2 * MEMBERS } else { MEMBERS };
    let mut site = Site::with_gang(workers, gang(1, saves_progress, estimate_ms));
    assert!(stops(&site.work(3_000, percent_a_second)).is_empty());
    site.announce(1, NOTICE_MS);
    let soon = stops(&site.work(500, percent_a_second)).len();
    let later = match soon {
        0 => stops(&site.work(NOTICE_MS - 500, percent_a_second)).len(),
        _ => 0,
    };
    let seen = match (soon, later) {
        (0, 0) => Fate::Kept,
        (0, _) => Fate::StoppedLast,
        _ => Fate::StoppedAtOnce,
    };
    assert_eq!(seen, fate, "{:?}", site.decisions);
    assert!(soon + later == 0 || soon + later == MEMBERS as usize);
    if fate == Fate::StoppedLast {
        let left_ms = site.leaving[0].1 - site.harness.now_ms;
        let latest_ms = limits().stop_grace_ms;
        assert!(
            (latest_ms..=latest_ms + 500).contains(&left_ms),
            "{left_ms}"
        );
    }
    let (word, reasons) = match fate {
        Fate::Kept => ("kept at risk", site.said("kept at risk")),
        _ => ("stopped for leave", site.said("stopped for leave")),
    };
    assert!(!reasons.is_empty(), "no line {word}");
}

/// A gang whose member goes with its worker waits for the lease of that worker before it can start again, 5 s here. One
/// that cannot end is stopped before, so that all its members are known to have ended.
#[rstest]
#[case::notice_of_2_s(2_000)]
#[case::notice_of_11_s(11_000)]
fn gang_that_cannot_end_starts_again_as_soon_as_its_worker_is_gone(#[case] notice_ms: u64) {
    let mut site = Site::with_gang(MEMBERS, gang(1, false, 2_000));
    site.work(3_000, 2);
    site.announce(0, notice_ms);
    assert_eq!(stops(&site.work(notice_ms, 2)).len(), MEMBERS as usize);
    site.list_workers(MEMBERS + 1);
    site.harness.report(MEMBERS as usize, vec![], vec![]);
    assert_eq!(starts(&site.end_stopped()).len(), MEMBERS as usize);
}

/// The capacity that a gang moves to is not given to work that comes after it.
#[test]
fn gang_that_moves_starts_on_the_room_that_it_was_stopped_for() {
    let mut site = Site::with_gang(2 * MEMBERS, gang(1, false, 2_000));
    site.work(3_000, 4);
    site.announce(0, NOTICE_MS);
    let orders = site.work(500, 4);
    assert_eq!(stops(&orders).len(), MEMBERS as usize);
    let now_ms = site.harness.now_ms;
    for id in 2..8 {
        let other = job(id, 1, vec![step(1, 8)]);
        site.harness.planner.add_job(other, id, now_ms);
    }
    let meanwhile = site.harness.plan();
    let others = starts(&meanwhile).len();
    let again = site.end_stopped();
    let of_gang: Vec<_> = starts(&again)
        .into_iter()
        .filter(|(_, run)| *run == 2)
        .collect();
    assert_eq!(of_gang.len(), MEMBERS as usize, "{others} others started");
}

/// Other work that waits gets the capacity of a gang that cannot end, though there is no room for the gang itself.
#[test]
fn gang_that_cannot_end_makes_way_for_work_that_waits() {
    let mut site = Site::with_gang(MEMBERS, gang(1, false, 2_000));
    site.work(3_000, 4);
    let now_ms = site.harness.now_ms;
    let other = job(2, 2, vec![step(2, 8)]);
    site.harness.planner.add_job(other, 2, now_ms);
    site.announce(0, NOTICE_MS);
    assert_eq!(stops(&site.work(500, 4)).len(), MEMBERS as usize);
    let after = site.end_stopped();
    assert_eq!(starts(&after).len(), 2, "the other job starts");
}

#[rstest]
#[case::has_done_little(1_000, true)]
#[case::has_done_much(9_000, false)]
fn gang_beside_a_silent_worker_makes_way_by_what_it_loses(
    #[case] worked_ms: u64,
    #[case] makes_way: bool,
) {
    let mut site = Site::with_gang(MEMBERS, gang(1, false, 2_000));
    site.work(worked_ms, 2);
    let now_ms = site.harness.now_ms;
    let other = job(2, 2, vec![step(1, 8)]);
    site.harness.planner.add_job(other, 2, now_ms);
    site.silent = vec![site.index_of(&site.members[0])];
    let until_silent_ms = limits().unresponsive_ms + 700;
    let stopped = stops(&site.work(until_silent_ms, 2));
    assert_eq!(!stopped.is_empty(), makes_way, "{:?}", site.decisions);
    if makes_way {
        let after = starts(&site.end_stopped());
        assert_eq!(after.len(), 1, "the other job");
        assert_eq!(after[0].1, 1, "no second run before the lease has ended");
    }
}

/// Nothing is decided where no worker leaves, is silent or fails.
#[rstest]
#[case::saves(true)]
#[case::saves_nothing(false)]
fn nothing_is_decided_where_no_worker_goes(#[case] saves_progress: bool) {
    let mut site = Site::with_gang(2 * MEMBERS, gang(1, saves_progress, 2_000));
    for _ in 0..30 {
        assert!(stops(&site.work(1_000, 1)).is_empty());
        site.list();
    }
    assert_eq!(site.said("kept at risk"), Vec::<&str>::new());
    assert_eq!(site.said("stopped for leave"), Vec::<&str>::new());
    let counts = site.harness.planner.counts();
    assert_eq!(counts.kept_at_risk, 0);
    assert_eq!(counts.moved_before_leave + counts.stopped_without_hope, 0);
}

/// Returns the planner that follows on one that has just stored the placement of a gang, and its site.
fn succeed(stored: &StoredJob, record: JobRecord, before: &Site) -> Site {
    let now_ms = before.harness.now_ms + 1_000;
    let mut harness = Harness {
        planner: Planner::new(limits(), now_ms),
        now_ms,
        workers: Vec::new(),
    };
    let count = before.harness.workers.len() as u32;
    let leaving = before.leaving.clone();
    let entries = (0..count).map(|number| {
        let leaves = leaving.iter().find(|(w, _)| *w == number as usize);
        WorkerEntry {
            leaving: leaves.is_some(),
            remaining_ms: leaves.map(|(_, at_ms)| at_ms.saturating_sub(now_ms)),
            ..entry(number)
        }
    });
    harness.list(entries.collect());
    harness
        .planner
        .restore_job(stored.clone(), Some(record), 1, now_ms);
    // Keys of workers are numbered alike in both planners, since the list is the same.
    Site {
        harness,
        members: before.members.clone(),
        leaving,
        silent: Vec::new(),
        percent: before.percent,
        decisions: Vec::new(),
    }
}

fn site_and_record(stored: &StoredJob) -> (Site, JobRecord) {
    let mut harness = Harness::with_workers(2 * MEMBERS);
    harness.planner.add_job(stored.clone(), 1, harness.now_ms);
    let (_, flush) = harness.plan_without_store();
    let record = flush.writes[0].record.clone();
    harness.planner.complete_flush(flush, harness.now_ms);
    let members = harness.take_orders();
    for order in &members {
        harness.confirm(order);
    }
    let site = Site {
        harness,
        members,
        leaving: Vec::new(),
        silent: Vec::new(),
        percent: 0,
        decisions: Vec::new(),
    };
    (site, record)
}

/// The planner changes between the notice and the leave: the successor decides the same from the entry and the reports.
#[rstest]
#[case::cannot_end(4, true)]
#[case::ends_in_time(12, false)]
fn successor_decides_about_a_notice_that_its_predecessor_saw(
    #[case] percent_a_second: u32,
    #[case] stops_it: bool,
) {
    let stored = gang(1, false, 2_000);
    let (mut before, record) = site_and_record(&stored);
    before.work(2_000, percent_a_second);
    before.announce(1, NOTICE_MS);
    let mut after = succeed(&stored, record, &before);
    let orders = after.work(2_500, percent_a_second);
    assert_eq!(
        !stops(&orders).is_empty(),
        stops_it,
        "{:?}",
        after.decisions
    );
}

/// The planner changes between a stop and its effect: one member has ended, the stops of the others may be lost.
#[test]
fn successor_completes_a_stop_and_starts_nothing_before_all_has_ended() {
    let stored = gang(1, false, 2_000);
    let (mut before, record) = site_and_record(&stored);
    before.work(3_000, 4);
    before.announce(1, NOTICE_MS);
    assert_eq!(stops(&before.work(500, 4)).len(), MEMBERS as usize);
    let mut after = succeed(&stored, record, &before);
    let gone = after.index_of(&after.members[0]);
    let end = ended(&after.members[0], 1, RunOutcome::Stopped, "");
    for worker in 0..after.harness.workers.len() {
        let members = after.members[1..].to_vec();
        let here = members.iter().filter(|o| after.index_of(o) == worker);
        let here: Vec<ActiveRun> = here.map(running).collect();
        let ends = if worker == gone {
            vec![end.clone()]
        } else {
            vec![]
        };
        after.harness.report(worker, here, ends);
    }
    after.harness.now_ms += 500;
    let orders = after.harness.plan();
    assert_eq!(stops(&orders).len(), MEMBERS as usize - 1);
    assert!(starts(&orders).is_empty(), "two members still run");
    after.members.remove(0);
    let again = starts(&after.end_stopped());
    assert_eq!(again.len(), MEMBERS as usize);
    assert!(again.iter().all(|(_, run)| *run == 2));
}
