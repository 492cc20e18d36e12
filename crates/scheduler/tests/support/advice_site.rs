//! A simulated site whose jobs need advice: a service that takes the queries of each VM in turn, and workers that refuse
//! starts without a valid ticket.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use scheduler::prelude::*;
use scheduler::{Advice, AdviceAnswer, EndedRun, JobId, QueryKey, Queue, RunOutcome, StartOutcome};

use super::{Harness, entry, job, queue, running, worker_of};

/// Time between two looks.
pub const TICK_MS: u64 = 10;

/// The longest time between two planning passes.
const PASS_MS: u64 = 50;

/// How often a worker answers if nothing ends there.
const REPORT_MS: u64 = 500;

/// A query as the service got it.
#[derive(Debug, Clone)]
pub struct Asked {
    pub at_ms: u64,
    pub vm: String,
    pub step: String,
    pub workers: Vec<String>,
}

/// A query that waits at the service or is being decided.
#[derive(Debug)]
struct Waiting {
    key: QueryKey,
    step: String,
    workers: Vec<String>,
    gives_up_ms: u64,
}

/// The queries of one VM at the service.
#[derive(Debug, Default)]
struct Turn {
    waiting: VecDeque<Waiting>,
    /// When the first of them is decided.
    decided_ms: Option<u64>,
}

/// How the service behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    Usual,
    /// It takes this many times as long as its figures say.
    Slow(u64),
    /// It refuses all queries at once.
    Busy,
    /// It answers nothing.
    Silent,
}

#[derive(Debug)]
struct Run {
    active: scheduler::ActiveRun,
    ends_ms: u64,
}

#[derive(Debug, Default)]
struct SiteWorker {
    runs: Vec<Run>,
    ended: Vec<EndedRun>,
    reported_ms: u64,
}

pub struct AdviceSite {
    pub harness: Harness,
    pub figures: Advice,
    pub behaviour: Behaviour,
    /// Whether the queries of all VMs have one turn.
    pub has_one_turn: bool,
    /// VMs whose queries get no answer.
    pub silent: HashSet<String>,
    /// Ids of the workers that the service forbids.
    pub forbidden: HashSet<String>,
    pub run_ms: u64,
    /// Queries that the service got.
    pub asked: Vec<Asked>,
    /// When the first task of each job started.
    pub first_start_ms: BTreeMap<JobId, u64>,
    /// Tasks that have started, and when.
    pub starts: Vec<(TaskName, u64)>,
    /// Tasks that have ended, and when.
    pub ends: Vec<(TaskName, u64)>,
    /// Starts that workers refused for want of a ticket.
    pub refused: usize,
    /// Jobs whose records say that they are completed.
    done: HashSet<JobId>,
    turns: HashMap<String, Turn>,
    workers: Vec<SiteWorker>,
    planned_ms: u64,
    jobs: u64,
}

impl AdviceSite {
    /// Returns a site with this many workers of 8 accelerators, and VMs that can send queries.
    pub fn new(workers: u32, vms: usize, figures: Advice) -> AdviceSite {
        let mut harness = Harness::with_workers(workers);
        let names: Vec<String> = (0..vms).map(|number| format!("vm-{number}")).collect();
        harness.planner.set_advice_vms(&names);
        harness.planner.set_configuration(&Configuration {
            version: 1,
            queues: vec![Queue {
                advice: Some(figures),
                ..queue(1)
            }],
            services: Vec::new(),
            organisations: Vec::new(),
            limits: scheduler::BodyLimits { body_bytes: 1 },
        });
        AdviceSite {
            harness,
            figures,
            behaviour: Behaviour::Usual,
            has_one_turn: false,
            silent: HashSet::new(),
            forbidden: HashSet::new(),
            run_ms: 60_000,
            asked: Vec::new(),
            first_start_ms: BTreeMap::new(),
            starts: Vec::new(),
            ends: Vec::new(),
            refused: 0,
            done: HashSet::new(),
            turns: HashMap::new(),
            workers: (0..workers).map(|_| SiteWorker::default()).collect(),
            planned_ms: 0,
            jobs: 0,
        }
    }

    /// Forbids all workers but those with these numbers.
    pub fn allow_only(&mut self, numbers: &[u32]) {
        let all = 0..self.workers.len() as u32;
        let others = all.filter(|number| !numbers.contains(number));
        self.forbidden = others.map(|number| entry(number).id).collect();
    }

    /// Accepts a job; returns its id.
    pub fn submit(&mut self, priority: u32, steps: Vec<StepSpec>) -> JobId {
        self.submit_to("queue", self.figures, priority, steps)
    }

    /// Accepts a job of a queue with these figures; returns its id.
    pub fn submit_to(
        &mut self,
        queue: &str,
        figures: Advice,
        priority: u32,
        steps: Vec<StepSpec>,
    ) -> JobId {
        self.jobs += 1;
        let stored = StoredJob {
            advice: Some(figures),
            queue: queue.to_string(),
            ..job(self.jobs, priority, steps)
        };
        let id = stored.id;
        let now_ms = self.harness.now_ms;
        self.harness.planner.add_job(stored, self.jobs, now_ms);
        id
    }

    /// Lets time pass.
    pub fn play(&mut self, for_ms: u64) {
        let until_ms = self.harness.now_ms + for_ms;
        while self.harness.now_ms < until_ms {
            self.tick();
        }
    }

    /// Lets time pass until a job has started; returns how long that took, or none if it takes longer than `limit_ms`.
    pub fn wait_for_start(&mut self, id: JobId, limit_ms: u64) -> Option<u64> {
        let from_ms = self.harness.now_ms;
        while self.harness.now_ms < from_ms + limit_ms {
            if let Some(at_ms) = self.first_start_ms.get(&id) {
                return Some(at_ms.saturating_sub(from_ms));
            }
            self.tick();
        }
        None
    }

    /// Returns the longest time from the end of a step of a job to the first start of the next.
    pub fn longest_gap_ms(&self, id: JobId) -> u64 {
        let steps = self.starts.iter().filter(|(task, _)| task.job == id);
        let last_step = steps.map(|(task, _)| task.step).max().unwrap_or(0);
        (1..=last_step)
            .map(|step| {
                let of = |list: &[(TaskName, u64)], step: u32| -> Vec<u64> {
                    let here = |entry: &&(TaskName, u64)| entry.0.job == id && entry.0.step == step;
                    list.iter().filter(here).map(|entry| entry.1).collect()
                };
                let over_ms = of(&self.ends, step - 1).into_iter().max().unwrap();
                let began_ms = of(&self.starts, step).into_iter().min().unwrap();
                began_ms - over_ms
            })
            .max()
            .unwrap_or(0)
    }

    /// Returns whether the planner has ended a job, or forgotten it as done.
    pub fn is_done(&self, id: JobId) -> bool {
        self.done.contains(&id)
    }

    /// Returns the queries about steps of a job.
    pub fn asked_about(&self, id: JobId) -> Vec<&Asked> {
        let prefix = format!("{id}.");
        let asked = self.asked.iter();
        asked.filter(|a| a.step.starts_with(&prefix)).collect()
    }

    fn tick(&mut self) {
        self.harness.now_ms += TICK_MS;
        let now_ms = self.harness.now_ms;
        self.end_runs();
        self.answer_queries();
        let planner = &self.harness.planner;
        if planner.has_changed() || now_ms >= self.planned_ms + PASS_MS {
            self.planned_ms = now_ms;
            let (mut orders, flush) = self.harness.plan_without_store();
            let completed = flush
                .writes
                .iter()
                .filter(|w| w.record.state == JobState::Completed);
            self.done.extend(completed.map(|write| write.job));
            self.harness.planner.complete_flush(flush, now_ms);
            orders.extend(self.harness.take_orders());
            for order in orders {
                self.carry_out(order);
            }
        }
    }

    fn end_runs(&mut self) {
        let now_ms = self.harness.now_ms;
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            let over: Vec<Run> = worker
                .runs
                .extract_if(.., |run| run.ends_ms <= now_ms)
                .collect();
            for run in &over {
                worker.ended.push(EndedRun {
                    number: worker.ended.len() as u64 + 1,
                    task: Some(run.active.task),
                    run: run.active.run,
                    outcome: RunOutcome::Done,
                    progress: String::new(),
                });
                self.ends.push((run.active.task, now_ms));
            }
            if over.is_empty() && now_ms < worker.reported_ms + REPORT_MS {
                continue;
            }
            worker.reported_ms = now_ms;
            let run_ms = self.run_ms;
            let active = worker.runs.iter().map(|run| {
                let left_ms = run.ends_ms - now_ms;
                scheduler::ActiveRun {
                    percent: (100 - left_ms.min(run_ms) * 100 / run_ms) as u32,
                    ..run.active.clone()
                }
            });
            let active = active.collect();
            let ended = worker.ended.clone();
            let key = self.harness.workers[index];
            self.harness.planner.grant_lease(key, now_ms);
            self.harness.report(index, active, ended);
        }
    }

    fn answer_queries(&mut self) {
        let now_ms = self.harness.now_ms;
        let (behaviour, figures) = (self.behaviour, self.figures);
        let mut outcomes = Vec::new();
        for (vm, turn) in &mut self.turns {
            for waiting in &mut turn.waiting {
                if now_ms >= waiting.gives_up_ms {
                    outcomes.push((waiting.key, None));
                    waiting.gives_up_ms = u64::MAX;
                }
            }
            if self.silent.contains(vm) || behaviour == Behaviour::Silent {
                continue;
            }
            let factor = match behaviour {
                Behaviour::Slow(factor) => factor,
                _ => 1,
            };
            if let Some(first) = turn.waiting.front() {
                let takes_ms = figures.query_ms(first.workers.len()) * factor;
                let decided_ms = *turn.decided_ms.get_or_insert(now_ms + takes_ms);
                if now_ms >= decided_ms {
                    turn.decided_ms = None;
                    let answered = turn.waiting.pop_front().unwrap();
                    if answered.gives_up_ms < u64::MAX {
                        outcomes.push((answered.key, Some(answered)));
                    }
                }
            }
        }
        for (key, answered) in outcomes {
            let answer = answered.map(|query| self.decide(&query));
            self.harness.planner.apply_advice(key, answer, now_ms);
        }
    }

    fn decide(&self, query: &Waiting) -> AdviceAnswer {
        let now_ms = self.harness.now_ms;
        let until_ms = now_ms + self.figures.valid_ms;
        let allowed = query
            .workers
            .iter()
            .filter(|id| !self.forbidden.contains(*id));
        AdviceAnswer {
            allowed: allowed
                .map(|id| (id.clone(), format!("{} {id} {until_ms}", query.step)))
                .collect(),
            valid_ms: self.figures.valid_ms,
            received_ms: now_ms,
        }
    }

    fn carry_out(&mut self, order: Order) {
        let now_ms = self.harness.now_ms;
        match &order {
            Order::Ask {
                query,
                vm,
                step,
                workers,
                timeout_ms,
                ..
            } => {
                self.asked.push(Asked {
                    at_ms: now_ms,
                    vm: vm.clone(),
                    step: step.clone(),
                    workers: workers.clone(),
                });
                if self.behaviour == Behaviour::Busy {
                    return self.harness.planner.apply_advice(*query, None, now_ms);
                }
                let turn = match self.has_one_turn {
                    true => String::new(),
                    false => vm.clone(),
                };
                let turn = self.turns.entry(turn).or_default();
                turn.waiting.push_back(Waiting {
                    key: *query,
                    step: step.clone(),
                    workers: workers.clone(),
                    gives_up_ms: now_ms.saturating_add(*timeout_ms),
                });
            }
            Order::Start { task, ticket, .. } => {
                let worker = worker_of(&order);
                let index = self.harness.workers.iter().position(|w| *w == worker);
                let index = index.unwrap();
                let words: Vec<&str> = ticket.split(' ').collect();
                let step = format!("{}.{}.{}", task.job, task.occurrence, task.step);
                let is_valid = words.len() == 3
                    && words[0] == step
                    && words[1] == entry(index as u32).id
                    && words[2].parse::<u64>().unwrap() >= now_ms;
                if !is_valid {
                    self.refused += 1;
                    let outcome = StartOutcome::NoTicket;
                    return self.harness.report_start_outcome(&order, outcome);
                }
                self.first_start_ms.entry(task.job).or_insert(now_ms);
                self.starts.push((*task, now_ms));
                self.workers[index].runs.push(Run {
                    active: running(&order),
                    ends_ms: now_ms + self.run_ms,
                });
                self.harness.confirm(&order);
            }
            _ => {}
        }
    }
}
