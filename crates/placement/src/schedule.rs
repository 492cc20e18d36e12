//! Start of waiting jobs beyond the guarantees of their organisations.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use model::prelude::*;

use crate::engine::Placement;
use crate::event::Decision;
use crate::fit::{PlacedUnit, SearchOptions, find_place};
use crate::job::{JobKey, Phase};
use crate::organisation::OrganisationKey;
use crate::queue::{GroupKey, Rank};

/// Maximum number of jobs that one event tries to start.
const ATTEMPTS_MAX: usize = 16;

/// Delay before the next attempt to place a job that did not fit without the workers on which it
/// has failed, in milliseconds.
const EXCLUDED_RETRY_MS: u64 = 5_000;

/// A job that may be tried next; candidates are ordered by their fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    urgency: Urgency,
    rank_ms: u64,
    job: JobKey,
    group: GroupKey,
    organisation: OrganisationKey,
    is_blocked: bool,
}

impl Placement {
    /// Starts waiting jobs in order of service until none fits.
    pub(crate) fn start_waiting(&mut self, out: &mut Vec<Decision>) {
        self.has_untried = false;
        if self.topology.open_count == 0 {
            return;
        }
        let mut heads = self.collect_heads();
        let mut attempts_left = ATTEMPTS_MAX;
        while let Some(Reverse(head)) = heads.pop() {
            // The share of the organisation may have changed since the candidate was collected.
            let Some(candidate) = self.first_candidate(head.group, head.organisation) else {
                continue;
            };
            if candidate > head {
                heads.push(Reverse(candidate));
                continue;
            }
            if candidate.is_blocked {
                return;
            }
            if attempts_left == 0 {
                self.has_untried = true;
                return;
            }
            attempts_left -= 1;
            self.try_start(candidate, out);
            let next = self.first_candidate(head.group, head.organisation);
            heads.extend(next.map(Reverse));
        }
    }

    /// Returns the first waiting job of each group and organisation that may fit.
    fn collect_heads(&self) -> BinaryHeap<Reverse<Candidate>> {
        let groups = self.queue.active.iter().copied();
        let groups = groups
            .filter(|&key| !(self.config.backfill && self.queue.group(key).blocked_with_reserved));
        let heads = groups.flat_map(|key| {
            let heads = self.queue.group(key).heads();
            heads.filter_map(move |(organisation, rank)| self.candidate(key, organisation, rank))
        });
        heads.map(Reverse).collect()
    }

    /// Returns the first waiting job of an organisation in a group, if it may be tried.
    fn first_candidate(&self, key: GroupKey, organisation: OrganisationKey) -> Option<Candidate> {
        let mut waiting = self.queue.group(key).waiting_of(organisation);
        self.candidate(key, organisation, waiting.next()?)
    }

    /// Returns a waiting job as a candidate, if it may be tried.
    ///
    /// Without backfill, a blocked job is a candidate too, and keeps all later ones from starting.
    fn candidate(
        &self,
        key: GroupKey,
        organisation: OrganisationKey,
        rank: Rank,
    ) -> Option<Candidate> {
        let group = self.queue.group(key);
        let (urgency, rank_ms, job) = rank;
        if !self.is_within_quota(organisation, group.need.accelerators()) {
            return None;
        }
        let is_blocked =
            group.blocked_with_reserved || group.blocked && !self.may_use_reserved(job);
        if self.config.backfill && is_blocked {
            return None;
        }
        Some(Candidate {
            urgency,
            rank_ms: rank_ms + self.share_delay_ms(organisation),
            job,
            group: key,
            organisation,
            is_blocked,
        })
    }

    /// Starts a job, or marks its group as blocked.
    fn try_start(&mut self, candidate: Candidate, out: &mut Vec<Decision>) {
        let key = candidate.job;
        let job = &self.jobs[key];
        let need = job.need;
        let may_use_reserved = self.may_use_reserved(key);
        let options = SearchOptions {
            excluded: &job.failed_on,
            include_reserved: may_use_reserved,
            include_probation: need.units == 1,
            best_fit: self.config.best_fit,
        };
        if let Some(placed_units) = find_place(&self.topology, &need, options) {
            self.start_at(key, &placed_units, out);
            return;
        }
        if !job.failed_on.is_empty() {
            self.leave_queue(key);
            self.requeue_after(key, EXCLUDED_RETRY_MS);
            return;
        }
        let group = self.queue.group_mut(candidate.group);
        group.blocked = true;
        group.blocked_with_reserved |= may_use_reserved;
    }

    /// Starts a waiting job beyond the guarantees on the given accelerators.
    pub(crate) fn start_at(
        &mut self,
        key: JobKey,
        placed_units: &[PlacedUnit],
        out: &mut Vec<Decision>,
    ) {
        self.leave_queue(key);
        let job = &mut self.jobs[key];
        job.members = job.need.split_members(placed_units);
        self.charge(key, true);
        self.start(key, out);
    }

    /// Starts a job whose members have their accelerators.
    pub(crate) fn start(&mut self, key: JobKey, out: &mut Vec<Decision>) {
        self.hold_members(key);
        let job = &mut self.jobs[key];
        job.phase = Phase::Starting;
        job.waited_ms += self.now_ms.saturating_sub(job.waiting_since_ms);
        let job = &self.jobs[key];
        out.push(Decision::Start {
            job: job.id.clone(),
            members: self.placed_members(job),
        });
    }

    /// Returns whether an organisation may hold `more` accelerators within its quota.
    pub(crate) fn is_within_quota(&self, organisation: OrganisationKey, more: u32) -> bool {
        let organisation = self.registry.organisation(organisation);
        organisation.held.saturating_add(more) <= organisation.quota_accelerators
    }

    /// Returns whether a job may be backfilled on accelerators reserved for blocked jobs: it can
    /// write a checkpoint when they are needed, or is expected to end before.
    fn may_use_reserved(&self, key: JobKey) -> bool {
        let starts = self
            .reservations
            .iter()
            .map(|reservation| reservation.start_ms);
        let Some(start_ms) = starts.min() else {
            return true;
        };
        let job = &self.jobs[key];
        job.spec.checkpointable || self.now_ms + job.cautious_remaining_ms() <= start_ms
    }

    /// Returns the delay added to the rank of an organisation's jobs for its usage beyond its
    /// guarantees, in milliseconds.
    ///
    /// The delay is proportional to the dominant share: the larger of the shares of accelerators
    /// and of workers. A member gets processors and memory of its worker in proportion to its
    /// accelerators, so the share of workers represents both.
    pub(crate) fn share_delay_ms(&self, key: OrganisationKey) -> u64 {
        if !self.config.fairness {
            return 0;
        }
        let organisation = self.registry.organisation(key);
        let beyond = organisation
            .held
            .saturating_sub(organisation.held_guaranteed);
        let accelerators = u64::from(self.topology.usable_count.max(1));
        let workers = u64::from(self.topology.healthy_workers.max(1));
        let share_permille = (u64::from(beyond) * 1000 / accelerators)
            .max(organisation.worker_permille_beyond / workers);
        share_permille * self.config.fairness_ms_per_permille
    }
}
