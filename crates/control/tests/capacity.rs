//! Workers whose capacity shrinks while starts wait or are on their way to them.
//!
//! Guards against a start that takes effect on a worker which has no room for it any more, and one that is sent although
//! the worker may have shrunk unseen.

mod support;

use std::time::Duration;

use platform_standin::{StoreFault, WorkerStandIn};
use serde_json::Value;
use support::Site;

/// Duration of tasks.
const RUN: Duration = Duration::from_millis(30);

/// Long enough for the planner to read the list of workers twice, and for an unanswered order to be repeated.
const TWO_LISTS: Duration = Duration::from_millis(2_000);

/// The default of the time after which a smaller capacity binds.
const CONTACT: Duration = Duration::from_millis(4_000);

/// Writes a worker's entry with this many accelerators.
fn write_entry(site: &Site, worker: &WorkerStandIn, accelerators: u32) {
    let (key, text) = worker.entry();
    let mut entry: Value = serde_json::from_str(&text).unwrap();
    entry["capacity"]["gpu"] = accelerators.into();
    site.store.write(&key, &entry.to_string());
}

#[tokio::test(flavor = "multi_thread")]
async fn unanswered_start_is_not_repeated_on_worker_that_shrank() {
    let site = Site::start(1, RUN).await;
    assert_eq!(site.submit(0, 1, 1).await, 200);
    site.wait("the worker is used", async |site| {
        site.state(0, 1).await == "completed"
    })
    .await;
    site.workers[0].set_unresponsive(true);
    assert_eq!(site.submit(0, 2, 1).await, 200);
    site.wait("the task is assigned", async |site| {
        site.state(0, 2).await == "running"
    })
    .await;
    write_entry(&site, &site.workers[0], 0);
    tokio::time::sleep(TWO_LISTS).await;
    site.workers[0].set_unresponsive(false);
    tokio::time::sleep(TWO_LISTS).await;
    assert_eq!(site.audit.counts(), (1, 1));
    write_entry(&site, &site.workers[0], 8);
    site.wait("the job is completed", async |site| {
        site.state(0, 2).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (2, 2))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn start_waits_while_workers_cannot_be_listed() {
    let site = Site::start(1, RUN).await;
    assert_eq!(site.submit(0, 1, 1).await, 200);
    site.wait("the worker is used", async |site| {
        site.state(0, 1).await == "completed"
    })
    .await;
    site.store.set_fault(StoreFault::WorkersUnreadable);
    tokio::time::sleep(CONTACT).await;
    write_entry(&site, &site.workers[0], 0);
    assert_eq!(site.submit(0, 2, 1).await, 200);
    tokio::time::sleep(TWO_LISTS).await;
    assert_eq!(site.audit.counts(), (1, 1));
    site.store.set_fault(StoreFault::None);
    tokio::time::sleep(TWO_LISTS).await;
    assert_eq!(site.audit.counts(), (1, 1));
    write_entry(&site, &site.workers[0], 8);
    site.wait("the job is completed", async |site| {
        site.state(0, 2).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (2, 2))
    );
}
