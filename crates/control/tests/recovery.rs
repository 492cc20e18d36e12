//! Accepted jobs stay known and run exactly once, whatever process is killed or stops answering meanwhile.
//!
//! Guards against accepted jobs that are lost, tasks that run twice, and a planner that neither plans nor steps down.

mod support;

use std::time::Duration;

use platform_standin::StoreFault;
use support::Site;
use support::slow_link::start_slow_link;

/// Long enough that a task still runs while something is done to the site.
const LONG_RUN: Duration = Duration::from_secs(3_600);

/// Duration of short tasks.
const SHORT_RUN: Duration = Duration::from_millis(30);

/// Lets long-running tasks end now.
fn finish_all_tasks(site: &Site) {
    for worker in &site.workers {
        worker.set_run_for(SHORT_RUN);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn job_runs_once() {
    let site = Site::start(2, SHORT_RUN).await;
    assert_eq!(site.submit(0, 1, 5).await, 200);
    site.wait("the job is completed", async |site| {
        site.state(0, 1).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (5, 5))
    );
    site.wait("the request is removed", async |site| {
        site.store.keys("q/").is_empty()
    })
    .await;
    assert_eq!(
        site.submit(0, 1, 5).await,
        200,
        "submitted again after its end"
    );
    assert_eq!(site.state(0, 1).await, "completed");
    assert_eq!(site.audit.counts(), (5, 5));
}

#[tokio::test(flavor = "multi_thread")]
async fn job_submitted_at_two_nodes_is_one() {
    let mut site = Site::start(1, LONG_RUN).await;
    let other = site.add_node().await;
    assert_eq!(
        (site.submit(0, 1, 3).await, site.submit(other, 1, 3).await),
        (200, 200)
    );
    site.wait("the tasks run", async |site| site.audit.running() == 3)
        .await;
    finish_all_tasks(&site);
    site.wait("the job is completed", async |site| {
        site.state(other, 1).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (3, 3))
    );
}

/// An accepted job is stored durably: it runs although every node is killed right after accepting it.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_killed_after_acceptance() {
    let mut site = Site::start(2, LONG_RUN).await;
    assert_eq!(site.submit(0, 1, 6).await, 200);
    site.nodes[0].kill();
    let next = site.add_node().await;
    site.wait("the tasks run", async |site| site.audit.running() == 6)
        .await;
    finish_all_tasks(&site);
    site.wait("the job is completed", async |site| {
        site.state(next, 1).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (6, 6))
    );
}

/// The successor of a killed leader must adopt the running tasks instead of starting them again.
#[tokio::test(flavor = "multi_thread")]
async fn planner_killed_while_tasks_run() {
    let mut site = Site::start(2, LONG_RUN).await;
    let other = site.add_node().await;
    assert_eq!(site.submit(other, 1, 6).await, 200);
    site.wait("the tasks run", async |site| site.audit.running() == 6)
        .await;
    site.nodes[0].kill();
    assert_eq!(
        site.submit(other, 2, 4).await,
        200,
        "jobs are accepted without a leader"
    );
    site.wait("the successor plans", async |site| {
        site.audit.running() == 10
    })
    .await;
    finish_all_tasks(&site);
    site.wait("the job is completed", async |site| {
        site.state(other, 1).await == "completed"
    })
    .await;
    site.wait("the job is completed", async |site| {
        site.state(other, 2).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (10, 10))
    );
}

/// A worker that is unresponsive for less than its lease keeps its runs; starting them elsewhere would run the tasks
/// twice.
#[tokio::test(flavor = "multi_thread")]
async fn worker_unresponsive_for_short_keeps_its_tasks() {
    let site = Site::start(1, LONG_RUN).await;
    assert_eq!(site.submit(0, 1, 2).await, 200);
    site.wait("the tasks run", async |site| site.audit.running() == 2)
        .await;
    site.workers[0].set_unresponsive(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.workers[0].set_unresponsive(false);
    finish_all_tasks(&site);
    site.wait("the job is completed", async |site| {
        site.state(0, 1).await == "completed"
    })
    .await;
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}

/// The store carries out the write, but its answer is lost, as are those of all repetitions: the job is read back, and a
/// repeated submission must not create a second job.
#[tokio::test(flavor = "multi_thread")]
async fn acceptance_whose_answer_is_lost() {
    let site = Site::start(1, SHORT_RUN).await;
    site.store.set_fault(StoreFault::LosesAnswers);
    let status = site.submit(0, 1, 1).await;
    assert_eq!(status, 200, "the job is read back");
    assert_eq!(site.read_metric(0, "doubt_settled_total").await, 1);
    site.store.set_fault(StoreFault::None);
    site.wait("submitted again", async |site| {
        site.submit(0, 1, 1).await == 200
    })
    .await;
    site.wait("the job is completed", async |site| {
        site.state(0, 1).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (1, 1))
    );
}

/// A refused submission must leave nothing in the store.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_is_true_when_store_is_busy() {
    let site = Site::start(1, SHORT_RUN).await;
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

/// The leader can renew its lead while its writes are unanswered: it must step down, because nothing would be planned
/// otherwise.
#[tokio::test(flavor = "multi_thread")]
async fn planner_with_unanswered_writes_steps_down() {
    let mut site = Site::start(1, LONG_RUN).await;
    site.wait("the first node is the leader", async |site| {
        !site.store.keys("lead/").is_empty()
    })
    .await;
    let store_endpoint = site.store.open_endpoint().await.unwrap();
    let cut = site.add_node_at(store_endpoint.address()).await;
    site.nodes[0].kill();
    site.wait("the second node plans", async |site| {
        site.submit(cut, 1, 1).await == 200 && site.audit.running() == 1
    })
    .await;
    let unaffected = site.add_node().await;
    store_endpoint.set_fault(StoreFault::LosesAnswers);
    assert_eq!(site.submit(unaffected, 2, 2).await, 200);
    site.wait("another node plans", async |site| site.audit.running() == 3)
        .await;
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}

/// Watches stay open but deliver no events: the planner must find a new job by polling.
#[tokio::test(flavor = "multi_thread")]
async fn job_is_found_while_watches_are_stalled() {
    let site = Site::start(1, LONG_RUN).await;
    assert_eq!(site.submit(0, 1, 1).await, 200);
    site.wait("the planner is at work", async |site| {
        site.audit.running() == 1
    })
    .await;
    site.store.set_fault(StoreFault::StalledWatches);
    assert_eq!(site.submit(0, 2, 2).await, 200);
    site.wait("the job is found", async |site| site.audit.running() == 3)
        .await;
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}

/// The next incarnation of a crashed worker may have its id: a start that is repeated because it got no answer would
/// crash that one, too, without ever being counted.
#[tokio::test(flavor = "multi_thread")]
async fn start_is_not_repeated_at_next_incarnation() {
    let site = Site::start(3, LONG_RUN).await;
    for worker in &site.workers {
        worker.set_crashing(Duration::from_secs(1));
    }
    assert_eq!(site.submit(0, 1, 1).await, 200);
    site.wait("the job has failed", async |site| {
        for worker in &site.workers {
            let (key, entry) = worker.entry();
            site.store.write(&key, &entry);
        }
        site.audit.counts().1 > 5 || site.state(0, 1).await == "failed"
    })
    .await;
    assert_eq!(site.state(0, 1).await, "failed");
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}

/// Reading the state takes longer than the timeout of a call: its answer is large, and the leader's link is narrow.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_run_after_takeover_over_narrow_link() {
    let mut site = Site::start(1, LONG_RUN).await;
    let spec = "x".repeat(4_000);
    for id in 1..=60 {
        assert_eq!(site.submit_with(0, id, 1, &spec).await, 200);
    }
    site.nodes[0].kill();
    let link = start_slow_link(site.store.address(), 150_000).await;
    let next = site.add_node_at(link).await;
    finish_all_tasks(&site);
    site.wait("the last job is completed", async |site| {
        site.state(next, 60).await == "completed"
    })
    .await;
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}

/// A leader whose reads fail must not keep the lead from nodes that could plan.
#[tokio::test(flavor = "multi_thread")]
async fn leader_that_cannot_read_the_state_steps_down() {
    let mut site = Site::start(1, LONG_RUN).await;
    let store_endpoint = site.store.open_endpoint().await.unwrap();
    store_endpoint.set_fault(StoreFault::StalledLists);
    site.nodes[0].kill();
    let cut = site.add_node_at(store_endpoint.address()).await;
    site.wait("the cut node is the leader", async |site| {
        site.read_metric(cut, "leads_taken_total").await == 1
    })
    .await;
    assert_eq!(site.submit(cut, 1, 1).await, 200);
    site.add_node().await;
    site.wait("another node plans", async |site| site.audit.running() == 1)
        .await;
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}
