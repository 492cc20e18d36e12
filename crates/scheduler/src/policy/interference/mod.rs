//! Learns which work slows which other work down on one worker, and says how badly a worker suits some work.
//!
//! The rate of a run is compared with the rate of the same run before its neighbours changed. Its size, the speed of its
//! machine and whether it is a straggler are the same on both sides, so none of them is taken for interference. What is
//! learned is kept for each pair of kinds of work: the image of a step or, where a step names none, its queue.

mod pair;
mod record;
mod segment;

use std::collections::{BTreeSet, HashMap};

use slotmap::SecondaryMap;

pub use record::{InterferenceRecord, PairRecord};

use crate::group::TaskKey;
use crate::worker::WorkerKey;
use pair::Pair;
use segment::Segment;

/// The most kinds of work that are told apart in a term; runs of further ones are not looked at.
const MAX_KINDS: usize = 1_024;

/// The longest name of an image or a queue that is kept, in bytes; a job's text may have 4,000.
const MAX_NAME_BYTES: usize = 200;

/// The most pairs that are kept; of more, the one that is least certain and least slow goes.
const MAX_PAIRS: usize = 300;

/// A kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct WorkKind(u16);

/// What names a kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KindName<'n> {
    /// The image of a step.
    Image(&'n str),
    /// The queue of a job whose step names no image.
    Queue(&'n str),
}

/// How a run does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Level {
    /// Completed share of its work, in hundredths.
    Progress(u32),
    /// Tail latency of a serving task, in milliseconds.
    TailLatency(u64),
    /// Nothing is reported that shows it; the run may still disturb others.
    Unmeasured,
}

/// A run on a worker, as its report shows it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunSample {
    pub task: TaskKey,
    pub run: u32,
    pub kind: WorkKind,
    pub level: Level,
    /// Whether it is slowed on order.
    pub is_slowed: bool,
}

/// A change of what is known, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Verdict {
    pub is_known: bool,
    /// The kinds of work and what was observed of them.
    pub why: String,
}

/// The kinds of work that were seen, by name.
#[derive(Debug, Default)]
struct Kinds {
    images: HashMap<String, WorkKind>,
    queues: HashMap<String, WorkKind>,
    /// The names, by kind, with what they name.
    names: Vec<String>,
}

impl Kinds {
    fn find(&self, name: KindName<'_>) -> Option<WorkKind> {
        match name {
            KindName::Image(name) => self.images.get(name).copied(),
            KindName::Queue(name) => self.queues.get(name).copied(),
        }
    }

    fn find_or_add(&mut self, name: KindName<'_>) -> Option<WorkKind> {
        if let Some(kind) = self.find(name) {
            return Some(kind);
        }
        let (map, prefix, text) = match name {
            KindName::Image(text) => (&mut self.images, record::IMAGE_PREFIX, text),
            KindName::Queue(text) => (&mut self.queues, record::QUEUE_PREFIX, text),
        };
        if self.names.len() >= MAX_KINDS || text.len() > MAX_NAME_BYTES {
            return None;
        }
        let kind = WorkKind(self.names.len() as u16);
        map.insert(text.to_string(), kind);
        self.names.push(format!("{prefix}{text}"));
        Some(kind)
    }

    fn name(&self, kind: WorkKind) -> &str {
        self.names
            .get(usize::from(kind.0))
            .map_or("", String::as_str)
    }
}

/// Which work slows which other work down.
#[derive(Debug, Default)]
pub(crate) struct Interference {
    kinds: Kinds,
    /// What was observed of the first kind beside the second.
    pairs: HashMap<(WorkKind, WorkKind), Pair>,
    segments: SecondaryMap<WorkerKey, Vec<Segment>>,
    /// The kinds of work in known pairs.
    known_kinds: BTreeSet<WorkKind>,
    known: usize,
    verdicts: Vec<Verdict>,
}

impl Interference {
    /// Returns the kind of work with a name; none if its name is too long or there are too many kinds.
    pub fn kind(&mut self, name: KindName<'_>) -> Option<WorkKind> {
        self.kinds.find_or_add(name)
    }

    /// Returns the kind of work with a name if it was seen before.
    pub fn find_kind(&self, name: KindName<'_>) -> Option<WorkKind> {
        self.kinds.find(name)
    }

    /// Returns whether a kind of work is known to disturb other work or to be disturbed.
    pub fn is_in_known_pair(&self, kind: WorkKind) -> bool {
        self.known_kinds.contains(&kind)
    }

    /// Number of pairs that are known to disturb each other.
    pub fn known_pairs(&self) -> usize {
        self.known
    }

    /// Takes what became known or was dropped since the last call.
    pub fn take_verdicts(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.verdicts)
    }

    /// Forgets the runs of a worker that is gone.
    pub fn forget_worker(&mut self, worker: WorkerKey) {
        self.segments.remove(worker);
    }

    /// Takes in the runs that a worker reports together, at `at_ms` on its own clock. While one of them is slowed on
    /// order, the rates there say nothing: the order depends on them.
    pub fn observe(&mut self, worker: WorkerKey, runs: &[RunSample], at_ms: u64, now_ms: u64) {
        let mut before = self.segments.remove(worker).unwrap_or_default();
        if runs.is_empty() {
            return;
        }
        let is_slowed = runs.iter().any(|run| run.is_slowed);
        let mut segments = Vec::with_capacity(runs.len());
        let mut observed = Vec::new();
        for (index, sample) in runs.iter().enumerate() {
            let known = before
                .iter()
                .position(|s| s.is_of(sample))
                .map(|position| before.swap_remove(position))
                .filter(|_| !is_slowed);
            let (segment, change) =
                segment::go_on(known, sample, list_neighbours(runs, index), at_ms);
            if let Some((other, ln_factor)) = change {
                observed.push(((sample.kind, other), ln_factor));
            }
            segments.push(segment);
        }
        self.segments.insert(worker, segments);
        for (pair, ln_factor) in observed {
            self.record(pair, worker, ln_factor, now_ms);
        }
    }

    /// Returns by how many hundredths work of a kind and its neighbours slow each other down, all of them together.
    pub fn disturbance_percent(
        &self,
        kind: WorkKind,
        neighbours: impl Iterator<Item = WorkKind>,
    ) -> u32 {
        let slowdown = |slowed: WorkKind, by: WorkKind| {
            let pair = self.pairs.get(&(slowed, by)).filter(|pair| pair.is_known);
            pair.map_or(0.0, |pair| pair.slowdown_percent().max(0.0))
        };
        let sum: f64 = neighbours
            .map(|other| slowdown(kind, other) + slowdown(other, kind))
            .sum();
        sum.round() as u32
    }

    /// Drops known pairs that nothing confirms any more.
    pub fn age(&mut self, now_ms: u64) {
        if self.known == 0 {
            return;
        }
        let mut known: Vec<(WorkKind, WorkKind)> = self
            .pairs
            .iter()
            .filter(|(_, pair)| pair.is_known)
            .map(|(key, _)| *key)
            .collect();
        known.sort_unstable();
        for key in known {
            self.judge(key, now_ms);
        }
    }

    fn record(
        &mut self,
        key: (WorkKind, WorkKind),
        worker: WorkerKey,
        ln_factor: f64,
        now_ms: u64,
    ) {
        if !self.pairs.contains_key(&key) && self.pairs.len() >= MAX_PAIRS {
            self.drop_least_telling(now_ms);
        }
        let pair = self.pairs.entry(key).or_insert_with(|| Pair::new(now_ms));
        pair.observe(worker, ln_factor, now_ms);
        self.judge(key, now_ms);
    }

    /// Looks again at a pair after an observation or after a time without any.
    fn judge(&mut self, key: (WorkKind, WorkKind), now_ms: u64) {
        let Some(pair) = self.pairs.get_mut(&key) else {
            return;
        };
        let weight = pair.weight(now_ms);
        let is_known = pair.judge(now_ms);
        if is_known == pair.is_known {
            return;
        }
        pair.set_known(is_known);
        let slowdown = pair.slowdown_percent();
        self.note_change(key, is_known, slowdown, weight);
    }

    fn note_change(
        &mut self,
        key: (WorkKind, WorkKind),
        is_known: bool,
        slowdown_percent: f64,
        weight: f64,
    ) {
        self.count_known();
        let why = format!(
            "{} beside {}: {slowdown_percent:.0} % slower in {weight:.0} observations",
            self.kinds.name(key.0),
            self.kinds.name(key.1)
        );
        self.verdicts.push(Verdict { is_known, why });
    }

    /// Counts the known pairs anew.
    fn count_known(&mut self) {
        let known = self.pairs.iter().filter(|(_, pair)| pair.is_known);
        self.known = known.clone().count();
        self.known_kinds = known.flat_map(|((a, b), _)| [*a, *b]).collect();
    }

    fn drop_least_telling(&mut self, now_ms: u64) {
        let least = self
            .pairs
            .iter()
            .min_by(|a, b| {
                let telling = a.1.telling(now_ms).total_cmp(&b.1.telling(now_ms));
                telling.then(a.0.cmp(b.0))
            })
            .map(|(key, _)| *key);
        if let Some(key) = least
            && let Some(pair) = self.pairs.remove(&key)
            && pair.is_known
        {
            self.note_change(key, false, pair.slowdown_percent(), pair.weight(now_ms));
        }
    }
}

/// Returns the kinds of the other runs, in order and each once.
fn list_neighbours(runs: &[RunSample], own: usize) -> Vec<WorkKind> {
    let mut kinds: Vec<WorkKind> = runs
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != own)
        .map(|(_, run)| run.kind)
        .collect();
    kinds.sort_unstable();
    kinds.dedup();
    kinds
}
