//! Plays rounds of tasks on workers of given speeds, so that the planner learns the speeds.

use scheduler::prelude::*;
use scheduler::{ActiveRun, RunOutcome, StepSpec};

use super::{Harness, ended, entry, job, running, step, worker_of};

/// Accelerators of a worker: a task with all of them has a worker for itself.
pub const ALL_ACCELERATORS: i64 = 8;

/// A planner with workers whose speeds it does not know.
pub struct SpeedSite {
    pub harness: Harness,
    pub next_job: u64,
    ends: Vec<u64>,
}

impl SpeedSite {
    pub fn new(count: u32) -> SpeedSite {
        SpeedSite::with_entries((0..count).map(entry).collect())
    }

    pub fn with_entries(entries: Vec<WorkerEntry>) -> SpeedSite {
        let mut harness = Harness {
            planner: Planner::new(super::limits(), 10_000),
            now_ms: 10_000,
            workers: Vec::new(),
        };
        let count = entries.len();
        harness.list(entries);
        for index in 0..count {
            harness.report(index, vec![], vec![]);
        }
        SpeedSite {
            harness,
            next_job: 1,
            ends: vec![0; count],
        }
    }

    /// Accepts a job and starts what fits of it; returns the indexes of the workers, in the order of the tasks.
    pub fn start(&mut self, priority: u32, steps: Vec<StepSpec>) -> (Vec<usize>, Vec<Order>) {
        let stored = job(self.next_job, priority, steps);
        let now_ms = self.harness.now_ms;
        self.harness.planner.add_job(stored, self.next_job, now_ms);
        self.next_job += 1;
        let orders: Vec<Order> = self
            .harness
            .start_all()
            .into_iter()
            .filter(|order| matches!(order, Order::Start { .. }))
            .collect();
        let places = orders.iter().map(|order| self.index_of(order)).collect();
        (places, orders)
    }

    pub fn index_of(&self, order: &Order) -> usize {
        let worker = worker_of(order);
        let mut workers = self.harness.workers.iter();
        workers.position(|other| *other == worker).unwrap()
    }

    /// Runs a task on each worker until it is done; `run_ms` says how long it takes on a worker. Each reports its share
    /// every 500 ms.
    pub fn play_round(&mut self, run_ms: impl Fn(usize) -> u64) {
        let tasks = self.harness.workers.len() as u32;
        let (_, orders) = self.start(2, vec![step(tasks, ALL_ACCELERATORS)]);
        assert_eq!(orders.len(), tasks as usize);
        self.run_to_end(&orders, run_ms);
    }

    /// Runs started tasks to their end.
    pub fn run_to_end(&mut self, orders: &[Order], run_ms: impl Fn(usize) -> u64) {
        let begin_ms = self.harness.now_ms;
        let mut left: Vec<(usize, &Order)> = orders
            .iter()
            .map(|order| (self.index_of(order), order))
            .collect();
        while !left.is_empty() {
            self.harness.now_ms += 500;
            let ran_ms = self.harness.now_ms - begin_ms;
            left.retain(|(index, order)| {
                if ran_ms >= run_ms(*index) {
                    self.ends[*index] += 1;
                    let end = ended(order, self.ends[*index], RunOutcome::Done, "");
                    self.harness.report(*index, vec![], vec![end]);
                    return false;
                }
                let active = ActiveRun {
                    percent: (ran_ms * 100 / run_ms(*index)) as u32,
                    ..running(order)
                };
                self.harness.report(*index, vec![active], vec![]);
                true
            });
            for index in 0..self.ends.len() {
                if left.iter().all(|(busy, _)| *busy != index) {
                    self.harness.report(index, vec![], vec![]);
                }
            }
            let orders = self.harness.plan();
            assert!(orders.is_empty(), "{orders:?}");
        }
    }

    /// Returns the workers that a job gets whose tasks have a worker each. They are free again afterwards.
    pub fn try_placing(&mut self, priority: u32, step: StepSpec) -> Vec<usize> {
        let (mut places, orders) = self.start(priority, vec![step]);
        self.run_to_end(&orders, |_| 500);
        places.sort_unstable();
        places
    }

    /// Returns the log lines of a kind since the last call.
    pub fn take_lines(&mut self, what: &str) -> Vec<String> {
        let decisions = self.harness.planner.take_decisions().into_iter();
        let lines = decisions.filter(|decision| decision.what == what);
        lines.map(|decision| decision.why).collect()
    }
}

impl SpeedSite {
    /// Lists other workers in the place of those before, and lets them answer.
    pub fn list(mut self, entries: Vec<WorkerEntry>) -> SpeedSite {
        let count = entries.len();
        self.harness.workers.clear();
        let ids: Vec<String> = entries.iter().map(|entry| entry.id.clone()).collect();
        self.harness.list(entries);
        let planner = &self.harness.planner;
        let position = |worker: &WorkerKey| {
            let id = &planner.entry(*worker).unwrap().id;
            ids.iter().position(|other| other == id)
        };
        self.harness.workers.sort_by_key(position);
        self.ends = vec![0; count];
        for index in 0..self.harness.workers.len() {
            self.harness.report(index, vec![], vec![]);
        }
        self
    }
}
