//! State of queues and workers for the console.

use crate::core::{Admission, is_waiting_with_age};
use crate::queue::{Age, ClassQueue, OrganisationIndex, Rank, Standing};
use crate::types::{QueueView, WorkerView};

impl Admission {
    /// Returns all queues that are not empty.
    pub fn queues(&self, now_ms: u64) -> Vec<QueueView> {
        let mut views = Vec::new();
        for queue in &self.classes {
            let fresh = queue.fresh.in_order();
            let overdue = queue.overdue.in_order();
            let only_overdue =
                overdue.filter(|&(_, organisation)| queue.fresh.waiting_of(organisation) == 0);
            for (rank, organisation) in fresh.chain(only_overdue) {
                views.push(self.queue_view(now_ms, queue, rank, organisation));
            }
        }
        views
    }

    fn queue_view(
        &self,
        now_ms: u64,
        queue: &ClassQueue,
        rank: Rank,
        organisation: OrganisationIndex,
    ) -> QueueView {
        let state = &self.organisations[organisation];
        let oldest_of = |age| {
            let mut keys = queue.partitions(age).keys_of(organisation);
            keys.find(|&key| is_waiting_with_age(&self.requests, key, age))
        };
        let oldest = oldest_of(Age::Overdue).or_else(|| oldest_of(Age::Fresh));
        let request = oldest.and_then(|key| self.requests.get(key));
        QueueView {
            class: queue.spec.name.clone(),
            organisation: state.spec.name.clone(),
            waiting: queue.fresh.waiting_of(organisation) + queue.overdue.waiting_of(organisation),
            oldest_wait_ms: request.map_or(0, |request| now_ms.saturating_sub(request.offered_ms)),
            class_in_flight: queue.in_flight,
            organisation_in_flight: state.in_flight,
            within_share: rank.standing == Standing::WithinShare,
        }
    }

    /// Returns all workers.
    pub fn workers(&self) -> Vec<WorkerView> {
        self.workers.views().collect()
    }
}
