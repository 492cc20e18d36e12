//! Simulated site of planners and workers with faulty links between them, in virtual time.
//!
//! It checks three invariants as time passes: no job runs twice at once, a start that was reported
//! as failed never runs, and the rest of a gang runs without the same member for at most
//! [`GangConfig::lease_ms`].

use std::collections::{BTreeMap, BTreeSet};

use dispatch::call::{CallFailure, CallId, Unreachable};
use dispatch::gangs::{GangConfig, GangOutput, Gangs, StartFailure};
use model::prelude::*;

use super::worker::Worker;
use super::{job_id, job_spec, name};

/// Latency of a link.
pub const LINK_MS: u64 = 1;
/// Number of rounds at which a run is taken to make no progress.
const ROUNDS_MAX: u32 = 100_000;

/// Fault of the next call to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    LoseCall,
    LoseReply,
    Duplicate,
    Delay(u64),
}

#[derive(Debug, Clone)]
pub enum Body {
    Call(CallId, Vec<LeaseCommand>),
    Replies(CallId, Result<Vec<LeaseReply>, CallFailure>),
    QueryInventory,
    Inventory(Option<Box<Inventory>>),
}

/// A message between a planner and a worker.
#[derive(Debug, Clone)]
pub struct Message {
    pub at_ms: u64,
    pub planner: String,
    pub worker: WorkerName,
    pub body: Body,
    pub lose_reply: bool,
}

#[derive(Debug, Clone)]
pub struct Planner {
    pub gangs: Gangs,
    pub up: bool,
    pub paused: bool,
    pub stepped_down: bool,
    pub take_over_done: bool,
}

/// The simulated site.
#[derive(Debug, Clone)]
pub struct GangWorld {
    pub config: GangConfig,
    pub now_ms: u64,
    pub planners: BTreeMap<String, Planner>,
    pub workers: BTreeMap<WorkerName, Worker>,
    pub messages: Vec<Message>,
    pub cuts: BTreeSet<(String, WorkerName)>,
    pub faults: BTreeMap<WorkerName, Vec<CallFault>>,
    pub log: Vec<String>,
    pub calls: u64,
    pub commands: u64,
    /// Longest time for which the rest of a gang ran without the same member.
    pub member_missing_max_ms: u64,
    /// Longest time for which a gang was incomplete, whichever members were missing.
    pub incomplete_max_ms: u64,
    /// The last violated invariant.
    pub violation: Option<String>,
    member_missing_ms: BTreeMap<((JobId, u64), u32), u64>,
    incomplete_ms: BTreeMap<(JobId, u64), u64>,
    finished: BTreeSet<((JobId, u64), u32)>,
    started_runs: BTreeMap<JobId, BTreeSet<u64>>,
    last_start: BTreeMap<(String, JobId), u64>,
    failed_starts: BTreeSet<(JobId, u64)>,
    /// Jobs that a planner must not start: started, and not reported as not running since.
    busy: BTreeSet<u64>,
    /// Busy jobs that have not been reported since the last take-over.
    unreported: BTreeSet<u64>,
}

impl GangWorld {
    pub fn new(config: GangConfig, planners: &[&str], workers: u32, run_ms: u64) -> Self {
        let planner = |node: &&str| {
            let gangs = Gangs::new(config, name(node), Incarnation(1), 7);
            let fresh = Planner {
                gangs,
                up: true,
                paused: false,
                stepped_down: false,
                take_over_done: false,
            };
            (node.to_string(), fresh)
        };
        let worker = |i: u32| (name(&format!("w-{i}")), Worker::new(run_ms));
        Self {
            config,
            now_ms: 1_000,
            planners: planners.iter().map(planner).collect(),
            workers: (0..workers).map(worker).collect(),
            messages: Vec::new(),
            cuts: BTreeSet::new(),
            faults: BTreeMap::new(),
            log: Vec::new(),
            calls: 0,
            commands: 0,
            member_missing_max_ms: 0,
            incomplete_max_ms: 0,
            violation: None,
            member_missing_ms: BTreeMap::new(),
            incomplete_ms: BTreeMap::new(),
            finished: BTreeSet::new(),
            started_runs: BTreeMap::new(),
            last_start: BTreeMap::new(),
            failed_starts: BTreeSet::new(),
            busy: BTreeSet::new(),
            unreported: BTreeSet::new(),
        }
    }

    pub fn take_over(&mut self, node: &str) {
        let workers: Vec<WorkerName> = self.workers.keys().cloned().collect();
        let now_ms = self.now_ms;
        self.unreported = self.busy.clone();
        self.with(node, |gangs| gangs.take_over(now_ms, &workers));
    }

    pub fn start(&mut self, node: &str, job: u64, workers: &[&str]) {
        let place = |w: &&str| (name(w), AcceleratorMask(1));
        let members: Vec<_> = workers.iter().map(place).collect();
        let spec = job_spec(members.len() as u32);
        self.busy.insert(job);
        let now_ms = self.now_ms;
        self.with(node, |gangs| {
            gangs.start(now_ms, job_id(job), spec, members)
        });
    }

    /// Runs `act` on a planner that is up and not paused, and processes the planner's outputs.
    pub fn with(&mut self, node: &str, act: impl FnOnce(&mut Gangs)) {
        if let Some(planner) = self.planners.get_mut(node).filter(|p| p.up && !p.paused) {
            act(&mut planner.gangs);
        }
        self.process_outputs(node);
    }

    pub fn set_paused(&mut self, node: &str, paused: bool) {
        if let Some(planner) = self.planners.get_mut(node) {
            planner.paused = paused;
        }
        for message in &mut self.messages {
            message.at_ms = message.at_ms.max(self.now_ms);
        }
    }

    /// Runs the simulation until `end_ms`.
    pub fn run_until(&mut self, end_ms: u64) {
        let mut rounds = 0;
        loop {
            rounds += 1;
            assert!(rounds < ROUNDS_MAX, "no progress at {} ms", self.now_ms);
            let next_ms = self.next_event_ms().unwrap_or(u64::MAX).max(self.now_ms);
            self.advance_time(next_ms.min(end_ms));
            if next_ms > end_ms {
                return;
            }
            self.process_due_events();
        }
    }

    /// Advances the time and the workers, without delivering messages or waking planners.
    pub fn advance_time(&mut self, to_ms: u64) {
        while self.now_ms < to_ms {
            let active = self.workers.values().filter(|w| w.is_active());
            let event_ms = active.filter_map(Worker::next_event_ms).min();
            let step_ms = event_ms.unwrap_or(to_ms).clamp(self.now_ms + 1, to_ms);
            self.record_missing_members(step_ms - self.now_ms);
            self.now_ms = step_ms;
            self.advance_workers();
        }
    }

    pub fn next_event_ms(&self) -> Option<u64> {
        let deliverable = |m: &&Message| !self.is_paused(&m.planner) || !m.body.is_for_planner();
        let message = self
            .messages
            .iter()
            .filter(deliverable)
            .map(|m| m.at_ms)
            .min();
        let awake = self.planners.values().filter(|p| p.up && !p.paused);
        let wake = awake.filter_map(|p| p.gangs.next_wake_ms()).min();
        [message, wake].into_iter().flatten().min()
    }

    fn is_paused(&self, node: &str) -> bool {
        self.planners.get(node).is_some_and(|p| p.paused)
    }

    fn process_due_events(&mut self) {
        while let Some(at) = self.next_message() {
            self.deliver(at);
        }
        self.tick_planners();
    }

    pub fn tick_planners(&mut self) {
        let now_ms = self.now_ms;
        let nodes: Vec<String> = self.planners.keys().cloned().collect();
        for node in nodes {
            let wake = self.planners[&node].gangs.next_wake_ms();
            if wake.is_some_and(|at_ms| at_ms <= now_ms) {
                self.with(&node, |gangs| gangs.tick(now_ms));
            }
        }
    }

    fn next_message(&self) -> Option<usize> {
        self.messages.iter().position(|m| {
            m.at_ms <= self.now_ms && !(m.body.is_for_planner() && self.is_paused(&m.planner))
        })
    }

    /// Delivers the message at index `at` to its receiver.
    pub fn deliver(&mut self, at: usize) {
        let message = self.messages.remove(at);
        let Message {
            planner,
            worker,
            body,
            lose_reply,
            ..
        } = message;
        let now_ms = self.now_ms;
        match body {
            Body::Replies(call, replies) => {
                self.with(&planner, |g| g.on_replies(now_ms, &worker, call, replies));
            }
            Body::Inventory(inventory) => {
                let inventory = inventory.map(|i| *i).ok_or(Unreachable);
                self.with(&planner, |g| g.on_inventory(now_ms, &worker, inventory));
            }
            body => self.serve(planner, worker, body, lose_reply),
        }
    }

    fn serve(&mut self, planner: String, name: WorkerName, body: Body, lose_reply: bool) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(&name).filter(|w| !w.paused) else {
            return;
        };
        let reply = match (body, worker.up) {
            (Body::Call(call, _), false) => Body::Replies(call, Err(CallFailure::NotSent)),
            (Body::Call(call, commands), true) => {
                let apply = |c: &LeaseCommand| worker.apply(now_ms, c);
                let replies = commands.iter().map(apply).collect();
                Body::Replies(call, Ok(replies))
            }
            (_, false) => Body::Inventory(None),
            (_, true) => Body::Inventory(Some(Box::new(worker.inventory(now_ms)))),
        };
        self.record_runs();
        let cut = self.cuts.contains(&(planner.clone(), name.clone()));
        if !lose_reply && !cut {
            let at_ms = now_ms + LINK_MS;
            self.messages.push(Message {
                at_ms,
                planner,
                worker: name,
                body: reply,
                lose_reply,
            });
        }
    }

    /// Processes all outputs of a planner.
    fn process_outputs(&mut self, node: &str) {
        while let Some(output) = self.planners.get_mut(node).and_then(|p| p.gangs.poll()) {
            match output {
                GangOutput::Call {
                    call,
                    worker,
                    commands,
                } => {
                    self.calls += 1;
                    self.commands += commands.len() as u64;
                    self.record_starts(node, &commands);
                    self.send(node, worker, Body::Call(call, commands));
                }
                GangOutput::AskInventory { worker } => {
                    self.send(node, worker, Body::QueryInventory)
                }
                event => self.record_event(node, event),
            }
        }
    }

    fn send(&mut self, node: &str, worker: WorkerName, body: Body) {
        if self.cuts.contains(&(node.to_owned(), worker.clone())) {
            return;
        }
        let is_call = matches!(body, Body::Call(..));
        let faults = self
            .faults
            .get_mut(&worker)
            .filter(|f| is_call && !f.is_empty());
        let fault = faults.map(|f| f.remove(0));
        let delay_ms = match fault {
            Some(CallFault::LoseCall) => return,
            Some(CallFault::Delay(delay_ms)) => delay_ms,
            _ => 0,
        };
        let message = Message {
            at_ms: self.now_ms + LINK_MS + delay_ms,
            planner: node.to_owned(),
            worker,
            body,
            lose_reply: fault == Some(CallFault::LoseReply),
        };
        if fault == Some(CallFault::Duplicate) {
            self.messages.push(message.clone());
        }
        self.messages.push(message);
    }

    fn record_event(&mut self, node: &str, event: GangOutput) {
        self.record_jobs(&event);
        let planner = self.planners.get_mut(node);
        let line = match &event {
            GangOutput::Started { job } => format!("j{} started", job.sequence),
            GangOutput::StartFailed {
                job,
                worker,
                reason,
            } => {
                if *reason != StartFailure::NotPlanner {
                    self.record_failed_start(node, job);
                }
                let at = worker.as_ref().map_or("-", |w| w.as_str());
                format!("j{} start failed at {at}: {reason}", job.sequence)
            }
            GangOutput::MemberLost { job, worker } => {
                format!("j{} lost its member on {worker}", job.sequence)
            }
            GangOutput::Stopped { job, .. } => format!("j{} stopped", job.sequence),
            GangOutput::Finished { job } => format!("j{} finished", job.sequence),
            GangOutput::FoundFinished { job, members } => {
                format!("j{} had finished on {members} members", job.sequence)
            }
            GangOutput::Failed { job, worker } => format!("j{} failed on {worker}", job.sequence),
            GangOutput::Adopted { job, members, .. } => {
                self.last_start.remove(&(node.to_owned(), job.clone()));
                format!("j{} adopted with {} members", job.sequence, members.len())
            }
            GangOutput::Partial { job, members, .. } => {
                format!(
                    "j{} incomplete with {} members",
                    job.sequence,
                    members.len()
                )
            }
            GangOutput::OldTerm { .. } => {
                planner.into_iter().for_each(|p| p.stepped_down = true);
                "steps down".to_owned()
            }
            GangOutput::TakeOverDone => {
                planner.into_iter().for_each(|p| p.take_over_done = true);
                "plans".to_owned()
            }
            _ => return,
        };
        self.log
            .push(format!("{} ms {node}: {line}", self.now_ms - 1_000));
    }

    fn record_jobs(&mut self, event: &GangOutput) {
        match event {
            GangOutput::Adopted { job, .. } | GangOutput::Partial { job, .. } => {
                self.unreported.remove(&job.sequence);
            }
            GangOutput::StartFailed { job, .. } | GangOutput::Stopped { job, .. } => {
                self.busy.remove(&job.sequence);
            }
            GangOutput::Settled => {
                let unreported = std::mem::take(&mut self.unreported);
                self.busy.retain(|job| !unreported.contains(job));
            }
            _ => {}
        }
    }

    /// Returns whether the daemon may start the job: the node plans, and the job is known not to
    /// run.
    pub fn may_start(&self, node: &str, job: u64) -> bool {
        let planner = &self.planners[node];
        planner.up && !planner.paused && planner.take_over_done && !self.busy.contains(&job)
    }

    fn record_starts(&mut self, node: &str, commands: &[LeaseCommand]) {
        for command in commands {
            if let LeaseOp::Reserve { job, .. } = &command.op {
                let key = (node.to_owned(), job.clone());
                self.last_start.insert(key, command.lease.0 >> 8);
            }
        }
    }

    /// Records a start that was reported as failed; it must never run.
    fn record_failed_start(&mut self, node: &str, job: &JobId) {
        let Some(start) = self
            .last_start
            .get(&(node.to_owned(), job.clone()))
            .copied()
        else {
            return;
        };
        let ran = self
            .started_runs
            .get(job)
            .is_some_and(|runs| runs.contains(&start));
        if ran {
            self.violation = Some(format!("{job} was reported as not started and had run"));
        }
        self.failed_starts.insert((job.clone(), start));
    }

    fn record_runs(&mut self) {
        for lease in self.workers.values().flat_map(|w| w.leases.values()) {
            if lease.view.state == LeaseState::Running {
                let key = (lease.view.job.clone(), lease.view.lease.0 >> 8);
                if self.failed_starts.contains(&key) {
                    self.violation = Some(format!("{} runs after its start failed", key.0));
                }
                self.started_runs.entry(key.0).or_default().insert(key.1);
            }
        }
    }

    fn advance_workers(&mut self) {
        for worker in self.workers.values_mut().filter(|w| w.is_active()) {
            let known = worker.ended.len();
            worker.advance(self.now_ms);
            for task in worker.ended.iter().skip(known) {
                if task.end == TaskEnd::Finished {
                    let key = (task.job.clone(), task.lease.0 >> 8);
                    self.finished.insert((key, task.member));
                }
            }
        }
    }

    /// Returns the members that run now and the size of the gang, by start.
    pub fn running(&self) -> BTreeMap<(JobId, u64), (BTreeSet<u32>, u32)> {
        let mut running = BTreeMap::new();
        for worker in self.workers.values().filter(|w| w.is_active()) {
            for lease in worker
                .leases
                .values()
                .filter(|l| l.expires_ms > self.now_ms)
            {
                if matches!(lease.view.state, LeaseState::Running | LeaseState::Stopping) {
                    let key = (lease.view.job.clone(), lease.view.lease.0 >> 8);
                    let size = lease.view.members;
                    let entry = running.entry(key).or_insert((BTreeSet::new(), size));
                    entry.0.insert(lease.view.member);
                }
            }
        }
        running
    }

    /// Adds `passed_ms` to the time for which members of running gangs have been missing.
    fn record_missing_members(&mut self, passed_ms: u64) {
        let running = self.running();
        let mut jobs = BTreeSet::new();
        for (job, _) in running.keys() {
            if !jobs.insert(job) {
                self.violation = Some(format!("two starts of {job} run at once"));
            }
        }
        self.member_missing_ms
            .retain(|(key, _), _| running.contains_key(key));
        self.incomplete_ms
            .retain(|key, _| running.contains_key(key));
        for (key, (members, size)) in running {
            let mut missing = 0;
            for member in 0..size {
                let place = (key.clone(), member);
                let absent = !members.contains(&member) && !self.finished.contains(&place);
                missing += u64::from(absent);
                let missing_ms = self.member_missing_ms.entry(place).or_default();
                *missing_ms = if absent { *missing_ms + passed_ms } else { 0 };
                self.member_missing_max_ms = self.member_missing_max_ms.max(*missing_ms);
            }
            let incomplete_ms = self.incomplete_ms.entry(key).or_default();
            *incomplete_ms = if missing > 0 {
                *incomplete_ms + passed_ms
            } else {
                0
            };
            self.incomplete_max_ms = self.incomplete_max_ms.max(*incomplete_ms);
        }
        if self.member_missing_max_ms > self.config.lease_ms {
            let at_ms = self.now_ms - 1_000;
            let longest_ms = self.member_missing_max_ms;
            self.violation = Some(format!(
                "a gang ran without a member for {longest_ms} ms at {at_ms} ms"
            ));
        }
    }

    /// Returns the number of starts of the job that have run.
    pub fn runs(&self, job: u64) -> usize {
        self.started_runs.get(&job_id(job)).map_or(0, BTreeSet::len)
    }

    /// Returns the number of starts that have run.
    pub fn total_runs(&self) -> usize {
        self.started_runs.values().map(BTreeSet::len).sum()
    }

    /// Returns the number of leases on all workers.
    pub fn leases(&self) -> usize {
        self.workers.values().map(|w| w.leases.len()).sum()
    }
}

impl Body {
    pub fn is_for_planner(&self) -> bool {
        matches!(self, Self::Replies(..) | Self::Inventory(_))
    }
}
