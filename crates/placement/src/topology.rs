//! Racks and workers of one data centre, and the allocation state of their accelerators.

use std::collections::HashMap;

use model::prelude::*;

use crate::blocks::{LevelCounts, count_blocks, maximal_levels};
use crate::event::WorkerSpec;
use crate::guarantees::{add_counts, worker_bits};
use crate::job::JobKey;

/// Key of a rack; a declared rack of more than eight workers is represented as several.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RackKey(pub(crate) u32);

/// Key of a worker, made of its rack and its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct WorkerKey(pub(crate) u32);

impl WorkerKey {
    /// Returns the worker of the accelerator at bit `bit` of a rack mask.
    pub(crate) const fn of_bit(rack: RackKey, bit: u32) -> Self {
        Self(rack.0 * WORKERS_PER_RACK + bit / ACCELERATORS_PER_WORKER)
    }

    /// Returns the rack of the worker.
    pub(crate) const fn rack(self) -> RackKey {
        RackKey(self.0 / WORKERS_PER_RACK)
    }

    /// Returns the position of the worker in its rack.
    pub(crate) const fn position(self) -> u32 {
        self.0 % WORKERS_PER_RACK
    }

    /// Returns the mask of `accelerators` of this worker within its rack.
    pub(crate) const fn mask(self, accelerators: AcceleratorMask) -> u64 {
        (accelerators.0 as u64) << (self.position() * ACCELERATORS_PER_WORKER)
    }
}

/// Health of a worker, which decides whether it takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes work.
    Healthy,
    /// It gets only jobs that fit on one worker, after a quarantine.
    Probation {
        /// End of the probation, in milliseconds.
        until_ms: u64,
    },
    /// It takes no work after consecutive failures of different jobs, or a failure on probation.
    Quarantined {
        /// End of the quarantine, in milliseconds.
        until_ms: u64,
    },
    /// It takes no new work and will be removed.
    Leaving,
    /// It is lost, or has not been usable yet.
    Lost,
}

/// A worker and its health.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    pub(crate) state: WorkerState,
    /// Jobs that failed on it since the last success.
    pub(crate) failed_jobs: Vec<JobKey>,
    /// Quarantines since the last success.
    pub(crate) quarantines: u32,
}

/// State of a rack; masks have one bit for each accelerator, see [`blocks`](crate::blocks).
#[derive(Debug)]
pub(crate) struct Rack {
    pub(crate) workers: [Option<Worker>; WORKERS_PER_RACK as usize],
    /// Accelerators of all known workers, whatever their state.
    pub(crate) hardware: u64,
    /// Accelerators of healthy workers.
    pub(crate) usable: u64,
    /// Accelerators of workers on probation.
    pub(crate) probation: u64,
    /// Accelerators that jobs hold.
    pub(crate) used: u64,
    /// Accelerators that jobs hold within guarantees.
    pub(crate) used_guaranteed: u64,
    /// Accelerators claimed by gangs that wait for work on them to stop.
    pub(crate) claimed: u64,
    /// Accelerators of bound blocks.
    pub(crate) bound: u64,
    /// Accelerators reserved for blocked jobs.
    pub(crate) reserved: u64,
    /// Reserved accelerators on which no other work may start.
    pub(crate) closed: u64,
    /// Job that holds each used accelerator; other entries are stale.
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

    /// Returns the accelerators that a guarantee can be bound to.
    pub(crate) const fn bindable(&self) -> u64 {
        self.usable & !self.bound
    }

    /// Returns the accelerators on healthy workers or on probation that are neither used nor
    /// claimed.
    const fn open(&self) -> u64 {
        (self.usable | self.probation) & !self.used & !self.claimed
    }
}

/// Set of racks as a bit set.
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
    /// Number of blocks of each level that guarantees can be bound to.
    pub(crate) bindable: LevelCounts,
    /// Accelerators on healthy workers.
    pub(crate) usable_count: u32,
    /// Accelerators that are neither used nor claimed.
    pub(crate) open_count: u32,
    /// Healthy workers with accelerators.
    pub(crate) healthy_workers: u32,
    rack_names: HashMap<(RackName, u32), RackKey>,
    worker_names: HashMap<WorkerName, WorkerKey>,
}

impl Topology {
    /// Returns the worker with this name.
    pub(crate) fn find_worker(&self, name: &WorkerName) -> Option<WorkerKey> {
        self.worker_names.get(name).copied()
    }

    /// Returns the worker with this key, unless its position is empty.
    pub(crate) fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.rack(key.rack()).workers[key.position() as usize].as_ref()
    }

    /// Returns the worker with this key, unless its position is empty.
    pub(crate) fn worker_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        let rack = &mut self.racks[key.rack().0 as usize];
        rack.workers[key.position() as usize].as_mut()
    }

    pub(crate) fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.racks.iter().zip(0..).flat_map(|(rack, index)| {
            let places = rack.workers.iter().zip(0..);
            places.filter_map(move |(worker, position)| {
                let key = WorkerKey(index * WORKERS_PER_RACK + position);
                worker.as_ref().map(|worker| (key, worker))
            })
        })
    }

    /// Returns the rack with this key.
    pub(crate) fn rack(&self, key: RackKey) -> &Rack {
        &self.racks[key.0 as usize]
    }

    /// Changes a rack and updates the counts and the index of open blocks.
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

    /// Returns the racks with an open block of exactly `level`, lowest key first.
    pub(crate) fn racks_open_at(&self, level: Level) -> impl Iterator<Item = RackKey> {
        let words = self.open_at[level as usize].0.iter().zip(0..);
        words.flat_map(|(&word, index)| {
            crate::blocks::bits(word).map(move |bit| RackKey(index * u64::BITS + bit))
        })
    }

    /// Returns the racks with an open block of `level` or larger, lowest key first.
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

    /// Returns the name of the worker at the position that `spec` names.
    pub(crate) fn occupant(&self, spec: &WorkerSpec) -> Option<WorkerName> {
        let rack_key = (spec.rack.clone(), spec.position / WORKERS_PER_RACK);
        let rack = self.rack_names.get(&rack_key)?;
        let position = spec.position % WORKERS_PER_RACK;
        let place = &self.rack(*rack).workers[position as usize];
        place.as_ref().map(|worker| worker.spec.name.clone())
    }

    /// Inserts a worker as lost, replacing any other at its position.
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

    /// Removes a worker, which must be lost.
    pub(crate) fn remove_worker(&mut self, key: WorkerKey) {
        let rack = &mut self.racks[key.rack().0 as usize];
        rack.hardware &= !key.mask(AcceleratorMask(u8::MAX));
        if let Some(worker) = rack.workers[key.position() as usize].take() {
            self.worker_names.remove(&worker.spec.name);
        }
    }

    /// Sets the state of a worker and updates which of its accelerators take work.
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

    /// Returns the jobs that hold accelerators in `mask` of `rack`, each once.
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
