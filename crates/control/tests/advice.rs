//! Jobs of a queue with an advice policy start, however long the service takes by its figures, and also if it takes longer.
//!
//! Guards against LOST: a query is given up before the service can have answered it, and repeated alike.

mod support;

use std::time::Duration;

use platform_standin::{AdviceStandIn, configuration_with_advice};
use rstest::rstest;
use serde_json::json;
use support::{KEY, Site};

const LONG_RUN: Duration = Duration::from_secs(3_600);

/// Workers of the site; by the figures of the first case a query about all of them takes 5.5 s.
const WORKERS: usize = 25;

/// Time in which the planner has heard all workers.
const KNOWN_WITHIN: Duration = Duration::from_secs(1);

#[rstest]
#[case::as_long_as_its_figures_say(json!({"decide_ms": 500, "period_ms": 200, "valid_ms": 10_000}), 500, 200)]
#[case::longer_than_its_figures_say(json!({"decide_ms": 1, "period_ms": 1, "valid_ms": 10_000}), 1, 300)]
#[tokio::test(flavor = "multi_thread")]
async fn job_starts_although_advice_takes_long(
    #[case] figures: serde_json::Value,
    #[case] decide_ms: u64,
    #[case] each_worker_ms: u64,
) {
    let mut site = Site::start_without_nodes(WORKERS, LONG_RUN).await;
    let advice = AdviceStandIn::start(
        Duration::from_millis(decide_ms),
        Duration::from_millis(each_worker_ms),
    );
    let advice = advice.await.unwrap();
    site.store
        .write("op/config", &configuration_with_advice(1, &[KEY], figures));
    site.advice = Some(advice.clone());
    site.add_node().await;
    tokio::time::sleep(KNOWN_WITHIN).await;
    assert_eq!(site.submit(0, 1, 1).await, 200);
    site.wait("the task runs", async |site| site.audit.running() == 1)
        .await;
    assert!(advice.queries() <= 5, "{} queries", advice.queries());
}
