//! Benchmark `capacity`: measures processor time, memory and messages of the scheduling code at
//! growing sizes, and derives the cost at the target size from fitted lines.
//!
//! Counts and bytes depend on the seed alone; processor time and memory vary between runs.

use rand::SeedableRng;
use rand_pcg::Pcg32;

use super::capacity_meter::{fit, measure_memory_bytes};
use super::capacity_target::{add_target_figures, names};
use super::{
    BenchName, BenchOptions, BenchReport, capacity_declarations, capacity_gangs, capacity_nodes,
    capacity_placement, capacity_tickets,
};

/// Numbers of workers to measure.
const WORKERS: [usize; 5] = [500, 2_000, 5_000, 8_000, 13_000];

/// Number of workers per organisation.
const WORKERS_PER_ORGANISATION: usize = 20;

/// Numbers of entry nodes to measure.
const NODES: [usize; 5] = [9, 18, 36, 72, 144];

/// Numbers of tickets to measure.
const TICKETS: [u32; 5] = [1_250, 2_500, 5_000, 10_000, 20_000];

/// Accelerators per 13 workers at the target: 21,000 on 13,000 workers.
const ACCELERATORS_PER_13_WORKERS: usize = 21;

/// Measured figures of all sizes, in the order in which their names were first added.
#[derive(Debug, Default)]
struct Measurements {
    figures: Vec<MeasuredFigure>,
}

/// One measured figure at several sizes.
#[derive(Debug)]
struct MeasuredFigure {
    name: &'static str,
    per: &'static str,
    points: Vec<(f64, f64)>,
}

impl Measurements {
    /// Adds figures at one size; `per` names what the size counts.
    fn add(&mut self, per: &'static str, size: usize, values: &[(&'static str, f64)]) {
        for &(name, value) in values {
            let point = (size as f64, value);
            match self.figures.iter_mut().find(|known| known.name == name) {
                Some(known) => known.points.push(point),
                None => self.figures.push(MeasuredFigure {
                    name,
                    per,
                    points: vec![point],
                }),
            }
        }
    }

    /// Fits a line through the points of each figure.
    fn into_series(self) -> Vec<super::report::Series> {
        self.figures
            .into_iter()
            .map(|figure| fit(figure.name, figure.per, figure.points))
            .collect()
    }
}

/// Runs the benchmark.
pub(crate) fn run(options: BenchOptions) -> BenchReport {
    let mut report = BenchReport::new(BenchName::Capacity, options);
    let mut measurements = Measurements::default();
    add_memory(&mut measurements, options.seed);
    for workers in WORKERS {
        let mut rng = Pcg32::seed_from_u64(options.seed);
        add_declarations(
            &mut measurements,
            workers / WORKERS_PER_ORGANISATION,
            &mut rng,
        );
        add_leases(&mut measurements, workers);
        add_placement(&mut measurements, workers, options.seed, &mut rng);
        add_rows(&mut measurements, workers, options.seed);
    }
    for nodes in NODES {
        if let Some(cost) = capacity_nodes::measure_peers(nodes) {
            let values = [
                (names::PEER_ROUND_US, cost.round_us),
                (names::HEARTBEAT_BYTES, cost.heartbeat_bytes),
            ];
            measurements.add("node", nodes, &values);
        }
    }
    for tickets in TICKETS {
        if let Some(cost) = capacity_tickets::measure(tickets) {
            let values = [
                (names::TICKET_US, cost.ticket_us),
                (names::HAND_OVER_BYTES, cost.hand_over_bytes),
            ];
            measurements.add("ticket", tickets as usize, &values);
        }
    }
    report.series = measurements.into_series();
    add_target_figures(&mut report);
    report
}

/// Adds memory figures. It runs first and keeps every built state, because reused freed memory
/// would not show up in the measurement.
fn add_memory(measurements: &mut Measurements, seed: u64) {
    let mut kept = (Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for tickets in TICKETS {
        let (book, bytes) = measure_memory_bytes(|| capacity_tickets::build(tickets));
        kept.4.push(book);
        measurements.add("ticket", tickets as usize, &[(names::TICKET_MEMORY, bytes)]);
    }
    for workers in WORKERS {
        let organisations = workers / WORKERS_PER_ORGANISATION;
        let build = || capacity_declarations::build_replica(organisations);
        let (replica, bytes) = measure_memory_bytes(build);
        kept.0.push(replica);
        measurements.add(
            "organisation",
            organisations,
            &[(names::REPLICA_MEMORY, bytes)],
        );
    }
    for workers in WORKERS {
        let build = || capacity_nodes::build_admission(workers, seed);
        let (admission, bytes) = measure_memory_bytes(build);
        kept.1.push(admission);
        measurements.add("worker", workers, &[(names::ADMISSION_MEMORY, bytes)]);
    }
    for workers in WORKERS {
        let organisations = workers / WORKERS_PER_ORGANISATION;
        let mut rng = Pcg32::seed_from_u64(seed);
        let build = || capacity_placement::build(workers, organisations, seed, &mut rng);
        let (planner, bytes) = measure_memory_bytes(build);
        kept.2.push(planner);
        measurements.add("worker", workers, &[(names::PLACEMENT_MEMORY, bytes)]);
    }
    for workers in WORKERS {
        let (gangs, bytes) = measure_memory_bytes(|| capacity_gangs::build_gangs(workers));
        kept.3.push(gangs);
        measurements.add("worker", workers, &[(names::LEASE_MEMORY, bytes)]);
    }
}

fn add_declarations(measurements: &mut Measurements, organisations: usize, rng: &mut Pcg32) {
    let cost = capacity_declarations::measure(organisations, rng);
    let values = [
        (names::EDITOR_US, cost.editor_us),
        (names::EDITOR_CALLS, cost.editor_calls),
        (names::WATCHER_US, cost.watcher_us),
        (names::WATCHER_BYTES, cost.watcher_bytes),
        (names::MANIFEST_BYTES, cost.manifest_bytes),
        (names::INDEX_BYTES, cost.index_bytes),
        (names::DELTA_BYTES, cost.delta_bytes),
        (names::REPLICA_US, cost.replica_us),
        (names::FULL_BYTES, cost.full_bytes),
    ];
    measurements.add("organisation", organisations, &values);
}

fn add_leases(measurements: &mut Measurements, workers: usize) {
    let Some(cost) = capacity_gangs::measure(workers) else {
        return;
    };
    let values = [
        ("leases", cost.leases),
        (names::START_US, cost.start_us),
        (names::RENEW_US, cost.renew_us),
        (names::RENEWALS_US, cost.renewals_us_per_s),
        (names::CALLS, cost.calls_per_s),
        (names::RENEWAL_BYTES, cost.renewal_bytes_per_s),
        (names::TAKE_OVER_US, cost.take_over_us),
        (names::INVENTORY_BYTES, cost.inventory_bytes),
    ];
    measurements.add("worker", workers, &values);
}

fn add_placement(measurements: &mut Measurements, workers: usize, seed: u64, rng: &mut Pcg32) {
    let organisations = workers / WORKERS_PER_ORGANISATION;
    let cost = capacity_placement::measure(workers, organisations, seed, rng);
    let Some(cost) = cost else {
        return;
    };
    let values = [
        (names::JOB_US, cost.job_us),
        (names::LOSS_US, cost.loss_us),
        (names::TICK_US, cost.tick_us),
    ];
    measurements.add("worker", workers, &values);
}

fn add_rows(measurements: &mut Measurements, workers: usize, seed: u64) {
    if let Some(cost) = capacity_nodes::measure_rows(workers, seed) {
        let values = [
            (names::ROW_BYTES, cost.row_bytes),
            (names::ROW_DRAW_US, cost.build_us),
            (names::ROW_MERGE_US, cost.merge_us),
        ];
        measurements.add("worker", workers, &values);
    }
    let accelerators = workers * ACCELERATORS_PER_13_WORKERS / 13;
    if let Some(us) = capacity_nodes::measure_query(accelerators) {
        measurements.add("accelerator", accelerators, &[(names::QUERY_US, us)]);
    }
}
