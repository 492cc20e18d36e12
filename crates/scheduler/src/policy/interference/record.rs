//! What a successor needs to know of interference: the pairs that say most.

use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer, Serialize};

use super::pair::{DROPPED_BELOW_PERCENT, Pair};
use super::{Interference, KindName, WorkKind};

/// The most pairs in a record, and the most bytes, counting names and figures.
const MAX_ROWS: usize = 64;
const MAX_BYTES: usize = 6_000;

/// The bytes of a row without its names.
const ROW_BYTES: usize = 100;

/// What stands before the name of an image, and of a queue.
pub(super) const IMAGE_PREFIX: &str = "image ";
pub(super) const QUEUE_PREFIX: &str = "queue ";

/// One pair for a successor.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PairRecord {
    /// The kind of work that is slower: `image NAME` or `queue NAME`.
    pub slowed: String,
    /// The kind of work beside it.
    pub by: String,
    /// By how many hundredths it is slower.
    pub slowdown_percent: i32,
    /// Number of observations, in tenths.
    pub observations_tenths: u32,
    /// Whether the pair counts as known.
    pub is_known: bool,
}

/// The pairs that say most, for a successor.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
#[serde(transparent)]
pub struct InterferenceRecord(pub Vec<PairRecord>);

/// Rows, or what cannot be read as rows.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Stored {
    Rows(Vec<PairRecord>),
    Unreadable(IgnoredAny),
}

impl<'de> Deserialize<'de> for InterferenceRecord {
    /// Reads the rows; none if they cannot be read, so that the rest of the record is not lost with them.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(InterferenceRecord(
            match Stored::deserialize(deserializer)? {
                Stored::Rows(rows) => rows,
                Stored::Unreadable(_) => Vec::new(),
            },
        ))
    }
}

impl Interference {
    /// Returns the record for a successor.
    pub fn record_for_successor(&self, now_ms: u64) -> InterferenceRecord {
        let mut pairs: Vec<(&(WorkKind, WorkKind), &Pair)> = self
            .pairs
            .iter()
            .filter(|(_, pair)| pair.weight(now_ms) >= 1.0)
            .collect();
        pairs.sort_by(|a, b| {
            let telling = b.1.telling(now_ms).total_cmp(&a.1.telling(now_ms));
            telling.then(a.0.cmp(b.0))
        });
        let mut rows = Vec::new();
        let mut bytes_left = MAX_BYTES;
        for ((slowed, by), pair) in pairs.into_iter().take(MAX_ROWS) {
            let (slowed, by) = (self.kinds.name(*slowed), self.kinds.name(*by));
            // A character may take six bytes in its escaped form.
            let escaped = |name: &str| name.escape_default().count();
            let bytes = ROW_BYTES + escaped(slowed) + escaped(by);
            let Some(left) = bytes_left.checked_sub(bytes) else {
                continue;
            };
            bytes_left = left;
            rows.push(PairRecord {
                slowed: slowed.to_string(),
                by: by.to_string(),
                slowdown_percent: pair.slowdown_percent().round() as i32,
                observations_tenths: (pair.weight(now_ms) * 10.0).round() as u32,
                is_known: pair.is_known,
            });
        }
        InterferenceRecord(rows)
    }

    /// Goes on with what a predecessor has learned. Of a pair that is not known yet, only the average counts on.
    pub fn restore(&mut self, record: InterferenceRecord, now_ms: u64) {
        for row in record.0.into_iter().take(MAX_ROWS) {
            let (Some(slowed), Some(by)) = (self.parse_kind(&row.slowed), self.parse_kind(&row.by))
            else {
                continue;
            };
            let slowdown_percent = f64::from(row.slowdown_percent).clamp(-75.0, 300.0);
            let observations = f64::from(row.observations_tenths) / 10.0;
            let is_known = row.is_known && slowdown_percent > DROPPED_BELOW_PERCENT;
            let pair = Pair::restored(slowdown_percent, observations, is_known, now_ms);
            self.pairs.insert((slowed, by), pair);
        }
        self.count_known();
    }

    fn parse_kind(&mut self, text: &str) -> Option<WorkKind> {
        if let Some(image) = text.strip_prefix(IMAGE_PREFIX) {
            return self.kind(KindName::Image(image));
        }
        self.kind(KindName::Queue(text.strip_prefix(QUEUE_PREFIX)?))
    }
}
