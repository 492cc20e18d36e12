//! Racks and workers of one data centre, and what is held on them.

use std::collections::HashMap;

use model::prelude::*;

use crate::blocks::{LevelCounts, count_blocks, maximal_levels};
use crate::event::WorkerSpec;
use crate::guarantees::{add_counts, worker_bits};
use crate::job::JobKey;

/// Key of a rack; a rack of more than eight workers is kept as several.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RackKey(pub(crate) u32);

/// Key of a worker: its place in a rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct WorkerKey(pub(crate) u32);

impl WorkerKey {
    /// The worker that bit `bit` of rack `rack` belongs to.
    pub(crate) const fn of_bit(rack: RackKey, bit: u32) -> Self {
        Self(rack.0 * WORKERS_PER_RACK + bit / ACCELERATORS_PER_WORKER)
    }

    /// Rack of the worker.
    pub(crate) const fn rack(self) -> RackKey {
        RackKey(self.0 / WORKERS_PER_RACK)
    }

    /// Position of the worker in its rack.
    pub(crate) const fn position(self) -> u32 {
        self.0 % WORKERS_PER_RACK
    }

    /// Mask in the rack of `accelerators` of this worker.
    pub(crate) const fn mask(self, accelerators: AcceleratorMask) -> u64 {
        (accelerators.0 as u64) << (self.position() * ACCELERATORS_PER_WORKER)
    }
}

/// Whether a worker takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes work.
    Healthy,
    /// It is tried again after a quarantine with single-member jobs.
    Probation {
        /// End of the probation.
        until_ms: u64,
    },
    /// It has failed everything that it started and takes no work.
    Quarantined {
        /// End of the quarantine.
        until_ms: u64,
    },
    /// It will go away and takes no new work.
    Leaving,
    /// It is gone.
    Lost,
}

/// A worker in its place.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    pub(crate) state: WorkerState,
    /// Jobs that failed on it since the last success.
    pub(crate) failed_jobs: Vec<JobKey>,
    /// Quarantines since the last success.
    pub(crate) quarantines: u32,
}

/// One rack; every mask has one bit for each accelerator.
#[derive(Debug)]
pub(crate) struct Rack {
    pub(crate) workers: [Option<Worker>; WORKERS_PER_RACK as usize],
    /// Accelerators of all workers that have been seen.
    pub(crate) hardware: u64,
    /// Accelerators of healthy workers.
    pub(crate) usable: u64,
    /// Accelerators of workers on probation.
    pub(crate) probation: u64,
    /// Accelerators that jobs hold.
    pub(crate) used: u64,
    /// Accelerators that jobs hold within guarantees.
    pub(crate) used_guaranteed: u64,
    /// Accelerators set aside for gangs that wait for work to stop.
    pub(crate) claimed: u64,
    /// Accelerators of guaranteed blocks in use.
    pub(crate) bound: u64,
    /// Accelerators kept free for blocked jobs.
    pub(crate) reserved: u64,
    /// Those of them that other work is being moved away from.
    pub(crate) closed: u64,
    /// Holder of each used accelerator.
    pub(crate) holders: [JobKey; u64::BITS as usize],
}

impl Rack {
    fn new() -> Self {
        Self {
            workers: Default::default(),
            hardware: 0,
            usable: 0,
            probation: 0,
            used: 0,
            used_guaranteed: 0,
            claimed: 0,
            bound: 0,
            reserved: 0,
            closed: 0,
            holders: [JobKey::default(); u64::BITS as usize],
        }
    }

    /// Accelerators that a guarantee can be bound to.
    pub(crate) const fn bindable(&self) -> u64 {
        self.usable & !self.bound
    }

    /// Accelerators that a job may take, on healthy workers or on probation.
    const fn open(&self) -> u64 {
        (self.usable | self.probation) & !self.used & !self.claimed
    }
}

/// Set of racks.
#[derive(Debug, Default)]
pub(crate) struct RackSet(Vec<u64>);

impl RackSet {
    fn set(&mut self, rack: RackKey, present: bool) {
        let (word, bit) = (rack.0 / u64::BITS, rack.0 % u64::BITS);
        if self.0.len() <= word as usize {
            self.0.resize(word as usize + 1, 0);
        }
        let word = &mut self.0[word as usize];
        *word = *word & !(1 << bit) | u64::from(present) << bit;
    }
}

/// Racks and workers of one data centre.
#[derive(Debug, Default)]
pub(crate) struct Topology {
    pub(crate) racks: Vec<Rack>,
    /// Racks with an open block of each level that is not part of a larger one.
    open_at: [RackSet; Level::ALL.len()],
    /// Numbers of blocks that guarantees can be bound to.
    pub(crate) bindable: LevelCounts,
    /// Accelerators on healthy workers.
    pub(crate) usable_count: u32,
    /// Accelerators that a job may take.
    pub(crate) open_count: u32,
    /// Healthy workers with accelerators.
    pub(crate) healthy_workers: u32,
    rack_names: HashMap<(RackName, u32), RackKey>,
    worker_names: HashMap<WorkerName, WorkerKey>,
}

impl Topology {
    /// The worker called `name`.
    pub(crate) fn find_worker(&self, name: &WorkerName) -> Option<WorkerKey> {
        self.worker_names.get(name).copied()
    }

    /// The worker at `key`.
    pub(crate) fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.rack(key.rack()).workers[key.position() as usize].as_ref()
    }

    /// The worker at `key`.
    pub(crate) fn worker_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        let rack = &mut self.racks[key.rack().0 as usize];
        rack.workers[key.position() as usize].as_mut()
    }

    /// All workers.
    pub(crate) fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.racks.iter().zip(0..).flat_map(|(rack, index)| {
            let places = rack.workers.iter().zip(0..);
            places.filter_map(move |(worker, position)| {
                let key = WorkerKey(index * WORKERS_PER_RACK + position);
                worker.as_ref().map(|worker| (key, worker))
            })
        })
    }

    /// The rack at `key`.
    pub(crate) fn rack(&self, key: RackKey) -> &Rack {
        &self.racks[key.0 as usize]
    }

    /// Changes a rack and keeps the counts and the index right.
    pub(crate) fn update(&mut self, key: RackKey, change: impl FnOnce(&mut Rack)) {
        let rack = &mut self.racks[key.0 as usize];
        let (bindable, open, usable) = (rack.bindable(), rack.open(), rack.usable);
        change(rack);
        let (bindable_after, open_after) = (rack.bindable(), rack.open());
        self.usable_count += rack.usable.count_ones();
        self.usable_count -= usable.count_ones();
        self.open_count += open_after.count_ones();
        self.open_count -= open.count_ones();
        if bindable != bindable_after {
            let less = count_blocks(bindable).map(|count| -count);
            add_counts(&mut self.bindable, &less);
            add_counts(&mut self.bindable, &count_blocks(bindable_after));
        }
        if open != open_after {
            let has = maximal_levels(open_after);
            for (set, present) in self.open_at.iter_mut().zip(has) {
                set.set(key, present);
            }
        }
    }

    /// Racks with an open block of exactly `level`, lowest first.
    pub(crate) fn racks_open_at(&self, level: Level) -> impl Iterator<Item = RackKey> {
        let words = self.open_at[level as usize].0.iter().zip(0..);
        words.flat_map(|(&word, index)| {
            crate::blocks::bits(word).map(move |bit| RackKey(index * u64::BITS + bit))
        })
    }

    /// Racks with an open block of `level` or larger, lowest first.
    pub(crate) fn racks_open_from(&self, level: Level) -> impl Iterator<Item = RackKey> {
        let sets = &self.open_at[level as usize..];
        let len = sets.iter().map(|set| set.0.len()).max().unwrap_or(0);
        (0..len).flat_map(move |index| {
            let word = sets
                .iter()
                .fold(0, |word, set| word | set.0.get(index).copied().unwrap_or(0));
            let first = index as u32 * u64::BITS;
            crate::blocks::bits(word).map(move |bit| RackKey(first + bit))
        })
    }

    /// Name of the worker that stands where `spec` is to stand.
    pub(crate) fn occupant(&self, spec: &WorkerSpec) -> Option<WorkerName> {
        let rack_key = (spec.rack.clone(), spec.position / WORKERS_PER_RACK);
        let rack = self.rack_names.get(&rack_key)?;
        let position = spec.position % WORKERS_PER_RACK;
        let place = &self.rack(*rack).workers[position as usize];
        place.as_ref().map(|worker| worker.spec.name.clone())
    }

    /// Puts a worker in its place, in place of another that stood there.
    pub(crate) fn insert_worker(&mut self, spec: WorkerSpec) -> WorkerKey {
        let rack_key = (spec.rack.clone(), spec.position / WORKERS_PER_RACK);
        let next = RackKey(self.racks.len() as u32);
        let rack = *self.rack_names.entry(rack_key).or_insert(next);
        if rack == next {
            self.racks.push(Rack::new());
        }
        let position = spec.position % WORKERS_PER_RACK;
        let key = WorkerKey(rack.0 * WORKERS_PER_RACK + position);
        self.remove_worker(key);
        self.worker_names.insert(spec.name.clone(), key);
        let rack = &mut self.racks[rack.0 as usize];
        rack.hardware |= worker_bits(spec.position, spec.accelerators);
        rack.workers[position as usize] = Some(Worker {
            spec,
            state: WorkerState::Lost,
            failed_jobs: Vec::new(),
            quarantines: 0,
        });
        key
    }

    /// Forgets a worker that is lost.
    pub(crate) fn remove_worker(&mut self, key: WorkerKey) {
        let rack = &mut self.racks[key.rack().0 as usize];
        rack.hardware &= !key.mask(AcceleratorMask(u8::MAX));
        if let Some(worker) = rack.workers[key.position() as usize].take() {
            self.worker_names.remove(&worker.spec.name);
        }
    }

    /// Sets the state of a worker and which of its accelerators take work.
    pub(crate) fn set_state(&mut self, key: WorkerKey, state: WorkerState) {
        let Some(worker) = self.worker_mut(key) else {
            return;
        };
        let usable = matches!(state, WorkerState::Healthy);
        let was_usable = matches!(worker.state, WorkerState::Healthy);
        worker.state = state;
        let bits = worker_bits(worker.spec.position, worker.spec.accelerators);
        if bits != 0 {
            self.healthy_workers += u32::from(usable);
            self.healthy_workers -= u32::from(was_usable);
        }
        let probation = matches!(state, WorkerState::Probation { .. });
        let all = key.mask(AcceleratorMask(u8::MAX));
        self.update(key.rack(), |rack| {
            rack.usable = rack.usable & !all | if usable { bits } else { 0 };
            rack.probation = rack.probation & !all | if probation { bits } else { 0 };
        });
    }

    /// Jobs that hold accelerators in `mask` of `rack`, each once.
    pub(crate) fn holders(&self, rack: RackKey, mask: u64) -> Vec<JobKey> {
        let rack = self.rack(rack);
        let mut jobs: Vec<JobKey> = Vec::new();
        for bit in crate::blocks::bits(rack.used & mask) {
            let holder = rack.holders[bit as usize];
            if !jobs.contains(&holder) {
                jobs.push(holder);
            }
        }
        jobs
    }
}
