//! Exhaustive check of taking over, on a specification of it.
//!
//! One task, two workers, planners of terms 1 to 3, and the store. A planner records an intent before it sends a
//! start, records an end before it confirms it, and each of its writes is made on condition that its term has the lead.
//! A successor reads the store, then asks the workers; a worker refuses lower terms from then on. What the store says may
//! run on a worker that does not answer counts as running until that worker's lease has ended. Starts may be delivered
//! late, twice or never; planners may be killed, or go on without knowing that they were replaced.
//!
//! Each [`Fault`] takes one of these rules away; the check has to find what follows. `HEMLOCK_TERMS=3` explores one more
//! change of planner.

use pathfinding::directed::bfs::bfs_reach;
use rstest::rstest;

const WORKERS: usize = 2;
const TERMS: usize = 3;
const MOST_RUNS: u8 = 3;
const MOST_LAPSES: u8 = 1;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    StartBeforeIntent,
    ConfirmBeforeStored,
    WriteWithoutLead,
    WorkerTakesLowerTerms,
    SuccessorForgetsSilentWorker,
    LateStartIsCarriedOut,
}

/// A start on its way; `lapses` tells the lease that it was given under.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Start {
    term: u8,
    worker: u8,
    run: u8,
    lapses: u8,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Worker {
    term: u8,
    running: Option<u8>,
    /// An end that is not confirmed yet, with the lease that it came under.
    done: Option<(u8, u8)>,
    floor: u8,
    lapses: u8,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Planner {
    alive: bool,
    loaded: bool,
    /// Where the task may run, as this planner believes.
    may_run: Option<u8>,
    run: u8,
    done: bool,
    stored: bool,
    heard: [bool; WORKERS],
    /// Lapses of each worker when the planner began.
    lapses: [u8; WORKERS],
    to_send: Option<Start>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Store {
    lead: u8,
    intent: Option<u8>,
    run: u8,
    done: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct World {
    store: Store,
    planners: [Planner; TERMS],
    workers: [Worker; WORKERS],
    sent: Vec<Start>,
    /// Whether the end was confirmed to the worker under the lease that it came under.
    noted: bool,
    broken: Option<&'static str>,
}

/// How many planners take the lead, one after the other.
fn terms() -> usize {
    let asked = std::env::var("HEMLOCK_TERMS")
        .ok()
        .and_then(|text| text.parse().ok());
    asked.unwrap_or(2).min(TERMS)
}

fn first_world() -> World {
    let mut world = World::default();
    take_lead(&mut world, 0);
    world
}

/// The planner at `index` takes the lead and reads the store.
fn take_lead(world: &mut World, index: usize) {
    world.store.lead = index as u8 + 1;
    let lapses = world.workers.map(|w| w.lapses);
    world.planners[index] = Planner {
        alive: true,
        loaded: true,
        may_run: world.store.intent,
        run: world.store.run,
        done: world.store.done,
        stored: world.store.done,
        heard: [false; WORKERS],
        lapses,
        to_send: None,
    };
}

/// Everything that can happen next.
fn next_worlds(world: &World, fault: Fault) -> Vec<World> {
    if world.broken.is_some() {
        return Vec::new();
    }
    let mut next = Vec::new();
    let lead = world.store.lead as usize;
    if lead < terms() {
        next.push(changed(world, |w| take_lead(w, lead)));
    }
    for index in (0..TERMS).filter(|index| world.planners[*index].alive) {
        next.push(changed(world, |w| w.planners[index].alive = false));
        next.extend(planner_steps(world, index, fault));
    }
    for at in 0..world.sent.len() {
        next.push(changed(world, |w| {
            w.sent.remove(at);
        }));
        next.push(changed(world, |w| deliver(w, at, fault)));
    }
    for at in 0..WORKERS {
        next.extend(worker_steps(world, at));
    }
    next
}

fn changed(world: &World, change: impl FnOnce(&mut World)) -> World {
    let mut next = world.clone();
    change(&mut next);
    next.sent.sort_unstable();
    next.sent.dedup();
    next
}

/// What a planner can do.
fn planner_steps(world: &World, index: usize, fault: Fault) -> Vec<World> {
    let planner = world.planners[index];
    let term = index as u8 + 1;
    let leads = world.store.lead == term || fault == Fault::WriteWithoutLead;
    let mut next = Vec::new();
    for worker in 0..WORKERS {
        next.push(changed(world, |w| hold(w, index, worker, fault)));
        let silent = planner.may_run == Some(worker as u8) && !planner.heard[worker];
        let lapsed = world.workers[worker].lapses > planner.lapses[worker];
        if silent && (lapsed || fault == Fault::SuccessorForgetsSilentWorker) {
            next.push(changed(world, |w| w.planners[index].may_run = None));
        }
        let free = planner.may_run.is_none() && !planner.done && planner.to_send.is_none();
        if free && planner.heard[worker] && planner.run < MOST_RUNS {
            if leads {
                next.push(changed(world, |w| intend(w, index, worker, true)));
            }
            if fault == Fault::StartBeforeIntent {
                next.push(changed(world, |w| intend(w, index, worker, false)));
            }
        }
    }
    if let Some(start) = planner.to_send {
        next.push(changed(world, |w| {
            w.sent.push(start);
            w.planners[index].to_send = None;
        }));
    }
    if planner.done && !planner.stored && leads {
        next.push(changed(world, |w| {
            w.store.done = true;
            w.planners[index].stored = true;
        }));
    }
    if planner.done && (planner.stored || fault == Fault::ConfirmBeforeStored) {
        next.extend((0..WORKERS).map(|worker| changed(world, |w| confirm(w, term, worker))));
    }
    next
}

/// A planner chooses a worker; `stored` says whether the choice is in the store.
fn intend(world: &mut World, index: usize, worker: usize, stored: bool) {
    let lapses = world.workers[worker].lapses;
    let planner = &mut world.planners[index];
    planner.run += 1;
    planner.may_run = Some(worker as u8);
    planner.to_send = Some(Start {
        term: index as u8 + 1,
        worker: worker as u8,
        run: planner.run,
        lapses,
    });
    if stored {
        world.store.intent = Some(worker as u8);
        world.store.run = planner.run;
    }
}

/// A planner renews a worker's lease and reads its lists.
fn hold(world: &mut World, index: usize, at: usize, fault: Fault) {
    let term = index as u8 + 1;
    let worker = &mut world.workers[at];
    let planner = &mut world.planners[index];
    if worker.term > term && fault != Fault::WorkerTakesLowerTerms {
        planner.alive = false;
        return;
    }
    worker.term = worker.term.max(term);
    let first = !planner.heard[at];
    planner.heard[at] = true;
    let here = planner.may_run == Some(at as u8);
    if worker.done.is_some() && (here || planner.may_run.is_none()) {
        planner.done = true;
        planner.may_run = None;
    } else if here && first && worker.running.is_none() && planner.to_send.is_none() {
        planner.may_run = None;
    }
}

/// A planner confirms an end to a worker.
fn confirm(world: &mut World, term: u8, at: usize) {
    let worker = &mut world.workers[at];
    if worker.term > term {
        return;
    }
    if let Some((_, lapses)) = worker.done.take()
        && lapses == worker.lapses
    {
        world.noted = true;
    }
}

/// A start arrives; another copy of it may still be on its way.
fn deliver(world: &mut World, at: usize, fault: Fault) {
    let start = world.sent[at];
    let worker = &mut world.workers[start.worker as usize];
    let lower = start.term < worker.term && fault != Fault::WorkerTakesLowerTerms;
    let late = start.lapses != worker.lapses && fault != Fault::LateStartIsCarriedOut;
    if lower || late || start.run <= worker.floor || worker.running.is_some() {
        return;
    }
    worker.term = worker.term.max(start.term);
    worker.running = Some(start.run);
    let running = world.workers.iter().filter(|w| w.running.is_some()).count();
    if running > 1 {
        world.broken = Some("two runs at once");
    } else if world.noted {
        world.broken = Some("a start after an end that was noted");
    }
}

/// What a worker can do by itself.
fn worker_steps(world: &World, at: usize) -> Vec<World> {
    let worker = world.workers[at];
    let mut next = Vec::new();
    if let Some(run) = worker.running {
        next.push(changed(world, |w| {
            w.workers[at].running = None;
            w.workers[at].floor = run;
            w.workers[at].done = Some((run, worker.lapses));
        }));
    }
    if worker.lapses < MOST_LAPSES {
        next.push(changed(world, |w| {
            let worker = &mut w.workers[at];
            worker.lapses += 1;
            if let Some(run) = worker.running.take() {
                worker.floor = run;
            }
        }));
    }
    next
}

/// All worlds that can be reached, and the first that breaks a promise.
fn explore(fault: Fault) -> (usize, Option<&'static str>) {
    let mut seen = 0;
    for world in bfs_reach(first_world(), |world| next_worlds(world, fault)) {
        seen += 1;
        if world.broken.is_some() {
            return (seen, world.broken);
        }
    }
    (seen, None)
}

#[test]
fn take_over_keeps_promises() {
    let (seen, broken) = explore(Fault::None);
    println!("{seen} worlds");
    assert_eq!(broken, None);
    assert!(seen > 10_000, "only {seen} worlds were explored");
}

#[rstest]
#[case::start_before_intent(Fault::StartBeforeIntent)]
#[case::confirm_before_stored(Fault::ConfirmBeforeStored)]
#[case::write_without_lead(Fault::WriteWithoutLead)]
#[case::worker_takes_lower_terms(Fault::WorkerTakesLowerTerms)]
#[case::successor_forgets_silent_worker(Fault::SuccessorForgetsSilentWorker)]
#[case::late_start_is_carried_out(Fault::LateStartIsCarriedOut)]
fn take_over_without_rule_is_found(#[case] fault: Fault) {
    let (seen, broken) = explore(fault);
    println!("{fault:?}: {broken:?} after {seen} worlds");
    assert!(broken.is_some());
}
