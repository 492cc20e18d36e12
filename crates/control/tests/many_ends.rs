//! More work ends on a worker than it lists at a time, while nobody can take note of it.
//!
//! Guards against TWICE: the tasks whose ends are cut off the list count as lost and run again.

mod support;

use std::time::Duration;

use platform_standin::StoreFault;
use rstest::rstest;
use support::Site;

/// Long enough that a task still runs while something is done to the site.
const LONG_RUN: Duration = Duration::from_secs(3_600);

/// Tasks that run at once; a worker lists 500 ends.
const TASKS: u32 = 1_200;

/// Time in which a planner that hears of ends acts on them.
const HEARD_WITHIN: Duration = Duration::from_millis(500);

/// Why nobody takes note of the ends for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    WorkerSilent,
    StoreAway,
    PlannerKilled,
}

#[rstest]
#[case::worker_silent(Trouble::WorkerSilent)]
#[case::store_away(Trouble::StoreAway)]
#[case::planner_killed(Trouble::PlannerKilled)]
#[tokio::test(flavor = "multi_thread")]
async fn tasks_beyond_listed_ends_run_once(#[case] trouble: Trouble) {
    let mut site = Site::start(1, LONG_RUN).await;
    assert_eq!(site.submit_weightless(0, 1, TASKS).await, 200);
    site.wait("all tasks run", async |site| site.audit.running() == TASKS)
        .await;
    match trouble {
        Trouble::WorkerSilent => site.workers[0].set_unresponsive(true),
        Trouble::StoreAway => site.store.set_fault(StoreFault::Busy),
        Trouble::PlannerKilled => site.nodes[0].kill(),
    }
    site.workers[0].set_run_for(Duration::ZERO);
    site.wait("all tasks are done", async |site| site.audit.running() == 0)
        .await;
    tokio::time::sleep(HEARD_WITHIN).await;
    let mut node = 0;
    match trouble {
        Trouble::WorkerSilent => site.workers[0].set_unresponsive(false),
        Trouble::StoreAway => site.store.set_fault(StoreFault::None),
        Trouble::PlannerKilled => node = site.add_node().await,
    }
    site.wait("the job is completed", async |site| {
        site.state(node, 1).await == "completed"
    })
    .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (TASKS as usize, TASKS)),
        "no task runs again"
    );
}
