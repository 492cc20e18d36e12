//! Batched acknowledgements: a worker keeps a result until it is told that the result has arrived.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use model::prelude::*;
use platform::http_worker::HttpWorkerApi;
use platform::worker::WorkerApi;

/// Interval between two batches, in milliseconds.
const BATCH_MS: u64 = 250;

/// Maximum number of queued work ids per worker. Further ids are dropped, and the worker removes
/// those results by age.
const PENDING_MAX: usize = 10_000;

/// Work ids to acknowledge, by worker.
#[derive(Debug, Default)]
pub(crate) struct Acknowledgements {
    pending: Mutex<HashMap<SocketAddr, Vec<WorkId>>>,
}

impl Acknowledgements {
    /// Queues the acknowledgement of a result that has arrived.
    pub(crate) fn push(&self, worker: SocketAddr, work_id: WorkId) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let waiting = pending.entry(worker).or_default();
        if waiting.len() < PENDING_MAX {
            waiting.push(work_id);
        }
    }

    /// Removes and returns all queued acknowledgements.
    fn take(&self) -> HashMap<SocketAddr, Vec<WorkId>> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut pending)
    }

    /// Sends all queued acknowledgements, in one call per worker.
    pub(crate) async fn flush(&self, workers: &HttpWorkerApi) {
        let calls = self
            .take()
            .into_iter()
            .map(|(worker, work_ids)| async move {
                // A worker that misses an acknowledgement removes the result by age.
                let _ = workers.acknowledge(worker, &work_ids).await;
            });
        futures::future::join_all(calls).await;
    }

    /// Sends a batch every [`BATCH_MS`] until the node ends.
    pub(crate) async fn run(&self, workers: &HttpWorkerApi) {
        loop {
            tokio::time::sleep(Duration::from_millis(BATCH_MS)).await;
            self.flush(workers).await;
        }
    }
}
