//! Benchmark `completion`: time from the submission of a gang job to its end.

use super::gang_figures::compare_on_gang_load;
use super::report::Goal;
use super::{BenchName, BenchOptions, BenchReport};

/// Largest mean completion time, as a ratio to the baseline's.
const MEAN_RATIO_MAX: f64 = 0.6;

/// Largest 99th percentile of the completion time, as a ratio to the baseline's.
const P99_RATIO_MAX: f64 = 0.8;

/// Runs the benchmark.
pub(crate) fn run(options: BenchOptions) -> BenchReport {
    let mut report = compare_on_gang_load(BenchName::Completion, options);
    if report.policy.is_empty() {
        return report;
    }
    let ratio = |figure| report.policy[figure] / report.baseline[figure];
    report.goals = vec![
        Goal::at_most(
            "completion_mean_ratio",
            MEAN_RATIO_MAX,
            ratio("completion_mean_s"),
        ),
        Goal::at_most(
            "completion_p99_ratio",
            P99_RATIO_MAX,
            ratio("completion_p99_s"),
        ),
        Goal::at_most("jobs_left", 0.0, report.policy["jobs_left"]),
    ];
    report
}
