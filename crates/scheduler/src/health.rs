//! What a worker's record of ends says about it.

use crate::task::JobId;

/// Failures in a row, of different jobs, after which a worker gets nothing for a while.
const QUARANTINE_FAILURES: usize = 2;

/// How long it gets nothing the first time; half the length of the shortest disruption that is listed for workers.
const INITIAL_QUARANTINE_MS: u64 = 3_000;

/// The longest that it gets nothing before it is tried again.
const MAX_QUARANTINE_MS: u64 = 24_000;

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
        if self.failed.len() < QUARANTINE_FAILURES {
            return false;
        }
        self.quarantine(now_ms);
        true
    }

    /// Gives the worker nothing for a while, each time for longer.
    pub fn quarantine(&mut self, now_ms: u64) {
        self.quarantine_ms = match self.quarantine_ms {
            0 => INITIAL_QUARANTINE_MS,
            before => (before * 2).min(MAX_QUARANTINE_MS),
        };
        self.quarantine_until_ms = now_ms + self.quarantine_ms;
        self.failed.truncate(QUARANTINE_FAILURES - 1);
    }

    /// Whether the worker may get work.
    pub fn is_trusted(&self, now_ms: u64) -> bool {
        now_ms >= self.quarantine_until_ms
    }

    /// Whether something failed there since the last good end.
    pub fn has_recent_failure(&self) -> bool {
        !self.failed.is_empty()
    }
}
