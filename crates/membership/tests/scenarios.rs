//! Runs the scripted scenarios of `tests/scripts` on three entry nodes that exchange heartbeats.
//!
//! The scripts cover nodes that die, pause, restart or are cut off, and workers that are listed,
//! refuse work, restart or are drained. Each one states the events of every node, so that a false
//! suspicion, a missed one or a planner that the nodes disagree on makes it fail.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::path::Path;

use goldenscript::{Command, Context, Runner};
use membership::peers::{HeartbeatView, ListedPeer, PeerConfig, PeerEvent, Peers};
use membership::rendezvous::RackGroup;
use membership::workers::{ListedWorker, WorkerEvent, WorkerRow, Workers};
use model::prelude::*;
use rstest::rstest;

const NODES: [&str; 3] = ["gyor-1", "gyor-2", "gyor-3"];
const TICK_MS: u64 = 100;

fn name<T: for<'a> TryFrom<&'a str, Error: std::fmt::Debug>>(raw: &str) -> T {
    T::try_from(raw).expect("well-formed name")
}

struct Node {
    peers: Peers,
    workers: Workers,
    up: bool,
    paused: bool,
    slow_ms: u64,
    incarnation_number: u64,
}

/// A heartbeat in flight.
struct Heartbeat {
    at_ms: u64,
    to: String,
    view: HeartbeatView,
    rows: Vec<WorkerRow>,
}

/// Simulated site of entry nodes and the platform's list, in virtual time.
struct Site {
    now_ms: u64,
    nodes: BTreeMap<String, Node>,
    listed: BTreeMap<String, bool>,
    in_flight: Vec<Heartbeat>,
    cuts: BTreeSet<(String, String)>,
    log: Vec<String>,
}

impl Site {
    fn new() -> Self {
        let mut site = Self {
            now_ms: 10_000,
            nodes: BTreeMap::new(),
            listed: (0..3).map(|i| (format!("w-{i}"), false)).collect(),
            in_flight: Vec::new(),
            cuts: BTreeSet::new(),
            log: Vec::new(),
        };
        for (seed, id) in NODES.into_iter().enumerate() {
            site.start_node(id, 1, 170 * seed as u64);
        }
        site.advance(5_000);
        site.log.clear();
        site
    }

    fn start_node(&mut self, id: &str, incarnation_number: u64, seed: u64) {
        let config = PeerConfig::default();
        let data_centre: DataCentreName = name("gyor");
        let incarnation = Incarnation(incarnation_number);
        let mut peers = Peers::new(config, name(id), data_centre.clone(), incarnation, seed);
        peers.watch_groups(
            self.now_ms,
            [RackGroup {
                data_centre,
                index: 0,
            }],
        );
        let workers = Workers::new();
        let node = Node {
            peers,
            workers,
            up: true,
            paused: false,
            slow_ms: 0,
            incarnation_number,
        };
        self.nodes.insert(id.to_owned(), node);
        self.deliver_list();
    }

    /// Delivers the platform's list to every node that runs.
    fn deliver_list(&mut self) {
        let entry = |(id, leaving): (&String, &bool)| ListedWorker {
            worker: name(id),
            leaving: *leaving,
        };
        let workers: Vec<_> = self.listed.iter().map(entry).collect();
        let peer = |id: &&str| ListedPeer {
            node: name(id),
            data_centre: name("gyor"),
            leaving: false,
        };
        let peers: Vec<_> = NODES.iter().map(peer).collect();
        for node in self.nodes.values_mut().filter(|n| n.up && !n.paused) {
            node.peers.on_list(self.now_ms, &peers);
            node.workers.on_list(self.now_ms, &workers);
        }
    }

    fn advance(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            let before_ms = self.now_ms;
            self.now_ms += TICK_MS;
            self.deliver();
            self.send(before_ms);
            self.log_events();
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = self.in_flight.drain(..).partition(|h| h.at_ms <= now_ms);
        self.in_flight = later;
        let due: Vec<Heartbeat> = due;
        for heartbeat in due {
            let node = self.nodes.get_mut(&heartbeat.to).expect("known");
            if node.up && !node.paused {
                node.peers.on_heartbeat(now_ms, &heartbeat.view);
                node.workers.on_peer_rows(now_ms, &heartbeat.rows);
            }
        }
    }

    fn send(&mut self, before_ms: u64) {
        let now_ms = self.now_ms;
        for (id, node) in self.nodes.iter_mut().filter(|(_, n)| n.up && !n.paused) {
            node.peers.tick(now_ms);
            if node.peers.next_heartbeat_ms(before_ms) > now_ms {
                continue;
            }
            let (view, rows) = (node.peers.heartbeat(), node.workers.rows(now_ms));
            for to in NODES.iter().filter(|to| *to != id) {
                if !self.cuts.contains(&(id.clone(), to.to_string())) {
                    let (view, rows) = (view.clone(), rows.clone());
                    let at_ms = now_ms + node.slow_ms + 1;
                    self.in_flight.push(Heartbeat {
                        at_ms,
                        to: to.to_string(),
                        view,
                        rows,
                    });
                }
            }
        }
    }

    fn log_events(&mut self) {
        for (id, node) in &mut self.nodes {
            let mut lines = Vec::new();
            while let Some(event) = node.peers.poll() {
                lines.push(match event {
                    PeerEvent::PeerJoined { node, .. } => format!("{node} joined"),
                    PeerEvent::Suspected { node } => format!("suspects {node}"),
                    PeerEvent::Gone { node } => format!("{node} is gone"),
                    PeerEvent::Returned { node } => format!("{node} returned"),
                    PeerEvent::PlannerChanged { planner, .. } => {
                        format!("planner is {}", planner.map_or("-".into(), String::from))
                    }
                });
            }
            while let Some(event) = node.workers.poll() {
                lines.push(match event {
                    WorkerEvent::Closed { worker, source } => {
                        format!("{worker} closed by {source:?}")
                    }
                    WorkerEvent::Opened { worker } => format!("{worker} opened"),
                    WorkerEvent::Rebooted { worker, boot } => format!("{worker} booted {boot}"),
                    WorkerEvent::Joined { worker } => format!("{worker} listed"),
                    WorkerEvent::Vanished { worker } => format!("{worker} not listed"),
                });
            }
            let at_ms = self.now_ms.saturating_sub(15_000);
            self.log.extend(
                lines
                    .into_iter()
                    .map(|line| format!("{at_ms} ms {id}: {line}")),
            );
        }
    }

    fn node(&mut self, id: &str) -> Result<&mut Node, Box<dyn Error>> {
        self.nodes
            .get_mut(id)
            .ok_or_else(|| format!("no node {id}").into())
    }

    fn execute(&mut self, words: &[&str]) -> Result<(), Box<dyn Error>> {
        let now_ms = self.now_ms;
        match words {
            ["advance", time] => {
                let seconds: f64 = time.trim_end_matches('s').parse()?;
                self.advance((1_000.0 * seconds) as u64);
            }
            ["pause", "node", id] => self.node(id)?.paused = true,
            ["resume", "node", id] => self.node(id)?.paused = false,
            ["kill", "node", id] => self.node(id)?.up = false,
            ["restart", "node", id] => {
                let incarnation_number = self.node(id)?.incarnation_number + 1;
                self.start_node(id, incarnation_number, 70);
            }
            ["stop", "node", id] => self.node(id)?.peers.set_leaving(now_ms),
            ["slow", "node", id, ms] => self.node(id)?.slow_ms = ms.parse()?,
            ["cut", a, b] => {
                self.cuts.insert((a.to_string(), b.to_string()));
            }
            ["heal"] => self.cuts.clear(),
            ["list", worker, state] => {
                self.listed.insert(worker.to_string(), *state == "leaving");
                self.deliver_list();
            }
            ["refuse", id, worker] => {
                self.node(id)?
                    .workers
                    .on_refusal(now_ms, &name(worker), Some(1));
            }
            ["boot", id, worker, boot] => {
                self.node(id)?.workers.on_boot(&name(worker), boot.parse()?);
            }
            ["drain", id, worker] => self.node(id)?.workers.drain(&name(worker), &name(id)),
            ["undrain", id, worker] => self.node(id)?.workers.undrain(&name(worker), &name(id)),
            ["expect", "open", id, worker, "=", wanted] => {
                let open = self.node(id)?.workers.is_open(&name(worker));
                if open != (*wanted == "yes") {
                    return Err(format!("{worker} open at {id}: {open}").into());
                }
            }
            ["expect", "planner", id, "=", wanted] => {
                let group = RackGroup {
                    data_centre: name("gyor"),
                    index: 0,
                };
                let planner = self.node(id)?.peers.planner_of(now_ms, &group).cloned();
                if planner != Some(name(wanted)) {
                    return Err(format!("planner at {id} is {planner:?}").into());
                }
            }
            _ => return Err(format!("unknown command {words:?}").into()),
        }
        Ok(())
    }
}

impl Runner for Site {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut words: Vec<String> = command.name.split_whitespace().map(str::to_owned).collect();
        words.extend(command.args.iter().map(ToString::to_string));
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        self.execute(&words)?;
        self.log_events();
        Ok(std::mem::take(&mut self.log).join("\n"))
    }
}

#[rstest]
#[case("peers")]
#[case("workers")]
fn scenarios_hold(#[case] directory: &str) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/scripts")
        .join(directory);
    let entries = std::fs::read_dir(&directory).expect("scripts");
    let mut paths: Vec<_> = entries.map(|entry| entry.expect("entry").path()).collect();
    paths.sort();
    for path in paths {
        goldenscript::run(&mut Site::new(), &path).expect("script runs");
    }
}
