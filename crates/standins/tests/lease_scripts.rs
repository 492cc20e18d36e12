//! Script tests of leases, tasks and gangs on several workers in virtual time.

use std::collections::BTreeMap;
use std::error::Error;
use std::str::FromStr;

use goldenscript::{Command, Context, Runner, run};
use model::prelude::*;
use rstest::rstest;
use standins::audit::GangAudit;
use standins::checkpoint::Checkpoints;
use standins::lease_table::LeaseTable;

type Outcome<T> = Result<T, Box<dyn Error>>;

/// Workers with their virtual clock, checkpoints and gang records.
#[derive(Debug, Default)]
struct LeaseRunner {
    now_ms: u64,
    workers: BTreeMap<String, LeaseTable>,
    checkpoints: Checkpoints,
    gangs: GangAudit,
}

impl LeaseRunner {
    /// Calls `f` on the worker that the prefix of a command names and records its task events.
    fn with_worker<T>(
        &mut self,
        context: &Context,
        f: impl FnOnce(&mut LeaseTable, u64, &mut Checkpoints) -> T,
    ) -> T {
        let name = context.prefix.clone().unwrap_or_default();
        let table = self
            .workers
            .entry(name)
            .or_insert_with(|| LeaseTable::new(8));
        let result = f(table, self.now_ms, &mut self.checkpoints);
        for event in table.take_events() {
            self.gangs.record(event);
        }
        result
    }

    /// Parses the lease operation of a command.
    fn parse_op(command: &Command) -> Outcome<LeaseOp> {
        let op = match command.name.as_str() {
            "reserve" => LeaseOp::Reserve {
                job: format!(
                    "j.gyor.gyor-e1.1.{}",
                    parse_arg(command, "job")?.unwrap_or(0)
                )
                .parse()?,
                member: parse_arg(command, "member")?.unwrap_or(0),
                members: parse_arg(command, "members")?.unwrap_or(1),
                accelerators: AcceleratorMask(parse_arg(command, "mask")?.unwrap_or(1)),
                duration_ms: parse_arg(command, "duration_ms")?.unwrap_or(10_000),
                spec: serde_json::from_value(serde_json::json!({
                    "class": "cover-recompute",
                    "organisation": "north",
                    "gang": {"members": 2, "accelerators_per_member": 1, "adjacency": "rack"},
                    "run_ms_declared": parse_arg::<u64>(command, "run_ms")?.unwrap_or(1_000),
                    "checkpointable": parse_arg(command, "checkpointable")?.unwrap_or(false),
                    "input": parse_arg::<String>(command, "input")?.unwrap_or_default(),
                }))?,
            },
            "prepare" => LeaseOp::Prepare,
            "release" => LeaseOp::Release,
            "renew" => LeaseOp::Renew {
                duration_ms: parse_arg(command, "duration_ms")?.unwrap_or(10_000),
            },
            "checkpoint" => LeaseOp::Checkpoint,
            "throttle" => LeaseOp::Throttle {
                percent: parse_arg(command, "percent")?.unwrap_or(100),
            },
            "stop" => LeaseOp::Stop {
                grace_ms: parse_arg(command, "grace_ms")?.unwrap_or(0),
            },
            "return" => LeaseOp::Return,
            other => return Err(format!("no command {other}").into()),
        };
        Ok(op)
    }

    /// Ends the leases and tasks that are due on all workers.
    fn advance(&mut self) {
        for table in self.workers.values_mut() {
            table.advance(self.now_ms, &mut self.checkpoints);
            for event in table.take_events() {
                self.gangs.record(event);
            }
        }
    }
}

impl Runner for LeaseRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, context: &Context) -> Outcome<String> {
        let mut args = command.consume_args();
        let on = parse_arg(command, "on")?.unwrap_or(true);
        match command.name.as_str() {
            "at" => {
                self.now_ms = args.next_pos().ok_or("time missing")?.parse()?;
                self.advance();
            }
            "crash" => self.with_worker(context, |w, now_ms, saved| w.crash(now_ms, saved)),
            "pause" => self.with_worker(context, |w, now_ms, c| w.set_paused(now_ms, on, c)),
            "leaving" => self.with_worker(context, |w, _, _| w.set_leaving(on)),
            "fails_all" => self.with_worker(context, |w, _, _| w.set_fails_all(on)),
            "inventory" => {
                let inventory =
                    self.with_worker(context, |w, now_ms, _| w.inventory(now_ms, 1, 8, 64));
                let held = inventory.leases.iter().map(|l| {
                    format!(
                        "lease {} {} {} ms left, ran {} ms\n",
                        l.lease.0, l.state, l.remaining_ms, l.run_ms
                    )
                });
                let ended = inventory
                    .ended
                    .iter()
                    .map(|e| format!("lease {} {}\n", e.lease.0, e.end));
                return Ok(held.chain(ended).collect());
            }
            "gangs" => {
                let reports = self.gangs.reports(self.now_ms);
                return Ok(reports
                    .iter()
                    .map(|g| {
                        format!(
                            "{} running={} finished={} runs={:?} partial_ms_max={}\n",
                            g.job, g.running, g.finished, g.runs, g.partial_ms_max
                        )
                    })
                    .collect());
            }
            _ => {
                let term = PlannerTerm {
                    number: parse_arg(command, "term")?.unwrap_or(1),
                    salt: 0,
                };
                let lease = LeaseId(args.next_pos().ok_or("lease missing")?.parse()?);
                let op = Self::parse_op(command)?;
                let lease_command = LeaseCommand { lease, term, op };
                let reply = self.with_worker(context, |w, now_ms, saved| {
                    w.apply(now_ms, lease_command, saved)
                });
                return Ok(format!("{reply:?}\n"));
            }
        }
        Ok(String::new())
    }
}

/// Parses the argument `key` of a command.
fn parse_arg<T: FromStr<Err: Error + 'static>>(
    command: &Command,
    key: &str,
) -> Result<Option<T>, Box<dyn Error>> {
    let value = command.consume_args().take_key(key);
    Ok(value.map(str::parse).transpose()?)
}

#[rstest]
#[case::life("life")]
#[case::terms("terms")]
#[case::expiry("expiry")]
#[case::checkpoints("checkpoints")]
#[case::gangs("gangs")]
fn scripts_leases(#[case] name: &str) {
    run(
        &mut LeaseRunner::default(),
        format!("tests/scripts/leases/{name}"),
    )
    .unwrap();
}
