//! Sends the job records of this node to a new leader.

use std::sync::Arc;
use std::time::Duration;

use model::prelude::*;

use super::record::JobRecord;
use crate::node::Shared;

/// Maximum number of records per message.
const RECORDS_PER_MESSAGE: usize = 500;

/// Timeout of one call, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;

/// Maximum number of calls per message.
const TRIES_MAX: u32 = 5;

/// Delay between two calls, in milliseconds.
const PAUSE_MS: u64 = 200;

/// Sends all records that this node knows to `leader`, in a separate task.
pub(super) fn send_records(shared: &Arc<Shared>, leader: &NodeName) {
    let records: Vec<_> = shared.jobs.copies().iter().cloned().collect();
    if records.is_empty() {
        return;
    }
    let shared = Arc::clone(shared);
    let leader = leader.clone();
    tokio::spawn(async move {
        for message in records.chunks(RECORDS_PER_MESSAGE) {
            if !send_message(&shared, &leader, message).await {
                log::warn!(target: "jobs", "Node {leader} did not confirm the job records of this node.");
                return;
            }
        }
    });
}

/// Sends one message; `false` if the leader does not confirm it.
async fn send_message(shared: &Shared, leader: &NodeName, message: &[JobRecord]) -> bool {
    for _ in 0..TRIES_MAX {
        let records = message.to_vec();
        let call = shared
            .peers
            .call(leader, TIMEOUT_MS, async |client, context| {
                client.copy_jobs(context, records).await
            });
        if call.await.is_ok() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    false
}
