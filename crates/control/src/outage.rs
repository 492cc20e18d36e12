//! Decides what is done with callers' calls while the store is away or turns this node away: whether the store is read
//! before a write, and how long a call in doubt is repeated. Takes what was observed and the time, returns the next step.

use std::collections::VecDeque;

use scheduler::JobId;

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

/// How long a write without an answer may still be carried out; the platform's documentation says "seconds".
pub const DOUBT_LASTS_MS: u64 = 10_000;

/// The most jobs in doubt that are remembered, 16 bytes each; the oldest is forgotten first.
pub const MAX_DOUBTS: usize = 1_024;

/// The jobs whose submission this node has left in doubt. A later attempt at one of them is not refused as "not run": its
/// refusal would be taken for the job's.
#[derive(Debug, Default)]
pub struct Doubts {
    /// Each job, and when its doubt was last known, in the order of these times.
    jobs: VecDeque<(JobId, u64)>,
}

impl Doubts {
    /// Remembers a job whose submission is in doubt now.
    pub fn remember(&mut self, job: JobId, now_ms: u64) {
        self.forget(job);
        if self.jobs.len() >= MAX_DOUBTS {
            self.jobs.pop_front();
        }
        self.jobs.push_back((job, now_ms));
    }

    /// Forgets a job whose submission is no longer in doubt.
    pub fn forget(&mut self, job: JobId) {
        self.jobs.retain(|(known, _)| *known != job);
    }

    /// Returns whether an earlier submission of a job may still take effect.
    pub fn contains(&self, job: JobId, now_ms: u64) -> bool {
        self.jobs.iter().any(|(known, since_ms)| {
            *known == job && now_ms.saturating_sub(*since_ms) < DOUBT_LASTS_MS
        })
    }
}
