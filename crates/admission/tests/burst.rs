//! Bursts that reach all entry nodes of a data centre before the rows of the other nodes do.
//!
//! All nodes start long work at the same time, and their rows still say that the other nodes use
//! nothing. The test guards against nodes that together fill all slots, so that an urgent request
//! finds none free.

use admission::{Admission, AdmissionConfig, Decision, Offer, WorkerCondition};
use model::prelude::*;
use rstest::rstest;

const NODES: u32 = 3;
const SLOTS_PER_WORKER: u32 = 8;

fn class(name: &str, urgency: Urgency, expected_run_ms: u64) -> ClassSpec {
    ClassSpec {
        name: name.parse().unwrap(),
        urgency,
        expected_run_ms,
        deadline_ms: 300_000,
        grace_ms: 1_000,
        idempotent: true,
        in_flight_max: 10_000,
        queue_max: 10_000,
    }
}

fn node(seed: u64, workers: u32) -> Admission {
    let classes = [
        class("rebuild", Urgency::Background, 20_000),
        class("report", Urgency::Urgent, 50),
    ];
    let organisation = OrganisationSpec {
        name: "desks".parse().unwrap(),
        guarantees: Vec::new(),
        quota: Quota {
            accelerators: 0,
            requests_in_flight: 10_000,
        },
        classes: classes.iter().map(|class| class.name.clone()).collect(),
        token_digests: Vec::new(),
        suspended: false,
    };
    let mut admission = Admission::new(AdmissionConfig::default(), seed);
    admission.declare(0, &[organisation], &classes);
    for index in 0..workers {
        let name = format!("worker-{index}").parse().unwrap();
        let key = admission.upsert_worker(&name, SLOTS_PER_WORKER, 64);
        admission.set_worker(0, key, WorkerCondition::Accepting);
    }
    admission.set_entry_nodes(NODES);
    admission
}

fn offer_many(admission: &mut Admission, now_ms: u64, class: &str, count: u32) -> usize {
    for _ in 0..count {
        let offer = Offer {
            organisation: "desks".parse().unwrap(),
            class: class.parse().unwrap(),
            deadline_at_ms: now_ms + 300_000,
            idempotent: true,
        };
        admission.offer(now_ms, offer).unwrap();
    }
    let mut decisions = Vec::new();
    admission.poll(now_ms, &mut decisions);
    let is_start = |decision: &&Decision| matches!(decision, Decision::Start { .. });
    decisions.iter().filter(is_start).count()
}

#[rstest]
#[case::sixteen_workers(16)]
#[case::hundred_workers(100)]
fn offer_long_burst_at_all_nodes(#[case] workers: u32) {
    let mut nodes: Vec<_> = (0..NODES).map(|seed| node(seed.into(), workers)).collect();
    // Fresh rows report that the other nodes use nothing.
    for index in 0..nodes.len() {
        let rows = nodes[index].rows(1);
        for (other, admission) in nodes.iter_mut().enumerate() {
            if other != index {
                let owner = format!("node-{index}").parse().unwrap();
                admission.merge_rows(1, &owner, 1, rows.clone());
            }
        }
    }
    let slots = workers * SLOTS_PER_WORKER;
    let started: usize = nodes
        .iter_mut()
        .map(|node| offer_many(node, 2, "rebuild", slots))
        .sum();
    let reserved = slots as usize - started.min(slots as usize);
    assert!(
        reserved >= slots as usize / 40,
        "{started} of {slots} slots"
    );
    let urgent = offer_many(&mut nodes[0], 3, "report", 1);
    assert_eq!(urgent, 1);
}
