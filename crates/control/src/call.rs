//! Admission of a caller's call: takes the caller's key and target, checks them against a configuration, and returns
//! the queue and the organisation.

use scheduler::{Configuration, Queue};
use serde::{Deserialize, Serialize};

use crate::metrics::Counter;
use crate::reply::Reply;

/// The target of a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Target {
    /// The queue of a host and path; the part after the queue's path is the job's identifier.
    Path { host: String, path: String },
    /// The queue whose name is that class of work, on behalf of one organisation.
    Class { class: String, organisation: String },
    /// A job of the caller's organisation, in any queue.
    OwnJob { id: String },
}

impl Target {
    /// Returns the job's identifier, for the log: the last part of the path.
    pub fn last_part(&self) -> &str {
        match self {
            Target::Path { path, .. } => path.rsplit('/').next().unwrap_or_default(),
            Target::Class { .. } => "",
            Target::OwnJob { id } => id,
        }
    }

    /// Returns the path, or the class, for the log.
    pub fn name(&self) -> &str {
        match self {
            Target::Path { path, .. } => path,
            Target::Class { class, .. } => class,
            Target::OwnJob { id } => id,
        }
    }
}

/// A parsed call.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// When it arrived.
    pub arrived_ms: u64,
    /// Deadline for sending the answer.
    pub answer_by_ms: u64,
    /// The caller's key.
    pub key: Option<String>,
    /// The queue or job that the call addresses.
    pub target: Target,
    /// Whether a peer has passed it on, because the store does not answer that one.
    pub passed_on: bool,
}

/// A call that the configuration permits.
#[derive(Debug)]
pub(crate) struct Admitted<'c> {
    /// The queue addressed; none for a call about a job in any queue.
    pub queue: Option<&'c Queue>,
    /// The caller's organisation; empty for a public queue without a known key.
    pub organisation: String,
    /// The part of the path after the queue's path.
    pub rest: &'c str,
}

impl Admitted<'_> {
    /// Returns whether the call may concern a job of an organisation; empty for a job of nobody known. To others, the job
    /// does not exist. A public queue asks nobody who they are.
    pub fn may_see(&self, organisation: &str) -> bool {
        organisation.is_empty()
            || organisation == self.organisation
            || self.queue.is_some_and(|queue| queue.public)
    }
}

/// Checks a call against a configuration; returns the refusal if it is not permitted.
pub(crate) fn admit<'c>(
    configuration: &'c Configuration,
    call: &'c Call,
) -> Result<Admitted<'c>, Reply> {
    let key = call.key.as_deref();
    let unknown_key = || Reply::refused(Counter::RefusedKey, "the key is not known");
    let (queue, rest) = match &call.target {
        Target::Path { host, path } => configuration
            .find_queue(host, path)
            .ok_or("no queue has that host and path"),
        Target::Class { class, .. } => configuration
            .find_queue_by_name(class)
            .map(|queue| (queue, ""))
            .ok_or("no queue has the name of that class"),
        Target::OwnJob { .. } => {
            let organisation = key.and_then(|key| configuration.find_organisation(key));
            let organisation = organisation.ok_or_else(unknown_key)?.name.clone();
            return Ok(Admitted {
                queue: None,
                organisation,
                rest: "",
            });
        }
    }
    .map_err(|detail| Reply::refused(Counter::RefusedNoQueue, detail))?;
    let organisation = configuration
        .admit_caller(queue, key)
        .map_err(|_| unknown_key())?;
    if let Target::Class {
        organisation: named,
        ..
    } = &call.target
        && *named != organisation
    {
        let detail = format!("this token does not act for {named}");
        return Err(Reply::refused(Counter::RefusedKey, detail));
    }
    Ok(Admitted {
        queue: Some(queue),
        organisation,
        rest,
    })
}
