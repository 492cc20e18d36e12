//! `hemlockctl job`: submits, inspects and cancels gang jobs.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use clap::{Args, Subcommand};
use model::prelude::*;
use reqwest::Method;
use serde_json::{Value, json};

use crate::client::{Connection, CtlError};
use crate::output::{Output, format_cell};

/// Interval between the status calls of `job wait`, in milliseconds.
const WAIT_POLL_MS: u64 = 500;

/// Identifier of a job: that of an entry node, or the 16 hexadecimal digits of a node on the
/// platform.
#[derive(Debug, Clone)]
pub(crate) struct JobName(String);

impl fmt::Display for JobName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for JobName {
    type Err = String;

    fn from_str(text: &str) -> Result<JobName, String> {
        let on_platform = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        match text.parse::<JobId>() {
            Ok(_) => Ok(JobName(text.to_owned())),
            Err(_) if on_platform => Ok(JobName(text.to_ascii_lowercase())),
            Err(e) => Err(format!("{e}, nor 16 hexadecimal digits")),
        }
    }
}

/// Subcommands of `hemlockctl job`.
#[derive(Debug, Subcommand)]
pub(crate) enum JobCommand {
    /// Submits a job and prints its identifier.
    Submit(SubmitArgs),
    /// Shows the state of a job.
    Status {
        /// Identifier of the job.
        job: JobName,
    },
    /// Waits for a job to end and shows its final state.
    Wait {
        /// Identifier of the job.
        job: JobName,
    },
    /// Cancels a job.
    Cancel {
        /// Identifier of the job.
        job: JobName,
    },
}

/// Arguments of `hemlockctl job submit`.
#[derive(Debug, Args)]
pub(crate) struct SubmitArgs {
    /// Class of the work.
    #[arg(long)]
    class: ClassName,
    /// Organisation that owns the job.
    #[arg(long)]
    organisation: OrganisationName,
    /// Number of members of the gang.
    #[arg(long)]
    members: u32,
    /// Number of accelerators of each member.
    #[arg(long, default_value_t = 1)]
    accelerators_per_member: u32,
    /// Required adjacency of the members: worker, rack or data_centre.
    #[arg(long, default_value_t = Adjacency::DataCentre)]
    adjacency: Adjacency,
    /// Expected run time, in milliseconds.
    #[arg(long)]
    run_ms: u64,
    /// The tasks can save checkpoints, so the job may be preempted and moved.
    #[arg(long)]
    checkpointable: bool,
    /// Ticket that makes the job run at most once.
    #[arg(long)]
    ticket: Option<Ticket>,
    /// Input text passed to every task.
    #[arg(long, default_value = "")]
    input: String,
}

/// Runs a subcommand of `hemlockctl job`.
pub(crate) async fn run(
    connection: &Connection,
    output: &Output,
    command: &JobCommand,
) -> Result<(), CtlError> {
    match command {
        JobCommand::Submit(args) => submit(connection, output, args).await,
        JobCommand::Status { job } => {
            let status = call_job(connection, Method::GET, job).await?;
            output.print(&status, || format_status(&status));
            Ok(())
        }
        JobCommand::Wait { job } => wait_until_ended(connection, output, job).await,
        JobCommand::Cancel { job } => {
            let status = call_job(connection, Method::DELETE, job).await?;
            output.print(&status, || format_status(&status));
            Ok(())
        }
    }
}

/// Submits a job and prints its identifier.
async fn submit(
    connection: &Connection,
    output: &Output,
    args: &SubmitArgs,
) -> Result<(), CtlError> {
    let body = json!({
        "class": args.class,
        "organisation": args.organisation,
        "gang": {
            "members": args.members,
            "accelerators_per_member": args.accelerators_per_member,
            "adjacency": args.adjacency,
        },
        "run_ms_declared": args.run_ms,
        "checkpointable": args.checkpointable,
        "ticket": args.ticket,
        "input": args.input,
    });
    let reply = connection
        .call_json(Method::POST, "/v1/jobs", Some(&body))
        .await?;
    output.print(&reply, || {
        let durable = reply["durable"].as_bool().unwrap_or_default();
        let note = if durable {
            ""
        } else {
            " (not recorded in the store yet)"
        };
        format!("{}{note}", format_cell(&reply["job"]))
    });
    Ok(())
}

/// Calls the node's endpoint of one job.
async fn call_job(
    connection: &Connection,
    method: Method,
    job: &JobName,
) -> Result<Value, CtlError> {
    connection
        .call_json(method, &format!("/v1/jobs/{job}"), None)
        .await
}

/// Polls a job until it has ended; calls that fail on the connection or with a server error are
/// repeated.
async fn wait_until_ended(
    connection: &Connection,
    output: &Output,
    job: &JobName,
) -> Result<(), CtlError> {
    loop {
        match call_job(connection, Method::GET, job).await {
            Ok(status) if is_final(&status) => {
                output.print(&status, || format_status(&status));
                return Ok(());
            }
            Ok(_) | Err(CtlError::Connection { .. }) => {}
            Err(CtlError::Node { status, .. }) if status.is_server_error() => {}
            Err(e) => return Err(e),
        }
        tokio::time::sleep(Duration::from_millis(WAIT_POLL_MS)).await;
    }
}

/// Returns whether a job has ended.
fn is_final(status: &Value) -> bool {
    let state = status["state"].as_str().unwrap_or_default();
    state.parse().is_ok_and(JobState::is_final)
}

/// Formats the state of a job as three lines: state, workers and reason.
fn format_status(status: &Value) -> String {
    let members = status["members"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let workers: Vec<_> = members
        .iter()
        .map(|member| format_cell(&member["worker"]))
        .collect();
    format!(
        "{} is {}\n  on {}\n  {}",
        format_cell(&status["job"]),
        format_cell(&status["state"]),
        if workers.is_empty() {
            "no worker".to_owned()
        } else {
            workers.join(" ")
        },
        format_cell(&status["why"]),
    )
}
