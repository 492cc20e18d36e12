//! Commands that a gang sends next, and the time of its next wake-up.

use model::prelude::*;

use super::config::GangConfig;
use super::gang::{Gang, Phase};
use super::member::{Member, Step, build_renewal, next_renewal_ms};

impl Gang {
    /// Returns the commands to send now, with the member index of each; their members are busy
    /// until a reply.
    ///
    /// `round_ms` is the time of the next renewal round.
    pub fn plan(&mut self, config: &GangConfig, now_ms: u64, round_ms: u64) -> Vec<(u32, LeaseOp)> {
        if self.phase == Phase::Running {
            self.begin_round(now_ms, round_ms);
        }
        let unconfirmed = self.count_unconfirmed(config, now_ms);
        let mut planned = Vec::new();
        for index in 0..self.members.len() {
            let ops = self.member_ops(config, now_ms, unconfirmed, index);
            if let Some(member) = self.members.get_mut(index) {
                member.busy = member.busy || !ops.is_empty();
            }
            planned.extend(ops.into_iter().map(|op| (index as u32, op)));
        }
        planned
    }

    /// Returns the time of the gang's next timer, or `u64::MAX` if it has none.
    pub fn wake_ms(&self, config: &GangConfig) -> u64 {
        let members = self.members.iter().filter(|m| !m.is_over());
        let round_open = self.is_round_open();
        let wake_ms = |m| self.member_wake_ms(config, round_open, m);
        let wake = members.map(wake_ms).min();
        let missing = (self.phase == Phase::Stopping && !self.reported && self.released)
            .then_some(self.missing_may_run_until_ms);
        let round = (self.phase == Phase::Running && !round_open).then_some(self.round_ms);
        let wakes = [wake, missing.filter(|_| wake.is_none()), round];
        wakes.into_iter().flatten().min().unwrap_or(u64::MAX)
    }

    /// Returns whether a member has not confirmed the current renewal round yet.
    fn is_round_open(&self) -> bool {
        self.members.iter().any(|m| m.due && !m.is_over())
    }

    fn member_wake_ms(&self, config: &GangConfig, round_open: bool, member: &Member) -> u64 {
        let retry_ms = if member.busy {
            u64::MAX
        } else {
            member.retry_ms
        };
        match self.phase {
            Phase::Reserving | Phase::Preparing => match member.step {
                Step::Unreserved => retry_ms,
                _ => retry_ms.max(next_renewal_ms(config, member)),
            },
            Phase::Releasing if member.step == Step::Prepared => {
                retry_ms.min(member.in_force_until_ms)
            }
            Phase::Running if member.due => retry_ms.min(member.in_force_until_ms),
            Phase::Running if round_open => {
                let probe_ms = retry_ms.max(member.confirmed_ms + config.renew_ms);
                probe_ms.min(member.in_force_until_ms)
            }
            Phase::Releasing | Phase::Running => member.in_force_until_ms,
            Phase::Stopping => retry_ms.min(member.gone_from_ms),
        }
    }

    /// Starts a renewal round once every member has confirmed the previous one.
    ///
    /// While a member is overdue, the others are not renewed, which bounds how long they run
    /// without it.
    fn begin_round(&mut self, now_ms: u64, next_round_ms: u64) {
        if self.is_round_open() || now_ms < self.round_ms {
            return;
        }
        self.round_ms = next_round_ms;
        for member in self.members.iter_mut().filter(|m| !m.is_over()) {
            member.due = true;
        }
    }

    /// Returns the number of members whose last confirmation is too old.
    fn count_unconfirmed(&self, config: &GangConfig, now_ms: u64) -> usize {
        let unconfirmed = |m: &&Member| m.is_unconfirmed(config, now_ms);
        self.members.iter().filter(unconfirmed).count()
    }

    fn member_ops(
        &self,
        config: &GangConfig,
        now_ms: u64,
        unconfirmed: usize,
        index: usize,
    ) -> Vec<LeaseOp> {
        let Some(member) = self.members.get(index).filter(|m| m.is_ready(now_ms)) else {
            return Vec::new();
        };
        match (self.phase, member.step) {
            (_, Step::Ended(_)) => Vec::new(),
            (Phase::Reserving | Phase::Preparing, _) => {
                self.start_ops(config, now_ms, index, member)
            }
            (Phase::Stopping, _) if !self.released => vec![LeaseOp::Return],
            (phase, step) => {
                let others_unconfirmed =
                    unconfirmed - usize::from(member.is_unconfirmed(config, now_ms));
                let renew = (others_unconfirmed == 0).then(|| build_renewal(config));
                match phase {
                    Phase::Stopping => self.stop_ops(now_ms, renew),
                    Phase::Running => self.run_ops(config, now_ms, member, renew),
                    _ if step == Step::Prepared => self.release_ops(config, now_ms, renew),
                    _ => Vec::new(),
                }
            }
        }
    }

    /// Releases a prepared member.
    ///
    /// It is also renewed, but only within [`GangConfig::confirmation_max_age_ms`] after the first
    /// release, which bounds how long some members run without the others.
    fn release_ops(
        &self,
        config: &GangConfig,
        now_ms: u64,
        renew: Option<LeaseOp>,
    ) -> Vec<LeaseOp> {
        let renew = renew.filter(|_| now_ms <= self.release_ms + config.confirmation_max_age_ms());
        renew.into_iter().chain([LeaseOp::Release]).collect()
    }

    fn start_ops(
        &self,
        config: &GangConfig,
        now_ms: u64,
        index: usize,
        member: &Member,
    ) -> Vec<LeaseOp> {
        if member.step == Step::Unreserved {
            return vec![self.reserve(config, index)];
        }
        let mut ops = Vec::new();
        if now_ms >= next_renewal_ms(config, member) {
            ops.push(build_renewal(config));
        }
        if self.phase == Phase::Preparing && member.step == Step::Reserved {
            ops.push(LeaseOp::Prepare);
        }
        ops
    }

    /// Renews a member that is due.
    ///
    /// A member that cannot be renewed, or that awaits the others of the round, is probed by a
    /// repeated release, which has no effect on a running task.
    fn run_ops(
        &self,
        config: &GangConfig,
        now_ms: u64,
        member: &Member,
        renew: Option<LeaseOp>,
    ) -> Vec<LeaseOp> {
        if member.due {
            return vec![renew.unwrap_or(LeaseOp::Release)];
        }
        if self.is_round_open() && now_ms >= member.confirmed_ms + config.renew_ms {
            return vec![LeaseOp::Release];
        }
        Vec::new()
    }

    /// Stops a member.
    ///
    /// During the grace period its lease is renewed, but only until the first member has stopped.
    fn stop_ops(&self, now_ms: u64, renew: Option<LeaseOp>) -> Vec<LeaseOp> {
        let grace_ms = self.grace_until_ms.saturating_sub(now_ms);
        let finished = Step::Ended(Some(TaskEnd::Finished));
        let has_stopped = |m: &Member| m.is_over() && m.step != finished;
        let whole = !self.members.iter().any(has_stopped);
        let renew = renew.filter(|_| grace_ms > 0 && whole);
        let stop = LeaseOp::Stop { grace_ms };
        renew.into_iter().chain([stop]).collect()
    }

    fn reserve(&self, config: &GangConfig, index: usize) -> LeaseOp {
        let accelerators = self.members.get(index).map(|m| m.accelerators);
        LeaseOp::Reserve {
            job: self.job.clone(),
            member: index as u32,
            members: self.members.len() as u32,
            accelerators: accelerators.unwrap_or_default(),
            duration_ms: config.grant_ms(),
            spec: self.spec.clone(),
        }
    }
}
