//! Jobs that need advice start in time, whatever the figures of their queue, the jobs beside them, their steps and their
//! width.
//!
//! Guards against LOST: jobs wait for tickets for longer than the platform bears, or for ever, while workers are free.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{Advice, JobId};
use support::advice_site::{AdviceSite, Behaviour};
use support::{entry, step};

/// The platform lets a job have nothing running for this long while there is room for it.
const LONGEST_IDLE_MS: u64 = 3_000;

/// Longer than any wait that is asked about.
const LONG_MS: u64 = 60_000;

/// The figures of review/10.
fn figures() -> Advice {
    advice(500, 200, 10_000)
}

fn advice(decide_ms: u64, each_worker_ms: u64, valid_ms: u64) -> Advice {
    Advice {
        decide_ms,
        each_worker_ms,
        valid_ms,
    }
}

fn gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, 8)
    }
}

fn after(before: u32, spec: StepSpec) -> StepSpec {
    StepSpec {
        after: vec![before],
        ..spec
    }
}

/// Returns how long each of these jobs, accepted at the same time, waits for its first start.
fn play_starts(site: &mut AdviceSite, jobs: &[JobId], for_ms: u64) -> Vec<Option<u64>> {
    let from_ms = site.harness.now_ms;
    site.play(for_ms);
    let first = |id| site.first_start_ms.get(id).map(|at_ms| at_ms - from_ms);
    jobs.iter().map(first).collect()
}

fn assert_all_within(waits: &[Option<u64>], limit_ms: u64) {
    let is_in_time = |wait: &Option<u64>| wait.is_some_and(|ms| ms <= limit_ms);
    assert!(waits.iter().all(is_in_time), "{waits:?}");
}

#[rstest]
#[case::figures_of_review_10(figures())]
#[case::quick(advice(60, 8, 3_000))]
#[case::all_zero(advice(0, 0, 3_000))]
#[case::slow_for_each_worker(advice(0, 2_000, 10_000))]
#[case::slow_decision(advice(2_000, 200, 10_000))]
#[case::tickets_valid_for_moments(advice(500, 200, 100))]
fn single_job_starts_in_time(#[case] figures: Advice, #[values(1, 3, 7)] vms: usize) {
    let mut site = AdviceSite::new(25, vms, figures);
    let id = site.submit(1, vec![step(1, 1)]);
    let wait_ms = site.wait_for_start(id, LONG_MS);
    assert!(
        wait_ms.is_some_and(|ms| ms <= LONGEST_IDLE_MS),
        "{wait_ms:?}"
    );
    assert_eq!(site.refused, 0);
}

/// The service decides on each VM's queries in turn, so as many jobs start in time as it can decide on.
#[rstest]
#[case::one_vm(1, 3)]
#[case::three_vms(3, 9)]
#[case::seven_vms(7, 21)]
fn jobs_accepted_at_once_start_in_time(#[case] vms: usize, #[case] count: usize) {
    let mut site = AdviceSite::new(25, vms, figures());
    let jobs: Vec<JobId> = (0..count)
        .map(|_| site.submit(1, vec![step(1, 1)]))
        .collect();
    let waits = play_starts(&mut site, &jobs, LONGEST_IDLE_MS);
    assert_all_within(&waits, LONGEST_IDLE_MS);
}

/// No VM is kept free if there are no queues with short queries.
#[test]
fn jobs_accepted_at_once_start_in_time_although_decisions_are_slow() {
    let mut site = AdviceSite::new(25, 3, advice(2_000, 200, 10_000));
    let jobs: Vec<JobId> = (0..3).map(|_| site.submit(1, vec![step(1, 1)])).collect();
    let waits = play_starts(&mut site, &jobs, LONGEST_IDLE_MS);
    assert_all_within(&waits, LONGEST_IDLE_MS);
}

/// With more jobs than the service can decide on in time, none waits longer than its turn takes.
#[test]
fn many_jobs_wait_for_their_turn_only() {
    let mut site = AdviceSite::new(25, 3, figures());
    let jobs: Vec<JobId> = (0..40).map(|_| site.submit(1, vec![step(1, 1)])).collect();
    let waits = play_starts(&mut site, &jobs, LONG_MS);
    let rounds = 40_u64.div_ceil(3);
    assert_all_within(&waits, rounds * (700 + 60));
    assert_eq!(site.asked.len(), 40, "one query for each job");
}

#[rstest]
#[case::one_vm(1)]
#[case::three_vms(3)]
fn steps_follow_each_other_in_time(#[case] vms: usize) {
    let mut site = AdviceSite::new(25, vms, figures());
    site.run_ms = 4_000;
    let steps = vec![
        step(2, 1),
        after(0, step(3, 1)),
        after(1, step(1, 8)),
        after(2, step(2, 8)),
    ];
    let id = site.submit(1, steps);
    site.play(LONG_MS / 2);
    assert_eq!(site.starts.len(), 8);
    assert!(
        site.longest_gap_ms(id) <= 1_000,
        "{}",
        site.longest_gap_ms(id)
    );
}

/// A query takes longer than a job may wait, so a step has to be asked about while the step before it runs.
#[test]
fn steps_follow_each_other_although_decisions_are_slow() {
    let mut site = AdviceSite::new(25, 3, advice(4_000, 100, 10_000));
    site.run_ms = 9_000;
    let steps = vec![step(1, 1), after(0, step(1, 1)), after(1, step(1, 1))];
    let id = site.submit(1, steps);
    site.play(LONG_MS);
    assert_eq!(site.starts.len(), 3);
    assert!(
        site.longest_gap_ms(id) <= LONGEST_IDLE_MS,
        "{}",
        site.longest_gap_ms(id)
    );
}

/// Returns the least time in which the tickets of a gang can be had: all its workers, in equal parts, by all VMs at once.
fn least_ms(figures: &Advice, width: u64, vms: u64) -> u64 {
    figures.decide_ms + figures.each_worker_ms * width.div_ceil(vms)
}

#[rstest]
#[case::narrow(4, figures())]
#[case::wide(40, figures())]
#[case::tickets_hold_for_less_than_all_take(40, advice(500, 200, 3_000))]
#[case::tickets_hold_for_moments(40, advice(500, 200, 400))]
#[case::wider_than_one_query(110, advice(100, 20, 3_000))]
fn gang_starts_whole(#[case] width: u32, #[case] figures: Advice, #[values(1, 2, 7)] vms: usize) {
    let mut site = AdviceSite::new(120, vms, figures);
    let id = site.submit(1, vec![gang(width)]);
    let wait_ms = site.wait_for_start(id, LONG_MS);
    let least_ms = least_ms(&figures, u64::from(width), vms as u64);
    // Short queries, which don't hold other jobs up, take longer altogether than one long one for each VM.
    assert!(
        wait_ms.is_some_and(|ms| ms <= 3 * least_ms),
        "{wait_ms:?}, least {least_ms}"
    );
    site.play(200);
    assert_eq!((site.starts.len(), site.refused), (width as usize, 0));
}

/// Half of the workers are forbidden, so that the gang needs all others, and the tickets of those found first expire
/// before the last is found.
#[rstest]
fn gang_starts_although_many_are_forbidden(
    #[values(600, 3_000, 10_000)] valid_ms: u64,
    #[values(1, 3, 7)] vms: usize,
) {
    let mut site = AdviceSite::new(60, vms, advice(200, 100, valid_ms));
    site.allow_only(&(0..60).filter(|number| number % 2 == 1).collect::<Vec<_>>());
    let id = site.submit(1, vec![gang(30)]);
    let wait_ms = site.wait_for_start(id, LONG_MS);
    assert!(wait_ms.is_some(), "never started");
    site.play(200);
    assert_eq!(site.starts.len(), 30);
}

/// Whichever worker is the only one allowed is found about as soon as all VMs can ask about all.
#[rstest]
fn only_allowed_worker_is_found(#[values(0, 12, 24)] number: u32) {
    let mut site = AdviceSite::new(25, 7, figures());
    site.allow_only(&[number]);
    let first = site.submit(1, vec![step(1, 1)]);
    let wait_ms = site.wait_for_start(first, LONG_MS).unwrap();
    // Nothing is known of the queue's policy yet, so few workers are asked about at first.
    assert!(
        wait_ms <= 2 * least_ms(&figures(), 25, 7) + 700,
        "{wait_ms}"
    );
    let second = site.submit(1, vec![step(1, 1)]);
    let wait_ms = site.wait_for_start(second, LONG_MS).unwrap();
    assert!(wait_ms <= LONGEST_IDLE_MS, "{wait_ms}");
}

/// A wide gang asks for long; jobs that come meanwhile wait for the query in flight and for their own.
#[rstest]
#[case::two_vms(2)]
#[case::three_vms(3)]
#[case::seven_vms(7)]
fn small_jobs_start_in_time_beside_gang(#[case] vms: usize) {
    let mut site = AdviceSite::new(60, vms, figures());
    let large = site.submit(1, vec![gang(40)]);
    let mut waits = Vec::new();
    for _ in 0..8 {
        site.play(300);
        let small = site.submit(1, vec![step(1, 1)]);
        waits.push(site.wait_for_start(small, LONG_MS));
    }
    assert_all_within(&waits, LONGEST_IDLE_MS);
    assert!(site.wait_for_start(large, LONG_MS).is_some());
}

/// A gang is not put off for ever by small jobs that keep the service busy.
#[rstest]
#[case::one_vm(1)]
#[case::three_vms(3)]
fn gang_starts_beside_steady_small_jobs(#[case] vms: usize) {
    let mut site = AdviceSite::new(60, vms, figures());
    site.run_ms = 5_000;
    let large = site.submit(1, vec![gang(20)]);
    for _ in 0..LONG_MS / 700 {
        for _ in 0..vms {
            site.submit(1, vec![step(1, 1)]);
        }
        site.play(700);
    }
    assert!(site.first_start_ms.contains_key(&large));
}

/// One VM is kept from long queries, so that jobs of a quick queue don't wait for those of a slow one.
#[test]
fn quick_queue_does_not_wait_for_slow_one() {
    let quick = advice(60, 8, 3_000);
    let mut site = AdviceSite::new(25, 3, quick);
    let slow = advice(30_000, 100, 60_000);
    for _ in 0..10 {
        site.submit_to("slow", slow, 1, vec![step(1, 1)]);
    }
    // The simulated service decides by the figures of the quick queue; the silence stands for the slow decisions.
    site.silent = ["vm-0", "vm-1"].map(str::to_string).into();
    site.play(500);
    let id = site.submit(1, vec![step(1, 1)]);
    let wait_ms = site.wait_for_start(id, LONG_MS);
    assert!(
        wait_ms.is_some_and(|ms| ms <= LONGEST_IDLE_MS),
        "{wait_ms:?}"
    );
}

#[test]
fn urgent_job_is_asked_about_first() {
    let mut site = AdviceSite::new(25, 1, figures());
    let others: Vec<JobId> = (0..10).map(|_| site.submit(1, vec![step(1, 1)])).collect();
    site.play(100);
    let urgent = site.submit(0, vec![step(1, 1)]);
    let wait_ms = site.wait_for_start(urgent, LONG_MS);
    // The query in flight, and its own.
    assert!(wait_ms.is_some_and(|ms| ms <= 700 + 700), "{wait_ms:?}");
    let waits = play_starts(&mut site, &[], LONG_MS);
    assert!(waits.is_empty());
    assert!(others.iter().all(|id| site.first_start_ms.contains_key(id)));
}

#[test]
fn cancelled_job_is_no_longer_asked_about() {
    let mut site = AdviceSite::new(25, 1, figures());
    let jobs: Vec<JobId> = (0..10).map(|_| site.submit(1, vec![step(1, 1)])).collect();
    site.play(100);
    let now_ms = site.harness.now_ms;
    for id in &jobs {
        site.harness.planner.cancel_job(*id, now_ms);
    }
    let next = site.submit(1, vec![step(1, 1)]);
    let wait_ms = site.wait_for_start(next, LONG_MS);
    assert!(wait_ms.is_some_and(|ms| ms <= 700 + 700), "{wait_ms:?}");
    assert_eq!(site.asked.len(), 2);
}

/// A VM whose queries get no answer does not hold a job up: others ask about the same workers.
#[rstest]
fn job_starts_although_vms_get_no_answer(#[values(1, 2)] silent: usize) {
    let mut site = AdviceSite::new(25, 3, figures());
    site.silent = (0..silent).map(|number| format!("vm-{number}")).collect();
    let id = site.submit(1, vec![step(1, 1)]);
    let wait_ms = site.wait_for_start(id, LONG_MS);
    let one_ms = 700 + 400 + 100;
    assert!(
        wait_ms.is_some_and(|ms| ms <= (silent as u64 + 1) * one_ms),
        "{wait_ms:?}"
    );
    if silent == 1 {
        assert!(
            wait_ms.is_some_and(|ms| ms <= LONGEST_IDLE_MS),
            "{wait_ms:?}"
        );
    }
}

/// The service may be slower than its figures say for as long as it likes.
#[rstest]
fn job_starts_although_service_is_slower_than_its_figures(
    #[values(2, 5, 20)] factor: u64,
    #[values(1, 3)] vms: usize,
) {
    let mut site = AdviceSite::new(25, vms, figures());
    site.behaviour = Behaviour::Slow(factor);
    let id = site.submit(1, vec![step(1, 1)]);
    let wait_ms = site.wait_for_start(id, 10 * LONG_MS);
    assert!(
        wait_ms.is_some_and(|ms| ms <= factor * 700 + LONGEST_IDLE_MS),
        "{wait_ms:?}"
    );
}

#[rstest]
#[case::busy(Behaviour::Busy)]
#[case::silent(Behaviour::Silent)]
fn jobs_start_once_service_answers_again(#[case] behaviour: Behaviour) {
    let mut site = AdviceSite::new(25, 3, figures());
    site.behaviour = behaviour;
    let jobs: Vec<JobId> = (0..3).map(|_| site.submit(1, vec![step(1, 1)])).collect();
    site.play(9_000);
    assert!(site.asked.len() <= 60, "{} queries", site.asked.len());
    site.behaviour = Behaviour::Usual;
    let waits = play_starts(&mut site, &jobs, 14_000);
    assert_all_within(&waits, 14_000);
}

/// Nothing is asked again once all workers are known to be forbidden; new workers are.
#[test]
fn step_that_is_forbidden_everywhere_is_asked_about_once() {
    let mut site = AdviceSite::new(25, 3, figures());
    site.allow_only(&[]);
    let id = site.submit(1, vec![step(1, 1)]);
    site.play(LONG_MS);
    let named: usize = site.asked.iter().map(|asked| asked.workers.len()).sum();
    assert_eq!(named, 25);
    assert!(!site.first_start_ms.contains_key(&id));
}

/// While there is no room, tickets are not renewed for work that may not preempt other.
#[test]
fn full_site_is_not_asked_about() {
    let mut site = AdviceSite::new(5, 1, figures());
    site.submit(1, vec![step(5, 8)]);
    site.play(10_000);
    assert_eq!(site.starts.len(), 5);
    let asked = site.asked.len();
    site.submit(1, vec![step(3, 8)]);
    site.play(30_000);
    assert_eq!(site.asked.len(), asked);
}

/// The next incarnation of a worker may be of another kind, and no ticket holds for it.
#[test]
fn restarted_worker_is_asked_about_again() {
    let mut site = AdviceSite::new(1, 1, figures());
    site.allow_only(&[]);
    let id = site.submit(1, vec![step(1, 1)]);
    site.play(5_000);
    assert_eq!(site.asked.len(), 1);
    site.forbidden.clear();
    let again = WorkerEntry {
        born_unix_ms: 2_000,
        ..entry(0)
    };
    site.harness.list(vec![again]);
    site.harness.report_as(0, 2_000, vec![], vec![]);
    let wait_ms = site.wait_for_start(id, LONG_MS);
    assert!(
        wait_ms.is_some_and(|ms| ms <= LONGEST_IDLE_MS),
        "{wait_ms:?}"
    );
}

/// The operator changes the figures after the job was accepted.
#[rstest]
#[case::slower(advice(60, 8, 10_000), advice(500, 200, 10_000), 4_100)]
#[case::quicker(advice(500, 200, 10_000), advice(60, 8, 10_000), 204)]
fn query_goes_by_figures_in_force(
    #[case] accepted: Advice,
    #[case] in_force: Advice,
    #[case] most_ms: u64,
) {
    let mut site = AdviceSite::new(40, 1, in_force);
    site.submit_to("queue", accepted, 1, vec![step(18, 8)]);
    let orders = site.harness.plan();
    let [
        Order::Ask {
            expected_ms,
            workers,
            ..
        },
    ] = orders.as_slice()
    else {
        panic!("expected one query: {orders:?}")
    };
    assert_eq!(*expected_ms, in_force.query_ms(workers.len()));
    assert!(*expected_ms <= most_ms, "{expected_ms}");
}

/// A worker with a ticket for a gang may be taken by a smaller job before the last ticket is there.
#[rstest]
fn urgent_gang_starts_beside_job_that_takes_one_of_its_workers(#[values(1, 3)] vms: usize) {
    let mut site = AdviceSite::new(25, vms, figures());
    let large = site.submit(0, vec![gang(20)]);
    site.play(300);
    let small = site.submit(0, vec![step(1, 1)]);
    let wait_ms = site.wait_for_start(small, LONG_MS);
    assert!(wait_ms.is_some());
    assert!(site.wait_for_start(large, LONG_MS).is_some());
}

/// Work whose data is on a rack without room, or without allowed workers, is asked about elsewhere in time.
#[rstest]
#[case::no_room(true)]
#[case::forbidden(false)]
fn work_starts_away_from_its_data_in_time(#[case] is_full: bool) {
    let mut site = AdviceSite::new(24, 1, figures());
    let on_rack = |spec| StepSpec {
        data_rack: Some("rack-0".to_string()),
        ..spec
    };
    match is_full {
        true => {
            site.submit(1, vec![on_rack(step(8, 8))]);
            site.play(10_000);
            assert_eq!(site.starts.len(), 8);
        }
        false => site.allow_only(&(8..24).collect::<Vec<_>>()),
    }
    let id = site.submit(1, vec![on_rack(step(1, 8))]);
    let wait_ms = site.wait_for_start(id, LONG_MS);
    // All workers of the rack are asked about first.
    let least_ms = match is_full {
        true => 700,
        false => 500 + 8 * 200 + 700,
    };
    assert!(
        wait_ms.is_some_and(|ms| ms <= LONGEST_IDLE_MS + least_ms),
        "{wait_ms:?}"
    );
}

/// A service that does not tell the VMs apart takes all queries in one turn; that they wait for each other is no reason to
/// repeat them.
#[test]
fn queries_are_not_repeated_while_others_are_decided() {
    let mut site = AdviceSite::new(25, 3, figures());
    site.has_one_turn = true;
    let jobs: Vec<JobId> = (0..12).map(|_| site.submit(1, vec![step(1, 1)])).collect();
    let waits = play_starts(&mut site, &jobs, LONG_MS / 2);
    // The first answers show how long it takes.
    assert!(site.asked.len() <= 12 + 2, "{} queries", site.asked.len());
    assert_all_within(&waits, (12 + 2) * 710);
}

/// The planner's own VM does not reach the service: its turn is not tried first for each job.
#[test]
fn job_is_asked_about_by_vm_that_gets_answers() {
    let mut site = AdviceSite::new(25, 3, figures());
    site.silent = ["vm-0".to_string()].into();
    let first = site.submit(1, vec![step(1, 1)]);
    assert!(site.wait_for_start(first, LONG_MS).is_some());
    for _ in 0..5 {
        site.play(4_000);
        let id = site.submit(1, vec![step(1, 1)]);
        let wait_ms = site.wait_for_start(id, LONG_MS);
        assert!(wait_ms.is_some_and(|ms| ms <= 700 + 100), "{wait_ms:?}");
    }
}

/// A step that comes soon is asked about once, however long the step before it takes beyond its estimate.
#[rstest]
#[case::single_task(step(1, 1), 1)]
#[case::gang(gang(10), 10)]
fn next_step_is_not_asked_about_again_and_again(#[case] next: StepSpec, #[case] named: usize) {
    let mut site = AdviceSite::new(25, 3, advice(100, 20, 1_000));
    site.run_ms = 30_000;
    let first = StepSpec {
        estimate_ms: 1_000,
        ..step(1, 1)
    };
    let id = site.submit(1, vec![first, after(0, next)]);
    site.play(29_000);
    let about_next: usize = site
        .asked_about(id)
        .iter()
        .filter(|asked| asked.step.ends_with(".1"))
        .map(|asked| asked.workers.len())
        .sum();
    assert!(about_next <= 2 * named, "{about_next} workers named");
    site.play(5_000);
    assert_eq!(site.starts.len(), 1 + named);
}

/// One VM's part of a gang's tickets is late, so that those of the others expire before.
#[rstest]
fn gang_starts_although_a_vm_gets_no_answer(#[values(300, 1_000, 10_000)] valid_ms: u64) {
    let mut site = AdviceSite::new(60, 3, advice(500, 200, valid_ms));
    site.silent = ["vm-1".to_string()].into();
    let id = site.submit(1, vec![gang(24)]);
    let wait_ms = site.wait_for_start(id, LONG_MS);
    assert!(wait_ms.is_some(), "never started");
}
