//! Checks requests: short work beside long work, whole answers under faults, lost answers, and
//! overload.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::prelude::*;
use serde_json::json;
use tokio::task::JoinSet;

use super::client::{CallerOutcome, CallerRequest, SiteClient};
use super::report::Report;
use super::sample::Sample;
use super::site::NodeDescription;

/// Timeout of callers, in milliseconds.
pub(super) const CALLER_TIMEOUT_MS: u64 = 30_000;

/// Run time of short work, in milliseconds.
const SHORT_RUN_MS: u64 = 20;

/// Run time of long work, in milliseconds.
const LONG_RUN_MS: u64 = 6_000;

/// Time until the deadline of long work, in milliseconds.
const LONG_DEADLINE_MS: u64 = 200_000;

/// Number of long requests, more than the slots of a data centre.
const LONG_COUNT: usize = 160;

/// Number of short requests beside the long ones.
const SHORT_COUNT: usize = 300;

/// Interval between two short requests, in milliseconds.
const SHORT_PAUSE_MS: u64 = 10;

/// Maximum time of short requests beside long ones at the 99th percentile, in milliseconds.
const SHORT_P99_MS_MAX: u128 = 1_000;

/// Number of requests whose answers are checked.
const ANSWER_COUNT: usize = 400;

/// Number of once-only requests whose callers disconnect and retry through another node.
const RETRIED_COUNT: u32 = 60;

/// Time after which those callers disconnect, in milliseconds.
const DISCONNECT_MS: u64 = 100;

/// Number of once-only requests of the overload.
const OVERLOAD_COUNT: u32 = 600;

/// Builds a request of short work.
pub(super) fn short_request(sample: &Sample, sequence: usize) -> CallerRequest {
    CallerRequest {
        organisation: sample.other(sequence).clone(),
        class: sample.short.clone(),
        deadline_ms: CALLER_TIMEOUT_MS,
        timeout_ms: CALLER_TIMEOUT_MS,
        ticket: None,
        body: json!({ "run_ms": SHORT_RUN_MS, "sequence": sequence }),
    }
}

/// Sends requests concurrently, `pause_ms` apart; returns the outcome and duration of each.
pub(super) async fn send_all(
    client: &Arc<SiteClient>,
    requests: Vec<(NodeDescription, CallerRequest)>,
    pause_ms: u64,
) -> Vec<(CallerOutcome, Duration)> {
    let mut calls = JoinSet::new();
    for (node, request) in requests {
        let client = Arc::clone(client);
        calls.spawn(async move {
            let start = Instant::now();
            let outcome = client.request(&node, &request).await;
            (outcome, start.elapsed())
        });
        if pause_ms > 0 {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
    let mut results = Vec::new();
    while let Some(call) = calls.join_next().await {
        results.extend(call);
    }
    results
}

/// Describes the outcomes other than whole answers, with their counts.
pub(super) fn describe_others(results: &[(CallerOutcome, Duration)]) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for (outcome, _) in results.iter().filter(|(outcome, _)| !outcome.is_answer()) {
        *counts.entry(outcome.to_string()).or_default() += 1;
    }
    let parts = counts
        .iter()
        .map(|(outcome, count)| format!("{count} {outcome}"));
    parts.collect::<Vec<_>>().join(", ")
}

/// Counts the whole answers.
pub(super) fn count_answers(results: &[(CallerOutcome, Duration)]) -> usize {
    results
        .iter()
        .filter(|(outcome, _)| outcome.is_answer())
        .count()
}

/// Sends short requests beside more long work than there are slots.
pub(super) async fn check_short_work(
    client: &Arc<SiteClient>,
    sample: &Sample,
    report: &mut Report,
) {
    let long = (0..LONG_COUNT).map(|sequence| {
        let mut request = short_request(sample, sequence);
        request.class = sample.long.clone();
        request.deadline_ms = LONG_DEADLINE_MS;
        request.body = json!({ "run_ms": LONG_RUN_MS, "sequence": sequence });
        (sample.node(sequence).clone(), request)
    });
    let long = tokio::spawn({
        let (client, long) = (Arc::clone(client), long.collect());
        async move { send_all(&client, long, 0).await }
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let short = (0..SHORT_COUNT).map(|sequence| {
        (
            sample.node(sequence).clone(),
            short_request(sample, sequence),
        )
    });
    let short = send_all(client, short.collect(), SHORT_PAUSE_MS).await;
    let answered = count_answers(&short);
    let mut times: Vec<_> = short.iter().map(|(_, time)| time.as_millis()).collect();
    times.sort_unstable();
    let p99_ms = times[(times.len() - 1) * 99 / 100];
    let long = count_answers(&long.await.unwrap_or_default());
    report.add(
        "short work does not wait behind long work",
        SHORT_COUNT,
        format!(
            "p99 {p99_ms} ms of {SHORT_RUN_MS} ms work, {answered} answered; {long} of {LONG_COUNT} long ones too"
        ),
        answered == SHORT_COUNT && long == LONG_COUNT && p99_ms <= SHORT_P99_MS_MAX,
    );
}

/// Requests answers of different lengths while connections stall and a worker loses answers.
pub(super) async fn check_whole_answers(
    client: &Arc<SiteClient>,
    sample: &Sample,
    report: &mut Report,
) {
    let requests = (0..ANSWER_COUNT).map(|sequence| {
        let mut request = short_request(sample, sequence);
        let answer_bytes = (sequence % 20) * 5_000;
        request.body = json!({ "run_ms": 100, "answer_bytes": answer_bytes, "sequence": sequence });
        (sample.node(sequence).clone(), request)
    });
    let sending = tokio::spawn({
        let (client, requests) = (Arc::clone(client), requests.collect());
        async move { send_all(&client, requests, 5).await }
    });
    let data_centre = sample.data_centre.as_str();
    let faulty_worker = format!("{data_centre}-r1-w1");
    let switched = async {
        client.switch("answers_lost", &faulty_worker, true).await?;
        tokio::time::sleep(Duration::from_millis(700)).await;
        client
            .switch("connections_silent", data_centre, true)
            .await?;
        tokio::time::sleep(Duration::from_millis(500)).await;
        client.switch("answers_lost", &faulty_worker, false).await
    };
    let switched = switched.await;
    let results = sending.await.unwrap_or_default();
    if let Err(e) = switched {
        report.add_not_run("callers get their own whole answers", &e);
        return;
    }
    let answered = count_answers(&results);
    let others = describe_others(&results);
    report.add(
        "callers get their own whole answers",
        ANSWER_COUNT,
        format!("{answered} whole, others: [{others}], with silent connections and lost answers"),
        answered == ANSWER_COUNT,
    );
}

/// Builds once-only requests with tickets of `node`.
pub(super) async fn build_once_only(
    client: &SiteClient,
    sample: &Sample,
    node: &NodeDescription,
    count: u32,
    run_ms: u64,
) -> Vec<CallerRequest> {
    let organisation = sample.other(0);
    let drawn = client.tickets(node, organisation, count).await;
    let tickets: Vec<Ticket> = drawn.unwrap_or_default();
    let requests = tickets.into_iter().map(|ticket| CallerRequest {
        organisation: organisation.clone(),
        class: sample.short.clone(),
        deadline_ms: CALLER_TIMEOUT_MS,
        timeout_ms: CALLER_TIMEOUT_MS,
        body: json!({ "run_ms": run_ms, "for": ticket }),
        ticket: Some(ticket),
    });
    requests.collect()
}

/// Sends once-only requests while every worker of the data centre loses answers; each caller
/// disconnects and retries through another node.
pub(super) async fn check_lost_answers(client: &Arc<SiteClient>, sample: &Sample) {
    let requests = build_once_only(client, sample, sample.node(0), RETRIED_COUNT, 200).await;
    let data_centre = sample.data_centre.as_str();
    let _ = client.switch("answers_lost", data_centre, true).await;
    let first = requests.iter().map(|request| {
        let mut request = request.clone();
        request.timeout_ms = DISCONNECT_MS;
        (sample.node(0).clone(), request)
    });
    send_all(client, first.collect(), 1).await;
    let second = requests.into_iter().enumerate();
    let second = second.map(|(index, request)| (sample.node(index + 1).clone(), request));
    let second = send_all(client, second.collect(), 1).await;
    let _ = client.switch("answers_lost", data_centre, false).await;
    print_outcomes("once-only work retried through another node", &second);
}

/// Sends more once-only requests with a near deadline than the workers can run.
pub(super) async fn check_overload(client: &Arc<SiteClient>, sample: &Sample) {
    let node = sample.node(0);
    let requests = build_once_only(client, sample, node, OVERLOAD_COUNT, 300).await;
    let requests = requests.into_iter().map(|mut request| {
        request.deadline_ms = 500;
        (node.clone(), request)
    });
    let results = send_all(client, requests.collect(), 0).await;
    print_outcomes("once-only work in an overload", &results);
}

/// Prints the outcomes of requests on standard error.
pub(super) fn print_outcomes(what: &str, results: &[(CallerOutcome, Duration)]) {
    let answered = count_answers(results);
    let others = describe_others(results);
    let slowest = results.iter().map(|(_, time)| time.as_millis()).max();
    let slowest_ms = slowest.unwrap_or(0);
    eprintln!("{what}: {answered} answered, others: [{others}], slowest {slowest_ms} ms");
}
