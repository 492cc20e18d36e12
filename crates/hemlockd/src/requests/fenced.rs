//! Once-only requests whose ticket issuer is dead: fencing the issuer at the workers shows whether
//! they ran.

use std::sync::Arc;
use std::time::Duration;

use dispatch::fencing::{Fencing, Verdict};
use futures::future::join_all;
use model::prelude::*;
use platform::worker::WorkerApi;

use super::tickets::{ticket_outcome_unknown, work_id_of};
use super::{Answer, CheckedRequest, Outcome};
use crate::http::NoAnswer;
use crate::node::Shared;

/// Interval between two status queries about work that still runs, in milliseconds.
const STATUS_POLL_MS: u64 = 250;

/// Extra time for a node of the issuer's data centre to fence the issuer, in milliseconds.
const FENCING_MARGIN_MS: u64 = 5_000;

/// Determines the outcome of a request whose issuer is dead.
///
/// The issuer's incarnation is fenced at every worker of its data centre. Work that no worker has
/// seen is refused, with proof that it did not run. If a worker has seen it, its outcome is fetched
/// from that worker.
pub(super) async fn answer_for_dead_issuer(
    shared: &Arc<Shared>,
    request: CheckedRequest,
    ticket: Ticket,
    forwards: u8,
) -> Outcome {
    if ticket.data_centre != shared.settings.data_centre {
        return forward_to_data_centre(shared, request, &ticket, forwards).await;
    }
    match fence(shared, &ticket).await {
        Verdict::NotRun(proof) => {
            let detail = "the ticket's issuer has died before it sent the request";
            let refused = Refused::new(proof, RefusalReason::IssuerFenced, detail);
            Err(NoAnswer::Refused(refused))
        }
        Verdict::SeenAt(worker) => {
            fetch_outcome(shared, &ticket, &worker, request.remaining_ms).await
        }
        Verdict::Pending => Err(ticket_outcome_unknown(UnknownReason::IssuerLost)),
    }
}

/// Forwards the request to a node of the issuer's data centre.
async fn forward_to_data_centre(
    shared: &Arc<Shared>,
    request: CheckedRequest,
    ticket: &Ticket,
    forwards: u8,
) -> Outcome {
    let Some(node) = shared.members.peer_in(&ticket.data_centre, &ticket.node) else {
        return Err(ticket_outcome_unknown(UnknownReason::IssuerLost));
    };
    let timeout_ms = request.remaining_ms + FENCING_MARGIN_MS;
    let call = shared
        .peers
        .call(&node, timeout_ms, async |client, context| {
            client.run(context, request, forwards + 1).await
        });
    match call.await {
        Ok(outcome) => outcome.into(),
        Err(_) => Err(ticket_outcome_unknown(UnknownReason::IssuerLost)),
    }
}

/// Fences the issuer's incarnation at every worker of this data centre.
async fn fence(shared: &Shared, ticket: &Ticket) -> Verdict {
    let workers: Vec<_> = {
        let view = shared.members.workers();
        view.listed
            .values()
            .map(|vm| (vm.name.clone(), vm.address))
            .collect()
    };
    let names = workers.iter().map(|(name, _)| name.clone());
    let mut fencing = Fencing::new(ticket.node.clone(), ticket.incarnation, names);
    let command = fencing.command();
    let calls = workers.into_iter().map(|(name, address)| {
        let command = command.clone();
        async move {
            let reply = shared.workers.fence(address, &command).await;
            let inventory = shared.workers.inventory(address).await;
            (name, reply, inventory)
        }
    });
    let mut memory_complete = true;
    for (name, reply, inventory) in join_all(calls).await {
        if let (Ok(reply), Ok(inventory)) = (reply, inventory) {
            memory_complete &= shared.members.covers(ticket, inventory.boot);
            fencing.on_reply(&name, inventory.boot, &reply);
        }
    }
    fencing.verdict(ticket, memory_complete)
}

/// Polls the worker that has seen the ticket until the outcome is known or the deadline has passed.
async fn fetch_outcome(
    shared: &Shared,
    ticket: &Ticket,
    worker: &WorkerName,
    remaining_ms: u64,
) -> Outcome {
    let Some(address) = shared.members.worker_address(worker) else {
        return Err(ticket_outcome_unknown(UnknownReason::WorkerLost));
    };
    let work_id = work_id_of(ticket);
    let until_ms = shared.clock.now_ms() + remaining_ms;
    while shared.clock.now_ms() < until_ms {
        match shared.workers.status(address, &work_id).await {
            Ok(WorkStatus::Ended(RunReply::Answered(answer))) => {
                return match answer.check(&work_id) {
                    Ok(()) => {
                        let RunAnswer {
                            work_id,
                            digest,
                            body,
                            ..
                        } = answer;
                        Ok(Answer {
                            work_id,
                            digest,
                            body,
                        })
                    }
                    Err(_) => Err(ticket_outcome_unknown(UnknownReason::IssuerLost)),
                };
            }
            Ok(WorkStatus::Ended(RunReply::Failed { detail, .. })) => {
                let reason = FailureReason::WorkerReportedFailure;
                return Err(NoAnswer::Failed(Failed { reason, detail }));
            }
            Ok(WorkStatus::Ended(RunReply::Refused(_)) | WorkStatus::Unknown) => {
                return Err(ticket_outcome_unknown(UnknownReason::IssuerLost));
            }
            Ok(WorkStatus::Running { .. }) | Err(_) => {}
        }
        tokio::time::sleep(Duration::from_millis(STATUS_POLL_MS)).await;
    }
    Err(ticket_outcome_unknown(
        UnknownReason::DeadlinePassedAfterSend,
    ))
}
