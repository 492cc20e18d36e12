//! Simulates one data centre in virtual time: feeds a generated load to placement, carries out its
//! decisions and records the outcome of each job.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use model::prelude::*;
use placement::{Decision, Event, Placement, PlacementConfig, StopReason};

use super::gang_load::{JobPlan, LOAD_MS, Load, MINUTE_MS, SECOND_MS};

/// Time to acquire the leases of a gang, in milliseconds.
const GANG_START_MS: u64 = 200;

/// Time from the start of a run to its failure, for jobs and workers that fail, in milliseconds.
const TIME_TO_FAIL_MS: u64 = 3 * SECOND_MS;

/// Time to stop a run without saving a checkpoint, in milliseconds.
const STOP_WITHOUT_SAVING_MS: u64 = 500;

/// Interval between the checkpoints of a running job, in milliseconds.
const CHECKPOINT_INTERVAL_MS: u64 = 10 * MINUTE_MS;

/// Interval between samples of accelerator use and waiting jobs, in milliseconds.
pub(crate) const SAMPLE_INTERVAL_MS: u64 = MINUTE_MS;

/// Virtual time at which a simulation with unfinished jobs is abandoned, in milliseconds.
const SIMULATION_END_MS_MAX: u64 = 20 * LOAD_MS;

/// Events of the simulation. Values are the index of the job or fault and, for events of a run, the
/// [`JobProgress::generation`] of the run; `Fail` adds the index of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Submit(usize),
    Cancel(usize),
    Started(usize, u32),
    Finish(usize, u32),
    Fail(usize, u32, u32),
    Checkpoint(usize, u32),
    Stopped(usize, u32),
    FaultBegins(usize),
    FaultEnds(usize),
    Tick,
    Sample,
}

/// Progress and result of one job of the load.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobProgress {
    /// Incremented at each start and end of a run; events of an earlier generation are ignored.
    generation: u32,
    /// Whether the job holds accelerators.
    holds_accelerators: bool,
    /// Start of the current run.
    running_since_ms: Option<u64>,
    /// Workers of the current run.
    workers: Vec<u32>,
    /// Share of the work that was done when the current run started.
    done_at_start: f64,
    /// Share of the work that the last checkpoint holds.
    saved_share: f64,
    /// Whether a checkpoint is saved when the current run stops.
    saves_on_stop: bool,
    /// Time of the first start.
    pub(crate) first_start_ms: Option<u64>,
    /// Time at which the work was completed.
    pub(crate) finished_ms: Option<u64>,
    /// Whether placement refused the job or declared it failed.
    pub(crate) is_failed: bool,
    /// Whether the caller cancelled the job before it ended.
    pub(crate) is_cancelled: bool,
}

/// Accelerator use and waiting jobs at one time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sample {
    pub(crate) at_ms: u64,
    pub(crate) used: u32,
    pub(crate) free: u32,
    /// Free accelerators that cannot be used by the largest waiting gang.
    pub(crate) stranded: u32,
    pub(crate) waiting: u32,
}

/// Result of simulating one data centre.
#[derive(Debug, Default)]
pub(crate) struct SiteResult {
    pub(crate) jobs: Vec<(JobPlan, JobProgress)>,
    pub(crate) samples: Vec<Sample>,
    /// Accelerator time of discarded work, which no checkpoint held, in milliseconds.
    pub(crate) lost_work_ms: f64,
    /// Part of `lost_work_ms` that was discarded when placement stopped a run.
    pub(crate) preempted_work_ms: f64,
    pub(crate) preemptions: u32,
    pub(crate) moves: u32,
    pub(crate) quarantines: u32,
    pub(crate) shortfalls: u32,
}

/// State of the simulated data centre.
#[derive(Debug)]
struct Site<'a> {
    load: &'a Load,
    placement: Placement,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimulationEvent)>>,
    sequence: u64,
    tick_ms: Option<u64>,
    job_progress: Vec<JobProgress>,
    job_indices: HashMap<JobId, usize>,
    worker_indices: HashMap<WorkerName, u32>,
    failing_workers: Vec<bool>,
    lost_workers: Vec<bool>,
    unfinished_jobs: usize,
    result: SiteResult,
}

/// Simulates `load` under the placement policy of `config`.
pub(crate) fn simulate(load: &Load, config: PlacementConfig, seed: u64) -> SiteResult {
    let mut site = Site::new(load, config, seed);
    site.run();
    let plans = load.jobs.iter().cloned();
    site.result.jobs = plans.zip(site.job_progress).collect();
    site.result
}

fn job_id(data_centre: &DataCentreName, sequence: u64) -> Option<JobId> {
    Some(JobId {
        data_centre: data_centre.clone(),
        node: super::gang_load::parse_name("load")?,
        incarnation: Incarnation(1),
        sequence,
    })
}

impl<'a> Site<'a> {
    fn new(load: &'a Load, config: PlacementConfig, seed: u64) -> Self {
        let workers = load.workers.iter().zip(0..);
        let mut site = Self {
            load,
            placement: Placement::new(config, seed),
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            tick_ms: None,
            job_progress: vec![JobProgress::default(); load.jobs.len()],
            job_indices: HashMap::new(),
            worker_indices: workers.map(|(w, index)| (w.name.clone(), index)).collect(),
            failing_workers: vec![false; load.workers.len()],
            lost_workers: vec![false; load.workers.len()],
            unfinished_jobs: load.jobs.len(),
            result: SiteResult::default(),
        };
        for worker in &load.workers {
            site.apply(Event::WorkerJoined(worker.clone()));
        }
        site.apply(Event::Declared {
            data_centre: load.data_centre.clone(),
            organisations: load.organisations.clone(),
            classes: load.classes.clone(),
        });
        for (index, plan) in load.jobs.iter().enumerate() {
            site.schedule_event(plan.submit_ms, SimulationEvent::Submit(index));
            if let Some(cancel_ms) = plan.cancel_ms {
                site.schedule_event(cancel_ms, SimulationEvent::Cancel(index));
            }
        }
        for (index, fault) in load.faults.iter().enumerate() {
            site.schedule_event(fault.from_ms, SimulationEvent::FaultBegins(index));
            site.schedule_event(fault.until_ms, SimulationEvent::FaultEnds(index));
        }
        site.schedule_event(SAMPLE_INTERVAL_MS, SimulationEvent::Sample);
        site
    }

    fn schedule_event(&mut self, at_ms: u64, event: SimulationEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            let has_ended = self.unfinished_jobs == 0 && at_ms > LOAD_MS;
            if has_ended || at_ms > SIMULATION_END_MS_MAX {
                return;
            }
            self.now_ms = at_ms;
            self.handle_event(event);
            self.schedule_tick();
        }
    }

    fn schedule_tick(&mut self) {
        let Some(wake_ms) = self.placement.next_wake_ms() else {
            return;
        };
        let wake_ms = wake_ms.max(self.now_ms + 1);
        if self.tick_ms.is_none_or(|tick_ms| wake_ms < tick_ms) {
            self.tick_ms = Some(wake_ms);
            self.schedule_event(wake_ms, SimulationEvent::Tick);
        }
    }

    fn apply(&mut self, event: Event) {
        let mut decisions = Vec::new();
        self.placement.apply(self.now_ms, event, &mut decisions);
        self.carry_out_decisions(decisions);
    }

    fn id_of(&self, index: usize) -> Option<JobId> {
        job_id(&self.load.data_centre, index as u64)
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Submit(index) => self.submit(index),
            SimulationEvent::Cancel(index) => self.cancel(index),
            SimulationEvent::Started(index, generation) => self.start_run(index, generation),
            SimulationEvent::Finish(index, generation) => self.finish_run(index, generation),
            SimulationEvent::Fail(index, generation, worker) => {
                self.fail_run(index, generation, worker)
            }
            SimulationEvent::Checkpoint(index, generation) => {
                self.save_checkpoint(index, generation)
            }
            SimulationEvent::Stopped(index, generation) => self.complete_stop(index, generation),
            SimulationEvent::FaultBegins(index) => self.begin_fault(index),
            SimulationEvent::FaultEnds(index) => self.end_fault(index),
            SimulationEvent::Tick => self.tick(),
            SimulationEvent::Sample => self.record_sample(),
        }
    }

    fn tick(&mut self) {
        self.tick_ms = None;
        let mut decisions = Vec::new();
        self.placement.tick(self.now_ms, &mut decisions);
        self.carry_out_decisions(decisions);
    }

    fn submit(&mut self, index: usize) {
        let Some(job) = self.id_of(index) else {
            return;
        };
        self.job_indices.insert(job.clone(), index);
        let spec = self.load.jobs[index].spec.clone();
        self.apply(Event::Submitted { job, spec });
    }

    fn cancel(&mut self, index: usize) {
        let progress = &self.job_progress[index];
        if progress.finished_ms.is_some() || progress.is_failed {
            return;
        }
        self.job_progress[index].is_cancelled = true;
        self.unfinished_jobs -= 1;
        if let Some(job) = self.id_of(index) {
            self.apply(Event::Cancelled { job });
        }
    }

    fn is_current(&self, index: usize, generation: u32) -> bool {
        self.job_progress[index].generation == generation
    }

    fn carry_out_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start { job, members } => {
                    let workers = members.iter().map(|m| self.worker_indices[&m.worker]);
                    let mut workers: Vec<u32> = workers.collect();
                    workers.dedup();
                    let index = self.job_indices[&job];
                    self.schedule_start(index, workers);
                }
                Decision::Stop { job, grace_ms, why } => {
                    let index = self.job_indices[&job];
                    self.schedule_stop(index, grace_ms, why);
                }
                Decision::Refuse { job, .. } | Decision::Fail { job, .. } => {
                    let progress = &mut self.job_progress[self.job_indices[&job]];
                    if !progress.is_cancelled {
                        progress.is_failed = true;
                        self.unfinished_jobs -= 1;
                    }
                }
                Decision::Quarantine { .. } => self.result.quarantines += 1,
                Decision::Shortfall { .. } => self.result.shortfalls += 1,
                Decision::Release { .. } | Decision::ShortfallEnded { .. } => {}
            }
        }
    }

    fn schedule_start(&mut self, index: usize, workers: Vec<u32>) {
        let always_fails = self.load.jobs[index].always_fails;
        let mut failing = workers.iter().copied();
        let failing = failing.find(|&worker| self.failing_workers[worker as usize]);
        let blamed = failing.or_else(|| always_fails.then(|| workers[0]));
        let progress = &mut self.job_progress[index];
        progress.generation += 1;
        progress.workers = workers;
        progress.holds_accelerators = true;
        progress.running_since_ms = None;
        let generation = progress.generation;
        self.schedule_event(
            self.now_ms + GANG_START_MS,
            SimulationEvent::Started(index, generation),
        );
        if let Some(worker) = blamed {
            let at_ms = self.now_ms + GANG_START_MS + TIME_TO_FAIL_MS;
            self.schedule_event(at_ms, SimulationEvent::Fail(index, generation, worker));
        }
    }

    fn start_run(&mut self, index: usize, generation: u32) {
        if !self.is_current(index, generation) {
            return;
        }
        let now_ms = self.now_ms;
        let plan = &self.load.jobs[index];
        let progress = &mut self.job_progress[index];
        progress.first_start_ms.get_or_insert(now_ms);
        progress.running_since_ms = Some(now_ms);
        progress.done_at_start = progress.saved_share;
        let remaining_ms = (plan.run_ms as f64 * (1.0 - progress.saved_share)) as u64;
        let fails = plan.always_fails
            || progress
                .workers
                .iter()
                .any(|&w| self.failing_workers[w as usize]);
        if !fails {
            self.schedule_event(
                now_ms + remaining_ms,
                SimulationEvent::Finish(index, generation),
            );
        }
        if plan.spec.checkpointable {
            self.schedule_event(
                now_ms + CHECKPOINT_INTERVAL_MS,
                SimulationEvent::Checkpoint(index, generation),
            );
        }
        if let Some(job) = self.id_of(index) {
            self.apply(Event::Started { job });
        }
    }

    /// Returns the share of a job's work that is done.
    fn compute_done_share(&self, index: usize) -> f64 {
        let progress = &self.job_progress[index];
        let run_ms = self.load.jobs[index].run_ms.max(1) as f64;
        let since_ms = progress.running_since_ms.unwrap_or(self.now_ms);
        (progress.done_at_start + (self.now_ms - since_ms) as f64 / run_ms).min(1.0)
    }

    fn save_checkpoint(&mut self, index: usize, generation: u32) {
        if !self.is_current(index, generation)
            || self.job_progress[index].running_since_ms.is_none()
        {
            return;
        }
        self.job_progress[index].saved_share = self.compute_done_share(index);
        let permille = (self.job_progress[index].saved_share * 1000.0) as u32;
        self.schedule_event(
            self.now_ms + CHECKPOINT_INTERVAL_MS,
            SimulationEvent::Checkpoint(index, generation),
        );
        if let Some(job) = self.id_of(index) {
            self.apply(Event::Checkpointed { job, permille });
        }
    }

    /// Ends the current run and adds the work since the last checkpoint to the discarded work.
    fn end_run(&mut self, index: usize, is_preempted: bool) {
        let plan = &self.load.jobs[index];
        let done_share = self.compute_done_share(index);
        let progress = &mut self.job_progress[index];
        let unsaved_share = (done_share - progress.saved_share).max(0.0);
        let accelerators = f64::from(plan.spec.gang.accelerators());
        let lost_ms = unsaved_share * plan.run_ms as f64 * accelerators;
        progress.generation += 1;
        progress.holds_accelerators = false;
        progress.running_since_ms = None;
        progress.done_at_start = progress.saved_share;
        if !progress.is_cancelled {
            self.result.lost_work_ms += lost_ms;
            if is_preempted {
                self.result.preempted_work_ms += lost_ms;
            }
        }
    }

    fn finish_run(&mut self, index: usize, generation: u32) {
        if !self.is_current(index, generation) {
            return;
        }
        let progress = &mut self.job_progress[index];
        progress.generation += 1;
        progress.holds_accelerators = false;
        progress.running_since_ms = None;
        if !progress.is_cancelled {
            progress.finished_ms = Some(self.now_ms);
            self.unfinished_jobs -= 1;
        }
        if let Some(job) = self.id_of(index) {
            self.apply(Event::Finished { job });
        }
    }

    fn fail_run(&mut self, index: usize, generation: u32, worker: u32) {
        if !self.is_current(index, generation) {
            return;
        }
        self.end_run(index, false);
        let worker = Some(self.load.workers[worker as usize].name.clone());
        if let Some(job) = self.id_of(index) {
            self.apply(Event::Failed { job, worker });
        }
    }

    fn schedule_stop(&mut self, index: usize, grace_ms: u64, why: StopReason) {
        match why {
            StopReason::Reclaimed => self.result.preemptions += 1,
            StopReason::Moved => self.result.moves += 1,
            _ => {}
        }
        let plan = &self.load.jobs[index];
        let progress = &mut self.job_progress[index];
        let saves_checkpoint = plan.spec.checkpointable
            && grace_ms >= plan.save_ms
            && progress.running_since_ms.is_some();
        progress.saves_on_stop = saves_checkpoint;
        let stop_ms = if saves_checkpoint {
            plan.save_ms
        } else {
            STOP_WITHOUT_SAVING_MS
        };
        let generation = progress.generation;
        self.schedule_event(
            self.now_ms + stop_ms,
            SimulationEvent::Stopped(index, generation),
        );
    }

    fn complete_stop(&mut self, index: usize, generation: u32) {
        if !self.is_current(index, generation) {
            return;
        }
        if self.job_progress[index].saves_on_stop {
            // The checkpoint does not contain work done while it was being saved.
            let plan = &self.load.jobs[index];
            let saving_share = plan.save_ms as f64 / plan.run_ms.max(1) as f64;
            let saved_share = self.job_progress[index].saved_share;
            self.job_progress[index].saved_share =
                (self.compute_done_share(index) - saving_share).max(saved_share);
        }
        self.end_run(index, true);
        let checkpoint_permille = (self.job_progress[index].saved_share * 1000.0) as u32;
        if let Some(job) = self.id_of(index) {
            self.apply(Event::Stopped {
                job,
                checkpoint_permille,
            });
        }
    }

    fn begin_fault(&mut self, index: usize) {
        let fault = self.load.faults[index];
        if !fault.is_loss {
            self.failing_workers[fault.worker as usize] = true;
            return;
        }
        self.lost_workers[fault.worker as usize] = true;
        let affected: Vec<usize> = (0..self.job_progress.len())
            .filter(|&job| self.runs_on(job, fault.worker))
            .collect();
        for &job in &affected {
            self.end_run(job, false);
        }
        let name = self.load.workers[fault.worker as usize].name.clone();
        self.apply(Event::WorkerLost { name });
    }

    fn runs_on(&self, job: usize, worker: u32) -> bool {
        let progress = &self.job_progress[job];
        progress.holds_accelerators && progress.workers.contains(&worker)
    }

    fn end_fault(&mut self, index: usize) {
        let fault = self.load.faults[index];
        if !fault.is_loss {
            self.failing_workers[fault.worker as usize] = false;
            return;
        }
        self.lost_workers[fault.worker as usize] = false;
        let name = self.load.workers[fault.worker as usize].name.clone();
        self.apply(Event::WorkerReturned { name });
    }

    fn record_sample(&mut self) {
        let sample = super::gang_figures::take_sample(&self.placement, self.now_ms);
        self.result.samples.push(sample);
        if self.unfinished_jobs > 0 || self.now_ms < LOAD_MS {
            self.schedule_event(self.now_ms + SAMPLE_INTERVAL_MS, SimulationEvent::Sample);
        }
    }
}
