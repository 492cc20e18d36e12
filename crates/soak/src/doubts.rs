//! Draws times in which the store falls silent and carries out late what had arrived, with jobs that are handed in as it does
//! and cancelled by callers who got no answer.

use platform_standin::StepSpec;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::plan::{Fault, FaultKind, LEAD_IN_MS, PlannedJob, draw_fault};

/// Probability that a play has such times.
const DOUBTS: f64 = 0.4;

/// How long changes that arrive are carried out late, before the store does nothing more.
pub(crate) const FALLING_SILENT_MS: u64 = 150;

/// Shortest and longest time in which the store does not answer, in milliseconds.
const SILENT_MS: (u64, u64) = (1_000, 3_500);

/// Shortest time after which a change is carried out late, in milliseconds; it is at most [`Fault::stage_ms`] longer.
pub(crate) const LATE_MS: u64 = 4_000;

/// How long before the store falls silent the first job is handed in, in milliseconds.
const BEFORE_MS: u64 = 50;

/// Draws two such times, if a play may have them.
pub(crate) fn draw_doubts(
    random: &mut Pcg64,
    kinds: &[FaultKind],
    faults_ms: u64,
) -> (Vec<Fault>, Vec<PlannedJob>) {
    let (mut faults, mut jobs) = (Vec::new(), Vec::new());
    if !kinds.contains(&FaultKind::StoreFallsSilent) || !random.random_bool(DOUBTS) {
        return (faults, jobs);
    }
    for _ in 0..2 {
        let from_ms = random.random_range(LEAD_IN_MS..=faults_ms.max(LEAD_IN_MS));
        let for_ms = random.random_range(SILENT_MS.0..=SILENT_MS.1);
        let silent = draw_fault(random, FaultKind::StoreFallsSilent, from_ms);
        faults.push(Fault { for_ms, ..silent });
        for _ in 0..random.random_range(3..=6) {
            let at_ms = from_ms - BEFORE_MS + random.random_range(0..BEFORE_MS + FALLING_SILENT_MS);
            jobs.push(draw_job(random, at_ms));
        }
    }
    (faults, jobs)
}

/// Draws a job of several steps, so that some of them would start long after its cancel.
fn draw_job(random: &mut Pcg64, at_ms: u64) -> PlannedJob {
    let run_ms = random.random_range(1_500..3_000);
    let step = |count| StepSpec {
        count,
        run_ms,
        gang: false,
        failing_runs: 0,
    };
    PlannedJob {
        at_ms,
        is_advised: false,
        id: format!("{:016x}", random.random::<u64>()),
        steps: (0..4).map(|_| step(random.random_range(1..=2))).collect(),
        node: random.random_range(0..1_000),
        attempts: random.random_range(1..=2),
        cancel_after_ms: None,
        repeat_after_ms: None,
        cancels_in_doubt: true,
        claim: None,
    }
}
