//! Takeover by a new leader: reads the state that its predecessor left in the store into the planner.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use adapter::{CallError, Item};
use scheduler::{JobId, JobRecord, Planner, RecordPart, StoredJob, join_record};
use serde_json::Value;

use crate::clock::now_ms;
use crate::hand_over::take_in_hand_over;
use crate::keys;
use crate::node::Node;
use crate::record_writer::{RecordWriter, StoredParts};
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
    let (policy, _) = node
        .store
        .read_all(keys::POLICY_PREFIX, CALL_TIMEOUT_MS)
        .await?;
    let mut planner = Planner::new(planner_limits(node), now_ms());
    restore_policy(&mut planner, node, &policy);
    if let Some(active) = node.configuration.latest() {
        planner.set_configuration(&active.configuration);
    }
    planner.set_evacuated(evacuated);
    let mut to_renew = planner.list_workers(workers, now_ms());
    let (records, parts) = decode_records(node, &records);
    let ended = restore_jobs(&mut planner, node, &requests, records, &parts);
    to_renew.extend(planner.take_unpolled());
    let mut record_writer = RecordWriter::new(chain.map_or(0, |item| item.revision), parts);
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

/// Passes what the decisions under load rest on to the planner. An item that cannot be read is left out: the planner then
/// decides as one that has learned nothing.
fn restore_policy(planner: &mut Planner, node: &Node, items: &[Item]) {
    for item in items {
        let read = match item.key.as_str() {
            keys::SHARES => serde_json::from_slice(&item.value)
                .map(|shares| planner.restore_shares(shares, now_ms())),
            keys::LEARNED => serde_json::from_slice(&item.value)
                .map(|learned| planner.restore_learned(learned, now_ms())),
            _ => Ok(()),
        };
        if let Err(e) = read {
            log_unreadable_item(node, item, &e.to_string());
        }
    }
}

/// Passes all stored jobs and cancels to the planner; returns ended jobs with the time of their end.
fn restore_jobs(
    planner: &mut Planner,
    node: &Node,
    requests: &[Item],
    records: BTreeMap<JobId, JobRecord>,
    parts: &StoredParts,
) -> Vec<(JobId, u64)> {
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
                let parts = parts.get(&stored.id).map_or(Vec::new(), decode_parts);
                let record = records.get(&stored.id).cloned();
                let record = join_record(&stored, record, parts);
                planner.restore_job(stored, record, item.created, now_ms());
            }
            Err(e) => log_unreadable_item(node, item, &e.to_string()),
        }
    }
    for item in hand_overs {
        take_in_hand_over(planner, node, item);
    }
    // The others were cancelled before their submission, and have a record.
    for id in cancels.into_iter().filter(|id| stored_jobs.contains(id)) {
        planner.cancel_job(id, now_ms());
    }
    records
        .into_iter()
        .filter(|(id, record)| record.state.is_final() && !stored_jobs.contains(id))
        .map(|(id, record)| (id, record.ended_unix_ms))
        .collect()
}

/// Decodes records, and sorts out parts of records that can be read.
fn decode_records(node: &Node, items: &[Item]) -> (BTreeMap<JobId, JobRecord>, StoredParts) {
    let (mut records, mut parts) = (BTreeMap::new(), StoredParts::new());
    for item in items {
        let read = match keys::parse_record(&item.key) {
            None => Err("not the key of a record".to_string()),
            Some((id, 0)) => serde_json::from_slice(&item.value)
                .map(|record| _ = records.insert(id, record))
                .map_err(|e| e.to_string()),
            Some((id, number)) => serde_json::from_slice(&item.value)
                .map(|_: RecordPart| {
                    let job = parts.entry(id).or_default();
                    job.insert(number, item.value.clone());
                })
                .map_err(|e| e.to_string()),
        };
        if let Err(why) = read {
            log_unreadable_item(node, item, &why);
        }
    }
    (records, parts)
}

fn decode_parts(parts: &BTreeMap<u32, Vec<u8>>) -> Vec<RecordPart> {
    let decoded = parts.iter().map(|(number, value)| {
        let part: RecordPart = serde_json::from_slice(value).ok()?;
        Some(RecordPart {
            number: *number,
            ..part
        })
    });
    decoded.flatten().collect()
}

pub(crate) fn log_unreadable_item(node: &Node, item: &Item, why: &str) {
    let fields = [
        ("key", Value::from(item.key.as_str())),
        ("why", Value::from(why)),
    ];
    node.log
        .general("planner", "item unreadable, left alone", &fields);
}
