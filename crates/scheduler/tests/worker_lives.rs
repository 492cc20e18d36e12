//! A run is over only if its worker says so itself, another worker answers at the worker's address, or its lease must
//! have ended.
//!
//! Guards against a task that runs twice because a list of workers, a refused call or an answer that is late or of
//! another incarnation is taken for the end of a worker.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{StartOutcome, StopOutcome};
use support::live_site::{LiveSite, TICK_MS, first_task};
use support::{job, limits, starts, step, stops, worker_of};

/// Long enough that every lease that is not renewed has ended.
const LONGER_THAN_LEASE_MS: u64 = 20_000;

/// Time in which the planner starts a task elsewhere once it may.
const PROMPT_MS: u64 = 1_500;

fn task_job(number: u64) -> StoredJob {
    job(number, 1, vec![step(1, 1)])
}

/// Returns when a lease must have ended that was granted with the last answer.
fn latest_lease_end_ms(last_answer_ms: u64) -> u64 {
    last_answer_ms + limits().lease_ms * 100 / 98
}

#[rstest]
#[case::missing(0)]
#[case::earlier(999)]
#[case::later(2_000)]
#[case::largest(u64::MAX)]
fn list_with_another_born_starts_nothing_elsewhere(#[case] born_unix_ms: u64) {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    let home = site.run_job(job.clone());
    let listed_before = site.entries[home].born_unix_ms;
    site.entries[home].born_unix_ms = born_unix_ms;
    site.play(LONGER_THAN_LEASE_MS);
    site.assert_runs_on(job.id, home);
    site.entries[home].born_unix_ms = listed_before;
    site.play(LONGER_THAN_LEASE_MS);
    site.assert_runs_on(job.id, home);
    site.workers[home].finish_runs();
    site.play(PROMPT_MS);
    assert_eq!(site.state(job.id), JobState::Completed);
}

#[rstest]
#[case::of_nobody(None)]
#[case::of_another_worker(Some(1))]
fn list_with_another_address_starts_nothing_elsewhere(#[case] other: Option<usize>) {
    let mut site = LiveSite::new(3);
    let job = task_job(1);
    let home = site.run_job(job.clone());
    let true_address = site.workers[home].address.clone();
    site.entries[home].address = match other {
        Some(next) => site.workers[(home + next) % 3].address.clone(),
        None => "10.9.9.9:80".to_string(),
    };
    site.play(LONGER_THAN_LEASE_MS);
    site.assert_runs_on(job.id, home);
    site.harness.planner.cancel_job(job.id, site.harness.now_ms);
    let orders = site.plan();
    assert_eq!(stops(&orders).len(), 1, "{orders:?}");
    let entry = site.harness.planner.entry(worker_of(&orders[0])).unwrap();
    assert_eq!(entry.address, true_address, "where the stop goes to");
}

#[rstest]
#[case::beside_it(false)]
#[case::in_its_place(true)]
fn list_with_another_id_at_its_address_starts_nothing_elsewhere(#[case] replaces: bool) {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    let home = site.run_job(job.clone());
    let other = WorkerEntry {
        id: "i-other".to_string(),
        born_unix_ms: 5_000,
        ..site.entries[home].clone()
    };
    match replaces {
        true => site.entries[home] = other,
        false => site.entries.push(other),
    }
    site.play(LONGER_THAN_LEASE_MS);
    site.assert_runs_on(job.id, home);
}

#[rstest]
#[case::for_short(2_400)]
#[case::longer_than_a_lease(LONGER_THAN_LEASE_MS)]
fn list_without_worker_starts_nothing_elsewhere(#[case] missing_ms: u64) {
    let mut site = LiveSite::new(2);
    let (first, second) = (task_job(1), task_job(2));
    let home = site.run_job(first.clone());
    let missing = site.entries.remove(home);
    site.play(1_600);
    let other = site.run_job(second.clone());
    assert_ne!(other, home, "no new start while it is not listed");
    site.play(missing_ms);
    site.assert_runs_on(first.id, home);
    site.entries.push(missing);
    site.play(LONGER_THAN_LEASE_MS);
    site.assert_runs_on(first.id, home);
    site.assert_runs_on(second.id, other);
}

#[rstest]
#[case::answered_at_once(false)]
#[case::after_an_unanswered_call(true)]
fn start_answered_by_another_life_ends_nothing(#[case] unanswered_before: bool) {
    let mut site = LiveSite::new(2);
    // Both tasks fit on one worker only.
    let (first, second) = (task_job(1), job(2, 1, vec![step(1, 7)]));
    let home = site.run_job(first.clone());
    let away = 1 - home;
    site.entries[away].capacity.accelerators = 1;
    site.play(1_000);
    site.add(second.clone());
    let orders = site.plan();
    assert_eq!(starts(&orders).len(), 1);
    if unanswered_before {
        site.harness
            .report_start_outcome(&orders[0], StartOutcome::NoAnswer);
        site.harness.take_orders();
    }
    site.entries[away].capacity.accelerators = 8;
    site.harness
        .report_start_outcome(&orders[0], StartOutcome::OtherLife);
    site.list();
    let after = site.plan();
    let started = starts(&after);
    let of_first = started
        .iter()
        .any(|(task, _)| *task == first_task(&first).to_string());
    assert!(!of_first, "its worker may be up: {started:?}");
    if unanswered_before {
        let next_run = started.iter().any(|(_, run)| *run > 1);
        assert!(!next_run, "the first call may take effect: {started:?}");
    }
    site.play(LONGER_THAN_LEASE_MS);
    site.assert_runs_on(first.id, home);
}

#[test]
fn stop_answered_by_another_life_ends_nothing() {
    let mut site = LiveSite::new(1);
    let (first, second) = (task_job(1), job(2, 1, vec![step(1, 8)]));
    let kept = task_job(3);
    site.run_job(first.clone());
    site.run_job(kept.clone());
    site.harness
        .planner
        .cancel_job(first.id, site.harness.now_ms);
    let orders = site.plan();
    let Some(Order::Stop {
        task_key: Some(key),
        run,
        ..
    }) = orders.first()
    else {
        panic!("no stop: {orders:?}");
    };
    let now_ms = site.harness.now_ms;
    site.harness
        .planner
        .apply_stop_outcome(*key, *run, StopOutcome::OtherLife, now_ms);
    site.add(second.clone());
    let after = site.plan();
    assert_eq!(starts(&after), vec![], "both tasks may still run there");
    for order in after {
        site.carry_out(&order);
    }
    site.play(PROMPT_MS);
    assert_eq!(site.find_runs(first.id), vec![], "it is stopped again");
    site.assert_runs_on(kept.id, 0);
}

#[rstest]
fn worker_out_of_contact_keeps_its_tasks_until_its_lease_has_ended(
    #[values(true, false)] leaving: bool,
    #[values(true, false)] listed: bool,
) {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    let home = site.run_job(job.clone());
    site.entries[home].leaving = leaving;
    site.entries[home].remaining_ms = leaving.then_some(12_000);
    site.play(2_000);
    let last_answer_ms = site.harness.now_ms;
    // It runs on behind a cut.
    site.workers[home].reachable = false;
    if !listed {
        site.entries.remove(home);
    }
    while site.harness.now_ms < latest_lease_end_ms(last_answer_ms) {
        // The lease of a leaving worker may be shorter.
        if !leaving || site.find_runs(job.id).contains(&home) {
            assert_eq!(site.runs_started(job.id), vec![1]);
        }
        site.tick();
    }
    site.play(PROMPT_MS);
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
    assert_eq!(site.find_runs(job.id), vec![1 - home]);
    assert_eq!(site.twice, Vec::<TaskName>::new());
}

#[test]
fn worker_replaced_at_its_address_has_its_runs_started_elsewhere() {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    let home = site.run_job(job.clone());
    let address = site.workers[home].address.clone();
    site.workers[home].up = false;
    let next = site.add_worker_at(9, &address);
    site.workers[next].born_unix_ms = 5_000;
    site.entries[home].id = site.workers[next].id.clone();
    site.entries[home].born_unix_ms = 5_000;
    site.list();
    assert_eq!(starts(&site.plan()), vec![], "it has not answered yet");
    site.play(PROMPT_MS);
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
    site.play(LONGER_THAN_LEASE_MS);
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
    assert_eq!(site.find_runs(job.id).len(), 1);
}

#[rstest]
#[case::leaves_when_announced(4_000, 0)]
#[case::silent_long_before(60_000, 1)]
fn leaving_worker_whose_lease_ends_counts_as_crash_only_before_its_time(
    #[case] announced_ms: u64,
    #[case] counted: u32,
    #[values(true, false)] listed: bool,
) {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    let home = site.run_job(job.clone());
    let leaves_ms = site.harness.now_ms + announced_ms;
    site.entries[home].leaving = true;
    for _ in 0..40 {
        let left_ms = leaves_ms.saturating_sub(site.harness.now_ms + 100);
        site.entries[home].remaining_ms = Some(left_ms);
        site.tick();
    }
    site.workers[home].up = false;
    if !listed {
        site.entries.remove(home);
    }
    site.play(LONGER_THAN_LEASE_MS);
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
    let record = &site.records[&job.id];
    assert_eq!(record.groups[0].units[0].crashes.all, counted);
}

/// A task that lasts is lost if nothing of it runs 9 s after its last run.
#[rstest]
#[case::soon_after_its_report(3_000)]
#[case::long_after_its_report(12_000)]
fn leaving_worker_that_exits_does_not_hold_its_tasks_for_long(#[case] stays_ms: u64) {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    let home = site.run_job(job.clone());
    site.entries[home].leaving = true;
    site.play(stays_ms);
    site.workers[home].up = false;
    site.entries.remove(home);
    site.play(9_000 - PROMPT_MS);
    assert_eq!(site.find_runs(job.id), vec![1 - home]);
    assert_eq!(site.twice, Vec::<TaskName>::new());
}

/// How long a worker stays after its notice, and how long the planner may stop its runs before that.
const NOTICE_MS: u64 = 4_000;
const LONGEST_EARLY_STOP_MS: u64 = 1_600;

/// Guards against TWICE: a run is done as its worker exits, nobody hears of it, and the task starts again.
#[rstest]
fn run_that_ends_as_leaving_worker_exits_is_stopped_before(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] ticks_since_list: u64,
    #[values(false, true)] counts_down: bool,
) {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    let home = site.run_job(job.clone());
    site.list();
    site.play(ticks_since_list * TICK_MS);
    site.entries[home].leaving = true;
    let leaves_ms = site.harness.now_ms + NOTICE_MS;
    let play = |site: &mut LiveSite, ms: u64| {
        for _ in 0..ms / TICK_MS {
            let left_ms = match counts_down {
                true => leaves_ms - site.harness.now_ms - TICK_MS,
                false => NOTICE_MS,
            };
            site.entries[home].remaining_ms = Some(left_ms);
            site.tick();
        }
    };
    play(&mut site, NOTICE_MS - LONGEST_EARLY_STOP_MS);
    site.assert_runs_on(job.id, home);
    play(&mut site, LONGEST_EARLY_STOP_MS - limits().stop_grace_ms);
    assert_eq!(site.stops, vec![(first_task(&job), 1)]);
    play(&mut site, limits().stop_grace_ms);
    site.workers[home].finish_runs();
    site.workers[home].up = false;
    site.entries.remove(home);
    site.play(LONGER_THAN_LEASE_MS);
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
    assert_eq!(site.find_runs(job.id), vec![1 - home]);
    assert_eq!(site.twice, Vec::<TaskName>::new());
}

/// The other members list that the gang is done.
#[rstest]
#[case::one_member_leaves(&[0], 0)]
#[case::all_members_leave(&[0, 1], 2)]
fn gang_on_leaving_workers_is_stopped_only_if_no_member_stays(
    #[case] leaving: &[usize],
    #[case] stopped: usize,
) {
    let mut site = LiveSite::new(2);
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    site.run_job(job(1, 2, vec![gang]));
    site.list();
    for index in leaving {
        site.entries[*index].leaving = true;
        site.entries[*index].remaining_ms = Some(NOTICE_MS);
    }
    site.play(NOTICE_MS);
    assert_eq!(site.stops.len(), stopped);
}
