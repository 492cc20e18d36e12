//! Applies one change to the stored configuration: a state machine that returns the next store call
//! and is given its outcome.
//!
//! The item values are written first, each under a key of its own that nothing refers to yet. One
//! compare-and-swap of the manifest then makes the whole change take effect. When that swap is
//! unanswered, the manifest is read again: a later version without the change proves that the swap
//! failed, and at the same version the swap can safely be repeated.

use model::prelude::*;

use crate::check::check_set;
use crate::item::{DeclarationKey, Edit, ItemValue};
use crate::loader::{CallFailure, Loader, LoaderStep, StoredEntry};
use crate::log::{AcceptedRevision, LogEntry, LogItem};
use crate::manifest::{
    CHANGE_ITEMS_MAX, MANIFEST_ITEMS_MAX, MANIFEST_KEY, MANIFEST_LOG_LEN_MAX, Manifest, Snapshot,
    encode, snapshot_key, value_key,
};
use crate::request::{ChangeConflict, ChangeRequest, ContestedItem};
use crate::set::DeclarationSet;

/// Limits of an editor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EditorLimits {
    /// Maximum number of retries, caused by failed or unanswered store calls and by stale or
    /// concurrently changed manifests.
    pub retries_max: u32,
    /// Number of log entries in a manifest at which the next change moves them into a snapshot.
    pub manifest_log_len_max: usize,
    /// Number of changed items in a manifest's log at which the next change moves the log into a
    /// snapshot.
    pub manifest_items_max: usize,
}

impl Default for EditorLimits {
    fn default() -> Self {
        Self {
            retries_max: 24,
            manifest_log_len_max: MANIFEST_LOG_LEN_MAX,
            manifest_items_max: MANIFEST_ITEMS_MAX,
        }
    }
}

/// Next step of an editor, or the outcome of its change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditorStep {
    /// Read these keys; keys that do not exist are left out of the reply.
    Read {
        /// The keys.
        keys: Vec<String>,
    },
    /// Write one key by compare-and-swap.
    Swap {
        /// The key.
        key: String,
        /// Version that the key must have; 0 when the key must not exist.
        expected: u64,
        /// The new value.
        value: String,
    },
    /// The change is accepted; holds its revision, or the accepted one when the change has no
    /// effect.
    Done(Revision),
    /// A conflicting change was accepted first; this one was not applied.
    Conflict(Box<ChangeConflict>),
    /// The change is invalid and was not applied.
    Rejected(Findings),
    /// The store does not answer; all retries are used.
    Unavailable {
        /// Whether the change may have taken effect or may yet do so.
        may_apply: bool,
    },
    /// The log no longer reaches back far enough to tell whether the change was applied.
    Undecided,
}

/// Outcome of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum SwapResult {
    /// The value was written.
    Swapped,
    /// The key has another version; nothing was written.
    Conflict {
        /// The current value, or `None` when the key does not exist.
        current: Option<String>,
    },
}

/// Stage of an editor.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Reading the accepted configuration.
    Loading,
    /// Writing the item values.
    Writing(Draft),
    /// Writing the snapshot.
    Snapshotting(Draft),
    /// Swapping the manifest.
    Swapping(Draft),
    /// Finished; holds the outcome.
    Ended(EditorStep),
}

/// The change, built on top of the accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Draft {
    /// Item values that are still to be written; the last one is next.
    values: Vec<ItemValue>,
    /// Log entry of the change.
    entry: LogEntry,
}

/// State machine that applies one change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Editor {
    request: ChangeRequest,
    limits: EditorLimits,
    base: Option<Revision>,
    loader: Loader,
    stage: Stage,
    /// Expected manifest version of an unanswered swap.
    unanswered_swap_version: Option<u64>,
    retries: u32,
}

impl Editor {
    /// Creates an editor for `request` that starts from the configuration that this node knows.
    pub fn new(request: ChangeRequest, known: AcceptedRevision) -> Self {
        Self::with_limits(request, known, EditorLimits::default())
    }

    /// Creates an editor with other limits than the default ones.
    pub fn with_limits(
        request: ChangeRequest,
        known: AcceptedRevision,
        limits: EditorLimits,
    ) -> Self {
        Self {
            limits,
            base: request.base,
            request,
            loader: Loader::new(known),
            stage: Stage::Loading,
            unanswered_swap_version: None,
            retries: 0,
        }
    }

    /// Returns the next step, or the outcome of the change.
    pub fn next(&self) -> EditorStep {
        match &self.stage {
            Stage::Loading => match self.loader.next() {
                LoaderStep::Read { keys } => EditorStep::Read { keys },
                LoaderStep::Loaded => EditorStep::Undecided,
                LoaderStep::Malformed { detail } => EditorStep::Rejected(self.make_finding(detail)),
            },
            Stage::Writing(draft) => self.build_write_step(draft),
            Stage::Snapshotting(_) => {
                let known = self.loader.known();
                EditorStep::Swap {
                    key: snapshot_key(known.revision),
                    expected: 0,
                    value: encode(&Snapshot::of(known)),
                }
            }
            Stage::Swapping(draft) => EditorStep::Swap {
                key: MANIFEST_KEY.to_owned(),
                expected: self.loader.manifest_version(),
                value: encode(&self.build_manifest(draft)),
            },
            Stage::Ended(step) => step.clone(),
        }
    }

    /// Returns the accepted configuration as far as this editor has read it.
    pub const fn known(&self) -> &AcceptedRevision {
        self.loader.known()
    }

    /// Returns the number of retries so far, from which callers derive their backoff.
    pub const fn retries(&self) -> u32 {
        self.retries
    }

    /// Handles the reply to a read.
    pub fn on_read(&mut self, reply: Result<&[StoredEntry], CallFailure>) {
        if !matches!(self.stage, Stage::Loading) {
            return;
        }
        match reply {
            Ok(entries) => {
                let step_before = self.loader.next();
                self.loader.on_read(entries);
                if self.loader.next() == step_before {
                    // A key was removed between two reads; counting it bounds the repetition.
                    self.count_retry();
                }
                if self.loader.next() == LoaderStep::Loaded {
                    self.decide();
                }
            }
            Err(_) => self.count_retry(),
        }
    }

    /// Handles the reply to a swap.
    pub fn on_swap(&mut self, reply: Result<SwapResult, CallFailure>) {
        let stage = std::mem::replace(&mut self.stage, Stage::Loading);
        match (stage, reply) {
            (Stage::Writing(draft), Ok(result)) => self.on_value_written(draft, result),
            (Stage::Snapshotting(draft), Ok(_)) => self.stage = Stage::Swapping(draft),
            (Stage::Swapping(draft), Ok(SwapResult::Swapped)) => {
                self.stage = Stage::Ended(EditorStep::Done(draft.entry.revision));
            }
            (Stage::Swapping(_), Ok(SwapResult::Conflict { .. })) => self.reload(),
            (Stage::Swapping(_), Err(CallFailure::Unanswered)) => {
                self.unanswered_swap_version = Some(self.loader.manifest_version());
                self.reload();
            }
            (ended @ Stage::Ended(_), _) => self.stage = ended,
            (stage, Err(_)) => {
                self.stage = stage;
                self.count_retry();
            }
            (stage @ Stage::Loading, Ok(_)) => self.stage = stage,
        }
    }

    /// Continues after the write of an item value; a value that already exists has to be equal.
    fn on_value_written(&mut self, mut draft: Draft, result: SwapResult) {
        let written = draft.values.pop();
        let is_different = match (result, &written) {
            (SwapResult::Conflict { current }, Some(value)) => {
                // Written by an unanswered call of this editor, or by an earlier attempt.
                self.request.repeated = true;
                current.is_some_and(|text| text != encode(value))
            }
            _ => false,
        };
        self.stage = if is_different {
            let message = "the identifier was used for a change with another content";
            Stage::Ended(EditorStep::Rejected(self.make_finding(message.to_owned())))
        } else {
            self.choose_stage(draft)
        };
    }

    /// Reads the manifest again and counts a retry.
    fn reload(&mut self) {
        self.stage = Stage::Loading;
        self.loader.restart();
        self.count_retry();
    }

    /// Counts a retry; ends the change as unavailable after too many.
    fn count_retry(&mut self) {
        self.retries += 1;
        if self.retries > self.limits.retries_max {
            let may_apply = self.request.repeated || self.unanswered_swap_version.is_some();
            self.stage = Stage::Ended(EditorStep::Unavailable { may_apply });
        }
    }

    /// Chooses the next stage once the accepted configuration is loaded.
    fn decide(&mut self) {
        let known = self.loader.known();
        if let Some(entry) = known.entry_of(self.request.id) {
            self.stage = Stage::Ended(EditorStep::Done(entry.revision));
            return;
        }
        let is_behind_base = self.base.is_some_and(|base| base > known.revision);
        if self.loader.manifest().revision < known.revision || is_behind_base {
            // The store returned a stale manifest.
            self.reload();
            return;
        }
        if self
            .unanswered_swap_version
            .is_some_and(|version| self.loader.manifest_version() > version)
        {
            if !self.is_log_covering_base() {
                self.stage = Stage::Ended(EditorStep::Undecided);
                return;
            }
            self.unanswered_swap_version = None;
        }
        self.stage = match self.build_draft() {
            Ok(draft) => self.choose_stage(draft),
            Err(step) => Stage::Ended(step),
        };
    }

    /// Returns whether the log holds every change since the author's revision.
    fn is_log_covering_base(&self) -> bool {
        let known = self.loader.known();
        match self.base {
            Some(base) => known.entries_after(base).is_some(),
            None => known.is_log_complete(),
        }
    }

    /// Returns the stage for `draft`: its remaining values first, then a snapshot if the manifest
    /// is full, then the manifest.
    fn choose_stage(&self, draft: Draft) -> Stage {
        if !draft.values.is_empty() {
            Stage::Writing(draft)
        } else if self.is_manifest_full() {
            Stage::Snapshotting(draft)
        } else {
            Stage::Swapping(draft)
        }
    }

    /// Builds the step that writes the next item value.
    fn build_write_step(&self, draft: &Draft) -> EditorStep {
        match draft.values.last() {
            Some(value) => EditorStep::Swap {
                key: value_key(&value.key(), self.request.id),
                expected: 0,
                value: encode(value),
            },
            None => EditorStep::Undecided,
        }
    }

    /// Builds the change on top of the accepted configuration, or returns its outcome if it ends
    /// here.
    fn build_draft(&mut self) -> Result<Draft, EditorStep> {
        self.check_age()?;
        let known = self.loader.known();
        let base = *self.base.get_or_insert(known.revision);
        self.check_conflict(base)?;
        let known = self.loader.known();
        let wanted = self.build_wanted_set();
        let findings = self.check_wanted(&wanted);
        if !findings.is_empty() {
            return Err(EditorStep::Rejected(findings));
        }
        let mut keys: Vec<DeclarationKey> = self.request.edits.iter().map(Edit::key).collect();
        keys.sort();
        keys.dedup();
        keys.retain(|key| known.set.item(key) != wanted.item(key));
        if keys.is_empty() {
            return Err(EditorStep::Done(known.revision));
        }
        let values: Vec<ItemValue> = keys.iter().filter_map(|key| wanted.item(key)).collect();
        let items = keys
            .into_iter()
            .map(|key| LogItem {
                after: wanted.item(&key).map(|_| self.request.id),
                before: known.index.get(&key).copied(),
                place: self.request.places.get(&key).cloned(),
                key,
            })
            .collect();
        let entry = LogEntry {
            revision: Revision(known.revision.0 + 1),
            id: self.request.id,
            author: self.request.author.clone(),
            at_ms: self.request.at_ms,
            why: self.request.why.clone(),
            items,
        };
        Ok(Draft { values, entry })
    }

    /// Ends a change that is older than the log, since it may have been applied before the log
    /// starts.
    fn check_age(&self) -> Result<(), EditorStep> {
        let known = self.loader.known();
        if known.is_log_complete() {
            return Ok(());
        }
        let is_older = match (self.base, known.log.first()) {
            (Some(base), _) => known.entries_after(base).is_none(),
            (None, Some(oldest)) => self.request.at_ms <= oldest.at_ms,
            (None, None) => false,
        };
        if is_older {
            Err(EditorStep::Undecided)
        } else {
            Ok(())
        }
    }

    /// Ends a change if one of its items was changed after `base`.
    fn check_conflict(&self, base: Revision) -> Result<(), EditorStep> {
        let entries = self.loader.known().entries_after(base).unwrap_or_default();
        let own: Vec<DeclarationKey> = self.request.edits.iter().map(Edit::key).collect();
        for winner in entries {
            let items: Vec<ContestedItem> = winner
                .items
                .iter()
                .filter(|item| own.contains(&item.key))
                .map(|item| ContestedItem {
                    key: item.key.clone(),
                    own_place: self.request.places.get(&item.key).cloned(),
                    winner_place: item.place.clone(),
                })
                .collect();
            if !items.is_empty() {
                return Err(EditorStep::Conflict(Box::new(ChangeConflict {
                    own_id: self.request.id,
                    own_author: self.request.author.clone(),
                    winner: winner.clone(),
                    items,
                })));
            }
        }
        Ok(())
    }

    /// Builds the configuration with the change applied.
    fn build_wanted_set(&self) -> DeclarationSet {
        let mut wanted = self.loader.known().set.clone();
        for edit in &self.request.edits {
            match edit {
                Edit::Put(value) => wanted.put(value.clone()),
                Edit::Delete(key) => wanted.remove(key),
            }
        }
        wanted
    }

    /// Checks the configuration that would result, the size of the change and its deletions.
    fn check_wanted(&self, wanted: &DeclarationSet) -> Findings {
        let place_of = |key: &DeclarationKey| {
            let place = self.request.places.get(key).cloned();
            place.unwrap_or_else(|| Place::of_offset(&key.to_string(), "", 0))
        };
        let mut findings = check_set(wanted, place_of);
        if self.request.edits.len() > CHANGE_ITEMS_MAX {
            let count = self.request.edits.len();
            let message =
                format!("{count} items are altered; one change alters at most {CHANGE_ITEMS_MAX}");
            findings.extend(self.make_finding(message));
        }
        let known = &self.loader.known().set;
        for edit in &self.request.edits {
            let key = edit.key();
            let is_deleted = known.item(&key).is_some() && wanted.item(&key).is_none();
            if is_deleted && !self.request.allow_delete {
                let message = format!("{key} would be deleted, which the change does not allow");
                findings.push(place_of(&key), message);
            }
        }
        findings
    }

    /// Returns whether the next change has to move the log into a snapshot.
    fn is_manifest_full(&self) -> bool {
        let log = &self.loader.manifest().log;
        let items: usize = log.iter().map(|entry| entry.items.len()).sum();
        log.len() >= self.limits.manifest_log_len_max || items >= self.limits.manifest_items_max
    }

    /// Builds the manifest with the change.
    fn build_manifest(&self, draft: &Draft) -> Manifest {
        let current = self.loader.manifest();
        let (snapshot, mut log) = if self.is_manifest_full() {
            (current.revision, Vec::new())
        } else {
            (current.snapshot, current.log.clone())
        };
        log.push(draft.entry.clone());
        Manifest {
            revision: draft.entry.revision,
            snapshot,
            log,
        }
    }

    /// Creates one finding about the change as a whole.
    fn make_finding(&self, message: String) -> Findings {
        let mut findings = Findings::default();
        let file = format!("change {}", self.request.id);
        findings.push(Place::of_offset(&file, "", 0), message);
        findings
    }
}
