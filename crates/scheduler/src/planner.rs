//! The state of the planner and the operations that its other modules share.

use std::collections::{HashMap, VecDeque};

use slotmap::SlotMap;

use crate::advice::{AllowedShare, AskingVms};
use crate::backlog::BuiltTasks;
use crate::configuration::{Advice, Configuration};
use crate::counts::RunCounts;
use crate::group::{GroupKey, JobKey, Phase, Task, TaskKey};
use crate::job::Job;
use crate::orders::{Flush, Order, RecordWrite, StoredEnds};
use crate::policy::shares::AccountKey;
use crate::policy::stragglers::Growth;
use crate::policy::{LearnedRecord, Policy, SharesRecord};
use crate::spec::Resources;
use crate::task::JobId;
use crate::unstored::{HandOverName, UnstoredDone};
use crate::urgent::UrgentArrivals;
use crate::worker::{LEASE_EXPIRY_MARGIN_MS, Racks, Worker, WorkerKey};

/// How long the id of an ended job is remembered. A read of all requests may still name the job for as long as that
/// read takes: a second for each page, of which there are few.
const REMEMBER_REMOVED_MS: u64 = 60_000;

/// Time limits of the planner, from the settings.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Length of a worker's lease, counted from its last answer.
    pub lease_ms: u64,
    /// How long an earlier planner may continue to renew workers' leases after its own last renewal of the leadership.
    pub predecessor_renewal_ms: u64,
    /// The longest time that a stop takes.
    pub stop_grace_ms: u64,
    /// A task that has not been at work for this long counts as unavailable, whatever the cause.
    pub notice_ms: u64,
    /// The time after acceptance within which a guaranteed job must have started.
    pub reclaim_ms: u64,
    /// A worker that has not answered for this long gets no new work.
    pub unresponsive_ms: u64,
    /// Factor by which a task is slower away from its data.
    pub remote_slowdown: u64,
    /// How many tasks of jobs that are due are held in memory, as far as that can be chosen.
    pub max_built_tasks: usize,
}

/// A decision about a job or a worker, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The job; none for a decision about a worker.
    pub job: Option<JobId>,
    /// Label of the decision.
    pub what: &'static str,
    /// The inputs of the decision.
    pub why: String,
}

/// Decides which task runs where. Each term of the leadership has its own planner.
#[derive(Debug)]
pub struct Planner {
    pub(crate) limits: Limits,
    pub(crate) guaranteed: HashMap<String, i64>,
    /// The policies of queues that have one.
    pub(crate) queue_advice: HashMap<String, Advice>,
    /// The VMs that can send queries to the advice service.
    pub(crate) advice_vms: AskingVms,
    /// How many workers each queue with a policy was allowed lately.
    pub(crate) allowed_shares: HashMap<String, AllowedShare>,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) racks: Racks,
    /// Data centres whose workers get no new work because the operator evacuates them.
    pub(crate) evacuated: Vec<String>,
    pub(crate) by_id: HashMap<String, WorkerKey>,
    /// The workers that answered at an address, to this planner or an earlier one.
    pub(crate) by_address: HashMap<String, Vec<WorkerKey>>,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) by_job: HashMap<JobId, JobKey>,
    pub(crate) orders: Vec<Order>,
    pub(crate) pending_starts: Vec<TaskKey>,
    pub(crate) dirty: Vec<JobKey>,
    pub(crate) decisions: Vec<Decision>,
    pub(crate) counts: RunCounts,
    pub(crate) superseded: bool,
    /// Whether anything changed since the last planning pass.
    pub(crate) changed: bool,
    pub(crate) inherited_expiry_ms: u64,
    /// The same for a worker that an earlier planner knew to be leaving, whose lease it renewed only under a valid lead.
    pub(crate) inherited_leaving_expiry_ms: u64,
    /// Ended jobs that were removed from memory and when, the oldest first.
    pub(crate) removed_jobs: VecDeque<(JobId, u64)>,
    /// A service whose workers run urgent work.
    pub(crate) urgent_service: Option<String>,
    /// Recent arrivals of urgent groups.
    pub(crate) urgent: UrgentArrivals,
    /// Times from submission to first start, in milliseconds, that were not taken yet.
    pub(crate) first_start_ms: Vec<u64>,
    /// When the jobs were last looked through for idle ones.
    pub(crate) idle_checked_ms: u64,
    /// Runs that workers list as done and that are not in the store yet.
    pub(crate) unstored_done: Vec<UnstoredDone>,
    /// What earlier planners have handed over and the next flush stores.
    pub(crate) taken_in: Vec<HandOverName>,
    /// The tasks that are built.
    pub(crate) built_tasks: BuiltTasks,
    /// Jobs that were cancelled before their submission, since the last flush.
    pub(crate) unsubmitted: Vec<JobId>,
    /// The state of the decisions under load.
    pub(crate) policy: Policy,
    /// How far the time of day is ahead of the planner's clock, as of the last planning pass.
    pub(crate) unix_ahead_ms: u64,
}

impl Planner {
    /// Creates the planner of a new term, without any jobs or workers.
    pub fn new(limits: Limits, now_ms: u64) -> Planner {
        Planner {
            limits,
            guaranteed: HashMap::new(),
            queue_advice: HashMap::new(),
            advice_vms: AskingVms::default(),
            allowed_shares: HashMap::new(),
            workers: SlotMap::with_key(),
            racks: Racks::default(),
            evacuated: Vec::new(),
            by_id: HashMap::new(),
            by_address: HashMap::new(),
            jobs: SlotMap::with_key(),
            by_job: HashMap::new(),
            orders: Vec::new(),
            pending_starts: Vec::new(),
            dirty: Vec::new(),
            decisions: Vec::new(),
            counts: RunCounts::default(),
            superseded: false,
            changed: true,
            inherited_expiry_ms: now_ms
                + limits.predecessor_renewal_ms
                + limits.lease_ms * 100 / 98,
            inherited_leaving_expiry_ms: now_ms
                + limits.lease_ms * 100 / 98
                + LEASE_EXPIRY_MARGIN_MS,
            removed_jobs: VecDeque::new(),
            urgent_service: None,
            urgent: UrgentArrivals::default(),
            first_start_ms: Vec::new(),
            idle_checked_ms: now_ms,
            unstored_done: Vec::new(),
            taken_in: Vec::new(),
            built_tasks: BuiltTasks::default(),
            unsubmitted: Vec::new(),
            policy: Policy::default(),
            unix_ahead_ms: 0,
        }
    }

    /// Applies the configuration in force: the guarantees, the policies of queues and the service of urgent work.
    pub fn set_configuration(&mut self, configuration: &Configuration) {
        self.guaranteed = configuration
            .organisations
            .iter()
            .map(|o| (o.name.clone(), o.guaranteed_accelerators))
            .collect();
        self.queue_advice = configuration
            .queues
            .iter()
            .filter_map(|queue| Some((queue.name.clone(), queue.advice?)))
            .collect();
        self.urgent_service = configuration
            .queues
            .iter()
            .find(|queue| queue.priority == 0)
            .map(|queue| queue.service.clone());
        self.changed = true;
    }

    /// Sets the data centres that are being evacuated: their workers get no new work.
    pub fn set_evacuated(&mut self, data_centres: Vec<String>) {
        if self.evacuated != data_centres {
            let why = format!("now: {}", data_centres.join(", "));
            self.record_decision(None, "evacuations changed", why);
            self.evacuated = data_centres;
            self.changed = true;
        }
    }

    /// Returns whether a worker has reported that a later planner exists.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns whether anything changed since the last planning pass.
    pub fn has_changed(&self) -> bool {
        self.changed
    }

    /// Counts of runs and their outcomes so far.
    pub fn counts(&self) -> RunCounts {
        self.counts
    }

    /// Returns the number of jobs and of workers held.
    pub fn sizes(&self) -> (usize, usize) {
        (self.jobs.len(), self.workers.len())
    }

    /// Takes the orders that can be sent now.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Takes the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes the times from learning of a job to its first confirmed start, in milliseconds, since the last call.
    pub fn take_first_starts_ms(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.first_start_ms)
    }

    /// Goes on with what an earlier planner has stored of the order of turns.
    pub fn restore_shares(&mut self, record: SharesRecord, now_ms: u64) {
        self.policy.shares.restore(record, now_ms);
    }

    /// Goes on with what earlier planners have learned about work and machines.
    pub fn restore_learned(&mut self, record: LearnedRecord, now_ms: u64) {
        self.policy.restore_learned(record, now_ms);
    }

    /// Collects what has to be stored before dependent orders and confirmations may be sent. `unix_ms` is the end time
    /// of jobs that have just ended.
    pub fn begin_flush(&mut self, now_ms: u64, unix_ms: u64) -> Flush {
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
            let (record, parts) = job.record(|w| workers.get(w).map(Worker::stored));
            job.is_shown_waiting = !record.begun;
            writes.push(RecordWrite {
                job: job.stored.id,
                record,
                parts,
                over: job.over,
            });
        }
        let starts: Vec<(TaskKey, u32)> = std::mem::take(&mut self.pending_starts)
            .into_iter()
            .map(|task| (task, self.task(task).map_or(0, |t| t.run)))
            .collect();
        let ends = self
            .workers
            .iter()
            .filter(|(_, w)| w.ends_seen > w.ends_stored)
            .map(|(key, w)| StoredEnds {
                worker: key,
                born_unix_ms: w.entry.born_unix_ms,
                number: w.ends_seen,
            })
            .collect();
        let staying = self
            .workers
            .iter()
            .filter(|(_, w)| w.has_short_lease && !w.entry.leaving)
            .map(|(key, _)| key)
            .collect();
        let policy = match writes.is_empty() {
            true => None,
            false => self.policy.take_record(!starts.is_empty(), now_ms),
        };
        Flush {
            writes,
            policy,
            starts,
            ends,
            staying,
            taken_in: std::mem::take(&mut self.taken_in),
            unsubmitted: std::mem::take(&mut self.unsubmitted),
        }
    }

    /// Releases what depended on a flush whose records are now in the store: starts, confirmations of ended runs, and
    /// ended jobs.
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
            self.send_start(task, run, now_ms);
        }
        for worker in flush.staying {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.has_short_lease = worker.entry.leaving;
            }
        }
        for ends in flush.ends {
            self.drop_stored_done(&ends);
            // The next incarnation numbers its ends anew.
            if let Some(worker) = self.workers.get_mut(ends.worker)
                && worker.entry.born_unix_ms == ends.born_unix_ms
            {
                worker.ends_stored = worker.ends_stored.max(ends.number);
            }
        }
    }

    /// Returns whether a job has ended and was removed, so that an older read that still names it is ignored.
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
    fn send_start(&mut self, key: TaskKey, run: u32, now_ms: u64) {
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
        task.placed_ms = now_ms;
        self.counts.starts += 1;
        self.push_start(key, worker, false);
    }

    /// Queues the order that starts the current run of a task.
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
            task_key: key,
            task: job.task_name(group, index),
            run: task.run,
            text: job.text.clone(),
            progress,
            ticket: self.ticket(key.group, worker),
            again,
        });
    }

    /// Queues the order that stops the current run of a task, and changes its phase.
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
        task.presence.record_order();
        if !again {
            task.since_ms = now_ms;
        }
        self.orders.push(Order::Stop {
            worker,
            task_key: Some(key),
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

    pub(crate) fn need(&self, key: GroupKey) -> Resources {
        self.jobs
            .get(key.job)
            .map_or_else(Resources::default, |job| job.need_of(key.group as usize))
    }

    /// Marks a job's record in the store as outdated.
    pub(crate) fn mark_dirty(&mut self, key: JobKey) {
        self.changed = true;
        if let Some(job) = self.jobs.get_mut(key)
            && !job.dirty
        {
            job.dirty = true;
            self.dirty.push(key);
        }
    }

    /// Assigns a task to a worker for a run, and counts its resources there.
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
        let is_given = task.run == 0 && matches!(phase, Phase::Assigned(_));
        task.phase = phase;
        task.run = run;
        (task.percent, task.observed_from) = (0, None);
        task.inherited_unix_ms = 0;
        task.last_metric = 0;
        (task.is_listed, task.start_in_doubt) = (false, false);
        task.growth = Growth::default();
        (task.pace_percent, task.pace_set_ms) = (100, now_ms);
        task.since_ms = now_ms;
        task.placed_ms = now_ms;
        task.progressed_ms = now_ms;
        (task.first_share, task.is_timed) = (None, false);
        task.is_resumed = !task.progress.is_empty();
        let job = self.jobs.get(key.group.job);
        let suspect = job.is_some_and(|job| self.is_suspect(job, key));
        let account = job.map_or_else(AccountKey::default, |job| job.account);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.used += need;
            self.policy.shares.hold(account, need);
            if is_given {
                self.policy.shares.give(account, need, now_ms);
            }
            worker.tasks.insert(key, run);
            if suspect {
                worker.suspects.push(key);
            }
        }
        self.mark_dirty(key.group.job);
    }

    /// Removes a task from its worker and puts it into a phase without one.
    pub(crate) fn release_task(&mut self, key: TaskKey, phase: Phase, now_ms: u64) {
        let need = self.need(key.group);
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let worker = task.phase.worker();
        task.phase = match phase {
            Phase::Waiting if task.is_done_before => Phase::Done,
            phase => phase,
        };
        task.since_ms = now_ms;
        if let Some(worker) = worker.and_then(|w| self.workers.get_mut(w))
            && worker.tasks.remove(&key).is_some()
        {
            worker.used -= need;
            let job = self.jobs.get(key.group.job);
            let account = job.map_or_else(AccountKey::default, |job| job.account);
            self.policy.shares.release(account, need);
            worker.suspects.retain(|suspect| *suspect != key);
        }
        self.mark_dirty(key.group.job);
    }

    pub(crate) fn record_decision(&mut self, job: Option<JobId>, what: &'static str, why: String) {
        self.decisions.push(Decision { job, what, why });
    }
}
