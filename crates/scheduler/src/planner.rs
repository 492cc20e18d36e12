//! The planner's state, and the small steps that all its parts use.

use std::collections::{HashMap, VecDeque};

use slotmap::SlotMap;

use crate::configuration::Configuration;
use crate::group::{GroupKey, JobKey, Phase, Task, TaskKey};
use crate::job::Job;
use crate::orders::{Flush, Order, RecordWrite};
use crate::spec::Need;
use crate::task::JobId;
use crate::urgent::UrgentArrivals;
use crate::worker::{Worker, WorkerKey};

/// A job that is over is known as such for this long. A read of all requests may still name it for as long as that read
/// takes: a second for each page, of which there are few.
const REMEMBER_REMOVED_MS: u64 = 60_000;

/// Bounds that the planner keeps, from the settings.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// How long a worker's lease lasts from its last answer.
    pub lease_ms: u64,
    /// How much longer than its last renewal an earlier planner may go on renewing workers' leases.
    pub predecessor_holds_ms: u64,
    /// How long a stop takes at most.
    pub stop_grace_ms: u64,
    /// How long after its acceptance a guaranteed job must have begun.
    pub reclaim_ms: u64,
    /// A worker that was not heard of for this long gets no new work.
    pub silent_ms: u64,
    /// How many times as long a task takes away from its data.
    pub remote_slowdown: u64,
}

/// A decision that touches a job or changes what the planner believes, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The job; none for a decision about a worker.
    pub job: Option<JobId>,
    /// What was decided.
    pub what: &'static str,
    /// The inputs that decided it.
    pub why: String,
}

/// How many runs came to what.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Starts that were sent.
    pub starts: u64,
    /// Ended as done.
    pub done: u64,
    /// Failed.
    pub failed: u64,
    /// Stopped to make room.
    pub preempted: u64,
    /// Lost with their worker's lease, or with its life.
    pub lost: u64,
    /// Broken with their gang.
    pub broken: u64,
    /// Waited in vain for their gang.
    pub alone: u64,
    /// Starts that a worker refused.
    pub refused: u64,
    /// Calls that got no answer.
    pub unanswered: u64,
    /// Work thrown away with runs that were stopped to make room, in core-milliseconds.
    pub wasted_preempted_core_ms: u64,
    /// The same with runs of cancelled or failed jobs.
    pub wasted_unwanted_core_ms: u64,
    /// The same with runs that failed.
    pub wasted_failed_core_ms: u64,
    /// The same with runs that broke with their gang, or waited for it in vain.
    pub wasted_broken_core_ms: u64,
    /// The same with runs that were lost with their worker's lease or life.
    pub wasted_lost_core_ms: u64,
}

/// Decides what runs where. One planner exists for each term of the lead.
#[derive(Debug)]
pub struct Planner {
    pub(crate) limits: Limits,
    pub(crate) guaranteed: HashMap<String, i64>,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) by_id: HashMap<String, WorkerKey>,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) by_job: HashMap<JobId, JobKey>,
    pub(crate) orders: Vec<Order>,
    pub(crate) pending_starts: Vec<TaskKey>,
    pub(crate) dirty: Vec<JobKey>,
    pub(crate) decisions: Vec<Decision>,
    pub(crate) counts: RunCounts,
    pub(crate) superseded: bool,
    /// Whether something changed since the last planning.
    pub(crate) changed: bool,
    pub(crate) inherited_expiry_ms: u64,
    /// Jobs that are over and were let go, the oldest first, with the time.
    pub(crate) removed_jobs: VecDeque<(JobId, u64)>,
    /// A service whose workers run work of the first priority.
    pub(crate) urgent_service: Option<String>,
    /// Groups of the first priority that came lately.
    pub(crate) urgent: UrgentArrivals,
    /// Hand-in to first start, in milliseconds, since the last look.
    pub(crate) first_start_ms: Vec<u64>,
}

impl Planner {
    /// A planner that has just taken the lead and knows nothing.
    pub fn new(limits: Limits, now_ms: u64) -> Planner {
        Planner {
            limits,
            guaranteed: HashMap::new(),
            workers: SlotMap::with_key(),
            by_id: HashMap::new(),
            jobs: SlotMap::with_key(),
            by_job: HashMap::new(),
            orders: Vec::new(),
            pending_starts: Vec::new(),
            dirty: Vec::new(),
            decisions: Vec::new(),
            counts: RunCounts::default(),
            superseded: false,
            changed: true,
            inherited_expiry_ms: now_ms + limits.predecessor_holds_ms + limits.lease_ms * 100 / 98,
            removed_jobs: VecDeque::new(),
            urgent_service: None,
            urgent: UrgentArrivals::default(),
            first_start_ms: Vec::new(),
        }
    }

    /// Takes the guarantees from the configuration in force.
    pub fn set_configuration(&mut self, configuration: &Configuration) {
        self.guaranteed = configuration
            .organisations
            .iter()
            .map(|o| (o.name.clone(), o.guaranteed_accelerators))
            .collect();
        self.urgent_service = configuration
            .queues
            .iter()
            .find(|queue| queue.priority == 0)
            .map(|queue| queue.service.clone());
        self.changed = true;
    }

    /// Whether a worker said that a later planner has spoken to it.
    pub fn is_deposed(&self) -> bool {
        self.superseded
    }

    /// Whether something changed since the last planning.
    pub fn has_changed(&self) -> bool {
        self.changed
    }

    /// What came of runs so far.
    pub fn counts(&self) -> RunCounts {
        self.counts
    }

    /// How many jobs are held, and how many workers.
    pub fn sizes(&self) -> (usize, usize) {
        (self.jobs.len(), self.workers.len())
    }

    /// Orders that can be sent now.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Decisions since the last look.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Times from learning of a job to its first confirmed start, since the last look.
    pub fn take_first_starts_ms(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.first_start_ms)
    }

    /// What has to be in the store before the planner goes on.
    pub fn begin_flush(&mut self, unix_ms: u64) -> Flush {
        let mut writes = Vec::new();
        for key in std::mem::take(&mut self.dirty) {
            let workers = &self.workers;
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.dirty = false;
            if job.state.is_final() && job.ended_unix_ms == 0 {
                job.ended_unix_ms = unix_ms;
            }
            job.over = job.state.is_final() && !job.occupies_capacity();
            let record = job.record(|w| workers.get(w).map(Worker::stored));
            let begun = job.state != crate::JobState::Pending;
            writes.push(RecordWrite {
                job: job.stored.id,
                record,
                begun,
                over: job.over,
            });
        }
        let starts = std::mem::take(&mut self.pending_starts)
            .into_iter()
            .map(|task| (task, self.task(task).map_or(0, |t| t.run)))
            .collect();
        let ends = self
            .workers
            .iter()
            .filter(|(_, w)| w.ends_seen > w.ends_stored)
            .map(|(key, w)| (key, w.ends_seen))
            .collect();
        Flush {
            writes,
            starts,
            ends,
        }
    }

    /// The records of a flush are in the store: what waited for them goes out.
    pub fn complete_flush(&mut self, flush: Flush, now_ms: u64) {
        for write in &flush.writes {
            let Some(&key) = self.by_job.get(&write.job) else {
                continue;
            };
            let drop = self
                .jobs
                .get(key)
                .is_some_and(|job| write.over && !job.dirty && !job.occupies_capacity());
            if drop {
                self.jobs.remove(key);
                self.by_job.remove(&write.job);
                self.removed_jobs.push_back((write.job, now_ms));
            }
        }
        for (task, run) in flush.starts {
            self.send_start(task, run);
        }
        for (worker, number) in flush.ends {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.ends_stored = worker.ends_stored.max(number);
            }
        }
    }

    /// Whether a job was over already, however late a read names it.
    pub(crate) fn was_removed(&mut self, id: JobId, now_ms: u64) -> bool {
        while self
            .removed_jobs
            .front()
            .is_some_and(|(_, at_ms)| at_ms + REMEMBER_REMOVED_MS < now_ms)
        {
            self.removed_jobs.pop_front();
        }
        self.removed_jobs.iter().any(|(gone, _)| *gone == id)
    }

    /// Sends the start of a run whose assignment is in the store.
    fn send_start(&mut self, key: TaskKey, run: u32) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let Phase::Assigned(worker) = task.phase else {
            return;
        };
        if task.run != run {
            return;
        }
        task.phase = Phase::Starting {
            worker,
            unanswered: false,
        };
        self.counts.starts += 1;
        self.push_start(key, worker, false);
    }

    /// Queues the order that starts the present run of a task.
    pub(crate) fn push_start(&mut self, key: TaskKey, worker: WorkerKey, again: bool) {
        let Some(job) = self.jobs.get(key.group.job) else {
            return;
        };
        let (group, index) = (key.group.group as usize, key.index as usize);
        let task = &job.groups[group].tasks[index];
        let progress = match job.step_of(group).gang {
            true => job.groups[group].progress.clone(),
            false => task.progress.clone(),
        };
        self.orders.push(Order::Start {
            worker,
            unit: key,
            task: job.task_name(group, index),
            run: task.run,
            text: job.text.clone(),
            progress,
            ticket: self.ticket(key.group, worker),
            again,
        });
    }

    /// Queues the order that stops the present run of a task, and marks it so.
    pub(crate) fn push_stop(&mut self, key: TaskKey, worker: WorkerKey, again: bool, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(key.group.job) else {
            return;
        };
        let (group, index) = (key.group.group as usize, key.index as usize);
        let name = job.task_name(group, index);
        let task = &mut job.groups[group].tasks[index];
        task.phase = Phase::Stopping {
            worker,
            confirmed_ms: None,
        };
        if !again {
            task.since_ms = now_ms;
        }
        self.orders.push(Order::Stop {
            worker,
            unit: Some(key),
            task: name,
            run: task.run,
            again,
        });
    }

    pub(crate) fn task(&self, key: TaskKey) -> Option<&Task> {
        let job = self.jobs.get(key.group.job)?;
        job.groups
            .get(key.group.group as usize)?
            .tasks
            .get(key.index as usize)
    }

    pub(crate) fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        let job = self.jobs.get_mut(key.group.job)?;
        job.groups
            .get_mut(key.group.group as usize)?
            .tasks
            .get_mut(key.index as usize)
    }

    pub(crate) fn need(&self, key: GroupKey) -> Need {
        self.jobs
            .get(key.job)
            .map_or_else(Need::default, |job| job.need_of(key.group as usize))
    }

    /// Notes that a job's record in the store is behind.
    pub(crate) fn mark_dirty(&mut self, key: JobKey) {
        self.changed = true;
        if let Some(job) = self.jobs.get_mut(key)
            && !job.dirty
        {
            job.dirty = true;
            self.dirty.push(key);
        }
    }

    /// Gives a task a worker's room for a run.
    pub(crate) fn assign(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        run: u32,
        phase: Phase,
        now_ms: u64,
    ) {
        let need = self.need(key.group);
        let Some(task) = self.task_mut(key) else {
            return;
        };
        task.phase = phase;
        task.run = run;
        task.percent = 0;
        task.last_metric = 0;
        (task.pace_percent, task.pace_set_ms) = (100, now_ms);
        task.since_ms = now_ms;
        task.progressed_ms = now_ms;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.used += need;
            worker.tasks.insert(key, run);
        }
        self.mark_dirty(key.group.job);
    }

    /// Takes a task off its worker and puts it into a phase without one.
    pub(crate) fn release_task(&mut self, key: TaskKey, phase: Phase, now_ms: u64) {
        let need = self.need(key.group);
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let worker = task.phase.worker();
        task.phase = phase;
        task.since_ms = now_ms;
        if let Some(worker) = worker.and_then(|w| self.workers.get_mut(w))
            && worker.tasks.remove(&key).is_some()
        {
            worker.used -= need;
        }
        self.mark_dirty(key.group.job);
    }

    pub(crate) fn record_decision(&mut self, job: Option<JobId>, what: &'static str, why: String) {
        self.decisions.push(Decision { job, what, why });
    }
}
