//! Applies external events to the planner: submitted and cancelled jobs, and answers to lease renewals.

use std::collections::HashSet;

use crate::group::{Phase, TaskKey};
use crate::job::{Job, JobState};
use crate::orders::Order;
use crate::planner::Planner;
use crate::policy::availability::Presence;
use crate::record::StoredJob;
use crate::spec::Resources;
use crate::task::{JobId, TaskName};
use crate::worker::{ActiveRun, LASTING_LEASE_MS, LEAVING_LEASE_MS, RenewalReport, WorkerKey};

/// A worker that answered this long ago, or earlier, may have restarted since.
const SHORTEST_RESTART_MS: u64 = 100;

/// The share that a worker reports of a task that lasts while it is at work.
const AT_WORK_PERCENT: u32 = 100;

impl Planner {
    /// Adds an accepted job; `order` rises with the order of acceptance.
    pub fn add_job(&mut self, stored: StoredJob, order: u64, now_ms: u64) {
        let id = stored.id;
        if self.knows_job(id, now_ms) {
            return;
        }
        let shares = &mut self.policy.shares;
        let account = shares.open_account(&stored.organisation, &stored.service);
        let job = Job::new(stored, account, order, now_ms);
        let is_scheduled = job.stored.request.timing.times > 0;
        let key = self.jobs.insert(job);
        self.by_job.insert(id, key);
        if !is_scheduled {
            self.build_due_groups(key, 0, now_ms);
        }
        self.changed = true;
    }

    /// Returns whether a job is held, or was held and has ended.
    pub fn knows_job(&mut self, id: JobId, now_ms: u64) -> bool {
        self.by_job.contains_key(&id) || self.was_removed(id, now_ms)
    }

    /// Cancels a job on request of its caller. One that is not known was cancelled before its submission was stored.
    pub fn cancel_job(&mut self, id: JobId, now_ms: u64) {
        match self.by_job.get(&id).copied() {
            Some(key) => self.end_job(key, JobState::Cancelled, now_ms),
            None if !self.was_removed(id, now_ms) => {
                self.unsubmitted.push(id);
                self.changed = true;
            }
            None => {}
        }
    }

    /// Returns the end of the lease to request now, on the worker's clock; none while that clock is not known or the last
    /// call got no answer.
    ///
    /// Counted from the worker's last answer, so that calls that may never arrive don't extend the lease of an
    /// unresponsive worker.
    pub fn grant_lease(&mut self, key: WorkerKey, now_ms: u64) -> Option<u64> {
        let lease_ms = match self.has_lasting_task(key) {
            true => self.limits.lease_ms.min(LASTING_LEASE_MS),
            false => self.limits.lease_ms,
        };
        let worker = self.workers.get_mut(key)?;
        // The next incarnation, whose clock is another one, may receive the call.
        if worker.unresponsive {
            return None;
        }
        worker.granted_ms = now_ms;
        let lease_ms = match worker.has_short_lease {
            true => lease_ms.min(LEAVING_LEASE_MS),
            false => lease_ms,
        };
        let (clock_ms, _) = worker.clock?;
        let end = clock_ms.saturating_add(lease_ms);
        worker.lease_end_clock_ms = worker.lease_end_clock_ms.max(end);
        Some(end)
    }

    /// Returns whether a worker has a task that lasts until its job is cancelled.
    fn has_lasting_task(&self, key: WorkerKey) -> bool {
        let tasks = self.workers.get(key).map(|worker| worker.tasks.keys());
        tasks.into_iter().flatten().any(|task| {
            let job = self.jobs.get(task.group.job);
            job.is_some_and(|job| job.step_of(task.group.group as usize).lasting)
        })
    }

    /// Returns whether a worker's lease is kept short, and may be renewed only under a valid lead.
    pub fn has_short_lease(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(|w| w.has_short_lease)
    }

    /// Returns the highest number of an ended run that can be confirmed to the worker now. None is confirmed as long as
    /// the next incarnation may answer, which would forget ends of its own.
    pub fn confirmed_ends(&self, key: WorkerKey, now_ms: u64) -> u64 {
        self.workers
            .get(key)
            .filter(|worker| !worker.may_have_restarted())
            .filter(|worker| now_ms <= worker.answered_ms + SHORTEST_RESTART_MS)
            .map_or(0, |worker| worker.ends_stored)
    }

    /// Returns whether ended runs are stored that cannot be confirmed before the worker has answered again.
    pub fn has_unconfirmable_ends(&self, key: WorkerKey, now_ms: u64) -> bool {
        self.workers
            .get(key)
            .is_some_and(|worker| self.confirmed_ends(key, now_ms) < worker.ends_stored)
    }

    /// Returns whether a worker has listed ended runs that are not in the store yet.
    pub fn has_unstored_ends(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_some_and(|w| w.ends_seen > w.ends_stored)
    }

    /// Returns whether anything runs on a worker, so that its lease has to be renewed.
    pub fn is_occupied(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_some_and(|w| !w.tasks.is_empty() || !w.orphaned_runs.is_empty())
    }

    /// Applies a worker's answer to a lease renewal that was sent to its own address.
    pub fn apply_report(&mut self, key: WorkerKey, report: &RenewalReport) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let address = worker.entry.address.clone();
        self.apply_report_from(key, &address, report);
    }

    /// Applies a worker's answer to a lease renewal that was sent to an address.
    pub fn apply_report_from(&mut self, key: WorkerKey, address: &str, report: &RenewalReport) {
        if self.is_outdated(key, report) {
            return;
        }
        let now_ms = report.received_ms;
        let lease_ms = self.limits.lease_ms;
        self.apply_incarnation(key, address, report);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if !worker.fenced {
            // An earlier planner may have granted a lease as long as this one would.
            worker.lease_end_clock_ms = worker
                .lease_end_clock_ms
                .max(report.worker_clock_ms.saturating_add(lease_ms));
        }
        if !worker.fenced
            || worker.unresponsive
            || worker.answered_ms + self.limits.unresponsive_ms < now_ms
        {
            self.changed = true;
        }
        worker.fenced = true;
        worker.unresponsive = false;
        worker.answered_ms = now_ms;
        worker.clock = Some((report.worker_clock_ms, now_ms));
        let seen = worker.ends_seen;
        if report.born_unix_ms.is_some() {
            self.retract_crash(key);
        }
        for ended in report.ended.iter().filter(|ended| ended.number > seen) {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.ends_seen = worker.ends_seen.max(ended.number);
            }
            self.changed = true;
            self.end_run(key, ended, now_ms);
        }
        self.reconcile_running(key, report);
        self.check_still_runs(key, now_ms);
        self.set_pace(key, now_ms);
        self.observe_neighbours(key, report);
    }

    /// Reconciles the runs that a worker lists with those that are assigned to it.
    fn reconcile_running(&mut self, key: WorkerKey, report: &RenewalReport) {
        let now_ms = report.received_ms;
        let mut listed = HashSet::new();
        let mut orphaned_runs = HashSet::new();
        for active in &report.running {
            let task = self.find_task(active.task);
            let here = task.filter(|t| {
                self.task(*t)
                    .is_some_and(|t| t.run == active.run && t.phase.worker() == Some(key))
            });
            match here {
                Some(task) => {
                    listed.insert(task);
                    self.update_progress(task, key, active, now_ms);
                    if let Some(task) = self.task_mut(task) {
                        task.growth.record(active.percent, report.worker_clock_ms);
                    }
                }
                None => {
                    orphaned_runs.insert((active.task, active.run));
                }
            }
        }
        self.stop_orphaned_runs(key, &orphaned_runs);
        if report.ends_complete {
            self.lose_unlisted_runs(key, report, &listed);
        }
    }

    /// Treats the runs that are assigned to a worker as lost if it lists them neither as running nor as ended.
    fn lose_unlisted_runs(
        &mut self,
        key: WorkerKey,
        report: &RenewalReport,
        listed: &HashSet<TaskKey>,
    ) {
        let here: Vec<TaskKey> = self
            .workers
            .get(key)
            .map_or_else(Vec::new, |w| w.tasks.keys().copied().collect());
        for task in here.into_iter().filter(|task| !listed.contains(task)) {
            let over = match self.task(task).map(|t| t.phase) {
                Some(Phase::Inherited(_)) => true,
                Some(Phase::Running { confirmed_ms, .. }) => report.sent_ms > confirmed_ms,
                Some(Phase::Stopping {
                    confirmed_ms: Some(confirmed_ms),
                    ..
                }) => report.sent_ms > confirmed_ms,
                Some(Phase::Ending { since_ms, .. }) => report.sent_ms > since_ms,
                _ => false,
            };
            if over {
                self.lose_task(task, "its worker does not list it", report.received_ms);
            }
        }
    }

    /// Updates the progress of a task from a worker's list of runs.
    fn update_progress(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        active: &ActiveRun,
        now_ms: u64,
    ) {
        let (progress, percent) = (active.progress.as_str(), active.percent);
        let gang = self.is_gang(key.group);
        let Some(task) = self.task_mut(key) else {
            return;
        };
        task.last_metric = active.metric;
        task.is_listed = true;
        let began_ms = task.began_ms();
        let grew = percent > task.percent;
        if grew {
            task.percent = percent;
            task.progressed_ms = now_ms;
            task.observed_from.get_or_insert((percent, now_ms));
        }
        let fresh = !progress.is_empty() && task.progress != progress;
        if fresh {
            task.progress = progress.to_string();
        }
        if matches!(task.phase, Phase::Starting { .. } | Phase::Inherited(_)) {
            task.phase = Phase::Running {
                worker,
                confirmed_ms: now_ms,
            };
            task.started_ms = now_ms;
        }
        if percent >= AT_WORK_PERCENT && matches!(task.phase, Phase::Running { .. }) {
            task.presence = Presence::at_work(now_ms);
        }
        self.record_start(key.group.job);
        if grew && let Some(worker) = self.workers.get_mut(worker) {
            worker.health.record_work(began_ms);
        }
        self.clear_suspicion(key, now_ms);
        self.learn_from_share(key, worker, percent, now_ms);
        if fresh && gang {
            self.jobs[key.group.job].groups[key.group.group as usize].progress =
                progress.to_string();
        }
    }

    /// Stops runs that are not assigned to the worker, and counts the capacity that they occupy.
    fn stop_orphaned_runs(&mut self, key: WorkerKey, orphaned_runs: &HashSet<(TaskName, u32)>) {
        let occupied: Vec<((TaskName, u32), Option<Resources>)> = orphaned_runs
            .iter()
            .map(|orphaned_run| {
                let task = self.find_task(orphaned_run.0);
                (*orphaned_run, task.map(|task| self.need(task.group)))
            })
            .collect();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let before = worker.orphaned_runs.len();
        worker.orphaned_runs = occupied.into_iter().collect();
        if before > 0 && worker.orphaned_runs.is_empty() {
            self.changed = true;
        }
        for (task, run) in orphaned_runs {
            self.orders.push(Order::Stop {
                worker: key,
                task_key: None,
                task: *task,
                run: *run,
                again: false,
            });
            self.record_decision(
                Some(task.job),
                "stray stopped",
                format!("task {task} run {run} is not assigned there"),
            );
        }
    }

    /// Records a call to a worker without a usable answer of its own.
    pub fn record_unanswered_renewal(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.unresponsive = true;
        }
    }

    /// Records that a worker has received a call of a later planner, which supersedes this one.
    pub fn record_later_term(&mut self) {
        self.superseded = true;
    }
}
