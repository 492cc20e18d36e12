//! Which workers take new work, from the platform's list, the workers and the operators.
//!
//! The earliest source that reports a worker as leaving wins. A worker is opened again only by a
//! new boot or, if an operator drained it, by an operator; an outdated list never opens it. Rows of
//! peers are merged so that their order and repetition do not matter.

use std::collections::BTreeMap;

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// Source that reported a worker as leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaveSource {
    /// The worker refused new work because it is leaving.
    Worker,
    /// The platform's list.
    List,
    /// An operator.
    Operator,
}

/// Last drain or undrain command of an operator for a worker.
///
/// The highest mark wins on every node; of two concurrent commands the drain wins.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainMark {
    /// Version of the operators' commands for this worker, from 1.
    pub version: u64,
    /// Whether the worker is drained.
    pub drained: bool,
    /// Node that received the command.
    pub node: NodeName,
}

/// Since when a boot of a worker is leaving, and by which source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaveMark {
    /// Time since the first source reported it; the larger one wins in a merge.
    pub age_ms: u64,
    /// The first source.
    pub source: LeaveSource,
}

/// State of a worker that one node sends to its peers with its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerRow {
    /// The worker.
    pub worker: WorkerName,
    /// Boot that the leave mark refers to; 0 if it is not known.
    pub boot: u64,
    /// Whether that boot is leaving.
    pub leave: Option<LeaveMark>,
    /// Last command of an operator.
    pub drain: Option<DrainMark>,
}

/// A worker in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedWorker {
    /// The worker.
    pub worker: WorkerName,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// A change that [`Workers`] reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerEvent {
    /// The worker is listed for the first time.
    Joined {
        /// The worker.
        worker: WorkerName,
    },
    /// The worker takes no new work; its long work has to be moved.
    Closed {
        /// The worker.
        worker: WorkerName,
        /// The first source that reported it.
        source: LeaveSource,
    },
    /// The worker takes new work again.
    Opened {
        /// The worker.
        worker: WorkerName,
    },
    /// The worker has restarted and has lost its tasks.
    Rebooted {
        /// The worker.
        worker: WorkerName,
        /// Its boot.
        boot: u64,
    },
    /// The worker is no longer listed.
    Vanished {
        /// The worker.
        worker: WorkerName,
    },
}

#[derive(Debug, Clone, Default)]
struct Worker {
    listed: bool,
    boot: u64,
    leave_since: Option<(u64, LeaveSource)>,
    drain: Option<DrainMark>,
    listed_leaving: bool,
    /// Whether the list's `leaving` still refers to an earlier boot and is ignored.
    list_is_stale: bool,
    rebooted: bool,
}

impl Worker {
    fn closed_by(&self) -> Option<LeaveSource> {
        let drained = self.drain.as_ref().is_some_and(|mark| mark.drained);
        let operator = drained.then_some(LeaveSource::Operator);
        self.leave_since.map(|(_, source)| source).or(operator)
    }

    fn close(&mut self, since_ms: u64, source: LeaveSource) {
        let mark = (since_ms, source);
        self.leave_since = Some(self.leave_since.map_or(mark, |known| known.min(mark)));
    }

    /// Records the boot and discards what was reported about an earlier one.
    fn set_boot(&mut self, boot: u64) {
        let first = self.boot == 0;
        self.boot = boot;
        if first {
            return;
        }
        self.rebooted = true;
        self.leave_since = None;
        self.list_is_stale = self.listed_leaving;
    }
}

/// State of all workers as one entry node sees them.
#[derive(Debug, Clone, Default)]
pub struct Workers {
    workers: BTreeMap<WorkerName, Worker>,
    events: std::collections::VecDeque<WorkerEvent>,
}

impl Workers {
    /// Creates a state machine that knows no worker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles the platform's list of the data centre's workers, which lags.
    pub fn on_list(&mut self, now_ms: u64, listed: &[ListedWorker]) {
        let mut missing: Vec<WorkerName> = self.listed().cloned().collect();
        for entry in listed {
            missing.retain(|name| *name != entry.worker);
            self.update(&entry.worker, |worker| {
                worker.listed = true;
                worker.listed_leaving = entry.leaving;
                if !entry.leaving {
                    worker.list_is_stale = false;
                } else if !worker.list_is_stale {
                    worker.close(now_ms, LeaveSource::List);
                }
            });
        }
        for worker in missing {
            self.workers.remove(&worker);
            self.events.push_back(WorkerEvent::Vanished { worker });
        }
    }

    /// Handles a refusal by a worker, running as `boot`, because it is leaving.
    ///
    /// Without a `boot`, the refusal counts for the last known one.
    pub fn on_refusal(&mut self, now_ms: u64, worker: &WorkerName, boot: Option<u64>) {
        let known = self.workers.get(worker).map_or(0, |w| w.boot);
        let boot = boot.unwrap_or(known);
        self.on_boot(worker, boot);
        self.update(worker, |entry| {
            if boot >= entry.boot {
                entry.close(now_ms, LeaveSource::Worker);
            }
        });
    }

    /// Handles the boot that a worker reports; a lower one than the last known is outdated and
    /// ignored.
    pub fn on_boot(&mut self, worker: &WorkerName, boot: u64) {
        let known = self.workers.get(worker).map_or(0, |w| w.boot);
        if boot <= known {
            return;
        }
        if known > 0 {
            let worker = worker.clone();
            self.events
                .push_back(WorkerEvent::Rebooted { worker, boot });
        }
        self.update(worker, |entry| entry.set_boot(boot));
    }

    /// Drains a worker on behalf of an operator at `node`.
    pub fn drain(&mut self, worker: &WorkerName, node: &NodeName) {
        self.mark_drain(worker, node, true);
    }

    /// Reverts the operators' drain of a worker, on behalf of an operator at `node`.
    pub fn undrain(&mut self, worker: &WorkerName, node: &NodeName) {
        self.mark_drain(worker, node, false);
    }

    /// Returns the rows to send with heartbeats: the workers that are leaving, have a drain mark or
    /// have restarted.
    pub fn rows(&self, now_ms: u64) -> Vec<WorkerRow> {
        let is_reported = |w: &Worker| w.leave_since.is_some() || w.drain.is_some() || w.rebooted;
        self.workers
            .iter()
            .filter(|(_, worker)| is_reported(worker))
            .map(|(name, worker)| build_row(now_ms, name, worker))
            .collect()
    }

    /// Merges the rows of a peer.
    pub fn on_peer_rows(&mut self, now_ms: u64, rows: &[WorkerRow]) {
        for row in rows {
            self.on_boot(&row.worker, row.boot);
            self.update(&row.worker, |worker| merge_row(now_ms, worker, row));
        }
    }

    /// Returns the workers that take new work.
    pub fn open(&self) -> impl Iterator<Item = &WorkerName> {
        self.workers
            .iter()
            .filter(|(_, worker)| worker.listed && worker.closed_by().is_none())
            .map(|(name, _)| name)
    }

    /// Returns the workers that the platform lists.
    pub fn listed(&self) -> impl Iterator<Item = &WorkerName> {
        self.workers
            .iter()
            .filter(|(_, worker)| worker.listed)
            .map(|(name, _)| name)
    }

    /// Returns whether the worker takes new work.
    pub fn is_open(&self, worker: &WorkerName) -> bool {
        let entry = self.workers.get(worker);
        entry.is_some_and(|w| w.listed && w.closed_by().is_none())
    }

    /// Returns the source that first reported the worker as leaving, or `None` if it is not
    /// leaving.
    pub fn closed_by(&self, worker: &WorkerName) -> Option<LeaveSource> {
        self.workers.get(worker)?.closed_by()
    }

    /// Takes the next event, in order.
    pub fn poll(&mut self) -> Option<WorkerEvent> {
        self.events.pop_front()
    }

    fn mark_drain(&mut self, worker: &WorkerName, node: &NodeName, drained: bool) {
        self.update(worker, |entry| {
            let version = entry.drain.as_ref().map_or(1, |mark| mark.version + 1);
            let node = node.clone();
            entry.drain = Some(DrainMark {
                version,
                node,
                drained,
            });
        });
    }

    /// Applies `change` to a worker and reports the resulting events.
    fn update(&mut self, name: &WorkerName, change: impl FnOnce(&mut Worker)) {
        let worker = self.workers.entry(name.clone()).or_default();
        let listed_before = worker.listed;
        let before = worker.closed_by();
        change(worker);
        let after = worker.closed_by();
        let joined = !listed_before && worker.listed;
        let worker = name.clone();
        if joined {
            let worker = worker.clone();
            self.events.push_back(WorkerEvent::Joined { worker });
        }
        match (before, after) {
            (None, Some(source)) => self
                .events
                .push_back(WorkerEvent::Closed { worker, source }),
            (Some(_), None) => self.events.push_back(WorkerEvent::Opened { worker }),
            _ => {}
        }
    }
}

fn build_row(now_ms: u64, name: &WorkerName, worker: &Worker) -> WorkerRow {
    let leave = worker.leave_since.map(|(since_ms, source)| LeaveMark {
        age_ms: now_ms.saturating_sub(since_ms),
        source,
    });
    WorkerRow {
        worker: name.clone(),
        boot: worker.boot,
        leave,
        drain: worker.drain.clone(),
    }
}

fn merge_row(now_ms: u64, worker: &mut Worker, row: &WorkerRow) {
    let unknown_boot = row.boot == 0 && !worker.rebooted;
    let is_current = row.boot >= worker.boot || unknown_boot;
    if let Some(leave) = row.leave.filter(|_| is_current) {
        worker.close(now_ms.saturating_sub(leave.age_ms), leave.source);
    }
    if row.drain > worker.drain {
        worker.drain.clone_from(&row.drain);
    }
}
