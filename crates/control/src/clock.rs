//! Clocks: a monotonic one that keeps counting while the VM is suspended, and the time of day.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since the VM booted, including time in suspension. Leases are measured on this clock.
pub(crate) fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}

/// Returns the time of day in Unix milliseconds; 0 if the clock is set before 1970.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
