//! HTTP client of the platform's VM list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::prelude::*;

use crate::error::{CallError, ClientError};
use crate::http_store::Timeouts;
use crate::pool::Pool;
use crate::vm_list::{VmList, VmListing};
use crate::wire::{HEADER_NODE, VM_LIST};

/// Idle connections to the platform.
const POOL_MAX: usize = 1;

/// Longest reply, in bytes.
const LIST_BYTES_MAX: usize = 8_000_000;

/// Client of the VM list at one address.
#[derive(Debug, Clone)]
pub struct HttpVmList {
    pool: Arc<Pool>,
    address: SocketAddr,
    node: NodeName,
    timeouts: Timeouts,
}

impl HttpVmList {
    /// Creates a client of the list at `address` that calls as `node`.
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
}

impl VmList for HttpVmList {
    async fn listing(&self, data_centre: &DataCentreName) -> Result<VmListing, CallError> {
        let build = |client: &reqwest::Client| {
            client
                .get(format!("http://{}{VM_LIST}/{data_centre}", self.address))
                .header(HEADER_NODE, self.node.as_str())
                .timeout(Duration::from_millis(self.timeouts.call_ms))
        };
        self.pool
            .call_json(self.address, build, LIST_BYTES_MAX)
            .await
    }
}
