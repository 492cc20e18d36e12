//! Replicated configuration that operators declare: parsing, validation, revisions, changes by
//! compare-and-swap, and replicas.
//!
//! Nothing in this crate does I/O. [`Loader`] and [`Editor`] are state machines that return the
//! next store call and are given its outcome; [`Replica`] holds the configuration in force on one
//! node. The store holds one manifest with the latest log entries, immutable snapshots of the
//! index, and one immutable value per item and change.

pub mod change;
pub mod check;
pub mod editor;
pub mod item;
pub mod loader;
pub mod log;
pub mod manifest;
pub mod replica;
pub mod request;
pub mod revert;
pub mod set;
pub mod source;

pub use change::{
    Change, ChangeKind, FieldChange, GuaranteeUse, Plan, RevokedUse, diff, edits_between, plan,
};
pub use check::check_set;
pub use editor::{Editor, EditorLimits, EditorStep, SwapResult};
pub use item::{DeclarationKey, Edit, ItemValue};
pub use loader::{CallFailure, Loader, LoaderStep, StoredEntry};
pub use log::{AcceptedRevision, ChangeId, LogEntry, LogItem};
pub use manifest::{KEY_PREFIX, MANIFEST_KEY, Manifest, Snapshot};
pub use replica::{Delta, Offer, OfferOutcome, Replica, ReplicaDigest};
pub use request::{ChangeConflict, ChangeRequest, ContestedItem};
pub use revert::{RevertPlan, plan_revert};
pub use set::{DataCentreSpec, DeclarationSet, Limits};
pub use source::{Located, SourceFile, parse_files};
