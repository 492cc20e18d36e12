//! Start and planned stop of a node.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use declarations::ChangeRequest;
use model::prelude::*;
use platform::budget::{BudgetLimits, Priority};
use platform::budgeted::BudgetedStore;
use platform::error::ClientError;
use platform::http_store::{HttpStore, Timeouts};
use platform::http_vm_list::HttpVmList;
use platform::http_worker::{HttpWorkerApi, WorkerLimits};
use poem::listener::{Acceptor, Listener, TcpListener};
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::shared::{Clients, Shared};
use crate::clock::Clock;
use crate::declared::{EditError, make_change};
use crate::requests::hand_over_tickets;
use crate::settings::Settings;
use crate::telemetry::metrics::Metrics;
use crate::{declared, http, jobs, members, peers};

/// Reads per second that the key-value service accepts from the whole deployment.
const STORE_READS_PER_S: u32 = 2_000;

/// Writes per second that the key-value service accepts from the whole deployment.
const STORE_WRITES_PER_S: u32 = 400;

/// Number of entry nodes among which these rates are divided.
const STORE_NODES: u32 = 9;

/// Time between failing readiness and refusing requests, in milliseconds; the balancer stops
/// sending meanwhile.
const UNREADY_MS: u64 = 1_500;

/// Interval between two checks for open requests during a stop, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;

/// Time that idle connections get to close, in milliseconds.
const CONNECTION_CLOSE_MS: u64 = 2_000;

/// Why a node could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The metrics socket could not be opened.
    #[error("cannot open the metrics socket: {0}")]
    Metrics(io::Error),
    /// A client of the platform could not be set up.
    #[error("cannot set up the clients of the platform: {0}")]
    Client(#[from] ClientError),
}

/// A running node.
pub struct Node {
    shared: Arc<Shared>,
    http_address: SocketAddr,
    peer_address: SocketAddr,
    http_server: Mutex<Option<JoinHandle<io::Result<()>>>>,
    http_stopped: CancellationToken,
    stopped: CancellationToken,
    tasks: TaskTracker,
}

impl Node {
    /// Starts a node; its tasks run on the current runtime.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or a client cannot be set up.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let metrics = Metrics::connect(settings.metrics_address).map_err(StartError::Metrics)?;
        let clients = connect_clients(&settings)?;
        let shared = Arc::new(Shared::new(settings, Clock::start(), metrics, clients));
        let stopped = CancellationToken::new();
        let peer_address = shared.settings.peer_address;
        let peer_address = peers::serve(Arc::clone(&shared), peer_address, stopped.clone())
            .await
            .map_err(|source| StartError::Bind {
                address: peer_address,
                source,
            })?;
        let http_stopped = CancellationToken::new();
        let (http_address, http_server) = serve_http(&shared, http_stopped.clone()).await?;
        let node = Self {
            shared,
            http_address,
            peer_address,
            http_server: Mutex::new(Some(http_server)),
            http_stopped,
            stopped,
            tasks: TaskTracker::new(),
        };
        node.spawn_tasks()?;
        log::info!(
            target: "node",
            "Node {} serves callers on {http_address} and peers on {peer_address}.",
            node.shared.settings.node
        );
        Ok(node)
    }

    /// Returns the address of the callers' interface.
    pub const fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the address of the interface for other nodes.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the name of the node.
    pub fn name(&self) -> &NodeName {
        &self.shared.settings.node
    }

    /// Returns whether the node has declarations and accepts new work.
    pub fn is_ready(&self) -> bool {
        http::check_serving(&self.shared).is_ok()
    }

    /// Makes a change of the declarations; returns its revision.
    ///
    /// # Errors
    ///
    /// The change was not accepted, or it is unknown whether it was.
    pub async fn declare(&self, request: ChangeRequest) -> Result<Revision, EditError> {
        make_change(&self.shared, request).await
    }

    /// Starts the tasks that run until the node ends.
    fn spawn_tasks(&self) -> Result<(), StartError> {
        let shared = &self.shared;
        let address = shared.settings.platform_address;
        let node = shared.settings.node.clone();
        let vm_list = HttpVmList::new(address, node, Timeouts::default())?;
        self.spawn(Arc::clone(&shared.admission).run_timer());
        self.spawn(members::run_list(Arc::clone(shared), vm_list));
        self.spawn(members::run_heartbeats(Arc::clone(shared)));
        self.spawn(declared::run_watch(Arc::clone(shared)));
        self.spawn(jobs::run_planner(Arc::clone(shared)));
        self.spawn(jobs::run_copies(Arc::clone(shared)));
        self.spawn(jobs::run_record_storage(Arc::clone(shared)));
        let acknowledging = Arc::clone(shared);
        self.spawn(async move {
            acknowledging
                .acknowledgements
                .run(&acknowledging.workers)
                .await;
        });
        Ok(())
    }

    /// Spawns a task that is cancelled when the node ends.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stopped = self.stopped.clone();
        self.tasks.spawn(async move {
            stopped.run_until_cancelled(task).await;
        });
    }

    /// Performs a planned stop: readiness fails first, then new requests are refused, requests in
    /// flight are finished, tickets are handed over, and all tasks end.
    pub async fn stop(&self) {
        log::info!(target: "node", "Node {} starts its planned stop.", self.name());
        self.shared.begin_stop();
        tokio::time::sleep(Duration::from_millis(UNREADY_MS)).await;
        self.shared.refuse_new();
        self.drain_requests().await;
        hand_over_tickets(&self.shared).await;
        self.http_stopped.cancel();
        if let Some(server) = self.take_server() {
            // No request is left; only idle connections remain.
            let _ = server.await;
        }
        self.shared
            .acknowledgements
            .flush(&self.shared.workers)
            .await;
        self.stopped.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        log::info!(target: "node", "Node {} has stopped.", self.shared.settings.node);
    }

    /// Removes and returns the task of the callers' interface.
    fn take_server(&self) -> Option<JoinHandle<io::Result<()>>> {
        self.http_server
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    /// Waits until no request is open, up to the limit in the settings.
    async fn drain_requests(&self) {
        let wait = Duration::from_millis(self.shared.settings.limits.stop_wait_ms);
        let drained = async {
            while self.shared.open_requests() > 0 {
                tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
            }
        };
        if tokio::time::timeout(wait, drained).await.is_err() {
            let open = self.shared.open_requests();
            log::warn!(target: "node", "Stopping with {open} requests still open, after the maximum wait.");
        }
    }
}

/// Sets up the clients of the platform.
fn connect_clients(settings: &Settings) -> Result<Clients, StartError> {
    let node = settings.node.clone();
    let workers = HttpWorkerApi::new(node.clone(), WorkerLimits::default())?;
    let store = HttpStore::new(settings.platform_address, node, Timeouts::default())?;
    let limits = BudgetLimits::share_of(STORE_READS_PER_S, STORE_WRITES_PER_S, STORE_NODES);
    let store = BudgetedStore::new(store, limits, rand::random());
    Ok(Clients {
        workers,
        store: store.with_priority(Priority::Declarations),
    })
}

/// Starts the callers' interface; returns its address and its task.
async fn serve_http(
    shared: &Arc<Shared>,
    stopped: CancellationToken,
) -> Result<(SocketAddr, JoinHandle<io::Result<()>>), StartError> {
    let address = shared.settings.http_address;
    let bind_error = |source| StartError::Bind { address, source };
    let acceptor = TcpListener::bind(address)
        .into_acceptor()
        .await
        .map_err(bind_error)?;
    let bound = acceptor
        .local_addr()
        .iter()
        .find_map(|a| a.as_socket_addr().copied());
    let server = poem::Server::new_with_acceptor(acceptor).run_with_graceful_shutdown(
        http::routes(Arc::clone(shared)),
        async move { stopped.cancelled().await },
        Some(Duration::from_millis(CONNECTION_CLOSE_MS)),
    );
    Ok((bound.unwrap_or(address), tokio::spawn(server)))
}
