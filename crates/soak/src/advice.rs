//! A queue with an advice policy: draws its figures, jobs of it, and times in which the service is in trouble; runs the service.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use platform_standin::{AdviceFault, AdvicePolicy, StandIn, StepSpec};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64;
use serde_json::json;
use tokio::time::sleep;

use crate::addresses::Addresses;
use crate::plan::{Fault, FaultKind, LEAD_IN_MS, MOST_ATTEMPTS, PlannedJob, draw_fault};
use crate::process::Process;
use crate::site::{NODES, Site, lock};

/// Probability that a play has such a queue.
const ADVISED: f64 = 0.6;

/// Probability that the service is slow by its figures.
const SLOW_FIGURES: f64 = 0.6;

/// Shares of the workers that a job may not run on, in thousandths.
const FORBIDDEN_PERMILLE: [u64; 4] = [0, 0, 300, 600];

/// Most jobs that are handed in at once, and longest time between two such groups of jobs, in milliseconds.
const MOST_AT_ONCE: usize = 6;
const GROUP_GAP_MS: u64 = 3_000;

/// Longest time for which the service is in trouble, in milliseconds.
const TROUBLE_MS: u64 = 5_000;

const KINDS: [FaultKind; 3] = [
    FaultKind::AdviceSilent,
    FaultKind::AdviceSlow,
    FaultKind::AdviceBusy,
];

/// A queue with an advice policy, and what happens to it.
#[derive(Debug, Default)]
pub(crate) struct AdvisedQueue {
    pub policy: Option<AdvicePolicy>,
    pub faults: Vec<Fault>,
    pub jobs: Vec<PlannedJob>,
}

/// Draws the queue of a play, if it may have one.
pub(crate) fn draw_advised_queue(
    random: &mut Pcg64,
    kinds: &[FaultKind],
    faults_ms: u64,
) -> AdvisedQueue {
    let among = KINDS.into_iter().filter(|kind| kinds.contains(kind));
    let troubles: Vec<FaultKind> = among.collect();
    let mut queue = AdvisedQueue::default();
    if troubles.is_empty() || !random.random_bool(ADVISED) {
        return queue;
    }
    queue.policy = Some(draw_policy(random));
    for _ in 0..random.random_range(0..=2) {
        if let Some(kind) = troubles.choose(random) {
            let at_ms = random.random_range(LEAD_IN_MS..=faults_ms.max(LEAD_IN_MS));
            let for_ms = random.random_range(500..=TROUBLE_MS);
            let trouble = draw_fault(random, *kind, at_ms);
            queue.faults.push(Fault { for_ms, ..trouble });
        }
    }
    let mut at_ms = random.random_range(0..=GROUP_GAP_MS);
    while at_ms < faults_ms {
        for _ in 0..random.random_range(1..=MOST_AT_ONCE) {
            queue.jobs.push(draw_advised_job(random, at_ms));
        }
        at_ms += random.random_range(GROUP_GAP_MS / 3..=GROUP_GAP_MS);
    }
    queue
}

fn draw_policy(random: &mut Pcg64) -> AdvicePolicy {
    let (decide_ms, each_worker_ms) = match random.random_bool(SLOW_FIGURES) {
        true => (
            random.random_range(300..=800),
            random.random_range(50..=300),
        ),
        false => (random.random_range(0..=60), random.random_range(0..=20)),
    };
    AdvicePolicy {
        decide_ms,
        each_worker_ms,
        valid_ms: random.random_range(500..=10_000),
        forbidden_permille: FORBIDDEN_PERMILLE.choose(random).copied().unwrap_or(0),
    }
}

/// Draws a job of one or several steps, some of them gangs; some jobs are cancelled.
fn draw_advised_job(random: &mut Pcg64, at_ms: u64) -> PlannedJob {
    let run_ms = random.random_range(200..2_500);
    let steps = (0..random.random_range(1..=3)).map(|_| {
        let count = random.random_range(1..=5);
        StepSpec {
            count,
            run_ms,
            gang: count > 1 && random.random_bool(0.3),
            failing_runs: 0,
        }
    });
    PlannedJob {
        at_ms,
        steps: steps.collect(),
        id: format!("{:016x}", random.random::<u64>()),
        is_advised: true,
        node: random.random_range(0..1_000),
        attempts: MOST_ATTEMPTS,
        cancel_after_ms: random
            .random_bool(0.1)
            .then(|| random.random_range(0..3_000)),
        repeat_after_ms: None,
        cancels_in_doubt: false,
        claim: None,
    }
}

/// Returns how the service behaves during a fault.
pub(crate) fn advice_fault(fault: &Fault) -> AdviceFault {
    match fault.kind {
        FaultKind::AdviceSilent => AdviceFault::Silent,
        FaultKind::AdviceBusy => AdviceFault::Busy,
        _ => AdviceFault::Slow(2 + fault.pick % 10),
    }
}

/// The advice service.
#[derive(Debug)]
pub(crate) struct AdvicePlace {
    /// Where each node reaches it.
    pub addresses: Vec<SocketAddr>,
    control: SocketAddr,
    process: Mutex<Option<Process>>,
}

impl Site {
    /// Starts the service.
    pub(crate) fn start_advice(
        &self,
        addresses: &mut Addresses,
        policy: AdvicePolicy,
    ) -> io::Result<AdvicePlace> {
        let control = addresses.next();
        let addresses: Vec<SocketAddr> = (0..NODES).map(|_| addresses.next()).collect();
        let process = self.spawn_standin(&StandIn::Advice {
            addresses: addresses.clone(),
            control,
            policy,
        })?;
        Ok(AdvicePlace {
            addresses,
            control,
            process: Mutex::new(Some(process)),
        })
    }

    /// Lets the advice service have a fault for a time.
    pub(crate) async fn harm_advice(&self, fault: AdviceFault, lasts: Duration) {
        let Some(advice) = &self.advice else {
            return;
        };
        self.control(advice.control, "fault", &json!(fault)).await;
        sleep(lasts).await;
        let none = json!(AdviceFault::None);
        self.control(advice.control, "fault", &none).await;
    }

    /// Notes that the service has ended by itself.
    pub(crate) fn look_after_advice(&self) {
        let Some(advice) = &self.advice else {
            return;
        };
        let ended = lock(&advice.process).as_mut().and_then(Process::ended);
        if let Some(how) = ended {
            *lock(&advice.process) = None;
            self.note_own_end("advice", &how);
        }
    }
}
