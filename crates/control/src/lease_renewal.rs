//! Renews one worker's lease, confirms the ended runs that are stored, and reports to the planner what runs there.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter::{CallError, LeaseRenewal, WorkerReply};
use scheduler::{Planner, RenewalReport, WorkerEntry, WorkerKey};

use crate::clock::now_ms;
use crate::metrics::Counter;
use crate::polling::{MIN_PAUSE_MS, poll_pause_ms};
use crate::term::Term;

/// How long a renewal waits at the worker for a run to end; the platform's documentation allows this value.
const WAIT_MS: u64 = 2_000;

/// How long a renewal waits at a worker where tasks that serve users share capacity with tasks that use what those
/// leave free: their metrics change within seconds.
const SHARED_WORKER_WAIT_MS: u64 = 400;

/// How long a renewal waits at a leaving worker: its lease is short, and it may exit at any time.
const LEAVING_WORKER_WAIT_MS: u64 = 500;

/// Delay after an unanswered renewal.
const RETRY_PAUSE_MS: u64 = 100;

/// Delay after a renewal that a worker with another id answered.
const OTHER_ID_PAUSE_MS: u64 = 500;

type Answer = Result<Result<RenewalReport, WorkerReply>, CallError>;

/// What came of one renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RenewalOutcome {
    /// The expected incarnation of the worker answered, and its answer is applied.
    Answered,
    /// There was no usable answer.
    Unanswered,
    /// A worker with another id answered.
    OtherId,
    /// The worker is no longer known, or this term is over.
    Over,
}

/// Where a renewal is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// The worker's own address.
    Own,
    /// Where the list places it, if it does not answer at its own address.
    Proposed,
}

/// Renews the worker's lease until the worker is no longer known or the term is over.
pub(crate) async fn renew_worker_lease(term: Arc<Term>, key: WorkerKey) {
    let mut new_connection = false;
    let mut first_renewal = true;
    let mut place = Place::Own;
    loop {
        let at_once = first_renewal || new_connection;
        let Some((address, answer)) =
            send_renewal(&term, key, place, at_once, new_connection).await
        else {
            return;
        };
        let stored = term.ends_stored.notified();
        tokio::pin!(stored);
        stored.as_mut().enable();
        let pause_ms = match apply_answer(&term, key, &address, answer) {
            RenewalOutcome::Answered => {
                (first_renewal, new_connection, place) = (false, false, Place::Own);
                if term.lock_planner().has_unstored_ends(key) {
                    wait_for_store(&term, key, stored).await;
                }
                continue;
            }
            RenewalOutcome::Unanswered => RETRY_PAUSE_MS,
            RenewalOutcome::OtherId => OTHER_ID_PAUSE_MS,
            RenewalOutcome::Over => return,
        };
        new_connection = true;
        place = match place {
            Place::Own => Place::Proposed,
            Place::Proposed => Place::Own,
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Waits until ended runs that a worker has listed are stored, or until it has to be asked again: until they are, it is not
/// heard while it is not asked, since its renewals do not wait for the next end.
async fn wait_for_store(term: &Term, key: WorkerKey, stored: impl Future<Output = ()>) {
    let waiting = WaitingForStore::begin(term);
    let pause_ms = match is_leaving(&term.lock_planner(), key) {
        // What ends there has to be listed before it exits.
        true => MIN_PAUSE_MS,
        false => poll_pause_ms(waiting.workers),
    };
    let _ = tokio::time::timeout(Duration::from_millis(pause_ms), stored).await;
}

/// Counts a worker among those whose ended runs are not stored, until dropped.
struct WaitingForStore<'t> {
    term: &'t Term,
    /// How many there are, with this one.
    workers: usize,
}

impl WaitingForStore<'_> {
    fn begin(term: &Term) -> WaitingForStore<'_> {
        let others = term.waiting_for_store.fetch_add(1, Ordering::Relaxed);
        WaitingForStore {
            term,
            workers: others + 1,
        }
    }
}

impl Drop for WaitingForStore<'_> {
    fn drop(&mut self) {
        self.term.waiting_for_store.fetch_sub(1, Ordering::Relaxed);
    }
}

fn is_leaving(planner: &Planner, key: WorkerKey) -> bool {
    planner.entry(key).is_some_and(|entry| entry.leaving)
}

/// Renews the worker's lease once, on a new connection, to learn which incarnation answers.
pub(crate) async fn check_incarnation(term: &Term, key: WorkerKey) -> RenewalOutcome {
    match send_renewal(term, key, Place::Own, true, true).await {
        Some((address, answer)) => apply_answer(term, key, &address, answer),
        None => RenewalOutcome::Over,
    }
}

/// Sends the next renewal, and returns its address and answer; none if the worker is no longer known. With `at_once` the
/// worker answers without waiting.
async fn send_renewal(
    term: &Term,
    key: WorkerKey,
    place: Place,
    at_once: bool,
    new_connection: bool,
) -> Option<(String, Answer)> {
    let (entry, mut renewal) = next_renewal(term, key, place, at_once)?;
    if new_connection {
        // It may reach the next incarnation, which would forget ends of its own.
        renewal.ends_confirmed = 0;
    }
    let workers = &term.node.workers;
    let answer = workers
        .renew_lease(&entry, renewal, now_ms, new_connection)
        .await;
    Some((entry.address, answer))
}

/// Applies the answer to a renewal that was sent to an address.
fn apply_answer(term: &Term, key: WorkerKey, address: &str, answer: Answer) -> RenewalOutcome {
    let outcome = match answer {
        Ok(Ok(report)) => {
            let mut planner = term.lock_planner();
            planner.apply_report_from(key, address, &report);
            match planner.has_worker(key) {
                true => RenewalOutcome::Answered,
                false => RenewalOutcome::Over,
            }
        }
        Ok(Err(WorkerReply::OlderTerm)) => {
            term.lock_planner().record_later_term();
            RenewalOutcome::Over
        }
        other => {
            let outcome = match other {
                Ok(Err(WorkerReply::OtherLife)) => RenewalOutcome::OtherId,
                _ => RenewalOutcome::Unanswered,
            };
            term.node.metrics.count(match outcome {
                RenewalOutcome::OtherId => Counter::HoldsOtherId,
                _ => Counter::HoldsUnanswered,
            });
            term.lock_planner().record_unanswered_renewal(key);
            return outcome;
        }
    };
    term.wake.notify_one();
    outcome
}

/// Returns the next renewal, and the entry of the worker with the address to send it to; none once the worker is no longer
/// known. With `at_once` the worker answers without waiting.
fn next_renewal(
    term: &Term,
    key: WorkerKey,
    place: Place,
    at_once: bool,
) -> Option<(WorkerEntry, LeaseRenewal)> {
    let mut planner = term.lock_planner();
    let mut entry = planner.entry(key)?.clone();
    if place == Place::Proposed
        && let Some(address) = planner.proposed_address(key)
    {
        entry.address = address.to_string();
    }
    // A successor relies on it that a short lease is renewed only under a valid lead.
    let may_renew = !planner.has_short_lease(key) || term.is_lead_valid();
    let lease_end_clock_ms = match planner.is_occupied(key) && may_renew {
        true => planner.grant_lease(key, now_ms()),
        false => None,
    };
    let has_open_ends =
        planner.has_unstored_ends(key) || planner.has_unconfirmable_ends(key, now_ms());
    let wait_ms = match at_once || has_open_ends {
        true => 0,
        false if planner.is_shared(key) => SHARED_WORKER_WAIT_MS,
        false if entry.leaving => LEAVING_WORKER_WAIT_MS,
        false => WAIT_MS,
    };
    let renewal = LeaseRenewal {
        term: term.lead.term,
        lease_end_clock_ms,
        ends_confirmed: planner.confirmed_ends(key, now_ms()),
        wait_ms,
    };
    Some((entry, renewal))
}
