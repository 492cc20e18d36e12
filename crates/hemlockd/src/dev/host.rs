//! One entry node of the embedded site, on a runtime of its own so that it can be killed at once.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use declarations::ChangeRequest;
use model::prelude::*;
use standins::site::Site;
use tokio::runtime::Runtime;
use tokio::sync::Mutex;

use super::tokens::SiteTokens;
use crate::node::Node;
use crate::settings::{Limits, LogFormat, LogSettings, Settings, Topology};

/// Number of worker threads of a node's runtime.
const THREADS_PER_NODE: usize = 2;

/// Why the settings of a node cannot be made.
#[derive(Debug, thiserror::Error)]
pub(super) enum HostError {
    /// The site has no platform address for the data centre.
    #[error("the site has no data centre {0}")]
    DataCentre(DataCentreName),
    /// The name of a node is not valid.
    #[error(transparent)]
    Name(#[from] model::name::NameError),
}

/// A node and the runtime that it runs on.
pub(super) struct NodeHost {
    settings: Settings,
    runtime: Option<Runtime>,
    node: Option<Arc<Node>>,
    stopping: Arc<Mutex<()>>,
}

impl NodeHost {
    /// Creates hosts for all nodes of a site, spread over its data centres.
    pub(super) fn for_site(site: &Site, tokens: &SiteTokens) -> Result<Vec<Self>, HostError> {
        let spec = site.spec();
        let data_centres = &spec.data_centres;
        let count = data_centres.len().max(1);
        (0..spec.nodes as usize)
            .map(|index| {
                let (data_centre, _) = &data_centres[index % count];
                let name = format!("{data_centre}-{}", index / count + 1).parse()?;
                Self::new(site, tokens, name, data_centre.clone())
            })
            .collect()
    }

    /// Creates the host of a node that was not started yet.
    fn new(
        site: &Site,
        tokens: &SiteTokens,
        name: NodeName,
        data_centre: DataCentreName,
    ) -> Result<Self, HostError> {
        let platform_address = site
            .platform_address_for(&data_centre)
            .ok_or_else(|| HostError::DataCentre(data_centre.clone()))?;
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let settings = Settings {
            node: name,
            data_centre,
            topology: Topology::new(site.spec().data_centres.iter().cloned()),
            http_address: any_port,
            peer_address: any_port,
            platform_address,
            peers: Vec::new(),
            operator_token_digests: vec![tokens.operator_digest()],
            metrics_address: None,
            log: LogSettings {
                level: "warn".to_owned(),
                format: LogFormat::Text,
            },
            limits: Limits::default(),
        };
        Ok(Self {
            settings,
            runtime: None,
            node: None,
            stopping: Arc::default(),
        })
    }

    /// Returns the name of the node.
    pub(super) const fn name(&self) -> &NodeName {
        &self.settings.node
    }

    /// Returns the data centre of the node.
    pub(super) const fn data_centre(&self) -> &DataCentreName {
        &self.settings.data_centre
    }

    /// Returns the address of the callers' interface; `None` while the node does not run.
    pub(super) fn http_address(&self) -> Option<SocketAddr> {
        self.node.as_ref().map(|node| node.http_address())
    }

    /// Returns whether the node runs and has declarations.
    pub(super) fn is_ready(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.is_ready())
    }

    /// Starts the node and returns its address for other nodes; a restarted node keeps its address
    /// for callers.
    pub(super) async fn start(&mut self) -> Result<SocketAddr, String> {
        if let Some(node) = &self.node {
            return Ok(node.peer_address());
        }
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(THREADS_PER_NODE)
            .enable_all()
            .build()
            .map_err(|e| e.to_string())?;
        let started = runtime.spawn(Node::start(self.settings.clone())).await;
        let node = started
            .map_err(|e| e.to_string())?
            .map_err(|e| e.to_string())?;
        self.settings.http_address = node.http_address();
        let peer_address = node.peer_address();
        self.node = Some(Arc::new(node));
        self.runtime = Some(runtime);
        Ok(peer_address)
    }

    /// Makes a change of the declarations through the node.
    pub(super) async fn declare(&self, request: ChangeRequest) -> Result<(), String> {
        match &self.node {
            Some(node) => node
                .declare(request)
                .await
                .map(drop)
                .map_err(|e| e.to_string()),
            None => Err("the node does not run".to_owned()),
        }
    }

    /// Drops the node and its runtime at once, as a crash does.
    pub(super) fn kill(&mut self) {
        self.node = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Starts a planned stop without waiting for its end.
    pub(super) fn stop_in_background(&mut self) {
        let (Some(node), Some(runtime)) = (self.node.take(), self.runtime.take()) else {
            return;
        };
        let stopping = Arc::clone(&self.stopping);
        tokio::spawn(async move {
            let _guard = stopping.lock_owned().await;
            stop_node(node, runtime).await;
        });
    }

    /// Performs a planned stop and waits for its end.
    pub(super) async fn stop(mut self) {
        if let (Some(node), Some(runtime)) = (self.node.take(), self.runtime.take()) {
            stop_node(node, runtime).await;
        }
        drop(self.stopping.lock().await);
    }
}

/// Performs a planned stop on the node's runtime, then drops the runtime.
async fn stop_node(node: Arc<Node>, runtime: Runtime) {
    let stopped = runtime.spawn(async move { node.stop().await }).await;
    if let Err(e) = stopped {
        log::error!(target: "dev", "The task of a planned stop failed: {e}.");
    }
    runtime.shutdown_background();
}
