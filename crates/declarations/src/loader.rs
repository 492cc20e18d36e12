//! Reads the accepted configuration from the store, starting from the one that is already known.

use std::collections::BTreeMap;

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::item::DeclarationKey;
use crate::log::{AcceptedRevision, ChangeId, LogEntry};
use crate::manifest::{
    LOG_LEN_MAX, MANIFEST_KEY, Manifest, Snapshot, decode_value, snapshot_key, trim_log, value_key,
};

/// An entry that was read from the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredEntry {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Its version.
    pub version: u64,
}

/// Why a store call has no known outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallFailure {
    /// The call is unanswered; it may have taken effect.
    Unanswered,
    /// The call had no effect.
    Unavailable,
}

/// Next step of a loader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoaderStep {
    /// Read these keys; keys that do not exist are left out of the reply.
    Read {
        /// The keys.
        keys: Vec<String>,
    },
    /// The accepted configuration is loaded.
    Loaded,
    /// The store holds a malformed value.
    Malformed {
        /// Key of the value, with the error where there is one.
        detail: String,
    },
}

/// Stage of a loader.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Reading the manifest.
    Manifest,
    /// Reading the snapshot that the manifest continues.
    Snapshot(Manifest),
    /// Reading the item values that are not known yet.
    Values(Box<Target>),
    /// Finished.
    Loaded,
    /// Stopped at a malformed value; holds its key and the error.
    Malformed(String),
}

/// State to install once its missing values are read.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Target {
    revision: Revision,
    index: BTreeMap<DeclarationKey, ChangeId>,
    log: Vec<LogEntry>,
    missing: Vec<(DeclarationKey, ChangeId)>,
}

/// State machine that reads the accepted configuration.
///
/// A manifest older than the known configuration is a stale answer and is ignored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loader {
    known: AcceptedRevision,
    manifest: Manifest,
    manifest_version: u64,
    stage: Stage,
}

impl Loader {
    /// Creates a loader that starts from `known`.
    pub fn new(known: AcceptedRevision) -> Self {
        Self {
            known,
            manifest: Manifest::default(),
            manifest_version: 0,
            stage: Stage::Manifest,
        }
    }

    /// Creates a loader that starts from `known` and a manifest that a watch has delivered.
    pub fn from_manifest(known: AcceptedRevision, entry: &StoredEntry) -> Self {
        let mut loader = Self::new(known);
        loader.handle_manifest(Some(entry));
        loader
    }

    /// Returns the next step.
    pub fn next(&self) -> LoaderStep {
        match &self.stage {
            Stage::Manifest => LoaderStep::Read {
                keys: vec![MANIFEST_KEY.to_owned()],
            },
            Stage::Snapshot(manifest) => LoaderStep::Read {
                keys: vec![snapshot_key(manifest.snapshot)],
            },
            Stage::Values(target) => LoaderStep::Read {
                keys: target
                    .missing
                    .iter()
                    .map(|(key, id)| value_key(key, *id))
                    .collect(),
            },
            Stage::Loaded => LoaderStep::Loaded,
            Stage::Malformed(detail) => LoaderStep::Malformed {
                detail: detail.clone(),
            },
        }
    }

    /// Handles the reply to a read: the entries that exist among the requested keys.
    pub fn on_read(&mut self, entries: &[StoredEntry]) {
        match std::mem::replace(&mut self.stage, Stage::Manifest) {
            Stage::Manifest => {
                let entry = entries.iter().find(|entry| entry.key == MANIFEST_KEY);
                self.handle_manifest(entry);
            }
            Stage::Snapshot(manifest) => self.handle_snapshot(manifest, entries),
            Stage::Values(target) => self.handle_values(*target, entries),
            done => self.stage = done,
        }
    }

    /// Starts again from the manifest and keeps the configuration loaded so far.
    pub fn restart(&mut self) {
        self.stage = Stage::Manifest;
    }

    /// Returns the known configuration; it is the accepted one once the step is
    /// [`LoaderStep::Loaded`].
    pub const fn known(&self) -> &AcceptedRevision {
        &self.known
    }

    /// Returns the version of the manifest key at the last read; 0 when the key did not exist.
    pub const fn manifest_version(&self) -> u64 {
        self.manifest_version
    }

    /// Returns the manifest of the last read; empty when the key did not exist.
    pub const fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Consumes the loader and returns the known configuration.
    pub fn into_known(self) -> AcceptedRevision {
        self.known
    }

    fn handle_manifest(&mut self, entry: Option<&StoredEntry>) {
        let Some(entry) = entry else {
            self.manifest = Manifest::default();
            self.manifest_version = 0;
            self.stage = Stage::Loaded;
            return;
        };
        let manifest: Manifest = match serde_json::from_str(&entry.value) {
            Ok(manifest) => manifest,
            Err(e) => {
                self.stage = Stage::Malformed(format!("{MANIFEST_KEY}: {e}"));
                return;
            }
        };
        self.manifest_version = entry.version;
        self.manifest = manifest.clone();
        if manifest.revision <= self.known.revision {
            self.stage = Stage::Loaded;
        } else if manifest.snapshot > self.known.revision {
            self.stage = Stage::Snapshot(manifest);
        } else {
            let target = build_target(
                self.known.revision,
                self.known.index.clone(),
                self.known.log.clone(),
                manifest.log,
            );
            self.start_target(target);
        }
    }

    fn handle_snapshot(&mut self, manifest: Manifest, entries: &[StoredEntry]) {
        let key = snapshot_key(manifest.snapshot);
        let Some(entry) = entries.iter().find(|entry| entry.key == key) else {
            // It was removed after the manifest was read; a newer manifest names another one.
            self.stage = Stage::Manifest;
            return;
        };
        match serde_json::from_str::<Snapshot>(&entry.value) {
            Ok(snapshot) => {
                let Snapshot {
                    revision,
                    index,
                    log,
                } = snapshot;
                self.start_target(build_target(revision, index, log, manifest.log));
            }
            Err(e) => self.stage = Stage::Malformed(format!("{key}: {e}")),
        }
    }

    /// Starts reading the values that `target` needs and that are not known; installs it at once
    /// when there are none.
    fn start_target(&mut self, mut target: Target) {
        target.missing = target
            .index
            .iter()
            .filter(|(key, id)| self.known.index.get(key) != Some(id))
            .map(|(key, id)| (key.clone(), *id))
            .collect();
        if target.missing.is_empty() {
            self.install_target(target);
        } else {
            self.stage = Stage::Values(Box::new(target));
        }
    }

    fn handle_values(&mut self, target: Target, entries: &[StoredEntry]) {
        let by_key: BTreeMap<&str, &str> = entries
            .iter()
            .map(|entry| (entry.key.as_str(), entry.value.as_str()))
            .collect();
        let mut values = Vec::new();
        for (key, id) in &target.missing {
            let stored = value_key(key, *id);
            let Some(text) = by_key.get(stored.as_str()) else {
                self.stage = Stage::Manifest;
                return;
            };
            match decode_value(text) {
                Some(value) if value.key() == *key => values.push(value),
                _ => {
                    self.stage = Stage::Malformed(stored);
                    return;
                }
            }
        }
        for value in values {
            self.known.set.put(value);
        }
        self.install_target(target);
    }

    /// Installs `target` as the known configuration.
    fn install_target(&mut self, target: Target) {
        for key in self.known.index.keys() {
            if !target.index.contains_key(key) {
                self.known.set.remove(key);
            }
        }
        self.known.revision = target.revision;
        self.known.index = target.index;
        self.known.log = target.log;
        self.stage = Stage::Loaded;
    }
}

/// Builds the state after `added`; `index` and `log` already include the entries up to `revision`.
fn build_target(
    mut revision: Revision,
    mut index: BTreeMap<DeclarationKey, ChangeId>,
    mut log: Vec<LogEntry>,
    added: Vec<LogEntry>,
) -> Target {
    for entry in added {
        if entry.revision <= revision {
            continue;
        }
        revision = entry.revision;
        apply_entry(&mut index, &entry);
        log.push(entry);
    }
    trim_log(&mut log, LOG_LEN_MAX);
    Target {
        revision,
        index,
        log,
        missing: Vec::new(),
    }
}

/// Applies the items of `entry` to `index`.
pub(crate) fn apply_entry(index: &mut BTreeMap<DeclarationKey, ChangeId>, entry: &LogEntry) {
    for item in &entry.items {
        match item.after {
            Some(id) => {
                index.insert(item.key.clone(), id);
            }
            None => {
                index.remove(&item.key);
            }
        }
    }
}
