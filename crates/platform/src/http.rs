//! Construction of the HTTP clients and mapping of their errors.

use std::error::Error as _;
use std::time::Duration;

use reqwest::Client;

use crate::error::{CallError, ClientError};

/// Time after which an idle connection is closed, in milliseconds.
const IDLE_MS_MAX: u64 = 30_000;

/// Builds a client that ignores proxy settings of the environment, follows no redirects and never
/// retries.
///
/// `idle_max` bounds the idle connections per peer; with 0 every call opens a new connection.
pub(crate) fn build_client(connect_ms: u64, idle_max: usize) -> Result<Client, ClientError> {
    let client = Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .connect_timeout(Duration::from_millis(connect_ms))
        .pool_idle_timeout(Duration::from_millis(IDLE_MS_MAX))
        .pool_max_idle_per_host(idle_max)
        .build()?;
    Ok(client)
}

/// Maps a failure to send a call, by whether the call may have reached the peer.
///
/// Only a failure to connect, or to build the call, proves that nothing was sent.
pub(crate) fn map_send_error(error: &reqwest::Error) -> CallError {
    let detail = describe_error(error);
    if error.is_connect() || error.is_builder() {
        CallError::NotSent { detail }
    } else {
        CallError::ReplyLost { detail }
    }
}

/// Formats an error with its causes on one line.
pub(crate) fn describe_error(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}

/// Creates the error for a body of more than `len_max` bytes.
pub(crate) fn too_long(len_max: usize) -> CallError {
    malformed(format!("the body has more than {len_max} bytes"))
}

/// Creates the error for a reply that cannot be decoded or does not fit the call.
pub(crate) fn malformed(detail: impl Into<String>) -> CallError {
    CallError::Malformed {
        detail: detail.into(),
    }
}
