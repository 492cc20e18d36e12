//! Quarantines workers on which tasks of several jobs failed.

use crate::task::JobId;

/// Consecutive failures, of different jobs, after which a worker is quarantined.
const QUARANTINE_FAILURES: usize = 2;

/// Length of the first quarantine: half of the shortest disruption that the platform lists for workers.
const INITIAL_QUARANTINE_MS: u64 = 3_000;

/// Upper bound of the quarantine, which doubles each time until a task succeeds.
const MAX_QUARANTINE_MS: u64 = 24_000;

/// Recent failures and the quarantine of a worker.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Jobs whose tasks failed on the worker since the last successful run.
    failed: Vec<JobId>,
    /// The worker gets no work before this time.
    quarantine_until_ms: u64,
    /// Length of the last quarantine; 0 after a successful run.
    quarantine_ms: u64,
}

impl Health {
    /// Records a run that succeeded.
    pub fn record_success(&mut self) {
        self.failed.clear();
        self.quarantine_ms = 0;
    }

    /// Records a failed run. Returns true if this starts a quarantine.
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

    /// Starts a quarantine that is twice as long as the previous one, up to the maximum.
    pub fn quarantine(&mut self, now_ms: u64) {
        self.quarantine_ms = match self.quarantine_ms {
            0 => INITIAL_QUARANTINE_MS,
            before => (before * 2).min(MAX_QUARANTINE_MS),
        };
        self.quarantine_until_ms = now_ms + self.quarantine_ms;
        self.failed.truncate(QUARANTINE_FAILURES - 1);
    }

    /// Returns whether the worker is not in quarantine.
    pub fn is_trusted(&self, now_ms: u64) -> bool {
        now_ms >= self.quarantine_until_ms
    }

    /// Returns whether a run failed on the worker since the last successful one.
    pub fn has_recent_failure(&self) -> bool {
        !self.failed.is_empty()
    }
}
