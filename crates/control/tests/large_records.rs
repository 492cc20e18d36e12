//! Jobs whose record is larger than one value of the store.
//!
//! Guards against a planner that writes a record which the store refuses for good: one planner after the other steps down,
//! and no job starts any more.

mod support;

use std::time::Duration;

use support::Site;

/// Long enough that all tasks run at the same time.
const LONG_RUN: Duration = Duration::from_secs(3_600);

/// Duration of short tasks.
const SHORT_RUN: Duration = Duration::from_millis(30);

/// Tasks whose record is some 110 KB while they run.
const TASKS: u32 = 1_024;

/// The largest value that the store takes.
const MAX_VALUE_BYTES: usize = 60_000;

/// Starts a site whose large job runs on one worker.
async fn start_large_job() -> Site {
    let site = Site::start(1, LONG_RUN).await;
    site.store.set_max_value_bytes(MAX_VALUE_BYTES);
    assert_eq!(site.submit_weightless(0, 1, TASKS).await, 200);
    site.wait("all tasks run", async |site| site.audit.running() == TASKS)
        .await;
    site
}

#[tokio::test(flavor = "multi_thread")]
async fn record_over_the_value_limit_keeps_planners_stepping_down() {
    let site = start_large_job().await;
    assert_eq!(site.submit_weightless(0, 2, 1).await, 200);
    site.workers[0].set_run_for(SHORT_RUN);
    site.wait("both jobs are completed", async |site| {
        site.state(0, 1).await == "completed" && site.state(0, 2).await == "completed"
    })
    .await;
    let runs = TASKS + 1;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (runs as usize, runs))
    );
    site.wait("one record a job is left", async |site| {
        site.store.keys("q/").is_empty() && site.store.keys("r/").len() == 2
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn successor_of_large_record_starts_tasks_again() {
    let mut site = start_large_job().await;
    site.nodes[0].kill();
    let next = site.add_node().await;
    site.workers[0].set_run_for(SHORT_RUN);
    site.wait("the job is completed", async |site| {
        site.state(next, 1).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (TASKS as usize, TASKS))
    );
}
