//! A site on loopback: the store, workers, and nodes as processes of their own, started as on the platform.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Answer, call, serve};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Gangs, MAX_HOLD_MS, Worker};

/// The key of the callers.
const KEY: &str = "desk-key";

/// How long a caller waits.
const CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The memory of a node's machine, as on the present installations.
pub const MEMORY_MB: u64 = 260;

/// A node.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    process: Process,
}

/// A process that ends with its owner.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A site. Dropping it ends the nodes.
pub struct Site {
    pub record: Arc<Record>,
    pub workers: Vec<Arc<Worker>>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

/// Returns an address with a free port. Each script has a loopback address of its own, where no outgoing connection takes
/// a port.
fn free_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 16 + high % 64, middle, low);
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// Returns the desired state: a queue `/q/` of priority 1, of one service and one tenant.
pub fn desired_state(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "queue", "host": "desk.example", "prefix": "/q/", "service": "engine", "type": "non_idempotent",
            "timeout_ms": 3_000, "priority": 1, "attempts": 2, "stretch": 3.0, "target_latency_ms": 1_200, "public": false,
        }],
        "services": [{"name": "engine", "enforces_capacity": false}],
        "limits": {"max_body_bytes": 262_144},
        "tenants": [{"name": "desk", "api_keys": [KEY], "guaranteed": {"gpu": 0}}],
    })
}

fn start_process(settings: &Path, log: &Path) -> Process {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log file");
    // The command of the deploy file; the platform names the settings file in this variable.
    let child = Command::new("target/release/hemlockd")
        .arg("serve")
        .env("HEMLOCKLOFT_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .spawn()
        .unwrap_or_else(|e| crate::cannot_run(&format!("target/release/hemlockd: {e}")));
    Process(child)
}

impl Site {
    /// Starts a site, and waits until all nodes are ready and a planner has asked all workers.
    pub fn start(record: Record, nodes: usize, workers: usize) -> Site {
        let record = Arc::new(record);
        let (store, store_address) = Store::start();
        store.write("op/config", &desired_state(1), None);
        let machines = serve(Arc::new(|_| Answer::Reply(200, json!({"machines": []}))));
        let gangs = Arc::new(Gangs::default());
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let workers = (0..workers)
            .map(|number| {
                let (id, rack) = (format!("i-{number:02}"), format!("r1-{}", number / 8));
                Worker::start(&id, &rack, &store, &record, &gangs)
            })
            .collect();
        let nodes = (1..=nodes)
            .map(|number| {
                let name = format!("edge-gyor-{number}");
                let (callers, ready) = (free_address(), free_address());
                let text = json!({
                    "node": {"name": name, "data_centre": "gyor", "region": "dunantul", "processor_cores": 0.25},
                    "listen": {
                        "callers": callers, "readiness": ready, "metrics": free_address(), "peers": free_address(),
                        "own": free_address(),
                    },
                    "store": {"address": store_address, "shortest_lease_ms": 1_000, "writes_per_s": 400},
                    "orders": "rpc",
                    "advice": "",
                    "machines": machines,
                    "limits": {"memory_mb": MEMORY_MB, "max_fds": 4_100},
                    "bounds": {
                        "contact_ms": 4_000, "stop_grace_ms": 400, "longest_lease_ms": MAX_HOLD_MS, "revoke_ms": 5_000,
                        "reclaim_ms": 2_900, "stop_s": 6, "remote_slowdown": 3, "keep_ended_s": 120,
                    },
                });
                let settings = folder.join(format!("{name}.jsonc"));
                std::fs::write(&settings, text.to_string()).expect("a settings file");
                let process = start_process(&settings, &folder.join(format!("{name}.log")));
                Node {
                    name,
                    callers,
                    ready,
                    settings,
                    process,
                }
            })
            .collect();
        let site = Site {
            record,
            workers,
            nodes,
            folder,
        };
        site.wait_until_ready();
        site
    }

    fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        let is_ready = |node: &Node| {
            let timeout = Duration::from_millis(500);
            let headers = [("host", "ready")];
            matches!(
                call(node.ready, "GET", "/readyz", &headers, None, timeout),
                Ok((200, _))
            )
        };
        while !self.nodes.iter().all(is_ready) || self.workers.iter().any(|w| w.answered() == 0) {
            if Instant::now() > until {
                crate::cannot_run("the site is not ready in time");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        std::thread::sleep(Duration::from_millis(1_000));
        self.record.note("the site", "is ready");
    }

    /// Calls a node as a caller of the tenant; the status (0 for no answer) and the body.
    pub fn call(&self, node: usize, method: &str, id: &str, body: Option<&Value>) -> (u16, Value) {
        let headers = [
            ("host", "desk.example"),
            ("hemlockloft-credential", KEY),
            ("hemlockloft-deadline-ms", "3000"),
        ];
        let path = format!("/q/{id}");
        let node = &self.nodes[node];
        let answer = call(node.callers, method, &path, &headers, body, CALLER_TIMEOUT);
        let (status, text) = answer.unwrap_or_else(|e| (0, e));
        let sent = body.map_or_else(String::new, |body| {
            let text = body.to_string();
            let short: String = text.chars().take(200).collect();
            format!(" {short}")
        });
        self.record.note(
            "a caller",
            &format!(
                "sends {method} {path}{sent} to {}; answer: {status} {text}",
                node.name
            ),
        );
        (status, serde_json::from_str(&text).unwrap_or(Value::Null))
    }

    /// Hands a job in, again after 503 and without an answer, at each node in turn; whether it was accepted.
    pub fn submit(&self, id: &str, body: &Value) -> bool {
        (0..8).any(|attempt| {
            let (status, _) = self.call(attempt % self.nodes.len(), "POST", id, Some(body));
            if !(200..300).contains(&status) {
                std::thread::sleep(Duration::from_millis(1_000));
            }
            (200..300).contains(&status)
        })
    }

    /// Returns a job's state as the first node that answers shows it.
    pub fn state(&self, id: &str) -> String {
        for node in 0..self.nodes.len() {
            let (status, body) = self.call(node, "GET", id, None);
            match status {
                200 => return body["state"].as_str().unwrap_or_default().to_string(),
                410 => return "no such job".to_string(),
                _ => {}
            }
        }
        "no answer".to_string()
    }

    /// Kills a node and starts it again.
    pub fn restart_node(&mut self, number: usize) {
        let log = self.folder.join(format!("{}.log", self.nodes[number].name));
        let node = &mut self.nodes[number];
        let _ = node.process.0.kill();
        let _ = node.process.0.wait();
        node.process = start_process(&node.settings, &log);
    }

    /// Returns the resident memory of a node, in megabytes.
    pub fn memory_mb(&self, number: usize) -> u64 {
        let pid = self.nodes[number].process.0.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok())
            .map_or(0, |kb| kb / 1_024)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
