//! Workers of the data centre: free slots, adaptive concurrency limits, failures, and the choice of
//! a worker for an attempt.

use std::collections::HashMap;

use model::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use crate::config::AdmissionConfig;
use crate::types::{AttemptEnd, WorkerCondition, WorkerKey, WorkerView};

/// Pause of a worker after it refused work, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 10;

/// Consecutive lost attempts after which a worker is paused.
const LOSSES_IN_ROW_MAX: u32 = 3;

/// Minimum pause of a worker after lost attempts, in milliseconds.
const LOST_PAUSE_MS_MIN: u64 = 100;

/// Maximum pause of a worker after lost attempts, in milliseconds.
const LOST_PAUSE_MS_MAX: u64 = 1_000;

/// Consecutive failures after which a worker gets one request at a time.
const FAILURES_IN_ROW_MAX: u32 = 5;

/// Ratio of the run time to the class mean above which the concurrency limit is lowered.
const SLOWDOWN_MAX: f64 = 1.4;

/// Maximum slowdown of one sample, which limits the weight of stragglers.
const SLOWDOWN_SAMPLE_MAX: f64 = 4.0;

/// Weight of a new slowdown sample in the moving average.
const SLOWDOWN_WEIGHT: f64 = 0.1;

/// Factor by which the concurrency limit is lowered.
const LIMIT_DECREASE: f64 = 0.8;

/// Minimum number of samples between two decreases of the concurrency limit.
const DECREASE_SAMPLES_MIN: u32 = 8;

/// Maximum number of draws to avoid a given worker.
const DRAWS_MAX: u32 = 4;

/// State of a worker.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    name: WorkerName,
    slots: u32,
    connections_max: u32,
    condition: WorkerCondition,
    limit: f64,
    slowdown: f64,
    samples: u32,
    failures_in_row: u32,
    losses_in_row: u32,
    paused_until_ms: u64,
    /// Attempts of this node in flight.
    pub(crate) in_flight: u32,
    /// Attempts of the other entry nodes in flight, according to their rows.
    pub(crate) peers_in_flight: u32,
    free_index: Option<usize>,
}

impl Worker {
    /// Returns the maximum number of attempts in flight, of all nodes together.
    fn concurrency_limit(&self) -> u32 {
        if self.failures_in_row >= FAILURES_IN_ROW_MAX {
            return 1;
        }
        (self.limit as u32).clamp(1, self.slots.min(self.connections_max).max(1))
    }

    /// Returns the contribution of the worker to the capacity.
    fn capacity(&self) -> u32 {
        match self.condition {
            WorkerCondition::Accepting => self.concurrency_limit(),
            _ => 0,
        }
    }

    /// Returns whether a new attempt may be sent to the worker.
    fn has_free_slot(&self, now_ms: u64) -> bool {
        let limit = self.concurrency_limit();
        self.condition == WorkerCondition::Accepting
            && self.paused_until_ms <= now_ms
            && self.in_flight + self.peers_in_flight < limit
    }

    /// Returns the attempts in flight in permille of the concurrency limit.
    fn load_permille(&self) -> u32 {
        (self.in_flight + self.peers_in_flight) * 1_000 / self.concurrency_limit()
    }

    /// Adapts the concurrency limit to the slowdown of an answered attempt: additive increase,
    /// multiplicative decrease.
    fn adapt(&mut self, slowdown: f64) {
        let sample = slowdown.min(SLOWDOWN_SAMPLE_MAX);
        self.slowdown += SLOWDOWN_WEIGHT * (sample - self.slowdown);
        self.samples += 1;
        if self.slowdown <= SLOWDOWN_MAX {
            let slots = f64::from(self.slots);
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(slots);
        } else if self.samples >= DECREASE_SAMPLES_MIN {
            self.samples = 0;
            self.limit = (self.limit * LIMIT_DECREASE).max(1.0);
        }
    }
}

/// Returns the pause of a worker after `losses_in_row` consecutive lost attempts, in milliseconds.
fn pause_after_losses_ms(losses_in_row: u32) -> u64 {
    match losses_in_row.checked_sub(LOSSES_IN_ROW_MAX) {
        None => 0,
        Some(excess) => (LOST_PAUSE_MS_MIN << excess.min(10)).min(LOST_PAUSE_MS_MAX),
    }
}

/// All workers, with the list of those that have a free slot.
#[derive(Debug, Default)]
pub(crate) struct Workers {
    workers: SlotMap<WorkerKey, Worker>,
    by_name: HashMap<WorkerName, WorkerKey>,
    free: Vec<WorkerKey>,
    slots: u32,
    capacity: u32,
    /// Whether concurrency limits adapt to latency and failures.
    adaptive: bool,
}

impl Workers {
    /// Creates an empty set; `adaptive` sets whether concurrency limits adapt to latency and
    /// failures.
    pub(crate) fn new(adaptive: bool) -> Self {
        Self {
            adaptive,
            ..Self::default()
        }
    }

    /// Adds a worker or changes its slots and connections; a worker that was gone accepts work
    /// again.
    pub(crate) fn upsert(
        &mut self,
        name: &WorkerName,
        slots: u32,
        connections_max: u32,
    ) -> WorkerKey {
        let key = match self.by_name.get(name) {
            Some(&key) => key,
            None => self.insert(name, slots, connections_max),
        };
        if let Some(worker) = self.workers.get_mut(key) {
            worker.slots = slots;
            worker.connections_max = connections_max;
            worker.limit = worker.limit.clamp(1.0, f64::from(slots.max(1)));
            if worker.condition == WorkerCondition::Gone {
                worker.condition = WorkerCondition::Accepting;
            }
        }
        self.count_capacity();
        key
    }

    fn insert(&mut self, name: &WorkerName, slots: u32, connections_max: u32) -> WorkerKey {
        let key = self.workers.insert(Worker {
            name: name.clone(),
            slots,
            connections_max,
            condition: WorkerCondition::Accepting,
            limit: f64::from(slots),
            slowdown: 1.0,
            samples: 0,
            failures_in_row: 0,
            losses_in_row: 0,
            paused_until_ms: 0,
            in_flight: 0,
            peers_in_flight: 0,
            free_index: None,
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Sets whether a worker takes new work.
    pub(crate) fn set_condition(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        condition: WorkerCondition,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.condition = condition;
        self.count_capacity();
        self.refresh(now_ms, key);
        self.forget_if_gone(key);
    }

    /// Returns the sum of the concurrency limits of the workers that take new work.
    pub(crate) fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Returns the sum of the declared slots of the workers that take new work.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    fn count_capacity(&mut self) {
        let accepting = self.workers.values().filter(|worker| worker.capacity() > 0);
        self.slots = accepting.map(|worker| worker.slots).sum();
        self.capacity = self.workers.values().map(Worker::capacity).sum();
    }

    /// Returns the key of the worker with this name.
    pub(crate) fn key(&self, name: &WorkerName) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the name and attempts in flight of each worker that has any.
    pub(crate) fn in_use(&self) -> impl Iterator<Item = (&WorkerName, u32)> {
        let used = self.workers.values().filter(|worker| worker.in_flight > 0);
        used.map(|worker| (&worker.name, worker.in_flight))
    }

    /// Changes the number of attempts of other nodes on a worker.
    pub(crate) fn change_peers(&mut self, now_ms: u64, key: WorkerKey, add: u32, subtract: u32) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.peers_in_flight = (worker.peers_in_flight + add).saturating_sub(subtract);
        }
        self.refresh(now_ms, key);
    }

    /// Records the start of an attempt.
    pub(crate) fn start(&mut self, now_ms: u64, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.in_flight += 1;
        }
        self.refresh(now_ms, key);
    }

    /// Records the end of an attempt and the ratio of its run time to the class mean; returns the
    /// end of the worker's pause, if there is one.
    pub(crate) fn end(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        end: AttemptEnd,
        slowdown: Option<f64>,
    ) -> Option<u64> {
        let worker = self.workers.get_mut(key)?;
        worker.in_flight = worker.in_flight.saturating_sub(1);
        let capacity_before = worker.capacity();
        let pause_ms = match end {
            AttemptEnd::Answered => {
                worker.failures_in_row = 0;
                worker.losses_in_row = 0;
                if let Some(slowdown) = slowdown.filter(|_| self.adaptive) {
                    worker.adapt(slowdown);
                }
                0
            }
            AttemptEnd::Failed => {
                worker.failures_in_row += u32::from(self.adaptive);
                0
            }
            AttemptEnd::RefusedByWorker => REFUSED_PAUSE_MS,
            AttemptEnd::NotSent | AttemptEnd::Lost | AttemptEnd::Unresponsive => {
                worker.losses_in_row += 1;
                pause_after_losses_ms(worker.losses_in_row)
            }
        };
        worker.paused_until_ms = worker.paused_until_ms.max(now_ms + pause_ms);
        self.capacity = (self.capacity + worker.capacity()).saturating_sub(capacity_before);
        self.refresh(now_ms, key);
        self.forget_if_gone(key);
        (pause_ms > 0).then_some(now_ms + pause_ms)
    }

    /// Updates whether a worker is in the list of those with a free slot.
    pub(crate) fn refresh(&mut self, now_ms: u64, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        match (worker.has_free_slot(now_ms), worker.free_index) {
            (true, None) => {
                worker.free_index = Some(self.free.len());
                self.free.push(key);
            }
            (false, Some(at)) => {
                worker.free_index = None;
                self.free.swap_remove(at);
                let moved = self.free.get(at).and_then(|&key| self.workers.get_mut(key));
                if let Some(moved) = moved {
                    moved.free_index = Some(at);
                }
            }
            _ => {}
        }
    }

    fn forget_if_gone(&mut self, key: WorkerKey) {
        let is_done = self.workers.get(key).is_some_and(|worker| {
            worker.condition == WorkerCondition::Gone && worker.in_flight == 0
        });
        if is_done && let Some(worker) = self.workers.remove(key) {
            self.by_name.remove(&worker.name);
        }
    }

    /// Chooses a worker with a free slot, preferably not `avoid`.
    pub(crate) fn choose(
        &self,
        config: &AdmissionConfig,
        rng: &mut Pcg64Mcg,
        avoid: Option<WorkerKey>,
    ) -> Option<WorkerKey> {
        if !config.two_choices {
            let mut keys = self.free.iter().copied();
            return keys
                .clone()
                .filter(|&key| Some(key) != avoid)
                .min()
                .or_else(|| keys.next());
        }
        let first = self.draw(rng, avoid)?;
        let second = self.draw(rng, avoid)?;
        let load = |key| {
            self.workers
                .get(key)
                .map_or(u32::MAX, Worker::load_permille)
        };
        Some(if load(second) < load(first) {
            second
        } else {
            first
        })
    }

    fn draw(&self, rng: &mut Pcg64Mcg, avoid: Option<WorkerKey>) -> Option<WorkerKey> {
        let mut drawn = None;
        for _ in 0..DRAWS_MAX {
            if self.free.is_empty() {
                return None;
            }
            drawn = self.free.get(rng.random_range(0..self.free.len())).copied();
            if drawn != avoid {
                break;
            }
        }
        drawn
    }

    /// Returns the state of all workers for the console.
    pub(crate) fn views(&self) -> impl Iterator<Item = WorkerView> {
        self.workers.values().map(|worker| WorkerView {
            worker: worker.name.clone(),
            slots: worker.slots,
            concurrency_limit: worker.concurrency_limit(),
            in_flight: worker.in_flight,
            peers_in_flight: worker.peers_in_flight,
            accepting: worker.condition == WorkerCondition::Accepting,
        })
    }
}
