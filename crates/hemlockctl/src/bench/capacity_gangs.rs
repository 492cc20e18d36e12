//! Measures the cost of leases at a given number of workers: starts, renewals and takeover.

use std::collections::BTreeMap;

use dispatch::gangs::{GangConfig, GangOutput, Gangs};
use model::job::RawGangShape;
use model::prelude::*;

use super::capacity_meter::measure_cpu_us;

/// Leases per 13 workers at the target: 95,000 tasks on 13,000 workers.
const LEASES_PER_13_WORKERS: usize = 95;

/// Numbers of members of the gangs, in turn.
const GANG_MEMBERS: [u32; 5] = [1, 2, 8, 16, 128];

/// Number of renewal periods to measure.
const RENEWAL_PERIODS: u64 = 3;

/// Cost of leases at one number of workers; times are in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LeaseCost {
    /// Number of leases.
    pub(super) leases: f64,
    /// Processor time of starting one member.
    pub(super) start_us: f64,
    /// Processor time of renewing one lease once.
    pub(super) renew_us: f64,
    /// Processor time of renewals per second.
    pub(super) renewals_us_per_s: f64,
    /// Calls to workers per second.
    pub(super) calls_per_s: f64,
    /// Bytes of renewals and their replies per second, without HTTP headers.
    pub(super) renewal_bytes_per_s: f64,
    /// Processor time of taking over all leases at a change of the planner.
    pub(super) take_over_us: f64,
    /// Bytes of the inventories of all workers.
    pub(super) inventory_bytes: f64,
}

/// Leases held by each worker.
type HeldLeases = BTreeMap<WorkerName, Vec<LeaseView>>;

fn build_worker_names(workers: usize) -> Vec<WorkerName> {
    (0..workers)
        .filter_map(|index| {
            format!("gyor-r{}-w{}", index / 8, index % 8)
                .try_into()
                .ok()
        })
        .collect()
}

fn build_job_spec(members: u32) -> Option<JobSpec> {
    let gang = RawGangShape {
        members,
        accelerators_per_member: 1,
        adjacency: Adjacency::DataCentre,
    };
    Some(JobSpec {
        class: "rota-rebuild".try_into().ok()?,
        organisation: "county-desks".try_into().ok()?,
        gang: gang.try_into().ok()?,
        run_ms_declared: 14_400_000,
        checkpointable: true,
        ticket: None,
        input: "s3://rosters/2026-12/input".to_owned(),
    })
}

fn build_inventory(leases: Vec<LeaseView>) -> Inventory {
    Inventory {
        boot: 1,
        highest_term: PlannerTerm::default(),
        leaving: false,
        accelerators: ACCELERATORS_PER_WORKER,
        slots: 8,
        connections_max: 64,
        leases,
        ended: Vec::new(),
    }
}

fn create_gangs(incarnation: u64) -> Option<Gangs> {
    let node = "gyor-n1".try_into().ok()?;
    let incarnation = Incarnation(incarnation);
    Some(Gangs::new(GangConfig::default(), node, incarnation, 7))
}

/// Numbers of calls and commands sent to workers.
#[derive(Debug, Clone, Copy, Default)]
struct CallCounts {
    calls: u64,
    commands: u64,
}

/// Answers all output of `gangs` in place of workers that grant every command.
fn answer_outputs(gangs: &mut Gangs, now_ms: u64, held: &mut HeldLeases) -> CallCounts {
    let mut sent = CallCounts::default();
    while let Some(output) = gangs.poll() {
        match output {
            GangOutput::AskInventory { worker } => {
                let leases = held.get(&worker).cloned().unwrap_or_default();
                gangs.on_inventory(now_ms, &worker, Ok(build_inventory(leases)));
            }
            GangOutput::Call {
                call,
                worker,
                commands,
            } => {
                sent.calls += 1;
                sent.commands += commands.len() as u64;
                let replies = commands
                    .into_iter()
                    .map(|command| grant_command(held, &worker, command))
                    .collect();
                gangs.on_replies(now_ms, &worker, call, Ok(replies));
            }
            _ => {}
        }
    }
    sent
}

/// Returns the reply of a worker that grants `command`, and records a reserved lease in `held`.
fn grant_command(held: &mut HeldLeases, worker: &WorkerName, command: LeaseCommand) -> LeaseReply {
    let state = match command.op {
        LeaseOp::Reserve {
            job,
            member,
            members,
            accelerators,
            duration_ms,
            spec,
        } => {
            let leases = held.entry(worker.clone()).or_default();
            leases.push(LeaseView {
                lease: command.lease,
                job,
                member,
                members,
                accelerators,
                state: LeaseState::Running,
                remaining_ms: duration_ms,
                run_ms: 1_000,
                checkpoint_permille: 0,
                spec,
            });
            LeaseState::Reserved
        }
        LeaseOp::Prepare => LeaseState::Prepared,
        _ => LeaseState::Running,
    };
    LeaseReply::Granted {
        state,
        checkpoint_permille: 0,
    }
}

/// Starts gangs until the workers hold their share of leases; returns the number of members.
fn start_gangs(gangs: &mut Gangs, names: &[WorkerName], held: &mut HeldLeases) -> usize {
    let leases = names.len() * LEASES_PER_13_WORKERS / 13;
    let mut started = 0;
    for (index, members) in GANG_MEMBERS.iter().cycle().enumerate() {
        let count = (*members as usize).min(leases - started);
        if count == 0 {
            break;
        }
        let job = format!("j.gyor.n1.1.{index}").parse();
        let (Ok(job), Some(spec)) = (job, build_job_spec(count as u32)) else {
            break;
        };
        let placed = (started..started + count)
            .map(|slot| {
                let mask = AcceleratorMask(1 << (slot / names.len()));
                (names[slot % names.len()].clone(), mask)
            })
            .collect();
        gangs.start(1_000, job, spec, placed);
        answer_outputs(gangs, 1_000, held);
        started += count;
    }
    started
}

/// Returns the number of bytes of one renewal and its reply as JSON.
fn count_renewal_bytes(held: &HeldLeases) -> f64 {
    let lease = held.values().flatten().next().map(|view| view.lease);
    let command = LeaseCommand {
        lease: lease.unwrap_or(LeaseId(u64::MAX)),
        term: PlannerTerm {
            number: 7,
            salt: u32::MAX,
        },
        op: LeaseOp::Renew {
            duration_ms: GangConfig::default().grant_ms(),
        },
    };
    let reply = LeaseReply::Granted {
        state: LeaseState::Running,
        checkpoint_permille: 500,
    };
    let length = |text: serde_json::Result<String>| text.map_or(0.0, |text| text.len() as f64);
    length(serde_json::to_string(&command)) + length(serde_json::to_string(&reply))
}

/// Builds a planner that has started gangs on all workers of `names`; returns it with the leases of
/// the workers, the number of members and the processor time of the starts in microseconds.
fn build_started(names: &[WorkerName]) -> Option<(Gangs, HeldLeases, usize, f64)> {
    let mut held = HeldLeases::new();
    let mut gangs = create_gangs(1)?;
    gangs.take_over(0, names);
    answer_outputs(&mut gangs, 0, &mut held);
    let (members, start_us) = measure_cpu_us(|| start_gangs(&mut gangs, names, &mut held));
    Some((gangs, held, members, start_us))
}

/// Builds the planner's gang state with leases on `workers` workers.
pub(super) fn build_gangs(workers: usize) -> Option<Gangs> {
    let (gangs, held, ..) = build_started(&build_worker_names(workers))?;
    drop(held);
    Some(gangs)
}

/// Measures the leases of one planner on `workers` workers.
pub(super) fn measure(workers: usize) -> Option<LeaseCost> {
    let names = build_worker_names(workers);
    let (mut gangs, mut held, members, start_us) = build_started(&names)?;
    let renew_ms = GangConfig::default().renew_ms;
    let until_ms = 1_000 + renew_ms * (RENEWAL_PERIODS + 1);
    let measure_from_ms = 1_000 + renew_ms;
    let mut sent = CallCounts::default();
    let mut renew_us = 0.0;
    while let Some(now_ms) = gangs.next_wake_ms().filter(|wake_ms| *wake_ms < until_ms) {
        let (step, us) = measure_cpu_us(|| {
            gangs.tick(now_ms);
            answer_outputs(&mut gangs, now_ms, &mut held)
        });
        if now_ms >= measure_from_ms {
            sent.calls += step.calls;
            sent.commands += step.commands;
            renew_us += us;
        }
    }
    let measured_s = (renew_ms * RENEWAL_PERIODS) as f64 / 1_000.0;
    let mut successor = create_gangs(2)?;
    let ((), take_over_us) = measure_cpu_us(|| {
        successor.take_over(until_ms, &names);
        answer_outputs(&mut successor, until_ms, &mut held);
    });
    let inventory_bytes = held
        .values()
        .map(|leases| serde_json::to_string(&build_inventory(leases.clone())))
        .map(|text| text.map_or(0.0, |text| text.len() as f64))
        .sum();
    Some(LeaseCost {
        leases: members as f64,
        start_us: start_us / members as f64,
        renew_us: renew_us / sent.commands.max(1) as f64,
        renewals_us_per_s: renew_us / measured_s,
        calls_per_s: sent.calls as f64 / measured_s,
        renewal_bytes_per_s: sent.commands as f64 * count_renewal_bytes(&held) / measured_s,
        take_over_us,
        inventory_bytes,
    })
}
