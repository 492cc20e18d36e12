//! Requests for changes, and conflicts between them.

use std::collections::BTreeMap;
use std::fmt;

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::item::{DeclarationKey, Edit};
use crate::log::{ChangeId, LogEntry};

/// Request for one change of the declared configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Identifier of the change; a retry carries the same identifier, which makes it idempotent.
    pub id: ChangeId,
    /// Revision that the author has seen; the edited items must not have changed since. `None`
    /// stands for the revision that is accepted when the editor first reads the store.
    pub base: Option<Revision>,
    /// Author of the change.
    pub author: String,
    /// Time of the first request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Reason that the author gave.
    pub why: String,
    /// Edits of items.
    pub edits: Vec<Edit>,
    /// Source places of the items, when the change comes from files.
    #[serde(default)]
    pub places: BTreeMap<DeclarationKey, Place>,
    /// Whether the change may delete items.
    pub allow_delete: bool,
    /// Whether an earlier attempt stayed unanswered; its compare-and-swap may still reach the
    /// store.
    #[serde(default)]
    pub repeated: bool,
}

/// An item that two conflicting changes edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ContestedItem {
    /// The item.
    pub key: DeclarationKey,
    /// Source place of the item in the rejected change.
    pub own_place: Option<Place>,
    /// Source place of the item in the change that was accepted first.
    pub winner_place: Option<Place>,
}

impl fmt::Display for ContestedItem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.key)?;
        let show = |place: &Option<Place>| match place {
            Some(place) => place.to_string(),
            None => "no file".to_owned(),
        };
        if self.own_place.is_some() || self.winner_place.is_some() {
            let (own, winner) = (show(&self.own_place), show(&self.winner_place));
            write!(f, " ({own}; accepted from {winner})")?;
        }
        Ok(())
    }
}

/// Conflict with a change that was accepted first and edits some of the same items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeConflict {
    /// Identifier of the rejected change.
    pub own_id: ChangeId,
    /// Author of the rejected change.
    pub own_author: String,
    /// The change that was accepted first.
    pub winner: LogEntry,
    /// Items that both changes edit.
    pub items: Vec<ContestedItem>,
}

impl fmt::Display for ChangeConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "change {} by {} lost to {} on",
            self.own_id, self.own_author, self.winner
        )?;
        for item in &self.items {
            write!(f, " {item}")?;
        }
        Ok(())
    }
}
