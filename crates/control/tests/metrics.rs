//! The operators' metrics page must list exactly the metrics that a node exposes.

use std::collections::BTreeSet;

use control::{Counter, Metrics, Timing};

const PAGE: &str = include_str!("../../../docs/operators/node-metrics.md");

/// Returns the metric names that a node exposes, without their suffixes.
fn exposed_names() -> BTreeSet<String> {
    let text = Metrics::new().unwrap().render();
    text.lines()
        .filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next())
        .map(|name| {
            name.trim_end_matches("_total")
                .trim_end_matches("_ms")
                .to_string()
        })
        .collect()
}

#[test]
fn page_lists_what_is_exposed() {
    let listed_names: BTreeSet<String> = PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `hemlockloft_")?.split('`').next())
        .map(|name| format!("hemlockloft_{name}"))
        .collect();
    assert_eq!(listed_names, exposed_names());
}

#[test]
fn render_shows_what_was_recorded() {
    let metrics = Metrics::new().unwrap();
    metrics.count(Counter::JobsAccepted);
    metrics.record(Timing::Accept, 12);
    let text = metrics.render();
    assert!(
        text.contains("hemlockloft_jobs_accepted_total 1\n"),
        "{text}"
    );
    assert!(
        text.contains("hemlockloft_accept_ms{quantile=\"0.5\"} 12\n"),
        "{text}"
    );
}
