//! Room promised to a group until it is free.

use std::collections::HashMap;

use crate::group::{Claim, GroupKey, Phase};
use crate::planner::Planner;
use crate::spec::Need;
use crate::worker::WorkerKey;

/// A claim whose room is not free this long after its stops must have ended is given up, and made anew elsewhere.
const CLAIM_MARGIN_MS: u64 = 500;

impl Planner {
    /// Promises room on workers to a group.
    pub(crate) fn claim_room(
        &mut self,
        group: GroupKey,
        places: Vec<(u32, WorkerKey)>,
        now_ms: u64,
    ) {
        let need = self.need(group);
        for (_, worker) in &places {
            if let Some(worker) = self.workers.get_mut(*worker) {
                worker.claimed += need;
            }
        }
        self.jobs[group.job].groups[group.group as usize].claim = Some(Claim {
            places,
            since_ms: now_ms,
        });
    }

    /// Gives up a group's claim.
    pub(crate) fn drop_claim(&mut self, group: GroupKey) -> Option<Claim> {
        let need = self.need(group);
        let claim = self.jobs[group.job].groups[group.group as usize]
            .claim
            .take()?;
        for (_, worker) in &claim.places {
            if let Some(worker) = self.workers.get_mut(*worker) {
                worker.claimed -= need;
            }
        }
        Some(claim)
    }

    /// Starts groups whose claimed room is free, and gives up claims that cannot be met.
    pub(crate) fn settle_claims(&mut self, now_ms: u64) {
        let claimed: Vec<GroupKey> = self
            .jobs
            .iter()
            .flat_map(|(job, at)| {
                (0..)
                    .zip(at.groups.iter())
                    .map(move |(group, g)| (GroupKey { job, group }, g))
            })
            .filter(|(_, group)| group.claim.is_some())
            .map(|(key, _)| key)
            .collect();
        for group in claimed {
            self.settle_claim(group, now_ms);
        }
    }

    fn settle_claim(&mut self, group: GroupKey, now_ms: u64) {
        let need = self.need(group);
        let at = &self.jobs[group.job].groups[group.group as usize];
        let Some(claim) = &at.claim else { return };
        let mut wanted: HashMap<WorkerKey, Need> = HashMap::new();
        for (_, worker) in &claim.places {
            *wanted.entry(*worker).or_default() += need;
        }
        let waits = claim
            .places
            .iter()
            .all(|(unit, _)| at.units[*unit as usize].phase == Phase::Waiting);
        let usable = wanted.keys().all(|w| {
            self.workers
                .get(*w)
                .is_some_and(|w| self.is_usable(w, now_ms))
        });
        if !waits
            || !usable
            || now_ms > claim.since_ms + self.limits.stop_grace_ms + CLAIM_MARGIN_MS
        {
            self.drop_claim(group);
            return;
        }
        // The group's own claim is part of what the worker has promised.
        let free = wanted.iter().all(|(worker, need)| {
            self.workers
                .get(*worker)
                .is_some_and(|w| need.fits(&(w.free() + w.claimed)))
        });
        if free && let Some(claim) = self.drop_claim(group) {
            self.intend(group, &claim.places, now_ms);
        }
    }
}
