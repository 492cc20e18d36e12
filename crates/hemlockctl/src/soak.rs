//! `hemlockctl soak`: plays seeds of the fault soak on real processes, and prints what they broke.

use std::collections::BTreeMap;
use std::num::ParseIntError;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::{Duration, Instant};

use clap::Args;
use soak::{FaultKind, Outcome, PlayError, PlayOptions, Programs, play};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;

/// Exit code if a seed could not be played.
const EXIT_NOT_RUN: u8 = 2;

/// Processes beside the workers: three nodes and the store.
const OTHER_PROCESSES: usize = 4;

/// Fewest workers of a site.
const FEWEST_WORKERS: usize = 2;

/// Arguments of `hemlockctl soak`.
#[derive(Debug, Args)]
pub(crate) struct SoakArgs {
    /// Seeds to play, as FIRST..LAST, both included.
    #[arg(long, value_name = "A..B")]
    seeds: SeedRange,
    /// Starts no more seeds after this time.
    #[arg(long, default_value_t = 30)]
    minutes: u64,
    /// Processes of a site: three nodes, a store, and workers.
    #[arg(long, default_value_t = 12)]
    processes: usize,
    /// Seeds played at the same time.
    #[arg(long, default_value_t = 2)]
    at_once: usize,
    /// Time in which faults begin, in seconds.
    #[arg(long, default_value_t = 25)]
    fault_seconds: u64,
    /// Mean time between two faults, in milliseconds.
    #[arg(long, default_value_t = 1_500)]
    mean_gap_ms: u64,
    /// Kinds of faults to draw from, such as `power-loss,worker-leaves-cut-off`; all if none is named.
    #[arg(long, value_delimiter = ',')]
    kinds: Vec<FaultKind>,
    /// The node's program; by default `hemlockd` beside this program.
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// Folder for the stories of failures.
    #[arg(long, default_value = "target/soak")]
    stories: PathBuf,
    /// Keeps the folders of the plays, with logs and notes, in the folder for temporary files.
    #[arg(long)]
    keep: bool,
}

/// Seeds from the first to the last.
#[derive(Debug, Clone, Copy)]
struct SeedRange {
    first: u64,
    last: u64,
}

impl FromStr for SeedRange {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<SeedRange, ParseIntError> {
        let (first, last) = text.split_once("..").unwrap_or((text, text));
        Ok(SeedRange {
            first: first.parse()?,
            last: last.parse()?,
        })
    }
}

/// What came of all seeds.
#[derive(Debug, Default)]
struct Summary {
    held: usize,
    broken: BTreeMap<u64, Vec<String>>,
    not_run: usize,
    /// Seeds that broke each promise.
    promises: BTreeMap<&'static str, usize>,
}

/// Plays the seeds; exit code 0 if all promises were held, 1 if not, 2 if a seed could not be played.
pub(crate) fn run(args: &SoakArgs) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run_until_signal(args)),
        Err(e) => Err(PlayError::Io(e)),
    };
    result.unwrap_or_else(|e| {
        eprintln!("hemlockctl: {e}");
        ExitCode::from(EXIT_NOT_RUN)
    })
}

/// Runs a stand-in, if this program was started as one.
pub(crate) fn run_standin() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = runtime.and_then(|runtime| {
        let result = runtime.block_on(platform_standin::run_standin());
        runtime.shutdown_background();
        result
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_NOT_RUN),
        Err(e) => {
            eprintln!("hemlockctl: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Plays the seeds until a signal comes, which ends all processes of the plays.
async fn run_until_signal(args: &SoakArgs) -> Result<ExitCode, PlayError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        code = play_seeds(args) => code,
        _ = terminate.recv() => Ok(ExitCode::from(EXIT_NOT_RUN)),
        _ = interrupt.recv() => Ok(ExitCode::from(EXIT_NOT_RUN)),
    }
}

async fn play_seeds(args: &SoakArgs) -> Result<ExitCode, PlayError> {
    let own = std::env::current_exe()?;
    let options = PlayOptions {
        programs: Programs {
            daemon: args
                .daemon
                .clone()
                .unwrap_or_else(|| own.with_file_name("hemlockd")),
            standin: vec![own.into_os_string(), "soak-standin".into()],
        },
        workers: args
            .processes
            .saturating_sub(OTHER_PROCESSES)
            .max(FEWEST_WORKERS),
        faults_ms: args.fault_seconds * 1_000,
        mean_gap_ms: args.mean_gap_ms,
        kinds: match args.kinds.is_empty() {
            true => FaultKind::all(),
            false => args.kinds.clone(),
        },
        stories: args.stories.clone(),
        keep: args.keep,
    };
    let end = Instant::now() + Duration::from_secs(args.minutes * 60);
    let mut seeds = args.seeds.first..=args.seeds.last;
    let mut plays = JoinSet::new();
    let mut summary = Summary::default();
    loop {
        while plays.len() < args.at_once.max(1) && Instant::now() < end {
            let Some(seed) = seeds.next() else {
                break;
            };
            let options = options.clone();
            plays.spawn(async move { (seed, play(seed, &options).await) });
        }
        match plays.join_next().await {
            Some(Ok((seed, result))) => summary.add(seed, result),
            Some(Err(e)) => {
                println!("a play ended by itself: {e}");
                summary.not_run += 1;
            }
            None => break,
        }
    }
    Ok(summary.print())
}

impl Summary {
    fn add(&mut self, seed: u64, result: Result<Outcome, PlayError>) {
        match result {
            Ok(outcome) => {
                let (jobs, starts, faults) = (outcome.jobs, outcome.starts, outcome.faults);
                let verdict = if outcome.broken.is_empty() {
                    "held"
                } else {
                    "broken"
                };
                println!("seed {seed}: {verdict}; {jobs} jobs, {starts} starts, {faults} faults");
                for one in &outcome.broken {
                    println!("  {}: {} {}", one.promise, one.subject, one.detail);
                }
                if let Some(story) = &outcome.story {
                    println!("  story in {}", story.display());
                }
                self.count(&outcome);
            }
            Err(e) => {
                println!("seed {seed}: not run: {e}");
                self.not_run += 1;
            }
        }
    }

    fn count(&mut self, outcome: &Outcome) {
        let mut promises: Vec<&'static str> = outcome.broken.iter().map(|b| b.promise).collect();
        promises.sort_unstable();
        promises.dedup();
        for promise in &promises {
            *self.promises.entry(promise).or_default() += 1;
        }
        match promises.is_empty() {
            true => self.held += 1,
            false => {
                let names = promises.iter().map(|name| name.to_string()).collect();
                self.broken.insert(outcome.seed, names);
            }
        }
    }

    fn print(&self) -> ExitCode {
        let (held, broken, not_run) = (self.held, self.broken.len(), self.not_run);
        println!("{held} held, {broken} broken, {not_run} not run");
        for (promise, seeds) in &self.promises {
            println!("  {promise}: broken in {seeds}");
        }
        match (broken, not_run) {
            (0, 0) => ExitCode::SUCCESS,
            (0, _) => ExitCode::from(EXIT_NOT_RUN),
            _ => ExitCode::FAILURE,
        }
    }
}
