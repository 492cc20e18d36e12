//! Takeover by a new leader: reads the state that its predecessor left in the store into the planner.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use adapter::{CallError, Item};
use scheduler::{JobId, JobRecord, Planner, StoredJob};
use serde_json::Value;

use crate::clock::now_ms;
use crate::hand_over::take_in_hand_over;
use crate::keys;
use crate::node::Node;
use crate::record_writer::RecordWriter;
use crate::term::{Term, planner_limits};

/// Timeout of one read.
const CALL_TIMEOUT_MS: u64 = 900;

/// Reason for stepping down: the lead can be renewed, but the state cannot be read.
pub(crate) const UNREAD_STATE: &str = "the state cannot be read";

/// Reads workers, jobs, cancels and records into the term's planner, and starts renewing workers' leases. Returns the
/// writer of records and the revision to watch requests from.
pub(crate) async fn load_state(term: &Arc<Term>) -> Result<(RecordWriter, u64), CallError> {
    let node = &term.node;
    let workers_asked_ms = now_ms();
    let workers = crate::listing::read_workers(node).await?;
    let evacuated = crate::listing::read_evacuated(node).await?;
    let (requests, seen_revision) = node
        .store
        .read_all(keys::REQUESTS_PREFIX, CALL_TIMEOUT_MS)
        .await?;
    let (records, _) = node
        .store
        .read_all(keys::RECORDS_PREFIX, CALL_TIMEOUT_MS)
        .await?;
    let chain = node.store.read(keys::CHAIN, CALL_TIMEOUT_MS, false).await?;
    let mut planner = Planner::new(planner_limits(node), now_ms());
    if let Some(active) = node.configuration.latest() {
        planner.set_configuration(&active.configuration);
    }
    planner.set_evacuated(evacuated);
    let mut to_renew = planner.list_workers(workers, now_ms());
    let ended = restore_jobs(&mut planner, node, &requests, &records);
    to_renew.extend(planner.take_unpolled());
    let mut record_writer = RecordWriter::new(chain.map_or(0, |item| item.revision));
    record_writer.add_ended_jobs(ended);
    *term.lock_planner() = planner;
    term.record_worker_list(workers_asked_ms);
    for worker in to_renew {
        term.spawn(crate::lease_renewal::renew_worker_lease(
            term.clone(),
            worker,
        ));
    }
    Ok((record_writer, seen_revision))
}

/// Passes all stored jobs and cancels to the planner; returns ended jobs with the time of their end.
fn restore_jobs(
    planner: &mut Planner,
    node: &Node,
    requests: &[Item],
    records: &[Item],
) -> Vec<(JobId, u64)> {
    let mut records_by_job: BTreeMap<JobId, JobRecord> = BTreeMap::new();
    for item in records {
        let id = item
            .key
            .strip_prefix(keys::RECORDS_PREFIX)
            .and_then(|id| id.parse().ok());
        match (id, serde_json::from_slice(&item.value)) {
            (Some(id), Ok(record)) => {
                records_by_job.insert(id, record);
            }
            (_, result) => log_unreadable_item(
                node,
                item,
                &result.err().map_or(String::new(), |e| e.to_string()),
            ),
        }
    }
    let (mut cancels, mut hand_overs) = (Vec::new(), Vec::new());
    let mut stored_jobs = HashSet::new();
    for item in requests {
        if let Some(id) = item
            .key
            .strip_prefix(keys::CANCELS_PREFIX)
            .and_then(|id| id.parse().ok())
        {
            cancels.push(id);
            continue;
        }
        if item.key.starts_with(keys::HAND_OVERS_PREFIX) {
            hand_overs.push(item);
            continue;
        }
        match serde_json::from_slice::<StoredJob>(&item.value) {
            Ok(stored) => {
                stored_jobs.insert(stored.id);
                let record = records_by_job.get(&stored.id).cloned();
                planner.restore_job(stored, record, item.created, now_ms());
            }
            Err(e) => log_unreadable_item(node, item, &e.to_string()),
        }
    }
    for item in hand_overs {
        take_in_hand_over(planner, node, item);
    }
    for id in cancels {
        planner.cancel_job(id, now_ms());
    }
    records_by_job
        .into_iter()
        .filter(|(id, record)| record.state.is_final() && !stored_jobs.contains(id))
        .map(|(id, record)| (id, record.ended_unix_ms))
        .collect()
}

pub(crate) fn log_unreadable_item(node: &Node, item: &Item, why: &str) {
    let fields = [
        ("key", Value::from(item.key.as_str())),
        ("why", Value::from(why)),
    ];
    node.log
        .general("planner", "item unreadable, left alone", &fields);
}
