//! Calls to a node that cannot reach the store are answered through a peer that can.
//!
//! Guards against callers that are refused while another node could serve them, and against a call that a node answers
//! with an old configuration because it is cut off from the store.

mod support;

use std::time::Duration;

use platform_standin::{StoreEndpoint, StoreFault, configuration};
use rstest::rstest;
use support::{KEY, Site};

const LONG_RUN: Duration = Duration::from_secs(3_600);

/// Time between two probes of whether the cut node knows its peer; the node can reach the store meanwhile.
const PROBE_PAUSE: Duration = Duration::from_millis(300);

/// Longer than a watch of the configuration waits.
const WATCH_IN_FLIGHT: Duration = Duration::from_millis(1_050);

/// Returns whether a node passes a call on to its peer.
async fn passes_on(site: &Site, at: usize) -> bool {
    let before = site.count_passed_on(at).await;
    let path = format!("/q/{:016x}", u64::MAX);
    site.call(at, "GET", &path, KEY, String::new()).await;
    site.count_passed_on(at).await > before
}

/// Starts a site of two nodes that know each other. The second one reaches the store through an endpoint of its own,
/// whose faults affect only that node; its index is returned last.
async fn site_with_cut_node() -> (Site, StoreEndpoint, usize) {
    let mut site = Site::start(1, LONG_RUN).await;
    site.wait("the first node is the leader", async |site| {
        !site.store.keys("lead/").is_empty()
    })
    .await;
    let store_endpoint = site.store.open_endpoint().await.unwrap();
    let cut = site.add_node_at(store_endpoint.address()).await;
    site.wait("both are listed", async |site| {
        site.store.keys("peers/").len() == 2
    })
    .await;
    // A node reads the list of peers after writing its own entry, so the entry does not show yet that it knows its peer.
    site.wait("the second node knows its peer", async |site| {
        tokio::time::sleep(PROBE_PAUSE).await;
        store_endpoint.set_fault(StoreFault::Busy);
        let knows_peer = passes_on(site, cut).await;
        store_endpoint.set_fault(StoreFault::None);
        knows_peer
    })
    .await;
    site.wait("the second node reaches the store again", async |site| {
        !passes_on(site, cut).await
    })
    .await;
    (site, store_endpoint, cut)
}

#[rstest]
#[case::busy(StoreFault::Busy)]
#[case::unresponsive(StoreFault::Unresponsive)]
#[case::loses_answers(StoreFault::LosesAnswers)]
#[tokio::test(flavor = "multi_thread")]
async fn job_is_accepted_through_peer(#[case] fault: StoreFault) {
    let (site, store_endpoint, cut) = site_with_cut_node().await;
    store_endpoint.set_fault(fault);
    assert_eq!(site.submit(cut, 1, 2).await, 200);
    site.wait("the tasks run", async |site| site.audit.running() == 2)
        .await;
    assert_eq!(site.state(cut, 1).await, "running");
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}

/// A node that is cut off does not learn that a key was revoked: the peer must refuse the call.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_is_refused_through_peer() {
    let (site, store_endpoint, cut) = site_with_cut_node().await;
    store_endpoint.set_fault(StoreFault::Busy);
    site.store
        .write("op/config", &configuration(2, &["another-key"]));
    site.wait("the peer knows the new configuration", async |site| {
        site.submit(0, 1, 1).await == 401
    })
    .await;
    assert_eq!(site.submit(cut, 2, 1).await, 401);
    let path = format!("/q/{:016x}", 2);
    let answer = site
        .call(cut, "GET", &path, KEY, String::new())
        .await
        .unwrap();
    assert_eq!(answer.status(), 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_for_all_nodes_is_answered_as_such() {
    let (site, store_endpoint, cut) = site_with_cut_node().await;
    store_endpoint.set_fault(StoreFault::Busy);
    site.store.set_fault(StoreFault::Busy);
    let step = serde_json::json!({"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1});
    let body = serde_json::json!({"spec": "text", "steps": [step]}).to_string();
    let path = format!("/q/{:016x}", 1);
    let answer = site.call(cut, "POST", &path, KEY, body).await.unwrap();
    assert_eq!(answer.status(), 503, "neither node can accept the job");
    assert_eq!(answer.headers()["retry-after"], "1");
    let answer_body: serde_json::Value = answer.json().await.unwrap();
    assert_eq!(answer_body["reason"], "refused_outage");
    site.store.set_fault(StoreFault::None);
    assert!(site.store.keys("q/").is_empty(), "refused means not stored");
}

/// The peer adds the time that is left to its own clock.
#[tokio::test(flavor = "multi_thread")]
async fn passed_call_with_highest_deadline_is_unanswered() {
    let (site, store_endpoint, cut) = site_with_cut_node().await;
    store_endpoint.set_fault(StoreFault::Busy);
    let step = serde_json::json!({"count": 1, "cpu": 1_000, "mem_mb": 100, "gpu": 1});
    let call = site
        .client
        .post(format!("http://{}/q/{:016x}", site.nodes[cut].address, 1))
        .header("host", "desk.example")
        .header("hemlockloft-credential", KEY)
        .header("hemlockloft-deadline-ms", u64::MAX.to_string())
        .body(serde_json::json!({"spec": "text", "steps": [step]}).to_string());
    assert_eq!(call.send().await.unwrap().status(), 200);
}

/// A node whose first entry was refused must write it later; without an entry no peer passes calls on to it.
#[tokio::test(flavor = "multi_thread")]
async fn entry_that_was_refused_is_written_again() {
    let mut site = Site::start(1, LONG_RUN).await;
    site.wait("the first node is listed", async |site| {
        site.store.keys("peers/").len() == 1
    })
    .await;
    let endpoint = site.store.open_endpoint().await.unwrap();
    endpoint.set_fault(StoreFault::RefusesTransactions);
    site.add_node_at(endpoint.address()).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(site.store.keys("peers/").len(), 1);
    endpoint.set_fault(StoreFault::None);
    site.wait("both are listed", async |site| {
        site.store.keys("peers/").len() == 2
    })
    .await;
}

/// Guards against CONFIG: a node that is cut off answers by a newer configuration through its peer, and by its own older
/// one once no peer can be asked.
#[tokio::test(flavor = "multi_thread")]
async fn call_answered_through_peer_is_not_answered_by_older_configuration_later() {
    let (site, store_endpoint, cut) = site_with_cut_node().await;
    store_endpoint.set_fault(StoreFault::Busy);
    tokio::time::sleep(WATCH_IN_FLIGHT).await;
    site.store
        .write("op/config", &configuration(2, &["newer-key"]));
    site.wait("the peer knows the new configuration", async |site| {
        site.submit(0, 1, 1).await == 401
    })
    .await;
    let path = format!("/q/{:016x}", 2);
    let ask = async || {
        let answer = site.call(cut, "GET", &path, "newer-key", String::new());
        answer.await.unwrap().status()
    };
    assert_eq!(ask().await, 410, "the peer answers");
    site.store.set_fault(StoreFault::Busy);
    for _ in 0..40 {
        assert_eq!(ask().await, 503);
    }
}
