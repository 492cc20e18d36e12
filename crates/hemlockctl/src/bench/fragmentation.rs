//! Benchmark `fragmentation`: free accelerators that the largest waiting gang cannot use.

use super::gang_figures::compare_on_gang_load;
use super::report::Goal;
use super::{BenchName, BenchOptions, BenchReport};

/// Largest share of free accelerators that the largest waiting gang cannot use, as a ratio to the
/// baseline's.
const STRANDED_RATIO_MAX: f64 = 0.5;

/// Largest mean wait of gangs of 64 accelerators and more, as a ratio to the baseline's.
const LARGE_WAIT_RATIO_MAX: f64 = 0.5;

/// Runs the benchmark.
pub(crate) fn run(options: BenchOptions) -> BenchReport {
    let mut report = compare_on_gang_load(BenchName::Fragmentation, options);
    if report.policy.is_empty() {
        return report;
    }
    let ratio = |figure| report.policy[figure] / report.baseline[figure];
    report.goals = vec![
        Goal::at_most(
            "stranded_share_of_free_ratio",
            STRANDED_RATIO_MAX,
            ratio("stranded_share_of_free"),
        ),
        Goal::at_most(
            "large_wait_mean_ratio",
            LARGE_WAIT_RATIO_MAX,
            ratio("large_wait_mean_s"),
        ),
    ];
    report
}
