//! Gathers the rows of a table from the nodes that hold them, and names those that do not answer.

use std::collections::HashMap;
use std::sync::Arc;

use console::{Row, RowSource, TableName, Value};
use futures::future::join_all;
use model::prelude::*;
use serde::{Deserialize, Serialize};

use super::tables::{declared_rows, rows_of_scope};
use crate::node::Shared;

/// Time that a node has to give its rows, in milliseconds.
const ROWS_TIMEOUT_MS: u64 = 2_000;

/// Whose rows are asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RowScope {
    /// What the planner of a data centre knows.
    DataCentre(DataCentreName),
    /// What the node itself knows.
    Node,
}

/// Rows of the tables that were gathered.
#[derive(Debug, Default)]
pub(super) struct Gathered {
    rows: HashMap<TableName, Vec<Row>>,
    unreachable: Vec<String>,
}

impl Gathered {
    /// Data centres and nodes that did not answer.
    pub(super) fn into_unreachable(self) -> Vec<String> {
        self.unreachable
    }

    /// Takes the rows of one scope, or notes that it did not answer.
    fn add(&mut self, table: TableName, source: String, rows: Option<Vec<Row>>) {
        match rows {
            Some(rows) => self.rows.entry(table).or_default().extend(rows),
            None if self.unreachable.contains(&source) => {}
            None => self.unreachable.push(source),
        }
    }
}

impl RowSource for Gathered {
    fn rows(&self, table: TableName) -> Vec<Row> {
        self.rows.get(&table).cloned().unwrap_or_default()
    }
}

/// Gathers the rows of `table`.
pub(super) async fn gather(shared: &Arc<Shared>, table: TableName) -> Gathered {
    let mut gathered = Gathered::default();
    match table {
        TableName::Jobs | TableName::Workers | TableName::Accelerators | TableName::Guarantees => {
            gather_data_centres(shared, table, &mut gathered).await
        }
        TableName::Queues => gather_nodes(shared, table, &mut gathered).await,
        TableName::Nodes => {
            gather_nodes(shared, table, &mut gathered).await;
            add_silent_nodes(shared, &mut gathered);
        }
        TableName::Organisations => {
            gather_data_centres(shared, TableName::Jobs, &mut gathered).await;
            gather_nodes(shared, TableName::Queues, &mut gathered).await;
            let rows = declared_rows(shared, table, &gathered);
            gathered.add(table, String::new(), Some(rows));
        }
        TableName::Classes | TableName::History => {
            let rows = declared_rows(shared, table, &gathered);
            gathered.add(table, String::new(), Some(rows));
        }
    }
    gathered
}

/// Asks the planner of each data centre.
async fn gather_data_centres(shared: &Arc<Shared>, table: TableName, gathered: &mut Gathered) {
    let asked = shared
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
    for (source, rows) in join_all(asked).await {
        gathered.add(table, source, rows);
    }
}

/// Asks every known node.
async fn gather_nodes(shared: &Arc<Shared>, table: TableName, gathered: &mut Gathered) {
    let own = rows_of_scope(shared, table, RowScope::Node, 0).await;
    gathered.add(table, shared.settings.node.to_string(), own);
    let nodes: Vec<_> = shared
        .members
        .peers()
        .known()
        .map(|(node, _)| node.clone())
        .collect();
    let asked = nodes.into_iter().map(|node| async move {
        let call = shared
            .peers
            .call(&node, ROWS_TIMEOUT_MS, async |client, context| {
                client.console_rows(context, table, RowScope::Node, 1).await
            });
        (node.to_string(), call.await.ok().flatten())
    });
    for (source, rows) in join_all(asked).await {
        gathered.add(table, source, rows);
    }
}

/// Adds a row for each known node that did not answer.
fn add_silent_nodes(shared: &Shared, gathered: &mut Gathered) {
    let peers = shared.members.peers();
    let silent: Vec<Row> = peers
        .known()
        .filter(|(node, _)| {
            gathered
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
    gathered
        .rows
        .entry(TableName::Nodes)
        .or_default()
        .extend(silent);
}
