//! Sends the planner's orders to workers, and tells it what came of them.

use std::sync::Arc;
use std::time::Duration;

use adapter::{CallError, StartDetails, WorkerReply};
use scheduler::{Order, StartOutcome, StopOutcome, WorkerEntry};

use crate::clock::now_ms;
use crate::metrics::{Counter, Timing};
use crate::takeover::Term;

/// The pause before an order is sent again.
const RETRY_PAUSE_MS: u64 = 120;

/// How often a planner that is not sure of its lead looks whether it may send a start.
const LEAD_LOOK_MS: u64 = 20;

/// Sends all orders that wait.
pub(crate) fn dispatch_orders(term: &Arc<Term>) {
    let orders = {
        let mut planner = term.planner();
        let orders = planner.take_orders();
        orders
            .into_iter()
            .map(|order| {
                let worker = match &order {
                    Order::Start { worker, .. } | Order::Stop { worker, .. } => *worker,
                };
                let lease = match &order {
                    Order::Start { .. } => planner.grant_lease(worker),
                    Order::Stop { .. } => None,
                };
                (order, planner.entry(worker).cloned(), lease)
            })
            .collect::<Vec<_>>()
    };
    for (order, entry, lease) in orders {
        if let Some(entry) = entry {
            term.spawn(carry_out(term.clone(), order, entry, lease));
        }
    }
}

/// Sends one order.
async fn carry_out(
    term: Arc<Term>,
    order: Order,
    entry: WorkerEntry,
    lease_end_clock_ms: Option<u64>,
) {
    let again = matches!(
        order,
        Order::Start { again: true, .. } | Order::Stop { again: true, .. }
    );
    if again {
        term.node.metrics.count(Counter::OrderRetries);
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
    let sent_ms = now_ms();
    match order {
        Order::Start {
            unit,
            task,
            run,
            text,
            progress,
            ..
        } => {
            let outcome = match lease_end_clock_ms {
                Some(lease_end_clock_ms) => {
                    while !term.may_start() {
                        tokio::time::sleep(Duration::from_millis(LEAD_LOOK_MS)).await;
                    }
                    let details = StartDetails {
                        text: &text,
                        lease_end_clock_ms,
                        progress: &progress,
                        ticket: "",
                    };
                    let workers = &term.node.workers;
                    start_outcome(
                        workers
                            .start(&entry, term.lead.term, task, run, details, again)
                            .await,
                    )
                }
                None => StartOutcome::NoAnswer,
            };
            term.planner().take_start(unit, run, outcome, now_ms());
        }
        Order::Stop {
            unit, task, run, ..
        } => {
            let outcome = stop_outcome(
                term.node
                    .workers
                    .stop(&entry, term.lead.term, task, run, again)
                    .await,
            );
            if let Some(unit) = unit {
                term.planner().take_stop(unit, run, outcome, now_ms());
            }
        }
    }
    term.node
        .metrics
        .record(Timing::Order, now_ms().saturating_sub(sent_ms));
    term.wake.notify_one();
}

fn start_outcome(result: Result<WorkerReply, CallError>) -> StartOutcome {
    match result {
        Ok(WorkerReply::Done) => StartOutcome::Started {
            received_ms: now_ms(),
        },
        Ok(WorkerReply::OlderTerm) => StartOutcome::OlderTerm,
        Ok(WorkerReply::OldRun) => StartOutcome::OldRun,
        Ok(WorkerReply::Late) => StartOutcome::Late,
        Ok(WorkerReply::NoRoom) => StartOutcome::NoRoom,
        Ok(WorkerReply::NoTicket) => StartOutcome::NoTicket,
        Ok(WorkerReply::Malformed) => StartOutcome::Malformed,
        Ok(WorkerReply::OtherLife) => StartOutcome::OtherLife,
        Ok(WorkerReply::Unhealthy) => StartOutcome::Unhealthy,
        Err(CallError::NotDone(_) | CallError::Unknown(_) | CallError::Unreadable(_)) => {
            StartOutcome::NoAnswer
        }
    }
}

fn stop_outcome(result: Result<WorkerReply, CallError>) -> StopOutcome {
    match result {
        // A run that the worker does not know can no longer be started there either.
        Ok(WorkerReply::Done | WorkerReply::OldRun | WorkerReply::Malformed) => {
            StopOutcome::Taken {
                received_ms: now_ms(),
            }
        }
        Ok(WorkerReply::OlderTerm) => StopOutcome::OlderTerm,
        Ok(WorkerReply::OtherLife) => StopOutcome::OtherLife,
        _ => StopOutcome::NoAnswer,
    }
}
