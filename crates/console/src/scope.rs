//! Authorisation of statements by the role and organisation of a token.

use model::prelude::*;
use thiserror::Error;

use crate::query::{Comparison, Condition, Operand, Query};
use crate::schema::{Column, TableName};
use crate::statement::Statement;
use crate::value::Value;

/// Why a statement is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ScopeError {
    /// Only operators may give commands.
    #[error("commands need an operator's token")]
    Command,
    /// The table has no column `organisation`, so only operators may read it.
    #[error("the table {table} needs an operator's token")]
    Table {
        /// The table.
        table: TableName,
    },
    /// The token is not bound to an organisation.
    #[error("the token belongs to no organisation")]
    NoOrganisation,
}

/// Restricts `statement` to what `role` may see.
///
/// An operator's statement is returned unchanged. A caller's query is restricted to the rows of its
/// own organisation. [`Statement::Explain`] is returned unchecked: the code that answers it has to
/// check that the job belongs to the caller's organisation.
///
/// # Errors
///
/// Why the statement is not allowed.
pub fn authorise(
    statement: Statement,
    role: Role,
    organisation: Option<&OrganisationName>,
) -> Result<Statement, ScopeError> {
    if role == Role::Operator {
        return Ok(statement);
    }
    let own = organisation.ok_or(ScopeError::NoOrganisation)?;
    match statement {
        Statement::Query(query) => restrict_to_organisation(query, own).map(Statement::Query),
        Statement::Explain(job) => Ok(Statement::Explain(job)),
        Statement::Command(_) => Err(ScopeError::Command),
    }
}

/// Restricts `query` to the rows of organisation `own`.
fn restrict_to_organisation(mut query: Query, own: &OrganisationName) -> Result<Query, ScopeError> {
    let table = query.table;
    let column = Column::find(table, "organisation").ok_or(ScopeError::Table { table })?;
    let is_own = Condition::Compare {
        column,
        comparison: Comparison::Equal,
        operand: Operand::Value(Value::text(own)),
    };
    query.condition = Some(match query.condition {
        Some(condition) => Condition::And(vec![is_own, condition]),
        None => is_own,
    });
    Ok(query)
}
