//! Measures the time from the acceptance of a change of the declarations until it is in force at
//! all nodes.
//!
//! Reads the description that `hemlockd dev` prints from standard input, makes 500 changes through
//! all nodes in turn, and polls every node until it has each change. One node is killed and
//! restarted during the measurement; changes made while it is down are awaited at the other nodes
//! only.

use std::error::Error;
use std::io::{self, BufRead};
use std::time::{Duration, Instant};

use reqwest::Client;
use serde_json::{Value, json};

/// Number of changes to make.
const CHANGES: usize = 500;

/// Index of the change before which the node is killed.
const KILL_AT: usize = 150;

/// Index of the change before which the node is restarted.
const RESTART_AT: usize = 250;

/// Interval between polls of a node.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Timeout after which waiting for a change at a node ends; it is recorded as the waiting time.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

type AnyResult<T> = Result<T, Box<dyn Error>>;

struct Site {
    client: Client,
    nodes: Vec<String>,
    names: Vec<String>,
    platform: String,
    token: String,
}

fn to_text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

impl Site {
    fn parse(line: &str) -> AnyResult<Self> {
        let site: Value = serde_json::from_str(line)?;
        let nodes = site["nodes"].as_array().cloned().unwrap_or_default();
        Ok(Self {
            client: Client::new(),
            nodes: nodes.iter().map(|node| to_text(&node["http"])).collect(),
            names: nodes.iter().map(|node| to_text(&node["name"])).collect(),
            platform: to_text(&site["platform"]),
            token: to_text(&site["tokens"]["operator"]),
        })
    }

    async fn fetch_declarations(&self, node: usize) -> AnyResult<Value> {
        let url = format!("http://{}/v1/declarations", self.nodes[node]);
        let request = self.client.get(url).bearer_auth(&self.token);
        Ok(request.send().await?.error_for_status()?.json().await?)
    }

    async fn apply(&self, node: usize, body: &Value) -> AnyResult<u64> {
        let url = format!("http://{}/v1/declarations", self.nodes[node]);
        let request = self.client.put(url).bearer_auth(&self.token).json(body);
        let reply: Value = request.send().await?.error_for_status()?.json().await?;
        reply["revision"]
            .as_u64()
            .ok_or_else(|| "no revision".into())
    }

    async fn set_killed(&self, node: usize, on: bool) -> AnyResult<()> {
        let url = format!("http://{}/v1/faults", self.platform);
        let fault = json!({"fault": "node_kill", "target": self.names[node], "on": on});
        let reply = self.client.post(url).json(&fault).send().await?;
        reply.error_for_status()?;
        Ok(())
    }

    /// Waits until `node` has `revision`; returns the time since `since`, or the timeout.
    async fn wait_in_force(&self, node: usize, revision: u64, since: Instant) -> Duration {
        while since.elapsed() < IN_FORCE_TIMEOUT {
            if let Ok(declared) = self.fetch_declarations(node).await
                && declared["revision"].as_u64() >= Some(revision)
            {
                return since.elapsed();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        IN_FORCE_TIMEOUT
    }
}

/// Builds one declaration file with the content of `set` and a changed quota of the first
/// organisation.
fn build_changed_files(set: &Value, change: usize) -> Value {
    let list = |name: &str| -> Vec<Value> {
        let items = set[name].as_object();
        items.map_or(Vec::new(), |items| items.values().cloned().collect())
    };
    let mut organisations = list("organisations");
    if let Some(first) = organisations.first_mut() {
        first["quota"]["requests_in_flight"] = json!(1_000 + change);
    }
    let file = json!({
        "organisations": organisations,
        "classes": list("classes"),
        "data_centres": list("data_centres"),
        "operator_token_digests": set["operator_token_digests"],
        "limits": set["limits"],
    });
    json!([{"name": "in-force.jsonc", "text": file.to_string()}])
}

#[tokio::main]
async fn main() -> AnyResult<()> {
    let mut line = String::new();
    io::stdin().lock().read_line(&mut line)?;
    let site = Site::parse(&line)?;
    let set = site.fetch_declarations(0).await?["declarations"].clone();
    let killed_node = site.nodes.len() / 2;
    let mut in_force_ms = Vec::new();
    let mut accept_ms = Vec::new();
    let mut not_accepted = 0;
    for change in 0..CHANGES {
        if change == KILL_AT || change == RESTART_AT {
            site.set_killed(killed_node, change == KILL_AT).await?;
        }
        let is_down = (KILL_AT..RESTART_AT).contains(&change);
        let mut entry_node = change % site.nodes.len();
        if entry_node == killed_node && is_down {
            entry_node = 0;
        }
        let body = json!({"files": build_changed_files(&set, change), "author": "in_force"});
        let asked_at = Instant::now();
        let revision = match site.apply(entry_node, &body).await {
            Ok(revision) => revision,
            Err(_) => {
                not_accepted += 1;
                continue;
            }
        };
        let accepted_at = Instant::now();
        accept_ms.push((accepted_at - asked_at).as_secs_f64() * 1e3);
        let awaited_nodes = (0..site.nodes.len()).filter(|node| !(is_down && *node == killed_node));
        let waits = awaited_nodes.map(|node| site.wait_in_force(node, revision, accepted_at));
        let slowest = wait_for_longest(waits).await;
        in_force_ms.push(slowest.as_secs_f64() * 1e3);
    }
    print_quantiles("accept_ms", &mut accept_ms);
    print_quantiles("in_force_ms", &mut in_force_ms);
    println!("not accepted: {not_accepted}");
    Ok(())
}

/// Runs all waits concurrently and returns the longest.
async fn wait_for_longest(waits: impl Iterator<Item = impl Future<Output = Duration>>) -> Duration {
    let waits: Vec<_> = waits.map(Box::pin).collect();
    futures::future::join_all(waits)
        .await
        .into_iter()
        .max()
        .unwrap_or_default()
}

/// Prints the count, median, 99th percentile and maximum of `values`.
fn print_quantiles(name: &str, values: &mut [f64]) {
    values.sort_by(f64::total_cmp);
    let value_at = |share: f64| {
        let index = (values.len() as f64 * share) as usize;
        values.get(index.min(values.len().saturating_sub(1)))
    };
    let [p50, p99, max] =
        [0.5, 0.99, 1.0].map(|share| value_at(share).copied().unwrap_or(f64::NAN));
    println!(
        "{name}: n {} p50 {p50:.1} p99 {p99:.1} max {max:.1}",
        values.len()
    );
}
