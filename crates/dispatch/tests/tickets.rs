//! Validity and limits of ticket books, and fencing of workers that join or restart.
//!
//! A ticket whose record was removed must be answered as unknown, never as refused, because it may
//! have run. A worker that restarts loses its fences, so that its earlier confirmation no longer
//! proves anything.

mod support;

use std::sync::Arc;

use dispatch::fencing::{Fencing, Verdict};
use dispatch::tickets::{Begin, SendError, StoredOutcome, TicketBook, TicketConfig};
use model::prelude::*;
use rstest::rstest;
use support::name;

const VALID_MS: u64 = 1_000;
const KEEP_MS: u64 = 5_000;

fn book() -> TicketBook {
    let config = TicketConfig {
        valid_ms: VALID_MS,
        keep_ms: KEEP_MS,
        outcomes_max: 2,
        outcome_bytes_max: 100,
    };
    TicketBook::new(name("gyor"), name("gyor-1"), Incarnation(1), config)
}

fn digest() -> ContentDigest {
    ContentDigest::of_bytes(b"body")
}

fn answer(len: usize) -> StoredOutcome {
    let body: Arc<[u8]> = vec![0; len].into();
    StoredOutcome::Answer {
        work_id: "w.gyor.gyor-1.1.0".parse().expect("work id"),
        digest: ContentDigest::of_bytes(&body),
        body,
    }
}

fn spend(book: &mut TicketBook, ticket: &Ticket, outcome: StoredOutcome) {
    assert_eq!(book.begin(0, ticket, digest()), Begin::Run);
    assert_eq!(book.record_sent(ticket, &name("w-0")), Ok(()));
    book.record_outcome(0, ticket, outcome);
}

#[rstest]
#[case::valid(VALID_MS - 1, Begin::Run)]
#[case::expired(VALID_MS, Begin::Refuse(RefusalReason::TicketExpired))]
#[case::forgotten(KEEP_MS, Begin::Unknown(UnknownReason::RecordDropped))]
fn unspent_ticket_ages(#[case] now_ms: u64, #[case] expected: Begin) {
    let mut book = book();
    let ticket = book.draw(0, 1).remove(0);
    book.tick(now_ms);
    assert_eq!(book.begin(now_ms, &ticket, digest()), expected);
}

#[test]
fn spent_ticket_is_never_refused_as_expired() {
    let mut book = book();
    let ticket = book.draw(0, 1).remove(0);
    spend(&mut book, &ticket, answer(1));
    assert_eq!(
        book.begin(VALID_MS, &ticket, digest()),
        Begin::Answered(answer(1))
    );
    book.tick(KEEP_MS);
    let forgotten = Begin::Unknown(UnknownReason::RecordDropped);
    assert_eq!(book.begin(KEEP_MS, &ticket, digest()), forgotten);
    assert_eq!(book.outcome_usage(), (0, 0));
}

#[rstest]
#[case::by_number(1, 3)]
#[case::by_bytes(60, 2)]
fn outcomes_are_bounded(#[case] len: usize, #[case] count: u32) {
    let mut book = book();
    let tickets = book.draw(0, count);
    for ticket in &tickets {
        spend(&mut book, ticket, answer(len));
    }
    let dropped = Begin::Unknown(UnknownReason::RecordDropped);
    assert_eq!(book.begin(0, &tickets[0], digest()), dropped);
    let last = &tickets[tickets.len() - 1];
    assert_eq!(book.begin(0, last, digest()), Begin::Answered(answer(len)));
    assert!(book.outcome_usage().0 <= 2 && book.outcome_usage().1 <= 100);
}

#[test]
fn ticket_sent_once_unless_proved_unsent() {
    let mut book = book();
    let ticket = book.draw(0, 1).remove(0);
    assert_eq!(book.begin(0, &ticket, digest()), Begin::Run);
    assert_eq!(book.record_sent(&ticket, &name("w-0")), Ok(()));
    assert_eq!(
        book.record_sent(&ticket, &name("w-1")),
        Err(SendError::SentBefore)
    );
    book.abandon(&ticket);
    assert_eq!(book.begin(0, &ticket, digest()), Begin::Join);
    book.record_not_run(&ticket, &NotRunProof::of_unsent("attempt"));
    assert_eq!(book.record_sent(&ticket, &name("w-1")), Ok(()));
}

#[rstest]
#[case::another_boot(2, false)]
#[case::same_boot(1, true)]
fn fencing_waits_for_joined_worker(#[case] boot: u64, #[case] proved: bool) {
    let ticket = book().draw(0, 1).remove(0);
    let worker: WorkerName = name("w-0");
    let mut fencing = Fencing::new(name("gyor-1"), Incarnation(1), [worker.clone()]);
    assert!(matches!(fencing.verdict(&ticket, true), Verdict::Pending));
    let none_seen = FenceReply {
        tickets_seen: Vec::new(),
    };
    fencing.on_reply(&worker, 1, &none_seen);
    fencing.on_joined(&worker, boot);
    assert_eq!(
        matches!(fencing.verdict(&ticket, true), Verdict::NotRun(_)),
        proved
    );
    assert!(matches!(fencing.verdict(&ticket, false), Verdict::Pending));
}
