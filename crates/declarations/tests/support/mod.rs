//! Fixtures: organisations, change requests and an in-memory store.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;

use declarations::{
    AcceptedRevision, ChangeId, ChangeRequest, DeclarationSet, Edit, Editor, EditorStep, ItemValue,
    Loader, LoaderStep, StoredEntry, SwapResult,
};
use model::prelude::*;

/// Creates an organisation with a quota and no guarantees.
pub fn organisation(name: &str, accelerators: u32) -> OrganisationSpec {
    OrganisationSpec {
        name: name.try_into().unwrap(),
        guarantees: Vec::new(),
        quota: Quota {
            accelerators,
            requests_in_flight: 10,
        },
        classes: Vec::new(),
        token_digests: Vec::new(),
        suspended: false,
    }
}

/// Creates the edit that puts such an organisation.
pub fn put(name: &str, accelerators: u32) -> Edit {
    Edit::Put(ItemValue::Organisation(organisation(name, accelerators)))
}

/// Creates a change request with these edits.
pub fn request(id: u64, base: Option<u64>, edits: Vec<Edit>) -> ChangeRequest {
    ChangeRequest {
        id: ChangeId(id),
        base: base.map(Revision),
        author: format!("operator-{id}"),
        at_ms: 1_000 + id,
        why: "test".to_owned(),
        edits,
        places: BTreeMap::new(),
        allow_delete: true,
        repeated: false,
    }
}

/// In-memory store of versioned keys; a version is the number of the write that set the value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct MemoryStore {
    entries: BTreeMap<String, (u64, Arc<str>)>,
    writes: u64,
    /// Number of keys read and swaps tried so far.
    pub calls: u64,
}

impl MemoryStore {
    /// Returns the entries that exist among `keys`.
    pub fn read(&mut self, keys: &[String]) -> Vec<StoredEntry> {
        self.calls += keys.len() as u64;
        keys.iter().filter_map(|key| self.entry(key)).collect()
    }

    /// Returns the entry of `key`.
    pub fn entry(&self, key: &str) -> Option<StoredEntry> {
        let (version, value) = self.entries.get(key)?;
        Some(StoredEntry {
            key: key.to_owned(),
            value: value.to_string(),
            version: *version,
        })
    }

    /// Writes `value` if `key` has version `expected`; 0 stands for a missing key.
    pub fn swap(&mut self, key: &str, expected: u64, value: &str) -> SwapResult {
        self.calls += 1;
        let current = self.entries.get(key);
        if current.map_or(0, |(version, _)| *version) != expected {
            return SwapResult::Conflict {
                current: current.map(|(_, value)| value.to_string()),
            };
        }
        self.writes += 1;
        self.entries
            .insert(key.to_owned(), (self.writes, value.into()));
        SwapResult::Swapped
    }

    /// Returns the length of the value of `key`, in bytes.
    pub fn len_bytes(&self, key: &str) -> usize {
        self.entries.get(key).map_or(0, |(_, value)| value.len())
    }
}

/// Loads the accepted configuration, starting from `known`.
pub fn load(store: &mut MemoryStore, known: AcceptedRevision) -> AcceptedRevision {
    let mut loader = Loader::new(known);
    loop {
        match loader.next() {
            LoaderStep::Read { keys } => {
                let entries = store.read(&keys);
                loader.on_read(&entries);
            }
            LoaderStep::Loaded => return loader.into_known(),
            LoaderStep::Malformed { detail } => panic!("{detail}"),
        }
    }
}

/// Applies one change without faults; returns its outcome and what the editor has read.
pub fn run_change(
    store: &mut MemoryStore,
    known: AcceptedRevision,
    request: ChangeRequest,
) -> (EditorStep, AcceptedRevision) {
    let mut editor = Editor::new(request, known);
    loop {
        match editor.next() {
            EditorStep::Read { keys } => {
                let entries = store.read(&keys);
                editor.on_read(Ok(&entries));
            }
            EditorStep::Swap {
                key,
                expected,
                value,
            } => {
                let result = store.swap(&key, expected, &value);
                editor.on_swap(Ok(result));
            }
            ended => return (ended, editor.known().clone()),
        }
    }
}

/// Applies `edits` to an empty set.
pub fn set_of(edits: &[Edit]) -> DeclarationSet {
    let mut set = DeclarationSet::default();
    for edit in edits {
        match edit {
            Edit::Put(value) => set.put(value.clone()),
            Edit::Delete(key) => set.remove(key),
        }
    }
    set
}
