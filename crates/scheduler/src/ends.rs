//! Handles the end of runs and jobs: ended, lost and cancelled runs, and the teardown of gangs.

use crate::group::{GroupKey, JobKey, Phase, Task, TaskKey};
use crate::job::JobState;
use crate::planner::Planner;
use crate::worker::{EndedRun, RunOutcome, WorkerKey};

/// How long the other members of a gang that lost one may take to end on their own before they are stopped.
const GANG_EXIT_GRACE_MS: u64 = 400;

/// Delay before a task is started again after a failed run, so that a lasting failure does not use up its attempts at
/// once.
const FAILURE_RETRY_DELAY_MS: u64 = 150;

impl Planner {
    /// Handles an ended run that a worker lists.
    pub(crate) fn end_run(&mut self, worker: WorkerKey, ended: &EndedRun, now_ms: u64) {
        let Some(key) = ended.task.and_then(|task| self.find_task(task)) else {
            return;
        };
        let Some(task) = self.task(key) else { return };
        let (phase, run) = (task.phase, task.run);
        if matches!(phase, Phase::Done) {
            return;
        }
        let is_current = run == ended.run && phase.worker() == Some(worker);
        // The lease of the worker expired, but the run may have been done before that.
        let is_done_late =
            !is_current && run >= ended.run && ended.outcome == RunOutcome::Done && !task.is_done();
        if !is_current && !is_done_late {
            return;
        }
        self.record_start(key.group.job);
        let id = self.jobs[key.group.job].stored.id;
        if ended.outcome != RunOutcome::Done || is_done_late {
            let discarded = match ended.outcome {
                RunOutcome::Done => 0,
                outcome => self.count_discarded_work(key, outcome, now_ms),
            };
            self.record_decision(
                Some(id),
                "ended",
                format!(
                    "task {} run {} how {:?} end {}, {discarded} core-ms discarded",
                    ended.task.map_or_else(String::new, |t| t.to_string()),
                    ended.run,
                    ended.outcome,
                    ended.number
                ),
            );
        }
        if ended.outcome == RunOutcome::Done {
            if is_current {
                self.learn_from_end(key, worker, now_ms);
            }
            self.note_unstored_done(worker, ended);
            self.record_success(key, worker, now_ms);
        }
        match ended.outcome {
            RunOutcome::Done if is_done_late => self.finish_late(key, now_ms),
            RunOutcome::Done => self.finish_task(key, now_ms),
            _ => self.fail_task(key, worker, ended, now_ms),
        }
    }

    /// Returns the task with this name, if its job is held.
    pub(crate) fn find_task(&self, task: crate::TaskName) -> Option<TaskKey> {
        let job = *self.by_job.get(&task.job)?;
        let group = self.jobs[job].find_group(task.occurrence, task.step)?;
        let known = (task.index as usize) < self.jobs[job].groups[group].tasks.len();
        known.then_some(TaskKey {
            group: GroupKey {
                job,
                group: group as u32,
            },
            index: task.index,
        })
    }

    /// Marks a task as done; for a gang member, the whole gang. A task that runs until its job is cancelled waits for
    /// its next start instead. A task that runs until its job is cancelled waits for its next start instead.
    pub(crate) fn finish_task(&mut self, key: TaskKey, now_ms: u64) {
        self.counts.done += 1;
        let lasting = self.jobs[key.group.job]
            .step_of(key.group.group as usize)
            .lasting;
        if lasting {
            return self.release_task(key, Phase::Waiting, now_ms);
        }
        self.release_task(key, Phase::Done, now_ms);
        if self.is_gang(key.group) {
            self.finish_gang(key.group, now_ms);
        }
        self.settle_job(key.group.job);
    }

    /// Marks a task, or its gang, as done by an earlier run than the current one, which is stopped. A task that runs until
    /// its job is cancelled goes on.
    pub(crate) fn finish_late(&mut self, key: TaskKey, now_ms: u64) {
        let job = &self.jobs[key.group.job];
        if job.state.is_final() || job.step_of(key.group.group as usize).lasting {
            return;
        }
        self.counts.done += 1;
        let gang = self.is_gang(key.group);
        let tasks = match gang {
            true => self.list_tasks(key.group),
            false => vec![key],
        };
        for task in tasks {
            if let Some(task) = self.task_mut(task) {
                task.is_done_before = true;
            }
            match self.task(task).map(|task| task.phase) {
                Some(Phase::Waiting) => self.release_task(task, Phase::Done, now_ms),
                _ => self.stop_task(task, now_ms),
            }
        }
        if gang {
            self.jobs[key.group.job].groups[key.group.group as usize].teardown_since_ms = None;
        }
        self.settle_job(key.group.job);
    }

    pub(crate) fn is_gang(&self, group: GroupKey) -> bool {
        self.jobs
            .get(group.job)
            .is_some_and(|job| job.step_of(group.group as usize).gang)
    }

    /// Marks the other members of a gang as done after the success of one. A member with a run is done once its own end
    /// is listed.
    fn finish_gang(&mut self, group: GroupKey, now_ms: u64) {
        self.jobs[group.job].groups[group.group as usize].teardown_since_ms = None;
        for task in self.list_tasks(group) {
            let Some(phase) = self.task(task).map(|t| t.phase) else {
                continue;
            };
            match phase {
                Phase::Done | Phase::Ending { .. } => {}
                Phase::Waiting | Phase::Assigned(_) => self.release_task(task, Phase::Done, now_ms),
                _ => {
                    let worker = phase.worker();
                    if let (Some(worker), Some(task)) = (worker, self.task_mut(task)) {
                        task.phase = Phase::Ending {
                            worker,
                            since_ms: now_ms,
                        };
                    }
                }
            }
        }
    }

    /// Returns the keys of all tasks of a group.
    pub(crate) fn list_tasks(&self, group: GroupKey) -> Vec<TaskKey> {
        let count = self
            .jobs
            .get(group.job)
            .map_or(0, |job| job.groups[group.group as usize].tasks.len());
        (0..count as u32)
            .map(|index| TaskKey { group, index })
            .collect()
    }

    /// Handles a run that ended without success.
    fn fail_task(&mut self, key: TaskKey, worker: WorkerKey, ended: &EndedRun, now_ms: u64) {
        let (outcome, progress) = (ended.outcome, ended.progress.as_str());
        let gang = self.is_gang(key.group);
        if self.task(key).is_some_and(Task::is_done) {
            return self.release_task(key, Phase::Done, now_ms);
        }
        match outcome {
            RunOutcome::Failed => self.counts.failed += 1,
            RunOutcome::Broken => self.counts.broken += 1,
            RunOutcome::Alone => self.counts.alone += 1,
            RunOutcome::Lapsed => self.counts.lost += 1,
            _ => {}
        }
        let id = self.jobs[key.group.job].stored.id;
        if outcome == RunOutcome::Failed {
            self.record_failure(id, worker, now_ms);
        }
        if let Some(task) = self.task_mut(key) {
            if !progress.is_empty() {
                task.progress = progress.to_string();
            }
            if outcome == RunOutcome::Failed {
                task.avoid = Some(worker);
                task.not_before_ms = now_ms + FAILURE_RETRY_DELAY_MS;
                task.failed += u32::from(!gang);
            }
        }
        self.release_task(key, Phase::Waiting, now_ms);
        if gang {
            let group = &mut self.jobs[key.group.job].groups[key.group.group as usize];
            if outcome == RunOutcome::Failed {
                group.gang_failures.record(ended.run);
            }
            if !progress.is_empty() {
                group.progress = progress.to_string();
            }
            self.tear_down_gang(key.group, now_ms);
        }
        match self.jobs[key.group.job].is_exhausted(key.group.group as usize) {
            true => self.end_job(key.group.job, JobState::Failed, now_ms),
            false if outcome == RunOutcome::Failed => self.record_choice(key.group, now_ms),
            false => {}
        }
        self.settle_job(key.group.job);
    }

    /// Tears down a gang that lost a member: the other members have to end before it runs again.
    pub(crate) fn tear_down_gang(&mut self, group: GroupKey, now_ms: u64) {
        let group_state = &mut self.jobs[group.job].groups[group.group as usize];
        group_state.teardown_since_ms.get_or_insert(now_ms);
        for task in self.list_tasks(group) {
            if matches!(self.task(task).map(|t| t.phase), Some(Phase::Assigned(_))) {
                self.release_task(task, Phase::Waiting, now_ms);
            }
        }
        self.finish_teardown(group);
    }

    /// Makes a gang ready to run again once no member occupies capacity.
    pub(crate) fn finish_teardown(&mut self, group: GroupKey) {
        let group_state = &mut self.jobs[group.job].groups[group.group as usize];
        if group_state.teardown_since_ms.is_some() && !group_state.occupies_capacity() {
            group_state.teardown_since_ms = None;
            self.changed = true;
        }
    }

    /// Stops members of gangs in teardown that have not ended on their own in time.
    pub(crate) fn stop_remaining_members(&mut self, now_ms: u64) {
        let groups: Vec<GroupKey> = self
            .jobs
            .iter()
            .flat_map(|(job, held)| {
                held.groups
                    .iter()
                    .enumerate()
                    .map(move |(g, group)| (job, g, group))
            })
            .filter(|(_, _, group)| {
                group
                    .teardown_since_ms
                    .is_some_and(|since| now_ms >= since + GANG_EXIT_GRACE_MS)
            })
            .map(|(job, group, _)| GroupKey {
                job,
                group: group as u32,
            })
            .collect();
        for group in groups {
            for task in self.list_tasks(group) {
                self.stop_task(task, now_ms);
            }
            self.finish_teardown(group);
        }
    }

    /// Stops a task. A start that was not sent yet is withdrawn at once; otherwise the capacity is free once the worker
    /// reports that the run ended.
    pub(crate) fn stop_task(&mut self, key: TaskKey, now_ms: u64) {
        match self.task(key).map(|t| t.phase) {
            Some(Phase::Assigned(_)) => self.release_task(key, Phase::Waiting, now_ms),
            Some(Phase::Starting { worker, .. }) => {
                // The start is under way, and its outcome no longer counts.
                if let Some(task) = self.task_mut(key) {
                    task.start_in_doubt = true;
                }
                self.push_stop(key, worker, false, now_ms);
            }
            Some(Phase::Running { worker, .. } | Phase::Inherited(worker)) => {
                self.push_stop(key, worker, false, now_ms);
            }
            _ => {}
        }
    }

    /// Stops a task; if it belongs to a gang, the whole gang. Returns the number of tasks.
    pub(crate) fn stop_with_gang(&mut self, key: TaskKey, now_ms: u64) -> u64 {
        let gang = self.is_gang(key.group);
        let tasks = match gang {
            true => self.list_tasks(key.group),
            false => vec![key],
        };
        for task in &tasks {
            self.stop_task(*task, now_ms);
        }
        if gang {
            self.tear_down_gang(key.group, now_ms);
        }
        tasks.len() as u64
    }

    /// Handles a run that is over although no worker reported its outcome; `evidence` says what shows that it is over.
    pub(crate) fn lose_task(&mut self, key: TaskKey, evidence: &str, now_ms: u64) {
        let Some(phase) = self.task(key).map(|task| task.phase) else {
            return;
        };
        if self.task(key).is_some_and(Task::is_done) {
            return self.release_task(key, Phase::Done, now_ms);
        }
        self.record_lost_run(key, evidence, now_ms);
        if !matches!(phase, Phase::Stopping { .. }) {
            self.counts.lost += 1;
        }
        self.count_discarded_work(key, RunOutcome::Lapsed, now_ms);
        self.release_task(key, Phase::Waiting, now_ms);
        if self.is_gang(key.group) {
            self.tear_down_gang(key.group, now_ms);
        }
        self.give_up_if_crashing(key.group, now_ms);
        self.settle_job(key.group.job);
    }

    /// Logs a run that is lost, with its worker, its age and the evidence.
    fn record_lost_run(&mut self, key: TaskKey, evidence: &str, now_ms: u64) {
        let (Some(job), Some(task)) = (self.jobs.get(key.group.job), self.task(key)) else {
            return;
        };
        let worker = task
            .phase
            .worker()
            .and_then(|worker| self.workers.get(worker))
            .map_or_else(String::new, |worker| worker.describe(now_ms));
        let name = job.task_name(key.group.group as usize, key.index as usize);
        let why = format!(
            "task {name} run {} on {worker}, placed {} ms ago, confirmed: {}; {evidence}",
            task.run,
            now_ms.saturating_sub(task.placed_ms),
            task.started_ms >= task.placed_ms,
        );
        self.record_decision(Some(job.stored.id), "run lost", why);
    }

    /// Ends a job: stops all its tasks and releases its reservations.
    pub(crate) fn end_job(&mut self, key: JobKey, state: JobState, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        let id = job.stored.id;
        let timing = job.describe_timing();
        let groups = job.groups.len() as u32;
        for group in (0..groups).map(|group| GroupKey { job: key, group }) {
            self.release_reservation(group);
            for task in self.list_tasks(group) {
                self.stop_task(task, now_ms);
            }
        }
        self.mark_dirty(key);
        self.record_decision(Some(id), "job ended", format!("state {state:?}; {timing}"));
    }

    /// Marks a job as completed if all its tasks are done, and marks its stored record as outdated.
    pub(crate) fn settle_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if !job.state.is_final() && job.is_done() {
            job.state = JobState::Completed;
            let id = job.stored.id;
            let why = format!("all tasks are done; {}", job.describe_timing());
            let why = why + &self.describe_run_time(key);
            self.record_decision(Some(id), "job ended", why);
        }
        self.mark_dirty(key);
    }
}
