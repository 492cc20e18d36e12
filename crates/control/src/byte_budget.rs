//! A budget of bytes for everything that clients make the process collect, charged as the bytes arrive.
//!
//! Once it is used up, whoever holds most among those that are still collecting gives way, so that clients that send
//! little are served beside others that send much and never come to an end.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// The budget of a process.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    limit_bytes: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    used_bytes: usize,
    next_key: u64,
    /// Charges that may still grow, and that may be withdrawn.
    collecting: BTreeMap<u64, Collecting>,
}

#[derive(Debug, Default)]
struct Collecting {
    bytes: usize,
    waker: Option<Waker>,
}

impl ByteBudget {
    /// Creates a budget of this many bytes.
    pub fn new(limit_bytes: usize) -> Arc<ByteBudget> {
        Arc::new(ByteBudget {
            limit_bytes,
            state: Mutex::default(),
        })
    }

    /// Starts a charge of no bytes.
    pub fn start(self: &Arc<Self>) -> Charge {
        let mut state = self.lock();
        let key = state.next_key;
        state.next_key += 1;
        state.collecting.insert(key, Collecting::default());
        Charge {
            budget: self.clone(),
            key,
            bytes: 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Withdraws the largest charge, if it is larger than `bytes`.
    fn withdraw_larger(&mut self, bytes: usize) -> bool {
        let largest = self.collecting.iter().max_by_key(|(_, c)| c.bytes);
        let Some((&key, _)) = largest.filter(|(_, c)| c.bytes > bytes) else {
            return false;
        };
        if let Some(withdrawn) = self.collecting.remove(&key) {
            self.used_bytes -= withdrawn.bytes;
            withdrawn.waker.into_iter().for_each(Waker::wake);
        }
        true
    }
}

/// Bytes charged to a budget until dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    budget: Arc<ByteBudget>,
    key: u64,
    /// Bytes of a charge that no longer grows.
    bytes: usize,
}

impl Charge {
    /// Raises the charge to this many bytes; false if there is no room, or if the charge was withdrawn.
    pub fn raise(&mut self, bytes: usize) -> bool {
        let mut state = self.budget.lock();
        let Some(charged) = state.collecting.get(&self.key).map(|c| c.bytes) else {
            return false;
        };
        let more_bytes = bytes.saturating_sub(charged);
        while state.used_bytes + more_bytes > self.budget.limit_bytes {
            if !state.withdraw_larger(bytes) {
                return false;
            }
        }
        state.used_bytes += more_bytes;
        if let Some(collecting) = state.collecting.get_mut(&self.key) {
            collecting.bytes += more_bytes;
        }
        true
    }

    /// Is ready once the charge was withdrawn.
    pub fn poll_withdrawn(&self, cx: &mut Context<'_>) -> Poll<()> {
        match self.budget.lock().collecting.get_mut(&self.key) {
            Some(collecting) => {
                collecting.waker = Some(cx.waker().clone());
                Poll::Pending
            }
            None => Poll::Ready(()),
        }
    }

    /// Fixes the charge, which is no longer withdrawn; false if it was.
    pub fn fix(&mut self) -> bool {
        let fixed = self.budget.lock().collecting.remove(&self.key);
        self.bytes = fixed.as_ref().map_or(0, |c| c.bytes);
        fixed.is_some()
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        let collecting = state.collecting.remove(&self.key);
        state.used_bytes -= self.bytes + collecting.map_or(0, |c| c.bytes);
    }
}
