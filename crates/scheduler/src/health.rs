//! What a worker's record of ends says about it.

use crate::task::JobId;

/// Failures in a row, of different jobs, after which a worker gets nothing for a while.
const FAILURES_IN_A_ROW: usize = 2;

/// How long it gets nothing the first time; half the length of the shortest disruption that is listed for workers.
const FIRST_QUARANTINE_MS: u64 = 3_000;

/// The longest that it gets nothing before it is tried again.
const LONGEST_QUARANTINE_MS: u64 = 24_000;

/// A worker's recent ends.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Jobs whose tasks failed there since the last good end.
    failed: Vec<JobId>,
    /// Gets no work before this time.
    quarantine_until_ms: u64,
    /// How long the last quarantine was.
    quarantine_ms: u64,
}

impl Health {
    /// A task ended as done.
    pub fn record_success(&mut self) {
        self.failed.clear();
        self.quarantine_ms = 0;
    }

    /// A task failed; true if the worker is to get nothing for a while from now on.
    pub fn record_failure(&mut self, job: JobId, now_ms: u64) -> bool {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        if self.failed.len() < FAILURES_IN_A_ROW {
            return false;
        }
        self.quarantine(now_ms);
        true
    }

    /// Gives the worker nothing for a while, each time for longer.
    pub fn quarantine(&mut self, now_ms: u64) {
        self.quarantine_ms = match self.quarantine_ms {
            0 => FIRST_QUARANTINE_MS,
            before => (before * 2).min(LONGEST_QUARANTINE_MS),
        };
        self.quarantine_until_ms = now_ms + self.quarantine_ms;
        self.failed.truncate(FAILURES_IN_A_ROW - 1);
    }

    /// Whether the worker may get work.
    pub fn is_trusted(&self, now_ms: u64) -> bool {
        now_ms >= self.quarantine_until_ms
    }

    /// Whether something failed there since the last good end.
    pub fn is_doubtful(&self) -> bool {
        !self.failed.is_empty()
    }
}
