//! Promises that hold under failures, tested over real sockets.
//!
//! Guards against work that runs twice, answers that are lost or mixed up, and jobs that are
//! forgotten: a ticket is used through several nodes or after its issuer stopped, workers lose
//! answers or connections stall, a node stops with requests in flight, or the store is down.

mod support;

use std::sync::Arc;

use model::work::ContentDigest;
use rstest::rstest;
use serde_json::json;
use support::{TestSite, outcome_of};

/// Sends a request with a ticket through a node; returns the HTTP status.
async fn run_ticket(site: &TestSite, index: usize, ticket: &str) -> u16 {
    let request = site
        .request(index, "leak-report")
        .header("Hemlock-Ticket", ticket);
    let body = json!({ "run_ms": 5 }).to_string();
    request.body(body).send().await.unwrap().status().as_u16()
}

#[tokio::test(flavor = "multi_thread")]
async fn run_ticket_through_every_node() {
    let site = TestSite::start(3).await;
    let tickets = site.tickets(0, 1).await;
    site.wait_for(async |site| run_ticket(site, 1, &tickets[0]).await == 200)
        .await;
    for index in [0, 2, 1] {
        assert_eq!(run_ticket(&site, index, &tickets[0]).await, 200);
    }
    assert_eq!(site.runs_of(&tickets[0]).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn run_ticket_after_lost_answer() {
    let site = TestSite::start(1).await;
    let tickets = site.tickets(0, 20).await;
    site.fault("answers_lost", "gyor", true).await;
    for ticket in &tickets {
        assert_eq!(run_ticket(&site, 0, ticket).await, 200);
        assert_eq!(site.runs_of(ticket).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn run_ticket_of_stopped_issuer() {
    let mut site = TestSite::start(2).await;
    let tickets = site.tickets(0, 2).await;
    site.wait_for(async |site| run_ticket(site, 1, &tickets[0]).await == 200)
        .await;
    let stopping = site.nodes[0].take().unwrap();
    stopping.stop().await;
    // The successor runs the unused ticket and returns the recorded answer of the used one, without
    // a second run.
    assert_eq!(run_ticket(&site, 1, &tickets[1]).await, 200);
    assert_eq!(run_ticket(&site, 1, &tickets[0]).await, 200);
    for ticket in &tickets {
        assert_eq!(site.runs_of(ticket).await, 1);
    }
}

#[rstest]
#[case::answers_lost("answers_lost")]
#[case::connections_silent("connections_silent")]
#[tokio::test(flavor = "multi_thread")]
async fn request_whole_answers(#[case] fault: &str) {
    let site = Arc::new(TestSite::start(1).await);
    let mut calls = tokio::task::JoinSet::new();
    for sequence in 0..60 {
        let site = Arc::clone(&site);
        calls.spawn(async move {
            let body = json!({ "run_ms": 200, "answer_bytes": sequence * 100, "n": sequence });
            let body = body.to_string();
            let digest = ContentDigest::of_bytes(body.as_bytes());
            let request = site
                .request(0, "leak-report")
                .header("Hemlock-Deadline-Ms", "60000");
            let reply = request.body(body).send().await.unwrap();
            assert_eq!(reply.status(), 200);
            let stated = reply.headers()["content-digest"]
                .to_str()
                .unwrap()
                .to_owned();
            let bytes = reply.bytes().await.unwrap();
            assert_eq!(stated, ContentDigest::of_bytes(&bytes).to_string());
            let answer: serde_json::Value = serde_json::from_slice(&bytes).unwrap();
            assert_eq!(answer["sha256"], hex::encode(digest.0));
        });
    }
    tokio::time::sleep(support::POLL * 5).await;
    site.fault(fault, "gyor", true).await;
    while let Some(call) = calls.join_next().await {
        call.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_with_requests_in_flight() {
    let mut site = TestSite::start(2).await;
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..40 {
        let body = json!({ "run_ms": 3_000 }).to_string();
        let request = site
            .request(0, "roster-query")
            .header("Hemlock-Deadline-Ms", "60000");
        calls.spawn(request.body(body).send());
    }
    site.wait_for(async |site| site.report("/v1/runs").await.len() >= 40)
        .await;
    let stopping = site.nodes[0].take().unwrap();
    stopping.stop().await;
    while let Some(call) = calls.join_next().await {
        assert_eq!(call.unwrap().unwrap().status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn submit_in_store_outage_then_planner_stops() {
    let mut site = TestSite::start(3).await;
    site.wait_for(async |site| site.leader(0).await.is_some())
        .await;
    let leader = site.leader(0).await.unwrap();
    let index = (0..3)
        .find(|&i| site.node(i).name().as_str() == leader)
        .unwrap();
    let other = (index + 1) % 3;
    site.fault("store_down", "", true).await;
    let mut jobs = Vec::new();
    for _ in 0..12 {
        let (job, durable) = site.submit(other, 2, 1_000).await;
        assert!(!durable);
        jobs.push(job);
    }
    let stopping = site.nodes[index].take().unwrap();
    stopping.stop().await;
    site.fault("store_down", "", false).await;
    for job in &jobs {
        site.wait_for(async |site| site.state(other, job).await == "finished")
            .await;
    }
    for gang in site.report("/v1/gangs").await {
        assert_eq!(gang["runs"], json!([1, 1]), "{gang}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_worker_at_every_node() {
    let site = TestSite::start(3).await;
    site.wait_for(async |site| site.leader(2).await.is_some())
        .await;
    let reply = site.console(1, "drain worker gyor-r1-w3").await;
    assert_eq!(reply["columns"], json!(["result"]), "{reply}");
    let query = "show workers where worker = gyor-r1-w3 and state = leaving";
    for index in 0..3 {
        site.wait_for(async |site| {
            let reply = site.console(index, query).await;
            reply["rows"].as_array().is_some_and(|rows| rows.len() == 1)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn declare_in_store_outage() {
    let site = TestSite::start(1).await;
    site.fault("store_down", "", true).await;
    let address = site.node(0).http_address();
    let put = site.client.put(format!("http://{address}/v1/declarations"));
    let text = include_str!("../../../examples/kovacsne/declarations.jsonc");
    let files = json!([{ "name": "declarations.jsonc", "text": text }]);
    let put = put
        .bearer_auth(support::OPERATOR)
        .json(&json!({ "files": files }));
    let outcome = outcome_of(put.send().await.unwrap()).await;
    assert_eq!(
        outcome,
        (503, "refused".to_owned(), "store_unavailable".to_owned())
    );
}
