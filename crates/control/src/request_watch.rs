//! Passes jobs and cancels that nodes store on to the planner, by a watch and, for jobs that the watch missed, by
//! polling.

use std::sync::Arc;
use std::time::Duration;

use adapter::{CallError, Event, Item, WatchOutcome};
use scheduler::{JobId, StoredJob};

use crate::clock::now_ms;
use crate::hand_over::take_in_hand_over;
use crate::keys;
use crate::metrics::Counter;
use crate::takeover::log_unreadable_item;
use crate::term::Term;

/// How long one watch of the requests waits. Together with the timeout below it bounds how late a cancel is noticed
/// when the connection is dead.
const WATCH_WAIT_MS: u64 = 1_000;

/// Timeout of a store call; for a watch, on top of its wait.
const CALL_TIMEOUT_MS: u64 = 900;

/// Delay before retrying after a failed call.
const RETRY_PAUSE_MS: u64 = 60;

/// How often the list of jobs that have not begun is checked for jobs that no watch reported. A watch may receive
/// nothing for a second, and an urgent job that runs for 2 s can wait for at most 1.4 s.
const POLL_EVERY_MS: u64 = 250;

/// A cancelled job's tasks must not start later than this after the cancel, on any of the present deployments.
const MAX_CANCEL_DELAY_MS: u64 = 3_000;

// A watch on a dead connection times out early enough for the cancels to be read again.
const _: () = assert!(WATCH_WAIT_MS + CALL_TIMEOUT_MS < MAX_CANCEL_DELAY_MS);

/// Applies jobs and cancels as they are stored, beginning after revision `seen_revision`.
pub(crate) async fn follow_requests(term: Arc<Term>, seen_revision: u64) {
    let node = term.node.clone();
    let mut after = seen_revision;
    loop {
        node.metrics.count(Counter::StoreCalls);
        let timeout_ms = WATCH_WAIT_MS + CALL_TIMEOUT_MS;
        match node
            .store
            .watch(keys::REQUESTS_PREFIX, after, WATCH_WAIT_MS, timeout_ms)
            .await
        {
            Ok(WatchOutcome::Events(events, _)) => {
                for event in events {
                    after = after.max(apply_event(&term, event));
                }
            }
            // An interrupted watch may have missed events, as may one whose history is no longer available.
            Ok(WatchOutcome::Compacted) | Err(_) => match reread_requests(&term).await {
                Ok(revision) => after = revision,
                Err(_) => tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await,
            },
        }
        term.wake.notify_one();
    }
}

/// Applies one change; returns its revision.
fn apply_event(term: &Term, event: Event) -> u64 {
    match event {
        Event::Written(item) => apply_request(term, &item),
        Event::Removed(_, revision) => revision,
    }
}

fn apply_request(term: &Term, item: &Item) -> u64 {
    if let Some(id) = item
        .key
        .strip_prefix(keys::CANCELS_PREFIX)
        .and_then(|id| id.parse().ok())
    {
        term.lock_planner().cancel_job(id, now_ms());
    } else if item.key.starts_with(keys::HAND_OVERS_PREFIX) {
        take_in_hand_over(&mut term.lock_planner(), &term.node, item);
    } else {
        match serde_json::from_slice::<StoredJob>(&item.value) {
            Ok(stored) => term.lock_planner().add_job(stored, item.created, now_ms()),
            Err(e) => log_unreadable_item(&term.node, item, &e.to_string()),
        }
    }
    item.revision
}

/// Reads and applies all jobs and cancels again; returns the revision read.
async fn reread_requests(term: &Term) -> Result<u64, CallError> {
    let (items, revision) = term
        .node
        .store
        .read_all(keys::REQUESTS_PREFIX, CALL_TIMEOUT_MS)
        .await?;
    let (jobs, others): (Vec<&Item>, Vec<&Item>) = items
        .iter()
        .partition(|item| item.key.starts_with(keys::JOBS_PREFIX));
    for item in jobs.into_iter().chain(others) {
        apply_request(term, item);
    }
    Ok(revision)
}

/// Polls for jobs that no watch reported, until the term is over.
pub(crate) async fn poll_missed_jobs(term: Arc<Term>) {
    loop {
        tokio::time::sleep(Duration::from_millis(POLL_EVERY_MS)).await;
        // A failed read is repeated at the next poll; the watch continues independently.
        if let Ok(found) = add_missed_jobs(&term).await
            && found
        {
            term.wake.notify_one();
        }
    }
}

/// Adds jobs that have not begun and that the planner does not know; returns true if there were any.
async fn add_missed_jobs(term: &Term) -> Result<bool, CallError> {
    let store = &term.node.store;
    term.node.metrics.count(Counter::StoreCalls);
    let (waiting, _) = store
        .read_all(keys::WAITING_PREFIX, CALL_TIMEOUT_MS)
        .await?;
    let ids = waiting
        .iter()
        .filter_map(|item| item.key.strip_prefix(keys::WAITING_PREFIX)?.parse().ok());
    let missed: Vec<JobId> = {
        let mut planner = term.lock_planner();
        ids.filter(|id| !planner.knows_job(*id, now_ms())).collect()
    };
    for id in &missed {
        term.node.metrics.count(Counter::StoreCalls);
        if let Some(item) = store.read(&keys::job(*id), CALL_TIMEOUT_MS, false).await? {
            apply_request(term, &item);
        }
    }
    Ok(!missed.is_empty())
}
