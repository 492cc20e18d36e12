//! Reads request bodies up to a maximum length.

use bytes::Bytes;
use model::prelude::*;
use poem::Body;
use poem::error::ReadBodyError;
use serde::de::DeserializeOwned;

use super::error::refuse;

/// Maximum length of a JSON request, in bytes.
pub(crate) const JSON_BYTES_MAX: usize = 64 * 1024;

/// Maximum length of a set of declarations, in bytes.
pub(crate) const DECLARATIONS_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Reads a body of at most `bytes_max` bytes.
///
/// # Errors
///
/// The body is longer, or the connection closed before its end.
pub(crate) async fn read_body(body: Body, bytes_max: usize) -> Result<Bytes, Refused> {
    match body.into_bytes_limit(bytes_max).await {
        Ok(bytes) => Ok(bytes),
        Err(ReadBodyError::PayloadTooLarge) => {
            let detail = format!("the body has more than {bytes_max} bytes");
            Err(refuse(RefusalReason::TooLarge, detail))
        }
        Err(e) => Err(refuse(
            RefusalReason::Malformed,
            format!("the body is incomplete: {e}"),
        )),
    }
}

/// Reads a JSON body.
///
/// # Errors
///
/// The body is too long or not the expected JSON; the detail gives the place.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Body) -> Result<T, Refused> {
    let bytes = read_body(body, JSON_BYTES_MAX).await?;
    serde_json::from_slice(&bytes)
        .map_err(|e| refuse(RefusalReason::Malformed, format!("the body: {e}")))
}
