//! A node: its parts, and its life from start to stop.

use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use adapter::{
    AdviceClient, CallError, HttpCaller, HttpLimits, MachinesClient, StoreClient, WorkerClient,
};
use poem::Server;
use scheduler::{JobId, JobState};
use serde_json::Value;
use thiserror::Error;
use tokio::sync::Notify;

use crate::configuration::follow_configuration;
use crate::contact::Contact;
use crate::job_calls::WaitingCounts;
use crate::lead::{campaign, release_lead};
use crate::listeners::{Listeners, accept_http};
use crate::log::Log;
use crate::metrics::Metrics;
use crate::own::OwnInterface;
use crate::peers::{PeerList, follow_peers, serve_peers};
use crate::requests::{Front, MetricsPage, Readiness};
use crate::settings::Settings;
use crate::stop::{StopSignals, wait_until_idle};

/// How long a connection may take to open; the way between two regions and back takes 24 ms.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Connections kept open to one address while unused: one that waits at a worker, one for orders.
const IDLE_PER_HOST: usize = 2;

/// How long a worker may take to answer an order.
const ORDER_TIMEOUT_MS: u64 = 700;

/// A node whose configuration was confirmed longer ago than this has lost contact: a confirmation is at most twice a
/// watch's wait old, and a store that is 80 times slower than usual adds two thirds of a second.
const OUT_OF_CONTACT_MS: u64 = 2_700;

/// Final states that a node remembers at most.
const MOST_FINAL_STATES: usize = 8_192;

/// A node that cannot start or go on.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The HTTP client cannot be built.
    #[error("http client: {0}")]
    Client(#[from] CallError),
    /// An address cannot be served.
    #[error("serving: {0}")]
    Io(#[from] std::io::Error),
    /// The histograms cannot be built.
    #[error("metrics: {0}")]
    Metrics(#[from] hdrhistogram::CreationError),
}

/// What the parts of a node share.
#[derive(Debug)]
pub(crate) struct Node {
    pub settings: Settings,
    pub store: StoreClient,
    pub workers: WorkerClient,
    pub machines: Option<MachinesClient>,
    pub advice: Option<AdviceClient>,
    /// The service answers one question of a node at a time.
    pub advice_turn: tokio::sync::Mutex<()>,
    pub contact: Contact,
    pub peers: PeerList,
    pub configuration_changed: Notify,
    pub log: Log,
    pub metrics: Metrics,
    /// Whether the store answered the last call that tells.
    store_reached: AtomicBool,
    /// Whether a planned stop is under way.
    pub stopping: AtomicBool,
    /// Requests that are being answered.
    pub active: AtomicUsize,
    /// The store lease of the lead, while this node holds it.
    pub lead_lease: Mutex<Option<u64>>,
    pub waiting: Mutex<WaitingCounts>,
    final_states: Mutex<HashMap<JobId, JobState>>,
}

impl Node {
    /// The oldest confirmation with which a node still sends calls to the store. Older, and the store has not answered
    /// for a second at least: a caller is served sooner by another node.
    pub fn oldest_contact_ms(&self, now_ms: u64) -> u64 {
        // The platform counts a node as out of touch after 0.6 of the bound on revoked keys.
        now_ms.saturating_sub(OUT_OF_CONTACT_MS.min(self.settings.bounds.revoke_ms * 6 / 10))
    }

    /// Whether the store answered lately, as far as is known.
    pub fn is_store_reached(&self) -> bool {
        self.store_reached.load(Ordering::Relaxed)
    }

    /// Notes that the store answered, or why it did not; logs when that changes.
    pub fn note_store(&self, lost: Option<&str>) {
        let before = self.store_reached.swap(lost.is_none(), Ordering::Relaxed);
        match (before, lost) {
            (true, Some(why)) => {
                let fields = [("why", Value::from(why))];
                self.log.general("store", "contact lost", &fields);
            }
            (false, None) => self.log.general("store", "contact regained", &[]),
            _ => {}
        }
    }

    /// Remembers a state that stays.
    pub fn remember_final(&self, id: JobId, state: JobState) {
        if let Ok(mut states) = self.final_states.lock() {
            if states.len() >= MOST_FINAL_STATES {
                states.clear();
            }
            states.insert(id, state);
        }
    }

    /// A state that stays, if it is known.
    pub fn known_final(&self, id: JobId) -> Option<JobState> {
        self.final_states.lock().ok()?.get(&id).copied()
    }

    /// Whether a planned stop is under way.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

/// Runs a node until it is stopped by a signal.
pub async fn serve(settings: Settings, log: Log) -> Result<(), ServeError> {
    let listeners = Listeners::bind(&settings)?;
    serve_on(listeners, settings, log).await
}

/// The same on sockets that are bound already.
pub async fn serve_on(
    listeners: Listeners,
    settings: Settings,
    log: Log,
) -> Result<(), ServeError> {
    let limits = HttpLimits {
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        idle_per_host: IDLE_PER_HOST,
    };
    let http = HttpCaller::new(limits)?;
    let node = Arc::new(Node {
        store: StoreClient::new(&settings.store.to_string(), http.clone()),
        machines: settings
            .machines
            .map(|address| MachinesClient::new(&address.to_string(), &settings.name, http.clone())),
        advice: settings
            .advice
            .map(|address| AdviceClient::new(&address.to_string(), http.clone())),
        advice_turn: tokio::sync::Mutex::new(()),
        workers: WorkerClient::new(http, ORDER_TIMEOUT_MS),
        contact: Contact::default(),
        peers: PeerList::default(),
        configuration_changed: Notify::new(),
        metrics: Metrics::new()?,
        store_reached: AtomicBool::new(false),
        stopping: AtomicBool::new(false),
        active: AtomicUsize::new(0),
        lead_lease: Mutex::new(None),
        waiting: Mutex::new(WaitingCounts::default()),
        final_states: Mutex::new(HashMap::new()),
        log,
        settings,
    });
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
    tokio::spawn(campaign(node.clone()));
    if let Some(address) = node.settings.peers {
        tokio::spawn(follow_peers(node.clone(), address));
    }
    let front = tokio::spawn(
        Server::new_with_acceptor(accept_http(listeners.callers)?).run(Front(node.clone())),
    );
    let readiness = tokio::spawn(
        Server::new_with_acceptor(accept_http(listeners.readiness)?).run(Readiness(node.clone())),
    );
    let metrics = tokio::spawn(
        Server::new_with_acceptor(accept_http(listeners.metrics)?).run(MetricsPage(node.clone())),
    );
    let peers = serve_peers_if_asked(&node, listeners.peers);
    let own = serve_own_if_asked(&node, listeners.own);
    tokio::select! {
        result = own => return Ok(result?),
        result = peers => return Ok(result?),
        result = front => return Ok(result.map_err(std::io::Error::other)??),
        result = readiness => return Ok(result.map_err(std::io::Error::other)??),
        result = metrics => return Ok(result.map_err(std::io::Error::other)??),
        () = signals.wait(&node.log) => {}
    }
    node.stopping.store(true, Ordering::Relaxed);
    node.log.general("node", "stopping", &[]);
    // Both at once: a store that does not answer must not take from the time that callers' requests have.
    tokio::join!(wait_until_idle(&node), release_lead(&node));
    node.log.general("node", "stopped", &[]);
    Ok(())
}

/// Serves the product's own interface, on a node that listens for it.
async fn serve_own_if_asked(
    node: &Arc<Node>,
    listener: Option<TcpListener>,
) -> std::io::Result<()> {
    match listener {
        Some(listener) => {
            Server::new_with_acceptor(accept_http(listener)?)
                .run(OwnInterface(node.clone()))
                .await
        }
        None => std::future::pending().await,
    }
}

/// Serves peers' calls, on a node that listens for them.
async fn serve_peers_if_asked(
    node: &Arc<Node>,
    listener: Option<TcpListener>,
) -> std::io::Result<()> {
    match listener {
        Some(listener) => serve_peers(node.clone(), listener).await,
        None => std::future::pending().await,
    }
}
