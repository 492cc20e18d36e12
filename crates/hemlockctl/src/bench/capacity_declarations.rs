//! Measures the cost of changes of the declarations at a given number of organisations.

use std::collections::BTreeMap;

use declarations::{
    AcceptedRevision, ChangeId, ChangeRequest, Edit, Editor, EditorStep, ItemValue, Loader,
    LoaderStep, MANIFEST_KEY, Offer, Replica, StoredEntry, SwapResult,
};
use model::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::capacity_meter::measure_cpu_us;

/// Number of changes to measure.
const CHANGES: u64 = 128;

/// Mean cost of a change at one number of organisations; times are in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DeclarationCost {
    /// Processor time of the node that makes the change.
    pub(super) editor_us: f64,
    /// Processor time of a watcher that loads the change.
    pub(super) watcher_us: f64,
    /// Processor time of a node that applies the delta of the change.
    pub(super) replica_us: f64,
    /// Store calls of the node that makes the change.
    pub(super) editor_calls: f64,
    /// Bytes of the manifest.
    pub(super) manifest_bytes: f64,
    /// Bytes that a watcher reads from the store for the change.
    pub(super) watcher_bytes: f64,
    /// Bytes of the delta of the change.
    pub(super) delta_bytes: f64,
    /// Bytes of the complete declarations, as a starting node receives them.
    pub(super) full_bytes: f64,
    /// Bytes of the index of all items, which a manifest without snapshots would contain.
    pub(super) index_bytes: f64,
}

/// An in-memory store that counts calls and bytes read.
#[derive(Debug, Default)]
struct MemoryStore {
    entries: BTreeMap<String, (u64, String)>,
    changes: u64,
    calls: u64,
    read_bytes: u64,
}

impl MemoryStore {
    fn read(&mut self, keys: &[String]) -> Vec<StoredEntry> {
        self.calls += keys.len() as u64;
        let entries: Vec<StoredEntry> = keys
            .iter()
            .filter_map(|key| {
                let (version, value) = self.entries.get(key)?;
                Some(StoredEntry {
                    key: key.clone(),
                    value: value.clone(),
                    version: *version,
                })
            })
            .collect();
        self.read_bytes += entries
            .iter()
            .map(|entry| (entry.key.len() + entry.value.len()) as u64)
            .sum::<u64>();
        entries
    }

    fn swap(&mut self, key: String, expected: u64, value: String) -> SwapResult {
        self.calls += 1;
        let current = self.entries.get(&key);
        if current.map_or(0, |(version, _)| *version) != expected {
            return SwapResult::Conflict {
                current: current.map(|(_, value)| value.clone()),
            };
        }
        self.changes += 1;
        self.entries.insert(key, (self.changes, value));
        SwapResult::Swapped
    }

    /// Runs the editor for one change, starting from the declarations `known`.
    fn apply_change(&mut self, known: AcceptedRevision, request: ChangeRequest) {
        let mut editor = Editor::new(request, known);
        loop {
            match editor.next() {
                EditorStep::Read { keys } => {
                    let entries = self.read(&keys);
                    editor.on_read(Ok(&entries));
                }
                EditorStep::Swap {
                    key,
                    expected,
                    value,
                } => {
                    let result = self.swap(key, expected, value);
                    editor.on_swap(Ok(result));
                }
                _ => return,
            }
        }
    }

    /// Loads the accepted declarations, starting from `known`.
    fn load(&mut self, known: AcceptedRevision) -> AcceptedRevision {
        let mut loader = Loader::new(known);
        while let LoaderStep::Read { keys } = loader.next() {
            let entries = self.read(&keys);
            loader.on_read(&entries);
        }
        loader.into_known()
    }
}

/// Builds an organisation of the target size: guarantees in two data centres, four classes, two
/// tokens; `None` if a name is not valid.
pub(super) fn build_sample_organisation(
    index: usize,
    accelerators: u32,
) -> Option<OrganisationSpec> {
    let guarantee = |data_centre: &str| {
        Some(Guarantee {
            data_centre: data_centre.try_into().ok()?,
            level: Level::Worker,
            count: 2,
        })
    };
    Some(OrganisationSpec {
        name: format!("organisation-{index:04}").try_into().ok()?,
        guarantees: vec![guarantee("gyor")?, guarantee("pecs")?],
        quota: Quota {
            accelerators,
            requests_in_flight: 200,
        },
        classes: build_sample_classes()
            .into_iter()
            .map(|class| class.name)
            .collect(),
        token_digests: vec![TokenDigest::of_token("a"), TokenDigest::of_token("b")],
        suspended: false,
    })
}

/// Builds the classes that the sample organisations may submit.
pub(super) fn build_sample_classes() -> Vec<ClassSpec> {
    [
        "leak-report",
        "roster-query",
        "cover-recompute",
        "rota-rebuild",
    ]
    .into_iter()
    .filter_map(|name| {
        Some(ClassSpec {
            name: name.try_into().ok()?,
            urgency: Urgency::Normal,
            expected_run_ms: 200,
            deadline_ms: 60_000,
            grace_ms: 1_000,
            idempotent: true,
            in_flight_max: 1_000_000,
            queue_max: 1_000_000,
        })
    })
    .collect()
}

fn build_change_request(id: u64, edits: Vec<Edit>) -> ChangeRequest {
    ChangeRequest {
        id: ChangeId(id),
        base: None,
        author: "operator@example".to_owned(),
        at_ms: 1_700_000_000_000 + id,
        why: "Adjust the quota for the coming week".to_owned(),
        edits,
        places: BTreeMap::new(),
        allow_delete: false,
        repeated: false,
    }
}

/// Returns the number of bytes of `value` as JSON.
fn count_json_bytes<T: serde::Serialize>(value: &T) -> f64 {
    serde_json::to_string(value).map_or(0.0, |text| text.len() as f64)
}

/// Builds a store with the declarations of `organisations` organisations.
fn build_filled_store(organisations: usize) -> MemoryStore {
    let mut store = MemoryStore::default();
    let classes = build_sample_classes().into_iter().map(ItemValue::Class);
    let specs = (0..organisations).filter_map(|index| build_sample_organisation(index, 64));
    let all = classes.chain(specs.map(ItemValue::Organisation));
    let edits = all.map(Edit::Put).collect();
    store.apply_change(AcceptedRevision::default(), build_change_request(1, edits));
    store
}

/// Builds the replica that a node holds of the declarations of `organisations` organisations.
pub(super) fn build_replica(organisations: usize) -> Replica {
    let accepted = build_filled_store(organisations).load(AcceptedRevision::default());
    let mut replica = Replica::new();
    replica.offer(0, Offer::Full(Box::new(accepted)));
    replica
}

/// Measures changes of the declarations with `organisations` organisations.
pub(super) fn measure(organisations: usize, rng: &mut Pcg32) -> DeclarationCost {
    let mut store = build_filled_store(organisations);
    let mut known = store.load(AcceptedRevision::default());
    let mut watcher = Replica::new();
    watcher.offer(0, Offer::Full(Box::new(known.clone())));
    let mut peer = watcher.clone();
    let mut cost = DeclarationCost {
        index_bytes: count_json_bytes(&known.index),
        full_bytes: count_json_bytes(&known),
        ..DeclarationCost::default()
    };
    for id in 2..CHANGES + 2 {
        let index = rng.random_range(0..organisations);
        let quota = 64 + (id % 64) as u32;
        let edits = build_sample_organisation(index, quota)
            .map(|spec| Edit::Put(ItemValue::Organisation(spec)))
            .into_iter()
            .collect();
        let calls = store.calls;
        let request = build_change_request(id, edits);
        let base = known.clone();
        let ((), us) = measure_cpu_us(|| store.apply_change(base, request));
        cost.editor_us += us;
        cost.editor_calls += (store.calls - calls) as f64;
        let read_bytes = store.read_bytes;
        let (loaded, us) = measure_cpu_us(|| store.load(known));
        known = loaded;
        cost.watcher_us += us;
        cost.watcher_bytes += (store.read_bytes - read_bytes) as f64;
        cost.manifest_bytes += store
            .entries
            .get(MANIFEST_KEY)
            .map_or(0.0, |(_, value)| value.len() as f64);
        watcher.offer(id, Offer::Full(Box::new(known.clone())));
        if let Some(offer) = watcher.offer_for(peer.revision()) {
            cost.delta_bytes += count_json_bytes(&offer);
            let (_, us) = measure_cpu_us(|| peer.offer(id, offer));
            cost.replica_us += us;
        }
    }
    let changes = CHANGES as f64;
    for sum in [
        &mut cost.editor_us,
        &mut cost.watcher_us,
        &mut cost.replica_us,
        &mut cost.editor_calls,
        &mut cost.manifest_bytes,
        &mut cost.watcher_bytes,
        &mut cost.delta_bytes,
    ] {
        *sum /= changes;
    }
    cost
}
