//! Measures the cost of heartbeats and usage rows between entry nodes, and of operator queries.

use std::time::Duration;

use admission::{Admission, AdmissionConfig, Decision, Offer, UsageRow};
use bincode::Options;
use console::{Row, RowSource, Statement, TableName, Value, parse_statement, run_query};
use membership::peers::{HeartbeatView, PeerConfig, Peers};
use model::prelude::*;
use serde::Serialize;

use super::capacity_declarations::{build_sample_classes, build_sample_organisation};
use super::capacity_meter::measure_cpu_us;

/// Number of organisations that submit requests.
const ORGANISATIONS: usize = 16;

/// Requests in flight on each worker, over all nodes.
const IN_FLIGHT_PER_WORKER: usize = 4;

/// Number of repetitions of short measurements.
const REPETITIONS: u32 = 20;

/// Cost of heartbeats at one number of nodes; times are in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerCost {
    /// Processor time of handling one heartbeat of every peer and one tick.
    pub(super) round_us: f64,
    /// Bytes of one heartbeat, without usage rows.
    pub(super) heartbeat_bytes: f64,
}

/// Cost of usage rows at one number of workers; times are in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RowCost {
    /// Bytes of the usage rows of one heartbeat.
    pub(super) row_bytes: f64,
    /// Processor time of building the rows once.
    pub(super) build_us: f64,
    /// Processor time of merging the rows of one peer once.
    pub(super) merge_us: f64,
}

/// Returns the number of bytes of `value` in the encoding between entry nodes.
pub(super) fn count_peer_bytes<T: Serialize>(value: &T) -> f64 {
    bincode::DefaultOptions::new()
        .serialized_size(value)
        .map_or(0.0, |bytes| bytes as f64)
}

fn build_heartbeat(index: usize, sequence: u64) -> Option<HeartbeatView> {
    Some(HeartbeatView {
        node: format!("gyor-n{index}").try_into().ok()?,
        data_centre: "gyor".try_into().ok()?,
        incarnation: Incarnation(1_700_000_000_000),
        sequence,
        leaving: false,
    })
}

/// Measures the heartbeats of one node among `nodes` nodes.
pub(super) fn measure_peers(nodes: usize) -> Option<PeerCost> {
    let mut peers = Peers::new(
        PeerConfig::default(),
        "gyor-n0".try_into().ok()?,
        "gyor".try_into().ok()?,
        Incarnation(1),
        7,
    );
    let build_heartbeats = |sequence| -> Vec<HeartbeatView> {
        (1..nodes)
            .filter_map(|index| build_heartbeat(index, sequence))
            .collect()
    };
    let heartbeat_bytes = count_peer_bytes(&build_heartbeats(1).pop()?);
    let mut now_ms = 0;
    let mut round_us = 0.0;
    for sequence in 1..=u64::from(REPETITIONS) {
        now_ms += PeerConfig::default().heartbeat_ms;
        let round = build_heartbeats(sequence);
        let ((), us) = measure_cpu_us(|| {
            for view in &round {
                peers.on_heartbeat(now_ms, view);
            }
            peers.tick(now_ms);
            while peers.poll().is_some() {}
        });
        round_us += us;
    }
    Some(PeerCost {
        round_us: round_us / f64::from(REPETITIONS),
        heartbeat_bytes,
    })
}

/// Builds admission with requests in flight on `workers` workers.
pub(super) fn build_admission(workers: usize, seed: u64) -> Option<Admission> {
    let mut admission = Admission::new(AdmissionConfig::default(), seed);
    let organisations: Vec<OrganisationSpec> = (0..ORGANISATIONS)
        .filter_map(|index| build_sample_organisation(index, u32::MAX))
        .map(|mut spec| {
            spec.quota.requests_in_flight = u32::MAX;
            spec
        })
        .collect();
    admission.declare(0, &organisations, &build_sample_classes());
    for index in 0..workers {
        let name = format!("gyor-r{}-w{}", index / 8, index % 8);
        admission.upsert_worker(&name.try_into().ok()?, 8, 64);
    }
    let mut decisions: Vec<Decision> = Vec::new();
    let requests = workers * IN_FLIGHT_PER_WORKER;
    for index in 0..requests {
        let organisation = organisations[index % organisations.len()].name.clone();
        let offer = Offer {
            organisation,
            class: "roster-query".try_into().ok()?,
            deadline_at_ms: Duration::from_secs(60).as_millis() as u64,
            idempotent: false,
        };
        // A rejected offer takes no worker and adds no row, so the result is ignored.
        let _ = admission.offer(1, offer);
        admission.poll(1, &mut decisions);
    }
    Some(admission)
}

/// Measures the usage rows of nodes that share `workers` workers.
pub(super) fn measure_rows(workers: usize, seed: u64) -> Option<RowCost> {
    let mut admission = build_admission(workers, seed)?;
    let owner: NodeName = "gyor-n1".try_into().ok()?;
    let mut rows: Vec<UsageRow> = Vec::new();
    let ((), build_us) = measure_cpu_us(|| {
        for _ in 0..REPETITIONS {
            rows = admission.rows(1);
        }
    });
    let copies: Vec<Vec<UsageRow>> = (0..REPETITIONS).map(|_| rows.clone()).collect();
    let ((), merge_us) = measure_cpu_us(|| {
        for (sequence, rows) in (1..).zip(copies) {
            admission.merge_rows(1, &owner, sequence, rows);
        }
    });
    Some(RowCost {
        row_bytes: count_peer_bytes(&rows),
        build_us: build_us / f64::from(REPETITIONS),
        merge_us: merge_us / f64::from(REPETITIONS),
    })
}

/// Source of generated rows of the accelerators table.
struct GeneratedAccelerators {
    count: usize,
}

impl RowSource for GeneratedAccelerators {
    fn rows(&self, _: TableName) -> Vec<Row> {
        (0..self.count)
            .map(|index| {
                let worker = index / 8;
                vec![
                    Value::Text(format!("gyor-r{}-w{}", worker / 8, worker % 8)),
                    Value::count((index % 8) as u64),
                    Value::text("gyor"),
                    Value::Text(format!("r{}", worker / 8)),
                    Value::text("held"),
                    Value::text("county-desks"),
                    Value::Null,
                    Value::Integer(1),
                    Value::Integer(0),
                    Value::Integer(1),
                ]
            })
            .collect()
    }
}

/// Measures the processor time of one grouped query over `count` accelerators, in microseconds.
pub(super) fn measure_query(count: usize) -> Option<f64> {
    let statement = parse_statement("show accelerators by rack where in_use = 1").ok()?;
    let Statement::Query(query) = statement else {
        return None;
    };
    let (answer, us) = measure_cpu_us(|| run_query(&query, &GeneratedAccelerators { count }));
    answer.ok().map(|_| us)
}
