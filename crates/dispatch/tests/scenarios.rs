//! Runs the scripted scenarios of `tests/scripts`, one file each.
//!
//! Most scripts inject one or two faults (a lost, delayed or repeated message, a link that is cut,
//! a machine that dies or pauses) and state the expected outcome. The runners fail if an invariant
//! is violated after any command.

mod support;

use std::path::Path;

use goldenscript::Runner;
use rstest::rstest;
use support::script::{GangScript, TicketScript};

fn run_all<R: Runner>(directory: &str, fresh: impl Fn() -> R) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/scripts")
        .join(directory);
    let entries = std::fs::read_dir(&directory).expect("scripts");
    let mut paths: Vec<_> = entries.map(|entry| entry.expect("entry").path()).collect();
    paths.sort();
    assert!(!paths.is_empty());
    for path in paths {
        println!("{}", path.file_name().unwrap_or_default().to_string_lossy());
        goldenscript::run(&mut fresh(), &path).expect("script runs");
    }
}

#[rstest]
#[case("gangs")]
#[case("gangs-two-failures")]
fn scenarios_gangs(#[case] directory: &str) {
    run_all(directory, GangScript::new);
}

#[rstest]
#[case("tickets")]
#[case("tickets-two-failures")]
fn scenarios_tickets(#[case] directory: &str) {
    run_all(directory, TicketScript::new);
}
