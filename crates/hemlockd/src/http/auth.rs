//! Authentication with bearer tokens.

use model::prelude::*;
use poem::Request;
use poem::http::header;

use super::error::refuse;
use crate::declared::{Principal, Snapshot};

/// Returns the owner of the request's bearer token.
///
/// # Errors
///
/// The token is missing or unknown; the refusal does not say which.
pub(crate) fn authenticate(snapshot: &Snapshot, request: &Request) -> Result<Principal, Refused> {
    let header = request.headers().get(header::AUTHORIZATION);
    let token = header
        .and_then(|value| value.to_str().ok())
        .and_then(parse_bearer);
    match token.and_then(|token| snapshot.principal_of(token)) {
        Some(principal) => Ok(principal.clone()),
        None => Err(refuse(
            RefusalReason::Unauthorised,
            "a valid bearer token is needed",
        )),
    }
}

/// Extracts the token from an `Authorization` header.
fn parse_bearer(header: &str) -> Option<&str> {
    let (scheme, token) = header.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Refuses principals that are not operators.
///
/// # Errors
///
/// The principal is a caller.
pub(crate) fn require_operator(principal: &Principal) -> Result<(), Refused> {
    match principal {
        Principal::Operator => Ok(()),
        Principal::Caller(_) => Err(refuse(
            RefusalReason::Forbidden,
            "this needs an operator's token",
        )),
    }
}
