//! Placement of tasks: capacity, labels, racks, guarantees, tickets and pace.
//!
//! Guards against overloaded workers, tasks on workers that may not run them, preemptions that discard more than they
//! gain, and guarantees that are reclaimed too late.

mod support;

use std::collections::HashSet;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{ActiveRun, AdviceAnswer, BodyLimits, Configuration, Organisation, StartOutcome};
use support::{Harness, entry, job, running, starts, step, stops, worker_of};

fn configuration(guaranteed_accelerators: i64) -> Configuration {
    Configuration {
        version: 1,
        queues: Vec::new(),
        services: Vec::new(),
        organisations: vec![Organisation {
            name: "desk".to_string(),
            keys: Vec::new(),
            guaranteed_accelerators,
        }],
        limits: BodyLimits { body_bytes: 1 },
    }
}

#[rstest]
#[case::accelerators(Resources { cpu_millis: 1, memory_mb: 1, accelerators: 3 }, 2)]
#[case::memory(Resources { cpu_millis: 1, memory_mb: 68_000, accelerators: 1 }, 1)]
#[case::processors(Resources { cpu_millis: 20_000, memory_mb: 1, accelerators: 0 }, 3)]
fn capacity_is_never_exceeded(#[case] need: Resources, #[case] most: usize) {
    let mut harness = Harness::with_workers(1);
    harness.planner.add_job(
        job(1, 0, vec![StepSpec { need, ..step(9, 0) }]),
        1,
        harness.now_ms,
    );
    assert_eq!(harness.start_all().len(), most);
    harness.now_ms += 1_000;
    assert!(starts(&harness.plan()).is_empty());
}

#[test]
fn label_is_required() {
    let mut harness = Harness::with_workers(1);
    let spec = StepSpec {
        required_label: Some("b".to_string()),
        ..step(1, 1)
    };
    harness
        .planner
        .add_job(job(1, 0, vec![spec]), 1, harness.now_ms);
    assert!(starts(&harness.plan()).is_empty());
    let other = WorkerEntry {
        labels: vec!["b".to_string(), "rack-0".to_string()],
        ..entry(7)
    };
    harness.list(vec![entry(0), other]);
    harness.report(1, vec![], vec![]);
    assert_eq!(harness.plan().len(), 1);
}

#[test]
fn other_service_is_not_used() {
    let mut harness = Harness::with_workers(1);
    let stored = StoredJob {
        service: "other".to_string(),
        ..job(1, 0, vec![step(1, 1)])
    };
    harness.planner.add_job(stored, 1, harness.now_ms);
    assert!(starts(&harness.plan()).is_empty());
}

#[test]
fn most_per_worker_is_kept() {
    let mut harness = Harness::with_workers(2);
    let spec = StepSpec {
        most_per_worker: 2,
        ..step(9, 1)
    };
    harness
        .planner
        .add_job(job(1, 0, vec![spec]), 1, harness.now_ms);
    assert_eq!(harness.plan().len(), 4);
}

#[test]
fn gang_stays_on_one_rack() {
    let mut harness = Harness::with_workers(16);
    let gang = StepSpec {
        gang: true,
        one_rack: true,
        ..step(5, 8)
    };
    harness
        .planner
        .add_job(job(1, 0, vec![gang]), 1, harness.now_ms);
    let orders = harness.plan();
    let racks: HashSet<String> = orders
        .iter()
        .map(|order| {
            harness
                .planner
                .entry(worker_of(order))
                .unwrap()
                .rack
                .clone()
        })
        .collect();
    assert_eq!((orders.len(), racks.len()), (5, 1));
}

#[test]
fn gang_larger_than_a_rack_starts_beside_one_that_waits_for_a_rack() {
    let mut harness = Harness::with_workers(24);
    let now_ms = harness.now_ms;
    // One accelerator of each rack is in use, so that no rack has room for a gang of eight whole workers.
    for rack in 0..3 {
        let one = StepSpec {
            data_rack: Some(format!("rack-{rack}")),
            ..step(1, 1)
        };
        harness
            .planner
            .add_job(job(1 + rack, 1, vec![one]), 1 + rack, now_ms);
    }
    harness.start_all();
    let whole_rack = StepSpec {
        gang: true,
        one_rack: true,
        ..step(8, 8)
    };
    let more_than_a_rack = StepSpec {
        count: 12,
        ..whole_rack.clone()
    };
    harness
        .planner
        .add_job(job(10, 0, vec![whole_rack]), 10, now_ms);
    harness
        .planner
        .add_job(job(11, 0, vec![more_than_a_rack]), 11, now_ms);
    let begun = starts(&harness.plan());
    assert_eq!(begun.len(), 12, "{begun:?}");
    assert!(
        begun
            .iter()
            .all(|(task, _)| task.starts_with("000000000000000b"))
    );
}

#[test]
fn large_task_that_finds_no_room_does_not_hold_up_a_small_one() {
    let mut harness = Harness::with_workers(1);
    let now_ms = harness.now_ms;
    for (number, accelerators) in [(1, 5), (2, 5), (3, 5), (4, 3)] {
        harness
            .planner
            .add_job(job(number, 0, vec![step(1, accelerators)]), number, now_ms);
    }
    let begun: Vec<String> = starts(&harness.plan())
        .into_iter()
        .map(|(task, _)| task)
        .collect();
    assert_eq!(begun, ["0000000000000001.0.0.0", "0000000000000004.0.0.0"]);
}

#[test]
fn evacuated_data_centre_gets_no_new_work() {
    let mut harness = Harness::with_workers(1);
    let now_ms = harness.now_ms;
    harness.planner.set_evacuated(vec!["gyor".to_string()]);
    harness
        .planner
        .add_job(job(1, 0, vec![step(1, 1)]), 1, now_ms);
    assert_eq!(starts(&harness.plan()), vec![]);
    harness.planner.set_evacuated(Vec::new());
    assert_eq!(starts(&harness.plan()).len(), 1);
}

#[rstest]
#[case::leaves(true)]
#[case::is_evacuated(false)]
fn unanswered_start_on_worker_that_takes_no_new_work_is_stopped_instead_of_repeated(
    #[case] leaving: bool,
) {
    let mut harness = Harness::with_workers(1);
    let now_ms = harness.now_ms;
    harness
        .planner
        .add_job(job(1, 0, vec![step(1, 1)]), 1, now_ms);
    let orders = harness.plan();
    let sent = harness.send_held_back(orders);
    harness.report_start_outcome(&sent[0], StartOutcome::NoAnswer);
    let repeated = harness.take_orders();
    match leaving {
        true => harness.list(vec![WorkerEntry {
            leaving,
            ..entry(0)
        }]),
        false => harness.planner.set_evacuated(vec!["gyor".to_string()]),
    }
    assert_eq!(starts(&harness.send_held_back(repeated)), vec![]);
    assert_eq!(stops(&harness.plan()).len(), 1);
}

#[test]
fn small_tasks_leave_racks_free() {
    let mut harness = Harness::with_workers(16);
    for id in 0..16 {
        harness
            .planner
            .add_job(job(id, 2, vec![step(1, 1)]), id, harness.now_ms);
    }
    let orders = harness.start_all();
    let workers: HashSet<WorkerKey> = orders.iter().map(worker_of).collect();
    assert_eq!(
        workers.len(),
        2,
        "16 accelerators fit on two workers of one rack"
    );
    let gang = StepSpec {
        gang: true,
        one_rack: true,
        ..step(8, 8)
    };
    harness
        .planner
        .add_job(job(99, 0, vec![gang]), 99, harness.now_ms);
    let gang = harness.plan();
    assert_eq!(
        (starts(&gang).len(), stops(&gang).len()),
        (8, 0),
        "it starts without a preemption"
    );
}

#[test]
fn urgent_job_stops_what_loses_least() {
    let mut harness = Harness::with_workers(2);
    let saving = StepSpec {
        saves_progress: true,
        ..step(1, 8)
    };
    harness
        .planner
        .add_job(job(1, 2, vec![saving]), 1, harness.now_ms);
    harness
        .planner
        .add_job(job(2, 2, vec![step(1, 8)]), 2, harness.now_ms);
    let orders = harness.start_all();
    harness.now_ms += 2_000;
    harness.report(0, vec![running_on(&harness, &orders, 0)], vec![]);
    harness.report(1, vec![running_on(&harness, &orders, 1)], vec![]);
    harness
        .planner
        .add_job(job(3, 0, vec![step(1, 8)]), 3, harness.now_ms);
    let after = harness.plan();
    assert_eq!(stops(&after), vec![(format!("{:016x}.0.0.0", 1), 1)]);
    assert!(
        starts(&after).is_empty(),
        "a task that is being stopped still occupies its capacity"
    );
}

/// Returns the listed run of the task on a worker of the harness.
fn running_on(harness: &Harness, orders: &[Order], index: usize) -> ActiveRun {
    running(
        orders
            .iter()
            .find(|order| worker_of(order) == harness.workers[index])
            .unwrap(),
    )
}

/// Builds a harness with one worker whose only task has run for `ran_ms` without saving progress, and an urgent job.
fn unsaved_run_with_urgent_job(guaranteed: i64, ran_ms: u64) -> Harness {
    let mut harness = Harness::with_workers(1);
    harness
        .planner
        .set_configuration(&configuration(guaranteed));
    harness
        .planner
        .add_job(job(1, 2, vec![step(1, 8)]), 1, harness.now_ms);
    let orders = harness.start_all();
    let until_ms = harness.now_ms + ran_ms;
    while harness.now_ms < until_ms {
        harness.now_ms += 2_000;
        renew(&mut harness, &orders[0]);
    }
    harness
        .planner
        .add_job(job(2, 0, vec![step(1, 8)]), 2, harness.now_ms);
    harness
}

/// Renews the lease of the worker, which lists the task as running.
fn renew(harness: &mut Harness, order: &Order) {
    harness
        .planner
        .grant_lease(harness.workers[0], harness.now_ms);
    harness.report(0, vec![running(order)], vec![]);
    assert!(harness.plan().is_empty(), "the task continues");
}

#[test]
fn costly_stop_is_not_made_without_guarantee() {
    let mut harness = unsaved_run_with_urgent_job(0, 60_000);
    for _ in 0..40 {
        assert!(stops(&harness.plan()).is_empty());
        harness.now_ms += 100;
    }
}

#[test]
fn guarantee_is_reclaimed_in_time() {
    let mut harness = unsaved_run_with_urgent_job(8, 60_000);
    let submitted_ms = harness.now_ms;
    while stops(&harness.plan()).is_empty() {
        harness.now_ms += 50;
        assert!(harness.now_ms < submitted_ms + 60_000, "never reclaimed");
    }
    let left_ms = support::limits().reclaim_ms - (harness.now_ms - submitted_ms);
    assert!(
        left_ms > support::limits().stop_grace_ms + 500,
        "{left_ms} ms are left for the stop and the start"
    );
}

#[test]
fn step_with_tickets_runs_only_where_allowed() {
    let mut harness = Harness::with_workers(3);
    let advice = scheduler::Advice {
        decide_ms: 1,
        each_worker_ms: 1,
        valid_ms: 3_000,
    };
    let stored = StoredJob {
        advice: Some(advice),
        ..job(1, 0, vec![step(2, 8)])
    };
    harness.planner.add_job(stored, 1, harness.now_ms);
    let orders = harness.plan();
    let [
        Order::Ask {
            query,
            step,
            workers,
            ..
        },
    ] = orders.as_slice()
    else {
        panic!("expected one advice query: {orders:?}")
    };
    assert_eq!(
        (step.as_str(), workers.len()),
        (format!("{:016x}.0.0", 1).as_str(), 3)
    );
    let keys: Vec<WorkerKey> = harness.workers.clone();
    let allowed = vec![("i-1".to_string(), "ticket-1".to_string())];
    let answer = AdviceAnswer {
        allowed,
        valid_ms: 3_000,
        received_ms: harness.now_ms,
    };
    harness
        .planner
        .apply_advice(*query, Some(answer), harness.now_ms);
    let started = harness.plan();
    let [Order::Start { worker, ticket, .. }] = started.as_slice() else {
        panic!("expected one start: {started:?}")
    };
    assert_eq!((*worker, ticket.as_str()), (keys[1], "ticket-1"));
}

#[test]
fn expired_ticket_is_requested_again() {
    let mut harness = Harness::with_workers(1);
    let advice = scheduler::Advice {
        decide_ms: 1,
        each_worker_ms: 1,
        valid_ms: 3_000,
    };
    let stored = StoredJob {
        advice: Some(advice),
        ..job(1, 0, vec![step(1, 8)])
    };
    harness.planner.add_job(stored, 1, harness.now_ms);
    let orders = harness.plan();
    let [Order::Ask { query, workers, .. }] = orders.as_slice() else {
        panic!("expected one advice query")
    };
    let allowed = vec![(workers[0].clone(), "old".to_string())];
    let answer = AdviceAnswer {
        allowed,
        valid_ms: 100,
        received_ms: harness.now_ms,
    };
    harness
        .planner
        .apply_advice(*query, Some(answer), harness.now_ms);
    harness.now_ms += 100;
    let after = harness.plan();
    assert!(matches!(after.as_slice(), [Order::Ask { .. }]), "{after:?}");
}

/// Returns the ordered paces, in hundredths.
fn paces(orders: &[Order]) -> Vec<u32> {
    orders
        .iter()
        .filter_map(|order| match order {
            Order::Pace { percent, .. } => Some(*percent),
            _ => None,
        })
        .collect()
}

#[test]
fn filling_task_slows_down_and_recovers() {
    let mut harness = Harness::with_workers(1);
    let serving = StepSpec {
        lasting: true,
        latency_target_ms: Some(100),
        ..step(1, 1)
    };
    let filling = StepSpec {
        fills: true,
        ..step(1, 1)
    };
    harness
        .planner
        .add_job(job(1, 0, vec![serving]), 1, harness.now_ms);
    harness
        .planner
        .add_job(job(2, 2, vec![filling]), 2, harness.now_ms);
    let orders = harness.start_all();
    let report = |harness: &mut Harness, tail_ms: u64| {
        harness.now_ms += 2_000;
        let runs = orders
            .iter()
            .map(|order| {
                let run = running(order);
                let serves = run.task.job.to_string().ends_with('1');
                ActiveRun {
                    metric: if serves { tail_ms } else { 1_000 },
                    ..run
                }
            })
            .collect();
        harness.report(0, runs, vec![]);
        paces(&harness.plan())
    };
    assert_eq!(report(&mut harness, 50), Vec::<u32>::new());
    assert_eq!(report(&mut harness, 90), vec![50]);
    assert_eq!(report(&mut harness, 150), vec![12]);
    assert_eq!(report(&mut harness, 150), vec![0]);
    assert_eq!(report(&mut harness, 70), Vec::<u32>::new());
    assert_eq!(report(&mut harness, 30), vec![15]);
}
