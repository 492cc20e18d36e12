//! A small deployment on loopback: the project's store and workers as processes of their own, and nodes started with the
//! command of the deploy file. Uses the standard library only.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How often events are looked for.
pub const LOOK: Duration = Duration::from_millis(20);

/// A case that cannot run.
pub type Failure = String;

/// What was sent, answered and run, with times since the start of the case.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let line = format!("{:>8} ms  {line}\n", self.now_ms());
        print!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// Ports that were handed out.
static HANDED_OUT: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Returns a free loopback address that was not handed out before.
pub fn free_address() -> io::Result<SocketAddr> {
    loop {
        let address = TcpListener::bind(("127.0.0.1", 0))?.local_addr()?;
        let mut handed_out = HANDED_OUT.lock().unwrap_or_else(PoisonError::into_inner);
        if !handed_out.contains(&address.port()) {
            handed_out.push(address.port());
            return Ok(address);
        }
    }
}

/// Makes one HTTP call on a connection of its own; returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(1_000))?;
    stream.set_read_timeout(Some(Duration::from_millis(4_000)))?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Type: application/json\r\n"
    );
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    match status {
        Some(status) => Ok((status, body.to_string())),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Returns a text as JSON.
pub fn quote(text: &str) -> String {
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"");
    format!("\"{escaped}\"")
}

/// A process that the case started. Dropping it kills it.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A worker of the project, as a process.
struct WorkerPlace {
    listen: SocketAddr,
    control: SocketAddr,
    process: Option<Process>,
}

/// A start or an end that a worker noted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// How the run ended; none for a start.
    pub how: Option<String>,
}

/// A running deployment.
pub struct Site {
    pub record: Record,
    folder: PathBuf,
    root: PathBuf,
    pub store: SocketAddr,
    store_control: SocketAddr,
    _store: Process,
    workers: Vec<WorkerPlace>,
    nodes: Vec<SocketAddr>,
    /// The processes of the nodes; none while one is down.
    node_processes: Vec<Option<Process>>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.node_processes.clear();
        self.workers.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Key of the organisation with a guarantee.
pub const KEY: &str = "key-of-desk";

/// Key of the other organisation.
pub const OTHER_KEY: &str = "key-of-plant";

/// Accelerators that are guaranteed to the organisation with a guarantee.
pub const GUARANTEED: u64 = 8;

/// Accelerators of a worker.
pub const WORKER_ACCELERATORS: u64 = 8;

/// The desired state: three queues of one service, and two organisations, of which one has a guarantee.
fn desired_state() -> String {
    let route = |prefix: &str, priority: u32, attempts: u32, stretch: f64, goal_ms: u32| {
        format!(
            "{{\"name\":\"{}\",\"host\":\"desk.example\",\"prefix\":\"{prefix}\",\"service\":\"engine\",\"type\":\"non_idempotent\",\
             \"timeout_ms\":3000,\"priority\":{priority},\"attempts\":{attempts},\"stretch\":{stretch},\"target_latency_ms\":{goal_ms},\"public\":false}}",
            prefix.trim_matches('/')
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{},{}],\"services\":[{{\"name\":\"engine\",\"enforces_capacity\":false}}],\
         \"limits\":{{\"max_body_bytes\":262144}},\"tenants\":[{{\"name\":\"desk\",\"api_keys\":[\"{KEY}\"],\"guaranteed\":{{\"gpu\":{GUARANTEED}}}}},\
         {{\"name\":\"plant\",\"api_keys\":[\"{OTHER_KEY}\"],\"guaranteed\":{{\"gpu\":0}}}}]}}",
        route("/urgent/", 0, 2, 1.5, 400),
        route("/usual/", 1, 4, 3.0, 1_200),
        route("/later/", 2, 4, 3.0, 3_000),
    )
}

impl Site {
    /// Starts a store, workers and nodes, and waits until all nodes serve. `machines` is the address of the service of
    /// machines, if there is one.
    pub fn start(
        record: Record,
        root: &Path,
        workers: usize,
        nodes: usize,
        machines: Option<SocketAddr>,
    ) -> Result<Site, Failure> {
        let folder = std::env::temp_dir().join(format!("hemlock-review-{}", std::process::id()));
        fs::create_dir_all(folder.join("gangs")).map_err(|e| e.to_string())?;
        let free = || free_address().map_err(|e| e.to_string());
        let (store, store_control) = (free()?, free()?);
        let spec =
            format!("{{\"store\":{{\"address\":\"{store}\",\"control\":\"{store_control}\"}}}}");
        let store_process = spawn_standin(root, &folder, &spec)?;
        let mut site = Site {
            record,
            folder,
            root: root.to_path_buf(),
            store,
            store_control,
            _store: store_process,
            workers: Vec::new(),
            nodes: Vec::new(),
            node_processes: Vec::new(),
        };
        site.wait_for("the store", |site| {
            site.write("op/config", &desired_state())
        })?;
        for number in 0..workers {
            site.workers.push(WorkerPlace {
                listen: free()?,
                control: free()?,
                process: None,
            });
            site.start_worker(number)?;
        }
        for number in 1..=nodes {
            site.start_node(number, machines)?;
        }
        site.wait_for("the nodes", |site| {
            (0..site.nodes.len()).all(|node| site.ask(node, "GET", "/urgent/", KEY, "").0 == 200)
        })?;
        // The first leader asks all workers meanwhile.
        sleep(Duration::from_millis(3_000));
        site.record.add(&format!(
            "{workers} workers of the project's and {nodes} nodes serve"
        ));
        Ok(site)
    }

    fn wait_for(&self, what: &str, ready: impl Fn(&Site) -> bool) -> Result<(), Failure> {
        let began = Instant::now();
        while !ready(self) {
            if began.elapsed() > Duration::from_secs(20) {
                return Err(format!("{what}: not ready in time"));
            }
            sleep(LOOK);
        }
        Ok(())
    }

    /// Writes an item as the operator or a worker does; an item with a time ends unless it is written again.
    pub fn write_for(&self, key: &str, value: &str, ttl_ms: Option<u64>) -> bool {
        write_item(self.store_control, key, value, ttl_ms)
    }

    /// Writes an item as the operator does.
    pub fn write(&self, key: &str, value: &str) -> bool {
        self.write_for(key, value, None)
    }

    /// Returns where the store takes what the operator and workers write.
    pub fn store_control(&self) -> SocketAddr {
        self.store_control
    }

    /// Lets the store have a fault of the project's stand-in from now on.
    pub fn set_store_fault(&self, fault: &str, delay_ms: u64) {
        let body = format!("{{\"fault\":\"{fault}\",\"delay_ms\":{delay_ms}}}");
        let set = call(self.store_control, "POST", "/fault", &[], &body).is_ok();
        self.record
            .add(&format!("store: {fault}, delay {delay_ms} ms, set: {set}"));
    }

    /// Starts an incarnation of a worker.
    pub fn start_worker(&mut self, number: usize) -> Result<(), Failure> {
        let place = &self.workers[number];
        let spec = format!(
            "{{\"worker\":{{\"id\":\"i-{number:02}\",\"listen\":\"{}\",\"control\":\"{}\",\"advertised\":\"{}\",\"store\":\"{}\",\
             \"rack\":\"r1-{}\",\"clock_permille\":1000,\"folder\":{}}}}}",
            place.listen,
            place.control,
            place.listen,
            self.store,
            number / 4,
            quote(&self.folder.to_string_lossy()),
        );
        let process = spawn_standin(&self.root, &self.folder, &spec)?;
        self.workers[number].process = Some(process);
        Ok(())
    }

    /// Kills a worker, as a crash does.
    pub fn kill_worker(&mut self, number: usize) {
        self.workers[number].process = None;
    }

    fn start_node(&mut self, number: usize, machines: Option<SocketAddr>) -> Result<(), Failure> {
        let name = format!("edge-gyor-{number}");
        let free = || free_address().map_err(|e| e.to_string());
        let callers = free()?;
        let machines = machines.map_or("\"\"".to_string(), |address| format!("\"{address}\""));
        // The fields and figures are those that deploy/settings.jsonc takes from a small deployment.
        let settings = format!(
            "{{\"node\":{{\"name\":\"{name}\",\"data_centre\":\"gyor\",\"region\":\"dunantul\",\"processor_cores\":0.25}},\
             \"listen\":{{\"callers\":\"{callers}\",\"readiness\":\"{}\",\"metrics\":\"{}\",\"peers\":\"{}\",\"own\":\"{}\"}},\
             \"store\":{{\"address\":\"{}\",\"shortest_lease_ms\":1000,\"writes_per_s\":400}},\
             \"orders\":\"rpc\",\"advice\":\"\",\"machines\":{machines},\"limits\":{{\"memory_mb\":260,\"max_fds\":4100}},\
             \"bounds\":{{\"contact_ms\":4000,\"stop_grace_ms\":400,\"longest_lease_ms\":10000,\"revoke_ms\":5000,\"reclaim_ms\":2900,\
             \"stop_s\":6,\"remote_slowdown\":3,\"keep_ended_s\":120}}}}",
            free()?,
            free()?,
            free()?,
            free()?,
            self.store,
        );
        let path = self.settings_file(number);
        fs::write(path, settings).map_err(|e| e.to_string())?;
        self.nodes.push(callers);
        self.node_processes.push(None);
        self.restart_node(number - 1)
    }

    fn settings_file(&self, number: usize) -> PathBuf {
        self.folder.join(format!("edge-gyor-{number}.jsonc"))
    }

    /// Starts the process of a node, counted from 0, with the settings that it had.
    pub fn restart_node(&mut self, node: usize) -> Result<(), Failure> {
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.folder.join(format!("edge-gyor-{}.log", node + 1)))
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        // The command of the deploy file; on the platform a variable names the settings file.
        let child = Command::new(self.root.join("target/release/hemlockd"))
            .arg("serve")
            .arg("--settings")
            .arg(self.settings_file(node + 1))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("target/release/hemlockd: {e}"))?;
        self.node_processes[node] = Some(Process(child));
        Ok(())
    }

    /// Kills the process of a node.
    pub fn kill_node(&mut self, node: usize) {
        self.node_processes[node] = None;
    }

    /// Returns the resident memory of a node's process, in megabytes.
    pub fn resident_mb(&self, node: usize) -> Option<u64> {
        let process = self.node_processes[node].as_ref()?;
        let status = fs::read_to_string(format!("/proc/{}/status", process.0.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes / 1_024)
    }

    /// Makes a caller's call at a node; returns the status, 0 without an answer, and the body.
    pub fn ask(
        &self,
        node: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> (u16, String) {
        let headers = [
            ("Host", "desk.example"),
            ("Hemlockloft-Credential", key),
            ("Hemlockloft-Deadline-Ms", "3000"),
        ];
        call(self.nodes[node], method, path, &headers, body).unwrap_or((0, String::new()))
    }

    /// Makes a caller's call like [`Site::ask`], and records it.
    pub fn ask_recorded(
        &self,
        node: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> (u16, String) {
        self.record.add(&format!(
            "caller: {method} {path} at node {} {body}",
            node + 1
        ));
        let answer = self.ask(node, method, path, key, body);
        self.record.add(&format!(
            "caller: {method} {path} is answered {} {}",
            answer.0, answer.1
        ));
        answer
    }

    /// Returns the starts and ends of a job's runs that the project's workers have noted so far, in their order.
    pub fn events(&self, job: &str) -> Vec<Event> {
        let text = fs::read_to_string(self.folder.join("notes")).unwrap_or_default();
        let field = |line: &str, name: &str| -> Option<String> {
            let rest = line.split_once(&format!("\"{name}\":"))?.1;
            let rest = rest.strip_prefix('"').unwrap_or(rest);
            Some(rest.split(['"', ',', '}']).next()?.to_string())
        };
        let parse = |line: &str| {
            let is_start = line.contains("\"start\":{");
            let is_end = line.contains("\"end\":{");
            let task = field(line, "task").filter(|task| task.starts_with(job))?;
            (is_start || is_end).then_some(())?;
            Some(Event {
                worker: field(line, "worker")?,
                task,
                run: field(line, "run")?.parse().ok()?,
                how: is_end.then(|| field(line, "how")).flatten(),
            })
        };
        text.lines().filter_map(parse).collect()
    }

    /// Returns the runs of a job that were started and have not ended.
    pub fn running(&self, job: &str) -> Vec<Event> {
        let mut running: Vec<Event> = Vec::new();
        for event in self.events(job) {
            running.retain(|run| (&run.task, run.run) != (&event.task, event.run));
            if event.how.is_none() {
                running.push(event);
            }
        }
        running
    }

    /// Records the lines of the nodes' logs about a job, to show what was decided.
    pub fn record_decisions(&self, job: &str) {
        for number in 1..=self.nodes.len() {
            let path = self.folder.join(format!("edge-gyor-{number}.log"));
            let log = fs::read_to_string(path).unwrap_or_default();
            for line in log.lines().filter(|line| line.contains(job)) {
                self.record.add(&format!("log of node {number}: {line}"));
            }
        }
    }
}

/// Writes an item as the operator or a worker does.
pub fn write_item(store_control: SocketAddr, key: &str, value: &str, ttl_ms: Option<u64>) -> bool {
    let ttl = ttl_ms.map_or(String::new(), |ttl_ms| format!(",\"ttl_ms\":{ttl_ms}"));
    let body = format!("{{\"key\":\"{key}\",\"value\":{}{ttl}}}", quote(value));
    call(store_control, "POST", "/write", &[], &body).is_ok_and(|(status, _)| status == 200)
}

/// Starts a stand-in of the project's.
fn spawn_standin(root: &Path, folder: &Path, spec: &str) -> Result<Process, Failure> {
    let log = File::options()
        .append(true)
        .create(true)
        .open(folder.join("standins.log"))
        .map_err(|e| e.to_string())?;
    // It ends by itself once its standard input is closed, as when this process ends.
    Command::new(root.join("target/release/hemlockctl"))
        .arg("soak-standin")
        .env("HEMLOCK_STANDIN", spec)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .map(Process)
        .map_err(|e| format!("target/release/hemlockctl: {e}"))
}
