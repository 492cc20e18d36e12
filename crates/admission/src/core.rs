//! State of the decision code, and the operations on queues that its modules share.

use std::collections::HashMap;

use model::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use crate::config::AdmissionConfig;
use crate::declare::Organisation;
use crate::lane::Lanes;
use crate::queue::{Age, ClassIndex, ClassQueue, OrganisationIndex, QueueEnd, Rank, Standing};
use crate::request::{Phase, Request};
use crate::retry::Budget;
use crate::rows::PeerRows;
use crate::share::{PeerUse, Rounding, Sharing};
use crate::timer::Timers;
use crate::types::{Decision, Rejection, RequestKey, WorkerCondition, WorkerKey};
use crate::worker::Workers;

/// Retries that the node may add for each first attempt.
const NODE_RETRY_SHARE: f64 = 0.1;

/// Maximum number of retries of the node in a burst.
const NODE_RETRIES_MAX: f64 = 100.0;

/// Hedged attempts that the node may add for each first attempt.
const HEDGE_SHARE: f64 = 0.02;

/// Maximum number of hedged attempts in a burst.
const HEDGES_MAX: f64 = 10.0;

/// Minimum retry delay suggested to a rejected caller, before jitter, in milliseconds.
const RETRY_AFTER_MS_MIN: u64 = 200;

/// Maximum retry delay suggested to a rejected caller, before jitter, in milliseconds.
const RETRY_AFTER_MS_MAX: u64 = 10_000;

/// Admission control of one entry node for the requests of its data centre.
#[derive(Debug)]
pub struct Admission {
    pub(crate) config: AdmissionConfig,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) sharing: Sharing,
    pub(crate) classes: Vec<ClassQueue>,
    pub(crate) class_by_name: HashMap<ClassName, ClassIndex>,
    pub(crate) organisations: Vec<Organisation>,
    pub(crate) organisation_by_name: HashMap<OrganisationName, OrganisationIndex>,
    pub(crate) weight_total: u64,
    pub(crate) requests: SlotMap<RequestKey, Request>,
    pub(crate) workers: Workers,
    pub(crate) lanes: Lanes,
    pub(crate) timers: Timers,
    pub(crate) node_retries: Budget,
    pub(crate) hedges: Budget,
    pub(crate) peers: PeerRows,
    pub(crate) node_peers: PeerUse,
    pub(crate) waiting: u32,
    pub(crate) decided: Vec<Decision>,
    pub(crate) decided_ms: u64,
}

impl Admission {
    /// Creates the decision code without declarations and workers; `seed` seeds its random choices.
    pub fn new(config: AdmissionConfig, seed: u64) -> Self {
        Self {
            config,
            rng: Pcg64Mcg::seed_from_u64(seed),
            sharing: Sharing {
                nodes: 1,
                fresh: false,
            },
            classes: Vec::new(),
            class_by_name: HashMap::new(),
            organisations: Vec::new(),
            organisation_by_name: HashMap::new(),
            weight_total: 0,
            requests: SlotMap::with_key(),
            workers: Workers::new(config.adaptive_concurrency),
            lanes: Lanes::new(),
            timers: Timers::default(),
            node_retries: Budget::new(NODE_RETRY_SHARE, NODE_RETRIES_MAX),
            hedges: Budget::new(HEDGE_SHARE, HEDGES_MAX),
            peers: PeerRows::default(),
            node_peers: PeerUse::default(),
            waiting: 0,
            decided: Vec::new(),
            decided_ms: 0,
        }
    }

    /// Adds a worker, or changes the slots and connections of the worker with this name.
    pub fn upsert_worker(
        &mut self,
        name: &WorkerName,
        slots: u32,
        connections_max: u32,
    ) -> WorkerKey {
        let key = self.workers.upsert(name, slots, connections_max);
        self.workers.refresh(self.decided_ms, key);
        key
    }

    /// Sets whether a worker takes new work.
    pub fn set_worker(&mut self, now_ms: u64, worker: WorkerKey, condition: WorkerCondition) {
        self.workers.set_condition(now_ms, worker, condition);
    }

    /// Sets the number of entry nodes of the data centre, including this one.
    pub fn set_entry_nodes(&mut self, nodes: u32) {
        self.sharing.nodes = nodes.max(1);
        self.sharing.fresh = self.peers.are_fresh(self.sharing.nodes);
    }

    /// Returns the time in milliseconds at which [`Admission::poll`] has to be called if no event
    /// comes before.
    pub fn next_wake_ms(&self) -> Option<u64> {
        if !self.decided.is_empty() {
            return Some(self.decided_ms);
        }
        let expiry_ms = self.peers.next_expiry_ms();
        [self.timers.next_ms(), expiry_ms]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the number of slots that this node may use.
    pub(crate) fn allowed_slots(&self) -> u32 {
        let slots = self.workers.slots();
        if self.config.node_share {
            self.sharing.allowed(slots, self.node_peers, Rounding::Up)
        } else {
            slots
        }
    }

    /// Returns the equal share of this node of the slots of the data centre.
    pub(crate) fn equal_share(&self) -> u32 {
        let slots = self.workers.slots();
        if self.config.node_share {
            slots.div_ceil(self.sharing.nodes.max(1))
        } else {
            slots
        }
    }

    /// Returns the queue and partition that a request waits in.
    pub(crate) fn queue_of(
        &self,
        class: ClassIndex,
        organisation: OrganisationIndex,
    ) -> (ClassIndex, OrganisationIndex) {
        let queue = if self.config.class_queues { class } else { 0 };
        let partition = if self.config.share_order {
            organisation
        } else {
            0
        };
        (queue, partition)
    }

    /// Returns the place of an organisation in the order of service.
    pub(crate) fn rank(&self, organisation: OrganisationIndex) -> Rank {
        let within = Rank {
            standing: Standing::WithinShare,
            load_permille: 0,
        };
        let Some(state) = self.organisations.get(organisation) else {
            return within;
        };
        if !self.config.share_order {
            return within;
        }
        let quota = state.spec.quota.requests_in_flight;
        let allowed = self.sharing.allowed(quota, state.peers, Rounding::Down);
        if state.in_flight >= allowed {
            return Rank {
                standing: Standing::QuotaUsed,
                load_permille: 0,
            };
        }
        let used = if self.sharing.fresh {
            state.in_flight + state.peers.in_flight
        } else {
            state.in_flight * self.sharing.nodes
        };
        let slots = u64::from(self.workers.capacity()) * u64::from(quota);
        let share_permille = (slots * 1_000 / self.weight_total.max(1)).max(1);
        let load_permille = u64::from(used) * 1_000_000 / share_permille;
        let standing = if load_permille < 1_000 {
            Standing::WithinShare
        } else {
            Standing::OverShare
        };
        Rank {
            standing,
            load_permille: u32::try_from(load_permille).unwrap_or(u32::MAX),
        }
    }

    /// Updates the place of an organisation in the order of service of each of its queues.
    pub(crate) fn rerank(&mut self, organisation: OrganisationIndex) {
        if !self.config.share_order {
            return;
        }
        let rank = self.rank(organisation);
        let Some(state) = self.organisations.get(organisation) else {
            return;
        };
        for &class in &state.queued_in {
            self.classes[class].fresh.set_rank(organisation, rank);
            self.classes[class].overdue.set_rank(organisation, rank);
        }
    }

    /// Queues a request.
    pub(crate) fn enqueue(&mut self, key: RequestKey, age: Age, end: QueueEnd) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.phase = Phase::Waiting;
        request.age = age;
        let (class, organisation) = (request.class, request.organisation);
        let (queue, partition) = self.queue_of(class, organisation);
        let rank = self.rank(organisation);
        self.classes[queue]
            .partitions_mut(age)
            .push(partition, rank, key, end);
        self.waiting += 1;
        let state = &mut self.organisations[organisation];
        state.waiting += 1;
        if !state.queued_in.contains(&queue) {
            state.queued_in.push(queue);
        }
    }

    /// Counts a request as no longer queued; its key is removed from the queue later.
    pub(crate) fn leave_queue(
        &mut self,
        class: ClassIndex,
        organisation: OrganisationIndex,
        age: Age,
    ) {
        let (queue, partition) = self.queue_of(class, organisation);
        let requests = &self.requests;
        let partitions = self.classes[queue].partitions_mut(age);
        partitions.remove(partition);
        partitions.compact(partition, |key| is_waiting_with_age(requests, key, age));
        self.count_dequeued(organisation);
    }

    /// Decrements the waiting requests of the node and of `organisation`.
    pub(crate) fn count_dequeued(&mut self, organisation: OrganisationIndex) {
        self.waiting = self.waiting.saturating_sub(1);
        let state = &mut self.organisations[organisation];
        state.waiting = state.waiting.saturating_sub(1);
    }

    /// Ends a request that has no attempt in flight, with a decision to spill or to reject it.
    pub(crate) fn spill_or_reject(
        &mut self,
        now_ms: u64,
        key: RequestKey,
        reason: RefusalReason,
        detail: &str,
    ) {
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        if request.phase == Phase::Waiting {
            self.leave_queue(request.class, request.organisation, request.age);
        }
        let rejection = self.rejection(now_ms, request.class, reason, detail);
        let is_for_capacity = !matches!(
            reason,
            RefusalReason::UnknownClass
                | RefusalReason::UnknownOrganisation
                | RefusalReason::Suspended
        );
        let may_spill = self.config.spill && request.may_spill && request.attempts == 0;
        self.decided_ms = now_ms;
        self.decided.push(if may_spill && is_for_capacity {
            Decision::Spill {
                request: key,
                rejection,
            }
        } else {
            Decision::Reject {
                request: key,
                rejection,
            }
        });
    }

    /// Creates a rejection with a jittered retry delay.
    pub(crate) fn rejection(
        &mut self,
        now_ms: u64,
        class: ClassIndex,
        reason: RefusalReason,
        detail: impl Into<String>,
    ) -> Rejection {
        let wait_ms = self.expected_wait_ms(now_ms, class, u32::MAX) as u64;
        let base_ms = wait_ms.clamp(RETRY_AFTER_MS_MIN, RETRY_AFTER_MS_MAX);
        let retry_after_ms = self.rng.random_range(base_ms / 2..=base_ms * 3 / 2);
        Rejection {
            reason,
            detail: detail.into(),
            retry_after_ms: Some(retry_after_ms),
        }
    }
}

/// Returns whether `key` belongs to a queued request of this age.
pub(crate) fn is_waiting_with_age(
    requests: &SlotMap<RequestKey, Request>,
    key: RequestKey,
    age: Age,
) -> bool {
    requests
        .get(key)
        .is_some_and(|request| request.phase == Phase::Waiting && request.age == age)
}
