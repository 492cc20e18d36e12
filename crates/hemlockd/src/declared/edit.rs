//! Makes a change of the declarations: performs the store calls that the editor state machine asks
//! for.

use std::sync::Arc;
use std::time::Duration;

use declarations::{
    CallFailure, ChangeConflict, ChangeRequest, Editor, EditorStep, Offer, StoredEntry, SwapResult,
};
use futures::future::try_join_all;
use model::prelude::*;
use platform::error::CallError;
use platform::store::{Entry, KeyVersion, Store, Swap, SwapOutcome};
use thiserror::Error;

use super::propagate::notify_peers;
use crate::node::Shared;
use crate::telemetry::metrics::retry_counter;

/// Timeout of a change, in milliseconds.
const EDIT_TIMEOUT_MS: u64 = 15_000;

/// Initial backoff after a store call without an outcome, in milliseconds.
const BACKOFF_MS: u64 = 20;

/// Maximum backoff after a store call without an outcome, in milliseconds.
const BACKOFF_MS_MAX: u64 = 1_000;

/// Why a change was not accepted, or why it is unknown whether it was.
#[derive(Debug, Error)]
pub enum EditError {
    /// A concurrent change of the same items was accepted first.
    #[error("{0}")]
    Conflict(Box<ChangeConflict>),
    /// The change is not valid.
    #[error("{0}")]
    Rejected(Findings),
    /// The store is unresponsive, and the change was not written.
    #[error("the store does not answer; nothing was changed")]
    Unavailable,
    /// The store is unresponsive, and the change may have been written.
    #[error("the store does not answer; the change may take effect: repeat it with the same id")]
    MayApply,
}

/// Makes a change and activates it on this node; returns its revision.
///
/// # Errors
///
/// The change was not accepted, or it is unknown whether it was.
pub(crate) async fn make_change(
    shared: &Arc<Shared>,
    request: ChangeRequest,
) -> Result<Revision, EditError> {
    let mut may_apply = request.repeated;
    let mut editor = Editor::new(request, shared.declared.accepted());
    let until_ms = shared.clock.now_ms() + EDIT_TIMEOUT_MS;
    loop {
        let retries = editor.retries();
        match editor.next() {
            EditorStep::Read { keys } => {
                let reply = read_keys(shared, &keys).await;
                editor.on_read(reply.as_deref().map_err(|e| *e));
            }
            EditorStep::Swap {
                key,
                expected,
                value,
            } => {
                let reply = swap_key(shared, key, expected, value).await;
                may_apply |= matches!(reply, Err(CallFailure::Unanswered));
                editor.on_swap(reply);
            }
            EditorStep::Done(revision) => {
                let known = editor.known().clone();
                activate_and_notify(shared, known, revision).await;
                return Ok(revision);
            }
            EditorStep::Conflict(conflict) => return Err(EditError::Conflict(conflict)),
            EditorStep::Rejected(findings) => return Err(EditError::Rejected(findings)),
            EditorStep::Unavailable { may_apply: false } => return Err(EditError::Unavailable),
            EditorStep::Unavailable { may_apply: true } | EditorStep::Undecided => {
                return Err(EditError::MayApply);
            }
        }
        if editor.retries() > retries {
            if shared.clock.now_ms() > until_ms {
                return Err(if may_apply {
                    EditError::MayApply
                } else {
                    EditError::Unavailable
                });
            }
            pause(shared, editor.retries()).await;
        }
    }
}

/// Activates an accepted change on this node and notifies the peers.
async fn activate_and_notify(
    shared: &Arc<Shared>,
    known: declarations::AcceptedRevision,
    revision: Revision,
) {
    if known.revision >= revision {
        shared.activate(Offer::Full(Box::new(known)));
    } else {
        // The editor knows only the state before its own change, so the store is read once more.
        super::watch::load(shared, None).await;
    }
    notify_peers(shared);
}

/// Waits before the next store call, with exponential backoff and jitter.
async fn pause(shared: &Shared, retries: u32) {
    shared
        .metrics
        .count(&retry_counter(RetryReason::StoreUnavailable));
    let backoff_ms = BACKOFF_MS << retries.min(6);
    let jittered_ms = rand::random_range(backoff_ms / 2..=backoff_ms).min(BACKOFF_MS_MAX);
    tokio::time::sleep(Duration::from_millis(jittered_ms)).await;
}

/// Reads keys; keys that do not exist are omitted.
pub(super) async fn read_keys(
    shared: &Shared,
    keys: &[String],
) -> Result<Vec<StoredEntry>, CallFailure> {
    shared.metrics.count_many("store.reads", keys.len() as u64);
    let reads = keys.iter().map(|key| shared.store.get(key));
    let entries = try_join_all(reads).await.map_err(|e| to_call_failure(&e))?;
    Ok(entries.into_iter().flatten().map(to_stored_entry).collect())
}

/// Writes one key with compare-and-swap.
async fn swap_key(
    shared: &Shared,
    key: String,
    expected: u64,
    value: String,
) -> Result<SwapResult, CallFailure> {
    shared.metrics.count("store.writes");
    let swap = Swap {
        key,
        expected: KeyVersion(expected),
        value: Some(value),
        lease: None,
    };
    match shared.store.swap(swap).await {
        Ok(SwapOutcome::Swapped { .. }) => Ok(SwapResult::Swapped),
        Ok(SwapOutcome::Conflict { current }) => Ok(SwapResult::Conflict {
            current: current.map(|entry| entry.value),
        }),
        Err(e) => {
            if !e.is_without_effect() {
                shared
                    .metrics
                    .count(&retry_counter(RetryReason::StoreAnswerLost));
            }
            Err(to_call_failure(&e))
        }
    }
}

/// Maps a failed call to what the editor state machine needs to know.
fn to_call_failure(error: &CallError) -> CallFailure {
    if error.is_without_effect() {
        CallFailure::Unavailable
    } else {
        CallFailure::Unanswered
    }
}

/// Converts an entry of the store for the state machines.
pub(super) fn to_stored_entry(entry: Entry) -> StoredEntry {
    StoredEntry {
        key: entry.key,
        value: entry.value,
        version: entry.version.0,
    }
}
