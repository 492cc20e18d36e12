//! Handling of due timers, and starts of waiting requests.

use model::prelude::*;

use crate::core::{Admission, is_waiting_with_age};
use crate::lane::{Lane, SlotLimits};
use crate::queue::{Age, ClassIndex, OrganisationIndex, QueueEnd, Standing};
use crate::request::{InFlight, Phase};
use crate::share::Rounding;
use crate::timer::Timer;
use crate::types::{Decision, RequestKey, WorkerKey};

/// Maximum expected wait behind the overdue requests of a class, in permille of the time left.
const OVERDUE_WAIT_PERMILLE_MAX: u64 = 500;

/// Multiple of the expected run time after which an attempt is a straggler.
const OVERRUN_FACTOR: u64 = 4;

/// Multiple of the 95th percentile of the run time after which a hedged attempt may be sent.
const HEDGE_FACTOR: f64 = 1.5;

/// Place of a class in the order of service; the greatest is served first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Precedence {
    tier: Tier,
    /// Precedence of its lane, higher for shorter work.
    lane: u8,
    /// Waiting time of the oldest request, in expected run times.
    relative_wait: f64,
}

/// Groups of classes in the order of service; the greatest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// Background classes.
    Background,
    /// Normal classes that have only overdue requests.
    Overdue,
    /// Normal classes with fresh requests.
    Fresh,
    /// Normal classes whose lane holds fewer slots than its floor.
    Floor,
    /// Urgent classes.
    Urgent,
}

/// Queue and partition that the next request is taken from.
#[derive(Debug, Clone, Copy)]
struct Source {
    queue: ClassIndex,
    age: Age,
    partition: OrganisationIndex,
}

impl Admission {
    /// Handles what is due at `now_ms`, in milliseconds, and appends all pending decisions to
    /// `out`.
    pub fn poll(&mut self, now_ms: u64, out: &mut Vec<Decision>) {
        self.expire_rows(now_ms);
        while let Some(timer) = self.timers.pop_due(now_ms) {
            self.fire(now_ms, timer);
        }
        self.start_waiting(now_ms);
        out.append(&mut self.decided);
        let requests = &self.requests;
        self.timers.compact(requests.len(), |timer| match timer {
            Timer::Expire(key)
            | Timer::Overdue(key)
            | Timer::Requeue(key)
            | Timer::Overrun(key, _)
            | Timer::Hedge(key) => requests.contains_key(key),
            Timer::Reopen(_) => true,
        });
    }

    fn fire(&mut self, now_ms: u64, timer: Timer) {
        match timer {
            Timer::Expire(key) => self.expire(now_ms, key),
            Timer::Overdue(key) => self.mark_overdue(now_ms, key),
            Timer::Requeue(key) => self.requeue(key),
            Timer::Overrun(key, worker) => self.move_straggler(key, worker),
            Timer::Hedge(key) => self.hedge(now_ms, key),
            Timer::Reopen(worker) => self.workers.refresh(now_ms, worker),
        }
    }

    /// Ends a request that can no longer meet its deadline, unless it is in flight.
    fn expire(&mut self, now_ms: u64, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if matches!(request.phase, Phase::Waiting | Phase::BackingOff) {
            let reason = self.cause_of_wait(request.class, request.organisation);
            let detail = "the deadline can no longer be met";
            self.spill_or_reject(now_ms, key, reason, detail);
        }
    }

    /// Moves a request from the fresh to the overdue ones, or ends it when the overdue requests of
    /// its class leave too little time for it.
    fn mark_overdue(&mut self, now_ms: u64, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if !is_waiting_with_age(&self.requests, key, Age::Fresh) {
            return;
        }
        let (class, organisation) = (request.class, request.organisation);
        let left_ms = request.latest_start_ms.saturating_sub(now_ms);
        let (queue, _) = self.queue_of(class, organisation);
        let ahead = self.classes[queue].overdue.waiting();
        let wait_ms = self.expected_wait_ms(now_ms, class, ahead);
        let wait_ms_max = (left_ms * OVERDUE_WAIT_PERMILLE_MAX / 1_000) as f64;
        if self.config.shedding && wait_ms > wait_ms_max {
            let reason = self.cause_of_wait(class, organisation);
            let detail = "too many requests wait for the time that is left";
            self.spill_or_reject(now_ms, key, reason, detail);
            return;
        }
        self.leave_queue(class, organisation, Age::Fresh);
        self.enqueue(key, Age::Overdue, QueueEnd::Newest);
    }

    fn requeue(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if request.phase == Phase::BackingOff {
            self.enqueue(key, Age::Fresh, QueueEnd::Oldest);
        }
    }

    fn move_straggler(&mut self, key: RequestKey, worker: WorkerKey) {
        let slots = self.allowed_slots();
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let attempt = request.in_flight.iter_mut().find(|a| a.worker == worker);
        if let Some(attempt) = attempt {
            attempt.lane = self.lanes.move_to_stragglers(attempt.lane, slots);
        }
    }

    /// Returns whether a class has reached its limit of attempts in flight from this node.
    pub(crate) fn is_class_at_limit(&self, class: ClassIndex) -> bool {
        let queue = &self.classes[class];
        let limit = queue.spec.in_flight_max;
        queue.in_flight >= self.sharing.allowed(limit, queue.peers, Rounding::Down)
    }

    fn start_waiting(&mut self, now_ms: u64) {
        while self.waiting > 0 {
            let Some(Source {
                queue,
                age,
                partition,
            }) = self.choose_source(now_ms)
            else {
                return;
            };
            let Some(key) = self.find_oldest(queue, age, partition) else {
                return;
            };
            let avoid = self
                .requests
                .get(key)
                .and_then(|request| request.last_worker);
            let Some(worker) = self.workers.choose(&self.config, &mut self.rng, avoid) else {
                return;
            };
            self.classes[queue]
                .partitions_mut(age)
                .take(partition, QueueEnd::Oldest);
            self.start_queued(now_ms, key, worker);
        }
    }

    /// Finds the oldest request of a partition of a queue.
    fn find_oldest(
        &mut self,
        queue: ClassIndex,
        age: Age,
        partition: OrganisationIndex,
    ) -> Option<RequestKey> {
        let requests = &self.requests;
        let partitions = self.classes[queue].partitions_mut(age);
        partitions.peek(partition, QueueEnd::Oldest, |key| {
            is_waiting_with_age(requests, key, age)
        })
    }

    /// Chooses where the next request is taken from; `None` if none may start.
    fn choose_source(&mut self, now_ms: u64) -> Option<Source> {
        let limits = self.slot_limits();
        if !self.config.class_queues {
            let may_start = self.lanes.in_flight() < limits.own;
            let (_, partition) = self.classes.first()?.fresh.first()?;
            return may_start.then_some(Source {
                queue: 0,
                age: Age::Fresh,
                partition,
            });
        }
        let mut best: Option<(Precedence, Source)> = None;
        for class in 0..self.classes.len() {
            let Some(candidate) = self.candidate(now_ms, class, limits) else {
                continue;
            };
            if best.is_none_or(|(other, _)| candidate.0 > other) {
                best = Some(candidate);
            }
        }
        best.map(|(_, source)| source)
    }

    /// Returns what a class would start next, with its place in the order of service; `None` if it
    /// may not start a request.
    fn candidate(
        &mut self,
        now_ms: u64,
        class: ClassIndex,
        limits: SlotLimits,
    ) -> Option<(Precedence, Source)> {
        let (age, partition) = self.find_startable_partition(class)?;
        let queue = &self.classes[class];
        let (lane, urgency) = (queue.lane, queue.spec.urgency);
        let expected_ms = queue.spec.expected_run_ms.max(1);
        let is_urgent = urgency == Urgency::Urgent;
        if self.is_class_at_limit(class)
            || (!is_urgent
                && !self
                    .lanes
                    .has_free_slot(now_ms, &self.config, lane, age, limits))
        {
            return None;
        }
        let tier = match urgency {
            Urgency::Urgent => Tier::Urgent,
            Urgency::Background => Tier::Background,
            Urgency::Normal if self.config.lanes && self.lanes.is_below_floor(lane, limits.own) => {
                Tier::Floor
            }
            Urgency::Normal if age == Age::Fresh => Tier::Fresh,
            Urgency::Normal => Tier::Overdue,
        };
        let oldest = self.find_oldest(class, age, partition)?;
        let offered_ms = self.requests.get(oldest)?.offered_ms;
        let waited_ms = now_ms.saturating_sub(offered_ms);
        let precedence = Precedence {
            tier,
            lane: if self.config.lanes {
                lane.precedence()
            } else {
                0
            },
            relative_wait: waited_ms as f64 / expected_ms as f64,
        };
        let source = Source {
            queue: class,
            age,
            partition,
        };
        Some((precedence, source))
    }

    /// Returns the slot limits of the lanes of this node.
    fn slot_limits(&self) -> SlotLimits {
        let peers_of = |lane| {
            let classes = self.classes.iter().filter(|class| class.lane == lane);
            classes.map(|class| class.peers.in_flight).sum()
        };
        SlotLimits {
            share: self.equal_share(),
            own: self.allowed_slots(),
            all: self.workers.capacity(),
            peers_short: peers_of(Lane::Short),
            peers_long: peers_of(Lane::Long),
        }
    }

    /// Finds the organisation of a class that is served next, and the age of its requests.
    fn find_startable_partition(&self, class: ClassIndex) -> Option<(Age, OrganisationIndex)> {
        [Age::Fresh, Age::Overdue].into_iter().find_map(|age| {
            let (rank, partition) = self.classes[class].partitions(age).first()?;
            (rank.standing != Standing::QuotaUsed).then_some((age, partition))
        })
    }

    /// Starts a request that has been taken from its queue.
    fn start_queued(&mut self, now_ms: u64, key: RequestKey, worker: WorkerKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.phase = Phase::Running;
        let (class, organisation) = (request.class, request.organisation);
        let may_hedge = request.idempotent && request.attempts == 0;
        let is_first = request.attempts == 0;
        self.count_dequeued(organisation);
        self.classes[class].starts.record(now_ms, 1.0);
        if is_first {
            self.organisations[organisation].retries.gain();
            self.node_retries.gain();
            self.hedges.gain();
        }
        if may_hedge && self.config.hedging {
            let delay_ms = self.classes[class].run.p95_ms * HEDGE_FACTOR;
            self.timers
                .push(now_ms + delay_ms as u64, Timer::Hedge(key));
        }
        self.start_attempt(now_ms, key, worker, false);
    }

    /// Sends a hedged attempt of a request that takes long, if a slot is free.
    fn hedge(&mut self, now_ms: u64, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let [first] = request.in_flight[..] else {
            return;
        };
        if request.phase != Phase::Running || !self.hedges.has_token() {
            return;
        }
        let queue = &self.classes[request.class];
        let limits = self.slot_limits();
        if self.is_class_at_limit(request.class)
            || self.rank(request.organisation).standing == Standing::QuotaUsed
            || !self
                .lanes
                .has_free_slot(now_ms, &self.config, queue.lane, Age::Overdue, limits)
        {
            return;
        }
        let chosen = self
            .workers
            .choose(&self.config, &mut self.rng, Some(first.worker));
        if let Some(worker) = chosen.filter(|&worker| worker != first.worker) {
            self.hedges.spend();
            self.start_attempt(now_ms, key, worker, true);
        }
    }

    fn start_attempt(&mut self, now_ms: u64, key: RequestKey, worker: WorkerKey, hedge: bool) {
        let share = self.equal_share();
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let organisation = request.organisation;
        let queue = &mut self.classes[request.class];
        request.attempts += 1;
        request.last_worker = Some(worker);
        request.in_flight.push(InFlight {
            worker,
            started_ms: now_ms,
            lane: queue.lane,
        });
        queue.in_flight += 1;
        self.lanes.enter(now_ms, queue.lane, share);
        if self.config.straggler_lane {
            let overrun_ms = now_ms + OVERRUN_FACTOR * queue.spec.expected_run_ms;
            self.timers.push(overrun_ms, Timer::Overrun(key, worker));
        }
        self.organisations[organisation].in_flight += 1;
        self.workers.start(now_ms, worker);
        self.rerank(organisation);
        self.decided.push(Decision::Start {
            request: key,
            worker,
            hedge,
        });
    }
}
