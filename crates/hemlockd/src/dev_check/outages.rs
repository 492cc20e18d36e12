//! Checks a leaving worker, a store outage and a network partition.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use platform::vm_list::VmListing;

use super::changes::{self, OutageChange};
use super::client::{CallerOutcome, SiteClient, await_some};
use super::gangs::{await_state, gang_job, job_of};
use super::report::Report;
use super::requests::{count_answers, send_all, short_request};
use super::sample::Sample;
use super::site::CheckError;
use super::ticket_outcomes::RunRow;

/// Time after which a leaving worker must receive no new work, in milliseconds.
const LEAVING_MS_MAX: u64 = 3_000;

/// Number of requests per check.
const REQUESTS: usize = 200;

/// Maximum time after a store outage until a job is recorded, in milliseconds.
const RECORD_MS_MAX: u64 = 20_000;

/// Duration of the network cut of a data centre, in milliseconds.
const CUT_MS: u64 = 4_000;

/// Checks that a leaving worker receives no new work.
pub(super) async fn check_leaving(client: &Arc<SiteClient>, sample: &Sample, report: &mut Report) {
    let promise = "a leaving worker receives no new work";
    match count_after_leaving(client, sample).await {
        Ok((answered, on_leaving)) => report.add(
            promise,
            answered,
            format!("{on_leaving} of {answered} requests after {LEAVING_MS_MAX} ms ran on it"),
            on_leaving == 0 && answered == REQUESTS,
        ),
        Err(e) => report.add_not_run(promise, &e),
    }
}

/// Marks a worker as leaving; returns how many requests were answered, and how many of them ran on
/// it.
async fn count_after_leaving(
    client: &Arc<SiteClient>,
    sample: &Sample,
) -> Result<(usize, usize), CheckError> {
    let path = format!("/v1/vms/{}", sample.data_centre);
    let listing: VmListing = client.report(&path).await?;
    let worker = listing
        .workers
        .first()
        .ok_or(CheckError::Missing("worker"))?;
    client
        .switch("worker_leaving", worker.name.as_str(), true)
        .await?;
    tokio::time::sleep(Duration::from_millis(LEAVING_MS_MAX)).await;
    let requests = (0..REQUESTS).map(|i| (sample.node(i).clone(), short_request(sample, i)));
    let results = send_all(client, requests.collect(), 2).await;
    client
        .switch("worker_leaving", worker.name.as_str(), false)
        .await?;
    let answered: BTreeSet<String> = results
        .into_iter()
        .filter_map(|(outcome, _)| match outcome {
            CallerOutcome::Answer { work_id } => Some(work_id),
            _ => None,
        })
        .collect();
    let rows: Vec<RunRow> = client.report("/v1/runs").await?;
    let on_leaving = rows
        .iter()
        .filter(|row| row.worker == worker.name && answered.contains(&row.work_id))
        .count();
    Ok((answered.len(), on_leaving))
}

/// Checks that work continues while the store is down, and that jobs are recorded afterwards.
pub(super) async fn check_store(
    client: &Arc<SiteClient>,
    sample: &Sample,
    report: &mut Report,
) -> Option<OutageChange> {
    let promise = "work goes on in a store outage, and is recorded after it";
    if let Err(e) = client.switch("store_down", "platform", true).await {
        report.add_not_run(promise, &e);
        return None;
    }
    let during = work_in_outage(client, sample).await;
    let change = changes::change_in_outage(client).await.ok();
    let _ = client.switch("store_down", "platform", false).await;
    let (answered, job, durable) = match during {
        Ok(during) => during,
        Err(e) => {
            report.add(promise, 1, e.to_string(), false);
            return change;
        }
    };
    let recorded = await_some("the job is recorded", RECORD_MS_MAX, async || {
        let status = client.job(sample.node(0), &job).await.ok()?;
        (status["durable"] == true).then_some(())
    });
    let recorded = recorded.await.is_ok();
    let _ = client.cancel(sample.node(0), &job).await;
    let outcome = change.map_or("not requested".to_owned(), |outcome| outcome.to_string());
    report.add(
        promise,
        REQUESTS + 2,
        format!(
            "{answered} of {REQUESTS} answered, job reported as durable {durable}, then recorded {recorded}; \
             change of declarations {outcome}"
        ),
        answered == REQUESTS && !durable && recorded && change == Some(OutageChange::Refused),
    );
    change
}

/// Sends requests and starts a job; returns the number of answers, the job, and whether it was
/// reported as durable.
async fn work_in_outage(
    client: &Arc<SiteClient>,
    sample: &Sample,
) -> Result<(usize, String, bool), CheckError> {
    let requests = (0..REQUESTS).map(|i| (sample.node(i).clone(), short_request(sample, i)));
    let answered = count_answers(&send_all(client, requests.collect(), 2).await);
    let spec = gang_job(&sample.rack_holder, &sample.long, 2, 600_000)?;
    let accepted = client.submit(sample.node(0), &spec).await?;
    let job = job_of(&accepted);
    await_state(client, sample, &job, &["running"], RECORD_MS_MAX).await?;
    Ok((answered, job, accepted["durable"] == true))
}

/// Checks that a data centre that is cut off continues to serve.
pub(super) async fn check_partition(
    client: &Arc<SiteClient>,
    sample: &Sample,
    report: &mut Report,
) {
    let promise = "a data centre that is cut off goes on serving";
    let places = other_places(client, sample);
    let here = sample.data_centre.as_str();
    for place in &places {
        if let Err(e) = client.cut(here, place, true).await {
            report.add_not_run(promise, &e);
            return;
        }
    }
    let pause_ms = CUT_MS / REQUESTS as u64;
    let requests = (0..REQUESTS).map(|i| (sample.node(i).clone(), short_request(sample, i)));
    let inside = send_all(client, requests.collect(), pause_ms).await;
    let nodes = &client.site.nodes;
    let outside: Vec<_> = nodes
        .iter()
        .filter(|n| n.data_centre != sample.data_centre)
        .collect();
    let requests = (0..REQUESTS).filter_map(|i| {
        let node = outside.get(i % outside.len().max(1))?;
        Some(((*node).clone(), short_request(sample, i)))
    });
    let outside = send_all(client, requests.collect(), 1).await;
    for place in &places {
        let _ = client.cut(here, place, false).await;
    }
    let (answered, cases) = (
        count_answers(&inside) + count_answers(&outside),
        inside.len() + outside.len(),
    );
    report.add(
        promise,
        cases,
        format!("{answered} of {cases} answered on both sides of the cut"),
        answered == cases,
    );
}

/// Returns the platform and all other data centres.
fn other_places(client: &SiteClient, sample: &Sample) -> BTreeSet<String> {
    let nodes = client.site.nodes.iter();
    let others = nodes.filter(|node| node.data_centre != sample.data_centre);
    others
        .map(|node| node.data_centre.to_string())
        .chain(["platform".to_owned()])
        .collect()
}
