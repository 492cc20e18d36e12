//! Connection pools; the pool of a peer is replaced when one of its connections has stalled.
//!
//! When something on the path to a peer has lost track of the open connections, all of them are
//! likely to have stalled, while new ones work. After a call has timed out, later calls to the same
//! peer therefore use new connections. Until then all peers share one pool.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Bytes, BytesMut};
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::error::{CallError, ClientError};
use crate::http::{build_client, describe_error, malformed, map_send_error, too_long};

/// Longest body of an error reply that is read, in bytes.
const ERROR_BYTES_MAX: usize = 512;

/// Largest number of peers with a pool of their own; above it all peers share one new pool.
const PEER_POOLS_MAX: usize = 512;

/// Number of a pool of connections; a replacement has a higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Generation(u64);

/// State behind the lock of a [`Pool`].
#[derive(Debug)]
struct State {
    shared: (Generation, Client),
    per_peer: HashMap<SocketAddr, (Generation, Client)>,
    next_generation: u64,
}

/// Connections to all peers.
#[derive(Debug)]
pub(crate) struct Pool {
    connect_ms: u64,
    idle_max: usize,
    state: Mutex<State>,
}

impl Pool {
    /// Creates a pool that keeps at most `idle_max` idle connections per peer.
    pub(crate) fn new(connect_ms: u64, idle_max: usize) -> Result<Arc<Self>, ClientError> {
        let state = State {
            shared: (Generation(0), build_client(connect_ms, idle_max)?),
            per_peer: HashMap::new(),
            next_generation: 1,
        };
        Ok(Arc::new(Self {
            connect_ms,
            idle_max,
            state: Mutex::new(state),
        }))
    }

    /// Locks the state, also after a panic of another holder.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the client for calls to `peer`, with its generation.
    fn connections(&self, peer: SocketAddr) -> (Generation, Client) {
        let state = self.lock();
        state.per_peer.get(&peer).unwrap_or(&state.shared).clone()
    }

    /// Returns the generation of the connections that calls to `peer` use now.
    pub(crate) fn generation(&self, peer: SocketAddr) -> Generation {
        self.connections(peer).0
    }

    /// Makes later calls to `peer` use new connections, unless those of `seen` have been replaced
    /// already.
    pub(crate) fn replace(&self, peer: SocketAddr, seen: Generation) {
        if self.generation(peer) != seen {
            return;
        }
        let client = match build_client(self.connect_ms, self.idle_max) {
            Ok(client) => client,
            Err(e) => {
                log::warn!(
                    target: "platform",
                    "Keeping the connections to {peer}; no new client can be built: {e}."
                );
                return;
            }
        };
        let mut state = self.lock();
        let connections = (Generation(state.next_generation), client);
        state.next_generation += 1;
        if state.per_peer.len() < PEER_POOLS_MAX {
            state.per_peer.insert(peer, connections);
        } else {
            state.per_peer.clear();
            state.shared = connections;
        }
    }

    /// Sends a call and reads the head of its reply.
    ///
    /// A reply of 503 is an error: the peer states that the call had no effect.
    pub(crate) async fn send(
        self: &Arc<Self>,
        peer: SocketAddr,
        build: impl FnOnce(&Client) -> RequestBuilder,
    ) -> Result<Reply, CallError> {
        let (generation, client) = self.connections(peer);
        let connection = CallConnection {
            pool: Arc::clone(self),
            peer,
            generation,
        };
        let sent = build(&client).send().await;
        let response = sent.map_err(|e| connection.map_error(&e, map_send_error))?;
        let reply = Reply {
            connection,
            response,
        };
        if reply.response.status() == StatusCode::SERVICE_UNAVAILABLE {
            let detail = reply.read_error_text().await;
            return Err(CallError::Unavailable { detail });
        }
        Ok(reply)
    }

    /// Sends a call and decodes its JSON reply of at most `len_max` bytes; any status but 200 is an
    /// error.
    pub(crate) async fn call_json<T: DeserializeOwned>(
        self: &Arc<Self>,
        peer: SocketAddr,
        build: impl FnOnce(&Client) -> RequestBuilder,
        len_max: usize,
    ) -> Result<T, CallError> {
        let reply = self.send(peer, build).await?;
        let status = reply.response.status();
        if status == StatusCode::OK {
            return reply.read_json(len_max).await;
        }
        let text = reply.read_error_text().await;
        Err(malformed(format!("status {status}: {text}")))
    }
}

/// Pool and generation of the connections that a call uses.
#[derive(Debug)]
struct CallConnection {
    pool: Arc<Pool>,
    peer: SocketAddr,
    generation: Generation,
}

impl CallConnection {
    /// Maps an error with `map`; after a timeout on an open connection, replaces the connections to
    /// the peer.
    fn map_error(
        &self,
        error: &reqwest::Error,
        map: impl FnOnce(&reqwest::Error) -> CallError,
    ) -> CallError {
        if error.is_timeout() && !error.is_connect() {
            self.pool.replace(self.peer, self.generation);
        }
        map(error)
    }
}

/// Reply whose body has not been read.
#[derive(Debug)]
pub(crate) struct Reply {
    connection: CallConnection,
    response: Response,
}

impl Reply {
    /// Returns the value of a header, if present and text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let value = self.response.headers().get(name)?;
        value.to_str().ok()
    }

    /// Reads a body of at most `len_max` bytes.
    pub(crate) async fn read_body(self, len_max: usize) -> Result<Bytes, CallError> {
        let Self {
            connection,
            mut response,
        } = self;
        if response.content_length().unwrap_or(0) > len_max as u64 {
            return Err(too_long(len_max));
        }
        let mut body = BytesMut::new();
        loop {
            let read = response.chunk().await;
            let chunk = read.map_err(|e| connection.map_error(&e, map_read_error))?;
            let Some(chunk) = chunk else {
                return Ok(body.freeze());
            };
            if body.len() + chunk.len() > len_max {
                return Err(too_long(len_max));
            }
            body.extend_from_slice(&chunk);
        }
    }

    /// Decodes a JSON body of at most `len_max` bytes.
    pub(crate) async fn read_json<T: DeserializeOwned>(
        self,
        len_max: usize,
    ) -> Result<T, CallError> {
        let body = self.read_body(len_max).await?;
        serde_json::from_slice(&body).map_err(|e| malformed(e.to_string()))
    }

    /// Reads the body of an error reply as text.
    ///
    /// Returns the text of the read error if the body cannot be read or has more than
    /// [`ERROR_BYTES_MAX`] bytes.
    async fn read_error_text(self) -> String {
        match self.read_body(ERROR_BYTES_MAX).await {
            Ok(body) => String::from_utf8_lossy(&body).into_owned(),
            Err(e) => e.to_string(),
        }
    }
}

/// Maps a failure to read a body; the call may have taken effect.
fn map_read_error(error: &reqwest::Error) -> CallError {
    CallError::ReplyLost {
        detail: describe_error(error),
    }
}
