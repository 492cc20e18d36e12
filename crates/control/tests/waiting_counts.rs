//! The number of waiting jobs that callers ask for.
//!
//! Guards against MIXED: jobs that were assigned to a worker which never takes their starts are not counted.

mod support;

use std::time::Duration;

use serde_json::Value;
use support::{KEY, Site};

const LONG_RUN: Duration = Duration::from_secs(3_600);

/// Returns how many jobs wait, as a node counts them.
async fn count_waiting(site: &Site) -> u64 {
    let answer = site.call(0, "GET", "/q/", KEY, String::new()).await;
    let body: Value = answer.unwrap().json().await.unwrap();
    body["waiting"].as_u64().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_wait_until_their_worker_has_taken_their_starts() {
    let site = Site::start(1, LONG_RUN).await;
    assert_eq!(site.submit(0, 1, 1).await, 200);
    site.wait("the first job runs", async |site| site.audit.running() == 1)
        .await;
    site.workers[0].set_unresponsive(true);
    for id in 2..=4 {
        assert_eq!(site.submit(0, id, 1).await, 200);
    }
    site.wait("the others wait", async |site| {
        count_waiting(site).await == 3
    })
    .await;
    // A count may be 0.9 s old.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(count_waiting(&site).await, 3);
    site.workers[0].set_unresponsive(false);
    site.wait("all run", async |site| site.audit.running() == 4)
        .await;
    site.wait("none waits", async |site| count_waiting(site).await == 0)
        .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (0, 4))
    );
}
