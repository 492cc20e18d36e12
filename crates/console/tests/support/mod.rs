//! Fixture: rows of a few tables for the tests to query.

use console::{Row, RowSource, TableName, Value};

/// Source of a few fixed rows.
pub struct SampleRows;

fn text(value: &str) -> Value {
    match value {
        "-" => Value::Null,
        other => Value::text(other),
    }
}

fn job(id: u64, organisation: &str, state: &str, accelerators: i64, age_ms: u64) -> Row {
    let why = if state == "waiting" {
        "needs 2 x worker"
    } else {
        "-"
    };
    vec![
        Value::Text(format!("j.gyor.n1.1.{id}")),
        text(organisation),
        text("rota-rebuild"),
        text("gyor"),
        text(state),
        Value::Integer(2),
        Value::Integer(accelerators),
        text("rack"),
        Value::Duration(age_ms),
        Value::Duration(0),
        Value::Duration(3_600_000),
        text("-"),
        text(why),
    ]
}

fn accelerator(worker: &str, rack: &str, index: i64, organisation: &str) -> Row {
    let in_use = i64::from(organisation != "-");
    vec![
        text(worker),
        Value::Integer(index),
        text("gyor"),
        text(rack),
        text(if in_use == 1 { "held" } else { "free" }),
        text(organisation),
        text("-"),
        Value::Integer(in_use),
        Value::Integer(in_use),
        Value::Integer(0),
    ]
}

fn guarantee(organisation: &str, declared: i64, in_use: i64) -> Row {
    vec![
        text(organisation),
        text("gyor"),
        text("worker"),
        Value::Integer(declared),
        Value::Integer(in_use),
        Value::Integer(declared - in_use),
        Value::Integer(0),
    ]
}

impl RowSource for SampleRows {
    fn rows(&self, table: TableName) -> Vec<Row> {
        match table {
            TableName::Jobs => vec![
                job(1, "trials", "waiting", 16, 5_000),
                job(2, "trials", "running", 8, 60_000),
                job(3, "county-desks", "waiting", 4, 90_000),
                job(4, "trials", "waiting", 16, 70_000),
            ],
            TableName::Accelerators => vec![
                accelerator("gyor-r1-w1", "r1", 0, "trials"),
                accelerator("gyor-r1-w1", "r1", 1, "-"),
                accelerator("gyor-r2-w1", "r2", 0, "county-desks"),
            ],
            TableName::Guarantees => {
                vec![guarantee("trials", 2, 2), guarantee("county-desks", 4, 1)]
            }
            _ => Vec::new(),
        }
    }
}
