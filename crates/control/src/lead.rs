//! Who plans: the node whose key stands in the store, under a lease.
//!
//! The revision at which that key was created is the planner's term: it is unique and rises. Every write of the planner
//! is made on condition that the key is still the one it created.

use std::sync::Arc;
use std::time::Duration;

use adapter::{CallError, Item, Precondition, Put, Txn, TxnOutcome};
use serde_json::Value;

use crate::clock::now_ms;
use crate::keys;
use crate::metrics::Counter;
use crate::node::Node;
use crate::record_writer::UNANSWERED_WRITES;
use crate::term::run_term;

/// How long the lead lasts without renewal, and the shortest that the users' stores grant. Nobody plans for that long
/// after a planner is lost, and an urgent job of 2 s can wait for 1.4 s; a lead lost by mistake costs a take-over of
/// 50 ms.
const LEAD_TTL_MS: u64 = 1_000;

/// How often it is renewed.
pub(crate) const RENEW_EVERY_MS: u64 = 200;

/// How long a renewal may take before it is made again: more than a store that is 80 times slower than usual takes.
pub(crate) const RENEW_TIMEOUT_MS: u64 = 450;

/// Taken off the lease, so that this node stops before the store lets another one in.
pub(crate) const LEASE_MARGIN_MS: u64 = 100;

/// How long one watch of the lead waits.
const WATCH_WAIT_MS: u64 = 5_000;

/// How long a call may take beyond its waiting.
const CALL_TIMEOUT_MS: u64 = 900;

/// The pause after a call that failed.
const RETRY_PAUSE_MS: u64 = 150;

/// A node waits this many times the duration of a store call before it takes the lead, so that nodes near the store
/// come first.
const STORE_LATENCY_FACTOR: u64 = 5;

/// How long a node does not take the lead after its writes got no answer: its lease runs out meanwhile, and another
/// node takes over.
const STEP_DOWN_PAUSE_MS: u64 = 3_000;

/// The longest such wait.
const MAX_LATENCY_WAIT_MS: u64 = 300;

/// How long the lead lasts without renewal, on this deployment.
pub(crate) fn lead_ttl_ms(node: &Node) -> u64 {
    LEAD_TTL_MS.max(node.settings.shortest_lease_ms)
}

/// A lead that this node holds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lead {
    /// The store lease that it stands under.
    pub lease: u64,
    /// The planner's term.
    pub term: u64,
    /// The lead's key as it was written.
    pub revision: u64,
    /// Until when it is certainly held.
    pub valid_until_ms: u64,
}

/// Takes the lead whenever no other node has it, and plans while it is held.
pub(crate) async fn campaign_for_lead(node: Arc<Node>) {
    let mut nonce = 0;
    loop {
        nonce += 1;
        let name = format!("{} {} {nonce}", node.settings.name, now_ms());
        match try_take_lead(&node, &name).await {
            Ok(Some(lead)) => {
                node.metrics.count(Counter::LeadsTaken);
                node.log
                    .general("lead", "taken", &[("term", Value::from(lead.term))]);
                set_lead_lease(&node, Some(lead.lease));
                let why = run_term(node.clone(), lead).await;
                set_lead_lease(&node, None);
                node.metrics.count(Counter::LeadsLost);
                let fields = [
                    ("term", Value::from(lead.term)),
                    ("why", Value::from(why.as_str())),
                ];
                node.log.general("lead", "lost", &fields);
                if why == UNANSWERED_WRITES {
                    tokio::time::sleep(Duration::from_millis(STEP_DOWN_PAUSE_MS)).await;
                }
            }
            Ok(None) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await,
        }
        if node.is_stopping() {
            return;
        }
    }
}

fn set_lead_lease(node: &Node, lease: Option<u64>) {
    if let Ok(mut held) = node.lead_lease.lock() {
        *held = lease;
    }
}

/// Gives the lead up at once, for a planned stop.
pub(crate) async fn release_lead(node: &Node) {
    let lease = node.lead_lease.lock().ok().and_then(|held| *held);
    if let Some(lease) = lease
        && let Err(e) = node.store.end_lease(lease, CALL_TIMEOUT_MS).await
    {
        node.log.general(
            "lead",
            "not released, it will run out",
            &[("why", Value::from(e.to_string()))],
        );
    }
}

/// Waits until nobody holds the lead, and tries to take it.
async fn try_take_lead(node: &Node, name: &str) -> Result<Option<Lead>, CallError> {
    let (held, revision) = node
        .store
        .read_with_revision(keys::LEAD, CALL_TIMEOUT_MS, true)
        .await?;
    if let Some(item) = held {
        wait_for_removal(node, revision.max(item.revision)).await?;
    }
    if node.is_stopping() || node.configuration.latest().is_none() {
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        return Ok(None);
    }
    let sent_ms = now_ms();
    let (lease, ttl_ms) = node
        .store
        .create_lease(lead_ttl_ms(node), CALL_TIMEOUT_MS)
        .await?;
    let took_ms = now_ms().saturating_sub(sent_ms);
    tokio::time::sleep(Duration::from_millis(
        (took_ms * STORE_LATENCY_FACTOR).min(MAX_LATENCY_WAIT_MS),
    ))
    .await;
    let valid_until_ms = sent_ms + ttl_ms.saturating_sub(LEASE_MARGIN_MS);
    let lead = |item: &Item| Lead {
        lease,
        term: item.created,
        revision: item.revision,
        valid_until_ms,
    };
    let txn = Txn {
        conditions: vec![Precondition {
            key: keys::LEAD.to_string(),
            revision: 0,
        }],
        puts: vec![Put {
            key: keys::LEAD.to_string(),
            value: name.as_bytes().to_vec(),
            lease: Some(lease),
        }],
        removals: Vec::new(),
    };
    match node.store.commit(&txn, CALL_TIMEOUT_MS, false).await {
        Ok(TxnOutcome::Done(revision)) => Ok(Some(Lead {
            lease,
            term: revision,
            revision,
            valid_until_ms,
        })),
        Ok(TxnOutcome::Conflict(_) | TxnOutcome::NoLease) => Ok(None),
        Err(e) if e.is_not_done() => Err(e),
        // The call may have been carried out: the key then holds this attempt's name.
        Err(_) => {
            let item = node.store.read(keys::LEAD, CALL_TIMEOUT_MS, true).await?;
            Ok(item
                .filter(|item| item.value == name.as_bytes())
                .map(|item| lead(&item)))
        }
    }
}

/// Waits until the lead's key may have been removed: a change is heard of, or nothing for so long that the watch may be
/// deaf.
async fn wait_for_removal(node: &Node, revision: u64) -> Result<(), CallError> {
    let timeout_ms = WATCH_WAIT_MS + CALL_TIMEOUT_MS;
    let watch = node
        .store
        .watch(keys::LEAD_PREFIX, revision, WATCH_WAIT_MS, timeout_ms);
    watch.await.map(|_| ())
}
