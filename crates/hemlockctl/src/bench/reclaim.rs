//! Benchmark `reclaim`: time to start claims, which are jobs within a guarantee, while preemptible
//! work of another organisation holds all accelerators.

use model::job::RawGangShape;
use model::prelude::*;
use placement::PlacementConfig;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::gang_figures::{
    SiteResults, ablate, build_usage_curves, compute_job_figures, create_histogram, iterate_jobs,
    simulate_all,
};
use super::gang_load::{
    JobPlan, LOAD_MS, Load, MINUTE_MS, SECOND_MS, build_empty_load, parse_name,
};
use super::report::{Figures, Goal};
use super::{BenchName, BenchOptions, BenchReport, gang_load};

/// Longest time from a claim to its start beyond the longest grace period, in seconds.
const START_AFTER_GRACE_S_MAX: f64 = 5.0;

/// Least share of accelerators that the filler holds before the first claim.
const FILLED_SHARE_MIN: f64 = 0.999;

/// Earliest time of a claim, in milliseconds; the filler holds all accelerators by then.
const FIRST_CLAIM_MS: u64 = 10 * MINUTE_MS;

/// Upper bound of the random pause before each claim, in milliseconds; claims for one guaranteed
/// block then follow each other after 21 minutes on average.
const CLAIM_PAUSE_MS_MAX: u64 = 20 * MINUTE_MS;

/// Longest run time of a claim, in milliseconds.
const CLAIM_RUN_MS_MAX: u64 = 15 * MINUTE_MS;

/// Number of single-accelerator jobs that fill the gaps between larger ones.
const SMALL_FILLER_JOBS: u32 = 64;

/// Organisation without guarantees whose work holds all accelerators before the claims.
const FILLER_ORGANISATION: &str = "overflow";

/// Runs the benchmark.
pub(crate) fn run(options: BenchOptions) -> BenchReport {
    let mut report = BenchReport::new(BenchName::Reclaim, options);
    let loads = (0..gang_load::WORKERS_BY_DATA_CENTRE.len()).map(|index| {
        let mut rng = Pcg32::seed_from_u64(options.seed.wrapping_mul(31) + index as u64);
        generate(options, index, &mut rng)
    });
    let Some(loads) = loads.collect::<Option<Vec<_>>>() else {
        return report;
    };
    let policy = simulate_all(&loads, PlacementConfig::default(), options);
    let baseline = simulate_all(&loads, PlacementConfig::baseline(), options);
    report.policy = compute_claim_figures(&policy);
    report.baseline = compute_claim_figures(&baseline);
    report.without = ablate(&loads, options, compute_claim_figures);
    let grace_s = loads[0].classes.iter().map(|class| class.grace_ms).max();
    let grace_s = grace_s.unwrap_or(0) as f64 / SECOND_MS as f64;
    report.policy.insert("grace_max_s", grace_s);
    report.goals = vec![
        Goal::at_most(
            "claim_wait_max_s",
            grace_s + START_AFTER_GRACE_S_MAX,
            report.policy["claim_wait_max_s"],
        ),
        Goal::at_most(
            "claims_not_started",
            0.0,
            report.policy["claims_not_started"],
        ),
        Goal::at_least(
            "filled_share_before_claims",
            FILLED_SHARE_MIN,
            report.policy["filled_share_before_claims"],
        ),
    ];
    report.curves = build_usage_curves(&policy, &baseline);
    report
}

/// Generates the load of data centre `index`: jobs of the filler organisation, and claims of the
/// others.
fn generate(options: BenchOptions, index: usize, rng: &mut Pcg32) -> Option<Load> {
    let mut load = build_empty_load(options.deployment, index)?;
    let mut filler = load.organisations[0].clone();
    filler.name = parse_name(FILLER_ORGANISATION)?;
    filler.guarantees.clear();
    load.organisations.push(filler);
    let accelerators = load.workers.len() as u32 * ACCELERATORS_PER_WORKER;
    // Twice the capacity keeps all accelerators in use when work ends or is stopped.
    let mut accelerators_left = 2 * accelerators;
    while accelerators_left > 0 {
        let each = [1, 2, 4, 8][rng.random_range(0..4)].min(accelerators_left);
        let members = rng.random_range(1..=3).min(accelerators_left / each);
        let gang = RawGangShape {
            members,
            accelerators_per_member: each,
            adjacency: Adjacency::DataCentre,
        };
        accelerators_left -= members * each;
        let submit_ms = rng.random_range(0..MINUTE_MS);
        load.jobs.push(plan_job(
            &load,
            FILLER_ORGANISATION,
            gang,
            submit_ms,
            4 * LOAD_MS,
            rng,
        )?);
    }
    // Small jobs fill the gaps that the shapes above leave.
    for _ in 0..SMALL_FILLER_JOBS {
        let gang = RawGangShape {
            members: 1,
            accelerators_per_member: 1,
            adjacency: Adjacency::Worker,
        };
        let plan = plan_job(
            &load,
            FILLER_ORGANISATION,
            gang,
            MINUTE_MS,
            4 * LOAD_MS,
            rng,
        )?;
        load.jobs.push(plan);
    }
    let organisations = load.organisations.clone();
    for organisation in &organisations {
        for guarantee in &organisation.guarantees {
            for _ in 0..guarantee.count {
                plan_claims(&mut load, organisation, guarantee.level, rng)?;
            }
        }
    }
    load.jobs.sort_by_key(|plan| plan.submit_ms);
    Some(load)
}

/// Adds claims for one guaranteed block, one after another.
fn plan_claims(
    load: &mut Load,
    organisation: &OrganisationSpec,
    level: Level,
    rng: &mut Pcg32,
) -> Option<()> {
    let mut submit_ms = FIRST_CLAIM_MS + rng.random_range(0..CLAIM_PAUSE_MS_MAX);
    while submit_ms < LOAD_MS / 2 {
        let is_large = level > Level::Worker;
        let accelerators = level.accelerators();
        let gang = RawGangShape {
            members: if is_large { level.workers() } else { 1 },
            accelerators_per_member: accelerators.min(ACCELERATORS_PER_WORKER),
            adjacency: if is_large {
                Adjacency::Rack
            } else {
                Adjacency::Worker
            },
        };
        let run_ms = rng.random_range(MINUTE_MS..CLAIM_RUN_MS_MAX);
        let owner = organisation.name.as_str();
        load.jobs
            .push(plan_job(load, owner, gang, submit_ms, run_ms, rng)?);
        // 3 minutes more than the run time, so that this claim has ended before the next one.
        submit_ms += run_ms + 3 * MINUTE_MS + rng.random_range(0..CLAIM_PAUSE_MS_MAX);
    }
    Some(())
}

fn plan_job(
    load: &Load,
    owner: &str,
    gang: RawGangShape,
    submit_ms: u64,
    run_ms: u64,
    rng: &mut Pcg32,
) -> Option<JobPlan> {
    let class = &load.classes[rng.random_range(0..load.classes.len())];
    // Some jobs take longer to save a checkpoint than their grace period, and lose their work.
    let save_ms = rng.random_range(SECOND_MS..=class.grace_ms * 11 / 10);
    Some(JobPlan {
        submit_ms,
        spec: JobSpec {
            class: class.name.clone(),
            organisation: parse_name(owner)?,
            gang: GangShape::try_from(gang).ok()?,
            run_ms_declared: run_ms,
            checkpointable: rng.random_bool(0.8),
            ticket: None,
            input: String::new(),
        },
        run_ms,
        always_fails: false,
        cancel_ms: (owner == FILLER_ORGANISATION).then_some(LOAD_MS),
        save_ms,
    })
}

/// Computes figures of the claims, and of the work that the filler lost to them.
fn compute_claim_figures(results: &SiteResults) -> Figures {
    let is_claim = |plan: &JobPlan| plan.spec.organisation.as_str() != FILLER_ORGANISATION;
    let mut wait = create_histogram();
    let mut not_started = 0.0;
    let counted: Vec<bool> = iterate_jobs(results)
        .map(|(plan, _)| is_claim(plan))
        .collect();
    for (plan, progress) in iterate_jobs(results).filter(|(plan, _)| is_claim(plan)) {
        match progress.first_start_ms {
            Some(start_ms) => wait.saturating_record(start_ms - plan.submit_ms),
            None => not_started += 1.0,
        }
    }
    let before = results.iter().flat_map(|result| &result.samples);
    let before = before.filter(|s| s.at_ms > 2 * MINUTE_MS && s.at_ms < FIRST_CLAIM_MS);
    let (used, free) = before.fold((0.0, 0.0), |(used, free), sample| {
        (used + f64::from(sample.used), free + f64::from(sample.free))
    });
    let seconds = |ms: u64| ms as f64 / SECOND_MS as f64;
    let mut figures = compute_job_figures(results, &counted);
    figures.insert("claims", wait.len() as f64 + not_started);
    figures.insert("claims_not_started", not_started);
    figures.insert("claim_wait_mean_s", wait.mean() / SECOND_MS as f64);
    figures.insert("claim_wait_p99_s", seconds(wait.value_at_quantile(0.99)));
    figures.insert("claim_wait_max_s", seconds(wait.max()));
    figures.insert("filled_share_before_claims", used / (used + free));
    figures
}
