//! Gang jobs as placement keeps them.

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

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits in the queue, or until `not_before_ms` after a failed start.
    Waiting {
        /// Time before which it is not tried.
        not_before_ms: u64,
    },
    /// Its accelerators are reserved and other work on them is being stopped.
    Claiming,
    /// Its leases are being taken.
    Starting,
    /// It runs.
    Running,
    /// It is being stopped.
    Stopping {
        /// Why.
        why: StopReason,
        /// Time at which the stop is repeated without grace.
        overdue_ms: u64,
    },
    /// It has ended.
    Ended {
        /// How.
        state: JobState,
        /// When.
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
    /// Start of the present run.
    pub(crate) started_ms: u64,
    /// Time waited in all.
    pub(crate) waited_ms: u64,
    /// Time since which it waits.
    pub(crate) waiting_since_ms: u64,
    /// Rank under which it waits in the queue.
    pub(crate) rank_ms: u64,
    /// Urgency under which it waits in the queue.
    pub(crate) urgency: Urgency,
    pub(crate) estimate: Estimate,
    /// Accelerators that it holds or has reserved.
    pub(crate) members: Vec<Allocation>,
    /// Guaranteed blocks that it uses; empty for preemptible work.
    pub(crate) blocks: Vec<BlockKey>,
    /// Share of the work that is saved, in thousandths.
    pub(crate) checkpoint_permille: u32,
    /// Share that was saved when the present run started, in thousandths.
    pub(crate) resumed_permille: u32,
    /// Time of the last checkpoint.
    pub(crate) checkpoint_ms: u64,
    /// Whether it has run before.
    pub(crate) has_run: bool,
    /// Workers on which it has failed.
    pub(crate) failed_on: Vec<WorkerKey>,
    /// Failures that count against it.
    pub(crate) failures: u32,
    /// Starts that failed in a row.
    pub(crate) failed_starts: u32,
    /// Times that it was stopped for others.
    pub(crate) preemptions: u32,
    /// Workers on which it has lost its members in the present run.
    pub(crate) lost_on: Vec<WorkerKey>,
    /// Whether its caller has cancelled it while it held accelerators.
    pub(crate) cancelled: bool,
}

impl Job {
    /// Whether it holds accelerators within a guarantee.
    pub(crate) fn is_guaranteed(&self) -> bool {
        !self.blocks.is_empty()
    }

    /// Whether it holds accelerators.
    pub(crate) const fn is_holding(&self) -> bool {
        matches!(
            self.phase,
            Phase::Starting | Phase::Running | Phase::Stopping { .. }
        )
    }

    /// Whether it is in the queue.
    pub(crate) const fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. })
    }

    /// Whether it may run again after it was stopped.
    pub(crate) const fn can_rerun(&self) -> bool {
        self.spec.ticket.is_none() || self.spec.checkpointable || !self.has_run
    }

    /// Time that the present run has lasted.
    pub(crate) fn elapsed_ms(&self, now_ms: u64) -> u64 {
        match self.phase {
            Phase::Running | Phase::Stopping { .. } => now_ms.saturating_sub(self.started_ms),
            _ => 0,
        }
    }

    /// Expected run time without the part that is saved.
    pub(crate) fn expected_remaining_ms(&self) -> u64 {
        unsaved_part_ms(self.estimate.expected_ms, self.checkpoint_permille)
    }

    /// Cautious estimate of the run time without the part that is saved.
    pub(crate) fn cautious_remaining_ms(&self) -> u64 {
        unsaved_part_ms(self.estimate.cautious_ms, self.checkpoint_permille)
    }

    /// Expected time until it ends, if it runs.
    pub(crate) fn expected_end_ms(&self, now_ms: u64) -> u64 {
        let total_ms = unsaved_part_ms(self.estimate.expected_ms, self.resumed_permille);
        now_ms + crate::estimate::remaining_ms(total_ms, self.elapsed_ms(now_ms))
    }

    /// How the job reads from outside.
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

/// What is left of `total_ms` when `saved_permille` is saved.
fn unsaved_part_ms(total_ms: u64, saved_permille: u32) -> u64 {
    total_ms * u64::from(1000_u32.saturating_sub(saved_permille)) / 1000
}
