//! Plays random disturbances on a simulated site: restarts, cuts, leaves, odd entries, late and lost calls and answers,
//! and changes of the planner.

use std::collections::{HashMap, HashSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use scheduler::prelude::*;
use scheduler::{RunOutcome, StartOutcome, StopOutcome};

use super::live_site::{LiveSite, TICK_MS};
use super::live_worker::LiveWorker;
use super::{entry, job, step};

/// A worker that writes no entry for this long is not listed.
const ENTRY_LASTS_MS: u64 = 4_500;

/// Time between two reads of the list of workers.
const LIST_EVERY_MS: u64 = 800;

/// Accelerators of a task; two fit on a worker.
pub const TASK_ACCELERATORS: i64 = 3;

/// Time between two disturbances, on average.
const DISTURBANCE_EVERY_MS: u64 = 900;

/// What reaches its receiver later.
pub enum Late {
    /// An answer to a renewal, with the address that it was sent to; none if it is given up.
    Report(WorkerKey, String, Option<RenewalReport>),
    StartOutcome(Order, StartOutcome),
    StopOutcome(Order, StopOutcome),
    /// An order that a worker has received and carries out late; with its incarnation and the sender's term.
    Order(usize, u64, Order, u64, u64),
}

/// A run that ended as done.
pub struct DoneRun {
    pub task: TaskName,
    pub worker: usize,
    pub born_unix_ms: u64,
    pub number: u64,
    pub at_ms: u64,
    /// Whether the task was started after it.
    pub started_after: bool,
}

/// A site with what the disturbances need.
pub struct Play {
    pub site: LiveSite,
    pub violations: Vec<String>,
    pub rng: Pcg64Mcg,
    pub term: u64,
    /// The highest term that each worker has heard of.
    pub terms: Vec<u64>,
    /// When each worker's lease was last seen as ended.
    pub lapsed_ms: Vec<u64>,
    /// Until when a worker is down or cut off, and since when.
    pub away: HashMap<usize, (u64, u64)>,
    /// When a worker that has restarted is cut off.
    pub cuts_ms: HashMap<usize, u64>,
    /// When a leaving worker exits.
    pub leaves_ms: HashMap<usize, u64>,
    pub entries: Vec<WorkerEntry>,
    /// Entries of other writers, and until when they last.
    pub odd: Vec<(u64, WorkerEntry)>,
    pub late: Vec<(u64, Late)>,
    /// Renewals without an answer yet.
    pub waiting: HashSet<WorkerKey>,
    /// Workers that the planner asks on a new connection, because the last renewal got no answer.
    pub reconnects: HashSet<WorkerKey>,
    pub began_ms: HashMap<(usize, TaskName, u32), u64>,
    pub done: Vec<DoneRun>,
    pub listed_ms: u64,
    /// When the next planner begins, if there is none.
    pub planner_back_ms: Option<u64>,
}

impl Play {
    pub fn new(seed: u64, workers: u32) -> Play {
        let site = LiveSite::new(workers);
        let count = workers as usize;
        Play {
            site,
            violations: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            term: 1,
            terms: vec![1; count],
            lapsed_ms: vec![0; count],
            away: HashMap::new(),
            cuts_ms: HashMap::new(),
            leaves_ms: HashMap::new(),
            entries: (0..workers).map(entry).collect(),
            odd: Vec::new(),
            late: Vec::new(),
            waiting: HashSet::new(),
            reconnects: HashSet::new(),
            began_ms: HashMap::new(),
            done: Vec::new(),
            listed_ms: 0,
            planner_back_ms: None,
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.site.harness.now_ms
    }

    /// Plays with disturbances and new jobs for `ms`.
    pub fn disturb(&mut self, ms: u64) {
        let mut jobs = self.site.stored.len() as u64;
        for _ in 0..ms / TICK_MS {
            if self.rng.random_range(0..3_000) < TICK_MS && self.planner_back_ms.is_none() {
                jobs += 1;
                let count = self.rng.random_range(1..4);
                let mut stored = job(jobs, 1, vec![step(count, TASK_ACCELERATORS)]);
                stored.attempts = 1_000;
                self.site.add(stored);
            }
            if self.rng.random_range(0..DISTURBANCE_EVERY_MS) < TICK_MS {
                self.disturb_once();
            }
            self.tick();
        }
    }

    /// Ends all disturbances, and plays on for `ms`.
    pub fn calm_down(&mut self, ms: u64) {
        self.odd.clear();
        for _ in 0..ms / TICK_MS {
            self.tick();
        }
    }

    fn disturb_once(&mut self) {
        let now_ms = self.now_ms();
        let index = self.rng.random_range(0..self.site.workers.len());
        let is_calm = !self.away.contains_key(&index) && self.site.workers[index].up;
        match self.rng.random_range(0..8) {
            0 | 1 if is_calm => {
                let away_ms = [100, 400, 1_000, 4_000][self.rng.random_range(0..4)];
                self.site.workers[index].up = false;
                self.site.workers[index].running.clear();
                self.away.insert(index, (now_ms + away_ms, now_ms));
                self.hold_renewals(index);
                if self.rng.random_range(0..3) == 0 {
                    let soon_ms = self.rng.random_range(1..8) * TICK_MS;
                    self.cuts_ms.insert(index, now_ms + away_ms + soon_ms);
                }
            }
            2 if is_calm => {
                let cut_ms = [300, 3_000, 6_000, 15_000][self.rng.random_range(0..4)];
                self.cut(index, cut_ms);
            }
            3 if is_calm && self.leaves_ms.len() < 3 => {
                let stays_ms = [3_000, 6_000, 12_000][self.rng.random_range(0..3)];
                self.leaves_ms.entry(index).or_insert(now_ms + stays_ms);
            }
            4 => {
                let gap_ms = [0, 500, 3_000][self.rng.random_range(0..3)];
                self.planner_back_ms.get_or_insert(now_ms + gap_ms);
            }
            _ => {
                let odd = self.make_odd_entry(index);
                let lasts_ms = [900, 1_600, 5_000, 20_000][self.rng.random_range(0..4)];
                self.odd.push((now_ms + lasts_ms, odd));
            }
        }
    }

    /// Cuts a worker off, which runs on.
    fn cut(&mut self, index: usize, cut_ms: u64) {
        let now_ms = self.now_ms();
        self.site.workers[index].reachable = false;
        self.away.insert(index, (now_ms + cut_ms, now_ms));
        self.hold_renewals(index);
    }

    /// Leaves the renewal that waits at a worker without an answer; the planner gives it up later.
    fn hold_renewals(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let address = self.site.workers[index].address.clone();
        for key in self.site.keys_of(index) {
            if self.waiting.insert(key) {
                let until_ms = now_ms + self.rng.random_range(2..27) * TICK_MS;
                let late = Late::Report(key, address.clone(), None);
                self.late.push((until_ms, late));
            }
        }
    }

    fn make_odd_entry(&mut self, index: usize) -> WorkerEntry {
        let mut odd = self.entries[index].clone();
        let other = self.rng.random_range(0..self.entries.len());
        match self.rng.random_range(0..6) {
            0 => odd.born_unix_ms = 0,
            1 => odd.born_unix_ms += 1,
            2 => odd.born_unix_ms = u64::MAX,
            3 => odd.address = self.entries[other].address.clone(),
            4 => odd.address = "10.9.9.9:80".to_string(),
            _ => {
                odd.id = format!("i-odd-{}", self.now_ms());
                odd.born_unix_ms += self.rng.random_range(0..3);
            }
        }
        odd
    }

    fn tick(&mut self) {
        self.site.harness.now_ms += TICK_MS;
        let now_ms = self.now_ms();
        for index in 0..self.site.workers.len() {
            self.let_worker_live(index);
        }
        self.deliver_late();
        self.check();
        match self.planner_back_ms {
            Some(back_ms) if back_ms > now_ms => return,
            Some(_) => self.take_over(),
            None => {}
        }
        if now_ms >= self.listed_ms + LIST_EVERY_MS {
            self.listed_ms = now_ms;
            self.site.entries = self.list();
            self.site.list();
        }
        let added = self.site.harness.planner.take_unpolled();
        self.site.harness.workers.extend(added);
        for key in self.site.harness.workers.clone() {
            if !self.waiting.contains(&key) {
                self.renew(key);
            }
        }
        for order in self.site.plan() {
            self.send(order);
        }
        self.check();
    }

    /// Lets the time pass at a worker: its disturbance ends, it exits, its lease ends, its runs are done.
    fn let_worker_live(&mut self, index: usize) {
        let now_ms = self.now_ms();
        if self
            .away
            .get(&index)
            .is_some_and(|(until_ms, _)| now_ms >= *until_ms)
        {
            self.away.remove(&index);
            let worker = &mut self.site.workers[index];
            if !worker.up {
                worker.restart(now_ms);
                worker.up = true;
                self.terms[index] = 0;
            }
            worker.reachable = true;
        }
        if self.cuts_ms.get(&index).is_some_and(|at| now_ms >= *at) {
            self.cuts_ms.remove(&index);
            if self.site.workers[index].up {
                self.cut(index, 16_000);
            }
        }
        if self.leaves_ms.get(&index).is_some_and(|at| now_ms >= *at)
            && !self.away.contains_key(&index)
        {
            self.replace(index);
        }
        let worker = &mut self.site.workers[index];
        if !worker.up {
            return;
        }
        if worker.clock_ms(now_ms) > worker.lease_end_clock_ms {
            self.lapsed_ms[index] = now_ms;
        }
        worker.expire_lease(now_ms);
        let due: Vec<_> = worker
            .running
            .extract_if(.., |active| {
                let began = self.began_ms.get(&(index, active.task, active.run));
                began.is_none_or(|began_ms| now_ms >= began_ms + work_ms(active.task))
            })
            .collect();
        for active in due {
            let task = active.task;
            worker.end(active, RunOutcome::Done);
            self.done.push(DoneRun {
                task,
                worker: index,
                born_unix_ms: worker.born_unix_ms,
                number: worker.last_end,
                at_ms: now_ms,
                started_after: false,
            });
        }
    }

    /// Lets a worker exit for good; another one takes its address.
    fn replace(&mut self, index: usize) {
        let now_ms = self.now_ms();
        self.leaves_ms.remove(&index);
        self.site.workers[index].up = false;
        self.site.workers[index].running.clear();
        let address = self.site.workers[index].address.clone();
        self.site.workers[index].address = format!("gone-{address}");
        let number = self.site.workers.len() as u32;
        let next = self.site.add_worker_at(number, &address);
        self.site.workers[next].born_unix_ms = 1_000_000 + now_ms;
        let entry = WorkerEntry {
            id: self.site.workers[next].id.clone(),
            born_unix_ms: 1_000_000 + now_ms,
            ..self.entries[index].clone()
        };
        self.entries.push(entry);
        self.terms.push(0);
        self.lapsed_ms.push(0);
    }

    /// Returns what the list of workers says.
    fn list(&mut self) -> Vec<WorkerEntry> {
        let now_ms = self.now_ms();
        self.odd.retain(|(until_ms, _)| *until_ms > now_ms);
        let mut listed: HashMap<String, WorkerEntry> = HashMap::new();
        for (index, worker) in self.site.workers.iter().enumerate() {
            let silent_ms = self.away.get(&index).map_or(0, |(_, since)| now_ms - since);
            if worker.address.starts_with("gone") || silent_ms > ENTRY_LASTS_MS {
                continue;
            }
            let leaves_ms = self.leaves_ms.get(&index);
            let entry = WorkerEntry {
                born_unix_ms: worker.born_unix_ms,
                leaving: leaves_ms.is_some(),
                remaining_ms: leaves_ms.map(|at| at.saturating_sub(now_ms)),
                ..self.entries[index].clone()
            };
            listed.insert(entry.id.clone(), entry);
        }
        for (_, odd) in &self.odd {
            listed.insert(odd.id.clone(), odd.clone());
        }
        let mut entries: Vec<WorkerEntry> = listed.into_values().collect();
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        entries
    }

    fn take_over(&mut self) {
        self.planner_back_ms = None;
        self.term += 1;
        self.waiting.clear();
        self.reconnects.clear();
        self.late
            .retain(|(_, late)| matches!(late, Late::Order(..)));
        self.site.entries = self.list();
        self.site.take_over();
    }

    fn check(&mut self) {
        let mut seen: HashMap<TaskName, &LiveWorker> = HashMap::new();
        for worker in self.site.workers.iter().filter(|worker| worker.up) {
            for active in &worker.running {
                if let Some(other) = seen.insert(active.task, worker) {
                    self.violations.push(format!(
                        "{} runs twice, on {} and {}",
                        active.task, other.id, worker.id
                    ));
                }
            }
        }
    }
}

/// Returns how long a task works.
fn work_ms(task: TaskName) -> u64 {
    let job = u64::from_str_radix(&task.job.to_string(), 16).unwrap_or(0);
    [2_000, 6_000, 25_000][job as usize % 3]
}
