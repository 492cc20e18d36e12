//! Batches commands into calls to workers, with at most one open call per worker.

use std::collections::BTreeMap;

use model::prelude::*;

use super::GangKey;
use crate::call::CallId;

/// What a command refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Subject {
    /// A member of a gang.
    Member {
        /// The gang.
        gang: GangKey,
        /// Index of the member.
        member: u32,
    },
    /// Only the term of the planner.
    Term,
}

/// A command that waits for its call to be sent or answered.
#[derive(Debug, Clone)]
pub(super) struct QueuedCommand {
    /// What it refers to.
    pub subject: Subject,
    /// The command.
    pub command: LeaseCommand,
}

/// A call that was sent and has no reply yet.
#[derive(Debug, Clone)]
pub(super) struct OpenCall {
    /// The worker.
    pub worker: WorkerName,
    /// Time at which it was sent.
    pub sent_ms: u64,
    /// Its commands.
    pub items: Vec<QueuedCommand>,
}

/// Queued commands and open calls of a planner, by worker.
#[derive(Debug, Clone, Default)]
pub(super) struct CallQueue {
    next: u64,
    queued: BTreeMap<WorkerName, Vec<QueuedCommand>>,
    open: BTreeMap<CallId, OpenCall>,
    busy: BTreeMap<WorkerName, CallId>,
}

impl CallQueue {
    /// Queues a command for `worker`.
    pub fn queue(&mut self, worker: &WorkerName, item: QueuedCommand) {
        match self.queued.get_mut(worker) {
            Some(items) => items.push(item),
            None => {
                self.queued.insert(worker.clone(), vec![item]);
            }
        }
    }

    /// Opens a call to every worker that has commands queued and no open call.
    pub fn open_calls(&mut self, now_ms: u64) -> Vec<CallId> {
        let ready: Vec<WorkerName> = self
            .queued
            .keys()
            .filter(|worker| !self.busy.contains_key(*worker))
            .cloned()
            .collect();
        ready
            .into_iter()
            .filter_map(|worker| self.open_call(now_ms, worker))
            .collect()
    }

    fn open_call(&mut self, now_ms: u64, worker: WorkerName) -> Option<CallId> {
        let items = self.queued.remove(&worker)?;
        let call = CallId(self.next);
        self.next += 1;
        self.busy.insert(worker.clone(), call);
        let open = OpenCall {
            worker,
            sent_ms: now_ms,
            items,
        };
        self.open.insert(call, open);
        Some(call)
    }

    /// Returns whether a command for the worker is queued or in flight.
    pub fn is_busy(&self, worker: &WorkerName) -> bool {
        self.queued.contains_key(worker) || self.busy.contains_key(worker)
    }

    /// Returns the open call with this identifier.
    pub fn get(&self, call: CallId) -> Option<&OpenCall> {
        self.open.get(&call)
    }

    /// Closes a call; `None` when it is not open or is a call to another worker.
    pub fn close(&mut self, worker: &WorkerName, call: CallId) -> Option<OpenCall> {
        if self.open.get(&call)?.worker != *worker {
            return None;
        }
        self.busy.remove(worker);
        self.open.remove(&call)
    }

    /// Returns the oldest open call.
    pub fn oldest(&self) -> Option<(CallId, &OpenCall)> {
        self.open.first_key_value().map(|(id, open)| (*id, open))
    }

    /// Removes all commands and calls; later replies to them will be ignored.
    pub fn clear(&mut self) {
        self.queued.clear();
        self.open.clear();
        self.busy.clear();
    }
}
