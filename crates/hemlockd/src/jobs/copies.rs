//! Copies of records in the other nodes of the data centre; they survive a planner and an outage
//! of the store.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::book::JobRecord;
use crate::node::Shared;

/// Time in which changes are collected into one message, in milliseconds.
const BATCH_MS: u64 = 20;

/// Time that a peer has to take copies, in milliseconds.
const COPY_TIMEOUT_MS: u64 = 1_000;

/// Gives changed records to the peers while this node plans; runs until the node ends.
pub(crate) async fn run_copies(shared: Arc<Shared>) {
    loop {
        shared.jobs.changed.notified().await;
        tokio::time::sleep(Duration::from_millis(BATCH_MS)).await;
        let changed = take_changed(&shared);
        if changed.is_empty() {
            continue;
        }
        shared.jobs.take_copies(changed.clone());
        shared
            .jobs
            .mark_unstored(changed.iter().map(|record| &record.job));
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let copied = copy_to_peers(&shared, &changed);
            // A peer that misses the copies is given them when it plans.
            copied.collect::<Vec<_>>().await
        });
    }
}

/// Records that have changed since they were last taken.
fn take_changed(shared: &Shared) -> Vec<JobRecord> {
    let mut planner = shared.jobs.planner();
    planner
        .as_mut()
        .map(|planner| planner.take_changed())
        .unwrap_or_default()
}

/// Waits until one peer holds a copy of `record`; `false` when none takes it.
pub(super) async fn copy_to_one_peer(shared: &Shared, record: JobRecord) -> bool {
    let records = [record];
    let mut copied = copy_to_peers(shared, &records);
    while let Some(is_taken) = copied.next().await {
        if is_taken {
            return true;
        }
    }
    false
}

/// Gives `records` to every peer that stays; yields for each whether it took them.
fn copy_to_peers<'a>(
    shared: &'a Shared,
    records: &'a [JobRecord],
) -> FuturesUnordered<impl Future<Output = bool> + use<'a>> {
    let heirs = shared.members.staying_peers().into_iter();
    heirs
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
