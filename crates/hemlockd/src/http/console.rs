//! `POST /v1/console`: statements of the operators' language.

use std::sync::Arc;

use model::prelude::*;
use poem::web::{Data, Json};
use poem::{Body, IntoResponse, Request, Response, handler};
use serde::{Deserialize, Serialize};

use super::auth::authenticate;
use super::body::read_json;
use super::error::{NoAnswer, refuse, refused_response};
use crate::console::{ConsoleError, ConsoleReply, answer};
use crate::node::Shared;

/// Request with a statement.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ConsoleRequest {
    query: String,
}

/// Reply to a statement.
#[derive(Debug, Serialize)]
struct ConsoleBody {
    columns: serde_json::Value,
    rows: serde_json::Value,
    unreachable: Vec<String>,
    revision: Revision,
}

impl From<ConsoleReply> for ConsoleBody {
    fn from(reply: ConsoleReply) -> Self {
        let (columns, rows) = reply.table.to_json();
        Self {
            columns,
            rows,
            unreachable: reply.unreachable,
            revision: reply.revision,
        }
    }
}

/// Answers a statement.
#[handler]
pub(crate) async fn post_console(
    shared: Data<&Arc<Shared>>,
    request: &Request,
    body: Body,
) -> Response {
    match answer_console(&shared, request, body).await {
        Ok(reply) => Json(ConsoleBody::from(reply)).into_response(),
        Err(ConsoleError::Findings(findings)) => {
            let refused = refuse(RefusalReason::Malformed, findings.to_string());
            shared.count_refusal(refused.reason());
            refused_response(&refused, Some(&findings))
        }
        Err(ConsoleError::Refused(refused)) => {
            shared.count_refusal(refused.reason());
            NoAnswer::Refused(refused).into_response()
        }
        Err(ConsoleError::Unknown(unknown)) => NoAnswer::Unknown(unknown).into_response(),
    }
}

/// Checks the request and answers its statement.
async fn answer_console(
    shared: &Arc<Shared>,
    request: &Request,
    body: Body,
) -> Result<ConsoleReply, ConsoleError> {
    let principal = authenticate(&shared.snapshot(), request)?;
    let ConsoleRequest { query } = read_json(body).await?;
    answer(shared, &principal, &query).await
}
