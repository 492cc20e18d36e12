//! State of the simulated key-value service: versions, compare-and-swap, leases and changes for
//! watches, without I/O.

use std::collections::BTreeMap;

use platform::store::{
    Entry, KeyVersion, StoreLease, Swap, SwapOutcome, VALUE_BYTES_MAX, WatchBatch,
};
use thiserror::Error;

/// Reason to refuse a write regardless of the version of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum WriteRefusal {
    /// The value is too long.
    #[error("a value has at most {VALUE_BYTES_MAX} bytes")]
    TooLong,
    /// The lease does not exist or has expired.
    #[error("the lease does not exist or has lapsed")]
    LeaseGone,
}

/// A key that exists.
#[derive(Debug)]
struct StoredValue {
    value: String,
    version: KeyVersion,
    lease: Option<StoreLease>,
}

/// A lease that has not expired.
#[derive(Debug)]
struct Lease {
    duration_ms: u64,
    expires_ms: u64,
}

/// State of the service; every change of a key is a numbered event.
#[derive(Debug, Default)]
pub struct StoreCore {
    event: u64,
    keys: BTreeMap<String, StoredValue>,
    deletions: BTreeMap<String, u64>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl StoreCore {
    /// Returns the number of the last event.
    pub const fn event(&self) -> u64 {
        self.event
    }

    /// Removes the leases that have expired at `now_ms` and deletes their keys.
    pub fn expire(&mut self, now_ms: u64) {
        let expired = self.leases.iter().filter(|(_, l)| l.expires_ms <= now_ms);
        let expired: Vec<u64> = expired.map(|(&id, _)| id).collect();
        for id in expired {
            self.leases.remove(&id);
            self.delete_keys_of(StoreLease(id));
        }
    }

    /// Deletes the keys that are bound to `lease`.
    fn delete_keys_of(&mut self, lease: StoreLease) {
        let bound = self.keys.iter().filter(|(_, s)| s.lease == Some(lease));
        let bound: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in bound {
            self.delete(&key);
        }
    }

    /// Deletes one key as a new event.
    fn delete(&mut self, key: &str) {
        self.event += 1;
        self.keys.remove(key);
        self.deletions.insert(key.to_owned(), self.event);
    }

    /// Reads one key.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.keys.get(key).map(|stored| make_entry(key, stored))
    }

    /// Reads all keys that start with `prefix`, in order.
    pub fn list(&self, prefix: &str) -> Vec<Entry> {
        self.entries_with_prefix(prefix).collect()
    }

    /// Returns the entries of the keys that start with `prefix`, in order.
    fn entries_with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = Entry> + 'a {
        self.keys
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| make_entry(key, stored))
    }

    /// Writes or deletes one key if it has the expected version.
    ///
    /// # Errors
    ///
    /// The value is too long, or the lease does not exist or has expired; nothing was written.
    pub fn swap(&mut self, swap: Swap) -> Result<SwapOutcome, WriteRefusal> {
        let is_too_long = |value: &String| value.len() > VALUE_BYTES_MAX;
        if swap.value.as_ref().is_some_and(is_too_long) {
            return Err(WriteRefusal::TooLong);
        }
        let is_expired = |lease: StoreLease| !self.leases.contains_key(&lease.0);
        if swap.lease.is_some_and(is_expired) {
            return Err(WriteRefusal::LeaseGone);
        }
        let current = self.keys.get(&swap.key);
        let version = current.map_or(KeyVersion(0), |stored| stored.version);
        if version != swap.expected {
            let current = self.get(&swap.key);
            return Ok(SwapOutcome::Conflict { current });
        }
        match swap.value {
            Some(value) => self.write(swap.key, value, swap.lease),
            None => self.delete(&swap.key),
        }
        let version = KeyVersion(self.event);
        Ok(SwapOutcome::Swapped { version })
    }

    /// Writes one key as a new event.
    fn write(&mut self, key: String, value: String, lease: Option<StoreLease>) {
        self.event += 1;
        self.deletions.remove(&key);
        let stored = StoredValue {
            value,
            version: KeyVersion(self.event),
            lease,
        };
        self.keys.insert(key, stored);
    }

    /// Returns the changes under `prefix` after event `after`; a key that changed repeatedly is
    /// listed once.
    pub fn changes(&self, prefix: &str, after: KeyVersion) -> WatchBatch {
        let is_newer = |entry: &Entry| entry.version > after;
        let mut changed: Vec<Entry> = self.entries_with_prefix(prefix).filter(is_newer).collect();
        changed.sort_by_key(|entry| entry.version);
        let deleted = self
            .deletions
            .iter()
            .filter(|&(key, &event)| key.starts_with(prefix) && event > after.0)
            .map(|(key, _)| key.clone())
            .collect();
        WatchBatch {
            changed,
            deleted,
            next_after: KeyVersion(self.event),
        }
    }

    /// Creates a lease of `duration_ms`.
    pub fn grant_lease(&mut self, now_ms: u64, duration_ms: u64) -> StoreLease {
        self.next_lease += 1;
        let stored = Lease {
            duration_ms,
            expires_ms: now_ms.saturating_add(duration_ms),
        };
        self.leases.insert(self.next_lease, stored);
        StoreLease(self.next_lease)
    }

    /// Extends a lease by its duration; `false` if it has expired.
    pub fn renew_lease(&mut self, now_ms: u64, lease: StoreLease) -> bool {
        let Some(stored) = self.leases.get_mut(&lease.0) else {
            return false;
        };
        stored.expires_ms = now_ms.saturating_add(stored.duration_ms);
        true
    }
}

/// Builds the entry of a key.
fn make_entry(key: &str, stored: &StoredValue) -> Entry {
    Entry {
        key: key.to_owned(),
        value: stored.value.clone(),
        version: stored.version,
    }
}
