//! Tickets for steps that only some workers may run. The advice service of the platform grants them; its answers are slow,
//! so which step is asked about next, and how many workers a query names, are decisions (docs/design/advice.md).

mod demand;
mod send;
mod sizing;
mod vms;
mod waits;

use std::collections::HashMap;

pub use vms::QueryKey;
pub(crate) use vms::{AskingVms, Query};

use crate::configuration::Advice;
use crate::group::GroupKey;
use crate::job::Job;
use crate::orders::AdviceAnswer;
use crate::planner::Planner;
use crate::worker::WorkerKey;
use sizing::usable_ms;

/// The most verdicts that the share of allowed workers of a queue rests on; later ones replace them gradually.
const SHARE_SAMPLE: usize = 200;

/// What the service has said about a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Verdict {
    Forbidden,
    /// Allowed with this ticket, which is used until `until_ms`.
    Allowed {
        ticket: String,
        until_ms: u64,
    },
}

/// What is known about a worker for a step.
#[derive(Debug)]
struct Known {
    /// The incarnation of the worker: the next one may be of another kind.
    born_unix_ms: u64,
    verdict: Verdict,
}

/// What a group may do on a worker, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Permission {
    Unknown,
    Forbidden,
    /// Allowed; the ticket is used until `until_ms`, which may have passed.
    Allowed {
        until_ms: u64,
    },
}

/// What is known about the workers for a step, and what was asked.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    known: HashMap<WorkerKey, Known>,
    /// Queries that were sent.
    queries: u32,
    /// Expected time of the queries that were sent since a task was last assigned.
    asked_ms: u64,
}

impl Tickets {
    fn permission(&self, worker: WorkerKey, born_unix_ms: u64) -> Permission {
        match self.known.get(&worker) {
            Some(known) if known.born_unix_ms == born_unix_ms => match known.verdict {
                Verdict::Forbidden => Permission::Forbidden,
                Verdict::Allowed { until_ms, .. } => Permission::Allowed { until_ms },
            },
            _ => Permission::Unknown,
        }
    }

    /// Returns how many workers are known to be allowed, and to be forbidden.
    fn count_verdicts(&self) -> (usize, usize) {
        let forbidden = self.known.values().map(|known| &known.verdict);
        let forbidden = forbidden.filter(|v| **v == Verdict::Forbidden).count();
        (self.known.len() - forbidden, forbidden)
    }

    /// Removes a ticket that a worker refused. It remains known that the worker is allowed.
    pub fn forget(&mut self, worker: WorkerKey) {
        if let Some(known) = self.known.get_mut(&worker)
            && let Verdict::Allowed { until_ms, .. } = &mut known.verdict
        {
            *until_ms = 0;
        }
    }

    /// Records that an earlier planner has assigned a task to this incarnation of a worker.
    pub fn record_used(&mut self, worker: WorkerKey, born_unix_ms: u64) {
        let verdict = Verdict::Allowed {
            ticket: String::new(),
            until_ms: 0,
        };
        let known = Known {
            born_unix_ms,
            verdict,
        };
        self.known.entry(worker).or_insert(known);
    }

    /// Records that a task was assigned.
    pub fn record_placed(&mut self) {
        self.asked_ms = 0;
    }
}

/// How many workers of a queue were allowed and forbidden lately.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct AllowedShare {
    allowed: usize,
    forbidden: usize,
}

impl AllowedShare {
    fn record(&mut self, allowed: usize, forbidden: usize) {
        self.allowed += allowed;
        self.forbidden += forbidden;
        while self.allowed + self.forbidden > SHARE_SAMPLE {
            self.allowed /= 2;
            self.forbidden /= 2;
        }
    }
}

impl Planner {
    /// Sets the names of the VMs that can send queries to the advice service, of which each has its own turn there.
    pub fn set_advice_vms(&mut self, names: &[String]) {
        self.advice_vms.set(names);
    }

    /// Returns whether a queue has an advice policy, or had one when a job was accepted.
    pub fn has_advice(&self) -> bool {
        !self.queue_advice.is_empty() || self.jobs.values().any(|job| job.stored.advice.is_some())
    }

    /// Returns the policy of a job's queue, with the figures of the configuration in force if it still has the queue.
    fn advice_of(&self, job: &Job) -> Option<Advice> {
        let stored = job.stored.advice?;
        let in_force = self.queue_advice.get(&job.stored.queue);
        Some(in_force.copied().unwrap_or(stored))
    }

    fn permission(&self, group: GroupKey, key: WorkerKey) -> Permission {
        let tickets = &self.jobs[group.job].groups[group.group as usize].tickets;
        self.workers.get(key).map_or(Permission::Unknown, |worker| {
            tickets.permission(key, worker.entry.born_unix_ms)
        })
    }

    /// Returns whether a worker may run tasks of a group now according to its ticket; true if the queue has no advice
    /// policy.
    pub(crate) fn has_ticket(&self, group: GroupKey, worker: WorkerKey, now_ms: u64) -> bool {
        self.jobs[group.job].stored.advice.is_none()
            || matches!(self.permission(group, worker), Permission::Allowed { until_ms } if now_ms < until_ms)
    }

    /// Returns the ticket to send with a start of a group on a worker; empty if none is needed.
    pub(crate) fn ticket(&self, group: GroupKey, worker: WorkerKey) -> String {
        let tickets = &self.jobs[group.job].groups[group.group as usize].tickets;
        match tickets.known.get(&worker).map(|known| &known.verdict) {
            Some(Verdict::Allowed { ticket, .. }) => ticket.clone(),
            _ => String::new(),
        }
    }

    /// Applies the answer to a query; none if it was refused or not answered in time.
    pub fn apply_advice(&mut self, query: QueryKey, answer: Option<AdviceAnswer>, now_ms: u64) {
        let Some(query) = self.advice_vms.end(query, answer.is_some(), now_ms) else {
            return;
        };
        self.changed = true;
        let Some(answer) = answer else {
            self.counts.advice_unanswered += 1;
            let why = AskingVms::describe(&query, now_ms);
            return self.record_advice(query.group, "advice not given", why);
        };
        let (named, took_ms) = (query.workers.len(), now_ms.saturating_sub(query.sent_ms));
        let allowed = self.apply_verdicts(query, answer);
        self.counts.advice_allowed += allowed.1 as u64;
        let why = format!(
            "{} of {named} workers allowed after {took_ms} ms",
            allowed.1
        );
        self.record_advice(allowed.0, "advice given", why);
    }

    /// Records what an answer says; returns the group and the number of allowed workers.
    fn apply_verdicts(&mut self, query: Query, answer: AdviceAnswer) -> (GroupKey, usize) {
        let named = query.workers.len();
        let mut tickets: HashMap<String, String> = answer.allowed.into_iter().collect();
        let group = query.group;
        let Some(job) = self.jobs.get_mut(group.job) else {
            return (group, tickets.len());
        };
        let in_force = self.queue_advice.get(&job.stored.queue);
        let valid_ms = match (answer.valid_ms, in_force.or(job.stored.advice.as_ref())) {
            (0, Some(advice)) => advice.valid_ms,
            (valid_ms, _) => valid_ms,
        };
        let until_ms = answer.received_ms.saturating_add(usable_ms(valid_ms));
        let known = &mut job.groups[group.group as usize].tickets.known;
        let mut allowed = 0;
        for (key, born_unix_ms) in query.workers {
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let verdict = match tickets.remove(&worker.entry.id) {
                Some(ticket) => Verdict::Allowed { ticket, until_ms },
                None => Verdict::Forbidden,
            };
            allowed += usize::from(verdict != Verdict::Forbidden);
            known.insert(
                key,
                Known {
                    born_unix_ms,
                    verdict,
                },
            );
        }
        let share = self.allowed_shares.entry(job.stored.queue.clone());
        share
            .or_default()
            .record(allowed, named.saturating_sub(allowed));
        (group, allowed)
    }

    fn record_advice(&mut self, group: GroupKey, what: &'static str, why: String) {
        let Some(job) = self.jobs.get(group.job) else {
            return self.record_decision(None, what, why);
        };
        let step = job.groups[group.group as usize].step;
        let id = job.stored.id;
        self.record_decision(Some(id), what, format!("step {step}: {why}"));
    }

    /// Describes what is known of the workers for a group, and its queries in flight, for the log.
    pub(crate) fn describe_advice(&self, group: GroupKey, now_ms: u64) -> String {
        let tickets = &self.jobs[group.job].groups[group.group as usize].tickets;
        let (allowed, forbidden) = tickets.count_verdicts();
        let queries = self.advice_vms.queries();
        let (own, others): (Vec<&Query>, Vec<&Query>) = queries.partition(|q| q.group == group);
        let own: Vec<String> = own
            .iter()
            .map(|query| AskingVms::describe(query, now_ms))
            .collect();
        format!(
            "{} queries so far, {allowed} workers allowed, {forbidden} forbidden; in flight: [{}], and {} for others; {} VMs ask",
            tickets.queries,
            own.join("; "),
            others.len(),
            self.advice_vms.count()
        )
    }
}
