//! The way of submissions, questions and cancellations to the planner.

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

/// Time that the planner has to answer, in milliseconds.
const PLANNER_TIMEOUT_MS: u64 = 3_000;

/// Time for which a planner is looked for, in milliseconds.
const ROUTE_MS_MAX: u64 = 8_000;

/// Pause before the planner is asked again, in milliseconds.
const ROUTE_PAUSE_MS: u64 = 100;

/// Time that a submission waits for its record to be stored, in milliseconds.
const DURABLE_WAIT_MS: u64 = 1_000;

/// Most nodes that a call passes.
const HOPS_MAX: u8 = 3;

/// Submits a job through any node; yields whether its record is stored.
///
/// # Errors
///
/// Why it is not accepted, or that this is not known.
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
            return Err(not_submitted(may_have_arrived));
        }
        shared
            .metrics
            .count(&retry_counter(RetryReason::PeerUnavailable));
        // The job has the same identifier at each try, so it is accepted once.
        tokio::time::sleep(Duration::from_millis(ROUTE_PAUSE_MS)).await;
    }
}

/// What the caller is told when no planner was found.
fn not_submitted(may_have_arrived: bool) -> NoAnswer {
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

/// Submits a job to the planner, which may be this node.
///
/// # Errors
///
/// The node on the way cannot be reached.
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
        .call(&node, PLANNER_TIMEOUT_MS, async |client, context| {
            client.submit_job(context, submission, hops + 1).await
        })
        .await
}

/// Submits a job to the planner of this node; `None` while this node does not plan.
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
            // In an outage of the store the copy in a peer survives this node.
            let record = shared.jobs.planner().as_ref()?.book.get(job).cloned()?;
            let copied = copy_to_one_peer(shared, record);
            let (durable, _) = tokio::join!(wait_durable(shared, job), copied);
            Some(SubmitReply::Accepted { durable })
        }
    }
}

/// Waits until the record of a job is stored; `false` when that takes too long.
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

/// Next node on the way to the planner of a job's data centre.
fn next_node(shared: &Shared, job: &JobId, hops: u8) -> Option<NodeName> {
    if hops >= HOPS_MAX {
        return None;
    }
    if job.data_centre != shared.settings.data_centre {
        return shared.members.peer_in(&job.data_centre, &job.node);
    }
    let planner = shared.members.current_leader()?;
    (planner != shared.settings.node).then_some(planner)
}

/// What is known about a job, through any node.
///
/// # Errors
///
/// The data centre of the job cannot be reached.
pub(crate) async fn job_status(shared: &Arc<Shared>, job: &JobId) -> Result<JobReply, Refused> {
    let reply = query_leader(shared, job.clone(), 0).await;
    answer_or_copy(shared, job, reply)
}

/// Cancels a job, through any node.
///
/// # Errors
///
/// The planner of the job cannot be reached.
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

/// The planner's reply, or what the copy on this node says while there is none.
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

/// Asks the planner about a job, which may be this node.
///
/// # Errors
///
/// The node on the way cannot be reached.
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
        .call(&node, PLANNER_TIMEOUT_MS, async |client, context| {
            client.job_status(context, job, hops + 1).await
        })
        .await
}

/// Cancels a job at the planner, which may be this node.
///
/// # Errors
///
/// The node on the way cannot be reached.
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
        .call(&node, PLANNER_TIMEOUT_MS, async |client, context| {
            client.cancel_job(context, job, hops + 1).await
        })
        .await
}
