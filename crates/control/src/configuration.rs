//! Reads the declared configuration from the store, watches it for changes, and updates the node's configuration cache.

use std::sync::Arc;
use std::time::Duration;

use adapter::{CONFIGURATION_KEY, Event, WatchOutcome, decode_configuration, list_unused_values};
use serde_json::Value;

use crate::clock::now_ms;
use crate::node::Node;

/// How long one watch waits. Each watch that ends confirms the configuration, so this bounds the age of the last
/// confirmation.
const WATCH_WAIT_MS: u64 = 1_000;

/// Timeout of a store call; for a watch, on top of its wait.
const CALL_TIMEOUT_MS: u64 = 800;

/// Delay before retrying after a failed call.
const RETRY_PAUSE_MS: u64 = 150;

/// The most values without effect that one line of the log names.
const MAX_NAMED_VALUES: usize = 20;

/// Follows the configuration until the process ends.
pub(crate) async fn follow_configuration(node: Arc<Node>) {
    loop {
        if let Err(why) = read_and_watch(&node).await {
            node.record_store_contact(Some(&why));
            tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }
}

/// Reads the configuration, then watches it until the store no longer has the history after the last change seen, or a
/// call fails.
async fn read_and_watch(node: &Arc<Node>) -> Result<(), String> {
    let sent_ms = now_ms();
    let read = node
        .store
        .read_with_revision(CONFIGURATION_KEY, CALL_TIMEOUT_MS, true)
        .await;
    let (item, revision) = read.map_err(|e| e.to_string())?;
    let Some(item) = item else {
        return Err("no configuration is declared".to_string());
    };
    node.record_store_contact(None);
    let mut after = revision.max(item.revision);
    apply_configuration(node, &item.value, item.revision, sent_ms);
    loop {
        let sent_ms = now_ms();
        let timeout_ms = WATCH_WAIT_MS + CALL_TIMEOUT_MS;
        match node
            .store
            .watch(CONFIGURATION_KEY, after, WATCH_WAIT_MS, timeout_ms)
            .await
        {
            Ok(WatchOutcome::Compacted) => return Ok(()),
            Err(e) => return Err(e.to_string()),
            // Continuing from the last change seen, not from the answer's revision, also delivers a change that was
            // missed while the watch was stalled.
            Ok(WatchOutcome::Events(events, _)) => {
                node.configuration.confirm(sent_ms);
                node.record_store_contact(None);
                for event in events {
                    if let Event::Written(item) = event
                        && item.key == CONFIGURATION_KEY
                    {
                        after = after.max(item.revision);
                        apply_configuration(node, &item.value, item.revision, sent_ms);
                    }
                }
            }
        }
    }
}

/// Decodes a configuration and puts it into force if it is newer; an unreadable one is logged and changes nothing.
pub(crate) fn apply_configuration(node: &Node, value: &[u8], revision: u64, sent_ms: u64) {
    let configuration = match decode_configuration(value) {
        Ok(configuration) => configuration,
        Err(e) => {
            let fields = [
                ("revision", Value::from(revision)),
                ("why", Value::from(e.to_string())),
            ];
            node.log.general(
                "configuration",
                "unreadable, the last one stays in force",
                &fields,
            );
            return;
        }
    };
    let (version, queues) = (configuration.version, configuration.queues.len());
    if node.configuration.adopt(configuration, revision, sent_ms) {
        node.configuration_changed.notify_waiters();
        let fields = [
            ("version", Value::from(version)),
            ("revision", Value::from(revision)),
            ("queues", Value::from(queues)),
        ];
        node.log.general("configuration", "in force", &fields);
        log_unused_values(node, value, version);
    }
}

/// Logs what a configuration holds and the system does not act on, in one line.
fn log_unused_values(node: &Node, value: &[u8], version: u64) {
    // The configuration has just been decoded, so this does not fail.
    let unused = list_unused_values(value).unwrap_or_default();
    if unused.is_empty() {
        return;
    }
    let first: Vec<Value> = unused
        .iter()
        .take(MAX_NAMED_VALUES)
        .map(|unused| {
            let (kind, name) = (unused.kind, &unused.name);
            Value::from(format!(
                "{kind} {name}: {} is {}",
                unused.field, unused.value
            ))
        })
        .collect();
    let fields = [
        ("version", Value::from(version)),
        ("count", Value::from(unused.len())),
        ("first", Value::from(first)),
    ];
    node.log
        .general("configuration", "values without effect", &fields);
}
