//! Take-over of the jobs of earlier terms: running gangs are adopted, ended jobs recorded, and jobs
//! that run nowhere queued again.

use model::prelude::*;
use placement::{Event, PlacedMember};

use super::{Effect, Planner};
use crate::jobs::record::JobRecord;

/// Time for which a new leader waits for records of earlier terms, in milliseconds.
const RECORDS_WAIT_MS: u64 = 2_000;

impl Planner {
    /// Merges records of earlier terms, from the store or from copies.
    pub(in crate::jobs) fn merge_records(&mut self, now_ms: u64, records: Vec<JobRecord>) {
        for record in records {
            let (job, spec) = (record.job.clone(), record.spec.clone());
            let is_final = record.state.is_final();
            if !self.records.merge(record) {
                continue;
            }
            self.changed.insert(job.clone());
            let is_planned = self
                .placement
                .job(&job)
                .is_some_and(|row| !row.state.is_final());
            if is_final {
                self.drop_ended(now_ms, &job);
            } else if !is_planned {
                self.unreconciled.insert(job, spec);
            }
        }
        self.resubmit_unreconciled(now_ms);
        self.process_outputs(now_ms);
    }

    /// Adopts a gang of an earlier term, whose leases are renewed from now on.
    pub(super) fn adopt(
        &mut self,
        now_ms: u64,
        job: JobId,
        spec: JobSpec,
        members: Vec<(WorkerName, AcceleratorMask)>,
        run_ms: u64,
    ) {
        self.effects.push(Effect::Count("gangs.adopted"));
        self.unreconciled.remove(&job);
        let state = if run_ms > 0 {
            JobState::Running
        } else {
            JobState::Starting
        };
        self.write_record(now_ms, &job, &spec, state, String::new());
        let members = members
            .into_iter()
            .map(|(worker, accelerators)| PlacedMember {
                worker,
                accelerators,
            })
            .collect();
        self.apply(
            now_ms,
            Event::Adopted {
                job,
                spec,
                members,
                run_ms,
            },
        );
    }

    /// Handles ended tasks of a job of an earlier term; the job has ended if they are all of its
    /// members.
    pub(super) fn found_finished(&mut self, now_ms: u64, job: &JobId, members: u32) {
        let spec = self.unreconciled.get(job);
        if spec.is_some_and(|spec| spec.gang.members() == members) {
            self.unreconciled.remove(job);
            self.update_record(now_ms, job, JobState::Finished, String::new());
        }
    }

    /// Queues the jobs of earlier terms that run nowhere.
    ///
    /// They are queued after [`RECORDS_WAIT_MS`] at the earliest, because later records of a job
    /// may still be on their way to a new leader.
    pub(super) fn resubmit_unreconciled(&mut self, now_ms: u64) {
        if !self.is_reconciled || now_ms < self.began_at_ms + RECORDS_WAIT_MS {
            return;
        }
        for (job, spec) in std::mem::take(&mut self.unreconciled) {
            if spec.ticket.is_some() && self.may_have_run(&job) {
                let detail = "it may have run under an earlier planner, and runs at most once";
                self.update_record(now_ms, &job, JobState::Failed, detail.to_owned());
            } else {
                self.submit_known(now_ms, &job, spec);
            }
        }
    }

    /// Returns whether members of a job may have been started, according to its record.
    pub(super) fn may_have_run(&self, job: &JobId) -> bool {
        let state = self.records.get(job).map(|record| record.state);
        matches!(
            state,
            Some(JobState::Starting | JobState::Running | JobState::Stopping)
        )
    }

    /// Drops a job that ended in an earlier term, so that it is not started again.
    pub(super) fn drop_ended(&mut self, now_ms: u64, job: &JobId) {
        self.unreconciled.remove(job);
        let row = self.placement.job(job);
        if row.is_some_and(|row| row.state == JobState::Waiting) {
            self.apply(now_ms, Event::Cancelled { job: job.clone() });
        }
    }

    /// Queues a job whose record is known.
    pub(super) fn submit_known(&mut self, now_ms: u64, job: &JobId, spec: JobSpec) {
        self.update_state(now_ms, job, JobState::Waiting);
        self.apply(
            now_ms,
            Event::Submitted {
                job: job.clone(),
                spec,
            },
        );
    }
}
