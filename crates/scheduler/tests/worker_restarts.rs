//! A worker that restarts under its id has nothing of before, but may have taken a start that was sent to its earlier
//! incarnation.
//!
//! Guards against a task that runs twice because such a start is given out again, and against ends that are confirmed to
//! an incarnation that has not listed them.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{EndedRun, RunOutcome, StartOutcome, StopOutcome};
use support::live_site::{LiveSite, first_task};
use support::{job, starts, step, stops, worker_of};

/// Long enough that every lease that is not renewed has ended.
const LONGER_THAN_LEASE_MS: u64 = 20_000;

/// Time in which the planner acts on what it has learned.
const PROMPT_MS: u64 = 1_500;

fn task_job(number: u64) -> StoredJob {
    job(number, 1, vec![step(1, 1)])
}

#[test]
fn restarted_worker_that_answers_has_its_earlier_runs_started_elsewhere() {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    let home = site.run_job(job.clone());
    site.workers[home].restart(site.harness.now_ms);
    site.tick();
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
    site.play(LONGER_THAN_LEASE_MS);
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
    assert_eq!(site.find_runs(job.id).len(), 1);
}

/// How the planner first learns that a worker has restarted.
#[derive(Debug, Clone, Copy)]
enum News {
    Answer,
    List,
}

/// Adds a job whose start is taken by the next life of a worker that already runs another one; returns the worker.
fn start_at_next_life(
    site: &mut LiveSite,
    earlier: &StoredJob,
    late: &StoredJob,
    answered: bool,
) -> usize {
    let home = site.run_job(earlier.clone());
    site.entries[1 - home].leaving = true;
    site.play(1_000);
    site.add(late.clone());
    let orders = site.plan();
    assert_eq!(starts(&orders).len(), 1);
    site.entries[1 - home].leaving = false;
    site.workers[home].restart(site.harness.now_ms);
    let outcome = match (site.send_start(&orders[0]), answered) {
        (started, true) => started,
        (_, false) => StartOutcome::NoAnswer,
    };
    site.harness.report_start_outcome(&orders[0], outcome);
    site.harness.now_ms += 1;
    home
}

#[rstest]
fn start_that_next_life_has_taken_goes_on_there(
    #[values(true, false)] answered: bool,
    #[values(News::Answer, News::List)] news: News,
) {
    let mut site = LiveSite::new(2);
    let (earlier, late) = (task_job(1), task_job(2));
    let home = start_at_next_life(&mut site, &earlier, &late, answered);
    site.entries[home].born_unix_ms = site.workers[home].born_unix_ms;
    if let News::List = news {
        site.list();
        for order in site.plan() {
            site.carry_out(&order);
        }
    }
    site.play(LONGER_THAN_LEASE_MS);
    site.assert_runs_on(late.id, home);
    assert_eq!(site.runs_started(earlier.id), vec![1, 2]);
    site.workers[home].finish_runs();
    site.play(PROMPT_MS);
    assert_eq!(site.state(late.id), JobState::Completed);
}

#[test]
fn start_that_next_life_has_not_taken_is_made_again() {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    site.add(job.clone());
    let orders = site.plan();
    let home = site.find_worker(worker_of(&orders[0]));
    let outcome = site.send_start(&orders[0]);
    site.harness.report_start_outcome(&orders[0], outcome);
    site.workers[home].restart(site.harness.now_ms);
    site.tick();
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
    site.play(LONGER_THAN_LEASE_MS);
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
}

/// The next life answers a renewal that was sent before the start, without it, and then takes the start.
#[test]
fn start_taken_after_next_life_has_answered_goes_on_there() {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    site.add(job.clone());
    let orders = site.plan();
    let key = worker_of(&orders[0]);
    let home = site.find_worker(key);
    site.workers[home].restart(site.harness.now_ms);
    let sent_ms = site.harness.now_ms;
    site.harness.now_ms += 10;
    let before_start = site.workers[home].report(sent_ms, site.harness.now_ms + 20);
    let outcome = site.send_start(&orders[0]);
    site.harness.now_ms += 10;
    site.harness.report_start_outcome(&orders[0], outcome);
    site.harness.now_ms += 10;
    site.harness.planner.apply_report(key, &before_start);
    let after = site.plan();
    assert_eq!(starts(&after), vec![], "the next life has taken the start");
    site.play(LONGER_THAN_LEASE_MS);
    site.assert_runs_on(job.id, home);
}

/// The next life's clock begins anew, so that the lease in the start is as long there as a worker grants.
#[rstest]
#[case::answered(true)]
#[case::unanswered(false)]
fn start_that_next_life_has_taken_is_not_made_elsewhere_while_its_lease_lasts(
    #[case] answered: bool,
) {
    let mut site = LiveSite::new(2);
    site.play(LONGER_THAN_LEASE_MS);
    let job = task_job(1);
    // Nothing is answered for a while, as the renewals sent before the restart are not.
    site.harness.now_ms += 2_500;
    site.add(job.clone());
    let orders = site.plan();
    let home = site.find_worker(worker_of(&orders[0]));
    site.workers[home].restart(site.harness.now_ms);
    let outcome = match (site.send_start(&orders[0]), answered) {
        (started, true) => started,
        (_, false) => StartOutcome::NoAnswer,
    };
    site.harness.report_start_outcome(&orders[0], outcome);
    assert_eq!(site.find_runs(job.id), vec![home]);
    site.workers[home].reachable = false;
    site.play(LONGER_THAN_LEASE_MS);
    assert_eq!(site.twice, Vec::<TaskName>::new());
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
    assert_eq!(site.find_runs(job.id), vec![1 - home]);
}

#[test]
fn unanswered_start_that_next_life_does_not_list_is_stopped_first() {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    site.add(job.clone());
    let orders = site.plan();
    let home = site.find_worker(worker_of(&orders[0]));
    site.harness
        .report_start_outcome(&orders[0], StartOutcome::NoAnswer);
    let again = site.harness.take_orders();
    site.workers[home].restart(site.harness.now_ms);
    site.harness.now_ms += 10;
    site.renew_all();
    assert_eq!(
        site.harness.send_held_back(again),
        vec![],
        "it would be a new start at the next life"
    );
    let after = site.plan();
    assert_eq!(starts(&after), vec![], "the first call may take effect");
    assert_eq!(stops(&after), starts(&orders));
    let Order::Stop {
        task_key: Some(task),
        run,
        ..
    } = after[0]
    else {
        panic!("no stop of an assigned run: {after:?}");
    };
    site.harness.now_ms += 10;
    site.renew_all();
    assert_eq!(starts(&site.plan()), vec![], "the stop is not taken yet");
    let sent_before_ms = site.harness.now_ms;
    site.harness.now_ms += 10;
    let received_ms = site.harness.now_ms;
    site.harness.planner.apply_stop_outcome(
        task,
        run,
        StopOutcome::Taken {
            sent_ms: received_ms,
            received_ms,
        },
        received_ms,
    );
    site.harness.now_ms += 10;
    let sent_before = site.workers[home].report(sent_before_ms, site.harness.now_ms);
    for key in site.keys_of(home) {
        site.harness.planner.apply_report(key, &sent_before);
    }
    assert_eq!(starts(&site.plan()), vec![], "the list may be older");
    site.harness.now_ms += 10;
    site.renew_all();
    assert_eq!(starts(&site.plan()).len(), 1);
}

#[test]
fn late_answer_of_earlier_life_changes_nothing() {
    let mut site = LiveSite::new(2);
    let (first, second) = (task_job(1), task_job(2));
    let home = site.run_job(first.clone());
    let keys = site.keys_of(home);
    let sent_ms = site.harness.now_ms;
    site.workers[home].last_end = 7;
    let mut late = site.workers[home].report(sent_ms, sent_ms);
    late.ended.push(EndedRun {
        number: 8,
        task: Some(first_task(&second)),
        run: 1,
        outcome: RunOutcome::Done,
        progress: String::new(),
    });
    site.workers[home].restart(sent_ms);
    site.entries[home].born_unix_ms = site.workers[home].born_unix_ms;
    site.play(1_000);
    assert_eq!(site.runs_started(first.id), vec![1, 2]);
    let first_home = site.find_runs(first.id)[0];
    site.entries[1 - home].leaving = true;
    site.play(1_000);
    assert_eq!(site.run_job(second.clone()), home);
    let answering = site.keys_of(home)[0];
    let lease_end = site
        .harness
        .planner
        .grant_lease(answering, site.harness.now_ms);

    late.received_ms = site.harness.now_ms;
    for key in keys {
        site.harness.planner.apply_report(key, &late);
    }
    assert!(site.harness.planner.has_worker(answering));
    assert_eq!(
        site.harness
            .planner
            .grant_lease(answering, site.harness.now_ms),
        lease_end
    );
    assert_eq!(
        site.harness
            .planner
            .confirmed_ends(answering, site.harness.now_ms),
        0
    );
    let orders = site.plan();
    assert_eq!((starts(&orders), stops(&orders)), (vec![], vec![]));
    assert_eq!(
        site.harness
            .planner
            .confirmed_ends(answering, site.harness.now_ms),
        0
    );
    site.play(LONGER_THAN_LEASE_MS);
    assert_eq!(site.runs_started(first.id), vec![1, 2]);
    assert_eq!(site.find_runs(first.id), vec![first_home]);
    site.assert_runs_on(second.id, home);
}

#[rstest]
#[case::stored_before_restart(false)]
#[case::stored_after_restart(true)]
fn ends_of_earlier_life_are_not_confirmed_to_next(#[case] stored_late: bool) {
    let mut site = LiveSite::new(1);
    let (first, second) = (task_job(1), task_job(2));
    let home = site.run_job(first.clone());
    site.workers[home].last_end = 40;
    site.workers[home].finish_runs();
    site.harness.now_ms += 10;
    site.renew_all();
    let (_, flush) = site.harness.plan_without_store();
    let mut flush = Some(flush);
    let now_ms = site.harness.now_ms;
    if !stored_late {
        site.harness
            .planner
            .complete_flush(flush.take().unwrap(), now_ms);
        let confirmed = site
            .harness
            .planner
            .confirmed_ends(site.keys_of(home)[0], now_ms);
        assert_eq!(confirmed, 41);
    }
    site.workers[home].restart(now_ms);
    site.harness.now_ms += 10;
    site.renew_all();
    if let Some(flush) = flush {
        assert_nothing_confirmed(&site, home);
        site.harness.planner.complete_flush(flush, now_ms + 10);
    }
    assert_nothing_confirmed(&site, home);
    site.entries[home].born_unix_ms = site.workers[home].born_unix_ms;
    site.play(1_000);
    assert_nothing_confirmed(&site, home);
    assert_eq!(site.run_job(second.clone()), home);
    site.workers[home].finish_runs();
    site.harness.now_ms += 10;
    site.renew_all();
    assert_nothing_confirmed(&site, home);
    site.plan();
    let confirmed = site.keys_of(home);
    let mut confirmed = confirmed.iter().map(|key| {
        site.harness
            .planner
            .confirmed_ends(*key, site.harness.now_ms)
    });
    assert!(confirmed.any(|number| number == 1));
    assert_eq!(site.state(second.id), JobState::Completed);
}

/// Guards against TWICE: a worker restarts while its ends are being stored, and the confirmation makes the next incarnation
/// forget ends of its own.
#[test]
fn ends_are_not_confirmed_to_worker_that_may_have_restarted_while_they_were_stored() {
    let mut site = LiveSite::new(1);
    let home = site.run_job(task_job(1));
    site.workers[home].finish_runs();
    site.harness.now_ms += 10;
    site.renew_all();
    let (_, flush) = site.harness.plan_without_store();
    site.harness.now_ms += 200;
    let key = site.keys_of(home)[0];
    let planner = &mut site.harness.planner;
    planner.complete_flush(flush, site.harness.now_ms);
    assert_eq!(planner.confirmed_ends(key, site.harness.now_ms), 0);
    assert!(planner.has_unconfirmable_ends(key, site.harness.now_ms));
    site.renew_all();
    let planner = &site.harness.planner;
    assert_eq!(planner.confirmed_ends(key, site.harness.now_ms), 1);
    assert!(!planner.has_unconfirmable_ends(key, site.harness.now_ms));
}

fn assert_nothing_confirmed(site: &LiveSite, index: usize) {
    for key in site.keys_of(index) {
        assert_eq!(
            site.harness
                .planner
                .confirmed_ends(key, site.harness.now_ms),
            0
        );
    }
}
