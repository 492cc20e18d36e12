//! Runs that stand still while their worker answers: they move to another worker if that loses less than waiting has.
//!
//! Guards against jobs, and whole gangs, that wait for a worker on which nothing goes on, and against what a move may
//! break: a second run beside the first, a move without room, and a worker blamed for one straggling task.

mod support;

use std::collections::HashSet;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{ActiveRun, Decision, EndedRun, RunOutcome, StopOutcome};
use support::{Harness, entry, job, limits, starts, step, stops, worker_of};

const PASS_MS: u64 = 100;

/// How long a run takes on a sound worker.
const RUN_MS: u64 = 4_000;

struct Run {
    order: Order,
    done_ms: u64,
    stopped: bool,
}

/// A planner, its workers, and runs that grow on all workers but some.
struct Play {
    harness: Harness,
    runs: Vec<Run>,
    still: HashSet<usize>,
    /// Workers that do not answer.
    silent: HashSet<usize>,
    /// How many times as long work takes on all workers.
    slowdown: u64,
    ends: Vec<u64>,
    jobs: u64,
    decisions: Vec<Decision>,
}

impl Play {
    fn new(workers: u32) -> Play {
        Play {
            harness: Harness::with_workers(workers),
            runs: Vec::new(),
            still: HashSet::new(),
            silent: HashSet::new(),
            slowdown: 1,
            ends: vec![0; workers as usize],
            jobs: 0,
            decisions: Vec::new(),
        }
    }

    fn submit(&mut self, step: StepSpec) {
        self.jobs += 1;
        let now_ms = self.harness.now_ms;
        let stored = job(self.jobs, 1, vec![step]);
        self.harness.planner.add_job(stored, self.jobs, now_ms);
    }

    fn index_of(&self, order: &Order) -> usize {
        let worker = worker_of(order);
        let workers = &self.harness.workers;
        workers.iter().position(|w| *w == worker).unwrap()
    }

    /// Lets time pass at the workers, and applies their answers.
    fn answer(&mut self) {
        self.harness.now_ms += PASS_MS;
        for index in 0..self.harness.workers.len() {
            let (mut running, mut ended) = (Vec::new(), Vec::new());
            let (here, others): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
                .into_iter()
                .partition(|run| self.index_of(&run.order) == index);
            self.runs = others;
            let mut over = false;
            for mut run in here {
                let Order::Start {
                    task, run: number, ..
                } = run.order.clone()
                else {
                    continue;
                };
                if !self.still.contains(&index) {
                    run.done_ms += PASS_MS;
                }
                let outcome = match (run.stopped, run.done_ms >= RUN_MS * self.slowdown) {
                    (true, _) => RunOutcome::Stopped,
                    (false, true) => RunOutcome::Done,
                    (false, false) => {
                        running.push(ActiveRun {
                            task,
                            run: number,
                            progress: String::new(),
                            percent: (run.done_ms * 100 / (RUN_MS * self.slowdown)) as u32,
                            metric: 0,
                        });
                        self.runs.push(run);
                        continue;
                    }
                };
                if self.silent.contains(&index) {
                    over = true;
                    continue;
                }
                self.ends[index] += 1;
                ended.push(EndedRun {
                    number: self.ends[index],
                    task: Some(task),
                    run: number,
                    outcome,
                    progress: String::new(),
                });
            }
            assert!(!over, "nothing ends at a silent worker in these plays");
            match self.silent.contains(&index) {
                true => {
                    let key = self.harness.workers[index];
                    self.harness.planner.record_unanswered_renewal(key);
                }
                false => {
                    let (key, now_ms) = (self.harness.workers[index], self.harness.now_ms);
                    self.harness.planner.grant_lease(key, now_ms);
                    self.harness.report(index, running, ended);
                }
            }
        }
    }

    /// Carries out orders. A silent worker takes no stop.
    fn carry_out(&mut self, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Start { .. } => {
                    self.harness.confirm(order);
                    self.runs.push(Run {
                        order: order.clone(),
                        done_ms: 0,
                        stopped: false,
                    });
                }
                Order::Stop {
                    task_key,
                    task,
                    run,
                    ..
                } => {
                    let is_silent = self.silent.contains(&self.index_of(order));
                    let now_ms = self.harness.now_ms;
                    let outcome = match is_silent {
                        true => StopOutcome::NoAnswer,
                        false => StopOutcome::Taken {
                            sent_ms: now_ms,
                            received_ms: now_ms,
                        },
                    };
                    for held in &mut self.runs {
                        let Order::Start {
                            task: known,
                            run: number,
                            ..
                        } = &held.order
                        else {
                            continue;
                        };
                        held.stopped |= known == task && number == run && !is_silent;
                    }
                    if let Some(key) = task_key {
                        let planner = &mut self.harness.planner;
                        planner.apply_stop_outcome(*key, *run, outcome, now_ms);
                    }
                }
                Order::Pace { .. } | Order::Ask { .. } => {}
            }
        }
    }

    fn advance(&mut self) -> Vec<Order> {
        self.answer();
        let orders = self.harness.plan();
        self.carry_out(&orders);
        let tasks: Vec<_> = self.runs.iter().map(|run| name(&run.order)).collect();
        let distinct: HashSet<_> = tasks.iter().collect();
        assert_eq!(distinct.len(), tasks.len(), "a task runs twice: {tasks:?}");
        let decisions = self.harness.planner.take_decisions();
        self.decisions.extend(decisions);
        orders
    }

    fn play(&mut self, ms: u64) -> Vec<Order> {
        (0..ms / PASS_MS).flat_map(|_| self.advance()).collect()
    }

    fn count(&self, what: &str) -> usize {
        self.decisions.iter().filter(|d| d.what == what).count()
    }

    /// Marks the workers of the runs whose task has this index as standing still.
    fn stand_still(&mut self, index: u32) -> usize {
        let run = self.runs.iter().find(|run| name(&run.order).index == index);
        let worker = self.index_of(&run.unwrap().order);
        self.still.insert(worker);
        worker
    }
}

fn name(order: &Order) -> TaskName {
    match order {
        Order::Start { task, .. } => *task,
        _ => panic!("no start"),
    }
}

fn saving(step: StepSpec) -> StepSpec {
    StepSpec {
        saves_progress: true,
        ..step
    }
}

/// Fills a worker, so that each task has one of its own.
fn apart(count: u32) -> StepSpec {
    StepSpec {
        most_per_worker: 1,
        ..step(count, 8)
    }
}

/// A move of a run that saves its progress loses 0.6 s of stopping and delivery, 0.6 s of restoring and a second of work.
#[test]
fn run_that_stands_still_moves_if_it_saves_progress() {
    let mut play = Play::new(3);
    play.submit(saving(apart(2)));
    play.play(2_000);
    let worker = play.stand_still(0);
    assert!(stops(&play.play(2_500)).is_empty());
    let orders = play.play(1_000);
    assert_eq!(stops(&orders), [("0000000000000001.0.0.0".to_string(), 1)]);
    let again = orders
        .iter()
        .find(|o| matches!(o, Order::Start { run: 2, .. }));
    assert_ne!(play.index_of(again.unwrap()), worker);
    assert_eq!(play.harness.planner.counts().moved_still, 1);
    assert_eq!(play.count("run moved"), 1);
}

/// What saves nothing moves once it has stood still for longer than it has worked, and stays if that was long.
#[rstest]
#[case::worked_briefly(1_000, 1)]
#[case::worked_for_long(3_000, 0)]
fn run_that_stands_still_moves_if_little_is_lost(#[case] worked_ms: u64, #[case] moves: u64) {
    let mut play = Play::new(3);
    play.submit(apart(2));
    play.play(worked_ms);
    play.stand_still(0);
    play.play(3_000);
    assert_eq!(play.harness.planner.counts().moved_still, moves);
}

/// Workers of any even speed, also 8 times slower than usual: nothing is decided.
#[rstest]
fn nothing_is_decided_while_runs_grow(
    #[values(1, 4, 8)] slowdown: u64,
    #[values(false, true)] gang: bool,
) {
    let mut play = Play::new(6);
    play.slowdown = slowdown;
    let step = StepSpec {
        gang,
        ..saving(apart(2))
    };
    play.submit(step.clone());
    play.submit(step);
    let orders = play.play(RUN_MS * slowdown + 1_000);
    assert!(stops(&orders).is_empty());
    let counts = play.harness.planner.counts();
    assert_eq!(
        counts.moved_still + counts.still_kept + counts.workers_still,
        0
    );
    assert_eq!(play.harness.planner.sizes().0, 0);
}

/// A disruption of all workers slows the runs down by 8 times while they work.
#[test]
fn nothing_is_decided_while_runs_slow_down() {
    let mut play = Play::new(3);
    play.submit(saving(apart(2)));
    play.play(2_000);
    for _ in 0..80 {
        play.still = (0..3).collect();
        play.play(700);
        play.still.clear();
        play.play(100);
    }
    assert_eq!(play.harness.planner.counts().moved_still, 0);
}

/// Nothing is stopped for room that is not there.
#[test]
fn run_stays_without_room() {
    let mut play = Play::new(2);
    play.submit(saving(apart(2)));
    play.play(1_000);
    play.stand_still(0);
    play.play(2_900);
    let counts = play.harness.planner.counts();
    assert_eq!(counts.moved_still, 0);
    assert!(counts.still_kept > 0);
}

/// A straggler beside runs that work, or alone on its worker, says nothing about the worker.
#[test]
fn worker_of_one_straggler_is_not_blamed() {
    let mut play = Play::new(3);
    play.submit(saving(apart(2)));
    play.play(2_000);
    let worker = play.stand_still(0);
    play.play(4_000);
    play.still.clear();
    assert_eq!(play.harness.planner.counts().workers_still, 0);
    assert_eq!(play.count("worker quarantined"), 0);
    play.play(6_000);
    play.submit(apart(3));
    let orders = play.play(200);
    assert!(orders.iter().any(|order| play.index_of(order) == worker));
}

/// Runs of several jobs stand still on a worker: new work goes elsewhere, and so do they.
#[test]
fn runs_of_worker_on_which_jobs_stand_still_move() {
    let mut play = Play::new(2);
    for _ in 0..4 {
        play.submit(saving(step(1, 2)));
    }
    play.play(1_000);
    let worker = play.index_of(&play.runs[0].order);
    assert!(play.runs.iter().all(|r| play.index_of(&r.order) == worker));
    play.still.insert(worker);
    play.play(2_000);
    assert_eq!(play.harness.planner.counts().workers_still, 1);
    play.submit(step(1, 1));
    let orders = play.play(200);
    assert_eq!(starts(&orders).len(), 1);
    assert_ne!(play.index_of(&orders[0]), worker);
    play.play(1_500);
    assert_eq!(play.harness.planner.counts().moved_still, 4);
}

/// Nobody knows for how long: the worker is used if no other has room, and as any other once its runs grow again.
#[test]
fn worker_on_which_jobs_stand_still_is_chosen_last() {
    let mut play = Play::new(2);
    for _ in 0..4 {
        play.submit(step(1, 1));
    }
    play.play(2_000);
    let worker = play.index_of(&play.runs[0].order);
    play.still.insert(worker);
    play.play(2_000);
    assert_eq!(play.harness.planner.counts().workers_still, 1);
    play.submit(apart(1));
    let orders = play.play(200);
    assert_ne!(play.index_of(&orders[0]), worker);
    play.submit(step(1, 1));
    let orders = play.play(200);
    assert_eq!(play.index_of(&orders[0]), worker);
}

/// Several runs of one job stand still on a worker. The worker is at fault if others of the step work elsewhere.
#[rstest]
#[case::siblings_work_elsewhere(16, 1)]
#[case::no_siblings_elsewhere(8, 0)]
fn worker_is_told_from_job_by_siblings(#[case] tasks: u32, #[case] quarantined: u64) {
    let mut play = Play::new(2);
    play.submit(saving(step(tasks, 1)));
    play.play(1_000);
    let worker = play.index_of(&play.runs[0].order);
    play.still.insert(worker);
    play.play(2_000);
    let counts = play.harness.planner.counts();
    assert_eq!(counts.workers_still, quarantined);
}

/// A gang moves as a whole, all its members have ended before it starts again, and it moves once only.
#[test]
fn gang_moves_as_a_whole_once() {
    let mut play = Play::new(8);
    play.submit(StepSpec {
        gang: true,
        ..apart(3)
    });
    play.play(700);
    let first = play.stand_still(1);
    let orders = play.play(3_000);
    assert_eq!(stops(&orders).len(), 3);
    let again: Vec<&Order> = orders
        .iter()
        .filter(|o| matches!(o, Order::Start { run: 2, .. }))
        .collect();
    assert_eq!(again.len(), 3);
    assert!(again.iter().all(|order| play.index_of(order) != first));
    play.stand_still(2);
    let orders = play.play(3_000);
    assert!(stops(&orders).is_empty());
    assert_eq!(play.harness.planner.counts().moved_still, 1);
}

/// A gang of which one member stands still after long work stays: all members would lose theirs.
#[test]
fn gang_that_has_worked_for_long_stays() {
    let mut play = Play::new(8);
    play.submit(StepSpec {
        gang: true,
        ..apart(3)
    });
    play.play(3_000);
    play.stand_still(1);
    assert!(stops(&play.play(3_500)).is_empty());
}

/// Tasks that last, and fillers, are not judged by their share.
#[rstest]
#[case::lasting(true, false)]
#[case::filler(false, true)]
fn tasks_without_share_are_never_moved(#[case] lasting: bool, #[case] fills: bool) {
    let mut play = Play::new(3);
    play.submit(StepSpec {
        lasting,
        fills,
        most_away: lasting.then_some(1),
        ..saving(apart(2))
    });
    play.play(2_000);
    play.stand_still(0);
    assert!(stops(&play.play(8_000)).is_empty());
}

/// The worker is cut off before the stop reaches it: the task starts elsewhere only once its lease must have expired.
#[test]
fn task_waits_for_lease_of_worker_cut_off_while_being_stopped() {
    let mut play = Play::new(3);
    play.submit(saving(apart(2)));
    play.play(2_000);
    let worker = play.stand_still(0);
    while play.harness.planner.counts().moved_still == 0 {
        play.answer();
    }
    play.silent.insert(worker);
    let orders = play.play(limits().lease_ms - 1_000);
    assert!(!stops(&orders).is_empty());
    assert!(
        starts(&orders).iter().all(|(_, run)| *run == 1),
        "{orders:?}"
    );
    // The lease is over at the worker, too.
    let cut_off = play.harness.workers[worker];
    play.runs.retain(|run| worker_of(&run.order) != cut_off);
    let orders = play.play(3_000);
    assert_eq!(starts(&orders), [("0000000000000001.0.0.0".to_string(), 2)]);
}

/// The planner changes after the stop was ordered: its successor starts the task only once the worker has said that the run
/// is over, whether the stop had arrived or not.
#[rstest]
#[case::stop_arrived(true)]
#[case::stop_lost(false)]
fn successor_waits_for_end_of_moved_run(#[case] arrived: bool) {
    let mut play = Play::new(3);
    let stored = job(1, 1, vec![saving(apart(1))]);
    play.harness.planner.add_job(stored.clone(), 1, 10_000);
    play.answer();
    let (orders, flush) = play.harness.plan_without_store();
    let record = flush.writes[0].record.clone();
    play.harness
        .planner
        .complete_flush(flush, play.harness.now_ms);
    let started = [orders, play.harness.take_orders()].concat();
    play.carry_out(&started);
    play.play(2_000);
    let worker = play.stand_still(0);
    while play.harness.planner.counts().moved_still == 0 {
        play.answer();
    }
    let (mut listed, task) = (vec![], name(&started[0]));
    if !arrived {
        listed.push(ActiveRun {
            task,
            run: 1,
            progress: String::new(),
            percent: 50,
            metric: 0,
        });
    }
    let now_ms = play.harness.now_ms;
    let mut next = Harness {
        planner: Planner::new(limits(), now_ms),
        now_ms,
        workers: Vec::new(),
    };
    next.list((0..3).map(entry).collect());
    next.planner.restore_job(stored, Some(record), 1, now_ms);
    for index in (0..3).filter(|index| *index != worker) {
        next.report(index, vec![], vec![]);
    }
    assert!(starts(&next.plan()).is_empty());
    let ended = EndedRun {
        number: 1,
        task: Some(task),
        run: 1,
        outcome: RunOutcome::Stopped,
        progress: "half".to_string(),
    };
    let ends = if arrived { vec![ended] } else { vec![] };
    next.report(worker, listed, ends);
    let expected = if arrived { 1 } else { 0 };
    assert_eq!(starts(&next.plan()).len(), expected);
}
