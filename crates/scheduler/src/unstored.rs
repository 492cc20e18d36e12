//! Keeps the runs that workers list as done until that is in the store, and takes in what an earlier planner hands over.
//!
//! A planner whose term ends before it could store them is the only one that knows of those whose worker is gone.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::orders::StoredEnds;
use crate::planner::Planner;
use crate::task::{NameError, TaskName};
use crate::worker::{EndedRun, WorkerKey};

/// A run that did the work of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneRun {
    /// The task.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
}

/// Names what a planner hands over at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HandOverName {
    /// The term of the planner.
    pub term: u64,
    /// Counts what it hands over, from 1.
    pub number: u32,
}

impl fmt::Display for HandOverName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.term, self.number)
    }
}

impl FromStr for HandOverName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let (term, number) = text.split_once('-').ok_or(NameError::HandOver)?;
        match (term.parse(), number.parse()) {
            (Ok(term), Ok(number)) => Ok(HandOverName { term, number }),
            _ => Err(NameError::HandOver),
        }
    }
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

    /// Takes the runs that are known to be done although that is not in the store.
    pub fn take_unstored_done(&mut self) -> Vec<DoneRun> {
        std::mem::take(&mut self.unstored_done)
            .into_iter()
            .map(|done| done.run)
            .collect()
    }

    /// Returns the workers on which something runs or may run.
    pub fn list_occupied_workers(&self) -> Vec<WorkerKey> {
        self.workers
            .keys()
            .filter(|key| self.is_occupied(*key))
            .collect()
    }

    /// Takes in the runs that workers had listed as done to an earlier planner.
    pub fn take_in_hand_over(&mut self, name: HandOverName, runs: &[DoneRun], now_ms: u64) {
        for run in runs {
            self.take_in_done_run(name.term, run, now_ms);
        }
        if !self.taken_in.contains(&name) {
            self.taken_in.push(name);
        }
        self.changed = true;
    }

    fn take_in_done_run(&mut self, term: u64, done: &DoneRun, now_ms: u64) {
        let Some(key) = self.find_task(done.task) else {
            return;
        };
        let Some(task) = self.task(key) else { return };
        if task.is_done() || task.run < done.run {
            return;
        }
        let is_current = task.run == done.run && task.phase.worker().is_some();
        let why = format!(
            "task {} run {} done, as the planner of term {term} heard",
            done.task, done.run
        );
        self.record_decision(Some(done.task.job), "ended", why);
        self.record_start(key.group.job);
        match is_current {
            true => self.finish_task(key, now_ms),
            false => self.finish_late(key, now_ms),
        }
    }
}
