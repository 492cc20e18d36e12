//! Queue of waiting jobs, grouped by shape and by organisation.
//!
//! When one job of a group does not fit, no other job of the group does, so the whole group is
//! skipped until enough accelerators for one of its jobs become free.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use model::prelude::*;

use crate::fit::Need;
use crate::job::JobKey;
use crate::organisation::OrganisationKey;

/// Key of a group of jobs with the same need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct GroupKey(pub(crate) u32);

/// Place of a job in its queue; the lowest is served first.
pub(crate) type Rank = (Urgency, u64, JobKey);

/// Waiting jobs with the same need.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) need: Need,
    /// Whether a job did not fit without reserved accelerators.
    pub(crate) blocked: bool,
    /// Whether a job did not fit even with reserved accelerators.
    pub(crate) blocked_with_reserved: bool,
    waiting: BTreeMap<OrganisationKey, BTreeSet<Rank>>,
}

impl Group {
    /// Returns the first waiting job of each organisation.
    pub(crate) fn heads(&self) -> impl Iterator<Item = (OrganisationKey, Rank)> {
        let queues = self.waiting.iter();
        queues.filter_map(|(&organisation, queue)| Some((organisation, *queue.first()?)))
    }

    /// Returns the waiting jobs of one organisation in order of service.
    pub(crate) fn waiting_of(&self, organisation: OrganisationKey) -> impl Iterator<Item = Rank> {
        let queue = self.waiting.get(&organisation);
        queue.into_iter().flatten().copied()
    }
}

/// All waiting jobs that are not backing off.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pub(crate) groups: Vec<Group>,
    group_keys: HashMap<Need, GroupKey>,
    /// Groups with waiting jobs, by organisation.
    by_organisation: BTreeMap<OrganisationKey, BTreeSet<GroupKey>>,
    /// Groups with waiting jobs.
    pub(crate) active: BTreeSet<GroupKey>,
    len: usize,
}

impl Queue {
    /// Returns the number of jobs in the queue.
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// Returns the group of jobs with this need, which is added if it does not exist.
    pub(crate) fn group_of(&mut self, need: Need) -> GroupKey {
        let next = GroupKey(self.groups.len() as u32);
        let key = *self.group_keys.entry(need).or_insert(next);
        if key == next {
            self.groups.push(Group {
                need,
                blocked: false,
                blocked_with_reserved: false,
                waiting: BTreeMap::new(),
            });
        }
        key
    }

    /// Returns the group with this key.
    pub(crate) fn group(&self, key: GroupKey) -> &Group {
        &self.groups[key.0 as usize]
    }

    /// Returns the group with this key.
    pub(crate) fn group_mut(&mut self, key: GroupKey) -> &mut Group {
        &mut self.groups[key.0 as usize]
    }

    pub(crate) fn insert(&mut self, need: Need, organisation: OrganisationKey, rank: Rank) {
        let key = self.group_of(need);
        let group = self.group_mut(key);
        if group.waiting.is_empty() {
            group.blocked = false;
            group.blocked_with_reserved = false;
        }
        let queue = group.waiting.entry(organisation).or_default();
        if !queue.insert(rank) {
            return;
        }
        self.len += 1;
        self.active.insert(key);
        let groups = self.by_organisation.entry(organisation).or_default();
        groups.insert(key);
    }

    pub(crate) fn remove(&mut self, need: Need, organisation: OrganisationKey, rank: Rank) {
        let key = self.group_of(need);
        let group = self.group_mut(key);
        let Some(queue) = group.waiting.get_mut(&organisation) else {
            return;
        };
        if !queue.remove(&rank) {
            return;
        }
        if queue.is_empty() {
            group.waiting.remove(&organisation);
            if group.waiting.is_empty() {
                self.active.remove(&key);
            }
            if let Some(groups) = self.by_organisation.get_mut(&organisation) {
                groups.remove(&key);
            }
        }
        self.len -= 1;
    }

    /// Returns the groups with waiting jobs of one organisation.
    pub(crate) fn groups_of(&self, organisation: OrganisationKey) -> Vec<GroupKey> {
        let groups = self.by_organisation.get(&organisation);
        groups.into_iter().flatten().copied().collect()
    }

    /// Unblocks the groups with a job that could use the `open` accelerators of one rack.
    pub(crate) fn unblock(&mut self, open: u64) {
        for &key in &self.active {
            let group = &mut self.groups[key.0 as usize];
            if !group.blocked && !group.blocked_with_reserved {
                continue;
            }
            let fitting = group.need.count_fitting(open);
            let wanted = if group.need.one_rack {
                group.need.units
            } else {
                1
            };
            if fitting >= wanted {
                group.blocked = false;
                group.blocked_with_reserved = false;
            }
        }
    }

    /// Unblocks every group.
    pub(crate) fn unblock_all(&mut self) {
        for &key in &self.active {
            let group = &mut self.groups[key.0 as usize];
            group.blocked = false;
            group.blocked_with_reserved = false;
        }
    }
}
