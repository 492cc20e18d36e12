//! A planned stop: waits for its signal, and for the node to become idle after it.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::log::Log;
use crate::node::Node;

/// How long a node keeps taking calls after SIGTERM: the load balancer notices after two checks, a second apart.
const KEEP_SERVING_MS: u64 = 2_600;

/// Part of the time that the platform gives a stopping process reserved for the exit itself.
const EXIT_MARGIN_MS: u64 = 500;

/// How often a stopping node checks whether it is idle.
const POLL_MS: u64 = 20;

/// The signals that a node handles.
#[derive(Debug)]
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl StopSignals {
    /// Installs the signal handlers.
    pub fn listen() -> std::io::Result<StopSignals> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP is only logged: a changed settings file takes effect at the next start.
    pub async fn wait(mut self, log: &Log) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => log.general("node", "reload asked for, nothing to reload", &[]),
            }
        }
    }
}

/// Keeps serving until the load balancer sends no new calls and all calls are answered, or the time for stopping is
/// used up.
pub(crate) async fn wait_until_idle(node: &Node) {
    let grace_ms = (node.settings.bounds.stop_s * 1000.0) as u64;
    let max_ms = grace_ms.saturating_sub(EXIT_MARGIN_MS);
    let min_ms = KEEP_SERVING_MS.min(max_ms);
    let mut waited_ms = 0;
    while waited_ms < min_ms
        || (node.active_requests.load(Ordering::Relaxed) > 0 && waited_ms < max_ms)
    {
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
        waited_ms += POLL_MS;
    }
}
