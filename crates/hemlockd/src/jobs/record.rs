//! Records of jobs: what is kept of each job, and how concurrent changes are merged.

use std::collections::BTreeMap;

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// Retention of the record of an ended job, in milliseconds.
const ENDED_KEEP_MS: u64 = 3_600_000;

/// Maximum number of job records of a data centre.
pub(crate) const JOBS_MAX: usize = 20_000;

/// Orders the changes of one record; changes of a later term come after those of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Stamp {
    /// Number of the leader's term.
    pub(crate) term: u64,
    /// Sequence number of the change within the term.
    pub(crate) change: u64,
}

/// Everything that a new planner needs to plan a job again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JobRecord {
    /// Identifier of the job.
    pub(crate) job: JobId,
    /// The job as the caller specified it.
    pub(crate) spec: JobSpec,
    /// State at the last change.
    pub(crate) state: JobState,
    /// Share of its work that its checkpoint covers, in thousandths.
    pub(crate) checkpoint_permille: u32,
    /// Why the job ended as it did; empty before its end.
    pub(crate) detail: String,
    /// Time at which the job was accepted, in milliseconds since the Unix epoch.
    pub(crate) accepted_at_ms: u64,
    /// Time of the last change, in milliseconds since the Unix epoch.
    pub(crate) changed_at_ms: u64,
    /// Order of the last change.
    pub(crate) stamp: Stamp,
}

/// Records of the jobs of one data centre.
#[derive(Debug, Default)]
pub(crate) struct JobRecords {
    records: BTreeMap<JobId, JobRecord>,
}

impl JobRecords {
    /// Returns the record of a job.
    pub(crate) fn get(&self, job: &JobId) -> Option<&JobRecord> {
        self.records.get(job)
    }

    /// Returns all records.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &JobRecord> {
        self.records.values()
    }

    /// Returns the number of records.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Merges a record; returns whether it replaced the known one. A final state wins over any
    /// other, then the later change wins.
    pub(crate) fn merge(&mut self, record: JobRecord) -> bool {
        let is_newer = self.records.get(&record.job).is_none_or(|known| {
            let rank = |r: &JobRecord| (r.state.is_final(), r.stamp);
            rank(&record) > rank(known)
        });
        if is_newer {
            self.records.insert(record.job.clone(), record);
        }
        is_newer
    }

    /// Removes the record of a job that was never accepted.
    pub(crate) fn remove(&mut self, job: &JobId) {
        self.records.remove(job);
    }

    /// Removes the records of jobs that ended more than [`ENDED_KEEP_MS`] ago; returns their
    /// identifiers.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<JobId> {
        let is_old = |record: &JobRecord| {
            record.state.is_final() && now_ms >= record.changed_at_ms + ENDED_KEEP_MS
        };
        let old: Vec<_> = self
            .records
            .values()
            .filter(|r| is_old(r))
            .map(|r| r.job.clone())
            .collect();
        for job in &old {
            self.records.remove(job);
        }
        old
    }
}
