//! Interface of the platform's list of VMs, which lags behind the real state by seconds.

use std::future::Future;
use std::net::SocketAddr;

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::error::CallError;

/// State of a VM in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be removed soon.
    Leaving,
}

/// A worker in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerVm {
    /// Name of the worker.
    pub name: WorkerName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Position in the rack, from 0; neighbours have neighbouring positions.
    pub position: u32,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Number of request slots.
    pub slots: u32,
    /// Largest number of connections that it serves.
    pub connections_max: u32,
    /// Whether it stays or will be removed.
    pub state: VmState,
}

/// An entry VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryVm {
    /// Name of the node.
    pub name: NodeName,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Region of the data centre.
    pub region: RegionName,
    /// Address of its interface for other nodes.
    pub peer_address: SocketAddr,
    /// Whether it stays or will be removed.
    pub state: VmState,
}

/// The list as seen from one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmListing {
    /// Workers of the data centre.
    pub workers: Vec<WorkerVm>,
    /// Entry VMs of all data centres.
    pub entries: Vec<EntryVm>,
}

/// Client of the VM list.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the list as seen from one data centre.
    fn listing(
        &self,
        data_centre: &DataCentreName,
    ) -> impl Future<Output = Result<VmListing, CallError>> + Send;
}
