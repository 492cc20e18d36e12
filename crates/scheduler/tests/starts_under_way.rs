//! Starts that are under way while their runs are stopped and their worker restarts, and workers that no longer leave.
//!
//! Guards against a task that runs twice because such a start reaches the next incarnation, or because a successor waits
//! for a shorter lease than the worker has.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{StartOutcome, StopOutcome};
use support::live_site::{LiveSite, first_task};
use support::{job, limits, starts, step, stops, worker_of};

fn task_job(number: u64) -> StoredJob {
    job(number, 1, vec![step(1, 1)])
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum StopFate {
    TakenByEarlierLife,
    UnderWay,
}

/// A start is under way; its run is stopped; the worker restarts and answers; then the start arrives there.
#[rstest]
fn stopped_start_under_way_may_reach_next_life(
    #[values(StopFate::TakenByEarlierLife, StopFate::UnderWay)] stop: StopFate,
    #[values(true, false)] answered: bool,
) {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    site.add(job.clone());
    let orders = site.plan();
    let key = worker_of(&orders[0]);
    let home = site.find_worker(key);
    let id = site.workers[home].id.clone();
    site.harness.now_ms += 10;
    let now_ms = site.harness.now_ms;
    site.harness.planner.drain_worker(&id, now_ms);
    let after = site.plan();
    assert_eq!(stops(&after).len(), 1);
    if stop == StopFate::TakenByEarlierLife {
        site.carry_out(&after[0]);
    }
    site.workers[home].restart(now_ms);
    site.harness.now_ms += 10;
    assert!(site.renew(key));
    let outcome = site.send_start(&orders[0]);
    let outcome = if answered {
        outcome
    } else {
        StartOutcome::NoAnswer
    };
    site.harness.report_start_outcome(&orders[0], outcome);
    assert_eq!(site.find_runs(job.id), vec![home]);
    let orders = site.plan();
    assert_eq!(starts(&orders), vec![], "it is stopped there first");
    for order in &orders {
        site.carry_out(order);
    }
    assert_eq!(site.twice, Vec::<TaskName>::new());
}

/// Members of a gang: one start is refused, so the gang is torn down while the other start is under way.
#[test]
fn gang_is_not_started_again_while_start_of_member_may_reach_next_life() {
    let mut site = LiveSite::new(3);
    let mut gang = step(2, 5);
    gang.gang = true;
    let job = job(1, 1, vec![gang]);
    site.add(job.clone());
    let orders = site.plan();
    assert_eq!(starts(&orders).len(), 2, "{orders:?}");
    let key = worker_of(&orders[0]);
    assert_ne!(key, worker_of(&orders[1]), "members are on two workers");
    let home = site.find_worker(key);
    site.harness.now_ms += 20;
    site.harness
        .report_start_outcome(&orders[1], StartOutcome::Late);
    // The start takes less than its timeout of 700 ms; members are stopped 400 ms after the first end.
    site.harness.now_ms += 420;
    let stopping = site.plan();
    assert_eq!(stops(&stopping).len(), 1, "{stopping:?}");
    let now_ms = site.harness.now_ms;
    site.workers[home].restart(now_ms);
    site.harness.now_ms += 10;
    assert!(site.renew(key));
    let outcome = site.send_start(&orders[0]);
    site.harness.report_start_outcome(&orders[0], outcome);
    site.harness.now_ms += 10;
    let mut again = site.plan();
    site.harness.now_ms += 300;
    again.extend(site.plan());
    assert_eq!(site.find_runs(job.id), vec![home], "run 1 goes on");
    assert_eq!(
        starts(&again),
        vec![],
        "run 1 of a member is on the next life"
    );
}

/// The stop that the earlier life has taken is answered after the next one began.
#[test]
fn late_answer_to_stop_of_earlier_life_does_not_count_for_next() {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    site.add(job.clone());
    let orders = site.plan();
    let key = worker_of(&orders[0]);
    let home = site.find_worker(key);
    let id = site.workers[home].id.clone();
    site.harness
        .report_start_outcome(&orders[0], StartOutcome::NoAnswer);
    let _again = site.harness.take_orders();
    let now_ms = site.harness.now_ms;
    site.harness.planner.drain_worker(&id, now_ms);
    let first_stop = site.plan();
    assert_eq!(stops(&first_stop).len(), 1);
    let Order::Stop {
        task_key: Some(task),
        run,
        ..
    } = first_stop[0]
    else {
        panic!()
    };
    site.workers[home].restart(now_ms);
    site.harness.now_ms += 10;
    assert!(site.renew(key));
    let second_stop = site.plan();
    assert_eq!(
        stops(&second_stop).len(),
        1,
        "the next life has to take a stop"
    );
    site.harness.now_ms += 10;
    let received_ms = site.harness.now_ms;
    // The answer of the earlier life to the first stop.
    site.harness.planner.apply_stop_outcome(
        task,
        run,
        StopOutcome::Taken {
            sent_ms: now_ms,
            received_ms,
        },
        received_ms,
    );
    site.harness.now_ms += 10;
    site.renew(key);
    // The unanswered start is carried out by the next life, which no stop has reached.
    let now_ms = site.harness.now_ms;
    site.workers[home].start(first_task(&job), run, 20_000, now_ms);
    let after = site.plan();
    assert_eq!(starts(&after), vec![], "the next life has not taken a stop");
}

/// The list says that a worker leaves, later that it does not; the records say still that it leaves.
#[test]
fn successor_of_worker_that_no_longer_leaves() {
    let mut site = LiveSite::new(2);
    let job = task_job(1);
    let home = site.run_job(job.clone());
    site.entries[home].leaving = true;
    site.play(2_000);
    site.entries[home].leaving = false;
    site.play(2_000);
    let key = site.keys_of(home)[0];
    let leaving_in_planner = site.harness.planner.entry(key).unwrap().leaving;
    assert!(!leaving_in_planner);
    site.workers[home].reachable = false;
    let taken_ms = site.harness.now_ms;
    site.take_over();
    for key in site.keys_of(1 - home) {
        site.renew(key);
    }
    // Cut off from the store, the predecessor goes on renewing the lease of a worker that does not leave.
    while site.harness.now_ms < taken_ms + 30_000 {
        if site.harness.now_ms < taken_ms + 3_800 {
            let now_ms = site.harness.now_ms;
            let end = site.workers[home].clock_ms(now_ms) + limits().lease_ms;
            site.workers[home].prolong_lease(end, now_ms);
        }
        site.tick();
    }
    assert_eq!(site.twice.len(), 0, "ticks of 100 ms with two runs at once");
}

/// An entry that no longer says that the worker leaves is taken into its jobs' records.
#[test]
fn records_follow_entry_that_no_longer_leaves() {
    let mut site = LiveSite::new(1);
    let job = job(1, 1, vec![step(1, 1)]);
    site.run_job(job.clone());
    site.entries[0].leaving = true;
    site.play(2_000);
    site.entries[0].leaving = false;
    site.play(2_000);
    let record = format!("{:?}", site.records[&job.id]);
    assert!(record.contains("leaving: false"), "{record}");
}
