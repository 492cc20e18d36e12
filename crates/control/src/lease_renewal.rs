//! Renews one worker's lease, confirms the ended runs that are stored, and reports to the planner what runs there.

use std::sync::Arc;
use std::time::Duration;

use adapter::{CallError, LeaseRenewal, WorkerReply};
use scheduler::{RenewalReport, WorkerEntry, WorkerKey};

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

type Answer = Result<Result<RenewalReport, WorkerReply>, CallError>;

/// What came of one renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RenewalOutcome {
    /// The expected incarnation of the worker answered, and its answer is applied.
    Answered,
    /// There was no usable answer.
    Unanswered,
    /// That incarnation of the worker, or this term, is over.
    Over,
}

/// Renews the worker's lease until that incarnation of the worker or the term is over.
pub(crate) async fn renew_worker_lease(term: Arc<Term>, key: WorkerKey) {
    let mut new_connection = false;
    let mut first_renewal = true;
    loop {
        let at_once = first_renewal || new_connection;
        let Some(answer) = send_renewal(&term, key, at_once, new_connection).await else {
            return;
        };
        let stored = term.ends_stored.notified();
        tokio::pin!(stored);
        stored.as_mut().enable();
        match apply_answer(&term, key, answer) {
            RenewalOutcome::Answered => {
                (first_renewal, new_connection) = (false, false);
                if term.lock_planner().has_unstored_ends(key) {
                    let _ =
                        tokio::time::timeout(Duration::from_millis(STORE_WAIT_MS), stored).await;
                }
            }
            RenewalOutcome::Unanswered => {
                new_connection = true;
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
            RenewalOutcome::Over => return,
        }
    }
}

/// Renews the worker's lease once, on a new connection, to learn which incarnation answers.
pub(crate) async fn check_incarnation(term: &Term, key: WorkerKey) -> RenewalOutcome {
    match send_renewal(term, key, true, true).await {
        Some(answer) => apply_answer(term, key, answer),
        None => RenewalOutcome::Over,
    }
}

/// Sends the next renewal; none if that incarnation of the worker is over. With `at_once` the worker answers without
/// waiting.
async fn send_renewal(
    term: &Term,
    key: WorkerKey,
    at_once: bool,
    new_connection: bool,
) -> Option<Answer> {
    let (entry, renewal) = next_renewal(term, key, at_once)?;
    let workers = &term.node.workers;
    Some(
        workers
            .renew_lease(&entry, renewal, now_ms, new_connection)
            .await,
    )
}

/// Applies the answer to a renewal.
fn apply_answer(term: &Term, key: WorkerKey, answer: Answer) -> RenewalOutcome {
    let outcome = match answer {
        Ok(Ok(report)) => {
            let mut planner = term.lock_planner();
            planner.apply_report(key, &report);
            match planner.has_worker(key) {
                true => RenewalOutcome::Answered,
                false => RenewalOutcome::Over,
            }
        }
        Ok(Err(WorkerReply::OlderTerm)) => {
            term.lock_planner().record_later_term();
            RenewalOutcome::Over
        }
        Ok(Err(WorkerReply::OtherLife)) => {
            term.lock_planner()
                .remove_incarnation(key, "another id answered a renewal", now_ms());
            RenewalOutcome::Over
        }
        other => {
            let refused = matches!(&other, Err(e) if e.is_not_done());
            term.node.metrics.count(Counter::HoldsUnanswered);
            term.lock_planner().record_unanswered_renewal(key, refused);
            return RenewalOutcome::Unanswered;
        }
    };
    term.wake.notify_one();
    outcome
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
