//! Simulates the requests of one data centre in virtual time: entry nodes that run admission,
//! workers that refuse attempts beyond their slots, and usage rows that reach the other nodes with
//! a delay.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use admission::{
    Admission, AdmissionConfig, AttemptEnd, Decision, Offer, RequestKey, UsageRow, WorkerKey,
};
use model::prelude::*;

use super::request_load::{Load, NODES};
use super::request_record::{AttemptRecord, Outcome, Record, RequestRecord};

/// Number of workers of the data centre.
pub(crate) const WORKERS: usize = 16;

/// Number of slots of a worker.
pub(crate) const SLOTS: u32 = 8;

/// Number of connections that a worker accepts.
const CONNECTIONS_MAX: u32 = 64;

/// Number of workers that slow down when they run more than [`SLOWED_SLOTS`] attempts.
const SLOWED_WORKERS: usize = 2;

/// Number of attempts that such a worker runs at full speed.
const SLOWED_SLOTS: u32 = 4;

/// One-way delay between an entry node and a worker, in milliseconds.
const LINK_MS: u64 = 1;

/// Interval at which a node sends its rows, in milliseconds.
const ROWS_INTERVAL_MS: u64 = 250;

/// Delay of rows between two entry nodes, in milliseconds.
const ROWS_DELAY_MS: u64 = 10;

/// Returns the number of attempts that the data centre can run at full speed at one time.
pub(crate) fn capacity_slots() -> f64 {
    let slowed = SLOWED_WORKERS as f64 * f64::from(SLOWED_SLOTS);
    let others = (WORKERS - SLOWED_WORKERS) as f64 * f64::from(SLOTS);
    slowed + others
}

/// An attempt that a node has sent to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentAttempt {
    node: usize,
    request: usize,
    key: RequestKey,
    worker: WorkerKey,
    hedge: bool,
}

/// Events of the simulation; plain values are indices of requests or nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RequestArrived(usize),
    AttemptArrived(SentAttempt),
    AttemptEnded {
        sent: SentAttempt,
        attempt: usize,
    },
    ReplyArrived {
        sent: SentAttempt,
        end: OrderedAttemptEnd,
        attempt: usize,
    },
    DeadlinePassed(usize),
    RowsDue(usize),
    RowsArrived {
        from: usize,
        at: usize,
    },
    Wake(usize),
}

/// Counterpart of [`AttemptEnd`] that implements `Ord`, which the event queue requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum OrderedAttemptEnd {
    Answered,
    Stopped,
    Refused,
    Lost,
}

/// An entry node.
struct Node {
    admission: Admission,
    request_by_key: HashMap<RequestKey, usize>,
    key_by_request: HashMap<usize, RequestKey>,
    wake_ms: u64,
    rows_sent: u64,
}

/// Settings of one simulation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SimulationSettings {
    /// Configuration of admission.
    pub(crate) config: AdmissionConfig,
    /// Whether entry nodes exchange their rows.
    pub(crate) exchanges_rows: bool,
    /// Period in which workers lose most attempts, if any.
    pub(crate) losses: Option<LossPeriod>,
}

/// A period in which workers lose attempts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LossPeriod {
    /// First millisecond of the period.
    pub(crate) from_ms: u64,
    /// First millisecond after the period.
    pub(crate) to_ms: u64,
    /// One in this many attempts is not lost.
    pub(crate) kept_one_in: u64,
}

/// Time from the start of a lost attempt to the detection of the loss, in milliseconds.
const LOSS_DETECTION_MS: u64 = 20;

/// State of the simulated data centre.
struct Simulation<'a> {
    load: &'a Load,
    nodes: Vec<Node>,
    node_names: Vec<NodeName>,
    worker_index_by_key: HashMap<WorkerKey, usize>,
    running_attempts: [u32; WORKERS],
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_sequence: u64,
    rows_in_transit: HashMap<(usize, usize), Vec<UsageRow>>,
    record: Record,
    settings: SimulationSettings,
    last_arrival_ms: u64,
    decisions: Vec<Decision>,
}

/// Simulates `load` until no events are left.
pub(crate) fn run(load: &Load, seed: u64, settings: SimulationSettings) -> Record {
    let mut simulation = Simulation::new(load, seed, settings);
    simulation.run();
    simulation.record
}

impl<'a> Simulation<'a> {
    fn new(load: &'a Load, seed: u64, settings: SimulationSettings) -> Self {
        let classes: Vec<_> = load
            .classes
            .iter()
            .map(|class| class.spec.clone())
            .collect();
        let mut nodes = Vec::new();
        let mut worker_index_by_key = HashMap::new();
        for node in 0..NODES {
            let node_seed = seed.wrapping_mul(1_000).wrapping_add(node as u64);
            let mut admission = Admission::new(settings.config, node_seed);
            admission.declare(0, &load.organisations, &classes);
            admission.set_entry_nodes(NODES as u32);
            for (index, name) in worker_names().enumerate() {
                let key = admission.upsert_worker(&name, SLOTS, CONNECTIONS_MAX);
                // All nodes add the workers in the same order, so their keys of a worker agree.
                worker_index_by_key.insert(key, index);
            }
            nodes.push(Node {
                admission,
                request_by_key: HashMap::new(),
                key_by_request: HashMap::new(),
                wake_ms: u64::MAX,
                rows_sent: 0,
            });
        }
        let record = Record {
            requests: vec![
                RequestRecord {
                    outcome: Outcome::Pending,
                    first_started_ms: None,
                    ended_ms: 0,
                };
                load.requests.len()
            ],
            ..Record::default()
        };
        Self {
            load,
            nodes,
            node_names: node_names().collect(),
            worker_index_by_key,
            running_attempts: [0; WORKERS],
            events: BinaryHeap::new(),
            event_sequence: 0,
            rows_in_transit: HashMap::new(),
            record,
            settings,
            last_arrival_ms: load.requests.last().map_or(0, |request| request.at_ms),
            decisions: Vec::new(),
        }
    }

    fn schedule_event(&mut self, at_ms: u64, event: Event) {
        self.event_sequence += 1;
        self.events
            .push(Reverse((at_ms, self.event_sequence, event)));
    }

    fn run(&mut self) {
        for (index, request) in self.load.requests.iter().enumerate() {
            self.schedule_event(request.at_ms, Event::RequestArrived(index));
        }
        if self.settings.exchanges_rows {
            for node in 0..NODES {
                let offset_ms = node as u64 * ROWS_INTERVAL_MS / NODES as u64;
                self.schedule_event(offset_ms, Event::RowsDue(node));
            }
        }
        while let Some(Reverse((now_ms, _, event))) = self.events.pop() {
            self.handle(now_ms, event);
        }
    }

    fn handle(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::RequestArrived(request) => self.handle_arrival(now_ms, request),
            Event::AttemptArrived(sent) => self.start_attempt(now_ms, sent),
            Event::AttemptEnded { sent, attempt } => self.end_attempt(now_ms, sent, attempt),
            Event::ReplyArrived { sent, end, attempt } => {
                self.handle_reply(now_ms, sent, end, attempt)
            }
            Event::DeadlinePassed(request) => self.expire_waiting(now_ms, request),
            Event::RowsDue(node) => self.send_rows(now_ms, node),
            Event::RowsArrived { from, at } => self.receive_rows(now_ms, from, at),
            Event::Wake(node) => {
                if self.nodes[node].wake_ms == now_ms {
                    self.nodes[node].wake_ms = u64::MAX;
                    self.poll(now_ms, node);
                }
            }
        }
    }

    fn handle_arrival(&mut self, now_ms: u64, request: usize) {
        let load = &self.load.requests[request];
        let class = &self.load.classes[load.class].spec;
        let offer = Offer {
            organisation: self.load.organisations[load.organisation].name.clone(),
            class: class.name.clone(),
            deadline_at_ms: load.deadline_at_ms,
            idempotent: class.idempotent,
        };
        let node = &mut self.nodes[load.node];
        match node.admission.offer(now_ms, offer) {
            Ok(key) => {
                node.request_by_key.insert(key, request);
                node.key_by_request.insert(request, key);
                self.schedule_event(load.deadline_at_ms, Event::DeadlinePassed(request));
            }
            Err(_) => self.record_outcome(now_ms, request, Outcome::Rejected),
        }
        self.poll(now_ms, load.node);
    }

    fn record_outcome(&mut self, now_ms: u64, request: usize, outcome: Outcome) {
        let record = &mut self.record.requests[request];
        if record.outcome == Outcome::Pending {
            record.outcome = outcome;
            record.ended_ms = now_ms;
        }
    }

    /// Withdraws a request that still waits at its deadline.
    fn expire_waiting(&mut self, now_ms: u64, request: usize) {
        let record = self.record.requests[request];
        if record.outcome != Outcome::Pending || record.first_started_ms.is_some() {
            return;
        }
        let node = self.load.requests[request].node;
        if let Some(key) = self.nodes[node].key_by_request.remove(&request) {
            self.nodes[node].admission.withdraw(now_ms, key);
        }
        self.record_outcome(now_ms, request, Outcome::Expired);
        self.poll(now_ms, node);
    }

    fn poll(&mut self, now_ms: u64, node: usize) {
        let mut decisions = std::mem::take(&mut self.decisions);
        self.nodes[node].admission.poll(now_ms, &mut decisions);
        for decision in decisions.drain(..) {
            self.apply_decision(now_ms, node, &decision);
        }
        self.decisions = decisions;
        let state = &mut self.nodes[node];
        let Some(wake_ms) = state.admission.next_wake_ms() else {
            return;
        };
        let wake_ms = wake_ms.max(now_ms + 1);
        if wake_ms < state.wake_ms {
            state.wake_ms = wake_ms;
            self.schedule_event(wake_ms, Event::Wake(node));
        }
    }

    fn apply_decision(&mut self, now_ms: u64, node: usize, decision: &Decision) {
        match decision {
            Decision::Start {
                request: key,
                worker,
                hedge,
            } => {
                let Some(&request) = self.nodes[node].request_by_key.get(key) else {
                    return;
                };
                self.record.hedges += u64::from(*hedge);
                let sent = SentAttempt {
                    node,
                    request,
                    key: *key,
                    worker: *worker,
                    hedge: *hedge,
                };
                self.schedule_event(now_ms + LINK_MS, Event::AttemptArrived(sent));
            }
            Decision::Reject { request: key, .. } | Decision::Spill { request: key, .. } => {
                if let Some(request) = self.nodes[node].request_by_key.remove(key) {
                    self.record_outcome(now_ms, request, Outcome::Rejected);
                }
            }
        }
    }

    fn start_attempt(&mut self, now_ms: u64, sent: SentAttempt) {
        let worker = self.worker_index_by_key[&sent.worker];
        if self.running_attempts[worker] >= SLOTS {
            self.record.refused += 1;
            let reply = Event::ReplyArrived {
                sent,
                end: OrderedAttemptEnd::Refused,
                attempt: usize::MAX,
            };
            self.schedule_event(now_ms + LINK_MS, reply);
            return;
        }
        self.running_attempts[worker] += 1;
        let request = &self.load.requests[sent.request];
        let first = self.record.requests[sent.request]
            .first_started_ms
            .is_none();
        if first {
            self.record.requests[sent.request].first_started_ms = Some(now_ms);
        }
        let slowdown = compute_slowdown(worker, self.running_attempts[worker]);
        let run_ms = request.run_ms[usize::from(sent.hedge)] as f64 * slowdown;
        let is_lost = self.is_lost(now_ms);
        let run_ms = if is_lost {
            LOSS_DETECTION_MS
        } else {
            run_ms as u64
        };
        let ended_ms = (now_ms + run_ms).min(request.deadline_at_ms);
        let attempt = self.record.attempts.len();
        self.record.attempts.push(AttemptRecord {
            request: sent.request,
            started_ms: now_ms,
            ended_ms: ended_ms.max(now_ms),
            slowdown,
            useful: false,
            lost: is_lost,
        });
        self.schedule_event(ended_ms.max(now_ms), Event::AttemptEnded { sent, attempt });
    }

    fn end_attempt(&mut self, now_ms: u64, sent: SentAttempt, attempt: usize) {
        self.running_attempts[self.worker_index_by_key[&sent.worker]] -= 1;
        let deadline_at_ms = self.load.requests[sent.request].deadline_at_ms;
        let end = if self.record.attempts[attempt].lost {
            OrderedAttemptEnd::Lost
        } else if now_ms < deadline_at_ms {
            OrderedAttemptEnd::Answered
        } else {
            OrderedAttemptEnd::Stopped
        };
        self.schedule_event(now_ms + LINK_MS, Event::ReplyArrived { sent, end, attempt });
    }

    fn handle_reply(
        &mut self,
        now_ms: u64,
        sent: SentAttempt,
        end: OrderedAttemptEnd,
        attempt: usize,
    ) {
        let admission = &mut self.nodes[sent.node].admission;
        let attempt_end = match end {
            OrderedAttemptEnd::Answered => AttemptEnd::Answered,
            OrderedAttemptEnd::Stopped => AttemptEnd::Failed,
            OrderedAttemptEnd::Refused => AttemptEnd::RefusedByWorker,
            OrderedAttemptEnd::Lost => AttemptEnd::Lost,
        };
        admission.attempt_ended(now_ms, sent.key, sent.worker, attempt_end);
        let is_pending = self.record.requests[sent.request].outcome == Outcome::Pending;
        match end {
            OrderedAttemptEnd::Answered if is_pending => {
                admission.finish(now_ms, sent.key);
                self.record.attempts[attempt].useful = true;
                self.record_outcome(now_ms, sent.request, Outcome::Answered);
            }
            OrderedAttemptEnd::Stopped if is_pending => {
                admission.finish(now_ms, sent.key);
                self.record_outcome(now_ms, sent.request, Outcome::Stopped);
            }
            OrderedAttemptEnd::Refused if is_pending && !sent.hedge => {
                self.retry(now_ms, sent, RetryReason::WorkerRefused);
            }
            OrderedAttemptEnd::Lost if is_pending && !sent.hedge => self.retry_lost(now_ms, sent),
            _ => {}
        }
        self.poll(now_ms, sent.node);
    }

    /// Retries a lost attempt of an idempotent class; the outcome of other work is unknown.
    fn retry_lost(&mut self, now_ms: u64, sent: SentAttempt) {
        let class = self.load.requests[sent.request].class;
        if self.load.classes[class].spec.idempotent {
            self.retry(now_ms, sent, RetryReason::WorkerLost);
        } else {
            self.nodes[sent.node].admission.finish(now_ms, sent.key);
            self.record_outcome(now_ms, sent.request, Outcome::Stopped);
        }
    }

    fn is_lost(&self, now_ms: u64) -> bool {
        self.settings.losses.is_some_and(|losses| {
            let in_period = (losses.from_ms..losses.to_ms).contains(&now_ms);
            in_period && !(self.record.attempts.len() as u64).is_multiple_of(losses.kept_one_in)
        })
    }

    fn retry(&mut self, now_ms: u64, sent: SentAttempt, reason: RetryReason) {
        let admission = &mut self.nodes[sent.node].admission;
        let retried = admission.retry(now_ms, sent.key, reason);
        if retried.is_err() {
            admission.finish(now_ms, sent.key);
            self.record_outcome(now_ms, sent.request, Outcome::Rejected);
        }
    }

    fn send_rows(&mut self, now_ms: u64, node: usize) {
        let rows = self.nodes[node].admission.rows(now_ms);
        for peer in (0..NODES).filter(|&peer| peer != node) {
            self.rows_in_transit.insert((node, peer), rows.clone());
            let arrival = Event::RowsArrived {
                from: node,
                at: peer,
            };
            self.schedule_event(now_ms + ROWS_DELAY_MS, arrival);
        }
        if now_ms < self.last_arrival_ms {
            self.schedule_event(now_ms + ROWS_INTERVAL_MS, Event::RowsDue(node));
        }
    }

    fn receive_rows(&mut self, now_ms: u64, from: usize, at: usize) {
        let Some(rows) = self.rows_in_transit.remove(&(from, at)) else {
            return;
        };
        self.nodes[from].rows_sent += 1;
        let sequence = self.nodes[from].rows_sent;
        let admission = &mut self.nodes[at].admission;
        admission.merge_rows(now_ms, &self.node_names[from], sequence, rows);
        self.poll(now_ms, at);
    }
}

/// Returns the factor by which an attempt runs longer on a worker that runs `running_attempts`
/// attempts.
fn compute_slowdown(worker: usize, running_attempts: u32) -> f64 {
    if worker >= SLOWED_WORKERS || running_attempts <= SLOWED_SLOTS {
        return 1.0;
    }
    let excess = f64::from(running_attempts) / f64::from(SLOWED_SLOTS);
    excess * excess
}

fn worker_names() -> impl Iterator<Item = WorkerName> {
    (0..WORKERS).filter_map(|n| WorkerName::try_from(format!("worker-{n:02}")).ok())
}

fn node_names() -> impl Iterator<Item = NodeName> {
    (0..NODES).filter_map(|n| NodeName::try_from(format!("entry-{n}")).ok())
}
