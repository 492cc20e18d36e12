//! Carries out the waves of machine maintenance that the operator requests.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use adapter::{
    CallError, MachinesClient, Precondition, Put, Txn, TxnOutcome, WAVES_PREFIX, decode_wave,
    decode_wave_state, encode_wave_state, wave_state_key,
};
use scheduler::{MaintenanceOutcome, MaintenanceWave, WaveProgress, WaveRecord};
use serde_json::Value;

use crate::clock::now_ms;
use crate::keys;
use crate::term::Term;

/// How often waves and machines are polled while no wave is in progress.
const POLL_EVERY_MS: u64 = 2_000;

/// How often they are polled during a wave: a machine is down for 2 s.
const POLL_IN_WAVE_MS: u64 = 400;

/// Timeout of a call.
const CALL_TIMEOUT_MS: u64 = 900;

/// How much longer than the stop grace to wait for a worker to become empty.
const DRAIN_MARGIN_MS: u64 = 1_000;

/// How often to check whether the worker is empty.
const DRAIN_POLL_MS: u64 = 50;

/// A wave and what the store knows of it.
#[derive(Debug)]
struct Wave {
    progress: WaveProgress,
    /// What was last written: the progress, and whether the wave is completed.
    written: Option<(WaveRecord, bool)>,
    /// The revision of that write; 0 before the first one.
    revision: u64,
    /// Machines for which it was logged that they wait for tasks that may not be ended yet.
    kept_up: BTreeSet<String>,
}

impl Wave {
    /// Returns whether nothing is left to do for the wave.
    fn is_settled(&self, now_ms: u64) -> bool {
        self.progress.is_completed()
            && self
                .written
                .as_ref()
                .is_some_and(|(_, completed)| *completed)
            && self.progress.closed_workers(now_ms).next().is_none()
    }
}

/// Carries out the operator's waves until the term is over.
pub(crate) async fn run_waves(term: Arc<Term>) {
    let Some(machines) = term.node.machines.clone() else {
        return;
    };
    let mut waves: BTreeMap<u64, Wave> = BTreeMap::new();
    loop {
        let busy = waves.values().any(|wave| !wave.is_settled(now_ms()));
        tokio::time::sleep(Duration::from_millis(if busy {
            POLL_IN_WAVE_MS
        } else {
            POLL_EVERY_MS
        }))
        .await;
        if let Err(e) = read_waves(&term, &mut waves).await {
            report_failure(&term, None, &e);
        }
        for (number, wave) in &mut waves {
            if wave.is_settled(now_ms()) {
                continue;
            }
            if let Err(e) = advance_wave(&term, &machines, wave).await {
                report_failure(&term, Some(*number), &e);
            }
        }
        let now_ms = now_ms();
        let closed = waves
            .values()
            .flat_map(|wave| wave.progress.closed_workers(now_ms));
        term.lock_planner().keep_draining(&closed.collect());
        term.wake.notify_one();
    }
}

/// Logs that a wave, or none, could be advanced.
fn report_failure(term: &Term, wave: Option<u64>, why: &CallError) {
    let fields = [
        ("wave", Value::from(wave)),
        ("why", Value::from(why.to_string())),
    ];
    term.node
        .log
        .general("upkeep", "wave not advanced", &fields);
}

/// Reads the operator's waves, and what earlier planners have stored of those that are new to this one.
async fn read_waves(term: &Term, waves: &mut BTreeMap<u64, Wave>) -> Result<(), CallError> {
    let (items, _) = term
        .node
        .store
        .read_all(WAVES_PREFIX, CALL_TIMEOUT_MS)
        .await?;
    for item in items {
        let Some(requested) = decode_wave(&item.value) else {
            continue;
        };
        match waves.get_mut(&requested.number) {
            Some(wave) => wave.progress.update(requested),
            None => {
                let number = requested.number;
                let wave = load_wave(term, requested, item.revision).await?;
                waves.insert(number, wave);
            }
        }
    }
    Ok(())
}

/// Reads what the store knows of a wave that the operator requested at a revision.
async fn load_wave(
    term: &Term,
    requested: MaintenanceWave,
    requested_revision: u64,
) -> Result<Wave, CallError> {
    let store = &term.node.store;
    let number = requested.number;
    let state = store
        .read(&wave_state_key(number), CALL_TIMEOUT_MS, false)
        .await?;
    let stored = store
        .read(&keys::wave(number), CALL_TIMEOUT_MS, false)
        .await?;
    let revision = stored.as_ref().map_or(0, |item| item.revision);
    let is_completed = state
        .is_some_and(|item| decode_wave_state(&item.value) && item.revision > requested_revision);
    if is_completed {
        let progress = WaveProgress::completed(requested);
        return Ok(Wave {
            written: Some((progress.record(), true)),
            progress,
            revision,
            kept_up: BTreeSet::new(),
        });
    }
    // Without a readable record, machines that had their maintenance say so when it is ordered again.
    let record = stored
        .and_then(|item| serde_json::from_slice(&item.value).ok())
        .unwrap_or_default();
    Ok(Wave {
        progress: WaveProgress::restore(requested, record, now_ms()),
        written: None,
        revision,
        kept_up: BTreeSet::new(),
    })
}

/// Takes the next machines of a wave down.
async fn advance_wave(
    term: &Arc<Term>,
    client: &MachinesClient,
    wave: &mut Wave,
) -> Result<(), CallError> {
    let asked_ms = now_ms();
    let machines = client.list(CALL_TIMEOUT_MS).await?;
    wave.progress.apply_machine_list(&machines, asked_ms);
    let chosen = {
        let planner = term.lock_planner();
        wave.progress
            .choose_machines(&machines, now_ms(), |worker| planner.is_leaving(worker))
    };
    // A successor must know which machines may have had their maintenance before anything on them is stopped.
    if !write_progress(term, wave).await? {
        return Ok(());
    }
    let number = wave.progress.wave().number;
    for machine in chosen {
        if let Some(worker) = &machine.drain
            && !drain_worker(term, worker).await
        {
            if wave.kept_up.insert(machine.name.clone()) {
                let fields = [
                    ("wave", Value::from(number)),
                    ("machine", Value::from(machine.name)),
                ];
                term.node
                    .log
                    .general("upkeep", "waits for tasks that may not be away", &fields);
            }
            continue;
        }
        if !term.is_lead_valid() {
            return Ok(());
        }
        let result = client
            .begin_maintenance(&machine.name, number, term.lead.term, CALL_TIMEOUT_MS)
            .await;
        let outcome = match &result {
            Ok(outcome) => Some(*outcome),
            Err(e) if e.is_not_done() => Some(MaintenanceOutcome::NotDone),
            Err(_) => None,
        };
        if outcome == Some(MaintenanceOutcome::OlderTerm) {
            term.lock_planner().record_later_term();
        }
        wave.progress
            .record_outcome(&machine.name, outcome, now_ms());
        let fields = [
            ("wave", Value::from(number)),
            ("machine", Value::from(machine.name)),
            ("outcome", Value::from(format!("{result:?}"))),
        ];
        term.node
            .log
            .general("upkeep", "machine taken down", &fields);
    }
    write_progress(term, wave).await.map(|_| ())
}

/// Stops what runs on a worker, and waits until it is empty or the time for that is used up. Returns false, without a
/// wait, if the worker runs tasks that may not be ended yet: the machine stays up until they are at work elsewhere.
async fn drain_worker(term: &Term, worker: &str) -> bool {
    let until_ms = now_ms() + term.node.settings.bounds.stop_grace_ms + DRAIN_MARGIN_MS;
    loop {
        let (occupied, kept_up) = {
            let mut planner = term.lock_planner();
            let occupied = planner.drain_worker(worker, now_ms());
            (occupied, planner.is_kept_up(worker))
        };
        if occupied > 0 {
            term.wake.notify_one();
        }
        if kept_up {
            return false;
        }
        if occupied == 0 || now_ms() >= until_ms {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
    }
}

/// Writes the progress and the state of a wave to the store, if they have changed; true if the store has them.
async fn write_progress(term: &Term, wave: &mut Wave) -> Result<bool, CallError> {
    let (record, completed) = (wave.progress.record(), wave.progress.is_completed());
    let current = Some((record, completed));
    if wave.written == current {
        return Ok(true);
    }
    let number = wave.progress.wave().number;
    let value = serde_json::to_vec(&wave.progress.record())
        .map_err(|e| CallError::NotDone(e.to_string()))?;
    let put = |key: String, value: Vec<u8>| Put {
        key,
        value,
        lease: None,
    };
    let txn = Txn {
        conditions: vec![
            Precondition {
                key: keys::LEAD.to_string(),
                revision: term.lead.revision,
            },
            // An earlier write of this planner may be carried out late.
            Precondition {
                key: keys::wave(number),
                revision: wave.revision,
            },
        ],
        puts: vec![
            put(wave_state_key(number), encode_wave_state(completed)),
            put(keys::wave(number), value),
        ],
        removals: Vec::new(),
    };
    match term.node.store.commit(&txn, CALL_TIMEOUT_MS, false).await? {
        TxnOutcome::Done(revision) => {
            (wave.written, wave.revision) = (current, revision);
            Ok(true)
        }
        TxnOutcome::Conflict(items) => {
            let stored = items.iter().find(|item| item.key == keys::wave(number));
            wave.revision = stored.map_or(0, |item| item.revision);
            Ok(false)
        }
        TxnOutcome::NoLease => Ok(false),
    }
}
