//! Guarantees in use, as the leaders of all data centres report them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use console::{Column, Row, RowSource, TableName, Value};
use declarations::GuaranteeUse;
use model::prelude::*;

use super::collect::collect_rows;
use crate::node::Shared;

/// Usage of guarantees, and the data centres that did not report.
#[derive(Debug, Default)]
pub(crate) struct GuaranteeUses {
    /// The usage.
    pub(crate) uses: Vec<GuaranteeUse>,
    /// Data centres whose usage is unknown.
    pub(crate) unreachable: Vec<String>,
}

/// Collects from the leaders which guarantees are in use, and by which jobs.
pub(crate) async fn collect_guarantee_uses(shared: &Arc<Shared>) -> GuaranteeUses {
    let guarantees = collect_rows(shared, TableName::Guarantees).await;
    let accelerators = collect_rows(shared, TableName::Accelerators).await;
    let jobs = guaranteed_jobs(&accelerators.rows(TableName::Accelerators));
    let rows = guarantees.rows(TableName::Guarantees);
    let uses = rows
        .iter()
        .filter_map(|row| parse_use(row, &jobs))
        .collect();
    GuaranteeUses {
        uses,
        unreachable: guarantees.into_unreachable(),
    }
}

/// Jobs that hold accelerators within a guarantee, by organisation and data centre.
type GuaranteedJobs = BTreeMap<(String, String), BTreeSet<JobId>>;

/// Collects the jobs whose accelerators are held within a guarantee.
fn guaranteed_jobs(rows: &[Row]) -> GuaranteedJobs {
    let mut jobs = GuaranteedJobs::new();
    for row in rows {
        let text = |name| text_of(TableName::Accelerators, row, name);
        if integer_of(TableName::Accelerators, row, "guaranteed") == 0 {
            continue;
        }
        if let (Some(organisation), Some(data_centre), Some(job)) =
            (text("organisation"), text("data_centre"), text("job"))
            && let Ok(job) = job.parse()
        {
            let holder = (organisation.to_owned(), data_centre.to_owned());
            jobs.entry(holder).or_default().insert(job);
        }
    }
    jobs
}

/// Parses a row of the table of guarantees; `None` if nothing is in use.
fn parse_use(row: &Row, jobs: &GuaranteedJobs) -> Option<GuaranteeUse> {
    let text = |name| text_of(TableName::Guarantees, row, name);
    let (organisation, data_centre) = (text("organisation")?, text("data_centre")?);
    let in_use = integer_of(TableName::Guarantees, row, "in_use");
    let holder = (organisation.to_owned(), data_centre.to_owned());
    (in_use > 0).then_some(())?;
    Some(GuaranteeUse {
        organisation: organisation.parse().ok()?,
        data_centre: data_centre.parse().ok()?,
        level: text("level")?.parse().ok()?,
        in_use: u32::try_from(in_use).unwrap_or(u32::MAX),
        jobs: jobs.get(&holder).into_iter().flatten().cloned().collect(),
    })
}

/// Returns the text in the column `name` of a row.
fn text_of<'a>(table: TableName, row: &'a Row, name: &str) -> Option<&'a str> {
    match value_of(table, row, name)? {
        Value::Text(text) => Some(text),
        _ => None,
    }
}

/// Returns the integer in the column `name` of a row; 0 if there is none.
fn integer_of(table: TableName, row: &Row, name: &str) -> i64 {
    match value_of(table, row, name) {
        Some(Value::Integer(value)) => *value,
        _ => 0,
    }
}

/// Returns the value in the column `name` of a row.
fn value_of<'a>(table: TableName, row: &'a Row, name: &str) -> Option<&'a Value> {
    row.get(Column::find(table, name)?.index())
}
