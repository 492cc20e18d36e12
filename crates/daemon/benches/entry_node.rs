//! Measures the latency that an entry node adds to a call of a worker, the requests per second that
//! it serves, and its memory.
//!
//! The node runs as a separate process; the stand-in workers and the load generator run in this
//! one. The load stays on loopback and is limited in rate and duration.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use model::prelude::*;
use platform::http_store::Timeouts;
use platform::http_vm_list::HttpVmList;
use platform::http_worker::{HttpWorkerApi, WorkerLimits};
use platform::vm_list::{VmList, WorkerVm};
use platform::worker::WorkerApi;
use reqwest::Client;
use serde_json::json;
use standins::site::{Site, SiteSpec};
use tokio::task::JoinSet;

/// Rate of the latency measurement, in requests per second.
const RATE_PER_S: u32 = 2_000;

/// Duration of each measurement, in seconds.
const MEASURE_S: u32 = 10;

/// Number of callers in the throughput measurement, each with one request at a time.
const CALLERS: usize = 64;

/// Number of open requests in the memory measurement.
const OPEN_REQUESTS: usize = 10_000;

/// Length of each body, in bytes.
const BODY_BYTES: usize = 1_024;

/// Token of the caller.
const TOKEN: &str = "bench-token";

/// Declarations with a class of short work and a class of long work.
const DECLARATIONS: &str = r#"{
  "classes": [
    { "name": "short", "urgency": "normal", "expected_run_ms": 20, "deadline_ms": 10000,
      "grace_ms": 1000, "idempotent": true, "in_flight_max": 100000, "queue_max": 100000 },
    { "name": "long", "urgency": "normal", "expected_run_ms": 20000, "deadline_ms": 3600000,
      "grace_ms": 1000, "idempotent": true, "in_flight_max": 100000, "queue_max": 100000 }
  ],
  "organisations": [
    { "name": "bench", "guarantees": [], "classes": ["short", "long"], "suspended": false,
      "quota": { "accelerators": 0, "requests_in_flight": 100000 }, "token_digests": ["DIGEST"] }
  ]
}"#;

/// The process of the node; dropping it kills the process.
struct NodeProcess(Child);

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // The child may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl NodeProcess {
    /// Starts a node that serves callers on `http`.
    fn start(platform: SocketAddr, http: SocketAddr, peer: SocketAddr) -> Self {
        let settings = json!({
            "node": "gyor-1",
            "data_centre": "gyor",
            "data_centres": [{ "name": "gyor", "region": "dunantul" }],
            "http_address": http,
            "peer_address": peer,
            "platform_address": platform,
            "operator_token_digests": [String::from(TokenDigest::of_token("operator"))],
            "log": { "level": "warn" },
            "limits": { "open_requests_max": 100_000 },
        });
        let path = std::env::temp_dir().join(format!("hemlockd-bench-{}.jsonc", http.port()));
        std::fs::write(&path, settings.to_string()).unwrap();
        let binary = env!("CARGO_BIN_EXE_hemlockd");
        let child = Command::new(binary)
            .arg("run")
            .arg("--settings")
            .arg(&path)
            .spawn();
        Self(child.unwrap())
    }

    /// Reads the resident memory, in kilobytes.
    fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

/// Returns a free loopback address.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Declares the classes and waits until the node serves.
async fn declare(client: &Client, http: SocketAddr) {
    let digest = String::from(TokenDigest::of_token(TOKEN));
    let text = DECLARATIONS.replace("DIGEST", &digest);
    let body = json!({ "files": [{ "name": "bench.jsonc", "text": text }] });
    let url = format!("http://{http}/v1/declarations");
    loop {
        let put = client
            .put(&url)
            .bearer_auth("operator")
            .json(&body)
            .send()
            .await;
        if put.is_ok_and(|reply| reply.status().is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Sends one request through the node; returns whether it was answered.
async fn request(client: &Client, http: SocketAddr, class: &str, body: String) -> bool {
    let call = client
        .post(format!("http://{http}/v1/requests"))
        .bearer_auth(TOKEN)
        .header("Hemlock-Class", class)
        .body(body);
    match call.send().await {
        Ok(reply) if reply.status().is_success() => reply.bytes().await.is_ok(),
        _ => false,
    }
}

/// Builds a body that the stand-in workers run for `run_ms`.
fn body_of(run_ms: u64) -> String {
    let padding = "x".repeat(BODY_BYTES - 40);
    json!({ "run_ms": run_ms, "padding": padding }).to_string()
}

/// Makes calls at a fixed rate; returns the durations of those that were answered, in microseconds,
/// and the number of the others.
async fn measure_at_rate<F>(call: impl Fn(u64) -> F) -> (Histogram<u64>, u64)
where
    F: Future<Output = bool> + Send + 'static,
{
    let start = Instant::now();
    let interval = Duration::from_secs(1) / RATE_PER_S;
    let mut calls = JoinSet::new();
    for sequence in 0..RATE_PER_S * MEASURE_S {
        tokio::time::sleep_until((start + interval * sequence).into()).await;
        let called = call(sequence.into());
        calls.spawn(async move {
            let start = Instant::now();
            (called.await, start.elapsed())
        });
    }
    let mut times = Histogram::new(3).unwrap();
    let mut failures = 0;
    while let Some(result) = calls.join_next().await {
        match result.unwrap() {
            (true, time) => times.record(time.as_micros() as u64).unwrap(),
            (false, _) => failures += 1,
        }
    }
    (times, failures)
}

/// Calls the workers directly, at the same rate.
async fn measure_direct(workers: &[WorkerVm]) -> (Histogram<u64>, u64) {
    let api = HttpWorkerApi::new("bench".parse().unwrap(), WorkerLimits::default()).unwrap();
    measure_at_rate(|sequence| {
        let api = api.clone();
        let worker = workers[sequence as usize % workers.len()].address;
        async move {
            let request = RunRequest {
                work_id: format!("w.gyor.bench.1.{sequence}").parse().unwrap(),
                ticket: None,
                organisation: "bench".parse().unwrap(),
                class: "short".parse().unwrap(),
                remaining_ms: 10_000,
                body: Bytes::from(body_of(1)),
            };
            let reply = api.run(worker, &request, 10_000).await;
            matches!(reply, Ok(RunReply::Answered(_)))
        }
    })
    .await
}

/// Measures the requests per second that `CALLERS` callers complete.
async fn measure_throughput(client: &Client, http: SocketAddr) -> f64 {
    let start = Instant::now();
    let until = start + Duration::from_secs(MEASURE_S.into());
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let client = client.clone();
        callers.spawn(async move {
            let mut answered = 0_u32;
            while Instant::now() < until {
                answered += u32::from(request(&client, http, "short", body_of(0)).await);
            }
            answered
        });
    }
    let mut answered = 0;
    while let Some(count) = callers.join_next().await {
        answered += count.unwrap();
    }
    f64::from(answered) / start.elapsed().as_secs_f64()
}

/// Measures the resident memory with many open requests, in kilobytes; also returns how many are
/// open.
async fn measure_memory(client: &Client, http: SocketAddr, node: &NodeProcess) -> (u64, usize) {
    let mut open = JoinSet::new();
    for _ in 0..OPEN_REQUESTS {
        let client = client.clone();
        open.spawn(async move { request(&client, http, "long", body_of(60_000)).await });
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    let resident_kb = node.resident_kb();
    let still_open = open.len();
    let mut ended = 0;
    while open.try_join_next().is_some() {
        ended += 1;
    }
    open.abort_all();
    (resident_kb, still_open - ended)
}

/// Prints the quantiles of a latency measurement.
fn print_times(name: &str, (times, failures): &(Histogram<u64>, u64)) {
    let quantile = |q: f64| times.value_at_quantile(q);
    println!(
        "{name}: p50 {} us, p99 {} us, {} answered, {failures} not",
        quantile(0.5),
        quantile(0.99),
        times.len()
    );
}

/// Runs all measurements.
async fn run() {
    let mut spec = SiteSpec::of_deployment("kovacsne").unwrap();
    spec.workers = 48;
    let site = Site::start(spec).await.unwrap();
    let data_centre: DataCentreName = "gyor".parse().unwrap();
    let platform = site.platform_address_for(&data_centre).unwrap();
    let list = HttpVmList::new(
        site.platform_address(),
        "bench".parse().unwrap(),
        Timeouts::default(),
    );
    let workers = list.unwrap().listing(&data_centre).await.unwrap().workers;
    let (http, peer) = (free_address(), free_address());
    let node = NodeProcess::start(platform, http, peer);
    let client = Client::builder().no_proxy().build().unwrap();
    declare(&client, http).await;
    let client = Arc::new(client);
    let idle_kb = node.resident_kb();
    let direct = measure_direct(&workers).await;
    print_times("direct call of a worker", &direct);
    let through = measure_at_rate(|_| {
        let client = Arc::clone(&client);
        async move { request(&client, http, "short", body_of(1)).await }
    })
    .await;
    print_times("through the entry node", &through);
    let added =
        |q: f64| through.0.value_at_quantile(q) as i64 - direct.0.value_at_quantile(q) as i64;
    println!("added: p50 {} us, p99 {} us", added(0.5), added(0.99));
    let per_s = measure_throughput(&client, http).await;
    println!("throughput with {CALLERS} callers: {per_s:.0} requests/s");
    let busy_kb = node.resident_kb();
    let (open_kb, open) = measure_memory(&client, http, &node).await;
    println!("resident: idle {idle_kb} KB, after load {busy_kb} KB, {open} open {open_kb} KB");
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(run());
}
