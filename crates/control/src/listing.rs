//! Follows the platform's list of workers.

use std::sync::Arc;
use std::time::Duration;

use adapter::{CallError, WORKERS_PREFIX, decode_worker_entry};
use scheduler::Listing;

use crate::clock::now_ms;
use crate::lease_renewal::renew_worker_lease;
use crate::metrics::Counter;
use crate::node::Node;
use crate::term::Term;

/// How often the list is read: often enough that a leaving worker gets nothing new within a second.
const READ_EVERY_MS: u64 = 800;

/// How long reading one page may take.
const CALL_TIMEOUT_MS: u64 = 900;

/// Reads the list; entries that another writer may have written name no worker.
pub(crate) async fn read_workers(node: &Node) -> Result<Listing, CallError> {
    node.metrics.count(Counter::StoreCalls);
    let (items, _) = node.store.read_all(WORKERS_PREFIX, CALL_TIMEOUT_MS).await?;
    let entries = items
        .iter()
        .filter_map(|item| decode_worker_entry(item.key.strip_prefix(WORKERS_PREFIX)?, &item.value))
        .collect();
    Ok(Listing { entries })
}

/// Follows the list until the term is over.
pub(crate) async fn follow_workers(term: Arc<Term>) {
    loop {
        tokio::time::sleep(Duration::from_millis(READ_EVERY_MS)).await;
        // A list that cannot be read says nothing about workers; their own answers go on telling.
        let Ok(listing) = read_workers(&term.node).await else {
            continue;
        };
        let added = term.lock_planner().list_workers(listing, now_ms());
        for worker in added {
            term.spawn(renew_worker_lease(term.clone(), worker));
        }
        term.wake.notify_one();
    }
}
