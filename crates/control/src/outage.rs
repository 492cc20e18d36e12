//! Decides what is done with callers' calls while the store is away or turns this node away: whether the store is read
//! before a write, and how long a call in doubt is repeated. Takes what was observed and the time, returns the next step.

/// Delay between two attempts at a call in doubt: a tenth of a second is little beside the second after which
/// a caller that is refused comes back.
pub const REPEAT_EVERY_MS: u64 = 100;

/// How a submission begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstStep {
    /// The write that accepts the job is sent.
    Write,
    /// The job is read first. Only if that is answered the write is sent: a write to a store that is away may be carried
    /// out seconds later, so its caller could not be told that nothing was done.
    ReadFirst,
}

/// Decides how a submission begins. `store_answers`: the store answered this node's last call. `passed_on`: a peer has
/// passed the call on, because the store did not answer that one.
pub fn choose_first_step(store_answers: bool, passed_on: bool) -> FirstStep {
    match store_answers && !passed_on {
        true => FirstStep::Write,
        false => FirstStep::ReadFirst,
    }
}

/// What one attempt to settle a call in doubt has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// The store has answered, and the call has taken effect.
    TookEffect,
    /// The store did not answer, or turned the call away: the earlier write may still take effect.
    NoAnswer,
    /// The call is not permitted any more: it cannot be repeated, and the earlier write may have taken effect.
    NotPermitted,
}

/// What is done with a call in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DoubtStep {
    /// It is answered: it took effect.
    Answer,
    /// It is read back, and repeated under the same condition if the store answers, after this delay.
    Repeat {
        /// The delay, in milliseconds.
        pause_ms: u64,
    },
    /// It is answered with 504 at once, because nothing that this node can still do removes the doubt.
    AnswerUnknown,
}

/// Decides what is done with a call in doubt after an attempt.
pub fn choose_doubt_step(
    attempt: Attempt,
    now_ms: u64,
    answer_by_ms: u64,
    stopping: bool,
) -> DoubtStep {
    let in_time = now_ms + REPEAT_EVERY_MS < answer_by_ms;
    match attempt {
        Attempt::TookEffect => DoubtStep::Answer,
        Attempt::NoAnswer if in_time && !stopping => DoubtStep::Repeat {
            pause_ms: REPEAT_EVERY_MS,
        },
        Attempt::NoAnswer | Attempt::NotPermitted => DoubtStep::AnswerUnknown,
    }
}
