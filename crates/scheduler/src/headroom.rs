//! Room kept free for urgent work that is yet to come.
//!
//! Urgent work that has to wait for a stop loses most of the time in which it can be on time. So other work leaves room
//! for as many urgent groups as lately came within the time of a stop, each of a size that most of them had.

use std::collections::{HashMap, VecDeque};

use crate::fit::{Spot, find_places_on_one_rack, split_by_rack};
use crate::group::{GroupKey, Phase, UnitKey};
use crate::planner::Planner;
use crate::spec::Need;
use crate::worker::WorkerKey;

/// How far back urgent groups are looked at to tell what is to come.
const LOOK_BACK_MS: u64 = 12_000;

/// The most urgent groups that are remembered.
const MOST_REMEMBERED: usize = 64;

/// How long room that was given away takes to come back: a stop and a start.
const COMES_BACK_MS: u64 = 1_600;

/// The most groups that room is kept for.
const MOST_KEPT_FOR: u64 = 6;

/// The size kept for is the one that this share of the groups does not exceed, in hundredths.
const SIZE_PERCENT: usize = 75;

/// What room is kept for before any urgent group has come: this many tasks, each with this share of a worker's
/// accelerators and of its other room, in hundredths, and this many such groups. The users' sheets have urgent groups of
/// 3.4 tasks of 4.6 of 8 accelerators on average.
const FIRST_COUNT: usize = 4;
const FIRST_ACCELERATORS_PERCENT: i64 = 50;
const FIRST_ROOM_PERCENT: i64 = 12;
const FIRST_TIMES: usize = 2;

/// Work of the second priority heeds the room kept for this share of the time that it can wait and still be on time, in
/// hundredths.
const HEED_PERCENT: u64 = 40;

/// The same for work of lower priorities, which counts least when it is late.
const LOWEST_HEED_PERCENT: u64 = 90;

/// An urgent group that came lately.
#[derive(Debug, Clone)]
pub(crate) struct UrgentArrival {
    at_ms: u64,
    count: usize,
    need: Need,
    service: String,
}

/// Work of this priority and lower may be stopped for urgent groups to come.
const LEAST_CHEAP_PRIORITY: u32 = 2;

/// Only a task that has run this long is stopped for them: it has got further since its last start.
const LEAST_RUN_MS: u64 = 1_500;

/// The most stops that are worth it for one urgent group to come: as many as tasks that one lasts as long as.
const MOST_STOPS: usize = 16;

/// Urgent groups that came lately, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct UrgentArrivals(VecDeque<UrgentArrival>);

impl UrgentArrivals {
    /// Notes a group of the first priority.
    fn note(&mut self, arrival: UrgentArrival) {
        if self.0.len() >= MOST_REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back(arrival);
    }

    /// What to keep room for, and how many times.
    fn expect(&self, now_ms: u64) -> Option<(&UrgentArrival, usize)> {
        let since_ms = now_ms.saturating_sub(LOOK_BACK_MS);
        let mut recent: Vec<&UrgentArrival> =
            self.0.iter().filter(|a| a.at_ms >= since_ms).collect();
        recent.sort_by_key(|a| a.need.accelerators * a.count as i64);
        let size = *recent.get((recent.len() * SIZE_PERCENT / 100).min(recent.len().max(1) - 1))?;
        let times = (recent.len() as u64 * COMES_BACK_MS).div_ceil(LOOK_BACK_MS);
        Some((size, times.clamp(1, MOST_KEPT_FOR) as usize))
    }
}

impl Planner {
    /// Notes the groups of a job of the first priority that can start now.
    pub(crate) fn note_urgent(&mut self, key: GroupKey, now_ms: u64) {
        let job = &self.jobs[key.job];
        let arrival = UrgentArrival {
            at_ms: now_ms,
            count: job.groups[key.group as usize].units.len(),
            need: job.need_of(key.group as usize),
            service: job.stored.service.clone(),
        };
        self.urgent.note(arrival);
    }

    /// What to keep room for, and how many times: what came lately, or a common size where urgent work may come.
    fn expect_urgent(&self, now_ms: u64) -> Option<(UrgentArrival, usize)> {
        if let Some((size, times)) = self.urgent.expect(now_ms) {
            return Some((size.clone(), times));
        }
        let service = self.urgent_service.as_ref()?;
        let worker = self
            .workers
            .values()
            .find(|w| w.listed && w.entry.service == *service)?;
        let room = worker.entry.capacity;
        let size = UrgentArrival {
            at_ms: now_ms,
            count: FIRST_COUNT,
            need: Need {
                cpu_millis: room.cpu_millis * FIRST_ROOM_PERCENT / 100,
                memory_mb: room.memory_mb * FIRST_ROOM_PERCENT / 100,
                accelerators: room.accelerators * FIRST_ACCELERATORS_PERCENT / 100,
            },
            service: service.clone(),
        };
        Some((size, FIRST_TIMES))
    }

    /// The room on each worker that other work leaves free now.
    pub(crate) fn keep_headroom(&self, now_ms: u64) -> HashMap<WorkerKey, Need> {
        let Some((size, times)) = self.expect_urgent(now_ms) else {
            return HashMap::new();
        };
        let size = &size;
        let mut spots = self.list_headroom_spots(size, now_ms);
        let mut kept = HashMap::new();
        for _ in 0..times {
            for worker in find_roomiest(&spots, size) {
                *kept.entry(worker).or_default() += size.need;
                for spot in spots.iter_mut().filter(|spot| spot.worker == worker) {
                    spot.put(&size.need);
                }
            }
        }
        kept
    }

    /// The workers on which room is kept, as they stand.
    fn list_headroom_spots(&self, size: &UrgentArrival, now_ms: u64) -> Vec<Spot> {
        self.workers
            .iter()
            .filter(|(_, w)| self.is_usable(w, now_ms) && w.entry.service == size.service)
            .map(|(key, worker)| Spot {
                worker: key,
                rack: worker.entry.rack.clone(),
                free: worker.free(),
                slots_left: u32::MAX,
                rack_free: 0,
                doubtful: worker.health.is_doubtful(),
            })
            .collect()
    }

    /// Whether tasks of a group have waited so long that it no longer leaves room for urgent work to come.
    pub(crate) fn is_pressed(&self, group: GroupKey, now_ms: u64) -> bool {
        let job = &self.jobs[group.job];
        let at = &job.groups[group.group as usize];
        let waits_since_ms = at
            .units
            .iter()
            .filter(|unit| unit.phase == Phase::Waiting)
            .map(|unit| unit.since_ms)
            .min()
            .unwrap_or(now_ms)
            .max(at.ready_ms.unwrap_or(now_ms));
        let waited_ms = now_ms.saturating_sub(waits_since_ms);
        let estimate_ms = job.step_of(group.group as usize).estimate_ms;
        let slack_ms = estimate_ms * u64::from(job.stored.stretch_percent.saturating_sub(100))
            / 100
            + job.stored.goal_ms;
        let heed_percent = match job.stored.priority {
            0 | 1 => HEED_PERCENT,
            _ => LOWEST_HEED_PERCENT,
        };
        waited_ms > slack_ms * heed_percent / 100
    }

    /// Stops work of low priority that saves its progress, so that the room kept for urgent groups to come is free when
    /// they come.
    pub(crate) fn refill_headroom(&mut self, now_ms: u64) {
        let Some((size, times)) = self.expect_urgent(now_ms) else {
            return;
        };
        let mut spots = self.list_headroom_spots(&size, now_ms);
        for spot in &mut spots {
            spot.free += self.room_coming_free(spot.worker);
        }
        let victims = self.list_cheap_victims(&spots, now_ms);
        let mut stopped: Vec<UnitKey> = Vec::new();
        for _ in 0..times {
            let places = find_places_on_one_rack(&spots, &size.need, size.count);
            let (places, more) = match places {
                Some(places) => (places, Vec::new()),
                None => match plan_cheapest(&spots, &victims, &stopped, &size) {
                    Some(plan) => plan,
                    None => break,
                },
            };
            for spot in &mut spots {
                for victim in more.iter().filter(|v| v.worker == spot.worker) {
                    spot.free += victim.need;
                }
                let taken = places.iter().filter(|w| **w == spot.worker).count();
                for _ in 0..taken {
                    spot.put(&size.need);
                }
            }
            stopped.extend(more.into_iter().map(|victim| victim.unit));
        }
        for unit in stopped {
            self.counts.preempted += 1;
            let id = self.jobs[unit.group.job].stored.id;
            let why = format!("task {} leaves room for urgent work to come", unit.unit);
            self.decide(Some(id), "preempted", why);
            self.stop_unit(unit, now_ms);
        }
    }

    /// Room that stops under way will free on a worker.
    fn room_coming_free(&self, worker: WorkerKey) -> Need {
        self.workers[worker]
            .units
            .keys()
            .filter(|unit| {
                matches!(
                    self.unit(**unit).map(|u| u.phase),
                    Some(Phase::Stopping { .. })
                )
            })
            .fold(Need::default(), |sum, unit| sum + self.need(unit.group))
    }

    /// Tasks whose stop loses next to nothing, on each worker: of the lowest priorities, with saved progress.
    fn list_cheap_victims(
        &self,
        spots: &[Spot],
        now_ms: u64,
    ) -> HashMap<WorkerKey, Vec<CheapVictim>> {
        let mut all: HashMap<WorkerKey, Vec<CheapVictim>> = HashMap::new();
        for spot in spots {
            for unit in self.workers[spot.worker].units.keys().copied() {
                let job = &self.jobs[unit.group.job];
                let step = job.step_of(unit.group.group as usize);
                let cheap = step.saves_progress && !step.gang && !step.lasting;
                if cheap
                    && job.stored.priority >= LEAST_CHEAP_PRIORITY
                    && self.has_run_for(unit, now_ms)
                {
                    all.entry(spot.worker).or_default().push(CheapVictim {
                        unit,
                        worker: spot.worker,
                        need: self.need(unit.group),
                    });
                }
            }
        }
        all
    }

    /// Whether a task has run for long enough that it has saved something since it was started.
    fn has_run_for(&self, key: UnitKey, now_ms: u64) -> bool {
        self.unit(key).is_some_and(|unit| {
            matches!(unit.phase, Phase::Running { .. }) && unit.started_ms + LEAST_RUN_MS <= now_ms
        })
    }
}

/// A task that can be stopped at next to no loss.
#[derive(Debug, Clone, Copy)]
struct CheapVictim {
    unit: UnitKey,
    worker: WorkerKey,
    need: Need,
}

/// The rack on which the fewest stops make room for a group, with its places and those stops.
fn plan_cheapest(
    spots: &[Spot],
    victims: &HashMap<WorkerKey, Vec<CheapVictim>>,
    stopped: &[UnitKey],
    size: &UrgentArrival,
) -> Option<(Vec<WorkerKey>, Vec<CheapVictim>)> {
    split_by_rack(spots)
        .into_values()
        .filter_map(|mut rack| {
            let mut places = Vec::new();
            let mut stops: Vec<CheapVictim> = Vec::new();
            for _ in 0..size.count {
                let (at, more) = (0..rack.len())
                    .filter_map(|at| {
                        let mut free = rack[at].free;
                        let mut more = Vec::new();
                        let here = victims.get(&rack[at].worker).into_iter().flatten();
                        for victim in here {
                            if size.need.fits(&free) {
                                break;
                            }
                            let taken = stopped.contains(&victim.unit)
                                || stops.iter().any(|s| s.unit == victim.unit);
                            if !taken {
                                free += victim.need;
                                more.push(*victim);
                            }
                        }
                        size.need.fits(&free).then_some((at, more))
                    })
                    .min_by_key(|(_, more)| more.len())?;
                for victim in &more {
                    rack[at].free += victim.need;
                }
                rack[at].put(&size.need);
                places.push(rack[at].worker);
                stops.extend(more);
            }
            Some((places, stops))
        })
        .min_by_key(|(_, stops)| stops.len())
        .filter(|(_, stops)| stops.len() <= MOST_STOPS)
}

/// Where on one rack the most tasks of a group fit; among racks that hold the whole group, the fullest.
fn find_roomiest(spots: &[Spot], size: &UrgentArrival) -> Vec<WorkerKey> {
    split_by_rack(spots)
        .into_values()
        .map(|mut rack| {
            let free: i64 = rack.iter().map(|s| s.free.accelerators.max(0)).sum();
            let mut places = Vec::new();
            while places.len() < size.count
                && let Some(at) = crate::fit::find_best_spot(&mut rack, &size.need)
            {
                rack[at].put(&size.need);
                places.push(rack[at].worker);
            }
            (places, free)
        })
        .max_by_key(|(places, free)| (places.len(), -free))
        .map_or_else(Vec::new, |(places, _)| places)
}
