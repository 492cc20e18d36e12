//! Ledger of one issuer: which tickets were drawn, and the state of each one that was begun.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// Final outcome of once-only work, kept for repeated requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", rename_all_fields = "snake_case")]
pub enum StoredOutcome {
    /// The work ran and this is its answer.
    Answer {
        /// The work.
        work_id: WorkId,
        /// Digest of the body.
        digest: ContentDigest,
        /// Opaque output.
        body: Arc<[u8]>,
    },
    /// The work ran and failed.
    Failed(Failed),
    /// It is not known whether the work ran.
    Unknown(OutcomeUnknown),
}

impl StoredOutcome {
    /// Returns the size of the variable part of the outcome, in bytes.
    pub fn len_bytes(&self) -> usize {
        match self {
            Self::Answer { body, .. } => body.len(),
            Self::Failed(failed) => failed.detail.len(),
            Self::Unknown(unknown) => unknown.detail.len(),
        }
    }
}

/// Tickets that were drawn together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Batch {
    /// Sequence of the first ticket.
    pub first: u64,
    /// Sequence after the last ticket.
    pub end: u64,
    /// Age of the draw when the ledger was packed for a hand-over; 0 otherwise.
    pub age_ms: u64,
    /// Time of the draw on the clock of the node that holds the ledger.
    #[serde(skip)]
    pub drawn_ms: u64,
}

/// State of a ticket that was begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", rename_all_fields = "snake_case")]
pub(super) enum Progress {
    /// An attempt is in progress.
    InFlight {
        /// Worker that bytes may have been sent to.
        sent_to: Option<WorkerName>,
    },
    /// The outcome is final and kept.
    Ended {
        /// The outcome.
        outcome: StoredOutcome,
    },
    /// The outcome was final and was dropped because of the limits on kept outcomes.
    Dropped,
}

/// A ticket that was begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Spent {
    /// Digest of the request body that it is spent on.
    pub body: ContentDigest,
    /// State of the request.
    pub progress: Progress,
}

/// Whether a ticket may still be begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Validity {
    /// It was never drawn.
    NotDrawn,
    /// It may be begun.
    Valid,
    /// It is too old to be begun, but its record is still kept.
    Expired,
    /// It is so old that its record was removed.
    Forgotten,
}

/// All tickets of one incarnation of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Ledger {
    /// Data centre of the issuer.
    pub data_centre: DataCentreName,
    /// The issuer.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Sequence of the next ticket.
    pub next: u64,
    /// Sequence below which records were removed.
    pub forgotten_below: u64,
    /// Draws whose records are kept, oldest first.
    pub batches: VecDeque<Batch>,
    /// Tickets that were begun, by sequence.
    pub spent: BTreeMap<u64, Spent>,
}

impl Ledger {
    /// Creates a ledger of which no ticket was drawn.
    pub fn new(data_centre: DataCentreName, node: NodeName, incarnation: Incarnation) -> Self {
        Self {
            data_centre,
            node,
            incarnation,
            next: 0,
            forgotten_below: 0,
            batches: VecDeque::new(),
            spent: BTreeMap::new(),
        }
    }

    /// Returns whether `ticket` was issued by this ledger's node and incarnation.
    pub fn has_issued(&self, ticket: &Ticket) -> bool {
        ticket.node == self.node
            && ticket.incarnation == self.incarnation
            && ticket.data_centre == self.data_centre
    }

    /// Draws `count` tickets.
    pub fn draw(&mut self, now_ms: u64, count: u32) -> Vec<Ticket> {
        let first = self.next;
        self.next += u64::from(count);
        self.batches.push_back(Batch {
            first,
            end: self.next,
            age_ms: 0,
            drawn_ms: now_ms,
        });
        (first..self.next)
            .map(|sequence| Ticket {
                data_centre: self.data_centre.clone(),
                node: self.node.clone(),
                incarnation: self.incarnation,
                sequence,
            })
            .collect()
    }

    /// Returns the validity of the ticket with `sequence`, which may be begun for `valid_ms` after
    /// its draw.
    pub fn validity(&self, now_ms: u64, sequence: u64, valid_ms: u64) -> Validity {
        if sequence >= self.next {
            return Validity::NotDrawn;
        }
        if sequence < self.forgotten_below {
            return Validity::Forgotten;
        }
        let at = self.batches.partition_point(|b| b.end <= sequence);
        match self.batches.get(at) {
            Some(batch) if batch.first > sequence => Validity::Forgotten,
            Some(batch) if now_ms < batch.drawn_ms.saturating_add(valid_ms) => Validity::Valid,
            Some(_) => Validity::Expired,
            None => Validity::Forgotten,
        }
    }

    /// Removes the records of draws that are older than `keep_ms`, except attempts in progress.
    ///
    /// Returns the number and size of the outcomes that were dropped.
    pub fn forget(&mut self, now_ms: u64, keep_ms: u64) -> Dropped {
        let mut dropped = Dropped::default();
        while let Some(batch) = self.batches.front() {
            if now_ms < batch.drawn_ms.saturating_add(keep_ms) {
                break;
            }
            self.forgotten_below = batch.end;
            self.batches.pop_front();
        }
        let kept = self.spent.split_off(&self.forgotten_below);
        let old = std::mem::replace(&mut self.spent, kept);
        for (sequence, spent) in old {
            match spent.progress {
                Progress::InFlight { .. } => {
                    self.spent.insert(sequence, spent);
                }
                Progress::Ended { outcome } => dropped.add(&outcome),
                Progress::Dropped => {}
            }
        }
        dropped
    }
}

/// Number and size of outcomes that were dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Dropped {
    /// Their number.
    pub count: usize,
    /// Their total size in bytes.
    pub len_bytes: usize,
}

impl Dropped {
    fn add(&mut self, outcome: &StoredOutcome) {
        self.count += 1;
        self.len_bytes += outcome.len_bytes();
    }
}
