//! How many workers a query names, how long its answer may take, and which step is asked about first. Pure functions of
//! the figures of a queue and of times in milliseconds.

use crate::configuration::Advice;

/// The platform lets a job have nothing running for this long while there is room for it.
const LONGEST_IDLE_MS: u64 = 3_000;

/// The part of it that is left for storing an assignment and delivering the start.
const START_MS: u64 = 500;

/// The longest query that others may have to wait for: a job waits for one in front of its own at most, and both end in
/// time for the start.
pub(crate) const LONGEST_SHORT_QUERY_MS: u64 = (LONGEST_IDLE_MS - START_MS) / 2;

/// The most workers that the platform takes in one query.
pub(crate) const MAX_WORKERS_PER_QUERY: usize = 100;

/// How much longer a query may become by naming workers that are probably not needed: less than a planning pass waits.
const EXTRA_MS: u64 = 25;

/// How many times as many workers are asked about, after only forbidden ones, as their share alone suggests.
const SEARCH_FACTOR: usize = 4;

/// How much longer than expected an answer takes if the service is not in trouble.
const DELAY_MS: u64 = 400;

/// How much longer than twice the expected time the next query of the same VM waits for an answer.
const LAPSE_MARGIN_MS: u64 = 1_000;

/// How many times as long as expected an answer is waited for, and the shortest and longest such time. The service decides
/// on a query although another has followed it, and its answer holds.
const TIMEOUT_FACTOR: u64 = 8;
const MIN_TIMEOUT_MS: u64 = 60_000;
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// A ticket that expires sooner than this is not used, since the assignment has to be stored and sent first.
const TICKET_MARGIN_MS: u64 = 250;

/// Work of priority 0 is asked about as if it had waited for this much longer.
const URGENT_LEAD_MS: u64 = 3_000;

/// Work of a job of which a part runs is asked about as if it had waited for this much less.
const RUNNING_DELAY_MS: u64 = 3_000;

/// Returns how many workers the service decides on in `left_ms`.
fn workers_within(advice: &Advice, left_ms: u64) -> usize {
    let count = left_ms.checked_div(advice.each_worker_ms);
    count
        .and_then(|count| usize::try_from(count).ok())
        .map_or(MAX_WORKERS_PER_QUERY, |count| {
            count.min(MAX_WORKERS_PER_QUERY)
        })
}

/// Returns the most workers of a query that others may have to wait for; at least one. If the decision alone takes as
/// long, the workers may take half as long again, or few would be asked about in all.
pub(crate) fn most_workers(advice: &Advice) -> usize {
    let left_ms = LONGEST_SHORT_QUERY_MS
        .saturating_sub(advice.decide_ms)
        .max(advice.decide_ms / 2);
    workers_within(advice, left_ms).max(1)
}

/// Returns how many workers one query names of `count`, which `vms` VMs can ask about at the same time. Fewer than
/// take half as long as the decision are not split further.
pub(crate) fn query_size(advice: &Advice, count: usize, vms: usize) -> usize {
    let most = most_workers(advice);
    let least = workers_within(advice, advice.decide_ms / 2).clamp(1, most);
    count.div_ceil(vms.max(1)).clamp(least, most).min(count)
}

/// Returns how many workers that are probably not needed can be named along with `named` others at almost no cost.
pub(crate) fn extra_workers(advice: &Advice, named: usize) -> usize {
    workers_within(advice, EXTRA_MS.max(advice.decide_ms / 4))
        .saturating_sub(named)
        .min(MAX_WORKERS_PER_QUERY.saturating_sub(named))
}

/// Returns whether others wait for a query for longer than they should.
pub(crate) fn is_long(expected_ms: u64) -> bool {
    expected_ms > LONGEST_SHORT_QUERY_MS
}

/// Returns whether the tickets of the first of several queries about `count` workers, as short as they should be, still
/// hold when the last one is answered.
pub(crate) fn holds_until_last(advice: &Advice, count: usize, vms: usize) -> bool {
    let most = most_workers(advice);
    let rounds = count.div_ceil(most.saturating_mul(vms.max(1)));
    let took_ms = advice.query_ms(most).saturating_mul(rounds as u64);
    took_ms <= usable_ms(advice.valid_ms)
}

/// Returns how many workers to ask about to find `lacking` allowed ones, by what is known of others.
pub(crate) fn workers_to_ask(lacking: usize, allowed: usize, forbidden: usize) -> usize {
    match (allowed, forbidden) {
        (_, 0) => lacking,
        (0, _) => lacking.saturating_mul(1 + SEARCH_FACTOR * forbidden),
        _ => lacking
            .saturating_mul(allowed + forbidden)
            .div_ceil(allowed),
    }
}

/// Returns for how long a ticket is used that is valid for `valid_ms`.
pub(crate) fn usable_ms(valid_ms: u64) -> u64 {
    valid_ms - TICKET_MARGIN_MS.min(valid_ms / 2)
}

/// Returns when a query sent at `sent_ms` counts as overdue, so that another VM asks about the same workers; of late,
/// answers came `delay_ms` later than expected.
pub(crate) fn overdue_ms(sent_ms: u64, expected_ms: u64, delay_ms: u64) -> u64 {
    sent_ms
        .saturating_add(expected_ms)
        .saturating_add(delay_ms)
        .saturating_add(DELAY_MS)
}

/// Returns how long after a query its VM sends another, if there is no answer: the connection may be dead, or the service
/// slower than its figures say. The time grows while there are no answers.
pub(crate) fn lapse_ms(expected_ms: u64, delay_ms: u64, unanswered: u32) -> u64 {
    let first_ms = expected_ms
        .saturating_mul(2)
        .saturating_add(delay_ms)
        .saturating_add(LAPSE_MARGIN_MS);
    first_ms.saturating_mul(1 << (unanswered / 2).min(16))
}

/// Returns how long an answer is waited for.
pub(crate) fn timeout_ms(expected_ms: u64) -> u64 {
    expected_ms
        .saturating_mul(TIMEOUT_FACTOR)
        .clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
}

/// The place of a step among those that wait for queries. The lowest is first.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueryTurn {
    /// Since when the step has waited, or from when on it will.
    pub since_ms: u64,
    /// Expected time of the queries that were sent for it while it waited.
    pub asked_ms: u64,
    /// Whether its queue has priority 0.
    pub is_urgent: bool,
    /// Whether nothing of its job runs, or its tasks count each by itself.
    pub is_idle: bool,
}

impl QueryTurn {
    /// Returns its key in the order of turns if `vms` VMs can ask. A step that has had much of the service's time goes
    /// behind others, so that one with many workers to ask about uses half of it while others wait.
    pub fn key(&self, vms: usize) -> u64 {
        let used_ms = self.asked_ms.saturating_mul(2) / vms.max(1) as u64;
        let late_ms = match self.is_idle {
            true => 0,
            false => RUNNING_DELAY_MS,
        };
        let early_ms = match self.is_urgent {
            true => URGENT_LEAD_MS,
            false => 0,
        };
        self.since_ms
            .saturating_add(used_ms)
            .saturating_add(late_ms)
            .saturating_sub(early_ms)
    }
}
