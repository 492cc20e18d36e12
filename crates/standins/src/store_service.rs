//! Simulated key-value service over HTTP, with its faults and call counts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform::store::{Swap, WatchBatch};
use platform::wire::{
    GetCall, GrantCall, ListCall, RenewCall, STORE_GET, STORE_GRANT, STORE_LIST, STORE_RENEW,
    STORE_SWAP, STORE_WATCH, WatchCall,
};
use poem::http::StatusCode;
use poem::{Body, Response};
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::connection::ConnectionTable;
use crate::respond::{Refusal, ok_reply, read_json};
use crate::store_core::{StoreCore, WriteRefusal};
use crate::worker::lock;

/// Delay of each call while the store is slow, in milliseconds.
const SLOW_MS: u64 = 2_000;

/// Longest time between two checks for expired leases while a watch waits, in milliseconds.
const WATCH_STEP_MS: u64 = 100;

/// Longest time that a watch waits, in milliseconds.
const WATCH_MS_MAX: u64 = 60_000;

/// Kind of a call to the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
enum CallKind {
    Get,
    List,
    Swap,
    Watch,
    GrantLease,
    RenewLease,
}

impl CallKind {
    /// Returns the kind of the calls to `path`; `None` if the service has no such path.
    fn from_path(path: &str) -> Option<Self> {
        match path {
            STORE_GET => Some(Self::Get),
            STORE_LIST => Some(Self::List),
            STORE_SWAP => Some(Self::Swap),
            STORE_WATCH => Some(Self::Watch),
            STORE_GRANT => Some(Self::GrantLease),
            STORE_RENEW => Some(Self::RenewLease),
            _ => None,
        }
    }

    /// Returns whether the call is billed as a write.
    const fn is_write(self) -> bool {
        matches!(self, Self::Swap | Self::GrantLease | Self::RenewLease)
    }
}

/// Call counts, as `/v1/calls` reports them.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct CallCounts {
    calls: BTreeMap<CallKind, u64>,
    bytes_written: u64,
    reads_per_second_max: u64,
    writes_per_second_max: u64,
    #[serde(skip)]
    second: u64,
    #[serde(skip)]
    reads: u64,
    #[serde(skip)]
    writes: u64,
}

impl CallCounts {
    /// Counts one call and updates the largest rates per second.
    fn record(&mut self, now_ms: u64, kind: CallKind) {
        *self.calls.entry(kind).or_default() += 1;
        let second = now_ms / 1_000;
        if second != self.second {
            self.second = second;
            self.reads = 0;
            self.writes = 0;
        }
        if kind.is_write() {
            self.writes += 1;
            self.writes_per_second_max = self.writes_per_second_max.max(self.writes);
        } else {
            self.reads += 1;
            self.reads_per_second_max = self.reads_per_second_max.max(self.reads);
        }
    }
}

/// The simulated service.
#[derive(Debug)]
pub(crate) struct StoreService {
    clock: Clock,
    core: Mutex<StoreCore>,
    counts: Mutex<CallCounts>,
    event: watch::Sender<u64>,
    connections: Arc<ConnectionTable>,
    /// Whether every call is refused.
    pub(crate) down: AtomicBool,
    /// Whether every call is delayed by [`SLOW_MS`].
    pub(crate) slow: AtomicBool,
    /// Whether calls take effect but their replies are lost.
    pub(crate) loses_answers: AtomicBool,
}

impl StoreService {
    /// Creates an empty service; `connections` are those of its callers, which it resets to lose a
    /// reply.
    pub(crate) fn new(clock: Clock, connections: Arc<ConnectionTable>) -> Self {
        Self {
            clock,
            core: Mutex::default(),
            counts: Mutex::default(),
            event: watch::Sender::new(0),
            connections,
            down: AtomicBool::new(false),
            slow: AtomicBool::new(false),
            loses_answers: AtomicBool::new(false),
        }
    }

    /// Returns the call counts up to now.
    pub(crate) fn counts(&self) -> CallCounts {
        lock(&self.counts).clone()
    }

    /// Serves a call to `path`; `None` if the service has no such path.
    pub(crate) async fn serve(
        &self,
        path: &str,
        body: Body,
        remote: Option<SocketAddr>,
    ) -> Option<Response> {
        let kind = CallKind::from_path(path)?;
        lock(&self.counts).record(self.clock.now_ms(), kind);
        if self.slow.load(Ordering::Acquire) {
            tokio::time::sleep(Duration::from_millis(SLOW_MS)).await;
        }
        if self.down.load(Ordering::Acquire) {
            return Some(unavailable().into_reply());
        }
        let response = self.apply(kind, body).await;
        if let (true, Some(remote)) = (self.loses_answers.load(Ordering::Acquire), remote) {
            self.connections.reset(remote);
        }
        Some(response.unwrap_or_else(Refusal::into_reply))
    }

    /// Decodes and applies a call.
    async fn apply(&self, kind: CallKind, body: Body) -> Result<Response, Refusal> {
        let now_ms = self.clock.now_ms();
        match kind {
            CallKind::Get => {
                let call: GetCall = read_json(body).await?;
                Ok(ok_reply(&self.with_core(|core| core.get(&call.key))))
            }
            CallKind::List => {
                let call: ListCall = read_json(body).await?;
                Ok(ok_reply(&self.with_core(|core| core.list(&call.prefix))))
            }
            CallKind::Swap => self.swap(read_json(body).await?),
            CallKind::Watch => self.watch(read_json(body).await?).await,
            CallKind::GrantLease => {
                let call: GrantCall = read_json(body).await?;
                let grant = |core: &mut StoreCore| core.grant_lease(now_ms, call.duration_ms);
                Ok(ok_reply(&self.with_core(grant)))
            }
            CallKind::RenewLease => {
                let call: RenewCall = read_json(body).await?;
                let renew = |core: &mut StoreCore| core.renew_lease(now_ms, call.lease);
                Ok(ok_reply(&self.with_core(renew)))
            }
        }
    }

    /// Expires leases, runs `f` on the state and wakes the watches after a change.
    fn with_core<T>(&self, f: impl FnOnce(&mut StoreCore) -> T) -> T {
        let mut core = lock(&self.core);
        core.expire(self.clock.now_ms());
        let result = f(&mut core);
        let event = core.event();
        drop(core);
        self.event.send_if_modified(|last| {
            let is_newer = *last < event;
            *last = event.max(*last);
            is_newer
        });
        result
    }

    /// Serves a compare-and-swap.
    fn swap(&self, swap: Swap) -> Result<Response, Refusal> {
        let len = swap.value.as_ref().map_or(0, String::len);
        lock(&self.counts).bytes_written += len as u64;
        match self.with_core(|core| core.swap(swap)) {
            Ok(outcome) => Ok(ok_reply(&outcome)),
            Err(e @ WriteRefusal::TooLong) => Err(Refusal::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too_large",
                e.to_string(),
            )),
            Err(e @ WriteRefusal::LeaseGone) => Err(Refusal::new(
                StatusCode::CONFLICT,
                "conflict",
                e.to_string(),
            )),
        }
    }

    /// Serves a watch: waits until there is a change or the wait time has passed.
    async fn watch(&self, call: WatchCall) -> Result<Response, Refusal> {
        let wait = Duration::from_millis(call.wait_ms.min(WATCH_MS_MAX));
        let deadline = Instant::now() + wait;
        let mut event = self.event.subscribe();
        loop {
            if self.down.load(Ordering::Acquire) {
                return Err(unavailable());
            }
            event.borrow_and_update();
            let batch = self.with_core(|core| core.changes(&call.prefix, call.after));
            let now = Instant::now();
            if !is_empty(&batch) || now >= deadline {
                return Ok(ok_reply(&batch));
            }
            let step = Duration::from_millis(WATCH_STEP_MS).min(deadline - now);
            let _ = tokio::time::timeout(step, event.changed()).await;
        }
    }
}

/// Returns whether a batch contains no changes.
fn is_empty(batch: &WatchBatch) -> bool {
    batch.changed.is_empty() && batch.deleted.is_empty()
}

/// Creates the refusal of a service that is down.
fn unavailable() -> Refusal {
    Refusal::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "store_unavailable",
        "the store is down; the call had no effect",
    )
}
