//! Clock of a node, in milliseconds since the Unix epoch; it never goes backwards.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Reads the wall clock once, then advances with the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    start_ms: u64,
}

impl Clock {
    /// Creates a clock that starts at the current wall-clock time.
    pub(crate) fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            start_ms: as_ms(since_epoch),
        }
    }

    /// Returns the current time, in milliseconds since the Unix epoch.
    pub(crate) fn now_ms(&self) -> u64 {
        self.start_ms + as_ms(self.start.elapsed())
    }
}

/// Converts a duration to whole milliseconds.
fn as_ms(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
