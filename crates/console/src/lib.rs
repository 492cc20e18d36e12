//! The operators' query and command language.
//!
//! [`parse_statement`] parses and validates text into a [`Statement`], whose printed form parses
//! back to the same statement. [`run_query`] answers a query from the rows that a [`RowSource`]
//! returns; it does no I/O, so the caller gathers the rows of other nodes first.

pub mod command;
pub mod grammar;
mod lexer;
pub mod query;
mod raw;
mod resolve;
pub mod run;
pub mod schema;
pub mod scope;
pub mod settings;
pub mod statement;
pub mod value;

pub use command::{Command, CommandRequest};
pub use query::{Comparison, Condition, Direction, Item, Operand, Query, SortKey};
pub use run::{ResultTable, RowSource, run_query};
pub use schema::{Column, ColumnSpec, TableName, TableSpec, ValueKind, tables};
pub use scope::{ScopeError, authorise};
pub use settings::{ClassSettings, OrganisationSettings, SettingsError};
pub use statement::{Statement, parse_statement};
pub use value::{Row, Value};
