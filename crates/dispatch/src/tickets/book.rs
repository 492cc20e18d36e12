//! The ticket book: decides for each request that carries a ticket whether it may be sent, and
//! records its outcome.

use std::collections::{BTreeMap, VecDeque};

use model::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::hand_over::{HandOver, unpack_ledger};
use super::ledger::{Ledger, Progress, Spent, StoredOutcome, Validity};

/// Durations and limits of a ticket book.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TicketConfig {
    /// Time after the draw within which the request of a ticket may be begun.
    pub valid_ms: u64,
    /// Time after the draw for which the ticket's record is kept.
    pub keep_ms: u64,
    /// Largest number of outcomes kept.
    pub outcomes_max: usize,
    /// Largest size of all outcomes kept, in bytes.
    pub outcome_bytes_max: usize,
}

impl Default for TicketConfig {
    fn default() -> Self {
        Self {
            valid_ms: 600_000,
            keep_ms: 1_800_000,
            outcomes_max: 20_000,
            outcome_bytes_max: 32 << 20,
        }
    }
}

/// What to do with a request that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// Run it; call [`TicketBook::record_sent`] before the first byte is sent.
    Run,
    /// The same request is in flight; wait for its outcome.
    Join,
    /// It has ended with this outcome.
    Answered(StoredOutcome),
    /// It was not run and will not be run.
    Refuse(RefusalReason),
    /// It may have run.
    Unknown(UnknownReason),
    /// Forward it to the node that holds the ticket.
    Forward {
        /// The node that holds the ticket.
        node: NodeName,
        /// The last known incarnation of that node.
        incarnation: Incarnation,
    },
}

/// Why a request with a ticket must not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SendError {
    /// The request was not begun here, or the ticket has been handed over to another node.
    #[error("the ticket is not held here")]
    NotHeld,
    /// Bytes of an earlier attempt may have reached a worker.
    #[error("the ticket was sent before")]
    SentBefore,
}

/// All tickets that one entry node may spend: its own, and those handed over to it.
#[derive(Debug, Clone)]
pub struct TicketBook {
    config: TicketConfig,
    own: (DataCentreName, NodeName, Incarnation),
    ledgers: BTreeMap<(NodeName, Incarnation), Ledger>,
    /// Tickets whose outcomes are kept, oldest first; some may have been forgotten since.
    outcome_order: VecDeque<(NodeName, Incarnation, u64)>,
    outcome_bytes: usize,
    outcome_count: usize,
    /// Nodes that hold the tickets of other issuers since a hand-over.
    holders: BTreeMap<(NodeName, Incarnation), (NodeName, Incarnation)>,
    /// Peer that this book was handed over to.
    heir: Option<(NodeName, Incarnation)>,
    /// Whether this node is stopping, so that no ticket is drawn or spent here any more.
    closed: bool,
}

impl TicketBook {
    /// Creates the book of a node that has issued no ticket in this incarnation.
    pub fn new(
        data_centre: DataCentreName,
        node: NodeName,
        incarnation: Incarnation,
        config: TicketConfig,
    ) -> Self {
        let ledger = Ledger::new(data_centre.clone(), node.clone(), incarnation);
        Self {
            config,
            ledgers: BTreeMap::from([((node.clone(), incarnation), ledger)]),
            own: (data_centre, node, incarnation),
            outcome_order: VecDeque::new(),
            outcome_bytes: 0,
            outcome_count: 0,
            holders: BTreeMap::new(),
            heir: None,
            closed: false,
        }
    }

    /// Draws `count` tickets ahead of use; a stopping node draws none.
    pub fn draw(&mut self, now_ms: u64, count: u32) -> Vec<Ticket> {
        if self.closed {
            return Vec::new();
        }
        let key = self.own_key();
        match self.ledgers.get_mut(&key) {
            Some(ledger) => ledger.draw(now_ms, count),
            None => Vec::new(),
        }
    }

    /// Returns the time after the draw within which the request of a ticket may be begun, in
    /// milliseconds.
    pub const fn valid_ms(&self) -> u64 {
        self.config.valid_ms
    }

    /// Returns the issuers whose tickets are held here, to be announced to peers; none while
    /// stopping.
    pub fn held_issuers(&self) -> impl Iterator<Item = &(NodeName, Incarnation)> {
        self.ledgers.keys().filter(|_| !self.closed)
    }

    /// Records that `holder` holds the tickets of `issuer` after a hand-over.
    pub fn on_holder(&mut self, issuer: (NodeName, Incarnation), holder: (NodeName, Incarnation)) {
        self.holders.insert(issuer, holder);
    }

    /// Begins the request whose body has the digest `body` under `ticket`, or returns what to do
    /// instead.
    pub fn begin(&mut self, now_ms: u64, ticket: &Ticket, body: ContentDigest) -> Begin {
        let key = (ticket.node.clone(), ticket.incarnation);
        let closed = self.closed;
        let valid_ms = self.config.valid_ms;
        let Some(ledger) = self.ledgers.get_mut(&key) else {
            return self.redirect(key);
        };
        if !ledger.has_issued(ticket) {
            return Begin::Refuse(RefusalReason::NotFound);
        }
        if let Some(spent) = ledger.spent.get(&ticket.sequence) {
            return answer_repeat(spent, body);
        }
        let validity = ledger.validity(now_ms, ticket.sequence, valid_ms);
        if closed && validity != Validity::Forgotten {
            return self.redirect(key);
        }
        match validity {
            Validity::NotDrawn => Begin::Refuse(RefusalReason::NotFound),
            Validity::Expired => Begin::Refuse(RefusalReason::TicketExpired),
            Validity::Forgotten => Begin::Unknown(UnknownReason::RecordDropped),
            Validity::Valid => {
                let progress = Progress::InFlight { sent_to: None };
                ledger
                    .spent
                    .insert(ticket.sequence, Spent { body, progress });
                Begin::Run
            }
        }
    }

    /// Records that bytes of the request may be sent to `worker` from now on.
    ///
    /// # Errors
    ///
    /// Fails if the request must not be sent: the ticket is not held here or was sent before.
    pub fn record_sent(&mut self, ticket: &Ticket, worker: &WorkerName) -> Result<(), SendError> {
        if self.closed {
            return Err(SendError::NotHeld);
        }
        let spent = self.spent_mut(ticket).ok_or(SendError::NotHeld)?;
        match &mut spent.progress {
            Progress::InFlight { sent_to } if sent_to.is_none() => {
                *sent_to = Some(worker.clone());
                Ok(())
            }
            _ => Err(SendError::SentBefore),
        }
    }

    /// Records that the current attempt is proved not to have run, so that another may be sent.
    pub fn record_not_run(&mut self, ticket: &Ticket, proof: &NotRunProof) {
        let _ = proof;
        let progress = self.spent_mut(ticket).map(|spent| &mut spent.progress);
        if let Some(Progress::InFlight { sent_to }) = progress {
            *sent_to = None;
        }
    }

    /// Abandons an attempt that was not sent; the ticket may then be begun again.
    ///
    /// Has no effect on an attempt that may have been sent.
    pub fn abandon(&mut self, ticket: &Ticket) {
        let key = (ticket.node.clone(), ticket.incarnation);
        let Some(ledger) = self.ledgers.get_mut(&key) else {
            return;
        };
        let unsent = Progress::InFlight { sent_to: None };
        let is_unsent = |spent: &Spent| spent.progress == unsent;
        if ledger.spent.get(&ticket.sequence).is_some_and(is_unsent) {
            ledger.spent.remove(&ticket.sequence);
        }
    }

    /// Records the outcome of a ticket; only an unknown outcome is replaced by a later one.
    pub fn record_outcome(&mut self, now_ms: u64, ticket: &Ticket, outcome: StoredOutcome) {
        let Some(spent) = self.spent_mut(ticket) else {
            return;
        };
        let replaced_bytes = match &spent.progress {
            Progress::InFlight { .. } => None,
            Progress::Ended {
                outcome: known @ StoredOutcome::Unknown(_),
            } => Some(known.len_bytes()),
            Progress::Ended { .. } | Progress::Dropped => return,
        };
        let len_bytes = outcome.len_bytes();
        spent.progress = Progress::Ended { outcome };
        match replaced_bytes {
            Some(old_bytes) => self.outcome_bytes -= old_bytes,
            None => {
                self.outcome_count += 1;
                let key = (ticket.node.clone(), ticket.incarnation, ticket.sequence);
                self.outcome_order.push_back(key);
            }
        }
        self.outcome_bytes += len_bytes;
        self.enforce_outcome_limits();
        self.tick(now_ms);
    }

    /// Stops drawing and spending tickets here and packs them for one peer.
    ///
    /// A repeated call for the same peer packs the same tickets. Returns `None` if another peer may
    /// have them already.
    pub fn hand_over(
        &mut self,
        now_ms: u64,
        heir: &NodeName,
        heir_incarnation: Incarnation,
    ) -> Option<HandOver> {
        let heir = (heir.clone(), heir_incarnation);
        if self.heir.as_ref().is_some_and(|known| *known != heir) {
            return None;
        }
        self.closed = true;
        self.heir = Some(heir.clone());
        Some(HandOver::pack(now_ms, heir, self.ledgers.values().cloned()))
    }

    /// Records that no byte of the hand-over reached the peer, so that another peer may be tried.
    pub fn hand_over_not_sent(&mut self) {
        self.heir = None;
    }

    /// Takes over the tickets of a stopping peer; idempotent.
    ///
    /// Returns `false` if the hand-over is for another node or incarnation, or if this node is
    /// stopping too.
    #[must_use]
    pub fn accept_hand_over(&mut self, now_ms: u64, hand_over: HandOver) -> bool {
        if self.closed || hand_over.heir != self.own_key() {
            return false;
        }
        for ledger in hand_over.ledgers {
            let key = (ledger.node.clone(), ledger.incarnation);
            if self.ledgers.contains_key(&key) {
                continue;
            }
            let ledger = unpack_ledger(now_ms, ledger);
            self.count_outcomes(&ledger);
            self.ledgers.insert(key, ledger);
        }
        self.enforce_outcome_limits();
        true
    }

    /// Forgets records that are older than the configured time.
    pub fn tick(&mut self, now_ms: u64) {
        let keep_ms = self.config.keep_ms.max(self.config.valid_ms);
        for ledger in self.ledgers.values_mut() {
            let dropped = ledger.forget(now_ms, keep_ms);
            self.outcome_count -= dropped.count;
            self.outcome_bytes -= dropped.len_bytes;
        }
        let ledgers = &self.ledgers;
        if self.outcome_order.len() > 2 * self.outcome_count + 64 {
            self.outcome_order.retain(|(node, incarnation, sequence)| {
                let ledger = ledgers.get(&(node.clone(), *incarnation));
                ledger.is_some_and(|l| l.spent.contains_key(sequence))
            });
        }
    }

    /// Returns the number and total bytes of the outcomes that are kept.
    pub const fn outcome_usage(&self) -> (usize, usize) {
        (self.outcome_count, self.outcome_bytes)
    }

    fn own_key(&self) -> (NodeName, Incarnation) {
        (self.own.1.clone(), self.own.2)
    }

    fn spent_mut(&mut self, ticket: &Ticket) -> Option<&mut Spent> {
        let key = (ticket.node.clone(), ticket.incarnation);
        let ledger = self.ledgers.get_mut(&key)?;
        ledger.spent.get_mut(&ticket.sequence)
    }

    /// Redirects a request whose ticket cannot be begun here.
    fn redirect(&self, issuer: (NodeName, Incarnation)) -> Begin {
        let heir = self
            .heir
            .as_ref()
            .filter(|_| self.ledgers.contains_key(&issuer));
        if let Some((node, incarnation)) = heir.or_else(|| self.holders.get(&issuer)) {
            return Begin::Forward {
                node: node.clone(),
                incarnation: *incarnation,
            };
        }
        let (node, incarnation) = issuer;
        if node == self.own.1 {
            return Begin::Unknown(UnknownReason::IssuerLost);
        }
        Begin::Forward { node, incarnation }
    }

    /// Counts the outcomes of a ledger that was handed over.
    fn count_outcomes(&mut self, ledger: &Ledger) {
        for (sequence, spent) in &ledger.spent {
            if let Progress::Ended { outcome } = &spent.progress {
                self.outcome_count += 1;
                self.outcome_bytes += outcome.len_bytes();
                let key = (ledger.node.clone(), ledger.incarnation, *sequence);
                self.outcome_order.push_back(key);
            }
        }
    }

    /// Drops the oldest outcomes until the limits hold; their tickets stay spent.
    fn enforce_outcome_limits(&mut self) {
        while self.outcome_count > self.config.outcomes_max
            || self.outcome_bytes > self.config.outcome_bytes_max
        {
            let Some((node, incarnation, sequence)) = self.outcome_order.pop_front() else {
                return;
            };
            let ledger = self.ledgers.get_mut(&(node, incarnation));
            let spent = ledger.and_then(|l| l.spent.get_mut(&sequence));
            let Some(spent) = spent else {
                continue;
            };
            if let Progress::Ended { outcome } = &spent.progress {
                self.outcome_count -= 1;
                self.outcome_bytes -= outcome.len_bytes();
                spent.progress = Progress::Dropped;
            }
        }
    }
}

/// Answers a request whose ticket was begun before.
fn answer_repeat(spent: &Spent, body: ContentDigest) -> Begin {
    if spent.body != body {
        return Begin::Refuse(RefusalReason::TicketMismatch);
    }
    match &spent.progress {
        Progress::InFlight { .. } => Begin::Join,
        Progress::Ended { outcome } => Begin::Answered(outcome.clone()),
        Progress::Dropped => Begin::Unknown(UnknownReason::RecordDropped),
    }
}
