//! Simulates the gang load under the policy, the baseline and the ablations, and computes the
//! figures.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use model::prelude::*;
use placement::{Placement, PlacementConfig};

use super::gang_load::{HOUR_MS, LOAD_MS, Load, SECOND_MS, WORKERS_BY_DATA_CENTRE, generate};
use super::gang_site::{JobProgress, Sample, SiteResult, simulate};
use super::report::{Curve, Figures};
use super::{BenchName, BenchOptions, BenchReport};

/// Number of accelerators from which a gang counts as large.
const LARGE_GANG_ACCELERATORS: u32 = 64;

/// Results of one simulation, one per data centre.
pub(crate) type SiteResults = Vec<SiteResult>;

/// Name of a mechanism of the policy, and the function that switches it off.
type MechanismSwitch = (&'static str, fn(&mut PlacementConfig));

/// Mechanisms that the ablation switches off one at a time.
pub(crate) const MECHANISMS: [MechanismSwitch; 10] = [
    ("guarantees", |config| config.guarantees = false),
    ("shortest_first", |config| config.shortest_first = false),
    ("backfill", |config| config.backfill = false),
    ("reservations", |config| config.reservations = false),
    ("learning", |config| config.learning = false),
    ("ageing", |config| config.ageing = false),
    ("fairness", |config| config.fairness = false),
    ("best_fit", |config| config.best_fit = false),
    ("defragmentation", |config| config.defragmentation = false),
    ("quarantine", |config| config.quarantine = false),
];

/// Reports the figures of policy, baseline and ablations on the generated gang load; the report has
/// no figures if a name of the load is not valid.
pub(crate) fn compare_on_gang_load(name: BenchName, options: BenchOptions) -> BenchReport {
    let mut report = BenchReport::new(name, options);
    let loads = (0..WORKERS_BY_DATA_CENTRE.len())
        .map(|index| generate(options.deployment, options.seed, index));
    let Some(loads) = loads.collect::<Option<Vec<_>>>() else {
        return report;
    };
    let policy = simulate_all(&loads, PlacementConfig::default(), options);
    let baseline = simulate_all(&loads, PlacementConfig::baseline(), options);
    let counted = find_finished_in_both(&policy, &baseline);
    report.policy = compute_job_figures(&policy, &counted);
    report.baseline = compute_job_figures(&baseline, &counted);
    report.without = ablate(&loads, options, |results| {
        compute_job_figures(results, &counted)
    });
    report.curves = build_usage_curves(&policy, &baseline);
    report
}

/// Simulates the load of each data centre under the policy of `config`, in one thread per data
/// centre.
pub(crate) fn simulate_all(
    loads: &[Load],
    config: PlacementConfig,
    options: BenchOptions,
) -> SiteResults {
    std::thread::scope(|scope| {
        let threads: Vec<_> = loads
            .iter()
            .map(|load| scope.spawn(move || simulate(load, config, options.seed)))
            .collect();
        let results = threads.into_iter().map(|thread| thread.join());
        results.map(Result::unwrap_or_default).collect()
    })
}

/// Computes `figures` of the policy without each mechanism in turn, by mechanism.
pub(crate) fn ablate(
    loads: &[Load],
    options: BenchOptions,
    figures: impl Fn(&SiteResults) -> Figures,
) -> BTreeMap<&'static str, Figures> {
    let run = |&(mechanism, switch_off): &MechanismSwitch| {
        let mut config = PlacementConfig::default();
        switch_off(&mut config);
        let results = simulate_all(loads, config, options);
        (mechanism, figures(&results))
    };
    MECHANISMS.iter().map(run).collect()
}

/// Iterates over the jobs of all data centres, in the same order for every simulation of a load.
pub(crate) fn iterate_jobs(
    results: &SiteResults,
) -> impl Iterator<Item = &(super::gang_load::JobPlan, JobProgress)> {
    results.iter().flat_map(|result| &result.jobs)
}

/// Returns for each job whether it finished in both simulations.
pub(crate) fn find_finished_in_both(first: &SiteResults, second: &SiteResults) -> Vec<bool> {
    let both = iterate_jobs(first).zip(iterate_jobs(second));
    both.map(|((_, first), (_, second))| {
        first.finished_ms.is_some() && second.finished_ms.is_some()
    })
    .collect()
}

/// Largest time that the histograms can record, in milliseconds.
const HISTOGRAM_MS_MAX: u64 = 100 * LOAD_MS;

/// Creates a histogram of times in milliseconds with three significant digits.
pub(crate) fn create_histogram() -> Histogram<u64> {
    // The constructor accepts these constant bounds.
    Histogram::new_with_bounds(1, HISTOGRAM_MS_MAX, 3).unwrap_or_else(|_| unreachable!())
}

/// Computes figures of completion and waiting over the jobs marked in `counted`, of job states over
/// all jobs, and of the data centres.
pub(crate) fn compute_job_figures(results: &SiteResults, counted: &[bool]) -> Figures {
    let mut completion = create_histogram();
    let mut wait = create_histogram();
    let mut large_wait = create_histogram();
    let mut run_time = create_histogram();
    let mut by_organisation = BTreeMap::<&OrganisationName, Histogram<u64>>::new();
    let mut figures = Figures::new();
    let mut count = |name, is_true: bool| {
        *figures.entry(name).or_insert(0.0) += f64::from(u8::from(is_true));
    };
    for ((plan, progress), &is_counted) in iterate_jobs(results).zip(counted) {
        count("jobs_finished", progress.finished_ms.is_some());
        count("jobs_cancelled", progress.is_cancelled);
        count("jobs_refused_or_failed", progress.is_failed);
        let is_ended =
            progress.finished_ms.is_some() || progress.is_cancelled || progress.is_failed;
        count("jobs_left", !is_ended);
        let (true, Some(end_ms), Some(start_ms)) =
            (is_counted, progress.finished_ms, progress.first_start_ms)
        else {
            continue;
        };
        completion.saturating_record(end_ms - plan.submit_ms);
        run_time.saturating_record(plan.run_ms);
        let wait_ms = start_ms - plan.submit_ms;
        let of_organisation = by_organisation.entry(&plan.spec.organisation);
        of_organisation
            .or_insert_with(create_histogram)
            .saturating_record(wait_ms);
        wait.saturating_record(wait_ms);
        if plan.spec.gang.accelerators() >= LARGE_GANG_ACCELERATORS {
            large_wait.saturating_record(wait_ms);
        }
    }
    let seconds = |ms: f64| ms / SECOND_MS as f64;
    figures.insert("completion_mean_s", seconds(completion.mean()));
    figures.insert(
        "completion_p99_s",
        seconds(completion.value_at_quantile(0.99) as f64),
    );
    figures.insert("wait_mean_s", seconds(wait.mean()));
    figures.insert("wait_p99_s", seconds(wait.value_at_quantile(0.99) as f64));
    figures.insert("wait_max_s", seconds(wait.max() as f64));
    figures.insert("large_wait_mean_s", seconds(large_wait.mean()));
    figures.insert("large_wait_max_s", seconds(large_wait.max() as f64));
    figures.insert(
        "run_p99_s",
        seconds(run_time.value_at_quantile(0.99) as f64),
    );
    let organisations = by_organisation.values().map(Histogram::mean);
    let worst = organisations.fold(0.0, f64::max);
    figures.insert("organisation_wait_max_s", seconds(worst));
    figures.extend(compute_site_figures(results));
    figures
}

/// Computes figures of accelerator use, discarded work and decisions, summed over the data centres.
fn compute_site_figures(results: &SiteResults) -> Figures {
    let hours = |ms: f64| ms / HOUR_MS as f64;
    let total = |value: fn(&SiteResult) -> f64| results.iter().map(value).sum::<f64>();
    let in_load = |result: &SiteResult, value: fn(&Sample) -> u32| -> f64 {
        let samples = result.samples.iter();
        let samples = samples.filter(|sample| sample.at_ms <= LOAD_MS);
        samples.map(|sample| f64::from(value(sample))).sum()
    };
    let sum = |value: fn(&Sample) -> u32| -> f64 {
        results.iter().map(|result| in_load(result, value)).sum()
    };
    let (used, free) = (sum(|sample| sample.used), sum(|sample| sample.free));
    let stranded = sum(|sample| sample.stranded);
    let all = (used + free).max(1.0);
    Figures::from([
        ("use_share", used / all),
        ("stranded_share_of_all", stranded / all),
        ("stranded_share_of_free", stranded / free.max(1.0)),
        ("lost_work_accelerator_h", hours(total(|o| o.lost_work_ms))),
        (
            "preempted_work_accelerator_h",
            hours(total(|o| o.preempted_work_ms)),
        ),
        ("preemptions", total(|o| f64::from(o.preemptions))),
        ("moves", total(|o| f64::from(o.moves))),
        ("quarantines", total(|o| f64::from(o.quarantines))),
        ("shortfalls", total(|o| f64::from(o.shortfalls))),
    ])
}

/// Samples accelerator use and waiting jobs at `now_ms`.
pub(crate) fn take_sample(placement: &Placement, now_ms: u64) -> Sample {
    let mut free = BTreeMap::<(&RackName, u32), u8>::new();
    let racks: BTreeMap<&WorkerName, (&RackName, u32)> = placement
        .workers()
        .filter(|row| row.state == placement::WorkerState::Healthy)
        .map(|row| (row.worker, (row.rack, row.position)))
        .collect();
    let mut used = 0;
    for row in placement.accelerators() {
        let Some(&place) = racks.get(row.worker) else {
            continue;
        };
        if row.holder.is_some() {
            used += 1;
        } else {
            *free.entry(place).or_default() |= 1 << row.index;
        }
    }
    let shapes = placement.waiting().map(|spec| spec.gang);
    let largest = shapes.max_by_key(|gang| (gang.accelerators(), gang.accelerators_per_member()));
    let free_count: u32 = free.values().map(|mask| mask.count_ones()).sum();
    let usable = largest.map_or(free_count, |gang| count_usable(&free, gang));
    Sample {
        at_ms: now_ms,
        used,
        free: free_count,
        stranded: free_count - usable,
        waiting: placement.waiting().count() as u32,
    }
}

/// Counts the free accelerators in aligned windows that a whole gang of shape `gang` can use.
fn count_usable(free: &BTreeMap<(&RackName, u32), u8>, gang: GangShape) -> u32 {
    let is_single = gang.adjacency() == Adjacency::Worker;
    let members = if is_single { 1 } else { gang.members() };
    let needed_per_window = gang.accelerators() / members;
    let window_size = needed_per_window.next_power_of_two();
    let mut by_rack = BTreeMap::<&RackName, (u32, u32)>::new();
    for (&(rack, _), &mask) in free {
        for start in (0..ACCELERATORS_PER_WORKER).step_by(window_size as usize) {
            let bits = (((1_u32 << window_size) - 1) << start) as u8;
            let free_in_window = (mask & bits).count_ones();
            if free_in_window >= needed_per_window {
                let counts = by_rack.entry(rack).or_default();
                counts.0 += 1;
                counts.1 += free_in_window;
            }
        }
    }
    if gang.adjacency() == Adjacency::DataCentre {
        let windows: u32 = by_rack.values().map(|counts| counts.0).sum();
        let usable = by_rack.values().map(|counts| counts.1).sum();
        return if windows >= members { usable } else { 0 };
    }
    let usable_racks = by_rack.values().filter(|counts| counts.0 >= members);
    usable_racks.map(|counts| counts.1).sum()
}

/// Builds curves of waiting jobs, accelerator use and waiting time, over all data centres.
pub(crate) fn build_usage_curves(policy: &SiteResults, baseline: &SiteResults) -> Vec<Curve> {
    let curve = |title, value: fn(&Sample) -> f64| Curve {
        title,
        policy: sum_samples_by_time(policy, value),
        baseline: sum_samples_by_time(baseline, value),
    };
    let mut curves = vec![
        curve("waiting jobs", |sample| f64::from(sample.waiting)),
        curve("accelerators in use", |sample| f64::from(sample.used)),
    ];
    curves.push(Curve {
        title: "waiting time of jobs by hour of arrival, minutes",
        policy: compute_mean_waits_by_hour(policy),
        baseline: compute_mean_waits_by_hour(baseline),
    });
    curves
}

/// Sums `value` over the data centres at each sample time; returns hours and sums.
fn sum_samples_by_time(results: &SiteResults, value: fn(&Sample) -> f64) -> Vec<(f64, f64)> {
    let mut sums = BTreeMap::<u64, f64>::new();
    for sample in results.iter().flat_map(|result| &result.samples) {
        *sums.entry(sample.at_ms).or_default() += value(sample);
    }
    let hours = |at_ms: u64| at_ms as f64 / HOUR_MS as f64;
    sums.into_iter()
        .map(|(at_ms, sum)| (hours(at_ms), sum))
        .collect()
}

/// Computes the mean waiting time of started jobs by hour of submission, in minutes.
fn compute_mean_waits_by_hour(results: &SiteResults) -> Vec<(f64, f64)> {
    let mut sums = BTreeMap::<u64, (f64, f64)>::new();
    for (plan, progress) in iterate_jobs(results) {
        if let Some(start_ms) = progress.first_start_ms {
            let sum = sums.entry(plan.submit_ms / HOUR_MS).or_default();
            sum.0 += (start_ms - plan.submit_ms) as f64 / 60_000.0;
            sum.1 += 1.0;
        }
    }
    let means = sums.into_iter();
    means
        .map(|(hour, (sum, count))| (hour as f64, sum / count))
        .collect()
}
