//! Measures how many requests per second the simulated workers serve for one entry node, and the
//! latency of a request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use model::prelude::*;
use platform::http_vm_list::HttpVmList;
use platform::http_worker::{HttpWorkerApi, WorkerLimits};
use platform::vm_list::VmList;
use platform::worker::WorkerApi;
use standins::site::{Site, SiteSpec};

const CALLERS: u64 = 64;
const RUN_SECONDS: u64 = 5;
const BODY_BYTES: usize = 1_024;

/// Text of an error.
type ErrorText = String;

/// Formats an error.
fn to_text(error: impl std::fmt::Display) -> ErrorText {
    error.to_string()
}

/// Creates a request whose body the worker echoes.
fn make_request(sequence: u64) -> Result<RunRequest<Bytes>, ErrorText> {
    Ok(RunRequest {
        work_id: format!("w.gyor.gyor-e1.1.{sequence}")
            .parse()
            .map_err(to_text)?,
        ticket: None,
        organisation: "north".parse().map_err(to_text)?,
        class: "roster-query".parse().map_err(to_text)?,
        remaining_ms: 10_000,
        body: vec![b'x'; BODY_BYTES].into(),
    })
}

#[tokio::main]
async fn main() -> Result<(), ErrorText> {
    let spec = SiteSpec::of_deployment("kovacsne").map_err(to_text)?;
    let site = Site::start(spec).await.map_err(to_text)?;
    let node: NodeName = "gyor-e1".parse().map_err(to_text)?;
    let gyor: DataCentreName = "gyor".parse().map_err(to_text)?;
    let list = HttpVmList::new(site.platform_address(), node.clone(), Default::default())
        .map_err(to_text)?;
    let workers = Arc::new(list.listing(&gyor).await.map_err(to_text)?.workers);
    let api = HttpWorkerApi::new(node, WorkerLimits::default()).map_err(to_text)?;
    let (served, refused) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let end = Instant::now() + Duration::from_secs(RUN_SECONDS);
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (api, workers) = (api.clone(), Arc::clone(&workers));
        let (served, refused) = (Arc::clone(&served), Arc::clone(&refused));
        callers.push(tokio::spawn(async move {
            let mut latencies = Vec::new();
            let mut sequence = caller << 32;
            while Instant::now() < end {
                sequence += 1;
                let worker = &workers[(caller + sequence) as usize % workers.len()];
                let Ok(request) = make_request(sequence) else {
                    break;
                };
                let start = Instant::now();
                let reply = api.run(worker.address, &request, 10_000).await;
                latencies.push(start.elapsed());
                let counter = match reply {
                    Ok(RunReply::Answered(_)) => &served,
                    _ => &refused,
                };
                counter.fetch_add(1, Ordering::Relaxed);
                let _ = api.acknowledge(worker.address, &[request.work_id]).await;
            }
            latencies
        }));
    }
    let mut latencies = Vec::new();
    for caller in callers {
        latencies.extend(caller.await.map_err(to_text)?);
    }
    latencies.sort();
    let at = |permille: usize| latencies[(latencies.len() - 1) * permille / 1_000];
    let served = served.load(Ordering::Relaxed);
    println!(
        "{} requests/s served, {} refused",
        served / RUN_SECONDS,
        refused.load(Ordering::Relaxed)
    );
    println!("p50 {:?}, p99 {:?}", at(500), at(990));
    Ok(())
}
