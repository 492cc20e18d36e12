//! Applies fault switches to the site.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::prelude::*;
use platform::vm_list::VmState;

use crate::faults::{FaultCall, FaultError, FaultKind};
use crate::links::{PLATFORM_PLACE, Place, ordered_pair};
use crate::site::{NodeFault, SiteState};
use crate::worker::{Worker, lock};

/// Targets of worker faults, for error messages.
const EXPECTED_WORKER: &str = "the name of a worker or of a data centre";
/// Targets of store faults, for error messages.
const EXPECTED_STORE: &str = "\"platform\" or nothing";
/// Targets of `connections_silent`, for error messages.
const EXPECTED_CONNECTIONS: &str = "the name of a worker, data centre or node, or \"platform\"";
/// Targets of node faults, for error messages.
const EXPECTED_NODE: &str = "the name of an entry node";
/// Places of a cut, for error messages.
const EXPECTED_PLACE: &str = "data centres, regions or \"platform\"";

impl SiteState {
    /// Switches a fault on or off and records which faults are on.
    pub(crate) fn switch_fault(&self, call: &FaultCall) -> Result<(), FaultError> {
        match call.fault {
            FaultKind::StoreDown | FaultKind::StoreSlow | FaultKind::StoreLostAnswers => {
                self.switch_store_fault(call)?;
            }
            FaultKind::WorkerCrash
            | FaultKind::WorkerFailsAll
            | FaultKind::WorkerLeaving
            | FaultKind::WorkerPaused
            | FaultKind::AnswersLost => self.switch_worker_fault(call)?,
            FaultKind::ConnectionsSilent => self.stall_connections(call)?,
            FaultKind::Cut => self.switch_cut(call)?,
            FaultKind::NodeKill | FaultKind::NodeStop => self.switch_node_fault(call)?,
        }
        lock(&self.faults).record(call);
        Ok(())
    }

    /// Switches a fault of the store.
    fn switch_store_fault(&self, call: &FaultCall) -> Result<(), FaultError> {
        if !matches!(call.target.as_str(), "" | PLATFORM_PLACE | "store") {
            return Err(unknown_target(call, EXPECTED_STORE));
        }
        let switch = match call.fault {
            FaultKind::StoreSlow => &self.store.slow,
            FaultKind::StoreLostAnswers => &self.store.loses_answers,
            _ => &self.store.down,
        };
        switch.store(call.on, Ordering::Release);
        Ok(())
    }

    /// Returns the worker, or the workers of the data centre, with the name `target`.
    fn find_workers(&self, target: &str) -> Vec<&Arc<Worker>> {
        let is_target = |(name, data_centre): &(&WorkerName, &DataCentreName)| {
            name.as_str() == target || data_centre.as_str() == target
        };
        self.workers
            .iter()
            .filter(|(name, (data_centre, _))| is_target(&(name, data_centre)))
            .map(|(_, (_, worker))| worker)
            .collect()
    }

    /// Switches a fault of one worker or of all workers of a data centre.
    fn switch_worker_fault(&self, call: &FaultCall) -> Result<(), FaultError> {
        let workers = self.find_workers(&call.target);
        if workers.is_empty() {
            return Err(unknown_target(call, EXPECTED_WORKER));
        }
        for worker in workers {
            match call.fault {
                FaultKind::WorkerCrash => {
                    worker.set_crashed(call.on);
                    self.set_listed_state(worker, if call.on { None } else { Some(VmState::Live) });
                }
                FaultKind::WorkerFailsAll => worker.set_fails_all(call.on),
                FaultKind::WorkerLeaving => {
                    worker.set_leaving(call.on);
                    let state = if call.on {
                        VmState::Leaving
                    } else {
                        VmState::Live
                    };
                    self.set_listed_state(worker, Some(state));
                }
                FaultKind::WorkerPaused => worker.set_paused(call.on),
                _ => worker.set_answers_lost(call.on),
            }
        }
        Ok(())
    }

    /// Records a change of a worker in the VM list.
    fn set_listed_state(&self, worker: &Worker, state: Option<VmState>) {
        let now_ms = self.shared.clock.now_ms();
        lock(&self.list).change_worker(now_ms, worker.name.clone(), state);
    }

    /// Stalls the connections that are open now for good; switching off does nothing.
    fn stall_connections(&self, call: &FaultCall) -> Result<(), FaultError> {
        if !call.on {
            return Ok(());
        }
        let target = call.target.as_str();
        if target == PLATFORM_PLACE {
            for relay in lock(&self.platform_relays).values() {
                relay.stall_open();
            }
            return Ok(());
        }
        let workers = self.find_workers(target);
        for worker in &workers {
            worker.connections.stall_open();
        }
        let relays = lock(&self.node_relays);
        let to_node = relays.iter().filter(|((_, n), _)| n.as_str() == target);
        let mut found = !workers.is_empty();
        for (_, relay) in to_node {
            relay.stall_open();
            found = true;
        }
        if found {
            Ok(())
        } else {
            Err(unknown_target(call, EXPECTED_CONNECTIONS))
        }
    }

    /// Returns the platform, or the data centre or data centres of the region, with the name
    /// `name`.
    fn find_places(&self, name: &str) -> Vec<Place> {
        if name == PLATFORM_PLACE {
            return vec![Place::Platform];
        }
        let data_centres = self.spec.data_centres.iter();
        data_centres
            .filter(|(data_centre, region)| data_centre.as_str() == name || region.as_str() == name)
            .map(|(data_centre, _)| Place::DataCentre(data_centre.clone()))
            .collect()
    }

    /// Cuts the links between two places or regions, or restores them.
    fn switch_cut(&self, call: &FaultCall) -> Result<(), FaultError> {
        let Some([a, b]) = &call.between else {
            return Err(FaultError::Between);
        };
        let unknown = |name: &str| FaultError::UnknownTarget {
            fault: call.fault,
            target: name.to_owned(),
            expected: EXPECTED_PLACE,
        };
        let (places_a, places_b) = (self.find_places(a), self.find_places(b));
        if places_a.is_empty() {
            return Err(unknown(a));
        }
        if places_b.is_empty() {
            return Err(unknown(b));
        }
        for place_a in &places_a {
            for place_b in places_b.iter().filter(|b| *b != place_a) {
                let pair = ordered_pair(place_a.clone(), place_b.clone());
                self.network.set_cut(pair, call.on);
            }
        }
        Ok(())
    }

    /// Kills, restarts or stops an entry node.
    fn switch_node_fault(&self, call: &FaultCall) -> Result<(), FaultError> {
        let unknown = || unknown_target(call, EXPECTED_NODE);
        let node: NodeName = call.target.parse().map_err(|_| unknown())?;
        if !lock(&self.nodes).contains_key(&node) {
            return Err(unknown());
        }
        let now_ms = self.shared.clock.now_ms();
        match (call.fault, call.on) {
            (FaultKind::NodeKill, on) => {
                if on {
                    self.set_node_down(&node);
                    lock(&self.list).change_node(now_ms, node.clone(), None);
                }
                self.send_node_fault(NodeFault::Kill { node, on });
            }
            (_, true) => {
                let leaving = Some(VmState::Leaving);
                lock(&self.list).change_node(now_ms, node.clone(), leaving);
                self.send_node_fault(NodeFault::Stop { node });
            }
            (_, false) => {}
        }
        Ok(())
    }

    /// Sends a node fault to the embedding program.
    fn send_node_fault(&self, fault: NodeFault) {
        if let Err(e) = self.node_faults.send(fault) {
            log::warn!(target: "standins", "Node fault {:?} has no subscriber.", e.0);
        }
    }
}

/// Creates the error for a target that is unknown or not valid for the fault.
fn unknown_target(call: &FaultCall, expected: &'static str) -> FaultError {
    FaultError::UnknownTarget {
        fault: call.fault,
        target: call.target.clone(),
        expected,
    }
}
