//! Evaluates a query on the rows of its table: filter, group, sort and limit.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use model::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::query::{Comparison, Condition, Direction, Item, Operand, Query, SortKey};
use crate::schema::{Column, TableName, ValueKind};
use crate::value::{Row, Value};

/// Source of the rows of tables.
pub trait RowSource {
    /// Returns all rows of `table`, with values in the order of its columns.
    fn rows(&self, table: TableName) -> Vec<Row>;
}

/// Answer to a query.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResultTable {
    /// Names of the columns; those of durations end in `_ms`.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Row>,
}

impl ResultTable {
    /// Returns the column names as a JSON list, and the rows as a JSON list of lists.
    pub fn to_json(&self) -> (serde_json::Value, serde_json::Value) {
        let rows: Vec<Vec<serde_json::Value>> = self
            .rows
            .iter()
            .map(|row| row.iter().map(serde_json::Value::from).collect())
            .collect();
        (json!(self.columns), json!(rows))
    }
}

/// Answers `query` from the rows of `source`.
///
/// # Errors
///
/// When a row of the source does not have as many values as the table has columns.
pub fn run_query(query: &Query, source: &impl RowSource) -> Result<ResultTable, Findings> {
    let rows = source.rows(query.table);
    check_widths(query.table, &rows)?;
    let matching: Vec<Row> = rows
        .into_iter()
        .filter(|row| {
            query
                .condition
                .as_ref()
                .is_none_or(|condition| is_met(condition, row))
        })
        .collect();
    let items = list_items(query);
    let mut rows = if query.is_grouped() {
        group_rows(query, &items, &matching)
    } else {
        let mut matching = matching;
        sort_rows(&mut matching, &query.order_by, column_index);
        matching
            .into_iter()
            .map(|row| project(&items, &row))
            .collect()
    };
    if query.is_grouped() {
        sort_rows(&mut rows, &query.order_by, |item| {
            items.iter().position(|shown| shown == item)
        });
    }
    if let Some(limit) = query.limit {
        rows.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    }
    Ok(ResultTable {
        columns: items.iter().map(format_header).collect(),
        rows,
    })
}

/// Reports the first row that does not have as many values as the table has columns.
fn check_widths(table: TableName, rows: &[Row]) -> Result<(), Findings> {
    let width = table.spec().columns.len();
    let mut findings = Findings::default();
    if let Some(row) = rows.iter().find(|row| row.len() != width) {
        findings.push(
            Place::of_offset(table.into(), "", 0),
            format!("a row has {} values for {width} columns", row.len()),
        );
    }
    findings.into_result(())
}

/// Returns the items of the result.
fn list_items(query: &Query) -> Vec<Item> {
    if query.items.is_empty() {
        Column::all(query.table).map(Item::Column).collect()
    } else {
        query.items.clone()
    }
}

/// Returns the name of a column of the result.
fn format_header(item: &Item) -> String {
    let (name, kind) = match item {
        Item::Count => return "count".to_owned(),
        Item::Column(column) => (column.spec().name.to_owned(), column.spec().kind),
        Item::Sum(column) => (format!("sum_{}", column.spec().name), column.spec().kind),
    };
    match kind {
        ValueKind::Duration => format!("{name}_ms"),
        ValueKind::Text | ValueKind::Integer | ValueKind::Boolean => name,
    }
}

/// Returns the position of a column in a row of its table; `None` for aggregates.
const fn column_index(item: &Item) -> Option<usize> {
    match item {
        Item::Column(column) => Some(column.index()),
        Item::Count | Item::Sum(_) => None,
    }
}

/// Selects the columns `items` of `row`.
fn project(items: &[Item], row: &Row) -> Row {
    items
        .iter()
        .filter_map(column_index)
        .map(|index| row[index].clone())
        .collect()
}

/// Sorts `rows`; `index_of` returns the position of an item in a row. The sort is stable.
fn sort_rows(rows: &mut [Row], orders: &[SortKey], index_of: impl Fn(&Item) -> Option<usize>) {
    let criteria: Vec<(usize, Direction)> = orders
        .iter()
        .filter_map(|order| Some((index_of(&order.item)?, order.direction)))
        .collect();
    rows.sort_by(|a, b| {
        criteria
            .iter()
            .map(|&(index, direction)| match direction {
                Direction::Asc => a[index].cmp(&b[index]),
                Direction::Desc => b[index].cmp(&a[index]),
            })
            .find(|ordering| ordering.is_ne())
            .unwrap_or(Ordering::Equal)
    });
}

/// Builds one row for each group, ordered by the values of the group's columns. Without columns
/// to group by, all rows form one group, which may be empty.
fn group_rows(query: &Query, items: &[Item], rows: &[Row]) -> Vec<Row> {
    let mut groups: BTreeMap<Row, Vec<&Row>> = BTreeMap::new();
    if query.group_by.is_empty() {
        groups.insert(Row::new(), Vec::new());
    }
    for row in rows {
        let key = query
            .group_by
            .iter()
            .map(|column| row[column.index()].clone())
            .collect();
        groups.entry(key).or_default().push(row);
    }
    groups
        .into_iter()
        .map(|(key, members)| {
            items
                .iter()
                .map(|item| aggregate(query, item, &key, &members))
                .collect()
        })
        .collect()
}

/// Returns the value of `item` for a group.
fn aggregate(query: &Query, item: &Item, key: &Row, members: &[&Row]) -> Value {
    match item {
        Item::Column(column) => query
            .group_by
            .iter()
            .position(|grouped| grouped == column)
            .map_or(Value::Null, |index| key[index].clone()),
        Item::Count => Value::count(members.len() as u64),
        Item::Sum(column) => sum_column(*column, members),
    }
}

/// Sums a column; null values add nothing, and a sum that is out of range saturates.
fn sum_column(column: Column, members: &[&Row]) -> Value {
    let values = members.iter().map(|row| &row[column.index()]);
    if column.spec().kind == ValueKind::Duration {
        let total_ms = values.fold(0_u64, |total, value| match value {
            Value::Duration(value_ms) => total.saturating_add(*value_ms),
            _ => total,
        });
        return Value::Duration(total_ms);
    }
    let total = values.fold(0_i64, |total, value| match value {
        Value::Integer(value) => total.saturating_add(*value),
        _ => total,
    });
    Value::Integer(total)
}

/// Returns whether `row` meets `condition`.
fn is_met(condition: &Condition, row: &Row) -> bool {
    match condition {
        Condition::Compare {
            column,
            comparison,
            operand,
        } => {
            let right = match operand {
                Operand::Column(other) => &row[other.index()],
                Operand::Value(value) => value,
            };
            compare(&row[column.index()], *comparison, right)
        }
        Condition::In { column, values } => values.contains(&row[column.index()]),
        Condition::IsNull { column } => row[column.index()] == Value::Null,
        Condition::Not(inner) => !is_met(inner, row),
        Condition::And(parts) => parts.iter().all(|part| is_met(part, row)),
        Condition::Or(parts) => parts.iter().any(|part| is_met(part, row)),
    }
}

/// Evaluates a comparison; it is false when either side is null.
fn compare(left: &Value, comparison: Comparison, right: &Value) -> bool {
    if *left == Value::Null || *right == Value::Null {
        return false;
    }
    match comparison {
        Comparison::Equal => left == right,
        Comparison::NotEqual => left != right,
        Comparison::Less => left < right,
        Comparison::LessOrEqual => left <= right,
        Comparison::Greater => left > right,
        Comparison::GreaterOrEqual => left >= right,
        Comparison::Contains => match (left, right) {
            (Value::Text(left), Value::Text(right)) => left.contains(right.as_str()),
            _ => false,
        },
    }
}
