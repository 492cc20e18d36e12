//! A planner, workers that do not answer or refuse starts, and jobs that wait for room.

use std::collections::HashSet;

use scheduler::prelude::*;
use scheduler::{BodyLimits, Configuration, RunOutcome, StartOutcome};

use super::{Harness, ended, job, queue, running, starts, step, worker_of};

/// Run time of the work that occupies workers.
pub const LONG_MS: u64 = 70_000;

/// A job must not have nothing running for this long while there is room for it twice over.
pub const LONGEST_IDLE_MS: u64 = 3_000;

/// The part of it in which a start is decided; the rest is for storing and delivering it.
pub const LONGEST_DECISION_MS: u64 = 2_000;

/// How long urgent work is expected after the last that came. The platform gives 14 s after the end of all traffic.
pub const URGENT_WINDOW_MS: u64 = 14_000 - LONGEST_DECISION_MS;

/// Time between two planning passes.
pub const PASS_MS: u64 = 100;

/// A planner, the runs that were started, which go on, and what is wrong with its workers.
pub struct Site {
    pub harness: Harness,
    pub runs: Vec<Order>,
    pub jobs: u64,
    /// Number of urgent gangs that were submitted one after the other.
    pub urgent: u64,
    /// Workers that do not answer.
    pub silent: HashSet<usize>,
    /// Workers that refuse starts.
    pub refusing: HashSet<usize>,
    /// Number of ended runs that each worker has listed.
    pub ends: Vec<u64>,
}

impl Site {
    pub fn new(workers: u32) -> Site {
        Site::with(Harness::with_workers(workers))
    }

    pub fn with(harness: Harness) -> Site {
        Site {
            ends: vec![0; harness.workers.len()],
            harness,
            runs: Vec::new(),
            jobs: 0,
            urgent: 0,
            silent: HashSet::new(),
            refusing: HashSet::new(),
        }
    }

    /// Creates a site whose planner expects urgent work.
    pub fn with_headroom(workers: u32) -> Site {
        let mut site = Site::new(workers);
        site.expect_urgent_work();
        site
    }

    pub fn expect_urgent_work(&mut self) {
        self.harness.planner.set_configuration(&Configuration {
            version: 1,
            queues: vec![queue(0)],
            services: Vec::new(),
            organisations: Vec::new(),
            limits: BodyLimits { body_bytes: 1 },
        });
    }

    pub fn submit(&mut self, priority: u32, step: StepSpec) {
        self.submit_steps(priority, vec![step]);
    }

    pub fn submit_steps(&mut self, priority: u32, steps: Vec<StepSpec>) {
        self.jobs += 1;
        let stored = StoredJob {
            attempts: 9,
            ..job(self.jobs, priority, steps)
        };
        let now_ms = self.harness.now_ms;
        self.harness.planner.add_job(stored, self.jobs, now_ms);
    }

    /// Cancels the urgent gang that was submitted before, and submits one that needs all workers.
    pub fn submit_urgent(&mut self) {
        let now_ms = self.harness.now_ms;
        let id = |number: u64| format!("{:016x}", 0xa00 + number).parse().unwrap();
        self.harness.planner.cancel_job(id(self.urgent), now_ms);
        self.urgent += 1;
        let urgent = StepSpec {
            estimate_ms: 9_000,
            ..gang(step(16, 8))
        };
        let number = 0xa00 + self.urgent;
        self.harness
            .planner
            .add_job(job(number, 0, vec![urgent]), number, now_ms);
    }

    /// Cancels the job that was submitted last.
    pub fn cancel_last(&mut self) {
        let id = format!("{:016x}", self.jobs).parse().unwrap();
        self.harness.planner.cancel_job(id, self.harness.now_ms);
    }

    /// Plays until a start of the job that was submitted last has been confirmed, for at most some time. Returns how many
    /// were in that pass.
    pub fn wait_for_start(&mut self, most_ms: u64) -> usize {
        let last = format!("{:016x}.", self.jobs);
        for _ in 0..most_ms / PASS_MS {
            let names = starts(&self.advance());
            let started = names.iter().filter(|(n, _)| n.starts_with(&last)).count();
            if started > 0 {
                return started;
            }
        }
        0
    }

    /// Plays some time.
    pub fn play(&mut self, ms: u64) {
        for _ in 0..ms / PASS_MS {
            self.advance();
        }
    }

    /// Plays one pass, in which the completed share of each run stands still. Returns the orders, without refused starts.
    pub fn advance(&mut self) -> Vec<Order> {
        self.harness.now_ms += PASS_MS;
        for index in 0..self.harness.workers.len() {
            if self.silent.contains(&index) {
                self.harness
                    .planner
                    .record_unanswered_renewal(self.harness.workers[index]);
                continue;
            }
            let worker = self.harness.workers[index];
            let here = self.runs.iter().filter(|run| worker_of(run) == worker);
            let in_progress = here.map(running).collect();
            self.harness.report(index, in_progress, vec![]);
        }
        let mut orders = self.harness.plan();
        orders.retain(|order| {
            let worker = match order {
                Order::Start { worker, .. } => *worker,
                _ => return true,
            };
            let index = self.harness.workers.iter().position(|w| *w == worker);
            let refused = index.is_some_and(|index| self.refusing.contains(&index));
            match refused {
                true => {
                    let outcome = StartOutcome::Unhealthy;
                    self.harness.report_start_outcome(order, outcome);
                }
                false => self.harness.confirm(order),
            }
            !refused
        });
        let started = orders.iter().filter(|o| matches!(o, Order::Start { .. }));
        self.runs.extend(started.cloned());
        orders
    }

    /// Ends a run.
    pub fn end(&mut self, run: Order, outcome: RunOutcome) {
        self.runs.retain(|other| *other != run);
        let worker = worker_of(&run);
        let index = self.harness.workers.iter().position(|w| *w == worker);
        let index = index.unwrap();
        self.ends[index] += 1;
        let here = self.runs.iter().filter(|other| worker_of(other) == worker);
        let in_progress = here.map(running).collect();
        let ended = ended(&run, self.ends[index], outcome, "");
        self.harness.report(index, in_progress, vec![ended]);
    }
}

pub fn long_step(count: u32, accelerators: i64) -> StepSpec {
    StepSpec {
        estimate_ms: LONG_MS,
        ..step(count, accelerators)
    }
}

pub fn on_rack_0(step: StepSpec) -> StepSpec {
    StepSpec {
        data_rack: Some("rack-0".to_string()),
        ..step
    }
}

pub fn spread(step: StepSpec) -> StepSpec {
    StepSpec {
        most_per_worker: 1,
        ..step
    }
}

pub fn gang(step: StepSpec) -> StepSpec {
    StepSpec { gang: true, ..step }
}

/// Returns a long step of two tasks that need this of each resource.
pub fn step_of(cpu_millis: i64, memory_mb: i64, accelerators: i64) -> StepSpec {
    StepSpec {
        need: Resources {
            cpu_millis,
            memory_mb,
            accelerators,
        },
        ..long_step(2, 0)
    }
}
