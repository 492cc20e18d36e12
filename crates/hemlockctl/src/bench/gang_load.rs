//! Generates the gang jobs and faults of one data centre from a deployment and a seed.

use model::job::RawGangShape;
use model::prelude::*;
use placement::WorkerSpec;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::Deployment;

/// Number of workers of each data centre: 50 in total, in racks of 8.
pub(crate) const WORKERS_BY_DATA_CENTRE: [u32; 3] = [17, 17, 16];

/// Duration of the load, in milliseconds.
pub(crate) const LOAD_MS: u64 = 24 * HOUR_MS;

pub(crate) const SECOND_MS: u64 = 1_000;
pub(crate) const MINUTE_MS: u64 = 60 * SECOND_MS;
pub(crate) const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Offered work as a share of the accelerator time that is available during the load.
const OFFERED_LOAD_SHARE: f64 = 0.85;

/// Share of jobs that are stragglers.
const STRAGGLER_SHARE: f64 = 0.01;

/// Factor by which a straggler runs longer than its drawn run time.
const STRAGGLER_FACTOR: f64 = 8.0;

/// Share of jobs that fail on every worker.
const ALWAYS_FAILING_SHARE: f64 = 0.005;

/// Share of jobs whose shape does not fit the hardware of the data centre.
const INFEASIBLE_SHARE: f64 = 0.01;

/// Share of jobs that can be checkpointed.
const CHECKPOINTABLE_SHARE: f64 = 0.8;

/// Number of bursts in which callers cancel recently submitted jobs.
const CANCEL_BURSTS: u32 = 4;

/// Share of the jobs submitted within the last hour that one burst cancels.
const CANCEL_BURST_SHARE: f64 = 0.3;

/// Workers of each data centre that fail every run for 2 hours.
const FAILING_WORKERS: u32 = 1;

/// Workers of each data centre that are lost for 5 to 30 minutes.
const LOST_WORKERS: u32 = 2;

/// Standard deviation of the logarithm of declared over actual run time, within one organisation.
const DECLARED_RUN_TIME_DEVIATION: f64 = 0.8;

/// A class and the distribution of its jobs.
#[derive(Debug, Clone, Copy)]
struct JobKind {
    class: &'static str,
    urgency: Urgency,
    /// Share of the jobs of the deployment.
    weight: f64,
    /// Median run time, in milliseconds.
    run_ms: u64,
    /// Standard deviation of the logarithm of the run time.
    deviation: f64,
    grace_ms: u64,
    /// Gang shapes: members, accelerators per member, adjacency, weight.
    shapes: &'static [(u32, u32, Adjacency, f64)],
}

const KOVACSNE: &[JobKind] = &[
    JobKind {
        class: "cover-recompute",
        urgency: Urgency::Normal,
        weight: 0.70,
        run_ms: 8 * MINUTE_MS,
        deviation: 0.6,
        grace_ms: 10 * SECOND_MS,
        shapes: &[
            (1, 1, Adjacency::Worker, 0.3),
            (1, 2, Adjacency::Worker, 0.3),
            (1, 4, Adjacency::Worker, 0.2),
            (2, 4, Adjacency::Rack, 0.1),
            (3, 3, Adjacency::DataCentre, 0.1),
        ],
    },
    JobKind {
        class: "rota-rebuild",
        urgency: Urgency::Normal,
        weight: 0.30,
        run_ms: 40 * MINUTE_MS,
        deviation: 0.7,
        grace_ms: 30 * SECOND_MS,
        shapes: &[
            (1, 8, Adjacency::Worker, 0.40),
            (2, 8, Adjacency::Rack, 0.25),
            (4, 8, Adjacency::Rack, 0.20),
            (8, 8, Adjacency::Rack, 0.08),
            (8, 8, Adjacency::DataCentre, 0.05),
            (12, 8, Adjacency::DataCentre, 0.02),
        ],
    },
];

const BLUE_MAHOE: &[JobKind] = &[
    JobKind {
        class: "spot-check",
        urgency: Urgency::Urgent,
        weight: 0.50,
        run_ms: 3 * MINUTE_MS,
        deviation: 0.5,
        grace_ms: 5 * SECOND_MS,
        shapes: &[
            (1, 1, Adjacency::Worker, 0.6),
            (1, 2, Adjacency::Worker, 0.4),
        ],
    },
    JobKind {
        class: "recipe-sweep",
        urgency: Urgency::Normal,
        weight: 0.35,
        run_ms: HOUR_MS,
        deviation: 0.7,
        grace_ms: 30 * SECOND_MS,
        shapes: &[
            (1, 4, Adjacency::Worker, 0.30),
            (1, 8, Adjacency::Worker, 0.30),
            (2, 8, Adjacency::Rack, 0.25),
            (4, 4, Adjacency::DataCentre, 0.15),
        ],
    },
    JobKind {
        class: "shelf-simulation",
        urgency: Urgency::Normal,
        weight: 0.15,
        run_ms: 2 * HOUR_MS,
        deviation: 0.6,
        grace_ms: 60 * SECOND_MS,
        shapes: &[
            (2, 8, Adjacency::Rack, 0.30),
            (4, 8, Adjacency::Rack, 0.35),
            (8, 8, Adjacency::Rack, 0.20),
            (8, 8, Adjacency::DataCentre, 0.10),
            (12, 8, Adjacency::DataCentre, 0.05),
        ],
    },
];

/// An organisation: name, share of the jobs, factor of declared over actual run times, guarantees
/// as level and count.
type OrganisationRow = (&'static str, f64, f64, &'static [(Level, u32)]);

const KOVACSNE_ORGANISATIONS: &[OrganisationRow] = &[
    ("north-desk", 0.45, 3.0, &[(Level::Rack, 1)]),
    ("south-desk", 0.30, 0.4, &[(Level::TwoWorkers, 1)]),
    ("utility-room", 0.15, 1.0, &[(Level::Worker, 1)]),
    ("on-call-pool", 0.10, 6.0, &[]),
];

const BLUE_MAHOE_ORGANISATIONS: &[OrganisationRow] = &[
    ("trials-team", 0.45, 2.5, &[(Level::Rack, 1)]),
    ("savanna-plant", 0.25, 0.5, &[(Level::TwoWorkers, 1)]),
    ("montego-plant", 0.20, 1.0, &[(Level::Worker, 1)]),
    ("quality", 0.10, 5.0, &[(Level::Four, 1)]),
];

/// Number of accelerators from which a gang is submitted only by the first organisation, which has
/// a rack guarantee.
const LARGE_GANG_ACCELERATORS: u32 = 64;

fn job_kinds_of(deployment: Deployment) -> &'static [JobKind] {
    match deployment {
        Deployment::Kovacsne => KOVACSNE,
        Deployment::BlueMahoe => BLUE_MAHOE,
    }
}

fn organisation_rows_of(deployment: Deployment) -> &'static [OrganisationRow] {
    match deployment {
        Deployment::Kovacsne => KOVACSNE_ORGANISATIONS,
        Deployment::BlueMahoe => BLUE_MAHOE_ORGANISATIONS,
    }
}

/// A job of the load.
#[derive(Debug, Clone)]
pub(crate) struct JobPlan {
    pub(crate) submit_ms: u64,
    pub(crate) spec: JobSpec,
    /// Run time without interruptions, in milliseconds.
    pub(crate) run_ms: u64,
    /// Whether the job fails on every worker.
    pub(crate) always_fails: bool,
    /// Time at which the caller cancels the job if it has not ended.
    pub(crate) cancel_ms: Option<u64>,
    /// Time to save a checkpoint, in milliseconds.
    pub(crate) save_ms: u64,
}

/// A period in which a worker is lost or fails every run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultPlan {
    pub(crate) worker: u32,
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
    /// Whether the worker is lost; otherwise it fails every run that it starts.
    pub(crate) is_loss: bool,
}

/// Workers, declarations, jobs and faults of one simulated data centre.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    pub(crate) data_centre: DataCentreName,
    pub(crate) workers: Vec<WorkerSpec>,
    pub(crate) organisations: Vec<OrganisationSpec>,
    pub(crate) classes: Vec<ClassSpec>,
    pub(crate) jobs: Vec<JobPlan>,
    pub(crate) faults: Vec<FaultPlan>,
}

/// Parses a name; `None` if it is not valid.
pub(crate) fn parse_name<T: TryFrom<String>>(raw: impl Into<String>) -> Option<T> {
    T::try_from(raw.into()).ok()
}

/// Generates the load of data centre `index`, 0 to 2; `None` if a constant of this module is not a
/// valid name or shape.
pub(crate) fn generate(deployment: Deployment, seed: u64, index: usize) -> Option<Load> {
    let mut rng = Pcg32::seed_from_u64(seed.wrapping_mul(31).wrapping_add(index as u64));
    let mut load = build_empty_load(deployment, index)?;
    let capacity = load.workers.len() as f64 * f64::from(ACCELERATORS_PER_WORKER);
    let mut remaining_work = OFFERED_LOAD_SHARE * capacity * LOAD_MS as f64;
    let mut plans = Vec::new();
    while remaining_work > 0.0 {
        let plan = draw_job(deployment, &mut rng)?;
        remaining_work -= plan.run_ms as f64 * f64::from(plan.spec.gang.accelerators());
        plans.push(plan);
    }
    for plan in &mut plans {
        plan.submit_ms = draw_arrival_ms(&mut rng);
    }
    plans.sort_by_key(|plan| plan.submit_ms);
    plan_cancellations(&mut plans, &mut rng);
    load.jobs = plans;
    load.faults = draw_faults(load.workers.len() as u32, &mut rng);
    Some(load)
}

/// Builds the workers and declarations of data centre `index`, without jobs and faults; `None` if a
/// constant of this module is not a valid name.
pub(crate) fn build_empty_load(deployment: Deployment, index: usize) -> Option<Load> {
    let names = match deployment {
        Deployment::Kovacsne => ["gyor", "pecs", "szeged"],
        Deployment::BlueMahoe => ["montego", "savanna", "spanish-town"],
    };
    let data_centre: DataCentreName = parse_name(names[index])?;
    let workers = (0..WORKERS_BY_DATA_CENTRE[index]).map(|worker| {
        Some(WorkerSpec {
            name: parse_name(format!("{data_centre}-w{worker}"))?,
            rack: parse_name(format!("{data_centre}-r{}", worker / WORKERS_PER_RACK))?,
            position: worker % WORKERS_PER_RACK,
            accelerators: ACCELERATORS_PER_WORKER,
        })
    });
    let workers: Vec<WorkerSpec> = workers.collect::<Option<_>>()?;
    let classes = job_kinds_of(deployment).iter().map(build_class_spec);
    let classes: Vec<ClassSpec> = classes.collect::<Option<_>>()?;
    let rows = organisation_rows_of(deployment).iter();
    let organisations = rows.map(|row| build_organisation_spec(row, &data_centre, &classes));
    Some(Load {
        organisations: organisations.collect::<Option<_>>()?,
        data_centre,
        workers,
        classes,
        jobs: Vec::new(),
        faults: Vec::new(),
    })
}

fn build_class_spec(kind: &JobKind) -> Option<ClassSpec> {
    Some(ClassSpec {
        name: parse_name(kind.class)?,
        urgency: kind.urgency,
        expected_run_ms: kind.run_ms,
        deadline_ms: LOAD_MS,
        grace_ms: kind.grace_ms,
        idempotent: true,
        in_flight_max: u32::MAX,
        queue_max: u32::MAX,
    })
}

fn build_organisation_spec(
    row: &OrganisationRow,
    data_centre: &DataCentreName,
    classes: &[ClassSpec],
) -> Option<OrganisationSpec> {
    let guarantees = row.3.iter().map(|&(level, count)| Guarantee {
        data_centre: data_centre.clone(),
        level,
        count,
    });
    Some(OrganisationSpec {
        name: parse_name(row.0)?,
        guarantees: guarantees.collect(),
        quota: Quota {
            accelerators: u32::MAX,
            requests_in_flight: u32::MAX,
        },
        classes: classes.iter().map(|class| class.name.clone()).collect(),
        token_digests: Vec::new(),
        suspended: false,
    })
}

/// Picks an item with a probability proportional to its weight.
fn pick_weighted<'a, T>(items: &'a [T], weight: impl Fn(&T) -> f64, rng: &mut Pcg32) -> &'a T {
    let total: f64 = items.iter().map(&weight).sum();
    let mut remaining = rng.random_range(0.0..total);
    for item in items {
        remaining -= weight(item);
        if remaining < 0.0 {
            return item;
        }
    }
    &items[items.len() - 1]
}

/// Draws a log-normal factor whose logarithm has mean 0 and the given standard deviation.
fn draw_log_normal_factor(deviation: f64, rng: &mut Pcg32) -> f64 {
    // The sum of twelve uniform numbers is approximately normal with standard deviation 1.
    let sum: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum();
    (deviation * (sum - 6.0)).exp()
}

fn draw_job(deployment: Deployment, rng: &mut Pcg32) -> Option<JobPlan> {
    let kind = pick_weighted(job_kinds_of(deployment), |kind| kind.weight, rng);
    let organisations = organisation_rows_of(deployment);
    let organisation = pick_weighted(organisations, |row| row.1, rng);
    let is_infeasible = rng.random_bool(INFEASIBLE_SHARE);
    let shape = if is_infeasible {
        // A rack has 8 workers, so 12 members of 8 accelerators do not fit.
        (12, 8, Adjacency::Rack, 0.0)
    } else {
        *pick_weighted(kind.shapes, |shape| shape.3, rng)
    };
    let is_large = shape.0 * shape.1 >= LARGE_GANG_ACCELERATORS && !is_infeasible;
    let organisation = if is_large {
        &organisations[0]
    } else {
        organisation
    };
    let is_straggler = rng.random_bool(STRAGGLER_SHARE);
    let factor = draw_log_normal_factor(kind.deviation, rng);
    let factor = if is_straggler {
        factor * STRAGGLER_FACTOR
    } else {
        factor
    };
    let run_ms = (kind.run_ms as f64 * factor) as u64;
    let declared_factor = organisation.2 * draw_log_normal_factor(DECLARED_RUN_TIME_DEVIATION, rng);
    // The caller does not know that a job is a straggler when declaring its run time.
    let declared_base_ms = if is_straggler { kind.run_ms } else { run_ms };
    let gang = RawGangShape {
        members: shape.0,
        accelerators_per_member: shape.1,
        adjacency: shape.2,
    };
    let run_ms = if is_infeasible { 0 } else { run_ms };
    Some(JobPlan {
        submit_ms: 0,
        spec: JobSpec {
            class: parse_name(kind.class)?,
            organisation: parse_name(organisation.0)?,
            gang: GangShape::try_from(gang).ok()?,
            run_ms_declared: (declared_base_ms as f64 * declared_factor) as u64,
            checkpointable: rng.random_bool(CHECKPOINTABLE_SHARE),
            ticket: None,
            input: String::new(),
        },
        run_ms,
        always_fails: rng.random_bool(ALWAYS_FAILING_SHARE),
        cancel_ms: None,
        save_ms: rng.random_range(SECOND_MS..=kind.grace_ms * 8 / 10),
    })
}

/// Draws an arrival time. A third of the jobs arrive in 24 bursts of 20 seconds; the rest follow a
/// demand that rises and falls twice over the day, as a sine wave.
fn draw_arrival_ms(rng: &mut Pcg32) -> u64 {
    const BURSTS: u64 = 24;
    const BURST_MS: u64 = 20 * SECOND_MS;
    if rng.random_bool(1.0 / 3.0) {
        let burst = rng.random_range(0..BURSTS);
        let start_ms = burst * LOAD_MS / BURSTS + burst * burst % 7 * MINUTE_MS;
        return start_ms + rng.random_range(0..BURST_MS);
    }
    loop {
        let at_ms = rng.random_range(0..LOAD_MS);
        let angle = at_ms as f64 / LOAD_MS as f64 * std::f64::consts::TAU;
        let demand = 0.6 + 0.4 * (angle * 2.0).sin();
        if rng.random_bool(demand) {
            return at_ms;
        }
    }
}

fn plan_cancellations(plans: &mut [JobPlan], rng: &mut Pcg32) {
    for _ in 0..CANCEL_BURSTS {
        let cancel_from_ms = rng.random_range(HOUR_MS..LOAD_MS);
        let recent = plans.iter_mut().filter(|plan| {
            plan.submit_ms < cancel_from_ms && plan.submit_ms + HOUR_MS > cancel_from_ms
        });
        for plan in recent {
            if rng.random_bool(CANCEL_BURST_SHARE) && plan.cancel_ms.is_none() {
                plan.cancel_ms = Some(cancel_from_ms + rng.random_range(0..2 * SECOND_MS));
            }
        }
    }
}

fn draw_faults(workers: u32, rng: &mut Pcg32) -> Vec<FaultPlan> {
    let mut faults = Vec::new();
    for index in 0..FAILING_WORKERS + LOST_WORKERS {
        let is_loss = index >= FAILING_WORKERS;
        let from_ms = rng.random_range(0..LOAD_MS - 2 * HOUR_MS);
        let duration_ms = if is_loss {
            rng.random_range(5 * MINUTE_MS..30 * MINUTE_MS)
        } else {
            2 * HOUR_MS
        };
        faults.push(FaultPlan {
            worker: rng.random_range(0..workers),
            from_ms,
            until_ms: from_ms + duration_ms,
            is_loss,
        });
    }
    faults
}
