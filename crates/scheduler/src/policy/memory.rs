//! Writes what the parts have learned to the store, and restores it for the next planner.
//!
//! At most one small record goes along with a write that the planner makes in any case: what the order of turns rests on
//! with each write that starts something, and from time to time what was learned about work and machines in its place.

use serde::{Deserialize, Serialize};

use super::Policy;
use super::durations::DurationsRecord;
use super::interference::InterferenceRecord;
use super::shares::SharesRecord;
use super::speeds::SpeedsRecord;

/// How often what was learned about work and machines is written. A successor lacks that much of it at most, of what was
/// gathered over minutes.
const LEARNED_EVERY_MS: u64 = 5_000;

/// What was learned about work and machines.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedRecord {
    /// How long work takes.
    pub durations: DurationsRecord,
    /// How fast machines are.
    pub speeds: SpeedsRecord,
    /// Which work slows which other work down.
    pub interference: InterferenceRecord,
}

/// A record of the parts that goes along with a write.
#[derive(Debug, Clone, PartialEq)]
pub enum PolicyRecord {
    /// What the order of turns rests on.
    Shares(SharesRecord),
    /// What was learned about work and machines.
    Learned(LearnedRecord),
}

/// When records were last written.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    learned_ms: u64,
}

impl Policy {
    /// Returns the record to write now; none if a successor would learn nothing new. `starts_work` tells whether the
    /// write assigns tasks.
    pub fn take_record(&mut self, starts_work: bool, now_ms: u64) -> Option<PolicyRecord> {
        if starts_work && let Some(shares) = self.shares.take_record(now_ms) {
            return Some(PolicyRecord::Shares(shares));
        }
        if now_ms < self.memory.learned_ms + LEARNED_EVERY_MS {
            return None;
        }
        self.memory.learned_ms = now_ms;
        let learned = LearnedRecord {
            durations: self.durations.record(),
            speeds: self.speeds.record(),
            interference: self.interference.record_for_successor(now_ms),
        };
        (learned != LearnedRecord::default()).then_some(PolicyRecord::Learned(learned))
    }

    /// Goes on with what a predecessor has learned about work and machines.
    pub fn restore_learned(&mut self, record: LearnedRecord, now_ms: u64) {
        self.durations.restore(record.durations);
        self.speeds.restore(record.speeds);
        self.interference.restore(record.interference, now_ms);
    }
}
