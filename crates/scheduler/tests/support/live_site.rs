//! A simulated site whose workers answer renewals and orders themselves, whatever the list of workers says of them.

use std::collections::HashMap;

use scheduler::prelude::*;
use scheduler::{StartOutcome, StopOutcome};

use super::live_worker::LiveWorker;
use super::{Harness, entry, limits};

pub const TICK_MS: u64 = 100;

/// Time between two reads of the list of workers.
const LIST_EVERY_MS: u64 = 800;

/// A task that no worker runs after this many ticks does not start.
const MAX_WAIT_TICKS: u64 = 50;

/// Who receives a call.
enum Receiver {
    /// The worker that the call names.
    Named(usize),
    /// Another one at that address, which turns the call away.
    Other,
    /// Nobody who answers.
    Nobody,
}

/// A planner, workers, and a list of workers that tests may falsify.
pub struct LiveSite {
    pub harness: Harness,
    pub workers: Vec<LiveWorker>,
    /// What the list of workers says.
    pub entries: Vec<WorkerEntry>,
    /// Starts that were sent: task, run, and the id of the worker.
    pub starts: Vec<(TaskName, u32, String)>,
    /// Stops that were sent.
    pub stops: Vec<(TaskName, u32)>,
    /// Tasks that ran on two workers at the same time.
    pub twice: Vec<TaskName>,
    pub stored: Vec<StoredJob>,
    pub records: HashMap<JobId, JobRecord>,
    listed_ms: u64,
}

impl LiveSite {
    /// Creates a site whose `count` workers have answered the planner.
    pub fn new(count: u32) -> LiveSite {
        let now_ms = 10_000;
        let mut site = LiveSite {
            harness: Harness {
                planner: Planner::new(limits(), now_ms),
                now_ms,
                workers: Vec::new(),
            },
            workers: (0..count).map(|n| LiveWorker::new(n, now_ms)).collect(),
            entries: (0..count).map(entry).collect(),
            starts: Vec::new(),
            stops: Vec::new(),
            twice: Vec::new(),
            stored: Vec::new(),
            records: HashMap::new(),
            listed_ms: 0,
        };
        site.list();
        site.renew_all();
        site
    }

    pub fn add(&mut self, stored: StoredJob) {
        let order = self.stored.len() as u64;
        self.stored.push(stored.clone());
        self.harness
            .planner
            .add_job(stored, order, self.harness.now_ms);
    }

    /// Adds a job, and plays until its only task runs; returns the index of its worker.
    pub fn run_job(&mut self, stored: StoredJob) -> usize {
        let id = stored.id;
        self.add(stored);
        for _ in 0..MAX_WAIT_TICKS {
            self.tick();
            if let Some(index) = self.find_runs(id).first() {
                return *index;
            }
        }
        panic!("job {id} does not start");
    }

    /// Returns the indices of the workers that run tasks of a job.
    pub fn find_runs(&self, job: JobId) -> Vec<usize> {
        (0..self.workers.len())
            .filter(|index| {
                let worker = &self.workers[*index];
                worker.up && worker.running.iter().any(|active| active.task.job == job)
            })
            .collect()
    }

    /// Returns the runs of a job's tasks for which a start was sent.
    pub fn runs_started(&self, job: JobId) -> Vec<u32> {
        let of_job = self.starts.iter().filter(|(task, ..)| task.job == job);
        of_job.map(|(_, run, _)| *run).collect()
    }

    /// Asserts that the only task of a job was started once, and runs on that worker and on no other.
    pub fn assert_runs_on(&self, job: JobId, index: usize) {
        assert_eq!(self.runs_started(job), vec![1], "starts of the task");
        assert_eq!(self.find_runs(job), vec![index], "workers that run it");
        assert_eq!(self.twice, Vec::<TaskName>::new());
    }

    /// Adds a worker with the address of another one; returns its index.
    pub fn add_worker_at(&mut self, number: u32, address: &str) -> usize {
        let mut worker = LiveWorker::new(number, self.harness.now_ms);
        worker.address = address.to_string();
        self.workers.push(worker);
        self.workers.len() - 1
    }

    pub fn play(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.harness.now_ms += TICK_MS;
        self.expire_leases();
        if self.harness.now_ms >= self.listed_ms + LIST_EVERY_MS {
            self.list();
        }
        self.renew_all();
        for order in self.plan() {
            self.carry_out(&order);
        }
        self.check_runs();
    }

    fn expire_leases(&mut self) {
        for worker in &mut self.workers {
            worker.expire_lease(self.harness.now_ms);
        }
    }

    fn check_runs(&mut self) {
        let mut seen = Vec::new();
        for active in self
            .workers
            .iter()
            .filter(|worker| worker.up)
            .flat_map(|worker| &worker.running)
        {
            if seen.contains(&active.task) {
                self.twice.push(active.task);
            }
            seen.push(active.task);
        }
    }

    /// Reads the list of workers.
    pub fn list(&mut self) {
        self.listed_ms = self.harness.now_ms;
        self.harness.list(self.entries.clone());
    }

    /// Plans, stores what has to be stored, and returns the orders.
    pub fn plan(&mut self) -> Vec<Order> {
        let (orders, flush) = self.harness.plan_without_store();
        for write in &flush.writes {
            self.records.insert(write.job, write.record.clone());
        }
        self.harness
            .planner
            .complete_flush(flush, self.harness.now_ms);
        [orders, self.harness.take_orders()].concat()
    }

    /// Renews the leases of all workers that the planner has named so far.
    pub fn renew_all(&mut self) {
        let added = self.harness.planner.take_unpolled();
        self.harness.workers.extend(added);
        for key in self.harness.workers.clone() {
            self.renew(key);
        }
    }

    /// Renews a worker's lease; returns whether it answered.
    pub fn renew(&mut self, key: WorkerKey) -> bool {
        let now_ms = self.harness.now_ms;
        let planner = &mut self.harness.planner;
        let Some(entry) = planner.entry(key).cloned() else {
            return false;
        };
        let lease_end_clock_ms = match planner.is_occupied(key) {
            true => planner.grant_lease(key, now_ms),
            false => None,
        };
        let confirmed = planner.confirmed_ends(key, now_ms);
        match self.find_receiver(&entry) {
            Receiver::Named(index) => {
                let worker = &mut self.workers[index];
                worker.prolong_lease(lease_end_clock_ms.unwrap_or(0), now_ms);
                worker.ended.retain(|ended| ended.number > confirmed);
                let report = worker.report(now_ms, now_ms);
                self.harness.planner.apply_report(key, &report);
                true
            }
            Receiver::Other | Receiver::Nobody => {
                self.harness.planner.record_unanswered_renewal(key);
                false
            }
        }
    }

    fn find_receiver(&self, entry: &WorkerEntry) -> Receiver {
        let at_address = (0..self.workers.len())
            .rev()
            .find(|index| self.workers[*index].address == entry.address);
        match at_address.map(|index| (index, &self.workers[index])) {
            Some((index, worker)) if worker.up && worker.reachable => match worker.id == entry.id {
                true => Receiver::Named(index),
                false => Receiver::Other,
            },
            _ => Receiver::Nobody,
        }
    }

    /// Carries out an order, and reports its outcome.
    pub fn carry_out(&mut self, order: &Order) {
        let now_ms = self.harness.now_ms;
        match order {
            Order::Start {
                worker,
                task_key,
                run,
                again,
                ..
            } => {
                let may_send = !*again || self.renew(*worker);
                let planner = &mut self.harness.planner;
                if !planner.revalidate_start(*task_key, *run, now_ms) {
                    return;
                }
                let outcome = match may_send {
                    true => self.send_start(order),
                    false => StartOutcome::NoAnswer,
                };
                self.harness.report_start_outcome(order, outcome);
            }
            Order::Stop {
                worker,
                task_key,
                task,
                run,
                ..
            } => {
                let Some(entry) = self.harness.planner.entry(*worker).cloned() else {
                    return;
                };
                self.stops.push((*task, *run));
                let outcome = match self.find_receiver(&entry) {
                    Receiver::Named(index) => {
                        self.workers[index].stop(*task, *run);
                        StopOutcome::Taken {
                            sent_ms: now_ms,
                            received_ms: now_ms,
                        }
                    }
                    Receiver::Other => StopOutcome::OtherLife,
                    Receiver::Nobody => StopOutcome::NoAnswer,
                };
                if let Some(task_key) = task_key {
                    self.harness
                        .planner
                        .apply_stop_outcome(*task_key, *run, outcome, now_ms);
                }
            }
            _ => {}
        }
    }

    /// Sends a start to whoever is at its worker's address; returns the outcome without reporting it.
    pub fn send_start(&mut self, order: &Order) -> StartOutcome {
        let now_ms = self.harness.now_ms;
        let Order::Start {
            worker, task, run, ..
        } = order
        else {
            panic!("not a start");
        };
        let planner = &mut self.harness.planner;
        let (Some(entry), Some(lease_end_clock_ms)) = (
            planner.entry(*worker).cloned(),
            planner.grant_lease(*worker, now_ms),
        ) else {
            return StartOutcome::NoAnswer;
        };
        self.starts.push((*task, *run, entry.id.clone()));
        match self.find_receiver(&entry) {
            Receiver::Named(index) => {
                match self.workers[index].start(*task, *run, lease_end_clock_ms, now_ms) {
                    StartOutcome::Started { .. } => StartOutcome::Started {
                        received_ms: now_ms,
                    },
                    refused => refused,
                }
            }
            Receiver::Other => StartOutcome::OtherLife,
            Receiver::Nobody => StartOutcome::NoAnswer,
        }
    }

    /// Replaces the planner by one that knows only what is in the store and the list of workers.
    pub fn take_over(&mut self) {
        let now_ms = self.harness.now_ms;
        self.harness.planner = Planner::new(limits(), now_ms);
        self.harness.workers.clear();
        self.list();
        for (order, stored) in (0..).zip(&self.stored) {
            let record = self.records.get(&stored.id).cloned();
            self.harness
                .planner
                .restore_job(stored.clone(), record, order, now_ms);
        }
        let assumed = self.harness.planner.take_unpolled();
        self.harness.workers.extend(assumed);
    }

    /// Returns the places, id and address, that the planner asks.
    pub fn asked_places(&self) -> Vec<(String, String)> {
        let entries = self.harness.workers.iter();
        entries
            .filter_map(|key| self.harness.planner.entry(*key))
            .map(|entry| (entry.id.clone(), entry.address.clone()))
            .collect()
    }

    /// Returns the index of the worker that the planner knows under a key.
    pub fn find_worker(&self, key: WorkerKey) -> usize {
        let entry = self.harness.planner.entry(key).unwrap();
        let named = self.workers.iter().position(|w| w.id == entry.id);
        named.unwrap()
    }

    /// Returns the keys under which the planner knows a worker.
    pub fn keys_of(&self, index: usize) -> Vec<WorkerKey> {
        let id = &self.workers[index].id;
        let keys = self.harness.workers.iter().copied();
        keys.filter(|key| {
            let entry = self.harness.planner.entry(*key);
            entry.is_some_and(|entry| entry.id == *id)
        })
        .collect()
    }

    /// Returns the state of a job in the store.
    pub fn state(&self, job: JobId) -> JobState {
        self.records
            .get(&job)
            .map_or(JobState::Pending, |record| record.state)
    }
}

/// Returns the name of a job's first task.
pub fn first_task(job: &StoredJob) -> TaskName {
    format!("{}.0.0.0", job.id).parse().unwrap()
}
