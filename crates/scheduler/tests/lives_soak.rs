//! Randomised days on which workers restart, leave, are cut off and are named wrongly, calls and answers are late or
//! lost, and planners change.
//!
//! Guards against a task that runs twice, is started after it was done, or is forgotten.

mod support;

use rstest::rstest;
use scheduler::JobState;
use support::lives_play::Play;

/// Seeds of the soak; `HEMLOCK_SEEDS` sets another number.
const SOAK_SEEDS: u64 = 40;

/// How long disturbances go on.
const DISTURBED_MS: u64 = 60_000;

/// Enough for all leases to end and all tasks to run after that.
const CALM_MS: u64 = 120_000;

/// `max_listed_ends` bounds the ended runs that a worker lists at a time; none leaves it at the platform's.
fn soak(seed: u64, max_listed_ends: Option<usize>) {
    let mut play = Play::new(seed, 6);
    for worker in &mut play.site.workers {
        worker.max_listed_ends = max_listed_ends.unwrap_or(worker.max_listed_ends);
    }
    play.disturb(DISTURBED_MS);
    play.calm_down(CALM_MS);
    assert_eq!(play.violations, Vec::<String>::new(), "seed {seed}");
    for stored in &play.site.stored {
        let state = play.site.state(stored.id);
        // A task whose workers crash again and again is given up.
        assert!(
            matches!(state, JobState::Completed | JobState::Failed),
            "seed {seed}: job {} is {state:?}",
            stored.id
        );
    }
}

/// Plays all seeds; `max_listed_ends` is that of [`soak`].
#[rstest]
#[case::all_ends_listed(None)]
#[case::two_ends_listed(Some(2))]
#[case::one_end_listed(Some(1))]
fn soak_with_lives_that_end_and_lists_that_lie(#[case] max_listed_ends: Option<usize>) {
    let seeds = std::env::var("HEMLOCK_SEEDS").map_or(SOAK_SEEDS, |n| n.parse().unwrap());
    for seed in 0..seeds {
        soak(seed, max_listed_ends);
    }
}
