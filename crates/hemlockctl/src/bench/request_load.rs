//! Generates an open-loop load of requests for a deployment: arrivals, classes, organisations and
//! run times.

use model::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Deployment;

/// Number of entry nodes of the data centre.
pub(crate) const NODES: usize = 3;

/// Share of the arrivals at each entry node, in permille.
const NODE_SHARES_PERMILLE: [u32; NODES] = [400, 350, 250];

/// Share of the load by organisation, in permille; each organisation has the same quota.
const ORGANISATION_SHARES_PERMILLE: [u32; 4] = [600, 200, 120, 80];

/// Quota of requests in flight of each organisation.
const QUOTA_IN_FLIGHT: u32 = 1_000;

/// One in this many requests is a straggler.
const STRAGGLER_ONE_IN: u32 = 100;

/// Range of factors by which a straggler runs longer.
const STRAGGLER_FACTORS: std::ops::Range<f64> = 5.0..10.0;

/// Range of times between changes of the arrival rate of a class, in milliseconds.
const RATE_CHANGE_INTERVAL_MS: std::ops::Range<u64> = 1_000..4_000;

/// Range of factors on the arrival rate of a class.
const RATE_FACTORS: std::ops::Range<f64> = 0.5..1.5;

/// A class, its share of the load and its actual mean run time.
#[derive(Debug, Clone)]
pub(crate) struct ClassLoad {
    /// Declaration of the class.
    pub(crate) spec: ClassSpec,
    /// Share of the offered slot time, in permille.
    pub(crate) share_permille: u32,
    /// Actual mean run time, in milliseconds; it may differ from the declared one.
    pub(crate) mean_run_ms: f64,
}

/// One request of the load.
#[derive(Debug, Clone)]
pub(crate) struct LoadRequest {
    /// Time of arrival.
    pub(crate) at_ms: u64,
    /// Entry node that it arrives at.
    pub(crate) node: usize,
    /// Index of its class.
    pub(crate) class: usize,
    /// Index of its organisation.
    pub(crate) organisation: usize,
    /// Deadline of the answer.
    pub(crate) deadline_at_ms: u64,
    /// Run time of the first attempt and of every other attempt on an idle worker, in milliseconds.
    pub(crate) run_ms: [u64; 2],
}

/// A period of constant mean load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Phase {
    /// Duration of the phase, in milliseconds.
    pub(crate) duration_ms: u64,
    /// Offered slot time as a ratio to the capacity.
    pub(crate) load: f64,
}

/// Declarations and requests of one simulation.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    /// Classes of the deployment.
    pub(crate) classes: Vec<ClassLoad>,
    /// Organisations that submit the requests.
    pub(crate) organisations: Vec<OrganisationSpec>,
    /// Requests in the order of arrival.
    pub(crate) requests: Vec<LoadRequest>,
}

/// Distribution of the offered slot time over the classes.
#[derive(Debug, Clone, Copy)]
pub(crate) enum LoadMix {
    /// A large share of short work.
    Balanced,
    /// Mostly long work.
    MostlyLong,
}

/// Name, urgency, declared run time, actual mean run time, deadline, idempotence, and shares by
/// [`LoadMix`] in permille; times are in milliseconds.
type ClassRow = (&'static str, Urgency, u64, f64, u64, bool, [u32; 2]);

const KOVACSNE: [ClassRow; 4] = [
    (
        "leak-report",
        Urgency::Urgent,
        50,
        50.0,
        5_000,
        false,
        [50, 30],
    ),
    (
        "roster-query",
        Urgency::Normal,
        150,
        180.0,
        5_000,
        true,
        [250, 100],
    ),
    (
        "cover-recompute",
        Urgency::Normal,
        1_500,
        1_200.0,
        30_000,
        true,
        [300, 150],
    ),
    (
        "rota-rebuild",
        Urgency::Normal,
        20_000,
        26_000.0,
        600_000,
        false,
        [400, 720],
    ),
];

const BLUE_MAHOE: [ClassRow; 3] = [
    (
        "spot-check",
        Urgency::Urgent,
        200,
        200.0,
        5_000,
        false,
        [100, 50],
    ),
    (
        "recipe-sweep",
        Urgency::Normal,
        10_000,
        8_000.0,
        300_000,
        true,
        [400, 350],
    ),
    (
        "shelf-simulation",
        Urgency::Normal,
        40_000,
        52_000.0,
        1_200_000,
        false,
        [500, 600],
    ),
];

/// Builds the classes of a deployment.
fn build_classes(deployment: Deployment, mix: LoadMix) -> Vec<ClassLoad> {
    let rows = match deployment {
        Deployment::Kovacsne => &KOVACSNE[..],
        Deployment::BlueMahoe => &BLUE_MAHOE[..],
    };
    rows.iter()
        .filter_map(|row| build_class_load(row, mix))
        .collect()
}

fn build_class_load(row: &ClassRow, mix: LoadMix) -> Option<ClassLoad> {
    let &(name, urgency, expected_run_ms, mean_run_ms, deadline_ms, idempotent, shares) = row;
    Some(ClassLoad {
        spec: ClassSpec {
            name: ClassName::try_from(name).ok()?,
            urgency,
            expected_run_ms,
            deadline_ms,
            grace_ms: 1_000,
            idempotent,
            in_flight_max: 10_000,
            queue_max: 10_000,
        },
        share_permille: shares[mix as usize],
        mean_run_ms,
    })
}

fn build_organisations(classes: &[ClassLoad]) -> Vec<OrganisationSpec> {
    let names = ["org-a", "org-b", "org-c", "org-d"];
    let named = names
        .iter()
        .filter_map(|&name| OrganisationName::try_from(name).ok());
    let specs = named.map(|name| OrganisationSpec {
        name,
        guarantees: Vec::new(),
        quota: Quota {
            accelerators: 0,
            requests_in_flight: QUOTA_IN_FLIGHT,
        },
        classes: classes
            .iter()
            .map(|class| class.spec.name.clone())
            .collect(),
        token_digests: Vec::new(),
        suspended: false,
    });
    specs.collect()
}

/// Draws an index with probabilities proportional to `shares_permille`.
fn draw_index(rng: &mut Pcg64Mcg, shares_permille: &[u32]) -> usize {
    let mut remaining = rng.random_range(0..shares_permille.iter().sum::<u32>().max(1));
    for (index, &share) in shares_permille.iter().enumerate() {
        if remaining < share {
            return index;
        }
        remaining -= share;
    }
    0
}

/// Draws the run times of the first and of every other attempt. Half of the stragglers run long in
/// every attempt, the other half only in the first.
fn draw_run_ms(rng: &mut Pcg64Mcg, mean_ms: f64) -> [u64; 2] {
    let usual_ms = mean_ms * (0.5 + 0.5 * rng.random::<f64>() + 0.5 * rng.random::<f64>());
    let mut run_ms = [usual_ms, usual_ms];
    if rng.random_range(0..STRAGGLER_ONE_IN) == 0 {
        let factor = rng.random_range(STRAGGLER_FACTORS);
        run_ms[0] *= factor;
        if rng.random::<bool>() {
            run_ms[1] *= factor;
        }
    }
    run_ms.map(|ms| (ms as u64).max(1))
}

/// Generates the load of `phases` for a data centre with `capacity_slots`.
pub(crate) fn generate(
    deployment: Deployment,
    mix: LoadMix,
    seed: u64,
    capacity_slots: f64,
    phases: &[Phase],
) -> Load {
    let classes = build_classes(deployment, mix);
    let mut requests = Vec::new();
    for (index, class) in classes.iter().enumerate() {
        // Each class has its own generator, so that changing one class does not change the others.
        let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(31).wrapping_add(index as u64));
        generate_class(
            &mut rng,
            index,
            class,
            capacity_slots,
            phases,
            &mut requests,
        );
    }
    requests.sort_by_key(|request: &LoadRequest| request.at_ms);
    Load {
        organisations: build_organisations(&classes),
        classes,
        requests,
    }
}

fn generate_class(
    rng: &mut Pcg64Mcg,
    index: usize,
    class: &ClassLoad,
    capacity_slots: f64,
    phases: &[Phase],
    requests: &mut Vec<LoadRequest>,
) {
    let straggler_mean = (STRAGGLER_FACTORS.start + STRAGGLER_FACTORS.end) / 2.0;
    let straggler_share = 1.0 / f64::from(STRAGGLER_ONE_IN);
    let mean_ms = class.mean_run_ms * (1.0 + straggler_share * (straggler_mean - 1.0));
    let slots = capacity_slots * f64::from(class.share_permille) / 1_000.0;
    let mut phase_end_ms = 0;
    for phase in phases {
        let mut at_ms = phase_end_ms as f64;
        phase_end_ms += phase.duration_ms;
        let mut rate_change_ms = at_ms;
        let mut rate_factor = 1.0;
        loop {
            if at_ms >= rate_change_ms {
                rate_change_ms = at_ms + rng.random_range(RATE_CHANGE_INTERVAL_MS) as f64;
                rate_factor = rng.random_range(RATE_FACTORS);
            }
            let per_ms = slots * phase.load * rate_factor / mean_ms;
            at_ms += -(1.0 - rng.random::<f64>()).ln() / per_ms;
            if at_ms >= phase_end_ms as f64 {
                break;
            }
            requests.push(draw_request(rng, index, class, at_ms as u64));
        }
    }
}

fn draw_request(
    rng: &mut Pcg64Mcg,
    class_index: usize,
    class: &ClassLoad,
    at_ms: u64,
) -> LoadRequest {
    LoadRequest {
        at_ms,
        node: draw_index(rng, &NODE_SHARES_PERMILLE),
        class: class_index,
        organisation: draw_index(rng, &ORGANISATION_SHARES_PERMILLE),
        deadline_at_ms: at_ms + class.spec.deadline_ms,
        run_ms: draw_run_ms(rng, class.mean_run_ms),
    }
}
