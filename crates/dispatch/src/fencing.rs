//! Fences one incarnation of a dead entry node, to prove that its unseen tickets never run.
//!
//! Every worker of the data centre is told to refuse the incarnation. Once all have confirmed, a
//! ticket of the incarnation that no worker has seen cannot run any more.

use std::collections::{BTreeMap, BTreeSet};

use model::prelude::*;

/// What is known about a ticket of a fenced incarnation.
#[derive(Debug)]
pub enum Verdict {
    /// The ticket has not run and cannot run.
    NotRun(NotRunProof),
    /// The worker has seen the ticket; it may have run.
    SeenAt(WorkerName),
    /// Not known: a worker has not confirmed yet, or may have forgotten the ticket, or the ticket
    /// is of another incarnation.
    Pending,
}

/// Fencing of one incarnation of an entry node at every worker of a data centre.
#[derive(Debug)]
pub struct Fencing {
    node: NodeName,
    incarnation: Incarnation,
    pending: BTreeSet<WorkerName>,
    confirmed: BTreeMap<WorkerName, u64>,
    seen: BTreeMap<Ticket, WorkerName>,
}

impl Fencing {
    /// Starts fencing `incarnation` of `node` at `workers`.
    pub fn new(
        node: NodeName,
        incarnation: Incarnation,
        workers: impl IntoIterator<Item = WorkerName>,
    ) -> Self {
        Self {
            node,
            incarnation,
            pending: workers.into_iter().collect(),
            confirmed: BTreeMap::new(),
            seen: BTreeMap::new(),
        }
    }

    /// Returns the command to send to every worker of [`Fencing::pending`].
    pub fn command(&self) -> FenceCommand {
        FenceCommand {
            node: self.node.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns the workers that have not confirmed yet.
    pub fn pending(&self) -> impl Iterator<Item = &WorkerName> {
        self.pending.iter()
    }

    /// Returns whether every worker has confirmed.
    pub fn is_complete(&self) -> bool {
        self.pending.is_empty() && !self.confirmed.is_empty()
    }

    /// Adds a worker that has joined, or that has restarted as `boot` and so lost its fences.
    ///
    /// The caller must not send it work before it has confirmed.
    pub fn on_joined(&mut self, worker: &WorkerName, boot: u64) {
        if self.confirmed.get(worker) == Some(&boot) {
            return;
        }
        self.confirmed.remove(worker);
        self.pending.insert(worker.clone());
    }

    /// Records the confirmation of a worker that runs as `boot`.
    ///
    /// Replies of workers that were not told to fence are ignored.
    pub fn on_reply(&mut self, worker: &WorkerName, boot: u64, reply: &FenceReply) {
        let expected = self.pending.remove(worker) || self.confirmed.contains_key(worker);
        if !expected {
            return;
        }
        self.confirmed.insert(worker.clone(), boot);
        for ticket in &reply.tickets_seen {
            self.seen
                .entry(ticket.clone())
                .or_insert_with(|| worker.clone());
        }
    }

    /// Returns what is known about `ticket`; tickets of other incarnations are
    /// [`Verdict::Pending`].
    ///
    /// A worker that has restarted or vanished since the ticket was issued may have run and
    /// forgotten it; the caller passes `memory_complete = false` in that case.
    pub fn verdict(&self, ticket: &Ticket, memory_complete: bool) -> Verdict {
        let same_issuer = ticket.node == self.node && ticket.incarnation == self.incarnation;
        if !same_issuer {
            return Verdict::Pending;
        }
        if let Some(worker) = self.seen.get(ticket) {
            return Verdict::SeenAt(worker.clone());
        }
        if !memory_complete {
            return Verdict::Pending;
        }
        let workers = self.pending.len() + self.confirmed.len();
        match NotRunProof::of_fencing(workers, self.confirmed.len(), 0) {
            Some(proof) => Verdict::NotRun(proof),
            None => Verdict::Pending,
        }
    }
}
