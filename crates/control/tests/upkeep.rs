//! Waves of maintenance across changes of the leader, and beside work that runs.
//!
//! Guards against a wave that is carried out again or stands still after a takeover, and against workers that get no
//! work any more although their machine stays up.

mod support;

use std::time::Duration;

use platform_standin::MachinesStandIn;
use support::Site;

/// Long enough that a task still runs while something is done to the site.
const LONG_RUN: Duration = Duration::from_secs(3_600);

/// How long a machine is down.
const MAINTENANCE: Duration = Duration::from_millis(500);

/// Longer than a leader takes to look at the waves for the first time and to empty a machine.
const FIRST_LOOK: Duration = Duration::from_secs(5);

/// `{"state":"completed"}` as the store encodes it.
const COMPLETED: &str = "eyJzdGF0ZSI6ImNvbXBsZXRlZCJ9";

fn request_wave(site: &Site, machines: usize, most_down: usize) {
    let names: Vec<String> = (0..machines).map(|n| format!("m-{n}")).collect();
    let wave = serde_json::json!({"wave": 1, "machines": names, "within_s": 60, "cap": most_down});
    site.store.write("op/wave/1", &wave.to_string());
}

fn is_completed(site: &Site) -> bool {
    site.store.encoded_value("status/wave/1").as_deref() == Some(COMPLETED)
}

fn machines(site: &Site) -> &MachinesStandIn {
    site.machines.as_ref().unwrap()
}

/// Guards against LOST: a successor carries out a completed wave again, and what runs on its machines is stopped for good.
#[tokio::test(flavor = "multi_thread")]
async fn completed_wave_is_left_alone_by_successor() {
    let mut site = Site::start_with_machines(2, LONG_RUN, MAINTENANCE).await;
    let other = site.add_node().await;
    request_wave(&site, 2, 2);
    site.wait("the wave is completed", async |site| is_completed(site))
        .await;
    assert_eq!(site.submit(0, 1, 4).await, 200);
    site.wait("the tasks run", async |site| site.audit.running() == 4)
        .await;
    let calls = (machines(&site).calls("m-0"), machines(&site).calls("m-1"));
    site.nodes[0].kill();
    assert_eq!(site.submit(other, 2, 4).await, 200);
    site.wait("the successor plans", async |site| {
        site.audit.running() == 8
    })
    .await;
    tokio::time::sleep(FIRST_LOOK).await;
    let calls_since = (machines(&site).calls("m-0"), machines(&site).calls("m-1"));
    assert_eq!(
        (site.audit.running(), site.audit.counts(), calls_since),
        (8, (0, 8), calls),
        "running, (done, started), calls for maintenance"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_in_progress_is_completed_by_successor() {
    let mut site = Site::start_with_machines(3, LONG_RUN, MAINTENANCE).await;
    let other = site.add_node().await;
    request_wave(&site, 3, 1);
    site.wait("a machine is back", async |site| {
        machines(site).begun(1) == 2
    })
    .await;
    site.nodes[0].kill();
    site.wait("the wave is completed", async |site| is_completed(site))
        .await;
    assert_eq!(machines(&site).begun(1), 3);
    assert_eq!(site.submit(other, 1, 24).await, 200);
    site.wait("all workers have work", async |site| {
        site.audit.running() == 24
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn machine_done_before_takeover_is_not_asked_again() {
    let mut site = Site::start_with_machines(2, LONG_RUN, MAINTENANCE).await;
    site.add_node().await;
    machines(&site).set_refuses("m-1", Some("busy"));
    request_wave(&site, 2, 2);
    site.wait("both machines are asked", async |site| {
        machines(site).begun(1) == 1 && machines(site).calls("m-1") > 0
    })
    .await;
    tokio::time::sleep(2 * MAINTENANCE).await;
    site.nodes[0].kill();
    let before = machines(&site).calls("m-1");
    site.wait("the successor asks", async |site| {
        machines(site).calls("m-1") > before
    })
    .await;
    machines(&site).set_refuses("m-1", None);
    site.wait("the wave is completed", async |site| is_completed(site))
        .await;
    assert_eq!(machines(&site).calls("m-0"), 1, "it had its maintenance");
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_of_busy_machine_gets_work() {
    let site = Site::start_with_machines(1, LONG_RUN, MAINTENANCE).await;
    machines(&site).set_refuses("m-0", Some("busy"));
    request_wave(&site, 1, 1);
    site.wait("the machine is asked", async |site| {
        machines(site).calls("m-0") > 0
    })
    .await;
    assert_eq!(site.submit(0, 1, 2).await, 200);
    site.wait("the tasks run", async |site| site.audit.running() == 2)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_of_machine_outside_wave_gets_work() {
    let site = Site::start_with_machines(1, LONG_RUN, MAINTENANCE).await;
    machines(&site).set_refuses("m-0", Some("wave"));
    request_wave(&site, 1, 1);
    site.wait("the wave is completed", async |site| is_completed(site))
        .await;
    assert_eq!(site.submit(0, 1, 2).await, 200);
    site.wait("the tasks run", async |site| site.audit.running() == 2)
        .await;
}
