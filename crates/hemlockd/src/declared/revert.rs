//! The content of an earlier revision, read from the store.

use std::sync::Arc;

use declarations::revert::RevertError;
use declarations::{DeclarationSet, Edit, plan_revert};
use model::prelude::*;
use thiserror::Error;

use super::edit::read_keys;
use crate::node::Shared;

/// Why the content of an earlier revision is unavailable.
#[derive(Debug, Error)]
pub(crate) enum EarlierError {
    /// The revision cannot be restored.
    #[error(transparent)]
    Revert(#[from] RevertError),
    /// The store is unresponsive.
    #[error("the store does not answer; nothing was changed")]
    Unavailable,
}

/// Reads the declarations as they were at revision `to`.
///
/// # Errors
///
/// `to` is not an earlier revision whose content is still known, or the store is unresponsive.
pub(crate) async fn read_earlier(
    shared: &Arc<Shared>,
    to: Revision,
) -> Result<DeclarationSet, EarlierError> {
    let accepted = shared.declared.accepted();
    let plan = plan_revert(&accepted, to)?;
    let entries = read_keys(shared, &plan.keys())
        .await
        .map_err(|_| EarlierError::Unavailable)?;
    let mut set = accepted.set;
    for edit in plan.edits(&entries)? {
        match edit {
            Edit::Put(value) => set.put(value),
            Edit::Delete(key) => set.remove(&key),
        }
    }
    Ok(set)
}
