//! Decides which workers get no new work after failures, and which starts are kept for workers that are known to work.
//!
//! Load: a sixth of the workers of a service fail all or a part of what they start, for some seconds. A gang that needs
//! several workers then fails again and again, until its attempts are used up. While the ends of a service show such a
//! burst, one failure takes a worker out, and what has used attempts waits for a proven worker as long as that is
//! bounded. Otherwise a worker is taken out after failures of several jobs in a row.
//!
//! In: ends of runs and progress, with their times. Out: a [`Verdict`] for each failure, a [`Choice`] for each start.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::task::JobId;
use crate::worker::WorkerKey;

/// Consecutive failures, of different jobs, after which a worker is quarantined outside a burst.
const QUARANTINE_FAILURES: usize = 2;

/// Shortest disruption of workers that the platform lists.
const SHORTEST_DISRUPTION_MS: u64 = 6_000;

/// Length of the first quarantine: half of the shortest disruption, so that a worker that was healthy loses less.
const INITIAL_QUARANTINE_MS: u64 = SHORTEST_DISRUPTION_MS / 2;

/// Upper bound of the quarantine, which doubles each time until a task succeeds.
const MAX_QUARANTINE_MS: u64 = 24_000;

/// Time over which the share of failed ends is measured: urgent work that takes two seconds can lose one second and still
/// be on time.
const WINDOW_MS: u64 = 1_000;

/// How long ends are kept, to tell the failures of a job from those of a worker.
const KEEP_MS: u64 = SHORTEST_DISRUPTION_MS / 2;

/// Share of the ends that failed in a burst. Callers state that up to 5 of 100 of their runs fail by themselves; this is
/// three times as many.
const BURST_FAILED_PERCENT: usize = 15;

/// Workers that fail, and jobs that fail, in a burst. Fewer than this are one job, or one worker, beside chance.
const BURST_MIN_FAILING: usize = 4;

/// Workers that had worked and have failed nothing else, on which a job fails that is itself at fault. One may be the first
/// failure of a worker that fails a part of what it starts.
const JOB_AT_FAULT_WORKERS: usize = 2;

/// Ends of a service that are kept at most: some times what hundreds of workers end in the window.
const MAX_ENDS: usize = 4_096;

/// Recent failures and the quarantine of a worker.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Jobs whose tasks failed on the worker since the last successful run.
    failed: Vec<JobId>,
    /// When a run last failed on the worker.
    failed_ms: u64,
    /// When the latest run began that has worked on the worker.
    proven_ms: u64,
    /// The worker gets no work before this time.
    quarantine_until_ms: u64,
    /// Length of the last quarantine; 0 after a successful run.
    quarantine_ms: u64,
    /// Whether its runs stood still and none has worked since.
    stood_still: bool,
    /// Whether no run that began after the last quarantine has worked yet.
    on_probation: bool,
}

impl Health {
    /// Records a run that succeeded. During a burst, one that began before the last failure says nothing.
    pub fn record_success(&mut self, began_ms: u64, burst: Option<Burst>) {
        self.record_work(began_ms);
        if burst.is_none() || began_ms > self.failed_ms {
            self.failed.clear();
            self.quarantine_ms = 0;
        }
    }

    /// Records that a run works.
    pub fn record_work(&mut self, began_ms: u64) {
        self.stood_still = false;
        self.proven_ms = self.proven_ms.max(began_ms);
        self.on_probation &= began_ms < self.quarantine_until_ms;
    }

    /// Records a failed run. Returns true if this starts a quarantine.
    pub fn record_failure(&mut self, job: JobId, verdict: Verdict, now_ms: u64) -> bool {
        self.failed_ms = now_ms;
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        let is_trusted = self.is_trusted(now_ms);
        if verdict != Verdict::Worker && self.failed.len() < QUARANTINE_FAILURES || !is_trusted {
            return false;
        }
        self.quarantine_for_failure(now_ms);
        true
    }

    /// Starts a quarantine after which the worker is on probation.
    pub fn quarantine_for_failure(&mut self, now_ms: u64) {
        self.on_probation = true;
        self.quarantine(now_ms);
    }

    /// Starts a quarantine that is twice as long as the previous one, up to the maximum.
    pub fn quarantine(&mut self, now_ms: u64) {
        self.quarantine_ms = match self.quarantine_ms {
            0 => INITIAL_QUARANTINE_MS,
            before => (before * 2).min(MAX_QUARANTINE_MS),
        };
        self.quarantine_until_ms = now_ms + self.quarantine_ms;
        self.failed.truncate(QUARANTINE_FAILURES - 1);
    }

    /// Records that the runs there stand still. Returns whether this was not known.
    pub fn record_still(&mut self) -> bool {
        !std::mem::replace(&mut self.stood_still, true)
    }

    /// Returns whether the worker is not in quarantine.
    pub fn is_trusted(&self, now_ms: u64) -> bool {
        now_ms >= self.quarantine_until_ms
    }

    /// Returns whether the worker gets one task at a time: it was quarantined for failures, and nothing has worked since.
    pub fn is_on_probation(&self) -> bool {
        self.on_probation
    }

    /// Returns whether a run failed on the worker since the last successful one, or its runs stand still: it is chosen last.
    pub fn has_recent_failure(&self) -> bool {
        !self.failed.is_empty() || self.stood_still
    }

    /// Returns whether a run that began during a burst has worked, and none has failed after it began.
    pub fn is_proven(&self, burst: Burst) -> bool {
        self.proven_ms >= burst.since_ms && self.proven_ms > self.failed_ms
    }
}

/// Many workers of a service fail at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Burst {
    /// When the first of them failed.
    pub since_ms: u64,
    /// When it counts as over.
    until_ms: u64,
}

/// What a failure shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Nothing yet: failures are as rare as usual.
    Usual,
    /// The worker is at fault: many fail, and nothing speaks for this one.
    Worker,
    /// The job is at fault: it has failed elsewhere, and the worker has lately worked.
    Job,
}

/// What a group has tried so far.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tried {
    pub job: JobId,
    /// Whether its tasks run only together, so that one failing worker costs the attempt of all.
    pub is_gang: bool,
    /// The most failed runs of a task that waits, or those of the gang.
    pub failed: u32,
    /// Number of failed runs that end the job.
    pub attempts: u32,
    /// How long it has waited for this start.
    pub waited_ms: u64,
    /// The latency goal of its caller.
    pub goal_ms: u64,
}

/// On which workers a group may start, as far as failures decide it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    /// All that are not quarantined: failures are rare, or the group has not failed.
    Usual,
    /// All: the job fails on workers on which others succeed, so that it may use up its attempts.
    JobAtFault,
    /// Proven ones: the gang has failed before, and has waited for less than its caller's latency goal.
    ProvenForGang(Burst),
    /// Proven ones: this is the last attempt, and an end as failed is worth less than a delay.
    ProvenForLastAttempt(Burst),
    /// All: it has waited for a proven one for as long as that is bounded.
    Waited,
}

impl Choice {
    /// Returns the burst during which only proven workers are allowed.
    pub fn proven_during(self) -> Option<Burst> {
        match self {
            Choice::ProvenForGang(burst) | Choice::ProvenForLastAttempt(burst) => Some(burst),
            Choice::Usual | Choice::JobAtFault | Choice::Waited => None,
        }
    }
}

/// An end of a run.
#[derive(Debug, Clone, Copy)]
struct End {
    at_ms: u64,
    /// The worker and the job, if the run failed.
    failed: Option<(WorkerKey, JobId)>,
}

/// The latest ends of the runs of a service.
#[derive(Debug, Default)]
struct Ends {
    ends: VecDeque<End>,
    burst: Option<Burst>,
    /// Failures of jobs on workers that had worked during the burst, and when they were seen.
    on_proven: Vec<(JobId, WorkerKey, u64)>,
}

impl Ends {
    fn push(&mut self, end: End) {
        while let Some(first) = self.ends.front()
            && (first.at_ms + KEEP_MS < end.at_ms || self.ends.len() >= MAX_ENDS)
        {
            self.ends.pop_front();
        }
        self.ends.push_back(end);
    }

    fn failures(&self) -> impl Iterator<Item = (u64, WorkerKey, JobId)> {
        self.ends
            .iter()
            .filter_map(|end| end.failed.map(|(worker, job)| (end.at_ms, worker, job)))
    }

    /// Returns when the first failure of a burst was, if the ends of the window show one.
    fn find_burst(&self, now_ms: u64) -> Option<u64> {
        let ends = self
            .ends
            .iter()
            .filter(|end| end.at_ms + WINDOW_MS > now_ms);
        let mut all = 0;
        let mut failures = Vec::new();
        for end in ends {
            all += 1;
            failures.extend(end.failed.map(|(worker, job)| (end.at_ms, worker, job)));
        }
        if failures.len() * 100 < BURST_FAILED_PERCENT * all {
            return None;
        }
        let workers: HashSet<WorkerKey> = failures.iter().map(|(_, worker, _)| *worker).collect();
        let jobs: HashSet<JobId> = failures
            .iter()
            .map(|(_, _, job)| *job)
            .filter(|job| !self.is_job_at_fault(*job))
            .collect();
        let is_burst = workers.len() >= BURST_MIN_FAILING && jobs.len() >= BURST_MIN_FAILING;
        let (first_ms, _, _) = failures.first().filter(|_| is_burst)?;
        Some(*first_ms)
    }

    /// Returns whether a job has failed on several workers that had worked, and that have failed no other job.
    fn is_job_at_fault(&self, job: JobId) -> bool {
        let sound: HashSet<WorkerKey> = self
            .on_proven
            .iter()
            .filter(|(known, _, _)| *known == job)
            .map(|(_, worker, _)| *worker)
            .filter(|worker| !self.has_failed_another(*worker, job))
            .collect();
        sound.len() >= JOB_AT_FAULT_WORKERS
    }

    fn has_failed_another(&self, worker: WorkerKey, job: JobId) -> bool {
        self.failures()
            .any(|(_, known, other)| known == worker && other != job)
    }

    fn burst(&self, now_ms: u64) -> Option<Burst> {
        self.burst.filter(|burst| now_ms < burst.until_ms)
    }
}

/// The latest failures of all services.
#[derive(Debug, Default)]
pub(crate) struct Failures {
    services: HashMap<String, Ends>,
}

impl Failures {
    /// Records a run that succeeded.
    pub fn record_done(&mut self, service: &str, now_ms: u64) {
        let end = End {
            at_ms: now_ms,
            failed: None,
        };
        match self.services.get_mut(service) {
            Some(ends) => ends.push(end),
            None => self
                .services
                .entry(service.to_string())
                .or_default()
                .push(end),
        }
    }

    /// Records a run that failed. Returns what that shows, and the workers that have failed before in a burst that was
    /// recognised with this failure. `is_proven` tells whether a run that began during the burst has worked on the worker.
    pub fn record_failed(
        &mut self,
        service: &str,
        (worker, job): (WorkerKey, JobId),
        is_proven: bool,
        now_ms: u64,
    ) -> (Verdict, Vec<WorkerKey>) {
        let ends = self.services.entry(service.to_string()).or_default();
        ends.push(End {
            at_ms: now_ms,
            failed: Some((worker, job)),
        });
        ends.on_proven
            .retain(|(_, _, at_ms)| at_ms + MAX_QUARANTINE_MS > now_ms);
        let before = ends.burst(now_ms);
        if let Some(first_ms) = ends.find_burst(now_ms) {
            ends.burst = Some(Burst {
                since_ms: before.map_or(first_ms, |burst| burst.since_ms),
                until_ms: now_ms + SHORTEST_DISRUPTION_MS,
            });
        }
        if ends.burst(now_ms).is_none() {
            return (Verdict::Usual, Vec::new());
        }
        if is_proven && ends.on_proven.len() < MAX_ENDS {
            ends.on_proven.push((job, worker, now_ms));
        }
        if ends.is_job_at_fault(job) {
            return (Verdict::Job, Vec::new());
        }
        let began = ends.burst.filter(|_| before.is_none());
        let earlier = began.map_or_else(Vec::new, |burst| {
            ends.failures()
                .filter(|(at_ms, _, _)| *at_ms >= burst.since_ms)
                .map(|(_, worker, _)| worker)
                .collect()
        });
        (Verdict::Worker, earlier)
    }

    /// Returns the burst of a service, if there is one.
    pub fn burst(&self, service: &str, now_ms: u64) -> Option<Burst> {
        self.services.get(service)?.burst(now_ms)
    }

    /// Decides on which workers a group may start.
    pub fn choose(&self, service: &str, tried: Tried, now_ms: u64) -> Choice {
        let Some(ends) = self.services.get(service) else {
            return Choice::Usual;
        };
        let Some(burst) = ends.burst(now_ms).filter(|_| tried.failed > 0) else {
            return Choice::Usual;
        };
        if ends.is_job_at_fault(tried.job) {
            return Choice::JobAtFault;
        }
        let is_last = tried.failed + 1 >= tried.attempts;
        if is_last && tried.waited_ms < SHORTEST_DISRUPTION_MS {
            return Choice::ProvenForLastAttempt(burst);
        }
        if tried.is_gang && tried.waited_ms < tried.goal_ms.min(SHORTEST_DISRUPTION_MS) {
            return Choice::ProvenForGang(burst);
        }
        match is_last || tried.is_gang {
            true => Choice::Waited,
            false => Choice::Usual,
        }
    }
}
