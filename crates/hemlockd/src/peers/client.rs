//! Connections to the other nodes. After a failed or unanswered call a connection is dropped, and
//! the next call opens a new one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use model::prelude::*;
use tarpc::client::{self, RpcError};
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use thiserror::Error;

use super::service::PeerServiceClient;

/// Maximum length of a frame between nodes, in bytes.
pub(super) const FRAME_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Why a call to a peer returned no reply.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum PeerCallError {
    /// No address is known for the node.
    #[error("no address is known for the node {node}")]
    UnknownNode {
        /// The node.
        node: NodeName,
    },
    /// No connection could be opened, so nothing was sent.
    #[error("no connection to the node {node}: {detail}")]
    NotSent {
        /// The node.
        node: NodeName,
        /// Cause of the failure.
        detail: String,
    },
    /// The call was sent, but no reply arrived.
    #[error("no reply from the node {node}: {detail}")]
    ReplyLost {
        /// The node.
        node: NodeName,
        /// Cause of the failure.
        detail: String,
    },
}

impl PeerCallError {
    /// Returns whether it is certain that nothing was sent.
    pub(crate) const fn is_unsent(&self) -> bool {
        matches!(self, Self::UnknownNode { .. } | Self::NotSent { .. })
    }
}

/// Address of a peer, and the connection to it if one is open.
#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    client: Option<PeerServiceClient>,
}

/// Connections to the other nodes.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    connections: Mutex<HashMap<NodeName, Connection>>,
}

impl Peers {
    fn lock(&self) -> MutexGuard<'_, HashMap<NodeName, Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the address of a node and drops a connection to an earlier address.
    pub(crate) fn set_address(&self, node: &NodeName, address: SocketAddr) {
        let mut connections = self.lock();
        match connections.get(node) {
            Some(known) if known.address == address => {}
            _ => {
                connections.insert(
                    node.clone(),
                    Connection {
                        address,
                        client: None,
                    },
                );
            }
        }
    }

    /// Calls `node` and waits up to `timeout_ms` for the reply; after a failure the connection is
    /// dropped.
    ///
    /// # Errors
    ///
    /// No reply arrived; the error says whether the call may have reached the node.
    pub(crate) async fn call<T, F>(
        &self,
        node: &NodeName,
        timeout_ms: u64,
        call: impl FnOnce(PeerServiceClient, context::Context) -> F,
    ) -> Result<T, PeerCallError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.connect(node).await?;
        let mut context = context::current();
        let timeout = Duration::from_millis(timeout_ms);
        context.deadline = Instant::now() + timeout;
        // Each open request holds the state of a call that it may have to make; boxing keeps that
        // state small.
        let call = Box::pin(call(client, context));
        let reply = tokio::time::timeout(timeout, call).await;
        let detail = match reply {
            Ok(Ok(value)) => return Ok(value),
            Ok(Err(e)) => e.to_string(),
            Err(_) => format!("no reply within {timeout_ms} ms"),
        };
        self.disconnect(node);
        Err(PeerCallError::ReplyLost {
            node: node.clone(),
            detail,
        })
    }

    /// Returns the open connection to `node`, or opens one.
    async fn connect(&self, node: &NodeName) -> Result<PeerServiceClient, PeerCallError> {
        let address = match self.lock().get(node) {
            None => return Err(PeerCallError::UnknownNode { node: node.clone() }),
            Some(Connection {
                client: Some(client),
                ..
            }) => return Ok(client.clone()),
            Some(connection) => connection.address,
        };
        let client = open(address).await.map_err(|e| PeerCallError::NotSent {
            node: node.clone(),
            detail: e.to_string(),
        })?;
        if let Some(connection) = self.lock().get_mut(node) {
            connection.client = Some(client.clone());
        }
        Ok(client)
    }

    /// Drops the connection to `node`; the next call opens a new one.
    fn disconnect(&self, node: &NodeName) {
        if let Some(connection) = self.lock().get_mut(node) {
            connection.client = None;
        }
    }
}

/// Opens a connection.
async fn open(address: SocketAddr) -> std::io::Result<PeerServiceClient> {
    let mut connecting = tcp::connect(address, Bincode::default);
    connecting.config_mut().max_frame_length(FRAME_BYTES_MAX);
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let transport = tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    Ok(PeerServiceClient::new(client::Config::default(), transport).spawn())
}
