//! Applies external events to the planner: submitted and cancelled jobs, lists of workers, and answers to lease
//! renewals.

use std::collections::HashSet;

use crate::crashes::WorkerLoss;
use crate::group::{Phase, TaskKey};
use crate::job::{Job, JobState};
use crate::orders::Order;
use crate::planner::Planner;
use crate::record::StoredJob;
use crate::spec::Resources;
use crate::task::{JobId, TaskName};
use crate::worker::{ActiveRun, RenewalReport, Worker, WorkerKey, WorkerList};

/// An unlisted worker that runs nothing is forgotten after this time.
const FORGET_UNLISTED_MS: u64 = 5_000;

impl Planner {
    /// Adds an accepted job; `order` rises with the order of acceptance.
    pub fn add_job(&mut self, stored: StoredJob, order: u64, now_ms: u64) {
        let id = stored.id;
        if self.knows_job(id, now_ms) {
            return;
        }
        let key = self.jobs.insert(Job::new(stored, order, now_ms));
        self.by_job.insert(id, key);
        self.changed = true;
    }

    /// Returns whether a job is held, or was held and has ended.
    pub fn knows_job(&mut self, id: JobId, now_ms: u64) -> bool {
        self.by_job.contains_key(&id) || self.was_removed(id, now_ms)
    }

    /// Cancels a job on request of its caller.
    pub fn cancel_job(&mut self, id: JobId, now_ms: u64) {
        if let Some(&key) = self.by_job.get(&id) {
            self.end_job(key, JobState::Cancelled, now_ms);
        }
    }

    /// Applies the platform's current list of workers. Returns the workers whose leases have to be renewed from now on.
    pub fn list_workers(&mut self, list: WorkerList, now_ms: u64) -> Vec<WorkerKey> {
        let mut named = HashSet::new();
        for entry in list.entries {
            let known = self.by_id.get(&entry.id).copied();
            let same =
                known.filter(|key| self.workers[*key].entry.born_unix_ms == entry.born_unix_ms);
            if let (Some(before), None) = (known, same) {
                let why = format!("the list names born {} under its id", entry.born_unix_ms);
                self.remove_incarnation(before, &why, now_ms);
            }
            let key = same.unwrap_or_else(|| self.add_worker(entry.clone(), now_ms));
            self.refresh_worker(key, entry, now_ms);
            named.insert(key);
        }
        self.update_unlisted(&named, now_ms);
        self.take_unpolled()
    }

    /// Returns the workers whose leases have to be renewed from now on: listed ones, and unlisted ones that an earlier
    /// planner used and that may still be alive.
    pub fn take_unpolled(&mut self) -> Vec<WorkerKey> {
        let mut added = Vec::new();
        for (key, worker) in &mut self.workers {
            if !worker.polled && !worker.entry.address.is_empty() {
                worker.polled = true;
                added.push(key);
            }
        }
        added
    }

    /// Adds a new incarnation of a worker; earlier incarnations at the same address are over.
    pub(crate) fn add_worker(&mut self, entry: crate::WorkerEntry, now_ms: u64) -> WorkerKey {
        let before: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, w)| {
                !entry.address.is_empty()
                    && w.entry.address == entry.address
                    && w.entry.born_unix_ms < entry.born_unix_ms
            })
            .map(|(key, _)| key)
            .collect();
        for key in before {
            let why = format!(
                "the list names worker {}, born {}, at its address",
                entry.id, entry.born_unix_ms
            );
            self.remove_incarnation(key, &why, now_ms);
        }
        let id = entry.id.clone();
        let rack = self.racks.key(&entry.rack);
        let key = self
            .workers
            .insert(Worker::new(entry, rack, now_ms, self.inherited_expiry_ms));
        self.by_id.insert(id, key);
        key
    }

    fn refresh_worker(&mut self, key: WorkerKey, entry: crate::WorkerEntry, now_ms: u64) {
        let worker = &mut self.workers[key];
        // The entry may be older than this read.
        let leaves_at_ms = entry.remaining_ms.map(|remaining_ms| now_ms + remaining_ms);
        worker.leaves_at_ms = match (entry.leaving, worker.leaves_at_ms, leaves_at_ms) {
            (false, ..) => None,
            (true, Some(before), Some(now)) => Some(before.min(now)),
            (true, before, now) => before.or(now),
        };
        let before = worker.entry.capacity;
        let after = entry.capacity;
        if worker.entry.rack != entry.rack {
            worker.rack = self.racks.key(&entry.rack);
        }
        if !worker.listed || worker.entry.leaving != entry.leaving {
            self.changed = true;
            let why = format!("worker {} listed, leaving: {}", entry.id, entry.leaving);
            let leaves = entry.leaving && !worker.entry.leaving;
            worker.listed = true;
            worker.entry = entry;
            self.record_decision(None, "worker state", why);
            if leaves {
                self.persist_leaving(key);
            }
        } else {
            worker.entry = entry;
        }
        if before != after {
            self.changed = true;
            let why = format!(
                "worker {}: {after:?}, before {before:?}",
                self.workers[key].entry.id
            );
            self.record_decision(None, "worker capacity", why);
            self.withdraw_unsent_starts(key, now_ms);
        }
    }

    /// Marks the jobs on a leaving worker for storing, so that their records say that it leaves. A later planner that
    /// finds the worker gone then knows that it has left.
    fn persist_leaving(&mut self, key: WorkerKey) {
        let jobs: HashSet<_> = self.workers[key]
            .tasks
            .keys()
            .map(|t| t.group.job)
            .collect();
        for job in jobs {
            self.mark_dirty(job);
        }
    }

    /// Marks the workers that the newest list no longer names, and removes those that have left or are idle.
    fn update_unlisted(&mut self, named: &HashSet<WorkerKey>, now_ms: u64) {
        let missing: Vec<WorkerKey> = self
            .workers
            .keys()
            .filter(|key| !named.contains(key))
            .collect();
        for key in missing {
            let worker = &mut self.workers[key];
            if worker.listed {
                worker.listed = false;
                worker.unlisted_since_ms = now_ms;
                let why = format!("worker {} is no longer listed", worker.entry.id);
                self.record_decision(None, "worker unlisted", why);
                continue;
            }
            // A worker that announced that it leaves, is no longer listed and refuses calls has left.
            let left = worker.entry.leaving && worker.refused;
            let idle =
                worker.tasks.is_empty() && now_ms > worker.unlisted_since_ms + FORGET_UNLISTED_MS;
            if left || idle {
                let why = "it is no longer listed and has left or is idle";
                self.remove_worker(key, why, None, now_ms);
            }
        }
    }

    /// Removes an incarnation of a worker that another one has replaced: nothing of it runs any more.
    pub fn remove_incarnation(&mut self, key: WorkerKey, why: &str, now_ms: u64) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let loss = match worker.entry.leaving || worker.draining {
            false => Some(WorkerLoss::Crashed),
            true => worker.fell_silent_early().then_some(WorkerLoss::Early),
        };
        self.remove_worker(key, why, loss, now_ms);
    }

    /// Removes a worker on which nothing runs any more; no `loss` if it has left as announced.
    fn remove_worker(&mut self, key: WorkerKey, why: &str, loss: Option<WorkerLoss>, now_ms: u64) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let tasks: Vec<TaskKey> = worker.tasks.keys().copied().collect();
        let gone = format!(
            "{}: {why}; {} tasks were assigned to it",
            worker.describe(now_ms),
            tasks.len()
        );
        self.record_decision(None, "worker gone", gone);
        if let Some(loss) = loss {
            self.count_crashes(&tasks, key, loss);
        }
        for task in tasks {
            self.lose_task(task, why, now_ms);
        }
        if let Some(worker) = self.workers.remove(key)
            && self.by_id.get(&worker.entry.id) == Some(&key)
        {
            self.by_id.remove(&worker.entry.id);
        }
        self.changed = true;
    }

    /// Returns whether an incarnation of a worker is still known.
    pub fn has_worker(&self, key: WorkerKey) -> bool {
        self.workers.contains_key(key)
    }

    /// Returns the listed properties of a worker.
    pub fn entry(&self, key: WorkerKey) -> Option<&crate::WorkerEntry> {
        self.workers.get(key).map(|w| &w.entry)
    }

    /// Returns the end of the lease to request, on the worker's clock; none while that clock is not known.
    ///
    /// Counted from the worker's last answer, so that calls that may never arrive don't extend the lease of an
    /// unresponsive worker.
    pub fn grant_lease(&mut self, key: WorkerKey) -> Option<u64> {
        let lease_ms = self.limits.lease_ms;
        let worker = self.workers.get_mut(key)?;
        let (clock_ms, _) = worker.clock?;
        let end = clock_ms + lease_ms;
        worker.lease_end_clock_ms = worker.lease_end_clock_ms.max(end);
        Some(end)
    }

    /// Returns the highest number of an ended run that can be confirmed to the worker.
    pub fn confirmed_ends(&self, key: WorkerKey) -> u64 {
        self.workers.get(key).map_or(0, |w| w.ends_stored)
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

    /// Applies a worker's answer to a lease renewal.
    pub fn apply_report(&mut self, key: WorkerKey, report: &RenewalReport) {
        let now_ms = report.received_ms;
        let lease_ms = self.limits.lease_ms;
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if let Some(born_unix_ms) = report.born_unix_ms
            && born_unix_ms != worker.entry.born_unix_ms
        {
            let why = format!("an incarnation born {born_unix_ms} answered a renewal");
            return self.remove_incarnation(key, &why, now_ms);
        }
        let first = !worker.fenced;
        if first {
            // An earlier planner may have granted a lease as long as this one would.
            worker.lease_end_clock_ms = worker
                .lease_end_clock_ms
                .max(report.worker_clock_ms + lease_ms);
        }
        if !worker.fenced
            || worker.unresponsive
            || worker.answered_ms + self.limits.unresponsive_ms < now_ms
        {
            self.changed = true;
        }
        worker.fenced = true;
        worker.unresponsive = false;
        worker.refused = false;
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
        self.reconcile_running(key, report, first);
        self.set_pace(key, now_ms);
    }

    /// Reconciles the runs that a worker lists with those that are assigned to it.
    fn reconcile_running(&mut self, key: WorkerKey, report: &RenewalReport, first: bool) {
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
                }
                None => {
                    orphaned_runs.insert((active.task, active.run));
                }
            }
        }
        self.stop_orphaned_runs(key, &orphaned_runs);
        let here: Vec<TaskKey> = self
            .workers
            .get(key)
            .map_or_else(Vec::new, |w| w.tasks.keys().copied().collect());
        for task in here.into_iter().filter(|task| !listed.contains(task)) {
            let over = match self.task(task).map(|t| t.phase) {
                Some(Phase::Inherited(_)) => first,
                Some(Phase::Running { confirmed_ms, .. }) => report.sent_ms > confirmed_ms,
                Some(Phase::Stopping {
                    confirmed_ms: Some(confirmed_ms),
                    ..
                }) => report.sent_ms > confirmed_ms,
                Some(Phase::Ending { since_ms, .. }) => report.sent_ms > since_ms,
                _ => false,
            };
            if over {
                self.lose_task(task, "its worker does not list it", now_ms);
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
        if percent > task.percent {
            task.percent = percent;
            task.progressed_ms = now_ms;
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
        self.clear_suspicion(key, now_ms);
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

    /// Records a lease renewal without a usable answer; `refused` if the call could not be delivered.
    pub fn record_unanswered_renewal(&mut self, key: WorkerKey, refused: bool) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.unresponsive = true;
            worker.refused = refused;
        }
    }

    /// Records that a worker has received a call of a later planner, which supersedes this one.
    pub fn record_later_term(&mut self) {
        self.superseded = true;
    }

    /// Returns whether a task is assigned to a worker and no order was sent yet.
    fn is_unsent(&self, key: TaskKey) -> bool {
        matches!(self.task(key).map(|t| t.phase), Some(Phase::Assigned(_)))
    }

    /// Treats the tasks on workers whose leases must have expired as lost; assignments that were not sent yet stay.
    pub(crate) fn expire_leases(&mut self, now_ms: u64) {
        let expired: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.tasks.is_empty() && now_ms >= w.lease_expiry_ms())
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            let worker = &self.workers[key];
            let tasks: Vec<TaskKey> = worker
                .tasks
                .keys()
                .copied()
                .filter(|t| !self.is_unsent(*t))
                .collect();
            if tasks.is_empty() {
                continue;
            }
            let why = worker.describe(now_ms);
            self.record_decision(None, "lease ended", why);
            self.count_crashes(&tasks, key, WorkerLoss::Silent);
            for task in tasks {
                self.lose_task(task, "the lease of its worker has ended", now_ms);
            }
        }
    }
}
