//! Callers that send the longest time that they wait.
//!
//! Guards against a deadline whose sum with the clock overflows: the call ends unanswered, or counts as late at once.

mod support;

use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use support::{KEY, Site};

/// Submits a job at a node with this header; returns the status, or 0 without an answer.
async fn submit_with_deadline(site: &Site, at: usize, id: u64, deadline: &str) -> u16 {
    let step = json!({"count": 1, "cpu": 1_000, "mem_mb": 100, "gpu": 1, "estimate_ms": 100});
    let call = site
        .client
        .post(format!("http://{}/q/{id:016x}", site.nodes[at].address))
        .header("host", "desk.example")
        .header("hemlockloft-credential", KEY)
        .header("hemlockloft-deadline-ms", deadline)
        .body(json!({"spec": "text", "steps": [step]}).to_string());
    let answer = call.send().await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

#[rstest]
#[case::highest("18446744073709551615")]
#[case::almost_highest("18446744073709551000")]
#[case::over_64_bits("18446744073709551616")]
#[case::negative("-1")]
#[case::fraction("0.5")]
#[case::beyond_floats("1e400")]
#[case::empty("")]
#[case::text("soon")]
#[tokio::test(flavor = "multi_thread")]
async fn call_with_odd_deadline_is_unanswered(#[case] deadline: &str) {
    let site = Site::start(1, Duration::from_millis(30)).await;
    assert_eq!(submit_with_deadline(&site, 0, 1, deadline).await, 200);
}
