//! Scenario language: runners that execute one command per line against a simulated site.

use std::collections::BTreeMap;
use std::error::Error;

use dispatch::gangs::GangConfig;
use goldenscript::{Argument, Command, Context, Runner};
use model::prelude::*;

use super::gang_world::{CallFault, GangWorld};
use super::ticket_world::{Fault, TicketWorld};
use super::{job_id, name};

type Output = Result<String, Box<dyn Error>>;

/// Splits a command into words; a line that starts with `>` is one name and is split at spaces.
fn split_words(command: &Command) -> Vec<String> {
    let mut words: Vec<String> = command.name.split_whitespace().map(str::to_owned).collect();
    words.extend(command.args.iter().map(|arg| match arg {
        Argument::Positional(value) => value.clone(),
        other => other.to_string(),
    }));
    words
}

/// Parses a duration such as `3s` or `250ms` into milliseconds.
fn parse_ms(raw: &str) -> Result<u64, Box<dyn Error>> {
    match raw.strip_suffix("ms") {
        Some(digits) => Ok(digits.parse()?),
        None => Ok(1_000 * raw.trim_end_matches('s').parse::<u64>()?),
    }
}

/// Fails unless `found`, printed, equals the words `wanted` joined by spaces.
fn expect_equal(what: &str, found: impl ToString, wanted: &[&str]) -> Output {
    let found = found.to_string();
    let wanted = wanted.join(" ");
    if found == wanted {
        return Ok(String::new());
    }
    Err(format!("{what} is {found}, expected {wanted}").into())
}

/// Parses the number at the end of an identifier such as `j1`.
fn parse_number(raw: &str) -> Result<u64, Box<dyn Error>> {
    Ok(raw
        .trim_start_matches(|c: char| !c.is_ascii_digit())
        .parse()?)
}

/// Runs scenarios of gangs on two planners and four workers.
pub struct GangScript {
    world: GangWorld,
    /// Number of log lines that earlier commands have printed.
    lines_reported: usize,
}

impl GangScript {
    pub fn new() -> Self {
        let config = GangConfig::default();
        let world = GangWorld::new(config, &["gyor-1", "gyor-2"], 4, 600_000);
        Self {
            world,
            lines_reported: 0,
        }
    }

    fn worker(&mut self, raw: &str) -> Result<&mut super::worker::Worker, Box<dyn Error>> {
        let worker = self.world.workers.get_mut(&name::<WorkerName>(raw));
        worker.ok_or_else(|| format!("no worker {raw}").into())
    }

    fn inject(&mut self, worker: &str, fault: CallFault) {
        self.world
            .faults
            .entry(name(worker))
            .or_default()
            .push(fault);
    }

    fn expect(&self, words: &[&str]) -> Output {
        let world = &self.world;
        match words {
            ["running", job, "=", rest @ ..] => {
                let id = job_id(parse_number(job)?);
                let running = world.running();
                let counts = running.iter().filter(|((job, _), _)| *job == id);
                expect_equal(
                    "running",
                    counts.map(|(_, (members, _))| members.len()).sum::<usize>(),
                    rest,
                )
            }
            ["runs", job, "=", rest @ ..] => {
                expect_equal("runs", world.runs(parse_number(job)?), rest)
            }
            ["leases", "=", rest @ ..] => expect_equal("leases", world.leases(), rest),
            ["alone", "<=", bound] if world.member_missing_max_ms <= parse_ms(bound)? => {
                Ok(String::new())
            }
            ["alone", ..] => {
                Err(format!("{} ms without a member", world.member_missing_max_ms).into())
            }
            _ => Err(format!("unknown expectation {words:?}").into()),
        }
    }

    fn execute(&mut self, words: &[&str]) -> Output {
        let now_ms = self.world.now_ms;
        match words {
            ["plan", node] => self.world.take_over(node),
            ["start", node, job, workers @ ..] => {
                self.world.start(node, parse_number(job)?, workers)
            }
            ["stop", node, job, grace] => {
                let (job, grace_ms) = (job_id(parse_number(job)?), parse_ms(grace)?);
                self.world
                    .with(node, |gangs| gangs.stop(now_ms, &job, grace_ms));
            }
            ["step", "down", node] => self.world.with(node, |gangs| gangs.step_down(now_ms)),
            ["advance", time] => self.world.run_until(now_ms + parse_ms(time)?),
            ["kill", "node", node] => {
                let planner = self.world.planners.get_mut(*node);
                planner.into_iter().for_each(|p| p.up = false);
            }
            ["pause", "node", node] => self.world.set_paused(node, true),
            ["resume", "node", node] => self.world.set_paused(node, false),
            ["kill", "worker", worker] => {
                let worker = self.worker(worker)?;
                worker.reboot();
                worker.up = false;
            }
            ["boot", "worker", worker] => self.worker(worker)?.up = true,
            ["pause", "worker", worker] => self.worker(worker)?.paused = true,
            ["resume", "worker", worker] => self.worker(worker)?.paused = false,
            ["leave", "worker", worker] => self.worker(worker)?.leaving = true,
            ["break", "prepare", worker] => self.worker(worker)?.prepare_fails = true,
            ["fail" | "finish", worker] => {
                let end = match words[0] {
                    "fail" => TaskEnd::Failed,
                    _ => TaskEnd::Finished,
                };
                let worker = self.worker(worker)?;
                let leases: Vec<LeaseId> = worker.leases.keys().copied().collect();
                leases.into_iter().for_each(|lease| worker.end(lease, end));
            }
            ["cut", node, worker] => {
                self.world.cuts.insert((node.to_string(), name(worker)));
            }
            ["heal", node, worker] => {
                self.world.cuts.remove(&(node.to_string(), name(worker)));
            }
            ["lose", "call", worker] => self.inject(worker, CallFault::LoseCall),
            ["lose", "answer", worker] => self.inject(worker, CallFault::LoseReply),
            ["double", "call", worker] => self.inject(worker, CallFault::Duplicate),
            ["delay", "call", worker, time] => {
                self.inject(worker, CallFault::Delay(parse_ms(time)?));
            }
            ["expect", rest @ ..] => return self.expect(rest),
            _ => return Err(format!("unknown command {words:?}").into()),
        }
        Ok(String::new())
    }
}

impl Runner for GangScript {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        let words = split_words(command);
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        self.execute(&words)?;
        if let Some(violation) = &self.world.violation {
            return Err(violation.clone().into());
        }
        let lines = self
            .world
            .log
            .split_off(self.lines_reported.min(self.world.log.len()));
        self.lines_reported = self.world.log.len();
        Ok(lines.join("\n"))
    }
}

/// Runs scenarios of once-only work on three entry nodes and three workers.
pub struct TicketScript {
    world: TicketWorld,
    tickets: BTreeMap<String, Ticket>,
}

impl TicketScript {
    pub fn new() -> Self {
        let world = TicketWorld::new(&["gyor-1", "gyor-2", "gyor-3"], 3);
        Self {
            world,
            tickets: BTreeMap::new(),
        }
    }

    fn ticket(&self, raw: &str) -> Result<Ticket, Box<dyn Error>> {
        let ticket = self.tickets.get(raw).cloned();
        ticket.ok_or_else(|| format!("no ticket {raw}").into())
    }

    fn worker(&mut self, raw: &str) -> Result<&mut super::worker::Worker, Box<dyn Error>> {
        let worker = self.world.workers.get_mut(&name::<WorkerName>(raw));
        worker.ok_or_else(|| format!("no worker {raw}").into())
    }

    fn inject(&mut self, kind: &str, fault: Fault) -> Output {
        const KINDS: [&str; 6] = [
            "call",
            "answer",
            "status",
            "status-answer",
            "hand-over",
            "fence-answer",
        ];
        let kind = KINDS.into_iter().find(|known| *known == kind);
        let kind = kind.ok_or("unknown kind of message")?;
        self.world.faults.entry(kind).or_default().push(fault);
        Ok(String::new())
    }

    fn expect(&self, words: &[&str]) -> Output {
        match words {
            ["runs", ticket, "=", rest @ ..] => {
                let runs = self.world.runs.get(&self.ticket(ticket)?);
                expect_equal("runs", runs.copied().unwrap_or(0), rest)
            }
            ["outcome", ticket, "=", rest @ ..] => {
                let outcomes = self.world.outcomes.get(&self.ticket(ticket)?);
                let last = outcomes.and_then(|o| o.last());
                expect_equal(
                    "outcome",
                    last.map_or("none".to_owned(), |o| format!("{o:?}")),
                    rest,
                )
            }
            _ => Err(format!("unknown expectation {words:?}").into()),
        }
    }

    fn execute(&mut self, words: &[&str]) -> Output {
        let now_ms = self.world.now_ms;
        match words {
            ["draw", node, ticket] => {
                let drawn = self.world.draw(node).ok_or("no ticket was drawn")?;
                self.tickets.insert(ticket.to_string(), drawn);
            }
            ["request", ticket, node, rest @ ..] => {
                let body = rest.first().copied().unwrap_or("body");
                let ticket = self.ticket(ticket)?;
                self.world.request(&ticket, node, body);
            }
            ["advance", time] => self.world.run_until(now_ms + parse_ms(time)?),
            ["kill", "node", node] => self.world.kill(node, false),
            ["restart", "node", node] => self.world.kill(node, true),
            ["kill", "worker", worker] => self.worker(worker)?.up = false,
            ["leave", "worker", worker] => self.worker(worker)?.leaving = true,
            ["hand", "over", from, to] => {
                if !self.world.hand_over(from, to) {
                    return Err("the tickets may be with another node".into());
                }
            }
            ["learn", node, issuer, holder] => self.world.learn_holder(node, issuer, holder),
            ["fence", by, issuer] => self.world.fence(by, issuer, Incarnation(1)),
            ["cut", a, b] => {
                self.world.cuts.insert((a.to_string(), b.to_string()));
            }
            ["heal", a, b] => {
                self.world.cuts.remove(&(a.to_string(), b.to_string()));
            }
            ["lose", kind] => return self.inject(kind, Fault::Lose),
            ["double", kind] => return self.inject(kind, Fault::Duplicate),
            ["cross", kind] => return self.inject(kind, Fault::Cross),
            ["damage", kind] => return self.inject(kind, Fault::Damage),
            ["delay", kind, time] => return self.inject(kind, Fault::Delay(parse_ms(time)?)),
            ["expect", rest @ ..] => return self.expect(rest),
            _ => return Err(format!("unknown command {words:?}").into()),
        }
        Ok(String::new())
    }
}

impl Runner for TicketScript {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        let words = split_words(command);
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let output = self.execute(&words)?;
        match self.world.violation() {
            Some(violation) => Err(violation.into()),
            None => Ok(output),
        }
    }
}
