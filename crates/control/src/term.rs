//! One term of a leader: takes over, then plans until the lead is lost.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use scheduler::{LEASE_LENGTH_MARGIN_MS, Limits, Planner};
use serde_json::Value;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::advice::list_advice_vms;
use crate::clock::{now_ms, unix_ms};
use crate::hand_over::hand_over;
use crate::lead::{LEASE_MARGIN_MS, Lead, RENEW_EVERY_MS, RENEW_TIMEOUT_MS, lead_ttl_ms};
use crate::listing::{READ_EVERY_MS, follow_workers};
use crate::metrics::{Counter, Timing};
use crate::node::{Node, ORDER_TIMEOUT_MS};
use crate::orders::dispatch_orders;
use crate::planner_counts::list_counts;
use crate::record_writer::{LATER_TERM, RecordWriter, STEP_DOWN_AFTER_MS};
use crate::request_watch::{follow_requests, poll_missed_jobs};
use crate::takeover::{UNREAD_STATE, load_state};

/// How long a planner that cannot renew its lead keeps renewing workers' leases, so that an outage of the store ends no
/// run. With the lease itself and the validity of the lead, an outage of 13 s is bridged; the longest that the users'
/// pages list is 9 s. A successor waits this much longer before it gives up an unresponsive worker.
pub(crate) const RENEW_WORKERS_WITHOUT_LEAD_MS: u64 = 4_000;

/// A worker that has not answered for this long is unresponsive and gets no new work; a worker answers a renewal within
/// 2 s.
const UNRESPONSIVE_AFTER_MS: u64 = 2_900;

/// The longest time between two planning passes: leases expire and scheduled runs come due without an event.
const PLAN_EVERY_MS: u64 = 50;

/// A planning pass that takes longer than this is logged: the node's callers and its renewals wait for as long.
const LONG_PASS_MS: u64 = 250;

/// Delay before retrying after a failed call.
const RETRY_PAUSE_MS: u64 = 60;

/// A term of this node as leader.
#[derive(Debug)]
pub(crate) struct Term {
    pub node: Arc<Node>,
    pub lead: Lead,
    planner: Mutex<Planner>,
    /// The lead is certainly held until this time.
    valid_until_ms: AtomicU64,
    /// When the newest list of workers was asked for.
    workers_asked_ms: AtomicU64,
    /// Signals a change that planning should take into account.
    pub wake: Notify,
    /// Signals that ended runs listed by workers have been stored.
    pub ends_stored: Notify,
    /// Number of workers that have listed ended runs that are not stored, and that wait to be asked again.
    pub waiting_for_store: AtomicUsize,
    /// Cancels everything that this term has started.
    cancellation: CancellationToken,
}

impl Term {
    /// Locks the planner; a panic in another task does not stop planning.
    pub fn lock_planner(&self) -> MutexGuard<'_, Planner> {
        self.planner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the lead is certainly held now.
    pub fn is_lead_valid(&self) -> bool {
        // A lead that is used without being renewed is a fault that the soak has to find.
        cfg!(feature = "kept-fault-lead-not-renewed")
            || now_ms() < self.valid_until_ms.load(Ordering::Relaxed)
    }

    /// Returns whether starts may be sent now: the lead is certainly held, and the list of workers is recent.
    pub fn may_send_starts(&self) -> bool {
        let max_age_ms = max_worker_list_age_ms(self.node.settings.bounds.contact_ms);
        self.is_lead_valid()
            && now_ms() <= self.workers_asked_ms.load(Ordering::Relaxed) + max_age_ms
    }

    /// Records when the list of workers that the planner has now was asked for.
    pub fn record_worker_list(&self, asked_ms: u64) {
        self.workers_asked_ms.store(asked_ms, Ordering::Relaxed);
    }

    /// Runs work in the background until this term is over.
    pub fn spawn(self: &Arc<Self>, work: impl Future<Output = ()> + Send + 'static) {
        let cancellation = self.cancellation.clone();
        tokio::spawn(async move { cancellation.run_until_cancelled(work).await });
    }
}

/// Runs a term until the lead is lost; returns the reason.
pub(crate) async fn run_term(node: Arc<Node>, lead: Lead) -> String {
    let began_ms = now_ms();
    let limits = planner_limits(&node);
    let term = Arc::new(Term {
        planner: Mutex::new(Planner::new(limits, began_ms)),
        valid_until_ms: AtomicU64::new(lead.valid_until_ms),
        workers_asked_ms: AtomicU64::new(0),
        wake: Notify::new(),
        ends_stored: Notify::new(),
        waiting_for_store: AtomicUsize::new(0),
        cancellation: CancellationToken::new(),
        node: node.clone(),
        lead,
    });
    let why = tokio::select! {
        why = renew_lead(&term) => why,
        why = load_and_plan(&term, began_ms) => why,
    };
    term.cancellation.cancel();
    term.node.metrics.set(Counter::KnownInterference, 0);
    tokio::spawn(hand_over(term));
    why
}

pub(crate) fn planner_limits(node: &Node) -> Limits {
    let bounds = &node.settings.bounds;
    Limits {
        lease_ms: bounds
            .longest_lease_ms
            .saturating_sub(LEASE_LENGTH_MARGIN_MS),
        predecessor_renewal_ms: lead_ttl_ms(node) + RENEW_WORKERS_WITHOUT_LEAD_MS,
        stop_grace_ms: bounds.stop_grace_ms,
        notice_ms: bounds.notice_ms,
        reclaim_ms: bounds.reclaim_ms,
        unresponsive_ms: UNRESPONSIVE_AFTER_MS,
        remote_slowdown: bounds.remote_slowdown.max(1.0).round() as u64,
        max_built_tasks: node.settings.limits.max_built_tasks(),
    }
}

/// Returns how old the list of workers may be when a start is sent, so that it arrives before a smaller capacity that
/// the list does not show yet binds.
fn max_worker_list_age_ms(contact_ms: u64) -> u64 {
    contact_ms
        .saturating_sub(ORDER_TIMEOUT_MS)
        .max(2 * READ_EVERY_MS)
}

/// Renews the lead until that is no longer possible; returns the reason.
async fn renew_lead(term: &Arc<Term>) -> String {
    let node = &term.node;
    let mut new_connection = false;
    let mut lost_contact = false;
    if cfg!(feature = "kept-fault-lead-not-renewed") {
        return std::future::pending().await;
    }
    loop {
        tokio::time::sleep(Duration::from_millis(if new_connection {
            RETRY_PAUSE_MS
        } else {
            RENEW_EVERY_MS
        }))
        .await;
        let sent_ms = now_ms();
        node.metrics.count(Counter::StoreCalls);
        match node
            .store
            .renew_lease(term.lead.lease, RENEW_TIMEOUT_MS, new_connection)
            .await
        {
            Ok(true) => {
                term.valid_until_ms.store(
                    sent_ms + lead_ttl_ms(node) - LEASE_MARGIN_MS,
                    Ordering::Relaxed,
                );
                if lost_contact {
                    node.log.general("lead", "renewed again", &[]);
                }
                (new_connection, lost_contact) = (false, false);
            }
            Ok(false) => return "the store's lease has ended".to_string(),
            Err(e) => {
                if !lost_contact {
                    node.log.general(
                        "lead",
                        "not renewed",
                        &[("why", Value::from(e.to_string()))],
                    );
                }
                (new_connection, lost_contact) = (true, true);
                if now_ms()
                    > term.valid_until_ms.load(Ordering::Relaxed) + RENEW_WORKERS_WITHOUT_LEAD_MS
                {
                    return "the lead could not be renewed for too long".to_string();
                }
            }
        }
    }
}

/// Reads the predecessor's state, then plans; returns the reason for stepping down.
async fn load_and_plan(term: &Arc<Term>, began_ms: u64) -> String {
    let node = term.node.clone();
    let (record_writer, seen_revision) = loop {
        match load_state(term).await {
            Ok(loaded) => break loaded,
            Err(e) => {
                node.log.general(
                    "planner",
                    "state not read yet",
                    &[("why", Value::from(e.to_string()))],
                );
                if term.is_lead_valid() && now_ms() > began_ms + STEP_DOWN_AFTER_MS {
                    return UNREAD_STATE.to_string();
                }
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        }
    };
    let took_ms = now_ms().saturating_sub(began_ms);
    node.metrics.record(Timing::TakeOver, took_ms);
    let (jobs, workers) = term.lock_planner().sizes();
    let fields = [
        ("term", Value::from(term.lead.term)),
        ("jobs", Value::from(jobs)),
        ("workers", Value::from(workers)),
        ("took_ms", Value::from(took_ms)),
    ];
    node.log.general("planner", "took over", &fields);
    term.spawn(follow_workers(term.clone()));
    term.spawn(follow_requests(term.clone(), seen_revision));
    term.spawn(poll_missed_jobs(term.clone()));
    term.spawn(crate::maintenance::run_waves(term.clone()));
    plan_and_write(term, record_writer).await
}

/// Plans whenever something changed, and stores decisions before they are carried out.
async fn plan_and_write(term: &Arc<Term>, mut record_writer: RecordWriter) -> String {
    let node = term.node.clone();
    let mut configured_revision = 0;
    let mut planned_ms = 0;
    loop {
        let pause = Duration::from_millis(PLAN_EVERY_MS);
        tokio::select! {
            () = term.wake.notified() => {}
            () = tokio::time::sleep(pause) => {}
        }
        // Most answers of workers change nothing; 3,000 workers send 1,500 answers a second.
        if !term.lock_planner().has_changed() && now_ms() < planned_ms + PLAN_EVERY_MS {
            continue;
        }
        planned_ms = now_ms();
        let flush = {
            let mut planner = term.lock_planner();
            if let Some(active) = node.configuration.latest()
                && active.revision != configured_revision
            {
                configured_revision = active.revision;
                planner.set_configuration(&active.configuration);
            }
            if node.advice.is_some() && planner.has_advice() {
                planner.set_advice_vms(&list_advice_vms(&node));
            }
            planner.plan(now_ms(), unix_ms());
            planner.begin_flush(now_ms(), unix_ms())
        };
        report_pass(term, now_ms().saturating_sub(planned_ms));
        report_decisions(term);
        if term.lock_planner().is_superseded() {
            return LATER_TERM.to_string();
        }
        dispatch_orders(term);
        if flush.is_empty() {
            continue;
        }
        if let Err(why) = record_writer.write(term, &flush).await {
            return why;
        }
        term.lock_planner().complete_flush(flush, now_ms());
        dispatch_orders(term);
        term.ends_stored.notify_waiters();
    }
}

/// Records how long a planning pass took, and logs a long one.
fn report_pass(term: &Term, took_ms: u64) {
    term.node.metrics.record(Timing::PlanningPass, took_ms);
    if took_ms > LONG_PASS_MS {
        let fields = [("took_ms", Value::from(took_ms))];
        term.node
            .log
            .general("planner", "a pass took long", &fields);
    }
}

/// Logs decisions and updates the counters.
fn report_decisions(term: &Term) {
    let node = &term.node;
    let (decisions, counts, first_starts, known_interference) = {
        let mut planner = term.lock_planner();
        (
            planner.take_decisions(),
            planner.counts(),
            planner.take_first_starts_ms(),
            planner.known_interference() as u64,
        )
    };
    for decision in decisions {
        let fields = [
            ("why", Value::from(decision.why)),
            ("term", Value::from(term.lead.term)),
        ];
        match decision.job {
            Some(job) => node
                .log
                .request("planner", decision.what, &job.to_string(), &fields),
            None => node.log.general("planner", decision.what, &fields),
        }
    }
    for took_ms in first_starts {
        node.metrics.record(Timing::FirstStart, took_ms);
    }
    node.metrics
        .set(Counter::KnownInterference, known_interference);
    for (counter, value) in list_counts(&counts) {
        node.metrics.set(counter, value);
    }
}
