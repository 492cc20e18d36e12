//! What a play does, drawn from one seed: faults with their times, and jobs with their callers' habits.

use platform_standin::{ADVISED_PREFIX, AdvicePolicy, StepSpec, URGENT_PREFIX};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

use crate::advice::draw_advised_queue;
use crate::claims::{Claim, draw_claims};
use crate::doubts::draw_doubts;
use crate::failures::draw_failures;
use crate::outages::draw_outages;

/// Most kinds of fault in one play, so that plays differ more than if each had all kinds.
const KINDS_PER_PLAY: usize = 6;

/// Time before the first fault, in milliseconds.
pub(crate) const LEAD_IN_MS: u64 = 2_000;

/// Longest time between two jobs of one burst, in milliseconds.
const JOB_GAP_MS: u64 = 300;

/// Longest time between two bursts of jobs, in milliseconds.
const BURST_GAP_MS: u64 = 2_000;

/// Most attempts of a caller to hand a job in.
pub(crate) const MOST_ATTEMPTS: usize = 5;

/// Number of the random sequence from which outages are drawn, so that they leave the other draws of a seed as they are.
const OUTAGES_SEQUENCE: u64 = 1;

/// The same for times in which workers fail.
const FAILURES_SEQUENCE: u64 = 2;

/// The same for a queue with an advice policy.
const ADVISED_SEQUENCE: u64 = 3;

/// The same for work that holds what a guarantee covers.
const CLAIMS_SEQUENCE: u64 = 4;

/// The same for submissions that a store carries out late.
const DOUBTS_SEQUENCE: u64 = 5;

/// Probability that a burst goes on after a job.
const BURST_GOES_ON: f64 = 0.75;

/// A kind of fault.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, EnumString, EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// A worker's machine loses power and is back under the same id.
    PowerLoss,
    /// A worker process is killed and is back under the same id; meanwhile connections are refused.
    WorkerCrash,
    /// A worker process is killed, and one with another id is at its address later.
    WorkerReplaced,
    /// A worker leaves as planned, and one with another id is at its address later.
    WorkerLeaves,
    /// A worker leaves and is cut off on its way.
    WorkerLeavesCutOff,
    /// A worker is cut off from nodes and store, silently.
    WorkerCutOff,
    /// Orders to a worker are held up.
    OrdersHeldUp,
    /// Answers of a worker are held up.
    AnswersHeldUp,
    /// A worker's entries don't reach the store.
    EntriesHeldUp,
    /// The link to a worker is slow.
    WorkerLinkSlow,
    /// The connections to a worker are reset.
    WorkerReset,
    /// A worker refuses connections, but stays up.
    WorkerRefuses,
    /// A worker process is stopped and goes on later.
    WorkerFreeze,
    /// A worker leaves orders unanswered and carries them out late.
    LateOrders,
    /// A worker carries orders out and doesn't answer.
    LostAnswers,
    /// A worker refuses starts.
    Unhealthy,
    /// A node is killed, the leader mostly.
    NodeKilled,
    /// A node is stopped as planned, the leader mostly.
    NodeStopped,
    /// A node process is stopped and goes on later.
    NodeFreeze,
    /// A node is cut off from the store, silently.
    NodeCutOff,
    /// A node's connections to the store are reset.
    NodeReset,
    /// The store is slow.
    StoreSlow,
    /// The store answers 503.
    StoreBusy,
    /// The store makes changes and doesn't answer.
    StoreLosesAnswers,
    /// The store doesn't answer and makes changes late.
    StoreLate,
    /// The store doesn't answer.
    StoreSilent,
    /// Another writer replaces a worker's entry until the next heartbeat.
    OddEntry,
    /// Another writer replaces a worker's entry by one without the time of birth.
    EntryWithoutBirth,
    /// The configuration changes.
    Configuration,
    /// A caller's key is withdrawn.
    KeyWithdrawn,
    /// A worker leaves as planned, and nothing is at its address later.
    WorkerLeavesForGood,
    /// A worker's machine loses power, and nothing is at its address later.
    WorkerLostForGood,
    /// Several workers fail what they start.
    WorkersFail,
    /// The store falls silent, and carries out late what had just arrived.
    StoreFallsSilent,
    /// Work of one organisation takes all accelerators, also those that another is guaranteed.
    CapacityTaken,
    /// The advice service answers no query.
    AdviceSilent,
    /// The advice service is slower than its figures say.
    AdviceSlow,
    /// The advice service refuses queries.
    AdviceBusy,
}

impl FaultKind {
    /// Returns all kinds.
    pub fn all() -> Vec<FaultKind> {
        FaultKind::iter().collect()
    }

    /// Returns whether it is drawn with the jobs that it concerns, not among the others.
    fn is_drawn_apart(self) -> bool {
        matches!(
            self,
            FaultKind::WorkersFail
                | FaultKind::StoreFallsSilent
                | FaultKind::CapacityTaken
                | FaultKind::AdviceSilent
                | FaultKind::AdviceSlow
                | FaultKind::AdviceBusy
        )
    }

    /// Returns the shortest and longest time that such a fault lasts, in milliseconds.
    fn lasts_ms(self) -> (u64, u64) {
        match self {
            FaultKind::PowerLoss | FaultKind::WorkerCrash | FaultKind::WorkerReplaced => (0, 6_000),
            FaultKind::WorkerLeaves => (3_000, 9_000),
            FaultKind::WorkerLeavesCutOff => (3_000, 9_000),
            FaultKind::WorkerLeavesForGood => (0, 5_000),
            FaultKind::WorkerLostForGood => (0, 0),
            FaultKind::NodeKilled | FaultKind::NodeStopped => (0, 3_000),
            FaultKind::StoreSilent | FaultKind::StoreBusy => (500, 3_000),
            FaultKind::Configuration | FaultKind::KeyWithdrawn => (0, 0),
            FaultKind::WorkerReset | FaultKind::NodeReset => (0, 0),
            _ => (500, 7_000),
        }
    }
}

/// A fault and when it comes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// When it begins, from the start of the traffic.
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// What it is.
    pub kind: FaultKind,
    /// Chooses among workers, nodes or forms.
    pub pick: u32,
    /// A second time, for faults in two stages.
    pub stage_ms: u64,
}

/// A job and its caller's habits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedJob {
    /// When it is handed in first, from the start of the traffic.
    pub at_ms: u64,
    /// Its id.
    pub id: String,
    /// Its steps.
    pub steps: Vec<StepSpec>,
    /// Whether its queue has an advice policy.
    pub is_advised: bool,
    /// The node that is asked first.
    pub node: usize,
    /// How often its caller tries to hand it in.
    pub attempts: usize,
    /// How long after its acceptance it is cancelled.
    pub cancel_after_ms: Option<u64>,
    /// How long after its acceptance it is handed in again.
    pub repeat_after_ms: Option<u64>,
    /// Whether its caller cancels it if it is not accepted, and goes on until that is acknowledged.
    pub cancels_in_doubt: bool,
    /// What it is for in a play about guarantees.
    pub claim: Option<Claim>,
}

impl PlannedJob {
    /// Returns what a call about it names.
    pub(crate) fn call(&self) -> JobCall<'_> {
        JobCall {
            prefix: match (self.is_advised, self.claim) {
                (true, _) => ADVISED_PREFIX,
                (_, Some(Claim::Guaranteed | Claim::Holder { urgent: true, .. })) => URGENT_PREFIX,
                _ => "/q/",
            },
            id: &self.id,
            steps: &self.steps,
            claim: self.claim,
        }
    }
}

/// What a call about a job names.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobCall<'a> {
    /// Prefix of its queue.
    pub prefix: &'a str,
    /// Its id; empty for a call about no job.
    pub id: &'a str,
    /// Its steps.
    pub steps: &'a [StepSpec],
    /// What it is for in a play about guarantees.
    pub claim: Option<Claim>,
}

/// A plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Faults by time.
    pub faults: Vec<Fault>,
    /// Jobs by time.
    pub jobs: Vec<PlannedJob>,
    /// The policy of a queue that has one.
    pub policy: Option<AdvicePolicy>,
}

impl Plan {
    /// Draws the plan of a seed: faults of some of `kinds` for `faults_ms`, and jobs for as long; in some plays also
    /// outages of the store during which workers go away, times in which workers fail, and a queue with an advice policy.
    pub fn draw(seed: u64, kinds: &[FaultKind], faults_ms: u64, mean_gap_ms: u64) -> Plan {
        let mut random = Pcg64::seed_from_u64(seed);
        let single: Vec<FaultKind> = kinds
            .iter()
            .copied()
            .filter(|kind| !kind.is_drawn_apart())
            .collect();
        let drawn = single.sample(&mut random, KINDS_PER_PLAY);
        let drawn: Vec<FaultKind> = drawn.copied().collect();
        let mut faults = Vec::new();
        let mut at_ms = LEAD_IN_MS;
        while at_ms < faults_ms {
            if let Some(kind) = drawn.choose(&mut random) {
                faults.push(draw_fault(&mut random, *kind, at_ms));
            }
            at_ms += random.random_range(mean_gap_ms / 4..=mean_gap_ms * 7 / 4);
        }
        let mut jobs = Vec::new();
        let mut at_ms = 0;
        while at_ms < faults_ms {
            jobs.push(draw_job(&mut random, at_ms));
            at_ms += match random.random_bool(BURST_GOES_ON) {
                true => random.random_range(0..=JOB_GAP_MS),
                false => random.random_range(0..=BURST_GAP_MS),
            };
        }
        let sequence = |number: u64| Pcg64::new(u128::from(seed), u128::from(number));
        let outages = draw_outages(&mut sequence(OUTAGES_SEQUENCE), kinds, faults_ms);
        let failures = draw_failures(&mut sequence(FAILURES_SEQUENCE), kinds, faults_ms);
        let advised = draw_advised_queue(&mut sequence(ADVISED_SEQUENCE), kinds, faults_ms);
        let policy = advised.policy;
        let claims = draw_claims(&mut sequence(CLAIMS_SEQUENCE), kinds, faults_ms);
        let doubts = draw_doubts(&mut sequence(DOUBTS_SEQUENCE), kinds, faults_ms);
        let advised = (advised.faults, advised.jobs);
        for (more_faults, more_jobs) in [outages, failures, advised, claims, doubts] {
            faults.extend(more_faults);
            jobs.extend(more_jobs);
        }
        faults.sort_by_key(|fault| fault.at_ms);
        jobs.sort_by_key(|job| job.at_ms);
        Plan {
            seed,
            faults,
            jobs,
            policy,
        }
    }
}

pub(crate) fn draw_fault(random: &mut Pcg64, kind: FaultKind, at_ms: u64) -> Fault {
    let (shortest_ms, longest_ms) = kind.lasts_ms();
    let longer_ms = (longest_ms - shortest_ms) as f64 * random.random::<f64>().powi(2);
    Fault {
        at_ms,
        // Short faults, which end before they are noticed, come more often than long ones.
        for_ms: shortest_ms + longer_ms as u64,
        kind,
        pick: random.random(),
        stage_ms: random.random_range(0..=2_000),
    }
}

fn draw_job(random: &mut Pcg64, at_ms: u64) -> PlannedJob {
    let run_ms = match random.random_range(0..10) {
        0..4 => random.random_range(100..800),
        4..7 => random.random_range(1_000..3_000),
        _ => random.random_range(4_000..9_000),
    };
    // Long tasks come in one step, so that a play ends soon after its faults.
    let steps = if run_ms < 3_000 {
        random.random_range(1..=3)
    } else {
        1
    };
    let steps = (0..steps)
        .map(|_| {
            let count = random.random_range(1..=4);
            let gang = count > 1 && random.random_bool(0.15);
            StepSpec {
                count,
                run_ms,
                gang,
                failing_runs: 0,
            }
        })
        .collect();
    let id = format!("{:016x}", random.random::<u64>());
    let node = random.random_range(0..1_000);
    PlannedJob {
        at_ms,
        is_advised: false,
        id,
        steps,
        node,
        attempts: 1 + node % MOST_ATTEMPTS,
        cancel_after_ms: random
            .random_bool(0.08)
            .then(|| random.random_range(0..4_000)),
        repeat_after_ms: random
            .random_bool(0.1)
            .then(|| random.random_range(500..4_000)),
        cancels_in_doubt: false,
        claim: None,
    }
}
