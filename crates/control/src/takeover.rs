//! One term of the lead: reads what the predecessor left, then plans until the lead is lost.

use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use adapter::{CallError, Event, Item, WatchOutcome};
use scheduler::{JobId, JobRecord, Limits, Planner, StoredJob};
use serde_json::Value;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::clock::{now_ms, unix_ms};
use crate::flush::Flusher;
use crate::keys;
use crate::lead::{LEASE_MARGIN_MS, Lead, RENEW_EVERY_MS, RENEW_TIMEOUT_MS, lead_ttl_ms};
use crate::listing::follow_workers;
use crate::metrics::{Counter, Timing};
use crate::node::Node;
use crate::orders::dispatch_orders;

/// How long a planner that cannot renew its lead goes on renewing workers' leases, so that an outage of the store
/// kills nothing; longer than the longest outage that the users' pages list.
pub(crate) const HOLDS_ON_MS: u64 = 12_000;

/// Kept free of the longest lease that a worker grants.
const LEASE_BELOW_LONGEST_MS: u64 = 500;

/// A worker that was not heard of for this long gets no new work: a renewal is answered within 2 s.
const SILENT_MS: u64 = 2_900;

/// How long one watch of the requests waits: with the time-out below it bounds how late a cancel is noticed when the
/// connection has gone silent.
const WATCH_WAIT_MS: u64 = 1_000;

/// How long a call may take beyond its waiting.
const CALL_TIMEOUT_MS: u64 = 900;

/// The longest time between two planning passes: leases end and scheduled runs come due without an event.
const PLAN_EVERY_MS: u64 = 50;

/// The pause after a call that failed.
const RETRY_PAUSE_MS: u64 = 60;

/// A planner at work.
#[derive(Debug)]
pub(crate) struct Term {
    pub node: Arc<Node>,
    pub lead: Lead,
    planner: Mutex<Planner>,
    /// Until when the lead is certainly held.
    valid_until_ms: AtomicU64,
    /// Something changed that planning should look at.
    pub wake: Notify,
    /// Ends that workers listed are in the store.
    pub stored: Notify,
    /// Ends all that this term has started.
    over: CancellationToken,
}

impl Term {
    /// The planner; a panic elsewhere does not stop planning.
    pub fn planner(&self) -> MutexGuard<'_, Planner> {
        self.planner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether starts may be sent now.
    pub fn may_start(&self) -> bool {
        now_ms() < self.valid_until_ms.load(Ordering::Relaxed)
    }

    /// Runs something until this term is over.
    pub fn spawn(self: &Arc<Self>, work: impl Future<Output = ()> + Send + 'static) {
        let over = self.over.clone();
        tokio::spawn(async move { over.run_until_cancelled(work).await });
    }
}

/// Plans until the lead is lost; returns why.
pub(crate) async fn run_term(node: Arc<Node>, lead: Lead) -> String {
    let began_ms = now_ms();
    let limits = planner_limits(&node);
    let term = Arc::new(Term {
        planner: Mutex::new(Planner::new(limits, began_ms)),
        valid_until_ms: AtomicU64::new(lead.valid_until_ms),
        wake: Notify::new(),
        stored: Notify::new(),
        over: CancellationToken::new(),
        node: node.clone(),
        lead,
    });
    let why = tokio::select! {
        why = renew_lead(&term) => why,
        why = load_and_plan(&term, began_ms) => why,
    };
    term.over.cancel();
    why
}

fn planner_limits(node: &Node) -> Limits {
    let bounds = &node.settings.bounds;
    Limits {
        lease_ms: bounds
            .longest_lease_ms
            .saturating_sub(LEASE_BELOW_LONGEST_MS),
        predecessor_holds_ms: lead_ttl_ms(node) + HOLDS_ON_MS,
        stop_grace_ms: bounds.stop_grace_ms,
        gang_timeout_ms: bounds.gang_timeout_ms,
        reclaim_ms: bounds.reclaim_ms,
        silent_ms: SILENT_MS,
        remote_slowdown: bounds.remote_slowdown.max(1.0).round() as u64,
    }
}

/// Renews the lead until that is no longer possible.
async fn renew_lead(term: &Arc<Term>) -> String {
    let node = &term.node;
    let mut fresh = false;
    let mut lost_contact = false;
    loop {
        tokio::time::sleep(Duration::from_millis(if fresh {
            RETRY_PAUSE_MS
        } else {
            RENEW_EVERY_MS
        }))
        .await;
        let sent_ms = now_ms();
        node.metrics.count(Counter::StoreCalls);
        match node
            .store
            .renew_lease(term.lead.lease, RENEW_TIMEOUT_MS, fresh)
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
                (fresh, lost_contact) = (false, false);
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
                (fresh, lost_contact) = (true, true);
                if now_ms() > term.valid_until_ms.load(Ordering::Relaxed) + HOLDS_ON_MS {
                    return "not renewed for too long".to_string();
                }
            }
        }
    }
}

/// Reads what the predecessor left, then plans.
async fn load_and_plan(term: &Arc<Term>, began_ms: u64) -> String {
    let node = term.node.clone();
    let (flusher, seen) = loop {
        match load(term).await {
            Ok(loaded) => break loaded,
            Err(e) => {
                node.log.general(
                    "planner",
                    "state not read yet",
                    &[("why", Value::from(e.to_string()))],
                );
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        }
    };
    let took_ms = now_ms().saturating_sub(began_ms);
    node.metrics.record(Timing::TakeOver, took_ms);
    let (jobs, workers) = term.planner().sizes();
    let fields = [
        ("term", Value::from(term.lead.term)),
        ("jobs", Value::from(jobs)),
        ("workers", Value::from(workers)),
        ("took_ms", Value::from(took_ms)),
    ];
    node.log.general("planner", "took over", &fields);
    term.spawn(follow_workers(term.clone()));
    term.spawn(follow_requests(term.clone(), seen));
    term.spawn(crate::upkeep::follow_waves(term.clone()));
    plan_and_write(term, flusher).await
}

/// Reads workers, jobs, cancels and records.
async fn load(term: &Arc<Term>) -> Result<(Flusher, u64), CallError> {
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
    let added = planner.list_workers(listing, now_ms());
    let ended = restore_jobs(&mut planner, node, &requests, &records);
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

fn note_unreadable(node: &Node, item: &Item, why: &str) {
    let fields = [
        ("key", Value::from(item.key.as_str())),
        ("why", Value::from(why)),
    ];
    node.log
        .general("planner", "item unreadable, left alone", &fields);
}

/// Follows jobs and cancels as they are stored.
async fn follow_requests(term: Arc<Term>, seen: u64) {
    let node = term.node.clone();
    let mut after = seen;
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
                    after = after.max(take_event(&term, event));
                }
            }
            // A watch that was cut may have missed something, like one whose history is gone.
            Ok(WatchOutcome::Compacted) | Err(_) => match reread_requests(&term).await {
                Ok(revision) => after = revision,
                Err(_) => tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await,
            },
        }
        term.wake.notify_one();
    }
}

/// Takes in one change; returns its revision.
fn take_event(term: &Term, event: Event) -> u64 {
    match event {
        Event::Written(item) => take_request(term, &item),
        Event::Removed(_, revision) => revision,
    }
}

fn take_request(term: &Term, item: &Item) -> u64 {
    if let Some(id) = item
        .key
        .strip_prefix(keys::CANCELS_PREFIX)
        .and_then(|id| id.parse().ok())
    {
        term.planner().cancel_job(id, now_ms());
    } else {
        match serde_json::from_slice::<StoredJob>(&item.value) {
            Ok(stored) => term.planner().add_job(stored, item.created, now_ms()),
            Err(e) => note_unreadable(&term.node, item, &e.to_string()),
        }
    }
    item.revision
}

/// Reads all jobs and cancels anew.
async fn reread_requests(term: &Term) -> Result<u64, CallError> {
    let (items, revision) = term
        .node
        .store
        .read_all(keys::REQUESTS_PREFIX, CALL_TIMEOUT_MS)
        .await?;
    let (cancels, jobs): (Vec<&Item>, Vec<&Item>) = items
        .iter()
        .partition(|item| item.key.starts_with(keys::CANCELS_PREFIX));
    for item in jobs.into_iter().chain(cancels) {
        take_request(term, item);
    }
    Ok(revision)
}

/// Plans whenever something changed, and writes what was decided before it is carried out.
async fn plan_and_write(term: &Arc<Term>, mut flusher: Flusher) -> String {
    let node = term.node.clone();
    let mut configured = 0;
    loop {
        let pause = Duration::from_millis(PLAN_EVERY_MS);
        tokio::select! {
            () = term.wake.notified() => {}
            () = tokio::time::sleep(pause) => {}
        }
        let flush = {
            let mut planner = term.planner();
            if let Some(now) = node.contact.latest()
                && now.revision != configured
            {
                configured = now.revision;
                planner.set_configuration(&now.configuration);
            }
            planner.plan(now_ms(), unix_ms());
            planner.begin_flush(unix_ms())
        };
        report(term);
        if term.planner().is_deposed() {
            return "a worker has seen a later term".to_string();
        }
        dispatch_orders(term);
        if flush.is_empty() {
            continue;
        }
        if let Err(why) = flusher.write(term, &flush).await {
            return why;
        }
        term.planner().complete_flush(flush);
        dispatch_orders(term);
        term.stored.notify_waiters();
    }
}

/// Logs decisions and brings the counters up to date.
fn report(term: &Term) {
    let node = &term.node;
    let (decisions, counts, first_starts) = {
        let mut planner = term.planner();
        (
            planner.take_decisions(),
            planner.counts(),
            planner.take_first_starts_ms(),
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
    node.metrics.set(Counter::StartsRefused, counts.refused);
    node.metrics.set(Counter::Preempted, counts.preempted);
    node.metrics.set(Counter::TasksLost, counts.lost);
    node.metrics.set(Counter::TasksFailed, counts.failed);
    node.metrics.set(Counter::TasksBroken, counts.broken);
    node.metrics.set(Counter::TasksAlone, counts.alone);
}
