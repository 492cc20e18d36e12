//! Collects the rows of a table from the nodes that hold them, and the names of those that did not
//! answer.

use std::collections::HashMap;
use std::sync::Arc;

use console::{Row, RowSource, TableName, Value};
use futures::future::join_all;
use model::prelude::*;
use serde::{Deserialize, Serialize};

use super::tables::{declared_rows, rows_of_scope};
use crate::node::Shared;

/// Timeout of a call that requests rows from a node, in milliseconds.
const ROWS_TIMEOUT_MS: u64 = 2_000;

/// The source of rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RowScope {
    /// The planner of a data centre.
    DataCentre(DataCentreName),
    /// The node itself.
    Node,
}

/// The collected rows, by table.
#[derive(Debug, Default)]
pub(super) struct CollectedRows {
    rows: HashMap<TableName, Vec<Row>>,
    unreachable: Vec<String>,
}

impl CollectedRows {
    /// Returns the data centres and nodes that did not answer.
    pub(super) fn into_unreachable(self) -> Vec<String> {
        self.unreachable
    }

    /// Adds the rows of one source, or records that it did not answer.
    fn add(&mut self, table: TableName, source: String, rows: Option<Vec<Row>>) {
        match rows {
            Some(rows) => self.rows.entry(table).or_default().extend(rows),
            None if self.unreachable.contains(&source) => {}
            None => self.unreachable.push(source),
        }
    }
}

impl RowSource for CollectedRows {
    fn rows(&self, table: TableName) -> Vec<Row> {
        self.rows.get(&table).cloned().unwrap_or_default()
    }
}

/// Collects the rows of `table`.
pub(super) async fn collect_rows(shared: &Arc<Shared>, table: TableName) -> CollectedRows {
    let mut collected = CollectedRows::default();
    match table {
        TableName::Jobs | TableName::Workers | TableName::Accelerators | TableName::Guarantees => {
            collect_from_data_centres(shared, table, &mut collected).await
        }
        TableName::Queues => collect_from_nodes(shared, table, &mut collected).await,
        TableName::Nodes => {
            collect_from_nodes(shared, table, &mut collected).await;
            add_unresponsive_nodes(shared, &mut collected);
        }
        TableName::Organisations => {
            collect_from_data_centres(shared, TableName::Jobs, &mut collected).await;
            collect_from_nodes(shared, TableName::Queues, &mut collected).await;
            let rows = declared_rows(shared, table, &collected);
            collected.add(table, String::new(), Some(rows));
        }
        TableName::Classes | TableName::History => {
            let rows = declared_rows(shared, table, &collected);
            collected.add(table, String::new(), Some(rows));
        }
    }
    collected
}

/// Requests rows from the leader of each data centre.
async fn collect_from_data_centres(
    shared: &Arc<Shared>,
    table: TableName,
    collected: &mut CollectedRows,
) {
    let calls = shared
        .settings
        .topology
        .data_centres()
        .map(|data_centre| async move {
            let scope = RowScope::DataCentre(data_centre.clone());
            (
                data_centre.to_string(),
                rows_of_scope(shared, table, scope, 0).await,
            )
        });
    for (source, rows) in join_all(calls).await {
        collected.add(table, source, rows);
    }
}

/// Requests rows from every known node.
async fn collect_from_nodes(shared: &Arc<Shared>, table: TableName, collected: &mut CollectedRows) {
    let own = rows_of_scope(shared, table, RowScope::Node, 0).await;
    collected.add(table, shared.settings.node.to_string(), own);
    let nodes: Vec<_> = shared
        .members
        .peers()
        .known()
        .map(|(node, _)| node.clone())
        .collect();
    let calls = nodes.into_iter().map(|node| async move {
        let call = shared
            .peers
            .call(&node, ROWS_TIMEOUT_MS, async |client, context| {
                client.console_rows(context, table, RowScope::Node, 1).await
            });
        (node.to_string(), call.await.ok().flatten())
    });
    for (source, rows) in join_all(calls).await {
        collected.add(table, source, rows);
    }
}

/// Adds a row for each known node that did not answer.
fn add_unresponsive_nodes(shared: &Shared, collected: &mut CollectedRows) {
    let peers = shared.members.peers();
    let unresponsive: Vec<Row> = peers
        .known()
        .filter(|(node, _)| {
            collected
                .unreachable
                .iter()
                .any(|name| name == node.as_str())
        })
        .map(|(node, _)| {
            let data_centre = peers.data_centre_of(node);
            let region = data_centre.and_then(|dc| shared.settings.topology.region_of(dc));
            let mut row = vec![Value::Null; TableName::Nodes.spec().columns.len()];
            row[0] = Value::text(node);
            row[1] = data_centre.map_or(Value::Null, Value::text);
            row[2] = region.map_or(Value::Null, Value::text);
            row[3] = Value::text("silent");
            row
        })
        .collect();
    collected
        .rows
        .entry(TableName::Nodes)
        .or_default()
        .extend(unresponsive);
}
