//! The hand-over of tickets from a stopping node to one peer, called the heir.

use model::prelude::*;
use serde::{Deserialize, Serialize};

use super::ledger::{Ledger, Progress, StoredOutcome};

/// Tickets of a stopping node: its own and those that had been handed over to it.
///
/// It is sent to one peer only. An unanswered hand-over is repeated to the same peer and never sent
/// to another one, because both could then spend the same ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HandOver {
    pub(super) heir: (NodeName, Incarnation),
    pub(super) ledgers: Vec<Ledger>,
}

impl HandOver {
    /// Packs `ledgers` for `heir`.
    ///
    /// Draw times become ages, attempts that were never sent become unspent, and attempts that may
    /// have been sent end with an unknown outcome.
    pub(super) fn pack(
        now_ms: u64,
        heir: (NodeName, Incarnation),
        ledgers: impl IntoIterator<Item = Ledger>,
    ) -> Self {
        let ledgers = ledgers
            .into_iter()
            .map(|ledger| pack_ledger(now_ms, ledger))
            .collect();
        Self { heir, ledgers }
    }

    /// Returns the issuers whose tickets it contains.
    pub fn issuers(&self) -> impl Iterator<Item = (&NodeName, Incarnation)> {
        self.ledgers.iter().map(|l| (&l.node, l.incarnation))
    }
}

fn pack_ledger(now_ms: u64, mut ledger: Ledger) -> Ledger {
    for batch in &mut ledger.batches {
        batch.age_ms = now_ms.saturating_sub(batch.drawn_ms);
    }
    ledger
        .spent
        .retain(|_, spent| spent.progress != Progress::InFlight { sent_to: None });
    for spent in ledger.spent.values_mut() {
        if let Progress::InFlight { sent_to: Some(_) } = spent.progress {
            let outcome = StoredOutcome::Unknown(OutcomeUnknown {
                reason: UnknownReason::IssuerLost,
                detail: "the node stopped before the answer arrived".to_owned(),
            });
            spent.progress = Progress::Ended { outcome };
        }
    }
    ledger
}

/// Restores the draw times, on this node's clock, of a ledger that another node packed.
pub(super) fn unpack_ledger(now_ms: u64, mut ledger: Ledger) -> Ledger {
    for batch in &mut ledger.batches {
        batch.drawn_ms = now_ms.saturating_sub(batch.age_ms);
        batch.age_ms = 0;
    }
    ledger
}
