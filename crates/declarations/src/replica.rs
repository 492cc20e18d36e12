//! The configuration in force on one node; its revision only ever increases.

use std::collections::BTreeMap;

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::item::{DeclarationKey, ItemValue};
use crate::loader::apply_entry;
use crate::log::{AcceptedRevision, LogEntry};
use crate::manifest::{LOG_LEN_MAX, trim_log};

/// Summary of a replica that heartbeats carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaDigest {
    /// Revision in force, or `None` before the first.
    pub revision: Option<Revision>,
    /// Time since the store was last known to hold no later revision, or `None` if it never was.
    pub age_ms: Option<u64>,
}

/// The changes between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// Revision that the delta starts from.
    pub from: Revision,
    /// Values in force at the end, of the items that the changes put.
    pub values: Vec<ItemValue>,
    /// The changes, oldest first.
    pub entries: Vec<LogEntry>,
}

impl Delta {
    /// Returns the revision that the delta ends at.
    pub fn to(&self) -> Revision {
        self.entries
            .last()
            .map_or(self.from, |entry| entry.revision)
    }
}

/// A configuration offered to a replica, by the watcher or a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Offer {
    /// The whole configuration.
    Full(Box<AcceptedRevision>),
    /// The changes since an earlier revision.
    Delta(Delta),
}

/// Outcome of an offer to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OfferOutcome {
    /// The offered revision was installed.
    Moved {
        /// Revision that was in force before.
        from: Option<Revision>,
        /// Revision in force now.
        to: Revision,
    },
    /// The offered revision is not higher than the one in force.
    Ignored,
    /// The delta starts above the revision in force; one that starts lower is needed.
    Gap {
        /// Revision in force.
        have: Option<Revision>,
    },
}

/// The configuration in force on one node.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Replica {
    accepted: Option<AcceptedRevision>,
    installed_at_ms: u64,
    confirmed_at_ms: Option<u64>,
}

impl Replica {
    /// Creates a replica without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Installs an offered configuration if its revision is higher than the one in force.
    pub fn offer(&mut self, now_ms: u64, offer: Offer) -> OfferOutcome {
        let from = self.revision();
        let is_installed = match offer {
            Offer::Full(accepted) => self.install_full(*accepted),
            Offer::Delta(delta) => match self.apply_delta(delta) {
                Some(is_installed) => is_installed,
                None => return OfferOutcome::Gap { have: from },
            },
        };
        match self.revision() {
            Some(to) if is_installed => {
                self.installed_at_ms = now_ms;
                OfferOutcome::Moved { from, to }
            }
            _ => OfferOutcome::Ignored,
        }
    }

    /// Installs a whole configuration; returns whether its revision was higher.
    fn install_full(&mut self, accepted: AcceptedRevision) -> bool {
        if self
            .accepted
            .as_ref()
            .is_some_and(|own| accepted.revision <= own.revision)
        {
            return false;
        }
        self.accepted = Some(accepted);
        true
    }

    /// Applies a delta; returns whether the revision has increased, or `None` when there is a gap.
    fn apply_delta(&mut self, delta: Delta) -> Option<bool> {
        let own = self.accepted.as_mut()?;
        if delta.to() <= own.revision {
            return Some(false);
        }
        if delta.from > own.revision {
            return None;
        }
        let mut values: BTreeMap<DeclarationKey, ItemValue> = delta
            .values
            .into_iter()
            .map(|value| (value.key(), value))
            .collect();
        for entry in delta.entries {
            if entry.revision <= own.revision {
                continue;
            }
            own.revision = entry.revision;
            apply_entry(&mut own.index, &entry);
            for item in &entry.items {
                match values.remove(&item.key) {
                    Some(value) => own.set.put(value),
                    None if item.after.is_none() => own.set.remove(&item.key),
                    None => {}
                }
            }
            own.log.push(entry);
        }
        trim_log(&mut own.log, LOG_LEN_MAX);
        Some(true)
    }

    /// Records that the store held no revision above `revision` at `age_ms` before `now_ms`, as
    /// read from the store or reported by a peer. Has no effect while the replica is behind
    /// `revision`.
    pub fn confirm(&mut self, now_ms: u64, revision: Revision, age_ms: u64) {
        if self.revision().is_some_and(|own| own >= revision) {
            let at_ms = now_ms.saturating_sub(age_ms);
            self.confirmed_at_ms = self.confirmed_at_ms.max(Some(at_ms));
        }
    }

    /// Returns the time since the store was last known to hold no later revision, or `None` if it
    /// never was.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_at_ms
            .map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Returns the time at which the revision in force was installed.
    pub const fn installed_at_ms(&self) -> u64 {
        self.installed_at_ms
    }

    /// Returns the revision in force, or `None` before the first.
    pub fn revision(&self) -> Option<Revision> {
        self.accepted.as_ref().map(|accepted| accepted.revision)
    }

    /// Returns the configuration in force, or `None` before the first.
    pub const fn accepted(&self) -> Option<&AcceptedRevision> {
        self.accepted.as_ref()
    }

    /// Returns whether a configuration is in force.
    pub const fn is_ready(&self) -> bool {
        self.accepted.is_some()
    }

    /// Returns the summary that heartbeats carry.
    pub fn digest(&self, now_ms: u64) -> ReplicaDigest {
        ReplicaDigest {
            revision: self.revision(),
            age_ms: self.age_ms(now_ms),
        }
    }

    /// Returns what a peer at revision `have` lacks: a delta when the log reaches back that far,
    /// the whole configuration otherwise; `None` when the peer is up to date.
    pub fn offer_for(&self, have: Option<Revision>) -> Option<Offer> {
        let own = self.accepted.as_ref()?;
        if have.is_some_and(|have| have >= own.revision) {
            return None;
        }
        match have.and_then(|have| self.delta_since(have)) {
            Some(delta) => Some(Offer::Delta(delta)),
            None => Some(Offer::Full(Box::new(own.clone()))),
        }
    }

    /// Returns the changes after `have`, or `None` when the log does not reach back that far.
    pub fn delta_since(&self, have: Revision) -> Option<Delta> {
        let own = self.accepted.as_ref()?;
        let entries = own.entries_after(have)?.to_vec();
        let mut keys: Vec<&DeclarationKey> = entries
            .iter()
            .flat_map(|entry| &entry.items)
            .map(|item| &item.key)
            .collect();
        keys.sort();
        keys.dedup();
        let values = keys
            .into_iter()
            .filter_map(|key| own.set.item(key))
            .collect();
        Some(Delta {
            from: have,
            values,
            entries,
        })
    }
}
