//! Which VM should lead: one near the store, and a large VM before a small one.
//!
//! At the crest of a large deployment, planning takes most of the processor of a small VM, and urgent work starts late.

/// A VM counts as larger than another from this share of its processor on, in hundredths.
const LARGER_FROM_PERCENT: u64 = 150;

/// A node waits this many times the duration of a store call before it tries to take the lead, so that nodes close to
/// the store are preferred.
const STORE_LATENCY_FACTOR: u64 = 5;

/// Upper limit of the wait that prefers nodes close to the store.
const MAX_LATENCY_WAIT_MS: u64 = 300;

/// How much longer a node waits that knows a larger VM: the time in which one in another region takes the lead.
const LARGER_VM_WAIT_MS: u64 = 250;

/// Returns whether a VM with a processor of `millis` thousandths of a core is clearly larger than one with `than_millis`;
/// 0 stands for an unknown size, which is never larger or smaller.
pub(crate) fn is_larger(millis: u32, than_millis: u32) -> bool {
    than_millis > 0 && u64::from(millis) * 100 >= u64::from(than_millis) * LARGER_FROM_PERCENT
}

/// Returns how long a node waits before it tries to take a free lead, in milliseconds. `store_call_ms` is the duration
/// of its last call to the store.
pub(crate) fn choose_wait_ms(store_call_ms: u64, knows_larger_vm: bool) -> u64 {
    let latency_wait_ms = (store_call_ms * STORE_LATENCY_FACTOR).min(MAX_LATENCY_WAIT_MS);
    match knows_larger_vm {
        true => latency_wait_ms + LARGER_VM_WAIT_MS,
        false => latency_wait_ms,
    }
}
