//! Drives a planner of organisations with guarantees, with workers that take some time to stop a run.

use std::collections::BTreeMap;

use scheduler::prelude::*;
use scheduler::{ActiveRun, BodyLimits, Configuration, Organisation, RunOutcome};

use super::{Harness, ended, job, limits, running, starts, step, stops, worker_of};

/// Time between two planning passes.
pub const PASS_MS: u64 = 50;

/// Within this time after it became ready, a job within its guarantee has to have room.
pub const RECLAIM_MS: u64 = 2_900;

/// Run time of long work.
pub const LASTING_MS: u64 = 600_000;

/// A planner and workers that carry out its orders at once, but take some time to stop a run.
pub struct Site {
    pub harness: Harness,
    runs: Vec<Order>,
    stopping: Vec<(u64, Order)>,
    ends: Vec<u64>,
    /// The share that each lasting task reports.
    pub percent: u32,
    jobs: u64,
    /// The runs that were stopped.
    pub stopped: Vec<String>,
}

impl Site {
    /// Creates a planner with workers of 8 accelerators, of which 8 share a rack, and with guarantees of organisations.
    pub fn new(workers: u32, guarantees: &[(&str, i64)]) -> Site {
        let mut site = Site {
            harness: Harness::with_workers(workers),
            runs: Vec::new(),
            stopping: Vec::new(),
            ends: vec![0; workers as usize],
            percent: 100,
            jobs: 0,
            stopped: Vec::new(),
        };
        site.guarantee(guarantees);
        site
    }

    /// Brings a configuration with these guarantees into force.
    pub fn guarantee(&mut self, guarantees: &[(&str, i64)]) {
        let organisations = guarantees.iter().map(|(name, accelerators)| Organisation {
            name: name.to_string(),
            keys: Vec::new(),
            guaranteed_accelerators: *accelerators,
        });
        self.harness.planner.set_configuration(&Configuration {
            version: 1,
            organisations: organisations.collect(),
            queues: Vec::new(),
            services: Vec::new(),
            limits: BodyLimits { body_bytes: 1 },
        });
    }

    /// Submits a job of one step; returns the first part of its tasks' names.
    pub fn submit(&mut self, organisation: &str, priority: u32, step: StepSpec) -> String {
        self.jobs += 1;
        let stored = StoredJob {
            organisation: organisation.to_string(),
            ..job(self.jobs, priority, vec![step])
        };
        let name = format!("{}.", stored.id);
        let now_ms = self.harness.now_ms;
        self.harness.planner.add_job(stored, self.jobs, now_ms);
        name
    }

    /// Plays some time.
    pub fn play(&mut self, ms: u64) {
        for _ in 0..ms / PASS_MS {
            self.harness.now_ms += PASS_MS;
            let now_ms = self.harness.now_ms;
            for index in 0..self.harness.workers.len() {
                let worker = self.harness.workers[index];
                let mut listed = Vec::new();
                let over = self.stopping.extract_if(.., |(at_ms, run)| {
                    *at_ms <= now_ms && worker_of(run) == worker
                });
                for (_, run) in over {
                    self.ends[index] += 1;
                    listed.push(ended(&run, self.ends[index], RunOutcome::Stopped, ""));
                }
                let here = self.runs.iter().filter(|run| worker_of(run) == worker);
                let in_progress = here.map(|run| ActiveRun {
                    percent: self.percent,
                    ..running(run)
                });
                let in_progress = in_progress.collect();
                self.harness.report(index, in_progress, listed);
            }
            let orders = self.harness.start_all();
            for (task, run) in stops(&orders) {
                let stopped = self.runs.extract_if(.., |started| {
                    starts(std::slice::from_ref(started)) == [(task.clone(), run)]
                });
                let until_ms = now_ms + limits().stop_grace_ms;
                self.stopping
                    .extend(stopped.map(|started| (until_ms, started)));
                self.stopped.push(task);
            }
            let started = orders.into_iter();
            self.runs
                .extend(started.filter(|order| matches!(order, Order::Start { .. })));
        }
    }

    /// Returns how many tasks of a job run.
    pub fn count_running(&self, job: &str) -> usize {
        let names = starts(&self.runs);
        names
            .iter()
            .filter(|(name, _)| name.starts_with(job))
            .count()
    }

    /// Returns how many tasks of a job were stopped.
    pub fn count_stopped(&self, job: &str) -> usize {
        self.stopped
            .iter()
            .filter(|name| name.starts_with(job))
            .count()
    }

    /// Returns how many tasks of a job run on each worker.
    pub fn count_by_worker(&self, job: &str) -> BTreeMap<WorkerKey, usize> {
        let mut counts = BTreeMap::new();
        for run in &self.runs {
            if starts(std::slice::from_ref(run))[0].0.starts_with(job) {
                *counts.entry(worker_of(run)).or_default() += 1;
            }
        }
        counts
    }
}

/// Returns a step that lasts, of which so many tasks may be away.
pub fn lasting(count: u32, accelerators: i64, most_away: Option<u32>) -> StepSpec {
    StepSpec {
        lasting: true,
        estimate_ms: LASTING_MS,
        most_away,
        ..step(count, accelerators)
    }
}

/// Returns a long step whose tasks are a gang.
pub fn gang(count: u32, accelerators: i64) -> StepSpec {
    StepSpec {
        gang: true,
        estimate_ms: LASTING_MS,
        ..step(count, accelerators)
    }
}

/// Returns a long step.
pub fn long(count: u32, accelerators: i64) -> StepSpec {
    StepSpec {
        estimate_ms: LASTING_MS,
        ..step(count, accelerators)
    }
}
