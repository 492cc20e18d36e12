//! Health and readiness checks for the balancer.

use std::sync::Arc;

use model::prelude::*;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{IntoResponse, Response, handler};

use super::error::{NoAnswer, refuse};
use crate::node::Shared;

/// Reports that the process runs.
#[handler]
pub(crate) fn healthz() -> StatusCode {
    StatusCode::OK
}

/// Reports whether the balancer may send new work: the node has declarations and is not stopping.
#[handler]
pub(crate) fn readyz(shared: Data<&Arc<Shared>>) -> Response {
    match check_ready(&shared) {
        Ok(()) => StatusCode::OK.into_response(),
        Err(refused) => NoAnswer::Refused(refused).into_response(),
    }
}

/// Refuses while the balancer should send no new work.
///
/// # Errors
///
/// The planned stop has begun, or the node has no declarations yet.
fn check_ready(shared: &Shared) -> Result<(), Refused> {
    if shared.is_stopping() {
        return Err(refuse(RefusalReason::Stopping, "the node is stopping"));
    }
    check_serving(shared)
}

/// Refuses while the node accepts no new work.
///
/// The balancer learns of a stop from readiness, so a stopping node still accepts work for a while.
///
/// # Errors
///
/// The node is in the last part of its stop, or has no declarations yet.
pub(crate) fn check_serving(shared: &Shared) -> Result<(), Refused> {
    if shared.is_refusing() {
        return Err(refuse(RefusalReason::Stopping, "the node is stopping"));
    }
    if shared.snapshot().revision == Revision::default() {
        return Err(refuse(
            RefusalReason::NotReady,
            "the node has no declarations yet",
        ));
    }
    Ok(())
}
