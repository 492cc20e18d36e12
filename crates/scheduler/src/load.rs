//! Takes over what an earlier planner left in the store.

use crate::group::{GroupKey, JobKey, Phase, UnitKey};
use crate::job::JobState;
use crate::planner::Planner;
use crate::record::{GroupRecord, JobRecord, StoredJob};
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
                .as_deref()
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

    /// The life of a worker that the store names; one that is not listed is supposed to live on, silently.
    fn find_or_suppose_worker(&mut self, name: &str, now_ms: u64) -> Option<WorkerKey> {
        if let Some((key, _)) = self.workers.iter().find(|(_, w)| w.stored_name() == name) {
            return Some(key);
        }
        let (id, born) = name.rsplit_once('@')?;
        let born_unix_ms = born.parse().ok()?;
        let newer = self
            .by_id
            .get(id)
            .is_some_and(|key| self.workers[*key].entry.born_unix_ms > born_unix_ms);
        if newer {
            return None;
        }
        let entry = WorkerEntry {
            id: id.to_string(),
            born_unix_ms,
            address: String::new(),
            service: String::new(),
            data_centre: String::new(),
            leaving: false,
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
