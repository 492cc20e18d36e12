//! The sockets that a node listens on, bound from its settings or to free ports.

use std::net::{SocketAddr, SocketAddrV4, TcpListener};

use crate::settings::Settings;

/// The sockets that a node listens on, bound before it starts.
#[derive(Debug)]
pub struct Listeners {
    /// Socket for callers.
    pub callers: TcpListener,
    /// Socket for the readiness checks of the load balancer.
    pub readiness: TcpListener,
    /// Socket for metrics collectors.
    pub metrics: TcpListener,
    /// Socket for peers that pass calls on to this node, if it takes them.
    pub peers: Option<TcpListener>,
    /// Socket for the product's own jobs API, if the node serves it.
    pub own: Option<TcpListener>,
}

impl Listeners {
    /// Binds the addresses in the settings.
    pub fn bind(settings: &Settings) -> std::io::Result<Listeners> {
        let optional = |address: Option<SocketAddrV4>| address.map(TcpListener::bind).transpose();
        Ok(Listeners {
            callers: TcpListener::bind(settings.callers)?,
            readiness: TcpListener::bind(settings.readiness)?,
            metrics: TcpListener::bind(settings.metrics)?,
            peers: optional(settings.peers)?,
            own: optional(settings.own)?,
        })
    }

    /// Binds a free loopback port for each interface.
    pub fn bind_free() -> std::io::Result<Listeners> {
        let free = || TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        Ok(Listeners {
            callers: free()?,
            readiness: free()?,
            metrics: free()?,
            peers: Some(free()?),
            own: Some(free()?),
        })
    }
}
