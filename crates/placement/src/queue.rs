//! Waiting jobs, grouped by what they need and by organisation.
//!
//! When one job of a group has no place, no other job of the group has one either, so the whole
//! group is skipped until accelerators come free that could hold it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use model::prelude::*;

use crate::fit::Need;
use crate::job::JobKey;
use crate::organisation::OrganisationKey;

/// Key of a group of jobs that need the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct GroupKey(pub(crate) u32);

/// Place of a job in its queue; the smallest goes first.
pub(crate) type Rank = (Urgency, u64, JobKey);

/// Waiting jobs that need the same.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) need: Need,
    /// Whether there was no place outside of the accelerators kept for blocked jobs.
    pub(crate) blocked: bool,
    /// Whether there was no place at all.
    pub(crate) blocked_with_reserved: bool,
    waiting: BTreeMap<OrganisationKey, BTreeSet<Rank>>,
}

impl Group {
    /// Organisations with waiting jobs and the first job of each.
    pub(crate) fn heads(&self) -> impl Iterator<Item = (OrganisationKey, Rank)> {
        let queues = self.waiting.iter();
        queues.filter_map(|(&organisation, queue)| Some((organisation, *queue.first()?)))
    }

    /// Waiting jobs of one organisation, first in turn first.
    pub(crate) fn of_organisation(
        &self,
        organisation: OrganisationKey,
    ) -> impl Iterator<Item = Rank> {
        let queue = self.waiting.get(&organisation);
        queue.into_iter().flatten().copied()
    }
}

/// All waiting jobs that are not held back by a delay.
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
    /// Number of jobs in the queue.
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// The group of jobs that need `need`.
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

    /// The group at `key`.
    pub(crate) fn group(&self, key: GroupKey) -> &Group {
        &self.groups[key.0 as usize]
    }

    /// The group at `key`.
    pub(crate) fn group_mut(&mut self, key: GroupKey) -> &mut Group {
        &mut self.groups[key.0 as usize]
    }

    /// Adds a job.
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

    /// Takes a job out.
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

    /// Groups with waiting jobs of one organisation.
    pub(crate) fn groups_of(&self, organisation: OrganisationKey) -> Vec<GroupKey> {
        let groups = self.by_organisation.get(&organisation);
        groups.into_iter().flatten().copied().collect()
    }

    /// Lets the groups be tried again that `open` accelerators of one rack could hold.
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

    /// Lets every group be tried again.
    pub(crate) fn unblock_all(&mut self) {
        for &key in &self.active {
            let group = &mut self.groups[key.0 as usize];
            group.blocked = false;
            group.blocked_with_reserved = false;
        }
    }
}
