//! Learns how long work takes, from runs that ended and from the reported share of work done.
//!
//! Run times are counted as on a machine of usual speed, and kept as logarithms with their spread: by queue, image and
//! organisation, by queue, and over all. What was learned is combined with what the caller declared, each by the inverse
//! of its variance, so that exact declarations are followed and rough ones are not.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The most kinds of work that are kept; the one not seen for longest gives way.
const MAX_KINDS: usize = 64;

/// Fewer observations than these say nothing against what the caller declared.
const MIN_OBSERVATIONS: f64 = 8.0;

/// The most observations that count; older ones fade as new ones come, so that a change of the work is followed.
const MAX_OBSERVATIONS: f64 = 64.0;

/// How many observations of a kind weigh as much as what is known of the coarser kind.
const COARSER_WEIGHT: f64 = 4.0;

/// The least variance of a logarithm: a spread of 5%, as reported shares are whole hundredths and reports are up to 2 s
/// apart.
const MIN_VARIANCE: f64 = 0.0025;

/// Standard deviations between the median and the 90th percentile of a normal distribution.
const DEVIATIONS_TO_P90: f64 = 1.2816;

/// The largest mean or variance in a record, in thousandths: no run time and no error of a declaration exceeds it.
const MAX_RECORDED: i64 = 100_000;

/// The longest run time that is told apart, in milliseconds: a day.
const MAX_RUN_MS: f64 = 86_400_000.0;

/// Mean of a kind's logarithms, and of the squared distances from it.
#[derive(Debug, Clone, Copy, Default)]
struct Moments {
    mean: f64,
    variance: f64,
}

impl Moments {
    /// Takes in a value of which `weight` is the share in the result.
    fn add(&mut self, value: f64, weight: f64) {
        let distance = value - self.mean;
        self.mean += weight * distance;
        self.variance = (1.0 - weight) * (self.variance + weight * distance * distance);
    }

    /// Returns the moments of this kind and of a coarser one, by their weights.
    fn blend(self, share: f64, coarser: Moments) -> Moments {
        let mean = share * self.mean + (1.0 - share) * coarser.mean;
        let distance = self.mean - coarser.mean;
        let variance = share * self.variance
            + (1.0 - share) * coarser.variance
            + share * (1.0 - share) * distance * distance;
        Moments { mean, variance }
    }

    /// Returns both in thousandths.
    fn to_record(self) -> (i64, i64) {
        let thousandths = |value: f64| (value * 1_000.0).round() as i64;
        (thousandths(self.mean), thousandths(self.variance))
    }

    /// Reads both; none if no observations give them.
    fn from_record((mean, variance): (i64, i64)) -> Option<Moments> {
        let in_range = mean.abs() <= MAX_RECORDED && (0..=MAX_RECORDED).contains(&variance);
        in_range.then_some(Moments {
            mean: mean as f64 / 1_000.0,
            variance: variance as f64 / 1_000.0,
        })
    }
}

/// What is known of a kind of work.
#[derive(Debug, Clone, Copy, Default)]
struct Learned {
    /// Number of observations that count.
    count: f64,
    /// Logarithm of the run time in milliseconds at usual speed.
    run: Moments,
    /// Logarithm of that time over the declared one.
    error: Moments,
    /// Position in the order of use.
    used: u64,
}

/// How long work takes, for a successor.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DurationsRecord {
    /// The least recently used first.
    kinds: Vec<KindRecord>,
}

/// The key of a kind, the number of observations, and mean and variance of both logarithms in thousandths.
type KindRecord = (u64, u32, (i64, i64), (i64, i64));

/// A kind of work, from the finest to the coarsest key under which it is learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Kind([u64; 3]);

impl Kind {
    /// Returns the kind of the work of a queue's step.
    pub fn new(queue: &str, image: Option<&str>, organisation: &str) -> Kind {
        let queue_key = hash(HASH_START, queue);
        let image_key = hash(queue_key, image.unwrap_or_default());
        Kind([hash(image_key, organisation), queue_key, HASH_START])
    }
}

/// How long a run takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunTime {
    /// Half of the runs take at most this long.
    pub median_ms: u64,
    /// Nine of ten runs take at most this long.
    pub p90_ms: u64,
    /// Number of observations behind it; 0 if it is what the caller declared.
    pub observations: u64,
}

/// How long work takes.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    kinds: BTreeMap<u64, Learned>,
    uses: u64,
}

impl Durations {
    /// Takes in a run time at usual speed.
    pub fn observe(&mut self, kind: Kind, run_ms: u64, declared_ms: u64) {
        let run = (run_ms.max(1) as f64).ln();
        let error = run - (declared_ms.max(1) as f64).ln();
        self.uses += 1;
        for key in kind.0 {
            let learned = self.kinds.entry(key).or_default();
            learned.count = (learned.count + 1.0).min(MAX_OBSERVATIONS);
            learned.used = self.uses;
            learned.run.add(run, 1.0 / learned.count);
            learned.error.add(error, 1.0 / learned.count);
        }
        while self.kinds.len() > MAX_KINDS {
            let oldest = self.kinds.iter().min_by_key(|(_, learned)| learned.used);
            let Some(key) = oldest.map(|(key, _)| *key) else {
                return;
            };
            self.kinds.remove(&key);
        }
    }

    /// Returns how long a run takes on a machine of usual speed.
    pub fn estimate(&self, kind: Kind, declared_ms: u64) -> RunTime {
        let as_declared = RunTime {
            median_ms: declared_ms,
            p90_ms: declared_ms,
            observations: 0,
        };
        let mut known: Option<Learned> = None;
        for key in kind.0.iter().rev() {
            let Some(finer) = self.kinds.get(key) else {
                continue;
            };
            known = Some(match known {
                None => *finer,
                Some(coarser) => {
                    let share = finer.count / (finer.count + COARSER_WEIGHT);
                    Learned {
                        count: coarser.count.max(finer.count),
                        run: finer.run.blend(share, coarser.run),
                        error: finer.error.blend(share, coarser.error),
                        used: 0,
                    }
                }
            });
        }
        let Some(known) = known.filter(|known| known.count >= MIN_OBSERVATIONS) else {
            return as_declared;
        };
        // Few observations leave the mean itself uncertain.
        let widen = 1.0 + 1.0 / known.count;
        let run_weight = 1.0 / (known.run.variance * widen).max(MIN_VARIANCE);
        let error_weight = match declared_ms {
            0 => 0.0,
            _ => 1.0 / (known.error.variance * widen).max(MIN_VARIANCE),
        };
        let by_declaration = (declared_ms.max(1) as f64).ln() + known.error.mean;
        let weight = run_weight + error_weight;
        let mean = (known.run.mean * run_weight + by_declaration * error_weight) / weight;
        let deviation = weight.recip().sqrt();
        RunTime {
            median_ms: to_ms(mean),
            p90_ms: to_ms(mean + DEVIATIONS_TO_P90 * deviation),
            observations: known.count as u64,
        }
    }

    /// Returns the record for a successor.
    pub fn record(&self) -> DurationsRecord {
        let mut kinds: Vec<(&u64, &Learned)> = self.kinds.iter().collect();
        kinds.sort_by_key(|(_, learned)| learned.used);
        let kinds = kinds.into_iter().map(|(key, learned)| {
            let (run, error) = (learned.run.to_record(), learned.error.to_record());
            (*key, learned.count as u32, run, error)
        });
        DurationsRecord {
            kinds: kinds.collect(),
        }
    }

    /// Goes on with what a predecessor has learned.
    pub fn restore(&mut self, record: DurationsRecord) {
        let kinds = (1..).zip(record.kinds.into_iter().take(MAX_KINDS));
        let read = |(used, (key, count, run, error)): (u64, KindRecord)| {
            let count = f64::from(count);
            let learned = Learned {
                count,
                run: Moments::from_record(run)?,
                error: Moments::from_record(error)?,
                used,
            };
            (1.0..=MAX_OBSERVATIONS)
                .contains(&count)
                .then_some((key, learned))
        };
        self.kinds = kinds.filter_map(read).collect();
        self.uses = MAX_KINDS as u64;
    }
}

fn to_ms(logarithm: f64) -> u64 {
    logarithm.exp().clamp(1.0, MAX_RUN_MS) as u64
}

/// Start of the FNV-1a hash, which is the same in each process.
const HASH_START: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_FACTOR: u64 = 0x0100_0000_01b3;

/// Returns the hash of a text that follows what `start` is the hash of.
fn hash(start: u64, text: &str) -> u64 {
    let bytes = text.bytes().chain([0]);
    // Numbers beyond 53 bits are not exact in every reader of JSON.
    bytes.fold(start, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(HASH_FACTOR)
    }) & ((1 << 53) - 1)
}
