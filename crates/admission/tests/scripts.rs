//! Golden scripts for load shedding, lanes, shares, retries, hedged attempts, worker faults and the
//! rows of peers.
//!
//! They guard the exact decisions of a node against unintended changes.

mod support;

use std::collections::BTreeMap;
use std::error::Error;

use admission::{
    Admission, AdmissionConfig, AttemptEnd, Decision, RequestKey, UsageRow, UsageSubject,
    WorkerCondition, WorkerKey,
};
use goldenscript::{Command, Context, Runner};
use model::prelude::*;
use support::{node, offer, poll};

type Output = Result<String, Box<dyn Error>>;

/// A node whose requests and workers have names.
struct Scenario {
    node: Admission,
    workers: Vec<WorkerKey>,
    requests: BTreeMap<String, RequestKey>,
    now_ms: u64,
}

impl Scenario {
    fn new() -> Self {
        let (node, workers) = node(AdmissionConfig::default(), 1);
        Self {
            node,
            workers,
            requests: BTreeMap::new(),
            now_ms: 0,
        }
    }

    fn name_of(&self, key: RequestKey) -> String {
        let named = self.requests.iter().find(|(_, other)| **other == key);
        named.map_or_else(|| "?".to_owned(), |(name, _)| name.clone())
    }

    fn worker(&self, name: &str) -> Result<WorkerKey, Box<dyn Error>> {
        let index: usize = name.trim_start_matches('w').parse()?;
        Ok(*self.workers.get(index).ok_or("no such worker")?)
    }

    fn poll(&mut self) -> String {
        let mut lines = Vec::new();
        for decision in poll(&mut self.node, self.now_ms) {
            lines.push(match decision {
                Decision::Start {
                    request,
                    worker,
                    hedge,
                } => {
                    let at = self.workers.iter().position(|&key| key == worker);
                    let hedge = if hedge { " as a hedge" } else { "" };
                    let at = at.unwrap_or(usize::MAX);
                    format!("start {} on w{at}{hedge}", self.name_of(request))
                }
                Decision::Reject { request, rejection } => {
                    format!("reject {}: {}", self.name_of(request), rejection)
                }
                Decision::Spill { request, rejection } => {
                    format!("spill {}: {}", self.name_of(request), rejection)
                }
            });
        }
        lines.iter().map(|line| format!("{line}\n")).collect()
    }

    fn offer(&mut self, name: &str, class: &str, organisation: &str, spilled: bool) -> Output {
        let offer = offer(self.now_ms, organisation, class);
        let offered = if spilled {
            self.node.offer_spilled(self.now_ms, offer)
        } else {
            self.node.offer(self.now_ms, offer)
        };
        match offered {
            Ok(key) => {
                self.requests.insert(name.to_owned(), key);
                Ok(String::new())
            }
            Err(rejection) => Ok(format!("{name} rejected: {rejection}\n")),
        }
    }

    fn merge(&mut self, owner: &str, sequence: u64, subject: &str, counts: [u32; 2]) -> Output {
        let subject = match subject.split_once(':') {
            Some(("organisation", name)) => UsageSubject::Organisation(name.try_into()?),
            Some(("class", name)) => UsageSubject::Class(name.try_into()?),
            Some(("worker", name)) => UsageSubject::Worker(name.try_into()?),
            _ => UsageSubject::Node,
        };
        let [in_flight, waiting] = counts;
        let row = UsageRow {
            subject,
            in_flight,
            waiting,
        };
        let owner = NodeName::try_from(owner)?;
        self.node
            .merge_rows(self.now_ms, &owner, sequence, vec![row]);
        Ok(String::new())
    }
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        let mut args = command.consume_args();
        let parse_or = |value: Option<&str>, other: u32| value.map_or(Ok(other), str::parse);
        let count = parse_or(args.take_key("count"), 1)?;
        let organisation = args.take_key("organisation").unwrap_or("north").to_owned();
        let spilled = args.take_key("spilled").is_some();
        let in_flight = parse_or(args.take_key("in-flight"), 0)?;
        let waiting = parse_or(args.take_key("waiting"), 0)?;
        let mut next = || args.next_pos().ok_or("an argument is missing");
        match command.name.as_str() {
            "node" => {
                let config = match next()? {
                    "baseline" => AdmissionConfig::baseline(),
                    "hedging" => AdmissionConfig {
                        hedging: true,
                        ..AdmissionConfig::default()
                    },
                    _ => AdmissionConfig::default(),
                };
                let workers = next()?.parse()?;
                (self.node, self.workers) = node(config, workers);
                Ok(String::new())
            }
            "at" => {
                self.now_ms = next()?.parse()?;
                Ok(self.poll())
            }
            "wake" => Ok(format!("{:?}\n", self.node.next_wake_ms())),
            "offer" => {
                let (name, class) = (next()?.to_owned(), next()?.to_owned());
                let mut output = String::new();
                for n in 0..count {
                    let name = if count == 1 {
                        name.clone()
                    } else {
                        format!("{name}{n}")
                    };
                    output += &self.offer(&name, &class, &organisation, spilled)?;
                }
                Ok(output + &self.poll())
            }
            "end" => {
                let key = *self.requests.get(next()?).ok_or("no such request")?;
                let worker = self.worker(next()?)?;
                let end = match next()? {
                    "answered" => AttemptEnd::Answered,
                    "failed" => AttemptEnd::Failed,
                    "refused" => AttemptEnd::RefusedByWorker,
                    "lost" => AttemptEnd::Lost,
                    other => return Err(format!("unknown end {other}").into()),
                };
                self.node.attempt_ended(self.now_ms, key, worker, end);
                Ok(String::new())
            }
            "retry" => {
                let key = *self.requests.get(next()?).ok_or("no such request")?;
                let reason: RetryReason = next()?.parse()?;
                Ok(match self.node.retry(self.now_ms, key, reason) {
                    Ok(backoff_ms) => format!("after {backoff_ms} ms\n"),
                    Err(rejection) => format!("rejected: {rejection}\n"),
                })
            }
            "finish" | "withdraw" => {
                let key = self.requests.remove(next()?).ok_or("no such request")?;
                self.node.finish(self.now_ms, key);
                Ok(self.poll())
            }
            "worker" => {
                let worker = self.worker(next()?)?;
                let condition = match next()? {
                    "accepting" => WorkerCondition::Accepting,
                    "leaving" => WorkerCondition::Leaving,
                    "suspect" => WorkerCondition::Suspect,
                    _ => WorkerCondition::Gone,
                };
                self.node.set_worker(self.now_ms, worker, condition);
                Ok(self.poll())
            }
            "sharing" => {
                self.node.set_entry_nodes(next()?.parse()?);
                Ok(String::new())
            }
            "peer" => {
                let (owner, sequence) = (next()?, next()?.parse()?);
                let subject = next()?;
                self.merge(owner, sequence, subject, [in_flight, waiting])?;
                Ok(self.poll())
            }
            "rows" => {
                let rows = self.node.rows(self.now_ms);
                let lines = rows.iter().map(|row| {
                    let UsageRow {
                        subject,
                        in_flight,
                        waiting,
                    } = row;
                    format!("{subject:?} in flight {in_flight} waiting {waiting}\n")
                });
                Ok(lines.collect())
            }
            "workers" => {
                let lines = self.node.workers().into_iter().map(|view| {
                    let (limit, peers) = (view.concurrency_limit, view.peers_in_flight);
                    format!(
                        "{} limit {limit} in flight {} peers {peers}\n",
                        view.worker, view.in_flight
                    )
                });
                Ok(lines.collect())
            }
            "queues" => {
                let lines = self.node.queues(self.now_ms).into_iter().map(|view| {
                    let within = if view.within_share { "within" } else { "over" };
                    format!(
                        "{} {} waiting {} {within}\n",
                        view.class, view.organisation, view.waiting
                    )
                });
                Ok(lines.collect())
            }
            other => Err(format!("unknown command {other}").into()),
        }
    }
}

#[rstest::rstest]
#[case::lanes("lanes")]
#[case::shares("shares")]
#[case::faults("faults")]
#[case::rows("rows")]
#[case::spill("spill")]
fn scenario_matches(#[case] name: &str) {
    let path = format!("tests/scripts/{name}");
    goldenscript::run(&mut Scenario::new(), path).unwrap();
}
