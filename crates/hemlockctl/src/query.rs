//! `hemlockctl show` and `hemlockctl console`: runs statements of the operator language on a node.

use std::time::Duration;

use clap::Args;
use console::TableName;
use reqwest::Method;
use rustyline::completion::Completer;
use rustyline::error::ReadlineError;
use rustyline::highlight::Highlighter;
use rustyline::hint::Hinter;
use rustyline::history::DefaultHistory;
use rustyline::validate::Validator;
use rustyline::{Context, Editor, Helper};
use serde_json::{Value, json};

use crate::client::{Connection, CtlError};
use crate::output::{Output, format_cell, format_table};

/// Arguments of `hemlockctl show`.
#[derive(Debug, Args)]
pub(crate) struct ShowArgs {
    /// The query, without the word `show`.
    #[arg(required = true, trailing_var_arg = true)]
    words: Vec<String>,
    /// Repeats the query at this interval, in seconds.
    #[arg(long, value_name = "SECONDS")]
    watch: Option<u64>,
}

/// Arguments of `hemlockctl console`.
#[derive(Debug, Args)]
pub(crate) struct ConsoleArgs {
    /// Statement to run instead of reading from the terminal.
    #[arg(short = 'c', long)]
    command: Option<String>,
}

/// Runs one query, repeatedly if `--watch` is set.
pub(crate) async fn show(
    connection: &Connection,
    output: &Output,
    args: &ShowArgs,
) -> Result<(), CtlError> {
    let query = format!("show {}", args.words.join(" "));
    loop {
        run_statement(connection, output, &query).await?;
        let Some(seconds) = args.watch else {
            return Ok(());
        };
        tokio::time::sleep(Duration::from_secs(seconds.max(1))).await;
    }
}

/// Runs one statement on the node and prints the reply.
pub(crate) async fn run_statement(
    connection: &Connection,
    output: &Output,
    query: &str,
) -> Result<(), CtlError> {
    let body = json!({ "query": query });
    let reply = connection
        .call_json(Method::POST, "/v1/console", Some(&body))
        .await?;
    output.print(&reply, || format_reply(&reply));
    Ok(())
}

/// Formats a reply as a table, followed by the sources that could not be reached.
fn format_reply(reply: &Value) -> String {
    let list = |name: &str| {
        reply[name]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default()
    };
    let mut text = format_table(list("columns"), list("rows"));
    let unreachable: Vec<_> = list("unreachable").iter().map(format_cell).collect();
    if !unreachable.is_empty() {
        text.push_str(&format!("\nnot reached: {}", unreachable.join(", ")));
    }
    text
}

/// Runs the statement given with `--command`, or statements read from the terminal.
pub(crate) async fn console(
    connection: &Connection,
    output: &Output,
    args: &ConsoleArgs,
) -> Result<(), CtlError> {
    if let Some(statement) = &args.command {
        return run_statement(connection, output, statement).await;
    }
    let mut editor = Editor::<StatementCompleter, DefaultHistory>::new().map_err(terminal_error)?;
    editor.set_helper(Some(StatementCompleter));
    loop {
        match editor.readline("hemlock> ") {
            Ok(line) if line.trim().is_empty() => {}
            Ok(line) => {
                // A failure to record history does not prevent running the line.
                let _ = editor.add_history_entry(&line);
                if let Err(e) = run_statement(connection, output, &line).await {
                    output.print_error(&e);
                }
            }
            Err(ReadlineError::Eof | ReadlineError::Interrupted) => return Ok(()),
            Err(e) => return Err(terminal_error(e)),
        }
    }
}

/// Converts a terminal error.
fn terminal_error(error: ReadlineError) -> CtlError {
    CtlError::Local {
        detail: format!("the terminal: {error}"),
    }
}

/// Keywords offered for completion.
const COMPLETED_KEYWORDS: [&str; 12] = [
    "show", "explain", "create", "alter", "delete", "set", "suspend", "resume", "drain", "return",
    "cancel", "where",
];

/// Completes keywords, table names and column names.
struct StatementCompleter;

impl Completer for StatementCompleter {
    type Candidate = String;

    fn complete(
        &self,
        line: &str,
        position: usize,
        _: &Context<'_>,
    ) -> rustyline::Result<(usize, Vec<String>)> {
        let before = &line[..position];
        let start = before.rfind(' ').map_or(0, |at| at + 1);
        let word = &before[start..];
        let columns = TableName::names()
            .filter_map(|name| name.parse::<TableName>().ok())
            .flat_map(|table| table.spec().columns.iter().map(|column| column.name));
        let mut candidates: Vec<String> = COMPLETED_KEYWORDS
            .into_iter()
            .chain(TableName::names())
            .chain(columns)
            .filter(|candidate| candidate.starts_with(word))
            .map(str::to_owned)
            .collect();
        candidates.sort();
        candidates.dedup();
        Ok((start, candidates))
    }
}

impl Hinter for StatementCompleter {
    type Hint = String;
}

impl Highlighter for StatementCompleter {}

impl Validator for StatementCompleter {}

impl Helper for StatementCompleter {}
