//! Changes of the declarations through the operators' HTTP interface.
//!
//! Guards against a plan that doesn't name the jobs that a removed guarantee affects, and against a
//! reply that lists only the first fault of a file.

mod support;

use serde_json::{Value, json};
use support::{CALLER, OPERATOR, TestSite};

/// Sends a set of declarations; returns the reply.
async fn put(site: &TestSite, text: &str, plan: bool) -> Value {
    let address = site.node(0).http_address();
    let files = json!([{ "name": "declarations.jsonc", "text": text }]);
    let body = json!({ "files": files, "plan": plan });
    let call = site.client.put(format!("http://{address}/v1/declarations"));
    let reply = call.bearer_auth(OPERATOR).json(&body).send().await.unwrap();
    reply.json().await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn plan_names_guarantee_in_use() {
    let site = TestSite::start(1).await;
    site.wait_for(async |site| site.leader(0).await.is_some())
        .await;
    let job = json!({
        "class": "rota-rebuild",
        "organisation": "county-desks",
        "gang": { "members": 8, "accelerators_per_member": 8, "adjacency": "rack" },
        "run_ms_declared": 600_000,
    });
    let submitted = site.post(0, "/v1/jobs", CALLER).json(&job).send().await;
    let reply: Value = submitted.unwrap().json().await.unwrap();
    let job = reply["job"].as_str().unwrap().to_owned();
    let query = "show guarantees where in_use > 0";
    site.wait_for(async |site| {
        let reply = site.console(0, query).await;
        reply["rows"].as_array().is_some_and(|rows| rows.len() == 1)
    })
    .await;
    let text = include_str!("../../../examples/kovacsne/declarations.jsonc");
    let rack = r#"{ "data_centre": "gyor", "level": "rack", "count": 1 },"#;
    assert!(text.contains(rack));
    let planned = put(&site, &text.replace(rack, ""), true).await;
    assert_eq!(planned["applied"], false, "{planned}");
    let stops = planned["stops"].as_array().unwrap();
    assert_eq!(stops.len(), 1, "{planned}");
    assert!(stops[0].as_str().unwrap().contains(&job), "{planned}");
}

#[tokio::test(flavor = "multi_thread")]
async fn put_reports_all_findings() {
    let site = TestSite::start(1).await;
    let text = "{\n  \"classes\": [{ \"name\": \"No\" }],\n  \"colour\": 1\n}";
    let reply = put(&site, text, false).await;
    let findings = reply["findings"].as_array().unwrap();
    assert!(findings.len() >= 2, "{reply}");
    let lines: Vec<_> = findings
        .iter()
        .map(|f| f["place"]["line"].clone())
        .collect();
    assert!(
        lines.contains(&json!(2)) && lines.contains(&json!(3)),
        "{reply}"
    );
}
