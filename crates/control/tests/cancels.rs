//! Cancels of jobs that the store does not have: their answers stay true, whatever the store still carries out.
//!
//! Guards against UNASKED and MIXED: a job that ran although the answer to its cancel said that there is no such job, as
//! the store carried its submission out afterwards; and a job that is shown although nobody submitted it.

mod support;

use std::time::Duration;

use platform_standin::{StoreFault, configuration_with};
use reqwest::Method;
use rstest::rstest;
use serde_json::{Value, json};
use support::{KEY, Site};

const LONG_RUN: Duration = Duration::from_secs(3_600);

/// How much later the store carries out a submission.
const LATE_MS: u64 = 4_000;

/// The job that most tests are about.
const JOB: u64 = 1;

fn path(id: u64) -> String {
    format!("/q/{id:016x}")
}

/// Cancels a job; returns the status of the answer.
async fn cancel(site: &Site, at: usize, id: u64, key: &str) -> u16 {
    let answer = site.call(at, "DELETE", &path(id), key, String::new()).await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

/// Asks for a job; returns the status of the answer.
async fn ask(site: &Site, at: usize, id: u64, key: &str) -> u16 {
    let answer = site.call(at, "GET", &path(id), key, String::new()).await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

/// Starts a site of two nodes that know each other.
async fn site_of_two() -> Site {
    let mut site = Site::start(1, LONG_RUN).await;
    site.add_node().await;
    site.wait("both are listed", async |site| {
        site.store.keys("peers/").len() == 2
    })
    .await;
    site
}

/// The answer to a cancel was 410, as the store had not carried out the submission. Then it did, and the job ran.
#[rstest]
#[case::at_the_same_node(0)]
#[case::at_another_node(1)]
#[tokio::test(flavor = "multi_thread")]
async fn job_does_not_run_after_cancel_that_was_answered_gone(#[case] cancelled_at: usize) {
    let site = site_of_two().await;
    site.store.set_fault(StoreFault::LateChanges(LATE_MS));
    assert_eq!(site.submit(0, JOB, 1).await, 504);
    site.store.set_fault(StoreFault::None);
    assert_eq!(
        site.store.keys("q/j/").len(),
        0,
        "nothing is carried out yet"
    );
    site.wait("the cancel is answered", async |site| {
        cancel(site, cancelled_at, JOB, KEY).await == 410
    })
    .await;
    tokio::time::sleep(Duration::from_millis(LATE_MS + 1_000)).await;
    assert_eq!(site.store.keys("q/j/").len(), 0);
    assert_eq!(site.audit.counts(), (0, 0), "nothing has started");
    for at in 0..2 {
        assert_eq!(ask(&site, at, JOB, KEY).await, 410);
        assert_eq!(cancel(&site, at, JOB, KEY).await, 410);
    }
}

/// A submission that arrives after the cancel does not run. It was submitted, so it is shown as cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn submission_after_cancel_is_cancelled() {
    let site = site_of_two().await;
    assert_eq!(cancel(&site, 0, JOB, KEY).await, 410);
    assert_eq!(ask(&site, 1, JOB, KEY).await, 410, "nobody submitted it");
    for at in [1, 0, 1] {
        assert_eq!(site.submit(at, JOB, 1).await, 200);
        assert_eq!(site.state(0, JOB).await, "cancelled");
        assert_eq!(site.state(1, JOB).await, "cancelled");
        assert_eq!(cancel(&site, at, JOB, KEY).await, 200);
    }
    assert_eq!(site.submit(0, JOB + 1, 1).await, 200);
    site.wait("another job runs", async |site| site.audit.running() == 1)
        .await;
    assert_eq!(site.audit.counts().1, 1);
}

/// Both are under way at the same time, at two nodes. Whichever is first, a job that was cancelled does not go on.
#[tokio::test(flavor = "multi_thread")]
async fn job_is_over_after_submission_and_cancel_at_once() {
    let site = site_of_two().await;
    for id in 1..=10 {
        let (submitted, cancelled) = tokio::join!(site.submit(0, id, 1), cancel(&site, 1, id, KEY));
        assert_eq!(submitted, 200);
        assert!(matches!(cancelled, 200 | 410 | 503), "{cancelled}");
        site.wait("the cancel is answered", async |site| {
            cancelled != 503 || matches!(cancel(site, 1, id, KEY).await, 200 | 410)
        })
        .await;
        site.wait("cancelled", async |site| {
            site.state(0, id).await == "cancelled"
        })
        .await;
    }
    site.wait("nothing runs", async |site| site.audit.running() == 0)
        .await;
}

/// The answer to the write of the cancel is lost: the node reads what became of it. Or the store does not say whether it was
/// carried out: the caller repeats it.
#[rstest]
#[case::answer_lost(StoreFault::LosesAnswers, 410)]
#[case::not_carried_out(StoreFault::Unclear, 503)]
#[tokio::test(flavor = "multi_thread")]
async fn cancel_without_answer_is_repeated(#[case] fault: StoreFault, #[case] status: u16) {
    let site = Site::start(1, LONG_RUN).await;
    site.store.set_fault(fault);
    assert_eq!(cancel(&site, 0, JOB, KEY).await, status);
    site.store.set_fault(StoreFault::None);
    site.wait("the cancel is answered", async |site| {
        cancel(site, 0, JOB, KEY).await == 410
    })
    .await;
    assert_eq!(site.submit(0, JOB, 1).await, 200);
    assert_eq!(site.state(0, JOB).await, "cancelled");
}

/// A late write of a cancel must not reach a job that was accepted since.
#[tokio::test(flavor = "multi_thread")]
async fn late_cancel_has_no_effect_on_later_submission() {
    let site = Site::start(1, LONG_RUN).await;
    site.store.set_fault(StoreFault::LateChanges(LATE_MS));
    assert_eq!(cancel(&site, 0, JOB, KEY).await, 504);
    site.store.set_fault(StoreFault::None);
    assert_eq!(site.submit(0, JOB, 1).await, 200);
    tokio::time::sleep(Duration::from_millis(LATE_MS + 500)).await;
    assert_eq!(site.state(0, JOB).await, "running");
    assert_eq!(site.audit.running(), 1);
}

/// Records of cancels before the submission were kept for ever by a planner that does not know of the job.
#[tokio::test(flavor = "multi_thread")]
async fn successor_removes_old_cancels_of_unknown_jobs() {
    let mut site = Site::start_without_nodes(1, LONG_RUN).await;
    let record = |ended_unix_ms: u64| json!({"state": "cancelled", "queue": "queue", "organisation": "desk", "unsubmitted": true, "ended_unix_ms": ended_unix_ms});
    for (id, ended_unix_ms) in [(1, 1), (2, u64::MAX / 2)] {
        site.store
            .write(&format!("r/{id:016x}"), &record(ended_unix_ms).to_string());
        site.store.write(&format!("q/c/{id:016x}"), "");
    }
    site.add_node().await;
    site.wait("the old one is removed", async |site| {
        // Removals go with other writes.
        site.submit(0, 3, 1).await;
        site.store.keys("r/0000000000000001").is_empty()
    })
    .await;
    assert_eq!(site.store.keys("q/c/"), vec![format!("q/c/{:016x}", 2)]);
    assert_eq!(site.store.keys("r/0000000000000002").len(), 1);
    assert_eq!(ask(&site, 0, 2, KEY).await, 410);
}

/// Each cancel of an unknown job is stored for minutes, so a flood of them must not fill the store or use up its rate.
#[tokio::test(flavor = "multi_thread")]
async fn flood_of_cancels_of_unknown_jobs_is_refused() {
    let site = Site::start(1, LONG_RUN).await;
    let mut stored = 0;
    for id in 1..=30 {
        match cancel(&site, 0, id, KEY).await {
            410 => stored += 1,
            status => assert_eq!(status, 503),
        }
    }
    assert!((5..30).contains(&stored), "{stored}");
    assert_eq!(site.store.keys("r/").len(), stored);
    assert_eq!(site.submit(0, 100, 1).await, 200, "others are served");
    site.wait("it is accepted again", async |site| {
        cancel(site, 0, 30, KEY).await == 410
    })
    .await;
}

/// A call carries a key of the job's organisation. To others, the job does not exist.
#[tokio::test(flavor = "multi_thread")]
async fn job_of_another_organisation_is_neither_shown_nor_cancelled() {
    let site = Site::start(1, LONG_RUN).await;
    let two = [("desk", &[KEY][..]), ("plant", &["plant-key"][..])];
    site.store.write("op/config", &configuration_with(2, &two));
    assert_eq!(site.submit(0, JOB, 1).await, 200);
    site.wait("it runs", async |site| site.audit.running() == 1)
        .await;
    site.wait("the key is known", async |site| {
        ask(site, 0, JOB, "plant-key").await == 410
    })
    .await;
    assert_eq!(cancel(&site, 0, JOB, "plant-key").await, 410);
    assert_eq!(site.state(0, JOB).await, "running");
    assert_eq!(cancel(&site, 0, JOB, KEY).await, 200);
    site.wait("it is cancelled", async |site| {
        site.state(0, JOB).await == "cancelled"
    })
    .await;
    assert_eq!(ask(&site, 0, JOB, "plant-key").await, 410);
    // The id of a job that another organisation has cancelled is not accepted, and nothing runs.
    assert_eq!(cancel(&site, 0, JOB + 1, "plant-key").await, 410);
    assert_eq!(site.submit(0, JOB + 1, 1).await, 503);
    assert_eq!(ask(&site, 0, JOB + 1, KEY).await, 410);
}

/// The jobs API derives a job's id from its ticket, so a cancel can come before the submission there, too.
#[tokio::test(flavor = "multi_thread")]
async fn submission_to_jobs_api_after_cancel_is_cancelled() {
    let submission = json!({
        "class": "queue", "organisation": "desk", "run_ms_declared": 1_000, "input": "text",
        "ticket": "gyor.gyor-1.1796368571600.7",
        "gang": {"members": 1, "accelerators_per_member": 1, "adjacency": "rack"},
    });
    let call = async |site: &Site, method: Method, path: &str| {
        let url = format!("http://{}{path}", site.nodes[0].own);
        let body = match method {
            Method::POST => submission.to_string(),
            _ => String::new(),
        };
        let request = site.client.request(method, url);
        let request = request.header("authorization", format!("Bearer {KEY}"));
        let answer = request.body(body).send().await.unwrap();
        let status = answer.status().as_u16();
        (status, answer.json::<Value>().await.unwrap())
    };
    let other_site = Site::start(0, LONG_RUN).await;
    let (_, accepted) = call(&other_site, Method::POST, "/v1/jobs").await;
    let path = format!("/v1/jobs/{}", accepted["job"].as_str().unwrap());

    let site = Site::start(1, LONG_RUN).await;
    assert_eq!(call(&site, Method::DELETE, &path).await.0, 410);
    assert_eq!(call(&site, Method::GET, &path).await.0, 410);
    assert_eq!(call(&site, Method::POST, "/v1/jobs").await.0, 202);
    let (status, shown) = call(&site, Method::GET, &path).await;
    assert_eq!((status, &shown["state"]), (200, &json!("cancelled")));
    assert_eq!(site.audit.counts(), (0, 0));
}
