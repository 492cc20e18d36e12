//! Requests and keeps tickets for steps that only some workers may run.

use std::collections::HashMap;

use crate::configuration::Advice;
use crate::group::{GroupKey, Phase};
use crate::job::Job;
use crate::orders::{AdviceAnswer, Order};
use crate::overdue::Reach;
use crate::planner::Planner;
use crate::worker::{Worker, WorkerKey};

/// The most workers in one query; the objective for the time of a step counts one query on this many.
const MAX_WORKERS_PER_QUERY: usize = 30;

/// The longest query about several workers: a job may have nothing running for 14 s, and the first workers may all be
/// forbidden. If the decision alone takes over half of it, the workers may take as long again.
const MAX_QUERY_MS: u64 = 5_000;

/// A ticket that expires sooner than this is not used, since the assignment has to be stored and sent first.
const TICKET_MARGIN_MS: u64 = 250;

/// Delay before the next query after an unanswered one.
const UNANSWERED_RETRY_DELAY_MS: u64 = 300;

/// What is known about a worker for a step. Whether it may run the step does not change.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Verdict {
    Forbidden,
    /// Allowed with this ticket, which expires at `until_ms`.
    Allowed {
        ticket: String,
        until_ms: u64,
    },
}

/// The tickets and pending query of a step.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    verdicts: HashMap<WorkerKey, Verdict>,
    in_flight: bool,
    not_before_ms: u64,
    /// Queries in a row that got no answer.
    unanswered: u32,
}

impl Tickets {
    /// Returns the ticket for a worker, if it is still valid.
    fn find_valid(&self, worker: WorkerKey, now_ms: u64) -> Option<&str> {
        match self.verdicts.get(&worker)? {
            Verdict::Allowed { ticket, until_ms } if now_ms + TICKET_MARGIN_MS < *until_ms => {
                Some(ticket)
            }
            _ => None,
        }
    }

    /// Returns whether a query about a worker can result in a ticket.
    fn may_be_allowed(&self, worker: WorkerKey) -> bool {
        self.verdicts.get(&worker) != Some(&Verdict::Forbidden)
    }

    /// Removes a ticket that a worker refused.
    pub fn forget(&mut self, worker: WorkerKey) {
        self.verdicts.remove(&worker);
    }
}

/// Returns the most workers in the next query. After one without an answer it is half as many, since the service may be
/// slower than its figures say.
fn most_workers(advice: &Advice, unanswered: u32) -> usize {
    let left_ms = MAX_QUERY_MS
        .saturating_sub(advice.decide_ms)
        .max(advice.decide_ms);
    let in_time = left_ms.checked_div(advice.each_worker_ms);
    let most = in_time
        .and_then(|count| usize::try_from(count).ok())
        .map_or(MAX_WORKERS_PER_QUERY, |count| {
            count.min(MAX_WORKERS_PER_QUERY)
        });
    let halved = most.checked_shr(unanswered).unwrap_or(0);
    halved.max(1)
}

impl Planner {
    /// Returns the policy of a job's queue, with the figures of the configuration in force if it still has the queue.
    fn advice_of(&self, job: &Job) -> Option<Advice> {
        let stored = job.stored.advice?;
        let in_force = self.queue_advice.get(&job.stored.queue);
        Some(in_force.copied().unwrap_or(stored))
    }

    /// Returns whether a worker may run tasks of a group now according to its ticket; true if the queue has no advice
    /// policy.
    pub(crate) fn has_ticket(&self, group: GroupKey, worker: WorkerKey, now_ms: u64) -> bool {
        let job = &self.jobs[group.job];
        job.stored.advice.is_none()
            || job.groups[group.group as usize]
                .tickets
                .find_valid(worker, now_ms)
                .is_some()
    }

    /// Returns the ticket to send with a start of a group on a worker; empty if none is needed.
    pub(crate) fn ticket(&self, group: GroupKey, worker: WorkerKey) -> String {
        match self.jobs[group.job].groups[group.group as usize]
            .tickets
            .verdicts
            .get(&worker)
        {
            Some(Verdict::Allowed { ticket, .. }) => ticket.clone(),
            _ => String::new(),
        }
    }

    /// Requests advice on which workers may run a group that was not placed completely, on quarantined ones last and only if
    /// it may start there. One query is in flight at a time.
    pub(crate) fn request_advice(&mut self, group: GroupKey, reach: Reach, now_ms: u64) {
        let Some(job) = self.jobs.get(group.job) else {
            return;
        };
        let group_state = &job.groups[group.group as usize];
        let waits = group_state
            .tasks
            .iter()
            .any(|task| task.phase == Phase::Waiting);
        let Some(advice) = self.advice_of(job) else {
            return;
        };
        if !waits || group_state.tickets.in_flight || now_ms < group_state.tickets.not_before_ms {
            return;
        }
        let need = self.need(group);
        let mut open: Vec<(WorkerKey, &Worker)> = self
            .workers
            .iter()
            .filter(|(key, worker)| {
                self.is_reachable(worker, now_ms)
                    && (reach == Reach::Anywhere || worker.health.is_trusted(now_ms))
                    && self.is_eligible(group, worker)
                    && group_state.tickets.may_be_allowed(*key)
                    && group_state.tickets.find_valid(*key, now_ms).is_none()
            })
            .collect();
        // Trusted workers come first, then those known to be allowed, then those with free capacity.
        open.sort_by_key(|(key, worker)| {
            (
                !worker.health.is_trusted(now_ms),
                !group_state.tickets.verdicts.contains_key(key),
                !need.fits(&worker.free()),
                worker.free().accelerators,
            )
        });
        let workers: Vec<(WorkerKey, String)> = open
            .into_iter()
            .take(most_workers(&advice, group_state.tickets.unanswered))
            .map(|(key, worker)| (key, worker.entry.id.clone()))
            .collect();
        if workers.is_empty() {
            return;
        }
        let step = format!(
            "{}.{}.{}",
            job.stored.id, group_state.occurrence, group_state.step
        );
        self.jobs[group.job].groups[group.group as usize]
            .tickets
            .in_flight = true;
        self.orders.push(Order::Ask {
            group,
            step,
            expected_ms: advice.query_ms(workers.len()),
            workers,
        });
    }

    /// Applies the answer to a query about the given workers; none if it was unanswered.
    pub fn apply_advice(
        &mut self,
        group: GroupKey,
        asked: &[WorkerKey],
        answer: Option<AdviceAnswer>,
        now_ms: u64,
    ) {
        let by_id: HashMap<String, WorkerKey> = asked
            .iter()
            .filter_map(|key| {
                self.workers
                    .get(*key)
                    .map(|worker| (worker.entry.id.clone(), *key))
            })
            .collect();
        let Some(job) = self.jobs.get_mut(group.job) else {
            return;
        };
        let tickets = &mut job.groups[group.group as usize].tickets;
        tickets.in_flight = false;
        self.changed = true;
        let Some(answer) = answer else {
            tickets.not_before_ms = now_ms + UNANSWERED_RETRY_DELAY_MS;
            tickets.unanswered = tickets.unanswered.saturating_add(1);
            return;
        };
        tickets.unanswered = 0;
        for key in by_id.values() {
            tickets.verdicts.insert(*key, Verdict::Forbidden);
        }
        let until_ms = answer.received_ms.saturating_add(answer.valid_ms);
        for (id, ticket) in answer.allowed {
            if let Some(key) = by_id.get(&id) {
                tickets
                    .verdicts
                    .insert(*key, Verdict::Allowed { ticket, until_ms });
            }
        }
    }
}
