//! How often workers are asked again that list ended runs that are not stored.
//!
//! Guards against LOST: a task is done in an outage of the store, on a worker that loses power before it is asked again,
//! so that nobody has heard of that end.

use control::polling::{
    MAX_CALLS_PER_S, MAX_LISTEN_CALLS_PER_S, MAX_PAUSE_MS, listen_pause_ms, poll_pause_ms,
};
use rstest::rstest;

#[rstest]
#[case::none(0, 40)]
#[case::few(8, 40)]
#[case::as_many_as_the_bound_allows(20, 40)]
#[case::whole_small_deployment(48, 96)]
#[case::hundreds(540, 300)]
fn poll_pause_ms_grows_with_workers(#[case] workers: usize, #[case] pause_ms: u64) {
    assert_eq!(poll_pause_ms(workers), pause_ms);
}

#[rstest]
#[case::few(8, 40)]
#[case::hundreds(540, 270)]
fn listen_pause_ms_grows_with_workers(#[case] workers: usize, #[case] pause_ms: u64) {
    assert_eq!(listen_pause_ms(workers), pause_ms);
}

/// Up to the number of workers from which on each is asked as often as at the longest pause.
#[test]
fn poll_pause_ms_keeps_calls_within_bound() {
    let bounded = (MAX_PAUSE_MS * MAX_CALLS_PER_S / 1_000) as usize;
    for workers in 1..=bounded {
        let calls_per_s = workers as u64 * 1_000 / poll_pause_ms(workers);
        assert!(calls_per_s <= MAX_CALLS_PER_S + workers as u64, "{workers}");
    }
    assert!(10_000 * 1_000 / listen_pause_ms(10_000) <= MAX_LISTEN_CALLS_PER_S);
}
