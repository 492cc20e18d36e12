//! Work that fills is slowed beside work that serves; one of the orders for that gets no answer and is carried out late.
//! The worker is a stand-in of this file.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::site::{KEY, Record, Site, write_item};
use crate::upkeep::{Request, field, number, serve};

/// Figures of the users' pages for a small deployment.
const HARM: Duration = Duration::from_millis(4_000);
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How much later the order is carried out; the pages' `applied_late` is 2 to 12 s.
const LATE: Duration = Duration::from_millis(8_000);

/// How long after that the judging begins, so that no disturbance is near: three times `contact_ms`.
const CALM: Duration = Duration::from_millis(12_000);

/// How long the worker is judged.
const JUDGED: Duration = Duration::from_millis(20_000);

/// The target of the work that serves, its tail alone before and after its load grows, and what work that fills adds at full
/// speed, in milliseconds.
const TARGET_MS: u64 = 100;
const TAIL_ALONE_MS: u64 = 50;
const TAIL_ALONE_LATER_MS: u64 = 90;
const TAIL_ADDED_MS: u64 = 300;

/// How long after the first order to speed up the load grows.
const LOAD_GROWS: Duration = Duration::from_millis(2_000);

#[derive(Debug)]
struct Run {
    run: u64,
    began: Instant,
    serves: bool,
    pace: u64,
}

#[derive(Default)]
struct Worker {
    born: u64,
    began: Option<Instant>,
    token: u64,
    running: BTreeMap<String, Run>,
    lines: Vec<String>,
    /// Whether the next order to speed up is left unanswered and carried out late.
    is_late: bool,
    /// When the first order to speed up came.
    sped_up: Option<Instant>,
    /// When that was done.
    late_done: Option<Instant>,
    /// Since when the work that serves has been over its target, and for how long it was at most while judged.
    over_since: Option<Instant>,
}

type Shared = Arc<Mutex<Worker>>;

const ID: &str = "i-00";

fn lock(worker: &Shared) -> MutexGuard<'_, Worker> {
    worker.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        1_000
            + self
                .began
                .map_or(0, |began| began.elapsed().as_millis() as u64)
    }

    fn done(&self) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    /// Returns the tail of the work that serves.
    fn tail_ms(&self) -> u64 {
        let paces: u64 = self
            .running
            .values()
            .filter(|run| !run.serves)
            .map(|run| run.pace)
            .sum();
        let alone_ms = match self.sped_up.is_some_and(|at| at.elapsed() >= LOAD_GROWS) {
            true => TAIL_ALONE_LATER_MS,
            false => TAIL_ALONE_MS,
        };
        alone_ms + TAIL_ADDED_MS * paces / 100
    }

    fn set_pace(&mut self, task: &str, run: u64, percent: u64, how: &str) {
        if let Some(active) = self
            .running
            .get_mut(task)
            .filter(|active| active.run == run)
        {
            active.pace = percent;
        }
        let line = format!(
            "worker: pace of {task} is {percent}, {how}; tail {} ms",
            self.tail_ms()
        );
        self.lines.push(line);
    }

    fn lists(&self) -> (u16, String) {
        let tail_ms = self.tail_ms();
        let row = |(task, run): (&String, &Run)| {
            let percent = if run.serves {
                100
            } else {
                (run.began.elapsed().as_millis() / 1_000).min(90) as u64
            };
            let figure = if run.serves { tail_ms } else { 1_000 };
            format!("[\"{task}\",{},\"\",{percent},{figure}]", run.run)
        };
        let rows: Vec<String> = self.running.iter().map(row).collect();
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[]}}",
            self.clock_ms(),
            self.born,
            rows.join(",")
        );
        (200, body)
    }
}

fn answer(worker: &Shared, request: &Request) -> Option<(u16, String)> {
    let body = &request.body;
    let mut state = lock(worker);
    if !request.expected.is_empty() && request.expected != ID {
        return Some((
            421,
            format!(
                "{{\"clock_ms\":{},\"born\":{}}}",
                state.clock_ms(),
                state.born
            ),
        ));
    }
    let token = number(body, "fencing_token");
    if token < state.token {
        return Some((
            409,
            format!("{{\"clock_ms\":{},\"reason\":\"fence\"}}", state.clock_ms()),
        ));
    }
    state.token = token;
    let task = field(body, "task").unwrap_or_default().to_string();
    let run = number(body, "run");
    match request.path.as_str() {
        "/run-start" => {
            let serves = field(body, "spec") == Some("serve");
            if !state
                .running
                .get(&task)
                .is_some_and(|active| active.run == run)
            {
                state.running.insert(
                    task.clone(),
                    Run {
                        run,
                        began: Instant::now(),
                        serves,
                        pace: 100,
                    },
                );
                let line = format!(
                    "worker: run {run} of {task} starts, serves: {serves}; tail {} ms",
                    state.tail_ms()
                );
                state.lines.push(line);
            }
            Some(state.done())
        }
        "/pace" => {
            let percent = number(body, "percent");
            let speeds_up = state
                .running
                .get(&task)
                .is_some_and(|active| percent > active.pace);
            if speeds_up {
                state.sped_up.get_or_insert_with(Instant::now);
            }
            if speeds_up && std::mem::take(&mut state.is_late) {
                state.lines.push(format!(
                    "worker: pace {percent} of {task} is left unanswered"
                ));
                drop(state);
                let worker = worker.clone();
                spawn(move || {
                    sleep(LATE);
                    let mut state = lock(&worker);
                    state.set_pace(&task, run, percent, "carried out late");
                    state.late_done = Some(Instant::now());
                });
                // The caller gives up before.
                sleep(LATE);
                return None;
            }
            state.set_pace(&task, run, percent, "answered");
            Some(state.done())
        }
        "/run-stop" => {
            state
                .lines
                .push(format!("worker: run {run} of {task} is to stop"));
            state
                .running
                .retain(|name, active| *name != task || active.run != run);
            Some(state.done())
        }
        "/hold" => {
            drop(state);
            let wait_ms = number(body, "wait_ms").min(2_000);
            sleep(Duration::from_millis(wait_ms));
            Some(lock(worker).lists())
        }
        _ => Some((400, "{}".to_string())),
    }
}

/// Without the disruption the order is answered.
pub fn play(record: Record, root: &Path, trouble: bool) -> Verdict {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let worker: Shared = Arc::new(Mutex::new(Worker {
        born: unix.as_millis() as u64,
        began: Some(Instant::now()),
        is_late: trouble,
        ..Worker::default()
    }));
    let listener = TcpListener::bind(("127.0.0.1", 0)).map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let served = worker.clone();
    serve(listener, move |request| answer(&served, &request));
    let site = Site::start(record, root, 0, 3, None)?;
    let (control, born, began) = (site.store_control(), lock(&worker).born, Instant::now());
    spawn(move || {
        for seq in 1.. {
            let entry = format!(
                "{{\"service\":\"engine\",\"address\":\"{address}\",\"zone\":\"gyor\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
                 \"cold_left_ms\":0,\"capacity\":{{\"cpu\":64000,\"mem_mb\":131072,\"gpu\":8}},\"labels\":[\"a\",\"r1-0\"],\"born\":{born},\
                 \"clock_ms\":{},\"seq\":{seq}}}",
                began.elapsed().as_millis()
            );
            write_item(control, &format!("servers/{ID}"), &entry, Some(4_500));
            sleep(HEARTBEAT);
        }
    });
    sleep(Duration::from_millis(3_000));
    let serving = format!(
        "{{\"spec\":\"serve\",\"long_running\":true,\"steps\":[{{\"count\":1,\"cpu\":20000,\"mem_mb\":1000,\"image\":\"desk\",\"target_ms\":{TARGET_MS}}}]}}"
    );
    let filling = "{\"spec\":\"fill\",\"steps\":[{\"count\":1,\"cpu\":8000,\"mem_mb\":1000,\"estimate_ms\":60000,\"image\":\"sweep\",\"fills\":true}]}";
    let jobs = [
        ("/usual/5365727665000001", serving.as_str()),
        ("/later/46696c6c00000002", filling),
    ];
    let watch = |time: Duration, judged: bool| {
        let (began, mut longest) = (Instant::now(), Duration::ZERO);
        while began.elapsed() < time {
            let mut state = lock(&worker);
            for line in std::mem::take(&mut state.lines) {
                site.record.add(&line);
            }
            let now = Instant::now();
            let works_on = state
                .running
                .values()
                .any(|run| !run.serves && run.pace > 0);
            match state.tail_ms() > TARGET_MS && works_on {
                true => {
                    let since = *state.over_since.get_or_insert(now);
                    if judged {
                        longest = longest.max(now - since.max(began));
                    }
                }
                false => state.over_since = None,
            }
            drop(state);
            sleep(Duration::from_millis(10));
        }
        longest
    };
    for (path, body) in jobs {
        if site.ask_recorded(0, "POST", path, KEY, body).0 != 200 {
            return Err("a job was not accepted".to_string());
        }
        watch(Duration::from_millis(3_000), false);
    }
    if lock(&worker).running.len() != 2 {
        return Err("not both jobs run".to_string());
    }
    watch(LATE + CALM + Duration::from_millis(4_000), false);
    let tail_ms = lock(&worker).tail_ms();
    site.record.add(&format!(
        "judging begins; tail {tail_ms} ms, target {TARGET_MS} ms, alone {TAIL_ALONE_LATER_MS} ms"
    ));
    let longest = watch(JUDGED, true);
    let state = lock(&worker);
    if trouble && state.late_done.is_none() {
        return Err("no order was carried out late".to_string());
    }
    let paces: Vec<u64> = state
        .running
        .values()
        .filter(|run| !run.serves)
        .map(|run| run.pace)
        .collect();
    site.record.add(&format!(
        "in the end: tail {} ms, paces {paces:?}",
        state.tail_ms()
    ));
    drop(state);
    site.record_decisions("46696c6c00000002");
    Ok((
        longest <= HARM,
        format!(
            "over its target beside work that fills for {} ms on end while judged, {} ms are allowed",
            longest.as_millis(),
            HARM.as_millis()
        ),
    ))
}
