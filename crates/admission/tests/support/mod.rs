//! Fixtures that the tests of this package share: declarations, a node and helpers for decisions.
#![allow(dead_code)]

use admission::{Admission, AdmissionConfig, Decision, Offer, RequestKey, WorkerKey};
use model::prelude::*;

/// Returns classes like those of the first deployment.
pub fn classes() -> Vec<ClassSpec> {
    [
        ("leak-report", Urgency::Urgent, 50, 2_000, false),
        ("roster-query", Urgency::Normal, 150, 5_000, true),
        ("cover-recompute", Urgency::Normal, 1_500, 30_000, true),
        ("rota-rebuild", Urgency::Normal, 20_000, 300_000, false),
    ]
    .map(
        |(name, urgency, expected_run_ms, deadline_ms, idempotent)| ClassSpec {
            name: name.try_into().unwrap(),
            urgency,
            expected_run_ms,
            deadline_ms,
            grace_ms: 1_000,
            idempotent,
            in_flight_max: 1_000,
            queue_max: 1_000,
        },
    )
    .into()
}

/// Builds an organisation that may submit every class.
pub fn organisation(name: &str, requests_in_flight: u32) -> OrganisationSpec {
    OrganisationSpec {
        name: name.try_into().unwrap(),
        guarantees: Vec::new(),
        quota: Quota {
            accelerators: 0,
            requests_in_flight,
        },
        classes: classes().into_iter().map(|class| class.name).collect(),
        token_digests: Vec::new(),
        suspended: false,
    }
}

/// Builds a node with the organisations `north` and `south` and with `workers` workers of 8 slots.
pub fn node(config: AdmissionConfig, workers: u32) -> (Admission, Vec<WorkerKey>) {
    let mut node = Admission::new(config, 7);
    node.declare(
        0,
        &[organisation("north", 100), organisation("south", 100)],
        &classes(),
    );
    let keys = (0..workers)
        .map(|n| {
            let name = format!("w{n}");
            node.upsert_worker(&name.as_str().try_into().unwrap(), 8, 64)
        })
        .collect();
    (node, keys)
}

/// Builds a request with the deadline of its class.
pub fn offer(now_ms: u64, organisation: &str, class: &str) -> Offer {
    let spec = classes()
        .into_iter()
        .find(|spec| spec.name.as_str() == class);
    let deadline_ms = spec.as_ref().map_or(1_000, |spec| spec.deadline_ms);
    Offer {
        organisation: organisation.try_into().unwrap(),
        class: class.try_into().unwrap(),
        deadline_at_ms: now_ms + deadline_ms,
        idempotent: spec.is_some_and(|spec| spec.idempotent),
    }
}

/// Polls the node and returns its decisions at `now_ms`.
pub fn poll(node: &mut Admission, now_ms: u64) -> Vec<Decision> {
    let mut decisions = Vec::new();
    node.poll(now_ms, &mut decisions);
    decisions
}

/// Returns the requests and workers of the starts among `decisions`.
pub fn starts(decisions: &[Decision]) -> Vec<(RequestKey, WorkerKey)> {
    let started = decisions.iter().filter_map(|decision| match decision {
        Decision::Start {
            request, worker, ..
        } => Some((*request, *worker)),
        _ => None,
    });
    started.collect()
}
