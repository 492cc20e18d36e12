//! Bad input at the callers' interface.
//!
//! Guards against input that is answered with a wrong status or reason, and against refused input
//! that still causes work.

mod support;

use rstest::rstest;
use serde_json::json;
use support::{CALLER, OPERATOR, OTHER, TestSite, outcome_of};

#[tokio::test(flavor = "multi_thread")]
async fn post_request_bad_input() {
    let site = TestSite::start(1).await;
    let cases = [
        (
            "unknown class",
            site.request(0, "nope"),
            422,
            "unknown_class",
        ),
        (
            "malformed class",
            site.request(0, "No Class"),
            400,
            "malformed",
        ),
        (
            "no class",
            site.post(0, "/v1/requests", CALLER),
            400,
            "malformed",
        ),
        (
            "wrong token",
            site.post(0, "/v1/requests", "x"),
            401,
            "unauthorised",
        ),
        (
            "operator",
            site.post(0, "/v1/requests", OPERATOR),
            403,
            "forbidden",
        ),
        (
            "past deadline",
            site.request(0, "leak-report")
                .header("Hemlock-Deadline-Ms", "-5"),
            422,
            "deadline_passed",
        ),
        (
            "malformed deadline",
            site.request(0, "leak-report")
                .header("Hemlock-Deadline-Ms", "soon"),
            400,
            "malformed",
        ),
        (
            "malformed ticket",
            site.request(0, "leak-report")
                .header("Hemlock-Ticket", "gyor.gyor-1"),
            400,
            "malformed",
        ),
        (
            "oversized body",
            site.request(0, "leak-report").body(vec![b'x'; 1_000_001]),
            413,
            "too_large",
        ),
    ];
    for (case, request, status, reason) in cases {
        let outcome = outcome_of(request.send().await.unwrap()).await;
        assert_eq!(
            outcome,
            (status, "refused".to_owned(), reason.to_owned()),
            "{case}"
        );
    }
    assert!(site.report("/v1/runs").await.is_empty());
}

#[rstest]
#[case::too_many_members(json!({"gang": {"members": 129, "accelerators_per_member": 1, "adjacency": "rack"}}), 400, "malformed")]
#[case::unknown_organisation(json!({"organisation": "nobody"}), 403, "forbidden")]
#[case::unknown_class(json!({"class": "nope"}), 422, "unknown_class")]
#[case::unknown_field(json!({"colour": "blue"}), 400, "malformed")]
#[case::no_run_time(json!({"run_ms_declared": 0}), 400, "malformed")]
#[tokio::test(flavor = "multi_thread")]
async fn post_job_bad_input(
    #[case] change: serde_json::Value,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let site = TestSite::start(1).await;
    site.wait_for(async |site| site.leader(0).await.is_some())
        .await;
    let mut job = json!({
        "class": "rota-rebuild",
        "organisation": "planning",
        "gang": { "members": 1, "accelerators_per_member": 1, "adjacency": "worker" },
        "run_ms_declared": 1_000,
    });
    for (field, value) in change.as_object().unwrap() {
        job[field] = value.clone();
    }
    let reply = site
        .post(0, "/v1/jobs", OTHER)
        .json(&job)
        .send()
        .await
        .unwrap();
    let outcome = outcome_of(reply).await;
    assert_eq!(outcome, (status, "refused".to_owned(), reason.to_owned()));
    let jobs = site.console(0, "show jobs").await;
    assert_eq!(jobs["rows"], json!([]));
}

#[tokio::test(flavor = "multi_thread")]
async fn console_findings_and_scope() {
    let site = TestSite::start(1).await;
    let misspelt = site.console(0, "show jbs").await;
    assert_eq!(misspelt["findings"][0]["place"]["column"], 6);
    let own = site
        .post(0, "/v1/console", CALLER)
        .json(&json!({ "query": "show nodes" }));
    let outcome = outcome_of(own.send().await.unwrap()).await;
    assert_eq!(outcome, (403, "refused".to_owned(), "forbidden".to_owned()));
}

/// Until the workers are known, a job that is too wide for a rack is accepted; it then fails
/// without running.
#[tokio::test(flavor = "multi_thread")]
async fn post_job_wider_than_a_rack() {
    let site = TestSite::start(1).await;
    site.wait_for(async |site| site.leader(0).await.is_some())
        .await;
    let job = json!({
        "class": "rota-rebuild",
        "organisation": "planning",
        "gang": { "members": 9, "accelerators_per_member": 8, "adjacency": "rack" },
        "run_ms_declared": 1_000,
    });
    let accepted = std::sync::Mutex::new(Vec::new());
    site.wait_for(async |site| {
        let reply = site.post(0, "/v1/jobs", OTHER).json(&job).send().await;
        let reply = reply.unwrap();
        if reply.status() == 202 {
            let body: serde_json::Value = reply.json().await.unwrap();
            let id = body["job"].as_str().unwrap().to_owned();
            accepted.lock().unwrap().push(id);
            return false;
        }
        let outcome = outcome_of(reply).await;
        outcome == (422, "refused".to_owned(), "impossible_shape".to_owned())
    })
    .await;
    for job in accepted.into_inner().unwrap() {
        site.wait_for(async |site| site.state(0, &job).await == "failed")
            .await;
    }
    assert!(site.report("/v1/gangs").await.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn post_request_bodies_too_long_together() {
    let site = TestSite::start(1).await;
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..60 {
        let request = site.request(0, "rota-rebuild");
        let body = json!({ "run_ms": 600_000, "padding": "x".repeat(999_000) });
        calls.spawn(request.body(body.to_string()).send());
    }
    // The limit of 48 MiB holds 50 of the 60 bodies. Accepted requests run for 600 s and keep their
    // bodies in memory, so none is answered before 10 calls are refused.
    for _ in 0..10 {
        let reply = calls.join_next().await.unwrap().unwrap().unwrap();
        let outcome = outcome_of(reply).await;
        assert_eq!(
            outcome,
            (503, "refused".to_owned(), "queue_full".to_owned())
        );
    }
}
