//! Draws times in which workers fail what they start, with gangs that are under way meanwhile.

use platform_standin::StepSpec;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64;

use crate::plan::{Fault, FaultKind, LEAD_IN_MS, MOST_ATTEMPTS, PlannedJob, draw_fault};

/// Probability that a play has such times.
const FAILURES: f64 = 0.4;

/// Shortest and longest time in which workers fail, in milliseconds.
const FAILING_MS: (u64, u64) = (1_000, 4_000);

/// Longest time before workers begin to fail at which jobs are handed in, in milliseconds.
const JOBS_BEFORE_MS: u64 = 1_000;

/// Probability that a node is harmed while workers fail.
const NODE_HARMED: f64 = 0.5;

/// Most members of a gang.
const MOST_MEMBERS: u64 = 6;

/// Most runs of a gang that fail by its own fault; fewer than the attempts that the queue allows.
const MOST_FAILING_RUNS: u64 = 2;

const NODE_KINDS: [FaultKind; 3] = [
    FaultKind::NodeKilled,
    FaultKind::NodeStopped,
    FaultKind::NodeFreeze,
];

/// Draws two times in which workers fail, if a play may have them.
pub(crate) fn draw_failures(
    random: &mut Pcg64,
    kinds: &[FaultKind],
    faults_ms: u64,
) -> (Vec<Fault>, Vec<PlannedJob>) {
    let (mut faults, mut jobs) = (Vec::new(), Vec::new());
    if !kinds.contains(&FaultKind::WorkersFail) || !random.random_bool(FAILURES) {
        return (faults, jobs);
    }
    let nodes: Vec<FaultKind> = NODE_KINDS
        .into_iter()
        .filter(|kind| kinds.contains(kind))
        .collect();
    for _ in 0..2 {
        let from_ms = random.random_range(LEAD_IN_MS..=faults_ms.max(LEAD_IN_MS));
        let for_ms = random.random_range(FAILING_MS.0..=FAILING_MS.1);
        let failing = draw_fault(random, FaultKind::WorkersFail, from_ms);
        faults.push(Fault { for_ms, ..failing });
        if random.random_bool(NODE_HARMED)
            && let Some(kind) = nodes.choose(random)
        {
            let at_ms = from_ms + random.random_range(0..=for_ms);
            faults.push(draw_fault(random, *kind, at_ms));
        }
        for _ in 0..random.random_range(4..=8) {
            let at_ms = from_ms - random.random_range(0..=JOBS_BEFORE_MS);
            jobs.push(draw_gang(random, at_ms));
        }
    }
    (faults, jobs)
}

/// Draws a job whose only step is a gang; some of them fail by their own fault at first.
fn draw_gang(random: &mut Pcg64, at_ms: u64) -> PlannedJob {
    let gang = StepSpec {
        count: random.random_range(2..=MOST_MEMBERS),
        run_ms: random.random_range(500..3_000),
        gang: true,
        failing_runs: random.random_range(0..=MOST_FAILING_RUNS),
    };
    PlannedJob {
        at_ms,
        is_advised: false,
        id: format!("{:016x}", random.random::<u64>()),
        steps: vec![gang],
        node: random.random_range(0..1_000),
        attempts: MOST_ATTEMPTS,
        cancel_after_ms: None,
        repeat_after_ms: None,
        cancels_in_doubt: false,
        claim: None,
    }
}
