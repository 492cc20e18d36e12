//! Compares two ways to count requests in flight while entry nodes crash: usage rows, which nodes
//! exchange and which expire, and one shared counter, which is incremented and decremented.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use admission::{Admission, AdmissionConfig, AttemptEnd, Decision, Offer, RequestKey, WorkerKey};
use model::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::report::Figures;
use super::request_load::NODES;

/// Limit of requests of the class in flight in the data centre.
const IN_FLIGHT_LIMIT: u32 = 96;

/// Number of workers; with 8 slots each they have four times as many slots as the limit, so that
/// slots are not the bottleneck.
const WORKERS: u32 = 48;

/// Number of slots of a worker.
const SLOTS: u32 = 8;

/// Mean time between arrivals, in milliseconds.
const MEAN_INTERARRIVAL_MS: f64 = 30.0;

/// Mean run time, in milliseconds.
const MEAN_RUN_MS: f64 = 2_000.0;

/// Duration of the simulation, in milliseconds.
const DURATION_MS: u64 = 3_600_000;

/// Interval between crashes of entry nodes, in milliseconds.
const CRASH_INTERVAL_MS: u64 = 300_000;

/// Time from the crash of a node to its replacement, in milliseconds.
const REPLACEMENT_DELAY_MS: u64 = 5_000;

/// Interval between exchanges of rows, in milliseconds.
const ROWS_INTERVAL_MS: u64 = 250;

/// A way to count requests in flight and to enforce their limit.
trait InFlightCounter {
    /// Starts a request at `node` if the limit allows it, and returns its key.
    fn start_request(&mut self, now_ms: u64, node: usize) -> Option<RequestKey>;
    /// Ends a request of a node that has not crashed since the request started.
    fn end_request(&mut self, now_ms: u64, node: usize, key: RequestKey);
    /// Replaces a node by one without requests.
    fn replace_node(&mut self, node: usize);
    /// Exchanges the counts between the nodes that are alive.
    fn exchange_counts(&mut self, now_ms: u64, alive: &[bool; NODES]);
    /// Returns the number of requests that are counted as in flight.
    fn count_in_flight(&self) -> u32;
}

/// One counter that all nodes share without delay.
#[derive(Debug, Default)]
struct SharedCounter {
    count: u32,
}

impl InFlightCounter for SharedCounter {
    fn start_request(&mut self, _now_ms: u64, _node: usize) -> Option<RequestKey> {
        (self.count < IN_FLIGHT_LIMIT).then(|| {
            self.count += 1;
            RequestKey::default()
        })
    }

    fn end_request(&mut self, _now_ms: u64, _node: usize, _key: RequestKey) {
        self.count -= 1;
    }

    /// Leaves the requests of the crashed node counted: no node decrements for them.
    fn replace_node(&mut self, _node: usize) {}

    fn exchange_counts(&mut self, _now_ms: u64, _alive: &[bool; NODES]) {}

    fn count_in_flight(&self) -> u32 {
        self.count
    }
}

/// The usage rows of admission, exchanged between nodes.
struct RowCounter {
    nodes: Vec<Admission>,
    names: Vec<NodeName>,
    workers: HashMap<(usize, RequestKey), WorkerKey>,
    class: ClassSpec,
    organisation: OrganisationSpec,
    sequence: u64,
}

impl RowCounter {
    fn new(class: ClassSpec, organisation: OrganisationSpec) -> Self {
        let names = (0..NODES).filter_map(|n| NodeName::try_from(format!("entry-{n}")).ok());
        let mut rows = Self {
            nodes: Vec::new(),
            names: names.collect(),
            workers: HashMap::new(),
            class,
            organisation,
            sequence: 0,
        };
        rows.nodes = (0..NODES).map(|_| rows.create_node()).collect();
        rows
    }

    fn create_node(&self) -> Admission {
        let mut node = Admission::new(AdmissionConfig::default(), 1);
        node.declare(
            0,
            std::slice::from_ref(&self.organisation),
            std::slice::from_ref(&self.class),
        );
        node.set_entry_nodes(NODES as u32);
        for worker in 0..WORKERS {
            if let Ok(name) = WorkerName::try_from(format!("worker-{worker}")) {
                node.upsert_worker(&name, SLOTS, SLOTS);
            }
        }
        node
    }
}

impl InFlightCounter for RowCounter {
    fn start_request(&mut self, now_ms: u64, node: usize) -> Option<RequestKey> {
        let offer = Offer {
            organisation: self.organisation.name.clone(),
            class: self.class.name.clone(),
            deadline_at_ms: now_ms + self.class.deadline_ms,
            idempotent: false,
        };
        let admission = &mut self.nodes[node];
        let key = admission.offer(now_ms, offer).ok()?;
        let mut decisions = Vec::new();
        admission.poll(now_ms, &mut decisions);
        for decision in decisions {
            if let Decision::Start {
                request, worker, ..
            } = decision
            {
                self.workers.insert((node, request), worker);
            }
        }
        if self.workers.contains_key(&(node, key)) {
            return Some(key);
        }
        self.nodes[node].withdraw(now_ms, key);
        None
    }

    fn end_request(&mut self, now_ms: u64, node: usize, key: RequestKey) {
        if let Some(worker) = self.workers.remove(&(node, key)) {
            self.nodes[node].attempt_ended(now_ms, key, worker, AttemptEnd::Answered);
            self.nodes[node].finish(now_ms, key);
        }
    }

    fn replace_node(&mut self, node: usize) {
        self.nodes[node] = self.create_node();
        self.workers.retain(|(other, _), _| *other != node);
    }

    fn exchange_counts(&mut self, now_ms: u64, alive: &[bool; NODES]) {
        self.sequence += 1;
        for from in (0..NODES).filter(|&node| alive[node]) {
            let rows = self.nodes[from].rows(now_ms);
            for at in (0..NODES).filter(|&node| node != from) {
                self.nodes[at].merge_rows(now_ms, &self.names[from], self.sequence, rows.clone());
            }
        }
    }

    fn count_in_flight(&self) -> u32 {
        self.nodes
            .iter()
            .map(|node| node.rows(0)[0].in_flight)
            .sum()
    }
}

/// Simulates both ways of counting; returns the figures of rows and of the shared counter.
pub(crate) fn run(seed: u64, class: &ClassSpec, organisation: &OrganisationSpec) -> [Figures; 2] {
    let class = ClassSpec {
        in_flight_max: IN_FLIGHT_LIMIT,
        deadline_ms: 60_000,
        ..class.clone()
    };
    let mut rows = RowCounter::new(class, organisation.clone());
    [
        simulate(&mut rows, seed),
        simulate(&mut SharedCounter::default(), seed),
    ]
}

/// State of the nodes in one simulation.
struct NodeStates {
    alive: [bool; NODES],
    incarnations: [u32; NODES],
    in_flight: [u32; NODES],
}

fn simulate(counter: &mut impl InFlightCounter, seed: u64) -> Figures {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut ends: BinaryHeap<Reverse<(u64, usize, u32, RequestKey)>> = BinaryHeap::new();
    let mut state = NodeStates {
        alive: [true; NODES],
        incarnations: [0; NODES],
        in_flight: [0; NODES],
    };
    let (mut offered, mut rejected_wrongly, mut in_flight_max) = (0_u32, 0_u32, 0);
    let mut next_at_ms = 0.0;
    let mut crash_at_ms = CRASH_INTERVAL_MS;
    let mut exchange_at_ms = 0;
    while next_at_ms < DURATION_MS as f64 {
        let now_ms = next_at_ms as u64;
        while let Some(&Reverse((end_ms, node, incarnation, key))) = ends.peek()
            && end_ms <= now_ms
        {
            ends.pop();
            if state.incarnations[node] == incarnation {
                state.in_flight[node] -= 1;
                counter.end_request(end_ms, node, key);
            }
        }
        if now_ms >= exchange_at_ms {
            exchange_at_ms += ROWS_INTERVAL_MS;
            counter.exchange_counts(now_ms, &state.alive);
        }
        if now_ms >= crash_at_ms {
            crash_at_ms += CRASH_INTERVAL_MS;
            let node = rng.random_range(0..NODES);
            state.alive[node] = false;
            state.incarnations[node] += 1;
            state.in_flight[node] = 0;
            counter.replace_node(node);
        }
        if now_ms + CRASH_INTERVAL_MS >= crash_at_ms + REPLACEMENT_DELAY_MS {
            state.alive = [true; NODES];
        }
        let node = rng.random_range(0..NODES);
        let run_ms = -MEAN_RUN_MS * (1.0 - rng.random::<f64>()).ln();
        if state.alive[node] {
            offered += 1;
            if let Some(key) = counter.start_request(now_ms, node) {
                state.in_flight[node] += 1;
                ends.push(Reverse((
                    now_ms + run_ms as u64,
                    node,
                    state.incarnations[node],
                    key,
                )));
            } else if state.in_flight.iter().sum::<u32>() < IN_FLIGHT_LIMIT {
                rejected_wrongly += 1;
            }
            in_flight_max = in_flight_max.max(state.in_flight.iter().sum());
        }
        next_at_ms += -MEAN_INTERARRIVAL_MS * (1.0 - rng.random::<f64>()).ln();
    }
    let in_flight: u32 = state.in_flight.iter().sum();
    let drift = f64::from(counter.count_in_flight()) - f64::from(in_flight);
    let over_limit = in_flight_max.saturating_sub(IN_FLIGHT_LIMIT);
    Figures::from([
        ("counts_drift", drift),
        ("counts_over_limit_max", f64::from(over_limit)),
        (
            "counts_refused_wrongly_ratio",
            f64::from(rejected_wrongly) / f64::from(offered.max(1)),
        ),
    ])
}
