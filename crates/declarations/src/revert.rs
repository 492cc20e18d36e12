//! Plans a new change that restores the configuration of an earlier revision.

use std::collections::BTreeMap;

use model::prelude::*;
use thiserror::Error;

use crate::item::{DeclarationKey, Edit};
use crate::loader::StoredEntry;
use crate::log::{AcceptedRevision, ChangeId};
use crate::manifest::{decode_value, value_key};

/// Why a revision cannot be restored.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RevertError {
    /// The revision is not below the accepted one.
    #[error("revision {to} is not below the accepted revision {accepted}")]
    NotEarlier {
        /// The requested revision.
        to: Revision,
        /// The accepted revision.
        accepted: Revision,
    },
    /// The log does not reach back to the revision.
    #[error("the history starts after revision {to}")]
    NotInLog {
        /// The requested revision.
        to: Revision,
    },
    /// The store does not hold a valid value under a key.
    #[error("the content {key} cannot be read")]
    Missing {
        /// Store key of the value.
        key: String,
    },
}

/// Items that a revert edits, each with the change whose value it restores.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RevertPlan {
    items: BTreeMap<DeclarationKey, Option<ChangeId>>,
}

/// Plans the revert from `accepted` to the configuration of revision `to`.
///
/// # Errors
///
/// When `to` is not below the accepted revision, or the log does not reach back to it.
pub fn plan_revert(accepted: &AcceptedRevision, to: Revision) -> Result<RevertPlan, RevertError> {
    if to >= accepted.revision {
        return Err(RevertError::NotEarlier {
            to,
            accepted: accepted.revision,
        });
    }
    let entries = accepted
        .entries_after(to)
        .ok_or(RevertError::NotInLog { to })?;
    let mut items = BTreeMap::new();
    for entry in entries.iter().rev() {
        for item in &entry.items {
            items.insert(item.key.clone(), item.before);
        }
    }
    items.retain(|key, before| accepted.index.get(key) != before.as_ref());
    Ok(RevertPlan { items })
}

impl RevertPlan {
    /// Returns the store keys of the values to read.
    pub fn keys(&self) -> Vec<String> {
        self.items
            .iter()
            .filter_map(|(key, before)| before.map(|id| value_key(key, id)))
            .collect()
    }

    /// Builds the edits of the revert from the entries under [`RevertPlan::keys`].
    ///
    /// # Errors
    ///
    /// When a value is missing or malformed.
    pub fn edits(&self, entries: &[StoredEntry]) -> Result<Vec<Edit>, RevertError> {
        self.items
            .iter()
            .map(|(key, before)| match before {
                Some(id) => read_put(key, *id, entries),
                None => Ok(Edit::Delete(key.clone())),
            })
            .collect()
    }
}

/// Builds the edit that restores the value that change `id` gave to `key`.
fn read_put(
    key: &DeclarationKey,
    id: ChangeId,
    entries: &[StoredEntry],
) -> Result<Edit, RevertError> {
    let stored = value_key(key, id);
    entries
        .iter()
        .find(|entry| entry.key == stored)
        .and_then(|entry| decode_value(&entry.value))
        .map(Edit::Put)
        .ok_or(RevertError::Missing { key: stored })
}
