//! Counters, gauges and timers, sent as statsd datagrams; counters are also kept in memory.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use model::prelude::*;
use strum::IntoEnumIterator;

/// Prefix of every metric.
const METRIC_PREFIX: &str = "hemlockloft";

/// Metrics of a node; there is a counter for each reason of a refusal, failure, retry or unknown
/// outcome.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: Option<StatsdClient>,
    counters: BTreeMap<String, AtomicU64>,
}

/// Names of the counters that are not derived from a reason.
const PLAIN_COUNTERS: [&str; 23] = [
    "requests.offered",
    "requests.answered",
    "requests.spilled",
    "requests.forwarded",
    "answers.late",
    "answers.crossed",
    "answers.damaged",
    "attempts.hedged",
    "tickets.drawn",
    "tickets.handed_over",
    "jobs.accepted",
    "jobs.recorded",
    "gangs.started",
    "gangs.adopted",
    "gangs.start_failed",
    "gangs.members_lost",
    "guarantees.shortfalls",
    "leases.old_term",
    "peers.heartbeats_sent",
    "peers.heartbeats_failed",
    "store.reads",
    "store.writes",
    "store.watches",
];

/// Returns the name of the counter of a refusal reason.
pub(crate) fn refusal_counter(reason: RefusalReason) -> String {
    format!("refused.{reason}")
}

/// Returns the name of the counter of a retry reason.
pub(crate) fn retry_counter(reason: RetryReason) -> String {
    format!("retried.{reason}")
}

/// Returns the name of the counter of a failure reason.
pub(crate) fn failure_counter(reason: FailureReason) -> String {
    format!("failed.{reason}")
}

/// Returns the name of the counter of a reason for an unknown outcome.
pub(crate) fn unknown_counter(reason: UnknownReason) -> String {
    format!("outcome_unknown.{reason}")
}

/// Returns the names of all counters, without the prefix.
pub fn counter_names() -> impl Iterator<Item = String> {
    PLAIN_COUNTERS
        .into_iter()
        .map(str::to_owned)
        .chain(RefusalReason::iter().map(refusal_counter))
        .chain(RetryReason::iter().map(retry_counter))
        .chain(FailureReason::iter().map(failure_counter))
        .chain(UnknownReason::iter().map(unknown_counter))
}

impl Metrics {
    /// Opens metrics that are sent to `address`; without an address, counters are only kept in
    /// memory.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened.
    pub(crate) fn connect(address: Option<SocketAddr>) -> std::io::Result<Self> {
        let client = match address {
            Some(address) => Some(connect_statsd(address)?),
            None => None,
        };
        let counters = counter_names()
            .map(|name| (name, AtomicU64::new(0)))
            .collect();
        Ok(Self { client, counters })
    }

    /// Adds one to the counter `name`.
    pub(crate) fn count(&self, name: &str) {
        self.count_many(name, 1);
    }

    /// Adds `by` to the counter `name`.
    pub(crate) fn count_many(&self, name: &str, by: u64) {
        if let Some(counter) = self.counters.get(name) {
            counter.fetch_add(by, Ordering::Relaxed);
        }
        if let Some(client) = &self.client {
            // A metric that cannot be sent is dropped; the counter above still has it.
            let _ = client.count(name, i64::try_from(by).unwrap_or(i64::MAX));
        }
    }

    /// Records a duration in the timer `name`.
    pub(crate) fn time_ms(&self, name: &str, duration_ms: u64) {
        if let Some(client) = &self.client {
            let _ = client.time(name, duration_ms);
        }
    }

    /// Sets the gauge `name`.
    pub(crate) fn gauge(&self, name: &str, level: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(name, level);
        }
    }
}

/// Opens the statsd client; datagrams are sent from a separate thread.
fn connect_statsd(address: SocketAddr) -> std::io::Result<StatsdClient> {
    let socket = UdpSocket::bind(("0.0.0.0", 0))?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    Ok(StatsdClient::from_sink(
        METRIC_PREFIX,
        QueuingMetricSink::from(sink),
    ))
}
