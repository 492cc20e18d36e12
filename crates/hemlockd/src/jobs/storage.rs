//! Writes job records to the store in batches.
//!
//! The store holds [`SEGMENTS`] segments per data centre; a batch writes only the segments whose
//! records have changed. A writer whose compare-and-swap conflicts merges the stored records and
//! writes again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::prelude::*;
use platform::budget::Priority;
use platform::store::{KeyVersion, Store, Swap, SwapOutcome};
use serde::{Deserialize, Serialize};

use super::record::{JobRecord, JobRecords};
use crate::node::Shared;
use crate::telemetry::metrics::retry_counter;

/// Number of segments per data centre.
const SEGMENTS: u64 = 16;

/// Interval in which changes are collected into one batch, in milliseconds.
const BATCH_MS: u64 = 50;

/// Initial backoff after a failed call, in milliseconds.
const BACKOFF_MS: u64 = 100;

/// Maximum backoff after a failed call, in milliseconds.
const BACKOFF_MS_MAX: u64 = 5_000;

/// Value of one segment.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Segment {
    records: Vec<JobRecord>,
}

/// Versions of the segments in the store, and the number of consecutive failures.
#[derive(Debug, Default)]
struct Segments {
    versions: BTreeMap<u64, KeyVersion>,
    failures: u32,
}

/// Returns the segment that holds the record of a job.
pub(super) fn segment_of(job: &JobId) -> u64 {
    job.sequence % SEGMENTS
}

/// Returns the store key of a segment.
fn key_of(shared: &Shared, segment: u64) -> String {
    format!("jobs/{}/{segment:02}", shared.settings.data_centre)
}

/// Stores records while this node leads; runs until the node ends.
pub(crate) async fn run_record_storage(shared: Arc<Shared>) {
    let mut segments = Segments::default();
    loop {
        tokio::select! {
            () = shared.jobs.load_records.notified() => segments = Segments::default(),
            () = shared.jobs.store_wake.notified() => {}
        }
        tokio::time::sleep(Duration::from_millis(BATCH_MS)).await;
        if shared.jobs.planner().is_none() {
            continue;
        }
        let is_loaded = !segments.versions.is_empty() || load_all(&shared, &mut segments).await;
        if is_loaded && store_changed(&shared, &mut segments).await {
            segments.failures = 0;
        } else {
            pause(&shared, &mut segments).await;
        }
    }
}

/// Waits after a failure, then wakes the task so that it retries.
async fn pause(shared: &Shared, segments: &mut Segments) {
    shared
        .metrics
        .count(&retry_counter(RetryReason::StoreUnavailable));
    let backoff_ms = (BACKOFF_MS << segments.failures.min(6)).min(BACKOFF_MS_MAX);
    segments.failures += 1;
    let jittered_ms = rand::random_range(backoff_ms / 2..=backoff_ms);
    tokio::time::sleep(Duration::from_millis(jittered_ms)).await;
    shared.jobs.store_wake.notify_one();
}

/// Reads all segments and passes their records to the planner; `false` if the store fails.
async fn load_all(shared: &Arc<Shared>, segments: &mut Segments) -> bool {
    let mut versions = BTreeMap::new();
    let mut records = Vec::new();
    for segment in 0..SEGMENTS {
        shared.metrics.count("store.reads");
        let store = shared.store.with_priority(Priority::JobRecords);
        match store.get(&key_of(shared, segment)).await {
            Ok(Some(entry)) => {
                versions.insert(segment, entry.version);
                records.extend(parse_segment(&entry.value).records);
            }
            Ok(None) => {
                versions.insert(segment, KeyVersion::default());
            }
            Err(_) => return false,
        }
    }
    let durable: Vec<_> = records.iter().map(|record| record.job.clone()).collect();
    shared.jobs.merge_copies(records.clone());
    shared.update_planner(|planner, now_ms| {
        planner.merge_records(now_ms, records);
        durable
            .into_iter()
            .for_each(|job| planner.mark_durable(job));
    });
    segments.versions = versions;
    // Records that were accepted during an outage are not in the store yet.
    let jobs: Vec<_> = shared.jobs.copies().iter().map(|r| r.job.clone()).collect();
    shared.jobs.mark_unstored(&jobs);
    true
}

/// Parses the records of a segment; a malformed one is logged and treated as empty.
fn parse_segment(value: &str) -> Segment {
    serde_json::from_str(value).unwrap_or_else(|e| {
        log::error!(target: "jobs", "Cannot parse a segment of job records, treating it as empty: {e}.");
        Segment::default()
    })
}

/// Writes all segments whose records have changed; `false` if the store fails.
async fn store_changed(shared: &Arc<Shared>, segments: &mut Segments) -> bool {
    while let Some(segment) = shared.jobs.take_unstored() {
        if !store_segment(shared, segments, segment).await {
            shared.jobs.unstored().insert(segment);
            return false;
        }
    }
    true
}

/// Writes one segment; after a conflict the records are merged and written again.
async fn store_segment(shared: &Arc<Shared>, segments: &mut Segments, segment: u64) -> bool {
    loop {
        let records = records_of(shared, segment);
        let stored: Vec<_> = records.iter().map(|record| record.job.clone()).collect();
        let swap = Swap {
            key: key_of(shared, segment),
            expected: segments.versions.get(&segment).copied().unwrap_or_default(),
            value: serde_json::to_string(&Segment { records }).ok(),
            lease: None,
        };
        shared.metrics.count("store.writes");
        let store = shared.store.with_priority(Priority::JobRecords);
        match store.swap(swap).await {
            Ok(SwapOutcome::Swapped { version }) => {
                segments.versions.insert(segment, version);
                mark_durable(shared, stored);
                return true;
            }
            Ok(SwapOutcome::Conflict { current }) => {
                let version = current
                    .as_ref()
                    .map_or_else(KeyVersion::default, |e| e.version);
                segments.versions.insert(segment, version);
                let found = current.map(|entry| parse_segment(&entry.value).records);
                merge_stored(shared, found.unwrap_or_default());
            }
            Err(_) => return false,
        }
    }
}

/// Merges the records that another writer has stored.
fn merge_stored(shared: &Arc<Shared>, records: Vec<JobRecord>) {
    shared.jobs.merge_copies(records.clone());
    shared.update_planner(|planner, now_ms| planner.merge_records(now_ms, records));
}

/// Records of one segment, as this node knows them.
fn records_of(shared: &Shared, segment: u64) -> Vec<JobRecord> {
    let in_segment = |records: &JobRecords| -> Vec<JobRecord> {
        records
            .iter()
            .filter(|record| segment_of(&record.job) == segment)
            .cloned()
            .collect()
    };
    match shared.jobs.planner().as_ref() {
        Some(planner) => in_segment(&planner.records),
        None => in_segment(&shared.jobs.copies()),
    }
}

/// Marks jobs whose records are now in the store.
fn mark_durable(shared: &Arc<Shared>, stored: Vec<JobId>) {
    shared
        .metrics
        .count_many("jobs.recorded", stored.len() as u64);
    shared.update_planner(|planner, _| {
        stored.into_iter().for_each(|job| planner.mark_durable(job));
    });
    shared.jobs.stored.notify_waiters();
}
