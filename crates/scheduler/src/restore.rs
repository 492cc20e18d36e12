//! Restores the jobs that an earlier planner left in the store.

use crate::group::{GangFailures, GroupKey, JobKey, Phase, TaskKey};
use crate::job::JobState;
use crate::planner::Planner;
use crate::policy::availability::Presence;
use crate::record::{GroupRecord, JobRecord, StoredJob, StoredWorker};
use crate::spec::Resources;
use crate::worker::{WorkerEntry, WorkerKey};

impl Planner {
    /// Adds a job as an earlier planner left it. A task that it assigned may be running until the worker denies it or
    /// its lease must have expired.
    pub fn restore_job(
        &mut self,
        stored: StoredJob,
        record: Option<JobRecord>,
        order: u64,
        now_ms: u64,
    ) {
        let id = stored.id;
        self.add_job(stored, order, now_ms);
        let Some(&key) = self.by_job.get(&id) else {
            return;
        };
        let groups = || record.iter().flat_map(|record| &record.groups);
        let recorded = groups().map(|group| group.occurrence.saturating_add(1));
        let recorded = recorded.max().unwrap_or(0);
        self.build_occurrences(key, recorded, now_ms);
        for group in groups() {
            self.restore_group(key, group, now_ms);
        }
        let job = &mut self.jobs[key];
        for group in 0..job.groups.len() {
            job.groups[group].was_ready_before =
                job.stored.request.timing.times == 0 && job.is_unblocked(group);
            for task in &mut job.groups[group].tasks {
                task.presence = Presence::unknown(now_ms);
            }
        }
        let Some(record) = record else {
            return;
        };
        job.ended_unix_ms = record.ended_unix_ms;
        job.state = record.state;
        job.has_started = record.state != JobState::Pending && record.begun;
        job.is_shown_waiting = !record.begun;
        if record.state.is_final() {
            return self.finish_ended_job(key, now_ms);
        }
        let groups = self.jobs[key].groups.len() as u32;
        for group in (0..groups).map(|group| GroupKey { job: key, group }) {
            self.give_up_if_crashing(group, now_ms);
            // The parts of a record are written before its state.
            if self.jobs[key].is_exhausted(group.group as usize) {
                self.end_job(key, JobState::Failed, now_ms);
            }
        }
        if self.jobs[key].is_done() {
            self.settle_job(key);
        }
    }

    /// Handles a job that had ended before this term: stops what is left of it, or waits for its remaining runs to end
    /// if it was completed, and has its record compacted.
    fn finish_ended_job(&mut self, key: JobKey, now_ms: u64) {
        let groups = self.jobs[key].groups.len() as u32;
        let completed = self.jobs[key].state == JobState::Completed;
        for group in (0..groups).map(|group| GroupKey { job: key, group }) {
            for task in self.list_tasks(group) {
                if completed
                    && let Some(Phase::Inherited(worker)) = self.task(task).map(|t| t.phase)
                {
                    if let Some(member) = self.task_mut(task) {
                        member.phase = Phase::Ending {
                            worker,
                            since_ms: now_ms,
                        };
                    }
                } else {
                    self.stop_task(task, now_ms);
                }
            }
        }
        self.mark_dirty(key);
    }

    fn restore_group(&mut self, job: JobKey, record: &GroupRecord, now_ms: u64) {
        let Some(group_index) = self.jobs[job].find_group(record.occurrence, record.step) else {
            return;
        };
        let group = GroupKey {
            job,
            group: group_index as u32,
        };
        let gang = self.is_gang(group);
        self.jobs[job].groups[group_index].gang_failures = GangFailures {
            runs: record.gang_failed,
            last_run: record.gang_failed_run,
        };
        self.jobs[job].groups[group_index].placed_unix_ms = record.placed_unix_ms;
        for (index, task) in record
            .units
            .iter()
            .enumerate()
            .take(self.jobs[job].groups[group_index].tasks.len())
        {
            let key = TaskKey {
                group,
                index: index as u32,
            };
            let worker = task
                .worker
                .as_ref()
                .map(|name| self.find_or_assume_worker(name, now_ms));
            if let Some(restored) = self.task_mut(key) {
                restored.run = task.run;
                restored.failed = task.failed;
                restored.crashes = task.crashes;
                restored.progress = task.progress.clone();
                restored.phase = if task.done {
                    Phase::Done
                } else {
                    Phase::Waiting
                };
            }
            if gang && !task.progress.is_empty() {
                self.jobs[job].groups[group_index].progress = task.progress.clone();
            }
            match (worker, task.done) {
                (Some(worker), false) => {
                    self.assign(key, worker, task.run, Phase::Inherited(worker), now_ms);
                    if let Some(stored) = &task.worker {
                        self.jobs[job].groups[group_index]
                            .tickets
                            .record_used(worker, stored.born_unix_ms);
                    }
                    if let Some(restored) = self.task_mut(key) {
                        restored.inherited_unix_ms = record.placed_unix_ms;
                    }
                }
                (Some(worker), true) => {
                    self.assign(
                        key,
                        worker,
                        task.run,
                        Phase::Ending {
                            worker,
                            since_ms: now_ms,
                        },
                        now_ms,
                    );
                }
                (None, _) => {}
            }
        }
        // The earlier planner may have stopped in the middle of tearing down a gang, or of writing a large one.
        let partial = gang && !self.jobs[job].groups[group_index].is_done() && {
            let tasks = &self.jobs[job].groups[group_index].tasks;
            let placed = tasks.iter().filter(|t| t.phase.worker().is_some()).count();
            let one_run = tasks.iter().all(|task| task.run == tasks[0].run);
            placed > 0 && (placed < tasks.len() || !one_run)
        };
        if partial {
            self.tear_down_gang(group, now_ms);
        }
    }

    /// Returns the worker of a stored incarnation. The incarnation is assumed to be alive at its stored address, whatever
    /// the list says.
    fn find_or_assume_worker(&mut self, stored: &StoredWorker, now_ms: u64) -> WorkerKey {
        let key = match self.by_id.get(&stored.id).copied() {
            Some(key) => key,
            None => {
                let key = self.add_worker(assumed_entry(stored), now_ms);
                self.workers[key].listed = false;
                key
            }
        };
        let leaving_expiry_ms = self.inherited_leaving_expiry_ms;
        let worker = &mut self.workers[key];
        // Of two stored incarnations under one id, the earlier planner used the later one last.
        if worker.is_confirmed && worker.entry.born_unix_ms >= stored.born_unix_ms {
            return key;
        }
        let is_listed_so = worker.entry.born_unix_ms == stored.born_unix_ms
            && worker.entry.address == stored.address;
        if !is_listed_so {
            worker.proposed = match worker.listed {
                true => Some(worker.entry.clone()),
                false => worker.proposed.take(),
            };
            worker.is_doubted = worker.listed;
            worker.listed = false;
            worker.unlisted_since_ms = now_ms;
            worker.entry.born_unix_ms = stored.born_unix_ms;
            worker.entry.leaving = stored.leaving;
            if !stored.address.is_empty() {
                worker.entry.address.clone_from(&stored.address);
            }
        }
        worker.is_confirmed = true;
        if stored.leaving {
            worker.has_short_lease = true;
            worker.inherited_expiry_ms = leaving_expiry_ms;
        }
        let address = worker.entry.address.clone();
        let there = self.by_address.entry(address).or_default();
        if !there.contains(&key) {
            there.push(key);
        }
        key
    }
}

/// Returns what is known of a stored worker that is not listed.
fn assumed_entry(stored: &StoredWorker) -> WorkerEntry {
    WorkerEntry {
        id: stored.id.clone(),
        born_unix_ms: stored.born_unix_ms,
        address: stored.address.clone(),
        service: String::new(),
        data_centre: String::new(),
        leaving: stored.leaving,
        remaining_ms: None,
        cold_left_ms: 0,
        capacity: Resources::default(),
        labels: Vec::new(),
        rack: String::new(),
    }
}
