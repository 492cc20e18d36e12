//! Bounded model checking of the production state machines by exhaustive exploration.
//!
//! A state is identified by a hash of the printed form of all state machines and messages, and
//! stored as the path of steps that led to it, which serves as its trace. `HEMLOCK_DEPTH` deepens
//! the exploration. Two tests plant a bug and require that the exploration finds it.

mod support;

use std::hash::{DefaultHasher, Hash, Hasher};

use dispatch::gangs::GangConfig;
use model::prelude::*;
use pathfinding::directed::bfs::bfs_reach;
use support::gang_world::GangWorld;
use support::ticket_world::TicketWorld;
use support::{job_id, name};

/// A protocol to explore: its initial state, its steps and its invariants.
trait Protocol {
    type World;
    type Step: Clone + std::fmt::Debug;

    fn start(&self) -> Self::World;
    fn steps(&self, world: &Self::World, path: &[Self::Step]) -> Vec<Self::Step>;
    fn apply(&self, world: &mut Self::World, step: &Self::Step);
    fn violation(&self, world: &Self::World) -> Option<String>;
    fn print(&self, world: &Self::World) -> String;
}

#[derive(Debug, Clone)]
struct State<S> {
    key: [u64; 2],
    path: Vec<S>,
    violation: Option<String>,
}

impl<S> PartialEq for State<S> {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl<S> Eq for State<S> {}

impl<S> Hash for State<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key.hash(hasher);
    }
}

fn build_state<P: Protocol>(protocol: &P, path: Vec<P::Step>) -> (State<P::Step>, P::World) {
    let mut world = protocol.start();
    for step in &path {
        protocol.apply(&mut world, step);
    }
    // The steps that are still possible depend on how often each bounded step was taken.
    let printed = format!(
        "{}{:?}",
        protocol.print(&world),
        protocol.steps(&world, &path)
    );
    let key = [0u8, 1].map(|salt| {
        let mut hasher = DefaultHasher::new();
        (salt, &printed).hash(&mut hasher);
        hasher.finish()
    });
    let violation = protocol.violation(&world);
    (
        State {
            key,
            path,
            violation,
        },
        world,
    )
}

/// Explores all states up to `depth` steps; returns their number and the first state that violates
/// an invariant.
fn explore<P: Protocol>(protocol: &P, depth: usize) -> (usize, Option<State<P::Step>>) {
    let (first, _) = build_state(protocol, Vec::new());
    let successors = |from: &State<P::Step>| {
        if from.path.len() >= depth || from.violation.is_some() {
            return Vec::new();
        }
        let (_, world) = build_state(protocol, from.path.clone());
        let steps = protocol.steps(&world, &from.path);
        let follow = |step| {
            let path = from.path.iter().cloned().chain([step]).collect();
            build_state(protocol, path).0
        };
        steps.into_iter().map(follow).collect()
    };
    let mut count = 0;
    for reached in bfs_reach(first, successors) {
        count += 1;
        if reached.violation.is_some() {
            return (count, Some(reached));
        }
    }
    (count, None)
}

fn count_steps<S>(path: &[S], kind: impl Fn(&S) -> bool) -> usize {
    path.iter().filter(|step| kind(step)).count()
}

/// Start of a gang of two members, with at most one lost message, one planner that dies and one
/// worker that restarts.
struct GangStart {
    leases_never_expire: bool,
}

#[derive(Debug, Clone)]
enum GangStep {
    /// A worker receives the message and its reply arrives.
    Serve(usize),
    /// A worker receives the message and its reply is lost.
    LoseReply(usize),
    /// The message is lost.
    Lose(usize),
    Wait,
    KillPlanner,
    TakeOver,
    KillWorker,
}

const LEASE_FOREVER_MS: u64 = 1_000_000;

impl Protocol for GangStart {
    type World = GangWorld;
    type Step = GangStep;

    fn start(&self) -> GangWorld {
        let mut world = GangWorld::new(GangConfig::default(), &["a", "b"], 2, 600_000);
        world.take_over("a");
        world.run_until(1_500);
        world.start("a", 1, &["w-0", "w-1"]);
        world
    }

    fn steps(&self, world: &GangWorld, path: &[GangStep]) -> Vec<GangStep> {
        let messages = world.messages.len();
        let mut steps: Vec<GangStep> = (0..messages).map(GangStep::Serve).collect();
        if count_steps(path, |s| {
            matches!(s, GangStep::Lose(_) | GangStep::LoseReply(_))
        }) == 0
        {
            steps.extend((0..messages).map(GangStep::Lose));
            steps.extend((0..messages).map(GangStep::LoseReply));
        }
        steps.push(GangStep::Wait);
        let killed = count_steps(path, |s| matches!(s, GangStep::KillPlanner)) > 0;
        if !killed {
            steps.push(GangStep::KillPlanner);
        } else if count_steps(path, |s| matches!(s, GangStep::TakeOver)) == 0 {
            steps.push(GangStep::TakeOver);
        }
        if count_steps(path, |s| matches!(s, GangStep::KillWorker)) == 0 {
            steps.push(GangStep::KillWorker);
        }
        steps
    }

    fn apply(&self, world: &mut GangWorld, step: &GangStep) {
        match step {
            GangStep::Serve(at) => {
                world.deliver(*at);
                let reply = world.messages.iter().position(|m| m.body.is_for_planner());
                reply.into_iter().for_each(|at| world.deliver(at));
            }
            GangStep::LoseReply(at) => {
                world.deliver(*at);
                world.messages.retain(|m| !m.body.is_for_planner());
            }
            GangStep::Lose(at) => {
                world.messages.remove(*at);
            }
            GangStep::Wait => wait(world),
            GangStep::KillPlanner => {
                world.planners.get_mut("a").expect("known").up = false;
            }
            GangStep::TakeOver => world.take_over("b"),
            GangStep::KillWorker => {
                world
                    .workers
                    .get_mut(&name::<WorkerName>("w-1"))
                    .expect("known")
                    .reboot();
            }
        }
        if self.leases_never_expire {
            let leases = world
                .workers
                .values_mut()
                .flat_map(|w| w.leases.values_mut());
            leases.for_each(|lease| lease.expires_ms = LEASE_FOREVER_MS);
        }
    }

    fn violation(&self, world: &GangWorld) -> Option<String> {
        let ran_twice = world.runs(1) > 1;
        let twice = ran_twice.then(|| format!("{} ran twice", job_id(1)));
        world.violation.clone().or(twice)
    }

    fn print(&self, world: &GangWorld) -> String {
        let messages: Vec<_> = world
            .messages
            .iter()
            .map(|m| (&m.worker, &m.body))
            .collect();
        let (planners, workers) = (&world.planners, &world.workers);
        format!(
            "{} {planners:?} {workers:?} {messages:?} {:?}",
            world.now_ms,
            world.running()
        )
    }
}

/// Advances the time to the next timer and removes the messages that have timed out by then.
fn wait(world: &mut GangWorld) {
    let awake = world.planners.values().filter(|p| p.up);
    let wake_ms = awake.filter_map(|p| p.gangs.next_wake_ms()).min();
    let to_ms = wake_ms.unwrap_or(world.now_ms + world.config.lease_ms + 1);
    world.advance_time(to_ms.max(world.now_ms + 1));
    let timeout_ms = world.config.call_timeout_ms;
    let now_ms = world.now_ms;
    world.messages.retain(|m| m.at_ms + timeout_ms > now_ms);
    world.tick_planners();
}

/// Use of one ticket on two nodes, with at most one lost message, one duplicated message, one
/// hand-over, an issuer that dies and one fence.
struct TicketUse {
    resend_on_timeout: bool,
}

#[derive(Debug, Clone)]
enum TicketStep {
    Request(&'static str),
    Deliver(usize),
    Lose(usize),
    Double(usize),
    Wait,
    KillIssuer,
    HandOver,
    Fence,
}

fn ticket() -> Ticket {
    Ticket {
        data_centre: name("gyor"),
        node: name("a"),
        incarnation: Incarnation(1),
        sequence: 0,
    }
}

impl Protocol for TicketUse {
    type World = TicketWorld;
    type Step = TicketStep;

    fn start(&self) -> TicketWorld {
        let mut world = TicketWorld::new(&["a", "b"], 2);
        world.resend_on_timeout = self.resend_on_timeout;
        world.draw("a");
        world
    }

    fn steps(&self, world: &TicketWorld, path: &[TicketStep]) -> Vec<TicketStep> {
        let messages = world.messages.len();
        let mut steps: Vec<TicketStep> = (0..messages).map(TicketStep::Deliver).collect();
        if count_steps(path, |s| matches!(s, TicketStep::Request(_))) < 2 {
            steps.extend([TicketStep::Request("a"), TicketStep::Request("b")]);
        }
        if count_steps(path, |s| matches!(s, TicketStep::Lose(_))) == 0 {
            steps.extend((0..messages).map(TicketStep::Lose));
        }
        if count_steps(path, |s| matches!(s, TicketStep::Double(_))) == 0 {
            steps.extend((0..messages).map(TicketStep::Double));
        }
        if world.next_wake_ms().is_some() {
            steps.push(TicketStep::Wait);
        }
        if count_steps(path, |s| matches!(s, TicketStep::HandOver)) == 0 && world.nodes["a"].up {
            steps.push(TicketStep::HandOver);
        }
        if world.nodes["a"].up {
            steps.push(TicketStep::KillIssuer);
        } else if count_steps(path, |s| matches!(s, TicketStep::Fence)) == 0 {
            steps.push(TicketStep::Fence);
        }
        steps
    }

    fn apply(&self, world: &mut TicketWorld, step: &TicketStep) {
        match step {
            TicketStep::Request(via) => world.request(&ticket(), via, "body"),
            TicketStep::Deliver(at) => world.deliver(*at),
            TicketStep::Lose(at) => {
                world.messages.remove(*at);
            }
            TicketStep::Double(at) => {
                let copy = world.messages[*at].clone();
                world.messages.push(copy);
            }
            TicketStep::Wait => {
                let wake_ms = world.next_wake_ms().unwrap_or(world.now_ms);
                world.now_ms = wake_ms.max(world.now_ms + 1);
                world.tick();
            }
            TicketStep::KillIssuer => world.kill("a", false),
            TicketStep::HandOver => {
                world.hand_over("a", "b");
            }
            TicketStep::Fence => world.fence("b", "a", Incarnation(1)),
        }
    }

    fn violation(&self, world: &TicketWorld) -> Option<String> {
        world.violation()
    }

    fn print(&self, world: &TicketWorld) -> String {
        format!("{world:?}")
    }
}

const GANG_DEPTH: usize = 8;
/// Returns the number of steps to explore: `least` plus `HEMLOCK_DEPTH`.
fn depth(least: usize) -> usize {
    let more = std::env::var("HEMLOCK_DEPTH").ok();
    least + more.map_or(0, |raw| raw.parse().expect("a number"))
}

const TICKET_DEPTH: usize = 7;

#[test]
fn gang_start_holds() {
    let (states, violation) = explore(
        &GangStart {
            leases_never_expire: false,
        },
        depth(GANG_DEPTH),
    );
    println!(
        "gang start: {states} states within {} steps",
        depth(GANG_DEPTH)
    );
    assert!(violation.is_none(), "{violation:?}");
}

/// Verifies that the exploration finds a planted bug: leases that never expire break an invariant.
#[test]
fn gang_start_finds_leases_that_never_lapse() {
    let (states, violation) = explore(
        &GangStart {
            leases_never_expire: true,
        },
        depth(GANG_DEPTH),
    );
    let found = violation.expect("the fault is found");
    println!(
        "leases that never expire: found after {states} states: {:?}",
        found.violation
    );
    found.path.iter().for_each(|step| println!("  {step:?}"));
}

#[test]
fn ticket_use_holds() {
    let (states, violation) = explore(
        &TicketUse {
            resend_on_timeout: false,
        },
        depth(TICKET_DEPTH),
    );
    println!(
        "ticket use: {states} states within {} steps",
        depth(TICKET_DEPTH)
    );
    assert!(violation.is_none(), "{violation:?}");
}

/// Verifies that the exploration finds a planted bug: resending on a timeout, without a proof that
/// the work was not run, breaks an invariant.
#[test]
fn ticket_use_finds_resend_on_timeout() {
    let (states, violation) = explore(
        &TicketUse {
            resend_on_timeout: true,
        },
        depth(TICKET_DEPTH),
    );
    let found = violation.expect("the fault is found");
    println!(
        "resend on timeout: found after {states} states: {:?}",
        found.violation
    );
    found.path.iter().for_each(|step| println!("  {step:?}"));
}
