//! Tests of the budget of store calls in virtual time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use platform::budget::{BudgetDecision, BudgetLimits, CallBudget, CallKind, Priority, RAMP_MS};
use platform::budgeted::BudgetedStore;
use platform::error::CallError;
use platform::store::{Entry, KeyVersion, Store, StoreLease, Swap, SwapOutcome, WatchBatch};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const LIMITS: BudgetLimits = BudgetLimits {
    reads_per_second: 200,
    writes_per_second: 40,
    burst_ms: 1_000,
};

/// Counts the calls that the budget allows at one point in time.
fn count_allowed(budget: &mut CallBudget, now_ms: u64, kind: CallKind, priority: Priority) -> u32 {
    (0..10_000)
        .take_while(|_| budget.try_acquire(now_ms, kind, priority) == BudgetDecision::Proceed)
        .count()
        .try_into()
        .unwrap()
}

/// Counts the calls that `nodes` make in one millisecond when each of them always wants one.
fn count_calls_of_nodes(nodes: &mut [CallBudget], now_ms: u64) -> usize {
    let allowed = nodes.iter_mut().filter_map(|budget| {
        let decision = budget.try_acquire(now_ms, CallKind::Get, Priority::Rest);
        (decision == BudgetDecision::Proceed).then_some(())
    });
    allowed.count()
}

#[rstest]
#[case::reads(CallKind::Get, 200)]
#[case::watches(CallKind::Watch, 200)]
#[case::writes(CallKind::Swap, 40)]
#[case::leases(CallKind::RenewLease, 40)]
fn try_acquire_reserves_tokens_by_priority(#[case] kind: CallKind, #[case] capacity: u32) {
    let mut budget = CallBudget::new(0, LIMITS);
    let rest = count_allowed(&mut budget, 0, kind, Priority::Rest);
    let records = count_allowed(&mut budget, 0, kind, Priority::JobRecords);
    let declarations = count_allowed(&mut budget, 0, kind, Priority::Declarations);
    assert_eq!(rest, capacity / 2);
    assert_eq!(records, capacity / 4);
    assert_eq!(declarations, capacity / 4);
}

#[test]
fn try_acquire_wait_is_enough() {
    let mut budget = CallBudget::new(0, LIMITS);
    count_allowed(&mut budget, 0, CallKind::Swap, Priority::Rest);
    let BudgetDecision::Wait { wait_ms } = budget.try_acquire(0, CallKind::Swap, Priority::Rest)
    else {
        panic!("no wait");
    };
    let early = budget.try_acquire(wait_ms - 1, CallKind::Swap, Priority::Rest);
    assert_eq!(early, BudgetDecision::Wait { wait_ms: 1 });
    let next = budget.try_acquire(wait_ms, CallKind::Swap, Priority::Rest);
    assert_eq!(next, BudgetDecision::Proceed);
}

#[test]
fn record_failure_lets_one_probe_through() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = CallBudget::new(0, LIMITS);
    budget.record_failure(1_000, &mut random);
    let BudgetDecision::BackOff { wait_ms } =
        budget.try_acquire(1_000, CallKind::Get, Priority::Declarations)
    else {
        panic!("no backoff");
    };
    let probe_ms = 1_000 + wait_ms;
    let allowed = count_allowed(&mut budget, probe_ms, CallKind::Get, Priority::Rest);
    assert_eq!(allowed, 1);
    budget.record_success(probe_ms);
    assert!(budget.is_up());
}

#[test]
fn record_failure_grows_the_backoff() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = CallBudget::new(0, LIMITS);
    let mut now_ms = 0;
    let mut backoffs = Vec::new();
    for _ in 0..10 {
        budget.record_failure(now_ms, &mut random);
        budget.record_failure(now_ms, &mut random);
        let decision = budget.try_acquire(now_ms, CallKind::Get, Priority::Rest);
        let BudgetDecision::BackOff { wait_ms } = decision else {
            panic!("{decision:?}");
        };
        backoffs.push(wait_ms);
        now_ms += wait_ms;
    }
    assert!((100..=200).contains(&backoffs[0]), "{backoffs:?}");
    assert!((200..=400).contains(&backoffs[1]), "{backoffs:?}");
    assert!(
        backoffs.iter().all(|&backoff| backoff <= 3_000),
        "{backoffs:?}"
    );
    assert!(backoffs[9] >= 1_500, "{backoffs:?}");
}

/// Guards against a thundering herd: with fixed retry intervals all nodes would call the store at
/// the same moment, during an outage and as soon as it ends.
#[test]
fn outage_end_makes_no_herd() {
    let limits = BudgetLimits::share_of(2_000, 400, 9);
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let mut nodes: Vec<_> = (0..9).map(|_| CallBudget::new(0, limits)).collect();
    let (down_ms, up_ms) = (1_000, 61_000);
    let mut per_second = vec![0; 75];
    for now_ms in 0..75_000_u64 {
        let is_down = (down_ms..up_ms).contains(&now_ms);
        for budget in &mut nodes {
            let calls = count_calls_of_nodes(std::slice::from_mut(budget), now_ms);
            per_second[(now_ms / 1_000) as usize] += calls;
            match (calls, is_down) {
                (0, _) => {}
                (_, true) => budget.record_failure(now_ms, &mut random),
                (_, false) => budget.record_success(now_ms),
            }
        }
    }
    let in_outage = &per_second[2..61];
    assert!(
        in_outage.iter().all(|&calls| calls <= 9 * 4),
        "{in_outage:?}"
    );
    let ramp = &per_second[61..61 + (RAMP_MS / 1_000) as usize];
    assert!(ramp.iter().all(|&calls| calls <= 2_000), "{ramp:?}");
    assert!(ramp[0] <= 600, "{ramp:?}");
    let after = per_second[74];
    assert!((1_900..=2_000).contains(&after), "{after}");
}

#[test]
fn counts_report_last_second_and_total() {
    let mut budget = CallBudget::new(0, LIMITS);
    for now_ms in [100, 200, 300] {
        budget.try_acquire(now_ms, CallKind::Swap, Priority::Rest);
    }
    let counts = budget.counts(1_500);
    assert_eq!(counts.last_second[CallKind::Swap as usize], 3);
    let counts = budget.counts(5_000);
    assert_eq!(counts.last_second[CallKind::Swap as usize], 0);
    assert_eq!(counts.total[CallKind::Swap as usize], 3);
}

proptest! {
    #[test]
    fn try_acquire_never_exceeds_rate(
        steps in prop::collection::vec((0_u64..200, 0_u32..20), 1..200)
    ) {
        let mut budget = CallBudget::new(0, LIMITS);
        let mut now_ms = 0;
        let mut allowed = 0_u64;
        for (step_ms, wanted) in steps {
            now_ms += step_ms;
            for _ in 0..wanted {
                if budget.try_acquire(now_ms, CallKind::Swap, Priority::Declarations)
                    == BudgetDecision::Proceed
                {
                    allowed += 1;
                }
            }
        }
        prop_assert!(allowed <= 40 + now_ms * 40 / 1_000 + 1);
    }
}

/// A store that counts its calls and refuses them while `down` is set.
#[derive(Debug, Clone, Default)]
struct FakeStore {
    down: Arc<AtomicBool>,
    calls: Arc<AtomicU64>,
}

impl FakeStore {
    /// Counts a call, then serves or refuses it.
    fn serve<T>(&self, reply: T) -> Result<T, CallError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if self.down.load(Ordering::Relaxed) {
            let detail = "down".to_owned();
            return Err(CallError::Unavailable { detail });
        }
        Ok(reply)
    }
}

impl Store for FakeStore {
    async fn get(&self, _key: &str) -> Result<Option<Entry>, CallError> {
        self.serve(None)
    }

    async fn list(&self, _prefix: &str) -> Result<Vec<Entry>, CallError> {
        self.serve(Vec::new())
    }

    async fn swap(&self, _swap: Swap) -> Result<SwapOutcome, CallError> {
        self.serve(SwapOutcome::Conflict { current: None })
    }

    async fn watch(&self, _: &str, after: KeyVersion, _: u64) -> Result<WatchBatch, CallError> {
        self.serve(WatchBatch {
            changed: Vec::new(),
            deleted: Vec::new(),
            next_after: after,
        })
    }

    async fn grant_lease(&self, _duration_ms: u64) -> Result<StoreLease, CallError> {
        self.serve(StoreLease(1))
    }

    async fn renew_lease(&self, _lease: StoreLease) -> Result<bool, CallError> {
        self.serve(true)
    }
}

#[tokio::test]
async fn budgeted_sends_nothing_without_tokens() {
    let fake = FakeStore::default();
    let limits = BudgetLimits {
        reads_per_second: 1,
        writes_per_second: 1,
        burst_ms: 4_000,
    };
    let rest = BudgetedStore::new(fake.clone(), limits, 1);
    rest.get("a").await.unwrap();
    rest.get("b").await.unwrap();
    let error = rest.get("c").await.unwrap_err();
    assert!(matches!(error, CallError::NotSent { .. }), "{error}");
    assert_eq!(fake.calls.load(Ordering::Relaxed), 2);
    let declarations = rest.with_priority(Priority::Declarations);
    declarations.get("d").await.unwrap();
    assert_eq!(rest.counts().total[CallKind::Get as usize], 3);
}

#[tokio::test]
async fn budgeted_backs_off_in_outage() {
    let fake = FakeStore::default();
    fake.down.store(true, Ordering::Relaxed);
    let store = BudgetedStore::new(fake.clone(), LIMITS, 1);
    let error = store.get("a").await.unwrap_err();
    assert!(matches!(error, CallError::Unavailable { .. }), "{error}");
    assert!(!store.is_up());
    fake.down.store(false, Ordering::Relaxed);
    store.get("b").await.unwrap();
    assert!(store.is_up());
    assert_eq!(fake.calls.load(Ordering::Relaxed), 2);
}
