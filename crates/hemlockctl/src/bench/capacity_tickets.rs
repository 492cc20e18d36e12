//! Measures the cost of tickets for at-most-once work at a given number of tickets of one issuer.

use dispatch::tickets::{StoredOutcome, TicketBook, TicketConfig};
use model::prelude::*;

use super::capacity_meter::measure_cpu_us;
use super::capacity_nodes::count_peer_bytes;

/// Length of an answer, in bytes.
const ANSWER_BYTES: usize = 200;

/// Cost of tickets at one number of tickets.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TicketCost {
    /// Processor time of one ticket from its issue to its end, in microseconds.
    pub(super) ticket_us: f64,
    /// Bytes that an issuer hands over to a peer at a planned stop.
    pub(super) hand_over_bytes: f64,
}

/// Builds an issuer that has issued `tickets` tickets, each spent and answered; `None` if a name is
/// not valid.
pub(super) fn build(tickets: u32) -> Option<TicketBook> {
    let mut book = TicketBook::new(
        "gyor".try_into().ok()?,
        "gyor-n1".try_into().ok()?,
        Incarnation(1),
        TicketConfig::default(),
    );
    let body = vec![7; ANSWER_BYTES];
    let digest = ContentDigest::of_bytes(&body);
    let worker: WorkerName = "gyor-r1-w1".try_into().ok()?;
    for ticket in book.draw(0, tickets) {
        book.begin(0, &ticket, digest);
        book.record_sent(&ticket, &worker).ok()?;
        let outcome = StoredOutcome::Answer {
            work_id: WorkId {
                data_centre: ticket.data_centre.clone(),
                node: ticket.node.clone(),
                incarnation: ticket.incarnation,
                sequence: ticket.sequence,
            },
            digest,
            body: body.as_slice().into(),
        };
        book.record_outcome(0, &ticket, outcome);
    }
    Some(book)
}

/// Measures an issuer with `tickets` tickets.
pub(super) fn measure(tickets: u32) -> Option<TicketCost> {
    let (book, us) = measure_cpu_us(|| build(tickets));
    let receiver: NodeName = "gyor-n2".try_into().ok()?;
    let hand_over = book?.hand_over(1, &receiver, Incarnation(2))?;
    Some(TicketCost {
        ticket_us: us / f64::from(tickets),
        hand_over_bytes: count_peer_bytes(&hand_over),
    })
}
