//! Store client that limits its calls with a [`CallBudget`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::budget::{BudgetDecision, BudgetLimits, CallBudget, CallCounts, CallKind, Priority};
use crate::error::CallError;
use crate::store::{Entry, KeyVersion, Store, StoreLease, Swap, SwapOutcome, WatchBatch};

/// Longest time that a call waits for the budget, in milliseconds.
const BUDGET_WAIT_MS_MAX: u64 = 1_000;

/// State that all clones of a store share.
#[derive(Debug)]
struct SharedBudget {
    start: Instant,
    state: Mutex<(CallBudget, Pcg64Mcg)>,
}

impl SharedBudget {
    /// Returns the time since the budget was created, in milliseconds.
    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Locks the budget and its random generator.
    fn lock(&self) -> MutexGuard<'_, (CallBudget, Pcg64Mcg)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Store client that limits its calls with a budget, which all clones share.
#[derive(Debug, Clone)]
pub struct BudgetedStore<S> {
    store: S,
    priority: Priority,
    shared: Arc<SharedBudget>,
}

impl<S: Store> BudgetedStore<S> {
    /// Limits the calls of `store`. `seed` draws the backoffs and must differ between nodes, so
    /// that their retries do not coincide.
    pub fn new(store: S, limits: BudgetLimits, seed: u64) -> Self {
        let state = (CallBudget::new(0, limits), Pcg64Mcg::seed_from_u64(seed));
        Self {
            store,
            priority: Priority::Rest,
            shared: Arc::new(SharedBudget {
                start: Instant::now(),
                state: Mutex::new(state),
            }),
        }
    }

    /// Returns a client of the same store and budget, for calls of another priority.
    #[must_use]
    pub fn with_priority(&self, priority: Priority) -> Self {
        Self {
            priority,
            ..self.clone()
        }
    }

    /// Returns the call counts up to now.
    pub fn counts(&self) -> CallCounts {
        self.shared.lock().0.counts(self.shared.now_ms())
    }

    /// Returns whether the service is assumed to work, by the outcome of the last calls.
    pub fn is_up(&self) -> bool {
        self.shared.lock().0.is_up()
    }

    /// Waits until the budget allows a call.
    ///
    /// Fails with [`CallError::NotSent`] when that would take longer than
    /// [`BUDGET_WAIT_MS_MAX`] in total.
    async fn acquire(&self, kind: CallKind) -> Result<(), CallError> {
        let mut remaining_ms = BUDGET_WAIT_MS_MAX;
        loop {
            let now_ms = self.shared.now_ms();
            let decision = self
                .shared
                .lock()
                .0
                .try_acquire(now_ms, kind, self.priority);
            let (wait_ms, why) = match decision {
                BudgetDecision::Proceed => return Ok(()),
                BudgetDecision::Wait { wait_ms } => (wait_ms, "the budget of calls is used up"),
                BudgetDecision::BackOff { wait_ms } => (wait_ms, "the store has failed lately"),
            };
            if wait_ms > remaining_ms {
                return Err(CallError::NotSent {
                    detail: format!("{why}; the next {kind} may be sent in {wait_ms} ms"),
                });
            }
            remaining_ms -= wait_ms;
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Makes a call once the budget allows it and records whether the service replied.
    async fn call<T>(
        &self,
        kind: CallKind,
        call: impl Future<Output = Result<T, CallError>>,
    ) -> Result<T, CallError> {
        self.acquire(kind).await?;
        let result = call.await;
        let now_ms = self.shared.now_ms();
        let mut state = self.shared.lock();
        let (budget, random) = &mut *state;
        match &result {
            Ok(_) | Err(CallError::Malformed { .. }) => budget.record_success(now_ms),
            Err(_) => budget.record_failure(now_ms, random),
        }
        drop(state);
        result
    }
}

impl<S: Store> Store for BudgetedStore<S> {
    async fn get(&self, key: &str) -> Result<Option<Entry>, CallError> {
        self.call(CallKind::Get, self.store.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, CallError> {
        self.call(CallKind::List, self.store.list(prefix)).await
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, CallError> {
        self.call(CallKind::Swap, self.store.swap(swap)).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KeyVersion,
        wait_ms: u64,
    ) -> Result<WatchBatch, CallError> {
        let watch = self.store.watch(prefix, after, wait_ms);
        self.call(CallKind::Watch, watch).await
    }

    async fn grant_lease(&self, duration_ms: u64) -> Result<StoreLease, CallError> {
        let grant = self.store.grant_lease(duration_ms);
        self.call(CallKind::GrantLease, grant).await
    }

    async fn renew_lease(&self, lease: StoreLease) -> Result<bool, CallError> {
        let renew = self.store.renew_lease(lease);
        self.call(CallKind::RenewLease, renew).await
    }
}
