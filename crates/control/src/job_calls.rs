//! Answers calls about accepted jobs: their state, and how many are waiting.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use adapter::Item;
use scheduler::{JobId, JobRecord, JobState, StoredJob};
use serde_json::Value;

use crate::call::{Admitted, Call};
use crate::clock::now_ms;
use crate::intake::{RETRY_PAUSE_MS, retry_limits};
use crate::keys;
use crate::metrics::Counter;
use crate::node::{FinalState, Node};
use crate::reply::Reply;

/// Maximum age of the counts of waiting jobs; the platform allows 2 s.
const WAITING_COUNTS_MAX_AGE_MS: u64 = 900;

/// Number of jobs that have not begun, by queue.
#[derive(Debug, Default)]
pub(crate) struct WaitingCounts {
    /// When the read that returned them was sent.
    read_ms: u64,
    counts: HashMap<String, usize>,
}

/// Reads an item for a request, and retries on a new connection if the store does not answer.
pub(crate) async fn read_item(node: &Node, call: &Call, key: &str) -> Result<Option<Item>, Reply> {
    let mut failed = 0;
    let retry_limits = retry_limits(node);
    loop {
        let left_ms = call.answer_by_ms.saturating_sub(now_ms());
        node.metrics.count(Counter::StoreCalls);
        let why = match node
            .store
            .read(key, retry_limits.timeout_ms.min(left_ms.max(1)), failed > 0)
            .await
        {
            Ok(item) => {
                node.record_store_contact(None);
                return Ok(item);
            }
            Err(e) => e.to_string(),
        };
        failed += 1;
        node.record_store_contact(Some(&why));
        node.metrics.count(Counter::StoreRetriesNotDone);
        if failed >= retry_limits.max_not_done || now_ms() >= call.answer_by_ms {
            return Err(Reply::refused(Counter::RefusedStore, why));
        }
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
}

/// Decodes a job's record; a refusal if it cannot be read.
pub(crate) fn decode_record(node: &Node, id: JobId, item: &Item) -> Result<JobRecord, Reply> {
    let record: JobRecord = serde_json::from_slice(&item.value).map_err(|e| {
        let fields = [
            ("key", Value::from(item.key.as_str())),
            ("why", Value::from(e.to_string())),
        ];
        node.log
            .request("intake", "record unreadable", &id.to_string(), &fields);
        Reply::refused(Counter::RefusedStore, "the job's record cannot be read")
    })?;
    if record.state.is_final() && !record.unsubmitted {
        let state = FinalState {
            state: record.state,
            organisation: record.organisation.as_str().into(),
        };
        node.cache_final_state(id, state);
    }
    Ok(record)
}

/// Answers with a job's state.
pub(crate) async fn read_state(
    node: &Node,
    call: &Call,
    caller: &Admitted<'_>,
    id: JobId,
) -> Reply {
    if let Some(known) = node.cached_final_state(id)
        && caller.may_see(&known.organisation)
    {
        return Reply::State(known.state);
    }
    match find_record(node, call, caller, id).await {
        Ok(record) => record.map_or(Reply::Gone, |record| Reply::State(record.state)),
        Err(reply) => reply,
    }
}

/// Returns the record of a job that the caller may see; none if there is no such job.
pub(crate) async fn find_record(
    node: &Node,
    call: &Call,
    caller: &Admitted<'_>,
    id: JobId,
) -> Result<Option<JobRecord>, Reply> {
    let record = read_record(node, call, id).await?;
    Ok(record.filter(|record| !record.unsubmitted && caller.may_see(&record.organisation)))
}

/// Returns a job's record; none if the store has none.
async fn read_record(node: &Node, call: &Call, id: JobId) -> Result<Option<JobRecord>, Reply> {
    let record = keys::record(id);
    if let Some(item) = read_item(node, call, &record).await? {
        return decode_record(node, id, &item).map(Some);
    }
    if let Some(item) = read_item(node, call, &keys::job(id)).await? {
        return Ok(Some(build_pending_record(&item)));
    }
    // The job may have begun and ended between the two reads; in that case its record exists now.
    match read_item(node, call, &record).await? {
        Some(item) => decode_record(node, id, &item).map(Some),
        None => Ok(None),
    }
}

/// Builds the record of a job for which the planner has not written one yet.
fn build_pending_record(item: &Item) -> JobRecord {
    let stored = serde_json::from_slice::<StoredJob>(&item.value).ok();
    JobRecord {
        state: JobState::Pending,
        queue: stored
            .as_ref()
            .map_or_else(String::new, |job| job.queue.clone()),
        organisation: stored.map_or_else(String::new, |job| job.organisation),
        begun: false,
        unsubmitted: false,
        ended_unix_ms: 0,
        groups: Vec::new(),
    }
}

/// Answers with the number of jobs of a queue that have not begun.
pub(crate) async fn count_waiting(node: &Arc<Node>, queue: &str, call: &Call) -> Reply {
    if let Some(count) = cached_count(
        node,
        queue,
        now_ms().saturating_sub(WAITING_COUNTS_MAX_AGE_MS),
    ) {
        return Reply::Waiting(count);
    }
    let read_ms = now_ms();
    node.metrics.count(Counter::StoreCalls);
    let timeout_ms = retry_limits(node)
        .timeout_ms
        .min(call.answer_by_ms.saturating_sub(read_ms).max(1));
    let read = tokio::time::timeout(
        Duration::from_millis(timeout_ms),
        node.store.read_all(keys::WAITING_PREFIX, timeout_ms),
    );
    let Ok(read) = read.await else {
        return Reply::refused(Counter::RefusedStore, "the list did not arrive in time");
    };
    match read {
        Ok((items, _)) => {
            let mut counts: HashMap<String, usize> = HashMap::new();
            for item in items {
                *counts
                    .entry(String::from_utf8_lossy(&item.value).into_owned())
                    .or_default() += 1;
            }
            if let Ok(mut waiting) = node.waiting_counts.lock() {
                *waiting = WaitingCounts { read_ms, counts };
            }
            cached_count(node, queue, 0).map_or(Reply::Waiting(0), Reply::Waiting)
        }
        Err(e) => Reply::refused(Counter::RefusedStore, e.to_string()),
    }
}

/// Returns the number of waiting jobs of a queue, if it was read after `since_ms`.
fn cached_count(node: &Node, queue: &str, since_ms: u64) -> Option<usize> {
    let waiting = node.waiting_counts.lock().ok()?;
    (waiting.read_ms > since_ms).then(|| waiting.counts.get(queue).copied().unwrap_or(0))
}
