//! One member of a gang: its lease as last reported by its worker, and the pacing of commands.

use model::prelude::*;

use super::config::GangConfig;
use super::lease_id::jitter;

/// State of a member's lease, as last reported by its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// No lease is confirmed; the reservation was sent or will be.
    Unreserved,
    /// Its accelerators are reserved.
    Reserved,
    /// Its task is ready to run.
    Prepared,
    /// Its task runs.
    Running,
    /// Its task is being stopped.
    Stopping,
    /// Its lease is gone; how its task ended, if its worker said so.
    Ended(Option<TaskEnd>),
}

impl From<LeaseState> for Step {
    fn from(state: LeaseState) -> Self {
        match state {
            LeaseState::Reserved => Self::Reserved,
            LeaseState::Prepared => Self::Prepared,
            LeaseState::Running => Self::Running,
            LeaseState::Stopping => Self::Stopping,
        }
    }
}

/// One member of a gang.
#[derive(Debug, Clone)]
pub(super) struct Member {
    /// Worker that it runs on.
    pub worker: WorkerName,
    /// Its accelerators.
    pub accelerators: AcceleratorMask,
    /// Its lease.
    pub lease: LeaseId,
    /// State of its lease.
    pub step: Step,
    /// Time until which its lease is certainly in force.
    pub in_force_until_ms: u64,
    /// Time from which its lease is certainly gone; 0 if no reservation can have reached it.
    pub gone_from_ms: u64,
    /// Latest time at which its lease is known to have been in force.
    pub confirmed_ms: u64,
    /// Whether its lease is certainly gone without a finished task, so that the gang can never be
    /// complete.
    pub is_missing: bool,
    /// Share of the work that its last checkpoint saved, in thousandths.
    pub checkpoint_permille: u32,
    /// Whether a command is queued or in flight.
    pub busy: bool,
    /// `gone_from_ms` before the open call, restored when that call had no effect.
    pub prior_gone_from_ms: u64,
    /// Whether the current renewal round still needs its confirmation.
    pub due: bool,
    /// Consecutive failed or refused commands.
    pub failures: u32,
    /// Time before which no command is sent.
    pub retry_ms: u64,
}

impl Member {
    /// Creates a member whose lease has not been reserved.
    pub fn new(worker: WorkerName, accelerators: AcceleratorMask, lease: LeaseId) -> Self {
        Self {
            worker,
            accelerators,
            lease,
            step: Step::Unreserved,
            in_force_until_ms: 0,
            gone_from_ms: 0,
            confirmed_ms: 0,
            is_missing: false,
            checkpoint_permille: 0,
            busy: false,
            prior_gone_from_ms: 0,
            due: false,
            failures: 0,
            retry_ms: 0,
        }
    }

    /// Returns whether its lease is gone.
    pub fn is_over(&self) -> bool {
        matches!(self.step, Step::Ended(_))
    }

    /// Returns whether its last confirmation is too old to renew the other members.
    pub fn is_unconfirmed(&self, config: &GangConfig, now_ms: u64) -> bool {
        !self.is_over() && now_ms > self.confirmed_ms + config.confirmation_max_age_ms()
    }

    /// Returns whether a command may be sent at `now_ms`.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        !self.busy && now_ms >= self.retry_ms
    }
}

/// Returns whether the operation sets a new expiry of the lease.
pub(super) const fn extends_lease(op: &LeaseOp) -> bool {
    matches!(op, LeaseOp::Reserve { .. } | LeaseOp::Renew { .. })
}

/// Builds the operation that renews a lease.
pub(super) const fn build_renewal(config: &GangConfig) -> LeaseOp {
    LeaseOp::Renew {
        duration_ms: config.grant_ms(),
    }
}

/// Returns the time at which the lease of a member that does not run yet has to be renewed.
pub(super) fn next_renewal_ms(config: &GangConfig, member: &Member) -> u64 {
    let granted_ms = member.in_force_until_ms.saturating_sub(config.grant_ms());
    granted_ms + config.renew_ms
}

/// Delays the next command of a member by exponential backoff with jitter.
pub(super) fn back_off(config: &GangConfig, now_ms: u64, member: &mut Member) {
    member.busy = false;
    member.failures += 1;
    let doublings = (member.failures - 1).min(16);
    let longest_ms = (config.backoff_ms << doublings).min(config.backoff_ms_max);
    let half_ms = (longest_ms / 2).max(1);
    let spread_ms = jitter([member.lease.0, u64::from(member.failures), now_ms]) % half_ms;
    member.retry_ms = now_ms + half_ms + spread_ms;
}
