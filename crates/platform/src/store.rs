//! Interface of the platform's key-value service: compare-and-swap, leases and watches.

use std::future::Future;

use serde::{Deserialize, Serialize};

use crate::error::CallError;

/// Longest value that the service accepts, in bytes.
pub const VALUE_BYTES_MAX: usize = 1_000_000;

/// Version of a key; 0 means that the key does not exist.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyVersion(pub u64);

/// Lease of the service; the keys bound to it are deleted when it expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreLease(pub u64);

/// A key with its value and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Its version: the number of the service's event that last changed it.
    pub version: KeyVersion,
}

/// Outcome of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", rename_all_fields = "snake_case")]
pub enum SwapOutcome {
    /// The value was written.
    Swapped {
        /// New version of the key.
        version: KeyVersion,
    },
    /// The key has another version; nothing was written.
    Conflict {
        /// The current entry, or `None` if the key does not exist.
        current: Option<Entry>,
    },
}

/// A compare-and-swap of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Swap {
    /// The key.
    pub key: String,
    /// Version that the key must have; 0 if it must not exist.
    pub expected: KeyVersion,
    /// New value, or `None` to delete the key.
    pub value: Option<String>,
    /// Lease to bind the key to.
    pub lease: Option<StoreLease>,
}

/// Changes that a watch returns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchBatch {
    /// Entries under the prefix that were created or changed, oldest change first.
    pub changed: Vec<Entry>,
    /// Keys under the prefix that were deleted.
    pub deleted: Vec<String>,
    /// Event number to continue the watch after.
    pub next_after: KeyVersion,
}

/// Client of the key-value service.
///
/// Every call is counted and billed; a watch counts as one call however long it waits.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, CallError>> + Send;

    /// Reads all keys that start with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Entry>, CallError>> + Send;

    /// Writes or deletes one key if it has the expected version.
    fn swap(&self, swap: Swap) -> impl Future<Output = Result<SwapOutcome, CallError>> + Send;

    /// Waits up to `wait_ms` for changes under `prefix` after event `after`; the batch is empty if
    /// there are none.
    fn watch(
        &self,
        prefix: &str,
        after: KeyVersion,
        wait_ms: u64,
    ) -> impl Future<Output = Result<WatchBatch, CallError>> + Send;

    /// Creates a lease of `duration_ms`.
    fn grant_lease(
        &self,
        duration_ms: u64,
    ) -> impl Future<Output = Result<StoreLease, CallError>> + Send;

    /// Extends a lease by its duration; `false` if it has expired.
    fn renew_lease(
        &self,
        lease: StoreLease,
    ) -> impl Future<Output = Result<bool, CallError>> + Send;
}
