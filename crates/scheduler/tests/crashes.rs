//! Tasks that crash the workers that run them, on a simulated site.
//!
//! Guards against such a task crashing one worker after the other, and against giving up a task that only ran beside
//! one. A crashed worker reports no ends; the planner learns of the crash from the worker's next incarnation, or from
//! its silence.

mod support;

use std::collections::{HashMap, HashSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{
    ActiveRun, BodyLimits, Configuration, EndedRun, JobId, JobRecord, JobState, Organisation,
    RunOutcome, StartOutcome, StepSpec, StoredJob, TaskName,
};
use support::{Harness, entry, job, limits, starts, step, worker_of};

/// The most starts that the platform bears of a task under which three workers have crashed.
const MAX_LATE_STARTS: usize = 2;

/// The most starts of a task that crashes every worker.
const MAX_STARTS: usize = 3 + MAX_LATE_STARTS;

const TICK_MS: u64 = 100;

/// How long a worker that crashed is away; shorter than a lease.
const AWAY_MS: u64 = 3_300;

/// How long a worker is away whose lease expires first.
const LONG_AWAY_MS: u64 = 16_000;

/// How long a task runs that crashes nothing.
const WORK_MS: u64 = 2_000;

#[derive(Debug)]
struct SimRun {
    active: ActiveRun,
    began_ms: u64,
}

#[derive(Debug)]
struct SimWorker {
    key: WorkerKey,
    /// Number in its id and address.
    number: u32,
    /// Number of crashes so far.
    crashes: u64,
    /// When it leaves, if it has announced it.
    leaves_ms: Option<u64>,
    /// Whether it has left for good; another worker takes its place.
    left: bool,
    /// When it is back, if it is down.
    back_ms: Option<u64>,
    /// Until when it answers nothing although it is up.
    cut_until_ms: u64,
    runs: Vec<SimRun>,
    ended: Vec<EndedRun>,
}

impl SimWorker {
    fn id(&self) -> String {
        format!("i-{}-{}", self.number, self.crashes)
    }
}

/// A planner and workers that crash some time after the start of a deadly task.
struct Site {
    harness: Harness,
    workers: Vec<SimWorker>,
    next_number: u32,
    stored: Vec<StoredJob>,
    records: HashMap<JobId, JobRecord>,
    starts: HashMap<TaskName, usize>,
    /// Workers that crashed under each deadly task.
    crashes: HashMap<TaskName, usize>,
    /// Starts of each deadly task after three workers had crashed under it.
    late_starts: HashMap<TaskName, usize>,
    is_deadly: fn(&TaskName) -> bool,
    deadly: HashSet<TaskName>,
    /// How long a worker survives the start of a deadly task.
    survives_ms: u64,
    away_ms: u64,
    /// How long a task runs that crashes nothing.
    work_ms: u64,
    /// Whether a worker that leaves is replaced at its address.
    replaces_at_address: bool,
    /// Whether another planner takes over each time a worker crashes.
    takes_over: bool,
}

impl Site {
    fn new(workers: u32, is_deadly: fn(&TaskName) -> bool) -> Site {
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

    fn add(&mut self, stored: StoredJob) {
        let order = self.stored.len() as u64;
        self.stored.push(stored.clone());
        self.harness
            .planner
            .add_job(stored, order, self.harness.now_ms);
    }

    fn play(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.tick();
        }
    }

    fn tick(&mut self) {
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
        let flush = self.harness.planner.begin_flush(now_ms);
        for write in &flush.writes {
            self.records.insert(write.job, write.record.clone());
        }
        self.harness.planner.complete_flush(flush, now_ms);
        for order in self.harness.take_orders() {
            self.carry_out(&order);
        }
    }

    fn bring_back(&mut self, index: usize) {
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

    fn crash_if_due(&mut self, index: usize) -> bool {
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

    fn crash(&mut self, index: usize) {
        let lost = std::mem::take(&mut self.workers[index].runs);
        self.workers[index].back_ms = Some(self.harness.now_ms + self.away_ms);
        for run in lost {
            if self.is_gang(run.active.task) {
                self.break_gang(run.active.task);
            }
        }
    }

    /// Lets a worker that has announced it leave for good, unless it is to be replaced at its address.
    fn leave_if_due(&mut self, index: usize) {
        let worker = &self.workers[index];
        let is_due = worker.leaves_ms.is_some_and(|at| at <= self.harness.now_ms);
        if is_due && worker.back_ms.is_none() {
            self.crash(index);
            self.workers[index].left = !self.replaces_at_address;
        }
    }

    /// Cuts a worker off until its lease has expired; it is the same incarnation afterwards.
    fn cut_off(&mut self, index: usize) {
        let lapsed = std::mem::take(&mut self.workers[index].runs);
        let worker = &mut self.workers[index];
        worker.cut_until_ms = self.harness.now_ms + LONG_AWAY_MS;
        for run in lapsed {
            let number = worker.ended.len();
            worker.ended.push(end(&run, number, RunOutcome::Lapsed));
        }
    }

    fn is_gang(&self, task: TaskName) -> bool {
        let stored = self.stored.iter().find(|stored| stored.id == task.job);
        stored.is_some_and(|stored| stored.request.steps[task.step as usize].gang)
    }

    fn break_gang(&mut self, lost: TaskName) {
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

    fn end_due_runs(&mut self, index: usize) {
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
    fn crashes_workers(&self, task: TaskName) -> bool {
        let first = TaskName { index: 0, ..task };
        self.is_deadly(&task) || self.is_gang(task) && self.is_deadly(&first)
    }

    fn is_deadly(&self, task: &TaskName) -> bool {
        (self.is_deadly)(task) || self.deadly.contains(task)
    }

    fn list(&mut self) {
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

    fn report(&mut self, index: usize) {
        let worker = &self.workers[index];
        if worker.back_ms.is_some() || self.harness.now_ms < worker.cut_until_ms {
            self.harness
                .planner
                .record_unanswered_renewal(worker.key, worker.left);
            return;
        }
        let report = RenewalReport {
            sent_ms: self.harness.now_ms,
            received_ms: self.harness.now_ms,
            worker_clock_ms: 500_000 + self.harness.now_ms,
            born_unix_ms: Some(1_000 + worker.crashes),
            running: worker.runs.iter().map(|run| run.active.clone()).collect(),
            ended: worker.ended.clone(),
        };
        self.harness.planner.apply_report(worker.key, &report);
    }

    fn carry_out(&mut self, order: &Order) {
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
    fn take_over(&mut self) {
        let now_ms = self.harness.now_ms;
        self.harness.planner = Planner::new(limits(), now_ms);
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

    fn state(&self, id: u64) -> JobState {
        let id: JobId = format!("{id:016x}").parse().unwrap();
        self.records
            .get(&id)
            .map_or(JobState::Pending, |record| record.state)
    }

    fn most_starts(&self) -> usize {
        self.starts.values().copied().max().unwrap_or(0)
    }
}

fn end(run: &SimRun, before: usize, outcome: RunOutcome) -> EndedRun {
    EndedRun {
        number: before as u64 + 1,
        task: Some(run.active.task),
        run: run.active.run,
        outcome,
        progress: String::new(),
    }
}

fn is_first_of_job_1(task: &TaskName) -> bool {
    task.to_string() == format!("{:016x}.0.0.0", 1)
}

fn gang(count: u32, accelerators: i64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accelerators)
    }
}

fn lasting(count: u32) -> StepSpec {
    StepSpec {
        lasting: true,
        ..step(count, 1)
    }
}

#[rstest]
#[case::single_task(step(1, 1))]
#[case::beside_others(step(12, 1))]
#[case::gang(gang(1, 8))]
#[case::gang_on_several_workers(gang(3, 8))]
#[case::lasting(lasting(2))]
fn give_up_task_that_crashes_workers(
    #[case] step: StepSpec,
    #[values(10, 1_000, 5_000)] survives_ms: u64,
    #[values(AWAY_MS, LONG_AWAY_MS)] away_ms: u64,
    #[values(false, true)] takes_over: bool,
) {
    let mut site = Site::new(16, is_first_of_job_1);
    site.survives_ms = survives_ms;
    site.away_ms = away_ms;
    site.takes_over = takes_over;
    site.add(job(1, 1, vec![step]));
    site.play(240_000);
    let deadly = site.starts.iter().find(|(task, _)| is_first_of_job_1(task));
    let starts = deadly.map_or(0, |(_, starts)| *starts);
    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert_eq!(site.state(1), JobState::Failed);
}

#[rstest]
#[case::one_of_many(6, 16)]
#[case::crowded(12, 3)]
fn complete_tasks_beside_one_that_crashes_workers(#[case] jobs: u64, #[case] workers: u32) {
    let mut site = Site::new(workers, is_first_of_job_1);
    for id in 1..=jobs {
        site.add(job(id, 1, vec![step(4, 1)]));
    }
    site.play(120_000);
    for id in 2..=jobs {
        assert_eq!(site.state(id), JobState::Completed, "job {id}");
    }
    assert_eq!(site.state(1), JobState::Failed);
    assert!(site.most_starts() <= MAX_STARTS);
}

fn is_never(_: &TaskName) -> bool {
    false
}

/// Plays until a worker runs something for `age_ms`; returns its index.
fn find_busy_worker(site: &mut Site, age_ms: u64) -> usize {
    for _ in 0..1_000 {
        site.tick();
        let now_ms = site.harness.now_ms;
        let busy = site.workers.iter().position(|worker| {
            let mut runs = worker.runs.iter();
            runs.any(|run| now_ms >= run.began_ms + age_ms)
        });
        if let Some(busy) = busy {
            return busy;
        }
    }
    panic!("nothing runs for {age_ms} ms");
}

#[rstest]
#[case::soon_after_its_start(2, 100, AWAY_MS, step(1, 1))]
#[case::later(4, 2_500, AWAY_MS, step(1, 1))]
#[case::cut_off_soon_after_its_start(4, 100, LONG_AWAY_MS, step(1, 1))]
#[case::gang_soon_after_its_start(2, 100, AWAY_MS, gang(3, 8))]
fn complete_task_whose_workers_crash_by_chance(
    #[case] crashes: usize,
    #[case] age_ms: u64,
    #[case] away_ms: u64,
    #[case] step: StepSpec,
) {
    let mut site = Site::new(8, is_never);
    site.work_ms = 4_000;
    site.away_ms = away_ms;
    site.add(job(1, 1, vec![step]));
    for _ in 0..crashes {
        let busy = find_busy_worker(&mut site, age_ms);
        site.crash(busy);
    }
    site.play(60_000);
    assert_eq!(site.state(1), JobState::Completed);
}

/// Other tasks crash the workers just before the starts arrive there, so that none is answered.
#[test]
fn keep_job_whose_starts_reach_crashed_workers() {
    let mut entries: Vec<WorkerEntry> = (0..8).map(entry).collect();
    let mut harness = Harness::with_workers(8);
    let stored = job(1, 1, vec![step(1, 1)]);
    harness.planner.add_job(stored, 1, harness.now_ms);
    for lost in 0..MAX_STARTS {
        for index in 0..harness.workers.len() {
            harness.report(index, vec![], vec![]);
        }
        let orders = harness.plan();
        assert_eq!(starts(&orders).len(), 1, "{lost} starts were lost");
        harness.report_start_outcome(&orders[0], StartOutcome::NoAnswer);
        harness.take_orders();
        let worker = harness.planner.entry(worker_of(&orders[0])).unwrap();
        let id = worker.id.clone();
        for entry in entries.iter_mut().filter(|entry| entry.id == id) {
            entry.born_unix_ms += 1;
        }
        harness.now_ms += AWAY_MS;
        harness.list(entries.clone());
    }
}

#[test]
fn complete_task_whose_workers_are_cut_off() {
    let mut site = Site::new(8, is_never);
    site.work_ms = 4_000;
    site.add(job(1, 1, vec![step(1, 1)]));
    for _ in 0..2 * MAX_STARTS {
        let busy = find_busy_worker(&mut site, 100);
        site.cut_off(busy);
    }
    site.play(60_000);
    assert_eq!(site.state(1), JobState::Completed);
}

#[test]
fn keep_lasting_task_whose_workers_crash_now_and_then() {
    let mut site = Site::new(8, is_never);
    site.work_ms = u64::MAX / 2;
    site.add(job(1, 1, vec![lasting(1)]));
    for _ in 0..20 {
        let busy = find_busy_worker(&mut site, 60_000);
        site.crash(busy);
    }
    site.play(60_000);
    assert_eq!(site.state(1), JobState::Running);
}

#[rstest]
#[case::for_good(false)]
#[case::replaced_at_their_addresses(true)]
fn complete_task_whose_workers_leave(#[case] replaces_at_address: bool) {
    let mut site = Site::new(8, is_never);
    site.work_ms = 4_000;
    site.replaces_at_address = replaces_at_address;
    site.add(job(1, 1, vec![step(1, 1)]));
    for _ in 0..2 * MAX_STARTS {
        let busy = find_busy_worker(&mut site, 100);
        site.workers[busy].leaves_ms = Some(site.harness.now_ms + 1_000);
        site.play(1_000);
    }
    site.play(60_000);
    assert_eq!(site.state(1), JobState::Completed);
}

/// A worker that has announced its leave can crash before.
#[test]
fn give_up_task_that_crashes_leaving_workers() {
    let mut site = Site::new(16, is_first_of_job_1);
    site.survives_ms = 5_000;
    site.add(job(1, 1, vec![step(1, 1)]));
    for _ in 0..2 * MAX_STARTS {
        let busy = site
            .workers
            .iter()
            .position(|worker| !worker.runs.is_empty());
        if let Some(busy) = busy {
            site.workers[busy].leaves_ms = Some(site.harness.now_ms + 60_000);
        }
        site.play(8_500);
    }
    assert_eq!(site.state(1), JobState::Failed);
    assert!(site.most_starts() <= MAX_STARTS);
}

#[test]
fn start_nothing_beside_suspect_in_its_start_phase() {
    let mut site = Site::new(2, is_first_of_job_1);
    site.survives_ms = 1_500;
    site.add(job(1, 1, vec![step(1, 1)]));
    let deadly = find_busy_worker(&mut site, 1_000);
    site.play(AWAY_MS + 2_000);
    let again = find_busy_worker(&mut site, 0);
    for id in 2..6 {
        site.add(job(id, 1, vec![step(1, 1)]));
    }
    site.play(1_000);
    assert_eq!(site.workers[again].runs.len(), 1, "first crash on {deadly}");
    assert_eq!(site.workers[1 - again].runs.len(), 4);
}

#[test]
fn start_suspects_without_empty_worker() {
    let mut site = Site::new(2, is_never);
    site.work_ms = 60_000;
    site.add(job(1, 1, vec![step(2, 1)]));
    let busy = find_busy_worker(&mut site, 100);
    site.crash(busy);
    site.add(job(2, 1, vec![step(4, 1)]));
    site.play(AWAY_MS + 4_000);
    let running: usize = site.workers.iter().map(|worker| worker.runs.len()).sum();
    assert_eq!(running, 6, "suspects wait for a second, not forever");
}

/// Crashes all workers at once, as often as `crashes` says, each time once their runs are `age_ms` old.
fn crash_all_workers(site: &mut Site, crashes: usize, age_ms: u64) {
    for _ in 0..crashes {
        find_busy_worker(site, age_ms);
        for index in 0..site.workers.len() {
            site.crash(index);
        }
        site.play(site.away_ms);
    }
}

fn count_runs(site: &Site) -> usize {
    site.workers.iter().map(|worker| worker.runs.len()).sum()
}

/// Suspects that start apart from others must not leave capacity idle: where many tasks are suspect, as after a crash
/// of all workers, one task on each worker is far less than fits.
#[rstest]
#[case::crashed_soon_after_their_start(1, 100, AWAY_MS)]
#[case::crashed_later(2, 5_000, AWAY_MS)]
#[case::cut_off_twice(2, 5_000, LONG_AWAY_MS)]
fn start_many_suspects_without_long_wait(
    #[case] crashes: usize,
    #[case] age_ms: u64,
    #[case] away_ms: u64,
) {
    let mut site = Site::new(4, is_never);
    site.work_ms = u64::MAX / 2;
    site.away_ms = away_ms;
    site.add(job(1, 1, vec![lasting(24)]));
    crash_all_workers(&mut site, crashes, age_ms);
    site.play(6_000);
    assert_eq!(count_runs(&site), 24);
}

/// A suspect runs for a minute; the guarantee of an urgent job holds meanwhile.
#[test]
fn preempt_suspects_for_urgent_job() {
    let mut site = Site::new(4, is_never);
    site.work_ms = 60_000;
    site.harness.planner.set_configuration(&Configuration {
        version: 1,
        queues: Vec::new(),
        services: Vec::new(),
        organisations: vec![Organisation {
            name: "desk".to_string(),
            keys: Vec::new(),
            guaranteed_accelerators: 16,
        }],
        limits: BodyLimits { body_bytes: 1 },
    });
    site.add(job(1, 1, vec![step(4, 8)]));
    crash_all_workers(&mut site, 2, 5_000);
    site.play(6_000);
    assert_eq!(count_runs(&site), 4);
    site.add(job(2, 0, vec![gang(2, 8)]));
    site.play(2_900);
    let begun = site
        .starts
        .iter()
        .filter(|(task, _)| task.to_string().starts_with(&format!("{:016x}", 2)));
    assert_eq!(begun.count(), 2);
}

/// Seeds of the soak; `HEMLOCK_SEEDS` sets another number.
const SOAK_SEEDS: u64 = 8;

/// Submits a job with a random step; its first task is deadly or not.
fn add_random_job(site: &mut Site, rng: &mut Pcg64Mcg, id: u64, is_deadly: bool) {
    let step = match rng.random_range(0..4) {
        0 => gang(rng.random_range(1..4), 8),
        1 => gang(rng.random_range(1..6), 2),
        2 => lasting(rng.random_range(1..4)),
        _ => step(rng.random_range(1..12), 1),
    };
    site.add(job(id, rng.random_range(0..3), vec![step]));
    if is_deadly {
        site.deadly
            .insert(format!("{id:016x}.0.0.0").parse().unwrap());
    }
}

/// Jobs of all kinds, some of them deadly, with crashes by chance, changes of the planner, and workers that leave, in
/// series and overlapping.
fn soak(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut site = Site::new(16, is_never);
    site.survives_ms = [10, 600, 2_500, 4_000][rng.random_range(0..4)];
    site.away_ms = [AWAY_MS, LONG_AWAY_MS][rng.random_range(0..2)];
    site.takes_over = rng.random_bool(0.3);
    let jobs = rng.random_range(6..14);
    let deadly: HashSet<u64> = (1..=jobs).filter(|_| rng.random_bool(0.25)).collect();
    let mut chances = 4;
    for id in 1..=jobs {
        add_random_job(&mut site, &mut rng, id, deadly.contains(&id));
        for _ in 0..rng.random_range(1..30) {
            let worker = rng.random_range(0..site.workers.len());
            match rng.random_range(0..60) {
                0 if chances > 0 => {
                    chances -= 1;
                    site.crash(worker);
                }
                1 => {
                    let leaves_ms = site.harness.now_ms + 6_000;
                    site.workers[worker].leaves_ms.get_or_insert(leaves_ms);
                }
                2 => site.take_over(),
                _ => {}
            }
            site.tick();
        }
    }
    site.play(400_000);
    for id in 1..=jobs {
        let state = site.state(id);
        match deadly.contains(&id) {
            true => assert_eq!(state, JobState::Failed, "seed {seed}, deadly job {id}"),
            false => assert_ne!(state, JobState::Failed, "seed {seed}, job {id}"),
        }
        assert_ne!(state, JobState::Pending, "seed {seed}, job {id}");
    }
    for (task, starts) in &site.late_starts {
        assert!(
            *starts <= MAX_LATE_STARTS,
            "seed {seed}: {starts} starts of {task} after three crashes"
        );
    }
}

#[test]
fn soak_with_tasks_that_crash_workers() {
    let seeds = std::env::var("HEMLOCK_SEEDS").map_or(SOAK_SEEDS, |n| n.parse().unwrap());
    for seed in 0..seeds {
        soak(seed);
    }
}
