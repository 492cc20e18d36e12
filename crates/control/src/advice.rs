//! Sends queries to the advice service: from this VM, or through a peer, whose queries the service takes in their own turn.

use std::sync::Arc;

use adapter::AdvisedWorkers;
use scheduler::{AdviceAnswer, Order};
use serde::{Deserialize, Serialize};

use crate::clock::now_ms;
use crate::metrics::Timing;
use crate::node::Node;
use crate::peers::ask_peer_for_advice;
use crate::term::Term;

/// The most VMs that send queries for one planner. The service refuses queries while 32 wait.
pub(crate) const MAX_ADVICE_VMS: usize = 16;

/// A query as it is sent by a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct AdviceQuery {
    step: String,
    workers: Vec<String>,
    pub timeout_ms: u64,
    new_connection: bool,
}

/// The answer of the service: ids of the allowed workers with their tickets, and how long these are valid.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct AdviceReply {
    allowed: Vec<(String, String)>,
    valid_ms: u64,
}

/// Sends the query of an order, and reports its outcome to the planner.
pub(crate) async fn send_query(term: Arc<Term>, order: Order) {
    let Order::Ask {
        query,
        vm,
        step,
        workers,
        timeout_ms,
        new_connection,
        ..
    } = order
    else {
        return;
    };
    let sent_ms = now_ms();
    let asked = AdviceQuery {
        step,
        workers,
        timeout_ms,
        new_connection,
    };
    let reply = match vm == term.node.settings.name {
        true => ask_service(&term.node, asked).await,
        false => match term.node.peers.find(&vm) {
            Some(peer) => ask_peer_for_advice(&peer, asked).await,
            None => None,
        },
    };
    let received_ms = now_ms();
    if reply.is_some() {
        let took_ms = received_ms.saturating_sub(sent_ms);
        term.node.metrics.record(Timing::Advice, took_ms);
    }
    let answer = reply.map(|reply| AdviceAnswer {
        allowed: reply.allowed,
        valid_ms: reply.valid_ms,
        received_ms,
    });
    term.lock_planner().apply_advice(query, answer, received_ms);
    term.wake.notify_one();
}

/// Sends a query from this VM; none if it was refused or not answered in time.
pub(crate) async fn ask_service(node: &Node, query: AdviceQuery) -> Option<AdviceReply> {
    let service = node.advice.as_ref()?;
    let answer = service
        .ask(
            &query.step,
            &query.workers,
            query.timeout_ms,
            query.new_connection,
        )
        .await;
    let AdvisedWorkers { good, valid_ms } = answer.ok()?;
    Some(AdviceReply {
        allowed: good,
        valid_ms,
    })
}

/// Returns the names of the VMs that can send queries, this one first; none if there is no advice service.
pub(crate) fn list_advice_vms(node: &Node) -> Vec<String> {
    if node.advice.is_none() {
        return Vec::new();
    }
    let mut names = node.peers.names();
    names.truncate(MAX_ADVICE_VMS - 1);
    names.insert(0, node.settings.name.clone());
    names
}
