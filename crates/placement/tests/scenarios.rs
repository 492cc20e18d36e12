//! Golden scripts that drive placement in virtual time.
//!
//! They guard the exact decisions on reclaimed guarantees, failures, refusals and changes of the
//! hardware.

mod common;

use std::error::Error;
use std::fmt::Write;
use std::str::FromStr;

use common::*;
use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use model::prelude::*;
use placement::{Decision, Event, PlacementConfig};
use rstest::rstest;

struct Scenario(Site);

/// Formats the decisions since the last command, one a line.
fn print_decisions(log: &mut Vec<Decision>) -> Result<String, Box<dyn Error>> {
    let mut text = String::new();
    for decision in log.drain(..) {
        match decision {
            Decision::Start { job, members } => {
                write!(text, "start {}", job.sequence)?;
                for member in members {
                    write!(text, " {}:{:08b}", member.worker, member.accelerators.0)?;
                }
                writeln!(text)?;
            }
            Decision::Stop { job, grace_ms, why } => {
                writeln!(text, "stop {} grace {grace_ms} ms: {why:?}", job.sequence)?;
            }
            Decision::Refuse {
                job,
                reason,
                detail,
            } => {
                writeln!(text, "refuse {}: {reason}: {detail}", job.sequence)?;
            }
            Decision::Fail { job, detail } => writeln!(text, "fail {}: {detail}", job.sequence)?,
            Decision::Quarantine { worker, until_ms } => {
                writeln!(text, "quarantine {worker} until {until_ms} ms")?;
            }
            Decision::Release { worker } => writeln!(text, "release {worker}")?,
            Decision::Shortfall {
                organisation,
                level,
                missing,
            } => {
                writeln!(text, "shortfall of {organisation}: {missing} times {level}")?;
            }
            Decision::ShortfallEnded {
                organisation,
                level,
            } => {
                writeln!(text, "shortfall of {organisation} ended: {level}")?;
            }
        }
    }
    Ok(text)
}

/// Takes the argument `key`, or `default` when it is not given.
fn take_or_default<T: FromStr<Err: Error + 'static>>(
    args: &mut ArgumentConsumer<'_>,
    key: &str,
    default: T,
) -> Result<T, Box<dyn Error>> {
    args.take_key(key)
        .map_or(Ok(default), |value| Ok(value.parse()?))
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let site = &mut self.0;
        match command.name.as_str() {
            "submit" => {
                let organisation: String = args.next_pos().ok_or("organisation")?.to_owned();
                let members = take_or_default(&mut args, "members", 1)?;
                let accelerators_per_member = take_or_default(&mut args, "each", 1)?;
                let adjacency = take_or_default(&mut args, "adjacency", Adjacency::Worker)?;
                let mut spec = job_spec(
                    &organisation,
                    gang(members, accelerators_per_member, adjacency),
                );
                spec.checkpointable = take_or_default(&mut args, "saves", true)?;
                if take_or_default(&mut args, "once", false)? {
                    spec.ticket = Some("gyor.n1.1.7".parse()?);
                }
                let copies = take_or_default(&mut args, "copies", 1)?;
                for _ in 0..copies {
                    let job = site.submit(spec.clone());
                    if site.running.contains_key(&job) {
                        site.start(&job);
                    }
                }
            }
            "wait" => site.advance(args.next_pos().ok_or("time")?.parse::<u64>()?),
            "lose" | "leave" | "return" => {
                let name = name(args.next_pos().ok_or("worker")?);
                site.apply(match command.name.as_str() {
                    "lose" => Event::WorkerLost { name },
                    "leave" => Event::WorkerLeaving { name },
                    _ => Event::WorkerReturned { name },
                });
            }
            "why" => {
                let job = job_id(args.next_pos().ok_or("job")?.parse()?);
                let row = site.placement.job(&job).ok_or("no such job")?;
                return Ok(format!("{}: {}", row.state, row.why));
            }
            verb => {
                let job = job_id(args.next_pos().ok_or("job")?.parse()?);
                let worker = args.take_key("worker").map(name);
                match verb {
                    "started" => site.start(&job),
                    "finished" => site.end(&job.clone(), Event::Finished { job }),
                    "failed" => site.end(&job.clone(), Event::Failed { job, worker }),
                    "start-failed" => site.end(&job.clone(), Event::StartFailed { job, worker }),
                    "cancel" => site.apply(Event::Cancelled { job }),
                    "stopped" => {
                        let checkpoint_permille = take_or_default(&mut args, "saved", 0)?;
                        let event = Event::Stopped {
                            job: job.clone(),
                            checkpoint_permille,
                        };
                        site.end(&job, event);
                    }
                    other => return Err(format!("no command {other}").into()),
                }
            }
        }
        args.reject_next()?;
        print_decisions(&mut site.log)
    }
}

#[rstest]
#[case::reclaim("reclaim")]
#[case::failures("failures")]
#[case::refusals("refusals")]
#[case::hardware("hardware")]
fn run_script(#[case] script: &str) {
    let organisations = vec![
        organisation("north", &[(Level::TwoWorkers, 1)], 64),
        organisation("south", &[(Level::Four, 1)], 64),
        organisation("west", &[], 48),
    ];
    let workers = (0..4).map(|index| worker(index, 8));
    let site = Site::new(PlacementConfig::default(), organisations, workers);
    let path = format!("tests/scripts/{script}");
    goldenscript::run(&mut Scenario(site), path).expect("the script runs as written");
}
