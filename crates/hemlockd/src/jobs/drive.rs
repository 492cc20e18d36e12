//! Runs the planner while this node leads its data centre: makes the calls that the planner asks
//! for and passes their replies and other events to it.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dispatch::call::{CallFailure, CallId, Unreachable};
use dispatch::gangs::GangConfig;
use membership::workers::WorkerEvent;
use model::prelude::*;
use placement::{Event, WorkerSpec};
use platform::error::CallError;
use platform::vm_list::WorkerVm;
use platform::worker::WorkerApi;
use tokio::sync::Notify;

use super::hand_over::send_records;
use super::planner::{Effect, Planner, PlannerView};
use super::record::{JobRecord, JobRecords};
use super::storage::segment_of;
use crate::declared::Snapshot;
use crate::node::Shared;
use crate::telemetry::metrics::retry_counter;

/// Maximum sleep of the planner's timer, in milliseconds.
const TIMER_SLEEP_MS_MAX: u64 = 100;

/// Time for which a node that learned of a higher term does not lead again, in milliseconds.
const STEP_DOWN_PAUSE_MS: u64 = 2_000;

/// Timeout of an inventory call, in milliseconds.
const INVENTORY_TIMEOUT_MS: u64 = 1_500;

/// Job state of one node: the planner while the node leads, and copies of job records at all times.
#[derive(Default)]
pub(crate) struct Jobs {
    planner: Mutex<Option<Planner>>,
    copies: Mutex<JobRecords>,
    /// Time before which this node begins no term, in milliseconds since the Unix epoch.
    not_before_ms: AtomicU64,
    /// Wakes submissions that wait for their record to be stored.
    pub(super) stored: Notify,
    /// Wakes the task that reads the records of earlier terms.
    pub(super) load_records: Notify,
    /// Segments of the store that lack changed records.
    unstored: Mutex<BTreeSet<u64>>,
    /// Wakes the task that stores records.
    pub(super) store_wake: Notify,
    /// Wakes the task that copies records to the peers.
    pub(super) changed: Notify,
}

impl Jobs {
    pub(super) fn planner(&self) -> MutexGuard<'_, Option<Planner>> {
        self.planner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the records that this node knows: its own and copies.
    pub(super) fn copies(&self) -> MutexGuard<'_, JobRecords> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn unstored(&self) -> MutexGuard<'_, BTreeSet<u64>> {
        self.unstored.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks the segments of jobs whose records have changed.
    pub(super) fn mark_unstored<'a>(&self, jobs: impl IntoIterator<Item = &'a JobId>) {
        self.unstored().extend(jobs.into_iter().map(segment_of));
        self.store_wake.notify_one();
    }

    /// Removes and returns one segment whose records have changed.
    pub(super) fn take_unstored(&self) -> Option<u64> {
        self.unstored().pop_first()
    }

    /// Merges copies of records.
    pub(super) fn merge_copies(&self, records: Vec<JobRecord>) {
        let mut copies = self.copies();
        for record in records {
            copies.merge(record);
        }
    }

    /// Reads the planner's state; `None` while this node does not lead.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&PlannerView<'_>) -> T) -> Option<T> {
        self.planner().as_ref().map(|planner| read(&planner.view()))
    }
}

impl Shared {
    /// Applies `change` to the planner and makes the calls that follow; `None` while this node does
    /// not lead.
    pub(super) fn update_planner<T>(
        self: &Arc<Self>,
        change: impl FnOnce(&mut Planner, u64) -> T,
    ) -> Option<T> {
        let (result, effects) = {
            let mut guard = self.jobs.planner();
            let planner = guard.as_mut()?;
            let result = change(planner, self.clock.now_ms());
            let effects = planner.take_effects();
            if planner.has_stepped_down() {
                self.jobs.merge_copies(planner.take_changed());
                let again_ms = self.clock.now_ms() + STEP_DOWN_PAUSE_MS;
                self.jobs.not_before_ms.store(again_ms, Ordering::Release);
                *guard = None;
            }
            (result, effects)
        };
        self.jobs.changed.notify_one();
        for effect in effects {
            make_call(self, effect);
        }
        Some(result)
    }

    /// Merges records from another node: copies from the leader, or records that the leader needs.
    pub(crate) fn merge_job_records(self: &Arc<Self>, records: Vec<JobRecord>) {
        self.jobs.merge_copies(records.clone());
        self.update_planner(|planner, now_ms| planner.merge_records(now_ms, records));
    }

    /// Applies a revision of the declarations to the planner.
    pub(crate) fn declare_to_planner(self: &Arc<Self>, snapshot: &Snapshot) {
        self.update_planner(|planner, now_ms| {
            planner.declare(now_ms, snapshot);
            planner.tick(now_ms);
        });
    }

    /// Passes an event of a worker to the planner.
    pub(crate) fn notify_planner(self: &Arc<Self>, event: &WorkerEvent, vm: Option<&WorkerVm>) {
        let event = match event {
            WorkerEvent::Joined { .. } => vm.map(|vm| Event::WorkerJoined(to_worker_spec(vm))),
            WorkerEvent::Closed { worker, .. } => Some(Event::WorkerLeaving {
                name: worker.clone(),
            }),
            WorkerEvent::Opened { worker } => Some(Event::WorkerReturned {
                name: worker.clone(),
            }),
            WorkerEvent::Vanished { worker } => Some(Event::WorkerLost {
                name: worker.clone(),
            }),
            WorkerEvent::Rebooted { .. } => None,
        };
        if let Some(event) = event {
            self.update_planner(|planner, now_ms| {
                planner.apply(now_ms, event);
                planner.tick(now_ms);
            });
        }
    }
}

/// Converts a listed worker for placement.
fn to_worker_spec(vm: &WorkerVm) -> WorkerSpec {
    WorkerSpec {
        name: vm.name.clone(),
        rack: vm.rack.clone(),
        position: vm.position,
        accelerators: vm.accelerators,
    }
}

/// Makes a call in a separate task and passes its outcome to the planner.
fn make_call(shared: &Arc<Shared>, effect: Effect) {
    match effect {
        Effect::Leases {
            call,
            worker,
            commands,
        } => {
            tokio::spawn(call_leases(Arc::clone(shared), call, worker, commands));
        }
        Effect::Inventory { worker } => {
            tokio::spawn(call_inventory(Arc::clone(shared), worker));
        }
        Effect::Count(name) => shared.metrics.count(name),
    }
}

/// Sends lease commands to a worker and passes the replies to the planner.
async fn call_leases(
    shared: Arc<Shared>,
    call: CallId,
    worker: WorkerName,
    commands: Vec<LeaseCommand>,
) {
    let timeout = Duration::from_millis(GangConfig::default().call_timeout_ms);
    let replies = match shared.members.worker_address(&worker) {
        None => Err(CallFailure::NotSent),
        Some(address) => {
            let applied = shared.workers.apply_leases(address, &commands);
            match tokio::time::timeout(timeout, applied).await {
                Ok(replies) => replies.map_err(|e| to_call_failure(&e)),
                Err(_) => Err(CallFailure::ReplyLost),
            }
        }
    };
    record_lease_refusals(&shared, &worker, &replies);
    shared.update_planner(|planner, now_ms| planner.on_replies(now_ms, &worker, call, replies));
}

/// Counts a worker's lease refusals, and marks the worker as leaving if one says so.
fn record_lease_refusals(
    shared: &Arc<Shared>,
    worker: &WorkerName,
    replies: &Result<Vec<LeaseReply>, CallFailure>,
) {
    let replies = replies.as_deref().unwrap_or_default();
    let refusals = replies.iter().filter_map(|reply| match reply {
        LeaseReply::Refused { why } => Some(*why),
        LeaseReply::Granted { .. } | LeaseReply::Gone { .. } => None,
    });
    let mut is_leaving = false;
    for why in refusals {
        shared
            .metrics
            .count(&retry_counter(RetryReason::LeaseRefused));
        is_leaving |= why == LeaseRefusal::Leaving;
    }
    if is_leaving {
        shared.mark_leaving(worker);
    }
}

/// Requests a worker's inventory and passes it to the planner.
async fn call_inventory(shared: Arc<Shared>, worker: WorkerName) {
    let timeout = Duration::from_millis(INVENTORY_TIMEOUT_MS);
    let inventory = match shared.members.worker_address(&worker) {
        None => Err(Unreachable),
        Some(address) => {
            let reply = tokio::time::timeout(timeout, shared.workers.inventory(address)).await;
            reply.ok().and_then(Result::ok).ok_or(Unreachable)
        }
    };
    shared.update_planner(|planner, now_ms| planner.on_inventory(now_ms, &worker, inventory));
}

/// Maps a failed call to what the gang state machine needs to know.
fn to_call_failure(error: &CallError) -> CallFailure {
    if error.is_without_effect() {
        CallFailure::NotSent
    } else {
        CallFailure::ReplyLost
    }
}

/// Runs the planner while this node is the leader of its data centre; runs until the node ends.
pub(crate) async fn run_planner(shared: Arc<Shared>) {
    let mut leader = shared.members.subscribe_leader();
    let mut sent_to = None;
    loop {
        let current = leader.borrow_and_update().clone();
        let is_leader = current.as_ref() == Some(&shared.settings.node);
        let was_leader = shared.jobs.planner().is_some();
        match (is_leader, was_leader) {
            (true, false) => begin_term(&shared),
            (false, true) => end_term(&shared),
            _ => {}
        }
        if let Some(other) = current
            .as_ref()
            .filter(|_| !is_leader && current != sent_to)
        {
            send_records(&shared, other);
        }
        sent_to = current;
        let wake_ms = shared.update_planner(|planner, now_ms| {
            planner.tick(now_ms);
            planner.next_wake_ms()
        });
        let now_ms = shared.clock.now_ms();
        let sleep_ms = wake_ms
            .flatten()
            .map_or(TIMER_SLEEP_MS_MAX, |wake_ms| wake_ms.saturating_sub(now_ms))
            .clamp(1, TIMER_SLEEP_MS_MAX);
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(sleep_ms)) => {}
            changed = leader.changed() => if changed.is_err() { return },
        }
    }
}

/// Begins a term, from the workers' inventories and the copies of records.
fn begin_term(shared: &Arc<Shared>) {
    let workers: Vec<_> = {
        let view = shared.members.workers();
        let open = |vm: &WorkerVm| view.machine.is_open(&vm.name);
        view.listed
            .values()
            .map(|vm| (to_worker_spec(vm), open(vm)))
            .collect()
    };
    let snapshot = shared.snapshot();
    let not_before_ms = shared.jobs.not_before_ms.load(Ordering::Acquire);
    let is_too_early = shared.clock.now_ms() < not_before_ms;
    if is_too_early || workers.is_empty() || snapshot.revision == Revision::default() {
        // Without workers or declarations there is nothing to plan yet.
        return;
    }
    log::info!(target: "jobs", "This node is now the leader of data centre {}.", shared.settings.data_centre);
    let copies: Vec<_> = shared.jobs.copies().iter().cloned().collect();
    let planner = Planner::new(
        shared.clock.now_ms(),
        shared.settings.node.clone(),
        shared.settings.data_centre.clone(),
        shared.incarnation,
        &workers,
        &snapshot,
    );
    *shared.jobs.planner() = Some(planner);
    shared.update_planner(|planner, now_ms| planner.merge_records(now_ms, copies));
    shared.jobs.load_records.notify_one();
}

/// Ends the term: another node leads.
fn end_term(shared: &Arc<Shared>) {
    log::info!(target: "jobs", "This node is no longer the leader of data centre {}.", shared.settings.data_centre);
    let now_ms = shared.clock.now_ms();
    if let Some(mut planner) = shared.jobs.planner().take() {
        planner.step_down(now_ms);
        shared.jobs.merge_copies(planner.take_changed());
    }
}
