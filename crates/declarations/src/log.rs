//! Accepted changes: their identifiers, their log entries, and the configuration that results from
//! them.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use model::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::item::DeclarationKey;
use crate::set::DeclarationSet;

/// Identifier of a change, chosen at random by its requester; printed as 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChangeId(pub u64);

/// Why a string is not a change identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a change identifier is 1 to 16 hexadecimal digits")]
pub struct ChangeIdError;

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ChangeId {
    type Err = ChangeIdError;

    fn from_str(raw: &str) -> Result<Self, ChangeIdError> {
        u64::from_str_radix(raw, 16)
            .map(Self)
            .map_err(|_| ChangeIdError)
    }
}

impl TryFrom<String> for ChangeId {
    type Error = ChangeIdError;

    fn try_from(raw: String) -> Result<Self, ChangeIdError> {
        raw.parse()
    }
}

impl From<ChangeId> for String {
    fn from(id: ChangeId) -> Self {
        id.to_string()
    }
}

/// One item that a change edited. The value of an item is stored under the identifier of the
/// change that last put it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogItem {
    /// The item.
    pub key: DeclarationKey,
    /// Change whose value is in force afterwards, or `None` when the item was deleted.
    pub after: Option<ChangeId>,
    /// Change whose value was in force before, or `None` when the item did not exist.
    pub before: Option<ChangeId>,
    /// Source place of the item, when the change came from a file.
    pub place: Option<Place>,
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    /// Revision that the change created.
    pub revision: Revision,
    /// Identifier of the change.
    pub id: ChangeId,
    /// Author of the change.
    pub author: String,
    /// Time of the first request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Reason that the author gave.
    pub why: String,
    /// Items that the change edited.
    pub items: Vec<LogItem>,
}

impl fmt::Display for LogEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "change {} by {} (revision {}: {})",
            self.id, self.author, self.revision, self.why
        )
    }
}

/// An accepted revision of the declared configuration with the latest changes that led to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedRevision {
    /// The revision; 0 stands for the empty configuration before the first change.
    pub revision: Revision,
    /// The configuration.
    pub set: DeclarationSet,
    /// For each item, the change whose value is in force.
    pub index: BTreeMap<DeclarationKey, ChangeId>,
    /// The latest changes up to `revision`, oldest first and without a gap.
    pub log: Vec<LogEntry>,
}

impl AcceptedRevision {
    /// Returns the changes after revision `after`, or `None` when the log does not reach back that
    /// far.
    pub fn entries_after(&self, after: Revision) -> Option<&[LogEntry]> {
        if after >= self.revision {
            return Some(&[]);
        }
        let oldest = self.log.first()?.revision;
        if after.0 + 1 < oldest.0 {
            return None;
        }
        let skipped = usize::try_from(after.0 + 1 - oldest.0).ok()?;
        self.log.get(skipped..)
    }

    /// Returns the entry of change `id`, if the log still holds it.
    pub fn entry_of(&self, id: ChangeId) -> Option<&LogEntry> {
        self.log.iter().find(|entry| entry.id == id)
    }

    /// Returns whether the log holds every change since the first one.
    pub fn is_log_complete(&self) -> bool {
        self.log.len() as u64 == self.revision.0
    }
}
