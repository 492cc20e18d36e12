//! Jobs of a queue with an advice policy start, however long the service takes by its figures, and also if it takes longer.
//!
//! Guards against LOST: a query is given up before the service can have answered it, and repeated alike, or jobs wait one
//! behind the other for the queries of a single VM.

mod support;

use std::time::{Duration, Instant};

use platform_standin::{AdviceFault, AdvicePolicy, AdviceStandIn, configuration_with_advice};
use rstest::rstest;
use serde_json::{Value, json};
use support::{KEY, Site};

const LONG_RUN: Duration = Duration::from_secs(3_600);

/// Workers of the site; by the figures of the first case a query about all of them takes 5.5 s.
const WORKERS: usize = 25;

/// Time in which the planner has heard all workers.
const KNOWN_WITHIN: Duration = Duration::from_secs(1);

/// Time in which a node has read the entries of its peers.
const PEERS_KNOWN_WITHIN: Duration = Duration::from_secs(9);

/// The platform lets a job have nothing running for this long while there is room for it.
const LONGEST_IDLE: Duration = Duration::from_secs(3);

/// The policy of review/10.
const POLICY: AdvicePolicy = AdvicePolicy {
    decide_ms: 500,
    each_worker_ms: 200,
    valid_ms: 10_000,
    forbidden_permille: 0,
};

/// Starts a site whose nodes reach the advice service from an address each, and whose workers check tickets.
async fn start_site(
    nodes: usize,
    policy: AdvicePolicy,
    run_for: Duration,
) -> (Site, AdviceStandIn) {
    let mut site = Site::start_without_nodes(WORKERS, run_for).await;
    let advice = AdviceStandIn::start_with(policy.clone()).await.unwrap();
    site.advice_addresses = vec![advice.address()];
    for _ in 1..nodes {
        site.advice_addresses
            .push(advice.open_endpoint().await.unwrap());
    }
    site.store.write(
        "op/config",
        &configuration_with_advice(1, &[KEY], policy.figures()),
    );
    for worker in &site.workers {
        worker.check_tickets();
    }
    site.advice = Some(advice.clone());
    for _ in 0..nodes {
        site.add_node().await;
    }
    tokio::time::sleep(match nodes {
        1 => KNOWN_WITHIN,
        _ => PEERS_KNOWN_WITHIN,
    })
    .await;
    (site, advice)
}

/// Waits until this many tasks run; returns how long that took.
async fn time_until_running(site: &Site, count: u32) -> Duration {
    let began = Instant::now();
    site.wait("the tasks run", async |site| site.audit.running() >= count)
        .await;
    let took = began.elapsed();
    println!("{count} tasks run after {} ms", took.as_millis());
    took
}

fn step(count: u32, accelerators: u32) -> Value {
    json!({"count": count, "cpu": 1_000, "mem_mb": 100, "gpu": accelerators, "estimate_ms": 2_000})
}

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

/// One query after the other would take 0.7 s for each job, so the peers send some of them.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_accepted_at_once_start_in_time() {
    let (site, advice) = start_site(3, POLICY, LONG_RUN).await;
    for id in 1..=6 {
        assert_eq!(site.submit(0, id, 1).await, 200);
    }
    assert!(time_until_running(&site, 6).await <= LONGEST_IDLE);
    assert_eq!(advice.named(), 6, "a worker for each job");
}

#[tokio::test(flavor = "multi_thread")]
async fn job_starts_beside_one_that_asks_for_long() {
    let (site, _) = start_site(3, POLICY, LONG_RUN).await;
    let mut gang = step(20, 8);
    gang["gang"] = json!(true);
    assert_eq!(site.submit_steps(0, 1, json!([gang])).await, 200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(site.submit(0, 2, 1).await, 200);
    let began = Instant::now();
    let task = format!("{:016x}.0.0.0", 2);
    site.wait("the small job runs", async |site| {
        !site.audit.workers_of(&task).is_empty()
    })
    .await;
    println!(
        "the small job runs after {} ms",
        began.elapsed().as_millis()
    );
    assert!(began.elapsed() <= LONGEST_IDLE);
    time_until_running(&site, 21).await;
}

/// The tickets of a gang that are granted one after the other would expire before the last.
#[rstest]
#[case::one_vm(1)]
#[case::three_vms(3)]
#[tokio::test(flavor = "multi_thread")]
async fn gang_starts_whose_tickets_hold_for_a_moment(#[case] nodes: usize) {
    let policy = AdvicePolicy {
        valid_ms: 1_500,
        ..POLICY
    };
    let (site, _) = start_site(nodes, policy, LONG_RUN).await;
    let mut gang = step(20, 8);
    gang["gang"] = json!(true);
    assert_eq!(site.submit_steps(0, 1, json!([gang])).await, 200);
    time_until_running(&site, 20).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn steps_of_job_follow_each_other_in_time() {
    let (site, _) = start_site(1, POLICY, Duration::from_secs(2)).await;
    let mut steps: Vec<Value> = (0..4).map(|_| step(1, 1)).collect();
    for (number, step) in steps.iter_mut().enumerate().skip(1) {
        step["after"] = json!([number - 1]);
    }
    assert_eq!(site.submit_steps(0, 1, json!(steps)).await, 200);
    let began = Instant::now();
    site.wait("the job is done", async |site| {
        site.state(0, 1).await == "completed"
    })
    .await;
    println!(
        "four steps of 2 s are done after {} ms",
        began.elapsed().as_millis()
    );
    assert!(began.elapsed() <= 4 * (Duration::from_secs(2) + LONGEST_IDLE));
}

#[rstest]
#[case::busy(AdviceFault::Busy)]
#[case::silent(AdviceFault::Silent)]
#[case::slow(AdviceFault::Slow(5))]
#[tokio::test(flavor = "multi_thread")]
async fn job_starts_after_trouble_of_service(#[case] fault: AdviceFault) {
    let (site, advice) = start_site(1, POLICY, LONG_RUN).await;
    advice.set_fault(fault);
    assert_eq!(site.submit(0, 1, 1).await, 200);
    tokio::time::sleep(Duration::from_secs(4)).await;
    advice.set_fault(AdviceFault::None);
    assert!(time_until_running(&site, 1).await <= Duration::from_secs(14));
}

/// The next planner asks again, and starts nothing that runs.
#[tokio::test(flavor = "multi_thread")]
async fn job_starts_after_change_of_planners() {
    let (mut site, _) = start_site(2, POLICY, LONG_RUN).await;
    assert_eq!(site.submit(0, 1, 1).await, 200);
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.nodes[0].kill();
    time_until_running(&site, 1).await;
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}
