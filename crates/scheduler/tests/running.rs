//! Jobs from their acceptance to their end: order of steps, gangs, attempts, cancels, schedules.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{EndHow, StartOutcome, Timing};
use support::{Bench, ended, entry, job, running, starts, step, stops, worker_of};

/// The worker's place in the bench.
fn place(bench: &Bench, order: &Order) -> usize {
    bench
        .workers
        .iter()
        .position(|worker| *worker == worker_of(order))
        .unwrap()
}

/// Each start's worker lists that it ended.
fn end_all(bench: &mut Bench, orders: &[Order], how: EndHow, progress: &str) {
    for (number, order) in orders.iter().enumerate() {
        let at = place(bench, order);
        bench.report(
            at,
            vec![],
            vec![ended(order, number as u64 + 1, how, progress)],
        );
    }
}

#[test]
fn step_waits_for_step_before() {
    let mut bench = Bench::with_workers(2);
    let after = StepSpec {
        after: vec![0],
        ..step(1, 1)
    };
    bench
        .planner
        .add_job(job(1, 1, vec![step(2, 1), after]), 1, bench.now_ms);
    let first = bench.start_all();
    assert_eq!(first.len(), 2);
    let at = place(&bench, &first[0]);
    bench.report(at, vec![], vec![ended(&first[0], 1, EndHow::Done, "")]);
    assert!(
        starts(&bench.plan()).is_empty(),
        "one task of the step before still runs"
    );
    let at = place(&bench, &first[1]);
    bench.report(at, vec![], vec![ended(&first[1], 2, EndHow::Done, "")]);
    assert_eq!(
        starts(&bench.plan()),
        vec![(format!("{:016x}.0.1.0", 1), 1)]
    );
}

#[test]
fn job_completes_when_all_is_done() {
    let mut bench = Bench::with_workers(2);
    bench
        .planner
        .add_job(job(1, 1, vec![step(3, 1)]), 1, bench.now_ms);
    let orders = bench.start_all();
    end_all(&mut bench, &orders, EndHow::Done, "");
    let records = bench.records();
    assert_eq!(records[0].state, JobState::Completed);
    assert!(
        records[0].groups.is_empty(),
        "nothing of it is left to tell"
    );
}

#[test]
fn gang_starts_whole_or_not() {
    let mut bench = Bench::with_workers(2);
    bench
        .planner
        .add_job(job(1, 1, vec![step(1, 8)]), 1, bench.now_ms);
    bench.start_all();
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    bench
        .planner
        .add_job(job(2, 1, vec![gang]), 2, bench.now_ms);
    assert!(
        starts(&bench.plan()).is_empty(),
        "there is room for one member only"
    );
}

#[test]
fn gang_runs_again_with_higher_number_and_shared_progress() {
    let mut bench = Bench::with_workers(2);
    let gang = StepSpec {
        gang: true,
        saves_progress: true,
        ..step(2, 8)
    };
    bench
        .planner
        .add_job(job(1, 1, vec![gang]), 1, bench.now_ms);
    let orders = bench.start_all();
    assert_eq!(
        starts(&orders)
            .iter()
            .map(|(_, run)| *run)
            .collect::<Vec<_>>(),
        vec![1, 1]
    );
    let at = place(&bench, &orders[0]);
    bench.report(
        at,
        vec![],
        vec![ended(&orders[0], 1, EndHow::Failed, "saved")],
    );
    bench.now_ms += 200;
    assert!(
        starts(&bench.plan()).is_empty(),
        "the other member is still there"
    );
    let at = place(&bench, &orders[1]);
    bench.report(
        at,
        vec![],
        vec![ended(&orders[1], 1, EndHow::Broken, "saved")],
    );
    bench.now_ms += 200;
    let again = bench.plan();
    assert_eq!(again.len(), 2);
    for order in &again {
        let Order::Start { run, progress, .. } = order else {
            panic!("a start was expected")
        };
        assert_eq!((*run, progress.as_str()), (2, "saved"));
    }
}

#[test]
fn gang_with_refused_member_is_taken_down() {
    let mut bench = Bench::with_workers(2);
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    bench
        .planner
        .add_job(job(1, 1, vec![gang]), 1, bench.now_ms);
    let orders = bench.plan();
    bench.confirm(&orders[0]);
    bench.outcome(&orders[1], StartOutcome::NoRoom);
    bench.now_ms += 500;
    let at = place(&bench, &orders[0]);
    bench.report(at, vec![running(&orders[0])], vec![]);
    let after = bench.plan();
    assert_eq!(
        stops(&after),
        starts(&orders[..1]),
        "no part of a gang runs without the rest"
    );
}

#[test]
fn gang_is_done_by_one_end() {
    let mut bench = Bench::with_workers(2);
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    bench
        .planner
        .add_job(job(1, 1, vec![gang]), 1, bench.now_ms);
    let orders = bench.start_all();
    let at = place(&bench, &orders[0]);
    bench.report(at, vec![], vec![ended(&orders[0], 1, EndHow::Done, "")]);
    assert_eq!(bench.records()[0].state, JobState::Completed);
    bench
        .planner
        .add_job(job(2, 1, vec![step(1, 8)]), 2, bench.now_ms);
    let next = bench.plan();
    assert_ne!(
        worker_of(&next[0]),
        worker_of(&orders[1]),
        "the other member still takes its room"
    );
}

#[rstest]
#[case::task(false)]
#[case::gang(true)]
fn attempts_run_out(#[case] gang: bool) {
    let mut bench = Bench::with_workers(4);
    let spec = StepSpec { gang, ..step(1, 8) };
    bench
        .planner
        .add_job(job(1, 1, vec![spec]), 1, bench.now_ms);
    for attempt in 1..=2 {
        let orders = bench.start_all();
        assert_eq!(
            starts(&orders),
            vec![(format!("{:016x}.0.0.0", 1), attempt)]
        );
        end_all(&mut bench, &orders, EndHow::Failed, "");
        bench.now_ms += 200;
    }
    assert!(
        starts(&bench.plan()).is_empty(),
        "the queue bears two failures"
    );
    assert_eq!(
        bench.planner.sizes().0,
        0,
        "its end is stored, so it is dropped"
    );
}

#[test]
fn ends_that_are_not_failures_cost_no_attempt() {
    let mut bench = Bench::with_workers(1);
    bench
        .planner
        .add_job(job(1, 1, vec![step(1, 8)]), 1, bench.now_ms);
    for attempt in 1..=5 {
        let orders = bench.start_all();
        assert_eq!(starts(&orders)[0].1, attempt);
        let end = ended(&orders[0], u64::from(attempt), EndHow::Lapsed, "");
        bench.report(0, vec![], vec![end]);
    }
}

#[test]
fn cancel_stops_what_runs_and_starts_nothing() {
    let mut bench = Bench::with_workers(1);
    bench
        .planner
        .add_job(job(1, 1, vec![step(9, 1)]), 1, bench.now_ms);
    let orders = bench.start_all();
    assert_eq!(orders.len(), 8);
    bench
        .planner
        .cancel_job(format!("{:016x}", 1).parse().unwrap(), bench.now_ms);
    let after = bench.plan();
    assert_eq!((starts(&after).len(), stops(&after).len()), (0, 8));
}

#[test]
fn cancel_of_chosen_task_sends_no_start() {
    let mut bench = Bench::with_workers(1);
    bench
        .planner
        .add_job(job(1, 1, vec![step(1, 1)]), 1, bench.now_ms);
    let (_, flush) = bench.plan_without_store();
    bench
        .planner
        .cancel_job(format!("{:016x}", 1).parse().unwrap(), bench.now_ms);
    bench.planner.complete_flush(flush, bench.now_ms);
    assert!(
        bench.take_orders().is_empty(),
        "the store answered after the cancel"
    );
}

#[test]
fn schedule_starts_when_due() {
    let mut bench = Bench::with_workers(1);
    let mut stored = job(1, 1, vec![step(1, 1)]);
    stored.request.timing = Timing {
        times: 2,
        start_at_unix_ms: 12_000,
        interval_ms: 3_000,
    };
    bench.planner.add_job(stored, 1, bench.now_ms);
    assert!(starts(&bench.plan()).is_empty());
    bench.now_ms = 12_000;
    assert_eq!(
        starts(&bench.start_all()),
        vec![(format!("{:016x}.0.0.0", 1), 1)]
    );
    bench.now_ms = 15_000;
    bench.report(0, vec![], vec![]);
    assert!(
        starts(&bench.plan()).contains(&(format!("{:016x}.1.0.0", 1), 1)),
        "occurrences may overlap"
    );
}

#[test]
fn lasting_task_starts_again_however_it_ends() {
    let mut bench = Bench::with_workers(1);
    let lasting = StepSpec {
        lasting: true,
        ..step(1, 8)
    };
    bench
        .planner
        .add_job(job(1, 1, vec![lasting]), 1, bench.now_ms);
    for (number, how) in [EndHow::Done, EndHow::Failed, EndHow::Failed, EndHow::Failed]
        .into_iter()
        .enumerate()
    {
        let orders = bench.start_all();
        assert_eq!(orders.len(), 1, "after {number} ends");
        bench.report(
            0,
            vec![],
            vec![ended(&orders[0], number as u64 + 1, how, "")],
        );
        bench.now_ms += 200;
    }
}

#[test]
fn leaving_worker_gets_nothing_new() {
    let mut bench = Bench::with_workers(1);
    let leaving = WorkerEntry {
        leaving: true,
        ..entry(0)
    };
    bench.list(vec![leaving]);
    bench
        .planner
        .add_job(job(1, 0, vec![step(1, 1)]), 1, bench.now_ms);
    assert!(starts(&bench.plan()).is_empty());
}

#[test]
fn stray_run_is_stopped_and_takes_room() {
    let mut bench = Bench::with_workers(1);
    bench
        .planner
        .add_job(job(1, 1, vec![step(1, 8)]), 1, bench.now_ms);
    let orders = bench.start_all();
    bench.report(0, vec![], vec![ended(&orders[0], 1, EndHow::Failed, "")]);
    let mut stray = running(&orders[0]);
    stray.run = 1;
    bench.report(0, vec![stray], vec![]);
    bench.now_ms += 200;
    let after = bench.plan();
    assert_eq!(stops(&after), vec![(format!("{:016x}.0.0.0", 1), 1)]);
    assert!(starts(&after).is_empty(), "its room is not free");
    bench.report(0, vec![], vec![]);
    assert_eq!(starts(&bench.plan()).len(), 1);
}

#[test]
fn job_over_is_not_taken_in_from_older_read() {
    let mut bench = Bench::with_workers(2);
    let stored = job(1, 1, vec![step(1, 1)]);
    bench.planner.add_job(stored.clone(), 1, bench.now_ms);
    let orders = bench.start_all();
    end_all(&mut bench, &orders, EndHow::Done, "");
    assert!(bench.plan().is_empty(), "the job is over and written so");
    // A read of all requests that was answered before that write arrives after it.
    bench.now_ms += 300;
    bench.planner.add_job(stored, 1, bench.now_ms);
    assert!(starts(&bench.plan()).is_empty(), "it ran already");
}
