//! Finds the workers that can run a task, and the best of them.

use crate::group::GroupKey;
use crate::overdue::Reach;
use crate::planner::Planner;
use crate::spec::Resources;
use crate::worker::{RackKey, Worker, WorkerKey};

/// A worker considered for a group; its free capacity shrinks with each task placed on it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub worker: WorkerKey,
    pub rack: RackKey,
    pub free: Resources,
    /// How many more tasks of the group it may run, regardless of its free capacity.
    pub slots_left: u32,
    /// Free accelerators on its whole rack.
    pub rack_free: i64,
    /// Whether the worker is quarantined; such workers are chosen if no other has room.
    pub quarantined: bool,
    /// Whether the worker is away from the data of a group that may start anywhere.
    pub off_rack: bool,
    /// By how many hundredths the group and what runs on the worker are known to slow each other down.
    pub disturbance_percent: u32,
    /// Whether runs failed on the worker recently, or a task there may crash it; such workers are chosen last.
    pub recently_failed: bool,
    /// Order of preference by the speed of the machine, the least first; the same for all if it decides nothing.
    pub speed_rank: u8,
    /// Whether nothing runs on the worker, and nothing of the group was placed there.
    pub empty: bool,
    /// For a group whose unavailable tasks are limited, the accelerators of such tasks on the worker.
    pub limited_accelerators: Option<i64>,
}

impl Candidate {
    /// Returns whether one more task fits.
    pub fn accepts(&self, need: &Resources) -> bool {
        self.slots_left > 0 && need.fits(&self.free)
    }

    /// Places one task.
    pub fn place(&mut self, need: &Resources) {
        self.free -= *need;
        self.slots_left -= 1;
        self.empty = false;
        if let Some(limited) = &mut self.limited_accelerators {
            *limited += need.accelerators;
        }
    }

    /// Returns the sort key; the lowest is the best: a worker that is not quarantined, without recent failures, on
    /// the rack of the data, on a machine of suitable speed, where least is disturbed, with the most tasks that may hardly
    /// be stopped beside another one, on the rack with the fewest free accelerators, with the least free capacity left. This
    /// keeps whole racks free for gangs, and whole workers reclaimable for guarantees.
    pub fn rank(&self, need: &Resources) -> (bool, bool, bool, u8, u32, i64, i64, i64, i64) {
        let left = self.free.minus(need);
        (
            self.quarantined,
            self.recently_failed,
            self.off_rack,
            self.speed_rank,
            self.disturbance_percent,
            -self.limited_accelerators.unwrap_or(0),
            self.rack_free,
            left.accelerators,
            left.cpu_millis,
        )
    }
}

/// Returns the index of the best candidate for a task.
pub(crate) fn find_best_candidate(candidates: &[Candidate], need: &Resources) -> Option<usize> {
    (0..candidates.len())
        .filter(|index| candidates[*index].accepts(need))
        .min_by_key(|index| candidates[*index].rank(need))
}

/// Returns workers for `count` tasks; none if not all of them fit.
pub(crate) fn find_places(
    candidates: &[Candidate],
    need: &Resources,
    count: usize,
) -> Option<Vec<WorkerKey>> {
    if !can_hold(candidates, need, count) {
        return None;
    }
    let mut candidates = candidates.to_vec();
    (0..count)
        .map(|_| {
            let best = find_best_candidate(&candidates, need)?;
            candidates[best].place(need);
            Some(candidates[best].worker)
        })
        .collect()
}

/// Returns whether the candidates hold `count` more tasks.
fn can_hold(candidates: &[Candidate], need: &Resources, count: usize) -> bool {
    let mut left = count;
    for candidate in candidates {
        let fitting = count_fitting_tasks(&candidate.free, need);
        left = left.saturating_sub(fitting.min(candidate.slots_left as usize));
        if left == 0 {
            return true;
        }
    }
    left == 0
}

/// Splits candidates, which are in the order of their racks, by rack.
pub(crate) fn split_by_rack(candidates: &[Candidate]) -> impl Iterator<Item = &[Candidate]> {
    candidates.chunk_by(|a, b| a.rack == b.rack)
}

/// Returns those candidates that suit best by their speed, then those that suit at least second best. None where the
/// speeds of machines decide nothing.
pub(crate) fn list_like_speeds(candidates: &[Candidate]) -> impl Iterator<Item = Vec<Candidate>> {
    let worst = candidates.iter().map(|c| c.speed_rank).max().unwrap_or(0);
    (0..worst).map(|most| {
        let suits = |candidate: &&Candidate| candidate.speed_rank <= most;
        candidates.iter().filter(suits).copied().collect()
    })
}

/// Returns workers for all tasks on one rack; of several racks, the one where least is disturbed, then the one with the
/// fewest free accelerators. None if no rack fits all of them.
pub(crate) fn find_places_on_one_rack(
    candidates: &[Candidate],
    need: &Resources,
    count: usize,
) -> Option<Vec<WorkerKey>> {
    split_by_rack(candidates)
        .filter_map(|rack| {
            let free: i64 = rack
                .iter()
                .map(|candidate| candidate.free.accelerators.max(0))
                .sum();
            find_places(rack, need, count)
                .map(|places| ((sum_disturbance(rack, &places), free), places))
        })
        .min_by_key(|(cost, _)| *cost)
        .map(|(_, places)| places)
}

/// Returns by how many hundredths tasks on these places are known to be disturbed or to disturb, all of them together.
fn sum_disturbance(rack: &[Candidate], places: &[WorkerKey]) -> u32 {
    let disturbed = rack.iter().filter(|c| c.disturbance_percent > 0);
    disturbed
        .filter(|candidate| places.contains(&candidate.worker))
        .map(|candidate| candidate.disturbance_percent)
        .sum()
}

/// Which workers are candidates of a group whose queue has an advice policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TicketUse {
    /// Those for which it has a valid ticket.
    Required,
    /// All that suit it otherwise.
    Ignored,
}

impl Planner {
    /// Returns whether a worker may get new work now.
    pub(crate) fn is_usable(&self, worker: &Worker, now_ms: u64) -> bool {
        self.is_reachable(worker, now_ms) && worker.health.is_trusted(now_ms)
    }

    /// Returns whether a worker takes new work and has answered lately.
    pub(crate) fn is_reachable(&self, worker: &Worker, now_ms: u64) -> bool {
        self.is_open(worker) && self.has_answered(worker, now_ms)
    }

    /// Returns whether a worker is listed and neither leaves nor is being emptied.
    pub(crate) fn is_open(&self, worker: &Worker) -> bool {
        worker.listed
            && !worker.entry.leaving
            && !worker.draining
            && !self.evacuated.contains(&worker.entry.data_centre)
    }

    /// Returns whether a worker can run tasks of a group at all, regardless of its free capacity.
    pub(crate) fn is_eligible(&self, group: GroupKey, worker: &Worker) -> bool {
        let job = &self.jobs[group.job];
        let step = job.step_of(group.group as usize);
        worker.entry.service == job.stored.service
            && step
                .required_label
                .as_ref()
                .is_none_or(|label| worker.entry.labels.contains(label))
            && job
                .need_of(group.group as usize)
                .fits(&worker.entry.capacity)
    }

    /// Returns how many more tasks of a group a worker may run, regardless of its free capacity.
    pub(crate) fn slots_left(&self, group: GroupKey, worker: &Worker) -> u32 {
        let most = self.jobs[group.job]
            .step_of(group.group as usize)
            .most_per_worker;
        match most {
            0 => u32::MAX,
            most => most.saturating_sub(
                worker
                    .tasks
                    .keys()
                    .filter(|task| task.group == group)
                    .count() as u32,
            ),
        }
    }

    /// Returns the workers that may run tasks of a group now, in the order of their racks.
    pub(crate) fn candidates(&self, group: GroupKey, reach: Reach, now_ms: u64) -> Vec<Candidate> {
        self.candidates_by(group, reach, TicketUse::Required, now_ms)
    }

    /// Returns the workers that may run tasks of a group now, or that may once there is a ticket, in the order of their
    /// racks.
    pub(crate) fn candidates_by(
        &self,
        group: GroupKey,
        reach: Reach,
        ticket_use: TicketUse,
        now_ms: u64,
    ) -> Vec<Candidate> {
        let mut free_by_rack: Vec<i64> = self.racks.table();
        let mut candidates = Vec::with_capacity(self.workers.len());
        let joins_suspects = self.may_join_suspects(group, now_ms);
        let proven = self.needs_proven_workers(group, reach, now_ms);
        let shunned = self.jobs[group.job].groups[group.group as usize]
            .shunned
            .filter(|(_, until_ms)| reach == Reach::Usual && now_ms < *until_ms)
            .map(|(worker, _)| worker);
        let use_of_speed = self.use_of_speed(group);
        let data_rack = &self.jobs[group.job].step_of(group.group as usize).data_rack;
        let data_rack = data_rack.as_ref().map(|rack| self.racks.find(rack));
        let disturbed = self.kind_if_disturbed(group);
        let is_limited = self.is_limited(group);
        for (key, worker) in &self.workers {
            let is_held = self.is_held_by_suspect(worker);
            let is_trusted = worker.health.is_trusted(now_ms);
            if !self.is_reachable(worker, now_ms)
                || !is_trusted && reach == Reach::Usual
                || is_held && !joins_suspects
                || shunned == Some(key)
                || proven.is_some_and(|burst| !worker.health.is_proven(burst))
            {
                continue;
            }
            let free = worker.free();
            free_by_rack[worker.rack.index()] += free.accelerators.max(0);
            let may_run = match ticket_use {
                TicketUse::Required => self.has_ticket(group, key, now_ms),
                TicketUse::Ignored => true,
            };
            if !self.is_eligible(group, worker) || !may_run {
                continue;
            }
            let is_on_probation = worker.health.is_on_probation() && reach == Reach::Usual;
            if is_on_probation && !worker.is_empty() {
                continue;
            }
            let most = if is_on_probation { 1 } else { u32::MAX };
            candidates.push(Candidate {
                worker: key,
                rack: worker.rack,
                free,
                slots_left: self.slots_left(group, worker).min(most),
                rack_free: 0,
                quarantined: !is_trusted,
                off_rack: reach == Reach::Anywhere
                    && data_rack.is_some_and(|rack| rack != Some(worker.rack)),
                disturbance_percent: disturbed
                    .map_or(0, |kind| self.disturbance_percent(kind, worker)),
                recently_failed: worker.health.has_recent_failure() || is_held,
                speed_rank: self.speed_rank(use_of_speed, key),
                empty: worker.is_empty(),
                limited_accelerators: is_limited.then(|| self.sum_limited_accelerators(worker)),
            });
        }
        for candidate in &mut candidates {
            candidate.rack_free = free_by_rack[candidate.rack.index()];
        }
        candidates.sort_by_key(|candidate| candidate.rack);
        candidates
    }

    /// Returns the most tasks of a group that an empty rack can hold.
    pub(crate) fn max_tasks_on_one_rack(&self, group: GroupKey) -> usize {
        let need = self.need(group);
        let mut tasks_by_rack: Vec<usize> = self.racks.table();
        for worker in self
            .workers
            .values()
            .filter(|w| w.listed && self.is_eligible(group, w))
        {
            tasks_by_rack[worker.rack.index()] +=
                count_fitting_tasks(&worker.entry.capacity, &need);
        }
        tasks_by_rack.into_iter().max().unwrap_or(0)
    }
}

/// Returns how many tasks fit into the available resources.
pub(crate) fn count_fitting_tasks(available: &Resources, need: &Resources) -> usize {
    let by = |available: i64, need: i64| {
        if need <= 0 {
            i64::MAX
        } else {
            available.max(0) / need
        }
    };
    by(available.cpu_millis, need.cpu_millis)
        .min(by(available.memory_mb, need.memory_mb))
        .min(by(available.accelerators, need.accelerators))
        .clamp(0, 1 << 20) as usize
}
