//! Which workers a step needs advice about, by the room that they have and what is known of them.

use slotmap::SecondaryMap;

use super::send::Planned;
use super::sizing::{holds_until_last, is_long, workers_to_ask};
use super::waits::AdviceWait;
use super::{Permission, Query};
use crate::configuration::Advice;
use crate::fit::{Candidate, TicketUse, count_fitting_tasks};
use crate::group::{GroupKey, Phase};
use crate::overdue::Reach;
use crate::planner::Planner;
use crate::schedule::Withheld;
use crate::spec::Resources;
use crate::worker::WorkerKey;

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
pub(super) struct Demand {
    pub workers: Vec<WorkerKey>,
    /// Workers that are probably not needed, but may be named along.
    pub extra: Vec<WorkerKey>,
    /// Whether all have to be asked about at the same time, since the tickets don't hold for long.
    pub together: bool,
}

impl Planner {
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
            .advice_vms
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
    pub(super) fn find_demand(
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
            true => lacking.div_ceil(self.advice_vms.count().max(1)),
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
            // Tickets that are granted at different times may never hold together, so those that are asked for now come first.
            if !chosen.iter().any(|prospect| prospect.is_asked) {
                demand.together = true;
                demand.workers = stale;
            }
            return demand;
        }
        self.ask_unknown(group, &mut demand, &unknown, lacking);
        let vms = self.advice_vms.count();
        if !demand.workers.is_empty()
            && !holds_until_last(advice, demand.workers.len(), vms)
            && !unknown.iter().any(|prospect| prospect.is_asked)
        {
            // A long query cannot be avoided: the tickets of several short ones would not hold until the last.
            demand.together = true;
            demand.workers.extend(stale);
        }
        demand
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
        let is_stale = move |p: &&&Prospect| until_ms(p.permission) <= renewed_ms;
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
