//! Once-only work: callers draw tickets ahead of use, and each ticket is spent at most once.
//!
//! A [`TicketBook`] belongs to one incarnation of an entry node and is the only place where the
//! tickets of that incarnation are spent; other nodes forward requests to it. A planned stop hands
//! its tickets over to one peer.

mod book;
mod hand_over;
mod ledger;

pub use book::{Begin, SendError, TicketBook, TicketConfig};
pub use hand_over::HandOver;
pub use ledger::StoredOutcome;
