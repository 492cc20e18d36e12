//! A group: the tasks of one step in one occurrence, with the phase of each task.

use slotmap::new_key_type;

use crate::advice::Tickets;
use crate::crashes::CrashCounts;
use crate::policy::availability::Presence;
use crate::policy::stragglers::Growth;
use crate::spec::StepSpec;
use crate::worker::WorkerKey;

new_key_type! {
    /// A job that the planner holds.
    pub struct JobKey;
}

/// A group of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupKey {
    /// The job.
    pub job: JobKey,
    /// Index of the group in the job.
    pub group: u32,
}

/// A task of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The group.
    pub group: GroupKey,
    /// Index of the task in the group.
    pub index: u32,
}

/// The phase of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not assigned to a worker.
    Waiting,
    /// Assigned to a worker; the assignment is not in the store yet and no order was sent.
    Assigned(WorkerKey),
    /// The start was sent. `unanswered` is set once a call got no answer and may still take effect.
    Starting { worker: WorkerKey, unanswered: bool },
    /// Assigned by an earlier planner; whether it runs is unknown until the worker answers this one.
    Inherited(WorkerKey),
    /// Runs; the worker confirmed it at `confirmed_ms` on the planner's clock.
    Running {
        worker: WorkerKey,
        confirmed_ms: u64,
    },
    /// A stop was ordered; `confirmed_ms` is set once the worker has accepted it.
    Stopping {
        worker: WorkerKey,
        confirmed_ms: Option<u64>,
    },
    /// The gang is done; the worker has not listed the end of this member yet.
    Ending { worker: WorkerKey, since_ms: u64 },
    /// Ended successfully.
    Done,
}

impl Phase {
    /// Returns the worker whose capacity the task occupies.
    pub fn worker(self) -> Option<WorkerKey> {
        match self {
            Phase::Waiting | Phase::Done => None,
            Phase::Assigned(worker) | Phase::Inherited(worker) => Some(worker),
            Phase::Starting { worker, .. }
            | Phase::Running { worker, .. }
            | Phase::Stopping { worker, .. }
            | Phase::Ending { worker, .. } => Some(worker),
        }
    }
}

/// A task and its current run.
#[derive(Debug)]
pub(crate) struct Task {
    pub phase: Phase,
    /// The highest run number assigned.
    pub run: u32,
    /// Number of failed runs.
    pub failed: u32,
    /// Workers lost under the task.
    pub crashes: CrashCounts,
    /// The last progress known to be saved; empty for none.
    pub progress: String,
    /// The metric that the worker last reported: tail latency in milliseconds for a serving task, otherwise the CPU in
    /// use.
    pub last_metric: u64,
    /// The share of full speed that the run was set to, in hundredths, and when it was set.
    pub pace_percent: u32,
    pub pace_set_ms: u64,
    /// Completed share of the work, in hundredths, as last reported.
    pub percent: u32,
    /// The first share above 0 that was reported of the current run, and when.
    pub observed_from: Option<(u32, u64)>,
    /// When the task entered its phase.
    pub since_ms: u64,
    /// When the current run was assigned to its worker, or its start was sent.
    pub placed_ms: u64,
    /// When the current run was confirmed, or the last one if none is running; 0 before the first.
    pub started_ms: u64,
    /// When the current run was assigned by an earlier planner at the latest, in Unix milliseconds; 0 if this one did, or
    /// if that is not known.
    pub inherited_unix_ms: u64,
    /// When the completed share last grew.
    pub progressed_ms: u64,
    /// The first share that the current run reported, in hundredths, and when.
    pub first_share: Option<(u32, u64)>,
    /// Whether the current run goes on from saved progress.
    pub is_resumed: bool,
    /// Whether the time that the current run takes was learned from.
    pub is_timed: bool,
    /// The task is not started before this time.
    pub not_before_ms: u64,
    /// The worker on which a run of the task last failed, or which last refused its start.
    pub avoid: Option<WorkerKey>,
    /// Whether the worker has listed the current run, so that the start was carried out by that incarnation.
    pub is_listed: bool,
    /// Whether a start of the current run got no answer; it may still be carried out.
    pub start_in_doubt: bool,
    /// Whether an earlier run has done the work; the current one is being stopped.
    pub is_done_before: bool,
    /// How the reported share of the current run has grown.
    pub growth: Growth,
    /// Whether it works for its users, if it lasts.
    pub presence: Presence,
}

impl Task {
    pub fn new(now_ms: u64) -> Task {
        Task {
            phase: Phase::Waiting,
            run: 0,
            failed: 0,
            crashes: CrashCounts::default(),
            progress: String::new(),
            last_metric: 0,
            pace_percent: 100,
            pace_set_ms: 0,
            percent: 0,
            observed_from: None,
            since_ms: now_ms,
            placed_ms: 0,
            started_ms: 0,
            inherited_unix_ms: 0,
            progressed_ms: 0,
            first_share: None,
            is_resumed: false,
            is_timed: false,
            not_before_ms: 0,
            avoid: None,
            is_listed: false,
            start_in_doubt: false,
            is_done_before: false,
            growth: Growth::default(),
            presence: Presence::at_work(now_ms),
        }
    }

    /// Returns whether the work is done, though a run may not have ended yet.
    pub fn is_done(&self) -> bool {
        self.is_done_before || matches!(self.phase, Phase::Done | Phase::Ending { .. })
    }

    /// Returns when the current run began, as far as it is known.
    pub fn began_ms(&self) -> u64 {
        self.started_ms.max(self.placed_ms)
    }
}

/// Capacity reserved for a group on workers where it is not free yet.
#[derive(Debug)]
pub(crate) struct Reservation {
    /// Task index and worker of each placement.
    pub places: Vec<(u32, WorkerKey)>,
    /// When the reservation was made.
    pub since_ms: u64,
}

/// The failed runs of a gang. A run counts once, however many of its members fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct GangFailures {
    /// Number of failed runs.
    pub runs: u32,
    /// The latest of them; 0 for none. A gang's run numbers rise.
    pub last_run: u32,
}

impl GangFailures {
    /// Records that a member failed in a run.
    pub fn record(&mut self, run: u32) {
        if run > self.last_run {
            self.runs = self.runs.saturating_add(1);
            self.last_run = run;
        }
    }
}

/// The tasks of one step in one occurrence.
#[derive(Debug)]
pub(crate) struct Group {
    pub occurrence: u32,
    pub step: u32,
    pub tasks: Vec<Task>,
    pub gang_failures: GangFailures,
    /// When the teardown of the gang began; its members have to end before it can run again. None if it is not being
    /// torn down.
    pub teardown_since_ms: Option<u64>,
    /// When a task of it was last assigned, in Unix milliseconds; 0 before that.
    pub placed_unix_ms: u64,
    /// The last progress of the gang known to be saved; empty for none.
    pub progress: String,
    pub reservation: Option<Reservation>,
    /// The workers that may run it, if its queue has an advice policy.
    pub tickets: Tickets,
    /// When the group became ready to start.
    pub ready_ms: Option<u64>,
    /// Whether it may have been ready for long when this planner took over.
    pub was_ready_before: bool,
    /// Whether it was logged that a group of another organisation went before it.
    pub is_passed_over: bool,
    /// Whether it was logged that no stop makes room for it although its organisation's guarantee covers it.
    pub is_shortfall_logged: bool,
    /// How often runs of it were moved because they stood still.
    pub moves: u32,
    /// The worker on which a run of it stood still, and until when the group avoids it.
    pub shunned: Option<(WorkerKey, u64)>,
}

impl Group {
    pub fn new(occurrence: u32, step: u32, spec: &StepSpec, now_ms: u64) -> Group {
        Group {
            occurrence,
            step,
            tasks: (0..spec.count).map(|_| Task::new(now_ms)).collect(),
            gang_failures: GangFailures::default(),
            teardown_since_ms: None,
            placed_unix_ms: 0,
            progress: String::new(),
            reservation: None,
            tickets: Tickets::default(),
            ready_ms: None,
            was_ready_before: false,
            is_passed_over: false,
            is_shortfall_logged: false,
            moves: 0,
            shunned: None,
        }
    }

    /// Returns whether all its tasks are done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(Task::is_done)
    }

    /// Returns whether any of its tasks occupies capacity on a worker.
    pub fn occupies_capacity(&self) -> bool {
        self.tasks.iter().any(|task| task.phase.worker().is_some())
    }

    /// Returns how long the first of its waiting tasks has been ready to start.
    pub fn waited_ms(&self, now_ms: u64) -> u64 {
        let waits_since_ms = self
            .tasks
            .iter()
            .filter(|task| task.phase == Phase::Waiting)
            .map(|task| task.since_ms)
            .min()
            .unwrap_or(now_ms)
            .max(self.ready_ms.unwrap_or(now_ms));
        now_ms.saturating_sub(waits_since_ms)
    }

    /// Returns whether a task has waited since before this planner took over its job, at `known_ms`.
    pub fn waits_since_before(&self, known_ms: u64) -> bool {
        let waits = |task: &Task| task.phase == Phase::Waiting && task.since_ms <= known_ms;
        self.was_ready_before && self.tasks.iter().any(waits)
    }

    /// Returns the highest run number of its tasks.
    pub fn highest_run(&self) -> u32 {
        self.tasks.iter().map(|task| task.run).max().unwrap_or(0)
    }
}
