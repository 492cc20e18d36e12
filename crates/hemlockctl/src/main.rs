//! Command-line program for operators and callers, and runner of the benchmarks.

mod bench;
mod client;
mod declare;
mod fault;
mod job;
mod output;
mod query;
mod request;
mod soak;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use self::client::{Connection, CtlError};
use self::output::Output;

/// Talks to hemlockloft entry nodes and runs benchmarks of the scheduling code.
#[derive(Debug, Parser)]
#[command(name = "hemlockctl", version)]
struct Cli {
    #[command(flatten)]
    connection: Connection,
    /// Prints results and errors as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

/// Subcommands of `hemlockctl`.
#[derive(Debug, Subcommand)]
enum Command {
    /// Sends one request and prints the answer.
    Request(request::RequestArgs),
    /// Obtains tickets for work that must run at most once.
    Tickets(request::TicketArgs),
    /// Submits, inspects and cancels gang jobs.
    #[command(subcommand)]
    Job(job::JobCommand),
    /// Runs one query, such as `show jobs where state = waiting`.
    Show(query::ShowArgs),
    /// Opens an interactive prompt for the operator language, with history and completion.
    Console(query::ConsoleArgs),
    /// Shows what applying the declarations in a directory would change.
    Diff(declare::DiffArgs),
    /// Applies the declarations in a directory as one revision.
    Apply(declare::ApplyArgs),
    /// Shows the most recent changes of the declarations.
    History,
    /// Shows each node with its revision of the declarations and the age of that revision.
    Status,
    /// Injects, ends or lists faults of the simulated platform.
    Fault(fault::FaultArgs),
    /// Runs a benchmark: the policy and its baseline on the same generated load.
    Bench(bench::BenchArgs),
    /// Plays sites of real processes under faults drawn from seeds, and checks the promises.
    Soak(soak::SoakArgs),
    /// Runs a process of the soak.
    #[command(hide = true)]
    SoakStandin,
}

fn main() -> ExitCode {
    let Cli {
        connection,
        json,
        command,
    } = Cli::parse();
    let output = Output::new(json);
    let command = match command {
        Command::Bench(args) => return bench::run(&args, json),
        Command::Soak(args) => return soak::run(&args),
        Command::SoakStandin => return soak::run_standin(),
        other => other,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(&connection, &output, command)),
        Err(e) => Err(CtlError::Local {
            detail: e.to_string(),
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            output.print_error(&e);
            ExitCode::from(e.exit_code())
        }
    }
}

/// Runs a command that needs a connection to a node.
async fn run(connection: &Connection, output: &Output, command: Command) -> Result<(), CtlError> {
    match command {
        Command::Request(args) => request::send(connection, output, &args).await,
        Command::Tickets(args) => request::print_tickets(connection, output, &args).await,
        Command::Job(command) => job::run(connection, output, &command).await,
        Command::Show(args) => query::show(connection, output, &args).await,
        Command::Console(args) => query::console(connection, output, &args).await,
        Command::Diff(args) => declare::diff(connection, output, &args).await,
        Command::Apply(args) => declare::apply(connection, output, &args).await,
        Command::History => query::run_statement(connection, output, "show history").await,
        Command::Status => query::run_statement(connection, output, "show nodes").await,
        Command::Fault(args) => fault::run(output, &args).await,
        // `main` runs these itself, without a connection.
        Command::Bench(_) | Command::Soak(_) | Command::SoakStandin => Ok(()),
    }
}
