//! Benchmark `short-work`: short urgent work beside long work and stragglers.

use super::report::{Figures, Goal};
use super::request_ablation::{run_ablations, run_baseline, run_policy};
use super::request_figures::{Group, Run, Window};
use super::request_load::{Load, LoadMix, Phase, generate};
use super::request_record::Record;
use super::request_sim::capacity_slots;
use super::{BenchName, BenchOptions, BenchReport};

/// Load near the capacity.
const PHASES: [Phase; 1] = [Phase {
    duration_ms: 360_000,
    load: 0.95,
}];

/// Time until the workers are filled, which the figures leave out, in milliseconds.
const WARM_UP_MS: u64 = 60_000;

/// Largest 99th percentile of the urgent wait, as a ratio to the baseline's.
const URGENT_WAIT_RATIO_MAX: f64 = 0.05;

/// Longest wait of any urgent request, in milliseconds.
const URGENT_WAIT_MS_MAX: f64 = 4_500.0;

/// Least throughput of long work, as a ratio to the baseline's.
const LONG_RATIO_MIN: f64 = 0.95;

/// Runs the benchmark.
pub(crate) fn run(options: BenchOptions) -> BenchReport {
    let BenchOptions { seed, deployment } = options;
    let load = generate(
        deployment,
        LoadMix::MostlyLong,
        seed,
        capacity_slots(),
        &PHASES,
    );
    let mut report = BenchReport::new(BenchName::ShortWork, options);
    report.policy = compute_figures(&load, &run_policy(&load, seed));
    report.baseline = compute_figures(&load, &run_baseline(&load, seed));
    for (name, record) in run_ablations(&load, seed) {
        report.without.insert(name, compute_figures(&load, &record));
    }
    report.goals = check_goals(&report.policy, &report.baseline);
    report
}

fn compute_figures(load: &Load, record: &Record) -> Figures {
    let run = Run { load, record };
    let window = Window {
        from_ms: WARM_UP_MS,
        to_ms: PHASES[0].duration_ms,
    };
    let mut figures = run.figures(window);
    let long_slots =
        run.throughput_ms(Group::Long, window) / (window.to_ms - window.from_ms) as f64;
    figures.insert("long_throughput_slots", long_slots);
    figures
}

fn check_goals(policy: &Figures, baseline: &Figures) -> Vec<Goal> {
    let value = |figures: &Figures, name| figures.get(name).copied().unwrap_or(f64::NAN);
    let ratio = |name| value(policy, name) / value(baseline, name);
    vec![
        Goal::at_most(
            "urgent_wait_p99_ratio",
            URGENT_WAIT_RATIO_MAX,
            ratio("urgent_wait_p99_ms"),
        ),
        Goal::at_most(
            "urgent_wait_max_ms",
            URGENT_WAIT_MS_MAX,
            value(policy, "urgent_wait_max_ms"),
        ),
        Goal::at_most(
            "urgent_not_started",
            0.0,
            value(policy, "urgent_not_started"),
        ),
        Goal::at_least(
            "long_throughput_ratio",
            LONG_RATIO_MIN,
            ratio("long_throughput_slots"),
        ),
    ]
}
