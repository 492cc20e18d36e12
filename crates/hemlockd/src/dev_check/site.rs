//! The description of a site, and the errors of checks that could not run.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use model::prelude::*;
use serde::Deserialize;
use thiserror::Error;

/// Why a check could not run.
#[derive(Debug, Error)]
pub(super) enum CheckError {
    /// The description of the site cannot be read.
    #[error("the description of the site: {0}")]
    Description(#[from] serde_json::Error),
    /// A call got no reply, or one that could not be parsed.
    #[error("a call failed: {0}")]
    Call(#[from] reqwest::Error),
    /// A call was refused.
    #[error("{call}: {status}: {detail}")]
    Refused {
        /// The call.
        call: String,
        /// HTTP status of the reply.
        status: u16,
        /// Body of the reply.
        detail: String,
    },
    /// The site lacks something that the check needs.
    #[error("the site has no {0}")]
    Missing(&'static str),
    /// An awaited condition was not met in time.
    #[error("{what} did not happen within {within_ms} ms")]
    TooLate {
        /// The awaited condition.
        what: String,
        /// The time limit, in milliseconds.
        within_ms: u64,
    },
}

/// An entry node.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct NodeDescription {
    /// Its name.
    pub(super) name: NodeName,
    /// Its data centre.
    pub(super) data_centre: DataCentreName,
    /// Address of its interface for callers.
    pub(super) http: SocketAddr,
}

/// Tokens of the site.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct Tokens {
    /// Token of the operator.
    pub(super) operator: String,
    /// Token of each organisation.
    pub(super) organisations: BTreeMap<OrganisationName, String>,
}

/// A site as `hemlockd dev` describes it.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct SiteDescription {
    /// Entry nodes.
    pub(super) nodes: Vec<NodeDescription>,
    /// Address of the stand-in platform.
    pub(super) platform: SocketAddr,
    /// Tokens.
    pub(super) tokens: Tokens,
}

impl SiteDescription {
    /// Parses the line of JSON.
    pub(super) fn parse(description: &str) -> Result<Self, CheckError> {
        Ok(serde_json::from_str(description)?)
    }

    /// Nodes of a data centre.
    pub(super) fn nodes_in(&self, data_centre: &DataCentreName) -> Vec<NodeDescription> {
        let nodes = self.nodes.iter();
        nodes
            .filter(|node| node.data_centre == *data_centre)
            .cloned()
            .collect()
    }
}
