//! One planning pass: where each task runs.

use std::collections::HashSet;

use slotmap::SecondaryMap;

use crate::coverage::Reclaims;
use crate::fit::{
    Candidate, TicketUse, find_best_candidate, find_places, find_places_on_one_rack,
    list_like_speeds,
};
use crate::group::{GroupKey, Phase, TaskKey};
use crate::job::JobState;
use crate::leaving::Kept;
use crate::neighbours::without_interference;
use crate::overdue::{IdleWork, Reach};
use crate::planner::Planner;
use crate::spec::Resources;
use crate::unplaceable::{Access, Extent, Shape, Unplaceable};
use crate::worker::WorkerKey;

/// Capacity that a pass withholds from work that is not urgent, and what found no room in it.
#[derive(Debug, Default)]
pub(crate) struct Withheld {
    /// Workers withheld for urgent groups that wait.
    workers: HashSet<WorkerKey>,
    /// Headroom on each worker; none until all waiting urgent groups were placed.
    headroom: Option<SecondaryMap<WorkerKey, Resources>>,
    unplaceable: Unplaceable,
    idle_work: IdleWork,
}

impl Planner {
    /// Decides which tasks start and stop now. `unix_ms` is the time of day, for jobs with a schedule.
    pub fn plan(&mut self, now_ms: u64, unix_ms: u64) {
        self.changed = false;
        self.unix_ahead_ms = unix_ms.saturating_sub(now_ms);
        self.refresh_speeds(now_ms);
        self.expire_leases(now_ms);
        self.stop_remaining_members(now_ms);
        self.settle_reservations(now_ms);
        let mut withheld = Withheld::default();
        let mut reclaims = Reclaims::default();
        let turns = self.list_turns(now_ms, unix_ms);
        let ready: Vec<GroupKey> = turns.iter().map(|turn| turn.claim.group).collect();
        let mut waits_for_advice = Vec::new();
        for &group in &ready {
            if self.jobs[group.job].stored.priority != 0 {
                withheld
                    .headroom
                    .get_or_insert_with(|| self.compute_headroom(now_ms));
            }
            self.place_group(group, &mut withheld, now_ms);
            withheld
                .workers
                .extend(self.preempt_for_group(group, &mut reclaims, now_ms));
            waits_for_advice.extend(self.wait_for_advice(group, now_ms));
        }
        self.request_advice(waits_for_advice, &withheld, now_ms);
        self.report_passed_over(&turns);
        let kept = Kept {
            workers: &withheld.workers,
            headroom: &mut withheld.headroom,
            ready: &ready,
        };
        self.decide_departures(kept, now_ms);
        self.refill_headroom(now_ms);
        self.report_idle_jobs(now_ms);
        self.report_interference(now_ms);
    }

    /// Returns the candidates of a group, without the capacity that is withheld from it.
    pub(crate) fn list_available_candidates(
        &self,
        group: GroupKey,
        reach: Reach,
        ticket_use: TicketUse,
        withheld: &Withheld,
        now_ms: u64,
    ) -> Vec<Candidate> {
        let mut candidates = self.candidates_by(group, reach, ticket_use, now_ms);
        if reach == Reach::Anywhere || self.jobs[group.job].stored.priority == 0 {
            return candidates;
        }
        candidates.retain(|candidate| !withheld.workers.contains(&candidate.worker));
        if let Some(headroom) = withheld
            .headroom
            .as_ref()
            .filter(|_| !self.may_use_headroom(group, now_ms))
        {
            for candidate in &mut candidates {
                candidate.free -= headroom.get(candidate.worker).copied().unwrap_or_default();
            }
        }
        candidates
    }

    /// Starts what fits of a group, and what is overdue wherever there is room.
    fn place_group(&mut self, group: GroupKey, withheld: &mut Withheld, now_ms: u64) {
        self.place_within(group, Reach::Usual, usize::MAX, withheld, now_ms);
        let overdue = self.count_overdue(group, &mut withheld.idle_work, now_ms);
        if overdue > 0 {
            self.place_within(group, Reach::Anywhere, overdue, withheld, now_ms);
        }
    }

    /// Starts what fits of a group within its reach, single tasks up to a number.
    fn place_within(
        &mut self,
        group: GroupKey,
        reach: Reach,
        most: usize,
        withheld: &mut Withheld,
        now_ms: u64,
    ) {
        let started = self.pending_starts.len();
        match self.is_gang(group) {
            true => self.place_gang(group, reach, withheld, now_ms),
            false => self.place_tasks(group, reach, most, withheld, now_ms),
        }
        if self.pending_starts.len() > started {
            withheld.idle_work.record_placed(group.job);
        }
    }

    /// Returns whether a group has waited so long for its rack that running slower elsewhere is no worse.
    fn may_leave_rack(&self, group: GroupKey, reach: Reach, now_ms: u64) -> bool {
        if reach == Reach::Anywhere {
            return true;
        }
        let job = &self.jobs[group.job];
        let waited_ms =
            now_ms.saturating_sub(job.groups[group.group as usize].ready_ms.unwrap_or(now_ms));
        let run_ms = self.expected_run_ms(group);
        waited_ms > run_ms.saturating_mul(self.limits.remote_slowdown.saturating_sub(1))
    }

    /// Places all tasks of a gang, or none.
    fn place_gang(&mut self, group: GroupKey, reach: Reach, withheld: &mut Withheld, now_ms: u64) {
        let job = &self.jobs[group.job];
        let group_state = &job.groups[group.group as usize];
        let count = group_state.tasks.len();
        if group_state
            .tasks
            .iter()
            .any(|t| t.phase != Phase::Waiting || t.not_before_ms > now_ms)
        {
            return;
        }
        let step = job.step_of(group.group as usize);
        let need = self.need(group);
        let may_leave_rack = self.may_leave_rack(group, reach, now_ms);
        let shape = self.shape(group, reach, count, Extent::Site, now_ms);
        if withheld.unplaceable.covers(&shape) {
            return;
        }
        let on_one_rack = Shape {
            extent: Extent::Rack,
            ..shape.clone()
        };
        if step.one_rack
            && !may_leave_rack
            && withheld.unplaceable.covers(&on_one_rack)
            && count <= self.max_tasks_on_one_rack(group)
        {
            return;
        }
        let mut candidates =
            self.list_available_candidates(group, reach, TicketUse::Required, withheld, now_ms);
        if let Some(rack) = &step.data_rack
            && !may_leave_rack
        {
            let rack = self.racks.find(rack);
            candidates.retain(|candidate| Some(candidate.rack) == rack);
        }
        let needs_empty_workers = self.waits_for_empty_workers(group, now_ms);
        if needs_empty_workers {
            candidates.retain(|candidate| candidate.empty);
        }
        let may_spread =
            !step.one_rack || may_leave_rack || count > self.max_tasks_on_one_rack(group);
        match find_gang_places(&candidates, &need, count, may_spread) {
            Some(places) => {
                let unaware = without_interference(&candidates);
                let unaware = unaware.map(|c| find_gang_places(&c, &need, count, may_spread));
                self.counts.kept_apart +=
                    u64::from(unaware.is_some_and(|other| other.as_ref() != Some(&places)));
                let places: Vec<(u32, WorkerKey)> = (0..).zip(places).collect();
                self.assign_group(group, &places, now_ms);
            }
            None if self.is_unrestricted(group, reach, now_ms) && !needs_empty_workers => {
                withheld.unplaceable.record(match may_spread {
                    true => shape,
                    false => on_one_rack,
                })
            }
            None => {}
        }
    }

    /// Returns the shape of a group of which `count` tasks have to fit at the same time.
    fn shape(
        &self,
        group: GroupKey,
        reach: Reach,
        count: usize,
        extent: Extent,
        now_ms: u64,
    ) -> Shape {
        let job = &self.jobs[group.job];
        let access = if reach == Reach::Anywhere {
            Access::Quarantined
        } else if job.stored.priority == 0 {
            Access::All
        } else if self.may_use_headroom(group, now_ms) {
            Access::Headroom
        } else {
            Access::OutsideHeadroom
        };
        Shape {
            service: job.stored.service.clone(),
            need: self.need(group),
            count,
            extent,
            access,
            joins_suspects: self.may_join_suspects(group, now_ms),
        }
    }

    /// Returns whether a group may run on all workers of its service that have room, within its reach.
    pub(crate) fn is_unrestricted(&self, group: GroupKey, reach: Reach, now_ms: u64) -> bool {
        let job = &self.jobs[group.job];
        let step = job.step_of(group.group as usize);
        job.stored.advice.is_none()
            && step.required_label.is_none()
            && (step.data_rack.is_none() || reach == Reach::Anywhere)
            && step.most_per_worker == 0
            && self.needs_proven_workers(group, reach, now_ms).is_none()
            && job.groups[group.group as usize].shunned.is_none()
    }

    /// Places each task of a group that fits somewhere, up to a number of them.
    fn place_tasks(
        &mut self,
        group: GroupKey,
        reach: Reach,
        most: usize,
        withheld: &mut Withheld,
        now_ms: u64,
    ) {
        let job = &self.jobs[group.job];
        let step = job.step_of(group.group as usize);
        let need = self.need(group);
        let shape = self.shape(group, reach, 1, Extent::Site, now_ms);
        if withheld.unplaceable.covers(&shape) {
            return;
        }
        let mut candidates =
            self.list_available_candidates(group, reach, TicketUse::Required, withheld, now_ms);
        if let Some(rack) = step
            .data_rack
            .as_ref()
            .filter(|_| !self.may_leave_rack(group, reach, now_ms))
        {
            let rack = self
                .racks
                .find(rack)
                .filter(|rack| self.workers.values().any(|w| w.listed && w.rack == *rack));
            if let Some(rack) = rack {
                candidates.retain(|candidate| candidate.rack == rack);
            }
        }
        if !candidates.iter().any(|candidate| candidate.accepts(&need)) {
            if self.is_unrestricted(group, reach, now_ms) {
                withheld.unplaceable.record(shape);
            }
            return;
        }
        let kept_apart = without_interference(&candidates).is_some_and(|unaware| {
            find_best_candidate(&unaware, &need) != find_best_candidate(&candidates, &need)
        });
        let mut places = self.place_suspects(group, &mut candidates, now_ms);
        let has_suspects = !places.is_empty();
        places.truncate(most);
        for (index, task) in job.groups[group.group as usize].tasks.iter().enumerate() {
            if places.len() >= most {
                break;
            }
            if task.phase != Phase::Waiting || task.not_before_ms > now_ms {
                continue;
            }
            for candidate in candidates
                .iter_mut()
                .filter(|candidate| task.avoid == Some(candidate.worker))
            {
                candidate.recently_failed = true;
            }
            let key = TaskKey {
                group,
                index: index as u32,
            };
            if self.is_suspect(job, key) {
                continue;
            }
            let Some(best) = find_best_candidate(&candidates, &need) else {
                // A worker that a suspect of this group gets may have room for other groups.
                if self.is_unrestricted(group, reach, now_ms) && !has_suspects {
                    withheld.unplaceable.record(shape);
                }
                break;
            };
            candidates[best].place(&need);
            places.push((index as u32, candidates[best].worker));
        }
        self.counts.kept_apart += u64::from(kept_apart && !places.is_empty());
        self.assign_group(group, &places, now_ms);
    }

    /// Places each task of a group that may crash its worker on one that gets nothing else in this pass.
    fn place_suspects(
        &self,
        group: GroupKey,
        candidates: &mut [Candidate],
        now_ms: u64,
    ) -> Vec<(u32, WorkerKey)> {
        let job = &self.jobs[group.job];
        let need = self.need(group);
        let mut places = Vec::new();
        let mut none_empty = false;
        for (index, task) in (0..).zip(&job.groups[group.group as usize].tasks) {
            let key = TaskKey { group, index };
            if task.phase != Phase::Waiting
                || task.not_before_ms > now_ms
                || !self.is_suspect(job, key)
            {
                continue;
            }
            let needs_empty = self.needs_empty_worker(key, now_ms);
            if needs_empty && none_empty {
                continue;
            }
            let best = candidates
                .iter_mut()
                .filter(|candidate| candidate.accepts(&need) && (candidate.empty || !needs_empty))
                .min_by_key(|candidate| {
                    (
                        candidate.quarantined,
                        !candidate.empty,
                        candidate.rank(&need),
                    )
                });
            match best {
                Some(candidate) => {
                    candidate.place(&need);
                    candidate.slots_left = 0;
                    places.push((index, candidate.worker));
                }
                None if needs_empty => none_empty = true,
                None => break,
            }
        }
        places
    }

    /// Assigns tasks of a group to workers; their starts are sent once the assignment is in the store.
    pub(crate) fn assign_group(
        &mut self,
        group: GroupKey,
        places: &[(u32, WorkerKey)],
        now_ms: u64,
    ) {
        if places.is_empty() {
            return;
        }
        let gang = self.is_gang(group);
        let job = &mut self.jobs[group.job];
        let highest_run = job.groups[group.group as usize].highest_run();
        let shared_run = highest_run.saturating_add(1);
        job.groups[group.group as usize].placed_unix_ms = now_ms + self.unix_ahead_ms;
        job.groups[group.group as usize].tickets.record_placed();
        if job.state == JobState::Pending {
            job.state = JobState::Running;
        }
        let id = job.stored.id;
        let waited_ms = now_ms.saturating_sub(job.known_ms);
        let step = job.groups[group.group as usize].step;
        let first = self
            .workers
            .get(places[0].1)
            .map_or_else(String::new, |w| w.entry.id.clone());
        let why = format!(
            "step {step}, {} tasks, first on {first}, job known for {waited_ms} ms",
            places.len()
        );
        let speeds = self.describe_speeds(gang, places);
        self.record_decision(Some(id), "placed", why + &speeds);
        for (index, worker) in places {
            let key = TaskKey {
                group,
                index: *index,
            };
            let run = match (gang, self.task(key)) {
                (true, _) => shared_run,
                (false, Some(task)) => task.run.saturating_add(1),
                (false, None) => continue,
            };
            self.assign(key, *worker, run, Phase::Assigned(*worker), now_ms);
            self.pending_starts.push(key);
        }
    }
}

/// Returns workers for all members of a gang, or none: those away from its data only if the others don't suffice, and
/// quarantined ones only if no others do.
fn find_gang_places(
    candidates: &[Candidate],
    need: &Resources,
    count: usize,
    may_spread: bool,
) -> Option<Vec<WorkerKey>> {
    let find_any = |candidates: &[Candidate]| {
        find_places_on_one_rack(candidates, need, count).or_else(|| match may_spread {
            true => find_places(candidates, need, count),
            false => None,
        })
    };
    // A gang runs as fast as its slowest member, so its members are best of like speed.
    let find = |candidates: &[Candidate]| {
        list_like_speeds(candidates)
            .find_map(|alike| find_any(&alike))
            .or_else(|| find_any(candidates))
    };
    let trusted: Vec<Candidate> = candidates
        .iter()
        .filter(|candidate| !candidate.quarantined)
        .copied()
        .collect();
    let near: Vec<Candidate> = trusted
        .iter()
        .filter(|candidate| !candidate.off_rack)
        .copied()
        .collect();
    find(&near)
        .or_else(|| (near.len() < trusted.len()).then(|| find(&trusted))?)
        .or_else(|| (trusted.len() < candidates.len()).then(|| find(candidates))?)
}
