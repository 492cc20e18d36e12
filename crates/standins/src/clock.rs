//! Clock that all parts of a site share.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Clock that counts milliseconds since the start of a site.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    start_unix_ms: u64,
}

impl Clock {
    /// Creates a clock that starts now.
    pub(crate) fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let start_unix_ms = since_epoch.unwrap_or_default().as_millis();
        Self {
            start: Instant::now(),
            start_unix_ms: u64::try_from(start_unix_ms).unwrap_or(u64::MAX),
        }
    }

    /// Returns the time since the Unix epoch, in milliseconds.
    pub(crate) fn unix_ms(self) -> u64 {
        self.start_unix_ms + self.now_ms()
    }

    /// Returns the time since the start, in milliseconds.
    pub(crate) fn now_ms(self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
