//! Lists of the store that are longer than one page.
//!
//! Guards against LOST: a planner takes the first page of the jobs for all of them.

mod support;

use std::time::Duration;

use futures::future::join_all;
use serde_json::Value;
use support::{KEY, Site};

const SHORT_RUN: Duration = Duration::from_millis(30);

/// More than two pages of the store's lists hold.
const JOBS: u64 = 1_050;

/// Jobs handed in at the same time.
const AT_ONCE: u64 = 50;

async fn count_waiting(site: &Site, node: usize) -> u64 {
    let answer = site.call(node, "GET", "/q/", KEY, String::new()).await;
    let body: Value = answer.unwrap().json().await.unwrap();
    body["waiting"].as_u64().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn successor_takes_over_jobs_of_all_pages() {
    let mut site = Site::start(0, SHORT_RUN).await;
    for first in (1..=JOBS).step_by(AT_ONCE as usize) {
        let ids = first..(first + AT_ONCE).min(JOBS + 1);
        let submitted = join_all(ids.map(|id| site.submit_weightless(0, id, 1))).await;
        assert!(
            submitted.iter().all(|status| *status == 200),
            "{submitted:?}"
        );
    }
    assert_eq!(count_waiting(&site, 0).await, JOBS);
    site.nodes[0].kill();
    let next = site.add_node().await;
    site.add_worker(SHORT_RUN).await;
    site.wait("all jobs have run", async |site| {
        site.audit.counts().0 as u64 == JOBS
    })
    .await;
    site.wait("none waits", async |site| {
        count_waiting(site, next).await == 0
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (JOBS as usize, JOBS as u32))
    );
}
