//! Handling of single requests: start, rejection, spill and changed declarations.
//!
//! The tests guard against invalid requests that are queued, requests that are spilled twice, and
//! changed declarations that keep waiting requests or end those in flight.

mod support;

use admission::{AdmissionConfig, AttemptEnd, Decision, UsageSubject, WorkerCondition};
use model::prelude::*;
use rstest::rstest;
use support::{node, offer, organisation, poll, starts};

#[test]
fn offer_starts_on_a_free_worker() {
    let (mut node, workers) = node(AdmissionConfig::default(), 1);
    let request = node.offer(0, offer(0, "north", "leak-report")).unwrap();
    let decisions = poll(&mut node, 0);
    assert_eq!(starts(&decisions), [(request, workers[0])]);
    node.attempt_ended(50, request, workers[0], AttemptEnd::Answered);
    node.finish(50, request);
    let rows = node.rows(50);
    assert_eq!((rows[0].in_flight, rows[0].waiting), (0, 0));
    let subjects: Vec<_> = rows.into_iter().map(|row| row.subject).collect();
    assert_eq!(
        subjects,
        [
            UsageSubject::Node,
            UsageSubject::BriefLoad,
            UsageSubject::ShortLoad
        ]
    );
}

#[rstest]
#[case::organisation("west", "leak-report", RefusalReason::UnknownOrganisation)]
#[case::class("north", "spot-check", RefusalReason::UnknownClass)]
fn offer_of_something_undeclared_is_rejected(
    #[case] organisation: &str,
    #[case] class: &str,
    #[case] reason: RefusalReason,
) {
    let (mut node, _) = node(AdmissionConfig::default(), 1);
    let rejection = node.offer(0, offer(0, organisation, class)).unwrap_err();
    assert_eq!(rejection.reason, reason);
    assert_eq!(rejection.retry_after_ms, None);
}

#[test]
fn offer_with_a_past_deadline_is_rejected() {
    let (mut node, _) = node(AdmissionConfig::default(), 1);
    let mut late = offer(0, "north", "leak-report");
    late.deadline_at_ms = 10;
    let rejection = node.offer(10, late).unwrap_err();
    assert_eq!(rejection.reason, RefusalReason::DeadlinePassed);
}

#[test]
fn offer_without_worker_is_spilled_once() {
    let (mut node, workers) = node(AdmissionConfig::default(), 1);
    node.set_worker(0, workers[0], WorkerCondition::Leaving);
    let request = node.offer(0, offer(0, "north", "leak-report")).unwrap();
    assert_eq!(node.next_wake_ms(), Some(0));
    let decisions = poll(&mut node, 0);
    let [
        Decision::Spill {
            request: spilled,
            rejection,
        },
    ] = &decisions[..]
    else {
        panic!("{decisions:?}");
    };
    assert_eq!(
        (*spilled, rejection.reason),
        (request, RefusalReason::NoWorker)
    );
    let again = node.offer_spilled(0, offer(0, "north", "leak-report"));
    assert_eq!(again.unwrap_err().reason, RefusalReason::NoWorker);
}

#[test]
fn declare_rejects_waiting_work_and_keeps_work_in_flight() {
    let (mut node, workers) = node(AdmissionConfig::default(), 1);
    let requests: Vec<_> = (0..12)
        .map(|_| node.offer(0, offer(0, "north", "rota-rebuild")).unwrap())
        .collect();
    let started = starts(&poll(&mut node, 0));
    node.declare(1, &[organisation("south", 100)], &support::classes());
    let decisions = poll(&mut node, 1);
    assert_eq!(decisions.len() + started.len(), requests.len());
    for decision in decisions {
        let Decision::Reject { rejection, .. } = decision else {
            panic!("{decision:?}");
        };
        assert_eq!(rejection.reason, RefusalReason::UnknownOrganisation);
    }
    for (request, _) in started {
        node.attempt_ended(20_000, request, workers[0], AttemptEnd::Answered);
        node.finish(20_000, request);
    }
    assert_eq!(node.rows(20_000)[0].in_flight, 0);
}
