//! Compares retry policies by the calls that the store receives from nine nodes around an outage.
//!
//! Every node makes as many reads as its policy allows. For each policy, prints the number of
//! calls during the outage, the largest number in any 100 ms of the outage and of the ten seconds
//! after it, and the time after the outage until the call rate reaches nine tenths of the full
//! rate (-1 if it does not).

use platform::budget::{BudgetDecision, BudgetLimits, CallBudget, CallKind, Priority};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const NODES: u64 = 9;
const READS_PER_SECOND: u32 = 2_000;
const DOWN_MS: u64 = 5_000;
const UP_MS: u64 = 65_000;
const END_MS: u64 = 85_000;
const WINDOW_MS: u64 = 100;
const RETRY_MS: u64 = 1_000;
const WAITING_CALLS: u64 = 100;

/// Retry policy of one node.
trait RetryPolicy {
    /// Returns the number of calls that the node makes at `now_ms`.
    fn calls(&mut self, now_ms: u64, is_down: bool) -> u64;
}

/// Retries all waiting calls together after a pause: fixed, or doubled with each failure if `grows`
/// is set, and randomised if there is a `jitter`.
struct RetryAfterPause {
    next_ms: u64,
    failures: u32,
    grows: bool,
    jitter: Option<Pcg64Mcg>,
    budget: CallBudget,
}

impl RetryAfterPause {
    /// Returns the pause after a failure, in milliseconds.
    fn pause_ms(&mut self) -> u64 {
        let doublings = if self.grows { self.failures.min(3) } else { 0 };
        let bound_ms = RETRY_MS << doublings;
        match &mut self.jitter {
            Some(random) => random.random_range(bound_ms / 2..=bound_ms),
            None => bound_ms,
        }
    }
}

impl RetryPolicy for RetryAfterPause {
    fn calls(&mut self, now_ms: u64, is_down: bool) -> u64 {
        if now_ms < self.next_ms {
            return 0;
        }
        if is_down {
            self.next_ms = now_ms + self.pause_ms();
            self.failures += 1;
            return WAITING_CALLS;
        }
        let burst = if self.failures > 0 { WAITING_CALLS } else { 0 };
        self.failures = 0;
        burst
            + u64::from(
                self.budget
                    .try_acquire(now_ms, CallKind::Get, Priority::Rest)
                    == BudgetDecision::Proceed,
            )
    }
}

/// Makes the calls that a [`CallBudget`] allows.
struct RetryByBudget(CallBudget, Pcg64Mcg);

impl RetryPolicy for RetryByBudget {
    fn calls(&mut self, now_ms: u64, is_down: bool) -> u64 {
        if self.0.try_acquire(now_ms, CallKind::Get, Priority::Rest) != BudgetDecision::Proceed {
            return 0;
        }
        if is_down {
            self.0.record_failure(now_ms, &mut self.1);
        } else {
            self.0.record_success(now_ms);
        }
        1
    }
}

/// Simulates the nodes; returns the number of calls of all nodes in each window of [`WINDOW_MS`].
fn simulate(nodes: &mut [impl RetryPolicy]) -> Vec<u64> {
    let mut windows = vec![0; (END_MS / WINDOW_MS) as usize];
    for now_ms in 0..END_MS {
        let is_down = (DOWN_MS..UP_MS).contains(&now_ms);
        for node in nodes.iter_mut() {
            windows[(now_ms / WINDOW_MS) as usize] += node.calls(now_ms, is_down);
        }
    }
    windows
}

/// Prints the results of one policy.
fn print_results(name: &str, windows: &[u64]) {
    let index = |ms: u64| (ms / WINDOW_MS) as usize;
    let outage = &windows[index(DOWN_MS)..index(UP_MS)];
    let after = &windows[index(UP_MS)..index(UP_MS + 10_000)];
    let full_rate = u64::from(READS_PER_SECOND) * WINDOW_MS / 1_000;
    let recovered = after.iter().position(|&calls| calls >= full_rate * 9 / 10);
    let recovered_ms = recovered.map_or(-1, |at| (at as u64 * WINDOW_MS) as i64);
    let in_outage: u64 = outage.iter().sum();
    println!(
        "{name:<22} in outage {in_outage:>6}, most in 100 ms {:>4}; after it most {:>4}, back after {recovered_ms} ms",
        outage.iter().max().unwrap_or(&0),
        after.iter().max().unwrap_or(&0),
    );
}

/// Creates nodes that retry with or without a growing pause and jitter.
fn retrying_nodes(grows: bool, has_jitter: bool) -> Vec<RetryAfterPause> {
    let limits = BudgetLimits::share_of(READS_PER_SECOND, 400, NODES as u32);
    let node = |seed| RetryAfterPause {
        next_ms: 0,
        failures: 0,
        grows,
        jitter: has_jitter.then(|| Pcg64Mcg::seed_from_u64(seed)),
        budget: CallBudget::new(0, limits),
    };
    (0..NODES).map(node).collect()
}

fn main() {
    let limits = BudgetLimits::share_of(READS_PER_SECOND, 400, NODES as u32);
    print_results("fixed pause", &simulate(&mut retrying_nodes(false, false)));
    print_results("growing pause", &simulate(&mut retrying_nodes(true, false)));
    print_results(
        "growing, jitter",
        &simulate(&mut retrying_nodes(true, true)),
    );
    let budgeted = |seed| RetryByBudget(CallBudget::new(0, limits), Pcg64Mcg::seed_from_u64(seed));
    let mut nodes: Vec<_> = (0..NODES).map(budgeted).collect();
    print_results("budget", &simulate(&mut nodes));
}
