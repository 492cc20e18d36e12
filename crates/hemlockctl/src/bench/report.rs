//! Report of one benchmark: figures, goals, series and curves, as JSON or text.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use super::{BenchName, BenchOptions};

/// Figures by name; a name has its unit as suffix.
pub(crate) type Figures = BTreeMap<&'static str, f64>;

/// A bound on a figure, and whether the figure meets it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Goal {
    /// Name of the bounded figure.
    pub(crate) name: &'static str,
    /// Bound on the value.
    pub(crate) bound: f64,
    /// Value of the figure.
    pub(crate) value: f64,
    /// Whether the bound is met.
    pub(crate) held: bool,
}

impl Goal {
    /// Creates a goal that is met if `value` is at most `bound`.
    pub(crate) fn at_most(name: &'static str, bound: f64, value: f64) -> Self {
        Self {
            name,
            bound,
            value,
            held: value <= bound,
        }
    }

    /// Creates a goal that is met if `value` is at least `bound`.
    pub(crate) fn at_least(name: &'static str, bound: f64, value: f64) -> Self {
        Self {
            name,
            bound,
            value,
            held: value >= bound,
        }
    }
}

/// A figure measured at several sizes, and the line fitted through it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Series {
    /// Name of the figure, with its unit as suffix.
    pub(crate) name: &'static str,
    /// Name of what the size counts.
    pub(crate) per: &'static str,
    /// Sizes and the values measured at them.
    pub(crate) points: Vec<(f64, f64)>,
    /// Power of the size with which the value grows; 1 is linear.
    pub(crate) exponent: f64,
    /// Value of the line at size 0.
    pub(crate) intercept: f64,
    /// Slope of the line.
    pub(crate) slope: f64,
    /// Largest distance of a value from the line, in percent of the largest value.
    pub(crate) error_percent: f64,
}

/// A figure over time.
#[derive(Debug, Clone)]
pub(crate) struct Curve {
    /// Title of the drawing, with the unit.
    pub(crate) title: &'static str,
    /// Points of the policy: time in hours and value.
    pub(crate) policy: Vec<(f64, f64)>,
    /// Points of the baseline: time in hours and value.
    pub(crate) baseline: Vec<(f64, f64)>,
}

/// Report of one benchmark.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct BenchReport {
    name: String,
    seed: u64,
    deployment: String,
    /// Figures of the policy.
    pub(crate) policy: Figures,
    /// Figures of the baseline on the same load.
    pub(crate) baseline: Figures,
    /// Figures of the policy without one mechanism, by mechanism.
    pub(crate) without: BTreeMap<&'static str, Figures>,
    /// Goals of the benchmark.
    pub(crate) goals: Vec<Goal>,
    /// Figures at growing sizes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) series: Vec<Series>,
    /// Curves over time, for the plot.
    #[serde(skip)]
    pub(crate) curves: Vec<Curve>,
}

impl BenchReport {
    /// Creates an empty report of the benchmark `name`.
    pub(crate) fn new(name: BenchName, options: BenchOptions) -> Self {
        Self {
            name: name.to_string(),
            seed: options.seed,
            deployment: options.deployment.to_string(),
            policy: Figures::new(),
            baseline: Figures::new(),
            without: BTreeMap::new(),
            goals: Vec::new(),
            series: Vec::new(),
            curves: Vec::new(),
        }
    }

    /// Returns whether every goal is met; `false` if there are no goals.
    pub(crate) fn meets_all_goals(&self) -> bool {
        !self.goals.is_empty() && self.goals.iter().all(|goal| goal.held)
    }

    /// Formats the report as one JSON object.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Formats the report as lines of text.
    pub(crate) fn to_table(&self) -> String {
        let mut text = format!("{} seed {} {}\n", self.name, self.seed, self.deployment);
        for (name, value) in &self.policy {
            let baseline = self
                .baseline
                .get(name)
                .map_or(String::new(), |b| format!("{b:.3}"));
            // Writing to a `String` does not fail.
            let _ = writeln!(text, "  {name:<40} {value:>14.3} {baseline:>14}");
        }
        for series in &self.series {
            let Series {
                name,
                per,
                slope,
                intercept,
                error_percent,
                exponent,
                ..
            } = series;
            let _ = writeln!(
                text,
                "  {name:<40} {intercept:>14.3} + {slope:.6} per {per}, error {error_percent:.1} %, exponent {exponent:.2}"
            );
        }
        for goal in &self.goals {
            let verdict = if goal.held { "held" } else { "MISSED" };
            let _ = writeln!(
                text,
                "  goal {:<35} {:>14.3} {:>14.3} {verdict}",
                goal.name, goal.value, goal.bound
            );
        }
        text
    }
}
