//! What the planner learns: jobs, cancels, listings, answers of workers.

use std::collections::HashSet;

use crate::group::{Phase, UnitKey};
use crate::job::{Job, JobState};
use crate::orders::Order;
use crate::planner::Planner;
use crate::record::StoredJob;
use crate::spec::Need;
use crate::task::{JobId, TaskName};
use crate::worker::{HoldReport, Listing, RunRow, Worker, WorkerKey};

/// How long a worker that no listing names and that runs nothing is kept in mind.
const FORGET_UNLISTED_MS: u64 = 5_000;

impl Planner {
    /// A job was accepted; `order` rises with the order of acceptance.
    pub fn add_job(&mut self, stored: StoredJob, order: u64, now_ms: u64) {
        let id = stored.id;
        if self.has_heard_of(id, now_ms) {
            return;
        }
        let key = self.jobs.insert(Job::new(stored, order, now_ms));
        self.by_job.insert(id, key);
        self.changed = true;
    }

    /// Whether a job is held, or was until it was over.
    pub fn has_heard_of(&mut self, id: JobId, now_ms: u64) -> bool {
        self.by_job.contains_key(&id) || self.was_let_go(id, now_ms)
    }

    /// A job's caller cancelled it.
    pub fn cancel_job(&mut self, id: JobId, now_ms: u64) {
        if let Some(&key) = self.by_job.get(&id) {
            self.end_job(key, JobState::Cancelled, now_ms);
        }
    }

    /// The workers that the platform lists now; returns those whose leases have to be renewed from now on.
    pub fn list_workers(&mut self, listing: Listing, now_ms: u64) -> Vec<WorkerKey> {
        let mut named = HashSet::new();
        for entry in listing.entries {
            let known = self.by_id.get(&entry.id).copied();
            let same =
                known.filter(|key| self.workers[*key].entry.born_unix_ms == entry.born_unix_ms);
            if let (Some(before), None) = (known, same) {
                self.drop_life(before, "a new life has the same id", now_ms);
            }
            let key = same.unwrap_or_else(|| self.add_worker(entry.clone(), now_ms));
            self.refresh_worker(key, entry);
            named.insert(key);
        }
        self.note_unlisted(&named, now_ms);
        self.take_unpolled()
    }

    /// Workers whose leases have to be renewed from now on: those that are listed, and those that an earlier planner
    /// used and that may live on where they were.
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

    /// Takes in a worker's new life; whatever lived at its address before is over.
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
            self.drop_life(key, "a new life has the same address", now_ms);
        }
        let id = entry.id.clone();
        let key = self
            .workers
            .insert(Worker::new(entry, now_ms, self.inherited_lapse_ms));
        self.by_id.insert(id, key);
        key
    }

    fn refresh_worker(&mut self, key: WorkerKey, entry: crate::WorkerEntry) {
        let worker = &mut self.workers[key];
        if !worker.listed || worker.entry.leaving != entry.leaving {
            self.changed = true;
            let why = format!("worker {} listed, leaving: {}", entry.id, entry.leaving);
            let leaves = entry.leaving && !worker.entry.leaving;
            worker.listed = true;
            worker.entry = entry;
            self.decide(None, "worker state", why);
            if leaves {
                self.store_leaving(key);
            }
        } else {
            worker.entry = entry;
        }
    }

    /// Has the records say that a worker leaves: a later planner, which may find it gone, knows then that it has left.
    fn store_leaving(&mut self, key: WorkerKey) {
        let jobs: HashSet<_> = self.workers[key]
            .units
            .keys()
            .map(|u| u.group.job)
            .collect();
        for job in jobs {
            self.mark_dirty(job);
        }
    }

    /// Notes which workers the newest listing no longer names, and forgets idle ones.
    fn note_unlisted(&mut self, named: &HashSet<WorkerKey>, now_ms: u64) {
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
                self.decide(None, "worker unlisted", why);
                continue;
            }
            // One that said that it leaves, is no longer listed and refuses calls has left.
            let left = worker.entry.leaving && worker.refused;
            let idle =
                worker.units.is_empty() && now_ms > worker.unlisted_since_ms + FORGET_UNLISTED_MS;
            if left || idle {
                self.drop_life(key, "it has left the list", now_ms);
            }
        }
    }

    /// A life of a worker is over: nothing runs there any more.
    pub fn drop_life(&mut self, key: WorkerKey, why: &str, now_ms: u64) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let units: Vec<UnitKey> = worker.units.keys().copied().collect();
        let why = format!(
            "worker {}: {why}; it held {} tasks",
            worker.entry.id,
            units.len()
        );
        self.decide(None, "worker gone", why);
        for unit in units {
            self.lose_unit(unit, now_ms);
        }
        if let Some(worker) = self.workers.remove(key)
            && self.by_id.get(&worker.entry.id) == Some(&key)
        {
            self.by_id.remove(&worker.entry.id);
        }
        self.changed = true;
    }

    /// Whether a life of a worker is still known.
    pub fn knows(&self, key: WorkerKey) -> bool {
        self.workers.contains_key(key)
    }

    /// A worker's entry.
    pub fn entry(&self, key: WorkerKey) -> Option<&crate::WorkerEntry> {
        self.workers.get(key).map(|w| &w.entry)
    }

    /// The end of the lease to ask for, on the worker's clock; none while that clock is not known.
    ///
    /// Counted from the worker's last answer, so that a silent worker's lease is not extended by calls that may
    /// never arrive.
    pub fn grant_lease(&mut self, key: WorkerKey) -> Option<u64> {
        let lease_ms = self.limits.lease_ms;
        let worker = self.workers.get_mut(key)?;
        let (clock_ms, _) = worker.clock?;
        let end = clock_ms + lease_ms;
        worker.lease_end_clock_ms = worker.lease_end_clock_ms.max(end);
        Some(end)
    }

    /// Ends up to this number can be confirmed to the worker.
    pub fn confirmed_ends(&self, key: WorkerKey) -> u64 {
        self.workers.get(key).map_or(0, |w| w.ends_stored)
    }

    /// Whether a worker has listed ends that are not in the store yet.
    pub fn has_unstored_ends(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_some_and(|w| w.ends_seen > w.ends_stored)
    }

    /// Whether anything runs on a worker, so that its lease has to be renewed.
    pub fn is_occupied(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_some_and(|w| !w.units.is_empty() || !w.strays.is_empty())
    }

    /// A worker answered a renewal.
    pub fn take_report(&mut self, key: WorkerKey, report: &HoldReport) {
        let now_ms = report.received_ms;
        let lease_ms = self.limits.lease_ms;
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if report
            .born_unix_ms
            .is_some_and(|born| born != worker.entry.born_unix_ms)
        {
            return self.drop_life(key, "another life answers", now_ms);
        }
        let first = !worker.fenced;
        if first {
            // An earlier planner may have granted as much as this one would.
            worker.lease_end_clock_ms = worker
                .lease_end_clock_ms
                .max(report.worker_clock_ms + lease_ms);
        }
        if !worker.fenced || worker.silent || worker.answered_ms + self.limits.silent_ms < now_ms {
            self.changed = true;
        }
        worker.fenced = true;
        worker.silent = false;
        worker.refused = false;
        worker.answered_ms = now_ms;
        worker.clock = Some((report.worker_clock_ms, now_ms));
        let seen = worker.ends_seen;
        for row in report.ended.iter().filter(|row| row.number > seen) {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.ends_seen = worker.ends_seen.max(row.number);
            }
            self.changed = true;
            self.end_run(key, row, now_ms);
        }
        self.take_running(key, report, first);
        self.set_pace(key, now_ms);
    }

    /// Compares what a worker lists as running with what ought to run there.
    fn take_running(&mut self, key: WorkerKey, report: &HoldReport, first: bool) {
        let now_ms = report.received_ms;
        let mut listed = HashSet::new();
        let mut strays = HashSet::new();
        for row in &report.running {
            let unit = self.find_unit(row.task);
            let here = unit.filter(|u| {
                self.unit(*u)
                    .is_some_and(|at| at.run == row.run && at.phase.worker() == Some(key))
            });
            match here {
                Some(unit) => {
                    listed.insert(unit);
                    self.note_progress(unit, key, row, now_ms);
                }
                None => {
                    strays.insert((row.task, row.run));
                }
            }
        }
        self.note_strays(key, &strays);
        let here: Vec<UnitKey> = self
            .workers
            .get(key)
            .map_or_else(Vec::new, |w| w.units.keys().copied().collect());
        for unit in here.into_iter().filter(|unit| !listed.contains(unit)) {
            let over = match self.unit(unit).map(|u| u.phase) {
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
                self.lose_unit(unit, now_ms);
            }
        }
    }

    /// Takes in a row of the list of running tasks.
    fn note_progress(&mut self, key: UnitKey, worker: WorkerKey, row: &RunRow, now_ms: u64) {
        let (progress, percent) = (row.progress.as_str(), row.percent);
        let gang = self.is_gang(key.group);
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        unit.figure = row.figure;
        if percent > unit.percent {
            unit.percent = percent;
            unit.progressed_ms = now_ms;
        }
        let fresh = !progress.is_empty() && unit.progress != progress;
        if fresh {
            unit.progress = progress.to_string();
        }
        if matches!(unit.phase, Phase::Starting { .. } | Phase::Inherited(_)) {
            unit.phase = Phase::Running {
                worker,
                confirmed_ms: now_ms,
            };
            unit.started_ms = now_ms;
        }
        if fresh && gang {
            self.jobs[key.group.job].groups[key.group.group as usize].progress =
                progress.to_string();
        }
    }

    /// Stops what a worker runs and ought not to, and counts its room.
    fn note_strays(&mut self, key: WorkerKey, strays: &HashSet<(TaskName, u32)>) {
        let needs: Vec<((TaskName, u32), Need)> = strays
            .iter()
            .map(|stray| {
                let unit = self.find_unit(stray.0);
                let whole = self
                    .workers
                    .get(key)
                    .map_or_else(Need::default, |w| w.entry.capacity);
                (*stray, unit.map_or(whole, |unit| self.need(unit.group)))
            })
            .collect();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let before = worker.strays.len();
        worker.strays = needs.into_iter().collect();
        if before > 0 && worker.strays.is_empty() {
            self.changed = true;
        }
        for (task, run) in strays {
            self.orders.push(Order::Stop {
                worker: key,
                unit: None,
                task: *task,
                run: *run,
                again: false,
            });
            self.decide(
                Some(task.job),
                "stray stopped",
                format!("task {task} run {run} is not assigned there"),
            );
        }
    }

    /// A renewal got no answer, or one that means nothing.
    pub fn note_silence(&mut self, key: WorkerKey, refused: bool) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.silent = true;
            worker.refused = refused;
        }
    }

    /// A worker said that a later planner has spoken to it.
    pub fn note_later_term(&mut self) {
        self.deposed = true;
    }

    /// Whether a task is chosen for a worker that was told nothing of it yet.
    fn is_unsent(&self, key: UnitKey) -> bool {
        matches!(self.unit(key).map(|u| u.phase), Some(Phase::Intended(_)))
    }

    /// Notes that leases which can no longer be in force have ended.
    pub(crate) fn expire_leases(&mut self, now_ms: u64) {
        let lapsed: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.units.is_empty() && now_ms >= w.lapse_ms())
            .map(|(key, _)| key)
            .collect();
        for key in lapsed {
            let worker = &self.workers[key];
            let units: Vec<UnitKey> = worker
                .units
                .keys()
                .copied()
                .filter(|u| !self.is_unsent(*u))
                .collect();
            if units.is_empty() {
                continue;
            }
            let why = format!(
                "worker {} last answered {} ms ago",
                worker.entry.id,
                now_ms.saturating_sub(worker.answered_ms)
            );
            self.decide(None, "lease ended", why);
            for unit in units {
                self.lose_unit(unit, now_ms);
            }
        }
    }
}
