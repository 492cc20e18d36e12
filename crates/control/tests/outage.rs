//! Callers' calls in an outage of the store: the decisions by themselves, then nodes at a store that is away.
//!
//! Guards against callers that are told that the outcome of their submission is unknown (504) although nothing was sent
//! that could take effect, and against a refusal as "not run" after a write that does.

mod support;

use std::time::Duration;

use control::outage::{
    Attempt, DOUBT_LASTS_MS, DoubtStep, Doubts, FirstStep, MAX_DOUBTS, choose_doubt_step,
    choose_first_step,
};
use platform_standin::StoreFault;
use rstest::rstest;
use scheduler::JobId;
use support::{KEY, Site};

const LONG_RUN: Duration = Duration::from_secs(3_600);

/// Longer than a watch of the configuration waits, so that each node has seen that the store is away.
const SEEN_BY_ALL: Duration = Duration::from_millis(1_300);

#[rstest]
#[case::store_answers(true, false, FirstStep::Write)]
#[case::store_is_away(false, false, FirstStep::ReadFirst)]
#[case::away_for_a_peer(true, true, FirstStep::ReadFirst)]
#[case::away_for_both(false, true, FirstStep::ReadFirst)]
fn choose_first_step_reads_only_in_outage(
    #[case] store_answers: bool,
    #[case] passed_on: bool,
    #[case] step: FirstStep,
) {
    assert_eq!(choose_first_step(store_answers, passed_on), step);
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

/// The store does not say that it did nothing, so each write would be in doubt.
#[tokio::test(flavor = "multi_thread")]
async fn submission_is_refused_as_not_sent_while_store_is_away() {
    let site = site_of_two().await;
    site.store.set_fault(StoreFault::Unclear);
    tokio::time::sleep(SEEN_BY_ALL).await;
    for (at, id) in [(0, 1), (1, 2), (0, 3)] {
        assert_eq!(site.submit(at, id, 1).await, 503);
    }
    site.store.set_fault(StoreFault::None);
    assert!(
        site.store.keys("q/j/").is_empty(),
        "refused means not stored"
    );
    site.wait("jobs are accepted again", async |site| {
        site.submit(0, 1, 1).await == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn submission_is_not_read_first_while_store_answers() {
    let site = Site::start(1, LONG_RUN).await;
    for id in 1..=5 {
        assert_eq!(site.submit(0, id, 1).await, 200);
    }
    assert_eq!(site.read_metric(0, "read_before_write_total").await, 0);
    assert_eq!(site.read_metric(0, "jobs_accepted_total").await, 5);
    let body = String::new();
    let path = format!("/q/{:016x}", 1);
    let answer = site.call(0, "GET", &path, KEY, body).await.unwrap();
    assert_eq!(answer.status(), 200);
}

#[rstest]
#[case::accepted(Attempt::TookEffect, 0, false, DoubtStep::Answer)]
#[case::accepted_late(Attempt::TookEffect, 5_000, false, DoubtStep::Answer)]
#[case::accepted_while_stopping(Attempt::TookEffect, 0, true, DoubtStep::Answer)]
#[case::still_in_doubt(Attempt::NoAnswer, 0, false, DoubtStep::Repeat { pause_ms: 100 })]
#[case::too_late_for_another(Attempt::NoAnswer, 2_700, false, DoubtStep::AnswerUnknown)]
#[case::past_deadline(Attempt::NoAnswer, 5_000, false, DoubtStep::AnswerUnknown)]
#[case::stopping(Attempt::NoAnswer, 0, true, DoubtStep::AnswerUnknown)]
#[case::key_taken_away(Attempt::NotPermitted, 0, false, DoubtStep::AnswerUnknown)]
fn choose_doubt_step_never_refuses(
    #[case] attempt: Attempt,
    #[case] now_ms: u64,
    #[case] stopping: bool,
    #[case] step: DoubtStep,
) {
    assert_eq!(choose_doubt_step(attempt, now_ms, 2_750, stopping), step);
}

/// The first write of a node is in doubt. The store is back within the caller's deadline.
#[rstest]
#[case::not_carried_out(StoreFault::Unclear)]
#[case::carried_out(StoreFault::LosesAnswers)]
#[case::carried_out_late(StoreFault::LateChanges(600))]
#[tokio::test(flavor = "multi_thread")]
async fn submission_in_doubt_is_accepted_once_store_is_back(#[case] fault: StoreFault) {
    let site = Site::start(1, LONG_RUN).await;
    site.store.set_fault(fault);
    let (status, ()) = tokio::join!(site.submit(0, 1, 1), async {
        tokio::time::sleep(SEEN_BY_ALL).await;
        site.store.set_fault(StoreFault::None);
    });
    assert_eq!(status, 200);
    assert_eq!(site.read_metric(0, "doubt_settled_total").await, 1);
    site.wait("the task runs", async |site| site.audit.running() == 1)
        .await;
    assert_eq!(
        (site.audit.violations(), site.audit.counts()),
        (vec![], (0, 1))
    );
}

/// The store stays away, and carries the write out after the caller's deadline.
#[tokio::test(flavor = "multi_thread")]
async fn submission_in_doubt_is_never_refused() {
    let site = Site::start(1, LONG_RUN).await;
    site.store.set_fault(StoreFault::LateChanges(3_500));
    let (status, ()) = tokio::join!(site.submit(0, 1, 1), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.store.set_fault(StoreFault::Busy);
    });
    assert_eq!(status, 504, "the write may still take effect");
    assert_eq!(site.submit(0, 1, 1).await, 504, "so it may later");
    assert_eq!(site.submit(0, 2, 1).await, 503, "this one was not sent");
    assert_eq!(site.read_metric(0, "refusals_withheld_total").await, 1);
    site.store.set_fault(StoreFault::None);
    site.wait("the job runs after all", async |site| {
        site.audit.running() == 1
    })
    .await;
    assert_eq!(site.submit(0, 1, 1).await, 200, "it remains one job");
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}

/// Submits a job and returns the status and the `retry-after` of the answer; none without one.
async fn submit_refused(site: &Site, id: u64) -> (u16, Option<String>) {
    let step = serde_json::json!({"count": 1, "cpu": 1_000, "mem_mb": 100, "gpu": 1});
    let call = site
        .client
        .post(format!("http://{}/q/{id:016x}", site.nodes[0].address))
        .header("host", "desk.example")
        .header("hemlockloft-credential", KEY)
        .header("hemlockloft-deadline-ms", "3000")
        .body(serde_json::json!({"spec": "text", "steps": [step]}).to_string());
    let answer = call.send().await.unwrap();
    let retry_after = answer.headers().get("retry-after");
    let retry_after = retry_after.map(|value| value.to_str().unwrap().to_string());
    (answer.status().as_u16(), retry_after)
}

/// More callers are refused than the store can accept in a second after its return. All of them are refused within one
/// second or two, so the earliest places may be those of the next second.
#[tokio::test(flavor = "multi_thread")]
async fn refused_callers_return_one_after_the_other() {
    let mut site = Site::start_without_nodes(0, LONG_RUN).await;
    site.writes_per_s = 4;
    site.add_node().await;
    site.store.set_fault(StoreFault::Busy);
    let mut seconds = Vec::new();
    for id in 0..6 {
        let (status, retry_after) = submit_refused(&site, id).await;
        assert_eq!(status, 503);
        seconds.push(retry_after.unwrap());
    }
    assert!(seconds.contains(&"1".to_string()) && seconds.contains(&"2".to_string()));
    assert!(
        seconds
            .iter()
            .all(|s| ["1", "2", "3"].contains(&s.as_str()))
    );
    let spread = site.read_metric(0, "returns_spread_total").await;
    assert!(spread >= 2, "{seconds:?}");
    site.store.set_fault(StoreFault::None);
    site.wait("jobs are accepted again", async |site| {
        submit_refused(site, 7).await == (200, None)
    })
    .await;
    assert_eq!(site.read_metric(0, "returns_spread_total").await, spread);
}

#[rstest]
#[case::known(1, 0, true)]
#[case::known_until_it_ends(1, DOUBT_LASTS_MS - 1, true)]
#[case::over(1, DOUBT_LASTS_MS, false)]
#[case::other_job(2, 0, false)]
#[case::forgotten(3, 0, false)]
fn doubts_contains_what_may_still_take_effect(
    #[case] job: u64,
    #[case] after_ms: u64,
    #[case] contains: bool,
) {
    let mut doubts = Doubts::default();
    doubts.remember(JobId::from(1), 0);
    doubts.remember(JobId::from(3), 500);
    doubts.remember(JobId::from(1), 1_000);
    doubts.forget(JobId::from(3));
    assert_eq!(
        doubts.contains(JobId::from(job), 1_000 + after_ms),
        contains
    );
}

#[test]
fn doubts_remember_the_latest_within_bound() {
    let mut doubts = Doubts::default();
    for job in 0..=MAX_DOUBTS as u64 {
        doubts.remember(JobId::from(job), job);
    }
    let now_ms = MAX_DOUBTS as u64;
    assert!(!doubts.contains(JobId::from(0), now_ms));
    assert!(doubts.contains(JobId::from(1), now_ms));
    assert!(doubts.contains(JobId::from(now_ms), now_ms));
}
