//! Tells the part that learns about interference what runs beside what, and asks it when work is placed.

use crate::fit::Candidate;
use crate::group::{GroupKey, Phase, TaskKey};
use crate::job::Job;
use crate::planner::Planner;
use crate::policy::interference::{KindName, Level, RunSample, WorkKind};
use crate::worker::{RenewalReport, Worker, WorkerKey};

/// Returns what names the kind of work of a group: its image or, where it names none, its queue.
fn kind_name(job: &Job, group: usize) -> KindName<'_> {
    match &job.step_of(group).image {
        Some(image) => KindName::Image(image),
        None => KindName::Queue(&job.stored.queue),
    }
}

impl Planner {
    /// Number of pairs of work that are known to slow each other down.
    pub fn known_interference(&self) -> usize {
        self.policy.interference.known_pairs()
    }

    /// Takes in which runs a worker has just listed and how they do.
    pub(crate) fn observe_neighbours(&mut self, key: WorkerKey, report: &RenewalReport) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let is_cold = report.received_ms < worker.cold_until_ms;
        let mut tasks: Vec<TaskKey> = worker.tasks.keys().copied().collect();
        tasks.sort_unstable();
        let mut samples = Vec::with_capacity(tasks.len());
        for task in tasks {
            samples.extend(self.sample(task, is_cold));
        }
        let (at_ms, now_ms) = (report.worker_clock_ms, report.received_ms);
        self.policy
            .interference
            .observe(key, &samples, at_ms, now_ms);
    }

    /// Logs which work has become known to slow other work down, and which no longer does.
    pub(crate) fn report_interference(&mut self, now_ms: u64) {
        self.policy.interference.age(now_ms);
        for verdict in self.policy.interference.take_verdicts() {
            let what = match verdict.is_known {
                true => "interference known",
                false => "interference dropped",
            };
            self.record_decision(None, what, verdict.why);
        }
    }

    /// Returns what a run's last report says; none if it does not run. Until its share has grown, the run starts up, and on
    /// a cold machine it is slow for another reason.
    fn sample(&mut self, key: TaskKey, is_cold: bool) -> Option<RunSample> {
        let job = self.jobs.get(key.group.job)?;
        let group = key.group.group as usize;
        let kind = self.policy.interference.kind(kind_name(job, group))?;
        let task = self.task(key)?;
        if !matches!(task.phase, Phase::Running { .. }) {
            return None;
        }
        let step = job.step_of(group);
        let level = match (step.latency_target_ms, step.lasting) {
            _ if is_cold => Level::Unmeasured,
            (Some(_), _) if task.last_metric > 0 => Level::TailLatency(task.last_metric),
            (None, false) if task.observed_from.is_some() => Level::Progress(task.percent),
            _ => Level::Unmeasured,
        };
        Some(RunSample {
            task: key,
            run: task.run,
            kind,
            level,
            is_slowed: task.pace_percent < 100,
        })
    }

    /// Returns the kind of work of a group if it is known to disturb other work or to be disturbed.
    pub(crate) fn kind_if_disturbed(&self, group: GroupKey) -> Option<WorkKind> {
        let interference = &self.policy.interference;
        if interference.known_pairs() == 0 {
            return None;
        }
        let name = kind_name(&self.jobs[group.job], group.group as usize);
        let kind = interference.find_kind(name)?;
        interference.is_in_known_pair(kind).then_some(kind)
    }

    /// Returns by how many hundredths work of a kind and what runs on a worker slow each other down.
    pub(crate) fn disturbance_percent(&self, kind: WorkKind, worker: &Worker) -> u32 {
        let interference = &self.policy.interference;
        let mut kinds: Vec<WorkKind> = worker
            .tasks
            .keys()
            .filter_map(|task| {
                let job = self.jobs.get(task.group.job)?;
                interference.find_kind(kind_name(job, task.group.group as usize))
            })
            .collect();
        kinds.sort_unstable();
        kinds.dedup();
        interference.disturbance_percent(kind, kinds.into_iter())
    }
}

/// Returns the candidates as they are without what is known about interference; none if that changes nothing.
pub(crate) fn without_interference(candidates: &[Candidate]) -> Option<Vec<Candidate>> {
    let is_disturbed = candidates.iter().any(|c| c.disturbance_percent > 0);
    is_disturbed.then(|| {
        let mut candidates = candidates.to_vec();
        for candidate in &mut candidates {
            candidate.disturbance_percent = 0;
        }
        candidates
    })
}
