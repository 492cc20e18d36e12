//! Tests of each fault switch over real sockets.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use model::prelude::*;
use platform::error::CallError;
use platform::http_store::{HttpStore, Timeouts};
use platform::store::{KeyVersion, Store, Swap, SwapOutcome};
use platform::vm_list::VmState;
use platform::worker::WorkerApi;
use rstest::rstest;
use serde_json::{Value, json};
use standins::site::NodeFault;
use support::{CALL_MS, Harness, gyor};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time after which these tests consider a call unanswered, in milliseconds.
const UNANSWERED_MS: u64 = 300;

/// Creates a write of a new key.
fn new_key(key: &str) -> Swap {
    Swap {
        key: key.to_owned(),
        expected: KeyVersion(0),
        value: Some("x".to_owned()),
        lease: None,
    }
}

#[rstest]
#[case::unknown_fault(json!({"fault": "fire", "target": "platform"}), "malformed")]
#[case::no_fault(json!({"target": "platform"}), "malformed")]
#[case::unknown_field(json!({"fault": "store_down", "mode": 1}), "malformed")]
#[case::unknown_worker(json!({"fault": "worker_crash", "target": "gyor-r9-w9"}), "not_found")]
#[case::store_of_worker(json!({"fault": "store_down", "target": "gyor-r1-w1"}), "not_found")]
#[case::unknown_node(json!({"fault": "node_kill", "target": "gyor-e9"}), "not_found")]
#[case::bad_node(json!({"fault": "node_stop", "target": "A.b"}), "not_found")]
#[case::silent_nowhere(json!({"fault": "connections_silent"}), "not_found")]
#[case::cut_without_places(json!({"fault": "cut"}), "malformed")]
#[case::cut_of_one(json!({"fault": "cut", "between": ["gyor", "gyor"]}), "malformed")]
#[case::cut_of_unknown(json!({"fault": "cut", "between": ["gyor", "paris"]}), "not_found")]
#[tokio::test]
async fn faults_refuse_bad_call(#[case] call: Value, #[case] reason: &str) {
    let harness = Harness::start().await;
    let (status, body) = harness.post_fault(&call).await;
    assert_eq!(status, 400, "{body}");
    assert_eq!(body["outcome"], "refused");
    assert_eq!(body["reason"], reason);
    assert!(
        body["detail"]
            .as_str()
            .is_some_and(|detail| !detail.is_empty())
    );
    assert_eq!(harness.report("/v1/faults").await, json!([]));
}

#[tokio::test]
async fn faults_are_listed_while_on() {
    let harness = Harness::start().await;
    harness.switch("worker_leaving", "gyor", true).await;
    let cut = json!({"fault": "cut", "between": ["platform", "gyor"], "on": true});
    harness.post_fault(&cut).await;
    let listed = json!([
        {"fault": "worker_leaving", "target": "gyor", "on": true},
        {"fault": "cut", "target": "", "between": ["gyor", "platform"], "on": true},
    ]);
    assert_eq!(harness.report("/v1/faults").await, listed);
    harness.switch("worker_leaving", "gyor", false).await;
    let mend = json!({"fault": "cut", "between": ["gyor", "platform"], "on": false});
    harness.post_fault(&mend).await;
    assert_eq!(harness.report("/v1/faults").await, json!([]));
}

#[tokio::test]
async fn store_down_refuses_without_effect() {
    let harness = Harness::start().await;
    let waiting = harness.store.clone();
    let watch = tokio::spawn(async move { waiting.watch("k", KeyVersion(0), 60_000).await });
    eventually!(harness.report("/v1/calls").await["calls"]["watch"] == 1);
    harness.switch("store_down", "", true).await;
    let swapped = harness.store.swap(new_key("k")).await;
    assert!(
        matches!(swapped, Err(CallError::Unavailable { .. })),
        "{swapped:?}"
    );
    let watched = watch.await.unwrap();
    assert!(
        matches!(watched, Err(CallError::Unavailable { .. })),
        "{watched:?}"
    );
    harness.switch("store_down", "platform", false).await;
    assert_eq!(harness.store.get("k").await.unwrap(), None);
}

#[tokio::test]
async fn store_slow_outlasts_impatient_caller() {
    let harness = Harness::start().await;
    let timeouts = Timeouts {
        call_ms: UNANSWERED_MS,
        ..Timeouts::default()
    };
    let at = harness.site.platform_address_for(&gyor()).unwrap();
    let store = HttpStore::new(at, "gyor-e1".parse().unwrap(), timeouts).unwrap();
    harness.switch("store_slow", "", true).await;
    let read = store.get("k").await;
    assert!(matches!(read, Err(CallError::ReplyLost { .. })), "{read:?}");
    assert_eq!(harness.store.get("k").await.unwrap(), None);
}

#[tokio::test]
async fn store_lost_answers_take_effect() {
    let harness = Harness::start().await;
    harness.switch("store_lost_answers", "", true).await;
    let swapped = harness.store.swap(new_key("k")).await;
    assert!(
        matches!(swapped, Err(CallError::ReplyLost { .. })),
        "{swapped:?}"
    );
    harness.switch("store_lost_answers", "", false).await;
    let entry = harness.store.get("k").await.unwrap().unwrap();
    assert_eq!(entry.value, "x");
    let again = harness.store.swap(new_key("k")).await.unwrap();
    let current = Some(entry);
    assert_eq!(again, SwapOutcome::Conflict { current });
}

#[tokio::test]
async fn worker_crash_loses_work() {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    let before = harness.api.inventory(worker.address).await.unwrap();
    let request = harness.request(&json!({"run_ms": 60_000}));
    let (api, sent) = (harness.api.clone(), request.clone());
    let run = tokio::spawn(async move { api.run(worker.address, &sent, CALL_MS).await });
    eventually!(harness.report("/v1/runs").await != json!([]));
    harness
        .switch("worker_crash", worker.name.as_str(), true)
        .await;
    let lost = run.await.unwrap();
    assert!(matches!(lost, Err(CallError::ReplyLost { .. })), "{lost:?}");
    eventually!(TcpStream::connect(worker.address).await.is_err());
    let refused = harness.api.run(worker.address, &request, CALL_MS).await;
    assert!(
        matches!(refused, Err(CallError::NotSent { .. })),
        "{refused:?}"
    );
    harness
        .switch("worker_crash", worker.name.as_str(), false)
        .await;
    eventually!(TcpStream::connect(worker.address).await.is_ok());
    let after = harness.api.inventory(worker.address).await.unwrap();
    assert_ne!(after.boot, before.boot);
    let status = harness.api.status(worker.address, &request.work_id).await;
    assert_eq!(status.unwrap(), WorkStatus::Unknown);
}

#[tokio::test]
async fn worker_crash_keeps_tickets() {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    let first = harness.once_only(&json!({"run_ms": 1}));
    harness
        .api
        .run(worker.address, &first, CALL_MS)
        .await
        .unwrap();
    harness
        .switch("worker_crash", worker.name.as_str(), true)
        .await;
    harness
        .switch("worker_crash", worker.name.as_str(), false)
        .await;
    eventually!(harness.api.inventory(worker.address).await.is_ok());
    let reply = harness
        .api
        .run(worker.address, &first, CALL_MS)
        .await
        .unwrap();
    assert!(matches!(reply, RunReply::Refused(r) if r.why == WorkerRefusalReason::TicketSeen));
}

#[tokio::test]
async fn worker_fails_all_requests() {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    harness
        .switch("worker_fails_all", worker.name.as_str(), true)
        .await;
    let request = harness.request(&json!({"run_ms": 1}));
    let reply = harness.api.run(worker.address, &request, CALL_MS).await;
    assert!(matches!(reply.unwrap(), RunReply::Failed { .. }));
}

#[tokio::test]
async fn worker_leaving_refuses_and_is_listed() {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    harness
        .switch("worker_leaving", worker.name.as_str(), true)
        .await;
    let request = harness.request(&json!({"run_ms": 1}));
    let reply = harness
        .api
        .run(worker.address, &request, CALL_MS)
        .await
        .unwrap();
    assert!(matches!(reply, RunReply::Refused(r) if r.why == WorkerRefusalReason::Leaving));
    assert!(harness.api.inventory(worker.address).await.unwrap().leaving);
    eventually!(harness.workers().await[0].state == VmState::Leaving);
}

#[tokio::test]
async fn worker_paused_answers_after_pause() {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    harness
        .switch("worker_paused", worker.name.as_str(), true)
        .await;
    let request = harness.request(&json!({"run_ms": 1}));
    let lost = harness
        .api
        .run(worker.address, &request, UNANSWERED_MS)
        .await;
    assert!(matches!(lost, Err(CallError::ReplyLost { .. })), "{lost:?}");
    harness
        .switch("worker_paused", worker.name.as_str(), false)
        .await;
    let reply = harness.api.run(worker.address, &request, CALL_MS).await;
    assert!(matches!(reply.unwrap(), RunReply::Answered(_)));
}

/// Opens several pooled connections to a worker by running requests concurrently.
async fn open_pooled_connections(harness: &mut Harness, worker: SocketAddr) {
    let requests: Vec<_> = (0..4)
        .map(|_| harness.request(&json!({"run_ms": 50})))
        .collect();
    let mut runs = Vec::new();
    for request in requests {
        let api = harness.api.clone();
        runs.push(tokio::spawn(async move {
            api.run(worker, &request, CALL_MS).await.unwrap()
        }));
    }
    for run in runs {
        run.await.unwrap();
    }
}

/// Guards against losing the answer when all open connections to a worker stall while a request
/// runs. The status call must read the answer over a new connection, and later requests must not
/// use the stalled connections, whether the stall is found by a timeout or by the status call.
#[rstest]
#[case::found_by_timeout(UNANSWERED_MS)]
#[case::found_by_status(CALL_MS)]
#[tokio::test]
async fn connections_silent_leave_answer_to_status(#[case] timeout_ms: u64) {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0).address;
    open_pooled_connections(&mut harness, worker).await;
    let request = harness.once_only(&json!({"run_ms": 100, "answer_bytes": 100_000}));
    let (api, sent) = (harness.api.clone(), request.clone());
    let run = tokio::spawn(async move { api.run(worker, &sent, timeout_ms).await });
    let id = &request.work_id;
    eventually!(harness.api.status(worker, id).await.unwrap() != WorkStatus::Unknown);
    harness.switch("connections_silent", "gyor", true).await;
    if timeout_ms == UNANSWERED_MS {
        let lost = run.await.unwrap();
        assert!(matches!(lost, Err(CallError::ReplyLost { .. })), "{lost:?}");
    }
    let status = async || harness.api.status(worker, id).await.unwrap();
    eventually!(matches!(status().await, WorkStatus::Ended(_)));
    let WorkStatus::Ended(RunReply::Answered(answer)) = status().await else {
        panic!("not answered");
    };
    answer.check(id).unwrap();
    let next = harness.request(&json!({"run_ms": 1}));
    let reply = harness.api.run(worker, &next, CALL_MS).await;
    assert!(matches!(reply.unwrap(), RunReply::Answered(_)));
}

#[tokio::test]
async fn answers_lost_run_once() {
    let mut harness = Harness::start().await;
    let worker = harness.workers().await.remove(0);
    harness
        .switch("answers_lost", worker.name.as_str(), true)
        .await;
    let request = harness.once_only(&json!({"run_ms": 1}));
    let lost = harness.api.run(worker.address, &request, CALL_MS).await;
    assert!(matches!(lost, Err(CallError::ReplyLost { .. })), "{lost:?}");
    let status = harness.api.status(worker.address, &request.work_id).await;
    assert!(matches!(
        status.unwrap(),
        WorkStatus::Ended(RunReply::Answered(_))
    ));
    let mut retry = harness.request(&json!({"run_ms": 1}));
    retry.ticket = request.ticket;
    let reply = harness
        .api
        .run(worker.address, &retry, CALL_MS)
        .await
        .unwrap();
    assert!(matches!(reply, RunReply::Refused(r) if r.why == WorkerRefusalReason::TicketSeen));
    assert_eq!(
        harness.report("/v1/runs").await.as_array().unwrap().len(),
        1
    );
}

#[rstest]
#[case::data_centre("gyor")]
#[case::region("dunantul")]
#[tokio::test]
async fn cut_holds_platform_calls(#[case] place: &str) {
    let harness = Harness::start().await;
    harness.store.swap(new_key("k")).await.unwrap();
    let waiting = harness.store.clone();
    let watch = tokio::spawn(async move { waiting.watch("n", KeyVersion(0), 60_000).await });
    eventually!(harness.report("/v1/calls").await["calls"]["watch"] == 1);
    let mut cut = json!({"fault": "cut", "between": [place, "platform"], "on": true});
    harness.post_fault(&cut).await;
    let timeouts = Timeouts {
        call_ms: UNANSWERED_MS,
        ..Timeouts::default()
    };
    let node: NodeName = "gyor-e1".parse().unwrap();
    let at = harness.site.platform_address_for(&gyor()).unwrap();
    let cut_off = HttpStore::new(at, node.clone(), timeouts).unwrap();
    let read = cut_off.get("k").await;
    assert!(matches!(read, Err(CallError::ReplyLost { .. })), "{read:?}");
    let szeged = "szeged".parse().unwrap();
    let at = harness.site.platform_address_for(&szeged).unwrap();
    let other = HttpStore::new(at, node, Timeouts::default()).unwrap();
    other.swap(new_key("n")).await.unwrap();
    assert!(!watch.is_finished());
    cut["on"] = false.into();
    harness.post_fault(&cut).await;
    assert_eq!(watch.await.unwrap().unwrap().changed.len(), 1);
}

/// Starts a peer that echoes what it receives and registers it as a node of `szeged`.
async fn register_echo(harness: &Harness) -> NodeName {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let name: NodeName = "szeged-e1".parse().unwrap();
    let address = listener.local_addr().unwrap();
    let at = "szeged".parse().unwrap();
    harness
        .site
        .register_node(name.clone(), at, address)
        .await
        .unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    name
}

/// Sends four bytes and reads them back.
async fn echo(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    stream.write_all(b"ping").await?;
    let mut back = [0; 4];
    stream.read_exact(&mut back).await?;
    Ok(back)
}

#[tokio::test]
async fn cut_holds_bytes_between_data_centres() {
    let harness = Harness::start().await;
    let node = register_echo(&harness).await;
    let relay = harness.site.peer_address_for(&gyor(), &node).unwrap();
    let mut old = TcpStream::connect(relay).await.unwrap();
    assert_eq!(&echo(&mut old).await.unwrap(), b"ping");
    let mut cut = json!({"fault": "cut", "between": ["alfold", "gyor"], "on": true});
    harness.post_fault(&cut).await;
    let mut new = TcpStream::connect(relay).await.unwrap();
    let unanswered_after = Duration::from_millis(UNANSWERED_MS);
    for stream in [&mut old, &mut new] {
        let result = tokio::time::timeout(unanswered_after, echo(stream)).await;
        assert!(result.is_err(), "{result:?}");
    }
    cut["on"] = false.into();
    harness.post_fault(&cut).await;
    for stream in [&mut old, &mut new] {
        let mut back = [0; 4];
        stream.read_exact(&mut back).await.unwrap();
        assert_eq!(&back, b"ping");
    }
    let links = harness.report("/v1/links").await;
    let row = json!({"from": "gyor", "to": "szeged", "bytes": 12, "cut": false});
    assert!(links.as_array().unwrap().contains(&row), "{links}");
}

#[tokio::test]
async fn connections_silent_stall_open_connections_to_node() {
    let harness = Harness::start().await;
    let node = register_echo(&harness).await;
    let relay = harness.site.peer_address_for(&gyor(), &node).unwrap();
    let mut old = TcpStream::connect(relay).await.unwrap();
    assert_eq!(&echo(&mut old).await.unwrap(), b"ping");
    harness
        .switch("connections_silent", node.as_str(), true)
        .await;
    let unanswered_after = Duration::from_millis(UNANSWERED_MS);
    let result = tokio::time::timeout(unanswered_after, echo(&mut old)).await;
    assert!(result.is_err(), "{result:?}");
    let mut new = TcpStream::connect(relay).await.unwrap();
    assert_eq!(&echo(&mut new).await.unwrap(), b"ping");
}

#[tokio::test]
async fn node_kill_reaches_embedding_program() {
    let harness = Harness::start().await;
    let node = register_echo(&harness).await;
    let mut faults = harness.site.subscribe_node_faults();
    let relay = harness.site.peer_address_for(&gyor(), &node).unwrap();
    let mut peer = TcpStream::connect(relay).await.unwrap();
    assert_eq!(&echo(&mut peer).await.unwrap(), b"ping");
    harness.switch("node_kill", node.as_str(), true).await;
    let kill = NodeFault::Kill {
        node: node.clone(),
        on: true,
    };
    assert_eq!(faults.recv().await.unwrap(), kill);
    assert!(echo(&mut peer).await.is_err());
    eventually!(harness.site_entries().await.is_empty());
    harness.switch("node_kill", node.as_str(), false).await;
    let back = NodeFault::Kill { node, on: false };
    assert_eq!(faults.recv().await.unwrap(), back);
    register_echo(&harness).await;
    let mut peer = TcpStream::connect(relay).await.unwrap();
    assert_eq!(&echo(&mut peer).await.unwrap(), b"ping");
    let entries = harness.site_entries().await;
    assert_eq!(entries[0].peer_address, relay);
}

#[tokio::test]
async fn node_stop_is_listed_as_leaving() {
    let harness = Harness::start().await;
    let node = register_echo(&harness).await;
    let mut faults = harness.site.subscribe_node_faults();
    harness.switch("node_stop", node.as_str(), true).await;
    let stop = NodeFault::Stop { node: node.clone() };
    assert_eq!(faults.recv().await.unwrap(), stop);
    eventually!(harness.site_entries().await[0].state == VmState::Leaving);
    harness.site.unregister_node(&node);
    eventually!(harness.site_entries().await.is_empty());
}
