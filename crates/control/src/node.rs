//! State shared by the parts of a node.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use adapter::{
    AdviceClient, CallError, HttpCaller, HttpLimits, MachinesClient, StoreClient, WorkerClient,
};
use scheduler::{JobId, JobState};
use serde_json::Value;
use thiserror::Error;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

use crate::byte_budget::ByteBudget;
use crate::call::Call;
use crate::cancels::UnknownJobs;
use crate::clock::now_ms;
use crate::configuration_cache::ConfigurationCache;
use crate::job_calls::WaitingCounts;
use crate::lead_preference::is_larger;
use crate::log::Log;
use crate::metrics::{Counter, Metrics};
use crate::outage::Doubts;
use crate::peers::PeerList;
use crate::reply::Reply;
use crate::returns::Returns;
use crate::settings::Settings;

/// Timeout of opening a connection; the round trip between two regions takes 24 ms.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Most idle connections kept open to one address: one for the renewal that waits at a worker, one for orders.
const MAX_IDLE_PER_HOST: usize = 2;

/// Timeout of an order to a worker.
pub(crate) const ORDER_TIMEOUT_MS: u64 = 700;

/// A node whose configuration was confirmed longer ago than this counts as cut off from the store. A confirmation is at
/// most twice a watch's wait old, and a store that is 80 times slower than usual adds two thirds of a second.
const CONFIGURATION_MAX_AGE_MS: u64 = 2_700;

/// Most final job states cached.
const MAX_FINAL_STATES: usize = 8_192;

/// An error while setting up a node.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The HTTP client cannot be built.
    #[error("building the HTTP client: {0}")]
    Client(#[from] CallError),
    /// The histograms cannot be built.
    #[error("building the metrics: {0}")]
    Metrics(#[from] hdrhistogram::CreationError),
}

/// State shared by the parts of a node.
#[derive(Debug)]
pub(crate) struct Node {
    pub settings: Settings,
    pub store: StoreClient,
    pub workers: WorkerClient,
    pub machines: Option<MachinesClient>,
    pub advice: Option<AdviceClient>,
    pub configuration: ConfigurationCache,
    pub peers: PeerList,
    pub configuration_changed: Notify,
    /// Permits of the callers' requests that are answered at once.
    pub answering: Semaphore,
    /// Bytes of requests that are collected or being answered.
    pub byte_budget: Arc<ByteBudget>,
    pub log: Log,
    pub metrics: Metrics,
    /// Whether the store answered the last call recorded here.
    store_reachable: AtomicBool,
    /// Whether a planned stop is in progress.
    pub stopping: AtomicBool,
    /// Number of requests in flight.
    pub active_requests: AtomicUsize,
    /// The store lease of the lead, while this node holds it.
    pub lead_lease: Mutex<Option<u64>>,
    pub waiting_counts: Mutex<WaitingCounts>,
    /// The jobs whose submission this node has left in doubt.
    pub doubts: Mutex<Doubts>,
    /// When callers that this node refuses in an outage come back.
    pub returns: Mutex<Returns>,
    /// Cancels of jobs that the store does not have.
    pub unknown_jobs: Mutex<UnknownJobs>,
    final_states: Mutex<HashMap<JobId, FinalState>>,
}

/// The final state of a job, and whose job it is.
#[derive(Debug, Clone)]
pub(crate) struct FinalState {
    pub state: JobState,
    pub organisation: Box<str>,
}

impl Node {
    /// Creates the state of a node that has not contacted the store yet.
    pub fn new(settings: Settings, log: Log) -> Result<Node, NodeError> {
        let limits = HttpLimits {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            max_idle_per_host: MAX_IDLE_PER_HOST,
        };
        let http = HttpCaller::new(limits)?;
        Ok(Node {
            store: StoreClient::new(&settings.store.to_string(), http.clone()),
            machines: settings.machines.map(|address| {
                MachinesClient::new(&address.to_string(), &settings.name, http.clone())
            }),
            advice: settings
                .advice
                .map(|address| AdviceClient::new(&address.to_string(), http.clone())),
            workers: WorkerClient::new(http, ORDER_TIMEOUT_MS),
            configuration: ConfigurationCache::default(),
            peers: PeerList::default(),
            configuration_changed: Notify::new(),
            metrics: Metrics::new()?,
            store_reachable: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            active_requests: AtomicUsize::new(0),
            lead_lease: Mutex::new(None),
            waiting_counts: Mutex::new(WaitingCounts::default()),
            doubts: Mutex::new(Doubts::default()),
            returns: Mutex::new(Returns::default()),
            unknown_jobs: Mutex::new(UnknownJobs::default()),
            final_states: Mutex::new(HashMap::new()),
            answering: Semaphore::new(settings.limits.max_answering()),
            byte_budget: ByteBudget::new(settings.limits.collected_bytes()),
            log,
            settings,
        })
    }

    /// Returns the oldest time of confirmation with which a node still sends calls to the store. If it is older, the
    /// store has not answered for at least a second, and another node serves the caller sooner.
    pub fn oldest_confirmation_ms(&self, now_ms: u64) -> u64 {
        // The platform considers a node cut off after 0.6 of the bound on revoked keys.
        now_ms.saturating_sub(CONFIGURATION_MAX_AGE_MS.min(self.settings.bounds.revoke_ms * 6 / 10))
    }

    /// Returns whether the store answered recently, as far as this node knows.
    pub fn is_store_reachable(&self) -> bool {
        self.store_reachable.load(Ordering::Relaxed)
    }

    /// Records whether the store answered (`error`: why it did not); logs a change.
    pub fn record_store_contact(&self, error: Option<&str>) {
        let was_reachable = self
            .store_reachable
            .swap(error.is_none(), Ordering::Relaxed);
        match (was_reachable, error) {
            (true, Some(why)) => {
                let fields = [("why", Value::from(why))];
                self.log.general("store", "contact lost", &fields);
            }
            (false, None) => self.log.general("store", "contact regained", &[]),
            _ => {}
        }
    }

    /// Waits for the permit to answer a call; none if its deadline passes before.
    pub async fn permit_answer(&self, call: &Call) -> Result<SemaphorePermit<'_>, Reply> {
        let left_ms = call.answer_by_ms.saturating_sub(now_ms());
        let permit = self.answering.acquire();
        let permit = tokio::time::timeout(Duration::from_millis(left_ms), permit).await;
        let detail = "too many calls are being answered at once";
        let full = || Reply::refused(Counter::RefusedFull, detail);
        permit.map_err(|_| full())?.map_err(|_| full())
    }

    /// Caches a job's final state; the cache is cleared when it is full.
    pub fn cache_final_state(&self, id: JobId, state: FinalState) {
        if let Ok(mut states) = self.final_states.lock() {
            if states.len() >= MAX_FINAL_STATES {
                states.clear();
            }
            states.insert(id, state);
        }
    }

    /// Returns a job's final state, if it is cached.
    pub fn cached_final_state(&self, id: JobId) -> Option<FinalState> {
        self.final_states.lock().ok()?.get(&id).cloned()
    }

    /// Returns whether this node holds the lead, as far as it knows.
    pub fn holds_lead(&self) -> bool {
        self.lead_lease.lock().is_ok_and(|held| held.is_some())
    }

    /// Returns whether a peer runs on a clearly larger VM, as far as this node knows.
    pub fn knows_larger_vm(&self) -> bool {
        let own_millis = self.settings.processor_millis;
        self.peers
            .largest_processor_millis()
            .is_some_and(|millis| is_larger(millis, own_millis))
    }

    /// Returns whether a planned stop is in progress.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
