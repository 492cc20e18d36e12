//! Settles calls in doubt: a call whose write got no answer is repeated until the store has answered or the caller's
//! deadline is near. Repeating it is harmless, since it carries the same id and the same condition.

use std::time::Duration;

use poem::http::Method;
use scheduler::JobId;
use serde_json::Value;

use crate::call::Call;
use crate::clock::now_ms;
use crate::metrics::Counter;
use crate::node::Node;
use crate::outage::{Attempt, DoubtStep, choose_doubt_step};
use crate::reply::Reply;

/// The attempts at one call.
#[derive(Debug)]
pub(crate) struct Settling<'c> {
    node: &'c Node,
    call: &'c Call,
    /// When the call was first in doubt, if it is.
    in_doubt_since_ms: Option<u64>,
    repeats: u32,
}

impl<'c> Settling<'c> {
    /// Begins with a call that has not been attempted.
    pub fn begin(node: &'c Node, call: &'c Call) -> Settling<'c> {
        Settling {
            node,
            call,
            in_doubt_since_ms: None,
            repeats: 0,
        }
    }

    /// Returns the answer to the call after an attempt; none, after a pause, if the call has to be repeated.
    pub async fn judge(&mut self, reply: Reply) -> Option<Reply> {
        let since_ms = match self.in_doubt_since_ms {
            None if reply != Reply::OutcomeUnknown => return Some(reply),
            since_ms => *self
                .in_doubt_since_ms
                .insert(since_ms.unwrap_or_else(now_ms)),
        };
        let answer_by_ms = self.call.answer_by_ms;
        let stopping = self.node.is_stopping();
        match choose_doubt_step(judge_attempt(&reply), now_ms(), answer_by_ms, stopping) {
            DoubtStep::Answer => {
                self.node.metrics.count(Counter::DoubtSettled);
                self.log("doubt settled", &reply, since_ms);
                Some(reply)
            }
            DoubtStep::AnswerUnknown => {
                self.log("doubt not settled", &reply, since_ms);
                Some(Reply::OutcomeUnknown)
            }
            DoubtStep::Repeat { pause_ms } => {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                self.repeats += 1;
                None
            }
        }
    }

    /// Logs what came of the doubt, with what decided it.
    fn log(&self, what: &str, last: &Reply, since_ms: u64) {
        let now_ms = now_ms();
        let left_ms = self.call.answer_by_ms.saturating_sub(now_ms);
        let last: &str = match last {
            Reply::Refused { reason, .. } => reason.into(),
            Reply::OutcomeUnknown => Counter::OutcomeUnknown.into(),
            Reply::State(_) | Reply::Waiting(_) | Reply::Gone => "answered",
        };
        let fields = [
            ("repeats", Value::from(self.repeats)),
            ("in_doubt_ms", Value::from(now_ms.saturating_sub(since_ms))),
            ("left_ms", Value::from(left_ms)),
            ("last", Value::from(last)),
            ("stopping", Value::from(self.node.is_stopping())),
        ];
        let id = self.call.target.last_part();
        self.node.log.request("intake", what, id, &fields);
    }
}

/// Returns the answer to a submission, after what this node remembers of the doubt about its job: a refusal as "not run"
/// becomes "unknown" while an earlier attempt may still take effect.
pub(crate) fn heed_earlier_doubt(node: &Node, call: &Call, method: &Method, reply: Reply) -> Reply {
    let Ok(id) = call.target.last_part().parse::<JobId>() else {
        return reply;
    };
    let (Ok(mut doubts), &Method::POST) = (node.doubts.lock(), method) else {
        return reply;
    };
    match &reply {
        Reply::OutcomeUnknown => doubts.remember(id, now_ms()),
        Reply::State(_) => doubts.forget(id),
        refused if refused.is_refused_in_outage() && doubts.contains(id, now_ms()) => {
            drop(doubts);
            node.metrics.count(Counter::RefusalsWithheld);
            let fields = [("reason", Value::from("an earlier attempt is in doubt"))];
            node.log
                .request("intake", "refusal withheld", &id.to_string(), &fields);
            return Reply::OutcomeUnknown;
        }
        _ => {}
    }
    reply
}

/// Returns what a reply to a call in doubt shows.
fn judge_attempt(reply: &Reply) -> Attempt {
    match reply {
        Reply::State(_) | Reply::Waiting(_) | Reply::Gone => Attempt::TookEffect,
        reply if reply.is_store_failure() || reply.is_outage() => Attempt::NoAnswer,
        _ => Attempt::NotPermitted,
    }
}
