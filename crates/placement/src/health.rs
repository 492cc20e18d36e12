//! Attribution of failures to workers or jobs, quarantine of workers, and reports of guarantees
//! that healthy workers do not cover.

use model::prelude::*;
use rand::RngExt;

use crate::engine::Placement;
use crate::event::Decision;
use crate::guarantees::cover_demands;
use crate::job::{JobKey, Phase};
use crate::topology::{WorkerKey, WorkerState};

/// Run time of another job after which its worker is not held responsible for a failure, in
/// milliseconds.
const HEALTHY_RUN_MS: u64 = 60_000;

/// Maximum number of doublings of a backoff or a quarantine.
const DOUBLINGS_MAX: u32 = 7;

impl Placement {
    /// Handles a failed start: records the failure and queues the job after a backoff.
    pub(crate) fn fail_start(
        &mut self,
        id: &JobId,
        worker: Option<&WorkerName>,
        out: &mut Vec<Decision>,
    ) {
        let Some(key) = self.find_job(id) else {
            return;
        };
        if !self.jobs[key].is_holding() {
            return;
        }
        if matches!(self.jobs[key].phase, Phase::Stopping { .. }) {
            self.end_run(key, out);
            return;
        }
        let worker = worker.and_then(|name| self.topology.find_worker(name));
        self.release_members(key);
        if let Some(worker) = worker {
            self.record_failure(key, worker, out);
        }
        self.retry(key, out);
    }

    /// Handles a failed run: queues the job again after a backoff, or fails it.
    pub(crate) fn fail_run(
        &mut self,
        id: &JobId,
        worker: Option<&WorkerName>,
        out: &mut Vec<Decision>,
    ) {
        let Some(key) = self.find_job(id) else {
            return;
        };
        let job = &self.jobs[key];
        if !job.is_holding() {
            return;
        }
        if job.cancelled {
            self.end_run(key, out);
            return;
        }
        let named = worker.and_then(|name| self.topology.find_worker(name));
        let worker = named.or_else(|| self.only_worker(key));
        let is_once_only = job.spec.ticket.is_some();
        self.forget_stop(key);
        self.release_members(key);
        match worker {
            Some(worker) => self.record_failure(key, worker, out),
            None => self.jobs[key].failures += 1,
        }
        if is_once_only {
            let detail = "the job failed and must not run again".to_owned();
            self.fail(key, detail, out);
        } else {
            self.retry(key, out);
        }
    }

    /// Returns the worker of a job whose members are all on one worker.
    fn only_worker(&self, key: JobKey) -> Option<WorkerKey> {
        let members = &self.jobs[key].members;
        let first = members.first()?.worker;
        let is_only = members.iter().all(|held| held.worker == first);
        is_only.then_some(first)
    }

    /// Queues a failed job again after a jittered exponential backoff, or fails it for good.
    fn retry(&mut self, key: JobKey, out: &mut Vec<Decision>) {
        let job = &mut self.jobs[key];
        if job.failures >= self.config.job_failures {
            let failures = job.failures;
            let workers = std::mem::take(&mut job.failed_on);
            self.clear_failures(key, &workers);
            let detail = format!("the job failed {failures} times, on different workers");
            self.fail(key, detail, out);
            return;
        }
        job.failed_starts += 1;
        let doublings = (job.failed_starts - 1).min(DOUBLINGS_MAX);
        let delay_ms = self.config.retry_ms << doublings;
        let jitter_ms = self.rng.random_range(0..=delay_ms);
        self.requeue_after(key, delay_ms + jitter_ms);
    }

    /// Records a failure of a job and of a worker; quarantines the worker after too many failures,
    /// or after one on probation.
    fn record_failure(&mut self, key: JobKey, worker: WorkerKey, out: &mut Vec<Decision>) {
        self.jobs[key].failures += 1;
        if !self.config.quarantine {
            return;
        }
        if !self.jobs[key].failed_on.contains(&worker) {
            self.jobs[key].failed_on.push(worker);
        }
        if self.is_proven_healthy(worker) {
            return;
        }
        let Some(failed_worker) = self.topology.worker_mut(worker) else {
            return;
        };
        if !failed_worker.failed_jobs.contains(&key) {
            failed_worker.failed_jobs.push(key);
        }
        let is_on_probation = matches!(failed_worker.state, WorkerState::Probation { .. });
        let is_healthy = failed_worker.state == WorkerState::Healthy;
        let failed = failed_worker.failed_jobs.len() as u32;
        if is_on_probation || is_healthy && failed >= self.config.quarantine_failures {
            self.quarantine(worker, out);
        }
    }

    /// Returns whether another job has run on a worker for long enough to show that the worker is
    /// healthy.
    fn is_proven_healthy(&self, worker: WorkerKey) -> bool {
        let all = worker.mask(AcceleratorMask(u8::MAX));
        let jobs = self.topology.holders(worker.rack(), all);
        jobs.into_iter()
            .filter_map(|key| self.jobs.get(key))
            .any(|job| job.elapsed_ms(self.now_ms) >= HEALTHY_RUN_MS)
    }

    /// Quarantines a worker, and no longer counts its failures against the jobs that failed on it.
    fn quarantine(&mut self, key: WorkerKey, out: &mut Vec<Decision>) {
        let config = self.config;
        let now_ms = self.now_ms;
        let Some(worker) = self.topology.worker_mut(key) else {
            return;
        };
        let doublings = worker.quarantines.min(DOUBLINGS_MAX);
        let duration_ms = (config.quarantine_ms << doublings).min(config.quarantine_ms_max);
        let until_ms = now_ms + duration_ms;
        worker.quarantines += 1;
        let failed_jobs = std::mem::take(&mut worker.failed_jobs);
        out.push(Decision::Quarantine {
            worker: worker.spec.name.clone(),
            until_ms,
        });
        for job in failed_jobs {
            if let Some(job) = self.jobs.get_mut(job) {
                job.failures = job.failures.saturating_sub(1);
            }
        }
        self.worker_timers.insert((until_ms, key));
        self.withdraw_worker(key, WorkerState::Quarantined { until_ms });
    }

    /// Removes the failures of a job from the records of workers.
    fn clear_failures(&mut self, key: JobKey, workers: &[WorkerKey]) {
        for &worker in workers {
            if let Some(worker) = self.topology.worker_mut(worker) {
                worker.failed_jobs.retain(|&job| job != key);
            }
        }
    }

    /// Records that a job has succeeded on workers: clears their failures and ends their probation.
    pub(crate) fn record_success(&mut self, workers: &[WorkerKey]) {
        for &key in workers {
            let Some(worker) = self.topology.worker_mut(key) else {
                continue;
            };
            worker.failed_jobs.clear();
            worker.quarantines = 0;
            if matches!(worker.state, WorkerState::Probation { .. }) {
                self.make_usable(key);
            }
        }
    }

    /// Ends the quarantines and probations that are due.
    pub(crate) fn end_worker_timers(&mut self, out: &mut Vec<Decision>) {
        while let Some(&(due_ms, key)) = self.worker_timers.first() {
            if due_ms > self.now_ms {
                return;
            }
            self.worker_timers.pop_first();
            let Some(worker) = self.topology.worker(key) else {
                continue;
            };
            match worker.state {
                WorkerState::Quarantined { until_ms } if until_ms == due_ms => {
                    out.push(Decision::Release {
                        worker: worker.spec.name.clone(),
                    });
                    let until_ms = self.now_ms + self.config.probation_ms;
                    self.topology
                        .set_state(key, WorkerState::Probation { until_ms });
                    self.worker_timers.insert((until_ms, key));
                    self.unblock_rack(key.rack());
                }
                WorkerState::Probation { until_ms } if until_ms == due_ms => {
                    self.make_usable(key);
                }
                _ => {}
            }
        }
    }

    /// Recounts the guaranteed blocks that healthy workers do not cover.
    pub(crate) fn recount_shortfall(&mut self) {
        let organisations = self.registry.organisation_keys();
        let demands = organisations.flat_map(|key| {
            let organisation = self.registry.organisation(key);
            Level::ALL.map(|level| (key, level, organisation.unbound(level)))
        });
        let demands = demands.filter(|&(_, _, count)| count > 0);
        let missing = cover_demands(&self.topology.bindable, demands);
        self.has_shortfall = !missing.is_empty();
        let organisations = self.registry.organisations.iter_mut();
        let before: Vec<_> = organisations
            .map(|organisation| std::mem::take(&mut organisation.missing))
            .collect();
        for (key, level, count) in missing {
            let organisation = self.registry.organisation_mut(key);
            organisation.missing[level as usize] = count;
        }
        for (key, before) in self.registry.organisation_keys().zip(before) {
            let missing = &self.registry.organisation(key).missing;
            if before.iter().zip(missing).any(|(before, now)| now < before) {
                self.claim_ready.insert(key);
            }
        }
        for organisation in &mut self.registry.organisations {
            let has_shortfall = organisation.missing.iter().any(|&count| count > 0);
            let since_ms = organisation.shortfall_since_ms.unwrap_or(self.now_ms);
            organisation.shortfall_since_ms = has_shortfall.then_some(since_ms);
        }
        self.registry.count_demand();
    }

    /// Returns whether a shortfall differs from the one last reported.
    pub(crate) fn has_unreported_shortfall(&self) -> bool {
        let mut organisations = self.registry.organisations.iter();
        organisations.any(|organisation| organisation.missing != organisation.reported)
    }

    /// Reports shortfalls that have lasted for the configured delay, and those that have ended.
    pub(crate) fn report_shortfalls(&mut self, out: &mut Vec<Decision>) {
        for organisation in &mut self.registry.organisations {
            let delay_ms = self.config.shortfall_delay_ms;
            let since_ms = organisation.shortfall_since_ms;
            let is_due = since_ms.is_none_or(|since_ms| self.now_ms >= since_ms + delay_ms);
            if !is_due || organisation.missing == organisation.reported {
                continue;
            }
            for level in Level::ALL {
                let missing = organisation.missing[level as usize];
                if missing == organisation.reported[level as usize] {
                    continue;
                }
                let name = organisation.name.clone();
                out.push(if missing > 0 {
                    Decision::Shortfall {
                        organisation: name,
                        level,
                        missing,
                    }
                } else {
                    Decision::ShortfallEnded {
                        organisation: name,
                        level,
                    }
                });
            }
            organisation.reported = organisation.missing;
        }
    }
}
