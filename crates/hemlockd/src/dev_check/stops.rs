//! Checks nodes that are killed, or stopped as planned, with requests in flight.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use super::client::{SiteClient, await_some};
use super::report::Report;
use super::requests::{build_once_only, count_answers, print_outcomes, send_all, short_request};
use super::sample::Sample;
use super::site::CheckError;

/// Number of once-only requests in flight when the node is killed.
const KILLED_COUNT: u32 = 40;

/// Number of requests in flight when the node is stopped.
const STOPPED_COUNT: usize = 60;

/// Run time of the requests in flight, in milliseconds.
const RUN_MS: u64 = 2_000;

/// Time after which the requests are assumed to be in flight, in milliseconds.
const IN_FLIGHT_MS: u64 = 500;

/// Maximum time until a node has become ready or unready, in milliseconds.
const NODE_MS_MAX: u64 = 20_000;

/// Kills a node with once-only requests in flight; their callers retry through another node.
pub(super) async fn check_kill(client: &Arc<SiteClient>, sample: &Sample) {
    if let Err(e) = kill(client, sample).await {
        eprintln!("a node killed with once-only requests in flight: {e}");
    }
}

/// Kills a node, repeats its once-only requests at another node, and restarts it.
async fn kill(client: &Arc<SiteClient>, sample: &Sample) -> Result<(), CheckError> {
    let node = sample.node(1).clone();
    let requests = build_once_only(client, sample, &node, KILLED_COUNT, RUN_MS).await;
    let first = requests.iter().map(|r| (node.clone(), r.clone())).collect();
    let sending = tokio::spawn({
        let client = Arc::clone(client);
        async move { send_all(&client, first, 0).await }
    });
    tokio::time::sleep(Duration::from_millis(IN_FLIGHT_MS)).await;
    client.switch("node_kill", node.name.as_str(), true).await?;
    let _ = sending.await;
    let second = requests.into_iter().map(|r| (sample.node(0).clone(), r));
    let second = send_all(client, second.collect(), 0).await;
    print_outcomes("once-only work of a killed node", &second);
    client
        .switch("node_kill", node.name.as_str(), false)
        .await?;
    await_some("the killed node is back", NODE_MS_MAX, async || {
        (client.readiness(&node).await == Some(200)).then_some(())
    })
    .await
}

/// Stops a node as planned with requests in flight.
pub(super) async fn check_planned(client: &Arc<SiteClient>, sample: &Sample, report: &mut Report) {
    let promise = "a planned stop cuts no request in flight";
    let node = sample.node(sample.nodes.len() - 1).clone();
    let requests = (0..STOPPED_COUNT).map(|sequence| {
        let mut request = short_request(sample, sequence);
        request.body = json!({ "run_ms": RUN_MS, "sequence": sequence });
        (node.clone(), request)
    });
    let sending = tokio::spawn({
        let (client, requests) = (Arc::clone(client), requests.collect());
        async move { send_all(&client, requests, 0).await }
    });
    tokio::time::sleep(Duration::from_millis(IN_FLIGHT_MS)).await;
    if let Err(e) = client.switch("node_stop", node.name.as_str(), true).await {
        return report.add_not_run(promise, &e);
    }
    let unready = await_some("readiness of 503", NODE_MS_MAX, async || {
        (client.readiness(&node).await != Some(200)).then_some(())
    });
    let unready = unready.await.is_ok();
    let answered = count_answers(&sending.await.unwrap_or_default());
    report.add(
        promise,
        STOPPED_COUNT,
        format!("{answered} of {STOPPED_COUNT} in flight answered; not ready at once {unready}"),
        answered == STOPPED_COUNT && unready,
    );
}
