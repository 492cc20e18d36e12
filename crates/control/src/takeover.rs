//! Reads what the predecessor left in the store.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use adapter::{CallError, Item};
use scheduler::{JobId, JobRecord, Planner, StoredJob};
use serde_json::Value;

use crate::clock::now_ms;
use crate::flush::Flusher;
use crate::keys;
use crate::node::Node;
use crate::term::{Term, planner_limits};

/// How long one read may take.
const CALL_TIMEOUT_MS: u64 = 900;

/// Reads workers, jobs, cancels and records.
pub(crate) async fn load(term: &Arc<Term>) -> Result<(Flusher, u64), CallError> {
    let node = &term.node;
    let listing = crate::listing::read_workers(node).await?;
    let (requests, seen) = node
        .store
        .read_all(keys::REQUESTS_PREFIX, CALL_TIMEOUT_MS)
        .await?;
    let (records, _) = node
        .store
        .read_all(keys::RECORDS_PREFIX, CALL_TIMEOUT_MS)
        .await?;
    let chain = node.store.read(keys::CHAIN, CALL_TIMEOUT_MS, false).await?;
    let mut planner = Planner::new(planner_limits(node), now_ms());
    if let Some(now) = node.contact.latest() {
        planner.set_configuration(&now.configuration);
    }
    let mut added = planner.list_workers(listing, now_ms());
    let ended = restore_jobs(&mut planner, node, &requests, &records);
    added.extend(planner.take_unpolled());
    let mut flusher = Flusher::new(chain.map_or(0, |item| item.revision));
    flusher.note_ended(ended);
    *term.planner() = planner;
    for worker in added {
        term.spawn(crate::holds::hold_worker(term.clone(), worker));
    }
    Ok((flusher, seen))
}

/// Gives the planner all that the store holds; returns jobs that are over, with the time of their end.
fn restore_jobs(
    planner: &mut Planner,
    node: &Node,
    requests: &[Item],
    records: &[Item],
) -> Vec<(JobId, u64)> {
    let mut known: BTreeMap<JobId, JobRecord> = BTreeMap::new();
    for item in records {
        let id = item
            .key
            .strip_prefix(keys::RECORDS_PREFIX)
            .and_then(|id| id.parse().ok());
        match (id, serde_json::from_slice(&item.value)) {
            (Some(id), Ok(record)) => {
                known.insert(id, record);
            }
            (_, result) => note_unreadable(
                node,
                item,
                &result.err().map_or(String::new(), |e| e.to_string()),
            ),
        }
    }
    let mut cancels = Vec::new();
    let mut held = HashSet::new();
    for item in requests {
        if let Some(id) = item
            .key
            .strip_prefix(keys::CANCELS_PREFIX)
            .and_then(|id| id.parse().ok())
        {
            cancels.push(id);
            continue;
        }
        match serde_json::from_slice::<StoredJob>(&item.value) {
            Ok(stored) => {
                held.insert(stored.id);
                let record = known.get(&stored.id).cloned();
                planner.restore_job(stored, record, item.created, now_ms());
            }
            Err(e) => note_unreadable(node, item, &e.to_string()),
        }
    }
    for id in cancels {
        planner.cancel_job(id, now_ms());
    }
    known
        .into_iter()
        .filter(|(id, record)| record.state.is_final() && !held.contains(id))
        .map(|(id, record)| (id, record.ended_unix_ms))
        .collect()
}

pub(crate) fn note_unreadable(node: &Node, item: &Item, why: &str) {
    let fields = [
        ("key", Value::from(item.key.as_str())),
        ("why", Value::from(why)),
    ];
    node.log
        .general("planner", "item unreadable, left alone", &fields);
}
