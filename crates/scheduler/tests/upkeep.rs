//! Maintenance waves: never more machines down than allowed, and no machine forgotten.
//!
//! Guards against a machine counted as up because the list is older than the call that took it down, or because that
//! call was unanswered; against work that is stopped although its machine doesn't go down; and against a wave that a
//! successor carries out again or that stands still.

mod support;

use std::collections::HashSet;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{Machine, MaintenanceOutcome, MaintenanceWave, WaveProgress, WaveRecord};
use support::{Harness, job, starts, step, stops};

fn machine(number: u32, incarnation: u32) -> Machine {
    Machine {
        name: format!("m-{number}"),
        up: incarnation > 0,
        worker: (incarnation > 0).then(|| format!("i-{number}-{incarnation}")),
    }
}

/// Time at which the first list of a test is asked for.
const NOW_MS: u64 = 10_000;

/// Longer than the platform's list may be behind, and than a machine may be missing in it.
const LATER_MS: u64 = NOW_MS + 3_000;

fn requested(machines: u32, most_down: usize) -> MaintenanceWave {
    MaintenanceWave {
        number: 1,
        machines: (0..machines).map(|number| format!("m-{number}")).collect(),
        most_down,
    }
}

fn wave(machines: u32, most_down: usize) -> WaveProgress {
    WaveProgress::restore(requested(machines, most_down), WaveRecord::new(), NOW_MS)
}

/// Returns the progress that a successor restores from what was stored.
fn take_over(before: &WaveProgress, now_ms: u64) -> WaveProgress {
    WaveProgress::restore(before.wave().clone(), before.record(), now_ms)
}

fn choose(wave: &mut WaveProgress, machines: &[Machine], now_ms: u64) -> Vec<String> {
    let chosen = wave.choose_machines(machines, now_ms, |_| false);
    chosen.into_iter().map(|machine| machine.name).collect()
}

fn drained(wave: &mut WaveProgress, machines: &[Machine], now_ms: u64) -> Vec<Option<String>> {
    let chosen = wave.choose_machines(machines, now_ms, |_| false);
    chosen.into_iter().map(|machine| machine.drain).collect()
}

fn closed(wave: &WaveProgress, now_ms: u64) -> Vec<&str> {
    wave.closed_workers(now_ms).collect()
}

#[test]
fn wave_keeps_to_most_down() {
    let mut wave = wave(3, 1);
    let all = [machine(0, 1), machine(1, 1), machine(2, 1)];
    assert_eq!(choose(&mut wave, &all, NOW_MS), vec!["m-0"]);
    wave.record_outcome("m-0", Some(MaintenanceOutcome::Begun), NOW_MS);
    wave.apply_machine_list(&all, NOW_MS);
    assert!(
        choose(&mut wave, &all, NOW_MS).is_empty(),
        "the list may be older than the call"
    );
    let down = [machine(0, 0), machine(1, 1), machine(2, 1)];
    wave.apply_machine_list(&down, LATER_MS);
    assert!(choose(&mut wave, &down, LATER_MS).is_empty());
    let back = [machine(0, 2), machine(1, 1), machine(2, 1)];
    wave.apply_machine_list(&back, LATER_MS);
    assert_eq!(choose(&mut wave, &back, LATER_MS), vec!["m-1"]);
    assert!(!wave.is_completed());
}

#[test]
fn wave_asks_again_after_no_answer() {
    let mut wave = wave(2, 1);
    let all = [machine(0, 1), machine(1, 1)];
    assert_eq!(choose(&mut wave, &all, NOW_MS), vec!["m-0"]);
    wave.record_outcome("m-0", None, NOW_MS);
    assert_eq!(
        choose(&mut wave, &all, NOW_MS),
        vec!["m-0"],
        "the same machine, and it counts as down"
    );
}

#[test]
fn wave_completes_without_machines_that_are_gone() {
    let mut wave = wave(2, 2);
    let left = [machine(0, 1)];
    wave.apply_machine_list(&left, NOW_MS);
    assert_eq!(choose(&mut wave, &left, NOW_MS), vec!["m-0"]);
    wave.record_outcome("m-0", Some(MaintenanceOutcome::Begun), NOW_MS);
    assert!(!wave.is_completed(), "a list may lack a machine that stays");
    wave.apply_machine_list(&left, LATER_MS);
    assert_eq!(choose(&mut wave, &left, LATER_MS), vec!["m-1"]);
    wave.record_outcome("m-1", Some(MaintenanceOutcome::NoSuchMachine), LATER_MS);
    assert!(wave.is_completed());
}

#[test]
fn wave_waits_for_machine_that_is_down_for_another_reason() {
    let mut wave = wave(2, 1);
    assert!(choose(&mut wave, &[machine(0, 0), machine(1, 1)], NOW_MS).is_empty());
}

#[test]
fn successor_leaves_machines_alone_that_had_their_maintenance() {
    let mut first = wave(2, 1);
    let all = [machine(0, 1), machine(1, 1)];
    choose(&mut first, &all, NOW_MS);
    first.record_outcome("m-0", Some(MaintenanceOutcome::Begun), NOW_MS);
    let mut second = take_over(&first, NOW_MS);
    assert!(choose(&mut second, &all, NOW_MS).is_empty(), "one is down");
    let back = [machine(0, 2), machine(1, 1)];
    second.apply_machine_list(&back, NOW_MS);
    assert_eq!(choose(&mut second, &back, NOW_MS), vec!["m-1"]);
}

#[rstest]
#[case::same_worker(1, Some("i-0-1"))]
#[case::machine_down(0, None)]
#[case::new_worker(2, None)]
fn successor_repeats_stored_order_without_emptying_new_worker(
    #[case] incarnation: u32,
    #[case] drains: Option<&str>,
) {
    let mut first = wave(1, 1);
    choose(&mut first, &[machine(0, 1)], NOW_MS);
    let mut second = take_over(&first, NOW_MS);
    assert_eq!(
        drained(&mut second, &[machine(0, incarnation)], NOW_MS),
        vec![drains.map(str::to_string)]
    );
}

#[test]
fn machine_that_answers_done_already_is_up() {
    let mut wave = wave(2, 1);
    let all = [machine(0, 1), machine(1, 1)];
    choose(&mut wave, &all, NOW_MS);
    wave.record_outcome("m-0", Some(MaintenanceOutcome::Begun), NOW_MS);
    assert_eq!(closed(&wave, NOW_MS), vec!["i-0-1"]);
    wave.apply_machine_list(&all, LATER_MS);
    assert_eq!(closed(&wave, LATER_MS), Vec::<&str>::new());
    assert_eq!(choose(&mut wave, &all, LATER_MS), vec!["m-1"]);
}

#[test]
fn busy_machine_is_not_emptied_again_at_once() {
    let mut wave = wave(1, 1);
    let all = [machine(0, 1)];
    choose(&mut wave, &all, NOW_MS);
    wave.record_outcome("m-0", Some(MaintenanceOutcome::Busy), NOW_MS);
    assert_eq!(closed(&wave, NOW_MS), Vec::<&str>::new());
    assert!(choose(&mut wave, &all, NOW_MS + 400).is_empty());
    assert_eq!(choose(&mut wave, &all, LATER_MS), vec!["m-0"]);
    assert!(!wave.is_completed());
}

#[rstest]
#[case::not_done(Some(MaintenanceOutcome::NotDone))]
#[case::unanswered(None)]
fn worker_works_on_if_its_machine_cannot_be_ordered_down(
    #[case] outcome: Option<MaintenanceOutcome>,
) {
    let mut wave = wave(1, 1);
    let all = [machine(0, 1)];
    for now_ms in (NOW_MS..=LATER_MS).step_by(500) {
        assert_eq!(choose(&mut wave, &all, now_ms), vec!["m-0"]);
        assert_eq!(closed(&wave, now_ms), vec!["i-0-1"]);
        wave.record_outcome("m-0", outcome, now_ms);
    }
    assert_eq!(closed(&wave, LATER_MS + 500), Vec::<&str>::new());
    assert!(choose(&mut wave, &all, LATER_MS + 500).is_empty());
    assert_eq!(choose(&mut wave, &all, 2 * LATER_MS), vec!["m-0"]);
}

#[test]
fn machine_of_leaving_worker_is_left_out() {
    let mut wave = wave(2, 2);
    let all = [machine(0, 1), machine(1, 1)];
    let chosen = wave.choose_machines(&all, NOW_MS, |worker| worker == "i-0-1");
    assert_eq!(chosen.len(), 1);
    assert_eq!(chosen[0].name, "m-1");
}

#[test]
fn completed_wave_goes_on_only_with_machines_that_are_added() {
    let mut wave = WaveProgress::completed(requested(1, 1));
    let all = [machine(0, 1), machine(1, 1)];
    assert!(wave.is_completed() && choose(&mut wave, &all, NOW_MS).is_empty());
    wave.update(requested(2, 1));
    assert_eq!(choose(&mut wave, &all, NOW_MS), vec!["m-1"]);
    assert!(!wave.is_completed());
}

#[test]
fn drained_worker_gets_work_again_once_it_is_kept_no_longer() {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .add_job(job(1, 1, vec![step(1, 1)]), 1, harness.now_ms);
    harness.planner.drain_worker("i-0", harness.now_ms);
    harness.planner.keep_draining(&HashSet::from(["i-0"]));
    assert_eq!(starts(&harness.plan()).len(), 0);
    harness.planner.keep_draining(&HashSet::new());
    assert_eq!(starts(&harness.plan()).len(), 1);
}

#[test]
fn worker_is_drained_before_its_machine_goes_down() {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .add_job(job(1, 1, vec![step(2, 1)]), 1, harness.now_ms);
    harness.start_all();
    assert_eq!(harness.planner.drain_worker("i-0", harness.now_ms), 2);
    assert_eq!(stops(&harness.plan()).len(), 2);
    harness.now_ms += 100;
    harness.report(0, vec![], vec![]);
    assert!(
        harness
            .plan()
            .iter()
            .all(|order| !matches!(order, Order::Start { .. })),
        "it gets no new work"
    );
}
