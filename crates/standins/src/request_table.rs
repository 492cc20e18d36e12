//! Requests of one worker: slots, tickets, fences and unacknowledged results.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bytes::Bytes;
use model::prelude::*;
use tokio::sync::watch;

/// Largest number of unacknowledged results that a worker keeps.
const RESULTS_MAX: usize = 20_000;

/// Receives the result of a request; `None` until there is one.
pub type ResultReceiver = watch::Receiver<Option<RunReply<Bytes>>>;

/// State of a request.
#[derive(Debug)]
enum Record {
    Running {
        started_ms: u64,
        result: ResultReceiver,
    },
    Ended(RunReply<Bytes>),
}

/// Decision about a request.
#[derive(Debug)]
pub enum Admission {
    /// The request is run; its result goes into the sender.
    Start(watch::Sender<Option<RunReply<Bytes>>>),
    /// The same request is running already.
    Join(ResultReceiver),
    /// The same request has ended already.
    Ended(RunReply<Bytes>),
    /// The request is refused.
    Refused(WorkerRefusalReason),
}

/// Issuer of tickets: one incarnation of an entry node.
type Issuer = (DataCentreName, NodeName, Incarnation);

/// Requests of one worker.
///
/// Tickets and fences survive a crash, since they prove that a request was not run.
#[derive(Debug)]
pub struct RequestTable {
    slots: u32,
    used: u32,
    leaving: bool,
    records: HashMap<WorkId, Record>,
    ended_order: VecDeque<WorkId>,
    tickets: BTreeMap<Issuer, BTreeSet<u64>>,
    fences: HashMap<NodeName, Incarnation>,
}

impl RequestTable {
    /// Creates the table of a worker with `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            used: 0,
            leaving: false,
            records: HashMap::new(),
            ended_order: VecDeque::new(),
            tickets: BTreeMap::new(),
            fences: HashMap::new(),
        }
    }

    /// Sets whether new requests are refused.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Returns the number of slots in use.
    pub const fn slots_used(&self) -> u32 {
        self.used
    }

    /// Decides about a request; one that is known already is never started again.
    pub fn admit(&mut self, now_ms: u64, work_id: &WorkId, ticket: Option<&Ticket>) -> Admission {
        match self.records.get(work_id) {
            Some(Record::Running { result, .. }) => return Admission::Join(result.clone()),
            Some(Record::Ended(reply)) => return Admission::Ended(reply.clone()),
            None => {}
        }
        if let Some(why) = self.find_refusal(work_id, ticket) {
            return Admission::Refused(why);
        }
        if let Some(ticket) = ticket {
            let seen = self.tickets.entry(issuer_of(ticket)).or_default();
            seen.insert(ticket.sequence);
        }
        self.used += 1;
        let (sender, result) = watch::channel(None);
        let started_ms = now_ms;
        let record = Record::Running { started_ms, result };
        self.records.insert(work_id.clone(), record);
        Admission::Start(sender)
    }

    /// Returns the reason to refuse a request, if any.
    fn find_refusal(
        &self,
        work_id: &WorkId,
        ticket: Option<&Ticket>,
    ) -> Option<WorkerRefusalReason> {
        let issuer = ticket.map(|t| (&t.node, t.incarnation));
        let is_fenced = self.is_fenced(&work_id.node, work_id.incarnation)
            || issuer.is_some_and(|(node, incarnation)| self.is_fenced(node, incarnation));
        if is_fenced {
            return Some(WorkerRefusalReason::Fenced);
        }
        if ticket.is_some_and(|t| self.has_seen(t)) {
            return Some(WorkerRefusalReason::TicketSeen);
        }
        if self.leaving {
            return Some(WorkerRefusalReason::Leaving);
        }
        (self.used >= self.slots).then_some(WorkerRefusalReason::SlotsInUse)
    }

    /// Returns whether an incarnation of a node is fenced.
    fn is_fenced(&self, node: &NodeName, incarnation: Incarnation) -> bool {
        self.fences.get(node).is_some_and(|&f| incarnation <= f)
    }

    /// Returns whether a ticket has been seen.
    fn has_seen(&self, ticket: &Ticket) -> bool {
        let seen = self.tickets.get(&issuer_of(ticket));
        seen.is_some_and(|seen| seen.contains(&ticket.sequence))
    }

    /// Stores the result of a request that has ended and frees its slot.
    pub fn finish(&mut self, work_id: &WorkId, reply: RunReply<Bytes>) {
        let Some(record @ Record::Running { .. }) = self.records.get_mut(work_id) else {
            return;
        };
        *record = Record::Ended(reply);
        self.used = self.used.saturating_sub(1);
        if self.ended_order.len() >= RESULTS_MAX
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.records.remove(&oldest);
        }
        self.ended_order.push_back(work_id.clone());
    }

    /// Returns the status of a request.
    pub fn status(&self, now_ms: u64, work_id: &WorkId) -> WorkStatus<Bytes> {
        match self.records.get(work_id) {
            None => WorkStatus::Unknown,
            Some(Record::Running { started_ms, .. }) => WorkStatus::Running {
                run_ms: now_ms.saturating_sub(*started_ms),
            },
            Some(Record::Ended(reply)) => WorkStatus::Ended(reply.clone()),
        }
    }

    /// Removes the results of requests; requests that are running are not affected.
    pub fn acknowledge(&mut self, work_ids: &[WorkId]) {
        for work_id in work_ids {
            if let Some(Record::Ended(_)) = self.records.get(work_id) {
                self.records.remove(work_id);
            }
        }
        let records = &self.records;
        if self.ended_order.len() > 2 * records.len() {
            self.ended_order.retain(|id| records.contains_key(id));
        }
    }

    /// Refuses an incarnation of a node and all lower ones from now on; returns the tickets of this
    /// incarnation that the worker has seen.
    pub fn fence(&mut self, command: &FenceCommand) -> FenceReply {
        let FenceCommand { node, incarnation } = command;
        let fence = self.fences.entry(node.clone()).or_insert(*incarnation);
        *fence = (*fence).max(*incarnation);
        let of_issuer = |((_, n, i), _): &(&Issuer, &BTreeSet<u64>)| n == node && i == incarnation;
        let seen = self.tickets.iter().filter(of_issuer);
        let tickets_seen = seen
            .flat_map(|((data_centre, node, incarnation), sequences)| {
                sequences.iter().map(|&sequence| Ticket {
                    data_centre: data_centre.clone(),
                    node: node.clone(),
                    incarnation: *incarnation,
                    sequence,
                })
            })
            .collect();
        FenceReply { tickets_seen }
    }

    /// Drops all requests and results, as in a crash.
    pub fn crash(&mut self) {
        self.used = 0;
        self.records.clear();
        self.ended_order.clear();
    }
}

/// Returns the issuer of a ticket.
fn issuer_of(ticket: &Ticket) -> Issuer {
    (
        ticket.data_centre.clone(),
        ticket.node.clone(),
        ticket.incarnation,
    )
}
