//! Token bucket that limits bytes per second.

/// Capacity of the bucket, in seconds of its rate.
const BURST_S: u64 = 5;

/// Milliseconds per second.
const MS_PER_S: u64 = 1_000;

/// A token bucket of bytes.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    bytes_per_s: u64,
    available_bytes: u64,
    refilled_at_ms: u64,
}

impl ByteBudget {
    /// Creates a full bucket that refills at `bytes_per_s`.
    pub(crate) const fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s,
            available_bytes: bytes_per_s * BURST_S,
            refilled_at_ms: 0,
        }
    }

    /// Takes `bytes`; `false` if the bucket holds fewer.
    pub(crate) fn take(&mut self, now_ms: u64, bytes: u64) -> bool {
        let passed_ms = now_ms
            .saturating_sub(self.refilled_at_ms)
            .min(BURST_S * MS_PER_S);
        let refill_bytes = passed_ms * self.bytes_per_s / MS_PER_S;
        if refill_bytes > 0 {
            self.refilled_at_ms = now_ms;
            let capacity_bytes = self.bytes_per_s * BURST_S;
            self.available_bytes = (self.available_bytes + refill_bytes).min(capacity_bytes);
        }
        let is_enough = self.available_bytes >= bytes;
        if is_enough {
            self.available_bytes -= bytes;
        }
        is_enough
    }
}
