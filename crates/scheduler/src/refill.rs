//! Frees the headroom for urgent groups by stopping tasks whose stop discards next to nothing.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::fit::{Candidate, find_places_on_one_rack, split_by_rack};
use crate::group::{Phase, TaskKey};
use crate::planner::Planner;
use crate::spec::Resources;
use crate::urgent::UrgentArrival;
use crate::worker::WorkerKey;

/// Tasks of this and less urgent (numerically higher) priorities may be stopped to refill the headroom.
const CHEAP_VICTIM_PRIORITY: u32 = 2;

/// A task is stopped only if it has run for this long. This exceeds the longest interval between two savings of
/// progress, one second by the users' limits, so that the task makes progress between two stops.
const MIN_RUN_MS: u64 = 1_500;

/// The most stops for one expected urgent group: about the tasks of one job of the lowest priority, of which the users'
/// load sheets have 12 to 16 on average.
const MAX_STOPS_PER_GROUP: usize = 16;

/// A task whose stop discards next to nothing.
#[derive(Debug, Clone, Copy)]
struct CheapVictim {
    task: TaskKey,
    worker: WorkerKey,
    resources: Resources,
}

/// Where an expected group fits, and the tasks to stop for it.
#[derive(Debug, Default)]
struct RefillPlan {
    places: Vec<WorkerKey>,
    stops: Vec<CheapVictim>,
}

impl Planner {
    /// Stops tasks of low priority that save their progress, so that the headroom is free when urgent groups arrive.
    pub(crate) fn refill_headroom(&mut self, now_ms: u64) {
        let Some((size, group_count)) = self.predict_urgent(now_ms) else {
            return;
        };
        let mut candidates = self.list_headroom_candidates(&size, now_ms);
        for candidate in &mut candidates {
            candidate.free += self.sum_capacity_being_freed(candidate.worker);
        }
        let victims = self.list_cheap_victims(&candidates, now_ms);
        let mut stopped: Vec<TaskKey> = Vec::new();
        let most = self.max_headroom_tasks(&size) / size.count.max(1);
        for _ in 0..group_count.min(most) {
            let free = find_places_on_one_rack(&candidates, &size.need, size.count);
            let refill = match free {
                Some(places) => Some(RefillPlan {
                    places,
                    stops: Vec::new(),
                }),
                None => plan_cheapest(&candidates, &victims, &stopped, &size),
            };
            let Some(RefillPlan { places, stops }) = refill else {
                break;
            };
            for candidate in &mut candidates {
                for victim in stops.iter().filter(|v| v.worker == candidate.worker) {
                    candidate.free += victim.resources;
                }
                let taken = places.iter().filter(|w| **w == candidate.worker).count();
                for _ in 0..taken {
                    candidate.place(&size.need);
                }
            }
            stopped.extend(stops.into_iter().map(|victim| victim.task));
        }
        for task in stopped {
            self.counts.preempted += 1;
            let id = self.jobs[task.group.job].stored.id;
            let why = format!(
                "task {} is stopped to refill the headroom for urgent work",
                task.index
            );
            self.record_decision(Some(id), "preempted", why);
            self.stop_task(task, now_ms);
        }
    }

    /// Returns the resources that stops in progress will free on a worker.
    fn sum_capacity_being_freed(&self, worker: WorkerKey) -> Resources {
        self.workers[worker]
            .tasks
            .keys()
            .filter(|task| {
                matches!(
                    self.task(**task).map(|t| t.phase),
                    Some(Phase::Stopping { .. })
                )
            })
            .fold(Resources::default(), |sum, task| {
                sum + self.need(task.group)
            })
    }

    /// Returns the tasks on each worker whose stop discards next to nothing: those of low priority that save their
    /// progress, are not part of a gang and do not run until their job is cancelled.
    fn list_cheap_victims(
        &self,
        candidates: &[Candidate],
        now_ms: u64,
    ) -> HashMap<WorkerKey, Vec<CheapVictim>> {
        let mut all: HashMap<WorkerKey, Vec<CheapVictim>> = HashMap::new();
        for candidate in candidates {
            for task in self.workers[candidate.worker].tasks.keys().copied() {
                let job = &self.jobs[task.group.job];
                let step = job.step_of(task.group.group as usize);
                let cheap = step.saves_progress
                    && !step.gang
                    && !step.lasting
                    && !self.has_few_starts_left(task);
                if cheap
                    && job.stored.priority >= CHEAP_VICTIM_PRIORITY
                    && self.has_run_long_enough(task, now_ms)
                {
                    all.entry(candidate.worker).or_default().push(CheapVictim {
                        task,
                        worker: candidate.worker,
                        resources: self.need(task.group),
                    });
                }
            }
        }
        // Who is furthest above its entitlement yields first.
        for here in all.values_mut() {
            here.sort_by_key(|victim| {
                let account = self.jobs[victim.task.group.job].account;
                (
                    Reverse(self.policy.shares.above_percent(account)),
                    victim.task,
                )
            });
        }
        all
    }

    /// Returns whether a task has run long enough to have saved progress since its start.
    fn has_run_long_enough(&self, key: TaskKey, now_ms: u64) -> bool {
        self.task(key).is_some_and(|task| {
            matches!(task.phase, Phase::Running { .. }) && task.started_ms + MIN_RUN_MS <= now_ms
        })
    }
}

/// Plans the stops on the rack that needs the fewest; none if that is more than [`MAX_STOPS_PER_GROUP`].
fn plan_cheapest(
    candidates: &[Candidate],
    victims: &HashMap<WorkerKey, Vec<CheapVictim>>,
    stopped: &[TaskKey],
    size: &UrgentArrival,
) -> Option<RefillPlan> {
    split_by_rack(candidates)
        .filter_map(|rack| plan_on_rack(rack.to_vec(), victims, stopped, size))
        .min_by_key(|refill| refill.stops.len())
        .filter(|refill| refill.stops.len() <= MAX_STOPS_PER_GROUP)
}

/// Plans the stops for a whole group on one rack, choosing for each task the worker with the fewest stops.
fn plan_on_rack(
    mut rack: Vec<Candidate>,
    victims: &HashMap<WorkerKey, Vec<CheapVictim>>,
    stopped: &[TaskKey],
    size: &UrgentArrival,
) -> Option<RefillPlan> {
    let mut refill = RefillPlan::default();
    for _ in 0..size.count {
        let is_taken = |task: TaskKey| {
            stopped.contains(&task) || refill.stops.iter().any(|stop| stop.task == task)
        };
        let (index, more) = (0..rack.len())
            .filter_map(|index| {
                let here = victims.get(&rack[index].worker).into_iter().flatten();
                let left = here.filter(|victim| !is_taken(victim.task));
                choose_cheap_victims(rack[index].free, left, &size.need).map(|more| (index, more))
            })
            .min_by_key(|(_, more)| more.len())?;
        for victim in &more {
            rack[index].free += victim.resources;
        }
        rack[index].place(&size.need);
        refill.places.push(rack[index].worker);
        refill.stops.extend(more);
    }
    Some(refill)
}

/// Returns the first victims that together make a task fit; none if it does not fit even without all of them.
fn choose_cheap_victims<'v>(
    mut free: Resources,
    victims: impl Iterator<Item = &'v CheapVictim>,
    need: &Resources,
) -> Option<Vec<CheapVictim>> {
    let mut chosen = Vec::new();
    for victim in victims {
        if need.fits(&free) {
            break;
        }
        free += victim.resources;
        chosen.push(*victim);
    }
    need.fits(&free).then_some(chosen)
}
