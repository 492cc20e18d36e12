//! Queues of waiting requests: one for each class, with a partition for each organisation.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use model::prelude::*;

use crate::estimate::{Rate, RunTime};
use crate::lane::Lane;
use crate::share::PeerUse;
use crate::types::RequestKey;

/// Index of a class, in order of first declaration.
pub(crate) type ClassIndex = usize;

/// Index of an organisation, in order of first declaration.
pub(crate) type OrganisationIndex = usize;

/// Usage of an organisation relative to its limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    /// It uses less than its share of the slots.
    WithinShare,
    /// It has reached its share, but not its quota.
    OverShare,
    /// It has reached its quota.
    QuotaUsed,
}

/// Place of an organisation in the order of service; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Usage relative to its limits.
    pub(crate) standing: Standing,
    /// Attempts in flight in permille of its share.
    pub(crate) load_permille: u32,
}

/// Waiting requests of one organisation, oldest first.
///
/// `keys` may contain requests that no longer wait; `live` counts those that do.
#[derive(Debug, Default)]
struct Partition {
    keys: VecDeque<RequestKey>,
    live: u32,
    rank: Option<Rank>,
}

/// End of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueEnd {
    /// The oldest request.
    Oldest,
    /// The newest request.
    Newest,
}

/// Whether a request is served early or late, by the time that it has waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Age {
    /// It has waited for less than the overdue time of its class.
    Fresh,
    /// It has waited longer, and is served only when no fresh request can be started.
    Overdue,
}

/// State of a class with its waiting requests.
#[derive(Debug)]
pub(crate) struct ClassQueue {
    /// Declared properties.
    pub(crate) spec: ClassSpec,
    /// Whether the class is still declared.
    pub(crate) declared: bool,
    /// Lane of its work.
    pub(crate) lane: Lane,
    /// Estimate of the run time.
    pub(crate) run: RunTime,
    /// Rate of starts of waiting requests.
    pub(crate) starts: Rate,
    /// Attempts of this node in flight.
    pub(crate) in_flight: u32,
    /// Usage by the other entry nodes.
    pub(crate) peers: PeerUse,
    /// Fresh requests.
    pub(crate) fresh: Partitions,
    /// Overdue requests.
    pub(crate) overdue: Partitions,
}

/// Minimum time constant of the start rate of a class, in milliseconds.
const STARTS_TIME_CONSTANT_MS_MIN: f64 = 1_000.0;

/// Minimum overdue time, in permille of the deadline.
const OVERDUE_PERMILLE_MIN: u64 = 50;

/// Maximum overdue time, in milliseconds.
const OVERDUE_MS_MAX: u64 = 5_000;

/// Maximum overdue time, in permille of the deadline.
const OVERDUE_PERMILLE_MAX: u64 = 250;

impl ClassQueue {
    /// Creates an empty queue.
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

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> u32 {
        self.fresh.waiting() + self.overdue.waiting()
    }

    /// Returns the partitions for requests of one age.
    pub(crate) fn partitions(&self, age: Age) -> &Partitions {
        match age {
            Age::Fresh => &self.fresh,
            Age::Overdue => &self.overdue,
        }
    }

    /// Returns the partitions for requests of one age.
    pub(crate) fn partitions_mut(&mut self, age: Age) -> &mut Partitions {
        match age {
            Age::Fresh => &mut self.fresh,
            Age::Overdue => &mut self.overdue,
        }
    }

    /// Returns the overdue time, the wait after which a request is overdue: the expected run time,
    /// limited to a range of shares of the deadline.
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

/// Waiting requests of one class and age, partitioned by organisation.
#[derive(Debug, Default)]
pub(crate) struct Partitions {
    waiting: u32,
    partitions: BTreeMap<OrganisationIndex, Partition>,
    order: BTreeSet<(Rank, OrganisationIndex)>,
}

impl Partitions {
    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the number of waiting requests of one organisation.
    pub(crate) fn waiting_of(&self, organisation: OrganisationIndex) -> u32 {
        self.partitions
            .get(&organisation)
            .map_or(0, |partition| partition.live)
    }

    /// Returns the requests of one organisation, oldest first, possibly with some that no longer
    /// wait.
    pub(crate) fn keys_of(
        &self,
        organisation: OrganisationIndex,
    ) -> impl Iterator<Item = RequestKey> {
        let partition = self.partitions.get(&organisation).into_iter();
        partition.flat_map(|partition| partition.keys.iter().copied())
    }

    /// Returns the organisation that is served next.
    pub(crate) fn first(&self) -> Option<(Rank, OrganisationIndex)> {
        self.order.first().copied()
    }

    /// Returns the organisation that is served last.
    pub(crate) fn last(&self) -> Option<(Rank, OrganisationIndex)> {
        self.order.last().copied()
    }

    /// Returns the organisations with waiting requests in order of service.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = (Rank, OrganisationIndex)> {
        self.order.iter().copied()
    }

    /// Adds a request at an end of its organisation's partition.
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

    /// Changes the place of an organisation in the order of service.
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

    /// Returns the request at an end of an organisation's partition; removes keys there for which
    /// `is_waiting` returns false.
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

    /// Removes the request that [`Partitions::peek`] has returned.
    pub(crate) fn take(&mut self, organisation: OrganisationIndex, end: QueueEnd) {
        if let Some(partition) = self.partitions.get_mut(&organisation) {
            match end {
                QueueEnd::Oldest => partition.keys.pop_front(),
                QueueEnd::Newest => partition.keys.pop_back(),
            };
        }
        self.remove(organisation);
    }

    /// Records that a request of `organisation` no longer waits; its key is removed later.
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

    /// Removes the keys for which `is_waiting` returns false when they outnumber the others.
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
