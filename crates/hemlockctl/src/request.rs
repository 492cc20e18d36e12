//! `hemlockctl request` and `hemlockctl tickets`: sends a request, and obtains tickets.

use std::path::PathBuf;

use clap::Args;
use reqwest::Method;
use serde_json::{Value, json};

use crate::client::{Connection, CtlError, parse_json_or_text};
use crate::output::{Output, format_cell};

/// Arguments of `hemlockctl request`.
#[derive(Debug, Args)]
pub(crate) struct RequestArgs {
    /// Class of the work.
    #[arg(long)]
    class: String,
    /// Time until the deadline, in milliseconds.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Ticket that makes the work run at most once.
    #[arg(long, conflicts_with = "once")]
    ticket: Option<String>,
    /// Obtains a ticket first, so that the work runs at most once.
    #[arg(long)]
    once: bool,
    /// Input of the work.
    #[arg(long, conflicts_with = "body_file")]
    body: Option<String>,
    /// File with the input of the work.
    #[arg(long)]
    body_file: Option<PathBuf>,
}

/// Arguments of `hemlockctl tickets`.
#[derive(Debug, Args)]
pub(crate) struct TicketArgs {
    /// Number of tickets.
    #[arg(long, default_value_t = 1)]
    count: u32,
}

/// Sends a request and prints the answer.
pub(crate) async fn send(
    connection: &Connection,
    output: &Output,
    args: &RequestArgs,
) -> Result<(), CtlError> {
    let ticket = match &args.ticket {
        None if args.once => Some(fetch_ticket(connection).await?),
        other => other.clone(),
    };
    let mut call = connection
        .prepare_call(Method::POST, "/v1/requests")?
        .header("Hemlock-Class", &args.class)
        .body(read_body(args)?);
    if let Some(deadline_ms) = args.deadline_ms {
        call = call.header("Hemlock-Deadline-Ms", deadline_ms);
    }
    if let Some(ticket) = &ticket {
        eprintln!("ticket {ticket}");
        call = call.header("Hemlock-Ticket", ticket);
    }
    let response = call.send().await?;
    let status = response.status();
    let work_id = response.headers().get("hemlock-work-id").cloned();
    let bytes = response.bytes().await?;
    let body = parse_json_or_text(&bytes);
    if !status.is_success() {
        return Err(CtlError::Node { status, body });
    }
    let work_id = work_id.and_then(|id| id.to_str().ok().map(str::to_owned));
    let value = json!({ "work_id": work_id, "ticket": ticket, "answer": body });
    output.print(&value, || String::from_utf8_lossy(&bytes).into_owned());
    Ok(())
}

/// Returns the input of the work from `--body-file` or `--body`.
fn read_body(args: &RequestArgs) -> Result<Vec<u8>, CtlError> {
    match &args.body_file {
        Some(path) => std::fs::read(path).map_err(|e| CtlError::Local {
            detail: format!("{}: {e}", path.display()),
        }),
        None => Ok(args.body.clone().unwrap_or_default().into_bytes()),
    }
}

/// Obtains tickets from the node and prints them.
pub(crate) async fn print_tickets(
    connection: &Connection,
    output: &Output,
    args: &TicketArgs,
) -> Result<(), CtlError> {
    let reply = fetch_tickets(connection, args.count).await?;
    output.print(&reply, || list_tickets(&reply).join("\n"));
    Ok(())
}

/// Obtains one ticket.
async fn fetch_ticket(connection: &Connection) -> Result<String, CtlError> {
    let reply = fetch_tickets(connection, 1).await?;
    let missing = || CtlError::Connection {
        detail: format!("no ticket in {reply}"),
    };
    list_tickets(&reply).pop().ok_or_else(missing)
}

/// Obtains `count` tickets and returns the node's reply.
async fn fetch_tickets(connection: &Connection, count: u32) -> Result<Value, CtlError> {
    let body = json!({ "count": count });
    connection
        .call_json(Method::POST, "/v1/tickets", Some(&body))
        .await
}

/// Returns the tickets in a reply.
fn list_tickets(reply: &Value) -> Vec<String> {
    let tickets = reply["tickets"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    tickets.iter().map(format_cell).collect()
}
