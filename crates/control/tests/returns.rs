//! When callers that are refused in an outage come back.
//!
//! Guards against a second outage right after the first: all callers come back at once, the store turns most of them
//! away, and urgent work waits behind large work.

use control::returns::{Refused, Returns, acceptances_per_s};
use rstest::rstest;

/// How many returns the node can accept in a second, in these tests.
const PER_S: u64 = 8;

fn urgent() -> Refused {
    Refused {
        urgent: true,
        work_ms: 5_000,
        deadline_ms: 3_000,
    }
}

fn large() -> Refused {
    Refused {
        urgent: false,
        work_ms: 90_000,
        ..urgent()
    }
}

fn small() -> Refused {
    Refused {
        work_ms: 100,
        ..large()
    }
}

#[rstest]
#[case::unknown_rate(0, 31, None)]
#[case::small_deployment(400, 7, Some(28))]
#[case::many_nodes(400, 300, Some(1))]
#[case::one_node(400, 0, Some(200))]
fn acceptances_per_s_shares_the_store(
    #[case] writes_per_s: u64,
    #[case] nodes: u64,
    #[case] per_s: Option<u64>,
) {
    assert_eq!(acceptances_per_s(writes_per_s, nodes), per_s);
}

#[test]
fn choose_retry_after_s_is_shortest_for_few_callers() {
    let mut returns = Returns::default();
    for at in 0..4 {
        assert_eq!(returns.choose_retry_after_s(large(), PER_S, 500 + at), 1);
    }
}

/// A burst of large work fills half of each second. What comes after it, urgent work, finds room in the first one.
#[test]
fn choose_retry_after_s_lets_urgent_and_small_work_return_first() {
    let mut returns = Returns::default();
    let choose = |returns: &mut Returns, call| returns.choose_retry_after_s(call, PER_S, 10_000);
    let spread: Vec<u64> = (0..12).map(|_| choose(&mut returns, large())).collect();
    assert_eq!(spread, [1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 3, 3]);
    let spread: Vec<u64> = (0..6).map(|_| choose(&mut returns, small())).collect();
    assert_eq!(spread, [1, 1, 2, 2, 3, 3]);
    let spread: Vec<u64> = (0..6).map(|_| choose(&mut returns, urgent())).collect();
    assert_eq!(spread, [1, 1, 2, 2, 3, 3]);
}

/// More callers than the seconds up to their deadline can take are spread evenly.
#[test]
fn choose_retry_after_s_spreads_evenly_beyond_capacity() {
    let mut returns = Returns::default();
    let mut counts = [0u64; 4];
    for _ in 0..90 {
        let after_s = returns.choose_retry_after_s(urgent(), PER_S, 10_000);
        counts[after_s as usize] += 1;
    }
    assert_eq!(counts, [0, 30, 30, 30]);
}

#[rstest]
#[case::shorter_than_a_second(400, 1)]
#[case::two_seconds(2_999, 2)]
#[case::highest(u64::MAX, 60)]
fn choose_retry_after_s_is_not_beyond_deadline(#[case] deadline_ms: u64, #[case] latest_s: u64) {
    let mut returns = Returns::default();
    let call = Refused {
        deadline_ms,
        ..large()
    };
    let last = (0..1_000).map(|_| returns.choose_retry_after_s(call, PER_S, 10_000));
    assert_eq!(last.max(), Some(latest_s));
}

/// Callers of the previous second have come back by now, so their places are free again.
#[rstest]
#[case::next_second(11_000, 3)]
#[case::after_the_last_return(20_000, 1)]
#[case::clock_at_its_end(u64::MAX, 1)]
fn choose_retry_after_s_forgets_past_returns(#[case] now_ms: u64, #[case] after_s: u64) {
    let mut returns = Returns::default();
    for _ in 0..12 {
        returns.choose_retry_after_s(large(), PER_S, 10_000);
    }
    assert_eq!(
        returns.choose_retry_after_s(large(), PER_S, now_ms),
        after_s
    );
}
