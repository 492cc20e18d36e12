//! Budgets for retries and hedged attempts, and the backoff between attempts.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Bound of the backoff before it is doubled, in milliseconds.
const BACKOFF_MS_MIN: u64 = 10;

/// Maximum bound of a backoff, in milliseconds.
const BACKOFF_MS_MAX: u64 = 1_000;

/// Maximum bound of a backoff after a refusal by a worker without a free slot, in milliseconds.
const REFUSED_BACKOFF_MS_MAX: u64 = 20;

/// Token budget for extra attempts, replenished by first attempts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Budget {
    tokens: f64,
    tokens_max: f64,
    share: f64,
}

impl Budget {
    /// Creates a full budget that gains `share` tokens for each first attempt.
    pub(crate) const fn new(share: f64, tokens_max: f64) -> Self {
        Self {
            tokens: tokens_max,
            tokens_max,
            share,
        }
    }

    /// Adds the tokens for a first attempt.
    pub(crate) fn gain(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.tokens_max);
    }

    /// Returns whether a token is left.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Draws the backoff after `attempts` attempts, in milliseconds: uniform up to a bound that doubles
/// with each attempt.
pub(crate) fn backoff_ms(rng: &mut Pcg64Mcg, attempts: u32, is_refusal: bool) -> u64 {
    let doubled = BACKOFF_MS_MIN << attempts.min(10);
    let bound_ms = if is_refusal {
        doubled.min(REFUSED_BACKOFF_MS_MAX)
    } else {
        doubled.min(BACKOFF_MS_MAX)
    };
    rng.random_range(1..=bound_ms)
}
