//! Decides, among work of one priority, whose turn it is while room is scarce.

use serde::{Deserialize, Serialize};

/// What the order of turns rests on, for a successor.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SharesRecord {}

/// What each organisation holds and has lately had.
#[derive(Debug, Default)]
pub(crate) struct Shares {}

impl Shares {
    /// Returns the record for a successor; none if it would not differ from the last one.
    pub fn take_record(&mut self, _now_ms: u64) -> Option<SharesRecord> {
        None
    }

    /// Goes on with what a predecessor has written.
    pub fn restore(&mut self, _record: SharesRecord, _now_ms: u64) {}
}
