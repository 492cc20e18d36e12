//! Settings of the gang state machine.

use serde::{Deserialize, Serialize};

/// Durations and limits of the gang state machine, in milliseconds unless stated otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GangConfig {
    /// Longest time for which a part of a gang may run without the rest.
    pub lease_ms: u64,
    /// Interval between two renewals of a gang.
    pub renew_ms: u64,
    /// Timeout of a call to a worker.
    pub call_timeout_ms: u64,
    /// Number of retries of a refused or failed step before the start of a gang fails.
    pub start_retries: u32,
    /// Initial retry backoff; it doubles with each retry.
    pub backoff_ms: u64,
    /// Longest retry backoff.
    pub backoff_ms_max: u64,
}

impl Default for GangConfig {
    fn default() -> Self {
        Self {
            lease_ms: 20_000,
            renew_ms: 3_000,
            call_timeout_ms: 1_500,
            start_retries: 4,
            backoff_ms: 100,
            backoff_ms_max: 1_000,
        }
    }
}

impl GangConfig {
    /// Returns the largest age of the other members' last confirmations that still allows a
    /// renewal.
    pub const fn confirmation_max_age_ms(&self) -> u64 {
        2 * self.renew_ms
    }

    /// Returns the lease duration that workers are asked for.
    ///
    /// A member is renewed only while all others were confirmed within
    /// [`GangConfig::confirmation_max_age_ms`], and the renewal may arrive up to one call timeout
    /// later. Subtracting both from `lease_ms` guarantees that a member which nothing reaches any
    /// more ends within `lease_ms` after the last confirmation of the others.
    pub const fn grant_ms(&self) -> u64 {
        let slack_ms = self.confirmation_max_age_ms() + self.call_timeout_ms;
        let grant_ms = self.lease_ms.saturating_sub(slack_ms);
        if grant_ms == 0 { 1 } else { grant_ms }
    }
}
