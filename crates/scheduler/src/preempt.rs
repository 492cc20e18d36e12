//! Preempts the work that loses least so that urgent work (priority 0) can start.

use std::collections::{HashMap, HashSet};

use crate::fit::{Candidate, split_by_rack};
use crate::group::{GroupKey, JobKey, Phase, TaskKey};
use crate::overdue::Reach;
use crate::planner::Planner;
use crate::spec::Resources;
use crate::worker::WorkerKey;

/// Time reserved for the delivery of stop and start orders.
const ORDER_DELIVERY_MARGIN_MS: u64 = 250;

/// The most unsaved work that may be discarded to start an urgent group that would be late even if it started right
/// after the stops. The users' price sheets value an urgent job at 4 if it is on time and at 0.8 if it is late, and a
/// lost core-second at 0.0013: this is an eighth of the difference.
const MAX_LOSS_LATE_CORE_MS: i64 = 300_000;

/// The same for a group that is on time if it starts right after the stops: most of the difference.
const MAX_LOSS_ON_TIME_CORE_MS: i64 = 2_000_000;

/// Loss of a task that has few starts left: more than is acceptable for anything but a guarantee.
const LOSS_OF_FEW_STARTS_CORE_MS: i64 = 1_000 * MAX_LOSS_ON_TIME_CORE_MS;

/// Part of the reclaim time of a guaranteed job that is reserved for repeating a start.
const RECLAIM_MARGIN_MS: u64 = 800;

/// Urgent work is worth less once it is late, and nothing once it took this many times as long as it may and be on time.
const WORTHWHILE_FACTOR: u64 = 3;

/// A task that can be stopped, and the core-milliseconds that this discards.
#[derive(Debug, Clone, Copy)]
struct Victim {
    task: TaskKey,
    resources: Resources,
    loss: i64,
    /// The loss as it counts in the choice of victims; see [`Shares::weigh_loss`](crate::policy::shares::Shares::weigh_loss).
    weighed_loss: i64,
}

/// A preemption: where the tasks go, which tasks are stopped, and the core-milliseconds that this discards.
#[derive(Debug, Default)]
struct PreemptionPlan {
    places: Vec<WorkerKey>,
    victims: Vec<TaskKey>,
    loss: i64,
    /// The same as it counts in the choice of victims.
    weighed_loss: i64,
}

impl Planner {
    /// Preempts other work for an urgent group that found no free capacity. If that would discard more work than is
    /// acceptable now, stops nothing and returns the workers of those tasks whose capacity is to be withheld from other
    /// work.
    pub(crate) fn preempt_for_group(&mut self, group: GroupKey, now_ms: u64) -> Vec<WorkerKey> {
        let Some(job) = self.jobs.get(group.job) else {
            return Vec::new();
        };
        let group_state = &job.groups[group.group as usize];
        if job.stored.priority != 0
            || group_state.teardown_since_ms.is_some()
            || self.waits_for_empty_workers(group, now_ms)
            || self.may_soon_start_elsewhere(group, now_ms)
        {
            return Vec::new();
        }
        let waiting: Vec<u32> = (0..)
            .zip(&group_state.tasks)
            .filter(|(_, t)| t.phase == Phase::Waiting && t.not_before_ms <= now_ms)
            .map(|(index, _)| index)
            .collect();
        let gang = self.is_gang(group);
        if waiting.is_empty() || (gang && waiting.len() < group_state.tasks.len()) {
            return Vec::new();
        }
        let Some(plan) = self.plan_preemption(group, waiting.len(), now_ms) else {
            return Vec::new();
        };
        let waited_ms = now_ms.saturating_sub(group_state.ready_ms.unwrap_or(now_ms));
        if plan.loss > self.max_acceptable_loss(group, waited_ms) {
            return self.choose_withheld(group, plan, waited_ms, now_ms);
        }
        let id = job.stored.id;
        let why = format!(
            "waited {waited_ms} ms; stops {} tasks to start {} of priority 0, discards {} core-ms",
            plan.victims.len(),
            plan.places.len(),
            plan.loss
        );
        self.record_decision(Some(id), "room made", why);
        for victim in &plan.victims {
            self.preempt_task(*victim, id, now_ms);
        }
        let places = waiting.into_iter().zip(plan.places).collect();
        self.reserve_capacity(group, places, now_ms);
        self.changed = true;
        Vec::new()
    }

    /// Returns the places of a plan that is not carried out that are worth withholding from other work: while the
    /// service's capacity is scarce, all of them for as long as the group is worth more if it starts; otherwise those
    /// where the runs in the way end before guaranteed work would have to start, for a gang all or none.
    fn choose_withheld(
        &self,
        group: GroupKey,
        plan: PreemptionPlan,
        waited_ms: u64,
        now_ms: u64,
    ) -> Vec<WorkerKey> {
        if waited_ms <= self.worthwhile_wait_ms(group) && self.is_half_used(group) {
            return plan.places;
        }
        let Some(left_ms) = self.limits.reclaim_ms.checked_sub(waited_ms) else {
            return Vec::new();
        };
        let occupied: HashSet<WorkerKey> = plan
            .victims
            .iter()
            .filter(|victim| {
                self.expected_end_ms(**victim, now_ms)
                    .is_none_or(|end_ms| end_ms > now_ms + left_ms)
            })
            .filter_map(|victim| self.task(*victim)?.phase.worker())
            .collect();
        if self.is_gang(group) && !occupied.is_empty() {
            return Vec::new();
        }
        let mut places = plan.places;
        places.retain(|worker| !occupied.contains(worker));
        places
    }

    /// Returns how long a group can wait and still be worth something: up to [`WORTHWHILE_FACTOR`] times the time within
    /// which it would be on time.
    pub(crate) fn worthwhile_wait_ms(&self, group: GroupKey) -> u64 {
        let job = &self.jobs[group.job];
        let run_ms = self.expected_run_ms(group);
        let stretch_percent = u64::from(job.stored.stretch_percent);
        let on_time_ms = run_ms.saturating_mul(stretch_percent) / 100;
        on_time_ms
            .saturating_add(job.stored.goal_ms)
            .saturating_mul(WORTHWHILE_FACTOR)
            .saturating_sub(run_ms)
    }

    /// Returns whether at least half of the accelerators of a group's service are in use, or of its cores if it has no
    /// accelerators.
    fn is_half_used(&self, group: GroupKey) -> bool {
        let service = &self.jobs[group.job].stored.service;
        let capacity = self.service_capacity(service);
        let workers = self.workers.values();
        let used = workers
            .filter(|w| w.listed && w.entry.service == *service)
            .fold(Resources::default(), |sum, w| sum + w.used);
        match capacity.accelerators {
            0 => 2 * used.cpu_millis >= capacity.cpu_millis,
            accelerators => 2 * used.accelerators >= accelerators,
        }
    }

    /// Returns the most work, in core-milliseconds, that may be discarded so that a group starts now. It is higher
    /// while the group can still be on time, counting the time of the stops, and unbounded when the guarantee of its
    /// organisation would be broken otherwise.
    fn max_acceptable_loss(&self, group: GroupKey, waited_ms: u64) -> i64 {
        let job = &self.jobs[group.job];
        let stop_ms = self.limits.stop_grace_ms + ORDER_DELIVERY_MARGIN_MS;
        let reclaim_ms = self
            .limits
            .reclaim_ms
            .saturating_sub(stop_ms + RECLAIM_MARGIN_MS);
        if waited_ms >= reclaim_ms && self.is_guaranteed(group.job) {
            return i64::MAX;
        }
        let slack_ms = job
            .slack_ms(self.expected_run_ms(group))
            .saturating_sub(stop_ms)
            .max(1);
        match waited_ms > slack_ms {
            true => MAX_LOSS_LATE_CORE_MS,
            false => MAX_LOSS_ON_TIME_CORE_MS,
        }
    }

    /// Returns whether an urgent job is covered by the guarantee of its organisation: all its unfinished urgent jobs
    /// together need no more accelerators than are guaranteed.
    fn is_guaranteed(&self, key: JobKey) -> bool {
        let organisation = self.jobs[key].stored.organisation.as_str();
        let needed = self.sum_urgent_needs().remove(organisation).unwrap_or(0);
        needed <= self.guaranteed.get(organisation).copied().unwrap_or(0)
    }

    /// Returns the accelerators that all unfinished urgent jobs of each organisation need together.
    pub(crate) fn sum_urgent_needs(&self) -> HashMap<&str, i64> {
        let mut needs = HashMap::new();
        let unfinished = self.jobs.values().filter(|job| !job.state.is_final());
        for job in unfinished.filter(|job| job.stored.priority == 0) {
            *needs.entry(job.stored.organisation.as_str()).or_insert(0) += job.accelerators();
        }
        needs
    }

    /// Preempts a task; if it belongs to a gang, the whole gang.
    fn preempt_task(&mut self, key: TaskKey, by: crate::JobId, now_ms: u64) {
        let id = self.jobs[key.group.job].stored.id;
        self.counts.preempted += self.stop_with_gang(key, now_ms);
        self.record_decision(
            Some(id),
            "preempted",
            format!("task {} is stopped for job {by}", key.index),
        );
    }

    /// Plans the preemption that discards the least work; none if no set of victims frees enough capacity.
    fn plan_preemption(
        &self,
        group: GroupKey,
        count: usize,
        now_ms: u64,
    ) -> Option<PreemptionPlan> {
        let step = self.jobs[group.job].step_of(group.group as usize);
        let need = self.need(group);
        let mut candidates = self.candidates(group, Reach::Usual, now_ms);
        if let Some(rack) = &step.data_rack {
            let rack = self.racks.find(rack);
            candidates.retain(|candidate| Some(candidate.rack) == rack);
        }
        let victims = self.list_victims(group, &candidates, now_ms);
        let one_rack = step.one_rack && count <= self.max_tasks_on_one_rack(group);
        let by_rack = split_by_rack(&candidates)
            .filter_map(|rack| plan_on_candidates(rack.to_vec(), &victims, &need, count))
            .min_by_key(|plan| plan.weighed_loss);
        if one_rack {
            return by_rack;
        }
        by_rack.or_else(|| plan_on_candidates(candidates, &victims, &need, count))
    }

    /// Returns the tasks that can be preempted on each worker, those with the least loss first.
    fn list_victims(
        &self,
        group: GroupKey,
        candidates: &[Candidate],
        now_ms: u64,
    ) -> HashMap<WorkerKey, Vec<Victim>> {
        let own = self.jobs[group.job].stored.priority;
        let mut all = HashMap::new();
        for candidate in candidates {
            let mut here: Vec<Victim> = self.workers[candidate.worker]
                .tasks
                .keys()
                .filter(|task| self.is_preemptible(**task, own))
                .map(|task| {
                    let loss = self.loss(*task, now_ms);
                    let account = self.jobs[task.group.job].account;
                    Victim {
                        task: *task,
                        resources: self.need(task.group),
                        loss,
                        weighed_loss: self.policy.shares.weigh_loss(account, loss),
                    }
                })
                .collect();
            here.sort_by_key(|victim| (victim.weighed_loss, victim.task));
            all.insert(candidate.worker, here);
        }
        all
    }

    fn is_preemptible(&self, key: TaskKey, by_priority: u32) -> bool {
        let job = &self.jobs[key.group.job];
        let running = matches!(self.task(key).map(|t| t.phase), Some(Phase::Running { .. }));
        running
            && job.stored.priority > by_priority
            && job.step_of(key.group.group as usize).most_away.is_none()
            && job.groups[key.group.group as usize]
                .teardown_since_ms
                .is_none()
    }

    /// Returns the core-milliseconds discarded by stopping a task, including the rest of its gang.
    fn loss(&self, key: TaskKey, now_ms: u64) -> i64 {
        if self.has_few_starts_left(key) {
            return LOSS_OF_FEW_STARTS_CORE_MS;
        }
        let members = match self.is_gang(key.group) {
            true => self.jobs[key.group.job].groups[key.group.group as usize]
                .tasks
                .len() as i64,
            false => 1,
        };
        // The 1 gives each victim a cost: of two plans that discard nothing, the one with fewer victims wins.
        self.unsaved_work(key, now_ms)
            .saturating_mul(members)
            .saturating_add(1)
    }
}

/// Plans a preemption for `count` tasks on the given candidates, choosing for each the candidate with the least loss.
fn plan_on_candidates(
    mut candidates: Vec<Candidate>,
    victims: &HashMap<WorkerKey, Vec<Victim>>,
    need: &Resources,
    count: usize,
) -> Option<PreemptionPlan> {
    let mut plan = PreemptionPlan::default();
    for _ in 0..count {
        let (index, more) = (0..candidates.len())
            .filter(|index| candidates[*index].slots_left > 0)
            .filter_map(|index| {
                choose_victims(&candidates[index], victims, need, &plan.victims)
                    .map(|more| (index, more))
            })
            .min_by_key(|(index, more)| {
                let candidate = &candidates[*index];
                (
                    sum_weighed_loss(more),
                    candidate.speed_rank,
                    candidate.free.accelerators,
                )
            })?;
        for victim in &more {
            candidates[index].free += victim.resources;
            plan.loss = plan.loss.saturating_add(victim.loss);
            plan.weighed_loss = plan.weighed_loss.saturating_add(victim.weighed_loss);
            plan.victims.push(victim.task);
        }
        candidates[index].place(need);
        plan.places.push(candidates[index].worker);
    }
    Some(plan)
}

fn sum_weighed_loss(victims: &[Victim]) -> i64 {
    victims.iter().fold(0, |sum: i64, victim| {
        sum.saturating_add(victim.weighed_loss)
    })
}

/// Returns the tasks to stop so that one more task fits on a candidate; none if it cannot fit.
fn choose_victims(
    candidate: &Candidate,
    victims: &HashMap<WorkerKey, Vec<Victim>>,
    need: &Resources,
    taken: &[TaskKey],
) -> Option<Vec<Victim>> {
    let mut free = candidate.free;
    let mut chosen = Vec::new();
    let here = victims.get(&candidate.worker).into_iter().flatten();
    for victim in here.filter(|victim| !taken.contains(&victim.task)) {
        if need.fits(&free) {
            break;
        }
        free += victim.resources;
        chosen.push(*victim);
    }
    need.fits(&free).then_some(chosen)
}
