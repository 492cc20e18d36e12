//! Polls the platform's list of VMs and updates the peers, the workers and admission with it.

use std::sync::Arc;
use std::time::Duration;

use admission::WorkerCondition;
use membership::peers::ListedPeer;
use membership::workers::{ListedWorker, WorkerEvent};
use model::prelude::*;
use platform::http_vm_list::HttpVmList;
use platform::vm_list::{EntryVm, VmList, VmListing, VmState, WorkerVm};

use crate::node::Shared;

/// Interval between two reads of the list, in milliseconds.
const LIST_POLL_MS: u64 = 1_000;

/// Polls the list until the node ends.
pub(crate) async fn run_list(shared: Arc<Shared>, vm_list: HttpVmList) {
    loop {
        match vm_list.listing(&shared.settings.data_centre).await {
            Ok(listing) => apply_listing(&shared, listing),
            // The last list stays in effect; meanwhile heartbeats of peers and replies of workers
            // keep the view current.
            Err(e) => {
                log::debug!(target: "members", "Cannot read the list of VMs from the platform: {e}.")
            }
        }
        tokio::time::sleep(Duration::from_millis(LIST_POLL_MS)).await;
    }
}

/// Applies a list.
fn apply_listing(shared: &Arc<Shared>, listing: VmListing) {
    apply_entries(shared, &listing.entries);
    apply_workers(shared, listing.workers);
}

/// Applies the entry VMs of a list.
fn apply_entries(shared: &Shared, entries: &[EntryVm]) {
    let others = entries
        .iter()
        .filter(|entry| entry.name != shared.settings.node);
    for entry in others {
        shared.peers.set_address(&entry.name, entry.peer_address);
    }
    let listed: Vec<_> = entries
        .iter()
        .map(|entry| ListedPeer {
            node: entry.name.clone(),
            data_centre: entry.data_centre.clone(),
            leaving: entry.state == VmState::Leaving,
        })
        .collect();
    shared
        .members
        .peers()
        .on_list(shared.clock.now_ms(), &listed);
    shared.members.handle_peer_events();
}

/// Applies the workers of a list.
fn apply_workers(shared: &Arc<Shared>, workers: Vec<WorkerVm>) {
    let listed: Vec<_> = workers
        .iter()
        .map(|vm| ListedWorker {
            worker: vm.name.clone(),
            leaving: vm.state == VmState::Leaving,
        })
        .collect();
    {
        let mut view = shared.members.workers();
        let readdressed: Vec<_> = workers
            .iter()
            .filter(|vm| {
                view.listed
                    .get(&vm.name)
                    .is_some_and(|old| old.address != vm.address)
            })
            .cloned()
            .collect();
        let has_vanished = view
            .listed
            .keys()
            .any(|name| !listed.iter().any(|entry| entry.worker == *name));
        shared
            .members
            .observe_list(shared.clock.now_ms(), has_vanished);
        view.listed = workers
            .into_iter()
            .map(|vm| (vm.name.clone(), vm))
            .collect();
        view.machine.on_list(shared.clock.now_ms(), &listed);
        for vm in readdressed {
            let is_open = view.machine.is_open(&vm.name);
            set_worker(shared, &vm, is_open);
        }
    }
    shared.handle_worker_events();
}

/// Updates a worker in admission control.
fn set_worker(shared: &Shared, vm: &WorkerVm, is_open: bool) {
    let condition = if is_open {
        WorkerCondition::Accepting
    } else {
        WorkerCondition::Leaving
    };
    shared.admission.set_worker(
        &vm.name,
        vm.address,
        vm.slots,
        vm.connections_max,
        condition,
    );
}

impl Shared {
    /// Handles the events of the worker state machine: passes them to admission control and to the
    /// planner.
    pub(crate) fn handle_worker_events(self: &Arc<Self>) {
        loop {
            let (event, vm, is_open) = {
                let mut view = self.members.workers();
                let Some(event) = view.machine.poll() else {
                    return;
                };
                let worker = worker_of(&event);
                let vm = view.listed.get(worker).cloned();
                let is_open = view.machine.is_open(worker);
                (event, vm, is_open)
            };
            self.notify_admission(&event, vm.as_ref(), is_open);
            self.notify_planner(&event, vm.as_ref());
        }
    }

    /// Passes an event of a worker to admission control.
    fn notify_admission(&self, event: &WorkerEvent, vm: Option<&WorkerVm>, is_open: bool) {
        match event {
            WorkerEvent::Joined { .. } => {
                if let Some(vm) = vm {
                    set_worker(self, vm, is_open);
                }
            }
            WorkerEvent::Closed { worker, source } => {
                log::info!(target: "members", "Worker {worker} takes no new work ({source:?}).");
                self.admission
                    .set_condition(worker, WorkerCondition::Leaving);
            }
            WorkerEvent::Opened { worker } => {
                log::info!(target: "members", "Worker {worker} takes new work again.");
                self.admission
                    .set_condition(worker, WorkerCondition::Accepting);
            }
            WorkerEvent::Rebooted { worker, .. } => {
                log::warn!(target: "members", "Worker {worker} has restarted.");
            }
            WorkerEvent::Vanished { worker } => {
                self.admission.set_condition(worker, WorkerCondition::Gone);
            }
        }
    }

    /// Marks a worker as leaving because it refused work for that reason.
    pub(crate) fn mark_leaving(self: &Arc<Self>, worker: &WorkerName) {
        let now_ms = self.clock.now_ms();
        self.members
            .workers()
            .machine
            .on_refusal(now_ms, worker, None);
        self.handle_worker_events();
    }
}

/// Returns the worker that an event is about.
fn worker_of(event: &WorkerEvent) -> &WorkerName {
    match event {
        WorkerEvent::Joined { worker }
        | WorkerEvent::Closed { worker, .. }
        | WorkerEvent::Opened { worker }
        | WorkerEvent::Rebooted { worker, .. }
        | WorkerEvent::Vanished { worker } => worker,
    }
}
