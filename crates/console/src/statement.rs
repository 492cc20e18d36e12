//! Statements of the language (queries, explanations and commands) and their parser.

use std::fmt;

use model::prelude::*;

use crate::command::{CommandRequest, resolve::resolve_command};
use crate::grammar::parse_tokens;
use crate::lexer::{SOURCE_NAME, tokenise};
use crate::query::Query;
use crate::raw::RawStatement;
use crate::resolve::{Resolver, resolve_query};

/// Maximum length of a statement, in bytes.
pub const STATEMENT_BYTES_MAX: usize = 16_384;

/// A parsed and validated statement of an operator or a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Rows of a table.
    Query(Query),
    /// Explains why a job waits: what it needs, what blocks it, and when it could start.
    Explain(JobId),
    /// A command that changes something.
    Command(CommandRequest),
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Query(query) => write!(f, "{query}"),
            Self::Explain(job) => write!(f, "explain job {job}"),
            Self::Command(request) => write!(f, "{request}"),
        }
    }
}

/// Parses and validates one statement.
///
/// # Errors
///
/// Findings with their places, what was expected and the most similar name. All wrong names and
/// values are reported together; a syntax error is reported alone.
pub fn parse_statement(text: &str) -> Result<Statement, Findings> {
    if text.len() > STATEMENT_BYTES_MAX {
        let mut findings = Findings::default();
        findings.push(
            Place::of_offset(SOURCE_NAME, text, STATEMENT_BYTES_MAX),
            format!("a statement has at most {STATEMENT_BYTES_MAX} bytes"),
        );
        return Err(findings);
    }
    let tokens = tokenise(text)?;
    let raw = parse_tokens(text, &tokens)?;
    let mut resolver = Resolver::new(text);
    let statement = match raw {
        RawStatement::Query(raw) => resolve_query(&mut resolver, &raw).map(Statement::Query),
        RawStatement::Explain(word) => resolver.parse_word(&word).map(Statement::Explain),
        RawStatement::Command(raw) => resolve_command(&mut resolver, &raw).map(Statement::Command),
    };
    resolver.finish(statement)
}
