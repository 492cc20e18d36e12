//! Simulated site of entry nodes with ticket books and workers that count runs, in virtual time.
//!
//! It checks two invariants: no ticket runs twice, and a ticket that ran is not refused unless it
//! was also answered or requested with another body.

use std::collections::{BTreeMap, BTreeSet};

use dispatch::call::CallFailure;
use dispatch::delivery::{Action, Delivered, Delivery, DeliveryConfig};
use dispatch::fencing::{Fencing, Verdict};
use dispatch::tickets::{Begin, HandOver, StoredOutcome, TicketBook, TicketConfig};
use model::prelude::*;

use super::name;
use super::worker::Worker;

/// Latency of a link.
pub const LINK_MS: u64 = 1;
/// Number of rounds at which a run is taken to make no progress.
const ROUNDS_MAX: u32 = 100_000;
/// Time after which a delivery is abandoned.
pub const DEADLINE_MS: u64 = 30_000;
/// Largest number of times that a request is forwarded.
pub const HOPS_MAX: u32 = 3;

/// Fault of the next message of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Lose,
    Duplicate,
    Delay(u64),
    Cross,
    Damage,
}

#[derive(Debug, Clone)]
pub enum Body {
    Run(Ticket),
    Status,
    Reply(Result<RunReply<Vec<u8>>, CallFailure>),
    StatusReply(Result<WorkStatus<Vec<u8>>, CallFailure>),
    Fence(FenceCommand),
    FenceReply(FenceReply),
    HandOver(HandOver),
}

#[derive(Debug, Clone)]
pub struct Message {
    pub at_ms: u64,
    pub from: String,
    pub to: String,
    pub work: Option<WorkId>,
    pub body: Body,
}

/// A delivery and the ticket and worker that it is for.
#[derive(Debug)]
struct OpenDelivery {
    ticket: Ticket,
    worker: WorkerName,
    delivery: Delivery<Vec<u8>>,
}

/// A modelled entry node.
#[derive(Debug)]
pub struct Node {
    pub up: bool,
    pub incarnation: Incarnation,
    pub book: TicketBook,
    open: BTreeMap<WorkId, OpenDelivery>,
    /// Sequence of the next work identifier.
    work: u64,
    fencing: Option<Fencing>,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Answer,
    Failed,
    Refused(RefusalReason),
    Unknown(UnknownReason),
}

/// The simulated site.
#[derive(Debug)]
pub struct TicketWorld {
    pub now_ms: u64,
    pub nodes: BTreeMap<String, Node>,
    pub workers: BTreeMap<WorkerName, Worker>,
    pub runs: BTreeMap<Ticket, u32>,
    pub outcomes: BTreeMap<Ticket, Vec<Outcome>>,
    pub messages: Vec<Message>,
    pub faults: BTreeMap<&'static str, Vec<Fault>>,
    pub cuts: BTreeSet<(String, String)>,
    results: BTreeMap<WorkId, RunReply<Vec<u8>>>,
    /// Deliberate bug that the model checker must find: send again when a worker does not answer.
    pub resend_on_timeout: bool,
    /// Sequence of work from which a node no longer retries.
    pub attempts_max: u32,
}

impl TicketWorld {
    pub fn new(nodes: &[&str], workers: u32) -> Self {
        let worker = |i: u32| (name(&format!("w-{i}")), Worker::new(100));
        Self {
            now_ms: 1_000,
            nodes: nodes
                .iter()
                .map(|n| (n.to_string(), new_node(n, 1)))
                .collect(),
            workers: (0..workers).map(worker).collect(),
            runs: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            messages: Vec::new(),
            faults: BTreeMap::new(),
            cuts: BTreeSet::new(),
            results: BTreeMap::new(),
            resend_on_timeout: false,
            attempts_max: 3,
        }
    }

    pub fn draw(&mut self, node: &str) -> Option<Ticket> {
        let now_ms = self.now_ms;
        let node = self.nodes.get_mut(node).filter(|n| n.up)?;
        node.book.draw(now_ms, 1).pop()
    }

    /// Sends a request with `ticket` from a caller to the node `via`.
    pub fn request(&mut self, ticket: &Ticket, via: &str, body: &str) {
        self.request_hop(ticket, via, body, HOPS_MAX);
    }

    fn request_hop(&mut self, ticket: &Ticket, via: &str, body: &str, hops: u32) {
        let now_ms = self.now_ms;
        let digest = ContentDigest::of_bytes(body.as_bytes());
        let Some(node) = self.nodes.get_mut(via).filter(|n| n.up) else {
            return;
        };
        match node.book.begin(now_ms, ticket, digest) {
            Begin::Run => self.attempt(via, ticket),
            Begin::Join => {}
            Begin::Answered(outcome) => self.record_outcome(ticket, caller_outcome(&outcome)),
            Begin::Refuse(reason) => self.record_outcome(ticket, Outcome::Refused(reason)),
            Begin::Unknown(reason) => self.record_outcome(ticket, Outcome::Unknown(reason)),
            Begin::Forward { node, incarnation } => {
                self.forward(ticket, via, (node.as_str(), incarnation), body, hops);
            }
        }
    }

    fn forward(
        &mut self,
        ticket: &Ticket,
        via: &str,
        (to, incarnation): (&str, Incarnation),
        body: &str,
        hops: u32,
    ) {
        let cut = self.cuts.contains(&(via.to_owned(), to.to_owned()));
        let holds = |n: &Node| n.up && n.incarnation == incarnation;
        if hops > 0 && !cut && self.nodes.get(to).is_some_and(holds) {
            return self.request_hop(ticket, to, body, hops - 1);
        }
        let fencing = self.nodes.get(via).and_then(|n| n.fencing.as_ref());
        match fencing.map(|f| f.verdict(ticket, true)) {
            Some(Verdict::NotRun(_)) => {
                self.record_outcome(ticket, Outcome::Refused(RefusalReason::IssuerFenced));
            }
            _ => self.record_outcome(ticket, Outcome::Unknown(UnknownReason::IssuerLost)),
        }
    }

    /// Sends the request to the next worker in turn.
    fn attempt(&mut self, via: &str, ticket: &Ticket) {
        let now_ms = self.now_ms;
        let tries = self.nodes.get(via).map_or(0, |n| n.work) as usize;
        let names: Vec<WorkerName> = self.workers.keys().cloned().collect();
        let worker = names[tries % names.len()].clone();
        let Some(node) = self.nodes.get_mut(via) else {
            return;
        };
        if node.book.record_sent(ticket, &worker).is_err() && !self.resend_on_timeout {
            return;
        }
        let work_id = WorkId {
            data_centre: name("gyor"),
            node: name(via),
            incarnation: node.incarnation,
            sequence: node.work,
        };
        node.work += 1;
        let deadline_ms = now_ms + DEADLINE_MS;
        let config = DeliveryConfig::default();
        let delivery = Delivery::new(config, now_ms, work_id.clone(), false, deadline_ms);
        let ticket = ticket.clone();
        node.open.insert(
            work_id.clone(),
            OpenDelivery {
                ticket,
                worker,
                delivery,
            },
        );
        self.drive(via, &work_id);
    }

    /// Executes the actions of a delivery.
    fn drive(&mut self, via: &str, work: &WorkId) {
        while let Some(open) = self.nodes.get_mut(via).and_then(|n| n.open.get_mut(work)) {
            let Some(action) = open.delivery.poll() else {
                return;
            };
            let (ticket, worker) = (open.ticket.clone(), open.worker.to_string());
            match action {
                Action::Run => self.send("call", via, &worker, Some(work), Body::Run(ticket), 0),
                Action::AskStatus { .. } if self.resend_on_timeout => self.attempt(via, &ticket),
                Action::AskStatus { after_ms } => {
                    self.send("status", via, &worker, Some(work), Body::Status, after_ms);
                }
                Action::Acknowledge => {}
                Action::Deliver(delivered) => self.end(via, &ticket, to_stored(delivered)),
                Action::Retry { proof, .. } => self.retry(via, &ticket, proof),
            }
        }
    }

    fn retry(&mut self, via: &str, ticket: &Ticket, proof: Option<NotRunProof>) {
        let proof = proof.expect("once-only work is retried with a proof only");
        let attempts_max = self.attempts_max;
        let Some(node) = self.nodes.get_mut(via) else {
            return;
        };
        node.book.record_not_run(ticket, &proof);
        if node.work < u64::from(attempts_max) {
            return self.attempt(via, ticket);
        }
        node.book.abandon(ticket);
        let refused = Refused::new(proof, RefusalReason::RetryBudgetUsed, "no worker took it");
        self.record_outcome(ticket, Outcome::Refused(refused.reason()));
    }

    fn end(&mut self, via: &str, ticket: &Ticket, outcome: StoredOutcome) {
        let now_ms = self.now_ms;
        self.record_outcome(ticket, caller_outcome(&outcome));
        if let Some(node) = self.nodes.get_mut(via) {
            node.book.record_outcome(now_ms, ticket, outcome);
        }
    }

    fn record_outcome(&mut self, ticket: &Ticket, outcome: Outcome) {
        self.outcomes
            .entry(ticket.clone())
            .or_default()
            .push(outcome);
    }

    /// Kills a node; with `restart` it comes back as a new incarnation.
    pub fn kill(&mut self, id: &str, restart: bool) {
        let number = self.nodes.get(id).map_or(0, |n| n.incarnation.0);
        let mut fresh = new_node(id, number + 1);
        fresh.up = restart;
        fresh.work = 1_000 * number;
        self.nodes.insert(id.to_owned(), fresh);
    }

    /// Returns whether the issuer of the ticket is alive, so that it must not be fenced.
    pub fn is_live(&self, ticket: &Ticket) -> bool {
        let issuer = self.nodes.get(ticket.node.as_str());
        issuer.is_some_and(|n| n.up && n.incarnation == ticket.incarnation)
    }

    /// Hands the tickets of `from` over to `to`; a repeated call sends the same tickets.
    pub fn hand_over(&mut self, from: &str, to: &str) -> bool {
        let now_ms = self.now_ms;
        let incarnation = self.nodes.get(to).map_or(Incarnation(0), |n| n.incarnation);
        let node = self.nodes.get_mut(from).filter(|n| n.up);
        let packed = node.and_then(|n| n.book.hand_over(now_ms, &name(to), incarnation));
        let Some(packed) = packed else {
            return false;
        };
        self.send("hand-over", from, to, None, Body::HandOver(packed), 0);
        true
    }

    /// Informs `node` that `holder` holds the tickets of `issuer`.
    pub fn learn_holder(&mut self, node: &str, issuer: &str, holder: &str) {
        let incarnation = |id: &str| self.nodes.get(id).map_or(Incarnation(0), |n| n.incarnation);
        let issuer = (name(issuer), incarnation(issuer));
        let holder = (name(holder), incarnation(holder));
        if let Some(node) = self.nodes.get_mut(node) {
            node.book.on_holder(issuer, holder);
        }
    }

    /// Makes the node `by` fence `incarnation` of `issuer` at every worker.
    pub fn fence(&mut self, by: &str, issuer: &str, incarnation: Incarnation) {
        let workers: Vec<WorkerName> = self.workers.keys().cloned().collect();
        let fencing = Fencing::new(name(issuer), incarnation, workers.clone());
        let command = fencing.command();
        if let Some(node) = self.nodes.get_mut(by) {
            node.fencing = Some(fencing);
        }
        for worker in workers {
            let body = Body::Fence(command.clone());
            self.send("fence", by, worker.as_str(), None, body, 0);
        }
    }

    fn send(
        &mut self,
        kind: &'static str,
        from: &str,
        to: &str,
        work: Option<&WorkId>,
        body: Body,
        after_ms: u64,
    ) {
        let link = (from.to_owned(), to.to_owned());
        if self.cuts.contains(&link) || self.cuts.contains(&(link.1.clone(), link.0.clone())) {
            return;
        }
        let faults = self.faults.get_mut(kind).filter(|f| !f.is_empty());
        let fault = faults.map(|f| f.remove(0));
        let mut message = Message {
            at_ms: self.now_ms + after_ms + LINK_MS,
            from: link.0,
            to: link.1,
            work: work.cloned(),
            body,
        };
        match fault {
            Some(Fault::Lose) => return,
            Some(Fault::Duplicate) => self.messages.push(message.clone()),
            Some(Fault::Delay(delay_ms)) => message.at_ms += delay_ms,
            Some(fault) => corrupt_answer(&mut message.body, fault),
            None => {}
        }
        self.messages.push(message);
    }

    pub fn run_until(&mut self, end_ms: u64) {
        let mut rounds = 0;
        loop {
            rounds += 1;
            assert!(rounds < ROUNDS_MAX, "no progress at {} ms", self.now_ms);
            let message = self.messages.iter().map(|m| m.at_ms).min();
            let next_ms = [message, self.next_wake_ms()].into_iter().flatten().min();
            let next_ms = next_ms.unwrap_or(u64::MAX).max(self.now_ms);
            self.now_ms = next_ms.min(end_ms);
            if next_ms > end_ms {
                return;
            }
            let due = |m: &Message| m.at_ms <= next_ms;
            while let Some(at) = self.messages.iter().position(due) {
                self.deliver(at);
            }
            self.tick();
        }
    }

    pub fn next_wake_ms(&self) -> Option<u64> {
        let nodes = self.nodes.values().filter(|n| n.up);
        let open = nodes.flat_map(|n| n.open.values());
        open.filter_map(|o| o.delivery.next_wake_ms()).min()
    }

    pub fn tick(&mut self) {
        let now_ms = self.now_ms;
        let up = self.nodes.iter().filter(|(_, n)| n.up);
        let works = |(id, n): (&String, &Node)| {
            n.open
                .keys()
                .map(|w| (id.clone(), w.clone()))
                .collect::<Vec<_>>()
        };
        let works: Vec<_> = up.flat_map(works).collect();
        for (id, work) in works {
            if let Some(open) = self.nodes.get_mut(&id).and_then(|n| n.open.get_mut(&work)) {
                open.delivery.tick(now_ms);
            }
            self.drive(&id, &work);
        }
    }

    /// Delivers the message at index `at` to its receiver.
    pub fn deliver(&mut self, at: usize) {
        let Message {
            from,
            to,
            work,
            body,
            ..
        } = self.messages.remove(at);
        if self.nodes.contains_key(&to) {
            self.deliver_to_node(&from, &to, work, body);
        } else {
            self.serve(&from, &to, work, body);
        }
    }

    fn deliver_to_node(&mut self, from: &str, to: &str, work: Option<WorkId>, body: Body) {
        let now_ms = self.now_ms;
        let Some(node) = self.nodes.get_mut(to).filter(|n| n.up) else {
            return;
        };
        match (body, work) {
            (Body::HandOver(packed), _) => {
                let _accepted = node.book.accept_hand_over(now_ms, packed);
            }
            (Body::FenceReply(reply), _) => {
                if let Some(fencing) = &mut node.fencing {
                    fencing.on_reply(&name(from), 1, &reply);
                }
            }
            (body, Some(work)) => {
                if let Some(open) = node.open.get_mut(&work) {
                    match body {
                        Body::Reply(reply) => open.delivery.on_reply(reply),
                        Body::StatusReply(status) => open.delivery.on_status(status),
                        _ => {}
                    }
                }
                self.drive(to, &work);
            }
            _ => {}
        }
    }

    fn serve(&mut self, node: &str, worker: &str, work: Option<WorkId>, body: Body) {
        let up = self
            .workers
            .get(&name::<WorkerName>(worker))
            .is_some_and(|w| w.up);
        match (body, work) {
            (Body::Run(ticket), Some(work)) => {
                let reply = if up {
                    self.execute(worker, &work, &ticket)
                } else {
                    None
                };
                let reply = if up {
                    reply
                } else {
                    Some(Err(CallFailure::NotSent))
                };
                if let Some(reply) = reply {
                    let run_ms = if matches!(reply, Ok(RunReply::Answered(_))) {
                        100
                    } else {
                        0
                    };
                    self.send(
                        "answer",
                        worker,
                        node,
                        Some(&work),
                        Body::Reply(reply),
                        run_ms,
                    );
                }
            }
            (Body::Status, Some(work)) => {
                let found = self.results.get(&work).cloned();
                let status = match (found, up) {
                    (_, false) => Err(CallFailure::NotSent),
                    (Some(reply), true) => Ok(WorkStatus::Ended(reply)),
                    (None, true) => Ok(WorkStatus::Unknown),
                };
                let body = Body::StatusReply(status);
                self.send("status-answer", worker, node, Some(&work), body, 0);
            }
            (Body::Fence(command), _) if up => {
                let entry = self.workers.get_mut(&name::<WorkerName>(worker));
                let Some(entry) = entry else { return };
                entry
                    .fenced
                    .insert((command.node.clone(), command.incarnation));
                let of =
                    |t: &&Ticket| t.node == command.node && t.incarnation <= command.incarnation;
                let tickets_seen = entry.tickets.keys().filter(of).cloned().collect();
                let body = Body::FenceReply(FenceReply { tickets_seen });
                self.send("fence-answer", worker, node, None, body, 0);
            }
            _ => {}
        }
    }

    /// Runs the request on a worker, or refuses it; `None` if the worker has run it already.
    fn execute(
        &mut self,
        worker: &str,
        work: &WorkId,
        ticket: &Ticket,
    ) -> Option<Result<RunReply<Vec<u8>>, CallFailure>> {
        let entry = self.workers.get_mut(&name::<WorkerName>(worker))?;
        let fenced = |(node, incarnation): &(NodeName, Incarnation)| {
            *node == ticket.node && ticket.incarnation <= *incarnation
        };
        let refusal = |why| {
            RunReply::Refused(WorkerRefusal {
                work_id: work.clone(),
                why,
            })
        };
        match entry.tickets.get(ticket) {
            Some(seen) if seen == work => return None,
            Some(_) => return Some(Ok(refusal(WorkerRefusalReason::TicketSeen))),
            None if entry.fenced.iter().any(fenced) => {
                return Some(Ok(refusal(WorkerRefusalReason::Fenced)));
            }
            None if entry.leaving => return Some(Ok(refusal(WorkerRefusalReason::Leaving))),
            None => {}
        }
        entry.tickets.insert(ticket.clone(), work.clone());
        *self.runs.entry(ticket.clone()).or_default() += 1;
        let body = work.to_string().into_bytes();
        let reply = RunReply::Answered(RunAnswer {
            work_id: work.clone(),
            digest: ContentDigest::of_bytes(&body),
            length_bytes: body.len() as u64,
            body,
        });
        self.results.insert(work.clone(), reply.clone());
        Some(Ok(reply))
    }

    /// Returns the violated invariant, if any.
    pub fn violation(&self) -> Option<String> {
        for (ticket, outcomes) in &self.outcomes {
            let runs = self.runs.get(ticket).copied().unwrap_or(0);
            let refused = outcomes.iter().any(|o| matches!(o, Outcome::Refused(_)));
            let answered = outcomes.contains(&Outcome::Answer);
            let mismatch = Outcome::Refused(RefusalReason::TicketMismatch);
            let untrue = runs > 0 && refused && !answered && !outcomes.contains(&mismatch);
            if untrue {
                return Some(format!("{ticket} was refused and had run"));
            }
        }
        let twice = self.runs.iter().find(|(_, runs)| **runs > 1);
        twice.map(|(ticket, runs)| format!("{ticket} ran {runs} times"))
    }
}

fn new_node(id: &str, number: u64) -> Node {
    let incarnation = Incarnation(number);
    let config = TicketConfig::default();
    Node {
        up: true,
        incarnation,
        book: TicketBook::new(name("gyor"), name(id), incarnation, config),
        open: BTreeMap::new(),
        work: 0,
        fencing: None,
    }
}

fn caller_outcome(outcome: &StoredOutcome) -> Outcome {
    match outcome {
        StoredOutcome::Answer { .. } => Outcome::Answer,
        StoredOutcome::Failed(_) => Outcome::Failed,
        StoredOutcome::Unknown(unknown) => Outcome::Unknown(unknown.reason),
    }
}

fn to_stored(delivered: Delivered<Vec<u8>>) -> StoredOutcome {
    match delivered {
        Delivered::Answer(answer) => StoredOutcome::Answer {
            work_id: answer.work_id,
            digest: answer.digest,
            body: answer.body.into(),
        },
        Delivered::Failed(failed) => StoredOutcome::Failed(failed),
        Delivered::Unknown(unknown) => StoredOutcome::Unknown(unknown),
    }
}

/// Changes an answer so that it belongs to other work, or truncates it.
fn corrupt_answer(body: &mut Body, fault: Fault) {
    let answer = match body {
        Body::Reply(Ok(RunReply::Answered(answer))) => answer,
        Body::StatusReply(Ok(WorkStatus::Ended(RunReply::Answered(answer)))) => answer,
        _ => return,
    };
    match fault {
        Fault::Cross => answer.work_id.sequence += 900,
        _ => answer.body.truncate(3),
    }
}
