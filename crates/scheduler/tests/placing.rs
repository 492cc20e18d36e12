//! Where tasks go: room, labels, racks, guarantees, tickets, pace.

mod support;

use std::collections::HashSet;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{AdviceAnswer, BodyLimits, Configuration, Organisation, RunRow};
use support::{Bench, entry, job, running, starts, step, stops, worker_of};

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
#[case::accelerators(Need { cpu_millis: 1, memory_mb: 1, accelerators: 3 }, 2)]
#[case::memory(Need { cpu_millis: 1, memory_mb: 68_000, accelerators: 1 }, 1)]
#[case::processors(Need { cpu_millis: 20_000, memory_mb: 1, accelerators: 0 }, 3)]
fn room_is_never_exceeded(#[case] need: Need, #[case] most: usize) {
    let mut bench = Bench::with_workers(1);
    bench.planner.add_job(
        job(1, 0, vec![StepSpec { need, ..step(9, 0) }]),
        1,
        bench.now_ms,
    );
    assert_eq!(bench.start_all().len(), most);
    bench.now_ms += 1_000;
    assert!(starts(&bench.plan()).is_empty());
}

#[test]
fn label_is_required() {
    let mut bench = Bench::with_workers(1);
    let spec = StepSpec {
        required_label: Some("b".to_string()),
        ..step(1, 1)
    };
    bench
        .planner
        .add_job(job(1, 0, vec![spec]), 1, bench.now_ms);
    assert!(starts(&bench.plan()).is_empty());
    let other = WorkerEntry {
        labels: vec!["b".to_string(), "rack-0".to_string()],
        ..entry(7)
    };
    bench.list(vec![entry(0), other]);
    bench.report(1, vec![], vec![]);
    assert_eq!(bench.plan().len(), 1);
}

#[test]
fn other_service_is_not_used() {
    let mut bench = Bench::with_workers(1);
    let stored = StoredJob {
        service: "other".to_string(),
        ..job(1, 0, vec![step(1, 1)])
    };
    bench.planner.add_job(stored, 1, bench.now_ms);
    assert!(starts(&bench.plan()).is_empty());
}

#[test]
fn most_per_worker_is_kept() {
    let mut bench = Bench::with_workers(2);
    let spec = StepSpec {
        most_per_worker: 2,
        ..step(9, 1)
    };
    bench
        .planner
        .add_job(job(1, 0, vec![spec]), 1, bench.now_ms);
    assert_eq!(bench.plan().len(), 4);
}

#[test]
fn gang_stays_on_one_rack() {
    let mut bench = Bench::with_workers(16);
    let gang = StepSpec {
        gang: true,
        one_rack: true,
        ..step(5, 8)
    };
    bench
        .planner
        .add_job(job(1, 0, vec![gang]), 1, bench.now_ms);
    let orders = bench.plan();
    let racks: HashSet<String> = orders
        .iter()
        .map(|order| bench.planner.entry(worker_of(order)).unwrap().rack.clone())
        .collect();
    assert_eq!((orders.len(), racks.len()), (5, 1));
}

#[test]
fn small_tasks_leave_racks_free() {
    let mut bench = Bench::with_workers(16);
    for id in 0..16 {
        bench
            .planner
            .add_job(job(id, 2, vec![step(1, 1)]), id, bench.now_ms);
    }
    let orders = bench.start_all();
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
    bench
        .planner
        .add_job(job(99, 0, vec![gang]), 99, bench.now_ms);
    let gang = bench.plan();
    assert_eq!(
        (starts(&gang).len(), stops(&gang).len()),
        (8, 0),
        "it finds room without a stop"
    );
}

#[test]
fn urgent_job_stops_what_loses_least() {
    let mut bench = Bench::with_workers(2);
    let saving = StepSpec {
        saves_progress: true,
        ..step(1, 8)
    };
    bench
        .planner
        .add_job(job(1, 2, vec![saving]), 1, bench.now_ms);
    bench
        .planner
        .add_job(job(2, 2, vec![step(1, 8)]), 2, bench.now_ms);
    let orders = bench.start_all();
    bench.now_ms += 2_000;
    bench.report(0, vec![running_on(&bench, &orders, 0)], vec![]);
    bench.report(1, vec![running_on(&bench, &orders, 1)], vec![]);
    bench
        .planner
        .add_job(job(3, 0, vec![step(1, 8)]), 3, bench.now_ms);
    let after = bench.plan();
    assert_eq!(stops(&after), vec![(format!("{:016x}.0.0.0", 1), 1)]);
    assert!(
        starts(&after).is_empty(),
        "what is being stopped still takes its room"
    );
}

/// The row of the task that runs on a worker of the bench.
fn running_on(bench: &Bench, orders: &[Order], at: usize) -> RunRow {
    running(
        orders
            .iter()
            .find(|order| worker_of(order) == bench.workers[at])
            .unwrap(),
    )
}

/// One worker whose only task has run for `ran_ms` without saving anything, and an urgent job.
fn costly_stop(guaranteed: i64, ran_ms: u64) -> Bench {
    let mut bench = Bench::with_workers(1);
    bench.planner.set_configuration(&configuration(guaranteed));
    bench
        .planner
        .add_job(job(1, 2, vec![step(1, 8)]), 1, bench.now_ms);
    let orders = bench.start_all();
    let until_ms = bench.now_ms + ran_ms;
    while bench.now_ms < until_ms {
        bench.now_ms += 2_000;
        renew(&mut bench, &orders[0]);
    }
    bench
        .planner
        .add_job(job(2, 0, vec![step(1, 8)]), 2, bench.now_ms);
    bench
}

/// The worker's lease is renewed; it lists the task as running.
fn renew(bench: &mut Bench, order: &Order) {
    bench.planner.grant_lease(bench.workers[0]);
    bench.report(0, vec![running(order)], vec![]);
    assert!(bench.plan().is_empty(), "it goes on");
}

#[test]
fn costly_stop_is_not_made_without_guarantee() {
    let mut bench = costly_stop(0, 60_000);
    for _ in 0..40 {
        assert!(stops(&bench.plan()).is_empty());
        bench.now_ms += 100;
    }
}

#[test]
fn guarantee_is_reclaimed_in_time() {
    let mut bench = costly_stop(8, 60_000);
    let handed_in_ms = bench.now_ms;
    while stops(&bench.plan()).is_empty() {
        bench.now_ms += 50;
        assert!(bench.now_ms < handed_in_ms + 60_000, "never reclaimed");
    }
    let left_ms = support::limits().reclaim_ms - (bench.now_ms - handed_in_ms);
    assert!(
        left_ms > support::limits().stop_grace_ms + 500,
        "{left_ms} ms are left for the stop and the start"
    );
}

#[test]
fn step_with_tickets_runs_only_where_allowed() {
    let mut bench = Bench::with_workers(3);
    let advice = scheduler::Advice {
        decide_ms: 1,
        each_worker_ms: 1,
        valid_ms: 3_000,
    };
    let stored = StoredJob {
        advice: Some(advice),
        ..job(1, 0, vec![step(2, 8)])
    };
    bench.planner.add_job(stored, 1, bench.now_ms);
    let orders = bench.plan();
    let [
        Order::Ask {
            group,
            step,
            workers,
        },
    ] = orders.as_slice()
    else {
        panic!("a question was expected: {orders:?}")
    };
    assert_eq!(
        (step.as_str(), workers.len()),
        (format!("{:016x}.0.0", 1).as_str(), 3)
    );
    let keys: Vec<WorkerKey> = workers.iter().map(|(key, _)| *key).collect();
    let good = vec![(workers[1].1.clone(), "ticket-1".to_string())];
    let answer = AdviceAnswer {
        good,
        valid_ms: 3_000,
        received_ms: bench.now_ms,
    };
    bench
        .planner
        .take_advice(*group, &keys, Some(answer), bench.now_ms);
    let started = bench.plan();
    let [Order::Start { worker, ticket, .. }] = started.as_slice() else {
        panic!("one start was expected: {started:?}")
    };
    assert_eq!((*worker, ticket.as_str()), (keys[1], "ticket-1"));
}

#[test]
fn ticket_that_ran_out_is_asked_for_again() {
    let mut bench = Bench::with_workers(1);
    let advice = scheduler::Advice {
        decide_ms: 1,
        each_worker_ms: 1,
        valid_ms: 3_000,
    };
    let stored = StoredJob {
        advice: Some(advice),
        ..job(1, 0, vec![step(1, 8)])
    };
    bench.planner.add_job(stored, 1, bench.now_ms);
    let orders = bench.plan();
    let [Order::Ask { group, workers, .. }] = orders.as_slice() else {
        panic!("a question was expected")
    };
    let good = vec![(workers[0].1.clone(), "old".to_string())];
    let answer = AdviceAnswer {
        good,
        valid_ms: 100,
        received_ms: bench.now_ms,
    };
    bench
        .planner
        .take_advice(*group, &[workers[0].0], Some(answer), bench.now_ms);
    let after = bench.plan();
    assert!(matches!(after.as_slice(), [Order::Ask { .. }]), "{after:?}");
}

/// The paces ordered, in hundredths.
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
fn filling_task_makes_way_and_comes_back() {
    let mut bench = Bench::with_workers(1);
    let serving = StepSpec {
        lasting: true,
        latency_target_ms: Some(100),
        ..step(1, 1)
    };
    let filling = StepSpec {
        fills: true,
        ..step(1, 1)
    };
    bench
        .planner
        .add_job(job(1, 0, vec![serving]), 1, bench.now_ms);
    bench
        .planner
        .add_job(job(2, 2, vec![filling]), 2, bench.now_ms);
    let orders = bench.start_all();
    let report = |bench: &mut Bench, tail_ms: u64| {
        bench.now_ms += 2_000;
        let rows = orders
            .iter()
            .map(|order| {
                let row = running(order);
                let serves = row.task.job.to_string().ends_with('1');
                RunRow {
                    figure: if serves { tail_ms } else { 1_000 },
                    ..row
                }
            })
            .collect();
        bench.report(0, rows, vec![]);
        paces(&bench.plan())
    };
    assert_eq!(report(&mut bench, 50), Vec::<u32>::new());
    assert_eq!(report(&mut bench, 90), vec![50]);
    assert_eq!(report(&mut bench, 150), vec![12]);
    assert_eq!(report(&mut bench, 150), vec![0]);
    assert_eq!(report(&mut bench, 70), Vec::<u32>::new());
    assert_eq!(report(&mut bench, 30), vec![15]);
}
