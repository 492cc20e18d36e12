//! Estimates of run times, learned per class and organisation because declared run times are
//! inaccurate.

use std::collections::HashMap;

use crate::organisation::{ClassKey, OrganisationKey};

/// Minimum number of observations before an average is used.
const OBSERVATIONS_MIN: u32 = 5;

/// Minimum weight of a new observation.
const WEIGHT_MIN: f64 = 0.05;

/// Distance between the expected and the cautious estimate, in standard deviations of the
/// logarithm.
const CAUTION_DEVIATIONS: f64 = 1.5;

/// Cautious estimate without observations, as a multiple of the declared run time.
const UNOBSERVED_CAUTION_FACTOR: f64 = 4.0;

/// Expected run time of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Estimate {
    /// Central estimate, in milliseconds.
    pub(crate) expected_ms: u64,
    /// Estimate that few runs exceed, in milliseconds.
    pub(crate) cautious_ms: u64,
}

/// Exponentially weighted mean and variance of logarithms.
#[derive(Debug, Clone, Copy, Default)]
struct Moments {
    mean: f64,
    variance: f64,
}

impl Moments {
    fn observe(&mut self, value: f64, weight: f64) {
        let difference = value - self.mean;
        self.mean += weight * difference;
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference);
    }

    fn estimate(&self, base: f64) -> Estimate {
        let deviation = self.variance.sqrt();
        Estimate {
            expected_ms: (base * self.mean.exp()) as u64,
            cautious_ms: (base * (self.mean + CAUTION_DEVIATIONS * deviation).exp()) as u64,
        }
    }
}

/// Observations of one group of jobs.
#[derive(Debug, Clone, Copy, Default)]
struct Observed {
    count: u32,
    /// Logarithm of the run time in milliseconds.
    run: Moments,
    /// Logarithm of the ratio of the run time to the declared one.
    ratio: Moments,
}

impl Observed {
    fn observe(&mut self, declared_ms: f64, run_ms: f64) {
        self.count += 1;
        let weight = (1.0 / f64::from(self.count)).max(WEIGHT_MIN);
        self.run.observe(run_ms.ln(), weight);
        self.ratio.observe((run_ms / declared_ms).ln(), weight);
    }

    /// Uses declared run times only where they predict better than the average run time.
    fn estimate(&self, declared_ms: f64) -> Estimate {
        if self.ratio.variance < self.run.variance {
            self.ratio.estimate(declared_ms)
        } else {
            self.run.estimate(1.0)
        }
    }
}

/// Observed run times by class, and by class and organisation.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    by_class: HashMap<ClassKey, Observed>,
    by_class_and_organisation: HashMap<(ClassKey, OrganisationKey), Observed>,
}

impl RunTimes {
    /// Records that a job ran for `run_ms`.
    pub(crate) fn observe(
        &mut self,
        class: ClassKey,
        organisation: OrganisationKey,
        declared_ms: u64,
        run_ms: u64,
    ) {
        let declared_ms = declared_ms.max(1) as f64;
        let run_ms = run_ms.max(1) as f64;
        let observed = self.by_class.entry(class).or_default();
        observed.observe(declared_ms, run_ms);
        let observed = self
            .by_class_and_organisation
            .entry((class, organisation))
            .or_default();
        observed.observe(declared_ms, run_ms);
    }

    /// Returns the expected run time of a job that declares `declared_ms`.
    pub(crate) fn estimate(
        &self,
        class: ClassKey,
        organisation: OrganisationKey,
        declared_ms: u64,
    ) -> Estimate {
        let declared = declared_ms.max(1) as f64;
        let groups = [
            self.by_class_and_organisation.get(&(class, organisation)),
            self.by_class.get(&class),
        ];
        let known = groups.into_iter().flatten();
        known
            .into_iter()
            .find(|observed| observed.count >= OBSERVATIONS_MIN)
            .map_or(estimate_from_declared(declared_ms), |observed| {
                observed.estimate(declared)
            })
    }
}

/// Returns the estimate from the declared run time alone.
pub(crate) fn estimate_from_declared(declared_ms: u64) -> Estimate {
    Estimate {
        expected_ms: declared_ms,
        cautious_ms: (declared_ms as f64 * UNOBSERVED_CAUTION_FACTOR) as u64,
    }
}

/// Returns the expected remaining time of a run that has lasted `elapsed_ms`.
///
/// Run times have a heavy tail, so the result is at least half of the elapsed time, also for a job
/// that has overrun its estimate.
pub(crate) fn remaining_ms(expected_ms: u64, elapsed_ms: u64) -> u64 {
    expected_ms.saturating_sub(elapsed_ms).max(elapsed_ms / 2)
}
