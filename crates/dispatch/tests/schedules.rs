//! Randomised schedules of faults over the state machines, reproducible by their seeds.
//!
//! They guard against combinations of faults that no scripted scenario covers. `HEMLOCK_SCHEDULES`
//! sets the number of schedules and `HEMLOCK_SEED` the first seed.

mod support;

use std::collections::BTreeMap;

use dispatch::gangs::GangConfig;
use model::prelude::*;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use support::gang_world::{CallFault, GangWorld};
use support::name;
use support::ticket_world::{Fault, Outcome, TicketWorld};

const SCHEDULES: u64 = 10_000;
const SEED: u64 = 1;
const THREADS: u64 = 4;
const GANG_STEPS: u32 = 40;
const TICKET_STEPS: u32 = 60;
const NODES: [&str; 3] = ["gyor-1", "gyor-2", "gyor-3"];
const WORKERS: [&str; 4] = ["w-0", "w-1", "w-2", "w-3"];

fn read_setting(variable: &str, default: u64) -> u64 {
    let value = std::env::var(variable).ok();
    value.map_or(default, |raw| raw.parse().expect("a number"))
}

fn pick<'a>(rng: &mut Pcg32, names: &[&'a str]) -> &'a str {
    names.choose(rng).expect("not empty")
}

/// Runs all schedules on [`THREADS`] threads; the results are in the order of their seeds.
fn run_all<T: Send>(run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let first = read_setting("HEMLOCK_SEED", SEED);
    let end = first + read_setting("HEMLOCK_SCHEDULES", SCHEDULES);
    println!("schedules with seeds {first} to {}", end - 1);
    let mut results: Vec<(u64, T)> = std::thread::scope(|scope| {
        let part = |thread| (first..end).filter(move |seed| seed % THREADS == thread);
        let run = &run;
        let spawn = |thread| {
            scope.spawn(move || {
                part(thread)
                    .map(|seed| (seed, run(seed)))
                    .collect::<Vec<_>>()
            })
        };
        let threads: Vec<_> = (0..THREADS).map(spawn).collect();
        let join = |t: std::thread::ScopedJoinHandle<'_, Vec<(u64, T)>>| t.join().expect("ran");
        threads.into_iter().flat_map(join).collect()
    });
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Simulates the daemon: replaces a planner that fails and takes over again after it stepped down.
struct Daemon {
    world: GangWorld,
    planner: &'static str,
    take_over_ms: Option<u64>,
}

impl Daemon {
    fn advance(&mut self, ms: u64) {
        let end_ms = self.world.now_ms + ms;
        if let Some(at_ms) = self.take_over_ms.filter(|at_ms| *at_ms <= end_ms) {
            self.world.run_until(at_ms.max(self.world.now_ms));
            self.take_over_ms = None;
            self.world
                .planners
                .get_mut(self.planner)
                .expect("known")
                .stepped_down = false;
            self.world.set_paused(self.planner, false);
            self.world.take_over(self.planner);
        }
        self.world.run_until(end_ms);
        if self.world.planners[self.planner].stepped_down && self.take_over_ms.is_none() {
            self.take_over_ms = Some(end_ms + 100);
        }
    }

    fn change_planner(&mut self, rng: &mut Pcg32) {
        self.planner = if self.planner == NODES[0] {
            NODES[1]
        } else {
            NODES[0]
        };
        self.take_over_ms = Some(self.world.now_ms + rng.random_range(500..4_000));
    }

    fn step(&mut self, rng: &mut Pcg32) {
        let worker = pick(rng, &WORKERS);
        let planner = self.planner;
        let now_ms = self.world.now_ms;
        let key = name::<WorkerName>(worker);
        let job = rng.random_range(1..4);
        match rng.random_range(0..20) {
            0..6 => {
                let count = rng.random_range(2..4);
                let members: Vec<&str> = WORKERS.sample(rng, count).copied().collect();
                if self.world.may_start(planner, job) {
                    self.world.start(planner, job, &members);
                }
            }
            6 => {
                let grace_ms = rng.random_range(0..4_000);
                let job = support::job_id(job);
                self.world
                    .with(planner, |gangs| gangs.stop(now_ms, &job, grace_ms));
            }
            7 => {
                let up = self.world.workers[&key].up;
                let entry = self.world.workers.get_mut(&key).expect("known");
                if up {
                    entry.reboot();
                }
                entry.up = !up;
            }
            8 => {
                self.world.set_paused(planner, true);
                self.change_planner(rng);
            }
            9 => {
                self.world.set_paused(NODES[0], false);
                self.world.set_paused(NODES[1], false);
            }
            10 => {
                self.world.cuts.insert((planner.to_owned(), key));
            }
            11 | 12 => self.world.cuts.clear(),
            13 => {
                let entry = self.world.workers.get_mut(&key).expect("known");
                entry.paused = !entry.paused;
            }
            14 => {
                let entry = self.world.workers.get_mut(&key).expect("known");
                entry.prepare_fails = !entry.prepare_fails;
            }
            _ => {
                let fault = match rng.random_range(0..4) {
                    0 => CallFault::LoseCall,
                    1 => CallFault::LoseReply,
                    2 => CallFault::Duplicate,
                    _ => CallFault::Delay(rng.random_range(0..1_498)),
                };
                self.world.faults.entry(key).or_default().push(fault);
            }
        }
    }
}

fn gang_schedule(seed: u64) -> (u64, u64, usize) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let run_ms = rng.random_range(5_000..120_000);
    let world = GangWorld::new(GangConfig::default(), &NODES[..2], 4, run_ms);
    let mut daemon = Daemon {
        world,
        planner: NODES[0],
        take_over_ms: Some(1_000),
    };
    for _ in 0..GANG_STEPS {
        let pause_ms = rng.random_range(1..2_000);
        daemon.advance(pause_ms);
        daemon.step(&mut rng);
        let violation = daemon.world.violation.as_ref();
        assert!(
            violation.is_none(),
            "seed {seed}: {violation:?}\n{}",
            daemon.world.log.join("\n")
        );
    }
    for planner in daemon.world.planners.values_mut() {
        planner.up = false;
    }
    let lease_ms = daemon.world.config.lease_ms;
    daemon
        .world
        .workers
        .values_mut()
        .for_each(|w| w.paused = false);
    daemon.world.run_until(daemon.world.now_ms + lease_ms);
    assert_eq!(
        daemon.world.leases(),
        0,
        "seed {seed}: a lease outlived every planner"
    );
    let world = daemon.world;
    (
        world.member_missing_max_ms,
        world.incomplete_max_ms,
        world.total_runs(),
    )
}

#[test]
fn schedules_gangs() {
    let results = run_all(gang_schedule);
    let missing_ms = results.iter().map(|(missing_ms, _, _)| *missing_ms).max();
    let incomplete_ms = results
        .iter()
        .map(|(_, incomplete_ms, _)| *incomplete_ms)
        .max();
    let runs: usize = results.iter().map(|(_, _, runs)| runs).sum();
    println!("gangs that ran: {runs}");
    println!("longest time without the same member: {missing_ms:?} ms");
    println!("longest time incomplete because of overlapping failures: {incomplete_ms:?} ms");
    assert!(runs > 0);
}

fn ticket_schedule(seed: u64) -> (u32, BTreeMap<String, u32>) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut world = TicketWorld::new(&NODES, 3);
    let mut tickets: Vec<Ticket> = Vec::new();
    for _ in 0..TICKET_STEPS {
        let (node, other) = (pick(&mut rng, &NODES), pick(&mut rng, &NODES));
        let ticket = tickets.choose(&mut rng).cloned();
        match (rng.random_range(0..20), ticket) {
            (0..4, _) => tickets.extend(world.draw(node)),
            (4..11, Some(ticket)) => world.request(&ticket, node, "body"),
            (11, _) => world.kill(node, rng.random()),
            (12, _) if node != other => {
                world.hand_over(node, other);
            }
            (13, _) => world.learn_holder(other, node, pick(&mut rng, &NODES)),
            (14, Some(ticket)) if !world.is_live(&ticket) => {
                world.fence(node, ticket.node.as_str(), ticket.incarnation);
            }
            (15, _) => {
                world.cuts.insert((node.to_owned(), other.to_owned()));
            }
            (16, _) => world.cuts.clear(),
            _ => {
                const KINDS: [&str; 6] = [
                    "call",
                    "answer",
                    "status",
                    "status-answer",
                    "hand-over",
                    "fence-answer",
                ];
                let fault = match rng.random_range(0..5) {
                    0 => Fault::Lose,
                    1 => Fault::Duplicate,
                    2 => Fault::Cross,
                    3 => Fault::Damage,
                    _ => Fault::Delay(rng.random_range(0..20_000)),
                };
                world
                    .faults
                    .entry(pick(&mut rng, &KINDS))
                    .or_default()
                    .push(fault);
            }
        }
        world.run_until(world.now_ms + rng.random_range(0..1_500));
        let violation = world.violation();
        assert!(violation.is_none(), "seed {seed}: {violation:?}");
    }
    world.run_until(world.now_ms + 60_000);
    assert_eq!(world.violation(), None, "seed {seed}");
    let mut outcomes = BTreeMap::new();
    for outcome in world.outcomes.values().flatten() {
        *outcomes.entry(format!("{outcome:?}")).or_default() += 1;
    }
    (world.runs.values().sum(), outcomes)
}

#[test]
fn schedules_tickets() {
    let results = run_all(ticket_schedule);
    let runs: u32 = results.iter().map(|(runs, _)| runs).sum();
    let mut outcomes: BTreeMap<String, u32> = BTreeMap::new();
    for (outcome, count) in results.iter().flat_map(|(_, outcomes)| outcomes) {
        *outcomes.entry(outcome.clone()).or_default() += count;
    }
    println!("runs: {runs}; second runs: 0; outcomes: {outcomes:?}");
    assert!(outcomes.contains_key(&format!("{:?}", Outcome::Answer)));
}
