//! HTTP client of the key-value service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{CallError, ClientError};
use crate::pool::Pool;
use crate::store::{
    Entry, KeyVersion, Store, StoreLease, Swap, SwapOutcome, VALUE_BYTES_MAX, WatchBatch,
};
use crate::wire::{
    GetCall, GrantCall, HEADER_NODE, ListCall, RenewCall, STORE_GET, STORE_GRANT, STORE_LIST,
    STORE_RENEW, STORE_SWAP, STORE_WATCH, WatchCall,
};

/// Idle connections to the platform.
const POOL_MAX: usize = 4;

/// Longest reply about one key, in bytes; JSON escapes may double the length of a value.
const ENTRY_BYTES_MAX: usize = 2 * VALUE_BYTES_MAX + 4_096;

/// Longest reply about several keys, in bytes.
const LIST_BYTES_MAX: usize = 16 * VALUE_BYTES_MAX;

/// Time limits of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Longest time to open a connection, in milliseconds.
    pub connect_ms: u64,
    /// Longest time of a call, in milliseconds; a watch adds the time that it asks to wait.
    pub call_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect_ms: 1_000,
            call_ms: 3_000,
        }
    }
}

/// Client of the key-value service at one address.
#[derive(Debug, Clone)]
pub struct HttpStore {
    pool: Arc<Pool>,
    address: SocketAddr,
    node: NodeName,
    timeouts: Timeouts,
}

impl HttpStore {
    /// Creates a client of the service at `address` that calls as `node`.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be built.
    pub fn new(
        address: SocketAddr,
        node: NodeName,
        timeouts: Timeouts,
    ) -> Result<Self, ClientError> {
        Ok(Self {
            pool: Pool::new(timeouts.connect_ms, POOL_MAX)?,
            address,
            node,
            timeouts,
        })
    }

    /// Posts `body` to `path` and decodes the reply of at most `len_max` bytes.
    ///
    /// `wait_ms` extends the timeout by the time that the service may wait before it replies.
    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        wait_ms: u64,
        len_max: usize,
    ) -> Result<T, CallError> {
        let timeout_ms = self.timeouts.call_ms.saturating_add(wait_ms);
        let build = |client: &reqwest::Client| {
            client
                .post(format!("http://{}{path}", self.address))
                .header(HEADER_NODE, self.node.as_str())
                .timeout(Duration::from_millis(timeout_ms))
                .json(body)
        };
        self.pool.call_json(self.address, build, len_max).await
    }
}

impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, CallError> {
        let call = GetCall {
            key: key.to_owned(),
        };
        self.post(STORE_GET, &call, 0, ENTRY_BYTES_MAX).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, CallError> {
        let call = ListCall {
            prefix: prefix.to_owned(),
        };
        self.post(STORE_LIST, &call, 0, LIST_BYTES_MAX).await
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, CallError> {
        self.post(STORE_SWAP, &swap, 0, ENTRY_BYTES_MAX).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KeyVersion,
        wait_ms: u64,
    ) -> Result<WatchBatch, CallError> {
        let call = WatchCall {
            prefix: prefix.to_owned(),
            after,
            wait_ms,
        };
        self.post(STORE_WATCH, &call, wait_ms, LIST_BYTES_MAX).await
    }

    async fn grant_lease(&self, duration_ms: u64) -> Result<StoreLease, CallError> {
        let call = GrantCall { duration_ms };
        self.post(STORE_GRANT, &call, 0, ENTRY_BYTES_MAX).await
    }

    async fn renew_lease(&self, lease: StoreLease) -> Result<bool, CallError> {
        let call = RenewCall { lease };
        self.post(STORE_RENEW, &call, 0, ENTRY_BYTES_MAX).await
    }
}
