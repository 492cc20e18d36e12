//! Tests of requests to workers over real sockets.

mod support;

use platform::worker::WorkerApi;
use rstest::rstest;
use serde_json::json;
use support::{CALL_MS, Harness};

use model::prelude::*;

#[rstest]
#[case::padded(2_000, 2_000)]
#[case::bare(0, 0)]
#[tokio::test]
async fn run_answers(#[case] answer_bytes: usize, #[case] len_min: usize) {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    let request = harness.request(&json!({"run_ms": 5, "answer_bytes": answer_bytes, "x": 1}));
    let reply = harness
        .api
        .run(worker.address, &request, CALL_MS)
        .await
        .unwrap();
    let RunReply::Answered(answer) = reply else {
        panic!("{reply:?}");
    };
    answer.check(&request.work_id).unwrap();
    assert!(answer.body.len() >= len_min);
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    let ContentDigest(digest) = ContentDigest::of_bytes(&request.body);
    assert_eq!(body["sha256"], hex::encode(digest));
    assert_eq!(body["work_id"], request.work_id.to_string());
    let runs = harness.report("/v1/runs").await;
    let row = json!({"ticket": null, "work_id": request.work_id, "worker": worker.name, "runs": 1});
    assert_eq!(runs, json!([row]));
}

#[rstest]
#[case::text("not json")]
#[case::other_object(r#"{"query":"duty"}"#)]
#[tokio::test]
async fn run_echoes(#[case] body: &str) {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    let mut request = harness.request(&json!(null));
    request.body = body.to_owned().into();
    let reply = harness.api.run(worker.address, &request, CALL_MS).await;
    let RunReply::Answered(answer) = reply.unwrap() else {
        panic!("not answered");
    };
    assert_eq!(answer.body, request.body);
}

#[tokio::test]
async fn run_fails_as_asked() {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    let request = harness.request(&json!({"run_ms": 1, "fail": true}));
    let reply = harness.api.run(worker.address, &request, CALL_MS).await;
    assert!(
        matches!(reply.unwrap(), RunReply::Failed { work_id, .. } if work_id == request.work_id)
    );
}

#[tokio::test]
async fn run_stops_at_deadline() {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    let mut request = harness.request(&json!({"run_ms": 60_000}));
    request.remaining_ms = 20;
    let reply = harness.api.run(worker.address, &request, CALL_MS).await;
    assert!(matches!(reply.unwrap(), RunReply::Failed { .. }));
}

#[tokio::test]
async fn run_same_work_joins() {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    let request = harness.once_only(&json!({"run_ms": 50}));
    let first = harness.api.run(worker.address, &request, CALL_MS);
    let second = harness.api.run(worker.address, &request, CALL_MS);
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.unwrap(), second.unwrap());
    let runs = harness.report("/v1/runs").await;
    assert_eq!(runs.as_array().unwrap().len(), 1);
    assert_eq!(runs[0]["runs"], 1);
}

#[tokio::test]
async fn run_refuses_when_slots_in_use() {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    let mut running = Vec::new();
    for _ in 0..worker.slots {
        let request = harness.request(&json!({"run_ms": 60_000}));
        let api = harness.api.clone();
        let address = worker.address;
        running.push(tokio::spawn(async move {
            api.run(address, &request, CALL_MS).await
        }));
    }
    eventually!(
        harness.report("/v1/runs").await.as_array().unwrap().len() >= worker.slots as usize
    );
    let request = harness.request(&json!({"run_ms": 1}));
    let reply = harness
        .api
        .run(worker.address, &request, CALL_MS)
        .await
        .unwrap();
    let refusal = WorkerRefusal {
        work_id: request.work_id,
        why: WorkerRefusalReason::SlotsInUse,
    };
    assert_eq!(reply, RunReply::Refused(refusal));
    running.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test]
async fn fence_refuses_and_returns_tickets() {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    let seen = harness.once_only(&json!({"run_ms": 1}));
    harness
        .api
        .run(worker.address, &seen, CALL_MS)
        .await
        .unwrap();
    let command = FenceCommand {
        node: "gyor-e1".parse().unwrap(),
        incarnation: Incarnation(1),
    };
    let reply = harness.api.fence(worker.address, &command).await.unwrap();
    assert_eq!(reply.tickets_seen, [seen.ticket.unwrap()]);
    let late = harness.once_only(&json!({"run_ms": 1}));
    let reply = harness
        .api
        .run(worker.address, &late, CALL_MS)
        .await
        .unwrap();
    assert!(matches!(reply, RunReply::Refused(r) if r.why == WorkerRefusalReason::Fenced));
}

#[tokio::test]
async fn acknowledge_forgets_result() {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    let request = harness.request(&json!({"run_ms": 1}));
    let reply = harness
        .api
        .run(worker.address, &request, CALL_MS)
        .await
        .unwrap();
    let id = request.work_id;
    let status = harness.api.status(worker.address, &id).await.unwrap();
    assert_eq!(status, WorkStatus::Ended(reply));
    let ids = [id.clone()];
    harness.api.acknowledge(worker.address, &ids).await.unwrap();
    let status = harness.api.status(worker.address, &id).await.unwrap();
    assert_eq!(status, WorkStatus::Unknown);
}

#[tokio::test]
async fn connection_above_limit_is_refused_without_effect() {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    let mut open = Vec::new();
    for _ in 0..worker.connections_max {
        open.push(
            tokio::net::TcpStream::connect(worker.address)
                .await
                .unwrap(),
        );
    }
    let request = harness.request(&json!({"run_ms": 1}));
    let reply = harness.api.run(worker.address, &request, CALL_MS).await;
    let error = reply.unwrap_err();
    assert!(error.is_without_effect(), "{error}");
    assert_eq!(harness.report("/v1/runs").await, json!([]));
}
