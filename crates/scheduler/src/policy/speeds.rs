//! Learns how fast machines are.

use serde::{Deserialize, Serialize};

/// How fast machines are, for a successor.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SpeedsRecord {}

/// How fast machines are.
#[derive(Debug, Default)]
pub(crate) struct Speeds {}

impl Speeds {
    /// Returns the record for a successor.
    pub fn record(&self) -> SpeedsRecord {
        SpeedsRecord {}
    }

    /// Goes on with what a predecessor has learned.
    pub fn restore(&mut self, _record: SpeedsRecord) {}
}
