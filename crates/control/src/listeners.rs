//! The sockets that a node listens on, bound from its settings or to free ports.

use std::net::{SocketAddr, SocketAddrV4, TcpListener};

use poem::listener::TcpAcceptor;

use crate::settings::Settings;

/// The sockets that a node listens on, bound before it starts.
#[derive(Debug)]
pub struct Listeners {
    /// Callers.
    pub callers: TcpListener,
    /// The balancer.
    pub readiness: TcpListener,
    /// Collectors of metrics.
    pub metrics: TcpListener,
    /// Peers that pass calls on to this node.
    pub peers: Option<TcpListener>,
    /// The product's own jobs API.
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

/// Converts a socket into an acceptor for the HTTP server.
pub(crate) fn accept_http(listener: TcpListener) -> std::io::Result<TcpAcceptor> {
    listener.set_nonblocking(true)?;
    TcpAcceptor::from_std(listener)
}
