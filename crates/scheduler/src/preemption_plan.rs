//! Plans a preemption: where the tasks of a group go, and what is stopped for them. Takes candidates and victims, and
//! returns the plan that discards the least.

use std::collections::{HashMap, HashSet};

use crate::fit::Candidate;
use crate::group::{GroupKey, TaskKey};
use crate::spec::Resources;
use crate::worker::WorkerKey;

/// A task that can be stopped, or the members of a gang on one worker, which are stopped with the whole gang.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Victim {
    /// The task, or one of the members.
    pub task: TaskKey,
    /// What it frees on its worker.
    pub resources: Resources,
    /// The core-milliseconds that the stop discards, on all workers.
    pub loss: i64,
    /// The loss as it counts in the choice of victims; see [`Shares::weigh_loss`](crate::policy::shares::Shares::weigh_loss).
    pub weighed_loss: i64,
    /// Whether the stop ends a whole gang.
    pub is_gang: bool,
    /// How many tasks that are at work the stop ends.
    pub ended_at_work: usize,
}

/// The victims on each worker, those with the least weighed loss first.
#[derive(Debug, Default)]
pub(crate) struct Victims {
    pub by_worker: HashMap<WorkerKey, Vec<Victim>>,
    /// How many tasks at work may be ended, of the groups that have a limit.
    pub endable: HashMap<GroupKey, usize>,
}

/// A preemption: where the tasks go, which tasks are stopped, and the core-milliseconds that this discards.
#[derive(Debug, Default)]
pub(crate) struct PreemptionPlan {
    pub places: Vec<WorkerKey>,
    pub victims: Vec<TaskKey>,
    pub loss: i64,
    /// The same as it counts in the choice of victims.
    pub weighed_loss: i64,
}

/// What the stops of an unfinished plan leave.
#[derive(Debug)]
struct Remaining<'v> {
    victims: &'v Victims,
    candidates: Vec<Candidate>,
    taken: HashSet<TaskKey>,
    endable: HashMap<GroupKey, usize>,
}

impl Remaining<'_> {
    /// Stops a victim on a candidate's worker. A gang leaves room on the workers of all its members.
    fn stop(&mut self, index: usize, victim: &Victim) {
        let group = victim.task.group;
        if let Some(left) = self.endable.get_mut(&group) {
            *left = left.saturating_sub(victim.ended_at_work);
        }
        if !victim.is_gang {
            self.taken.insert(victim.task);
            self.candidates[index].free += victim.resources;
            return;
        }
        for candidate in &mut self.candidates {
            let here = self.victims.by_worker.get(&candidate.worker);
            for member in here.into_iter().flatten() {
                if member.task.group == group && self.taken.insert(member.task) {
                    candidate.free += member.resources;
                }
            }
        }
    }

    /// Returns the victims to stop so that one more task fits on a candidate; none if it cannot fit.
    fn choose_victims(&self, candidate: &Candidate, need: &Resources) -> Option<Vec<Victim>> {
        let mut free = candidate.free;
        let mut chosen: Vec<Victim> = Vec::new();
        let here = self.victims.by_worker.get(&candidate.worker);
        for victim in here.into_iter().flatten() {
            if need.fits(&free) {
                break;
            }
            if self.taken.contains(&victim.task) || !self.may_end(victim, &chosen) {
                continue;
            }
            free += victim.resources;
            chosen.push(*victim);
        }
        need.fits(&free).then_some(chosen)
    }

    /// Returns whether a victim may be stopped beside others.
    fn may_end(&self, victim: &Victim, others: &[Victim]) -> bool {
        let group = victim.task.group;
        let Some(left) = self.endable.get(&group) else {
            return true;
        };
        let others = others.iter().filter(|other| other.task.group == group);
        let ended: usize = others.map(|other| other.ended_at_work).sum();
        victim.ended_at_work == 0 || ended + victim.ended_at_work <= *left
    }
}

/// Plans a preemption for `count` tasks on the given candidates, choosing for each the candidate with the least loss.
pub(crate) fn plan_on_candidates(
    candidates: Vec<Candidate>,
    victims: &Victims,
    need: &Resources,
    count: usize,
) -> Option<PreemptionPlan> {
    let mut plan = PreemptionPlan::default();
    let mut remaining = Remaining {
        victims,
        candidates,
        taken: HashSet::new(),
        endable: victims.endable.clone(),
    };
    for _ in 0..count {
        let (index, more) = remaining
            .candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| candidate.slots_left > 0)
            .filter_map(|(index, candidate)| {
                let more = remaining.choose_victims(candidate, need)?;
                Some((index, more))
            })
            .min_by_key(|(index, more)| {
                let candidate = &remaining.candidates[*index];
                (
                    sum_weighed_loss(more),
                    candidate.speed_rank,
                    candidate.free.accelerators,
                )
            })?;
        for victim in &more {
            remaining.stop(index, victim);
            plan.loss = plan.loss.saturating_add(victim.loss);
            plan.weighed_loss = plan.weighed_loss.saturating_add(victim.weighed_loss);
            plan.victims.push(victim.task);
        }
        remaining.candidates[index].place(need);
        plan.places.push(remaining.candidates[index].worker);
    }
    Some(plan)
}

fn sum_weighed_loss(victims: &[Victim]) -> i64 {
    victims.iter().fold(0, |sum: i64, victim| {
        sum.saturating_add(victim.weighed_loss)
    })
}
