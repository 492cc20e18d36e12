//! The product's own jobs API: submissions become jobs of the platform's queues, and refusals and outages are reported
//! as such.

mod support;

use std::time::Duration;

use platform_standin::{StoreFault, configuration_with};
use reqwest::{Method, Response};
use rstest::rstest;
use serde_json::{Value, json};
use support::{KEY, Site};

const LONG_RUN: Duration = Duration::from_secs(3_600);

async fn call(site: &Site, method: Method, path: &str, token: &str, body: Value) -> Response {
    let url = format!("http://{}{path}", site.nodes[0].own);
    site.client
        .request(method, url)
        .header("authorization", format!("Bearer {token}"))
        .body(body.to_string())
        .send()
        .await
        .unwrap()
}

fn gang_submission(members: u32, adjacency: &str) -> Value {
    json!({
        "class": "queue", "organisation": "desk", "run_ms_declared": 1_000, "input": "text",
        "gang": {"members": members, "accelerators_per_member": 1, "adjacency": adjacency},
    })
}

async fn submit(site: &Site, body: Value) -> (u16, Value) {
    let answer = call(site, Method::POST, "/v1/jobs", KEY, body).await;
    (answer.status().as_u16(), answer.json().await.unwrap())
}

#[rstest]
#[case::rack("rack", 3)]
#[case::data_centre("data_centre", 3)]
#[case::one_worker("worker", 1)]
#[tokio::test(flavor = "multi_thread")]
async fn job_becomes_job_of_one_step(#[case] adjacency: &str, #[case] tasks: u32) {
    let site = Site::start(1, LONG_RUN).await;
    let (status, accepted) = submit(&site, gang_submission(3, adjacency)).await;
    assert_eq!((status, &accepted["durable"]), (202, &json!(true)));
    site.wait("the tasks run", async |site| site.audit.running() == tasks)
        .await;
    let path = format!("/v1/jobs/{}", accepted["job"].as_str().unwrap());
    site.wait("the job is shown as running", async |site| {
        let answer_body: Value = call(site, Method::GET, &path, KEY, Value::Null)
            .await
            .json()
            .await
            .unwrap();
        answer_body["state"] == "running"
            && answer_body["members"].as_array().unwrap().len() == tasks as usize
    })
    .await;
    let cancelled = call(&site, Method::DELETE, &path, KEY, Value::Null).await;
    assert_eq!(cancelled.status(), 200);
    site.wait("the tasks stop", async |site| site.audit.running() == 0)
        .await;
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn same_ticket_is_same_job() {
    let site = Site::start(1, LONG_RUN).await;
    let mut body = gang_submission(2, "rack");
    body["ticket"] = json!("gyor.gyor-1.1796368571600.7");
    let (first, second) = (submit(&site, body.clone()).await, submit(&site, body).await);
    assert_eq!(first, second);
    site.wait("the tasks run", async |site| site.audit.running() == 2)
        .await;
}

#[rstest]
#[case::not_json(json!("text"), KEY, 400)]
#[case::unknown_class(json!({"class": "other"}), KEY, 404)]
#[case::other_organisation(json!({"organisation": "plant"}), KEY, 401)]
#[case::unknown_token(json!({}), "nobody", 401)]
#[tokio::test(flavor = "multi_thread")]
async fn submission_is_refused(#[case] change: Value, #[case] token: &str, #[case] expected: u16) {
    let site = Site::start(1, LONG_RUN).await;
    let mut body = gang_submission(1, "rack");
    match change.as_object() {
        Some(fields) => body.as_object_mut().unwrap().extend(fields.clone()),
        None => body = change,
    }
    let answer = call(&site, Method::POST, "/v1/jobs", token, body).await;
    assert_eq!(answer.status(), expected);
    let answer_body: Value = answer.json().await.unwrap();
    assert_eq!(answer_body["outcome"], "refused");
    assert!(site.store.keys("q/").is_empty(), "refused means not stored");
}

#[tokio::test(flavor = "multi_thread")]
async fn job_of_another_organisation_is_not_shown() {
    let site = Site::start(1, LONG_RUN).await;
    let (_, accepted) = submit(&site, gang_submission(1, "rack")).await;
    let two = [("desk", &[KEY][..]), ("plant", &["plant-key"][..])];
    site.store.write("op/config", &configuration_with(2, &two));
    let path = format!("/v1/jobs/{}", accepted["job"].as_str().unwrap());
    site.wait("the key is known", async |site| {
        call(site, Method::GET, &path, "plant-key", Value::Null)
            .await
            .status()
            == 410
    })
    .await;
    let shown = call(&site, Method::GET, &path, KEY, Value::Null).await;
    assert_eq!(shown.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_is_answered_with_refusal() {
    let site = Site::start(1, LONG_RUN).await;
    site.store.set_fault(StoreFault::Busy);
    let (status, answer_body) = submit(&site, gang_submission(1, "rack")).await;
    assert_eq!((status, &answer_body["outcome"]), (503, &json!("refused")));
    site.store.set_fault(StoreFault::None);
    assert!(site.store.keys("q/").is_empty());
}
