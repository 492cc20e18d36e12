//! Interface of the workers.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::error::CallError;

/// Resource usage that a worker reports; it lags behind the real usage by seconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Slots in use.
    pub slots_used: u32,
    /// Accelerators in use.
    pub accelerators_used: u32,
    /// Processor usage, in thousandths of a core.
    pub processor_millicores: u64,
    /// Memory in use, in bytes.
    pub memory_bytes: u64,
}

/// Client of the workers.
pub trait WorkerApi: Clone + Send + Sync + 'static {
    /// Runs a request and waits for the reply; the call times out after `timeout_ms`.
    fn run(
        &self,
        worker: SocketAddr,
        request: &RunRequest<Bytes>,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<RunReply<Bytes>, CallError>> + Send;

    /// Reads the status of a request, over a new connection so that a stalled one cannot block it.
    fn status(
        &self,
        worker: SocketAddr,
        work_id: &WorkId,
    ) -> impl Future<Output = Result<WorkStatus<Bytes>, CallError>> + Send;

    /// Allows the worker to forget the results of requests.
    fn acknowledge(
        &self,
        worker: SocketAddr,
        work_ids: &[WorkId],
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Reads the state that the worker reports to a planner.
    fn inventory(
        &self,
        worker: SocketAddr,
    ) -> impl Future<Output = Result<Inventory, CallError>> + Send;

    /// Applies lease commands in order; returns one reply per command.
    fn apply_leases(
        &self,
        worker: SocketAddr,
        commands: &[LeaseCommand],
    ) -> impl Future<Output = Result<Vec<LeaseReply>, CallError>> + Send;

    /// Makes the worker refuse an incarnation of an entry node.
    fn fence(
        &self,
        worker: SocketAddr,
        command: &FenceCommand,
    ) -> impl Future<Output = Result<FenceReply, CallError>> + Send;

    /// Reads the resource usage that the worker reports.
    fn usage(&self, worker: SocketAddr) -> impl Future<Output = Result<Usage, CallError>> + Send;
}
