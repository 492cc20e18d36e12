//! Drains workers on behalf of operators.

use std::sync::Arc;

use model::prelude::*;

use super::heartbeats::send_heartbeats;
use crate::node::Shared;

/// Time that a node of another data centre has to take the command, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 2_000;

/// Drains or returns a worker of any data centre; yields whether one lists it.
pub(crate) async fn drain_worker(
    shared: &Arc<Shared>,
    worker: &WorkerName,
    is_drained: bool,
) -> bool {
    if drain_local(shared, worker, is_drained) {
        return true;
    }
    let others = shared.settings.topology.data_centres();
    for data_centre in others.filter(|name| **name != shared.settings.data_centre) {
        let Some(node) = shared.members.peer_in(data_centre, &shared.settings.node) else {
            continue;
        };
        let call = shared
            .peers
            .call(&node, DRAIN_TIMEOUT_MS, async |client, context| {
                client
                    .drain_worker(context, worker.clone(), is_drained)
                    .await
            });
        if call.await == Ok(true) {
            return true;
        }
    }
    false
}

/// Drains or returns a worker of this data centre and tells the peers; yields whether it is listed.
pub(crate) fn drain_local(shared: &Arc<Shared>, worker: &WorkerName, is_drained: bool) -> bool {
    {
        let mut view = shared.members.workers();
        if !view.listed.contains_key(worker) {
            return false;
        }
        let node = &shared.settings.node;
        if is_drained {
            view.machine.drain(worker, node);
        } else {
            view.machine.undrain(worker, node);
        }
    }
    shared.handle_worker_events();
    send_heartbeats(shared);
    true
}
