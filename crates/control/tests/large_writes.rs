//! Writes of many records by a leader on a VM with a narrow link.
//!
//! Guards against a write that is larger than the link carries within the write's timeout: it is repeated without end, by one
//! planner after the other, and no job starts any more.

mod support;

use std::time::Duration;

use platform_standin::WorkerStandIn;
use rstest::rstest;
use support::Site;
use support::slow_link::start_slow_two_way_link;

/// What a link of 2 Mbit/s carries, the narrowest that a VM has.
const LINK_BYTES_PER_S: usize = 250_000;

/// Much longer than all writes take.
const WITHIN: Duration = Duration::from_secs(90);

/// Duration of the tasks.
const RUN: Duration = Duration::from_millis(30);

/// The records of 2,000 running tasks are some 300 KB on the wire, which takes 1.2 s.
#[rstest]
#[case::many_jobs(8, 250)]
#[case::one_large_job(1, 2_000)]
#[tokio::test(flavor = "multi_thread")]
async fn write_over_the_capacity_of_the_link_is_repeated(#[case] jobs: u64, #[case] tasks: u32) {
    let mut site = Site::start(0, RUN).await;
    for id in 1..=jobs {
        assert_eq!(site.submit_weightless(0, id, tasks).await, 200);
    }
    site.nodes[0].kill();
    let worker = WorkerStandIn::start("i-0", RUN, site.audit.clone())
        .await
        .unwrap();
    let (key, entry) = worker.entry();
    site.store.write(&key, &entry);
    site.workers.push(worker);
    let link = start_slow_two_way_link(site.store.address(), LINK_BYTES_PER_S).await;
    let next = site.add_node_at(link).await;
    let completed = site.wait("the jobs are completed", async |site| {
        site.state(next, jobs).await == "completed" && site.store.keys("q/").is_empty()
    });
    let in_time = tokio::time::timeout(WITHIN, completed).await;
    assert!(in_time.is_ok(), "not completed within {WITHIN:?}");
    let runs = jobs as u32 * tasks;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (runs as usize, runs))
    );
}
