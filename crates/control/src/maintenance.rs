//! Carries out the waves of machine maintenance that the operator requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use adapter::{
    CallError, MachinesClient, Precondition, Put, Txn, WAVES_PREFIX, decode_wave, encode_wave_state,
};
use scheduler::{Machine, MaintenanceOutcome, WaveProgress};
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

/// Carries out the operator's waves until the term is over.
pub(crate) async fn run_waves(term: Arc<Term>) {
    let Some(machines) = term.node.machines.clone() else {
        return;
    };
    let mut waves: BTreeMap<u64, WaveProgress> = BTreeMap::new();
    let mut written: BTreeMap<u64, bool> = BTreeMap::new();
    loop {
        let busy = waves.values().any(|wave| !wave.is_completed());
        tokio::time::sleep(Duration::from_millis(if busy {
            POLL_IN_WAVE_MS
        } else {
            POLL_EVERY_MS
        }))
        .await;
        if let Ok((items, _)) = term
            .node
            .store
            .read_all(WAVES_PREFIX, CALL_TIMEOUT_MS)
            .await
        {
            for wave in items.iter().filter_map(|item| decode_wave(&item.value)) {
                waves
                    .entry(wave.number)
                    .or_insert_with(|| WaveProgress::new(wave));
            }
        }
        for (number, wave) in &mut waves {
            if written.get(number) == Some(&true) {
                continue;
            }
            if let Err(e) = advance_wave(&term, &machines, wave).await {
                let fields = [
                    ("wave", Value::from(*number)),
                    ("why", Value::from(e.to_string())),
                ];
                term.node
                    .log
                    .general("upkeep", "wave not advanced", &fields);
            }
            let completed = wave.is_completed();
            if written.get(number) != Some(&completed)
                && write_wave_state(&term, *number, completed).await
            {
                written.insert(*number, completed);
            }
        }
    }
}

/// Takes the next machines of a wave down.
async fn advance_wave(
    term: &Arc<Term>,
    client: &MachinesClient,
    wave: &mut WaveProgress,
) -> Result<(), CallError> {
    let machines = client.list(CALL_TIMEOUT_MS).await?;
    wave.apply_machine_list(&machines);
    for name in wave.choose_machines(&machines) {
        drain_machine(term, &machines, &name).await;
        if !term.is_lead_valid() {
            return Ok(());
        }
        let number = wave.wave().number;
        let result = client
            .begin_maintenance(&name, number, term.lead.term, CALL_TIMEOUT_MS)
            .await;
        let outcome = match &result {
            Ok(outcome) => Some(*outcome),
            Err(_) => None,
        };
        if outcome == Some(MaintenanceOutcome::OlderTerm) {
            term.lock_planner().record_later_term();
        }
        wave.record_outcome(&name, outcome);
        let fields = [
            ("wave", Value::from(number)),
            ("machine", Value::from(name)),
            ("outcome", Value::from(format!("{result:?}"))),
        ];
        term.node
            .log
            .general("upkeep", "machine taken down", &fields);
    }
    Ok(())
}

/// Stops what runs on a machine, and waits until it is empty or the time for that is used up.
async fn drain_machine(term: &Term, machines: &[Machine], name: &str) {
    let Some(worker) = machines
        .iter()
        .find(|m| m.name == name)
        .and_then(|m| m.worker.clone())
    else {
        return;
    };
    let until_ms = now_ms() + term.node.settings.bounds.stop_grace_ms + DRAIN_MARGIN_MS;
    while term.lock_planner().drain_worker(&worker, now_ms()) > 0 && now_ms() < until_ms {
        term.wake.notify_one();
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
    }
}

/// Writes the state of a wave to the store; true once the store has it.
async fn write_wave_state(term: &Term, number: u64, completed: bool) -> bool {
    let (key, value) = encode_wave_state(number, completed);
    let txn = Txn {
        conditions: vec![Precondition {
            key: keys::LEAD.to_string(),
            revision: term.lead.revision,
        }],
        puts: vec![Put {
            key,
            value,
            lease: None,
        }],
        removals: Vec::new(),
    };
    matches!(
        term.node.store.commit(&txn, CALL_TIMEOUT_MS, false).await,
        Ok(adapter::TxnOutcome::Done(_))
    )
}
