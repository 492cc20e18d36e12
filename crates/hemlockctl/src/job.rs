//! `hemlockctl job`: gang jobs.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use clap::{Args, Subcommand};
use model::prelude::*;
use reqwest::Method;
use serde_json::{Value, json};

use crate::client::{Connection, CtlError};
use crate::output::{Output, cell};

/// Time between two looks at a job that is waited for, in milliseconds.
const WAIT_POLL_MS: u64 = 500;

/// A job as its node names it: an entry node's identifier, or the 16 hexadecimal digits of a node on the platform.
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

/// What to do with a job.
#[derive(Debug, Subcommand)]
pub(crate) enum JobCommand {
    /// Submits a job and prints its identifier.
    Submit(SubmitArgs),
    /// Shows where a job stands.
    Status {
        /// Identifier of the job.
        job: JobName,
    },
    /// Waits until a job has ended.
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
    /// Organisation that it runs for.
    #[arg(long)]
    organisation: OrganisationName,
    /// Number of members of the gang.
    #[arg(long)]
    members: u32,
    /// Accelerators of each member.
    #[arg(long, default_value_t = 1)]
    accelerators_per_member: u32,
    /// How close together the members have to be: worker, rack or data_centre.
    #[arg(long, default_value_t = Adjacency::DataCentre)]
    adjacency: Adjacency,
    /// Run time that is expected, in milliseconds.
    #[arg(long)]
    run_ms: u64,
    /// The tasks can save their state and be moved.
    #[arg(long)]
    checkpointable: bool,
    /// Ticket, so that the job runs at most once.
    #[arg(long)]
    ticket: Option<Ticket>,
    /// Text that is handed to every task.
    #[arg(long, default_value = "")]
    input: String,
}

/// Runs a command on jobs.
pub(crate) async fn run(
    connection: &Connection,
    output: &Output,
    command: &JobCommand,
) -> Result<(), CtlError> {
    match command {
        JobCommand::Submit(args) => submit(connection, output, args).await,
        JobCommand::Status { job } => {
            let status = call(connection, Method::GET, job).await?;
            output.print(&status, || describe(&status));
            Ok(())
        }
        JobCommand::Wait { job } => wait(connection, output, job).await,
        JobCommand::Cancel { job } => {
            let status = call(connection, Method::DELETE, job).await?;
            output.print(&status, || describe(&status));
            Ok(())
        }
    }
}

/// Submits a job.
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
        format!("{}{note}", cell(&reply["job"]))
    });
    Ok(())
}

/// Calls the node about one job.
async fn call(connection: &Connection, method: Method, job: &JobName) -> Result<Value, CtlError> {
    connection
        .call_json(method, &format!("/v1/jobs/{job}"), None)
        .await
}

/// Waits until a job has ended; a node that does not answer is asked again.
async fn wait(connection: &Connection, output: &Output, job: &JobName) -> Result<(), CtlError> {
    loop {
        match call(connection, Method::GET, job).await {
            Ok(status) if is_final(&status) => {
                output.print(&status, || describe(&status));
                return Ok(());
            }
            Ok(_) | Err(CtlError::Connection { .. }) => {}
            Err(CtlError::Node { status, .. }) if status.is_server_error() => {}
            Err(e) => return Err(e),
        }
        tokio::time::sleep(Duration::from_millis(WAIT_POLL_MS)).await;
    }
}

/// Whether a job has ended.
fn is_final(status: &Value) -> bool {
    let state = status["state"].as_str().unwrap_or_default();
    state.parse().is_ok_and(JobState::is_final)
}

/// A job in a few lines.
fn describe(status: &Value) -> String {
    let members = status["members"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let workers: Vec<_> = members
        .iter()
        .map(|member| cell(&member["worker"]))
        .collect();
    format!(
        "{} is {}\n  on {}\n  {}",
        cell(&status["job"]),
        cell(&status["state"]),
        if workers.is_empty() {
            "no worker".to_owned()
        } else {
            workers.join(" ")
        },
        cell(&status["why"]),
    )
}
