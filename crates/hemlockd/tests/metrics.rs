//! Counters and the operators' page about metrics.
//!
//! Guards against counters that the page doesn't list, names on the page that no longer exist, and
//! reasons without a counter. Each comes about when a counter or a reason is added or removed.

use std::collections::BTreeSet;
use std::fs;

use hemlockd::counter_names;
use model::prelude::*;
use rstest::rstest;
use strum::IntoEnumIterator;

/// Reads the metric names in the first column of the page's tables, sorted.
fn page_names() -> Vec<String> {
    let page = fs::read_to_string("../../docs/operators/metrics.md").unwrap();
    let mut names: Vec<_> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .map(str::to_owned)
        .collect();
    names.sort();
    names
}

/// Names of the metrics that are not counters.
const GAUGES_AND_TIMERS: [&str; 2] = ["requests.duration", "requests.open"];

#[test]
fn page_lists_counters() {
    let mut expected: Vec<_> = counter_names().collect();
    expected.extend(GAUGES_AND_TIMERS.map(str::to_owned));
    expected.sort();
    assert_eq!(page_names(), expected);
}

#[rstest]
#[case::refusals("refused", RefusalReason::iter().map(|r| r.to_string()).collect())]
#[case::failures("failed", FailureReason::iter().map(|r| r.to_string()).collect())]
#[case::unknown("outcome_unknown", UnknownReason::iter().map(|r| r.to_string()).collect())]
#[case::retries("retried", RetryReason::iter().map(|r| r.to_string()).collect())]
fn counter_names_each_reason(#[case] prefix: &str, #[case] reasons: Vec<String>) {
    let names: BTreeSet<_> = counter_names().collect();
    for reason in reasons {
        let name = format!("{prefix}.{reason}");
        assert!(names.contains(&name), "there is no counter {name}");
    }
}
