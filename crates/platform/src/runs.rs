//! Requests in flight to each worker and the limit on their number.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use model::prelude::*;

use crate::error::CallError;
use crate::pool::Generation;

/// State behind the lock of [`InFlightRuns`].
#[derive(Debug, Default)]
struct State {
    per_worker: HashMap<SocketAddr, usize>,
    in_flight: HashMap<WorkId, Generation>,
}

/// Requests in flight to all workers.
#[derive(Debug)]
pub(crate) struct InFlightRuns {
    per_worker_max: usize,
    state: Mutex<State>,
}

impl InFlightRuns {
    /// Creates an empty set that allows `per_worker_max` requests at a time to one worker.
    pub(crate) fn new(per_worker_max: usize) -> Self {
        Self {
            per_worker_max,
            state: Mutex::default(),
        }
    }

    /// Locks the state, also after a panic of another holder.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request is in flight until the returned guard is dropped.
    ///
    /// Fails with [`CallError::NotSent`] when the worker is at its limit.
    pub(crate) fn start(
        runs: &Arc<Self>,
        worker: SocketAddr,
        work_id: &WorkId,
        generation: Generation,
    ) -> Result<RunGuard, CallError> {
        let mut state = runs.lock();
        let count = state.per_worker.entry(worker).or_default();
        if *count >= runs.per_worker_max {
            let detail = format!("all connections to {worker} are in use");
            return Err(CallError::NotSent { detail });
        }
        *count += 1;
        state.in_flight.insert(work_id.clone(), generation);
        Ok(RunGuard {
            runs: Arc::clone(runs),
            worker,
            work_id: work_id.clone(),
        })
    }

    /// Returns the generation of the connections that a request in flight uses.
    pub(crate) fn generation(&self, work_id: &WorkId) -> Option<Generation> {
        self.lock().in_flight.get(work_id).copied()
    }
}

/// Guard of a request in flight; dropping it ends the record.
#[derive(Debug)]
pub(crate) struct RunGuard {
    runs: Arc<InFlightRuns>,
    worker: SocketAddr,
    work_id: WorkId,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.runs.lock();
        state.in_flight.remove(&self.work_id);
        if let Some(count) = state.per_worker.get_mut(&self.worker) {
            *count -= 1;
            if *count == 0 {
                state.per_worker.remove(&self.worker);
            }
        }
    }
}
