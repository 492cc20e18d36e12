//! What callers sent and were answered, and what workers ran; the rules are checked against it.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// What a worker saw.
#[derive(Clone, Debug)]
pub enum Event {
    Start {
        worker: String,
        task: String,
        run: u64,
    },
    End {
        worker: String,
        born: u64,
        number: u64,
        task: String,
        run: u64,
        how: String,
    },
    /// Ends up to this number were taken note of.
    Noted {
        worker: String,
        born: u64,
        upto: u64,
    },
}

/// The record of a run of a script.
pub struct Record {
    began: Instant,
    events: Mutex<Vec<(u64, Event)>>,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &std::path::Path) -> Record {
        Record {
            began: Instant::now(),
            events: Mutex::default(),
            file: Mutex::new(File::create(path).expect("record.txt")),
        }
    }

    /// Milliseconds since the script began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn add(&self, event: Event) {
        let at_ms = self.now_ms();
        let line = match &event {
            Event::Start {
                worker, task, run, ..
            } => format!("{worker} starts {task} run {run}"),
            Event::End {
                worker,
                number,
                task,
                run,
                how,
                ..
            } => format!("{worker} ends {task} run {run}: {how}, end {number}"),
            Event::Noted { worker, upto, .. } => {
                format!("{worker}: ends up to {upto} are taken note of")
            }
        };
        self.write(at_ms, &line);
        self.events.lock().expect("events").push((at_ms, event));
    }

    /// Notes something that is not checked.
    pub fn note(&self, who: &str, what: &str) {
        self.write(self.now_ms(), &format!("{who} {what}"));
    }

    fn write(&self, at_ms: u64, line: &str) {
        let mut file = self.file.lock().expect("record.txt");
        let _ = writeln!(file, "{:8.3} {line}", at_ms as f64 / 1_000.0);
    }

    pub fn events(&self) -> Vec<(u64, Event)> {
        self.events.lock().expect("events").clone()
    }

    /// Returns how often work units of a job have started.
    pub fn starts_of(&self, job: &str) -> usize {
        let events = self.events();
        let starts = events.iter().filter(
            |(_, event)| matches!(event, Event::Start { task, .. } if task.starts_with(job)),
        );
        starts.count()
    }

    /// The rule TWICE, as far as no step is speculative and no lease lapsed: two runs of a work unit at the same time, or
    /// a start after a run has ended `done`, if that end is taken note of then or later.
    pub fn check_twice(&self) -> Vec<String> {
        let events = self.events();
        let mut noted: HashMap<(String, u64), u64> = HashMap::new();
        for (_, event) in &events {
            if let Event::Noted { worker, born, upto } = event {
                let highest = noted.entry((worker.clone(), *born)).or_default();
                *highest = (*highest).max(*upto);
            }
        }
        let mut done: HashMap<&str, (u64, u64)> = HashMap::new();
        let mut running: HashMap<&str, Vec<(&str, u64)>> = HashMap::new();
        let mut broken = Vec::new();
        for (at_ms, event) in &events {
            match event {
                Event::Start {
                    worker, task, run, ..
                } => {
                    let at = running.entry(task).or_default();
                    if let Some((other, other_run)) = at.first() {
                        broken.push(format!(
                            "{task} run {run} starts on {worker} beside run {other_run} on {other}"
                        ));
                    }
                    at.push((worker, *run));
                    if let Some((done_run, done_ms)) = done.get(task.as_str()) {
                        broken.push(format!(
                            "{task} run {run} starts on {worker} at {at_ms} ms; run {done_run} had ended done at {done_ms} ms, and that end was taken note of"
                        ));
                    }
                }
                Event::End {
                    worker,
                    born,
                    number,
                    task,
                    run,
                    how,
                } => {
                    if let Some(at) = running.get_mut(task.as_str()) {
                        at.retain(|(who, which)| *who != worker || which != run);
                    }
                    let upto = noted.get(&(worker.clone(), *born)).copied().unwrap_or(0);
                    if how == "done" && *number <= upto {
                        done.entry(task).or_insert((*run, *at_ms));
                    }
                }
                Event::Noted { .. } => {}
            }
        }
        broken
    }
}
