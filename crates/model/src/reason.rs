//! Reasons for refusals, failures, unknown outcomes and retries; each reason has a counter.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

macro_rules! define_reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident,)* }) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            Display, EnumIter, EnumString, IntoStaticStr,
        )]
        #[serde(rename_all = "snake_case")]
        #[strum(serialize_all = "snake_case")]
        pub enum $name { $($(#[$variant_doc])* $variant,)* }
    };
}

define_reasons!(
    /// Why work was refused without being run.
    RefusalReason {
        /// The token is missing, wrong or not allowed to do this.
        Unauthorised,
        /// The token is valid but its role or organisation may not do this.
        Forbidden,
        /// The input is malformed.
        Malformed,
        /// The body or the input is larger than allowed.
        TooLarge,
        /// The class is not declared or not allowed for the organisation.
        UnknownClass,
        /// The organisation is not declared.
        UnknownOrganisation,
        /// The organisation is suspended.
        Suspended,
        /// The job, ticket or worker is not known here.
        NotFound,
        /// The deadline is in the past or passed while the request waited.
        DeadlinePassed,
        /// The deadline cannot be met because of the backlog.
        DeadlineUnreachable,
        /// The queue of the class is full.
        QueueFull,
        /// The quota of the organisation is used up.
        QuotaUsed,
        /// The concurrency limit of the class is reached.
        ClassLimit,
        /// No worker takes new work.
        NoWorker,
        /// The retry budget is used up and no attempt was sent.
        RetryBudgetUsed,
        /// The shape of the gang can never be placed here.
        ImpossibleShape,
        /// The ticket was spent on a request with a different body.
        TicketMismatch,
        /// The ticket's issuer is fenced at every worker and no worker has seen the ticket.
        IssuerFenced,
        /// The ticket is no longer valid.
        TicketExpired,
        /// The node is stopping.
        Stopping,
        /// The node has no declarations yet.
        NotReady,
        /// The caller cancelled the work before it was sent.
        Cancelled,
        /// A concurrent change of the declarations was written first.
        Conflict,
        /// The store is unresponsive and the change was not written.
        StoreUnavailable,
        /// The data centre that owns the work cannot be reached and nothing was sent.
        Unreachable,
    }
);

define_reasons!(
    /// Why work that ran has failed.
    FailureReason {
        /// The worker reported that the work failed.
        WorkerReportedFailure,
        /// The answer is damaged and no undamaged copy can be fetched from the worker.
        AnswerDamaged,
    }
);

define_reasons!(
    /// Why it is not known whether work ran.
    UnknownReason {
        /// The worker was lost after the work was sent.
        WorkerLost,
        /// The deadline passed after the work was sent.
        DeadlinePassedAfterSend,
        /// The node that holds the ticket is lost.
        IssuerLost,
        /// The link to the node that forwards the work failed after the work was sent.
        LinkLost,
        /// A write to the store is unconfirmed and its result cannot be read back.
        StoreAnswerLost,
        /// The record of the ticket was removed because of its age or of the limits on records.
        RecordDropped,
        /// The worker has seen the ticket with other work.
        TicketSeen,
    }
);

define_reasons!(
    /// Why an attempt is repeated.
    RetryReason {
        /// The worker refused the work before running it.
        WorkerRefused,
        /// The connection could not be opened.
        ConnectFailed,
        /// The call timed out and the answer is fetched over a new connection.
        ConnectionSilent,
        /// The answer arrived damaged and is fetched again.
        AnswerDamaged,
        /// The answer belongs to other work.
        AnswerCrossed,
        /// The work is idempotent and a hedged request is sent.
        Hedge,
        /// The worker was lost and the work is idempotent.
        WorkerLost,
        /// The store did not answer.
        StoreUnavailable,
        /// A write to the store is unconfirmed and its result is read back.
        StoreAnswerLost,
        /// A peer did not answer.
        PeerUnavailable,
        /// A lease of a gang was refused.
        LeaseRefused,
    }
);
