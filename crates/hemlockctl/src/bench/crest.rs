//! Benchmark `crest`: peak load of twice the capacity of a data centre for 30 seconds.

use super::report::{Figures, Goal};
use super::request_ablation::{run_ablations, run_baseline, run_policy, run_with_losses};
use super::request_figures::{Group, Run, Window};
use super::request_load::{Load, LoadMix, Phase, generate};
use super::request_record::Record;
use super::request_sim::{LossPeriod, capacity_slots};
use super::{BenchName, BenchOptions, BenchReport, request_counts};

/// Load before, during and after the peak.
const PHASES: [Phase; 3] = [
    Phase {
        duration_ms: 90_000,
        load: 0.6,
    },
    Phase {
        duration_ms: 30_000,
        load: 2.0,
    },
    Phase {
        duration_ms: 60_000,
        load: 0.6,
    },
];

/// Load of the simulation in which attempts are lost.
const LOSS_PHASES: [Phase; 1] = [Phase {
    duration_ms: 150_000,
    load: 0.8,
}];

/// Period in which that simulation loses three of four attempts.
const LOSS_PERIOD: LossPeriod = LossPeriod {
    from_ms: 90_000,
    to_ms: 100_000,
    kept_one_in: 4,
};

/// Time until the workers are filled, which the figures leave out, in milliseconds.
const WARM_UP_MS: u64 = 45_000;

/// Least share of urgent requests that are answered within their deadline.
const URGENT_RATIO_MIN: f64 = 0.999;

/// Least goodput as a ratio to the capacity.
const GOODPUT_RATIO_MIN: f64 = 0.95;

/// Longest time from the end of the peak until waiting is normal, in milliseconds.
const RECOVERY_MS_MAX: f64 = 5_000.0;

/// Runs the benchmark.
pub(crate) fn run(options: BenchOptions) -> BenchReport {
    let BenchOptions { seed, deployment } = options;
    let load = generate(
        deployment,
        LoadMix::Balanced,
        seed,
        capacity_slots(),
        &PHASES,
    );
    let mut report = BenchReport::new(BenchName::Crest, options);
    report.policy = compute_figures(&load, &run_policy(&load, seed));
    report.baseline = compute_figures(&load, &run_baseline(&load, seed));
    for (name, record) in run_ablations(&load, seed) {
        report.without.insert(name, compute_figures(&load, &record));
    }
    add_loss_figures(&mut report, options);
    add_count_figures(&mut report, seed, &load);
    report.goals = check_goals(&report.policy);
    report
}

/// Adds the figures of a second simulation, in which most attempts are lost for 10 seconds.
fn add_loss_figures(report: &mut BenchReport, options: BenchOptions) {
    let BenchOptions { seed, deployment } = options;
    let load = generate(
        deployment,
        LoadMix::Balanced,
        seed,
        capacity_slots(),
        &LOSS_PHASES,
    );
    let [policy, baseline, without_budget] = run_with_losses(&load, seed, LOSS_PERIOD);
    report.policy.extend(compute_loss_figures(&load, &policy));
    report
        .baseline
        .extend(compute_loss_figures(&load, &baseline));
    let figures = compute_loss_figures(&load, &without_budget);
    report.without.insert("retry_budget", figures);
}

/// Adds the figures of counting requests in flight while entry nodes crash.
fn add_count_figures(report: &mut BenchReport, seed: u64, load: &Load) {
    let (Some(class), Some(organisation)) = (load.classes.first(), load.organisations.first())
    else {
        return;
    };
    let [rows, counter] = request_counts::run(seed, &class.spec, organisation);
    report.policy.extend(rows);
    report.baseline.extend(counter);
}

fn compute_loss_figures(load: &Load, record: &Record) -> Figures {
    let run = Run { load, record };
    let during = Window {
        from_ms: LOSS_PERIOD.from_ms,
        to_ms: LOSS_PERIOD.to_ms,
    };
    let steady = Window {
        from_ms: WARM_UP_MS,
        to_ms: LOSS_PERIOD.from_ms,
    };
    let attempts_ratio = run.attempts_ratio(during);
    let recovery_ms = run.recovery_ms(steady, LOSS_PERIOD.to_ms, LOSS_PHASES[0].duration_ms);
    Figures::from([
        ("losses_attempts_ratio", attempts_ratio),
        ("losses_recovery_ms", recovery_ms),
        (
            "losses_urgent_answered_ratio",
            run.answered_ratio(Group::Urgent, during),
        ),
        (
            "losses_short_answered_ratio",
            run.answered_ratio(Group::Short, during),
        ),
    ])
}

fn compute_figures(load: &Load, record: &Record) -> Figures {
    let run = Run { load, record };
    let peak_from_ms = PHASES[0].duration_ms;
    let peak = Window {
        from_ms: peak_from_ms,
        to_ms: peak_from_ms + PHASES[1].duration_ms,
    };
    let steady = Window {
        from_ms: WARM_UP_MS,
        to_ms: peak_from_ms,
    };
    let mut figures = run.figures(peak);
    figures.insert("calm_short_answer_p99_ms", run.short_answer_p99_ms(steady));
    let until_ms = peak.to_ms + PHASES[2].duration_ms;
    figures.insert("goodput_bound_ratio", run.goodput_bound_ratio(peak));
    figures.insert("recovery_ms", run.recovery_ms(steady, peak.to_ms, until_ms));
    figures
}

fn check_goals(policy: &Figures) -> Vec<Goal> {
    let value = |name| policy.get(name).copied().unwrap_or(f64::NAN);
    vec![
        Goal::at_least(
            "urgent_in_deadline_ratio",
            URGENT_RATIO_MIN,
            value("urgent_in_deadline_ratio"),
        ),
        Goal::at_least("goodput_ratio", GOODPUT_RATIO_MIN, value("goodput_ratio")),
        Goal::at_most("recovery_ms", RECOVERY_MS_MAX, value("recovery_ms")),
    ]
}
