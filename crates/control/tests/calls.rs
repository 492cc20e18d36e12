//! Answers to callers' calls: keys, queues, bodies, cancels and counts of waiting jobs.
//!
//! Guards against a revoked key that is still honoured, a cancelled job that continues, and a malformed body or
//! configuration that takes effect.

mod support;

use std::time::Duration;

use platform_standin::{StoreFault, configuration};
use rstest::rstest;
use serde_json::Value;
use support::{KEY, Site};

const LONG_RUN: Duration = Duration::from_secs(3_600);

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_job_stops() {
    let site = Site::start(1, LONG_RUN).await;
    assert_eq!(site.submit(0, 1, 3).await, 200);
    site.wait("the tasks run", async |site| site.audit.running() == 3)
        .await;
    let path = format!("/q/{:016x}", 1);
    let cancelled = site
        .call(0, "DELETE", &path, KEY, String::new())
        .await
        .unwrap();
    assert_eq!(cancelled.status(), 200);
    site.wait("the tasks stop", async |site| site.audit.running() == 0)
        .await;
    site.wait("cancelled", async |site| {
        site.state(0, 1).await == "cancelled"
    })
    .await;
}

/// Guards against an answer about a job that is late without a trace in the metrics.
#[tokio::test(flavor = "multi_thread")]
async fn query_and_planning_pass_are_timed() {
    let site = Site::start(1, LONG_RUN).await;
    assert_eq!(site.submit(0, 1, 1).await, 200);
    assert_eq!(site.read_metric(0, "query_ms_count").await, 0);
    site.state(0, 1).await;
    assert_eq!(site.read_metric(0, "query_ms_count").await, 1);
    site.wait("a pass is recorded", async |site| {
        site.read_metric(0, "planning_pass_ms_count").await > 0
    })
    .await;
}

/// The write is conditional on the configuration that was checked, so that a revoked key is refused even before the
/// node's watch reports the new configuration.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_is_refused_by_the_write_itself() {
    let site = Site::start(1, LONG_RUN).await;
    assert_eq!(site.submit(0, 1, 1).await, 200);
    site.store
        .write("op/config", &configuration(2, &["another-key"]));
    assert_eq!(
        site.submit(0, 2, 1).await,
        401,
        "at once, not only when the node learns of the change"
    );
    assert!(
        site.store
            .keys("q/j/")
            .iter()
            .all(|key| !key.ends_with('2'))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn unreadable_configuration_changes_nothing() {
    let site = Site::start(1, LONG_RUN).await;
    site.store.write("op/config", "{\"version\":");
    site.store.write("servers/i-9", "not an entry");
    site.wait("still known", async |site| {
        site.state(0, 7).await.is_empty() && site.is_ready(0).await
    })
    .await;
}

#[rstest]
#[case::not_json("{", 400, "line 1, column 1")]
#[case::no_steps("{\"spec\":\"x\",\"steps\":[]}", 400, "steps")]
#[case::no_tasks("{\"spec\":\"x\",\"steps\":[{\"count\":0}]}", 400, "steps[0].count")]
#[case::waits_for_itself("{\"steps\":[{\"count\":1,\"after\":[0]}]}", 400, "steps[0].after")]
#[tokio::test(flavor = "multi_thread")]
async fn body_is_refused_with_its_place(
    #[case] body: &str,
    #[case] status: u16,
    #[case] place: &str,
) {
    let site = Site::start(0, LONG_RUN).await;
    let path = format!("/q/{:016x}", 1);
    let response = site
        .call(0, "POST", &path, KEY, body.to_string())
        .await
        .unwrap();
    assert_eq!(response.status().as_u16(), status);
    let body: Value = response.json().await.unwrap();
    assert!(body["detail"].as_str().unwrap().contains(place), "{body}");
}

#[rstest]
#[case::too_large("POST", "/q/0000000000000001", KEY, 413)]
#[case::no_queue("GET", "/other/0000000000000001", KEY, 404)]
#[case::unknown_key("GET", "/q/0000000000000001", "wrong", 401)]
#[case::no_such_job("GET", "/q/0000000000000001", KEY, 410)]
#[case::cancel_of_no_job("DELETE", "/q/0000000000000001", KEY, 410)]
#[case::bad_id("GET", "/q/1", KEY, 400)]
#[tokio::test(flavor = "multi_thread")]
async fn call_is_answered(
    #[case] method: &str,
    #[case] path: &str,
    #[case] key: &str,
    #[case] status: u16,
) {
    let site = Site::start(0, LONG_RUN).await;
    let response = site
        .call(0, method, path, key, "x".repeat(5_000))
        .await
        .unwrap();
    assert_eq!(response.status().as_u16(), status);
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_jobs_are_counted() {
    let site = Site::start(0, LONG_RUN).await;
    assert_eq!(
        (site.submit(0, 1, 1).await, site.submit(0, 2, 1).await),
        (200, 200)
    );
    site.wait("two wait", async |site| {
        let Some(response) = site.call(0, "GET", "/q/", KEY, String::new()).await else {
            return false;
        };
        response
            .text()
            .await
            .is_ok_and(|text| text == "{\"waiting\":2}")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn node_without_configuration_asks_to_come_back() {
    let mut site = Site::start(1, LONG_RUN).await;
    let store_endpoint = site.store.open_endpoint().await.unwrap();
    store_endpoint.set_fault(StoreFault::Busy);
    let at = site.start_node_at(store_endpoint.address());
    site.wait("the node answers", async |site| {
        site.submit(at, 1, 1).await != 0
    })
    .await;
    assert_eq!(site.submit(at, 1, 1).await, 503);
    assert!(!site.is_ready(at).await);
}
