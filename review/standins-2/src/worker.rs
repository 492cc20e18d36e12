//! A worker: runs work units under a lease, heeds fencing tokens, and lists what runs and what has ended.
//!
//! How a work unit behaves stands in the job's spec: `work=MS`, `spread=MS` (how much longer each next work unit works),
//! `lasting=1` and `gang=MEMBERS`.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Answer, Request, serve};
use crate::record::{Event, Record};
use crate::store::Store;

/// The longest lease that a worker grants.
pub const MAX_HOLD_MS: u64 = 10_000;

/// How long a stop takes.
const STOP_MS: u64 = 100;

/// How often a worker writes its entry, and after how long without one it is removed.
const HEARTBEAT_MS: u64 = 1_500;

/// Most ends in one list.
const LISTED_ENDS: usize = 500;

/// How long a lasting work unit takes to start up.
const STARTUP_MS: u64 = 300;

/// After how long of work a run fails on a worker that fails what it starts.
const GREY_MS: u64 = 500;

/// How long the members of a gang wait for the others.
const GANG_TIMEOUT_MS: u64 = 3_000;

/// Whether calls reach a worker.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    Up,
    /// It is cut off in both directions and runs on; what is sent meanwhile is lost.
    Cut,
    /// It has crashed: nothing runs, and nothing answers.
    Down,
}

struct Run {
    run: u64,
    began_ms: u64,
    work_ms: u64,
    fails: bool,
    lasting: bool,
    members: u64,
    stops_ms: Option<u64>,
}

struct State {
    reach: Reach,
    /// Whether it fails all that it starts.
    grey: bool,
    born: u64,
    began: Instant,
    highest_token: u64,
    lease_end_ms: u64,
    running: BTreeMap<String, Run>,
    highest_over: HashMap<String, u64>,
    ended: Vec<(u64, Value)>,
    last_end: u64,
    answered: u64,
}

/// The members of the runs of gangs: when each was there, and when the first ended, and how.
#[derive(Default)]
pub struct Gangs(Mutex<HashMap<String, Gang>>);

#[derive(Default)]
struct Gang {
    members: HashMap<String, Instant>,
    ended: Option<(Instant, &'static str)>,
}

/// A worker.
pub struct Worker {
    pub id: String,
    pub rack: String,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    gangs: Arc<Gangs>,
    address: Mutex<Option<SocketAddr>>,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

impl Worker {
    /// Starts a worker, which writes its entry into the store from now on.
    pub fn start(
        id: &str,
        rack: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
        gangs: &Arc<Gangs>,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: id.to_string(),
            rack: rack.to_string(),
            state: Mutex::new(State {
                reach: Reach::Up,
                grey: false,
                born: unix_ms(),
                began: Instant::now(),
                highest_token: 0,
                lease_end_ms: 0,
                running: BTreeMap::new(),
                highest_over: HashMap::new(),
                ended: Vec::new(),
                last_end: 0,
                answered: 0,
            }),
            changed: Condvar::new(),
            record: record.clone(),
            gangs: gangs.clone(),
            address: Mutex::new(None),
        });
        let served = worker.clone();
        let address = serve(Arc::new(move |request| served.handle(&request)));
        *worker.address.lock().expect("an address") = Some(address);
        let timed = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                let mut state = timed.lock();
                timed.settle(&mut state);
            }
        });
        let (beating, store) = (worker.clone(), store.clone());
        std::thread::spawn(move || {
            let mut seq = 0;
            loop {
                seq += 1;
                if let Some(entry) = beating.entry(seq) {
                    let ttl = Duration::from_millis(3 * HEARTBEAT_MS);
                    store.write(&format!("servers/{}", beating.id), &entry, Some(ttl));
                }
                std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        worker
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a worker's state")
    }

    fn entry(&self, seq: u64) -> Option<Value> {
        let state = self.lock();
        let address = (*self.address.lock().expect("an address"))?;
        (state.reach == Reach::Up).then(|| {
            json!({
                "service": "engine", "address": address.to_string(), "zone": "gyor", "version": "v1",
                "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": seq, "born": state.born,
                "capacity": {"cpu": 64_000, "mem_mb": 131_072, "gpu": 8},
                "labels": ["a", self.rack], "clock_ms": state.clock_ms(),
            })
        })
    }

    /// Cuts the worker off, or lets calls reach it again.
    pub fn set_cut(&self, cut: bool) {
        let mut state = self.lock();
        state.reach = if cut { Reach::Cut } else { Reach::Up };
        self.record.note(
            &self.id,
            if cut {
                "is cut off and runs on"
            } else {
                "is reached again"
            },
        );
        self.changed.notify_all();
    }

    /// Lets the worker crash: everything on it is over.
    pub fn crash(&self) {
        let mut state = self.lock();
        self.settle(&mut state);
        state.reach = Reach::Down;
        self.record.note(&self.id, "crashes");
        for (task, run) in std::mem::take(&mut state.running) {
            self.break_gang(&task, &run, "broken");
            self.record.add(Event::End {
                worker: self.id.clone(),
                born: state.born,
                number: 0,
                task,
                run: run.run,
                how: "crashed".to_string(),
            });
        }
        self.changed.notify_all();
    }

    /// Starts the worker again after a crash, under its id and address; it knows nothing of before.
    pub fn restart(&self) {
        let mut state = self.lock();
        *state = State {
            reach: Reach::Up,
            grey: false,
            born: unix_ms(),
            began: Instant::now(),
            highest_token: 0,
            lease_end_ms: 0,
            running: BTreeMap::new(),
            highest_over: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            answered: 0,
        };
        self.record.note(&self.id, "starts again");
    }

    /// Lets the worker fail all that it starts, or no longer.
    pub fn set_grey(&self, grey: bool) {
        self.lock().grey = grey;
        let what = match grey {
            true => "fails all that it starts from now on",
            false => "is sound again",
        };
        self.record.note(&self.id, what);
    }

    /// Returns the work units that run here.
    pub fn running(&self) -> Vec<String> {
        self.lock().running.keys().cloned().collect()
    }

    /// Returns how many renewals were answered.
    pub fn answered(&self) -> u64 {
        self.lock().answered
    }

    fn handle(&self, request: &Request) -> Answer {
        let mut state = self.lock();
        if state.reach != Reach::Up {
            // The call is lost: its sender waits until it gives up, or until the link is back.
            let until = Instant::now() + Duration::from_secs(10);
            while state.reach != Reach::Up && Instant::now() < until {
                let wait = Duration::from_millis(50);
                state = self.changed.wait_timeout(state, wait).expect("state").0;
            }
            return Answer::Close;
        }
        let born = state.born;
        if request
            .headers
            .get("hemlockloft-expect-instance")
            .is_some_and(|id| *id != self.id)
        {
            return Answer::Reply(421, json!({"clock_ms": state.clock_ms(), "born": born}));
        }
        self.settle(&mut state);
        let token = request.body["fencing_token"].as_u64().unwrap_or(0);
        if token < state.highest_token {
            return refuse(&state, "fence");
        }
        state.highest_token = token;
        match request.path.as_str() {
            "/run-start" => self.begin(&mut state, &request.body),
            "/run-stop" => self.stop(&mut state, &request.body),
            "/hold" => self.hold(state, &request.body),
            "/pace" => done(&state),
            _ => Answer::Reply(400, json!({})),
        }
    }

    fn begin(&self, state: &mut State, body: &Value) -> Answer {
        let task = body["task"].as_str().unwrap_or_default().to_string();
        let run = body["run"].as_u64().unwrap_or(0);
        let deadline_ms = body["deadline_ms"].as_u64().unwrap_or(0);
        if deadline_ms <= state.clock_ms() {
            return refuse(state, "late");
        }
        state.prolong(deadline_ms);
        match state.running.get(&task) {
            Some(active) if active.run == run => return done(state),
            Some(_) => return refuse(state, "old"),
            None if run <= state.highest_over.get(&task).copied().unwrap_or(0) => {
                return refuse(state, "old");
            }
            None => {}
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        let number = |name: &str| {
            spec.split(' ')
                .filter_map(|word| word.split_once('='))
                .find(|(key, _)| *key == name)
                .and_then(|(_, text)| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let index: u64 = task
            .rsplit('.')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let members = number("gang");
        if members > 1 {
            let mut gangs = self.gangs.0.lock().expect("gangs");
            let gang = gangs.entry(gang_name(&task, run)).or_default();
            gang.members.insert(task.clone(), Instant::now());
        }
        let active = Run {
            run,
            began_ms: state.clock_ms(),
            work_ms: number("work") + index * number("spread"),
            fails: state.grey,
            lasting: number("lasting") > 0,
            members,
            stops_ms: None,
        };
        state.running.insert(task.clone(), active);
        self.record.add(Event::Start {
            worker: self.id.clone(),
            task,
            run,
        });
        done(state)
    }

    fn stop(&self, state: &mut State, body: &Value) -> Answer {
        let task = body["task"].as_str().unwrap_or_default().to_string();
        let run = body["run"].as_u64().unwrap_or(0);
        self.record
            .note(&self.id, &format!("is told to stop {task} run {run}"));
        let stops_ms = state.clock_ms() + STOP_MS;
        match state.running.get_mut(&task) {
            Some(active) if active.run == run => {
                active.stops_ms.get_or_insert(stops_ms);
            }
            Some(active) if active.run > run => {}
            _ => {
                let highest = state.highest_over.entry(task).or_default();
                *highest = run.max(*highest);
            }
        }
        done(state)
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Value) -> Answer {
        if let Some(deadline_ms) = body["deadline_ms"].as_u64() {
            state.prolong(deadline_ms);
        }
        let upto = body["acked_upto"].as_u64().unwrap_or(0);
        if state
            .ended
            .first()
            .is_some_and(|(number, _)| *number <= upto)
        {
            state.ended.retain(|(number, _)| *number > upto);
            self.record.add(Event::Noted {
                worker: self.id.clone(),
                born: state.born,
                upto,
            });
        }
        let wait_ms = body["wait_ms"].as_u64().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let born = state.born;
        loop {
            if state.reach != Reach::Up || state.born != born {
                drop(state);
                std::thread::sleep(Duration::from_secs(3));
                return Answer::Close;
            }
            if !state.ended.is_empty() || Instant::now() >= until {
                break;
            }
            let wait = Duration::from_millis(5);
            state = self.changed.wait_timeout(state, wait).expect("state").0;
        }
        let clock_ms = state.clock_ms();
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|(task, run)| {
                let worked_ms = clock_ms - run.began_ms;
                let percent = match run.lasting {
                    true if worked_ms >= STARTUP_MS => 100,
                    true => 0,
                    false => (worked_ms * 100 / run.work_ms.max(1)).min(99),
                };
                json!([task, run.run, "", percent, 0])
            })
            .collect();
        let ended: Vec<&Value> = state
            .ended
            .iter()
            .take(LISTED_ENDS)
            .map(|(_, row)| row)
            .collect();
        if ended.len() == LISTED_ENDS {
            let all = state.ended.len();
            self.record.note(
                &self.id,
                &format!("lists the first {LISTED_ENDS} of {all} ends"),
            );
        }
        let body =
            json!({"clock_ms": clock_ms, "born": state.born, "running": running, "ended": ended});
        state.answered += 1;
        Answer::Reply(200, body)
    }

    /// Lets end what is due.
    fn settle(&self, state: &mut State) {
        if state.reach == Reach::Down {
            return;
        }
        let clock_ms = state.clock_ms();
        let lapsed = clock_ms >= state.lease_end_ms;
        let mut due: Vec<(u64, String, &'static str)> = Vec::new();
        for (task, run) in &state.running {
            let (worked_since_ms, other) = self.look_at_gang(task, run, state);
            let ends = [
                worked_since_ms
                    .filter(|_| !run.lasting)
                    .map(|since_ms| (since_ms + run.work_ms, "done")),
                worked_since_ms
                    .filter(|_| run.fails)
                    .map(|since_ms| (since_ms + GREY_MS, "failed")),
                run.stops_ms.map(|at_ms| (at_ms, "stopped")),
                (run.members > 1 && worked_since_ms.is_none())
                    .then_some((run.began_ms + GANG_TIMEOUT_MS, "alone")),
                other.map(|how| (clock_ms, how)),
                lapsed.then_some((state.lease_end_ms, "lapsed")),
            ];
            let first = ends.into_iter().flatten().min();
            if let Some((at_ms, how)) = first.filter(|(at_ms, _)| *at_ms <= clock_ms) {
                due.push((at_ms, task.clone(), how));
            }
        }
        due.sort();
        for (_, task, how) in due {
            let Some(run) = state.running.remove(&task) else {
                continue;
            };
            self.break_gang(&task, &run, if how == "done" { "done" } else { "broken" });
            let highest = state.highest_over.entry(task.clone()).or_default();
            *highest = run.run.max(*highest);
            state.last_end += 1;
            let number = state.last_end;
            let row = json!([number, task, run.run, how, ""]);
            state.ended.push((number, row));
            self.record.add(Event::End {
                worker: self.id.clone(),
                born: state.born,
                number,
                task,
                run: run.run,
                how: how.to_string(),
            });
            self.changed.notify_all();
        }
    }

    /// Returns since when a run works, on the worker's clock, and how it ends because another member of its gang ended.
    fn look_at_gang(
        &self,
        task: &str,
        run: &Run,
        state: &State,
    ) -> (Option<u64>, Option<&'static str>) {
        if run.members < 2 {
            return (Some(run.began_ms), None);
        }
        let gangs = self.gangs.0.lock().expect("gangs");
        let Some(gang) = gangs.get(&gang_name(task, run.run)) else {
            return (None, None);
        };
        let complete = (gang.members.len() as u64 == run.members)
            .then(|| gang.members.values().max().copied())
            .flatten();
        let since_ms =
            complete.map(|at| at.saturating_duration_since(state.began).as_millis() as u64);
        // The end of a member reaches the others a little later.
        let heard = Duration::from_millis(150);
        let other = gang
            .ended
            .filter(|(at, how)| at.elapsed() >= heard || *how == "done");
        (since_ms.map(|ms| ms + 1_000), other.map(|(_, how)| how))
    }

    fn break_gang(&self, task: &str, run: &Run, others: &'static str) {
        if run.members > 1 {
            let mut gangs = self.gangs.0.lock().expect("gangs");
            let gang = gangs.entry(gang_name(task, run.run)).or_default();
            gang.ended.get_or_insert((Instant::now(), others));
        }
    }
}

fn gang_name(task: &str, run: u64) -> String {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    format!("{step} {run}")
}

impl State {
    fn clock_ms(&self) -> u64 {
        1_000 + self.began.elapsed().as_millis() as u64
    }

    fn prolong(&mut self, deadline_ms: u64) {
        let granted = deadline_ms.min(self.clock_ms() + MAX_HOLD_MS);
        self.lease_end_ms = self.lease_end_ms.max(granted);
    }
}

fn refuse(state: &State, reason: &str) -> Answer {
    Answer::Reply(409, json!({"clock_ms": state.clock_ms(), "reason": reason}))
}

fn done(state: &State) -> Answer {
    Answer::Reply(200, json!({"clock_ms": state.clock_ms()}))
}
