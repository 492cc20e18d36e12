//! Preempts the work that loses least so that urgent work (priority 0) can start.

use std::collections::{BTreeMap, HashSet};

use crate::coverage::{Coverage, Reclaims};
use crate::fit::{Candidate, split_by_rack};
use crate::group::{GroupKey, Phase, TaskKey};
use crate::overdue::Reach;
use crate::planner::Planner;
use crate::preemption_plan::{PreemptionPlan, Victim, Victims, plan_on_candidates};
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

/// What is added to the loss of a task whose step has a limit on unavailable tasks, so that other work is stopped first.
const WEIGHT_OF_LIMITED_CORE_MS: i64 = LOSS_OF_FEW_STARTS_CORE_MS;

/// The same for urgent work, which is stopped last.
const WEIGHT_OF_URGENT_CORE_MS: i64 = 2 * WEIGHT_OF_LIMITED_CORE_MS;

/// Part of the reclaim time of a guaranteed job that is reserved for repeating a start.
const RECLAIM_MARGIN_MS: u64 = 800;

/// Urgent work is worth less once it is late, and nothing once it took this many times as long as it may and be on time.
const WORTHWHILE_FACTOR: u64 = 3;

/// The work that may be stopped for an urgent group.
#[derive(Debug, Clone, Copy)]
enum Stoppable<'c> {
    /// Work of lower priority whose step has no limit on unavailable tasks.
    LessUrgent,
    /// All work that no guarantee covers, as far as the limits on unavailable tasks allow it.
    NotCovered(&'c Coverage),
}

/// The racks on which a group may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RackChoice {
    /// That of its data, and only one if it has to be one.
    Preferred,
    /// All.
    Any,
}

impl Planner {
    /// Preempts other work for an urgent group that found no free capacity. If that would discard more work than is
    /// acceptable now, stops nothing and returns the workers of those tasks whose capacity is to be withheld from other
    /// work.
    pub(crate) fn preempt_for_group(
        &mut self,
        group: GroupKey,
        reclaims: &mut Reclaims,
        now_ms: u64,
    ) -> Vec<WorkerKey> {
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
        let waited_ms = now_ms.saturating_sub(group_state.ready_ms.unwrap_or(now_ms));
        let must_reclaim = self.must_reclaim(group, reclaims, waited_ms);
        let (count, racks) = (waiting.len(), RackChoice::Preferred);
        let usual = self.plan_preemption(group, count, racks, Stoppable::LessUrgent, now_ms);
        let plan = match must_reclaim {
            true => usual.or_else(|| self.plan_reclaim(group, count, reclaims, now_ms)),
            false => usual,
        };
        let Some(plan) = plan else {
            if must_reclaim {
                self.record_shortfall(group, reclaims, waited_ms, now_ms);
            }
            return Vec::new();
        };
        if !must_reclaim && plan.loss > self.max_acceptable_loss(group, waited_ms) {
            return self.choose_withheld(group, plan, waited_ms, now_ms);
        }
        let id = self.jobs[group.job].stored.id;
        let why = format!(
            "waited {waited_ms} ms; stops {} tasks or gangs to start {} of priority 0, discards {} core-ms",
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
    /// while the group can still be on time, counting the time of the stops. It does not bind if the guarantee of its
    /// organisation would be broken otherwise.
    fn max_acceptable_loss(&self, group: GroupKey, waited_ms: u64) -> i64 {
        let job = &self.jobs[group.job];
        let stop_ms = self.limits.stop_grace_ms + ORDER_DELIVERY_MARGIN_MS;
        let slack_ms = job
            .slack_ms(self.expected_run_ms(group))
            .saturating_sub(stop_ms)
            .max(1);
        match waited_ms > slack_ms {
            true => MAX_LOSS_LATE_CORE_MS,
            false => MAX_LOSS_ON_TIME_CORE_MS,
        }
    }

    /// Returns whether a group has waited so long that its organisation's guarantee would be broken without stops.
    fn must_reclaim(&self, group: GroupKey, reclaims: &mut Reclaims, waited_ms: u64) -> bool {
        let stop_ms = self.limits.stop_grace_ms + ORDER_DELIVERY_MARGIN_MS;
        let longest_wait_ms = self
            .limits
            .reclaim_ms
            .saturating_sub(stop_ms + RECLAIM_MARGIN_MS);
        waited_ms >= longest_wait_ms && reclaims.is_guaranteed(self, group.job)
    }

    /// Plans the stops of work that no guarantee covers. The racks that the group prefers come before the choice of
    /// victims: away from its data, it holds its room for longer.
    fn plan_reclaim(
        &self,
        group: GroupKey,
        count: usize,
        reclaims: &mut Reclaims,
        now_ms: u64,
    ) -> Option<PreemptionPlan> {
        let job = &self.jobs[group.job];
        let need = self.need(group);
        if reclaims.is_in_vain(&job.stored.service, &need, count) {
            return None;
        }
        let not_covered = Stoppable::NotCovered(reclaims.coverage(self));
        let plan = |racks, stoppable| self.plan_preemption(group, count, racks, stoppable, now_ms);
        let step = job.step_of(group.group as usize);
        let prefers_racks = step.data_rack.is_some() || step.one_rack;
        let near = plan(RackChoice::Preferred, not_covered);
        let found = match prefers_racks {
            true => near
                .or_else(|| plan(RackChoice::Any, Stoppable::LessUrgent))
                .or_else(|| plan(RackChoice::Any, not_covered)),
            false => near,
        };
        if found.is_none() && self.is_unrestricted(group, Reach::Usual, now_ms) {
            reclaims.record_in_vain(&job.stored.service, need, count);
        }
        found
    }

    /// Logs, once, that no stops make room for a group although its organisation's guarantee covers it.
    fn record_shortfall(
        &mut self,
        group: GroupKey,
        reclaims: &mut Reclaims,
        waited_ms: u64,
        now_ms: u64,
    ) {
        let state = &mut self.jobs[group.job].groups[group.group as usize];
        if std::mem::replace(&mut state.is_shortfall_logged, true) {
            return;
        }
        let coverage = reclaims.coverage(self);
        let (mut covered, mut limited, mut changing) = (0, 0, 0);
        let candidates = self.candidates(group, Reach::Usual, now_ms);
        for candidate in &candidates {
            for task in self.workers[candidate.worker].tasks.keys() {
                if coverage.covers(*task) {
                    covered += 1;
                } else if !self.is_stoppable(*task) {
                    changing += 1;
                } else if !self.may_end(*task, now_ms) {
                    limited += 1;
                }
            }
        }
        let why = format!(
            "waited {waited_ms} ms; on {} workers {covered} tasks are covered by guarantees, {limited} may not be away, {changing} start or stop",
            candidates.len()
        );
        let id = self.jobs[group.job].stored.id;
        self.record_decision(Some(id), "guarantee not met", why);
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
        racks: RackChoice,
        stoppable: Stoppable<'_>,
        now_ms: u64,
    ) -> Option<PreemptionPlan> {
        let step = self.jobs[group.job].step_of(group.group as usize);
        let need = self.need(group);
        let mut candidates = self.candidates(group, Reach::Usual, now_ms);
        if racks == RackChoice::Preferred
            && let Some(rack) = &step.data_rack
        {
            let rack = self.racks.find(rack);
            candidates.retain(|candidate| Some(candidate.rack) == rack);
        }
        let victims = self.list_victims(group, &candidates, stoppable, now_ms);
        let one_rack = racks == RackChoice::Preferred
            && step.one_rack
            && count <= self.max_tasks_on_one_rack(group);
        let by_rack = split_by_rack(&candidates)
            .filter_map(|rack| plan_on_candidates(rack.to_vec(), &victims, &need, count))
            .min_by_key(|plan| plan.weighed_loss);
        if one_rack {
            return by_rack;
        }
        by_rack.or_else(|| plan_on_candidates(candidates, &victims, &need, count))
    }

    /// Returns the tasks that can be stopped for a group.
    fn list_victims(
        &self,
        group: GroupKey,
        candidates: &[Candidate],
        stoppable: Stoppable<'_>,
        now_ms: u64,
    ) -> Victims {
        let own = self.jobs[group.job].stored.priority;
        let mut victims = Victims::default();
        for candidate in candidates {
            let tasks = self.workers[candidate.worker].tasks.keys().copied();
            let tasks = tasks.filter(|task| self.is_preemptible(*task, own, stoppable));
            // Members of a gang are stopped together, so they are one victim on each worker.
            let mut units: BTreeMap<(GroupKey, u32), (TaskKey, Resources)> = BTreeMap::new();
            for task in tasks {
                let unit = match self.is_gang(task.group) {
                    true => (task.group, 0),
                    false => (task.group, task.index),
                };
                let (first, resources) = units.entry(unit).or_insert((task, Resources::default()));
                *first = task.min(*first);
                *resources += self.need(task.group);
            }
            let mut here: Vec<Victim> = units
                .into_values()
                .map(|(task, resources)| self.describe_victim(task, resources, now_ms))
                .collect();
            here.sort_by_key(|victim| (victim.weighed_loss, victim.task));
            for victim in &here {
                let limited = victim.task.group;
                if let Some(endable) = self.count_endable_tasks(limited, now_ms) {
                    victims.endable.insert(limited, endable);
                }
            }
            victims.by_worker.insert(candidate.worker, here);
        }
        victims
    }

    /// Returns what the stop of a task, or of its gang, frees on its worker and discards.
    fn describe_victim(&self, task: TaskKey, resources: Resources, now_ms: u64) -> Victim {
        let job = &self.jobs[task.group.job];
        let is_limited = self.is_limited(task.group);
        let weight = match (job.stored.priority, is_limited) {
            (0, _) => WEIGHT_OF_URGENT_CORE_MS,
            (_, true) => WEIGHT_OF_LIMITED_CORE_MS,
            (_, false) => 0,
        };
        let loss = self.loss(task, now_ms);
        let weighed_loss = self.policy.shares.weigh_loss(job.account, loss);
        Victim {
            task,
            resources,
            loss,
            weighed_loss: weighed_loss.saturating_add(weight),
            is_gang: self.is_gang(task.group),
            ended_at_work: match is_limited {
                true => self.count_ended_at_work(task, now_ms),
                false => 0,
            },
        }
    }

    /// Returns whether a task runs, and neither it nor its gang is being stopped.
    fn is_stoppable(&self, key: TaskKey) -> bool {
        let group = &self.jobs[key.group.job].groups[key.group.group as usize];
        let running = matches!(self.task(key).map(|t| t.phase), Some(Phase::Running { .. }));
        running && group.teardown_since_ms.is_none()
    }

    fn is_preemptible(&self, key: TaskKey, by_priority: u32, stoppable: Stoppable<'_>) -> bool {
        let is_less_urgent = self.jobs[key.group.job].stored.priority > by_priority;
        self.is_stoppable(key)
            && match stoppable {
                Stoppable::LessUrgent => is_less_urgent && !self.is_limited(key.group),
                Stoppable::NotCovered(coverage) => is_less_urgent || !coverage.covers(key),
            }
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
