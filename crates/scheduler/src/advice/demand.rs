//! Which workers each step needs advice about, and the queries that are sent for it.

use slotmap::SecondaryMap;

use super::sizing::{
    LONGEST_SHORT_QUERY_MS, MAX_WORKERS_PER_QUERY, QueryTurn, extra_workers, holds_until_last,
    is_long, most_workers, query_size, usable_ms, workers_to_ask,
};
use super::{Permission, Query};
use crate::configuration::Advice;
use crate::fit::{Candidate, TicketUse, count_fitting_tasks};
use crate::group::{GroupKey, JobKey, Phase, TaskKey};
use crate::orders::Order;
use crate::overdue::Reach;
use crate::planner::Planner;
use crate::schedule::Withheld;
use crate::spec::Resources;
use crate::worker::WorkerKey;

/// The longest time before its turn at which a step is asked about; its tasks are held in memory from then on.
const MAX_LEAD_MS: u64 = 10_000;

/// What the tasks that queries are under way for will occupy on each worker.
type Planned = SecondaryMap<WorkerKey, Resources>;

/// A group that may need advice.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AdviceWait {
    group: GroupKey,
    /// Whether its turn has come; otherwise it is expected soon.
    is_ready: bool,
    turn: QueryTurn,
}

/// Where a worker stands among those that a group may run on. Those of a later class are asked about only if the earlier
/// ones don't suffice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// It has room that the group may use.
    Usual,
    /// The same, away from the rack of the data.
    OffRack,
    /// It has room that the group may use once it has waited for long.
    Anywhere,
    /// Its room has to become free first.
    Occupied,
}

/// A worker that a group may run on.
#[derive(Debug, Clone, Copy)]
struct Prospect {
    worker: WorkerKey,
    class: Class,
    /// How many tasks of the group it has room for.
    fits: usize,
    permission: Permission,
    is_asked: bool,
}

/// The workers that a group needs advice about.
#[derive(Debug, Default)]
struct Demand {
    workers: Vec<WorkerKey>,
    /// Workers that are probably not needed, but may be named along.
    extra: Vec<WorkerKey>,
    /// Whether all have to be asked about at the same time, since the tickets don't hold for long.
    together: bool,
}

impl Planner {
    /// Returns the wait of a group whose turn has come and that was not placed completely; none if its queue has no advice
    /// policy.
    pub(crate) fn wait_for_advice(&self, group: GroupKey, now_ms: u64) -> Option<AdviceWait> {
        let job = self.jobs.get(group.job)?;
        job.stored.advice?;
        let state = &job.groups[group.group as usize];
        let waits = state.tasks.iter().any(|task| task.phase == Phase::Waiting);
        let since_ms = now_ms.saturating_sub(state.waited_ms(now_ms));
        let is_idle =
            job.step_of(group.group as usize).lasting || self.may_be_idle(group.job, now_ms);
        waits.then_some(AdviceWait {
            group,
            is_ready: true,
            turn: QueryTurn {
                since_ms,
                asked_ms: state.tickets.asked_ms,
                is_urgent: job.stored.priority == 0,
                is_idle,
            },
        })
    }

    /// Sends the queries that can be sent now for groups that wait, and for those whose turn comes soon.
    pub(crate) fn request_advice(
        &mut self,
        mut waits: Vec<AdviceWait>,
        withheld: &Withheld,
        now_ms: u64,
    ) {
        if self.advice_callers.idle(now_ms) == 0 {
            return;
        }
        waits.extend(self.list_coming_groups(now_ms));
        if waits.is_empty() {
            return;
        }
        let callers = self.advice_callers.count();
        waits.sort_by_key(|wait| wait.turn.key(callers));
        waits.reverse();
        let mut planned = self.list_planned(now_ms);
        let mut demands: Vec<(AdviceWait, Demand)> = Vec::new();
        while self.advice_callers.idle(now_ms) > 0 {
            // The next is the first of those that wait for their first query of this pass and those that need another.
            let next = demands
                .iter()
                .enumerate()
                .map(|(index, (wait, _))| (wait.turn.key(callers), index))
                .min();
            let fresh = waits.last().map(|wait| wait.turn.key(callers));
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

    /// Returns how long before its turn a step of a job is asked about; 0 if its queue has no advice policy.
    pub(crate) fn advice_lead_ms(&self, job: JobKey) -> u64 {
        self.advice_of(&self.jobs[job])
            .map_or(0, |advice| lead_ms(&advice))
    }

    /// Returns the groups whose turn comes soon: the steps before them end, or their time comes, while a query about them
    /// takes.
    fn list_coming_groups(&self, now_ms: u64) -> Vec<AdviceWait> {
        let mut coming = Vec::new();
        for (key, job) in &self.jobs {
            let Some(advice) = self.advice_of(job).filter(|_| !job.state.is_final()) else {
                continue;
            };
            let lead_ms = lead_ms(&advice);
            for index in 0..job.groups.len() {
                let state = &job.groups[index];
                let waits = state.tasks.iter().all(|task| task.phase == Phase::Waiting);
                if state.ready_ms.is_some() || !waits {
                    continue;
                }
                let Some(ready_ms) = self.expect_ready_ms(key, index, now_ms) else {
                    continue;
                };
                if ready_ms > now_ms.saturating_add(lead_ms) {
                    continue;
                }
                coming.push(AdviceWait {
                    group: GroupKey {
                        job: key,
                        group: index as u32,
                    },
                    is_ready: false,
                    turn: QueryTurn {
                        since_ms: ready_ms,
                        asked_ms: state.tickets.asked_ms,
                        is_urgent: job.stored.priority == 0,
                        is_idle: true,
                    },
                });
            }
        }
        coming
    }

    /// Returns when the turn of a group is expected to come; none if a step before it has not started completely, or it is
    /// not known when that ends.
    fn expect_ready_ms(&self, job_key: JobKey, index: usize, now_ms: u64) -> Option<u64> {
        let job = &self.jobs[job_key];
        let due_unix_ms = job
            .stored
            .request
            .timing
            .due_unix_ms(job.groups[index].occurrence);
        let mut ready_ms = due_unix_ms.saturating_sub(self.unix_ahead_ms).max(now_ms);
        for step in &job.step_of(index).after {
            let Some(before) = job.find_group(job.groups[index].occurrence, *step) else {
                continue;
            };
            for (task, state) in (0..).zip(&job.groups[before].tasks) {
                if state.is_done() {
                    continue;
                }
                state.phase.worker()?;
                let key = TaskKey {
                    group: GroupKey {
                        job: job_key,
                        group: before as u32,
                    },
                    index: task,
                };
                ready_ms = ready_ms.max(self.expected_end_ms(key, now_ms)?);
            }
        }
        Some(ready_ms)
    }

    /// Returns what the tasks occupy that queries in flight are for.
    fn list_planned(&self, now_ms: u64) -> Planned {
        let mut planned = Planned::new();
        for query in self.advice_callers.queries() {
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

    /// Returns whether a worker that a group may run on has room for one task.
    fn may_have_room(&self, group: GroupKey, now_ms: u64) -> bool {
        let need = self.need(group);
        self.workers.iter().any(|(key, worker)| {
            need.fits(&worker.free())
                && self.is_reachable(worker, now_ms)
                && self.is_eligible(group, worker)
                && self.permission(group, key) != Permission::Forbidden
        })
    }

    /// Returns the workers that a group may run on as far as it is known, those that suit it best first.
    fn list_prospects(
        &self,
        wait: &AdviceWait,
        planned: &Planned,
        withheld: &Withheld,
        now_ms: u64,
    ) -> Vec<Prospect> {
        let group = wait.group;
        let need = self.need(group);
        let data_rack = &self.jobs[group.job].step_of(group.group as usize).data_rack;
        let data_rack = data_rack.as_ref().map(|rack| self.racks.find(rack));
        let asked: Vec<&Query> = self
            .advice_callers
            .queries()
            .filter(|query| query.group == group && !query.is_overdue(now_ms))
            .collect();
        let prospect = |candidate: &Candidate, class: Class, fits: usize| Prospect {
            worker: candidate.worker,
            class,
            fits,
            permission: self.permission(group, candidate.worker),
            is_asked: asked.iter().any(|query| {
                query
                    .workers
                    .iter()
                    .any(|(key, _)| *key == candidate.worker)
            }),
        };
        let mut prospects: Vec<(Prospect, _)> = Vec::new();
        let mut has_usual_room = SecondaryMap::new();
        for candidate in self.list_available_candidates(
            group,
            Reach::Usual,
            TicketUse::Ignored,
            withheld,
            now_ms,
        ) {
            let is_off_rack = data_rack.is_some_and(|rack| rack != Some(candidate.rack));
            let class = match is_off_rack {
                true => Class::OffRack,
                false => Class::Usual,
            };
            if let Some((is_planned, fits)) = count_fitting(&candidate, &need, planned) {
                has_usual_room.insert(candidate.worker, ());
                let order = (is_planned, candidate.rank(&need));
                prospects.push((prospect(&candidate, class, fits), order));
            }
        }
        let may_take_occupied = !wait.is_ready || self.jobs[group.job].stored.priority == 0;
        for candidate in self.candidates_by(group, Reach::Anywhere, TicketUse::Ignored, now_ms) {
            if has_usual_room.contains_key(candidate.worker) {
                continue;
            }
            let room = count_fitting(&candidate, &need, planned);
            let (class, (is_planned, fits)) = match room {
                Some(room) => (Class::Anywhere, room),
                None if may_take_occupied => {
                    let fits = self.count_fitting_if_empty(&candidate, &need);
                    (Class::Occupied, (false, fits))
                }
                None => continue,
            };
            let order = (is_planned, candidate.rank(&need));
            prospects.push((prospect(&candidate, class, fits), order));
        }
        prospects.retain(|(prospect, _)| {
            prospect.fits > 0 && prospect.permission != Permission::Forbidden
        });
        prospects.sort_by_key(|(prospect, (is_planned, rank))| {
            let is_known = matches!(prospect.permission, Permission::Allowed { .. });
            (prospect.class, *is_planned, !is_known, *rank)
        });
        prospects
            .into_iter()
            .map(|(prospect, _)| prospect)
            .collect()
    }

    /// Returns how many tasks an empty worker would have room for.
    fn count_fitting_if_empty(&self, candidate: &Candidate, need: &Resources) -> usize {
        let worker = self.workers.get(candidate.worker);
        let capacity = worker.map_or_else(Resources::default, |worker| worker.entry.capacity);
        count_fitting_tasks(&capacity, need).min(candidate.slots_left as usize)
    }

    /// Returns the workers that a group needs advice about now; none if it needs none.
    fn find_demand(
        &self,
        wait: &AdviceWait,
        planned: &Planned,
        withheld: &Withheld,
        now_ms: u64,
    ) -> Option<Demand> {
        let group = wait.group;
        let job = self.jobs.get(group.job)?;
        let advice = self.advice_of(job)?;
        let state = &job.groups[group.group as usize];
        let lacking = match self.is_gang(group) {
            true => state.tasks.len(),
            false => state
                .tasks
                .iter()
                .filter(|t| t.phase == Phase::Waiting)
                .count(),
        };
        let may_take_occupied = !wait.is_ready || job.stored.priority == 0;
        if !may_take_occupied && !self.may_have_room(group, now_ms) {
            return None;
        }
        let mut prospects = self.list_prospects(wait, planned, withheld, now_ms);
        self.keep_one_rack(group, &mut prospects, lacking);
        keep_first_classes(&mut prospects, lacking);
        // A ticket that has expired is asked for early only if that takes too long once the turn has come.
        let most_workers = match self.is_gang(group) {
            true => lacking.div_ceil(self.advice_callers.count().max(1)),
            false => 1,
        };
        let renews = wait.is_ready || is_long(advice.query_ms(most_workers));
        let demand = match self.is_gang(group) {
            true => self.find_gang_demand(group, &advice, &prospects, lacking, renews, now_ms),
            false => self.find_task_demand(group, &prospects, lacking, renews, now_ms),
        };
        (!demand.workers.is_empty()).then_some(demand)
    }

    /// Leaves the workers of one rack if a gang that belongs on one finds all it needs there.
    fn keep_one_rack(&self, group: GroupKey, prospects: &mut Vec<Prospect>, count: usize) {
        let step = self.jobs[group.job].step_of(group.group as usize);
        if !step.gang || !step.one_rack {
            return;
        }
        let mut by_rack: Vec<(usize, usize)> = self.racks.table();
        let with_room = prospects.iter().filter(|p| p.class != Class::Occupied);
        for prospect in with_room {
            let rack = self.workers[prospect.worker].rack.index();
            by_rack[rack].0 += prospect.fits;
            if matches!(prospect.permission, Permission::Allowed { .. }) {
                by_rack[rack].1 += prospect.fits;
            }
        }
        let rack = (0..by_rack.len())
            .filter(|rack| by_rack[*rack].0 >= count)
            .max_by_key(|rack| (by_rack[*rack].1, std::cmp::Reverse(by_rack[*rack].0)));
        if let Some(rack) = rack {
            prospects.retain(|prospect| self.workers[prospect.worker].rack.index() == rack);
        }
    }

    /// Returns what single tasks need: workers for as many as wait, and more if few are allowed.
    fn find_task_demand(
        &self,
        group: GroupKey,
        prospects: &[Prospect],
        mut lacking: usize,
        renews: bool,
        now_ms: u64,
    ) -> Demand {
        let mut demand = Demand::default();
        let mut unknown = Vec::new();
        for prospect in prospects {
            if lacking == 0 {
                break;
            }
            let is_held = match prospect.permission {
                Permission::Allowed { until_ms } => now_ms < until_ms || !renews,
                _ => false,
            };
            match prospect.permission {
                _ if is_held => lacking = lacking.saturating_sub(prospect.fits),
                Permission::Allowed { .. } => {
                    lacking = lacking.saturating_sub(prospect.fits);
                    if !prospect.is_asked {
                        demand.workers.push(prospect.worker);
                    }
                }
                _ => unknown.push(prospect),
            }
        }
        self.ask_unknown(group, &mut demand, &unknown, lacking);
        demand
    }

    /// Adds workers of which nothing is known, so that probably enough of them, and of those that were asked about already,
    /// are allowed for the tasks that lack one.
    fn ask_unknown(
        &self,
        group: GroupKey,
        demand: &mut Demand,
        unknown: &[&Prospect],
        mut lacking: usize,
    ) {
        let needed = unknown.iter().take_while(|prospect| {
            let is_needed = lacking > 0;
            lacking = lacking.saturating_sub(prospect.fits);
            is_needed
        });
        let needed = needed.count();
        let job = &self.jobs[group.job];
        let (allowed, forbidden) = job.groups[group.group as usize].tickets.count_verdicts();
        let mut wanted = workers_to_ask(needed, allowed, forbidden);
        if allowed == 0 {
            let share = self.allowed_shares.get(&job.stored.queue);
            let share = share.copied().unwrap_or_default();
            wanted = wanted.max(workers_to_ask(needed, share.allowed, share.forbidden));
        }
        let asked = unknown.iter().filter(|p| p.is_asked).count();
        let open = unknown.iter().filter(|p| !p.is_asked).map(|p| p.worker);
        let open: Vec<WorkerKey> = open.collect();
        let (wanted, others) = open.split_at(wanted.saturating_sub(asked).min(open.len()));
        demand.workers.extend(wanted);
        demand.extra.extend(others);
    }

    /// Returns what a gang needs: workers for all members whose tickets are valid at the same time.
    fn find_gang_demand(
        &self,
        group: GroupKey,
        advice: &Advice,
        prospects: &[Prospect],
        count: usize,
        renews: bool,
        now_ms: u64,
    ) -> Demand {
        if prospects.iter().map(|p| p.fits).sum::<usize>() < count {
            return Demand::default();
        }
        let is_known = |p: &&Prospect| matches!(p.permission, Permission::Allowed { .. });
        let (mut known, unknown): (Vec<&Prospect>, Vec<&Prospect>) =
            prospects.iter().partition(is_known);
        // Those whose tickets hold longest come first, as they need no other.
        known.sort_by_key(|prospect| std::cmp::Reverse(until_ms(prospect.permission)));
        let mut lacking = count;
        let chosen: Vec<&Prospect> = known
            .into_iter()
            .take_while(|prospect| {
                let is_needed = lacking > 0;
                lacking = lacking.saturating_sub(prospect.fits);
                is_needed
            })
            .collect();
        let stale = match renews {
            true => list_stale(&chosen, advice, now_ms),
            false => Vec::new(),
        };
        let mut demand = Demand::default();
        if lacking == 0 {
            demand.together = true;
            demand.workers = stale;
            return demand;
        }
        self.ask_unknown(group, &mut demand, &unknown, lacking);
        let callers = self.advice_callers.count();
        if !demand.workers.is_empty()
            && !holds_until_last(advice, demand.workers.len(), callers)
            && !unknown.iter().any(|prospect| prospect.is_asked)
        {
            // A long query cannot be avoided: the tickets of several short ones would not hold until the last.
            demand.together = true;
            demand.workers.extend(stale);
        }
        demand
    }

    /// Sends one query of a demand; returns how long it is expected to take, or 0 if none can be sent now.
    fn send_query(&mut self, group: GroupKey, demand: &mut Demand, now_ms: u64) -> u64 {
        let Some(advice) = self.jobs.get(group.job).and_then(|job| self.advice_of(job)) else {
            return 0;
        };
        let idle = self.advice_callers.idle(now_ms);
        let size = query_size(&advice, demand.workers.len(), idle);
        // After one without an answer, the next names half as many: the service may be slower than its figures say.
        let unanswered = self.advice_callers.next_unanswered(now_ms);
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
        self.advice_callers.idle_for_long(has_short_queries, now_ms)
    }

    /// Sends all queries of a demand at the same time; false if too few VMs can do so yet, which are to wait for the others.
    fn send_together(&mut self, group: GroupKey, demand: Demand, now_ms: u64) -> bool {
        let Some(advice) = self.jobs.get(group.job).and_then(|job| self.advice_of(job)) else {
            return true;
        };
        let count = demand.workers.len();
        let least = count.div_ceil(MAX_WORKERS_PER_QUERY);
        let idle = self.advice_callers.idle(now_ms);
        if idle < least && least <= self.advice_callers.count() {
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
        let sent = self.advice_callers.send(group, asked, expected_ms, now_ms);
        let (Some(sent), Some(job)) = (sent, self.jobs.get_mut(group.job)) else {
            return;
        };
        let state = &mut job.groups[group.group as usize];
        state.tickets.queries = state.tickets.queries.saturating_add(1);
        state.tickets.asked_ms = state.tickets.asked_ms.saturating_add(expected_ms);
        let step = format!("{}.{}.{}", job.stored.id, state.occurrence, state.step);
        self.counts.advice_queries += 1;
        self.counts.advice_named += named.len() as u64;
        let by = match sent.caller.is_empty() {
            true => "this VM",
            false => &sent.caller,
        };
        let why = format!(
            "about {} workers by {by}, expected to take {expected_ms} ms, timeout {} ms",
            named.len(),
            sent.timeout_ms
        );
        self.record_advice(group, "advice asked", why);
        self.orders.push(Order::Ask {
            query: sent.query,
            caller: sent.caller,
            step,
            workers: named.into_iter().map(|(_, _, id)| id).collect(),
            expected_ms,
            timeout_ms: sent.timeout_ms,
            new_connection: sent.new_connection,
        });
    }
}

/// Returns how many tasks a worker has room for, and whether others are asked about for that room; none if it has none.
fn count_fitting(
    candidate: &Candidate,
    need: &Resources,
    planned: &Planned,
) -> Option<(bool, usize)> {
    let slots = candidate.slots_left as usize;
    let taken = planned.get(candidate.worker).copied().unwrap_or_default();
    let rooms = [
        (false, candidate.free.minus(&taken)),
        (true, candidate.free),
    ];
    rooms
        .into_iter()
        .map(|(is_planned, room)| (is_planned, count_fitting_tasks(&room, need).min(slots)))
        .find(|(_, fits)| *fits > 0)
}

/// Leaves the classes that have room for all tasks together, the first ones.
fn keep_first_classes(prospects: &mut Vec<Prospect>, mut lacking: usize) {
    let mut last = None;
    for prospect in prospects.iter() {
        if lacking == 0 {
            break;
        }
        lacking = lacking.saturating_sub(prospect.fits);
        last = Some(prospect.class);
    }
    prospects.retain(|prospect| last.is_some_and(|last| prospect.class <= last));
}

/// Returns until when a permission is used; 0 if there is none.
fn until_ms(permission: Permission) -> u64 {
    match permission {
        Permission::Allowed { until_ms } => until_ms,
        _ => 0,
    }
}

/// Returns the workers whose tickets have expired before those of all of these are renewed that have to be.
fn list_stale(chosen: &[&Prospect], advice: &Advice, now_ms: u64) -> Vec<WorkerKey> {
    let expires = |count: usize| {
        let renewed_ms = match count {
            0 => now_ms,
            count => now_ms.saturating_add(advice.query_ms(count)),
        };
        let is_stale = move |p: &&&Prospect| until_ms(p.permission) <= renewed_ms && !p.is_asked;
        chosen.iter().filter(is_stale)
    };
    let mut count = 0;
    loop {
        let found = expires(count).count();
        if found == count {
            break;
        }
        count = found;
    }
    expires(count).map(|prospect| prospect.worker).collect()
}

/// Returns how long before its turn a step is asked about: for as long as a query and the one in front of it take, but so
/// that its tickets still hold.
fn lead_ms(advice: &Advice) -> u64 {
    let query_ms = advice.query_ms(most_workers(advice));
    let valid_ms = usable_ms(advice.valid_ms);
    query_ms
        .saturating_add(LONGEST_SHORT_QUERY_MS.min(valid_ms / 2))
        .min(MAX_LEAD_MS)
}
