//! Submission of requests: checks, load shedding and queueing; and their end.

use model::prelude::*;

use crate::core::{Admission, is_waiting_with_age};
use crate::queue::{Age, ClassIndex, OrganisationIndex, QueueEnd, Standing};
use crate::request::{Phase, Request};
use crate::timer::Timer;
use crate::types::{Offer, Rejection, RequestKey};

/// Maximum expected wait of a new request, in permille of the time left to start it.
const WAIT_PERMILLE_MAX: u64 = 500;

/// Minimum share of the node's slots that is assumed for the throughput of a class, in permille.
const LEAST_SLOTS_PERMILLE: u32 = 100;

impl Admission {
    /// Queues a request, or rejects it at once.
    ///
    /// # Errors
    ///
    /// Returns why the request is rejected; it leaves no state behind.
    pub fn offer(&mut self, now_ms: u64, offer: Offer) -> Result<RequestKey, Rejection> {
        self.admit(now_ms, &offer, true)
    }

    /// Queues a request that another data centre has spilled and that is not spilled again, or
    /// rejects it at once.
    ///
    /// # Errors
    ///
    /// Returns why the request is rejected; it leaves no state behind.
    pub fn offer_spilled(&mut self, now_ms: u64, offer: Offer) -> Result<RequestKey, Rejection> {
        self.admit(now_ms, &offer, false)
    }

    fn admit(
        &mut self,
        now_ms: u64,
        offer: &Offer,
        may_spill: bool,
    ) -> Result<RequestKey, Rejection> {
        let (class, organisation) = self.resolve(offer)?;
        let queue = &self.classes[class];
        if offer.deadline_at_ms <= now_ms {
            return Err(permanent_rejection(
                RefusalReason::DeadlinePassed,
                "the deadline is in the past".to_owned(),
            ));
        }
        let run_ms = queue.run.mean_ms.min(queue.spec.expected_run_ms as f64) as u64;
        self.lanes.observe(now_ms, &queue.spec, queue.run.mean_ms);
        let key = self.requests.insert(Request {
            class,
            organisation,
            offered_ms: now_ms,
            latest_start_ms: offer.deadline_at_ms.saturating_sub(run_ms),
            idempotent: offer.idempotent,
            may_spill,
            phase: Phase::Ended,
            age: Age::Fresh,
            attempts: 0,
            last_worker: None,
            in_flight: Vec::new(),
        });
        if let Some((reason, detail)) = self.shed(now_ms, key) {
            return self.spill_or_reject_offered(now_ms, key, reason, detail);
        }
        if self.config.shedding {
            let expire_ms = offer.deadline_at_ms.saturating_sub(run_ms) + 1;
            self.timers.push(expire_ms, Timer::Expire(key));
        }
        if self.config.fresh_first {
            let overdue_ms = now_ms + self.classes[class].overdue_ms();
            self.timers.push(overdue_ms, Timer::Overdue(key));
        }
        self.enqueue(key, Age::Fresh, QueueEnd::Newest);
        Ok(key)
    }

    /// Spills a submitted request, or rejects it at once.
    fn spill_or_reject_offered(
        &mut self,
        now_ms: u64,
        key: RequestKey,
        reason: RefusalReason,
        detail: String,
    ) -> Result<RequestKey, Rejection> {
        let Some(request) = self.requests.get(key) else {
            return Err(permanent_rejection(reason, detail));
        };
        if self.config.spill && request.may_spill {
            self.spill_or_reject(now_ms, key, reason, &detail);
            return Ok(key);
        }
        let class = request.class;
        self.requests.remove(key);
        Err(self.rejection(now_ms, class, reason, detail))
    }

    fn resolve(&self, offer: &Offer) -> Result<(ClassIndex, OrganisationIndex), Rejection> {
        let organisation = self.organisation_by_name.get(&offer.organisation);
        let Some(&organisation) = organisation else {
            let detail = format!("organisation {} is not declared", offer.organisation);
            return Err(permanent_rejection(
                RefusalReason::UnknownOrganisation,
                detail,
            ));
        };
        let Some(&class) = self.class_by_name.get(&offer.class) else {
            let detail = format!("class {} is not declared", offer.class);
            return Err(permanent_rejection(RefusalReason::UnknownClass, detail));
        };
        match self.denial_reason(class, organisation) {
            None => Ok((class, organisation)),
            Some(reason) => {
                let detail = format!(
                    "organisation {} may not submit class {} now",
                    offer.organisation, offer.class
                );
                Err(permanent_rejection(reason, detail))
            }
        }
    }

    /// Checks whether a new request is shed; returns why, or `None` if it is to be queued.
    fn shed(&mut self, now_ms: u64, key: RequestKey) -> Option<(RefusalReason, String)> {
        if !self.config.shedding || !self.config.class_queues {
            return None;
        }
        let request = self.requests.get(key)?;
        let (class, organisation) = (request.class, request.organisation);
        let left_ms = request.latest_start_ms.checked_sub(now_ms);
        let Some(left_ms) = left_ms else {
            let detail = "the deadline is shorter than the run time".to_owned();
            return Some((RefusalReason::DeadlineUnreachable, detail));
        };
        if self.workers.capacity() == 0 {
            return Some((
                RefusalReason::NoWorker,
                "no worker takes new work".to_owned(),
            ));
        }
        let queue = &self.classes[class];
        if queue.waiting() >= queue.spec.queue_max && !self.evict_for(now_ms, class, organisation) {
            let detail = format!(
                "the queue of class {} is full",
                self.classes[class].spec.name
            );
            return Some((RefusalReason::QueueFull, detail));
        }
        let ahead = self.waiting_ahead(class, organisation);
        let wait_ms = self.expected_wait_ms(now_ms, class, ahead);
        if wait_ms > (left_ms * WAIT_PERMILLE_MAX / 1_000) as f64 {
            let reason = self.cause_of_wait(class, organisation);
            let detail = format!("expected wait {wait_ms:.0} ms, {left_ms} ms are left to start");
            return Some((reason, detail));
        }
        None
    }

    /// Estimates the number of fresh requests of the class that are served before a new one of
    /// `organisation`.
    fn waiting_ahead(&self, class: ClassIndex, organisation: OrganisationIndex) -> u32 {
        let queue = &self.classes[class].fresh;
        if !self.config.share_order {
            return queue.waiting();
        }
        let own = queue.waiting_of(organisation);
        if self.rank(organisation).standing != Standing::WithinShare {
            return queue.waiting();
        }
        let sharers = queue
            .in_order()
            .take_while(|(rank, _)| rank.standing == Standing::WithinShare)
            .count();
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX).max(1);
        own.saturating_mul(sharers).min(queue.waiting())
    }

    /// Returns the expected time until `ahead` waiting requests of a class have started, in
    /// milliseconds; a value of `ahead` above the number of waiting requests counts as all of them.
    ///
    /// Idle slots start requests at once. The others start at the recent start rate of the class,
    /// or at the rate at which its attempts in flight end, whichever is higher.
    pub(crate) fn expected_wait_ms(&self, now_ms: u64, class: ClassIndex, ahead: u32) -> f64 {
        let queue = &self.classes[class];
        let slots = self.allowed_slots().max(1);
        let idle = slots.saturating_sub(self.lanes.in_flight());
        let least_slots = match queue.spec.urgency {
            Urgency::Urgent => slots,
            _ => queue.in_flight.max(slots * LEAST_SLOTS_PERMILLE / 1_000),
        };
        let least_per_ms = f64::from(least_slots.max(1)) / queue.run.mean_ms.max(1.0);
        let per_ms = queue.starts.at(now_ms).max(least_per_ms);
        f64::from(ahead.min(queue.waiting()).saturating_sub(idle)) / per_ms
    }

    /// Returns the reason why requests of a class and organisation wait.
    pub(crate) fn cause_of_wait(
        &self,
        class: ClassIndex,
        organisation: OrganisationIndex,
    ) -> RefusalReason {
        if self.workers.capacity() == 0 {
            RefusalReason::NoWorker
        } else if self.rank(organisation).standing == Standing::QuotaUsed {
            RefusalReason::QuotaUsed
        } else if self.is_class_at_limit(class) {
            RefusalReason::ClassLimit
        } else {
            RefusalReason::DeadlineUnreachable
        }
    }

    /// Evicts the newest request of an organisation above its share from a full queue, for a
    /// request of an organisation within its share; returns whether it did.
    fn evict_for(
        &mut self,
        now_ms: u64,
        class: ClassIndex,
        organisation: OrganisationIndex,
    ) -> bool {
        if !self.config.share_order || self.rank(organisation).standing != Standing::WithinShare {
            return false;
        }
        let Some((rank, last)) = self.classes[class].fresh.last() else {
            return false;
        };
        if rank.standing == Standing::WithinShare || last == organisation {
            return false;
        }
        let requests = &self.requests;
        let fresh = &mut self.classes[class].fresh;
        let newest = fresh.peek(last, QueueEnd::Newest, |key| {
            is_waiting_with_age(requests, key, Age::Fresh)
        });
        let Some(key) = newest else {
            return false;
        };
        let detail = "an organisation within its share takes the place in the full queue";
        self.spill_or_reject(now_ms, key, RefusalReason::QueueFull, detail);
        true
    }

    /// Records that the request has its outcome, and ends it.
    pub fn finish(&mut self, now_ms: u64, request: RequestKey) {
        self.end_request(now_ms, request);
    }

    /// Records that the caller of a request has disconnected, and ends it.
    pub fn withdraw(&mut self, now_ms: u64, request: RequestKey) {
        self.end_request(now_ms, request);
    }

    fn end_request(&mut self, _now_ms: u64, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let was_waiting = request.phase == Phase::Waiting;
        let (class, organisation, age) = (request.class, request.organisation, request.age);
        request.phase = Phase::Finished;
        if request.in_flight.is_empty() {
            self.requests.remove(key);
        }
        if was_waiting {
            self.leave_queue(class, organisation, age);
        }
    }
}

/// Builds a rejection without a retry delay, because a retry cannot succeed.
fn permanent_rejection(reason: RefusalReason, detail: String) -> Rejection {
    Rejection {
        reason,
        detail,
        retry_after_ms: None,
    }
}
