//! State machine of one start of a gang: takes replies of workers and the time, and yields its
//! phase, its members' states and the events that the planner acts on.

use model::prelude::*;

use super::config::GangConfig;
use super::lease_id::StartId;
use super::member::{Member, Step, back_off, extends_lease};
use super::output::{Members, StartFailure};
use crate::call::CallFailure;

/// Phase of a gang, from the reservation of its leases to their end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Leases are being reserved.
    Reserving,
    /// Tasks are being prepared.
    Preparing,
    /// Prepared tasks are being released to run.
    Releasing,
    /// All members run.
    Running,
    /// All members are being stopped.
    Stopping,
}

/// Why a gang is stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StopCause {
    /// The caller requested it.
    Requested,
    /// A member is lost; its worker, if known.
    Lost(Option<WorkerName>),
    /// A member failed by itself on this worker.
    Failed(WorkerName),
    /// A step of the start failed on this worker.
    Start(Option<WorkerName>, StartFailure),
}

/// Event of a gang that its planner acts on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum GangEvent {
    /// All members run.
    Started,
    /// The gang has to be stopped.
    Stop(StopCause),
}

/// One start of a gang.
#[derive(Debug, Clone)]
pub(super) struct Gang {
    /// The job.
    pub job: JobId,
    /// The job as its caller submitted it.
    pub spec: JobSpec,
    /// Identifier of this start.
    pub start: StartId,
    /// Its members, by index.
    pub members: Vec<Member>,
    /// Its current phase.
    pub phase: Phase,
    /// Whether a task may have run.
    pub released: bool,
    /// Whether its outcome has been reported.
    pub reported: bool,
    /// Why it is stopped.
    pub cause: Option<StopCause>,
    /// Time before which members that the take-over did not find may still run.
    pub missing_may_run_until_ms: u64,
    /// Time until which tasks that are being stopped may save their state.
    pub grace_until_ms: u64,
    /// Earliest time at which the first member may have been released.
    pub release_ms: u64,
    /// Time of the next renewal round.
    pub round_ms: u64,
}

impl Gang {
    /// Creates a gang of `members` in `phase`.
    pub fn new(
        job: JobId,
        spec: JobSpec,
        start: StartId,
        members: Vec<Member>,
        phase: Phase,
    ) -> Self {
        Self {
            job,
            spec,
            start,
            members,
            phase,
            released: !matches!(phase, Phase::Reserving | Phase::Preparing),
            reported: false,
            cause: None,
            missing_may_run_until_ms: 0,
            grace_until_ms: 0,
            release_ms: 0,
            round_ms: 0,
        }
    }

    /// Returns the workers and accelerators of all members.
    pub fn placement(&self) -> Members {
        let place = |m: &Member| (m.worker.clone(), m.accelerators);
        self.members.iter().map(place).collect()
    }

    /// Returns the share of the work that every member has saved, in thousandths.
    pub fn checkpoint_permille(&self) -> u32 {
        let saved = self.members.iter().map(|m| m.checkpoint_permille);
        saved.min().unwrap_or(0)
    }

    /// Begins to stop all members; a later call can only shorten the grace period.
    pub fn begin_stop(&mut self, now_ms: u64, cause: StopCause, grace_ms: u64) {
        let until_ms = now_ms.saturating_add(grace_ms);
        if self.phase == Phase::Stopping {
            self.grace_until_ms = self.grace_until_ms.min(until_ms);
        } else {
            self.phase = Phase::Stopping;
            self.grace_until_ms = until_ms;
        }
        self.cause.get_or_insert(cause);
        for member in &mut self.members {
            member.retry_ms = now_ms;
            member.failures = 0;
        }
    }

    /// Records that replies to open calls will be ignored.
    pub fn on_calls_dropped(&mut self) {
        for member in &mut self.members {
            member.busy = false;
        }
    }

    /// Returns how far it is proved at `now_ms` that the gang has ended.
    pub fn end_proof(&self, now_ms: u64) -> EndProof {
        let missing = self.members.iter().any(|m| m.is_missing);
        if !self.released && missing {
            return EndProof::Proved;
        }
        if !self.is_over() || now_ms < self.missing_may_run_until_ms {
            return EndProof::Unproved;
        }
        if missing {
            return EndProof::Proved;
        }
        let gone_ms = self.members.iter().map(|m| m.gone_from_ms).max();
        EndProof::AllExpired {
            since_ms: gone_ms.unwrap_or(0),
        }
    }

    /// Returns whether all its leases are gone.
    pub fn is_over(&self) -> bool {
        self.members.iter().all(Member::is_over)
    }

    /// Returns whether every member ran to its end.
    pub fn is_finished(&self) -> bool {
        let finished = Step::Ended(Some(TaskEnd::Finished));
        self.members.iter().all(|m| m.step == finished)
    }

    /// Records that a command for `member` was sent at `sent_ms`.
    pub fn on_sent(&mut self, config: &GangConfig, sent_ms: u64, member: u32, op: &LeaseOp) {
        let Some(member) = self.members.get_mut(member as usize) else {
            return;
        };
        if extends_lease(op) {
            member.prior_gone_from_ms = member.gone_from_ms;
            let gone_ms = sent_ms + config.call_timeout_ms + config.grant_ms();
            member.gone_from_ms = member.gone_from_ms.max(gone_ms);
        }
    }

    /// Handles the reply to a command that was sent at `sent_ms`.
    pub fn on_reply(
        &mut self,
        config: &GangConfig,
        times: ReplyTimes,
        index: u32,
        op: &LeaseOp,
        reply: &LeaseReply,
    ) -> Option<GangEvent> {
        let phase = self.phase;
        let member = self.members.get_mut(index as usize)?;
        member.busy = false;
        match reply {
            LeaseReply::Granted {
                state,
                checkpoint_permille,
            } => {
                member.failures = 0;
                member.step = Step::from(*state);
                member.checkpoint_permille = *checkpoint_permille;
                member.confirmed_ms = member.confirmed_ms.max(times.sent_ms);
                if extends_lease(op) {
                    let until_ms = times.sent_ms + config.grant_ms();
                    member.in_force_until_ms = member.in_force_until_ms.max(until_ms);
                    member.due = false;
                } else if phase == Phase::Running {
                    member.retry_ms = times.now_ms + config.backoff_ms;
                }
                if phase == Phase::Stopping {
                    let left_ms = self.grace_until_ms.saturating_sub(times.now_ms);
                    let pause_ms = left_ms.clamp(config.backoff_ms, config.backoff_ms_max);
                    member.retry_ms = times.now_ms + pause_ms;
                    return None;
                }
                let unrequested = member.step == Step::Stopping;
                unrequested.then(|| self.lost(index))
            }
            LeaseReply::Gone {
                end,
                checkpoint_permille,
            } => {
                member.step = Step::Ended(*end);
                member.is_missing = *end != Some(TaskEnd::Finished);
                member.checkpoint_permille = *checkpoint_permille;
                self.on_gone(times.now_ms, index, *end)
            }
            LeaseReply::Refused { why } => self.on_refused(config, times.now_ms, index, op, *why),
        }
    }

    /// Handles a call that yielded no reply.
    pub fn on_failure(
        &mut self,
        config: &GangConfig,
        now_ms: u64,
        index: u32,
        op: &LeaseOp,
        failure: CallFailure,
    ) -> Option<GangEvent> {
        let starting = matches!(self.phase, Phase::Reserving | Phase::Preparing);
        let member = self.members.get_mut(index as usize)?;
        if failure == CallFailure::NotSent && extends_lease(op) {
            member.gone_from_ms = member.prior_gone_from_ms;
        }
        if !member.busy {
            return None;
        }
        back_off(config, now_ms, member);
        if starting && member.failures > config.start_retries {
            return Some(self.start_failed(index, StartFailure::WorkerUnreachable));
        }
        let unresponsive =
            failure == CallFailure::NotSent && self.is_unresponsive(config, now_ms, index);
        unresponsive.then(|| self.lost(index))
    }

    /// Returns whether this member of a running gang is unconfirmed while another member is
    /// confirmed.
    fn is_unresponsive(&self, config: &GangConfig, now_ms: u64, index: u32) -> bool {
        let runs = matches!(self.phase, Phase::Releasing | Phase::Running);
        let unconfirmed = |m: &Member| m.is_unconfirmed(config, now_ms);
        let other_confirmed = self.members.iter().any(|m| !m.is_over() && !unconfirmed(m));
        runs && other_confirmed && self.members.get(index as usize).is_some_and(unconfirmed)
    }

    /// Handles leases that have expired at `now_ms`.
    ///
    /// With `detect_loss`, an expired lease of a running gang means that the member is lost.
    pub fn on_tick(&mut self, now_ms: u64, detect_loss: bool) -> Option<GangEvent> {
        match self.phase {
            Phase::Releasing | Phase::Running if !detect_loss => None,
            Phase::Releasing | Phase::Running => {
                let expired = |m: &Member| !m.is_over() && now_ms >= m.in_force_until_ms;
                let index = self.members.iter().position(expired)?;
                Some(self.lost(index as u32))
            }
            Phase::Stopping => {
                self.expire_members(now_ms);
                None
            }
            Phase::Reserving | Phase::Preparing => None,
        }
    }

    /// Enters the next phase when all members are ready for it.
    pub fn enter_next_phase(&mut self, now_ms: u64) -> Option<GangEvent> {
        let all = |steps: &[Step]| {
            let finished = Step::Ended(Some(TaskEnd::Finished));
            let fits = |m: &Member| steps.contains(&m.step) || m.step == finished;
            self.members.iter().all(fits)
        };
        if self.phase == Phase::Reserving && all(&[Step::Reserved, Step::Prepared]) {
            self.phase = Phase::Preparing;
        }
        if self.phase == Phase::Preparing && all(&[Step::Prepared]) {
            self.phase = Phase::Releasing;
            self.release_ms = now_ms;
            self.released = true;
        }
        if self.phase == Phase::Releasing && all(&[Step::Running]) {
            self.phase = Phase::Running;
            return Some(GangEvent::Started);
        }
        None
    }

    fn on_gone(&mut self, now_ms: u64, index: u32, end: Option<TaskEnd>) -> Option<GangEvent> {
        match (self.phase, end) {
            (Phase::Reserving | Phase::Preparing, _) => {
                Some(self.start_failed(index, StartFailure::LeaseLost))
            }
            (Phase::Stopping, Some(TaskEnd::Stopped | TaskEnd::Finished)) => None,
            (Phase::Stopping, _) => {
                self.grace_until_ms = self.grace_until_ms.min(now_ms);
                None
            }
            (_, Some(TaskEnd::Finished)) => None,
            (_, Some(TaskEnd::Failed)) => {
                let worker = self.worker(index)?;
                Some(GangEvent::Stop(StopCause::Failed(worker)))
            }
            (_, Some(TaskEnd::Stopped | TaskEnd::Expired) | None) => Some(self.lost(index)),
        }
    }

    fn on_refused(
        &mut self,
        config: &GangConfig,
        now_ms: u64,
        index: u32,
        op: &LeaseOp,
        why: LeaseRefusal,
    ) -> Option<GangEvent> {
        let starting = matches!(self.phase, Phase::Reserving | Phase::Preparing);
        if self.phase == Phase::Stopping && matches!(op, LeaseOp::Renew { .. }) {
            return None;
        }
        let member = self.members.get_mut(index as usize)?;
        let final_refusal = !matches!(why, LeaseRefusal::AcceleratorHeld);
        if extends_lease(op) {
            member.gone_from_ms = member.prior_gone_from_ms;
        }
        back_off(config, now_ms, member);
        let exhausted = member.failures > config.start_retries;
        let failed = starting && (final_refusal || exhausted);
        failed.then(|| self.start_failed(index, StartFailure::Refused { why }))
    }

    /// Ends members whose lease has certainly expired, and ends the grace period once a running
    /// member may have expired.
    fn expire_members(&mut self, now_ms: u64) {
        let mut shorten = false;
        for member in self.members.iter_mut().filter(|m| !m.is_over()) {
            shorten |= member.step == Step::Running && now_ms >= member.in_force_until_ms;
            if now_ms >= member.gone_from_ms {
                member.step = Step::Ended(None);
                member.is_missing = member.gone_from_ms == 0;
            }
        }
        if shorten {
            self.grace_until_ms = self.grace_until_ms.min(now_ms);
        }
    }

    fn worker(&self, index: u32) -> Option<WorkerName> {
        self.members.get(index as usize).map(|m| m.worker.clone())
    }

    fn lost(&self, index: u32) -> GangEvent {
        GangEvent::Stop(StopCause::Lost(self.worker(index)))
    }

    fn start_failed(&self, index: u32, reason: StartFailure) -> GangEvent {
        GangEvent::Stop(StopCause::Start(self.worker(index), reason))
    }
}

/// How far it is proved that a gang has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndProof {
    /// A member may still run.
    Unproved,
    /// A lease is certainly gone, so no planner can adopt the gang as complete, and either no task
    /// was released or all other leases are gone too.
    Proved,
    /// All leases have expired, unless another planner had adopted the gang before.
    AllExpired {
        /// Time at which the last lease expired.
        since_ms: u64,
    },
}

/// Send time of a call and arrival time of its reply.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReplyTimes {
    /// Time at which the call was sent.
    pub sent_ms: u64,
    /// Time of the reply.
    pub now_ms: u64,
}
