//! Carries out the faults of a plan.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use platform_standin::{OddEntry, WorkerEntry, WorkerFault, steady_ms};
use rustix::process::Signal;
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::advice::advice_fault;
use crate::callers::Operator;
use crate::check::open_runs;
use crate::doubts::{FALLING_SILENT_MS, LATE_MS};
use crate::link::LinkState;
use crate::plan::{Fault, FaultKind};
use crate::site::{Incident, Place, Seat, Site, lock};

/// Share of faults that hit a worker that runs much and has room for more, or the leader, in tenths.
const AIMED_TENTHS: u32 = 7;

/// Runs of a worker that leave it room for another job.
const ROOMY_RUNS: usize = 5;

/// One in this many workers fails what it starts.
const FAILING_SHARE: usize = 3;

/// How long a node has to end after SIGTERM.
const STOP_LIMIT: Duration = Duration::from_secs(6);

/// Time after which a worker whose planned leave hasn't ended is killed.
const LEAVE_LIMIT: Duration = Duration::from_secs(25);

/// Carries a fault out, to its end.
pub(crate) async fn carry_out(site: Arc<Site>, operator: Arc<Operator>, fault: Fault) {
    let from_ms = steady_ms();
    let what = match fault.kind {
        FaultKind::NodeKilled
        | FaultKind::NodeStopped
        | FaultKind::NodeFreeze
        | FaultKind::NodeCutOff
        | FaultKind::NodeReset => harm_node(&site, &fault).await,
        FaultKind::StoreSlow
        | FaultKind::StoreBusy
        | FaultKind::StoreLosesAnswers
        | FaultKind::StoreLate
        | FaultKind::StoreSilent => harm_store(&site, &fault).await,
        FaultKind::StoreFallsSilent => Ok(let_store_fall_silent(&site, &fault).await),
        FaultKind::CapacityTaken => return note_capacity_taken(&site, &fault).await,
        FaultKind::AdviceSilent | FaultKind::AdviceSlow | FaultKind::AdviceBusy => {
            note_begin(&site, &fault, "the advice service");
            let lasts = Duration::from_millis(fault.for_ms);
            site.harm_advice(advice_fault(&fault), lasts).await;
            Ok("the advice service".to_string())
        }
        FaultKind::WorkersFail => Ok(let_workers_fail(&site, &fault).await),
        FaultKind::Configuration => Ok(operator.change(&site, false).await),
        FaultKind::KeyWithdrawn => Ok(operator.change(&site, true).await),
        _ => harm_worker(&site, &fault).await,
    };
    let what = match what {
        Ok(what) => what,
        Err(e) => format!("{} could not be carried out: {e}", fault.kind),
    };
    site.note(format!("over: {} of {what}", fault.kind));
    lock(&site.incidents).push(Incident {
        from_ms,
        until_ms: steady_ms(),
        what: format!("{} of {what}", fault.kind),
    });
}

/// Notes when work takes all accelerators. That is traffic, so it is no disturbance of the checks.
async fn note_capacity_taken(site: &Site, fault: &Fault) {
    note_begin(site, fault, "all accelerators");
    sleep(Duration::from_millis(fault.for_ms)).await;
}

fn note_begin(site: &Site, fault: &Fault, whom: &str) {
    site.note(format!("{} of {whom}, {} ms", fault.kind, fault.for_ms));
}

/// Returns the worker's place that a fault hits, of those that have a worker.
fn choose_worker(site: &Site, pick: u32) -> usize {
    let count = site.workers.len();
    let first = pick as usize / 10 % count;
    let drawn = (0..count)
        .map(|more| (first + more) % count)
        .find(|at| !site.workers[*at].is_empty.load(Ordering::SeqCst))
        .unwrap_or(first);
    if pick % 10 >= AIMED_TENTHS {
        return drawn;
    }
    let busy = open_runs(&site.notes());
    (0..site.workers.len())
        .max_by_key(|at| {
            let runs = busy.get(&*lock(&site.workers[*at].id)).copied();
            let runs = runs.filter(|runs| *runs <= ROOMY_RUNS);
            (runs.unwrap_or(0), *at == drawn)
        })
        .unwrap_or(drawn)
}

/// Makes some of the workers fail what they start while the fault lasts.
async fn let_workers_fail(site: &Site, fault: &Fault) -> String {
    let count = site.workers.len();
    let failing = (count / FAILING_SHARE).max(2);
    let first = fault.pick as usize % count;
    let places: Vec<&Place> = (0..failing)
        .map(|more| &site.workers[(first + more) % count])
        .collect();
    let ids: Vec<String> = places.iter().map(|place| lock(&place.id).clone()).collect();
    let ids = ids.join(" ");
    note_begin(site, fault, &ids);
    set_failing(site, &places, true).await;
    sleep(Duration::from_millis(fault.for_ms)).await;
    set_failing(site, &places, false).await;
    ids
}

async fn set_failing(site: &Site, places: &[&Place], failing: bool) {
    for place in places {
        let order = json!({"failing": failing});
        site.control(place.control, "fail", &order).await;
    }
}

async fn harm_worker(site: &Arc<Site>, fault: &Fault) -> std::io::Result<String> {
    let at = choose_worker(site, fault.pick);
    let place = &site.workers[at];
    let id = lock(&place.id).clone();
    let lasts = Duration::from_millis(fault.for_ms);
    let both = |change: fn(&mut LinkState)| {
        place.to_worker.change(change);
        place.to_store.change(change);
    };
    let cut = |state: &mut LinkState| {
        state.to_cut += 1;
        state.back_cut += 1;
    };
    let heal = |state: &mut LinkState| {
        state.to_cut -= 1;
        state.back_cut -= 1;
    };
    match fault.kind {
        FaultKind::WorkerCutOff => {
            note_begin(site, fault, &id);
            both(cut);
            sleep(lasts).await;
            both(heal);
        }
        FaultKind::OrdersHeldUp => {
            note_begin(site, fault, &id);
            place.to_worker.change(|state| state.to_cut += 1);
            sleep(lasts).await;
            place.to_worker.change(|state| state.to_cut -= 1);
        }
        FaultKind::AnswersHeldUp => {
            note_begin(site, fault, &id);
            place.to_worker.change(|state| state.back_cut += 1);
            sleep(lasts).await;
            place.to_worker.change(|state| state.back_cut -= 1);
        }
        FaultKind::EntriesHeldUp => {
            note_begin(site, fault, &id);
            place.to_store.change(cut);
            sleep(lasts).await;
            place.to_store.change(heal);
        }
        FaultKind::WorkerLinkSlow => {
            note_begin(site, fault, &id);
            let delay_ms = 50 + fault.stage_ms / 4;
            place.to_worker.change(|state| state.delay_ms += delay_ms);
            sleep(lasts).await;
            place.to_worker.change(|state| state.delay_ms -= delay_ms);
        }
        FaultKind::WorkerReset => {
            note_begin(site, fault, &id);
            both(|state| state.resets += 1);
        }
        FaultKind::WorkerRefuses => {
            note_begin(site, fault, &id);
            place.to_worker.change(|state| state.refused += 1);
            sleep(lasts).await;
            place.to_worker.change(|state| state.refused -= 1);
        }
        FaultKind::LateOrders | FaultKind::LostAnswers | FaultKind::Unhealthy => {
            note_begin(site, fault, &id);
            let set = match fault.kind {
                FaultKind::LateOrders => WorkerFault::LateOrders(500 + fault.stage_ms * 2),
                FaultKind::LostAnswers => WorkerFault::LosesAnswers,
                _ => WorkerFault::Unhealthy,
            };
            site.control(place.control, "fault", &json!(set)).await;
            sleep(lasts).await;
            site.control(place.control, "fault", &json!(WorkerFault::None))
                .await;
        }
        FaultKind::OddEntry => {
            note_begin(site, fault, &id);
            let odd = OddEntry::ALL[fault.pick as usize / 100 % OddEntry::ALL.len()];
            write_odd_entry(site, at, odd).await;
            return Ok(format!("{id}, {odd:?}"));
        }
        FaultKind::EntryWithoutBirth => {
            note_begin(site, fault, &id);
            write_odd_entry(site, at, OddEntry::NoBirth).await;
        }
        _ => {
            // One at a time replaces the worker of a place.
            let Ok(mut seat) = place.seat.try_lock() else {
                return Ok(format!("{id}, left out, as another is under way"));
            };
            if place.is_empty.load(Ordering::SeqCst) || !may_end_for_good(site, at, fault.kind) {
                return Ok(format!("{id}, left out, as too few would be left"));
            }
            note_begin(site, fault, &id);
            replace_worker(site, at, &mut seat, fault).await?;
        }
    }
    Ok(id)
}

/// Returns whether half of the places keep a worker if a fault of this kind hits one; such a fault empties its place.
fn may_end_for_good(site: &Site, at: usize, kind: FaultKind) -> bool {
    if !matches!(
        kind,
        FaultKind::WorkerLeavesForGood | FaultKind::WorkerLostForGood
    ) {
        return true;
    }
    let empty = |place: &&Place| place.is_empty.load(Ordering::SeqCst);
    let few = 2 * site.workers.iter().filter(empty).count() + 2 > site.workers.len();
    !few && !site.workers[at].is_empty.swap(true, Ordering::SeqCst)
}

/// Faults that end the worker's process, or stop it.
async fn replace_worker(
    site: &Arc<Site>,
    at: usize,
    seat: &mut Seat,
    fault: &Fault,
) -> std::io::Result<()> {
    let place = &site.workers[at];
    let lasts = Duration::from_millis(fault.for_ms);
    let stage = Duration::from_millis(fault.stage_ms);
    let links = [&place.to_worker, &place.to_store];
    match fault.kind {
        FaultKind::PowerLoss => {
            for link in links {
                link.change(|state| {
                    state.power_losses += 1;
                    state.to_cut += 1;
                    state.back_cut += 1;
                });
            }
            site.kill_worker(at, seat).await?;
            sleep(lasts).await;
            site.start_worker(at, seat, false)?;
            for link in links {
                link.change(|state| {
                    state.to_cut -= 1;
                    state.back_cut -= 1;
                });
            }
        }
        FaultKind::WorkerCrash | FaultKind::WorkerReplaced => {
            place.to_worker.change(|state| state.refused += 1);
            site.kill_worker(at, seat).await?;
            sleep(lasts).await;
            let renamed = fault.kind == FaultKind::WorkerReplaced;
            site.start_worker(at, seat, renamed)?;
            place.to_worker.change(|state| state.refused -= 1);
        }
        FaultKind::WorkerFreeze => {
            if let Some(process) = &mut seat.process {
                process.signal(Signal::STOP);
                sleep(lasts).await;
                process.signal(Signal::CONT);
            }
        }
        FaultKind::WorkerLostForGood => {
            for link in links {
                link.change(|state| {
                    state.power_losses += 1;
                    state.to_cut += 1;
                    state.back_cut += 1;
                });
            }
            site.kill_worker(at, seat).await?;
        }
        FaultKind::WorkerLeaves
        | FaultKind::WorkerLeavesCutOff
        | FaultKind::WorkerLeavesForGood => {
            let after_ms = 3_000 + fault.for_ms;
            let order = json!({"after_ms": after_ms});
            site.control(place.control, "leave", &order).await;
            if fault.kind == FaultKind::WorkerLeavesCutOff {
                sleep(stage).await;
                for link in links {
                    link.change(|state| {
                        state.to_cut += 1;
                        state.back_cut += 1;
                    });
                }
                sleep(lasts).await;
                for link in links {
                    link.change(|state| {
                        state.to_cut -= 1;
                        state.back_cut -= 1;
                    });
                }
            }
            if let Some(process) = &mut seat.process
                && timeout(LEAVE_LIMIT, process.wait()).await.is_err()
            {
                site.kill_worker(at, seat).await?;
            }
            if fault.kind == FaultKind::WorkerLeavesForGood {
                seat.process = None;
                place.to_worker.change(|state| {
                    state.to_cut += 1;
                    state.back_cut += 1;
                });
                return Ok(());
            }
            sleep(stage).await;
            site.start_worker(at, seat, true)?;
        }
        _ => {}
    }
    Ok(())
}

async fn write_odd_entry(site: &Site, at: usize, odd: OddEntry) {
    let place = &site.workers[at];
    let id = lock(&place.id).clone();
    let entry = WorkerEntry {
        address: place.to_worker.address,
        rack: place.rack.clone(),
        born: platform_standin::unix_ms() - 60_000,
        seq: 1,
        clock_ms: 0,
        remaining_ms: None,
    };
    site.write_to_store(&format!("servers/{id}"), Some(&odd.write(&entry)))
        .await;
}

async fn harm_node(site: &Arc<Site>, fault: &Fault) -> std::io::Result<String> {
    let drawn = fault.pick as usize / 10 % site.nodes.len();
    let at = match site.leader() {
        Some(leader) if fault.pick % 10 < AIMED_TENTHS => leader,
        _ => drawn,
    };
    let node = &site.nodes[at];
    let lasts = Duration::from_millis(fault.for_ms);
    note_begin(site, fault, &node.name);
    match fault.kind {
        FaultKind::NodeCutOff => {
            node.to_store.change(|state| {
                state.to_cut += 1;
                state.back_cut += 1;
            });
            sleep(lasts).await;
            node.to_store.change(|state| {
                state.to_cut -= 1;
                state.back_cut -= 1;
            });
            return Ok(node.name.clone());
        }
        FaultKind::NodeReset => {
            node.to_store.change(|state| state.resets += 1);
            return Ok(node.name.clone());
        }
        _ => {}
    }
    let Ok(mut seat) = node.process.try_lock() else {
        return Ok(format!("{}, left out, as another is under way", node.name));
    };
    let Some(process) = seat.as_mut() else {
        return Ok(format!("{}, which is away", node.name));
    };
    match fault.kind {
        FaultKind::NodeFreeze => {
            process.signal(Signal::STOP);
            sleep(lasts).await;
            process.signal(Signal::CONT);
        }
        FaultKind::NodeStopped => {
            process.signal(Signal::TERM);
            match timeout(STOP_LIMIT, process.wait()).await {
                Ok(how) if how != "exit status: 0" => {
                    site.note_own_end(&format!("{}, told to stop,", node.name), &how);
                }
                Ok(_) => {}
                Err(_) => process.kill().await,
            }
            sleep(lasts).await;
            *seat = Some(site.start_node(at)?);
        }
        _ => {
            process.kill().await;
            sleep(lasts).await;
            *seat = Some(site.start_node(at)?);
        }
    }
    Ok(node.name.clone())
}

async fn harm_store(site: &Arc<Site>, fault: &Fault) -> std::io::Result<String> {
    let (name, delay_ms) = match fault.kind {
        FaultKind::StoreSlow => ("slow", 50 + fault.stage_ms / 8),
        FaultKind::StoreBusy => ("busy", 0),
        FaultKind::StoreLosesAnswers => ("loses_answers", 0),
        FaultKind::StoreLate => ("late_changes", 500 + fault.stage_ms),
        _ => ("unresponsive", 0),
    };
    note_begin(site, fault, "the store");
    site.harm_store(name, delay_ms, Duration::from_millis(fault.for_ms))
        .await;
    Ok("the store".to_string())
}

/// Lets the store carry out late what arrives for a moment, and answer nothing for a time. Returns once all late changes
/// have been made.
async fn let_store_fall_silent(site: &Site, fault: &Fault) -> String {
    note_begin(site, fault, "the store");
    let late_ms = LATE_MS + fault.stage_ms;
    let over_ms = steady_ms() + FALLING_SILENT_MS + late_ms;
    let falling = Duration::from_millis(FALLING_SILENT_MS);
    site.harm_store("late_changes", late_ms, falling).await;
    let lasts = Duration::from_millis(fault.for_ms);
    site.harm_store("unresponsive", 0, lasts).await;
    sleep(Duration::from_millis(over_ms.saturating_sub(steady_ms()))).await;
    "the store".to_string()
}
