//! Drains workers, and returns them to service, for operators.

use std::sync::Arc;

use model::prelude::*;

use super::heartbeats::send_heartbeats;
use crate::node::Shared;

/// Timeout of the call to a node of another data centre, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 2_000;

/// Drains a worker of any data centre, or returns it to service; returns whether a data centre
/// lists it.
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

/// Drains a worker of this data centre, or returns it to service, and informs the peers; returns
/// whether it is listed.
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
