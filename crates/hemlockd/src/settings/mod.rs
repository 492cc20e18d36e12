//! Settings of a node, parsed from JSON with comments and checked as a whole.

mod parse;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use model::prelude::*;
use strum::{Display, EnumString};

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// What is logged, and in which format.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Log level, or a filter by target such as `info, requests=debug`.
    pub level: String,
    /// Format of the lines.
    pub format: LogFormat,
}

/// The data centres of the deployment, each with its region.
#[derive(Debug, Clone, Default)]
pub struct Topology {
    regions: BTreeMap<DataCentreName, RegionName>,
}

impl Topology {
    /// Builds the topology from pairs of data centre and region.
    pub fn new(pairs: impl IntoIterator<Item = (DataCentreName, RegionName)>) -> Self {
        Self {
            regions: pairs.into_iter().collect(),
        }
    }

    /// Returns the region of a data centre; `None` if the data centre is unknown.
    pub fn region_of(&self, data_centre: &DataCentreName) -> Option<&RegionName> {
        self.regions.get(data_centre)
    }

    /// Returns all data centres, in order of name.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentreName> {
        self.regions.keys()
    }

    /// Returns whether two data centres are in one region.
    pub fn same_region(&self, one: &DataCentreName, other: &DataCentreName) -> bool {
        self.regions
            .get(one)
            .is_some_and(|region| Some(region) == self.regions.get(other))
    }
}

/// Another node to contact first; the platform's list names the others.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Name of the node.
    pub node: NodeName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Address of its interface for other nodes.
    pub address: SocketAddr,
}

/// Limits of a node.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum length of a request's body, in bytes.
    pub body_bytes_max: usize,
    /// Maximum number of open requests.
    pub open_requests_max: usize,
    /// Validity of a ticket, in milliseconds.
    pub ticket_valid_ms: u64,
    /// Maximum time that a planned stop waits for requests in flight, in milliseconds.
    pub stop_wait_ms: u64,
    /// Maximum rate of request bodies sent to other regions, in bytes per second.
    pub region_bytes_per_s: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes_max: 1_000_000,
            open_requests_max: 20_000,
            ticket_valid_ms: 600_000,
            stop_wait_ms: 120_000,
            region_bytes_per_s: 200_000,
        }
    }
}

/// Checked settings of a node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this node, unique in the deployment.
    pub node: NodeName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// All data centres of the deployment, with their regions.
    pub topology: Topology,
    /// Address of the callers' interface; port 0 selects a free port.
    pub http_address: SocketAddr,
    /// Address of the interface for other nodes; port 0 selects a free port.
    pub peer_address: SocketAddr,
    /// Address of the platform's service.
    pub platform_address: SocketAddr,
    /// Nodes to contact first.
    pub peers: Vec<PeerSettings>,
    /// Digests of the operators' tokens.
    pub operator_token_digests: Vec<TokenDigest>,
    /// Address that statsd datagrams are sent to.
    pub metrics_address: Option<SocketAddr>,
    /// What is logged, and in which format.
    pub log: LogSettings,
    /// Limits.
    pub limits: Limits,
}
