//! The tasks of one step in one occurrence, and where each of them stands.

use slotmap::new_key_type;

use crate::advice::Tickets;
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
    /// Which of its groups.
    pub group: u32,
}

/// A task of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The group.
    pub group: GroupKey,
    /// Which of its tasks.
    pub index: u32,
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Runs nowhere.
    Waiting,
    /// Chosen to start on a worker; the choice is not in the store yet, nothing was sent.
    Assigned(WorkerKey),
    /// The start is sent; `doubted` once a call got no answer, so that it may still be carried out.
    Starting { worker: WorkerKey, unanswered: bool },
    /// Assigned by an earlier planner; whether it runs is not known until the worker answers this one.
    Inherited(WorkerKey),
    /// The worker confirmed it, at `confirmed_ms` on the planner's clock.
    Running {
        worker: WorkerKey,
        confirmed_ms: u64,
    },
    /// A stop is ordered; `confirmed_ms` once the worker took it.
    Stopping {
        worker: WorkerKey,
        confirmed_ms: Option<u64>,
    },
    /// Its gang is done, and its own end is not listed yet.
    Ending { worker: WorkerKey, since_ms: u64 },
    /// It has ended as done.
    Done,
}

impl Phase {
    /// The worker whose room it takes.
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

/// One task.
#[derive(Debug)]
pub(crate) struct Task {
    pub phase: Phase,
    /// The highest run number given out.
    pub run: u32,
    /// Runs that failed.
    pub failed: u32,
    /// The last progress known to be saved.
    pub progress: String,
    /// What the worker last said of it: a serving task's tail in milliseconds, otherwise the processor in use.
    pub last_metric: u64,
    /// The share of its speed that it was set to, in hundredths, and when.
    pub pace_percent: u32,
    pub pace_set_ms: u64,
    /// How much of the work is done, in hundredths, as the worker last said.
    pub percent: u32,
    /// Since when it has been in its phase.
    pub since_ms: u64,
    /// When the present run was confirmed, or the last one was.
    pub started_ms: u64,
    /// When its progress last grew.
    pub progressed_ms: u64,
    /// It is not started before this time.
    pub not_before_ms: u64,
    /// The worker on which it failed last.
    pub avoid: Option<WorkerKey>,
}

impl Task {
    pub fn new(now_ms: u64) -> Task {
        Task {
            phase: Phase::Waiting,
            run: 0,
            failed: 0,
            progress: String::new(),
            last_metric: 0,
            pace_percent: 100,
            pace_set_ms: 0,
            percent: 0,
            since_ms: now_ms,
            started_ms: 0,
            progressed_ms: 0,
            not_before_ms: 0,
            avoid: None,
        }
    }
}

/// Room promised to a group on certain workers, until it is free there.
#[derive(Debug)]
pub(crate) struct Reservation {
    /// Which task goes to which worker.
    pub places: Vec<(u32, WorkerKey)>,
    /// When it was made.
    pub since_ms: u64,
}

/// The tasks of one step in one occurrence.
#[derive(Debug)]
pub(crate) struct Group {
    pub occurrence: u32,
    pub step: u32,
    pub tasks: Vec<Task>,
    /// Runs of the gang that failed.
    pub gang_failed: u32,
    /// Since when the gang's members have to go before it can run again.
    pub teardown_since_ms: Option<u64>,
    /// The gang's last progress known to be saved.
    pub progress: String,
    pub reservation: Option<Reservation>,
    /// Which workers may run it, if its queue has such a policy.
    pub tickets: Tickets,
    /// Since when its turn has come.
    pub ready_ms: Option<u64>,
}

impl Group {
    pub fn new(occurrence: u32, step: u32, spec: &StepSpec, now_ms: u64) -> Group {
        Group {
            occurrence,
            step,
            tasks: (0..spec.count).map(|_| Task::new(now_ms)).collect(),
            gang_failed: 0,
            teardown_since_ms: None,
            progress: String::new(),
            reservation: None,
            tickets: Tickets::default(),
            ready_ms: None,
        }
    }

    /// Whether all its work is done.
    pub fn is_done(&self) -> bool {
        self.tasks
            .iter()
            .all(|task| matches!(task.phase, Phase::Done | Phase::Ending { .. }))
    }

    /// Whether any of its tasks takes room on a worker.
    pub fn occupies_capacity(&self) -> bool {
        self.tasks.iter().any(|task| task.phase.worker().is_some())
    }

    /// The highest run number of any of its tasks.
    pub fn highest_run(&self) -> u32 {
        self.tasks.iter().map(|task| task.run).max().unwrap_or(0)
    }
}
