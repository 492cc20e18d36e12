//! Frees the room that is kept for urgent groups to come, by stopping work that loses next to nothing.

use std::collections::HashMap;

use crate::fit::{Spot, find_places_on_one_rack, split_by_rack};
use crate::group::{Phase, UnitKey};
use crate::planner::Planner;
use crate::spec::Need;
use crate::urgent::UrgentArrival;
use crate::worker::WorkerKey;

/// Work of this priority and lower may be stopped for urgent groups to come.
const LEAST_CHEAP_PRIORITY: u32 = 2;

/// Only a task that has run this long is stopped for them: longer than the second between two savings that the users'
/// bounds name, so that it gets on between two stops.
const LEAST_RUN_MS: u64 = 1_500;

/// The most stops for one urgent group to come: the tasks of about one job of the lowest priority, of which the users'
/// sheets have 12 to 16 on average.
const MOST_STOPS: usize = 16;

/// A task that can be stopped at next to no loss.
#[derive(Debug, Clone, Copy)]
struct CheapVictim {
    unit: UnitKey,
    worker: WorkerKey,
    need: Need,
}

/// Where a group goes, and what is stopped for it.
#[derive(Debug, Default)]
struct Refill {
    places: Vec<WorkerKey>,
    stops: Vec<CheapVictim>,
}

impl Planner {
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
            let free = find_places_on_one_rack(&spots, &size.need, size.count);
            let refill = match free {
                Some(places) => Some(Refill {
                    places,
                    stops: Vec::new(),
                }),
                None => plan_cheapest(&spots, &victims, &stopped, &size),
            };
            let Some(Refill { places, stops }) = refill else {
                break;
            };
            for spot in &mut spots {
                for victim in stops.iter().filter(|v| v.worker == spot.worker) {
                    spot.free += victim.need;
                }
                let taken = places.iter().filter(|w| **w == spot.worker).count();
                for _ in 0..taken {
                    spot.put(&size.need);
                }
            }
            stopped.extend(stops.into_iter().map(|victim| victim.unit));
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

/// The rack on which the fewest stops make room for a group.
fn plan_cheapest(
    spots: &[Spot],
    victims: &HashMap<WorkerKey, Vec<CheapVictim>>,
    stopped: &[UnitKey],
    size: &UrgentArrival,
) -> Option<Refill> {
    split_by_rack(spots)
        .into_values()
        .filter_map(|rack| plan_on_rack(rack, victims, stopped, size))
        .min_by_key(|refill| refill.stops.len())
        .filter(|refill| refill.stops.len() <= MOST_STOPS)
}

/// Makes room for a whole group on one rack, each time where it takes the fewest stops.
fn plan_on_rack(
    mut rack: Vec<Spot>,
    victims: &HashMap<WorkerKey, Vec<CheapVictim>>,
    stopped: &[UnitKey],
    size: &UrgentArrival,
) -> Option<Refill> {
    let mut refill = Refill::default();
    for _ in 0..size.count {
        let is_taken = |unit: UnitKey| {
            stopped.contains(&unit) || refill.stops.iter().any(|stop| stop.unit == unit)
        };
        let (at, more) = (0..rack.len())
            .filter_map(|at| {
                let here = victims.get(&rack[at].worker).into_iter().flatten();
                let left = here.filter(|victim| !is_taken(victim.unit));
                stop_until_it_fits(rack[at].free, left, &size.need).map(|more| (at, more))
            })
            .min_by_key(|(_, more)| more.len())?;
        for victim in &more {
            rack[at].free += victim.need;
        }
        rack[at].put(&size.need);
        refill.places.push(rack[at].worker);
        refill.stops.extend(more);
    }
    Some(refill)
}

/// The first victims that together make a task fit; none if all of them do not.
fn stop_until_it_fits<'v>(
    mut free: Need,
    victims: impl Iterator<Item = &'v CheapVictim>,
    need: &Need,
) -> Option<Vec<CheapVictim>> {
    let mut chosen = Vec::new();
    for victim in victims {
        if need.fits(&free) {
            break;
        }
        free += victim.need;
        chosen.push(*victim);
    }
    need.fits(&free).then_some(chosen)
}
