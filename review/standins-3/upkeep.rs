//! The operator asks for the upkeep of one machine, on which several work units of a step with `may_miss` are at work. Workers
//! and machines are stand-ins of this file.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::site::{KEY, Record, Site, WORKER_ACCELERATORS, write_item};

const MACHINES: usize = 6;

/// Work units of the step, and how many of them may be unavailable at the same time as a result of the system's actions.
const UNITS: usize = 4;
const MAY_MISS: usize = 1;

/// Figures of the users' pages for a small deployment.
const MAX_HOLD_MS: u64 = 10_000;
const MAINTENANCE: Duration = Duration::from_millis(2_000);
const NOTICE: Duration = Duration::from_millis(5_500);
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How long a stop takes; 400 ms are allowed.
const STOP: Duration = Duration::from_millis(300);

/// How long a work unit takes to be at work after its start.
const STARTUP: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Run {
    run: u64,
    began: Instant,
    stops: Option<Instant>,
}

impl Run {
    fn is_at_work(&self, now: Instant) -> bool {
        now >= self.began + STARTUP
    }
}

/// One life of a worker.
#[derive(Debug)]
struct Life {
    id: String,
    born: u64,
    began: Instant,
    token: u64,
    lease_end_ms: u64,
    running: HashMap<String, Run>,
    /// The highest run that was stopped or has ended, by work unit.
    highest: HashMap<String, u64>,
    ended: Vec<(u64, String)>,
    last_end: u64,
}

#[derive(Debug)]
struct Machine {
    name: String,
    address: SocketAddr,
    lives: u32,
    /// None while it is down for its upkeep.
    life: Option<Life>,
    token: u64,
    waves: Vec<u64>,
}

/// What is known of a work unit.
#[derive(Debug, Default, Clone, Copy)]
struct Unit {
    /// Since when it has not been at work; none while it is.
    away: Option<Instant>,
    /// Whether an order ended its last run.
    ended_by_order: bool,
}

#[derive(Default)]
struct Fleet {
    machines: Vec<Machine>,
    units: HashMap<String, Unit>,
    lines: Vec<String>,
    broken: Vec<String>,
}

type Shared = Arc<Mutex<Fleet>>;

fn lock(fleet: &Shared) -> MutexGuard<'_, Fleet> {
    fleet.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a field of an object without nested ones.
pub fn field<'t>(body: &'t str, name: &str) -> Option<&'t str> {
    let rest = body.split_once(&format!("\"{name}\":"))?.1.trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next().map(str::trim),
    }
}

pub fn number(body: &str, name: &str) -> u64 {
    field(body, name)
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(0)
}

impl Life {
    fn new(id: String) -> Life {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Life {
            id,
            born: unix.as_millis() as u64,
            began: Instant::now(),
            token: 0,
            lease_end_ms: 0,
            running: HashMap::new(),
            highest: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.began.elapsed().as_millis() as u64
    }

    fn prolong(&mut self, body: &str) {
        let granted = number(body, "deadline_ms").min(self.clock_ms() + MAX_HOLD_MS);
        self.lease_end_ms = self.lease_end_ms.max(granted);
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (
            409,
            format!(
                "{{\"clock_ms\":{},\"reason\":\"{reason}\"}}",
                self.clock_ms()
            ),
        )
    }

    fn done(&self) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    fn block(&mut self, task: &str, run: u64) {
        let highest = self.highest.entry(task.to_string()).or_default();
        *highest = run.max(*highest);
    }

    fn lists(&self) -> (u16, String) {
        let now = Instant::now();
        let running: Vec<String> = self
            .running
            .iter()
            .map(|(task, run)| {
                format!(
                    "[\"{task}\",{},\"\",{},0]",
                    run.run,
                    if run.is_at_work(now) { 100 } else { 0 }
                )
            })
            .collect();
        let ended: Vec<&str> = self
            .ended
            .iter()
            .take(500)
            .map(|(_, row)| row.as_str())
            .collect();
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.join(","),
            ended.join(",")
        );
        (200, body)
    }
}

impl Fleet {
    /// Ends a run, and checks the rule if an order ended it.
    fn end(&mut self, at: usize, task: &str, how: &str, by_order: bool) {
        let Some(life) = self.machines[at].life.as_mut() else {
            return;
        };
        let Some(run) = life.running.remove(task) else {
            return;
        };
        life.block(task, run.run);
        life.last_end += 1;
        let row = format!("[{},\"{task}\",{},\"{how}\",\"\"]", life.last_end, run.run);
        life.ended.push((life.last_end, row));
        let now = Instant::now();
        let was_at_work = run.is_at_work(now);
        let name = self.machines[at].name.clone();
        let others: Vec<String> = self
            .units
            .iter()
            .filter(|(other, unit)| {
                *other != task
                    && unit
                        .away
                        .is_some_and(|since| unit.ended_by_order || now >= since + NOTICE)
            })
            .map(|(other, _)| other.clone())
            .collect();
        let line = format!(
            "{name}: run {} of {task} ends {how}, at work before: {was_at_work}, others of its step away: {others:?}",
            run.run
        );
        if by_order && was_at_work && others.len() >= MAY_MISS {
            self.broken.push(line.clone());
        }
        self.lines.push(line);
        self.units.insert(
            task.to_string(),
            Unit {
                away: Some(now),
                ended_by_order: by_order,
            },
        );
    }

    /// Lets everything happen that is due.
    fn settle(&mut self) {
        let now = Instant::now();
        for at in 0..self.machines.len() {
            let Some(life) = &self.machines[at].life else {
                continue;
            };
            let has_lapsed = life.lease_end_ms <= life.clock_ms();
            let mut due: Vec<(String, &str)> = Vec::new();
            for (task, run) in &life.running {
                if run.stops.is_some_and(|stops| stops <= now) {
                    due.push((task.clone(), "stopped"));
                } else if has_lapsed {
                    due.push((task.clone(), "lapsed"));
                } else if run.is_at_work(now) && run.stops.is_none() {
                    let unit = self.units.entry(task.clone()).or_default();
                    if unit.away.take().is_some() || !unit.ended_by_order {
                        unit.ended_by_order = false;
                    }
                }
            }
            for (task, how) in due {
                self.end(at, &task, how, how == "stopped");
            }
        }
    }

    /// Carries an order to a worker out; none if nobody is there.
    fn order(
        &mut self,
        at: usize,
        path: &str,
        expected: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        self.settle();
        let name = self.machines[at].name.clone();
        let life = self.machines[at].life.as_mut()?;
        if !expected.is_empty() && expected != life.id {
            return Some((
                421,
                format!(
                    "{{\"clock_ms\":{},\"born\":{}}}",
                    life.clock_ms(),
                    life.born
                ),
            ));
        }
        let token = number(body, "fencing_token");
        if token < life.token {
            return Some(life.refuse("fence"));
        }
        life.token = token;
        let task = field(body, "task").unwrap_or_default().to_string();
        let run = number(body, "run");
        Some(match path {
            "/run-start" => {
                if number(body, "deadline_ms") <= life.clock_ms() {
                    return Some(life.refuse("late"));
                }
                life.prolong(body);
                let is_blocked = life
                    .highest
                    .get(&task)
                    .is_some_and(|highest| run <= *highest);
                match life.running.get(&task) {
                    Some(active) if active.run == run => life.done(),
                    Some(_) => life.refuse("old"),
                    None if is_blocked => life.refuse("old"),
                    None => {
                        let active = Run {
                            run,
                            began: Instant::now(),
                            stops: None,
                        };
                        life.running.insert(task.clone(), active);
                        self.lines
                            .push(format!("{name}: run {run} of {task} starts"));
                        let unit = self.units.entry(task).or_default();
                        unit.away.get_or_insert(Instant::now());
                        self.machines[at].life.as_ref()?.done()
                    }
                }
            }
            "/run-stop" => {
                match life.running.get_mut(&task) {
                    Some(active) if active.run == run => {
                        active.stops.get_or_insert(Instant::now() + STOP);
                    }
                    Some(active) if active.run > run => {}
                    _ => life.block(&task, run),
                }
                let answer = life.done();
                self.lines
                    .push(format!("{name}: run {run} of {task} is to stop"));
                answer
            }
            "/hold" => {
                if field(body, "deadline_ms").is_some() {
                    life.prolong(body);
                }
                let upto = number(body, "acked_upto");
                life.ended.retain(|(number, _)| *number > upto);
                life.lists()
            }
            "/pace" => life.done(),
            _ => (400, "{}".to_string()),
        })
    }

    fn list_machines(&self) -> (u16, String) {
        let rows: Vec<String> = self
            .machines
            .iter()
            .map(|machine| {
                let (state, id) = match &machine.life {
                    Some(life) => ("up", format!("\"{}\"", life.id)),
                    None => ("upkeep", "null".to_string()),
                };
                format!(
                    "{{\"machine\":\"{}\",\"pool\":\"engine\",\"state\":\"{state}\",\"zone\":\"gyor\",\"labels\":[\"a\",\"r1-0\"],\
                     \"capacity\":{CAPACITY},\"id\":{id}}}",
                    machine.name
                )
            })
            .collect();
        (
            200,
            format!("{{\"machines\":[{}],\"next_token\":null}}", rows.join(",")),
        )
    }

    /// Takes a machine down for its upkeep.
    fn take_down(&mut self, token: u64, body: &str) -> (u16, String) {
        self.settle();
        let refuse = |reason: &str| (409, format!("{{\"reason\":\"{reason}\"}}"));
        let wave = number(body, "wave");
        let Some(at) = self
            .machines
            .iter()
            .position(|m| Some(m.name.as_str()) == field(body, "machine"))
        else {
            return (400, "{}".to_string());
        };
        let machine = &mut self.machines[at];
        if token < machine.token {
            return refuse("fence");
        }
        machine.token = token;
        if machine.waves.contains(&wave) {
            return (200, "{}".to_string());
        }
        if machine.life.is_none() {
            return refuse("busy");
        }
        machine.waves.push(wave);
        let tasks: Vec<String> = machine
            .life
            .iter()
            .flat_map(|life| life.running.keys().cloned())
            .collect();
        let line = format!(
            "{}: down for its upkeep, {} work units end with it",
            machine.name,
            tasks.len()
        );
        for task in tasks {
            self.end(at, &task, "stopped", true);
        }
        self.machines[at].life = None;
        self.lines.push(line);
        (200, "{}".to_string())
    }

    /// Returns the work units that are at work, by machine.
    fn at_work(&self) -> Vec<usize> {
        let now = Instant::now();
        let count = |life: &Life| {
            life.running
                .values()
                .filter(|run| run.is_at_work(now) && run.stops.is_none())
                .count()
        };
        self.machines
            .iter()
            .map(|machine| machine.life.as_ref().map_or(0, count))
            .collect()
    }
}

const CAPACITY: &str = "{\"cpu\":64000,\"mem_mb\":131072,\"gpu\":8}";

/// A request: method, path, expected worker, token and body.
pub struct Request {
    pub path: String,
    pub expected: String,
    token: u64,
    pub body: String,
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let path = line.split(' ').nth(1)?.to_string();
    let (mut length, mut expected, mut token) = (0, String::new(), 0);
    loop {
        let mut header = String::new();
        reader
            .read_line(&mut header)
            .ok()
            .filter(|read| *read > 0)?;
        let Some((name, value)) = header.trim_end().split_once(':') else {
            break;
        };
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().ok()?,
            "hemlockloft-expect-instance" => expected = value.to_string(),
            "hemlockloft-fencing-token" => token = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        path,
        expected,
        token,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Serves each connection with a thread; an answer of none closes the connection.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(Request) -> Option<(u16, String)> + Clone + Send + 'static,
) {
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    let Some((status, body)) = answer(request) else {
                        return;
                    };
                    let head = format!(
                        "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    if writer.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Answers a call to a worker; a renewal waits for an end.
fn answer_worker(fleet: &Shared, at: usize, request: &Request) -> Option<(u16, String)> {
    let answer = lock(fleet).order(at, &request.path, &request.expected, &request.body)?;
    if request.path != "/hold" || answer.0 != 200 {
        return Some(answer);
    }
    let wait = Duration::from_millis(number(&request.body, "wait_ms").min(2_000));
    let (began, id) = (
        Instant::now(),
        lock(fleet).machines[at].life.as_ref()?.id.clone(),
    );
    loop {
        {
            let mut fleet = lock(fleet);
            fleet.settle();
            let life = fleet.machines[at]
                .life
                .as_ref()
                .filter(|life| life.id == id)?;
            if !life.ended.is_empty() || began.elapsed() >= wait {
                return Some(life.lists());
            }
        }
        sleep(Duration::from_millis(5));
    }
}

/// Writes the entries of all workers at each heartbeat.
fn beat(fleet: Shared, store_control: SocketAddr) {
    spawn(move || {
        let mut seq = 0;
        loop {
            seq += 1;
            let entries: Vec<(String, String)> = lock(&fleet)
                .machines
                .iter()
                .filter_map(|machine| {
                    let life = machine.life.as_ref()?;
                    let entry = format!(
                        "{{\"service\":\"engine\",\"address\":\"{}\",\"zone\":\"gyor\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
                         \"cold_left_ms\":0,\"capacity\":{CAPACITY},\"labels\":[\"a\",\"r1-0\"],\"born\":{},\"clock_ms\":{},\"seq\":{seq},\
                         \"machine\":\"{}\"}}",
                        machine.address,
                        life.born,
                        life.clock_ms(),
                        machine.name
                    );
                    Some((format!("servers/{}", life.id), entry))
                })
                .collect();
            for (key, entry) in entries {
                write_item(
                    store_control,
                    &key,
                    &entry,
                    Some(3 * HEARTBEAT.as_millis() as u64),
                );
            }
            sleep(HEARTBEAT);
        }
    });
}

/// Brings machines back after their upkeep, with new workers.
fn bring_back(fleet: &Shared, down_since: &mut HashMap<usize, Instant>) {
    let mut fleet = lock(fleet);
    fleet.settle();
    for at in 0..fleet.machines.len() {
        if fleet.machines[at].life.is_some() {
            down_since.remove(&at);
            continue;
        }
        let since = *down_since.entry(at).or_insert_with(Instant::now);
        if since.elapsed() >= MAINTENANCE {
            let machine = &mut fleet.machines[at];
            machine.lives += 1;
            machine.life = Some(Life::new(format!("i-{at:02}-{}", machine.lives)));
            let line = format!("{}: up again", machine.name);
            fleet.lines.push(line);
        }
    }
}

/// Starts the machines and their service; returns its address.
fn start_fleet(fleet: &Shared) -> std::io::Result<SocketAddr> {
    for at in 0..MACHINES {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let machine = Machine {
            name: format!("m-{at}"),
            address: listener.local_addr()?,
            lives: 1,
            life: Some(Life::new(format!("i-{at:02}-1"))),
            token: 0,
            waves: Vec::new(),
        };
        lock(fleet).machines.push(machine);
        let fleet = fleet.clone();
        serve(listener, move |request| answer_worker(&fleet, at, &request));
    }
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    let fleet = fleet.clone();
    serve(listener, move |request| {
        Some(match request.path.as_str() {
            "/machine-upkeep" => lock(&fleet).take_down(request.token, &request.body),
            path if path.starts_with("/machines") => lock(&fleet).list_machines(),
            _ => (404, "{}".to_string()),
        })
    });
    Ok(address)
}

/// Without the disruption the wave names a machine on which nothing runs.
pub fn play(record: Record, root: &Path, trouble: bool) -> Verdict {
    assert!(UNITS as u64 <= WORKER_ACCELERATORS);
    let fleet = Shared::default();
    let machines = start_fleet(&fleet).map_err(|e| e.to_string())?;
    let site = Site::start(record, root, 0, 3, Some(machines))?;
    beat(fleet.clone(), site.store_control());
    sleep(Duration::from_millis(3_000));
    site.record.add(&format!(
        "{MACHINES} machines with workers of this case are up"
    ));

    let job = "4c617374696e6700";
    let body = format!(
        "{{\"spec\":\"serve\",\"long_running\":true,\"steps\":[{{\"count\":{UNITS},\"cpu\":1000,\"mem_mb\":1000,\"gpu\":1,\
         \"estimate_ms\":60000,\"may_miss\":{MAY_MISS}}}]}}"
    );
    if site
        .ask_recorded(0, "POST", &format!("/usual/{job}"), KEY, &body)
        .0
        != 200
    {
        return Err("the job was not accepted".to_string());
    }
    let mut down_since = HashMap::new();
    let mut wait = |time: Duration| {
        let began = Instant::now();
        while began.elapsed() < time {
            bring_back(&fleet, &mut down_since);
            for line in std::mem::take(&mut lock(&fleet).lines) {
                site.record.add(&line);
            }
            sleep(Duration::from_millis(10));
        }
    };
    wait(Duration::from_millis(6_000));
    let at_work = lock(&fleet).at_work();
    site.record
        .add(&format!("work units at work, by machine: {at_work:?}"));
    if at_work.iter().sum::<usize>() != UNITS {
        return Err("not all work units are at work".to_string());
    }
    let most = *at_work.iter().max().unwrap_or(&0);
    if most <= MAY_MISS {
        return Err("no machine has several work units".to_string());
    }
    let units = if trouble { most } else { 0 };
    let Some(chosen) = at_work.iter().position(|count| *count == units) else {
        return Err("no machine to take down".to_string());
    };
    let wave = format!("{{\"wave\":1,\"machines\":[\"m-{chosen}\"],\"within_s\":20,\"cap\":1}}");
    site.write("op/wave/1", &wave);
    site.record.add(&format!("operator: op/wave/1 = {wave}"));
    wait(Duration::from_millis(20_000));
    let (broken, at_work, has_begun) = {
        let fleet = lock(&fleet);
        (
            fleet.broken.clone(),
            fleet.at_work(),
            fleet.machines[chosen].waves.contains(&1),
        )
    };
    site.record.add(&format!(
        "work units at work, by machine: {at_work:?}; the upkeep has begun: {has_begun}"
    ));
    site.record_decisions(job);
    if !has_begun && broken.is_empty() {
        return Err("the upkeep has not begun".to_string());
    }
    Ok(match broken.is_empty() {
        true => (
            true,
            format!("never over {MAY_MISS} work units were away by orders"),
        ),
        false => (
            false,
            format!(
                "{} work units were ended while {MAY_MISS} or more others were away; the first: {}",
                broken.len(),
                broken[0]
            ),
        ),
    })
}
