//! How often workers are asked again while they list ended runs that are not stored, and so answer at once. Takes the
//! number of such workers, returns a delay.

/// The shortest delay before the next call to one worker. A worker that leaves, or loses power, is not heard in between.
pub const MIN_PAUSE_MS: u64 = 40;

/// The longest delay before the next call of a planner, however many workers list such ends: with hundreds of them each is
/// still asked three times a second.
pub const MAX_PAUSE_MS: u64 = 300;

/// The most calls per second of a planner to all workers that list such ends: a quarter of those of a node that no longer
/// plans, because planning needs the processor too.
pub const MAX_CALLS_PER_S: u64 = 500;

/// The most such calls per second of a node that no longer plans, so that a node on a small VM keeps up.
pub const MAX_LISTEN_CALLS_PER_S: u64 = 2_000;

/// Returns the delay of a planner between two calls to each of `workers` that list such ends.
pub fn poll_pause_ms(workers: usize) -> u64 {
    pause_ms(workers, MAX_CALLS_PER_S).min(MAX_PAUSE_MS)
}

/// Returns the delay of a node that no longer plans between two calls to each of `workers` that list such ends.
pub fn listen_pause_ms(workers: usize) -> u64 {
    pause_ms(workers, MAX_LISTEN_CALLS_PER_S)
}

fn pause_ms(workers: usize, max_calls_per_s: u64) -> u64 {
    (workers as u64 * 1_000 / max_calls_per_s).max(MIN_PAUSE_MS)
}
