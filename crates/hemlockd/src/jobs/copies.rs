//! Copies changed job records to the other nodes of the data centre, so that they survive a failed
//! leader and an outage of the store.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::record::JobRecord;
use crate::node::Shared;

/// Interval in which changes are collected into one message, in milliseconds.
const BATCH_MS: u64 = 20;

/// Timeout of a call that copies records to a peer, in milliseconds.
const COPY_TIMEOUT_MS: u64 = 1_000;

/// Copies changed records to the peers while this node leads; runs until the node ends.
pub(crate) async fn run_copies(shared: Arc<Shared>) {
    loop {
        shared.jobs.changed.notified().await;
        tokio::time::sleep(Duration::from_millis(BATCH_MS)).await;
        let changed = take_changed(&shared);
        if changed.is_empty() {
            continue;
        }
        shared.jobs.merge_copies(changed.clone());
        shared
            .jobs
            .mark_unstored(changed.iter().map(|record| &record.job));
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let copied = copy_to_peers(&shared, &changed);
            // A peer that misses the copies receives them when it becomes the leader.
            copied.collect::<Vec<_>>().await
        });
    }
}

/// Returns the records that have changed since the last call.
fn take_changed(shared: &Shared) -> Vec<JobRecord> {
    let mut planner = shared.jobs.planner();
    planner
        .as_mut()
        .map(|planner| planner.take_changed())
        .unwrap_or_default()
}

/// Copies `record` until one peer holds it; `false` if none accepts it.
pub(super) async fn copy_to_one_peer(shared: &Shared, record: JobRecord) -> bool {
    let records = [record];
    let mut copied = copy_to_peers(shared, &records);
    while let Some(is_copied) = copied.next().await {
        if is_copied {
            return true;
        }
    }
    false
}

/// Copies `records` to every peer that is not leaving; each result says whether the peer confirmed
/// them.
fn copy_to_peers<'a>(
    shared: &'a Shared,
    records: &'a [JobRecord],
) -> FuturesUnordered<impl Future<Output = bool> + use<'a>> {
    let peers = shared.members.staying_peers().into_iter();
    peers
        .map(|(node, _)| async move {
            let records = records.to_vec();
            let call = shared
                .peers
                .call(&node, COPY_TIMEOUT_MS, async |client, context| {
                    client.copy_jobs(context, records).await
                });
            call.await.is_ok()
        })
        .collect()
}
