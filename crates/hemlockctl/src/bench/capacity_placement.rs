//! Measures the cost of placement events at a given number of workers of one planner.

use std::collections::VecDeque;

use model::job::RawGangShape;
use model::prelude::*;
use placement::{Decision, Event, Placement, PlacementConfig, WorkerSpec};
use rand::RngExt;
use rand_pcg::Pcg32;

use super::capacity_declarations::{build_sample_classes, build_sample_organisation};
use super::capacity_meter::measure_cpu_us;

/// Number of jobs that end and are replaced during the measurement.
const REPLACED_JOBS: usize = 300;

/// Number of worker losses, and of ticks, to measure.
const EVENT_REPETITIONS: usize = 20;

/// Accelerators per 13 workers at the target: 21,000 on 13,000 workers, with eight on each worker
/// that has any.
const ACCELERATORS_PER_13_WORKERS: usize = 21;

/// Share of accelerators to fill before the measurement, in percent.
const FILL_PERCENT: usize = 80;

/// Cost of placement at one number of workers; times are in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PlacementCost {
    /// Processor time of a job from its submission to its end.
    pub(super) job_us: f64,
    /// Processor time of the loss and return of a worker.
    pub(super) loss_us: f64,
    /// Processor time of one tick.
    pub(super) tick_us: f64,
}

/// A planner with the jobs that run under it.
pub(super) struct Planner {
    names: Vec<WorkerName>,
    accelerator_workers: usize,
    placement: Placement,
    running: VecDeque<JobId>,
    decisions: Vec<Decision>,
    next_job: u64,
    now_ms: u64,
}

impl Planner {
    fn apply(&mut self, event: Event) {
        self.placement
            .apply(self.now_ms, event, &mut self.decisions);
        self.carry_out_decisions();
    }

    /// Carries out decisions at once, in place of workers that follow every order.
    fn carry_out_decisions(&mut self) {
        while let Some(decision) = self.decisions.pop() {
            let event = match decision {
                Decision::Start { job, .. } => {
                    self.running.push_back(job.clone());
                    Event::Started { job }
                }
                Decision::Stop { job, .. } => {
                    self.running.retain(|running| *running != job);
                    Event::Stopped {
                        job,
                        checkpoint_permille: 500,
                    }
                }
                _ => continue,
            };
            self.placement
                .apply(self.now_ms, event, &mut self.decisions);
        }
    }

    fn tick(&mut self, step_ms: u64) {
        self.now_ms += step_ms;
        self.placement.tick(self.now_ms, &mut self.decisions);
        self.carry_out_decisions();
    }

    /// Submits a job of random size and returns its number of accelerators.
    fn submit(&mut self, organisations: usize, rng: &mut Pcg32) -> Option<u32> {
        let members = 1 << rng.random_range(0..5_u32);
        let accelerators_per_member = 1 << rng.random_range(0..3_u32);
        let gang = RawGangShape {
            members,
            accelerators_per_member,
            adjacency: Adjacency::DataCentre,
        };
        let organisation = build_sample_organisation(rng.random_range(0..organisations), 0)?;
        let spec = JobSpec {
            class: "rota-rebuild".try_into().ok()?,
            organisation: organisation.name,
            gang: gang.try_into().ok()?,
            run_ms_declared: 14_400_000,
            checkpointable: true,
            ticket: None,
            input: String::new(),
        };
        let job = format!("j.gyor.n1.1.{}", self.next_job).parse().ok()?;
        self.next_job += 1;
        self.apply(Event::Submitted { job, spec });
        Some(members * accelerators_per_member)
    }
}

/// Builds a planner of `workers` workers, filled with jobs of `organisations` organisations.
pub(super) fn build(
    workers: usize,
    organisations: usize,
    seed: u64,
    rng: &mut Pcg32,
) -> Option<Planner> {
    let accelerator_workers = workers * ACCELERATORS_PER_13_WORKERS / 13 / 8;
    let mut planner = Planner {
        names: Vec::new(),
        accelerator_workers,
        placement: Placement::new(PlacementConfig::default(), seed),
        running: VecDeque::new(),
        decisions: Vec::new(),
        next_job: 0,
        now_ms: 0,
    };
    planner.apply(Event::Declared {
        data_centre: "gyor".try_into().ok()?,
        organisations: (0..organisations)
            .filter_map(|index| build_sample_organisation(index, u32::MAX))
            .collect(),
        classes: build_sample_classes(),
    });
    for index in 0..workers {
        let name: WorkerName = format!("gyor-r{}-w{}", index / 8, index % 8)
            .try_into()
            .ok()?;
        planner.names.push(name.clone());
        planner.apply(Event::WorkerJoined(WorkerSpec {
            name,
            rack: format!("r{}", index / 8).try_into().ok()?,
            position: (index % 8) as u32,
            accelerators: if index < accelerator_workers { 8 } else { 0 },
        }));
    }
    planner.tick(60_000);
    let mut filled = 0;
    while filled < accelerator_workers * 8 * FILL_PERCENT / 100 {
        filled += planner.submit(organisations, rng)? as usize;
    }
    Some(planner)
}

/// Measures placement with `workers` workers and `organisations` organisations.
pub(super) fn measure(
    workers: usize,
    organisations: usize,
    seed: u64,
    rng: &mut Pcg32,
) -> Option<PlacementCost> {
    let mut planner = build(workers, organisations, seed, rng)?;
    let (ended, replace_us) = measure_cpu_us(|| replace_jobs(&mut planner, organisations, rng));
    let ((), loss_us) = measure_cpu_us(|| lose_workers(&mut planner, rng));
    let ((), tick_us) = measure_cpu_us(|| {
        for _ in 0..EVENT_REPETITIONS {
            planner.tick(1_000);
        }
    });
    Some(PlacementCost {
        job_us: replace_us / ended.max(1) as f64,
        loss_us: loss_us / EVENT_REPETITIONS as f64,
        tick_us: tick_us / EVENT_REPETITIONS as f64,
    })
}

/// Ends the oldest jobs and submits new ones; returns the number of jobs that ended.
fn replace_jobs(planner: &mut Planner, organisations: usize, rng: &mut Pcg32) -> usize {
    let mut ended = 0;
    for _ in 0..REPLACED_JOBS {
        let Some(job) = planner.running.pop_front() else {
            break;
        };
        planner.now_ms += 10;
        planner.apply(Event::Finished { job });
        planner.submit(organisations, rng);
        ended += 1;
    }
    ended
}

/// Reports the loss and return of workers that have accelerators.
fn lose_workers(planner: &mut Planner, rng: &mut Pcg32) {
    for _ in 0..EVENT_REPETITIONS {
        let index = rng.random_range(0..planner.accelerator_workers);
        let name = planner.names[index].clone();
        planner.now_ms += 10;
        planner.apply(Event::WorkerLost { name: name.clone() });
        planner.apply(Event::WorkerReturned { name });
    }
}
