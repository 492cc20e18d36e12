//! Applies the platform's list of workers.
//!
//! Anybody may write to the list, and an entry also disappears while its worker is cut off. So the list proposes workers
//! and says which of them get new work; it never shows that anything has ended.

use std::collections::HashSet;

use crate::planner::Planner;
use crate::worker::{Worker, WorkerEntry, WorkerKey, WorkerList};

/// An unlisted worker that runs nothing is forgotten after this time.
const FORGET_UNLISTED_MS: u64 = 5_000;

impl Planner {
    /// Applies the platform's current list of workers. Returns the workers whose leases have to be renewed from now on.
    pub fn list_workers(&mut self, list: WorkerList, now_ms: u64) -> Vec<WorkerKey> {
        let mut named = HashSet::new();
        for entry in list.entries {
            let key = match self.by_id.get(&entry.id).copied() {
                Some(key) if self.is_contradicted(key, &entry) => {
                    self.set_entry_aside(key, entry, now_ms);
                    continue;
                }
                Some(key) => key,
                None => self.add_worker(entry.clone(), now_ms),
            };
            self.refresh_worker(key, entry, list.asked_ms, now_ms);
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

    /// Returns the workers that have to be asked at once, because the list names another incarnation of them.
    pub fn take_doubted(&mut self) -> Vec<WorkerKey> {
        self.workers
            .iter_mut()
            .filter_map(|(key, worker)| std::mem::take(&mut worker.is_doubted).then_some(key))
            .collect()
    }

    /// Returns whether an entry contradicts what a worker itself has said.
    fn is_contradicted(&self, key: WorkerKey, entry: &WorkerEntry) -> bool {
        let worker = &self.workers[key];
        worker.is_confirmed
            && (worker.entry.born_unix_ms != entry.born_unix_ms
                || worker.entry.address != entry.address)
    }

    /// Keeps an entry that contradicts its worker's own answers. The worker has to be asked; meanwhile it counts as
    /// unlisted.
    fn set_entry_aside(&mut self, key: WorkerKey, entry: WorkerEntry, now_ms: u64) {
        let worker = &mut self.workers[key];
        let is_known = worker.proposed.as_ref().is_some_and(|before| {
            before.born_unix_ms == entry.born_unix_ms && before.address == entry.address
        });
        if !is_known {
            worker.is_doubted = true;
            self.counts.entries_set_aside += 1;
            let why = format!(
                "{}; the list names born {} at {}",
                worker.describe(now_ms),
                entry.born_unix_ms,
                entry.address
            );
            self.record_decision(None, "entry set aside", why);
        }
        self.workers[key].proposed = Some(entry);
    }

    /// Adds a worker of which nothing is known but its entry.
    pub(crate) fn add_worker(&mut self, entry: WorkerEntry, now_ms: u64) -> WorkerKey {
        let id = entry.id.clone();
        let rack = self.racks.key(&entry.rack);
        let key = self
            .workers
            .insert(Worker::new(entry, rack, now_ms, self.inherited_expiry_ms));
        self.policy.speeds.add(key, &id);
        self.by_id.insert(id, key);
        key
    }

    fn refresh_worker(&mut self, key: WorkerKey, entry: WorkerEntry, asked_ms: u64, now_ms: u64) {
        let worker = &mut self.workers[key];
        worker.proposed = None;
        worker.update_leave(&entry, asked_ms, now_ms);
        // The entry is at most as old as the reading of the list.
        if entry.cold_left_ms > 0 {
            worker.cold_until_ms = now_ms + entry.cold_left_ms;
        }
        let before = worker.entry.capacity;
        let after = entry.capacity;
        if worker.entry.rack != entry.rack {
            worker.rack = self.racks.key(&entry.rack);
        }
        if !worker.listed || worker.entry.leaving != entry.leaving {
            self.changed = true;
            let leaves = entry
                .remaining_ms
                .map_or_else(String::new, |ms| format!(", in {ms} ms at the earliest"));
            let why = format!(
                "worker {} listed, leaving: {}{leaves}",
                entry.id, entry.leaving
            );
            let changes = entry.leaving != worker.entry.leaving;
            worker.listed = true;
            worker.has_short_lease |= entry.leaving;
            worker.entry = entry;
            self.record_decision(None, "worker state", why);
            if changes {
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

    /// Marks the jobs on a worker for storing whose entry says now that it leaves, or no longer says so. Its lease is short
    /// as long as a record may say that it leaves.
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

    /// Marks the workers that the newest list no longer names, and forgets those on which nothing runs or may run.
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
                let why = format!("{} is no longer listed", worker.describe(now_ms));
                self.record_decision(None, "worker unlisted", why);
                continue;
            }
            if worker.tasks.is_empty() && now_ms > worker.unlisted_since_ms + FORGET_UNLISTED_MS {
                self.remove_worker(key, "it is no longer listed and idle", now_ms);
            }
        }
    }
}
