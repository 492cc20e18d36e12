//! Stored form of the declared configuration: one manifest, immutable snapshots of the index, and
//! immutable item values.
//!
//! The manifest holds only the latest log entries, so that a watch delivers a few kilobytes per
//! change. Once it is full, the next change first writes a snapshot of everything up to the
//! manifest's revision under a key of its own, and then a manifest that continues that snapshot.

use std::collections::BTreeMap;

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::item::{DeclarationKey, ItemValue};
use crate::log::{AcceptedRevision, ChangeId, LogEntry};

/// Store key of the manifest.
pub const MANIFEST_KEY: &str = "declarations/manifest";

/// Prefix of all store keys of the declared configuration.
pub const KEY_PREFIX: &str = "declarations/";

/// Number of log entries in a manifest at which the next change moves them into a snapshot.
pub const MANIFEST_LOG_LEN_MAX: usize = 32;

/// Number of changed items in a manifest's log at which the next change moves the log into a
/// snapshot.
pub const MANIFEST_ITEMS_MAX: usize = 64;

/// Maximum number of items in one change, so that its log entry fits into one store value.
pub const CHANGE_ITEMS_MAX: usize = 2_000;

/// Maximum number of log entries that a snapshot or a replica keeps.
pub const LOG_LEN_MAX: usize = 256;

/// Value of the manifest key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The accepted revision.
    pub revision: Revision,
    /// Revision of the snapshot that the log continues; 0 stands for the empty configuration.
    pub snapshot: Revision,
    /// Changes after the snapshot, oldest first.
    pub log: Vec<LogEntry>,
}

/// State of the index at one revision; every writer produces the same one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The revision.
    pub revision: Revision,
    /// For each item, the change whose value is in force.
    pub index: BTreeMap<DeclarationKey, ChangeId>,
    /// The latest changes up to the revision, oldest first.
    pub log: Vec<LogEntry>,
}

impl Snapshot {
    /// Creates the snapshot of `accepted`.
    pub fn of(accepted: &AcceptedRevision) -> Self {
        Self {
            revision: accepted.revision,
            index: accepted.index.clone(),
            log: accepted.log.clone(),
        }
    }
}

/// Returns the store key of the snapshot at `revision`.
pub fn snapshot_key(revision: Revision) -> String {
    format!("{KEY_PREFIX}snapshots/{revision}")
}

/// Returns the store key of the value that change `id` gave to the item `key`.
pub fn value_key(key: &DeclarationKey, id: ChangeId) -> String {
    format!("{KEY_PREFIX}values/{key}/{id}")
}

/// Encodes a value as JSON for the store.
pub(crate) fn encode<T: Serialize>(value: &T) -> String {
    // The types have string keys and infallible serialisers, so this does not fail.
    serde_json::to_string(value).unwrap_or_default()
}

/// Decodes the value of an item; `None` when `text` is malformed.
pub(crate) fn decode_value(text: &str) -> Option<ItemValue> {
    serde_json::from_str(text).ok()
}

/// Removes the oldest entries until at most `len_max` are left.
pub(crate) fn trim_log(log: &mut Vec<LogEntry>, len_max: usize) {
    let excess = log.len().saturating_sub(len_max);
    log.drain(..excess);
}
