//! The program `hemlockd`: runs an entry node, a node on the platform, or a whole site on loopback.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use hemlockd::dev::DevArgs;
use hemlockd::settings::Settings;
use hemlockd::{Node, dev, start_logs};
use tokio::signal::unix::{SignalKind, signal};

/// Schedules multi-accelerator jobs and requests under organisation guarantees.
#[derive(Debug, Parser)]
#[command(name = "hemlockd", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// Subcommands.
#[derive(Debug, Subcommand)]
enum Command {
    /// Runs an entry node.
    Run {
        /// Settings file, JSON with comments.
        #[arg(long)]
        settings: PathBuf,
        /// Only check the settings.
        #[arg(long)]
        check: bool,
    },
    /// Runs a node on the platform.
    Serve {
        /// Settings file, JSON with comments; the platform names it in the environment.
        #[arg(long, env = adapter::SETTINGS_VARIABLE)]
        settings: PathBuf,
        /// Only check the settings.
        #[arg(long)]
        check: bool,
    },
    /// Runs a whole site on loopback: stand-in platform, workers and entry nodes.
    Dev(DevArgs),
}

/// Exit code for a runtime failure.
const EXIT_FAILED: u8 = 1;

/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Run { settings, check } => run(&settings, check),
        Command::Serve { settings, check } => serve(&settings, check),
        Command::Dev(args) => match runtime() {
            Ok(runtime) => ExitCode::from(runtime.block_on(dev::run(args))),
            Err(e) => fail(&format!("cannot start the runtime: {e}")),
        },
    }
}

/// Prints an error and returns the exit code.
fn fail(message: &str) -> ExitCode {
    eprintln!("hemlockd: {message}");
    ExitCode::from(EXIT_FAILED)
}

/// Builds the runtime of the process.
fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
}

/// Reads a settings file; prints the error if it cannot be read.
fn read_file(path: &std::path::Path) -> Result<String, ExitCode> {
    std::fs::read_to_string(path).map_err(|e| {
        eprintln!("{}: {e}", path.display());
        ExitCode::from(EXIT_USAGE)
    })
}

/// Reads the settings and runs an entry node until a signal stops it.
fn run(path: &std::path::Path, check: bool) -> ExitCode {
    let file = path.display().to_string();
    let text = match read_file(path) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let settings = match Settings::parse(&file, &text) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if check {
        println!("{file}: the settings are valid");
        return ExitCode::SUCCESS;
    }
    let logger = match start_logs(&settings.log) {
        Ok(logger) => logger,
        Err(e) => return fail(&format!("cannot start the log: {e}")),
    };
    let code = match runtime() {
        Ok(runtime) => runtime.block_on(run_node(settings)),
        Err(e) => fail(&format!("cannot start the runtime: {e}")),
    };
    logger.flush();
    code
}

/// Reads the settings and runs a node on the platform, on one thread, until a signal stops it.
fn serve(path: &std::path::Path, check: bool) -> ExitCode {
    let file = path.display().to_string();
    let text = match read_file(path) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let settings = match control::Settings::parse(&file, &text) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if check {
        println!("{file}: the settings are valid");
        return ExitCode::SUCCESS;
    }
    let log = match control::Log::start(&settings.name) {
        Ok(log) => log,
        Err(e) => return fail(&format!("cannot start the log: {e}")),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime.map(|runtime| runtime.block_on(control::serve(settings, log))) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(e)) => fail(&e.to_string()),
        Err(e) => fail(&format!("cannot start the runtime: {e}")),
    }
}

/// Runs a node until a signal starts its planned stop; a second signal ends the process at once.
async fn run_node(settings: Settings) -> ExitCode {
    let node = match Node::start(settings).await {
        Ok(node) => node,
        Err(e) => return fail(&e.to_string()),
    };
    if let Err(e) = wait_for_signal().await {
        return fail(&format!("cannot wait for signals: {e}"));
    }
    tokio::select! {
        () = node.stop() => ExitCode::SUCCESS,
        _ = wait_for_signal() => fail("stopped at once by a second signal"),
    }
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
