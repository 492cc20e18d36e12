//! Keeps the runs that workers list as done until that is in the store.
//!
//! A planner whose term ends before it could store them is the only one that knows of those whose worker is gone.

use crate::orders::StoredEnds;
use crate::planner::Planner;
use crate::task::TaskName;
use crate::worker::{EndedRun, WorkerKey};

/// A run that did the work of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DoneRun {
    /// The task.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
}

/// A run that a worker lists as done, with the end's number on that incarnation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnstoredDone {
    worker: WorkerKey,
    born_unix_ms: u64,
    number: u64,
    run: DoneRun,
}

impl Planner {
    /// Keeps a run that a worker lists as done.
    pub(crate) fn note_unstored_done(&mut self, worker: WorkerKey, ended: &EndedRun) {
        let (Some(task), Some(lister)) = (ended.task, self.workers.get(worker)) else {
            return;
        };
        self.unstored_done.push(UnstoredDone {
            worker,
            born_unix_ms: lister.entry.born_unix_ms,
            number: ended.number,
            run: DoneRun {
                task,
                run: ended.run,
            },
        });
    }

    /// Drops the runs whose ends are in the store.
    pub(crate) fn drop_stored_done(&mut self, ends: &StoredEnds) {
        self.unstored_done.retain(|done| {
            done.worker != ends.worker
                || done.born_unix_ms != ends.born_unix_ms
                || done.number > ends.number
        });
    }

    /// Returns the runs that are known to be done although that is not in the store.
    pub fn list_unstored_done(&self) -> Vec<DoneRun> {
        self.unstored_done.iter().map(|done| done.run).collect()
    }
}
