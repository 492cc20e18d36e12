//! State of placement and the handling of events.
//!
//! [`Placement::apply`] takes one event and appends the decisions that follow from it.

use std::collections::{BTreeSet, HashMap, VecDeque};

use model::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use slotmap::SlotMap;

use crate::config::PlacementConfig;
use crate::estimate::RunTimes;
use crate::event::{Decision, Event, PlacedMember, StopReason};
use crate::job::{Job, JobKey, Phase};
use crate::organisation::{OrganisationKey, Registry};
use crate::queue::{Queue, Rank};
use crate::rounds::Reservation;
use crate::topology::{Topology, WorkerKey};

/// Jobs that memory is allocated for at the start, so that inserting jobs does not move others.
const JOBS_EXPECTED: usize = 131_072;

/// Placement of the jobs of one data centre.
#[derive(Debug)]
pub struct Placement {
    pub(crate) config: PlacementConfig,
    pub(crate) rng: Pcg32,
    pub(crate) now_ms: u64,
    pub(crate) data_centre: Option<DataCentreName>,
    pub(crate) registry: Registry,
    pub(crate) topology: Topology,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) job_keys: HashMap<JobId, JobKey>,
    pub(crate) queue: Queue,
    pub(crate) run_times: RunTimes,
    /// Jobs that have claimed accelerators on which work is still being stopped.
    pub(crate) claiming: Vec<JobKey>,
    /// Jobs that are backing off, by the end of the backoff.
    pub(crate) delayed: BTreeSet<(u64, JobKey)>,
    /// Jobs that are being stopped, by the time at which the stop is repeated.
    pub(crate) stopping: BTreeSet<(u64, JobKey)>,
    /// Workers in quarantine or on probation, by its end.
    pub(crate) worker_timers: BTreeSet<(u64, WorkerKey)>,
    /// Ended jobs, oldest first.
    pub(crate) ended: VecDeque<JobKey>,
    /// Organisations whose waiting jobs may now fit within their guarantees.
    pub(crate) claim_ready: BTreeSet<OrganisationKey>,
    /// Preemptible running jobs that a guarantee may cover once more workers have joined.
    pub(crate) promotable: Vec<JobKey>,
    pub(crate) reservations: Vec<Reservation>,
    /// Whether healthy workers do not cover all guarantees.
    pub(crate) has_shortfall: bool,
    /// Time from which the set of workers is assumed to be complete.
    pub(crate) hardware_settled_ms: u64,
    /// Whether waiting jobs have to be checked against the hardware again.
    pub(crate) hardware_changed: bool,
    pub(crate) next_round_ms: u64,
    /// Whether the last event ended with waiting jobs that were not tried.
    pub(crate) has_untried: bool,
    /// Rack at which the next search for preemptible work begins.
    pub(crate) next_rack: usize,
}

impl Placement {
    /// Creates placement without workers, declarations and jobs; `seed` seeds the jitter of
    /// backoffs.
    pub fn new(config: PlacementConfig, seed: u64) -> Self {
        Self {
            config,
            rng: Pcg32::seed_from_u64(seed),
            now_ms: 0,
            data_centre: None,
            registry: Registry::default(),
            topology: Topology::default(),
            jobs: SlotMap::with_capacity_and_key(JOBS_EXPECTED),
            job_keys: HashMap::with_capacity(JOBS_EXPECTED),
            queue: Queue::default(),
            run_times: RunTimes::default(),
            claiming: Vec::new(),
            delayed: BTreeSet::new(),
            stopping: BTreeSet::new(),
            worker_timers: BTreeSet::new(),
            ended: VecDeque::new(),
            claim_ready: BTreeSet::new(),
            promotable: Vec::new(),
            reservations: Vec::new(),
            has_shortfall: false,
            hardware_settled_ms: 0,
            hardware_changed: false,
            next_round_ms: 0,
            has_untried: false,
            next_rack: 0,
        }
    }

    /// Applies an event and appends the resulting decisions to `out`; `now_ms` is the current time
    /// in milliseconds.
    pub fn apply(&mut self, now_ms: u64, event: Event, out: &mut Vec<Decision>) {
        self.now_ms = self.now_ms.max(now_ms);
        match event {
            Event::Declared {
                data_centre,
                organisations,
                classes,
            } => self.declare(data_centre, &organisations, &classes, out),
            Event::WorkerJoined(spec) => self.join_worker(spec, out),
            Event::WorkerLeaving { name } => self.drain_worker(&name, out),
            Event::WorkerReturned { name } => self.return_worker(&name),
            Event::WorkerLost { name } => self.lose_worker(&name, out),
            Event::Submitted { job, spec } => self.submit(job, spec, out),
            Event::Cancelled { job } => self.cancel(&job, out),
            Event::Adopted {
                job,
                spec,
                members,
                run_ms,
            } => self.adopt(job, spec, &members, run_ms, out),
            Event::Started { job } => self.record_start(&job),
            Event::StartFailed { job, worker } => self.fail_start(&job, worker.as_ref(), out),
            Event::MemberLost { job, worker } => self.lose_member(&job, &worker, out),
            Event::Checkpointed { job, permille } => self.record_checkpoint(&job, permille),
            Event::Stopped {
                job,
                checkpoint_permille,
            } => self.record_stop(&job, checkpoint_permille, out),
            Event::Finished { job } => self.finish(&job),
            Event::Failed { job, worker } => self.fail_run(&job, worker.as_ref(), out),
        }
        self.start_ready_jobs(out);
    }

    /// Starts the jobs that can start after a change.
    pub(crate) fn start_ready_jobs(&mut self, out: &mut Vec<Decision>) {
        self.start_claims(out);
        self.claim_guarantees(out);
        self.start_reserved(out);
        self.start_waiting(out);
        debug_assert!(
            self.check_invariant().is_ok(),
            "{:?}",
            self.check_invariant()
        );
    }

    /// Returns the key of a job that has not ended.
    pub(crate) fn find_job(&self, id: &JobId) -> Option<JobKey> {
        let key = *self.job_keys.get(id)?;
        let job = self.jobs.get(key)?;
        (!matches!(job.phase, Phase::Ended { .. })).then_some(key)
    }

    /// Queues a job.
    pub(crate) fn requeue(&mut self, key: JobKey) {
        self.requeue_after(key, 0);
    }

    /// Queues a job after a delay.
    pub(crate) fn requeue_after(&mut self, key: JobKey, delay_ms: u64) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if self.config.learning {
            let declared_ms = job.spec.run_ms_declared;
            job.estimate = self
                .run_times
                .estimate(job.class, job.organisation, declared_ms);
        }
        let not_before_ms = now_ms + delay_ms;
        job.phase = Phase::Waiting { not_before_ms };
        job.waiting_since_ms = now_ms;
        job.lost_on.clear();
        job.rank_ms = rank_ms(&self.config, job);
        job.urgency = if self.config.shortest_first {
            self.registry.class(job.class).urgency
        } else {
            Urgency::Normal
        };
        if delay_ms > 0 {
            self.delayed.insert((not_before_ms, key));
        } else {
            self.enter_queue(key);
        }
    }

    /// Puts a waiting job into the queue.
    pub(crate) fn enter_queue(&mut self, key: JobKey) {
        let Some(rank) = self.rank(key) else {
            return;
        };
        let job = &self.jobs[key];
        let (need, organisation) = (job.need, job.organisation);
        self.queue.insert(need, organisation, rank);
        self.claim_ready.insert(organisation);
    }

    /// Removes a waiting job from the queue, with its reservation.
    pub(crate) fn leave_queue(&mut self, key: JobKey) {
        let Some(rank) = self.rank(key) else {
            return;
        };
        let job = &self.jobs[key];
        let Phase::Waiting { not_before_ms } = job.phase else {
            return;
        };
        let (need, organisation) = (job.need, job.organisation);
        self.delayed.remove(&(not_before_ms, key));
        self.queue.remove(need, organisation, rank);
        self.drop_reservation(key);
    }

    fn rank(&self, key: JobKey) -> Option<Rank> {
        let job = self.jobs.get(key)?;
        Some((job.urgency, job.rank_ms, key))
    }

    fn cancel(&mut self, id: &JobId, out: &mut Vec<Decision>) {
        let Some(key) = self.find_job(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.cancelled = true;
        match job.phase {
            Phase::Waiting { .. } => {
                self.leave_queue(key);
                self.end(key, JobState::Cancelled);
            }
            Phase::Claiming => {
                self.release_members(key);
                self.end(key, JobState::Cancelled);
            }
            _ => self.stop(key, StopReason::Cancelled, out),
        }
    }

    fn record_start(&mut self, id: &JobId) {
        let now_ms = self.now_ms;
        let Some(job) = self.find_job(id).and_then(|key| self.jobs.get_mut(key)) else {
            return;
        };
        job.has_run = true;
        if job.phase == Phase::Starting {
            job.phase = Phase::Running;
            job.started_ms = now_ms;
            job.checkpoint_ms = now_ms;
            job.resumed_permille = job.checkpoint_permille;
            job.failed_starts = 0;
        }
    }

    fn record_checkpoint(&mut self, id: &JobId, permille: u32) {
        let now_ms = self.now_ms;
        if let Some(job) = self.find_job(id).and_then(|key| self.jobs.get_mut(key)) {
            job.checkpoint_permille = permille.min(1000);
            job.checkpoint_ms = now_ms;
        }
    }

    fn record_stop(&mut self, id: &JobId, checkpoint_permille: u32, out: &mut Vec<Decision>) {
        let Some(key) = self.find_job(id) else {
            return;
        };
        if !self.jobs[key].is_holding() {
            return;
        }
        let job = &mut self.jobs[key];
        job.checkpoint_permille = checkpoint_permille.min(1000);
        self.end_run(key, out);
    }

    /// Queues a job again when all its members have ended, or ends it.
    pub(crate) fn end_run(&mut self, key: JobKey, out: &mut Vec<Decision>) {
        self.forget_stop(key);
        let job = &mut self.jobs[key];
        if let Phase::Stopping { why, .. } = job.phase {
            let is_for_others = matches!(why, StopReason::Reclaimed | StopReason::Moved);
            job.preemptions += u32::from(is_for_others);
        }
        let (cancelled, can_rerun) = (job.cancelled, job.can_rerun());
        self.release_members(key);
        if cancelled {
            self.end(key, JobState::Cancelled);
        } else if can_rerun {
            self.requeue(key);
        } else {
            let detail = "the job was interrupted and must not run again";
            self.fail(key, detail.to_owned(), out);
        }
    }

    /// Fails a job that holds no accelerators.
    pub(crate) fn fail(&mut self, key: JobKey, detail: String, out: &mut Vec<Decision>) {
        let job = self.jobs[key].id.clone();
        out.push(Decision::Fail { job, detail });
        self.end(key, JobState::Failed);
    }

    pub(crate) fn forget_stop(&mut self, key: JobKey) {
        if let Phase::Stopping { overdue_ms, .. } = self.jobs[key].phase {
            self.stopping.remove(&(overdue_ms, key));
        }
    }

    fn finish(&mut self, id: &JobId) {
        let Some(key) = self.find_job(id) else {
            return;
        };
        let job = &self.jobs[key];
        if !job.is_holding() {
            return;
        }
        let part_permille = u64::from(1000_u32.saturating_sub(job.resumed_permille)).max(1);
        let run_ms = job.elapsed_ms(self.now_ms) * 1000 / part_permille;
        let (class, organisation) = (job.class, job.organisation);
        let declared_ms = job.spec.run_ms_declared;
        self.run_times
            .observe(class, organisation, declared_ms, run_ms);
        let workers: Vec<_> = job.members.iter().map(|held| held.worker).collect();
        self.forget_stop(key);
        self.release_members(key);
        self.record_success(&workers);
        self.end(key, JobState::Finished);
    }

    /// Marks a job that holds nothing as ended.
    pub(crate) fn end(&mut self, key: JobKey, state: JobState) {
        let at_ms = self.now_ms;
        if let Some(job) = self.jobs.get_mut(key) {
            job.phase = Phase::Ended { state, at_ms };
            self.ended.push_back(key);
        }
    }

    /// Returns the accelerators that the members of a job hold, by name of the worker.
    pub(crate) fn placed_members(&self, job: &Job) -> Vec<PlacedMember> {
        let members = job.members.iter().filter_map(|held| {
            let worker = self.topology.worker(held.worker)?;
            Some(PlacedMember {
                worker: worker.spec.name.clone(),
                accelerators: held.accelerators,
            })
        });
        members.collect()
    }
}

/// Returns the rank of a job in the queue; the lowest is served first.
fn rank_ms(config: &PlacementConfig, job: &Job) -> u64 {
    if !config.shortest_first {
        return job.submitted_ms;
    }
    let arrival_ms = if config.ageing {
        job.submitted_ms * config.ageing_permille / 1000
    } else {
        0
    };
    arrival_ms + job.expected_remaining_ms()
}
