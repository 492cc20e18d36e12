//! Runs admission control on one node: takes offers, ends of attempts and the time, and sends each
//! waiting request its verdicts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use admission::{
    Admission, AdmissionConfig, AttemptEnd, Decision, Offer, QueueView, Rejection, RequestKey,
    UsageRow, WorkerCondition, WorkerKey,
};
use model::prelude::*;
use slotmap::SecondaryMap;
use tokio::sync::{Notify, mpsc};

use crate::clock::Clock;
use crate::declared::Snapshot;

/// Maximum sleep of the timer, in milliseconds.
const TIMER_SLEEP_MS_MAX: u64 = 100;

/// Verdict of admission on one request.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// Send the request to this worker.
    Start {
        /// The worker.
        target: WorkerTarget,
        /// Whether this is a hedged attempt beside one that has not ended.
        hedge: bool,
    },
    /// The request is refused.
    Reject(Rejection),
    /// The request may be passed to another data centre; if that fails, this is the rejection.
    Spill(Rejection),
}

/// Where a request was received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller of this data centre.
    Caller,
    /// Another data centre; the request is not passed on again.
    DataCentre,
}

/// A worker that accepts requests.
#[derive(Debug, Clone)]
pub(crate) struct WorkerTarget {
    /// Key of the worker in the admission state.
    pub(crate) key: WorkerKey,
    /// Name of the worker.
    pub(crate) name: WorkerName,
    /// Address that it listens on.
    pub(crate) address: SocketAddr,
}

/// Admission state, with the verdict channels of the waiting requests.
struct AdmissionState {
    admission: Admission,
    waiting: SecondaryMap<RequestKey, mpsc::UnboundedSender<Verdict>>,
    targets: SecondaryMap<WorkerKey, WorkerTarget>,
    keys: BTreeMap<WorkerName, WorkerKey>,
    decisions: Vec<Decision>,
}

/// Admission control of one node.
pub(crate) struct AdmissionControl {
    state: Mutex<AdmissionState>,
    clock: Clock,
    timer: Notify,
}

impl AdmissionControl {
    /// Creates admission control without workers and declarations.
    pub(crate) fn new(clock: Clock, seed: u64) -> Self {
        let state = AdmissionState {
            admission: Admission::new(AdmissionConfig::default(), seed),
            waiting: SecondaryMap::new(),
            targets: SecondaryMap::new(),
            keys: BTreeMap::new(),
            decisions: Vec::new(),
        };
        Self {
            state: Mutex::new(state),
            clock,
            timer: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `change` to the state, then sends the verdicts that follow from it.
    fn update<T>(&self, change: impl FnOnce(&mut AdmissionState, u64) -> T) -> T {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let result = change(&mut state, now_ms);
        state.send_verdicts(now_ms);
        let is_waiting = state.admission.next_wake_ms().is_some();
        drop(state);
        if is_waiting {
            self.timer.notify_one();
        }
        result
    }

    /// Applies a revision of the declarations.
    pub(crate) fn declare(&self, snapshot: &Snapshot) {
        let organisations: Vec<_> = snapshot.set.organisations.values().cloned().collect();
        let classes: Vec<_> = snapshot.set.classes.values().cloned().collect();
        self.update(|state, now_ms| state.admission.declare(now_ms, &organisations, &classes));
    }

    /// Adds a worker, or updates the address and condition of a known one.
    pub(crate) fn set_worker(
        &self,
        name: &WorkerName,
        address: SocketAddr,
        slots: u32,
        connections_max: u32,
        condition: WorkerCondition,
    ) {
        self.update(|state, now_ms| {
            let key = state.admission.upsert_worker(name, slots, connections_max);
            state.keys.insert(name.clone(), key);
            state.targets.insert(
                key,
                WorkerTarget {
                    key,
                    name: name.clone(),
                    address,
                },
            );
            state.admission.set_worker(now_ms, key, condition);
        });
    }

    /// Sets the condition of a known worker.
    pub(crate) fn set_condition(&self, name: &WorkerName, condition: WorkerCondition) {
        self.update(|state, now_ms| {
            if let Some(&key) = state.keys.get(name) {
                state.admission.set_worker(now_ms, key, condition);
            }
        });
    }

    /// Offers a request to admission; its verdicts arrive at the returned [`WaitingRequest`].
    ///
    /// # Errors
    ///
    /// The request is refused at once.
    pub(crate) fn offer(
        self: &Arc<Self>,
        offer: Offer,
        origin: Origin,
    ) -> Result<WaitingRequest, Rejection> {
        let (sender, verdicts) = mpsc::unbounded_channel();
        let key = self.update(|state, now_ms| {
            let key = match origin {
                Origin::Caller => state.admission.offer(now_ms, offer)?,
                Origin::DataCentre => state.admission.offer_spilled(now_ms, offer)?,
            };
            state.waiting.insert(key, sender);
            Ok(key)
        })?;
        Ok(WaitingRequest {
            control: Arc::clone(self),
            key,
            verdicts,
            is_finished: false,
        })
    }

    /// Returns the usage rows of this node, for the other nodes of the data centre.
    pub(crate) fn rows(&self) -> Vec<UsageRow> {
        let now_ms = self.clock.now_ms();
        self.lock().admission.rows(now_ms)
    }

    /// Merges the usage rows of another node.
    pub(crate) fn merge_rows(&self, owner: &NodeName, sequence: u64, rows: Vec<UsageRow>) {
        self.update(|state, now_ms| {
            state.admission.merge_rows(now_ms, owner, sequence, rows);
        });
    }

    /// Sets the number of nodes that share the workers.
    pub(crate) fn set_entry_nodes(&self, nodes: u32) {
        self.update(|state, _| state.admission.set_entry_nodes(nodes));
    }

    /// Queues of this node, for the console.
    pub(crate) fn queue_views(&self, now_ms: u64) -> Vec<QueueView> {
        self.lock().admission.queues(now_ms)
    }

    /// Returns the slots of a worker in use by this node and, as they reported, by its peers.
    pub(crate) fn slots_in_use(&self, worker: &WorkerName) -> Option<u32> {
        let state = self.lock();
        let view = state
            .admission
            .workers()
            .into_iter()
            .find(|view| view.worker == *worker)?;
        Some(view.in_flight + view.peers_in_flight)
    }

    /// Sends the verdicts that depend on time; runs until the node ends.
    pub(crate) async fn run_timer(self: Arc<Self>) {
        loop {
            let wake_ms = self.lock().admission.next_wake_ms();
            let now_ms = self.clock.now_ms();
            let sleep_ms = wake_ms
                .map_or(TIMER_SLEEP_MS_MAX, |wake_ms| wake_ms.saturating_sub(now_ms))
                .clamp(1, TIMER_SLEEP_MS_MAX);
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(sleep_ms)) => {}
                () = self.timer.notified(), if wake_ms.is_none() => continue,
            }
            self.update(|_, _| ());
        }
    }
}

impl AdmissionState {
    /// Polls admission and sends each decision to its request.
    fn send_verdicts(&mut self, now_ms: u64) {
        self.admission.poll(now_ms, &mut self.decisions);
        for decision in std::mem::take(&mut self.decisions) {
            let (request, verdict) = match decision {
                Decision::Start {
                    request,
                    worker,
                    hedge,
                } => {
                    let Some(target) = self.targets.get(worker) else {
                        continue;
                    };
                    (
                        request,
                        Verdict::Start {
                            target: target.clone(),
                            hedge,
                        },
                    )
                }
                Decision::Reject { request, rejection } => (request, Verdict::Reject(rejection)),
                Decision::Spill { request, rejection } => (request, Verdict::Spill(rejection)),
            };
            if let Some(sender) = self.waiting.get(request) {
                // Sending fails only if the request has finished in the meantime.
                let _ = sender.send(verdict);
            }
        }
    }
}

/// A request in admission control; dropping it withdraws the request.
pub(crate) struct WaitingRequest {
    control: Arc<AdmissionControl>,
    key: RequestKey,
    verdicts: mpsc::UnboundedReceiver<Verdict>,
    is_finished: bool,
}

impl WaitingRequest {
    /// Waits for the next verdict; `None` once the request has been removed.
    pub(crate) async fn next_verdict(&mut self) -> Option<Verdict> {
        self.verdicts.recv().await
    }

    /// Reports the end of an attempt.
    pub(crate) fn attempt_ended(&self, worker: WorkerKey, end: AttemptEnd) {
        self.control.update(|state, now_ms| {
            state.admission.attempt_ended(now_ms, self.key, worker, end);
        });
    }

    /// Queues the request for another attempt.
    ///
    /// # Errors
    ///
    /// The retry budget is exhausted.
    pub(crate) fn retry(&self, reason: RetryReason) -> Result<(), Rejection> {
        self.control
            .update(|state, now_ms| state.admission.retry(now_ms, self.key, reason))
            .map(|_backoff_ms| ())
    }

    /// Removes the request, whose outcome is decided.
    pub(crate) fn finish(mut self) {
        self.is_finished = true;
        self.control.update(|state, now_ms| {
            state.waiting.remove(self.key);
            state.admission.finish(now_ms, self.key);
        });
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.control.update(|state, now_ms| {
            state.waiting.remove(self.key);
            state.admission.withdraw(now_ms, self.key);
        });
    }
}
