//! Checks gang jobs: a guaranteed rack is reclaimed from the work of others, and a worker of a
//! running gang crashes.

use std::sync::Arc;
use std::time::Instant;

use model::prelude::*;
use serde::Deserialize;
use serde_json::Value;

use super::client::{SiteClient, await_some};
use super::report::Report;
use super::sample::Sample;
use super::site::CheckError;

/// Number of jobs of other organisations that fill the data centre.
const FILL_COUNT: usize = 16;

/// Run time of those jobs, in milliseconds.
const FILL_RUN_MS: u64 = 600_000;

/// Run time of the gang that claims the rack, in milliseconds.
const CLAIM_RUN_MS: u64 = 1_000;

/// Maximum time until the gang on the claimed rack runs, in milliseconds.
const RECLAIM_MS_MAX: u64 = 15_000;

/// Maximum time until a job has started or ended, in milliseconds.
const JOB_MS_MAX: u64 = 15_000;

/// Maximum time that part of a gang may run without the rest, in milliseconds.
const PARTIAL_MS_MAX: u64 = 20_000;

/// A row of the stand-in platform's report about gangs.
#[derive(Debug, Deserialize)]
struct GangRow {
    running: u32,
    members: u32,
    partial_ms_max: u64,
}

/// Builds a gang job of whole workers.
pub(super) fn gang_job(
    organisation: &OrganisationName,
    class: &ClassName,
    members: u32,
    run_ms: u64,
) -> Result<JobSpec, CheckError> {
    let adjacency = if members == 1 {
        Adjacency::Worker
    } else {
        Adjacency::Rack
    };
    Ok(serde_json::from_value(serde_json::json!({
        "class": class,
        "organisation": organisation,
        "gang": {
            "members": members,
            "accelerators_per_member": ACCELERATORS_PER_WORKER,
            "adjacency": adjacency,
        },
        "run_ms_declared": run_ms,
        "checkpointable": true,
    }))?)
}

/// Returns the identifier of an accepted job.
pub(super) fn job_of(accepted: &Value) -> String {
    accepted["job"].as_str().unwrap_or_default().to_owned()
}

/// Waits until a job is in one of `states`; returns its last status.
pub(super) async fn await_state(
    client: &SiteClient,
    sample: &Sample,
    job: &str,
    states: &[&str],
    within_ms: u64,
) -> Result<Value, CheckError> {
    let mut reads = 0;
    await_some(&format!("job {job} {states:?}"), within_ms, async || {
        reads += 1;
        let status = client.job(sample.node(reads), job).await.ok()?;
        let is_reached = states.iter().any(|state| status["state"] == *state);
        is_reached.then_some(status)
    })
    .await
}

/// Fills the data centre with jobs of other organisations, then claims the guaranteed rack.
pub(super) async fn check_rack(client: &Arc<SiteClient>, sample: &Sample, report: &mut Report) {
    let promise = "a guaranteed rack can be reclaimed";
    let mut fill = Vec::new();
    let claimed = claim_rack(client, sample, &mut fill).await;
    for job in &fill {
        let _ = client.cancel(sample.node(0), job).await;
    }
    match claimed {
        Ok(claim) => report.add(
            promise,
            1,
            format!(
                "running after {} ms on {} workers of {} rack(s), {} of {FILL_COUNT} jobs of others ran before",
                claim.start_ms, claim.workers, claim.racks, claim.others
            ),
            claim.racks == 1 && claim.workers == WORKERS_PER_RACK as usize,
        ),
        Err(e @ CheckError::TooLate { .. }) => report.add(promise, 1, e.to_string(), false),
        Err(e) => report.add_not_run(promise, &e),
    }
}

/// Measurements of a claim.
#[derive(Debug)]
struct Claim {
    start_ms: u128,
    workers: usize,
    racks: usize,
    others: usize,
}

/// Submits jobs of other organisations, whose identifiers go into `fill`, then a gang that needs
/// the whole rack.
async fn claim_rack(
    client: &SiteClient,
    sample: &Sample,
    fill: &mut Vec<String>,
) -> Result<Claim, CheckError> {
    for index in 0..FILL_COUNT {
        let spec = gang_job(sample.other(index), &sample.long, 1, FILL_RUN_MS)?;
        let accepted = client.submit(sample.node(index), &spec).await?;
        fill.push(job_of(&accepted));
    }
    let all_run = await_some("all jobs of others run", JOB_MS_MAX / 2, async || {
        let running = count_running(client, sample, fill).await;
        (running == fill.len()).then_some(running)
    });
    let others = match all_run.await {
        Ok(running) => running,
        Err(_) => count_running(client, sample, fill).await,
    };
    let rack = gang_job(
        &sample.rack_holder,
        &sample.long,
        WORKERS_PER_RACK,
        CLAIM_RUN_MS,
    )?;
    let start = Instant::now();
    let job = job_of(&client.submit(sample.node(1), &rack).await?);
    let states = ["running", "finished"];
    let status = await_state(client, sample, &job, &states, RECLAIM_MS_MAX).await?;
    let start_ms = start.elapsed().as_millis();
    let (workers, racks) = count_places(&status);
    await_state(client, sample, &job, &["finished"], JOB_MS_MAX).await?;
    Ok(Claim {
        start_ms,
        workers,
        racks,
        others,
    })
}

/// Counts the running jobs.
async fn count_running(client: &SiteClient, sample: &Sample, jobs: &[String]) -> usize {
    let mut running = 0;
    for (index, job) in jobs.iter().enumerate() {
        let status = client.job(sample.node(index), job).await;
        running += usize::from(status.is_ok_and(|status| status["state"] == "running"));
    }
    running
}

/// Counts the workers and racks that a job's members use; a worker's name starts with the name of
/// its rack.
fn count_places(status: &Value) -> (usize, usize) {
    let members = status["members"].as_array().map_or(&[][..], Vec::as_slice);
    let mut workers: Vec<&str> = members
        .iter()
        .filter_map(|m| m["worker"].as_str())
        .collect();
    workers.sort_unstable();
    workers.dedup();
    let mut racks: Vec<&str> = workers
        .iter()
        .filter_map(|worker| worker.rsplit_once("-w").map(|(rack, _)| rack))
        .collect();
    racks.dedup();
    (workers.len(), racks.len())
}

/// Crashes a worker of a running gang.
pub(super) async fn check_crashed_worker(client: &Arc<SiteClient>, sample: &Sample) {
    if let Err(e) = crash_worker(client, sample).await {
        eprintln!("crash of a worker of a gang: {e}");
    }
}

/// Runs a gang, crashes one of its workers, waits until no gang runs in part, and cancels the job.
async fn crash_worker(client: &SiteClient, sample: &Sample) -> Result<(), CheckError> {
    let spec = gang_job(&sample.rack_holder, &sample.long, 4, FILL_RUN_MS)?;
    let job = job_of(&client.submit(sample.node(0), &spec).await?);
    let status = await_state(client, sample, &job, &["running"], JOB_MS_MAX).await?;
    let worker = status["members"][0]["worker"].as_str();
    let worker = worker.ok_or(CheckError::Missing("member of the gang"))?;
    client.switch("worker_crash", worker, true).await?;
    let whole = await_some("no gang is partial", PARTIAL_MS_MAX, async || {
        let gangs: Vec<GangRow> = client.report("/v1/gangs").await.ok()?;
        let is_whole = |gang: &GangRow| gang.running == 0 || gang.running == gang.members;
        gangs.iter().all(is_whole).then_some(())
    });
    let whole = whole.await;
    client.switch("worker_crash", worker, false).await?;
    client.cancel(sample.node(1), &job).await?;
    whole
}

/// Reports how long part of any gang ran without the rest.
pub(super) async fn report_whole(client: &SiteClient, report: &mut Report) {
    let promise = "no part of a gang runs without the rest";
    match client.report::<Vec<GangRow>>("/v1/gangs").await {
        Ok(gangs) => {
            let gangs: Vec<_> = gangs.iter().filter(|gang| gang.members > 1).collect();
            let longest_ms = gangs.iter().map(|gang| gang.partial_ms_max).max();
            let longest_ms = longest_ms.unwrap_or(0);
            report.add(
                promise,
                gangs.len(),
                format!("longest {longest_ms} ms, with a worker lost (bound {PARTIAL_MS_MAX} ms)"),
                longest_ms <= PARTIAL_MS_MAX,
            );
        }
        Err(e) => report.add_not_run(promise, &e),
    }
}
