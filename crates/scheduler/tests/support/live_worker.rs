//! A simulated worker that answers renewals and orders as the platform's workers do.

use std::collections::HashMap;

use scheduler::prelude::*;
use scheduler::{ActiveRun, EndedRun, RunOutcome, StartOutcome};

use super::entry;

/// Speed of a worker's clock, in hundredths of true time.
const CLOCK_RATE_PERCENT: u64 = 98;

/// The longest lease that a worker grants, on its own clock.
const LONGEST_LEASE_MS: u64 = 10_000;

/// The most ended runs that a worker lists at a time.
const MAX_LISTED_ENDS: usize = 500;

/// What a worker's clock shows at the start of an incarnation.
const FIRST_CLOCK_MS: u64 = 1_000;

/// A worker; its clock is 2% slow.
#[derive(Debug)]
pub struct LiveWorker {
    pub id: String,
    pub born_unix_ms: u64,
    pub address: String,
    /// Whether it runs.
    pub up: bool,
    /// Whether calls reach it.
    pub reachable: bool,
    pub running: Vec<ActiveRun>,
    pub ended: Vec<EndedRun>,
    pub last_end: u64,
    /// The most ended runs that it lists at a time.
    pub max_listed_ends: usize,
    /// When its incarnation began, on the planner's clock.
    began_ms: u64,
    pub lease_end_clock_ms: u64,
    /// The highest run of each task that ended or was stopped there.
    ended_runs: HashMap<TaskName, u32>,
}

impl LiveWorker {
    pub fn new(number: u32, now_ms: u64) -> LiveWorker {
        let entry = entry(number);
        LiveWorker {
            id: entry.id,
            born_unix_ms: entry.born_unix_ms,
            address: entry.address,
            up: true,
            reachable: true,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            max_listed_ends: MAX_LISTED_ENDS,
            began_ms: now_ms,
            lease_end_clock_ms: 0,
            ended_runs: HashMap::new(),
        }
    }

    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        FIRST_CLOCK_MS + (now_ms - self.began_ms) * CLOCK_RATE_PERCENT / 100
    }

    /// Begins the next incarnation, which knows nothing of before.
    pub fn restart(&mut self, now_ms: u64) {
        self.born_unix_ms += 1_000;
        self.began_ms = now_ms;
        self.running.clear();
        self.ended.clear();
        self.ended_runs.clear();
        (self.last_end, self.lease_end_clock_ms) = (0, 0);
    }

    pub fn expire_lease(&mut self, now_ms: u64) {
        if self.clock_ms(now_ms) > self.lease_end_clock_ms {
            for active in std::mem::take(&mut self.running) {
                self.end(active, RunOutcome::Lapsed);
            }
        }
    }

    pub fn end(&mut self, active: ActiveRun, outcome: RunOutcome) {
        self.last_end += 1;
        self.ended_runs.insert(active.task, active.run);
        self.ended.push(EndedRun {
            number: self.last_end,
            task: Some(active.task),
            run: active.run,
            outcome,
            progress: String::new(),
        });
    }

    /// Ends all its runs as done.
    pub fn finish_runs(&mut self) {
        for active in std::mem::take(&mut self.running) {
            self.end(active, RunOutcome::Done);
        }
    }

    /// Prolongs its lease, up to the longest that it grants.
    pub fn prolong_lease(&mut self, lease_end_clock_ms: u64, now_ms: u64) {
        let granted = lease_end_clock_ms.min(self.clock_ms(now_ms) + LONGEST_LEASE_MS);
        self.lease_end_clock_ms = self.lease_end_clock_ms.max(granted);
    }

    pub fn start(
        &mut self,
        task: TaskName,
        run: u32,
        lease_end_clock_ms: u64,
        now_ms: u64,
    ) -> StartOutcome {
        let highest_ended = self.ended_runs.get(&task).copied().unwrap_or(0);
        self.prolong_lease(lease_end_clock_ms, now_ms);
        if !self.running.iter().any(|at| at.task == task) {
            if run <= highest_ended {
                return StartOutcome::OldRun;
            }
            self.running.push(ActiveRun {
                task,
                run,
                progress: String::new(),
                percent: 10,
                metric: 0,
            });
        }
        StartOutcome::Started { received_ms: 0 }
    }

    pub fn stop(&mut self, task: TaskName, run: u32) {
        let stopped = self
            .running
            .extract_if(.., |at| (at.task, at.run) == (task, run));
        for active in stopped.collect::<Vec<_>>() {
            self.end(active, RunOutcome::Stopped);
        }
        let highest = self.ended_runs.entry(task).or_default();
        *highest = run.max(*highest);
    }

    /// Returns its answer to a renewal.
    pub fn report(&self, sent_ms: u64, received_ms: u64) -> RenewalReport {
        let listed = self.ended.iter().take(self.max_listed_ends);
        RenewalReport {
            sent_ms,
            received_ms,
            worker_clock_ms: self.clock_ms(received_ms),
            born_unix_ms: Some(self.born_unix_ms),
            running: self.running.clone(),
            ended: listed.cloned().collect(),
            ends_complete: self.ended.len() < self.max_listed_ends,
        }
    }
}
