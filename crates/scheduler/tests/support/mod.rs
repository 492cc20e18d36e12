//! Harness that drives a planner and simulated workers by hand.

#![allow(dead_code)]

pub mod advice_site;
pub mod crash_site;
pub mod crest;
pub mod guarantee_site;
pub mod idle_site;
pub mod live_site;
pub mod live_worker;
pub mod lives_calls;
pub mod lives_play;
pub mod speed_site;

use scheduler::prelude::*;
use scheduler::{
    ActiveRun, EndedRun, Flush, JobRecord, Queue, RunOutcome, StartOutcome, Timing, WorkerList,
};

/// Limits as in one of the deployments.
pub fn limits() -> Limits {
    Limits {
        lease_ms: 9_500,
        predecessor_renewal_ms: 14_500,
        stop_grace_ms: 400,
        notice_ms: 5_500,
        reclaim_ms: 2_900,
        unresponsive_ms: 2_900,
        remote_slowdown: 3,
        max_built_tasks: 100_000,
    }
}

/// Returns a worker with 64 cores, 128 GB of memory and 8 accelerators; 8 consecutive numbers share a rack.
pub fn entry(number: u32) -> WorkerEntry {
    WorkerEntry {
        id: format!("i-{number}"),
        born_unix_ms: 1_000,
        address: format!("10.0.0.{number}:80"),
        service: "engine".to_string(),
        data_centre: "gyor".to_string(),
        leaving: false,
        remaining_ms: None,
        cold_left_ms: 0,
        capacity: Resources {
            cpu_millis: 64_000,
            memory_mb: 131_072,
            accelerators: 8,
        },
        labels: vec!["a".to_string(), format!("rack-{}", number / 8)],
        rack: format!("rack-{}", number / 8),
    }
}

/// Returns a step of `count` tasks with `accelerators` each.
pub fn step(count: u32, accelerators: i64) -> StepSpec {
    StepSpec {
        count,
        need: Resources {
            cpu_millis: 1_000,
            memory_mb: 1_000,
            accelerators,
        },
        estimate_ms: 2_000,
        ..StepSpec::default()
    }
}

/// Returns a job with the given steps.
pub fn job(id: u64, priority: u32, steps: Vec<StepSpec>) -> StoredJob {
    StoredJob {
        id: format!("{id:016x}").parse().unwrap(),
        queue: "queue".to_string(),
        organisation: "desk".to_string(),
        service: "engine".to_string(),
        priority,
        attempts: 2,
        stretch_percent: 150,
        goal_ms: 400,
        advice: None,
        request: JobRequest::check("text".to_string(), steps, Timing::default()).unwrap(),
    }
}

/// Returns a queue with the given priority.
pub fn queue(priority: u32) -> Queue {
    Queue {
        name: "queue".to_string(),
        host: "desk.example".to_string(),
        path_prefix: "/q/".to_string(),
        service: "engine".to_string(),
        priority,
        attempts: 2,
        stretch_percent: 150,
        goal_ms: 400,
        public: false,
        advice: None,
    }
}

/// A planner with its clock and workers.
pub struct Harness {
    pub planner: Planner,
    pub now_ms: u64,
    pub workers: Vec<WorkerKey>,
}

impl Harness {
    /// Creates a planner to which `count` listed workers have reported.
    pub fn with_workers(count: u32) -> Harness {
        let mut harness = Harness {
            planner: Planner::new(limits(), 10_000),
            now_ms: 10_000,
            workers: Vec::new(),
        };
        harness.list((0..count).map(entry).collect());
        for index in 0..count as usize {
            harness.report(index, vec![], vec![]);
        }
        harness
    }

    /// Applies a list of workers of the platform; those that are new to the planner are appended in order.
    pub fn list(&mut self, entries: Vec<WorkerEntry>) {
        let list = WorkerList {
            entries,
            asked_ms: self.now_ms,
        };
        let added = self.planner.list_workers(list, self.now_ms);
        self.workers.extend(added);
    }

    /// Applies the answer of a worker to a renewal that was sent just now.
    pub fn report(&mut self, index: usize, running: Vec<ActiveRun>, ended: Vec<EndedRun>) {
        self.apply_lists(index, None, running, ended, true);
    }

    /// Applies the answer of an incarnation of a worker to a renewal that was sent just now.
    pub fn report_as(
        &mut self,
        index: usize,
        born_unix_ms: u64,
        running: Vec<ActiveRun>,
        ended: Vec<EndedRun>,
    ) {
        self.apply_lists(index, Some(born_unix_ms), running, ended, true);
    }

    /// Applies the lists of a worker, or of an incarnation of it, that it has sent just now; `ends_complete` says whether
    /// it has listed all its ends.
    pub fn apply_lists(
        &mut self,
        index: usize,
        born_unix_ms: Option<u64>,
        running: Vec<ActiveRun>,
        ended: Vec<EndedRun>,
        ends_complete: bool,
    ) {
        let report = RenewalReport {
            sent_ms: self.now_ms,
            received_ms: self.now_ms,
            worker_clock_ms: 500_000 + self.now_ms,
            born_unix_ms,
            running,
            ended,
            ends_complete,
        };
        self.planner.apply_report(self.workers[index], &report);
    }

    /// Runs a planning pass, completes its flush, and returns the orders that may be sent then.
    pub fn plan(&mut self) -> Vec<Order> {
        let (orders, flush) = self.plan_without_store();
        self.planner.complete_flush(flush, self.now_ms);
        [orders, self.take_orders()].concat()
    }

    /// Runs a planning pass without completing its flush.
    pub fn plan_without_store(&mut self) -> (Vec<Order>, Flush) {
        self.planner.plan(self.now_ms, self.now_ms);
        let flush = self.planner.begin_flush(self.now_ms, self.now_ms);
        (self.take_orders(), flush)
    }

    /// Takes the orders as the process does, which grants a lease with each start.
    pub fn take_orders(&mut self) -> Vec<Order> {
        let orders = self.planner.take_orders();
        for order in &orders {
            if let Order::Start { worker, .. } = order {
                self.planner.grant_lease(*worker, self.now_ms);
            }
        }
        orders
    }

    /// Returns the orders that the process sends if it has held them back until now.
    pub fn send_held_back(&mut self, orders: Vec<Order>) -> Vec<Order> {
        let now_ms = self.now_ms;
        orders
            .into_iter()
            .filter(|order| match order {
                Order::Start { task_key, run, .. } => {
                    self.planner.revalidate_start(*task_key, *run, now_ms)
                }
                _ => true,
            })
            .collect()
    }

    /// Confirms a start on behalf of its worker.
    pub fn confirm(&mut self, order: &Order) {
        self.report_start_outcome(
            order,
            StartOutcome::Started {
                received_ms: self.now_ms,
            },
        );
    }

    /// Applies the outcome of a start.
    pub fn report_start_outcome(&mut self, order: &Order, outcome: StartOutcome) {
        if let Order::Start { task_key, run, .. } = order {
            self.planner
                .apply_start_outcome(*task_key, *run, outcome, self.now_ms);
        }
    }

    /// Runs a planning pass and confirms all starts; returns the orders.
    pub fn start_all(&mut self) -> Vec<Order> {
        let orders = self.plan();
        for order in &orders {
            self.confirm(order);
        }
        orders
    }

    /// Returns the records that the planner would write now.
    pub fn records(&mut self) -> Vec<JobRecord> {
        self.planner
            .begin_flush(self.now_ms, self.now_ms)
            .writes
            .into_iter()
            .map(|write| write.record)
            .collect()
    }
}

/// Returns the task name and run number of each start among the orders.
pub fn starts(orders: &[Order]) -> Vec<(String, u32)> {
    orders
        .iter()
        .filter_map(|order| match order {
            Order::Start { task, run, .. } => Some((task.to_string(), *run)),
            _ => None,
        })
        .collect()
}

/// Returns the task name and run number of each stop among the orders.
pub fn stops(orders: &[Order]) -> Vec<(String, u32)> {
    orders
        .iter()
        .filter_map(|order| match order {
            Order::Stop { task, run, .. } => Some((task.to_string(), *run)),
            _ => None,
        })
        .collect()
}

/// Returns the task and run number of an order.
fn task_and_run(order: &Order) -> (scheduler::TaskName, u32) {
    match order {
        Order::Start { task, run, .. }
        | Order::Stop { task, run, .. }
        | Order::Pace { task, run, .. } => (*task, *run),
        Order::Ask { .. } => panic!("an advice query has no single task"),
    }
}

/// Returns the worker that an order goes to.
pub fn worker_of(order: &Order) -> WorkerKey {
    match order {
        Order::Start { worker, .. } | Order::Stop { worker, .. } | Order::Pace { worker, .. } => {
            *worker
        }
        Order::Ask { .. } => panic!("an advice query goes to no worker"),
    }
}

/// Returns the entry of a worker's list of runs for a start.
pub fn running(order: &Order) -> ActiveRun {
    let (task, run) = task_and_run(order);
    ActiveRun {
        task,
        run,
        progress: String::new(),
        percent: 10,
        metric: 0,
    }
}

/// Returns the entry of a worker's list of ended runs for a start.
pub fn ended(order: &Order, number: u64, outcome: RunOutcome, progress: &str) -> EndedRun {
    let (task, run) = task_and_run(order);
    EndedRun {
        number,
        task: Some(task),
        run,
        outcome,
        progress: progress.to_string(),
    }
}
