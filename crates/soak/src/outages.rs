//! Draws outages of the store during which workers go away and the lead changes, with jobs that are under way meanwhile.

use platform_standin::StepSpec;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64;

use crate::plan::{Fault, FaultKind, LEAD_IN_MS, MOST_ATTEMPTS, PlannedJob, draw_fault};

/// Probability that a play has such outages.
const OUTAGES: f64 = 0.6;

/// Shortest and longest outage, in milliseconds; renewals of the lead fail in each.
const OUTAGE_MS: (u64, u64) = (3_000, 10_000);

/// Longest time from the beginning of one outage to the next, in milliseconds.
const BETWEEN_MS: u64 = 40_000;

/// Longest time before an outage at which a worker goes away, in milliseconds. One that leaves stays until the store has
/// its entry, so it leaves during an outage only if it began before.
const BEFORE_MS: u64 = 2_000;

/// Longest time after an outage at which a node is harmed, in milliseconds; a planner takes over meanwhile.
const AFTER_MS: u64 = 2_000;

/// Longest time before an outage at which its jobs are handed in, in milliseconds.
const JOBS_BEFORE_MS: u64 = 5_000;

/// Probability that a node is harmed around an outage.
const NODE_HARMED: f64 = 0.7;

/// Most runs of a task that fail; fewer than the attempts that the queue allows.
const MOST_FAILING_RUNS: u64 = 2;

const STORE_KINDS: [FaultKind; 2] = [FaultKind::StoreSilent, FaultKind::StoreBusy];

const WORKER_KINDS: [FaultKind; 9] = [
    FaultKind::WorkerLeavesForGood,
    FaultKind::WorkerLostForGood,
    FaultKind::WorkerLeaves,
    FaultKind::WorkerLeavesCutOff,
    FaultKind::WorkerCrash,
    FaultKind::WorkerReplaced,
    FaultKind::PowerLoss,
    FaultKind::WorkerCutOff,
    FaultKind::Unhealthy,
];

const NODE_KINDS: [FaultKind; 4] = [
    FaultKind::NodeKilled,
    FaultKind::NodeStopped,
    FaultKind::NodeFreeze,
    FaultKind::NodeCutOff,
];

/// Draws two outages of a play, from the kinds that it may have.
pub(crate) fn draw_outages(
    random: &mut Pcg64,
    kinds: &[FaultKind],
    faults_ms: u64,
) -> (Vec<Fault>, Vec<PlannedJob>) {
    let among = |wanted: &[FaultKind]| -> Vec<FaultKind> {
        let drawn = wanted.iter().copied();
        drawn.filter(|kind| kinds.contains(kind)).collect()
    };
    let (stores, workers, nodes) = (
        among(&STORE_KINDS),
        among(&WORKER_KINDS),
        among(&NODE_KINDS),
    );
    let (mut faults, mut jobs) = (Vec::new(), Vec::new());
    if stores.is_empty() || !random.random_bool(OUTAGES) {
        return (faults, jobs);
    }
    let middle_ms = (faults_ms / 2).max(LEAD_IN_MS);
    let first_ms = random.random_range(LEAD_IN_MS..=middle_ms);
    let last_ms = faults_ms.max(middle_ms).min(first_ms + BETWEEN_MS);
    for from_ms in [first_ms, random.random_range(middle_ms..=last_ms)] {
        let for_ms = random.random_range(OUTAGE_MS.0..=OUTAGE_MS.1);
        if let Some(kind) = stores.choose(random) {
            let outage = draw_fault(random, *kind, from_ms);
            faults.push(Fault { for_ms, ..outage });
        }
        for _ in 0..random.random_range(2..=4) {
            if let Some(kind) = workers.choose(random) {
                let at_ms = match kind {
                    FaultKind::WorkerLeaves
                    | FaultKind::WorkerLeavesCutOff
                    | FaultKind::WorkerLeavesForGood => {
                        from_ms - random.random_range(0..=BEFORE_MS)
                    }
                    _ => from_ms + random.random_range(0..for_ms),
                };
                faults.push(draw_fault(random, *kind, at_ms));
            }
        }
        if random.random_bool(NODE_HARMED)
            && let Some(kind) = nodes.choose(random)
        {
            let at_ms = from_ms + random.random_range(0..=for_ms + AFTER_MS);
            faults.push(draw_fault(random, *kind, at_ms));
        }
        for _ in 0..random.random_range(4..=8) {
            let at_ms = from_ms.saturating_sub(random.random_range(0..=JOBS_BEFORE_MS));
            jobs.push(draw_two_steps(random, at_ms));
        }
    }
    (faults, jobs)
}

/// Draws a job of two steps, whose runs fail at first if they are short.
fn draw_two_steps(random: &mut Pcg64, at_ms: u64) -> PlannedJob {
    let run_ms = random.random_range(1_000..7_000);
    let failing_runs = match run_ms {
        ..3_000 => random.random_range(0..=MOST_FAILING_RUNS),
        _ => 0,
    };
    let steps = (0..2)
        .map(|_| StepSpec {
            count: random.random_range(1..=4),
            run_ms,
            gang: false,
            failing_runs,
        })
        .collect();
    PlannedJob {
        at_ms,
        is_advised: false,
        id: format!("{:016x}", random.random::<u64>()),
        steps,
        node: random.random_range(0..1_000),
        attempts: MOST_ATTEMPTS,
        cancel_after_ms: None,
        repeat_after_ms: None,
        cancels_in_doubt: false,
        claim: None,
    }
}
