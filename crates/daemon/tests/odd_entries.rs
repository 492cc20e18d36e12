//! `hemlockd serve` as a process, beside entries of other writers in the store.
//!
//! Guards against a process that ends, or a loop in it that stops for good, because of one value that it cannot use.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use platform_standin::{Audit, StoreStandIn, WorkerStandIn, configuration};
use reqwest::Client;
use rstest::rstest;
use serde_json::{Value, json};

/// Time between two checks of an awaited condition.
const POLL: Duration = Duration::from_millis(20);

/// Checks after which an awaited condition counts as missed.
const MAX_POLLS: u32 = 3_000;

/// Long enough that a task still runs at the end of a test.
const LONG_RUN: Duration = Duration::from_secs(3_600);

const KEY: &str = "desk-key";

/// A node process; dropping it kills the process and removes its files.
struct Process {
    child: Child,
    callers: SocketAddr,
    settings: PathBuf,
    errors: PathBuf,
}

impl Drop for Process {
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

fn temporary_file(kind: &str, address: SocketAddr) -> PathBuf {
    let port = address.port();
    std::env::temp_dir().join(format!(
        "hemlockd-serve-{}-{port}.{kind}",
        std::process::id()
    ))
}

impl Process {
    /// Starts a node of which the store has this address.
    fn start(store: SocketAddr) -> Process {
        let [callers, readiness, metrics, peers, own] = free_addresses();
        let settings = temporary_file("jsonc", callers);
        let errors = temporary_file("err", callers);
        let text = json!({
            "node": {"name": "node-0", "data_centre": "gyor", "region": "dunantul", "processor_cores": 0.25},
            "listen": {"callers": callers, "readiness": readiness, "metrics": metrics, "peers": peers, "own": own},
            "store": {"address": store, "shortest_lease_ms": 100},
            "orders": "rpc",
        });
        std::fs::write(&settings, text.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_hemlockd"))
            .args([Path::new("serve"), Path::new("--settings"), &settings])
            .stdout(Stdio::null())
            .stderr(File::create(&errors).unwrap())
            .spawn()
            .unwrap();
        Process {
            child,
            callers,
            settings,
            errors,
        }
    }
}

/// A store and workers, with a node beside them.
struct Site {
    store: StoreStandIn,
    audit: Audit,
    workers: Vec<WorkerStandIn>,
    node: Process,
    client: Client,
}

impl Site {
    /// Starts a site with one worker, which runs a job, after `prepare` has written to its store.
    async fn start(prepare: impl FnOnce(&StoreStandIn)) -> Site {
        let store = StoreStandIn::start().await.unwrap();
        store.write("op/config", &configuration(1, &[KEY]));
        prepare(&store);
        let mut site = Site {
            node: Process::start(store.address()),
            store,
            audit: Audit::default(),
            workers: Vec::new(),
            client: Client::builder().no_proxy().build().unwrap(),
        };
        site.check_planning(1).await;
        site
    }

    /// Starts a worker and writes its entry.
    async fn add_worker(&mut self) {
        let id = format!("i-{}", self.workers.len());
        let worker = WorkerStandIn::start(&id, LONG_RUN, self.audit.clone());
        let worker = worker.await.unwrap();
        self.write_entry(&worker);
        self.workers.push(worker);
    }

    fn write_entry(&self, worker: &WorkerStandIn) {
        let (key, entry) = worker.entry();
        self.store.write(&key, &entry);
    }

    /// Submits a job of one task that fills a worker; returns the status, or 0 without an answer.
    async fn submit(&self, id: u64) -> u16 {
        let step = json!({"count": 1, "cpu": 1_000, "mem_mb": 100, "gpu": 8, "estimate_ms": 100});
        let call = self
            .client
            .post(format!("http://{}/q/{id:016x}", self.node.callers))
            .header("host", "desk.example")
            .header("hemlockloft-credential", KEY)
            .body(json!({"spec": "text", "steps": [step]}).to_string());
        let answer = call.send().await;
        answer.map_or(0, |answer| answer.status().as_u16())
    }

    /// Waits until a condition holds, the process ends, or a task of it panics.
    async fn wait(&mut self, what: &str, holds: impl AsyncFn(&Site) -> bool) {
        for _ in 0..MAX_POLLS {
            self.check_process();
            if holds(self).await {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("never seen: {what}");
    }

    /// Checks that the process runs on, and that nothing in it has panicked.
    fn check_process(&mut self) {
        let errors = std::fs::read_to_string(&self.node.errors).unwrap();
        assert!(!errors.contains("panicked"), "{errors}");
        let ended = self.node.child.try_wait().unwrap();
        assert_eq!(ended, None, "the process ended by itself: {errors}");
    }

    /// Submits a job and waits until its task runs, so that `running` tasks run in all.
    async fn run_one_more(&mut self, id: u64, running: u32) {
        self.wait("a job is accepted", async |site| {
            site.submit(id).await == 200
        })
        .await;
        self.wait("its task runs", async |site| {
            site.audit.running() == running
        })
        .await;
    }

    /// Checks that a job is placed on a worker whose entry is written now, while all others are full, and that no task
    /// runs twice.
    async fn check_planning(&mut self, id: u64) {
        let running = self.audit.running();
        self.add_worker().await;
        self.run_one_more(id, running + 1).await;
        self.check_process();
        assert_eq!(self.audit.violations(), Vec::<String>::new());
    }
}

/// Returns an entry of a worker that does not exist, with one field replaced by JSON text.
fn entry_with(field: &str, text: &str) -> Vec<u8> {
    let mut entry = json!({
        "service": "engine", "address": "127.0.0.1:1", "zone": "gyor", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "capacity": {"cpu": 64_000, "mem_mb": 131_072, "gpu": 8},
        "labels": ["a", "r1"], "born": 5, "clock_ms": 0, "seq": 1,
    });
    let (table, field) = match field.split_once('.') {
        Some((table, field)) => (&mut entry[table], field),
        None => (&mut entry, field),
    };
    table[field] = json!("replaced");
    entry.to_string().replace("\"replaced\"", text).into_bytes()
}

fn nested(levels: usize) -> String {
    "[".repeat(levels) + &"]".repeat(levels)
}

/// Values that no reader of a store can use, whatever it expects.
fn unreadable_values() -> Vec<Vec<u8>> {
    let mut values = vec![
        Vec::new(),
        b"\xff\xfe\x00".to_vec(),
        b"null".to_vec(),
        b"1e400".to_vec(),
        b"18446744073709551616".to_vec(),
        b"{".to_vec(),
        nested(10_000).into_bytes(),
        [
            br#"{"a":"#.repeat(10_000),
            b"1".to_vec(),
            vec![b'}'; 10_000],
        ]
        .concat(),
        vec![b'x'; 900_000],
    ];
    values.push(format!("\"{}\"", "x".repeat(900_000)).into_bytes());
    values
}

/// Returns values with each field of a table replaced by values that are odd in themselves.
fn with_odd_fields(table: &Value, fields: &[&str]) -> Vec<Vec<u8>> {
    let odd = [
        "null",
        "true",
        "-1",
        "0.5",
        "1e400",
        "18446744073709551615",
        "18446744073709551616",
        r#""x""#,
        "[]",
        "{}",
        "[[[1]]]",
    ];
    let odd = odd.map(str::to_string).into_iter().chain([nested(10_000)]);
    odd.flat_map(|odd| {
        fields.iter().map(move |field| {
            let mut changed = table.clone();
            changed[*field] = json!("replaced");
            changed
                .to_string()
                .replace("\"replaced\"", &odd)
                .into_bytes()
        })
    })
    .collect()
}

/// Jobs go on beside an entry that names no worker to use, and the list is followed.
#[rstest]
#[case::empty(Vec::new())]
#[case::no_utf8(b"\xff\xfe{}".to_vec())]
#[case::no_table(b"null".to_vec())]
#[case::cut_off(entry_with("seq", "1")[..100].to_vec())]
#[case::nested(nested(10_000).into_bytes())]
#[case::field_nested(entry_with("capacity", &nested(10_000)))]
#[case::unknown_field_nested(entry_with("news", &nested(100_000)))]
#[case::figure_beyond_floats(entry_with("capacity.cpu", "1e400"))]
#[case::born_highest(entry_with("born", "18446744073709551615"))]
#[case::born_over_64_bits(entry_with("born", "18446744073709551616"))]
#[case::capacity_highest(entry_with("capacity.gpu", "9223372036854775807"))]
#[case::capacity_over_64_bits(entry_with("capacity.gpu", "18446744073709551615"))]
#[case::capacity_lowest(entry_with("capacity.gpu", "-9223372036854775808"))]
#[case::remaining_highest(entry_with(
    "state",
    r#""draining","remaining_ms":18446744073709551615"#
))]
#[case::remaining_almost_highest(entry_with(
    "state",
    r#""draining","remaining_ms":18446744073709500000"#
))]
#[case::port_out_of_range(entry_with("address", r#""127.0.0.1:70000""#))]
#[case::port_zero(entry_with("address", r#""127.0.0.1:0""#))]
#[case::host_name(entry_with("address", r#""worker.example:80""#))]
#[case::large(entry_with("news", &format!("\"{}\"", "x".repeat(900_000))))]
#[tokio::test(flavor = "multi_thread")]
async fn odd_entry_among_workers_ends_a_process_or_hides_the_others(#[case] value: Vec<u8>) {
    let mut site = Site::start(|store| store.write_bytes("servers/a-before", &value)).await;
    site.store.write_bytes("servers/i", &value);
    site.store.write_bytes("servers/z-after", &value);
    site.check_planning(2).await;
}

/// An entry of which one field has another type names no worker to use.
#[tokio::test(flavor = "multi_thread")]
async fn entry_with_odd_field_ends_a_process_or_hides_the_others() {
    let entry: Value = serde_json::from_slice(&entry_with("seq", "1")).unwrap();
    let fields = [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "cold_left_ms",
        "capacity",
        "labels",
        "born",
        "clock_ms",
        "seq",
        "remaining_ms",
        "news",
    ];
    let values = with_odd_fields(&entry, &fields);
    let write_all = |store: &StoreStandIn| {
        for (number, value) in values.iter().enumerate() {
            store.write_bytes(&format!("servers/odd-{number}"), value);
        }
    };
    let mut site = Site::start(write_all).await;
    write_all(&site.store);
    site.check_planning(2).await;
}

/// The worker goes on with what it runs, and gets work again once it has written its own entry again.
#[rstest]
#[case::empty(Vec::new())]
#[case::nested(nested(10_000).into_bytes())]
#[case::figure_too_large(entry_with("born", "18446744073709551616"))]
#[case::port_out_of_range(entry_with("address", r#""127.0.0.1:70000""#))]
#[tokio::test(flavor = "multi_thread")]
async fn odd_entry_over_that_of_a_worker_starts_its_runs_again(#[case] value: Vec<u8>) {
    let mut site = Site::start(|_| ()).await;
    let (key, _) = site.workers[0].entry();
    site.store.write_bytes(&key, &value);
    // The planner reads the list every 0.8 s.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    site.check_planning(2).await;
    assert_eq!(site.audit.counts().1, 2, "starts");
    site.write_entry(&site.workers[0]);
    site.workers[0].set_run_for(Duration::ZERO);
    site.wait("its task is done", async |site| site.audit.running() == 1)
        .await;
    site.workers[0].set_run_for(LONG_RUN);
    site.run_one_more(3, 2).await;
    assert_eq!(site.audit.violations(), Vec::<String>::new());
}

/// What the nodes themselves keep in the store, and what the operator writes, beside values that cannot be used.
#[rstest]
#[case::peers("peers/")]
#[case::requests("q/")]
#[case::jobs("q/j/")]
#[case::cancels("q/c/")]
#[case::waiting_jobs("n/")]
#[case::records("r/")]
#[case::lead("lead/")]
#[case::evacuations("op/evacuate/")]
#[case::waves("op/wave/")]
#[tokio::test(flavor = "multi_thread")]
async fn odd_value_under_prefix_ends_a_process_or_planning(#[case] prefix: &str) {
    let write_all = |store: &StoreStandIn| {
        for (number, value) in unreadable_values().iter().enumerate() {
            store.write_bytes(&format!("{prefix}odd-{number}"), value);
            store.write_bytes(&format!("{prefix}{:016x}", 0xabc0 + number), value);
        }
        store.write(prefix, "x");
    };
    let mut site = Site::start(write_all).await;
    write_all(&site.store);
    site.check_planning(2).await;
}

/// Jobs and records of the right shape whose figures no node writes.
#[tokio::test(flavor = "multi_thread")]
async fn job_or_record_with_odd_figures_ends_planning() {
    let step = json!({
        "count": 1, "need": {"cpu_millis": 1_000, "memory_mb": 100, "accelerators": 1}, "estimate_ms": 100,
    });
    let request = json!({"text": "text", "steps": [step], "timing": {"times": 0}});
    let job = |id: u64| {
        json!({
            "id": id, "queue": "queue", "organisation": "desk", "service": "other", "priority": 0, "attempts": 2,
            "stretch_percent": 150, "goal_ms": 400, "request": request,
        })
    };
    let worker = json!({"id": "i-gone", "born_unix_ms": u64::MAX, "address": "127.0.0.1:70000"});
    let record = json!({
        "state": "running", "queue": "queue", "organisation": "desk", "ended_unix_ms": u64::MAX,
        "groups": [{
            "occurrence": 0, "step": 0, "gang_failed": u32::MAX,
            "units": [{"run": u32::MAX, "failed": u32::MAX, "crashes": {"all": u32::MAX}, "worker": worker}],
        }],
    });
    let fields = ["stretch_percent", "goal_ms", "priority", "attempts"];
    let write_all = |store: &StoreStandIn| {
        let mut odd_jobs = with_odd_fields(&job(0xabc0), &fields);
        let odd_step = [
            "count",
            "need",
            "estimate_ms",
            "after",
            "most_per_worker",
            "latency_target_ms",
        ];
        for step in with_odd_fields(&step, &odd_step) {
            let text = String::from_utf8(step).unwrap();
            let job = job(0xabc0)
                .to_string()
                .replace(&request["steps"][0].to_string(), &text);
            odd_jobs.push(job.into_bytes());
        }
        for times in ["1", "256", "4294967295"] {
            let timing = format!(
                r#"{{"times":{times},"start_at_unix_ms":1,"interval_ms":18446744073709551615}}"#
            );
            let job = job(0xabc0).to_string().replace(r#"{"times":0}"#, &timing);
            odd_jobs.push(job.into_bytes());
        }
        for (number, value) in (0xabc0..).zip(odd_jobs) {
            let id = format!("{number:016x}");
            let text = String::from_utf8(value).unwrap();
            store.write(
                &format!("q/j/{id}"),
                &text.replace("43968", &number.to_string()),
            );
            store.write(&format!("n/{id}"), "queue");
            store.write(&format!("r/{id}"), &record.to_string());
            let ended = record.to_string().replace("running", "completed");
            store.write(&format!("r/{:016x}", number + 0x10_0000), &ended);
        }
    };
    let mut site = Site::start(write_all).await;
    write_all(&site.store);
    site.check_planning(2).await;
}
