//! Leader election. The leader is the node whose key is in the store, under a store lease.
//!
//! The revision at which that key was created is the leader's term: it is unique and increasing. Every write of the
//! planner is conditional on the key still being the one that this node created.

use std::sync::Arc;
use std::time::Duration;

use adapter::{CallError, Item, Precondition, Put, Txn, TxnOutcome};
use serde_json::Value;

use crate::clock::now_ms;
use crate::keys;
use crate::lead_preference::{choose_wait_ms, is_larger};
use crate::metrics::Counter;
use crate::node::Node;
use crate::peers::ask_to_yield;
use crate::record_writer::UNANSWERED_WRITES;
use crate::takeover::UNREAD_STATE;
use crate::term::run_term;

/// How long the lead is valid without renewal; the shortest lease that the users' stores grant. For that long after a
/// leader is lost nobody plans, and an urgent job that runs for 2 s can wait for 1.4 s. A lead that is lost by mistake
/// costs a takeover of 50 ms.
const LEAD_TTL_MS: u64 = 1_000;

/// How often the lead is renewed.
pub(crate) const RENEW_EVERY_MS: u64 = 200;

/// Timeout of a renewal, after which it is retried: longer than a call takes at a store that is 80 times slower than
/// usual.
pub(crate) const RENEW_TIMEOUT_MS: u64 = 450;

/// Subtracted from the lease, so that this node stops before the store lets another one take the lead.
pub(crate) const LEASE_MARGIN_MS: u64 = 100;

/// How long one watch of the lead waits.
const WATCH_WAIT_MS: u64 = 5_000;

/// Timeout of a store call; for a watch, on top of its wait.
const CALL_TIMEOUT_MS: u64 = 900;

/// Delay before retrying after a failed call.
const RETRY_PAUSE_MS: u64 = 150;

/// How long a node does not try to take the lead after it stepped down because of unanswered writes or an unread state.
/// Its lease expires meanwhile, and another node takes over.
const STEP_DOWN_PAUSE_MS: u64 = 3_000;

/// Returns how long the lead is valid without renewal, on this deployment.
pub(crate) fn lead_ttl_ms(node: &Node) -> u64 {
    LEAD_TTL_MS.max(node.settings.shortest_lease_ms)
}

/// A lead that this node holds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lead {
    /// The store lease of the lead's key.
    pub lease: u64,
    /// The leader's term.
    pub term: u64,
    /// The revision of the lead's key as written.
    pub revision: u64,
    /// The lead is certainly held until this time.
    pub valid_until_ms: u64,
}

/// Takes the lead whenever no other node has it, and plans while it is held. Returns once the node is stopping.
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
                if why == UNANSWERED_WRITES || why == UNREAD_STATE {
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

/// Asks the leader to yield the lead if this node's VM is clearly larger than the leader's.
async fn ask_smaller_leader_to_yield(node: &Node, lead: &Item) {
    let leader = std::str::from_utf8(&lead.value)
        .ok()
        .and_then(|value| value.split(' ').next())
        .and_then(|name| node.peers.find(name));
    if let Some(leader) = leader
        && is_larger(node.settings.processor_millis, leader.processor_millis)
        && !node.is_stopping()
    {
        ask_to_yield(&leader, node.settings.processor_millis).await;
    }
}

/// Releases the lead at once, for a planned stop or for a node on a larger VM.
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

/// Waits until no node holds the lead, then tries to take it; none if another node was faster or this one may not lead
/// now.
async fn try_take_lead(node: &Node, name: &str) -> Result<Option<Lead>, CallError> {
    let (held, revision) = node
        .store
        .read_with_revision(keys::LEAD, CALL_TIMEOUT_MS, true)
        .await?;
    if let Some(item) = held {
        ask_smaller_leader_to_yield(node, &item).await;
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
    let wait_ms = choose_wait_ms(took_ms, node.knows_larger_vm());
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
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
        // The call may have taken effect; in that case the key holds this attempt's name.
        Err(_) => {
            let item = node.store.read(keys::LEAD, CALL_TIMEOUT_MS, true).await?;
            Ok(item
                .filter(|item| item.value == name.as_bytes())
                .map(|item| lead(&item)))
        }
    }
}

/// Waits until the lead's key may have been removed: a change is reported, or the watch times out and may be stalled.
async fn wait_for_removal(node: &Node, revision: u64) -> Result<(), CallError> {
    let timeout_ms = WATCH_WAIT_MS + CALL_TIMEOUT_MS;
    let watch = node
        .store
        .watch(keys::LEAD_PREFIX, revision, WATCH_WAIT_MS, timeout_ms);
    watch.await.map(|_| ())
}
