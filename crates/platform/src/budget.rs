//! Rate limits and backoff for the calls of one entry node to the key-value service.
//!
//! The service bills each call and accepts a limited rate from the whole deployment, so every
//! node gets a share of that rate. Reads and writes each have a token bucket, part of which is
//! reserved for calls of higher priority. After a failure, calls stop for a random backoff that
//! grows with each further failure; then a single call probes the service. After the outage the
//! rate grows from a tenth to the full rate over [`RAMP_MS`], so that the nodes do not all resume
//! at once.

use rand::{Rng, RngExt};
use strum::{Display, EnumIter};

/// Time after an outage until the full rate is allowed again, in milliseconds.
pub const RAMP_MS: u64 = 5_000;

/// Share of the rate that is allowed right after an outage, in thousandths.
const RAMP_PERMILLE_MIN: u64 = 100;

/// Upper bound of the backoff after the first failure, in milliseconds.
const BACKOFF_MS_FIRST: u64 = 200;

/// Upper bound of any backoff, in milliseconds.
const BACKOFF_MS_MAX: u64 = 3_000;

/// Largest number of times that the first bound is doubled.
const DOUBLINGS_MAX: u32 = 4;

/// Time after which a probe without a result no longer blocks other calls, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 3_000;

/// Units of a bucket level per token.
///
/// With thousandths of a token, a rate per second equals the refill per millisecond.
const MILLITOKENS_PER_TOKEN: u64 = 1_000;

/// Kind of a call to the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// Reads one key.
    Get,
    /// Reads the keys with a prefix.
    List,
    /// Writes or deletes one key.
    Swap,
    /// Waits for changes; counts as one read.
    Watch,
    /// Creates a lease; counts as a write.
    GrantLease,
    /// Extends a lease; counts as a write.
    RenewLease,
}

impl CallKind {
    /// Number of kinds.
    pub const COUNT: usize = 6;

    /// Returns whether it counts as a write.
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Swap | Self::GrantLease | Self::RenewLease)
    }
}

/// Purpose of a call. Calls of higher priority may use tokens that are reserved from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// Reads and writes of the operators' declarations.
    Declarations,
    /// Reads and writes of the records of accepted jobs.
    JobRecords,
    /// All other calls.
    Rest,
}

impl Priority {
    /// Returns the share of a full bucket that is reserved for calls of higher priority, in
    /// thousandths.
    const fn reserve_permille(self) -> u64 {
        match self {
            Self::Declarations => 0,
            Self::JobRecords => 250,
            Self::Rest => 500,
        }
    }
}

/// Rates that one node may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Reads per second.
    pub reads_per_second: u32,
    /// Writes per second.
    pub writes_per_second: u32,
    /// Bucket capacity, as the time in which an empty bucket fills, in milliseconds.
    pub burst_ms: u32,
}

impl BudgetLimits {
    /// Returns the share of one node when `nodes` nodes split the given rates evenly; at least 1
    /// per second.
    pub fn share_of(reads_per_second: u32, writes_per_second: u32, nodes: u32) -> Self {
        let nodes = nodes.max(1);
        Self {
            reads_per_second: (reads_per_second / nodes).max(1),
            writes_per_second: (writes_per_second / nodes).max(1),
            burst_ms: 2_000,
        }
    }
}

/// Whether a call may be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetDecision {
    /// The call may be made.
    Proceed,
    /// No token is available to a call of this priority.
    Wait {
        /// Time until a token is expected, in milliseconds.
        wait_ms: u64,
    },
    /// The service has failed, and the backoff has not passed or a probe is in flight.
    BackOff {
        /// Time until the next attempt, in milliseconds.
        wait_ms: u64,
    },
}

/// Token bucket for reads or for writes; levels are in units of 1/[`MILLITOKENS_PER_TOKEN`] token.
#[derive(Debug)]
struct Bucket {
    per_second: u64,
    burst_ms: u64,
    level: u64,
    refilled_ms: u64,
}

impl Bucket {
    /// Creates a full bucket.
    fn new(now_ms: u64, per_second: u32, burst_ms: u32) -> Self {
        let mut bucket = Self {
            per_second: u64::from(per_second),
            burst_ms: u64::from(burst_ms),
            level: 0,
            refilled_ms: now_ms,
        };
        bucket.level = bucket.capacity();
        bucket
    }

    /// Returns the largest level of the bucket; at least two tokens.
    fn capacity(&self) -> u64 {
        (self.per_second * self.burst_ms).max(2 * MILLITOKENS_PER_TOKEN)
    }

    /// Adds the tokens for the time since the last refill.
    fn refill(&mut self, now_ms: u64, rate_permille: u64) {
        let passed_ms = now_ms.saturating_sub(self.refilled_ms);
        let added = passed_ms * self.per_second * rate_permille / 1_000;
        self.level = (self.level + added).min(self.capacity());
        self.refilled_ms = now_ms;
    }

    /// Takes a token. Fails with the time to wait, in milliseconds, when the remaining tokens are
    /// reserved for calls of higher priority.
    fn try_take(&mut self, priority: Priority, rate_permille: u64) -> Result<(), u64> {
        let reserved = self.capacity() * priority.reserve_permille() / 1_000;
        let needed = reserved.min(self.capacity() - MILLITOKENS_PER_TOKEN) + MILLITOKENS_PER_TOKEN;
        if self.level >= needed {
            self.level -= MILLITOKENS_PER_TOKEN;
            return Ok(());
        }
        let per_ms = (self.per_second * rate_permille / 1_000).max(1);
        Err((needed - self.level).div_ceil(per_ms))
    }

    /// Discards the tokens that accumulated during an outage, except one.
    fn discard_accumulated(&mut self, now_ms: u64) {
        self.level = self.level.min(MILLITOKENS_PER_TOKEN);
        self.refilled_ms = now_ms;
    }
}

/// Last known state of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// The service has worked since `since_ms`.
    Up { since_ms: u64 },
    /// The service has failed. No call is made before `until_ms`; then a single call
    /// probes, sent at `probe_ms`.
    Down {
        failures: u32,
        until_ms: u64,
        probe_ms: Option<u64>,
    },
}

/// Call counts of one node; arrays are indexed by [`CallKind`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls in the last complete second.
    pub last_second: [u64; CallKind::COUNT],
    /// Calls since the start.
    pub total: [u64; CallKind::COUNT],
    /// Number of times that no token was available.
    pub waits: u64,
    /// Number of times that a call was refused because of a backoff.
    pub back_offs: u64,
}

/// Call budget of one node, driven by the caller's clock.
#[derive(Debug)]
pub struct CallBudget {
    reads: Bucket,
    writes: Bucket,
    health: Health,
    counts: CallCounts,
    second: u64,
    this_second: [u64; CallKind::COUNT],
}

impl CallBudget {
    /// Creates a budget with full buckets; the service is assumed to work.
    pub fn new(now_ms: u64, limits: BudgetLimits) -> Self {
        let BudgetLimits {
            reads_per_second,
            writes_per_second,
            burst_ms,
        } = limits;
        Self {
            reads: Bucket::new(now_ms, reads_per_second, burst_ms),
            writes: Bucket::new(now_ms, writes_per_second, burst_ms),
            health: Health::Up {
                since_ms: now_ms.saturating_sub(RAMP_MS),
            },
            counts: CallCounts::default(),
            second: now_ms / 1_000,
            this_second: [0; CallKind::COUNT],
        }
    }

    /// Decides whether a call may be made; [`BudgetDecision::Proceed`] takes a token and counts
    /// the call.
    pub fn try_acquire(
        &mut self,
        now_ms: u64,
        kind: CallKind,
        priority: Priority,
    ) -> BudgetDecision {
        if let Err(wait_ms) = self.check_health(now_ms) {
            self.counts.back_offs += 1;
            return BudgetDecision::BackOff { wait_ms };
        }
        let rate_permille = self.rate_permille(now_ms);
        let bucket = if kind.is_write() {
            &mut self.writes
        } else {
            &mut self.reads
        };
        bucket.refill(now_ms, rate_permille);
        if let Err(wait_ms) = bucket.try_take(priority, rate_permille) {
            self.counts.waits += 1;
            return BudgetDecision::Wait { wait_ms };
        }
        if let Health::Down { probe_ms, .. } = &mut self.health {
            *probe_ms = Some(now_ms);
        }
        self.count_call(now_ms, kind);
        BudgetDecision::Proceed
    }

    /// Checks that no backoff or probe blocks the call; fails with the time to wait.
    fn check_health(&self, now_ms: u64) -> Result<(), u64> {
        let Health::Down {
            until_ms, probe_ms, ..
        } = self.health
        else {
            return Ok(());
        };
        let probe_until_ms = probe_ms.map_or(0, |at_ms| at_ms + PROBE_TIMEOUT_MS);
        let wait_ms = until_ms.max(probe_until_ms).saturating_sub(now_ms);
        if wait_ms == 0 { Ok(()) } else { Err(wait_ms) }
    }

    /// Returns the share of the full rate that is allowed now, in thousandths.
    fn rate_permille(&self, now_ms: u64) -> u64 {
        match self.health {
            Health::Up { since_ms } => {
                let ramped = now_ms.saturating_sub(since_ms) * 1_000 / RAMP_MS;
                ramped.clamp(RAMP_PERMILLE_MIN, 1_000)
            }
            Health::Down { .. } => RAMP_PERMILLE_MIN,
        }
    }

    /// Counts a call.
    fn count_call(&mut self, now_ms: u64, kind: CallKind) {
        self.roll_second(now_ms);
        self.counts.total[kind as usize] += 1;
        self.this_second[kind as usize] += 1;
    }

    /// Closes the counts of the current second once it has passed.
    fn roll_second(&mut self, now_ms: u64) {
        let second = now_ms / 1_000;
        if second == self.second {
            return;
        }
        let completed = std::mem::take(&mut self.this_second);
        let is_next = second == self.second + 1;
        self.counts.last_second = if is_next {
            completed
        } else {
            Default::default()
        };
        self.second = second;
    }

    /// Records that the service replied; ends an outage and starts the ramp.
    pub fn record_success(&mut self, now_ms: u64) {
        if let Health::Down { .. } = self.health {
            self.reads.discard_accumulated(now_ms);
            self.writes.discard_accumulated(now_ms);
            self.health = Health::Up { since_ms: now_ms };
        }
    }

    /// Records that a call failed and starts a backoff of random length.
    ///
    /// Failures of calls that were in flight when the backoff began do not extend it.
    pub fn record_failure(&mut self, now_ms: u64, random: &mut impl Rng) {
        let failures = match self.health {
            Health::Up { .. } => 0,
            Health::Down { until_ms, .. } if now_ms < until_ms => return,
            Health::Down { failures, .. } => failures + 1,
        };
        let bound_ms = (BACKOFF_MS_FIRST << failures.min(DOUBLINGS_MAX)).min(BACKOFF_MS_MAX);
        let backoff_ms = random.random_range(bound_ms / 2..=bound_ms);
        self.health = Health::Down {
            failures,
            until_ms: now_ms + backoff_ms,
            probe_ms: None,
        };
    }

    /// Returns whether the service is assumed to work.
    pub const fn is_up(&self) -> bool {
        matches!(self.health, Health::Up { .. })
    }

    /// Returns the call counts up to `now_ms`.
    pub fn counts(&mut self, now_ms: u64) -> CallCounts {
        self.roll_second(now_ms);
        self.counts
    }
}
