//! A simulated site whose workers crash some time after the start of a deadly task.

use std::collections::{HashMap, HashSet};

use scheduler::prelude::*;
use scheduler::{
    ActiveRun, EndedRun, JobId, JobRecord, JobState, PolicyRecord, RunOutcome, SharesRecord,
    StartOutcome, StepSpec, StoredJob, TaskName,
};

use super::{Harness, entry, limits, step, worker_of};

/// The most starts that the platform bears of a task under which three workers have crashed.
pub const MAX_LATE_STARTS: usize = 2;

/// The most starts of a task that crashes every worker.
pub const MAX_STARTS: usize = 3 + MAX_LATE_STARTS;

pub const TICK_MS: u64 = 100;

/// How long a worker that crashed is away; shorter than a lease.
pub const AWAY_MS: u64 = 3_300;

/// How long a worker is away whose lease expires first.
pub const LONG_AWAY_MS: u64 = 16_000;

/// How long a task runs that crashes nothing.
pub const WORK_MS: u64 = 2_000;

#[derive(Debug)]
pub struct SimRun {
    pub active: ActiveRun,
    pub began_ms: u64,
}

#[derive(Debug)]
pub struct SimWorker {
    pub key: WorkerKey,
    /// Number in its id and address.
    pub number: u32,
    /// Number of crashes so far.
    pub crashes: u64,
    /// When it leaves, if it has announced it.
    pub leaves_ms: Option<u64>,
    /// Whether it has left for good; another worker takes its place.
    pub left: bool,
    /// When it is back, if it is down.
    pub back_ms: Option<u64>,
    /// Until when it answers nothing although it is up.
    pub cut_until_ms: u64,
    pub runs: Vec<SimRun>,
    pub ended: Vec<EndedRun>,
}

impl SimWorker {
    pub fn id(&self) -> String {
        format!("i-{}-{}", self.number, self.crashes)
    }
}

/// A planner and workers that crash some time after the start of a deadly task.
pub struct Site {
    pub harness: Harness,
    pub workers: Vec<SimWorker>,
    pub next_number: u32,
    pub stored: Vec<StoredJob>,
    pub records: HashMap<JobId, JobRecord>,
    /// What the order of turns rests on.
    pub shares: SharesRecord,
    pub starts: HashMap<TaskName, usize>,
    /// Workers that crashed under each deadly task.
    pub crashes: HashMap<TaskName, usize>,
    /// Starts of each deadly task after three workers had crashed under it.
    pub late_starts: HashMap<TaskName, usize>,
    pub is_deadly: fn(&TaskName) -> bool,
    pub deadly: HashSet<TaskName>,
    /// How long a worker survives the start of a deadly task.
    pub survives_ms: u64,
    pub away_ms: u64,
    /// How long a task runs that crashes nothing.
    pub work_ms: u64,
    /// Whether a worker that leaves is replaced at its address.
    pub replaces_at_address: bool,
    /// Whether another planner takes over each time a worker crashes.
    pub takes_over: bool,
}

impl Site {
    pub fn new(workers: u32, is_deadly: fn(&TaskName) -> bool) -> Site {
        let harness = Harness::with_workers(workers);
        Site {
            workers: harness
                .workers
                .iter()
                .zip(0..)
                .map(|(key, number)| SimWorker {
                    key: *key,
                    number,
                    crashes: 0,
                    leaves_ms: None,
                    left: false,
                    back_ms: None,
                    cut_until_ms: 0,
                    runs: Vec::new(),
                    ended: Vec::new(),
                })
                .collect(),
            next_number: workers,
            harness,
            stored: Vec::new(),
            records: HashMap::new(),
            shares: SharesRecord::default(),
            starts: HashMap::new(),
            crashes: HashMap::new(),
            late_starts: HashMap::new(),
            is_deadly,
            deadly: HashSet::new(),
            survives_ms: 10,
            away_ms: AWAY_MS,
            work_ms: WORK_MS,
            replaces_at_address: false,
            takes_over: false,
        }
    }

    pub fn add(&mut self, stored: StoredJob) {
        let order = self.stored.len() as u64;
        self.stored.push(stored.clone());
        self.harness
            .planner
            .add_job(stored, order, self.harness.now_ms);
    }

    pub fn play(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.harness.now_ms += TICK_MS;
        let now_ms = self.harness.now_ms;
        let mut crashed = false;
        for index in 0..self.workers.len() {
            self.bring_back(index);
            self.leave_if_due(index);
            crashed |= self.crash_if_due(index);
            self.end_due_runs(index);
        }
        if crashed && self.takes_over {
            self.take_over();
        }
        self.list();
        for index in 0..self.workers.len() {
            self.report(index);
        }
        self.harness.planner.plan(now_ms, now_ms);
        let flush = self.harness.planner.begin_flush(now_ms, now_ms);
        for write in &flush.writes {
            self.records.insert(write.job, write.record.clone());
        }
        if let Some(PolicyRecord::Shares(shares)) = &flush.policy {
            self.shares = shares.clone();
        }
        self.harness.planner.complete_flush(flush, now_ms);
        for order in self.harness.take_orders() {
            self.carry_out(&order);
        }
    }

    pub fn bring_back(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        if worker.back_ms.is_some_and(|at| at <= self.harness.now_ms) {
            worker.back_ms = None;
            worker.crashes += 1;
            worker.leaves_ms = None;
            if std::mem::take(&mut worker.left) {
                worker.number = self.next_number;
                self.next_number += 1;
            }
            worker.ended.clear();
        }
    }

    pub fn crash_if_due(&mut self, index: usize) -> bool {
        let now_ms = self.harness.now_ms;
        let is_due = self.workers[index].runs.iter().any(|run| {
            self.is_deadly(&run.active.task) && now_ms >= run.began_ms + self.survives_ms
        });
        if is_due {
            for run in &self.workers[index].runs {
                if self.is_deadly(&run.active.task) {
                    *self.crashes.entry(run.active.task).or_default() += 1;
                }
            }
            self.crash(index);
        }
        is_due
    }

    pub fn crash(&mut self, index: usize) {
        let lost = std::mem::take(&mut self.workers[index].runs);
        self.workers[index].back_ms = Some(self.harness.now_ms + self.away_ms);
        for run in lost {
            if self.is_gang(run.active.task) {
                self.break_gang(run.active.task);
            }
        }
    }

    /// Lets a worker that has announced it leave for good, unless it is to be replaced at its address.
    pub fn leave_if_due(&mut self, index: usize) {
        let worker = &self.workers[index];
        let is_due = worker.leaves_ms.is_some_and(|at| at <= self.harness.now_ms);
        if is_due && worker.back_ms.is_none() {
            self.crash(index);
            self.workers[index].left = !self.replaces_at_address;
        }
    }

    /// Cuts a worker off until its lease has expired; it is the same incarnation afterwards.
    pub fn cut_off(&mut self, index: usize) {
        let lapsed = std::mem::take(&mut self.workers[index].runs);
        let worker = &mut self.workers[index];
        worker.cut_until_ms = self.harness.now_ms + LONG_AWAY_MS;
        for run in lapsed {
            let number = worker.ended.len();
            worker.ended.push(end(&run, number, RunOutcome::Lapsed));
        }
    }

    pub fn is_gang(&self, task: TaskName) -> bool {
        let stored = self.stored.iter().find(|stored| stored.id == task.job);
        stored.is_some_and(|stored| stored.request.steps[task.step as usize].gang)
    }

    pub fn break_gang(&mut self, lost: TaskName) {
        for worker in &mut self.workers {
            let members = worker
                .runs
                .extract_if(.., |run| run.active.task.job == lost.job);
            for run in members {
                worker
                    .ended
                    .push(end(&run, worker.ended.len(), RunOutcome::Broken));
            }
        }
    }

    pub fn end_due_runs(&mut self, index: usize) {
        let now_ms = self.harness.now_ms;
        let due: Vec<TaskName> = self.workers[index]
            .runs
            .iter()
            .filter(|run| now_ms >= run.began_ms + self.work_ms)
            .map(|run| run.active.task)
            .filter(|task| !self.crashes_workers(*task))
            .collect();
        let worker = &mut self.workers[index];
        for run in worker
            .runs
            .extract_if(.., |run| due.contains(&run.active.task))
        {
            worker
                .ended
                .push(end(&run, worker.ended.len(), RunOutcome::Done));
        }
    }

    /// Returns whether a task, or another member of its gang, crashes its worker.
    pub fn crashes_workers(&self, task: TaskName) -> bool {
        let first = TaskName { index: 0, ..task };
        self.is_deadly(&task) || self.is_gang(task) && self.is_deadly(&first)
    }

    pub fn is_deadly(&self, task: &TaskName) -> bool {
        (self.is_deadly)(task) || self.deadly.contains(task)
    }

    pub fn list(&mut self) {
        let entries = self
            .workers
            .iter()
            .filter(|worker| !worker.left)
            .map(|worker| WorkerEntry {
                id: worker.id(),
                born_unix_ms: 1_000 + worker.crashes,
                leaving: worker.leaves_ms.is_some(),
                remaining_ms: worker
                    .leaves_ms
                    .map(|at| at.saturating_sub(self.harness.now_ms)),
                ..entry(worker.number)
            })
            .collect();
        self.harness.list(entries);
        for key in self.harness.workers.clone() {
            let Some(listed) = self.harness.planner.entry(key) else {
                continue;
            };
            let worker = self.workers.iter_mut().find(|w| w.id() == listed.id);
            if let Some(worker) = worker {
                worker.key = key;
            }
        }
    }

    pub fn report(&mut self, index: usize) {
        let worker = &self.workers[index];
        if worker.back_ms.is_some() || self.harness.now_ms < worker.cut_until_ms {
            self.harness.planner.record_unanswered_renewal(worker.key);
            return;
        }
        let report = RenewalReport {
            sent_ms: self.harness.now_ms,
            received_ms: self.harness.now_ms,
            worker_clock_ms: 500_000 + self.harness.now_ms,
            born_unix_ms: Some(1_000 + worker.crashes),
            running: worker.runs.iter().map(|run| run.active.clone()).collect(),
            ended: worker.ended.clone(),
            ends_complete: true,
        };
        self.harness.planner.apply_report(worker.key, &report);
    }

    pub fn carry_out(&mut self, order: &Order) {
        let key = worker_of(order);
        let began_ms = self.harness.now_ms;
        let worker = self.workers.iter_mut().find(|worker| worker.key == key);
        let worker = worker.filter(|w| w.back_ms.is_none() && began_ms >= w.cut_until_ms);
        let Some(worker) = worker else {
            return self
                .harness
                .report_start_outcome(order, StartOutcome::NoAnswer);
        };
        match order {
            Order::Start { task, run, .. } => {
                *self.starts.entry(*task).or_default() += 1;
                if self.crashes.get(task).is_some_and(|crashes| *crashes >= 3) {
                    *self.late_starts.entry(*task).or_default() += 1;
                }
                let active = ActiveRun {
                    task: *task,
                    run: *run,
                    progress: String::new(),
                    percent: 0,
                    metric: 0,
                };
                worker.runs.push(SimRun { active, began_ms });
                self.harness.confirm(order);
            }
            Order::Stop { task, run, .. } => {
                let stopped = worker
                    .runs
                    .extract_if(.., |r| (r.active.task, r.active.run) == (*task, *run));
                for stopped in stopped {
                    worker
                        .ended
                        .push(end(&stopped, worker.ended.len(), RunOutcome::Stopped));
                }
            }
            _ => {}
        }
    }

    /// Replaces the planner by one that knows only what is in the store.
    pub fn take_over(&mut self) {
        let now_ms = self.harness.now_ms;
        self.harness.planner = Planner::new(limits(), now_ms);
        self.harness
            .planner
            .restore_shares(self.shares.clone(), now_ms);
        self.harness.workers.clear();
        for worker in &mut self.workers {
            worker.key = WorkerKey::default();
        }
        self.list();
        for (order, stored) in (0..).zip(&self.stored) {
            let record = self.records.get(&stored.id).cloned();
            if record
                .as_ref()
                .is_some_and(|record| record.state.is_final())
            {
                continue;
            }
            self.harness
                .planner
                .restore_job(stored.clone(), record, order, now_ms);
        }
        let assumed = self.harness.planner.take_unpolled();
        self.harness.workers.extend(assumed);
    }

    pub fn state(&self, id: u64) -> JobState {
        let id: JobId = format!("{id:016x}").parse().unwrap();
        self.records
            .get(&id)
            .map_or(JobState::Pending, |record| record.state)
    }

    pub fn most_starts(&self) -> usize {
        self.starts.values().copied().max().unwrap_or(0)
    }
}

pub fn end(run: &SimRun, before: usize, outcome: RunOutcome) -> EndedRun {
    EndedRun {
        number: before as u64 + 1,
        task: Some(run.active.task),
        run: run.active.run,
        outcome,
        progress: String::new(),
    }
}
pub fn gang(count: u32, accelerators: i64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accelerators)
    }
}

pub fn lasting(count: u32) -> StepSpec {
    StepSpec {
        lasting: true,
        ..step(count, 1)
    }
}
pub fn is_never(_: &TaskName) -> bool {
    false
}
