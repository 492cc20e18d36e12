//! Exchange of counts between entry nodes as rows, which expire unless they are refreshed.

use std::collections::BTreeMap;

use model::prelude::*;

use crate::core::Admission;
use crate::queue::{ClassIndex, OrganisationIndex};
use crate::types::{UsageRow, UsageSubject, WorkerKey};

/// Time after which rows that a peer does not refresh are removed, in milliseconds.
const ROW_EXPIRY_MS: u64 = 1_500;

/// Subject of a row, resolved to local keys.
#[derive(Debug, Clone, Copy)]
enum Target {
    Node,
    Organisation(OrganisationIndex),
    Class(ClassIndex),
    Worker(WorkerKey),
    BriefLoad,
    ShortLoad,
}

/// One row of a peer that has been added to the counts.
#[derive(Debug, Clone, Copy)]
struct AppliedRow {
    target: Target,
    in_flight: u32,
    waiting: u32,
}

/// Rows of one peer.
#[derive(Debug)]
struct OwnedRows {
    sequence: u64,
    expires_ms: u64,
    rows: Vec<AppliedRow>,
}

/// Rows of all peers.
#[derive(Debug, Default)]
pub(crate) struct PeerRows {
    by_owner: BTreeMap<NodeName, OwnedRows>,
}

impl PeerRows {
    /// Returns the time at which the next rows expire, in milliseconds.
    pub(crate) fn next_expiry_ms(&self) -> Option<u64> {
        self.by_owner.values().map(|owned| owned.expires_ms).min()
    }

    /// Returns whether rows of all other nodes are present, out of `nodes` including this one.
    pub(crate) fn are_fresh(&self, nodes: u32) -> bool {
        self.by_owner.len() + 1 >= nodes as usize
    }
}

/// Whether a row is added to the counts or subtracted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    Add,
    Subtract,
}

impl Admission {
    /// Returns the counts of this node for its peers. Organisations, classes and workers without
    /// usage have no row.
    pub fn rows(&self, now_ms: u64) -> Vec<UsageRow> {
        let node = UsageRow {
            subject: UsageSubject::Node,
            in_flight: self.lanes.in_flight(),
            waiting: self.waiting,
        };
        let mut rows = vec![node];
        let (brief_load, short_load) = self.lanes.loads_milli(now_ms);
        rows.extend([
            load_row(UsageSubject::BriefLoad, brief_load),
            load_row(UsageSubject::ShortLoad, short_load),
        ]);
        for state in &self.organisations {
            if state.in_flight + state.waiting > 0 {
                rows.push(UsageRow {
                    subject: UsageSubject::Organisation(state.spec.name.clone()),
                    in_flight: state.in_flight,
                    waiting: state.waiting,
                });
            }
        }
        for queue in &self.classes {
            if queue.in_flight + queue.waiting() > 0 {
                rows.push(UsageRow {
                    subject: UsageSubject::Class(queue.spec.name.clone()),
                    in_flight: queue.in_flight,
                    waiting: queue.waiting(),
                });
            }
        }
        rows.extend(self.workers.in_use().map(|(name, in_flight)| UsageRow {
            subject: UsageSubject::Worker(name.clone()),
            in_flight,
            waiting: 0,
        }));
        rows
    }

    /// Replaces the rows of the peer `owner`; ignores rows whose `sequence` is not higher than that
    /// of the last ones.
    pub fn merge_rows(
        &mut self,
        now_ms: u64,
        owner: &NodeName,
        sequence: u64,
        rows: Vec<UsageRow>,
    ) {
        let last = self.peers.by_owner.get(owner).map(|owned| owned.sequence);
        if last.is_some_and(|last| sequence <= last) {
            return;
        }
        self.drop_rows(now_ms, owner);
        let applied: Vec<_> = rows
            .iter()
            .filter_map(|row| self.resolve_row(row))
            .collect();
        for &row in &applied {
            self.apply_row(now_ms, row, Change::Add);
        }
        let owned = OwnedRows {
            sequence,
            expires_ms: now_ms + ROW_EXPIRY_MS,
            rows: applied,
        };
        self.peers.by_owner.insert(owner.clone(), owned);
        self.sharing.fresh = self.peers.are_fresh(self.sharing.nodes);
    }

    /// Removes the rows that were not refreshed in time.
    pub(crate) fn expire_rows(&mut self, now_ms: u64) {
        while self
            .peers
            .next_expiry_ms()
            .is_some_and(|at_ms| at_ms <= now_ms)
        {
            let mut owners = self.peers.by_owner.iter();
            let expired = owners.find(|(_, owned)| owned.expires_ms <= now_ms);
            let Some(owner) = expired.map(|(owner, _)| owner.clone()) else {
                return;
            };
            self.drop_rows(now_ms, &owner);
            self.sharing.fresh = self.peers.are_fresh(self.sharing.nodes);
        }
    }

    fn drop_rows(&mut self, now_ms: u64, owner: &NodeName) {
        if let Some(owned) = self.peers.by_owner.remove(owner) {
            for row in owned.rows {
                self.apply_row(now_ms, row, Change::Subtract);
            }
        }
    }

    /// Resolves the subject of a row; `None` when it is not known here.
    fn resolve_row(&self, row: &UsageRow) -> Option<AppliedRow> {
        let target = match &row.subject {
            UsageSubject::Node => Target::Node,
            UsageSubject::Organisation(name) => {
                Target::Organisation(*self.organisation_by_name.get(name)?)
            }
            UsageSubject::Class(name) => Target::Class(*self.class_by_name.get(name)?),
            UsageSubject::Worker(name) => Target::Worker(self.workers.key(name)?),
            UsageSubject::BriefLoad => Target::BriefLoad,
            UsageSubject::ShortLoad => Target::ShortLoad,
        };
        Some(AppliedRow {
            target,
            in_flight: row.in_flight,
            waiting: row.waiting,
        })
    }

    fn apply_row(&mut self, now_ms: u64, row: AppliedRow, change: Change) {
        let AppliedRow {
            target,
            in_flight,
            waiting,
        } = row;
        let counts = match target {
            Target::Node => &mut self.node_peers,
            Target::BriefLoad => &mut self.lanes.peers_brief_load,
            Target::ShortLoad => &mut self.lanes.peers_short_load,
            Target::Organisation(organisation) => &mut self.organisations[organisation].peers,
            Target::Class(class) => &mut self.classes[class].peers,
            Target::Worker(key) => {
                let (add, subtract) = match change {
                    Change::Add => (in_flight, 0),
                    Change::Subtract => (0, in_flight),
                };
                self.workers.change_peers(now_ms, key, add, subtract);
                return;
            }
        };
        match change {
            Change::Add => counts.add(in_flight, waiting),
            Change::Subtract => counts.subtract(in_flight, waiting),
        }
        if let Target::Organisation(organisation) = target {
            self.rerank(organisation);
        }
    }
}

fn load_row(subject: UsageSubject, load_milli: u32) -> UsageRow {
    UsageRow {
        subject,
        in_flight: load_milli,
        waiting: 0,
    }
}
