//! Sends the queries that steps need, as long as VMs can send some.

use slotmap::SecondaryMap;

use super::demand::Demand;
use super::sizing::{MAX_WORKERS_PER_QUERY, extra_workers, is_long, most_workers, query_size};
use super::waits::AdviceWait;
use crate::fit::count_fitting_tasks;
use crate::group::{GroupKey, Phase};
use crate::orders::Order;
use crate::planner::Planner;
use crate::schedule::Withheld;
use crate::spec::Resources;
use crate::worker::WorkerKey;

/// What the tasks that queries are under way for will occupy on each worker.
pub(super) type Planned = SecondaryMap<WorkerKey, Resources>;

impl Planner {
    /// Sends the queries that can be sent now for groups that wait, and for those whose turn comes soon.
    pub(crate) fn request_advice(
        &mut self,
        mut waits: Vec<AdviceWait>,
        withheld: &Withheld,
        now_ms: u64,
    ) {
        if self.advice_vms.idle(now_ms) == 0 {
            return;
        }
        waits.extend(self.list_coming_groups(now_ms));
        if waits.is_empty() {
            return;
        }
        let vms = self.advice_vms.count();
        waits.sort_by_key(|wait| wait.turn.key(vms));
        waits.reverse();
        let mut planned = self.list_planned(now_ms);
        let mut demands: Vec<(AdviceWait, Demand)> = Vec::new();
        while self.advice_vms.idle(now_ms) > 0 {
            // The next is the first of those that wait for their first query of this pass and those that need another.
            let next = demands
                .iter()
                .enumerate()
                .map(|(index, (wait, _))| (wait.turn.key(vms), index))
                .min();
            let fresh = waits.last().map(|wait| wait.turn.key(vms));
            match (next, fresh) {
                (Some((key, index)), fresh) if fresh.is_none_or(|fresh| key < fresh) => {
                    let (wait, demand) = &mut demands[index];
                    let (group, mut rest) = (wait.group, std::mem::take(demand));
                    let asked_ms = self.send_query(group, &mut rest, now_ms);
                    let (wait, demand) = &mut demands[index];
                    wait.turn.asked_ms = wait.turn.asked_ms.saturating_add(asked_ms);
                    *demand = rest;
                    if asked_ms == 0 || demand.workers.is_empty() {
                        demands.swap_remove(index);
                    }
                }
                (_, Some(_)) => {
                    let Some(wait) = waits.pop() else { break };
                    let Some(demand) = self.find_demand(&wait, &planned, withheld, now_ms) else {
                        continue;
                    };
                    self.plan_tasks(wait.group, demand.workers.iter().copied(), &mut planned);
                    if !demand.together {
                        demands.push((wait, demand));
                    } else if !self.send_together(wait.group, demand, now_ms) {
                        return;
                    }
                }
                _ => break,
            }
        }
    }

    /// Returns what the tasks occupy that queries in flight are for.
    fn list_planned(&self, now_ms: u64) -> Planned {
        let mut planned = Planned::new();
        for query in self.advice_vms.queries() {
            if self.jobs.contains_key(query.group.job) && !query.is_overdue(now_ms) {
                let workers = query.workers.iter().map(|(worker, _)| *worker);
                self.plan_tasks(query.group, workers, &mut planned);
            }
        }
        planned
    }

    /// Adds what the waiting tasks of a group will occupy if these workers are allowed.
    fn plan_tasks(
        &self,
        group: GroupKey,
        workers: impl Iterator<Item = WorkerKey>,
        planned: &mut Planned,
    ) {
        let need = self.need(group);
        let tasks = &self.jobs[group.job].groups[group.group as usize].tasks;
        let mut left = tasks.iter().filter(|t| t.phase == Phase::Waiting).count();
        for key in workers {
            let Some(worker) = self.workers.get(key).filter(|_| left > 0) else {
                continue;
            };
            let taken = planned.get(key).copied().unwrap_or_default();
            let free = worker.free().minus(&taken);
            let fits = count_fitting_tasks(&free, &need)
                .min(self.slots_left(group, worker) as usize)
                .min(left);
            left -= fits;
            planned.insert(key, taken + need.times(fits as i64));
        }
    }

    /// Sends one query of a demand; returns how long it is expected to take, or 0 if none can be sent now.
    fn send_query(&mut self, group: GroupKey, demand: &mut Demand, now_ms: u64) -> u64 {
        let Some(advice) = self.jobs.get(group.job).and_then(|job| self.advice_of(job)) else {
            return 0;
        };
        let idle = self.advice_vms.idle(now_ms);
        let size = query_size(&advice, demand.workers.len(), idle);
        // After one without an answer, the next names half as many: the service may be slower than its figures say.
        let unanswered = self.advice_vms.next_unanswered(now_ms);
        let size = size.checked_shr(unanswered).unwrap_or(0).max(1);
        let is_last = size == demand.workers.len() && unanswered == 0;
        let mut workers: Vec<WorkerKey> = demand.workers.drain(..size).collect();
        if is_last {
            let extra = extra_workers(&advice, size).min(demand.extra.len());
            workers.extend(demand.extra.drain(..extra));
        }
        let expected_ms = advice.query_ms(workers.len());
        if is_long(expected_ms) && self.idle_for_long(now_ms) == 0 {
            return 0;
        }
        self.push_query(group, &workers, expected_ms, now_ms);
        expected_ms.max(1)
    }

    /// Returns how many VMs can send a long query now.
    fn idle_for_long(&self, now_ms: u64) -> usize {
        let mut figures = self.queue_advice.values();
        let has_short_queries = figures.any(|advice| !is_long(advice.query_ms(1)));
        self.advice_vms.idle_for_long(has_short_queries, now_ms)
    }

    /// Sends all queries of a demand at the same time; false if too few VMs can do so yet, which are to wait for the others.
    fn send_together(&mut self, group: GroupKey, demand: Demand, now_ms: u64) -> bool {
        let Some(advice) = self.jobs.get(group.job).and_then(|job| self.advice_of(job)) else {
            return true;
        };
        let count = demand.workers.len();
        let least = count.div_ceil(MAX_WORKERS_PER_QUERY);
        let idle = self.advice_vms.idle(now_ms);
        if idle < least && least <= self.advice_vms.count() {
            return false;
        }
        let most = most_workers(&advice);
        let parts = match count.div_ceil(most) <= idle {
            true => count.div_ceil(most),
            false => {
                let for_long = self.idle_for_long(now_ms);
                if for_long == 0 {
                    return true;
                }
                for_long.max(least).min(idle)
            }
        };
        let size = count.div_ceil(parts.max(1)).min(MAX_WORKERS_PER_QUERY);
        let expected_ms = advice.query_ms(size);
        // All name as many, so that the answers come at the same time; workers of the last may be named twice.
        for part in 0..count.div_ceil(size).min(idle) {
            let first = (part * size).min(count - size);
            let workers = &demand.workers[first..first + size];
            self.push_query(group, workers, expected_ms, now_ms);
        }
        true
    }

    fn push_query(
        &mut self,
        group: GroupKey,
        workers: &[WorkerKey],
        expected_ms: u64,
        now_ms: u64,
    ) {
        let named = |key: &WorkerKey| {
            let worker = self.workers.get(*key)?;
            Some((*key, worker.entry.born_unix_ms, worker.entry.id.clone()))
        };
        let named: Vec<(WorkerKey, u64, String)> = workers.iter().filter_map(named).collect();
        let asked = named.iter().map(|(key, born, _)| (*key, *born)).collect();
        let sent = self.advice_vms.send(group, asked, expected_ms, now_ms);
        let (Some(sent), Some(job)) = (sent, self.jobs.get_mut(group.job)) else {
            return;
        };
        let state = &mut job.groups[group.group as usize];
        state.tickets.queries = state.tickets.queries.saturating_add(1);
        state.tickets.asked_ms = state.tickets.asked_ms.saturating_add(expected_ms);
        let step = format!("{}.{}.{}", job.stored.id, state.occurrence, state.step);
        self.counts.advice_queries += 1;
        self.counts.advice_named += named.len() as u64;
        let by = match sent.vm.is_empty() {
            true => "this VM",
            false => &sent.vm,
        };
        let why = format!(
            "about {} workers by {by}, expected to take {expected_ms} ms, timeout {} ms",
            named.len(),
            sent.timeout_ms
        );
        self.record_advice(group, "advice asked", why);
        self.orders.push(Order::Ask {
            query: sent.query,
            vm: sent.vm,
            step,
            workers: named.into_iter().map(|(_, _, id)| id).collect(),
            expected_ms,
            timeout_ms: sent.timeout_ms,
            new_connection: sent.new_connection,
        });
    }
}
