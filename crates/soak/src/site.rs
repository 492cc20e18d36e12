//! A site of real processes on loopback: a store, workers behind links, and nodes that reach the store through links.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use platform_standin::{
    AdvicePolicy, Caller, GangBoard, Note, Notebook, Reply, STANDIN_VARIABLE, StandIn, WorkerEvent,
    WorkerSpec, declared_queues, gang_folder, notes_file, read_notes, steady_ms, unix_ms,
};
use serde_json::{Value, json};
use tokio::process::Command;
use tokio::time::sleep;

use crate::addresses::Addresses;
use crate::advice::AdvicePlace;
use crate::callers::WITHDRAWN_KEY;
use crate::link::Link;
use crate::play::PlayError;
use crate::process::Process;

/// The key of all callers but the one whose key is withdrawn.
pub(crate) const KEY: &str = "desk-key";

/// Nodes of a site.
pub(crate) const NODES: usize = 3;

/// Workers of a rack.
const RACK: usize = 4;

/// The longest time until all nodes serve.
const START_LIMIT_MS: u64 = 30_000;

/// Time from then to the traffic; the first leader asks all workers meanwhile.
const SETTLE_MS: u64 = 2_500;

/// How the programs of a site are started.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The node's program.
    pub daemon: PathBuf,
    /// A program, with arguments, that runs the stand-in that its environment names.
    pub standin: Vec<OsString>,
}

/// A worker's place: its addresses, and who is there.
#[derive(Debug)]
pub(crate) struct Place {
    listen: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) to_worker: Link,
    pub(crate) to_store: Link,
    pub(crate) rack: String,
    clock_permille: u64,
    /// The worker that is here or comes next. Whoever replaces it holds the lock until that is done.
    pub(crate) seat: tokio::sync::Mutex<Seat>,
    /// The id in `seat`, for those who don't wait.
    pub(crate) id: Mutex<String>,
    /// Whether it is empty for the rest of the play.
    pub(crate) is_empty: AtomicBool,
}

#[derive(Debug, Default)]
pub(crate) struct Seat {
    pub(crate) process: Option<Process>,
    /// How many ids there have been.
    ids: u32,
}

/// A node.
#[derive(Debug)]
pub(crate) struct NodePlace {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) to_store: Link,
    pub(crate) process: tokio::sync::Mutex<Option<Process>>,
    pub(crate) incarnation: AtomicU32,
}

/// The faults that the store has, with their delays, by the order in which they began.
#[derive(Debug, Default)]
struct StoreFaults {
    begun: u64,
    on: BTreeMap<u64, (&'static str, u64)>,
}

/// A fault as it was carried out.
#[derive(Debug, Clone)]
pub struct Incident {
    /// When it began, on the steady clock.
    pub from_ms: u64,
    /// When it was over.
    pub until_ms: u64,
    /// What was done to whom.
    pub what: String,
}

/// A running site.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) folder: PathBuf,
    programs: Programs,
    store: SocketAddr,
    store_control: SocketAddr,
    store_process: Mutex<Option<Process>>,
    store_faults: tokio::sync::Mutex<StoreFaults>,
    /// The policy of the queue that has one.
    pub(crate) policy: Option<AdvicePolicy>,
    pub(crate) advice: Option<AdvicePlace>,
    pub(crate) nodes: Vec<NodePlace>,
    pub(crate) workers: Vec<Place>,
    pub(crate) http: reqwest::Client,
    /// Steady clock minus time of day when the site started, to place the lines of logs.
    clock_offset_ms: i64,
    journal: Mutex<Vec<(u64, String)>>,
    pub(crate) incidents: Mutex<Vec<Incident>>,
    /// Processes that ended by themselves.
    pub(crate) own_ends: Mutex<Vec<String>>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until `ready` holds.
async fn until<F: Future<Output = bool>>(
    what: &'static str,
    ready: impl Fn() -> F,
) -> Result<(), PlayError> {
    let end_ms = steady_ms() + START_LIMIT_MS;
    while !ready().await {
        if steady_ms() > end_ms {
            return Err(PlayError::NotReady { what });
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

impl Site {
    /// Starts a site in `folder`, with an advice service if there is a policy, and waits until all nodes serve.
    pub(crate) async fn start(
        programs: &Programs,
        folder: &Path,
        workers: usize,
        policy: Option<AdvicePolicy>,
    ) -> Result<Arc<Site>, PlayError> {
        std::fs::create_dir_all(gang_folder(folder))?;
        let mut addresses = Addresses::new();
        let (store, store_control) = (addresses.next(), addresses.next());
        let mut site = Site {
            folder: folder.to_path_buf(),
            programs: programs.clone(),
            store,
            store_control,
            store_process: Mutex::default(),
            store_faults: tokio::sync::Mutex::default(),
            policy: policy.clone(),
            advice: None,
            nodes: Vec::new(),
            workers: Vec::new(),
            http: reqwest::Client::builder().no_proxy().build()?,
            clock_offset_ms: steady_ms() as i64 - unix_ms() as i64,
            journal: Mutex::default(),
            incidents: Mutex::default(),
            own_ends: Mutex::default(),
        };
        let process = site.spawn_standin(&StandIn::Store {
            address: store,
            control: store_control,
        })?;
        *lock(&site.store_process) = Some(process);
        if let Some(policy) = policy {
            site.advice = Some(site.start_advice(&mut addresses, policy)?);
        }
        let first = declared_queues(1, &[KEY, WITHDRAWN_KEY], &[1], site.policy.as_ref());
        until("the store writes", || {
            site.write_to_store("op/config", Some(&first))
        })
        .await?;
        for number in 0..workers {
            let place = site.prepare_worker(&mut addresses, number)?;
            site.workers.push(place);
        }
        for number in 1..=NODES {
            let node = site.prepare_node(&mut addresses, number)?;
            site.nodes.push(node);
        }
        for at in 0..workers {
            let mut seat = site.workers[at].seat.lock().await;
            site.start_worker(at, &mut seat, false)?;
        }
        for at in 0..NODES {
            let mut process = site.nodes[at].process.lock().await;
            *process = Some(site.start_node(at)?);
        }
        let caller = Caller::new(KEY)?;
        until("all nodes serve", || site.all_serve(&caller)).await?;
        sleep(Duration::from_millis(SETTLE_MS)).await;
        site.note("the site is ready".to_string());
        Ok(Arc::new(site))
    }

    async fn all_serve(&self, caller: &Caller) -> bool {
        for node in &self.nodes {
            if !matches!(caller.count(node.callers, "/q/").await, Reply::Accepted(_)) {
                return false;
            }
        }
        true
    }

    pub(crate) fn spawn_standin(&self, standin: &StandIn) -> io::Result<Process> {
        let [program, arguments @ ..] = &self.programs.standin[..] else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let log = std::fs::File::options()
            .append(true)
            .create(true)
            .open(self.folder.join("standins.log"))?;
        let mut command = Command::new(program);
        command
            .args(arguments)
            .env(STANDIN_VARIABLE, serde_json::to_string(standin)?)
            .stdout(Stdio::null())
            .stderr(log);
        Process::spawn(&mut command)
    }

    fn prepare_worker(&self, addresses: &mut Addresses, number: usize) -> io::Result<Place> {
        let listen = addresses.next();
        let id = format!("i-{number:02}");
        Ok(Place {
            listen,
            control: addresses.next(),
            to_worker: Link::open(addresses.next(), listen)?,
            to_store: Link::open(addresses.next(), self.store)?,
            rack: format!("r1-{}", number / RACK),
            clock_permille: 1_000 - (number as u64 % 3) * 10,
            seat: tokio::sync::Mutex::default(),
            id: Mutex::new(id),
            is_empty: AtomicBool::new(false),
        })
    }

    /// Starts an incarnation of the worker of a place, under another id if `renamed`.
    pub(crate) fn start_worker(&self, at: usize, seat: &mut Seat, renamed: bool) -> io::Result<()> {
        let place = &self.workers[at];
        if renamed {
            seat.ids += 1;
            *lock(&place.id) = format!("i-{at:02}-{}", seat.ids + 1);
        }
        let id = lock(&place.id).clone();
        let process = self.spawn_standin(&StandIn::Worker(WorkerSpec {
            id: id.clone(),
            listen: place.listen,
            control: place.control,
            advertised: place.to_worker.address,
            store: place.to_store.address,
            rack: place.rack.clone(),
            clock_permille: place.clock_permille,
            folder: self.folder.clone(),
        }))?;
        self.note(format!("worker {id} starts as process {}", process.id()));
        seat.process = Some(process);
        Ok(())
    }

    /// Kills the worker of a place.
    pub(crate) async fn kill_worker(&self, at: usize, seat: &mut Seat) -> io::Result<()> {
        let Some(mut process) = seat.process.take() else {
            return Ok(());
        };
        let id = lock(&self.workers[at].id).clone();
        let at_ms = steady_ms();
        process.kill().await;
        let note = Note {
            at_ms,
            worker: id.clone(),
            incarnation: 0,
            event: WorkerEvent::Killed,
        };
        GangBoard::new(gang_folder(&self.folder), id).break_runs(at_ms);
        Notebook::open(&notes_file(&self.folder))?.append(&note)
    }

    fn prepare_node(&self, addresses: &mut Addresses, number: usize) -> io::Result<NodePlace> {
        let name = format!("edge-gyor-{number}");
        let callers = addresses.next();
        let to_store = Link::open(addresses.next(), self.store)?;
        let mut listen = BTreeMap::new();
        for field in ["readiness", "metrics", "peers", "own"] {
            listen.insert(field, addresses.next());
        }
        listen.insert("callers", callers);
        let settings = json!({
            "node": {"name": name, "data_centre": "gyor", "region": "dunantul", "processor_cores": 0.25},
            "listen": listen,
            "store": {"address": to_store.address, "shortest_lease_ms": 1_000},
            "orders": "rpc",
            "advice": self.advice.as_ref().map(|advice| advice.addresses[number - 1]),
            "bounds": {
                "contact_ms": 4_000, "stop_grace_ms": 400, "longest_lease_ms": 10_000, "revoke_ms": 5_000,
                "reclaim_ms": 2_900, "stop_s": 6, "remote_slowdown": 3, "keep_ended_s": 120,
            },
        });
        std::fs::write(self.settings_file(&name), settings.to_string())?;
        Ok(NodePlace {
            name,
            callers,
            to_store,
            process: tokio::sync::Mutex::default(),
            incarnation: AtomicU32::new(0),
        })
    }

    fn settings_file(&self, node: &str) -> PathBuf {
        self.folder.join(format!("{node}.jsonc"))
    }

    fn log_file(&self, node: &str) -> PathBuf {
        self.folder.join(format!("{node}.log"))
    }

    /// Starts a node's process.
    pub(crate) fn start_node(&self, at: usize) -> io::Result<Process> {
        let node = &self.nodes[at];
        let log = std::fs::File::options()
            .append(true)
            .create(true)
            .open(self.log_file(&node.name))?;
        let mut command = Command::new(&self.programs.daemon);
        command
            .arg("serve")
            .arg("--settings")
            .arg(self.settings_file(&node.name))
            .stdout(log.try_clone()?)
            .stderr(log);
        let process = Process::spawn(&mut command)?;
        node.incarnation.fetch_add(1, Ordering::SeqCst);
        self.note(format!(
            "node {} starts as process {}",
            node.name,
            process.id()
        ));
        Ok(process)
    }

    /// Writes an item into the store as the operator or another writer does; none removes it.
    pub(crate) async fn write_to_store(&self, key: &str, value: Option<&str>) -> bool {
        let body = json!({"key": key, "value": value});
        self.control(self.store_control, "write", &body).await
    }

    /// Lets the store have a fault for a time. Of several at once it has the one that began last.
    pub(crate) async fn harm_store(&self, fault: &'static str, delay_ms: u64, lasts: Duration) {
        let mut faults = self.store_faults.lock().await;
        faults.begun += 1;
        let number = faults.begun;
        faults.on.insert(number, (fault, delay_ms));
        self.set_store_fault(&faults).await;
        drop(faults);
        sleep(lasts).await;
        let mut faults = self.store_faults.lock().await;
        faults.on.remove(&number);
        self.set_store_fault(&faults).await;
    }

    async fn set_store_fault(&self, faults: &StoreFaults) {
        let newest = faults.on.values().next_back().copied();
        let (fault, delay_ms) = newest.unwrap_or(("none", 0));
        let body = json!({"fault": fault, "delay_ms": delay_ms});
        self.control(self.store_control, "fault", &body).await;
    }

    /// Tells a stand-in to change how it behaves; returns whether it has.
    pub(crate) async fn control(&self, address: SocketAddr, path: &str, body: &Value) -> bool {
        let call = self
            .http
            .post(format!("http://{address}/{path}"))
            .timeout(Duration::from_millis(1_000))
            .body(body.to_string());
        call.send().await.is_ok_and(|reply| reply.status() == 200)
    }

    /// Adds a line to the journal of the play.
    pub(crate) fn note(&self, line: String) {
        lock(&self.journal).push((steady_ms(), line));
    }

    pub(crate) fn journal(&self) -> Vec<(u64, String)> {
        lock(&self.journal).clone()
    }

    /// Returns what the workers have noted so far.
    pub(crate) fn notes(&self) -> Vec<Note> {
        read_notes(&notes_file(&self.folder))
    }

    /// Returns the lines of all nodes' logs with their times on the steady clock.
    pub(crate) fn logs(&self) -> Vec<(u64, String)> {
        let mut lines = Vec::new();
        for node in &self.nodes {
            let log = std::fs::read_to_string(self.log_file(&node.name)).unwrap_or_default();
            let mut at_ms = 0;
            for line in log.lines() {
                // Lines that are no JSON, such as those of a panic, stand where they were written.
                if let Ok(fields) = serde_json::from_str::<Value>(line) {
                    let unix_ms = fields["at_unix_ms"].as_i64().unwrap_or(0);
                    at_ms = (unix_ms + self.clock_offset_ms).max(0) as u64;
                }
                lines.push((at_ms, format!("{}: {line}", node.name)));
            }
        }
        lines
    }

    /// Returns the node that took the lead last, by the nodes' logs.
    pub(crate) fn leader(&self) -> Option<usize> {
        let last_term = |node: &NodePlace| {
            let log = std::fs::read_to_string(self.log_file(&node.name)).unwrap_or_default();
            log.lines()
                .filter_map(|line| serde_json::from_str::<Value>(line).ok())
                .filter(|line| line["part"] == "lead" && line["what"] == "taken")
                .filter_map(|line| line["term"].as_u64())
                .max()
        };
        (0..self.nodes.len())
            .filter_map(|at| Some((last_term(&self.nodes[at])?, at)))
            .max()
            .map(|(_, at)| at)
    }

    /// Notes processes that have ended by themselves, and starts such a node again.
    pub(crate) async fn look_after_processes(&self) -> io::Result<()> {
        for (at, node) in self.nodes.iter().enumerate() {
            let Ok(mut process) = node.process.try_lock() else {
                continue;
            };
            if let Some(how) = process.as_mut().and_then(Process::ended) {
                self.note_own_end(&node.name, &how);
                *process = Some(self.start_node(at)?);
            }
        }
        for place in &self.workers {
            let Ok(mut seat) = place.seat.try_lock() else {
                continue;
            };
            if let Some(how) = seat.process.as_mut().and_then(Process::ended) {
                seat.process = None;
                self.note_own_end(&lock(&place.id), &how);
            }
        }
        let ended = lock(&self.store_process).as_mut().and_then(Process::ended);
        if let Some(how) = ended {
            *lock(&self.store_process) = None;
            self.note_own_end("store", &how);
        }
        self.look_after_advice();
        Ok(())
    }

    pub(crate) fn note_own_end(&self, who: &str, how: &str) {
        let line = format!("{who} ended by itself: {how}");
        self.note(line.clone());
        lock(&self.own_ends).push(line);
    }
}
