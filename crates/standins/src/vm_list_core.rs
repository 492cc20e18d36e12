//! State of the simulated VM list, which shows each change after a lag, without I/O.

use std::collections::BTreeMap;

use model::prelude::*;
use platform::vm_list::{VmState, WorkerVm};

/// An entry VM in the list, without its address, which differs by the reader's data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedNode {
    /// Name of the node.
    pub name: NodeName,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Whether it stays or will be removed.
    pub state: VmState,
}

/// New state of a VM, or `None` once it is gone; readers see it after their lag.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Change {
    Worker(WorkerName, Option<VmState>),
    Node(NodeName, Option<VmState>),
}

/// The VM list with the times of its changes, in milliseconds since the start of the site.
#[derive(Debug, Default)]
pub struct VmListCore {
    workers: Vec<(DataCentreName, WorkerVm)>,
    nodes: BTreeMap<NodeName, ListedNode>,
    changes: Vec<(u64, Change)>,
}

impl VmListCore {
    /// Adds a worker, which every reader sees at once.
    pub fn add_worker(&mut self, data_centre: DataCentreName, worker: WorkerVm) {
        self.workers.push((data_centre, worker));
    }

    /// Adds a node, or returns it to the list after it was gone; every reader sees it at once.
    pub fn add_node(&mut self, node: ListedNode) {
        let name = node.name.clone();
        self.changes
            .retain(|(_, change)| !matches!(change, Change::Node(n, _) if *n == name));
        self.nodes.insert(name, node);
    }

    /// Records the state of a worker from `now_ms` on; `None` removes it.
    pub fn change_worker(&mut self, now_ms: u64, name: WorkerName, state: Option<VmState>) {
        self.changes.push((now_ms, Change::Worker(name, state)));
    }

    /// Records the state of a node from `now_ms` on; `None` removes it.
    pub fn change_node(&mut self, now_ms: u64, name: NodeName, state: Option<VmState>) {
        self.changes.push((now_ms, Change::Node(name, state)));
    }

    /// Returns the workers of `data_centre` as they were at `seen_ms`.
    pub fn workers(&self, data_centre: &DataCentreName, seen_ms: u64) -> Vec<WorkerVm> {
        self.workers
            .iter()
            .filter(|(at, _)| at == data_centre)
            .filter_map(|(_, worker)| {
                let state = self.worker_state(&worker.name, worker.state, seen_ms)?;
                Some(WorkerVm {
                    state,
                    ..worker.clone()
                })
            })
            .collect()
    }

    /// Returns the entry VMs as they were at `seen_ms`.
    pub fn nodes(&self, seen_ms: u64) -> Vec<ListedNode> {
        self.nodes
            .values()
            .filter_map(|node| {
                let state = self.node_state(&node.name, node.state, seen_ms)?;
                Some(ListedNode {
                    state,
                    ..node.clone()
                })
            })
            .collect()
    }

    /// Returns the state of a worker after the changes up to `seen_ms`; `None` once it is gone.
    fn worker_state(&self, name: &WorkerName, first: VmState, seen_ms: u64) -> Option<VmState> {
        let mut state = Some(first);
        for (at_ms, change) in &self.changes {
            match change {
                Change::Worker(n, next) if n == name && *at_ms <= seen_ms => state = *next,
                _ => {}
            }
        }
        state
    }

    /// Returns the state of a node after the changes up to `seen_ms`; `None` once it is gone.
    fn node_state(&self, name: &NodeName, first: VmState, seen_ms: u64) -> Option<VmState> {
        let mut state = Some(first);
        for (at_ms, change) in &self.changes {
            match change {
                Change::Node(n, next) if n == name && *at_ms <= seen_ms => state = *next,
                _ => {}
            }
        }
        state
    }
}
