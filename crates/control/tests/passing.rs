//! Calls at a node that does not reach the store are answered through a peer that does.

mod support;

use std::time::Duration;

use platform_standin::{StoreEndpoint, StoreFault, configuration};
use rstest::rstest;
use support::{KEY, Site};

const LONG: Duration = Duration::from_secs(3_600);

/// A site of two nodes that know each other; the second one reaches the store through a door of its own.
async fn site_with_door() -> (Site, StoreEndpoint, usize) {
    let mut site = Site::start(1, LONG).await;
    site.wait("the first node plans", async |site| {
        !site.store.keys("lead/").is_empty()
    })
    .await;
    let door = site.store.open_endpoint().await.unwrap();
    let cut = site.add_node_at(door.address()).await;
    site.wait("both are listed", async |site| {
        site.store.keys("peers/").len() == 2
    })
    .await;
    // The second node read the list as it entered itself, after the first one had.
    (site, door, cut)
}

#[rstest]
#[case::busy(StoreFault::Busy)]
#[case::silent(StoreFault::Unresponsive)]
#[case::loses_answers(StoreFault::LosesAnswers)]
#[tokio::test(flavor = "multi_thread")]
async fn job_is_taken_in_through_peer(#[case] fault: StoreFault) {
    let (site, door, cut) = site_with_door().await;
    door.set_fault(fault);
    assert_eq!(site.submit(cut, 1, 2).await, 200);
    site.wait("it runs", async |site| site.audit.running() == 2)
        .await;
    assert_eq!(site.state(cut, 1).await, "running");
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_is_refused_through_peer() {
    let (site, door, cut) = site_with_door().await;
    door.set_fault(StoreFault::Busy);
    site.store
        .write("op/config", &configuration(2, &["another-key"]));
    site.wait("the peer knows", async |site| {
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
async fn outage_for_all_is_told_as_such() {
    let (site, door, cut) = site_with_door().await;
    door.set_fault(StoreFault::Busy);
    site.store.set_fault(StoreFault::Busy);
    let step = serde_json::json!({"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1});
    let body = serde_json::json!({"spec": "text", "steps": [step]}).to_string();
    let path = format!("/q/{:016x}", 1);
    let answer = site.call(cut, "POST", &path, KEY, body).await.unwrap();
    assert_eq!(answer.status(), 503, "neither node can take it in");
    assert_eq!(answer.headers()["retry-after"], "1");
    let told: serde_json::Value = answer.json().await.unwrap();
    assert_eq!(told["reason"], "refused_outage");
    site.store.set_fault(StoreFault::None);
    assert!(site.store.keys("q/").is_empty(), "refused means not stored");
}
