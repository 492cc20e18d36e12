//! What ends on a worker between two terms is known to the next planner, also if the worker is gone by then.
//!
//! Guards against LOST: a task that was done during an outage of the store runs once more, and the rest of its job waits.

mod support;

use std::time::{Duration, Instant};

use platform_standin::StoreFault;
use support::Site;

/// Long enough that a task still runs while something is done to the site.
const LONG_RUN: Duration = Duration::from_secs(3_600);

/// Duration of short tasks.
const SHORT_RUN: Duration = Duration::from_millis(30);

/// Time in which a node that listens hears of an end.
const HEARD_WITHIN: Duration = Duration::from_millis(500);

/// Time between the ends of two tasks on one worker.
const BETWEEN_ENDS: Duration = Duration::from_millis(370);

/// Time from the second of them to the loss of the worker.
const LOST_AFTER_END: Duration = Duration::from_millis(110);

/// Plays an outage of the store that is longer than a planner renews workers' leases. The only task of a job is done in it,
/// and its worker leaves for good before the store is back.
async fn task_done_in_outage(done_after_term: bool) {
    let mut site = Site::start(1, LONG_RUN).await;
    assert_eq!(site.submit(0, 1, 1).await, 200);
    site.wait("the task runs", async |site| site.audit.running() == 1)
        .await;
    site.store.set_fault(StoreFault::Busy);
    if !done_after_term {
        site.workers[0].set_run_for(SHORT_RUN);
    }
    site.wait("the planner gives up", async |site| {
        site.read_metric(0, "leads_lost_total").await == 1
    })
    .await;
    site.workers[0].set_run_for(SHORT_RUN);
    site.wait("the task is done", async |site| site.audit.running() == 0)
        .await;
    tokio::time::sleep(HEARD_WITHIN).await;
    site.store.remove(&site.workers[0].key());
    site.workers[0].end();
    site.store.set_fault(StoreFault::None);
    site.add_worker(SHORT_RUN).await;
    site.wait("the job is completed", async |site| {
        site.state(0, 1).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (1, 1)),
        "the task does not run again"
    );
    site.wait("nothing is left in the store", async |site| {
        site.store.keys("q/").is_empty()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn task_done_before_the_term_ends_does_not_run_again() {
    task_done_in_outage(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn task_done_after_the_term_ended_does_not_run_again() {
    task_done_in_outage(true).await;
}

/// A worker that has listed an end which cannot be stored is asked again soon enough that the next end is heard, although
/// the worker is lost shortly after it.
#[tokio::test(flavor = "multi_thread")]
async fn end_shortly_before_worker_is_lost_is_heard_in_outage() {
    let mut site = Site::start(1, LONG_RUN).await;
    let first_started = Instant::now();
    assert_eq!(site.submit(0, 1, 1).await, 200);
    site.wait("the first task runs", async |site| {
        site.audit.running() == 1
    })
    .await;
    tokio::time::sleep(BETWEEN_ENDS).await;
    assert_eq!(site.submit(0, 2, 1).await, 200);
    site.wait("the second task runs", async |site| {
        site.audit.running() == 2
    })
    .await;
    site.store.set_fault(StoreFault::Busy);
    site.workers[0].set_run_for(first_started.elapsed());
    site.wait("both are done", async |site| site.audit.running() == 0)
        .await;
    tokio::time::sleep(LOST_AFTER_END).await;
    site.store.remove(&site.workers[0].key());
    site.workers[0].end();
    site.store.set_fault(StoreFault::None);
    site.add_worker(SHORT_RUN).await;
    for id in [1, 2] {
        site.wait("the job is completed", async |site| {
            site.state(0, id).await == "completed"
        })
        .await;
    }
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (2, 2)),
        "no task runs again"
    );
}
