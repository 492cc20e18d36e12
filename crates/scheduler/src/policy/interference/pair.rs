//! What was observed of one kind of work beside another, and when that is enough.

use crate::worker::WorkerKey;

/// Observations from which a pair can be known, on at least [`MIN_WORKERS`] workers: a worker that is slow for a moment
/// gives several at a time.
const MIN_OBSERVATIONS: f64 = 3.0;
const MIN_WORKERS: usize = 3;

/// Deviation of the logarithm that is assumed before anything is observed, and how many observations it counts for: the
/// rounding of rates, and work that does not progress evenly.
const ASSUMED_DEVIATION: f64 = 0.25;
const ASSUMED_OBSERVATIONS: f64 = 2.0;

/// The most observations that an average rests on, so that it follows work that behaves differently from now on.
pub(super) const MAX_OBSERVATIONS: f64 = 8.0;

/// How long it takes until a known pair counts half as much if nothing more is observed: work that is kept apart is not
/// observed, so it has to be tried again.
const HALF_LIFE_MS: f64 = 120_000.0;

/// A pair is known once the slowdown exceeds this share, in hundredths, by [`CERTAINTY`] standard errors. Less is not worth
/// giving up a better packing.
const KNOWN_ABOVE_PERCENT: f64 = 10.0;
const CERTAINTY: f64 = 2.0;

/// A known pair is dropped once its average falls below this share, in hundredths.
pub(super) const DROPPED_BELOW_PERCENT: f64 = 5.0;

/// What was observed of one kind of work beside another.
#[derive(Debug, Clone)]
pub(super) struct Pair {
    /// Average logarithm of the factor by which the first is slower beside the second.
    mean: f64,
    /// Average square of the same.
    mean_square: f64,
    /// Number of observations that the averages rest on.
    observations: f64,
    observed_ms: u64,
    /// Some of the workers on which it was observed.
    workers: Vec<WorkerKey>,
    pub is_known: bool,
}

impl Pair {
    pub fn new(now_ms: u64) -> Pair {
        Pair {
            mean: 0.0,
            mean_square: 0.0,
            observations: 0.0,
            observed_ms: now_ms,
            workers: Vec::new(),
            is_known: false,
        }
    }

    /// Returns what a predecessor has observed.
    pub fn restored(slowdown_percent: f64, observations: f64, is_known: bool, now_ms: u64) -> Pair {
        let mean = (1.0 + slowdown_percent / 100.0).ln();
        Pair {
            mean,
            mean_square: mean * mean,
            observations: observations.min(MAX_OBSERVATIONS),
            is_known,
            ..Pair::new(now_ms)
        }
    }

    /// Returns the number of observations that count at a time. Those of a pair that is not known yet count until others
    /// take their place.
    pub fn weight(&self, now_ms: u64) -> f64 {
        if !self.is_known {
            return self.observations;
        }
        let age_ms = now_ms.saturating_sub(self.observed_ms) as f64;
        self.observations * (-age_ms / HALF_LIFE_MS).exp2()
    }

    pub fn observe(&mut self, worker: WorkerKey, ln_factor: f64, now_ms: u64) {
        let before = self.weight(now_ms).min(MAX_OBSERVATIONS - 1.0);
        self.observations = before + 1.0;
        self.mean += (ln_factor - self.mean) / self.observations;
        self.mean_square += (ln_factor * ln_factor - self.mean_square) / self.observations;
        self.observed_ms = now_ms;
        if self.workers.len() < MIN_WORKERS && !self.workers.contains(&worker) {
            self.workers.push(worker);
        }
    }

    /// Takes in whether the pair is known. A pair that is dropped begins anew.
    pub fn set_known(&mut self, is_known: bool) {
        self.is_known = is_known;
        if !is_known {
            (self.observations, self.workers) = (0.0, Vec::new());
        }
    }

    /// Returns by how many hundredths the first is slower beside the second.
    pub fn slowdown_percent(&self) -> f64 {
        (self.mean.exp() - 1.0) * 100.0
    }

    /// Returns whether the pair counts as known after the last observation.
    pub fn judge(&self, now_ms: u64) -> bool {
        let weight = self.weight(now_ms);
        if self.is_known {
            return weight >= 1.0 && self.slowdown_percent() > DROPPED_BELOW_PERCENT;
        }
        if weight < MIN_OBSERVATIONS || self.workers.len() < MIN_WORKERS {
            return false;
        }
        let observed = (self.mean_square - self.mean * self.mean).max(0.0) * weight;
        let assumed = ASSUMED_DEVIATION * ASSUMED_DEVIATION * ASSUMED_OBSERVATIONS;
        let variance = (observed + assumed) / (weight + ASSUMED_OBSERVATIONS);
        let error = (variance / (weight - 1.0)).sqrt();
        self.mean - CERTAINTY * error > (1.0 + KNOWN_ABOVE_PERCENT / 100.0).ln()
    }

    /// Returns how much the pair says, for the choice of those that are kept.
    pub fn telling(&self, now_ms: u64) -> f64 {
        let of_known = if self.is_known { 100.0 } else { 0.0 };
        self.mean.abs() * self.weight(now_ms) + of_known
    }
}
