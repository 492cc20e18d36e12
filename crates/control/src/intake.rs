//! Accepts submitted jobs: one write to the store, conditional on the configuration still being the one that the
//! submission was checked against.

use std::sync::Arc;
use std::time::Duration;

use adapter::{CONFIGURATION_KEY, CallError, Item, Precondition, Put, Txn, TxnOutcome, decode_job};
use scheduler::{JobId, JobRequest, JobState, StoredJob};
use serde_json::Value;

use crate::call::{Call, admit};
use crate::cancels::build_submitted;
use crate::clock::now_ms;
use crate::configuration::apply_configuration;
use crate::configuration_cache::ActiveConfiguration;
use crate::job_calls::{decode_record, read_item};
use crate::keys;
use crate::metrics::{Counter, Timing};
use crate::node::Node;
use crate::outage::{FirstStep, choose_first_step};
use crate::reply::Reply;

/// Delay before retrying a call that the store did not carry out.
pub(crate) const RETRY_PAUSE_MS: u64 = 40;

/// How often and how long a node tries to reach the store for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryLimits {
    /// Timeout of one store call, after which it is retried on a new connection.
    pub timeout_ms: u64,
    /// Calls that certainly had no effect, after which the request is given up.
    pub max_not_done: u32,
    /// Unanswered calls after which the request is given up.
    pub max_unanswered: u32,
}

/// Limits of a node that can pass requests on: one call, with a timeout longer than a call takes at a store that is 100
/// times slower than usual.
const WITH_PEERS: RetryLimits = RetryLimits {
    timeout_ms: 500,
    max_not_done: 1,
    max_unanswered: 1,
};

/// Limits of a node without peers to pass requests on to.
const WITHOUT_PEERS: RetryLimits = RetryLimits {
    timeout_ms: 700,
    max_not_done: 3,
    max_unanswered: 2,
};

/// Returns the limits that apply to this node now.
pub(crate) fn retry_limits(node: &Node) -> RetryLimits {
    match node.peers.is_empty() {
        true => WITHOUT_PEERS,
        false => WITH_PEERS,
    }
}

/// Accepts a job that a caller submits as an encoded body.
pub(crate) async fn accept_job(node: &Arc<Node>, call: &Call, id: JobId, body: &[u8]) -> Reply {
    let request = match decode_job(body) {
        Ok(request) => request,
        Err(e) => {
            return Reply::refused(Counter::RefusedMalformed, e.to_string());
        }
    };
    accept_request(node, call, id, &request).await
}

/// Accepts a job that has been decoded and checked.
pub(crate) async fn accept_request(
    node: &Arc<Node>,
    call: &Call,
    id: JobId,
    request: &JobRequest,
) -> Reply {
    if choose_first_step(node.is_store_reachable(), call.passed_on) == FirstStep::ReadFirst {
        node.metrics.count(Counter::ReadBeforeWrite);
        match read_item(node, call, &keys::job(id)).await {
            // Its write was conditional on the configuration that the caller's key had been checked against.
            Ok(Some(_)) => return answer_known(node),
            Ok(None) => {}
            Err(reply) => return reply,
        }
    }
    let mut failures = FailedAttempts::default();
    // The record of a cancel that came before the submission.
    let mut cancelled: Option<Item> = None;
    loop {
        let Some(active) = node.configuration.latest() else {
            let detail = "no configuration is known";
            return Reply::refused(Counter::RefusedNoConfiguration, detail);
        };
        let txn = match &cancelled {
            None => build_txn(&active, call, id, request),
            Some(item) => build_late_submission(node, &active, call, id, item),
        };
        let txn = match txn {
            Ok(txn) => txn,
            Err(reply) => return reply,
        };
        match commit_with_retries(node, call, &txn, &mut failures).await {
            Ok(TxnOutcome::Done(_)) if cancelled.is_some() => {
                return Reply::State(JobState::Cancelled);
            }
            Ok(TxnOutcome::Done(revision)) => {
                node.metrics.count(Counter::JobsAccepted);
                let fields = [
                    ("revision", Value::from(revision)),
                    ("configuration", Value::from(active.configuration.version)),
                    (
                        "took_ms",
                        Value::from(now_ms().saturating_sub(call.arrived_ms)),
                    ),
                ];
                node.log
                    .request("intake", "accepted", &id.to_string(), &fields);
                return Reply::State(JobState::Pending);
            }
            Ok(TxnOutcome::Conflict(items)) => {
                let find = |key: String| items.iter().find(|item| item.key == key);
                if find(keys::job(id)).is_some() {
                    return answer_known(node);
                }
                cancelled = find(keys::record(id)).cloned();
                if let Some(item) = &cancelled {
                    match decode_record(node, id, item) {
                        Ok(record) if record.unsubmitted => {}
                        _ => return answer_known(node),
                    }
                }
                let newer = items
                    .iter()
                    .find(|i| i.key == CONFIGURATION_KEY && i.revision > active.revision);
                if let Some(item) = newer {
                    apply_configuration(node, &item.value, item.revision, call.arrived_ms);
                }
            }
            Ok(TxnOutcome::NoLease) => {}
            Err(reply) => return reply,
        }
        if now_ms() >= call.answer_by_ms {
            return failures.final_reply("the configuration kept changing");
        }
    }
}

/// Answers a submission whose job is stored already.
fn answer_known(node: &Node) -> Reply {
    node.metrics.count(Counter::JobsKnown);
    Reply::State(JobState::Pending)
}

/// Builds the write that accepts a job. Checks the caller against the configuration that the write is conditional on.
fn build_txn(
    active: &ActiveConfiguration,
    call: &Call,
    id: JobId,
    request: &JobRequest,
) -> Result<Txn, Reply> {
    let admitted = admit(&active.configuration, call)?;
    let Some(queue) = admitted.queue else {
        return Err(Reply::refused(Counter::RefusedNoQueue, "no queue is named"));
    };
    let stored = StoredJob {
        id,
        queue: queue.name.clone(),
        organisation: admitted.organisation,
        service: queue.service.clone(),
        priority: queue.priority,
        attempts: queue.attempts,
        stretch_percent: queue.stretch_percent,
        goal_ms: queue.goal_ms,
        advice: queue.advice,
        request: request.clone(),
    };
    let value = serde_json::to_vec(&stored)
        .map_err(|e| Reply::refused(Counter::RefusedMalformed, e.to_string()))?;
    let absent = |key: String| Precondition { key, revision: 0 };
    Ok(Txn {
        conditions: vec![
            Precondition {
                key: CONFIGURATION_KEY.to_string(),
                revision: active.revision,
            },
            absent(keys::job(id)),
            absent(keys::record(id)),
        ],
        puts: vec![
            Put {
                key: keys::job(id),
                value,
                lease: None,
            },
            Put {
                key: keys::waiting(id),
                value: queue.name.clone().into_bytes(),
                lease: None,
            },
        ],
        removals: Vec::new(),
    })
}

/// Builds the write of a submission whose job was cancelled before. The job does not run, and is shown as cancelled.
fn build_late_submission(
    node: &Node,
    active: &ActiveConfiguration,
    call: &Call,
    id: JobId,
    item: &Item,
) -> Result<Txn, Reply> {
    let caller = admit(&active.configuration, call)?;
    let record = decode_record(node, id, item)?;
    match caller.may_see(&record.organisation) {
        true => build_submitted(active, item, record),
        false => {
            let detail = "another organisation has cancelled a job with this id";
            Err(Reply::refused(Counter::RefusedCancelledId, detail))
        }
    }
}

/// Failed store calls of a request, and whether one of them may still take effect.
#[derive(Debug, Default)]
pub(crate) struct FailedAttempts {
    not_done: u32,
    unknown: bool,
    unanswered: u32,
}

impl FailedAttempts {
    /// Returns the answer to a request that is given up; a refusal only if no call may still take effect.
    pub fn final_reply(&self, why: &str) -> Reply {
        // A refusal after a write that may still take effect is a fault that the soak has to find.
        match self.unknown && !cfg!(feature = "kept-fault-refused-after-timeout") {
            true => Reply::OutcomeUnknown,
            false => Reply::refused(Counter::RefusedStore, why),
        }
    }
}

/// Commits a change for a request. Retries within the limits and the caller's deadline.
pub(crate) async fn commit_with_retries(
    node: &Node,
    call: &Call,
    txn: &Txn,
    failures: &mut FailedAttempts,
) -> Result<TxnOutcome, Reply> {
    let mut new_connection = false;
    let retry_limits = retry_limits(node);
    loop {
        let left_ms = call.answer_by_ms.saturating_sub(now_ms());
        if left_ms == 0 {
            return Err(failures.final_reply("the store did not answer in time"));
        }
        let sent_ms = now_ms();
        node.metrics.count(Counter::StoreCalls);
        let result = node
            .store
            .commit(txn, retry_limits.timeout_ms.min(left_ms), new_connection)
            .await;
        node.metrics
            .record(Timing::StoreCall, now_ms().saturating_sub(sent_ms));
        let error = match result {
            Ok(outcome) => {
                node.record_store_contact(None);
                return Ok(outcome);
            }
            Err(error) => error,
        };
        new_connection = true;
        node.record_store_contact(Some(&error.to_string()));
        match error {
            CallError::NotDone(why) => {
                node.metrics.count(Counter::StoreRetriesNotDone);
                failures.not_done += 1;
                if failures.not_done >= retry_limits.max_not_done {
                    return Err(failures.final_reply(&why));
                }
            }
            CallError::Unknown(_) | CallError::Unreadable(_) => {
                node.metrics.count(Counter::StoreRetriesUnknown);
                failures.unknown = true;
                failures.unanswered += 1;
                if failures.unanswered >= retry_limits.max_unanswered {
                    return Err(failures.final_reply("the store does not answer"));
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
}
