//! Queues of waiting requests: one for each class, with a part for each organisation.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use model::prelude::*;

use crate::estimate::{Rate, RunTime};
use crate::lane::Lane;
use crate::share::PeerUse;
use crate::types::RequestKey;

/// Index of a class in the order of its first declaration.
pub(crate) type ClassIndex = usize;

/// Index of an organisation in the order of its first declaration.
pub(crate) type OrganisationIndex = usize;

/// How an organisation stands to its limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    /// It uses no more than its share of the slots.
    WithinShare,
    /// It uses more than its share, and less than its quota.
    OverShare,
    /// Its quota is used up.
    QuotaUsed,
}

/// Place of an organisation in the order of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Its standing.
    pub(crate) standing: Standing,
    /// Attempts in flight against its share, in permille.
    pub(crate) load_permille: u32,
}

/// Waiting requests of one organisation, oldest first; keys of ended requests are skipped.
#[derive(Debug, Default)]
struct Partition {
    keys: VecDeque<RequestKey>,
    live: u32,
    rank: Option<Rank>,
}

/// Which end of a queue is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueEnd {
    /// The oldest request.
    Oldest,
    /// The newest request.
    Newest,
}

/// Which part of a class a request waits in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Age {
    /// It has waited less than the overdue time of its class.
    Fresh,
    /// It has waited longer, and is served when no fresh request can be started.
    Overdue,
}

/// One class with its waiting requests.
#[derive(Debug)]
pub(crate) struct ClassQueue {
    /// Declared properties.
    pub(crate) spec: ClassSpec,
    /// Whether the class is still declared.
    pub(crate) declared: bool,
    /// Lane of its work.
    pub(crate) lane: Lane,
    /// Observed run time.
    pub(crate) run: RunTime,
    /// Starts of waiting requests.
    pub(crate) starts: Rate,
    /// Attempts of this node in flight.
    pub(crate) in_flight: u32,
    /// Use by the other entry nodes.
    pub(crate) peers: PeerUse,
    /// Requests that have not waited long.
    pub(crate) fresh: Partitions,
    /// Requests that have.
    pub(crate) overdue: Partitions,
}

/// Time over which starts of a class are forgotten at least, in milliseconds.
const STARTS_TIME_CONSTANT_MS_MIN: f64 = 1_000.0;

/// Share of the deadline after which a request is overdue at least, in permille.
const OVERDUE_PERMILLE_MIN: u64 = 50;

/// Wait after which any request is overdue, in milliseconds.
const OVERDUE_MS_MAX: u64 = 5_000;

/// Share of the deadline after which a request is overdue at most, in permille.
const OVERDUE_PERMILLE_MAX: u64 = 250;

impl ClassQueue {
    /// An empty queue.
    pub(crate) fn new(now_ms: u64, spec: ClassSpec) -> Self {
        let expected_ms = spec.expected_run_ms;
        let time_constant_ms = (expected_ms as f64).max(STARTS_TIME_CONSTANT_MS_MIN);
        Self {
            declared: true,
            lane: Lane::of_class(&spec),
            run: RunTime::new(expected_ms),
            starts: Rate::new(now_ms, time_constant_ms),
            in_flight: 0,
            peers: PeerUse::default(),
            fresh: Partitions::default(),
            overdue: Partitions::default(),
            spec,
        }
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> u32 {
        self.fresh.waiting() + self.overdue.waiting()
    }

    /// The requests of one age.
    pub(crate) fn partitions(&self, age: Age) -> &Partitions {
        match age {
            Age::Fresh => &self.fresh,
            Age::Overdue => &self.overdue,
        }
    }

    /// The requests of one age, to be changed.
    pub(crate) fn partitions_mut(&mut self, age: Age) -> &mut Partitions {
        match age {
            Age::Fresh => &mut self.fresh,
            Age::Overdue => &mut self.overdue,
        }
    }

    /// Wait after which a request is overdue: the expected run time, within shares of the deadline.
    pub(crate) fn overdue_ms(&self) -> u64 {
        let deadline_ms = self.spec.deadline_ms;
        let least_ms = deadline_ms * OVERDUE_PERMILLE_MIN / 1_000;
        let most_ms = deadline_ms * OVERDUE_PERMILLE_MAX / 1_000;
        self.spec
            .expected_run_ms
            .clamp(least_ms, most_ms)
            .min(OVERDUE_MS_MAX)
    }
}

/// Waiting requests of one class, in parts by organisation.
#[derive(Debug, Default)]
pub(crate) struct Partitions {
    waiting: u32,
    partitions: BTreeMap<OrganisationIndex, Partition>,
    order: BTreeSet<(Rank, OrganisationIndex)>,
}

impl Partitions {
    /// Requests that wait.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Requests of one organisation that wait.
    pub(crate) fn waiting_of(&self, organisation: OrganisationIndex) -> u32 {
        self.partitions
            .get(&organisation)
            .map_or(0, |partition| partition.live)
    }

    /// Requests of one organisation, oldest first, with some that no longer wait.
    pub(crate) fn keys_of(
        &self,
        organisation: OrganisationIndex,
    ) -> impl Iterator<Item = RequestKey> {
        let partition = self.partitions.get(&organisation).into_iter();
        partition.flat_map(|partition| partition.keys.iter().copied())
    }

    /// Organisation that is served next.
    pub(crate) fn first(&self) -> Option<(Rank, OrganisationIndex)> {
        self.order.first().copied()
    }

    /// Organisation that is served last.
    pub(crate) fn last(&self) -> Option<(Rank, OrganisationIndex)> {
        self.order.last().copied()
    }

    /// Organisations that wait, the one served next first.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = (Rank, OrganisationIndex)> {
        self.order.iter().copied()
    }

    /// Adds a request at an end of its organisation's part.
    pub(crate) fn push(
        &mut self,
        organisation: OrganisationIndex,
        rank: Rank,
        key: RequestKey,
        end: QueueEnd,
    ) {
        let partition = self.partitions.entry(organisation).or_default();
        match end {
            QueueEnd::Oldest => partition.keys.push_front(key),
            QueueEnd::Newest => partition.keys.push_back(key),
        }
        partition.live += 1;
        self.waiting += 1;
        self.set_rank(organisation, rank);
    }

    /// Moves an organisation to its new place in the order of service.
    pub(crate) fn set_rank(&mut self, organisation: OrganisationIndex, rank: Rank) {
        let Some(partition) = self.partitions.get_mut(&organisation) else {
            return;
        };
        let new = (partition.live > 0).then_some(rank);
        if partition.rank == new {
            return;
        }
        if let Some(old) = partition.rank {
            self.order.remove(&(old, organisation));
        }
        if let Some(rank) = new {
            self.order.insert((rank, organisation));
        }
        partition.rank = new;
    }

    /// The request at an end of an organisation's part; drops keys that `is_waiting` denies.
    pub(crate) fn peek(
        &mut self,
        organisation: OrganisationIndex,
        end: QueueEnd,
        is_waiting: impl Fn(RequestKey) -> bool,
    ) -> Option<RequestKey> {
        let partition = self.partitions.get_mut(&organisation)?;
        loop {
            let key = match end {
                QueueEnd::Oldest => partition.keys.front(),
                QueueEnd::Newest => partition.keys.back(),
            };
            let key = *key?;
            if is_waiting(key) {
                return Some(key);
            }
            match end {
                QueueEnd::Oldest => partition.keys.pop_front(),
                QueueEnd::Newest => partition.keys.pop_back(),
            };
        }
    }

    /// Takes the request that [`Parts::peek`] has returned.
    pub(crate) fn take(&mut self, organisation: OrganisationIndex, end: QueueEnd) {
        if let Some(partition) = self.partitions.get_mut(&organisation) {
            match end {
                QueueEnd::Oldest => partition.keys.pop_front(),
                QueueEnd::Newest => partition.keys.pop_back(),
            };
        }
        self.remove(organisation);
    }

    /// Records that a request of `organisation` no longer waits; its key is dropped later.
    pub(crate) fn remove(&mut self, organisation: OrganisationIndex) {
        let Some(partition) = self.partitions.get_mut(&organisation) else {
            return;
        };
        partition.live = partition.live.saturating_sub(1);
        self.waiting = self.waiting.saturating_sub(1);
        if partition.live > 0 {
            return;
        }
        partition.keys.clear();
        if let Some(old) = partition.rank.take() {
            self.order.remove(&(old, organisation));
        }
    }

    /// Drops keys that `is_waiting` denies when they outnumber the others.
    pub(crate) fn compact(
        &mut self,
        organisation: OrganisationIndex,
        is_waiting: impl Fn(RequestKey) -> bool,
    ) {
        if let Some(partition) = self.partitions.get_mut(&organisation)
            && partition.keys.len() > 2 * partition.live as usize + 16
        {
            partition.keys.retain(|&key| is_waiting(key));
        }
    }
}
