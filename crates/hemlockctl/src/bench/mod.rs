//! Benchmarks: each runs the policy and its baseline on the same generated load in virtual time,
//! and reports figures and goals; `capacity` measures the cost of the scheduling code instead.

mod capacity;
mod capacity_declarations;
mod capacity_gangs;
mod capacity_meter;
mod capacity_nodes;
mod capacity_placement;
mod capacity_target;
mod capacity_tickets;
mod completion;
mod crest;
mod fragmentation;
mod gang_figures;
mod gang_load;
mod gang_site;
mod plot;
mod reclaim;
#[allow(dead_code)]
mod report;
mod request_ablation;
mod request_counts;
mod request_figures;
mod request_load;
mod request_record;
mod request_sim;
mod short_work;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, ValueEnum};
use strum::Display;

pub(crate) use report::BenchReport;

/// Exit code if the plot cannot be drawn.
const EXIT_PLOT_FAILED: u8 = 2;

/// Arguments of `hemlockctl bench`.
#[derive(Debug, Args)]
pub(crate) struct BenchArgs {
    /// Benchmark to run.
    name: BenchName,
    /// Seed of the load generator; the same seed generates the same load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Deployment whose load is generated.
    #[arg(long, default_value_t = Deployment::Kovacsne)]
    deployment: Deployment,
    /// Draws waiting time and use over time, of the policy and the baseline, into this file.
    #[arg(long, value_name = "FILE.svg")]
    plot: Option<PathBuf>,
}

/// Names of the benchmarks.
#[derive(Debug, Clone, Copy, ValueEnum, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum BenchName {
    /// Peak load of twice the capacity for 30 seconds.
    Crest,
    /// Short work beside long work and stragglers.
    ShortWork,
    /// Completion time of gang jobs.
    Completion,
    /// Free accelerators that large gangs cannot use.
    Fragmentation,
    /// Time to reclaim guaranteed accelerators from preemptible work.
    Reclaim,
    /// Processor time, memory and messages of the scheduling code at growing sizes.
    Capacity,
}

/// Deployments whose load can be generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Deployment {
    /// Emergency rosters: short urgent requests beside long recomputations.
    Kovacsne,
    /// Recipe sweeps and simulations: gangs that run for hours.
    BlueMahoe,
}

/// Options of a benchmark.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BenchOptions {
    /// Seed of the load generator.
    pub(crate) seed: u64,
    /// Deployment whose load is generated.
    pub(crate) deployment: Deployment,
}

/// Runs one benchmark, prints its report and draws the plot if asked to.
///
/// Returns exit code 0 if every goal is met, 1 if not, and 2 if the plot cannot be drawn.
pub(crate) fn run(args: &BenchArgs, json: bool) -> ExitCode {
    let options = BenchOptions {
        seed: args.seed,
        deployment: args.deployment,
    };
    let report = match args.name {
        BenchName::Crest => crest::run(options),
        BenchName::ShortWork => short_work::run(options),
        BenchName::Completion => completion::run(options),
        BenchName::Fragmentation => fragmentation::run(options),
        BenchName::Reclaim => reclaim::run(options),
        BenchName::Capacity => capacity::run(options),
    };
    if json {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_table());
    }
    if let Some(path) = &args.plot
        && let Err(error) = plot::draw_curves(path, &report.curves)
    {
        eprintln!("cannot draw {}: {error}", path.display());
        return ExitCode::from(EXIT_PLOT_FAILED);
    }
    if report.meets_all_goals() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
