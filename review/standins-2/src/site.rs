//! A site on loopback: the store, workers, and nodes as processes of their own, started as on the platform.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Answer, call, serve};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Gangs, MAX_HOLD_MS, Worker};

/// The key of the callers.
const KEY: &str = "desk-key";

/// How long a caller waits.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The memory of a node's machine: of those of `ugyelet-racs`, and the least of `ugyelet-racs-grown`.
pub const USUAL_MEMORY_MB: u64 = 260;
pub const LEAST_MEMORY_MB: u64 = 160;

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
    pub store: Arc<Store>,
    gangs: Arc<Gangs>,
    pub record: Arc<Record>,
    pub workers: Vec<Arc<Worker>>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

/// Returns an address with a free port. Each script has a loopback address of its own, where no outgoing connection takes
/// a port.
fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 16 + high % 64, middle, low);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        if TcpListener::bind((ip, port)).is_ok() {
            return SocketAddr::from((ip, port));
        }
    }
}

/// The policy of the queue `/a/`: how long the advice service takes for a call, and for each worker in it.
const DECIDE_MS: u64 = 500;
const PERIOD_MS: u64 = 200;

/// How long its tickets are valid.
const VALID_MS: u64 = 10_000;

/// Most calls that wait at the advice service.
const WAITING_CALLS: usize = 32;

/// Returns the desired state: the queues `/q/` and `/a/` of priority 1, of one service and one tenant. The second has a
/// policy.
fn desired_state() -> Value {
    let queue = |name: &str, prefix: &str| {
        json!({
            "name": name, "host": "desk.example", "prefix": prefix, "service": "engine", "type": "non_idempotent",
            "timeout_ms": 3_000, "priority": 1, "attempts": 2, "stretch": 3.0, "target_latency_ms": 1_200, "public": false,
        })
    };
    let mut with_policy = queue("policy", "/a/");
    with_policy["advice"] =
        json!({"decide_ms": DECIDE_MS, "period_ms": PERIOD_MS, "valid_ms": VALID_MS});
    json!({
        "version": 1,
        "routes": [queue("queue", "/q/"), with_policy],
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

/// Serves advice: one call at a time, as there is one planner, after the time that the policy names. All workers may run
/// all steps.
fn serve_advice(record: &Arc<Record>) -> SocketAddr {
    let (busy, waiting, record) = (Mutex::new(()), AtomicUsize::new(0), record.clone());
    serve(Arc::new(move |request| {
        if waiting.fetch_add(1, Ordering::SeqCst) >= WAITING_CALLS {
            waiting.fetch_sub(1, Ordering::SeqCst);
            return Answer::Reply(429, json!({}));
        }
        let guard = busy.lock().expect("the advice service");
        waiting.fetch_sub(1, Ordering::SeqCst);
        let workers = request.body["workers"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let takes_ms = DECIDE_MS + PERIOD_MS * workers.len() as u64;
        let step = request.body["step"]
            .as_str()
            .unwrap_or_default()
            .to_string();
        let what = format!(
            "is asked about {step} and {} workers, and takes {takes_ms} ms",
            workers.len()
        );
        record.note("the advice service", &what);
        std::thread::sleep(Duration::from_millis(takes_ms));
        drop(guard);
        let good: Vec<Value> = workers
            .iter()
            .map(|id| json!([id, format!("{step} {}", id.as_str().unwrap_or_default())]))
            .collect();
        Answer::Reply(200, json!({"good": good, "valid_ms": VALID_MS}))
    }))
}

impl Site {
    /// Starts a site, and waits until all nodes are ready and a planner has asked all workers.
    pub fn start(record: Record, nodes: usize, workers: usize, memory_mb: u64) -> Site {
        let record = Arc::new(record);
        let (store, store_address) = Store::start();
        store.write("op/config", &desired_state(), None);
        let machines = serve(Arc::new(|_| Answer::Reply(200, json!({"machines": []}))));
        let advice = serve_advice(&record);
        let gangs = Arc::new(Gangs::default());
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut site = Site {
            record,
            workers: Vec::new(),
            nodes: Vec::new(),
            store,
            gangs,
            folder,
        };
        site.add_workers(workers);
        site.nodes = (1..=nodes)
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
                    "advice": advice,
                    "machines": machines,
                    "limits": {"memory_mb": memory_mb, "max_fds": 4_100},
                    "bounds": {
                        "contact_ms": 4_000, "stop_grace_ms": 400, "longest_lease_ms": MAX_HOLD_MS, "revoke_ms": 5_000,
                        "reclaim_ms": 2_900, "stop_s": 6, "remote_slowdown": 3, "keep_ended_s": 120,
                    },
                });
                let settings = site.folder.join(format!("{name}.jsonc"));
                std::fs::write(&settings, text.to_string()).expect("a settings file");
                let process = start_process(&settings, &site.folder.join(format!("{name}.log")));
                Node {
                    name,
                    callers,
                    ready,
                    settings,
                    process,
                }
            })
            .collect();
        site.wait_until_ready();
        site
    }

    /// Starts more workers.
    pub fn add_workers(&mut self, count: usize) {
        for _ in 0..count {
            let number = self.workers.len();
            let (id, rack) = (format!("i-{number:02}"), format!("r1-{}", number / 8));
            let worker = Worker::start(&id, &rack, &self.store, &self.record, &self.gangs);
            self.workers.push(worker);
        }
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
        self.call_queue("/q/", node, method, id, body, CALLER_TIMEOUT)
    }

    /// Calls a node about a job of a queue, and leaves after a time.
    pub fn call_queue(
        &self,
        prefix: &str,
        node: usize,
        method: &str,
        id: &str,
        body: Option<&Value>,
        leaves_after: Duration,
    ) -> (u16, Value) {
        let headers = [
            ("host", "desk.example"),
            ("hemlockloft-credential", KEY),
            ("hemlockloft-deadline-ms", "3000"),
        ];
        let path = format!("{prefix}{id}");
        let node = &self.nodes[node];
        let answer = call(node.callers, method, &path, &headers, body, leaves_after);
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
