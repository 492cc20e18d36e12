//! Differences between two declaration sets, and the uses of guarantees that they would revoke.

use std::collections::BTreeMap;
use std::fmt;

use model::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::item::{DeclarationKey, Edit, ItemValue};
use crate::set::DeclarationSet;

/// One field that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FieldChange {
    /// Path of the field; nested names are joined by dots.
    pub field: String,
    /// Value before the change, as JSON.
    pub before: String,
    /// Value after the change, as JSON.
    pub after: String,
}

/// How an item differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// The item is new.
    Create,
    /// Some fields of the item differ.
    Alter(Vec<FieldChange>),
    /// The item is no longer declared.
    Delete,
}

/// Difference of one item between two sets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The item.
    pub key: DeclarationKey,
    /// How it differs.
    pub kind: ChangeKind,
    /// Guarantees that the change revokes; each count is the number of revoked blocks.
    pub guarantees_taken: Vec<Guarantee>,
}

impl Change {
    /// Returns whether the change deletes its item.
    pub const fn deletes(&self) -> bool {
        matches!(self.kind, ChangeKind::Delete)
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ChangeKind::Create => write!(f, "create {}", self.key)?,
            ChangeKind::Delete => write!(f, "delete {}", self.key)?,
            ChangeKind::Alter(fields) => {
                write!(f, "alter {}:", self.key)?;
                for (index, change) in fields.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "," };
                    let FieldChange {
                        field,
                        before,
                        after,
                    } = change;
                    write!(f, "{separator} {field} {before} -> {after}")?;
                }
            }
        }
        for guarantee in &self.guarantees_taken {
            let Guarantee {
                data_centre,
                level,
                count,
            } = guarantee;
            write!(f, "; takes away {count} x {level} in {data_centre}")?;
        }
        Ok(())
    }
}

/// Returns the differences that turn `current` into `wanted`, ordered by key.
pub fn diff(current: &DeclarationSet, wanted: &DeclarationSet) -> Vec<Change> {
    let mut keys = current.keys();
    keys.extend(wanted.keys());
    keys.sort();
    keys.dedup();
    keys.into_iter()
        .filter_map(|key| diff_item(current.item(&key), wanted.item(&key), key))
        .collect()
}

/// Returns the difference of one item, or `None` when both values are equal.
fn diff_item(
    before: Option<ItemValue>,
    after: Option<ItemValue>,
    key: DeclarationKey,
) -> Option<Change> {
    let kind = match (&before, &after) {
        (None, None) => return None,
        (None, Some(_)) => ChangeKind::Create,
        (Some(_), None) => ChangeKind::Delete,
        (Some(old), Some(new)) if old == new => return None,
        (Some(old), Some(new)) => ChangeKind::Alter(diff_fields(old, new)),
    };
    let guarantees_taken = find_revoked(guarantees_of(&before), guarantees_of(&after));
    Some(Change {
        key,
        kind,
        guarantees_taken,
    })
}

/// Returns the guarantees of an item; empty unless it is an organisation.
fn guarantees_of(item: &Option<ItemValue>) -> &[Guarantee] {
    match item {
        Some(ItemValue::Organisation(spec)) => &spec.guarantees,
        _ => &[],
    }
}

/// Counts the guaranteed blocks by data centre and level.
fn count_blocks(guarantees: &[Guarantee]) -> BTreeMap<(DataCentreName, Level), u32> {
    let mut counts = BTreeMap::new();
    for guarantee in guarantees {
        let key = (guarantee.data_centre.clone(), guarantee.level);
        let count: &mut u32 = counts.entry(key).or_default();
        *count = count.saturating_add(guarantee.count);
    }
    counts
}

/// Finds the guarantees that are in `before` and not in `after`.
fn find_revoked(before: &[Guarantee], after: &[Guarantee]) -> Vec<Guarantee> {
    let kept = count_blocks(after);
    let mut revoked = Vec::new();
    for ((data_centre, level), count) in count_blocks(before) {
        let remaining = kept
            .get(&(data_centre.clone(), level))
            .copied()
            .unwrap_or(0);
        if remaining < count {
            revoked.push(Guarantee {
                data_centre,
                level,
                count: count - remaining,
            });
        }
    }
    revoked
}

/// Finds the fields that differ between two items of the same kind.
fn diff_fields(before: &ItemValue, after: &ItemValue) -> Vec<FieldChange> {
    let before = serde_json::to_value(before).unwrap_or_default();
    let after = serde_json::to_value(after).unwrap_or_default();
    let mut fields = Vec::new();
    collect_fields(String::new(), &before, &after, &mut fields);
    for change in &mut fields {
        // The outermost name is the kind of the item, which the key already contains.
        if let Some((_, field)) = change.field.split_once('.') {
            change.field = field.to_owned();
        }
    }
    fields
}

/// Adds the fields under `path` that differ to `fields`.
fn collect_fields(path: String, before: &Value, after: &Value, fields: &mut Vec<FieldChange>) {
    if before == after {
        return;
    }
    if let (Value::Object(old), Value::Object(new)) = (before, after) {
        for (name, old_value) in old {
            let separator = if path.is_empty() { "" } else { "." };
            let inner = format!("{path}{separator}{name}");
            let new_value = new.get(name).unwrap_or(&Value::Null);
            collect_fields(inner, old_value, new_value, fields);
        }
        return;
    }
    fields.push(FieldChange {
        field: path,
        before: before.to_string(),
        after: after.to_string(),
    });
}

/// Returns the edits that turn `current` into `wanted`.
pub fn edits_between(current: &DeclarationSet, wanted: &DeclarationSet) -> Vec<Edit> {
    diff(current, wanted)
        .into_iter()
        .map(|change| match wanted.item(&change.key) {
            Some(value) => Edit::Put(value),
            None => Edit::Delete(change.key),
        })
        .collect()
}

/// Guaranteed blocks of one data centre and level that an organisation's jobs use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GuaranteeUse {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Data centre of the blocks.
    pub data_centre: DataCentreName,
    /// Size of the blocks.
    pub level: Level,
    /// Blocks in use.
    pub in_use: u32,
    /// Jobs that run on them.
    pub jobs: Vec<JobId>,
}

/// Use of more guaranteed blocks than a change would leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RevokedUse {
    /// The blocks in use now, and the jobs on them.
    pub used: GuaranteeUse,
    /// Blocks that the change leaves guaranteed.
    pub remaining: u32,
}

impl fmt::Display for RevokedUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let GuaranteeUse {
            organisation,
            data_centre,
            level,
            in_use,
            jobs,
        } = &self.used;
        write!(
            f,
            "{organisation} uses {in_use} x {level} in {data_centre}, {} would stay guaranteed; no longer safe from reclaim:",
            self.remaining
        )?;
        for job in jobs {
            write!(f, " {job}")?;
        }
        Ok(())
    }
}

/// Effects of applying a declaration set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Differences, ordered by key.
    pub changes: Vec<Change>,
    /// Uses of guarantees that would be revoked.
    pub stops: Vec<RevokedUse>,
}

/// Plans the change from `current` to `wanted`; `uses` are the blocks that jobs use now.
pub fn plan(current: &DeclarationSet, wanted: &DeclarationSet, uses: &[GuaranteeUse]) -> Plan {
    let changes = diff(current, wanted);
    let mut stops = Vec::new();
    for used in uses {
        let guarantees = wanted
            .organisations
            .get(&used.organisation)
            .map_or(&[][..], |spec| &spec.guarantees);
        let remaining = count_blocks(guarantees)
            .get(&(used.data_centre.clone(), used.level))
            .copied()
            .unwrap_or(0);
        let key = DeclarationKey::Organisation(used.organisation.clone());
        let is_revoked = changes
            .iter()
            .any(|change| change.key == key && !change.guarantees_taken.is_empty());
        if is_revoked && remaining < used.in_use {
            stops.push(RevokedUse {
                used: used.clone(),
                remaining,
            });
        }
    }
    Plan { changes, stops }
}
