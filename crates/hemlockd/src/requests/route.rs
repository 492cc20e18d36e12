//! Routes a request: served on this node, at the node that holds its ticket, or in another data
//! centre.

use std::sync::Arc;
use std::time::Duration;

use model::prelude::*;
use tokio_util::sync::CancellationToken;

use super::admission_control::Origin;
use super::serve::{LocalOutcome, serve_local};
use super::tickets::serve_ticketed;
use super::{CheckedRequest, Outcome};
use crate::http::NoAnswer;
use crate::node::{OpenRequest, Shared};

/// Time after the deadline at which a caller is told that the outcome is unknown, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 2_000;

/// Time after the deadline that another data centre may take to reply, in milliseconds.
const SPILL_MARGIN_MS: u64 = 1_000;

/// Minimum time left for trying another data centre, in milliseconds.
const SPILL_MS_MIN: u64 = 30;

/// Serves a request of a caller; `open` counts the request as open until its work has ended.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    request: CheckedRequest,
    abandoned: CancellationToken,
    open: OpenRequest,
) -> Outcome {
    let wait = Duration::from_millis(request.remaining_ms + ANSWER_MARGIN_MS);
    let work = tokio::spawn(async move {
        let outcome = match request.ticket.clone() {
            Some(ticket) => serve_ticketed(&shared, request, ticket, 0).await,
            None => serve_anywhere(&shared, request, abandoned).await,
        };
        drop(open);
        outcome
    });
    match tokio::time::timeout(wait, work).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => Err(outcome_unknown(
            UnknownReason::IssuerLost,
            "the request ended abnormally",
        )),
        Err(_) => {
            let detail = "the deadline passed and the work may still run";
            Err(outcome_unknown(
                UnknownReason::DeadlinePassedAfterSend,
                detail,
            ))
        }
    }
}

/// Serves a request that another node has forwarded.
pub(crate) async fn serve_for_peer(
    shared: Arc<Shared>,
    request: CheckedRequest,
    forwards: u8,
) -> Outcome {
    if let Err(refused) = crate::http::check_serving(&shared) {
        return Err(refused.into());
    }
    let mut open = shared.open_request()?;
    open.hold(request.body.len())?;
    let work = tokio::spawn(async move {
        let outcome = match request.ticket.clone() {
            Some(ticket) => serve_ticketed(&shared, request, ticket, forwards).await,
            None => serve_spilled(&shared, request).await,
        };
        drop(open);
        outcome
    });
    work.await.unwrap_or_else(|_| {
        Err(outcome_unknown(
            UnknownReason::IssuerLost,
            "the request ended abnormally",
        ))
    })
}

/// Serves a request that another data centre had no capacity for.
async fn serve_spilled(shared: &Arc<Shared>, request: CheckedRequest) -> Outcome {
    let never = CancellationToken::new();
    match serve_local(
        Arc::clone(shared),
        Arc::new(request),
        None,
        Origin::DataCentre,
        never,
    )
    .await
    {
        LocalOutcome::Done(outcome) => outcome,
        LocalOutcome::Spill(refused) => Err(refused.into()),
    }
}

/// Serves a request in this data centre, or in another one if this one has no capacity.
async fn serve_anywhere(
    shared: &Arc<Shared>,
    request: CheckedRequest,
    abandoned: CancellationToken,
) -> Outcome {
    let until_ms = shared.clock.now_ms() + request.remaining_ms;
    let request = Arc::new(request);
    let local = serve_local(
        Arc::clone(shared),
        Arc::clone(&request),
        None,
        Origin::Caller,
        abandoned,
    )
    .await;
    let refused = match local {
        LocalOutcome::Done(outcome) => return outcome,
        LocalOutcome::Spill(refused) => refused,
    };
    let remaining_ms = until_ms.saturating_sub(shared.clock.now_ms());
    if remaining_ms < SPILL_MS_MIN {
        return Err(refused.into());
    }
    let spilled = CheckedRequest {
        remaining_ms,
        ..CheckedRequest::clone(&request)
    };
    spill(shared, spilled, refused).await
}

/// Passes a request to another data centre, preferably of the same region.
async fn spill(shared: &Arc<Shared>, request: CheckedRequest, refused: Refused) -> Outcome {
    let Some(node) = shared.members.spill_target(&shared.settings) else {
        return Err(refused.into());
    };
    let is_local = shared.members.is_in_region(&node, &shared.settings);
    if !is_local && !shared.take_region_bytes(request.body.len()) {
        return Err(refused.into());
    }
    shared.metrics.count("requests.spilled");
    let timeout_ms = request.remaining_ms + SPILL_MARGIN_MS;
    let call = shared
        .peers
        .call(&node, timeout_ms, async |client, context| {
            client.run(context, request, 0).await
        });
    match call.await {
        Ok(outcome) => outcome.into(),
        Err(e) if e.is_unsent() => Err(refused.into()),
        Err(e) => Err(outcome_unknown(UnknownReason::LinkLost, &e.to_string())),
    }
}

/// Builds the reply for an unknown outcome.
fn outcome_unknown(reason: UnknownReason, detail: &str) -> NoAnswer {
    NoAnswer::Unknown(OutcomeUnknown {
        reason,
        detail: detail.to_owned(),
    })
}
