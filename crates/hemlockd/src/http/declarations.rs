//! `GET` and `PUT /v1/declarations`: reads and changes the declarations.

use std::collections::BTreeMap;
use std::sync::Arc;

use declarations::{
    ChangeId, ChangeRequest, DeclarationSet, Located, SourceFile, edits_between, parse_files, plan,
};
use model::prelude::*;
use poem::web::{Data, Json};
use poem::{Body, IntoResponse, Request, Response, handler};
use serde::{Deserialize, Serialize};

use super::auth::{authenticate, require_operator};
use super::body::{DECLARATIONS_BYTES_MAX, read_body};
use super::error::{NoAnswer, refuse, refused_response};
use crate::console::collect_guarantee_uses;
use crate::declared::{EarlierError, EditError, make_change, read_earlier};
use crate::node::Shared;

/// The declarations that are active on the node that was called.
#[derive(Debug, Serialize)]
struct ActiveDeclarations {
    node: NodeName,
    revision: Revision,
    age_ms: Option<u64>,
    declarations: DeclarationSet,
}

/// The wanted set of declarations, and how to apply it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PutRequest {
    /// Files that together declare everything that is wanted.
    #[serde(default)]
    files: Vec<SourceFile>,
    /// Revision whose content is to be restored, instead of files.
    #[serde(default)]
    revert_to: Option<Revision>,
    /// Identifier of the change; requests with the same identifier are the same change.
    #[serde(default)]
    id: Option<ChangeId>,
    /// Revision on which the author based the change.
    #[serde(default)]
    base: Option<Revision>,
    /// Author of the change.
    #[serde(default)]
    author: Option<String>,
    /// Reason for the change.
    #[serde(default)]
    why: Option<String>,
    /// Whether items that the files omit are deleted.
    #[serde(default)]
    allow_delete: bool,
    /// Whether an earlier request with this identifier got no answer.
    #[serde(default)]
    repeated: bool,
    /// Whether to return only what would change.
    #[serde(default)]
    plan: bool,
}

/// What a change did, or would do.
#[derive(Debug, Serialize)]
struct PutReply {
    revision: Revision,
    applied: bool,
    id: ChangeId,
    changes: Vec<String>,
    /// Guarantees in use that the change removes.
    stops: Vec<String>,
    /// Data centres whose usage of guarantees is unknown.
    unreachable: Vec<String>,
}

/// Why a change was not made.
enum PutError {
    /// It is refused.
    Refused(Refused),
    /// It is refused because of these findings.
    Findings(Findings),
    /// It may still take effect.
    Unknown(OutcomeUnknown),
}

impl From<Refused> for PutError {
    fn from(refused: Refused) -> Self {
        Self::Refused(refused)
    }
}

/// Returns the declarations that are active on this node.
#[handler]
pub(crate) fn get_declarations(shared: Data<&Arc<Shared>>, request: &Request) -> Response {
    let snapshot = shared.snapshot();
    let allowed = authenticate(&snapshot, request).and_then(|p| require_operator(&p));
    if let Err(refused) = allowed {
        shared.count_refusal(refused.reason());
        return NoAnswer::Refused(refused).into_response();
    }
    Json(ActiveDeclarations {
        node: shared.settings.node.clone(),
        revision: snapshot.revision,
        age_ms: shared.declared.digest(shared.clock.now_ms()).age_ms,
        declarations: snapshot.set.clone(),
    })
    .into_response()
}

/// Applies a set of declarations as one revision, or returns what that would change.
#[handler]
pub(crate) async fn put_declarations(
    shared: Data<&Arc<Shared>>,
    request: &Request,
    body: Body,
) -> Response {
    match put(&shared, request, body).await {
        Ok(reply) => Json(reply).into_response(),
        Err(PutError::Refused(refused)) => {
            shared.count_refusal(refused.reason());
            NoAnswer::Refused(refused).into_response()
        }
        Err(PutError::Findings(findings)) => {
            let refused = refuse(RefusalReason::Malformed, findings.to_string());
            shared.count_refusal(refused.reason());
            refused_response(&refused, Some(&findings))
        }
        Err(PutError::Unknown(unknown)) => NoAnswer::Unknown(unknown).into_response(),
    }
}

/// Checks the request and makes the change.
async fn put(shared: &Arc<Shared>, request: &Request, body: Body) -> Result<PutReply, PutError> {
    let principal = authenticate(&shared.snapshot(), request)?;
    require_operator(&principal)?;
    let bytes = read_body(body, DECLARATIONS_BYTES_MAX).await?;
    let put: PutRequest = serde_json::from_slice(&bytes)
        .map_err(|e| refuse(RefusalReason::Malformed, format!("the body: {e}")))?;
    let Located {
        value: wanted,
        places,
    } = read_wanted(shared, &put).await?;
    let current = shared.snapshot();
    let used = collect_guarantee_uses(shared).await;
    let planned = plan(&current.set, &wanted, &used.uses);
    let edits = edits_between(&current.set, &wanted);
    let id = put.id.unwrap_or_else(|| ChangeId(rand::random()));
    let mut reply = PutReply {
        revision: current.revision,
        applied: false,
        id,
        changes: planned.changes.iter().map(ToString::to_string).collect(),
        stops: planned.stops.iter().map(ToString::to_string).collect(),
        unreachable: used.unreachable,
    };
    if put.plan || edits.is_empty() {
        return Ok(reply);
    }
    let change = ChangeRequest {
        id,
        base: Some(put.base.unwrap_or(current.revision)),
        author: put.author.unwrap_or_else(|| "operator".to_owned()),
        at_ms: shared.clock.now_ms(),
        why: put.why.unwrap_or_default(),
        edits,
        places,
        // A revert restores the earlier revision as a whole, deletions included.
        allow_delete: put.allow_delete || put.revert_to.is_some(),
        repeated: put.repeated,
    };
    reply.revision = make_change(shared, change).await.map_err(to_put_error)?;
    reply.applied = true;
    Ok(reply)
}

/// Returns the wanted declarations: the content of the files, or of an earlier revision.
async fn read_wanted(
    shared: &Arc<Shared>,
    put: &PutRequest,
) -> Result<Located<DeclarationSet>, PutError> {
    let Some(revision) = put.revert_to else {
        return parse_files(&put.files).map_err(PutError::Findings);
    };
    match read_earlier(shared, revision).await {
        Ok(value) => Ok(Located {
            value,
            places: BTreeMap::new(),
        }),
        Err(EarlierError::Unavailable) => {
            let detail = EarlierError::Unavailable.to_string();
            Err(refuse(RefusalReason::StoreUnavailable, detail).into())
        }
        Err(EarlierError::Revert(e)) => Err(refuse(RefusalReason::NotFound, e.to_string()).into()),
    }
}

/// Converts the error of a change that was not made, or whose outcome is unknown.
fn to_put_error(error: EditError) -> PutError {
    match error {
        EditError::Conflict(conflict) => {
            refuse(RefusalReason::Conflict, conflict.to_string()).into()
        }
        EditError::Rejected(findings) => PutError::Findings(findings),
        EditError::Unavailable => refuse(
            RefusalReason::StoreUnavailable,
            EditError::Unavailable.to_string(),
        )
        .into(),
        EditError::MayApply => PutError::Unknown(OutcomeUnknown {
            reason: UnknownReason::StoreAnswerLost,
            detail: EditError::MayApply.to_string(),
        }),
    }
}
