//! The VMs that can send queries to the advice service, and the queries in flight. The service takes the queries of each
//! VM in turn, so each sends the next once the last has been answered, or should have been for long.

use slotmap::{SlotMap, new_key_type};

use super::sizing::{is_long, lapse_ms, overdue_ms, timeout_ms};
use crate::group::GroupKey;
use crate::worker::WorkerKey;

/// Delay before the next query of a VM after one that was refused or could not be sent; doubles up to
/// [`MAX_RETRY_DELAY_MS`].
const RETRY_DELAY_MS: u64 = 300;
const MAX_RETRY_DELAY_MS: u64 = 2_400;

new_key_type! {
    /// A query in flight.
    pub struct QueryKey;
}

/// A query in flight.
#[derive(Debug)]
pub(crate) struct Query {
    pub group: GroupKey,
    /// The workers and the incarnations that are known of them.
    pub workers: Vec<(WorkerKey, u64)>,
    vm: String,
    pub sent_ms: u64,
    pub expected_ms: u64,
    overdue_ms: u64,
}

impl Query {
    /// Returns whether its answer should have come, so that others ask about the same workers.
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        now_ms > self.overdue_ms
    }
}

/// A VM that can send queries.
#[derive(Debug, Default)]
struct AskingVm {
    name: String,
    /// The last query, if it is in flight and the VM waits for its answer.
    last: Option<QueryKey>,
    /// When the next query may be sent although the last one is in flight.
    lapses_ms: u64,
    /// When the next query may be sent after one that was refused.
    not_before_ms: u64,
    /// Queries in a row without an answer in time.
    unanswered: u32,
    /// Queries in a row that were refused, or could not be sent.
    refused: u32,
}

/// How a query is sent.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Dispatch {
    pub query: QueryKey,
    pub vm: String,
    pub timeout_ms: u64,
    pub new_connection: bool,
}

/// All VMs that can send queries, this one first, and the queries in flight.
#[derive(Debug)]
pub(crate) struct AskingVms {
    vms: Vec<AskingVm>,
    in_flight: SlotMap<QueryKey, Query>,
    /// How much longer than expected answers took lately.
    delay_ms: u64,
}

impl Default for AskingVms {
    fn default() -> AskingVms {
        AskingVms {
            vms: vec![AskingVm::default()],
            in_flight: SlotMap::with_key(),
            delay_ms: 0,
        }
    }
}

impl AskingVms {
    /// Sets the VMs that can send queries. What is known of a VM stays as long as it is among them.
    pub fn set(&mut self, names: &[String]) {
        let mut known = std::mem::take(&mut self.vms);
        self.vms = names
            .iter()
            .map(|name| {
                let position = known.iter().position(|vm| vm.name == *name);
                let found = position.map(|position| known.swap_remove(position));
                found.unwrap_or_else(|| AskingVm {
                    name: name.clone(),
                    ..AskingVm::default()
                })
            })
            .collect();
    }

    /// Returns how many VMs can send queries.
    pub fn count(&self) -> usize {
        self.vms.len()
    }

    /// Returns how many VMs can send a query now.
    pub fn idle(&self, now_ms: u64) -> usize {
        self.vms.iter().filter(|c| c.is_idle(now_ms)).count()
    }

    /// Returns how many more long queries may be sent now. If there are queues with short ones, one VM is kept for these.
    pub fn idle_for_long(&self, has_short_queries: bool, now_ms: u64) -> usize {
        let kept = usize::from(has_short_queries);
        let most = self.count().saturating_sub(kept).max(1);
        let held = self.vms.iter().filter(|vm| {
            let last = vm.last.and_then(|key| self.in_flight.get(key));
            !vm.is_idle(now_ms) && last.is_some_and(|query| is_long(query.expected_ms))
        });
        most.saturating_sub(held.count()).min(self.idle(now_ms))
    }

    /// Returns the queries in flight.
    pub fn queries(&self) -> impl Iterator<Item = &Query> {
        self.in_flight.values()
    }

    /// Returns how many times in a row the VM that asks next got no answer.
    pub fn next_unanswered(&self, now_ms: u64) -> u32 {
        let next = self.next_idle(now_ms).map(|index| &self.vms[index]);
        next.map_or(0, |vm| vm.unanswered + u32::from(vm.last.is_some()))
    }

    /// Returns the VM that sends the next query: the first without trouble, otherwise one with the least.
    fn next_idle(&self, now_ms: u64) -> Option<usize> {
        (0..self.vms.len())
            .filter(|index| self.vms[*index].is_idle(now_ms))
            .min_by_key(|index| self.vms[*index].trouble())
    }

    /// Sends a query by the next VM that can; none if no VM can.
    pub fn send(
        &mut self,
        group: GroupKey,
        workers: Vec<(WorkerKey, u64)>,
        expected_ms: u64,
        now_ms: u64,
    ) -> Option<Dispatch> {
        let delay_ms = self.delay_ms;
        let vm = self.next_idle(now_ms)?;
        let vm = &mut self.vms[vm];
        if vm.last.is_some() {
            vm.unanswered = vm.unanswered.saturating_add(1);
        }
        let query = self.in_flight.insert(Query {
            group,
            workers,
            vm: vm.name.clone(),
            sent_ms: now_ms,
            expected_ms,
            overdue_ms: overdue_ms(now_ms, expected_ms, delay_ms),
        });
        vm.last = Some(query);
        let lapse_ms = lapse_ms(expected_ms, delay_ms, vm.unanswered);
        vm.lapses_ms = now_ms.saturating_add(lapse_ms);
        Some(Dispatch {
            query,
            vm: vm.name.clone(),
            timeout_ms: timeout_ms(expected_ms),
            new_connection: vm.unanswered + vm.refused > 0,
        })
    }

    /// Ends a query; returns it if it was in flight.
    pub fn end(&mut self, key: QueryKey, is_answered: bool, now_ms: u64) -> Option<Query> {
        let query = self.in_flight.remove(key)?;
        let vm = self.vms.iter_mut().find(|c| c.name == query.vm);
        if let Some(vm) = vm {
            let was_last = vm.last == Some(key);
            if was_last {
                vm.last = None;
            }
            if is_answered {
                let took_ms = now_ms.saturating_sub(query.sent_ms);
                let late_ms = took_ms.saturating_sub(query.expected_ms);
                self.delay_ms = late_ms.max(self.delay_ms / 2);
                (vm.unanswered, vm.refused) = (0, 0);
            } else if was_last {
                // The query was not taken: an answer is waited for much longer than the next query.
                let delay_ms = RETRY_DELAY_MS << vm.refused.min(3);
                vm.not_before_ms = now_ms + delay_ms.min(MAX_RETRY_DELAY_MS);
                vm.refused = vm.refused.saturating_add(1);
            }
        }
        Some(query)
    }

    /// Describes a query in flight for the log.
    pub fn describe(query: &Query, now_ms: u64) -> String {
        format!(
            "{} workers by {}, sent {} ms ago, expected to take {} ms",
            query.workers.len(),
            match query.vm.is_empty() {
                true => "this VM",
                false => &query.vm,
            },
            now_ms.saturating_sub(query.sent_ms),
            query.expected_ms
        )
    }
}

impl AskingVm {
    fn is_idle(&self, now_ms: u64) -> bool {
        (self.last.is_none() || now_ms >= self.lapses_ms) && now_ms >= self.not_before_ms
    }

    /// Returns how many queries in a row got no answer.
    fn trouble(&self) -> u32 {
        self.unanswered + self.refused + u32::from(self.last.is_some())
    }
}
