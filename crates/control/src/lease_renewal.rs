//! Renews one worker's lease, confirms the ended runs that are stored, and reports to the planner what runs there.

use std::sync::Arc;
use std::time::Duration;

use adapter::{LeaseRenewal, WorkerReply};
use scheduler::{WorkerEntry, WorkerKey};

use crate::clock::now_ms;
use crate::metrics::Counter;
use crate::term::Term;

/// How long a renewal waits at the worker for a run to end; the platform's documentation allows this value.
const WAIT_MS: u64 = 2_000;

/// How long a renewal waits at a worker where tasks that serve users share capacity with tasks that use what those
/// leave free: their metrics change within seconds.
const SHARED_WORKER_WAIT_MS: u64 = 400;

/// How long to wait for ended runs to be stored before the next renewal.
const STORE_WAIT_MS: u64 = 300;

/// Delay after an unanswered renewal.
const RETRY_PAUSE_MS: u64 = 100;

/// Renews the worker's lease until that incarnation of the worker or the term is over.
pub(crate) async fn renew_worker_lease(term: Arc<Term>, key: WorkerKey) {
    let mut new_connection = false;
    let mut first_renewal = true;
    while let Some((entry, renewal)) = next_renewal(&term, key, first_renewal || new_connection) {
        let result = term
            .node
            .workers
            .renew_lease(&entry, renewal, now_ms, new_connection)
            .await;
        new_connection = false;
        match result {
            Ok(Ok(report)) => {
                first_renewal = false;
                let stored = term.ends_stored.notified();
                tokio::pin!(stored);
                stored.as_mut().enable();
                let has_unstored_ends = {
                    let mut planner = term.lock_planner();
                    planner.apply_report(key, &report);
                    planner.has_unstored_ends(key)
                };
                term.wake.notify_one();
                if has_unstored_ends {
                    let _ =
                        tokio::time::timeout(Duration::from_millis(STORE_WAIT_MS), stored).await;
                }
            }
            Ok(Err(WorkerReply::OlderTerm)) => {
                term.lock_planner().record_later_term();
                term.wake.notify_one();
                return;
            }
            Ok(Err(WorkerReply::OtherLife)) => {
                term.lock_planner().remove_incarnation(
                    key,
                    "another incarnation answers at its address",
                    now_ms(),
                );
                term.wake.notify_one();
                return;
            }
            other => {
                let refused = matches!(&other, Err(e) if e.is_not_done());
                term.node.metrics.count(Counter::HoldsUnanswered);
                term.lock_planner().record_unanswered_renewal(key, refused);
                new_connection = true;
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        }
    }
}

/// Returns the next renewal; none once the incarnation of the worker is over. With `at_once` the worker answers without
/// waiting.
fn next_renewal(term: &Term, key: WorkerKey, at_once: bool) -> Option<(WorkerEntry, LeaseRenewal)> {
    let mut planner = term.lock_planner();
    let entry = planner.entry(key)?.clone();
    let lease_end_clock_ms = match planner.is_occupied(key) {
        true => planner.grant_lease(key),
        false => None,
    };
    let wait_ms = match at_once || planner.has_unstored_ends(key) {
        true => 0,
        false if planner.is_shared(key) => SHARED_WORKER_WAIT_MS,
        false => WAIT_MS,
    };
    let renewal = LeaseRenewal {
        term: term.lead.term,
        lease_end_clock_ms,
        ends_confirmed: planner.confirmed_ends(key),
        wait_ms,
    };
    Some((entry, renewal))
}
