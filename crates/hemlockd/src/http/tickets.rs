//! `POST /v1/tickets`: issues tickets for once-only work ahead of its use.

use std::sync::Arc;

use model::prelude::*;
use poem::web::{Data, Json};
use poem::{Body, IntoResponse, Request, Response, handler};
use serde::{Deserialize, Serialize};

use super::auth::authenticate;
use super::body::read_json;
use super::error::{NoAnswer, refuse};
use super::health::check_serving;
use crate::node::Shared;

/// Maximum number of tickets per request.
const TICKETS_MAX: u32 = 1_000;

/// Request for tickets.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrawRequest {
    count: u32,
}

/// Issued tickets and their validity.
#[derive(Debug, Serialize)]
struct DrawReply {
    tickets: Vec<Ticket>,
    valid_ms: u64,
}

/// Issues tickets.
#[handler]
pub(crate) async fn post_tickets(
    shared: Data<&Arc<Shared>>,
    request: &Request,
    body: Body,
) -> Response {
    match draw(&shared, request, body).await {
        Ok(reply) => Json(reply).into_response(),
        Err(refused) => {
            shared.count_refusal(refused.reason());
            NoAnswer::Refused(refused).into_response()
        }
    }
}

/// Checks the request and issues its tickets.
async fn draw(shared: &Shared, request: &Request, body: Body) -> Result<DrawReply, Refused> {
    authenticate(&shared.snapshot(), request)?;
    check_serving(shared)?;
    let DrawRequest { count } = read_json(body).await?;
    if count == 0 || count > TICKETS_MAX {
        let detail = format!("count is a whole number from 1 to {TICKETS_MAX}");
        return Err(refuse(RefusalReason::Malformed, detail));
    }
    let tickets = shared.tickets.draw(shared.clock.now_ms(), count);
    if tickets.is_empty() {
        return Err(refuse(RefusalReason::Stopping, "the node is stopping"));
    }
    shared
        .metrics
        .count_many("tickets.drawn", tickets.len() as u64);
    Ok(DrawReply {
        tickets,
        valid_ms: shared.tickets.valid_ms(),
    })
}
