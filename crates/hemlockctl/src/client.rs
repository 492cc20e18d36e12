//! HTTP connection to an entry node, and the errors of commands.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde_json::Value;
use thiserror::Error;

/// Timeout of a call, in milliseconds.
const TIMEOUT_MS: u64 = 600_000;

/// Timeout of opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 3_000;

/// Address of an entry node and the credentials for it.
#[derive(Debug, Args)]
pub(crate) struct Connection {
    /// IP address and port of an entry node.
    #[arg(long, global = true, env = "HEMLOCK_NODE", value_name = "IP:PORT")]
    node: Option<SocketAddr>,
    /// Bearer token of the caller.
    #[arg(long, global = true, env = "HEMLOCK_TOKEN", hide_env_values = true)]
    token: Option<String>,
}

/// Reason why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CtlError {
    /// An argument is missing or invalid.
    #[error("{detail}")]
    Usage {
        /// Description of the mistake.
        detail: String,
    },
    /// A local operation failed: a file, the terminal or the async runtime.
    #[error("{detail}")]
    Local {
        /// Description of the failure.
        detail: String,
    },
    /// The node is unreachable, or its reply was lost.
    #[error("the node does not answer: {detail}")]
    Connection {
        /// Description of the failure.
        detail: String,
    },
    /// The node replied with an error status.
    #[error("{status}: {body}")]
    Node {
        /// HTTP status of the reply.
        status: StatusCode,
        /// Body of the reply; a JSON string if the body is not JSON.
        body: Value,
    },
}

/// Exit code of a command that failed on the node, on the connection or locally.
const EXIT_FAILED: u8 = 1;

/// Exit code for missing or invalid arguments.
const EXIT_USAGE: u8 = 2;

impl CtlError {
    /// Returns the exit code of the command.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => EXIT_USAGE,
            Self::Local { .. } | Self::Connection { .. } | Self::Node { .. } => EXIT_FAILED,
        }
    }

    /// Converts the error to JSON in the form of the node's own errors.
    pub(crate) fn to_json(&self) -> Value {
        match self {
            Self::Node { body, .. } => body.clone(),
            other => serde_json::json!({ "outcome": "error", "detail": other.to_string() }),
        }
    }
}

impl From<reqwest::Error> for CtlError {
    fn from(error: reqwest::Error) -> Self {
        Self::Connection {
            detail: format!("{error:?}"),
        }
    }
}

impl Connection {
    /// Prepares a call of `path` on the node, with the bearer token set.
    ///
    /// # Errors
    ///
    /// [`CtlError::Usage`] if the address or the token is missing.
    pub(crate) fn prepare_call(
        &self,
        method: Method,
        path: &str,
    ) -> Result<RequestBuilder, CtlError> {
        let missing = |name: &str| CtlError::Usage {
            detail: format!("give {name}, or set its environment variable"),
        };
        let node = self.node.ok_or_else(|| missing("--node IP:PORT"))?;
        let token = self
            .token
            .as_ref()
            .ok_or_else(|| missing("--token TOKEN"))?;
        let call = build_http_client()?.request(method, format!("http://{node}{path}"));
        Ok(call.bearer_auth(token))
    }

    /// Calls `path` with an optional JSON body and reads the JSON reply.
    pub(crate) async fn call_json(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, CtlError> {
        let mut call = self.prepare_call(method, path)?;
        if let Some(body) = body {
            call = call.json(body);
        }
        read_json(call.send().await?).await
    }
}

/// Builds an HTTP client that ignores proxy settings.
pub(crate) fn build_http_client() -> Result<reqwest::Client, CtlError> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .timeout(Duration::from_millis(TIMEOUT_MS))
        .build()?;
    Ok(client)
}

/// Reads a reply; an error status becomes [`CtlError::Node`].
pub(crate) async fn read_json(response: Response) -> Result<Value, CtlError> {
    let status = response.status();
    let bytes = response.bytes().await?;
    let body = parse_json_or_text(&bytes);
    if status.is_success() {
        Ok(body)
    } else {
        Err(CtlError::Node { status, body })
    }
}

/// Parses `bytes` as JSON, or wraps them in a JSON string if they are not JSON.
pub(crate) fn parse_json_or_text(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(bytes).into_owned()))
}
