//! State that is shared by the interfaces and tasks of a node.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use declarations::Offer;
use model::prelude::*;
use platform::budgeted::BudgetedStore;
use platform::http_store::HttpStore;
use platform::http_worker::HttpWorkerApi;

use crate::byte_budget::ByteBudget;
use crate::clock::Clock;
use crate::declared::{DeclaredState, Snapshot};
use crate::http::{NoAnswer, refuse};
use crate::jobs::Jobs;
use crate::members::Members;
use crate::peers::Peers;
use crate::requests::{Acknowledgements, AdmissionControl, Outcome, Tickets};
use crate::settings::Settings;
use crate::telemetry::metrics::{Metrics, failure_counter, refusal_counter, unknown_counter};

/// First sequence number of identifiers without a ticket. Tickets count from 0, and the work and
/// the job of a ticket have its sequence number, so the ranges don't overlap.
const UNTICKETED_SEQUENCE_MIN: u64 = 1 << 40;

/// Maximum total length of the bodies of all open requests, in bytes.
const HELD_BYTES_MAX: usize = 48 << 20;

/// Clients of the platform.
pub(crate) struct Clients {
    /// Client of the workers.
    pub(crate) workers: HttpWorkerApi,
    /// Client of the key-value service.
    pub(crate) store: BudgetedStore<HttpStore>,
}

/// State of a node.
pub(crate) struct Shared {
    /// Settings of the node.
    pub(crate) settings: Settings,
    /// Clock of the node.
    pub(crate) clock: Clock,
    /// Incarnation of the node.
    pub(crate) incarnation: Incarnation,
    /// Counters.
    pub(crate) metrics: Metrics,
    /// Admission control and its waiting requests.
    pub(crate) admission: Arc<AdmissionControl>,
    /// Client of the workers.
    pub(crate) workers: HttpWorkerApi,
    /// Acknowledgements to send to workers.
    pub(crate) acknowledgements: Acknowledgements,
    /// Workers and peers as this node sees them.
    pub(crate) members: Members,
    /// Connections to the other nodes.
    pub(crate) peers: Peers,
    /// Active declarations.
    pub(crate) declared: DeclaredState,
    /// Tickets that this node holds.
    pub(crate) tickets: Tickets,
    /// Planner and records of jobs.
    pub(crate) jobs: Jobs,
    /// Client of the platform's key-value service.
    pub(crate) store: BudgetedStore<HttpStore>,
    /// Whether a pull of declarations from a peer is in progress.
    pub(crate) is_pulling: AtomicBool,
    region_bytes: Mutex<ByteBudget>,
    sequence: AtomicU64,
    is_stopping: AtomicBool,
    is_refusing: AtomicBool,
    open_requests: AtomicUsize,
    held_bytes: AtomicUsize,
}

impl Shared {
    /// Creates the state of a node that has just started.
    pub(crate) fn new(
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
        clients: Clients,
    ) -> Self {
        let incarnation = Incarnation(clock.now_ms());
        Self {
            admission: Arc::new(AdmissionControl::new(clock, incarnation.0)),
            members: Members::new(&settings, incarnation, clock.now_ms()),
            clock,
            incarnation,
            metrics,
            workers: clients.workers,
            acknowledgements: Acknowledgements::default(),
            peers: Peers::default(),
            declared: DeclaredState::new(settings.operator_token_digests.clone()),
            tickets: Tickets::new(
                settings.data_centre.clone(),
                settings.node.clone(),
                incarnation,
                settings.limits.ticket_valid_ms,
            ),
            jobs: Jobs::default(),
            store: clients.store,
            is_pulling: AtomicBool::new(false),
            region_bytes: Mutex::new(ByteBudget::new(settings.limits.region_bytes_per_s)),
            sequence: AtomicU64::new(UNTICKETED_SEQUENCE_MIN),
            is_stopping: AtomicBool::new(false),
            is_refusing: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
            held_bytes: AtomicUsize::new(0),
            settings,
        }
    }

    /// Returns the active declarations.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.declared.snapshot()
    }

    /// Activates declarations if their revision is higher; returns whether the active revision has
    /// changed.
    pub(crate) fn activate(self: &Arc<Self>, offer: Offer) -> bool {
        match self.declared.offer(self.clock.now_ms(), offer) {
            Ok(Some(snapshot)) => {
                self.apply_snapshot(&snapshot);
                true
            }
            Ok(None) | Err(_) => false,
        }
    }

    /// Applies a new revision to admission control and the planner.
    pub(crate) fn apply_snapshot(self: &Arc<Self>, snapshot: &Snapshot) {
        log::info!(target: "declared", "Revision {} of the declarations is now active.", snapshot.revision);
        self.admission.declare(snapshot);
        self.declare_to_planner(snapshot);
    }

    /// Takes bytes from the budget for other regions; `false` if it is exhausted.
    pub(crate) fn take_region_bytes(&self, bytes: usize) -> bool {
        let mut budget = self
            .region_bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        budget.take(self.clock.now_ms(), bytes as u64)
    }

    /// Returns the identifier of new work without a ticket.
    pub(crate) fn next_work_id(&self) -> WorkId {
        WorkId {
            data_centre: self.settings.data_centre.clone(),
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            sequence: self.next_sequence(),
        }
    }

    /// Returns the identifier of a new job without a ticket.
    pub(crate) fn next_job_id(&self) -> JobId {
        JobId {
            data_centre: self.settings.data_centre.clone(),
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            sequence: self.next_sequence(),
        }
    }

    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether the planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Begins the planned stop: the node informs its peers that it is leaving, so that another node
    /// leads.
    pub(crate) fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
        self.members.peers().set_leaving(self.clock.now_ms());
        self.members.handle_peer_events();
    }

    /// Returns whether new requests are refused, which starts some time after the planned stop has
    /// begun.
    pub(crate) fn is_refusing(&self) -> bool {
        self.is_refusing.load(Ordering::Acquire)
    }

    /// Refuses new requests from now on.
    pub(crate) fn refuse_new(&self) {
        self.is_refusing.store(true, Ordering::Release);
    }

    /// Returns the number of open requests.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Counts work as open until the returned value is dropped, regardless of the limit.
    pub(crate) fn count_open(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenRequest {
            shared: Arc::clone(self),
            held_bytes: 0,
        }
    }

    /// Counts a request as open until the returned value is dropped.
    ///
    /// # Errors
    ///
    /// Too many requests are open.
    pub(crate) fn open_request(self: &Arc<Self>) -> Result<OpenRequest, Refused> {
        let open = self.count_open();
        if self.open_requests() <= self.settings.limits.open_requests_max {
            return Ok(open);
        }
        Err(refuse(
            RefusalReason::QueueFull,
            "too many requests are open on this node",
        ))
    }

    /// Counts the outcome of a request.
    pub(crate) fn count_outcome(&self, outcome: &Outcome) {
        match outcome {
            Ok(_) => self.metrics.count("requests.answered"),
            Err(NoAnswer::Refused(refused)) => self.count_refusal(refused.reason()),
            Err(NoAnswer::Failed(failed)) => self.metrics.count(&failure_counter(failed.reason)),
            Err(NoAnswer::Unknown(unknown)) => {
                self.metrics.count(&unknown_counter(unknown.reason));
            }
        }
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        self.metrics.count(&refusal_counter(reason));
    }
}

/// A request that counts as open until this is dropped.
pub(crate) struct OpenRequest {
    shared: Arc<Shared>,
    held_bytes: usize,
}

impl OpenRequest {
    /// Counts the length of the request's body until the request ends.
    ///
    /// # Errors
    ///
    /// The bodies of all open requests are too long in total.
    pub(crate) fn hold(&mut self, bytes: usize) -> Result<(), Refused> {
        let before = self.shared.held_bytes.fetch_add(bytes, Ordering::AcqRel);
        self.held_bytes += bytes;
        if before + bytes <= HELD_BYTES_MAX {
            return Ok(());
        }
        let detail = "the bodies of the open requests on this node are too long together";
        Err(refuse(RefusalReason::QueueFull, detail))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.shared
            .held_bytes
            .fetch_sub(self.held_bytes, Ordering::AcqRel);
        self.shared.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}
