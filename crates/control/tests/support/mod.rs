//! A simulated site: a store and workers of `platform_standin`, and nodes that can be killed.

#![allow(dead_code)]

pub mod silent_link;
pub mod slow_link;

use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

use control::{Listeners, Log, Settings};
use platform_standin::{AdviceStandIn, Audit, MachinesStandIn, StoreStandIn, WorkerStandIn};
use reqwest::{Client, Response};
use serde_json::{Value, json};
use tokio::sync::oneshot;

/// Time between two checks of an awaited condition.
const POLL: Duration = Duration::from_millis(20);

/// Checks after which an awaited condition counts as missed.
const MAX_POLLS: u32 = 3_000;

/// Processor of a node's VM, in cores, where a test names none.
const DEFAULT_CORES: f64 = 0.25;

/// The key that the configuration permits.
pub const KEY: &str = "desk-key";

/// A node on a thread and runtime of its own; killing it ends everything that it does.
pub struct TestNode {
    pub address: SocketAddr,
    pub own: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl TestNode {
    /// Ends the node without a planned stop.
    pub fn kill(&mut self) {
        if let Some(kill) = self.kill.take() {
            // The node may already have ended.
            let _ = kill.send(());
        }
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A simulated site.
pub struct Site {
    pub store: StoreStandIn,
    pub workers: Vec<WorkerStandIn>,
    pub audit: Audit,
    pub nodes: Vec<TestNode>,
    pub client: Client,
    /// The service of machines, if the site has one.
    pub machines: Option<MachinesStandIn>,
    /// The advice service of nodes that start from now on, if there is one.
    pub advice: Option<AdviceStandIn>,
    /// Where each node reaches it, by index; other nodes share its first address.
    pub advice_addresses: Vec<SocketAddr>,
    /// How many writes per second the store takes, by the settings of nodes that start from now on; 0 if unknown.
    pub writes_per_s: u64,
}

impl Site {
    /// Starts a site with one node, whose tasks take `run_for`.
    pub async fn start(workers: usize, run_for: Duration) -> Site {
        let mut site = Site::start_without_nodes(workers, run_for).await;
        site.add_node().await;
        site
    }

    /// Starts a site with one node and a service of machines, whose maintenance takes `maintenance`.
    pub async fn start_with_machines(
        workers: usize,
        run_for: Duration,
        maintenance: Duration,
    ) -> Site {
        let mut site = Site::start_without_nodes(workers, run_for).await;
        let (store, audit) = (site.store.clone(), site.audit.clone());
        let machines =
            MachinesStandIn::start(&site.workers, store, audit, run_for, maintenance).await;
        site.machines = Some(machines.unwrap());
        site.add_node().await;
        site
    }

    /// Starts a site without nodes, whose tasks take `run_for`.
    pub async fn start_without_nodes(workers: usize, run_for: Duration) -> Site {
        let store = StoreStandIn::start().await.unwrap();
        let audit = Audit::default();
        let mut site = Site {
            store,
            workers: Vec::new(),
            audit,
            nodes: Vec::new(),
            client: Client::new(),
            machines: None,
            advice: None,
            advice_addresses: Vec::new(),
            writes_per_s: 0,
        };
        for _ in 0..workers {
            site.add_worker(run_for).await;
        }
        site.store
            .write("op/config", &platform_standin::configuration(1, &[KEY]));
        site
    }

    /// Starts another worker, whose tasks take `run_for`, and lists it.
    pub async fn add_worker(&mut self, run_for: Duration) {
        let id = format!("i-{}", self.workers.len());
        let worker = WorkerStandIn::start(&id, run_for, self.audit.clone())
            .await
            .unwrap();
        let (key, entry) = worker.entry();
        self.store.write(&key, &entry);
        self.workers.push(worker);
    }

    /// Starts another node, and waits until it is ready; returns its index.
    pub async fn add_node(&mut self) -> usize {
        self.add_node_at(self.store.address()).await
    }

    /// Starts another node that reaches the store at the given address, and waits until it is ready.
    pub async fn add_node_at(&mut self, store: SocketAddr) -> usize {
        let at = self.start_node_at(store);
        self.wait("the node is ready", async |site| site.is_ready(at).await)
            .await;
        at
    }

    /// Starts another node that reaches the store at the given address.
    pub fn start_node_at(&mut self, store: SocketAddr) -> usize {
        self.start_node_with(store, DEFAULT_CORES)
    }

    /// Starts another node on a VM with this much processor, and waits until it is ready.
    pub async fn add_node_with(&mut self, processor_cores: f64) -> usize {
        let at = self.start_node_with(self.store.address(), processor_cores);
        self.wait("the node is ready", async |site| site.is_ready(at).await)
            .await;
        at
    }

    fn start_node_with(&mut self, store: SocketAddr, processor_cores: f64) -> usize {
        let listeners = Listeners::bind_free().unwrap();
        let address = |listener: &TcpListener| listener.local_addr().unwrap();
        let optional = |listener: &Option<TcpListener>| address(listener.as_ref().unwrap());
        let (callers, readiness) = (address(&listeners.callers), address(&listeners.readiness));
        let (metrics, own) = (address(&listeners.metrics), optional(&listeners.own));
        let peers = optional(&listeners.peers);
        let name = format!("node-{}", self.nodes.len());
        let text = json!({
            "node": {"name": name, "data_centre": "gyor", "region": "dunantul", "processor_cores": processor_cores},
            "listen": {"callers": callers, "readiness": readiness, "metrics": metrics, "peers": peers, "own": own},
            "store": {"address": store, "shortest_lease_ms": 100, "writes_per_s": self.writes_per_s},
            "orders": "rpc",
            "machines": self.machines.as_ref().map(MachinesStandIn::address),
            "advice": self.advice_addresses.get(self.nodes.len()).copied()
                .or_else(|| self.advice.as_ref().map(AdviceStandIn::address)),
        });
        let settings = Settings::parse("test", &text.to_string()).unwrap();
        let (kill, killed) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async {
                tokio::select! {
                    result = control::serve_on(listeners, settings, Log::discarding(&name)) => result.unwrap(),
                    _ = killed => {}
                }
            });
            runtime.shutdown_background();
        });
        self.nodes.push(TestNode {
            address: callers,
            own,
            readiness,
            metrics,
            kill: Some(kill),
            thread: Some(thread),
        });
        self.nodes.len() - 1
    }

    /// Returns whether a node reports that it is ready.
    pub async fn is_ready(&self, at: usize) -> bool {
        let url = format!("http://{}/readyz", self.nodes[at].readiness);
        self.client
            .get(url)
            .send()
            .await
            .is_ok_and(|response| response.status() == 200)
    }

    /// Returns how many calls a node has passed on to its peers.
    pub async fn count_passed_on(&self, at: usize) -> u64 {
        self.read_metric(at, "passed_on_total").await
    }

    /// Returns the value of a node's metric, whose name lacks the common prefix.
    pub async fn read_metric(&self, at: usize, name: &str) -> u64 {
        let url = format!("http://{}/metrics", self.nodes[at].metrics);
        let response = self.client.get(url).send().await.unwrap();
        let text = response.text().await.unwrap();
        let prefix = format!("hemlockloft_{name} ");
        let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
        value.unwrap().parse().unwrap()
    }

    /// Waits until a condition holds; `what` names it in the panic if it never does.
    pub async fn wait(&self, what: &str, holds: impl AsyncFn(&Site) -> bool) {
        for _ in 0..MAX_POLLS {
            if holds(self).await {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("never seen: {what}");
    }

    /// Makes a caller's call; none if it got no answer.
    pub async fn call(
        &self,
        at: usize,
        method: &str,
        path: &str,
        key: &str,
        body: String,
    ) -> Option<Response> {
        let url = format!("http://{}{path}", self.nodes[at].address);
        let request = match method {
            "POST" => self.client.post(url).body(body),
            "DELETE" => self.client.delete(url),
            _ => self.client.get(url),
        };
        let request = request
            .header("host", "desk.example")
            .header("hemlockloft-credential", key);
        request.send().await.ok()
    }

    /// Submits a job of `count` tasks; returns the status, or 0 without an answer.
    pub async fn submit(&self, at: usize, id: u64, count: u32) -> u16 {
        self.submit_with(at, id, count, "text").await
    }

    /// Submits a job of `count` tasks with this `spec`; returns the status, or 0 without an answer.
    pub async fn submit_with(&self, at: usize, id: u64, count: u32, spec: &str) -> u16 {
        let step =
            json!({"count": count, "cpu": 1000, "mem_mb": 100, "gpu": 1, "estimate_ms": 100});
        let body = json!({"spec": spec, "steps": [step]});
        self.submit_body(at, id, &body).await
    }

    /// Submits a job of `count` tasks that all fit on one worker; returns the status, or 0 without an answer.
    pub async fn submit_weightless(&self, at: usize, id: u64, count: u32) -> u16 {
        let step = json!({"count": count, "cpu": 0, "mem_mb": 0, "gpu": 0, "estimate_ms": 100});
        let body = json!({"spec": "text", "steps": [step]});
        self.submit_body(at, id, &body).await
    }

    /// Submits a job of these steps; returns the status, or 0 without an answer.
    pub async fn submit_steps(&self, at: usize, id: u64, steps: Value) -> u16 {
        let body = json!({"spec": "text", "steps": steps});
        self.submit_body(at, id, &body).await
    }

    async fn submit_body(&self, at: usize, id: u64, body: &Value) -> u16 {
        let body = body.to_string();
        let response = self
            .call(at, "POST", &format!("/q/{id:016x}"), KEY, body)
            .await;
        response.map_or(0, |response| response.status().as_u16())
    }

    /// Returns a job's state as a node reports it; empty if it reports none.
    pub async fn state(&self, at: usize, id: u64) -> String {
        let Some(response) = self
            .call(at, "GET", &format!("/q/{id:016x}"), KEY, String::new())
            .await
        else {
            return String::new();
        };
        let body: Value = response.json().await.unwrap_or(Value::Null);
        body["state"].as_str().unwrap_or_default().to_string()
    }
}
