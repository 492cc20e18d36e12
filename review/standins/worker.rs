//! A worker: runs work units under a lease, refuses lower generation numbers, lists what runs and what has ended, and
//! registers itself in the store. Each life is a process of its own.
//!
//! A work unit works for as long as its text says (`run_ms=N`). Each start and end goes to the file of events, with the
//! time of day: what a worker sees.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Call, serve};
use crate::json::{Json, List, int, map, text};

/// How often a worker writes its entry, and how long an entry lasts: three such intervals.
pub const HEARTBEAT_MS: u64 = 1_500;

/// The longest lease.
const MAX_HOLD_MS: u64 = 10_000;

/// How long a stop takes; the bound is 400 ms.
const STOP_MS: u64 = 300;

/// How a worker process is started.
pub struct Options {
    pub id: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The address in its entry.
    pub advertised: SocketAddr,
    /// How it reaches the store.
    pub store: SocketAddr,
    pub rack: String,
    /// The kind of its machine.
    pub kind: String,
    /// The file that it appends its events to.
    pub events: String,
}

struct Run {
    run: u64,
    began: Instant,
    work: Duration,
    /// How much of its work is done, as it says: all, of one that lasts.
    percent: u64,
    stopping: Option<Instant>,
}

struct State {
    highest_token: u64,
    lease_end_ms: u64,
    running: BTreeMap<String, Run>,
    highest_ended: BTreeMap<String, u64>,
    ended: Vec<(u64, Json)>,
    last_end: u64,
    draining: bool,
    leaves: Option<Instant>,
    seq: u64,
    events: File,
}

struct Worker {
    options: Options,
    born: u64,
    began: Instant,
    state: Mutex<State>,
}

/// The time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Runs a worker until it leaves or is killed.
pub fn run(options: Options) {
    let listener = TcpListener::bind(options.listen).expect("the worker's address");
    let events = OpenOptions::new()
        .append(true)
        .create(true)
        .open(&options.events)
        .unwrap();
    let worker = Arc::new(Worker {
        options,
        born: unix_ms(),
        began: Instant::now(),
        state: Mutex::new(State {
            highest_token: 0,
            lease_end_ms: 0,
            running: BTreeMap::new(),
            highest_ended: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            draining: false,
            leaves: None,
            seq: 0,
            events,
        }),
    });
    let server = worker.clone();
    thread::spawn(move || serve(listener, move |call| server.handle(call)));
    let clock = worker.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(5));
            clock.end_due_runs();
        }
    });
    loop {
        worker.beat();
        let next = Instant::now() + Duration::from_millis(HEARTBEAT_MS);
        let seq = worker.lock().seq;
        // A report that it drains goes out at once.
        while Instant::now() < next && worker.lock().seq == seq {
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl State {
    fn log(&mut self, worker: &Worker, what: &str) {
        let id = &worker.options.id;
        let line = format!("{} {id} {} {what}\n", unix_ms(), worker.born);
        let _ = self.events.write_all(line.as_bytes());
    }

    fn end(&mut self, worker: &Worker, task: &str, how: &str) {
        if let Some(run) = self.running.remove(task) {
            let highest = self.highest_ended.entry(task.to_string()).or_default();
            *highest = (*highest).max(run.run);
            self.last_end += 1;
            let row = [
                int(self.last_end),
                text(task),
                int(run.run),
                text(how),
                text(""),
            ];
            self.ended.push((self.last_end, List(row.to_vec())));
            self.log(worker, &format!("end {task} run {} {how}", run.run));
        }
    }
}

impl Worker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.began.elapsed().as_millis() as u64
    }

    /// Writes its entry. While the store can't be reached, the next one comes a heartbeat later.
    fn beat(&self) {
        let body = {
            let mut state = self.lock();
            state.seq += 1;
            let mut entry = vec![
                ("service", text("engine")),
                ("address", text(self.options.advertised.to_string())),
                ("zone", text("gyor")),
                ("version", text("v1")),
                ("slots", int(8)),
                (
                    "state",
                    text(if state.draining { "draining" } else { "ready" }),
                ),
                ("cold_left_ms", int(0)),
                (
                    "labels",
                    List(vec![text(&self.options.kind), text(&self.options.rack)]),
                ),
                ("born", int(self.born)),
                ("clock_ms", int(self.clock_ms())),
                ("seq", int(state.seq)),
            ];
            let capacity = [
                ("cpu", int(64_000)),
                ("mem_mb", int(131_072)),
                ("gpu", int(8)),
            ];
            entry.push(("capacity", map(capacity)));
            if let Some(leaves) = state.leaves {
                let left = leaves.saturating_duration_since(Instant::now());
                entry.push(("remaining_ms", int(left.as_millis() as u64)));
            }
            let entry = entry.into_iter().map(|(k, v)| (k.to_string(), v)).collect();
            let fields = [
                ("key", text(format!("servers/{}", self.options.id))),
                ("value", text(Json::Map(entry).to_string())),
                ("ttl_ms", int(3 * HEARTBEAT_MS)),
            ];
            map(fields)
        };
        let store = self.options.store;
        thread::spawn(move || http::call(store, "POST", "/standin/put", &[], Some(&body), 1_000));
    }

    fn end_due_runs(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        if state.leaves.is_some_and(|leaves| leaves <= now) {
            let tasks: Vec<String> = state.running.keys().cloned().collect();
            for task in tasks {
                state.end(self, &task, "stopped");
            }
            state.log(self, "left");
            let key = map([("key", text(format!("servers/{}", self.options.id)))]);
            let _ = http::call(
                self.options.store,
                "POST",
                "/standin/remove",
                &[],
                Some(&key),
                500,
            );
            process::exit(0);
        }
        let expired = self.clock_ms() > state.lease_end_ms;
        let due: Vec<(String, &str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                let how = match run.stopping {
                    _ if now >= run.began + run.work => "done",
                    _ if expired => "lapsed",
                    Some(at) if now >= at => "stopped",
                    _ => return None,
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in due {
            state.end(self, &task, how);
        }
    }

    fn refuse(&self, reason: &str) -> Answer {
        let fields = [("clock_ms", int(self.clock_ms())), ("reason", text(reason))];
        (409, map(fields))
    }

    fn done(&self) -> Answer {
        (200, map([("clock_ms", int(self.clock_ms()))]))
    }

    fn handle(&self, call: &Call) -> Answer {
        if call.path == "/standin/drain" {
            let mut state = self.lock();
            state.draining = true;
            let leave_ms = call.body.get("leave_ms").u64();
            state.leaves = Some(Instant::now() + Duration::from_millis(leave_ms));
            state.seq += 1;
            state.log(self, "draining");
            return (200, map([]));
        }
        if call.method == "GET" {
            return (if self.lock().draining { 503 } else { 200 }, map([]));
        }
        let expected = call.headers.get("hemlockloft-expect-instance");
        if expected.is_some_and(|id| *id != self.options.id) {
            return (421, map([("clock_ms", int(self.clock_ms()))]));
        }
        self.end_due_runs();
        let token = call.body.get("fencing_token").u64();
        {
            let mut state = self.lock();
            if token < state.highest_token {
                return self.refuse("fence");
            }
            state.highest_token = token;
        }
        match call.path.as_str() {
            "/run-start" => self.start(&call.body),
            "/run-stop" => self.stop(&call.body),
            "/hold" => self.hold(&call.body),
            "/pace" => self.done(),
            _ => (400, map([])),
        }
    }

    /// Prolongs the lease, up to the longest that is granted.
    fn prolong(&self, state: &mut State, deadline_ms: u64) {
        let granted = deadline_ms.min(self.clock_ms() + MAX_HOLD_MS);
        state.lease_end_ms = state.lease_end_ms.max(granted);
    }

    fn start(&self, body: &Json) -> Answer {
        let (task, run) = (body.get("task").str(), body.get("run").u64());
        let deadline_ms = body.get("deadline_ms").u64();
        let mut state = self.lock();
        if deadline_ms <= self.clock_ms() {
            return self.refuse("late");
        }
        self.prolong(&mut state, deadline_ms);
        let highest = state.highest_ended.get(task).copied().unwrap_or(0);
        match state.running.get(task) {
            Some(at) if at.run == run => return self.done(),
            Some(_) => return self.refuse("old"),
            None if run <= highest => return self.refuse("old"),
            None => {}
        }
        let work_ms = body
            .get("spec")
            .str()
            .split_once("run_ms=")
            .and_then(|(_, digits)| digits.parse().ok())
            .unwrap_or(1_000);
        let work = Duration::from_millis(work_ms);
        let lasts = body.get("spec").str().starts_with("lasting");
        let percent = if lasts { 100 } else { 10 };
        let entry = Run {
            run,
            began: Instant::now(),
            work,
            percent,
            stopping: None,
        };
        state.running.insert(task.to_string(), entry);
        let token = body.get("fencing_token").u64();
        state.log(self, &format!("start {task} run {run} token {token}"));
        self.done()
    }

    fn stop(&self, body: &Json) -> Answer {
        let (task, run) = (body.get("task").str(), body.get("run").u64());
        let mut state = self.lock();
        match state.running.get_mut(task) {
            Some(at) if at.run == run => {
                let end = Instant::now() + Duration::from_millis(STOP_MS);
                at.stopping.get_or_insert(end);
            }
            Some(at) if at.run > run => {}
            _ => {
                let highest = state.highest_ended.entry(task.to_string()).or_default();
                *highest = (*highest).max(run);
            }
        }
        self.done()
    }

    fn hold(&self, body: &Json) -> Answer {
        let end = Instant::now() + Duration::from_millis(body.get("wait_ms").u64().min(2_000));
        {
            let mut state = self.lock();
            let deadline_ms = body.get("deadline_ms").u64();
            if deadline_ms > 0 {
                self.prolong(&mut state, deadline_ms);
            }
            let confirmed = body.get("acked_upto").u64();
            let before = state.ended.len();
            state.ended.retain(|(number, _)| *number > confirmed);
            if state.ended.len() < before {
                state.log(self, &format!("acked {confirmed}"));
            }
        }
        loop {
            {
                let state = self.lock();
                if !state.ended.is_empty() || Instant::now() >= end {
                    let running = state.running.iter().map(|(task, at)| {
                        List(vec![text(task), int(at.run), text(""), int(at.percent)])
                    });
                    let ended = state.ended.iter().take(500).map(|(_, row)| row.clone());
                    let fields = [
                        ("clock_ms", int(self.clock_ms())),
                        ("born", int(self.born)),
                        ("running", List(running.collect())),
                        ("ended", List(ended.collect())),
                    ];
                    return (200, map(fields));
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}
