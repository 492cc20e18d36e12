//! Watches the manifest in the store. One node per data centre watches; the others learn of changes
//! from it.

use std::sync::Arc;
use std::time::Duration;

use declarations::{KEY_PREFIX, Loader, LoaderStep, MANIFEST_KEY, Offer, StoredEntry};
use membership::rendezvous::RackGroup;
use model::prelude::*;
use platform::store::{KeyVersion, Store};

use super::edit::{read_keys, to_stored_entry};
use super::propagate::notify_peers;
use crate::node::Shared;

/// Time for which one watch call waits for changes, in milliseconds.
const WATCH_WAIT_MS: u64 = 10_000;

/// Interval between two checks whether this node is the watcher, in milliseconds.
const ROLE_POLL_MS: u64 = 250;

/// Initial backoff after a failed watch, in milliseconds.
const BACKOFF_MS: u64 = 100;

/// Maximum backoff after a failed watch, in milliseconds.
const BACKOFF_MS_MAX: u64 = 3_000;

/// Index of the rendezvous group that elects the watcher.
const WATCHER_GROUP: u32 = u32::MAX;

/// Watches while this node is the watcher of its data centre or has no declarations yet; runs until
/// the node ends.
pub(crate) async fn run_watch(shared: Arc<Shared>) {
    let mut after = None;
    let mut failures = 0;
    loop {
        if !is_watcher(&shared) && shared.snapshot().revision > Revision::default() {
            after = None;
            tokio::time::sleep(Duration::from_millis(ROLE_POLL_MS)).await;
            continue;
        }
        match watch_once(&shared, after).await {
            Some(next) => {
                failures = 0;
                after = Some(next);
            }
            None => {
                failures += 1;
                after = None;
                pause(failures).await;
            }
        }
    }
}

/// Returns whether this node watches the store for its data centre.
pub(crate) fn is_watcher(shared: &Shared) -> bool {
    let data_centre = shared.settings.data_centre.clone();
    let group = RackGroup {
        data_centre,
        index: WATCHER_GROUP,
    };
    let now_ms = shared.clock.now_ms();
    shared.members.peers().planner_of(now_ms, &group) == Some(&shared.settings.node)
}

/// Reads the manifest, or watches it once; returns the event to continue from, `None` if the store
/// fails.
async fn watch_once(shared: &Arc<Shared>, after: Option<KeyVersion>) -> Option<KeyVersion> {
    let Some(after) = after else {
        return load(shared, None).await;
    };
    shared.metrics.count("store.watches");
    let batch = shared
        .store
        .watch(MANIFEST_KEY, after, WATCH_WAIT_MS)
        .await
        .ok()?;
    match batch
        .changed
        .into_iter()
        .rfind(|entry| entry.key == MANIFEST_KEY)
    {
        Some(entry) => {
            load(shared, Some(to_stored_entry(entry))).await?;
            Some(batch.next_after)
        }
        None => {
            let revision = shared.snapshot().revision;
            shared.declared.confirm(shared.clock.now_ms(), revision, 0);
            Some(batch.next_after)
        }
    }
}

/// Loads the accepted declarations, from `manifest` or from the store, and activates them.
///
/// Returns the version of the manifest, which is the event to continue from; `None` if the store
/// fails.
pub(super) async fn load(
    shared: &Arc<Shared>,
    manifest: Option<StoredEntry>,
) -> Option<KeyVersion> {
    let known = shared.declared.accepted();
    let mut loader = match &manifest {
        Some(entry) => Loader::from_manifest(known, entry),
        None => Loader::new(known),
    };
    loop {
        match loader.next() {
            LoaderStep::Read { keys } => match read_keys(shared, &keys).await {
                Ok(entries) => loader.on_read(&entries),
                Err(_) => return None,
            },
            LoaderStep::Loaded => break,
            LoaderStep::Malformed { detail } => {
                log::error!(target: "declared", "Cannot load declarations, the store is malformed under {KEY_PREFIX}: {detail}.");
                return None;
            }
        }
    }
    let version = KeyVersion(loader.manifest_version());
    let accepted = loader.into_known();
    let revision = accepted.revision;
    if shared.activate(Offer::Full(Box::new(accepted))) {
        notify_peers(shared);
    }
    shared.declared.confirm(shared.clock.now_ms(), revision, 0);
    Some(version)
}

/// Waits before the next try, with exponential backoff and jitter.
async fn pause(failures: u32) {
    let backoff_ms = (BACKOFF_MS << failures.min(5)).min(BACKOFF_MS_MAX);
    let jittered_ms = rand::random_range(backoff_ms / 2..=backoff_ms);
    tokio::time::sleep(Duration::from_millis(jittered_ms)).await;
}
