//! What was accepted is known and done once, whatever is killed or silent meanwhile.

mod support;

use std::time::Duration;

use platform_standin::StoreFault;
use support::Site;

/// Long enough that a task is still at work when something is done to the site.
const LONG: Duration = Duration::from_secs(3_600);

/// Short tasks.
const SHORT: Duration = Duration::from_millis(30);

/// Lets tasks that run for long end now.
fn finish_all(site: &Site) {
    for worker in &site.workers {
        worker.set_run_for(SHORT);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn job_runs_once() {
    let site = Site::start(2, SHORT).await;
    assert_eq!(site.submit(0, 1, 5).await, 200);
    site.wait("completed", async |site| {
        site.state(0, 1).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (5, 5))
    );
    site.wait("the request is gone", async |site| {
        site.store.keys("q/").is_empty()
    })
    .await;
    assert_eq!(
        site.submit(0, 1, 5).await,
        200,
        "handed in again after its end"
    );
    assert_eq!(site.state(0, 1).await, "completed");
    assert_eq!(site.audit.counts(), (5, 5));
}

#[tokio::test(flavor = "multi_thread")]
async fn job_handed_in_at_two_nodes_is_one() {
    let mut site = Site::start(1, LONG).await;
    let other = site.add_node().await;
    assert_eq!(
        (site.submit(0, 1, 3).await, site.submit(other, 1, 3).await),
        (200, 200)
    );
    site.wait("it runs", async |site| site.audit.running() == 3)
        .await;
    finish_all(&site);
    site.wait("completed", async |site| {
        site.state(other, 1).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (3, 3))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn all_killed_after_acceptance() {
    let mut site = Site::start(2, LONG).await;
    assert_eq!(site.submit(0, 1, 6).await, 200);
    site.nodes[0].kill();
    let next = site.add_node().await;
    site.wait("it runs", async |site| site.audit.running() == 6)
        .await;
    finish_all(&site);
    site.wait("completed", async |site| {
        site.state(next, 1).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (6, 6))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn planner_killed_while_tasks_run() {
    let mut site = Site::start(2, LONG).await;
    let other = site.add_node().await;
    assert_eq!(site.submit(other, 1, 6).await, 200);
    site.wait("it runs", async |site| site.audit.running() == 6)
        .await;
    site.nodes[0].kill();
    assert_eq!(
        site.submit(other, 2, 4).await,
        200,
        "jobs are taken in without a planner"
    );
    site.wait("the successor plans", async |site| {
        site.audit.running() == 10
    })
    .await;
    finish_all(&site);
    site.wait("completed", async |site| {
        site.state(other, 1).await == "completed"
    })
    .await;
    site.wait("completed", async |site| {
        site.state(other, 2).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (10, 10))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_silent_for_a_while_keeps_its_tasks() {
    let site = Site::start(1, LONG).await;
    assert_eq!(site.submit(0, 1, 2).await, 200);
    site.wait("it runs", async |site| site.audit.running() == 2)
        .await;
    site.workers[0].set_unresponsive(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.workers[0].set_unresponsive(false);
    finish_all(&site);
    site.wait("completed", async |site| {
        site.state(0, 1).await == "completed"
    })
    .await;
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn acceptance_whose_answer_is_lost() {
    let site = Site::start(1, SHORT).await;
    site.store.set_fault(StoreFault::LosesAnswers);
    let status = site.submit(0, 1, 1).await;
    assert_eq!(status, 504, "whether it was taken is not known");
    site.store.set_fault(StoreFault::None);
    site.wait("handed in again", async |site| {
        site.submit(0, 1, 1).await == 200
    })
    .await;
    site.wait("completed", async |site| {
        site.state(0, 1).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (1, 1))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_is_true_when_store_is_busy() {
    let site = Site::start(1, SHORT).await;
    site.store.set_fault(StoreFault::Busy);
    assert_eq!(site.submit(0, 1, 1).await, 503);
    site.store.set_fault(StoreFault::None);
    site.wait("ready again", async |site| site.is_ready(0).await)
        .await;
    assert_eq!(site.store.keys("q/"), Vec::<String>::new());
    site.wait("no such job", async |site| {
        let path = format!("/q/{:016x}", 1);
        let response = site
            .call(0, "GET", &path, support::KEY, String::new())
            .await;
        response.is_some_and(|response| response.status() == 410)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planner_whose_writes_get_no_answer_gives_way() {
    let mut site = Site::start(1, LONG).await;
    site.wait("the first node plans", async |site| {
        !site.store.keys("lead/").is_empty()
    })
    .await;
    let door = site.store.open_endpoint().await.unwrap();
    let cut = site.add_node_at(door.address()).await;
    site.nodes[0].kill();
    site.wait("the second node plans", async |site| {
        site.submit(cut, 1, 1).await == 200 && site.audit.running() == 1
    })
    .await;
    let whole = site.add_node().await;
    door.set_fault(StoreFault::LosesAnswers);
    assert_eq!(site.submit(whole, 2, 2).await, 200);
    site.wait("another node plans", async |site| site.audit.running() == 3)
        .await;
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn job_is_found_while_watches_are_deaf() {
    let site = Site::start(1, LONG).await;
    assert_eq!(site.submit(0, 1, 1).await, 200);
    site.wait("it plans", async |site| site.audit.running() == 1)
        .await;
    site.store.set_fault(StoreFault::StalledWatches);
    assert_eq!(site.submit(0, 2, 2).await, 200);
    site.wait("the job is found", async |site| site.audit.running() == 3)
        .await;
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}
