//! Simulated site on loopback: the platform, the workers and the links between data centres.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use model::prelude::*;
use platform::vm_list::{EntryVm, VmListing, VmState, WorkerVm};
use poem::{Endpoint, Server};
use thiserror::Error;
use tokio::sync::broadcast;
use tokio_util::sync::CancellationToken;

use crate::audit::{GangAudit, RunAudit};
use crate::checkpoint::Checkpoints;
use crate::clock::Clock;
use crate::connection::{ConnectionTable, GatedAcceptor};
use crate::faults::FaultList;
use crate::links::{Link, Network, Place, Relay};
use crate::platform_server::PlatformEndpoint;
use crate::site_spec::RegisteredNode;
use crate::store_service::StoreService;
use crate::vm_list_core::{ListedNode, VmListCore};
use crate::worker::{Shared, Worker, WorkerSize, lock};
use crate::worker_server::WorkerEndpoint;

pub use crate::site_spec::{Delays, SiteSpec, SpecError};

/// Size of every worker.
const WORKER_SIZE: WorkerSize = WorkerSize {
    accelerators: ACCELERATORS_PER_WORKER,
    slots: 8,
    connections_max: 64,
};

/// Largest number of connections that the platform serves.
const PLATFORM_CONNECTIONS_MAX: usize = 10_000;

/// Time between two samples of the workers' resource usage, in milliseconds.
const TICK_MS: u64 = 250;

/// Time for servers to finish their calls at shutdown, in milliseconds.
const SHUTDOWN_MS: u64 = 200;

/// Largest number of node faults that wait for the embedding program.
const NODE_FAULTS_MAX: usize = 64;

/// Error of starting a site or registering a node.
#[derive(Debug, Error)]
pub enum SiteError {
    /// A port cannot be opened.
    #[error("a port cannot be opened: {0}")]
    Io(#[from] io::Error),
    /// A name is not valid.
    #[error("a name is not valid: {0}")]
    Name(#[from] model::name::NameError),
    /// The data centre is not part of the site.
    #[error("the site has no data centre {0}")]
    UnknownDataCentre(DataCentreName),
}

/// Fault of an entry node, which the embedding program must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeFault {
    /// Kill the node at once, or start it again.
    Kill {
        /// The node.
        node: NodeName,
        /// `true` to kill the node, `false` to start it again.
        on: bool,
    },
    /// Shut the node down as planned.
    Stop {
        /// The node.
        node: NodeName,
    },
}

/// State of a site.
#[derive(Debug)]
pub(crate) struct SiteState {
    pub(crate) spec: SiteSpec,
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: StoreService,
    pub(crate) list: Mutex<VmListCore>,
    pub(crate) workers: BTreeMap<WorkerName, (DataCentreName, Arc<Worker>)>,
    pub(crate) nodes: Mutex<BTreeMap<NodeName, RegisteredNode>>,
    pub(crate) network: Arc<Network>,
    pub(crate) platform_relays: Mutex<BTreeMap<DataCentreName, Relay>>,
    pub(crate) node_relays: Mutex<BTreeMap<(DataCentreName, NodeName), Relay>>,
    pub(crate) faults: Mutex<FaultList>,
    pub(crate) node_faults: broadcast::Sender<NodeFault>,
}

impl SiteState {
    /// Ends the leases and tasks that are due, and samples the usage, on every worker.
    pub(crate) fn tick(&self) {
        for (_, worker) in self.workers.values() {
            worker.tick();
        }
    }

    /// Returns the VM list as seen from a data centre; `None` if the site has no such data centre.
    pub(crate) fn listing(&self, data_centre: &DataCentreName) -> Option<VmListing> {
        self.spec.region_of(data_centre)?;
        let now_ms = self.shared.clock.now_ms();
        let seen_ms = now_ms.saturating_sub(self.spec.list_lag_ms(data_centre));
        let list = lock(&self.list);
        let relays = lock(&self.node_relays);
        let entries = list.nodes(seen_ms).into_iter().filter_map(|node| {
            let relay = relays.get(&(data_centre.clone(), node.name.clone()))?;
            Some(EntryVm {
                region: self.spec.region_of(&node.data_centre)?.clone(),
                name: node.name,
                data_centre: node.data_centre,
                peer_address: relay.address(),
                state: node.state,
            })
        });
        Some(VmListing {
            workers: list.workers(data_centre, seen_ms),
            entries: entries.collect(),
        })
    }

    /// Closes the connections to a node, including new ones, until it is registered again.
    pub(crate) fn set_node_down(&self, node: &NodeName) {
        let relays = lock(&self.node_relays);
        for (_, relay) in relays.iter().filter(|((_, name), _)| name == node) {
            relay.set_down();
        }
    }
}

/// Simulated site; dropping it stops it.
#[derive(Debug)]
pub struct Site {
    inner: Arc<SiteState>,
    address: SocketAddr,
    shutdown: CancellationToken,
}

impl Site {
    /// Starts the platform, the workers and the links to the platform.
    ///
    /// # Errors
    ///
    /// A port cannot be opened, or the name of a worker or rack is not valid.
    pub async fn start(spec: SiteSpec) -> Result<Self, SiteError> {
        let shutdown = CancellationToken::new();
        let clock = Clock::start();
        let shared = Arc::new(Shared {
            clock,
            runs: Mutex::new(RunAudit::default()),
            gangs: Mutex::new(GangAudit::default()),
            checkpoints: Mutex::new(Checkpoints::default()),
        });
        let mut list = VmListCore::default();
        let workers = start_workers(&spec, &shared, &mut list, &shutdown).await?;
        let connections = Arc::new(ConnectionTable::new(PLATFORM_CONNECTIONS_MAX));
        let at = SocketAddr::from((Ipv4Addr::LOCALHOST, spec.port));
        let acceptor = GatedAcceptor::bind(at, Arc::clone(&connections)).await?;
        let address = acceptor.address();
        let network = Arc::new(Network::new(shutdown.clone()));
        let relays = start_platform_relays(&spec, &network, address).await?;
        let inner = Arc::new(SiteState {
            spec,
            shared,
            store: StoreService::new(clock, connections),
            list: Mutex::new(list),
            workers,
            nodes: Mutex::default(),
            network,
            platform_relays: Mutex::new(relays),
            node_relays: Mutex::default(),
            faults: Mutex::default(),
            node_faults: broadcast::Sender::new(NODE_FAULTS_MAX),
        });
        spawn_server(acceptor, PlatformEndpoint(Arc::clone(&inner)), &shutdown);
        tokio::spawn(run_ticker(Arc::clone(&inner), shutdown.clone()));
        Ok(Self {
            inner,
            address,
            shutdown,
        })
    }

    /// Returns the address of the platform for operators and checks; cuts do not affect it.
    pub const fn platform_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the specification of the site.
    pub fn spec(&self) -> &SiteSpec {
        &self.inner.spec
    }

    /// Returns the address of the platform, for the nodes of a data centre.
    pub fn platform_address_for(&self, data_centre: &DataCentreName) -> Option<SocketAddr> {
        let relays = lock(&self.inner.platform_relays);
        relays.get(data_centre).map(Relay::address)
    }

    /// Adds a node to the VM list, or returns it to the list with a new peer address.
    ///
    /// # Errors
    ///
    /// The data centre is not part of the site, or a port cannot be opened.
    pub async fn register_node(
        &self,
        name: NodeName,
        data_centre: DataCentreName,
        peer_address: SocketAddr,
    ) -> Result<(), SiteError> {
        let inner = &self.inner;
        if inner.spec.region_of(&data_centre).is_none() {
            return Err(SiteError::UnknownDataCentre(data_centre));
        }
        for (from, _) in &inner.spec.data_centres {
            self.start_node_relay(from, &name, &data_centre, peer_address)
                .await?;
        }
        let node = RegisteredNode {
            name: name.clone(),
            data_centre: data_centre.clone(),
            peer_address,
        };
        lock(&inner.nodes).insert(name.clone(), node);
        lock(&inner.list).add_node(ListedNode {
            name,
            data_centre,
            state: VmState::Live,
        });
        Ok(())
    }

    /// Starts the relay from a data centre to a node, or changes the target of the existing relay.
    async fn start_node_relay(
        &self,
        from: &DataCentreName,
        node: &NodeName,
        data_centre: &DataCentreName,
        peer_address: SocketAddr,
    ) -> Result<(), SiteError> {
        let key = (from.clone(), node.clone());
        if let Some(relay) = lock(&self.inner.node_relays).get(&key) {
            relay.retarget(peer_address);
            return Ok(());
        }
        let link = Link {
            from: Place::DataCentre(from.clone()),
            to: Place::DataCentre(data_centre.clone()),
            delay_ms: self.inner.spec.delay_ms(from, data_centre),
        };
        let relay = Relay::start(&self.inner.network, link, peer_address).await?;
        lock(&self.inner.node_relays).insert(key, relay);
        Ok(())
    }

    /// Removes a node that has stopped from the VM list; readers see the change after their lag.
    pub fn unregister_node(&self, name: &NodeName) {
        let now_ms = self.inner.shared.clock.now_ms();
        self.inner.set_node_down(name);
        lock(&self.inner.list).change_node(now_ms, name.clone(), None);
    }

    /// Returns the address of the peer interface of a node, for the nodes of a data centre.
    pub fn peer_address_for(&self, from: &DataCentreName, node: &NodeName) -> Option<SocketAddr> {
        let relays = lock(&self.inner.node_relays);
        relays
            .get(&(from.clone(), node.clone()))
            .map(Relay::address)
    }

    /// Subscribes to node faults, which the embedding program must carry out.
    pub fn subscribe_node_faults(&self) -> broadcast::Receiver<NodeFault> {
        self.inner.node_faults.subscribe()
    }

    /// Stops the platform, the workers and the links.
    pub fn shutdown(&self) {
        self.shutdown.cancel();
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

/// Serves an endpoint until the site shuts down.
fn spawn_server(
    acceptor: GatedAcceptor,
    endpoint: impl Endpoint + 'static,
    shutdown: &CancellationToken,
) {
    let stopped = shutdown.clone().cancelled_owned();
    let grace = Some(Duration::from_millis(SHUTDOWN_MS));
    let server = Server::new_with_acceptor(acceptor);
    tokio::spawn(async move {
        let served = server.run_with_graceful_shutdown(endpoint, stopped, grace);
        if let Err(e) = served.await {
            log::warn!(target: "standins", "A server stopped with an error: {e}.");
        }
    });
}

/// Calls [`SiteState::tick`] at a fixed interval until the site shuts down.
async fn run_ticker(inner: Arc<SiteState>, shutdown: CancellationToken) {
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            _ = ticks.tick() => inner.tick(),
        }
    }
}

/// Starts the relays from each data centre to the platform.
async fn start_platform_relays(
    spec: &SiteSpec,
    network: &Arc<Network>,
    address: SocketAddr,
) -> Result<BTreeMap<DataCentreName, Relay>, SiteError> {
    let mut relays = BTreeMap::new();
    for (data_centre, _) in &spec.data_centres {
        let link = Link {
            from: Place::DataCentre(data_centre.clone()),
            to: Place::Platform,
            delay_ms: spec.platform_delay_ms(data_centre),
        };
        let relay = Relay::start(network, link, address).await?;
        relays.insert(data_centre.clone(), relay);
    }
    Ok(relays)
}

/// Workers by name, with their data centres.
type Workers = BTreeMap<WorkerName, (DataCentreName, Arc<Worker>)>;

/// Starts all workers and adds them to the VM list.
async fn start_workers(
    spec: &SiteSpec,
    shared: &Arc<Shared>,
    list: &mut VmListCore,
    shutdown: &CancellationToken,
) -> Result<Workers, SiteError> {
    let mut workers = Workers::new();
    let count = spec.data_centres.len();
    for index in 0..spec.workers as usize {
        let Some((data_centre, _)) = spec.data_centres.get(index % count) else {
            break;
        };
        let position = u32::try_from(index / count).unwrap_or(u32::MAX);
        let rack = position / WORKERS_PER_RACK + 1;
        let position = position % WORKERS_PER_RACK;
        let name = format!("{data_centre}-r{rack}-w{}", position + 1);
        let name = WorkerName::try_from(name)?;
        let boot = shared.clock.unix_ms();
        let usage_lag_ms = spec.delays.usage_lag_ms;
        let worker = Worker::new(
            name.clone(),
            WORKER_SIZE,
            boot,
            usage_lag_ms,
            Arc::clone(shared),
        );
        let worker = Arc::new(worker);
        let at = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let acceptor = GatedAcceptor::bind(at, Arc::clone(&worker.connections)).await?;
        let listed = WorkerVm {
            name: name.clone(),
            rack: RackName::try_from(format!("{data_centre}-r{rack}"))?,
            position,
            address: acceptor.address(),
            accelerators: WORKER_SIZE.accelerators,
            slots: WORKER_SIZE.slots,
            connections_max: WORKER_SIZE.connections_max,
            state: VmState::Live,
        };
        list.add_worker(data_centre.clone(), listed);
        spawn_server(acceptor, WorkerEndpoint(Arc::clone(&worker)), shutdown);
        workers.insert(name, (data_centre.clone(), worker));
    }
    Ok(workers)
}
