//! The operators' language on a node: answers queries with rows from all data centres and executes
//! commands.

mod collect;
mod command;
mod tables;
mod uses;

use std::sync::Arc;

use console::{ResultTable, Statement, Value, authorise, parse_statement, run_query};
use model::prelude::*;

pub(crate) use collect::RowScope;
pub(crate) use tables::rows_of_scope;
pub(crate) use uses::collect_guarantee_uses;

use crate::declared::Principal;
use crate::http::refuse;
use crate::jobs::{JobReply, job_status};
use crate::node::Shared;

/// Answer to a statement.
#[derive(Debug)]
pub(crate) struct ConsoleReply {
    /// Columns and rows.
    pub(crate) table: ResultTable,
    /// Data centres and nodes whose rows are missing.
    pub(crate) unreachable: Vec<String>,
    /// Revision of the declarations that is active on this node.
    pub(crate) revision: Revision,
}

/// Why a statement was not answered.
#[derive(Debug)]
pub(crate) enum ConsoleError {
    /// The statement is malformed.
    Findings(Findings),
    /// It is refused.
    Refused(Refused),
    /// Its change may still take effect.
    Unknown(OutcomeUnknown),
}

impl From<Refused> for ConsoleError {
    fn from(refused: Refused) -> Self {
        Self::Refused(refused)
    }
}

/// Answers one statement.
///
/// # Errors
///
/// The statement is malformed or refused, or it is unknown whether its change takes effect.
pub(crate) async fn answer(
    shared: &Arc<Shared>,
    principal: &Principal,
    text: &str,
) -> Result<ConsoleReply, ConsoleError> {
    let statement = parse_statement(text).map_err(ConsoleError::Findings)?;
    let allowed = authorise(statement, principal.role(), principal.organisation())
        .map_err(|e| refuse(RefusalReason::Forbidden, e.to_string()))?;
    let (table, unreachable) = match allowed {
        Statement::Query(query) => {
            let collected = collect::collect_rows(shared, query.table).await;
            let table = run_query(&query, &collected).map_err(ConsoleError::Findings)?;
            (table, collected.into_unreachable())
        }
        Statement::Explain(job) => (explain(shared, principal, &job).await?, Vec::new()),
        Statement::Command(request) => (command::execute(shared, request).await?, Vec::new()),
    };
    let revision = shared.snapshot().revision;
    Ok(ConsoleReply {
        table,
        unreachable,
        revision,
    })
}

/// Explains the state of a job, and why it waits.
async fn explain(
    shared: &Arc<Shared>,
    principal: &Principal,
    job: &JobId,
) -> Result<ResultTable, Refused> {
    let status = match job_status(shared, job).await? {
        JobReply::Known(status) if principal.may_act_for(&status.organisation) => status,
        _ => {
            return Err(refuse(
                RefusalReason::NotFound,
                format!("no job {job} is known"),
            ));
        }
    };
    let workers: Vec<_> = status
        .members
        .iter()
        .map(|m| m.worker.to_string())
        .collect();
    let fields = [
        ("job", Value::text(&status.job)),
        ("organisation", Value::text(&status.organisation)),
        ("class", Value::text(&status.class)),
        ("state", Value::text(status.state)),
        ("waited", Value::Duration(status.waited_ms)),
        (
            "saved_permille",
            Value::count(status.checkpoint_permille.into()),
        ),
        ("durable", Value::Boolean(status.durable)),
        ("workers", Value::text(workers.join(" "))),
        ("why", Value::text(&status.why)),
    ];
    let rows = fields
        .into_iter()
        .map(|(name, value)| vec![Value::text(name), value]);
    Ok(ResultTable {
        columns: vec!["field".to_owned(), "value".to_owned()],
        rows: rows.collect(),
    })
}
