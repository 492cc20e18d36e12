//! Cancels jobs. A cancel of a job that the store does not have is stored, too, where the submission expects nothing: a
//! submission that the store carries out later has no effect then, and the answer that there is no such job stays true.

use adapter::{CONFIGURATION_KEY, Item, Precondition, Put, Txn, TxnOutcome};
use scheduler::{JobId, JobRecord, JobState};
use serde::Deserialize;
use serde_json::Value;

use crate::call::{Admitted, Call, admit};
use crate::clock::{now_ms, unix_ms};
use crate::configuration::apply_configuration;
use crate::configuration_cache::ActiveConfiguration;
use crate::intake::{FailedAttempts, commit_with_retries};
use crate::job_calls::{decode_record, read_item};
use crate::keys;
use crate::metrics::Counter;
use crate::node::Node;
use crate::reply::Reply;

/// The share of the store's writes, in hundredths, that cancels of unknown jobs may take on all nodes together. Each of
/// them is kept as long as the record of an ended job.
const UNKNOWN_JOBS_SHARE_PERCENT: u64 = 10;

/// Cancels of unknown jobs that a node stores in a second if the store's rate is not known.
const DEFAULT_UNKNOWN_JOBS_PER_S: u64 = 5;

/// How many cancels of unknown jobs a node has stored in the current second.
#[derive(Debug, Default)]
pub(crate) struct UnknownJobs {
    second: u64,
    stored: u64,
}

impl UnknownJobs {
    /// Counts one more in the second of `now_ms`; false, without counting it, if there were `most` of them.
    fn admit(&mut self, most: u64, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if self.second != second {
            *self = UnknownJobs { second, stored: 0 };
        }
        let admitted = self.stored < most;
        self.stored += u64::from(admitted);
        admitted
    }
}

/// The part of an accepted job that says whose it is.
#[derive(Debug, Deserialize)]
struct JobOwner {
    organisation: String,
}

/// Cancels a job.
pub(crate) async fn cancel_job(node: &Node, call: &Call, id: JobId) -> Reply {
    match try_cancel(node, call, id).await {
        Ok(reply) | Err(reply) => reply,
    }
}

async fn try_cancel(node: &Node, call: &Call, id: JobId) -> Result<Reply, Reply> {
    let mut failures = FailedAttempts::default();
    let mut job = read_item(node, call, &keys::job(id)).await?;
    let mut record = match job {
        Some(_) => None,
        None => read_item(node, call, &keys::record(id)).await?,
    };
    loop {
        let Some(active) = node.configuration.latest() else {
            return Err(failures.final_reply("no configuration is known"));
        };
        let caller = admit(&active.configuration, call)?;
        if let Some(item) = &record {
            return answer_recorded(node, &caller, id, item);
        }
        let txn = match &job {
            Some(item) if !may_cancel(&caller, item) => return Ok(Reply::Gone),
            Some(item) => build_cancel(&active, id, item),
            None => {
                admit_unknown(node)?;
                build_withdrawal(&active, &caller, id)?
            }
        };
        match commit_with_retries(node, call, &txn, &mut failures).await? {
            TxnOutcome::Done(revision) => {
                let fields = [("revision", Value::from(revision))];
                let (what, reply) = match job {
                    Some(_) => ("cancelled", Reply::State(JobState::Cancelled)),
                    None => ("cancelled before its submission", Reply::Gone),
                };
                node.log.request("intake", what, &id.to_string(), &fields);
                return Ok(reply);
            }
            TxnOutcome::Conflict(items) => {
                let newer = items
                    .iter()
                    .find(|i| i.key == CONFIGURATION_KEY && i.revision > active.revision);
                if let Some(item) = newer {
                    apply_configuration(node, &item.value, item.revision, call.arrived_ms);
                }
                let find = |key: String| items.iter().find(|i| i.key == key).cloned();
                job = find(keys::job(id));
                record = match job {
                    Some(_) => None,
                    None => find(keys::record(id)),
                };
            }
            TxnOutcome::NoLease => {}
        }
        if now_ms() >= call.answer_by_ms {
            return Err(failures.final_reply("the job kept changing"));
        }
    }
}

/// Answers the cancel of a job that has a record and is over, or that was cancelled before its submission.
fn answer_recorded(
    node: &Node,
    caller: &Admitted<'_>,
    id: JobId,
    item: &Item,
) -> Result<Reply, Reply> {
    let record = decode_record(node, id, item)?;
    let shown = !record.unsubmitted && caller.may_see(&record.organisation);
    Ok(match shown {
        true => Reply::State(record.state),
        false => Reply::Gone,
    })
}

/// Returns whether a caller may cancel an accepted job. One that cannot be read belongs to nobody known.
fn may_cancel(caller: &Admitted<'_>, item: &Item) -> bool {
    match serde_json::from_slice::<JobOwner>(&item.value) {
        Ok(owner) => caller.may_see(&owner.organisation),
        Err(_) => true,
    }
}

/// Admits a cancel of an unknown job; a refusal if there are too many.
fn admit_unknown(node: &Node) -> Result<(), Reply> {
    let nodes = node.peers.count() + 1;
    let most = match node.settings.writes_per_s {
        0 => DEFAULT_UNKNOWN_JOBS_PER_S,
        writes_per_s => (writes_per_s * UNKNOWN_JOBS_SHARE_PERCENT / 100 / nodes).max(1),
    };
    let admitted = node
        .unknown_jobs
        .lock()
        .is_ok_and(|mut unknown_jobs| unknown_jobs.admit(most, now_ms()));
    match admitted {
        true => {
            node.metrics.count(Counter::CancelsUnknown);
            Ok(())
        }
        false => {
            let detail = "too many cancels of unknown jobs in this second";
            Err(Reply::refused(Counter::RefusedCancelsUnknown, detail))
        }
    }
}

/// Builds the write that cancels an accepted job. It has no effect on another submission of the same id.
fn build_cancel(active: &ActiveConfiguration, id: JobId, job: &Item) -> Txn {
    Txn {
        conditions: vec![
            Precondition {
                key: CONFIGURATION_KEY.to_string(),
                revision: active.revision,
            },
            Precondition {
                key: job.key.clone(),
                revision: job.revision,
            },
        ],
        puts: vec![put(keys::cancel(id), Vec::new())],
        removals: Vec::new(),
    }
}

/// Builds the write that cancels a job before its submission: its record, under which no submission is accepted, and the
/// cancel, by which the planner learns of the record and removes both some time later.
fn build_withdrawal(
    active: &ActiveConfiguration,
    caller: &Admitted<'_>,
    id: JobId,
) -> Result<Txn, Reply> {
    let record = JobRecord {
        state: JobState::Cancelled,
        queue: caller
            .queue
            .map_or_else(String::new, |queue| queue.name.clone()),
        organisation: caller.organisation.clone(),
        begun: true,
        unsubmitted: true,
        ended_unix_ms: unix_ms(),
        groups: Vec::new(),
    };
    let absent = |key: String| Precondition { key, revision: 0 };
    Ok(Txn {
        conditions: vec![
            Precondition {
                key: CONFIGURATION_KEY.to_string(),
                revision: active.revision,
            },
            absent(keys::job(id)),
            absent(keys::record(id)),
        ],
        puts: vec![
            put(keys::record(id), encode_record(&record)?),
            put(keys::cancel(id), Vec::new()),
        ],
        removals: Vec::new(),
    })
}

/// Builds the write after which a job that was cancelled before its submission is shown as cancelled: it has been
/// submitted now.
pub(crate) fn build_submitted(
    active: &ActiveConfiguration,
    item: &Item,
    record: JobRecord,
) -> Result<Txn, Reply> {
    let record = JobRecord {
        unsubmitted: false,
        ..record
    };
    Ok(Txn {
        conditions: vec![
            Precondition {
                key: CONFIGURATION_KEY.to_string(),
                revision: active.revision,
            },
            Precondition {
                key: item.key.clone(),
                revision: item.revision,
            },
        ],
        puts: vec![put(item.key.clone(), encode_record(&record)?)],
        removals: Vec::new(),
    })
}

fn encode_record(record: &JobRecord) -> Result<Vec<u8>, Reply> {
    serde_json::to_vec(record).map_err(|e| Reply::refused(Counter::RefusedStore, e.to_string()))
}

fn put(key: String, value: Vec<u8>) -> Put {
    Put {
        key,
        value,
        lease: None,
    }
}
