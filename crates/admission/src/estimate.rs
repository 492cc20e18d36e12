//! Online estimators of rates, means and quantiles in constant space.

/// Exponentially decaying rate of events or amounts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rate {
    per_ms: f64,
    updated_ms: u64,
    time_constant_ms: f64,
}

impl Rate {
    /// Creates a rate of 0 that decays with the given time constant.
    pub(crate) fn new(now_ms: u64, time_constant_ms: f64) -> Self {
        Self {
            per_ms: 0.0,
            updated_ms: now_ms,
            time_constant_ms,
        }
    }

    /// Records `amount` at `now_ms`.
    pub(crate) fn record(&mut self, now_ms: u64, amount: f64) {
        self.per_ms = self.at(now_ms) + amount / self.time_constant_ms;
        self.updated_ms = now_ms;
    }

    /// Returns the amount per millisecond at `now_ms`.
    pub(crate) fn at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.per_ms * (-elapsed_ms / self.time_constant_ms).exp()
    }
}

/// Minimum weight of a new sample of a mean.
const MEAN_WEIGHT_MIN: f64 = 0.02;

/// Relative step of the quantile estimate.
const QUANTILE_STEP: f64 = 0.05;

/// Quantile of the run time after which hedging is considered.
const RUN_QUANTILE: f64 = 0.95;

/// Observed run time of a class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunTime {
    /// Mean, in milliseconds.
    pub(crate) mean_ms: f64,
    /// 95th percentile, in milliseconds.
    pub(crate) p95_ms: f64,
    samples: f64,
}

impl RunTime {
    /// Creates the estimate before the first sample.
    pub(crate) fn new(expected_ms: u64) -> Self {
        let expected_ms = expected_ms.max(1) as f64;
        Self {
            mean_ms: expected_ms,
            p95_ms: 2.0 * expected_ms,
            samples: 0.0,
        }
    }

    /// Records one run time. The first samples replace the declared run time, which may be
    /// inaccurate.
    pub(crate) fn record(&mut self, run_ms: f64) {
        self.samples += 1.0;
        let weight = MEAN_WEIGHT_MIN.max(1.0 / self.samples);
        self.mean_ms += weight * (run_ms - self.mean_ms);
        if self.samples <= 1.0 {
            self.p95_ms = self.p95_ms.max(2.0 * run_ms);
        }
        let step = if run_ms > self.p95_ms {
            QUANTILE_STEP * RUN_QUANTILE
        } else {
            -QUANTILE_STEP * (1.0 - RUN_QUANTILE)
        };
        self.p95_ms = (self.p95_ms * (1.0 + step)).max(1.0);
    }
}
