//! Checks changes of the declarations: an accepted change reaches every node and is never reverted,
//! and the reply to a change is true even if the store fails.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use strum::Display;

use super::client::{SiteClient, await_some};
use super::report::Report;
use super::site::{CheckError, NodeDescription};

/// Maximum time until a change is active at every node, in milliseconds.
const PROPAGATION_MS_MAX: u64 = 4_000;

/// Fields of the declarations that are maps in the reply and lists in files.
const ITEM_FIELDS: [&str; 3] = ["organisations", "classes", "data_centres"];

/// Time for which the store's replies are lost, in milliseconds.
const LOST_ANSWERS_MS: u64 = 1_500;

/// Quota of the first change, in accelerators.
const QUOTA_FIRST: u64 = 100;

/// Quota of the last change that was accepted, in accelerators.
const QUOTA_LAST: u64 = 104;

/// Quota of the change that is requested during a store outage, in accelerators.
const QUOTA_IN_OUTAGE: u64 = 108;

/// Identifier of the change whose reply is lost.
const LOST_CHANGE_ID: &str = "4242";

/// Builds the text of one file from the active declarations, with a different quota of the first
/// organisation.
fn changed_file(declared: &Value, accelerators: u64) -> String {
    let declarations = &declared["declarations"];
    let mut file = json!({});
    for field in ITEM_FIELDS {
        let items = declarations[field].as_object();
        let items: Vec<Value> = items
            .map(|map| map.values().cloned().collect())
            .unwrap_or_default();
        file[field] = items.into();
    }
    for field in ["operator_token_digests", "limits"] {
        file[field] = declarations[field].clone();
    }
    if let Some(quota) = file["organisations"][0]["quota"].as_object_mut() {
        quota.insert("accelerators".to_owned(), accelerators.into());
    }
    file.to_string()
}

/// Builds a request that changes one quota.
async fn make_change(
    client: &SiteClient,
    node: &NodeDescription,
    accelerators: u64,
) -> Result<Value, CheckError> {
    let declared = client.declarations(node).await?;
    Ok(json!({
        "files": [{ "name": "check.jsonc", "text": changed_file(&declared, accelerators) }],
        "author": "check",
        "why": "check of the declarations",
    }))
}

/// Returns the first node of the site.
fn first_node(client: &SiteClient) -> Result<&NodeDescription, CheckError> {
    client.site.nodes.first().ok_or(CheckError::Missing("node"))
}

/// Makes a change, and one while the store's replies are lost; measures until every node has them.
pub(super) async fn check_change(client: &Arc<SiteClient>, report: &mut Report) {
    let promise = "an accepted change is in force at every node";
    let plain = propagate_change(client, QUOTA_FIRST, false).await;
    let lost = match plain {
        Ok(_) => propagate_change(client, QUOTA_LAST, true).await,
        Err(_) => Ok(0),
    };
    match (plain, lost) {
        (Ok(plain_ms), Ok(lost_ms)) => {
            let nodes = client.site.nodes.len();
            report.add(
                promise,
                2 * nodes,
                format!("after {plain_ms} ms; {lost_ms} ms when the store's answers were lost"),
                plain_ms.max(lost_ms) <= u128::from(PROPAGATION_MS_MAX),
            );
        }
        (Err(e), _) | (_, Err(e)) => report.add(promise, 1, e.to_string(), false),
    }
}

/// Makes a change and waits until every node has it; returns the time since it was accepted, in
/// milliseconds.
async fn propagate_change(
    client: &SiteClient,
    accelerators: u64,
    lose_replies: bool,
) -> Result<u128, CheckError> {
    let node = first_node(client)?;
    let mut change = make_change(client, node, accelerators).await?;
    let accepted = if lose_replies {
        change["id"] = LOST_CHANGE_ID.into();
        declare_without_replies(client, node, change).await?
    } else {
        client.declare(node, &change).await?
    };
    let start = Instant::now();
    let revision = accepted["revision"].as_u64().unwrap_or(u64::MAX);
    for node in &client.site.nodes {
        await_some(
            "the change at every node",
            3 * PROPAGATION_MS_MAX,
            async || {
                let declared = client.declarations(node).await.ok()?;
                let is_active = declared["revision"].as_u64()? >= revision
                    && quota_of(&declared) == accelerators;
                is_active.then_some(())
            },
        )
        .await?;
    }
    Ok(start.elapsed().as_millis())
}

/// Makes a change while the store's replies are lost for a while, and repeats it if its outcome is
/// unknown.
async fn declare_without_replies(
    client: &SiteClient,
    node: &NodeDescription,
    mut change: Value,
) -> Result<Value, CheckError> {
    client
        .switch("store_lost_answers", "platform", true)
        .await?;
    let outage = async {
        tokio::time::sleep(Duration::from_millis(LOST_ANSWERS_MS)).await;
        client.switch("store_lost_answers", "platform", false).await
    };
    let (first, restored) = tokio::join!(client.declare(node, &change), outage);
    restored?;
    if let Ok(accepted) = first {
        return Ok(accepted);
    }
    change["repeated"] = true.into();
    client.declare(node, &change).await
}

/// Returns the quota that the changes of the check set.
fn quota_of(declared: &Value) -> u64 {
    let organisations = declared["declarations"]["organisations"].as_object();
    let first = organisations.and_then(|map| map.values().next());
    let quota = first.and_then(|organisation| organisation["quota"]["accelerators"].as_u64());
    quota.unwrap_or(0)
}

/// Requests a change while the store is down; returns the outcome that the operator received.
pub(super) async fn change_in_outage(client: &SiteClient) -> Result<OutageChange, CheckError> {
    let node = first_node(client)?;
    let change = make_change(client, node, QUOTA_IN_OUTAGE).await?;
    Ok(match client.declare(node, &change).await {
        Ok(_) => OutageChange::Accepted,
        Err(CheckError::Refused { status: 503, .. }) => OutageChange::Refused,
        Err(_) => OutageChange::Unknown,
    })
}

/// Outcome that an operator received for a change during a store outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum OutageChange {
    /// The change was accepted, although the store could not record it.
    Accepted,
    /// The change was refused.
    Refused,
    /// The outcome of the change is unknown.
    Unknown,
}

/// Reports whether any node returned a lower revision than before, and whether the last change is
/// still active.
pub(super) async fn report_never_reverted(
    client: &SiteClient,
    in_outage: Option<OutageChange>,
    report: &mut Report,
) {
    let mut quotas = Vec::new();
    for node in &client.site.nodes {
        if client.readiness(node).await.is_none() {
            continue;
        }
        let declared = client.declarations(node).await.unwrap_or_default();
        quotas.push(quota_of(&declared));
    }
    let is_expected = |quota: u64| {
        quota == QUOTA_LAST
            || (quota == QUOTA_IN_OUTAGE && in_outage != Some(OutageChange::Refused))
    };
    let first = quotas.first().copied().unwrap_or(0);
    let is_same = quotas.iter().all(|&quota| quota == first);
    let revisions = client
        .revisions
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    report.add(
        "an accepted change never reverts",
        revisions.reads,
        format!(
            "{} of {} reads returned an older revision; at the end the nodes have {quotas:?}, expected {QUOTA_LAST}",
            revisions.reverted, revisions.reads
        ),
        revisions.reverted == 0 && is_same && is_expected(first),
    );
}
