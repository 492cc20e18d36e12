//! A simulated site at the crest of its load: three classes of jobs on hundreds of workers.
//!
//! Virtual time advances in steps of 10 ms. Workers run tasks for drawn times, save progress, and report the ends of
//! runs one step later. A planning pass may cost virtual time, as on a VM with a share of a core.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use scheduler::prelude::*;
use scheduler::{ActiveRun, EndedRun, JobId, RunOutcome, TaskKey, TaskName};

use super::Harness;

/// Length of a step of virtual time.
const STEP_MS: u64 = 10;

/// How often a worker reports without an event.
const REPORT_EVERY_MS: u64 = 2_000;

/// How often a task that saves progress does so.
const SAVE_EVERY_MS: u64 = 2_000;

/// How long a stop takes at a worker.
const STOP_MS: u64 = 150;

/// Share of tasks that run several times longer than planned, and how many times.
const STRAGGLER_SHARE: f64 = 0.03;
const STRAGGLER_FACTOR: f64 = 7.0;

/// How long a site goes on after the last arrival, so that stragglers end.
const TAIL_MS: u64 = 60_000;

/// A class of jobs.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    pub priority: u32,
    /// Jobs a second.
    pub rate_per_s: f64,
    /// Mean number of tasks.
    pub width: f64,
    /// Mean run time of a task.
    pub work_ms: f64,
    pub need: Resources,
    /// The numbers of accelerators of a task, all equally likely.
    pub accelerators: &'static [i64],
    pub gang: bool,
    pub saves_progress: bool,
    pub stretch_percent: u32,
    pub goal_ms: u64,
    pub worth: f64,
    pub late_worth: f64,
}

/// The classes of the users' large deployment.
pub const LARGE_CLASSES: [Class; 3] = [
    Class {
        priority: 0,
        rate_per_s: 15.1,
        width: 5.0,
        work_ms: 2_100.0,
        need: Resources {
            cpu_millis: 7_500,
            memory_mb: 39_000,
            accelerators: 0,
        },
        accelerators: &[1, 2, 4, 8, 8],
        gang: true,
        saves_progress: false,
        stretch_percent: 150,
        goal_ms: 400,
        worth: 4.0,
        late_worth: 0.8,
    },
    Class {
        priority: 1,
        rate_per_s: 3.77,
        width: 13.0,
        work_ms: 5_800.0,
        need: Resources {
            cpu_millis: 26_000,
            memory_mb: 110_000,
            accelerators: 0,
        },
        accelerators: &[1, 2, 4, 8, 8],
        gang: true,
        saves_progress: true,
        stretch_percent: 300,
        goal_ms: 1_200,
        worth: 3.0,
        late_worth: 1.5,
    },
    Class {
        priority: 2,
        rate_per_s: 3.7,
        width: 38.0,
        work_ms: 5_200.0,
        need: Resources {
            cpu_millis: 5_600,
            memory_mb: 23_000,
            accelerators: 0,
        },
        accelerators: &[1],
        gang: false,
        saves_progress: true,
        stretch_percent: 300,
        goal_ms: 3_000,
        worth: 1.0,
        late_worth: 0.5,
    },
];

/// A simulated day.
#[derive(Debug, Clone)]
pub struct Day {
    pub workers: u32,
    pub seed: u64,
    /// Length of the arrivals; the site then goes on for [`TAIL_MS`].
    pub arrivals_ms: u64,
    /// Factor on all rates.
    pub load: f64,
    /// Virtual milliseconds that a millisecond of planning takes; 0: planning takes no time.
    pub slowness: f64,
    pub classes: Vec<Class>,
}

/// What the callers of a class got.
#[derive(Debug, Clone, Copy, Default)]
pub struct Service {
    pub jobs: u32,
    pub on_time: u32,
    pub late: u32,
    /// Earned and owed benefit.
    pub earned: f64,
    pub owed: f64,
    /// Sum of the times from submission to first start of the jobs that started.
    pub first_start_ms: u64,
    pub started: u32,
}

/// The results of a day.
#[derive(Debug, Default)]
pub struct Results {
    /// By priority.
    pub service: BTreeMap<u32, Service>,
    /// Duration of each pass.
    pub passes: Vec<Duration>,
    /// Duration of all other calls of the planner.
    pub other: Duration,
    pub starts: u64,
    pub stops: u64,
    pub discarded_core_s: u64,
}

impl Results {
    /// Returns earned over owed benefit of all classes.
    pub fn earned_share(&self) -> f64 {
        let sum = |of: fn(&Service) -> f64| self.service.values().map(of).sum::<f64>();
        sum(|s| s.earned) / sum(|s| s.owed)
    }
}

#[derive(Debug)]
struct Run {
    task: TaskName,
    run: u32,
    began_ms: u64,
    /// Work done before this run.
    resumed_ms: u64,
    stop_at_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct SimWorker {
    runs: Vec<Run>,
    ended: Vec<EndedRun>,
    ends: u64,
    next_report_ms: u64,
}

struct SimJob {
    class: usize,
    submitted_ms: u64,
    /// Work of each task.
    work_ms: Vec<u64>,
    done: HashSet<u32>,
    first_start_ms: Option<u64>,
    /// Members of the gang that are present.
    present: usize,
}

/// The simulation of one day.
struct Simulation {
    day: Day,
    harness: Harness,
    rng: Pcg64Mcg,
    workers: Vec<SimWorker>,
    index_of: HashMap<WorkerKey, usize>,
    jobs: HashMap<JobId, SimJob>,
    next_job: u64,
    results: Results,
    planner_free_ms: f64,
}

/// Plays a day.
pub fn play_day(day: Day) -> Results {
    let harness = Harness::with_workers(day.workers);
    let index_of = harness.workers.iter().copied().zip(0..).collect();
    let mut simulation = Simulation {
        rng: Pcg64Mcg::seed_from_u64(day.seed),
        workers: (0..day.workers).map(|_| SimWorker::default()).collect(),
        index_of,
        jobs: HashMap::new(),
        next_job: 1,
        results: Results::default(),
        planner_free_ms: 0.0,
        harness,
        day,
    };
    let end_ms = simulation.harness.now_ms + simulation.day.arrivals_ms + TAIL_MS;
    let last_arrival_ms = simulation.harness.now_ms + simulation.day.arrivals_ms;
    while simulation.harness.now_ms < end_ms {
        simulation.advance(last_arrival_ms);
    }
    simulation.finish()
}

impl Simulation {
    fn advance(&mut self, last_arrival_ms: u64) {
        self.harness.now_ms += STEP_MS;
        let now_ms = self.harness.now_ms;
        if now_ms < last_arrival_ms {
            for class in 0..self.day.classes.len() {
                let rate = self.day.classes[class].rate_per_s * self.day.load;
                if self
                    .rng
                    .random_bool((rate * STEP_MS as f64 / 1000.0).min(1.0))
                {
                    self.submit(class);
                }
            }
        }
        for index in 0..self.workers.len() {
            self.end_runs(index);
            self.report(index);
        }
        if self.harness.planner.has_changed() && now_ms as f64 >= self.planner_free_ms {
            self.plan();
        }
    }

    fn submit(&mut self, class: usize) {
        let class_of = self.day.classes[class];
        let mean = class_of.width;
        let width = (draw_log_normal(&mut self.rng, mean, 0.8).round() as u32)
            .clamp(1, (mean * 6.0) as u32);
        let need = Resources {
            accelerators: class_of.accelerators
                [self.rng.random_range(0..class_of.accelerators.len())],
            ..class_of.need
        };
        let job_ms = draw_log_normal(&mut self.rng, class_of.work_ms, 0.4);
        let work_ms: Vec<u64> = (0..width)
            .map(|_| {
                let straggles = !class_of.gang && self.rng.random_bool(STRAGGLER_SHARE);
                (job_ms * if straggles { STRAGGLER_FACTOR } else { 1.0 }) as u64
            })
            .collect();
        let step = StepSpec {
            count: width,
            need,
            estimate_ms: job_ms as u64,
            gang: class_of.gang,
            one_rack: class_of.gang && self.rng.random_bool(0.7),
            saves_progress: class_of.saves_progress && self.rng.random_bool(0.5),
            ..StepSpec::default()
        };
        let stored = StoredJob {
            stretch_percent: class_of.stretch_percent,
            goal_ms: class_of.goal_ms,
            ..super::job(self.next_job, class_of.priority, vec![step])
        };
        let now_ms = self.harness.now_ms;
        let job = SimJob {
            class,
            submitted_ms: now_ms,
            work_ms,
            done: HashSet::new(),
            first_start_ms: None,
            present: 0,
        };
        self.jobs.insert(stored.id, job);
        self.next_job += 1;
        self.harness.planner.add_job(stored, self.next_job, now_ms);
    }

    /// Ends the runs of a worker that are done or stopped.
    fn end_runs(&mut self, index: usize) {
        let now_ms = self.harness.now_ms;
        let worker = &mut self.workers[index];
        let mut at = 0;
        let mut over = Vec::new();
        while at < worker.runs.len() {
            let run = &worker.runs[at];
            let job = &self.jobs[&run.task.job];
            let class = &self.day.classes[job.class];
            let complete = !class.gang || job.present == job.work_ms.len();
            let worked_ms = run.resumed_ms + (now_ms - run.began_ms);
            let done = complete && worked_ms >= job.work_ms[run.task.index as usize];
            let stopped = run.stop_at_ms.is_some_and(|at| at <= now_ms);
            if !done && !stopped {
                at += 1;
                continue;
            }
            let run = worker.runs.swap_remove(at);
            worker.ends += 1;
            let saved_ms = worked_ms / SAVE_EVERY_MS * SAVE_EVERY_MS;
            worker.ended.push(EndedRun {
                number: worker.ends,
                task: Some(run.task),
                run: run.run,
                outcome: if done {
                    RunOutcome::Done
                } else {
                    RunOutcome::Stopped
                },
                progress: saved_ms.to_string(),
            });
            worker.next_report_ms = now_ms;
            over.push((run.task, done));
        }
        for (task, done) in over {
            self.record_end(task, done);
        }
    }

    fn record_end(&mut self, task: TaskName, done: bool) {
        let now_ms = self.harness.now_ms;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let class = self.day.classes[job.class];
        if !done {
            job.present -= usize::from(class.gang);
            return;
        }
        assert!(job.done.insert(task.index), "task {task} was done twice");
        if job.done.len() < job.work_ms.len() {
            return;
        }
        let took_ms = now_ms - job.submitted_ms;
        let longest_ms = job.work_ms.iter().max().copied().unwrap_or(0);
        let objective_ms = longest_ms * u64::from(class.stretch_percent) / 100 + class.goal_ms;
        let service = self.results.service.entry(class.priority).or_default();
        let weight = weigh(job, &class);
        if took_ms <= objective_ms {
            service.on_time += 1;
            service.earned += class.worth * weight;
        } else if took_ms <= 3 * objective_ms {
            service.late += 1;
            service.earned += class.late_worth * weight;
        }
    }

    /// Reports a worker's runs to the planner if something ended or it is time.
    fn report(&mut self, index: usize) {
        let now_ms = self.harness.now_ms;
        let worker = &mut self.workers[index];
        if now_ms < worker.next_report_ms {
            return;
        }
        worker.next_report_ms = now_ms + REPORT_EVERY_MS;
        let ended = std::mem::take(&mut worker.ended);
        let active = worker
            .runs
            .iter()
            .map(|run| ActiveRun {
                task: run.task,
                run: run.run,
                progress: (run.resumed_ms + (now_ms - run.began_ms))
                    .checked_div(SAVE_EVERY_MS)
                    .map_or(String::new(), |saves| (saves * SAVE_EVERY_MS).to_string()),
                percent: 10,
                metric: 0,
            })
            .collect();
        let began = Instant::now();
        self.harness.report(index, active, ended);
        let key = self.harness.workers[index];
        self.harness.planner.grant_lease(key, self.harness.now_ms);
        self.results.other += began.elapsed();
    }

    fn plan(&mut self) {
        let now_ms = self.harness.now_ms;
        let began = Instant::now();
        self.harness.planner.plan(now_ms, now_ms);
        let pass = began.elapsed();
        let flush = self.harness.planner.begin_flush(now_ms, now_ms);
        self.harness.planner.complete_flush(flush, now_ms);
        let orders = self.harness.take_orders();
        self.harness.planner.take_decisions();
        self.results.other += began.elapsed() - pass;
        self.results.passes.push(pass);
        self.planner_free_ms =
            now_ms as f64 + began.elapsed().as_secs_f64() * 1000.0 * self.day.slowness;
        for order in orders {
            self.carry_out(&order);
        }
    }

    fn carry_out(&mut self, order: &Order) {
        let now_ms = self.harness.now_ms;
        match order {
            Order::Start {
                worker,
                task,
                run,
                progress,
                task_key,
                ..
            } => {
                self.results.starts += 1;
                let index = self.index_of[worker];
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.first_start_ms.get_or_insert(now_ms);
                    job.present += usize::from(self.day.classes[job.class].gang);
                }
                self.workers[index].runs.push(Run {
                    task: *task,
                    run: *run,
                    began_ms: now_ms,
                    resumed_ms: progress.parse().unwrap_or(0),
                    stop_at_ms: None,
                });
                self.confirm(*task_key, *run);
            }
            Order::Stop { worker, task, .. } => {
                self.results.stops += 1;
                let index = self.index_of[worker];
                let runs = &mut self.workers[index].runs;
                if let Some(run) = runs.iter_mut().find(|run| run.task == *task) {
                    run.stop_at_ms.get_or_insert(now_ms + STOP_MS);
                }
            }
            Order::Pace { .. } | Order::Ask { .. } => {}
        }
    }

    fn confirm(&mut self, key: TaskKey, run: u32) {
        let received_ms = self.harness.now_ms;
        let outcome = scheduler::StartOutcome::Started { received_ms };
        self.harness
            .planner
            .apply_start_outcome(key, run, outcome, received_ms);
    }

    fn finish(mut self) -> Results {
        for job in self.jobs.values() {
            let class = &self.day.classes[job.class];
            let service = self.results.service.entry(class.priority).or_default();
            service.jobs += 1;
            service.owed += class.worth * weigh(job, class);
            if let Some(at_ms) = job.first_start_ms {
                service.started += 1;
                service.first_start_ms += at_ms - job.submitted_ms;
            }
        }
        let counts = self.harness.planner.counts();
        self.results.discarded_core_s = (counts.discarded_preempted_core_ms
            + counts.discarded_broken_core_ms
            + counts.discarded_lost_core_ms)
            / 1000;
        self.results
    }
}

/// Returns the weight of a job among those of its class: larger jobs count for more, up to four times the mean.
fn weigh(job: &SimJob, class: &Class) -> f64 {
    let work: u64 = job.work_ms.iter().sum();
    let mean = class.width * class.work_ms;
    (0.3 + 0.7 * work as f64 / mean).min(4.0)
}

/// Draws from a log-normal distribution with this mean; the normal variable is a sum of uniform ones.
fn draw_log_normal(rng: &mut Pcg64Mcg, mean: f64, deviation: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    mean * (deviation * normal - deviation * deviation / 2.0).exp()
}
