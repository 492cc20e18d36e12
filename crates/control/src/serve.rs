//! Runs a node from start to stop: starts its background work and servers, and stops them on a signal.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use serde_json::Value;
use thiserror::Error;

use crate::configuration::follow_configuration;
use crate::door::{Door, serve_http};
use crate::jobs_api::JobsApi;
use crate::lead::{campaign_for_lead, release_lead};
use crate::listeners::Listeners;
use crate::log::Log;
use crate::node::{Node, NodeError};
use crate::peers::{follow_peers, serve_peers};
use crate::requests::{CallerEndpoint, MetricsPage, Readiness};
use crate::settings::{DoorShare, Settings};
use crate::stop::{StopSignals, wait_until_idle};

/// An error that keeps a node from starting or running.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The node's state cannot be set up.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// An address cannot be served.
    #[error("serving: {0}")]
    Io(#[from] std::io::Error),
}

/// Runs a node until it is stopped by a signal.
pub async fn serve(settings: Settings, log: Log) -> Result<(), ServeError> {
    let listeners = Listeners::bind(&settings)?;
    serve_on(listeners, settings, log).await
}

/// Runs a node like [`serve`], on sockets that are already bound.
pub async fn serve_on(
    listeners: Listeners,
    settings: Settings,
    log: Log,
) -> Result<(), ServeError> {
    let node = Arc::new(Node::new(settings, log)?);
    let fields = [
        (
            "data_centre",
            Value::from(node.settings.data_centre.as_str()),
        ),
        ("region", Value::from(node.settings.region.as_str())),
    ];
    node.log.general("node", "started", &fields);
    let signals = StopSignals::listen()?;
    tokio::spawn(follow_configuration(node.clone()));
    tokio::spawn(campaign_for_lead(node.clone()));
    if let Some(address) = node.settings.peers {
        tokio::spawn(follow_peers(node.clone(), address));
    }
    let door = |listener, share| {
        let max_connections = node.settings.limits.max_connections(share);
        Door::new(node.clone(), listener, max_connections)
    };
    let callers = door(listeners.callers, DoorShare::Callers)?;
    let callers = tokio::spawn(serve_http(callers, CallerEndpoint(node.clone())));
    let readiness = door(listeners.readiness, DoorShare::Readiness)?;
    let readiness = tokio::spawn(serve_http(readiness, Readiness(node.clone())));
    let metrics = door(listeners.metrics, DoorShare::Metrics)?;
    let metrics = tokio::spawn(serve_http(metrics, MetricsPage(node.clone())));
    let peers = serve_peers_if_configured(&node, listeners.peers);
    let jobs_api = serve_jobs_api_if_configured(&node, listeners.own);
    tokio::select! {
        result = jobs_api => return Ok(result?),
        result = peers => return Ok(result?),
        result = callers => return Ok(result.map_err(std::io::Error::other)??),
        result = readiness => return Ok(result.map_err(std::io::Error::other)??),
        result = metrics => return Ok(result.map_err(std::io::Error::other)??),
        () = signals.wait(&node.log) => {}
    }
    node.stopping.store(true, Ordering::Relaxed);
    node.log.general("node", "stopping", &[]);
    // Concurrently, because an unresponsive store must not use up the time that callers' requests have.
    tokio::join!(wait_until_idle(&node), release_lead(&node));
    node.log.general("node", "stopped", &[]);
    Ok(())
}

/// Serves the jobs API on a node that listens for it.
async fn serve_jobs_api_if_configured(
    node: &Arc<Node>,
    listener: Option<TcpListener>,
) -> std::io::Result<()> {
    match listener {
        Some(listener) => {
            let max_connections = node.settings.limits.max_connections(DoorShare::Own);
            let door = Door::new(node.clone(), listener, max_connections)?;
            serve_http(door, JobsApi(node.clone())).await
        }
        None => std::future::pending().await,
    }
}

/// Serves peers' calls on a node that listens for them.
async fn serve_peers_if_configured(
    node: &Arc<Node>,
    listener: Option<TcpListener>,
) -> std::io::Result<()> {
    match listener {
        Some(listener) => {
            let max_connections = node.settings.limits.max_connections(DoorShare::Peers);
            let door = Door::new(node.clone(), listener, max_connections)?;
            serve_peers(node.clone(), door).await
        }
        None => std::future::pending().await,
    }
}
