//! One planning pass: whose turn it is, and where each task goes.

use std::collections::{HashMap, HashSet};

use crate::fit::{Spot, find_best_spot, find_places, find_places_on_one_rack};
use crate::group::{GroupKey, JobKey, Phase, UnitKey};
use crate::job::JobState;
use crate::planner::Planner;
use crate::spec::Need;
use crate::worker::WorkerKey;

/// A job's caller may see a scheduled run begin this much before its time at most; the platform allows 250 ms.
const EARLY_MS: u64 = 0;

/// What work that is not of the first priority leaves alone in a pass.
#[derive(Debug, Default)]
struct Kept {
    /// Workers kept for groups of the first priority that wait.
    workers: HashSet<WorkerKey>,
    /// Room kept on workers for such groups to come; none before all that wait have had their turn.
    room: Option<HashMap<WorkerKey, Need>>,
}

impl Planner {
    /// Decides what starts and what stops now. `unix_ms` is the time of day, for scheduled jobs.
    pub fn plan(&mut self, now_ms: u64, unix_ms: u64) {
        self.changed = false;
        self.expire_leases(now_ms);
        self.stop_left_members(now_ms);
        self.settle_claims(now_ms);
        let mut kept = Kept::default();
        for group in self.list_turns(now_ms, unix_ms) {
            if self.jobs[group.job].groups[group.group as usize]
                .claim
                .is_some()
            {
                continue;
            }
            if self.jobs[group.job].stored.priority != 0 {
                kept.room.get_or_insert_with(|| self.keep_headroom(now_ms));
            }
            self.place_group(group, &kept, now_ms);
            kept.workers.extend(self.make_room(group, now_ms));
            self.ask_advice(group, now_ms);
        }
        self.refill_headroom(now_ms);
    }

    /// Groups with tasks to start, first come first.
    fn list_turns(&mut self, now_ms: u64, unix_ms: u64) -> Vec<GroupKey> {
        let mut turns: Vec<(u32, u64, GroupKey)> = Vec::new();
        let mut urgent = Vec::new();
        let jobs: Vec<JobKey> = self.jobs.keys().collect();
        for key in jobs {
            let job = &mut self.jobs[key];
            if job.state.is_final() {
                continue;
            }
            for at in 0..job.groups.len() {
                let due = unix_ms + EARLY_MS
                    >= job
                        .stored
                        .request
                        .timing
                        .due_unix_ms(job.groups[at].occurrence);
                let waits = job.groups[at]
                    .units
                    .iter()
                    .any(|u| u.phase == Phase::Waiting);
                if !waits || job.groups[at].dissolving_ms.is_some() || !due || !job.is_unblocked(at)
                {
                    continue;
                }
                let first = job.groups[at].ready_ms.is_none();
                job.groups[at].ready_ms.get_or_insert(now_ms);
                if first && job.stored.priority == 0 {
                    urgent.push(GroupKey {
                        job: key,
                        group: at as u32,
                    });
                }
                turns.push((
                    job.stored.priority,
                    job.order,
                    GroupKey {
                        job: key,
                        group: at as u32,
                    },
                ));
            }
        }
        for group in urgent {
            self.note_urgent(group, now_ms);
        }
        turns.sort_unstable();
        turns.into_iter().map(|(_, _, group)| group).collect()
    }

    /// The workers that can take tasks of a group now, without what it has to leave alone.
    fn spots_left(&self, group: GroupKey, kept: &Kept, now_ms: u64) -> Vec<Spot> {
        let mut spots = self.spots(group, now_ms);
        if self.jobs[group.job].stored.priority == 0 {
            return spots;
        }
        spots.retain(|spot| !kept.workers.contains(&spot.worker));
        if let Some(room) = kept
            .room
            .as_ref()
            .filter(|_| !self.is_pressed(group, now_ms))
        {
            for spot in &mut spots {
                spot.free -= room.get(&spot.worker).copied().unwrap_or_default();
            }
        }
        spots
    }

    /// Starts what fits of a group, without what is kept for groups of the first priority.
    fn place_group(&mut self, group: GroupKey, kept: &Kept, now_ms: u64) {
        match self.is_gang(group) {
            true => self.place_gang(group, kept, now_ms),
            false => self.place_each(group, kept, now_ms),
        }
    }

    /// Whether a group has waited so long for its rack that running slower elsewhere is no worse.
    pub(crate) fn is_tired_of_waiting(&self, group: GroupKey, now_ms: u64) -> bool {
        let job = &self.jobs[group.job];
        let waited_ms =
            now_ms.saturating_sub(job.groups[group.group as usize].ready_ms.unwrap_or(now_ms));
        waited_ms
            > job.step_of(group.group as usize).estimate_ms
                * self.limits.remote_slowdown.saturating_sub(1)
    }

    /// Places a whole gang, or nothing of it.
    fn place_gang(&mut self, group: GroupKey, kept: &Kept, now_ms: u64) {
        let job = &self.jobs[group.job];
        let at = &job.groups[group.group as usize];
        let count = at.units.len();
        if at
            .units
            .iter()
            .any(|u| u.phase != Phase::Waiting || u.not_before_ms > now_ms)
        {
            return;
        }
        let step = job.step_of(group.group as usize);
        let need = self.need(group);
        let mut spots = self.spots_left(group, kept, now_ms);
        let tired = self.is_tired_of_waiting(group, now_ms);
        if let Some(rack) = &step.data_rack
            && !tired
        {
            spots.retain(|spot| &spot.rack == rack);
        }
        let mut places = match step.one_rack {
            true => find_places_on_one_rack(&spots, &need, count),
            false => find_places_on_one_rack(&spots, &need, count)
                .or_else(|| find_places(&spots, &need, count)),
        };
        if places.is_none() && step.one_rack && (tired || count > self.most_on_one_rack(group)) {
            places = find_places(&spots, &need, count);
        }
        if let Some(places) = places {
            let places: Vec<(u32, WorkerKey)> = (0..).zip(places).collect();
            self.intend(group, &places, now_ms);
        }
    }

    /// Places each task of a group that fits somewhere.
    fn place_each(&mut self, group: GroupKey, kept: &Kept, now_ms: u64) {
        let job = &self.jobs[group.job];
        let step = job.step_of(group.group as usize);
        let need = self.need(group);
        let mut spots = self.spots_left(group, kept, now_ms);
        if let Some(rack) = step
            .data_rack
            .as_ref()
            .filter(|_| !self.is_tired_of_waiting(group, now_ms))
        {
            let known = self
                .workers
                .values()
                .any(|w| w.listed && &w.entry.rack == rack);
            if known {
                spots.retain(|spot| &spot.rack == rack);
            }
        }
        let mut places = Vec::new();
        for (index, unit) in job.groups[group.group as usize].units.iter().enumerate() {
            if unit.phase != Phase::Waiting || unit.not_before_ms > now_ms {
                continue;
            }
            for spot in spots
                .iter_mut()
                .filter(|spot| unit.avoid == Some(spot.worker))
            {
                spot.doubtful = true;
            }
            let Some(at) = find_best_spot(&mut spots, &need) else {
                break;
            };
            spots[at].put(&need);
            places.push((index as u32, spots[at].worker));
        }
        self.intend(group, &places, now_ms);
    }

    /// Chooses workers for tasks of a group; they start once the choice is in the store.
    pub(crate) fn intend(&mut self, group: GroupKey, places: &[(u32, WorkerKey)], now_ms: u64) {
        if places.is_empty() {
            return;
        }
        let gang = self.is_gang(group);
        let job = &mut self.jobs[group.job];
        let shared_run = job.groups[group.group as usize].highest_run() + 1;
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
        self.decide(
            Some(id),
            "placed",
            format!(
                "step {step}, {} tasks, first on {first}, known for {waited_ms} ms",
                places.len()
            ),
        );
        for (unit, worker) in places {
            let key = UnitKey { group, unit: *unit };
            let run = match (gang, self.unit(key)) {
                (true, _) => shared_run,
                (false, Some(unit)) => unit.run + 1,
                (false, None) => continue,
            };
            self.assign(key, *worker, run, Phase::Intended(*worker), now_ms);
            self.intended.push(key);
        }
    }
}
