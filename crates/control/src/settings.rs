//! A node's settings: JSON with comments, checked before anything starts.

use std::net::SocketAddrV4;
use std::ops::RangeInclusive;

use model::document::strict_options;
use serde::Deserialize;
use thiserror::Error;

/// The most cores that a node's settings may name.
const MAX_PROCESSOR_CORES: f64 = 1_024.0;

/// The memory that a VM may have. With less, there is no room for one body of the longest size beside the process.
const MEMORY_MB_RANGE: RangeInclusive<u64> = 32..=1_048_576;

/// The descriptors that a process may have: some beside those for files.
const MAX_FDS_RANGE: RangeInclusive<u64> = 264..=1_048_576;

/// The length of a head: at least the least buffer of the HTTP server.
const HEAD_BYTES_RANGE: RangeInclusive<u64> = 8_192..=1_048_576;

/// The range of the times for a head and a body, up to an hour.
const ARRIVAL_MS_RANGE: RangeInclusive<u64> = 1_000..=3_600_000;

/// An error in a settings file.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
#[error("{file}: {place}: {detail}")]
pub struct Finding {
    /// The file.
    pub file: String,
    /// The line and column, or the field.
    pub place: String,
    /// What is wrong.
    pub detail: String,
}

/// The file as written, before it is checked.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawSettings {
    node: RawNode,
    listen: RawListen,
    store: RawStore,
    orders: String,
    advice: Option<String>,
    machines: Option<String>,
    bounds: Bounds,
    limits: Limits,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawNode {
    name: String,
    data_centre: String,
    region: String,
    processor_cores: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawListen {
    callers: String,
    readiness: String,
    metrics: String,
    peers: Option<String>,
    own: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawStore {
    address: String,
    shortest_lease_ms: u64,
    writes_per_s: u64,
}

/// Limits set by the deployment; the defaults are those of the present deployments.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// A worker's smaller capacity binds this time, and one interval between its reports, after it shrank.
    pub contact_ms: u64,
    /// The longest time that stopping a task takes.
    pub stop_grace_ms: u64,
    /// A task that has not been at work for this long counts as unavailable, whatever the cause.
    pub notice_ms: u64,
    /// The longest lease that a worker grants.
    pub longest_lease_ms: u64,
    /// How long a key may still be honoured after its removal.
    pub revoke_ms: u64,
    /// A guaranteed job must begin within this time after it was accepted.
    pub reclaim_ms: u64,
    /// How long the process has to end after SIGTERM, in seconds.
    pub stop_s: f64,
    /// Factor by which a task takes longer away from its data.
    pub remote_slowdown: f64,
    /// How long callers can ask for a job after its end, in seconds.
    pub keep_ended_s: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            contact_ms: 4_000,
            stop_grace_ms: 900,
            notice_ms: 5_500,
            longest_lease_ms: 10_000,
            revoke_ms: 5_000,
            reclaim_ms: 2_900,
            stop_s: 6.0,
            remote_slowdown: 3.0,
            keep_ended_s: 120,
        }
    }
}

/// The share of the VM's memory for requests that are being collected or answered: an eighth, since a job is held up to
/// five times while it is decoded, encoded and stored.
const COLLECTED_SHARE: u64 = 8;

/// The share of the VM's memory for the buffers of all connections, each with a head that is read and an answer that is
/// written: what collected requests and the process itself leave.
const BUFFERED_PERCENT: u64 = 60;

/// The share of the VM's memory for the tasks of jobs that wait or run: a quarter.
const TASKS_SHARE: u64 = 4;

/// Memory that the planner needs for a task.
const TASK_BYTES: u64 = 320;

/// Descriptors that are reserved for files.
const FILE_FDS: u64 = 200;

/// The fewest connections of an address: one that is used, and others that still close.
const MIN_CONNECTIONS: u64 = 4;

/// The share of the process's sockets for calls to the store and to peers on behalf of callers: an eighth.
const ANSWERING_SHARE: u64 = 8;

/// The shares of the process's sockets, in 64ths; what remains is for calls to the store, workers and peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DoorShare {
    /// Callers.
    Callers = 40,
    /// The jobs API; each call of its takes a connection to the store as well.
    Own = 4,
    /// Peers.
    Peers = 3,
    /// The load balancer's checks.
    Readiness = 2,
    /// Metrics collectors.
    Metrics = 1,
}

impl DoorShare {
    const SOCKETS: u64 = 64;
    /// The sum of all shares.
    const DOORS: u64 = 50;
}

/// Limits of the process; the defaults suit the smallest VMs and the longest bodies of the present deployments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The memory of the VM, in megabytes.
    pub memory_mb: u64,
    /// The most descriptors of the process.
    pub max_fds: u64,
    /// The longest head of a request, in bytes; also the size of a connection's buffers.
    pub head_bytes: u64,
    /// The longest time that a head may take to arrive.
    pub head_ms: u64,
    /// The longest time that a body may take to arrive. The longest one takes 1 s over 2 Mbit/s.
    pub body_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            memory_mb: 160,
            max_fds: 4_100,
            head_bytes: 16_384,
            head_ms: 30_000,
            body_ms: 60_000,
        }
    }
}

impl Limits {
    /// Returns how many bytes of requests may be collected at once.
    pub fn collected_bytes(&self) -> usize {
        (self.memory_mb * 1_024 * 1_024 / COLLECTED_SHARE) as usize
    }

    /// Returns how many tasks of jobs that are due the planner holds in memory.
    pub(crate) fn max_built_tasks(&self) -> usize {
        (self.memory_mb * 1_024 * 1_024 / TASKS_SHARE / TASK_BYTES) as usize
    }

    /// Returns how many connections an address may have.
    pub(crate) fn max_connections(&self, share: DoorShare) -> usize {
        let sockets = self.max_fds.saturating_sub(FILE_FDS);
        let by_sockets = sockets * share as u64 / DoorShare::SOCKETS;
        let buffered = self.memory_mb * 1_024 * 1_024 * BUFFERED_PERCENT / 100;
        let by_memory = buffered / (2 * self.head_bytes) * share as u64 / DoorShare::DOORS;
        let connections = by_sockets.min(by_memory);
        connections.max(MIN_CONNECTIONS) as usize
    }

    /// Returns how many requests of callers may be answered at once; each may take a connection to the store or a peer.
    pub(crate) fn max_answering(&self) -> usize {
        (self.max_fds.saturating_sub(FILE_FDS) / ANSWERING_SHARE) as usize
    }

    /// Returns each field that is out of its range, with what is wrong.
    fn check(&self) -> impl Iterator<Item = (&'static str, String)> {
        let fields = [
            ("limits.memory_mb", self.memory_mb, MEMORY_MB_RANGE),
            ("limits.max_fds", self.max_fds, MAX_FDS_RANGE),
            ("limits.head_bytes", self.head_bytes, HEAD_BYTES_RANGE),
            ("limits.head_ms", self.head_ms, ARRIVAL_MS_RANGE),
            ("limits.body_ms", self.body_ms, ARRIVAL_MS_RANGE),
        ];
        fields
            .into_iter()
            .filter(|(_, value, range)| !range.contains(value))
            .map(|(field, value, range)| {
                let (least, most) = range.into_inner();
                (field, format!("{value} is not from {least} to {most}"))
            })
    }
}

/// A node's settings, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The node's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Its processor, in thousandths of a core; 0 if unknown.
    pub processor_millis: u32,
    /// Address for callers.
    pub callers: SocketAddrV4,
    /// Address where the load balancer checks readiness.
    pub readiness: SocketAddrV4,
    /// Address where the metrics are read.
    pub metrics: SocketAddrV4,
    /// Address for calls that peers pass on, if the node takes them.
    pub peers: Option<SocketAddrV4>,
    /// Address of the product's own jobs API, if the node serves it.
    pub own: Option<SocketAddrV4>,
    /// Address of the platform's store.
    pub store: SocketAddrV4,
    /// The shortest lease that the store grants.
    pub shortest_lease_ms: u64,
    /// How many writes per second the store takes from all nodes; 0 if unknown.
    pub writes_per_s: u64,
    /// Address of the service for machines, if there is one.
    pub machines: Option<SocketAddrV4>,
    /// Address of the service that grants tickets, if there is one.
    pub advice: Option<SocketAddrV4>,
    /// Limits of the deployment.
    pub bounds: Bounds,
    /// Limits of the process.
    pub limits: Limits,
}

impl Settings {
    /// Parses and checks a settings file. Reports all invalid fields together, or only the first error of the syntax or
    /// shape.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Finding>> {
        let finding = |place: &str, detail: String| Finding {
            file: file.to_string(),
            place: place.to_string(),
            detail,
        };
        let raw: RawSettings = jsonc_parser::parse_to_serde_value(text, &strict_options())
            .map_err(|e| {
                vec![finding(
                    &format!("line {}, column {}", e.line_display(), e.column_display()),
                    e.kind().to_string(),
                )]
            })?;
        let mut findings = Vec::new();
        let mut address = |field: &str, text: &str| {
            text.parse::<SocketAddrV4>().unwrap_or_else(|_| {
                findings.push(finding(
                    field,
                    format!("{text:?} is not an address of the form IP:PORT"),
                ));
                SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0)
            })
        };
        let settings = Settings {
            callers: address("listen.callers", &raw.listen.callers),
            readiness: address("listen.readiness", &raw.listen.readiness),
            metrics: address("listen.metrics", &raw.listen.metrics),
            peers: raw
                .listen
                .peers
                .as_deref()
                .filter(|a| !a.is_empty())
                .map(|a| address("listen.peers", a)),
            own: raw
                .listen
                .own
                .as_deref()
                .filter(|a| !a.is_empty())
                .map(|a| address("listen.own", a)),
            store: address("store.address", &raw.store.address),
            machines: raw
                .machines
                .as_deref()
                .filter(|a| !a.is_empty())
                .map(|a| address("machines", a)),
            advice: raw
                .advice
                .as_deref()
                .filter(|a| !a.is_empty())
                .map(|a| address("advice", a)),
            name: raw.node.name,
            data_centre: raw.node.data_centre,
            region: raw.node.region,
            processor_millis: (raw.node.processor_cores * 1000.0).round() as u32,
            shortest_lease_ms: raw.store.shortest_lease_ms,
            writes_per_s: raw.store.writes_per_s,
            bounds: raw.bounds,
            limits: raw.limits,
        };
        if settings.name.is_empty() {
            findings.push(finding("node.name", "is missing".to_string()));
        }
        if !(0.0..=MAX_PROCESSOR_CORES).contains(&raw.node.processor_cores) {
            let detail = format!(
                "{} is not a number of cores from 0 to {MAX_PROCESSOR_CORES}",
                raw.node.processor_cores
            );
            findings.push(finding("node.processor_cores", detail));
        }
        if !matches!(raw.orders.as_str(), "rpc" | "") {
            let detail = format!(
                "{:?} is not a supported way of sending orders; this version supports \"rpc\"",
                raw.orders
            );
            findings.push(finding("orders", detail));
        }
        let limits = settings.limits.check();
        findings.extend(limits.map(|(field, detail)| finding(field, detail)));
        match findings.is_empty() {
            true => Ok(settings),
            false => Err(findings),
        }
    }
}
