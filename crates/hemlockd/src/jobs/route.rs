//! Forwards submissions, status queries and cancellations to the leader of a job's data centre.

use std::sync::Arc;
use std::time::Duration;

use model::prelude::*;

use super::copies::copy_to_one_peer;
use super::planner::status_of_record;
use super::status::{JobReply, Submission, SubmitReply};
use crate::http::{NoAnswer, refuse};
use crate::node::Shared;
use crate::peers::PeerCallError;
use crate::telemetry::metrics::retry_counter;

/// Timeout of a call to the leader, in milliseconds.
const LEADER_TIMEOUT_MS: u64 = 3_000;

/// Maximum time to search for a leader, in milliseconds.
const ROUTE_MS_MAX: u64 = 8_000;

/// Delay before the leader is called again, in milliseconds.
const ROUTE_PAUSE_MS: u64 = 100;

/// Maximum wait of a submission for its record to be stored, in milliseconds.
const DURABLE_WAIT_MS: u64 = 1_000;

/// Maximum number of nodes that forward one call.
const HOPS_MAX: u8 = 3;

/// Submits a job through any node; returns whether its record is stored.
///
/// # Errors
///
/// The job is refused, or it is unknown whether it was accepted.
pub(crate) async fn submit_job(
    shared: &Arc<Shared>,
    submission: &Submission,
) -> Result<bool, NoAnswer> {
    let until_ms = shared.clock.now_ms() + ROUTE_MS_MAX;
    let mut may_have_arrived = false;
    loop {
        match submit_to_leader(shared, submission.clone(), 0).await {
            Ok(SubmitReply::Accepted { durable }) => {
                shared.metrics.count("jobs.accepted");
                return Ok(durable);
            }
            Ok(SubmitReply::Refused(statement)) if !may_have_arrived => {
                return Err(NoAnswer::Refused(statement.into()));
            }
            Ok(SubmitReply::Refused(_) | SubmitReply::NotPlanner) => {}
            Err(e) => may_have_arrived |= !e.is_unsent(),
        }
        if shared.clock.now_ms() >= until_ms {
            return Err(no_leader_reply(may_have_arrived));
        }
        shared
            .metrics
            .count(&retry_counter(RetryReason::PeerUnavailable));
        // The identifier is the same for each call, so the job is accepted once.
        tokio::time::sleep(Duration::from_millis(ROUTE_PAUSE_MS)).await;
    }
}

/// Builds the reply to the caller when no leader has answered in time.
fn no_leader_reply(may_have_arrived: bool) -> NoAnswer {
    if may_have_arrived {
        return NoAnswer::Unknown(OutcomeUnknown {
            reason: UnknownReason::LinkLost,
            detail: "the planner does not answer; the job may have been accepted".to_owned(),
        });
    }
    refuse(
        RefusalReason::Unreachable,
        "no planner of the data centre can be reached",
    )
    .into()
}

/// Submits a job to the leader, which may be this node.
///
/// # Errors
///
/// The next node on the route is unreachable.
pub(crate) async fn submit_to_leader(
    shared: &Arc<Shared>,
    submission: Submission,
    hops: u8,
) -> Result<SubmitReply, PeerCallError> {
    if submission.job.data_centre == shared.settings.data_centre
        && let Some(reply) = submit_to_own_planner(shared, &submission).await
    {
        return Ok(reply);
    }
    let Some(node) = next_node(shared, &submission.job, hops) else {
        return Ok(SubmitReply::NotPlanner);
    };
    shared
        .peers
        .call(&node, LEADER_TIMEOUT_MS, async |client, context| {
            client.submit_job(context, submission, hops + 1).await
        })
        .await
}

/// Submits a job to this node's planner and waits for its record to be stored; `None` while this
/// node does not lead.
async fn submit_to_own_planner(
    shared: &Arc<Shared>,
    submission: &Submission,
) -> Option<SubmitReply> {
    let Submission { job, spec } = submission;
    let submitted = shared.update_planner(|planner, now_ms| {
        planner
            .can_start()
            .then(|| planner.submit(now_ms, job, spec))
    })?;
    match submitted {
        None => Some(SubmitReply::NotPlanner),
        Some(Err(refused)) => Some(SubmitReply::Refused(refused.into())),
        Some(Ok(())) => {
            // During an outage of the store, the copy on a peer outlives this node.
            let record = shared.jobs.planner().as_ref()?.records.get(job).cloned()?;
            let copied = copy_to_one_peer(shared, record);
            let (durable, _) = tokio::join!(wait_durable(shared, job), copied);
            Some(SubmitReply::Accepted { durable })
        }
    }
}

/// Waits until the record of a job is stored; `false` after [`DURABLE_WAIT_MS`].
async fn wait_durable(shared: &Arc<Shared>, job: &JobId) -> bool {
    let is_durable = || {
        let planner = shared.jobs.planner();
        planner
            .as_ref()
            .is_some_and(|planner| planner.is_durable(job))
    };
    let stored = async {
        loop {
            let notified = shared.jobs.stored.notified();
            if is_durable() {
                return;
            }
            notified.await;
        }
    };
    let wait = Duration::from_millis(DURABLE_WAIT_MS);
    tokio::time::timeout(wait, stored).await.is_ok()
}

/// Returns the next node on the route to the leader of a job's data centre.
fn next_node(shared: &Shared, job: &JobId, hops: u8) -> Option<NodeName> {
    if hops >= HOPS_MAX {
        return None;
    }
    if job.data_centre != shared.settings.data_centre {
        return shared.members.peer_in(&job.data_centre, &job.node);
    }
    let leader = shared.members.current_leader()?;
    (leader != shared.settings.node).then_some(leader)
}

/// Returns the status of a job, through any node.
///
/// # Errors
///
/// The leader of the job's data centre is unreachable, and this node has no copy of the record.
pub(crate) async fn job_status(shared: &Arc<Shared>, job: &JobId) -> Result<JobReply, Refused> {
    let reply = query_leader(shared, job.clone(), 0).await;
    answer_or_copy(shared, job, reply)
}

/// Cancels a job, through any node.
///
/// # Errors
///
/// The leader of the job's data centre is unreachable.
pub(crate) async fn cancel_job(shared: &Arc<Shared>, job: &JobId) -> Result<JobReply, Refused> {
    let until_ms = shared.clock.now_ms() + ROUTE_MS_MAX;
    loop {
        if let Ok(reply @ (JobReply::Known(_) | JobReply::NotFound)) =
            cancel_at_leader(shared, job.clone(), 0).await
        {
            return Ok(reply);
        }
        if shared.clock.now_ms() >= until_ms {
            let detail = "no planner of the data centre can be reached; ask again";
            return Err(refuse(RefusalReason::Unreachable, detail));
        }
        tokio::time::sleep(Duration::from_millis(ROUTE_PAUSE_MS)).await;
    }
}

/// Returns the leader's reply, or the status of the copy on this node if there is none.
fn answer_or_copy(
    shared: &Shared,
    job: &JobId,
    reply: Result<JobReply, PeerCallError>,
) -> Result<JobReply, Refused> {
    match reply {
        Ok(reply @ (JobReply::Known(_) | JobReply::NotFound)) => Ok(reply),
        Ok(JobReply::NotPlanner) | Err(_) => match shared.jobs.copies().get(job) {
            Some(record) => {
                let mut status = status_of_record(record, false);
                if !record.state.is_final() {
                    status.why = "the planner does not answer; this is a copy".to_owned();
                }
                Ok(JobReply::Known(Box::new(status)))
            }
            None => {
                let detail = "the data centre of the job cannot be reached";
                Err(refuse(RefusalReason::Unreachable, detail))
            }
        },
    }
}

/// Queries the leader, which may be this node, about a job.
///
/// # Errors
///
/// The next node on the route is unreachable.
pub(crate) async fn query_leader(
    shared: &Arc<Shared>,
    job: JobId,
    hops: u8,
) -> Result<JobReply, PeerCallError> {
    if job.data_centre == shared.settings.data_centre {
        let planner = shared.jobs.planner();
        if let Some(planner) = planner.as_ref().filter(|planner| planner.can_start()) {
            return Ok(match planner.status(&job) {
                Some(status) => JobReply::Known(Box::new(status)),
                None => JobReply::NotFound,
            });
        }
    }
    let Some(node) = next_node(shared, &job, hops) else {
        return Ok(JobReply::NotPlanner);
    };
    shared
        .peers
        .call(&node, LEADER_TIMEOUT_MS, async |client, context| {
            client.job_status(context, job, hops + 1).await
        })
        .await
}

/// Cancels a job at the leader, which may be this node.
///
/// # Errors
///
/// The next node on the route is unreachable.
pub(crate) async fn cancel_at_leader(
    shared: &Arc<Shared>,
    job: JobId,
    hops: u8,
) -> Result<JobReply, PeerCallError> {
    if job.data_centre == shared.settings.data_centre {
        let cancelled = shared.update_planner(|planner, now_ms| {
            planner.can_start().then(|| {
                planner.cancel(now_ms, &job);
                planner.status(&job)
            })
        });
        match cancelled {
            Some(Some(Some(status))) => return Ok(JobReply::Known(Box::new(status))),
            Some(Some(None)) => return Ok(JobReply::NotFound),
            Some(None) => return Ok(JobReply::NotPlanner),
            None => {}
        }
    }
    let Some(node) = next_node(shared, &job, hops) else {
        return Ok(JobReply::NotPlanner);
    };
    shared
        .peers
        .call(&node, LEADER_TIMEOUT_MS, async |client, context| {
            client.cancel_job(context, job, hops + 1).await
        })
        .await
}
