//! Takes over what an earlier planner left in the store.

use crate::group::{GroupKey, JobKey, Phase, UnitKey};
use crate::job::JobState;
use crate::planner::Planner;
use crate::record::{GroupRecord, JobRecord, StoredJob, StoredWorker};
use crate::spec::Need;
use crate::worker::{WorkerEntry, WorkerKey};

impl Planner {
    /// Takes in a job as an earlier planner left it. What it assigned may be running until the worker says otherwise
    /// or its lease must have ended.
    pub fn restore_job(
        &mut self,
        stored: StoredJob,
        record: Option<JobRecord>,
        order: u64,
        now_ms: u64,
    ) {
        let id = stored.id;
        self.add_job(stored, order, now_ms);
        let (Some(&key), Some(record)) = (self.by_job.get(&id), record) else {
            return;
        };
        for group in &record.groups {
            self.restore_group(key, group, now_ms);
        }
        let job = &mut self.jobs[key];
        job.ended_unix_ms = record.ended_unix_ms;
        job.state = record.state;
        if record.state.is_final() {
            self.finish_ended_job(key, now_ms);
        }
    }

    /// A job that had ended when the earlier planner stopped: what is left of it is stopped, and the record compacted.
    fn finish_ended_job(&mut self, key: JobKey, now_ms: u64) {
        let groups = self.jobs[key].groups.len() as u32;
        let completed = self.jobs[key].state == JobState::Completed;
        for group in (0..groups).map(|group| GroupKey { job: key, group }) {
            for unit in self.members(group) {
                if completed
                    && let Some(Phase::Inherited(worker)) = self.unit(unit).map(|u| u.phase)
                {
                    if let Some(at) = self.unit_mut(unit) {
                        at.phase = Phase::Ending {
                            worker,
                            since_ms: now_ms,
                        };
                    }
                } else {
                    self.stop_unit(unit, now_ms);
                }
            }
        }
        self.mark_dirty(key);
    }

    fn restore_group(&mut self, job: JobKey, record: &GroupRecord, now_ms: u64) {
        let Some(at) = self.jobs[job].find_group(record.occurrence, record.step) else {
            return;
        };
        let group = GroupKey {
            job,
            group: at as u32,
        };
        let gang = self.is_gang(group);
        self.jobs[job].groups[at].gang_failed = record.gang_failed;
        for (index, unit) in record
            .units
            .iter()
            .enumerate()
            .take(self.jobs[job].groups[at].units.len())
        {
            let key = UnitKey {
                group,
                unit: index as u32,
            };
            let worker = unit
                .worker
                .as_ref()
                .and_then(|name| self.find_or_suppose_worker(name, now_ms));
            if let Some(at) = self.unit_mut(key) {
                at.run = unit.run;
                at.failed = unit.failed;
                at.progress = unit.progress.clone();
                at.phase = if unit.done {
                    Phase::Done
                } else {
                    Phase::Waiting
                };
            }
            if gang && !unit.progress.is_empty() {
                self.jobs[job].groups[at].progress = unit.progress.clone();
            }
            match (worker, unit.done) {
                (Some(worker), false) => {
                    self.assign(key, worker, unit.run, Phase::Inherited(worker), now_ms)
                }
                (Some(worker), true) => {
                    self.assign(
                        key,
                        worker,
                        unit.run,
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
        // The predecessor may have stopped in the middle of taking a gang down.
        let partial = gang && !self.jobs[job].groups[at].is_done() && {
            let units = &self.jobs[job].groups[at].units;
            let placed = units.iter().filter(|u| u.phase.worker().is_some()).count();
            placed > 0 && placed < units.len()
        };
        if partial {
            self.dissolve_gang(group, now_ms);
        }
    }

    /// The life of a worker that the store names; one that is not listed is supposed to live on where it was.
    fn find_or_suppose_worker(&mut self, stored: &StoredWorker, now_ms: u64) -> Option<WorkerKey> {
        if let Some(key) = self.by_id.get(&stored.id).copied() {
            let born_unix_ms = self.workers[key].entry.born_unix_ms;
            if born_unix_ms == stored.born_unix_ms {
                return Some(key);
            }
            if born_unix_ms > stored.born_unix_ms {
                return None;
            }
        }
        let replaced = self.workers.values().any(|w| {
            !stored.address.is_empty()
                && w.entry.address == stored.address
                && w.entry.born_unix_ms > stored.born_unix_ms
        });
        if replaced {
            return None;
        }
        let entry = WorkerEntry {
            id: stored.id.clone(),
            born_unix_ms: stored.born_unix_ms,
            address: stored.address.clone(),
            service: String::new(),
            data_centre: String::new(),
            leaving: stored.leaving,
            remaining_ms: None,
            capacity: Need::default(),
            labels: Vec::new(),
            rack: String::new(),
        };
        let key = self.add_worker(entry, now_ms);
        let worker = &mut self.workers[key];
        worker.listed = false;
        Some(key)
    }
}
