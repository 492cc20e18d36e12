//! State of a gang job in placement.

use model::prelude::*;
use slotmap::new_key_type;

use crate::estimate::Estimate;
use crate::event::StopReason;
use crate::fit::{Allocation, Need};
use crate::organisation::{BlockKey, ClassKey, OrganisationKey};
use crate::topology::WorkerKey;

new_key_type! {
    /// Key of a job.
    pub(crate) struct JobKey;
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits in the queue, or for its backoff to end at `not_before_ms`.
    Waiting {
        /// Time before which it is not queued.
        not_before_ms: u64,
    },
    /// It has claimed accelerators within a guarantee, and work on them is being stopped.
    Claiming,
    /// Its leases are being obtained.
    Starting,
    /// It runs.
    Running,
    /// It is being stopped.
    Stopping {
        /// Reason of the stop.
        why: StopReason,
        /// Time at which the stop is repeated without grace.
        overdue_ms: u64,
    },
    /// It has ended.
    Ended {
        /// Final state.
        state: JobState,
        /// End time.
        at_ms: u64,
    },
}

/// A gang job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: JobSpec,
    pub(crate) organisation: OrganisationKey,
    pub(crate) class: ClassKey,
    pub(crate) need: Need,
    pub(crate) phase: Phase,
    pub(crate) submitted_ms: u64,
    /// Start of the current run.
    pub(crate) started_ms: u64,
    /// Total waiting time before the last start.
    pub(crate) waited_ms: u64,
    /// Start of the current wait.
    pub(crate) waiting_since_ms: u64,
    /// Rank in the queue.
    pub(crate) rank_ms: u64,
    /// Urgency in the queue.
    pub(crate) urgency: Urgency,
    pub(crate) estimate: Estimate,
    /// Accelerators that it holds or has claimed.
    pub(crate) members: Vec<Allocation>,
    /// Bound blocks that it uses; empty for preemptible work.
    pub(crate) blocks: Vec<BlockKey>,
    /// Share of the work that the last checkpoint holds, in thousandths.
    pub(crate) checkpoint_permille: u32,
    /// Value of `checkpoint_permille` when the current run started.
    pub(crate) resumed_permille: u32,
    /// Time of the last checkpoint, or the start of the current run if that is later.
    pub(crate) checkpoint_ms: u64,
    /// Whether it has run before.
    pub(crate) has_run: bool,
    /// Workers on which it has failed.
    pub(crate) failed_on: Vec<WorkerKey>,
    /// Failures that are attributed to it.
    pub(crate) failures: u32,
    /// Consecutive failures since it last started; determines the backoff.
    pub(crate) failed_starts: u32,
    /// Number of times that it was stopped for other jobs.
    pub(crate) preemptions: u32,
    /// Workers on which it has lost its members in the current run.
    pub(crate) lost_on: Vec<WorkerKey>,
    /// Whether its caller has cancelled it.
    pub(crate) cancelled: bool,
}

impl Job {
    /// Returns whether it runs, or will start, within a guarantee.
    pub(crate) fn is_guaranteed(&self) -> bool {
        !self.blocks.is_empty()
    }

    /// Returns whether it holds accelerators; a claiming job holds none yet.
    pub(crate) const fn is_holding(&self) -> bool {
        matches!(
            self.phase,
            Phase::Starting | Phase::Running | Phase::Stopping { .. }
        )
    }

    /// Returns whether it is queued or backing off.
    pub(crate) const fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. })
    }

    /// Returns whether it may run again after an interrupted run.
    ///
    /// A job with a ticket must run at most once unless it continues from a checkpoint.
    pub(crate) const fn can_rerun(&self) -> bool {
        self.spec.ticket.is_none() || self.spec.checkpointable || !self.has_run
    }

    /// Returns the duration of the current run, in milliseconds.
    pub(crate) fn elapsed_ms(&self, now_ms: u64) -> u64 {
        match self.phase {
            Phase::Running | Phase::Stopping { .. } => now_ms.saturating_sub(self.started_ms),
            _ => 0,
        }
    }

    /// Returns the expected run time of the part that no checkpoint holds, in milliseconds.
    pub(crate) fn expected_remaining_ms(&self) -> u64 {
        unsaved_part_ms(self.estimate.expected_ms, self.checkpoint_permille)
    }

    /// Returns the cautious estimate of the run time of the part that no checkpoint holds, in
    /// milliseconds.
    pub(crate) fn cautious_remaining_ms(&self) -> u64 {
        unsaved_part_ms(self.estimate.cautious_ms, self.checkpoint_permille)
    }

    /// Returns the time at which it is expected to end, if it runs.
    pub(crate) fn expected_end_ms(&self, now_ms: u64) -> u64 {
        let total_ms = unsaved_part_ms(self.estimate.expected_ms, self.resumed_permille);
        now_ms + crate::estimate::remaining_ms(total_ms, self.elapsed_ms(now_ms))
    }

    /// Returns the state as reported to callers.
    pub(crate) const fn state(&self) -> JobState {
        match self.phase {
            Phase::Waiting { .. } | Phase::Claiming => JobState::Waiting,
            Phase::Starting => JobState::Starting,
            Phase::Running => JobState::Running,
            Phase::Stopping { .. } => JobState::Stopping,
            Phase::Ended { state, .. } => state,
        }
    }
}

/// Returns the part of `total_ms` that is left when `saved_permille` thousandths are saved.
fn unsaved_part_ms(total_ms: u64, saved_permille: u32) -> u64 {
    total_ms * u64::from(1000_u32.saturating_sub(saved_permille)) / 1000
}
