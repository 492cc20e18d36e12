//! Invariants of one entry node under random events.
//!
//! The tests guard against requests that end twice or never, workers with more attempts than slots,
//! counts that do not return to 0, and long work that takes the slots kept free for urgent work.

mod support;

use std::collections::HashMap;

use admission::{
    Admission, AdmissionConfig, AttemptEnd, Decision, RequestKey, UsageRow, UsageSubject, WorkerKey,
};
use model::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{node, offer, poll};

/// One event of a random sequence.
#[derive(Debug, Clone)]
enum Step {
    Offer { organisation: usize, class: usize },
    End { pick: usize, end: usize },
    Withdraw { pick: usize },
    PeerRows { worker: usize, in_flight: u32 },
    Advance { ms: u64 },
}

const ORGANISATIONS: [&str; 2] = ["north", "south"];
const CLASSES: [&str; 4] = [
    "leak-report",
    "roster-query",
    "cover-recompute",
    "rota-rebuild",
];
const ENDS: [AttemptEnd; 6] = [
    AttemptEnd::Answered,
    AttemptEnd::Failed,
    AttemptEnd::RefusedByWorker,
    AttemptEnd::NotSent,
    AttemptEnd::Lost,
    AttemptEnd::Unresponsive,
];
const WORKERS: u32 = 3;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..2_usize, 0..4_usize)
            .prop_map(|(organisation, class)| Step::Offer { organisation, class }),
        4 => (any::<usize>(), 0..6_usize).prop_map(|(pick, end)| Step::End { pick, end }),
        1 => any::<usize>().prop_map(|pick| Step::Withdraw { pick }),
        1 => (0..3_usize, 0..9_u32)
            .prop_map(|(worker, in_flight)| Step::PeerRows { worker, in_flight }),
        3 => (1..400_u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

/// Simulated daemon that carries out the decisions of a node and checks them.
struct Daemon {
    node: Admission,
    now_ms: u64,
    /// Open requests with the workers of their attempts in flight.
    open: HashMap<RequestKey, Vec<WorkerKey>>,
    ended: Vec<RequestKey>,
    sequence: u64,
}

impl Daemon {
    fn carry_out_decisions(&mut self) {
        for decision in poll(&mut self.node, self.now_ms) {
            match decision {
                Decision::Start {
                    request,
                    worker,
                    hedge,
                } => {
                    let attempts = self
                        .open
                        .get_mut(&request)
                        .expect("start of an open request");
                    assert_eq!(hedge, !attempts.is_empty());
                    attempts.push(worker);
                }
                Decision::Reject { request, .. } | Decision::Spill { request, .. } => {
                    let attempts = self.open.remove(&request).expect("end of an open request");
                    assert!(attempts.is_empty(), "rejected in flight");
                    self.ended.push(request);
                }
            }
        }
        self.check();
    }

    fn check(&self) {
        let mut used: HashMap<WorkerKey, u32> = HashMap::new();
        for worker in self.open.values().flatten() {
            *used.entry(*worker).or_default() += 1;
        }
        assert!(used.values().all(|&used| used <= 8), "slots oversubscribed");
        let node_row = &self.node.rows(self.now_ms)[0];
        assert_eq!(node_row.subject, UsageSubject::Node);
        assert_eq!(node_row.in_flight, used.values().sum::<u32>());
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Offer {
                organisation,
                class,
            } => {
                let offer = offer(self.now_ms, ORGANISATIONS[organisation], CLASSES[class]);
                if let Ok(request) = self.node.offer(self.now_ms, offer) {
                    self.open.insert(request, Vec::new());
                }
            }
            Step::End { pick, end } => self.end_attempt(pick, ENDS[end]),
            Step::Withdraw { pick } => {
                let waiting = self.open.iter().filter(|(_, attempts)| attempts.is_empty());
                let mut keys: Vec<_> = waiting.map(|(&request, _)| request).collect();
                keys.sort_unstable();
                if !keys.is_empty() {
                    let request = keys[pick % keys.len()];
                    self.node.withdraw(self.now_ms, request);
                    self.open.remove(&request);
                    self.ended.push(request);
                }
            }
            Step::PeerRows { worker, in_flight } => {
                self.sequence += 1;
                let name = format!("w{worker}");
                let row = UsageRow {
                    subject: UsageSubject::Worker(name.as_str().try_into().unwrap()),
                    in_flight,
                    waiting: 0,
                };
                let owner = NodeName::try_from("peer").unwrap();
                self.node
                    .merge_rows(self.now_ms, &owner, self.sequence, vec![row]);
            }
            Step::Advance { ms } => self.now_ms += ms,
        }
        self.carry_out_decisions();
    }

    fn end_attempt(&mut self, pick: usize, end: AttemptEnd) {
        let mut in_flight: Vec<_> = self
            .open
            .iter()
            .flat_map(|(&request, attempts)| attempts.iter().map(move |&worker| (request, worker)))
            .collect();
        in_flight.sort_unstable();
        if in_flight.is_empty() {
            return;
        }
        let (request, worker) = in_flight[pick % in_flight.len()];
        self.node.attempt_ended(self.now_ms, request, worker, end);
        let attempts = self.open.get_mut(&request).unwrap();
        attempts.retain(|&other| other != worker);
        if !attempts.is_empty() {
            return;
        }
        let has_outcome = matches!(end, AttemptEnd::Answered | AttemptEnd::Failed);
        if has_outcome
            || self
                .node
                .retry(self.now_ms, request, RetryReason::WorkerLost)
                .is_err()
        {
            self.node.finish(self.now_ms, request);
            self.open.remove(&request);
            self.ended.push(request);
        }
    }

    /// Answers attempts and advances the time until no request is open.
    fn drain(&mut self) {
        for _ in 0..20_000 {
            if self.open.is_empty() {
                return;
            }
            self.end_attempt(0, AttemptEnd::Answered);
            self.now_ms += 100;
            self.carry_out_decisions();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn admission_ends_each_request_once_and_keeps_to_the_slots(
        steps in prop::collection::vec(step(), 1..300),
        is_baseline in any::<bool>(),
    ) {
        let config = if is_baseline {
            AdmissionConfig { shedding: true, ..AdmissionConfig::baseline() }
        } else {
            AdmissionConfig { hedging: true, ..AdmissionConfig::default() }
        };
        let (node, _) = node(config, WORKERS);
        let mut daemon = Daemon { node, now_ms: 0, open: HashMap::new(), ended: Vec::new(), sequence: 0 };
        for step in &steps {
            daemon.apply(step);
        }
        daemon.drain();
        prop_assert!(daemon.open.is_empty(), "{:?} are open", daemon.open);
        let ended = daemon.ended.len();
        daemon.ended.sort_unstable();
        daemon.ended.dedup();
        prop_assert_eq!(daemon.ended.len(), ended, "a request ended twice");
        let node_row = &daemon.node.rows(daemon.now_ms)[0];
        prop_assert_eq!((node_row.in_flight, node_row.waiting), (0, 0));
    }

    #[test]
    fn long_work_leaves_the_reserve_free(
        brief_per_s in 1..200_u64,
        long_offers in 1..200_u32,
    ) {
        let (mut node, workers) = node(AdmissionConfig::default(), 4);
        // Brief work that is answered at once gives the node a load that it keeps headroom for.
        for n in 0..2 * brief_per_s {
            let now_ms = n * 1_000 / brief_per_s;
            let _ = node.offer(now_ms, offer(now_ms, "north", "leak-report"));
            for (request, worker) in support::starts(&poll(&mut node, now_ms)) {
                node.attempt_ended(now_ms, request, worker, AttemptEnd::Answered);
                node.finish(now_ms, request);
            }
        }
        for _ in 0..long_offers {
            let _ = node.offer(2_000, offer(2_000, "south", "rota-rebuild"));
        }
        let started = support::starts(&poll(&mut node, 2_000));
        let slots = 8 * workers.len();
        prop_assert!(started.len() < slots, "no slot is left for urgent work");
        let urgent = node.offer(2_000, offer(2_000, "north", "leak-report")).unwrap();
        let decisions = poll(&mut node, 2_000);
        let urgent_started = support::starts(&decisions).iter().any(|&(key, _)| key == urgent);
        prop_assert!(urgent_started, "{:?}", decisions);
    }
}
