//! Sends the planner's orders to workers, and reports their outcomes to the planner.

use std::sync::Arc;
use std::time::Duration;

use adapter::{CallError, StartDetails, WorkerReply};
use scheduler::{Order, StartOutcome, StopOutcome, TaskKey, WorkerEntry, WorkerKey};

use crate::advice::send_query;
use crate::clock::now_ms;
use crate::lease_renewal::{RenewalOutcome, check_incarnation};
use crate::metrics::{Counter, Timing};
use crate::term::Term;

/// Delay before an order is sent again.
const RETRY_PAUSE_MS: u64 = 120;

/// How often a planner whose lead is not confirmed, or whose list of workers is old, checks whether it may send a start.
const LEAD_POLL_MS: u64 = 20;

/// Sends all orders that are ready.
pub(crate) fn dispatch_orders(term: &Arc<Term>) {
    let orders = {
        let mut planner = term.lock_planner();
        let orders = planner.take_orders();
        orders
            .into_iter()
            .map(|order| {
                let worker = match &order {
                    Order::Start { worker, .. }
                    | Order::Stop { worker, .. }
                    | Order::Pace { worker, .. } => Some(*worker),
                    Order::Ask { .. } => None,
                };
                (order, worker.and_then(|w| planner.entry(w).cloned()))
            })
            .collect::<Vec<_>>()
    };
    for (order, entry) in orders {
        match (order, entry) {
            (order @ Order::Ask { .. }, _) => term.spawn(send_query(term.clone(), order)),
            (order, Some(entry)) => term.spawn(send_order(term.clone(), order, entry)),
            // The worker is gone, and so is every run on it.
            (_, None) => {}
        }
    }
}

/// Sends one order.
async fn send_order(term: Arc<Term>, order: Order, entry: WorkerEntry) {
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
            worker,
            task_key,
            task,
            run,
            text,
            progress,
            ticket,
            ..
        } => {
            let check = check_start(&term, worker, task_key, run, again).await;
            // The worker may have restarted while the order waited: with another clock, or at another address.
            let target = grant_start(&term, worker);
            let outcome = match (check, target) {
                (StartCheck::Withdrawn, _) => return term.wake.notify_one(),
                (StartCheck::Send, Some((entry, lease_end_clock_ms))) => {
                    let details = StartDetails {
                        text: &text,
                        lease_end_clock_ms,
                        progress: &progress,
                        ticket: &ticket,
                    };
                    let workers = &term.node.workers;
                    map_start_reply(
                        workers
                            .start(&entry, term.lead.term, task, run, details, again)
                            .await,
                    )
                }
                _ => StartOutcome::NoAnswer,
            };
            term.lock_planner()
                .apply_start_outcome(task_key, run, outcome, now_ms());
        }
        Order::Pace {
            task_key,
            task,
            run,
            percent,
            ..
        } => {
            let result = term
                .node
                .workers
                .pace(&entry, term.lead.term, task, run, percent)
                .await;
            if !matches!(result, Ok(WorkerReply::Done)) {
                term.lock_planner().forget_pace(task_key, run);
            }
        }
        Order::Ask { .. } => {}
        Order::Stop {
            task_key,
            task,
            run,
            ..
        } => {
            let outcome = map_stop_reply(
                term.node
                    .workers
                    .stop(&entry, term.lead.term, task, run, again)
                    .await,
                sent_ms,
            );
            if let Some(task_key) = task_key {
                term.lock_planner()
                    .apply_stop_outcome(task_key, run, outcome, now_ms());
            }
        }
    }
    term.node
        .metrics
        .record(Timing::Order, now_ms().saturating_sub(sent_ms));
    term.wake.notify_one();
}

/// Returns where to send a start, and the end of the lease to send with it, on the worker's clock; none if the worker is no
/// longer known or gets no lease now.
fn grant_start(term: &Term, worker: WorkerKey) -> Option<(WorkerEntry, u64)> {
    let mut planner = term.lock_planner();
    let lease_end_clock_ms = planner.grant_lease(worker, now_ms())?;
    Some((planner.entry(worker)?.clone(), lease_end_clock_ms))
}

/// Whether a start may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartCheck {
    /// It may be sent now.
    Send,
    /// Not before the worker has answered.
    Wait,
    /// It is no longer due.
    Withdrawn,
}

/// Checks a start right before it is sent, once starts may be sent at all.
async fn check_start(
    term: &Term,
    worker: WorkerKey,
    task: TaskKey,
    run: u32,
    again: bool,
) -> StartCheck {
    while !term.may_send_starts() {
        tokio::time::sleep(Duration::from_millis(LEAD_POLL_MS)).await;
    }
    // The next incarnation of the worker may have the same id, and would take a repeated start for a new one.
    let is_known = !again || check_incarnation(term, worker).await == RenewalOutcome::Answered;
    // The worker may have shrunk while the order waited.
    let is_due = term.lock_planner().revalidate_start(task, run, now_ms());
    match (is_due, is_known) {
        (false, _) => StartCheck::Withdrawn,
        (true, false) => StartCheck::Wait,
        (true, true) => StartCheck::Send,
    }
}

fn map_start_reply(result: Result<WorkerReply, CallError>) -> StartOutcome {
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

fn map_stop_reply(result: Result<WorkerReply, CallError>, sent_ms: u64) -> StopOutcome {
    match result {
        // A run that the worker does not know can no longer be started there either.
        Ok(WorkerReply::Done | WorkerReply::OldRun | WorkerReply::Malformed) => {
            StopOutcome::Taken {
                sent_ms,
                received_ms: now_ms(),
            }
        }
        Ok(WorkerReply::OlderTerm) => StopOutcome::OlderTerm,
        Ok(WorkerReply::OtherLife) => StopOutcome::OtherLife,
        _ => StopOutcome::NoAnswer,
    }
}
