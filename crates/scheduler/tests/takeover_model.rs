//! Exhaustive model check of the takeover protocol.
//!
//! The model has one task, two workers, planners of terms 1 to 3, and the store. A planner records an assignment before
//! it sends a start, records an end before it confirms it, and writes only on condition that its term has the
//! leadership. A successor reads the store, then polls the workers; a worker refuses lower terms from then on. A task
//! that is assigned to a worker that does not answer counts as running until that worker's lease has expired, counted
//! from its last answer; an end that it lists later is confirmed with the others, and counts if no later start was sent.
//! Starts may be delivered late, twice or never; planners may be killed, or continue without knowing that they were
//! replaced.
//!
//! Guards against two runs at once and against a start after a confirmed end. Each [`Fault`] removes one rule, and the
//! check has to find the resulting violation. `HEMLOCK_TERMS=3` explores one more change of planner.

use pathfinding::directed::bfs::bfs_reach;
use rstest::rstest;

const WORKERS: usize = 2;
const TERMS: usize = 3;
const MAX_RUNS: u8 = 3;
const MAX_LEASE_EXPIRIES: u8 = 1;

/// The rule that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    StartBeforeIntent,
    ConfirmBeforeStored,
    WriteWithoutLead,
    WorkerTakesLowerTerms,
    SuccessorForgetsSilentWorker,
    LateStartIsCarriedOut,
    LeaseFromSending,
}

/// A start in transit; `lease_expiries` identifies the lease under which it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Start {
    term: u8,
    worker: u8,
    run: u8,
    lease_expiries: u8,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Worker {
    term: u8,
    running: Option<u8>,
    /// Run number of an end that is not confirmed yet, and the lease under which it ended.
    done: Option<(u8, u8)>,
    highest_ended_run: u8,
    lease_expiries: u8,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Planner {
    alive: bool,
    loaded: bool,
    /// The worker on which the task may run, as this planner believes.
    may_run: Option<u8>,
    run: u8,
    done: bool,
    stored: bool,
    answered: [bool; WORKERS],
    /// Lease expiries of each worker when the planner's term began, or at the worker's last answer.
    lease_expiries: [u8; WORKERS],
    to_send: Option<Start>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Store {
    lead: u8,
    assignment: Option<u8>,
    run: u8,
    done: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct State {
    store: Store,
    planners: [Planner; TERMS],
    workers: [Worker; WORKERS],
    sent: Vec<Start>,
    /// Whether an end was confirmed to its worker under the lease under which it ended.
    end_confirmed: bool,
    violation: Option<&'static str>,
}

/// Returns how many planners get the leadership, one after the other.
fn terms() -> usize {
    let asked = std::env::var("HEMLOCK_TERMS")
        .ok()
        .and_then(|text| text.parse().ok());
    asked.unwrap_or(2).min(TERMS)
}

fn initial_state() -> State {
    let mut state = State::default();
    take_lead(&mut state, 0);
    state
}

/// Gives the leadership to the planner at `index`, which reads the store.
fn take_lead(state: &mut State, index: usize) {
    state.store.lead = index as u8 + 1;
    let lease_expiries = state.workers.map(|w| w.lease_expiries);
    state.planners[index] = Planner {
        alive: true,
        loaded: true,
        may_run: state.store.assignment,
        run: state.store.run,
        done: state.store.done,
        stored: state.store.done,
        answered: [false; WORKERS],
        lease_expiries,
        to_send: None,
    };
}

/// Returns all possible next states.
fn next_states(state: &State, fault: Fault) -> Vec<State> {
    if state.violation.is_some() {
        return Vec::new();
    }
    let mut next = Vec::new();
    let lead = state.store.lead as usize;
    if lead < terms() {
        next.push(with_change(state, |w| take_lead(w, lead)));
    }
    for index in (0..TERMS).filter(|index| state.planners[*index].alive) {
        next.push(with_change(state, |w| kill(w, index)));
        next.extend(planner_steps(state, index, fault));
    }
    for at in 0..state.sent.len() {
        next.push(with_change(state, |w| {
            w.sent.remove(at);
        }));
        next.push(with_change(state, |w| deliver(w, at, fault)));
    }
    for worker_index in 0..WORKERS {
        next.extend(worker_steps(state, worker_index));
    }
    // A start that its worker refuses now and for ever is the same as a lost one.
    for state in &mut next {
        let workers = state.workers;
        state
            .sent
            .retain(|start| !is_refused(start, &workers[start.worker as usize], fault));
    }
    next
}

/// Returns whether a worker refuses a start, now and at any later time.
fn is_refused(start: &Start, worker: &Worker, fault: Fault) -> bool {
    let lower = start.term < worker.term && fault != Fault::WorkerTakesLowerTerms;
    let late =
        start.lease_expiries != worker.lease_expiries && fault != Fault::LateStartIsCarriedOut;
    lower || late || start.run <= worker.highest_ended_run
}

fn with_change(state: &State, change: impl FnOnce(&mut State)) -> State {
    let mut next = state.clone();
    change(&mut next);
    next.sent.sort_unstable();
    next.sent.dedup();
    next
}

/// Kills a planner. What it knew no longer matters, so that the state has one form.
fn kill(state: &mut State, index: usize) {
    state.planners[index] = Planner::default();
}

/// Returns the possible steps of a planner.
fn planner_steps(state: &State, index: usize, fault: Fault) -> Vec<State> {
    let planner = state.planners[index];
    let term = index as u8 + 1;
    let leads = state.store.lead == term || fault == Fault::WriteWithoutLead;
    let mut next = Vec::new();
    for worker in 0..WORKERS {
        next.push(with_change(state, |w| renew_lease(w, index, worker, fault)));
        let unresponsive = planner.may_run == Some(worker as u8) && planner.to_send.is_none();
        let expired = state.workers[worker].lease_expiries > planner.lease_expiries[worker];
        if unresponsive && (expired || fault == Fault::SuccessorForgetsSilentWorker) {
            next.push(with_change(state, |w| w.planners[index].may_run = None));
        }
        let free = planner.may_run.is_none() && !planner.done && planner.to_send.is_none();
        if free && planner.answered[worker] && planner.run < MAX_RUNS {
            if leads {
                next.push(with_change(state, |w| {
                    assign(w, index, worker, true, fault)
                }));
            }
            if fault == Fault::StartBeforeIntent {
                next.push(with_change(state, |w| {
                    assign(w, index, worker, false, fault)
                }));
            }
        }
    }
    if let Some(start) = planner.to_send {
        next.push(with_change(state, |w| {
            w.sent.push(start);
            w.planners[index].to_send = None;
        }));
    }
    if planner.done && !planner.stored && leads {
        next.push(with_change(state, |w| {
            w.store.done = true;
            w.planners[index].stored = true;
        }));
    }
    for worker in 0..WORKERS {
        let stored = planner.done && (planner.stored || fault == Fault::ConfirmBeforeStored);
        // Confirmations are cumulative, so the end of an earlier run is confirmed although it no longer counts.
        let earlier = state.workers[worker]
            .done
            .is_some_and(|(run, _)| planner.answered[worker] && run < planner.run);
        if stored || earlier {
            next.push(with_change(state, |w| confirm(w, term, worker)));
        }
    }
    next
}

/// Lets a planner assign the task to a worker; `stored` says whether the assignment is in the store.
fn assign(state: &mut State, index: usize, worker: usize, stored: bool, fault: Fault) {
    let current = state.workers[worker].lease_expiries;
    let planner = &mut state.planners[index];
    // A start carries a lease counted from the worker's last answer.
    let lease_expiries = match fault {
        Fault::LeaseFromSending => current,
        _ => planner.lease_expiries[worker],
    };
    planner.run += 1;
    planner.may_run = Some(worker as u8);
    planner.to_send = Some(Start {
        term: index as u8 + 1,
        worker: worker as u8,
        run: planner.run,
        lease_expiries,
    });
    if stored {
        state.store.assignment = Some(worker as u8);
        state.store.run = planner.run;
    }
}

/// Lets a planner renew a worker's lease and read its lists.
fn renew_lease(state: &mut State, index: usize, worker_index: usize, fault: Fault) {
    let term = index as u8 + 1;
    let worker = &mut state.workers[worker_index];
    let planner = &mut state.planners[index];
    if worker.term > term && fault != Fault::WorkerTakesLowerTerms {
        return kill(state, index);
    }
    worker.term = worker.term.max(term);
    let first = !planner.answered[worker_index];
    planner.answered[worker_index] = true;
    planner.lease_expiries[worker_index] = worker.lease_expiries;
    let here = planner.may_run == Some(worker_index as u8);
    let unsent = planner.to_send.is_some();
    if worker.done.is_some() && (here || unsent || planner.may_run.is_none()) {
        planner.done = true;
        planner.may_run = None;
        planner.to_send = None;
    } else if here && first && worker.running.is_none() && planner.to_send.is_none() {
        planner.may_run = None;
    }
}

/// Lets a planner confirm an end to a worker.
fn confirm(state: &mut State, term: u8, worker_index: usize) {
    let worker = &mut state.workers[worker_index];
    if worker.term > term {
        return;
    }
    if let Some((_, lease_expiries)) = worker.done.take()
        && lease_expiries == worker.lease_expiries
    {
        state.end_confirmed = true;
    }
}

/// Delivers a start; another copy of it may still be in transit.
fn deliver(state: &mut State, at: usize, fault: Fault) {
    let start = state.sent[at];
    let worker = &mut state.workers[start.worker as usize];
    if is_refused(&start, worker, fault) || worker.running.is_some() {
        return;
    }
    worker.term = worker.term.max(start.term);
    worker.running = Some(start.run);
    let running = state.workers.iter().filter(|w| w.running.is_some()).count();
    if running > 1 {
        state.violation = Some("two runs at once");
    } else if state.end_confirmed {
        state.violation = Some("a start after a confirmed end");
    }
}

/// Returns the possible steps of a worker without a planner.
fn worker_steps(state: &State, worker_index: usize) -> Vec<State> {
    let worker = state.workers[worker_index];
    let mut next = Vec::new();
    if let Some(run) = worker.running {
        next.push(with_change(state, |w| {
            w.workers[worker_index].running = None;
            w.workers[worker_index].highest_ended_run = run;
            w.workers[worker_index].done = Some((run, worker.lease_expiries));
        }));
    }
    if worker.lease_expiries < MAX_LEASE_EXPIRIES {
        next.push(with_change(state, |w| {
            let worker = &mut w.workers[worker_index];
            worker.lease_expiries += 1;
            if let Some(run) = worker.running.take() {
                worker.highest_ended_run = run;
            }
        }));
    }
    next
}

/// Returns the number of reachable states explored, and the first violation found.
fn explore(fault: Fault) -> (usize, Option<&'static str>) {
    let mut seen = 0;
    for state in bfs_reach(initial_state(), |state| next_states(state, fault)) {
        seen += 1;
        if state.violation.is_some() {
            return (seen, state.violation);
        }
    }
    (seen, None)
}

#[test]
fn take_over_keeps_invariants() {
    let (seen, violation) = explore(Fault::None);
    println!("{seen} states");
    assert_eq!(violation, None);
    assert!(seen > 10_000, "only {seen} states were explored");
}

#[rstest]
#[case::start_before_intent(Fault::StartBeforeIntent)]
#[case::confirm_before_stored(Fault::ConfirmBeforeStored)]
#[case::write_without_lead(Fault::WriteWithoutLead)]
#[case::worker_takes_lower_terms(Fault::WorkerTakesLowerTerms)]
#[case::successor_forgets_silent_worker(Fault::SuccessorForgetsSilentWorker)]
#[case::late_start_is_carried_out(Fault::LateStartIsCarriedOut)]
#[case::lease_from_sending(Fault::LeaseFromSending)]
fn take_over_without_rule_is_found(#[case] fault: Fault) {
    let (seen, violation) = explore(fault);
    println!("{fault:?}: {violation:?} after {seen} states");
    assert!(violation.is_some());
}
