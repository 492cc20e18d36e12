//! A node process with lowered limits, and crowds of clients that hold their connections open.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::time::Duration;

use platform_standin::{StoreStandIn, configuration};
use reqwest::Client;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

/// Time between two checks of an awaited condition.
const POLL: Duration = Duration::from_millis(100);

/// Checks after which an awaited condition counts as missed.
const MAX_POLLS: u32 = 3_000;

/// Checks in a row without a byte or a connection more after which a crowd has sent what it can; a connection that was
/// not accepted at once is tried again after a second.
const QUIET_POLLS: u32 = 30;

/// The receive buffer of a client, small, so that answers that it does not read stay with the process.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// The body limit of the deployments, in bytes.
pub const BODY_LIMIT_BYTES: usize = 262_144;

/// The key of the one organisation.
pub const KEY: &str = "desk-key";

/// The machine that a process is told to run on.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    pub memory_mb: u64,
    pub max_fds: usize,
}

/// A machine on which a small crowd exceeds what a process may use.
pub const SMALL: Machine = Machine {
    memory_mb: 48,
    max_fds: 400,
};

/// A machine of the deployments with little memory.
pub const USUAL: Machine = Machine {
    memory_mb: 160,
    max_fds: 4_100,
};

/// Where a process listens.
#[derive(Debug, Clone, Copy)]
pub enum Door {
    Callers,
    Own,
    Readiness,
    Metrics,
    Peers,
}

/// A node process beside a store; dropping it kills the process and removes its files.
pub struct Node {
    child: Child,
    machine: Machine,
    addresses: [SocketAddr; 5],
    settings: PathBuf,
    errors: PathBuf,
    /// The most open descriptors seen.
    peak_fds: usize,
    _store: StoreStandIn,
}

impl Drop for Node {
    fn drop(&mut self) {
        // The child may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(&self.errors);
    }
}

/// Returns free addresses, at a loopback address of this process's own, where no outgoing connection takes a port.
fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 128 + high % 64, middle, low);
    [(); COUNT].map(|()| {
        loop {
            let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
            if TcpListener::bind((ip, port)).is_ok() {
                return SocketAddr::from((ip, port));
            }
        }
    })
}

/// Returns the configuration of the tests with the body limit of the deployments.
fn declared() -> String {
    let mut declared: Value = serde_json::from_str(&configuration(1, &[KEY])).unwrap();
    declared["limits"]["max_body_bytes"] = json!(BODY_LIMIT_BYTES);
    declared.to_string()
}

impl Node {
    /// Starts a node on a machine, and waits until it accepts jobs.
    pub async fn start(machine: Machine) -> Node {
        let store = StoreStandIn::start().await.unwrap();
        store.write("op/config", &declared());
        let addresses = free_addresses();
        let [callers, own, readiness, metrics, peers] = addresses;
        let file = |kind: &str| {
            let name = format!(
                "hemlockd-crowd-{}-{}.{kind}",
                std::process::id(),
                callers.port()
            );
            std::env::temp_dir().join(name)
        };
        let (settings, errors) = (file("jsonc"), file("err"));
        let text = json!({
            "node": {"name": "node-0", "data_centre": "gyor", "region": "dunantul", "processor_cores": 0.25},
            "listen": {"callers": callers, "readiness": readiness, "metrics": metrics, "peers": peers, "own": own},
            "store": {"address": store.address(), "shortest_lease_ms": 100},
            "limits": {"memory_mb": machine.memory_mb, "max_fds": machine.max_fds},
            "orders": "rpc",
        });
        std::fs::write(&settings, text.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_hemlockd"))
            .args([Path::new("serve"), Path::new("--settings"), &settings])
            .stdout(Stdio::null())
            .stderr(File::create(&errors).unwrap())
            .spawn()
            .unwrap();
        let mut node = Node {
            child,
            machine,
            addresses,
            settings,
            errors,
            peak_fds: 0,
            _store: store,
        };
        node.check_ordinary_requests("before the crowd").await;
        node
    }

    /// Returns the address of a door.
    pub fn address(&self, door: Door) -> SocketAddr {
        self.addresses[door as usize]
    }

    /// Returns a figure of the process's status, in kilobytes.
    fn status_kb(&self, name: &str) -> u64 {
        let status = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(status).unwrap();
        let line = status.lines().find(|line| line.starts_with(name));
        let figure = line.and_then(|line| line.split_whitespace().nth(1));
        figure.unwrap().parse().unwrap()
    }

    /// Checks that the process runs on, without a panic, and that it has stayed within its machine. Returns the number
    /// of its open descriptors.
    pub fn check_within_machine(&mut self) -> usize {
        let errors = std::fs::read_to_string(&self.errors).unwrap();
        assert!(!errors.contains("panicked"), "{errors}");
        let ended = self.child.try_wait().unwrap();
        assert_eq!(ended, None, "the process ended by itself: {errors}");
        let fds = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        let open_fds = fds.unwrap().count();
        self.peak_fds = self.peak_fds.max(open_fds);
        let peak_kb = self.status_kb("VmHWM:");
        let (memory_kb, max_fds) = (self.machine.memory_mb * 1_024, self.machine.max_fds);
        assert!(
            peak_kb <= memory_kb,
            "peak memory {peak_kb} kB of {memory_kb}"
        );
        assert!(
            self.peak_fds <= max_fds,
            "{} descriptors of {max_fds}",
            self.peak_fds
        );
        open_fds
    }

    /// Sends a crowd to a door and waits until each client has sent what it can; then checks that the process is within
    /// its machine and still serves, while all connections that it left open are held.
    pub async fn bear(&mut self, door: Door, count: usize, message: impl Fn(usize) -> Message) {
        let crowd = Crowd::send(self.address(door), count, message);
        self.wait_for(&crowd).await;
        self.check_ordinary_requests("beside the crowd").await;
        self.check_within_machine();
        let memory_kb = self.status_kb("VmHWM:");
        println!(
            "{door:?}: peak {memory_kb} kB, {} descriptors, {} bytes sent",
            self.peak_fds,
            crowd.sent_bytes()
        );
    }

    /// Waits until the crowd has sent what it can and the process takes no more connections.
    async fn wait_for(&mut self, crowd: &Crowd) {
        let (mut quiet_polls, mut last) = (0, (0, 0));
        while quiet_polls < QUIET_POLLS {
            tokio::time::sleep(POLL).await;
            let now = (crowd.sent_bytes(), self.check_within_machine());
            quiet_polls = if now == last { quiet_polls + 1 } else { 0 };
            last = now;
        }
    }

    /// Checks that a job is accepted, and that readiness and metrics are answered.
    pub async fn check_ordinary_requests(&mut self, when: &str) {
        let step = json!({"count": 1, "cpu": 1_000, "mem_mb": 100, "gpu": 8, "estimate_ms": 100});
        let body = json!({"spec": "text", "steps": [step]}).to_string();
        let job = format!("http://{}/q/{:016x}", self.address(Door::Callers), 7);
        let readiness = format!("http://{}/readyz", self.address(Door::Readiness));
        let metrics = format!("http://{}/metrics", self.address(Door::Metrics));
        self.check_answered(when, || new_client().post(&job).body(body.clone()))
            .await;
        self.check_answered(when, || new_client().get(&readiness))
            .await;
        self.check_answered(when, || new_client().get(&metrics))
            .await;
    }

    /// Repeats a request on new connections until it is answered with 200.
    async fn check_answered(&mut self, when: &str, request: impl Fn() -> reqwest::RequestBuilder) {
        let mut last = String::new();
        for _ in 0..MAX_POLLS {
            let ended = self.child.try_wait().unwrap();
            assert_eq!(ended, None, "the process ended by itself");
            let call = request()
                .header("host", "desk.example")
                .header("hemlockloft-credential", KEY);
            last = match call.send().await {
                Ok(answer) if answer.status() == 200 => return,
                Ok(answer) => answer.status().to_string(),
                Err(e) => format!("{e:?}"),
            };
            tokio::time::sleep(POLL).await;
        }
        panic!("an ordinary request is never answered {when}: {last}");
    }
}

/// Returns a client without connections; it gives a call up after two seconds, so that it is repeated.
fn new_client() -> Client {
    let timeout = Duration::from_secs(2);
    Client::builder()
        .no_proxy()
        .timeout(timeout)
        .build()
        .unwrap()
}

/// What a client sends.
#[derive(Debug, Clone)]
pub struct Message {
    pub head: Vec<u8>,
    /// Sent again and again after the head.
    pub piece: Vec<u8>,
    pub pieces: usize,
    /// Pieces written at once.
    pub at_once: usize,
}

impl Message {
    /// A message that is sent at once.
    pub fn whole(bytes: Vec<u8>) -> Message {
        Message::pieces(bytes, &[], 0, 1)
    }

    /// A message of pieces, some of them written at once.
    pub fn pieces(head: Vec<u8>, piece: &[u8], pieces: usize, at_once: usize) -> Message {
        Message {
            head,
            piece: piece.to_vec(),
            pieces,
            at_once,
        }
    }
}

/// Clients that send a message each and hold their connections open until dropped.
pub struct Crowd {
    tasks: Vec<tokio::task::JoinHandle<()>>,
    sent_bytes: Arc<AtomicU64>,
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Crowd {
    fn send(address: SocketAddr, count: usize, message: impl Fn(usize) -> Message) -> Crowd {
        let mut crowd = Crowd {
            tasks: Vec::new(),
            sent_bytes: Arc::default(),
        };
        for number in 0..count {
            let (message, sent_bytes) = (message(number), crowd.sent_bytes.clone());
            crowd.tasks.push(tokio::spawn(async move {
                let connection = send_message(address, &message, &sent_bytes).await;
                if let Ok(_held) = connection {
                    std::future::pending::<()>().await;
                }
            }));
        }
        crowd
    }

    fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }
}

async fn send_message(
    address: SocketAddr,
    message: &Message,
    sent_bytes: &AtomicU64,
) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let mut connection = socket.connect(address).await?;
    connection.set_nodelay(true)?;
    connection.write_all(&message.head).await?;
    sent_bytes.fetch_add(message.head.len() as u64, Ordering::Relaxed);
    let mut left = message.pieces;
    while left > 0 {
        let now = left.min(message.at_once);
        connection.write_all(&message.piece.repeat(now)).await?;
        sent_bytes.fetch_add((message.piece.len() * now) as u64, Ordering::Relaxed);
        left -= now;
        tokio::task::yield_now().await;
    }
    Ok(connection)
}
