//! Reads the platform's list of workers, and the operator's evacuations, regularly, reports it to the planner, and starts lease renewal for new workers.

use std::sync::Arc;
use std::time::Duration;

use adapter::{CallError, EVACUATIONS_PREFIX, WORKERS_PREFIX, decode_worker_entry};
use scheduler::{WorkerKey, WorkerList};

use crate::clock::now_ms;
use crate::lease_renewal::{check_incarnation, renew_worker_lease};
use crate::metrics::Counter;
use crate::node::Node;
use crate::term::Term;

/// How often the list is read: often enough that a leaving worker gets no new work after a second at most.
pub(crate) const READ_EVERY_MS: u64 = 800;

/// Timeout of reading one page.
const CALL_TIMEOUT_MS: u64 = 900;

/// Reads the list; entries that do not describe a worker are skipped, since other programs may write there.
pub(crate) async fn read_workers(node: &Node) -> Result<WorkerList, CallError> {
    node.metrics.count(Counter::StoreCalls);
    let asked_ms = now_ms();
    let (items, _) = node.store.read_all(WORKERS_PREFIX, CALL_TIMEOUT_MS).await?;
    let entries = items
        .iter()
        .filter_map(|item| decode_worker_entry(item.key.strip_prefix(WORKERS_PREFIX)?, &item.value))
        .collect();
    Ok(WorkerList { entries, asked_ms })
}

/// Reads which data centres the operator evacuates.
pub(crate) async fn read_evacuated(node: &Node) -> Result<Vec<String>, CallError> {
    node.metrics.count(Counter::StoreCalls);
    let (items, _) = node
        .store
        .read_all(EVACUATIONS_PREFIX, CALL_TIMEOUT_MS)
        .await?;
    Ok(items
        .iter()
        .filter_map(|item| item.key.strip_prefix(EVACUATIONS_PREFIX))
        .map(str::to_string)
        .collect())
}

/// Reads the lists of workers and evacuations again and again until the term is over.
pub(crate) async fn follow_workers(term: Arc<Term>) {
    loop {
        tokio::time::sleep(Duration::from_millis(READ_EVERY_MS)).await;
        // A failed read leaves the evacuations as they were.
        if let Ok(evacuated) = read_evacuated(&term.node).await {
            term.lock_planner().set_evacuated(evacuated);
        }
        // A failed read says nothing about the workers; their answers to renewals still do.
        let Ok(list) = read_workers(&term.node).await else {
            continue;
        };
        let asked_ms = list.asked_ms;
        let (added, doubted) = {
            let mut planner = term.lock_planner();
            (planner.list_workers(list, now_ms()), planner.take_doubted())
        };
        term.record_worker_list(asked_ms);
        for worker in added {
            term.spawn(renew_worker_lease(term.clone(), worker));
        }
        for worker in doubted {
            term.spawn(ask_worker(term.clone(), worker));
        }
        term.wake.notify_one();
    }
}

/// Asks a worker which incarnation of it is alive. The renewal in flight may be on a connection to an earlier one.
async fn ask_worker(term: Arc<Term>, worker: WorkerKey) {
    check_incarnation(&term, worker).await;
}
