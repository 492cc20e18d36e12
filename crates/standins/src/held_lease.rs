//! One lease of a worker and the operations that change only this lease.

use model::prelude::*;

use crate::audit::{TaskEvent, TaskEventKind};
use crate::checkpoint::Checkpoints;
use crate::task::Task;

/// Time after which a task fails on a worker that fails everything, in milliseconds.
const FAIL_AFTER_MS: u64 = 20;

/// State of a lease, with its task once that has started.
#[derive(Debug)]
pub(crate) enum Stage {
    Reserved,
    Prepared,
    Running(Task),
    Stopping { task: Task, stop_at_ms: u64 },
}

impl Stage {
    /// Returns the state as the worker reports it.
    pub(crate) const fn state(&self) -> LeaseState {
        match self {
            Self::Reserved => LeaseState::Reserved,
            Self::Prepared => LeaseState::Prepared,
            Self::Running(_) => LeaseState::Running,
            Self::Stopping { .. } => LeaseState::Stopping,
        }
    }

    /// Returns the task, when it has started.
    pub(crate) const fn task(&self) -> Option<&Task> {
        match self {
            Self::Reserved | Self::Prepared => None,
            Self::Running(task) | Self::Stopping { task, .. } => Some(task),
        }
    }

    /// Returns the task, when it has started.
    pub(crate) const fn task_mut(&mut self) -> Option<&mut Task> {
        match self {
            Self::Reserved | Self::Prepared => None,
            Self::Running(task) | Self::Stopping { task, .. } => Some(task),
        }
    }
}

/// Lease that a worker has granted and that has not ended.
#[derive(Debug)]
pub(crate) struct HeldLease {
    pub(crate) job: JobId,
    pub(crate) member: u32,
    pub(crate) members: u32,
    pub(crate) accelerators: AcceleratorMask,
    pub(crate) expires_ms: u64,
    pub(crate) checkpoint_permille: u32,
    pub(crate) spec: JobSpec,
    pub(crate) stage: Stage,
}

impl HeldLease {
    /// Returns the time at which the lease will end without a further command, and the outcome of
    /// its task.
    pub(crate) fn next_outcome(&self) -> (u64, TaskEnd) {
        let expiry = (self.expires_ms, TaskEnd::Expired);
        let (done_at_ms, stop) = match &self.stage {
            Stage::Reserved | Stage::Prepared => return expiry,
            Stage::Running(task) => (task.ends_at_ms(), None),
            Stage::Stopping { task, stop_at_ms } => (task.ends_at_ms(), Some(*stop_at_ms)),
        };
        let fails = self.stage.task().is_some_and(|task| task.fails);
        let done = (
            done_at_ms,
            if fails {
                TaskEnd::Failed
            } else {
                TaskEnd::Finished
            },
        );
        let stop = (stop.unwrap_or(u64::MAX), TaskEnd::Stopped);
        [done, stop, expiry]
            .into_iter()
            .min_by_key(|(at_ms, _)| *at_ms)
            .unwrap_or(expiry)
    }
}

/// Outcome of a lease that has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndedLease {
    pub(crate) end: Option<TaskEnd>,
    pub(crate) checkpoint_permille: u32,
}

/// Records the start or the end of a task.
pub(crate) fn push_event(
    events: &mut Vec<TaskEvent>,
    at_ms: u64,
    lease: LeaseId,
    held: &HeldLease,
    kind: TaskEventKind,
) {
    events.push(TaskEvent {
        at_ms,
        lease,
        job: held.job.clone(),
        organisation: held.spec.organisation.clone(),
        ticket: held.spec.ticket.clone(),
        member: held.member,
        members: held.members,
        kind,
    });
}

/// Prepares a reserved task.
pub(crate) fn prepare(held: &mut HeldLease) -> LeaseReply {
    match held.stage {
        Stage::Reserved => held.stage = Stage::Prepared,
        Stage::Prepared | Stage::Running(_) => {}
        Stage::Stopping { .. } => return reply_refused(LeaseRefusal::WrongState),
    }
    reply_granted(held)
}

/// Starts a prepared task.
pub(crate) fn release(now_ms: u64, held: &mut HeldLease, fails_all: bool) -> LeaseReply {
    match held.stage {
        Stage::Prepared => {
            let mut task = Task::start(now_ms, &held.spec, held.checkpoint_permille);
            if fails_all {
                task.fail_after(FAIL_AFTER_MS);
            }
            held.stage = Stage::Running(task);
        }
        Stage::Running(_) => {}
        Stage::Reserved | Stage::Stopping { .. } => return reply_refused(LeaseRefusal::WrongState),
    }
    reply_granted(held)
}

/// Saves a checkpoint of a running task.
pub(crate) fn checkpoint(
    now_ms: u64,
    held: &mut HeldLease,
    checkpoints: &mut Checkpoints,
) -> LeaseReply {
    let Some(task) = held.stage.task() else {
        return reply_refused(LeaseRefusal::WrongState);
    };
    if !held.spec.checkpointable {
        return reply_refused(LeaseRefusal::WrongState);
    }
    held.checkpoint_permille = task.done_permille(now_ms);
    checkpoints.save(&held.job, held.member, held.checkpoint_permille);
    reply_granted(held)
}

/// Limits the speed of a running task to a percentage.
pub(crate) fn throttle(now_ms: u64, held: &mut HeldLease, percent: u8) -> LeaseReply {
    match &mut held.stage {
        Stage::Running(task) if (1..=100).contains(&percent) => task.throttle(now_ms, percent),
        _ => return reply_refused(LeaseRefusal::WrongState),
    }
    reply_granted(held)
}

/// Builds the reply for a command that has taken effect.
pub(crate) const fn reply_granted(held: &HeldLease) -> LeaseReply {
    LeaseReply::Granted {
        state: held.stage.state(),
        checkpoint_permille: held.checkpoint_permille,
    }
}

/// Builds the reply for a lease that has ended.
pub(crate) const fn reply_gone(ended: EndedLease) -> LeaseReply {
    LeaseReply::Gone {
        end: ended.end,
        checkpoint_permille: ended.checkpoint_permille,
    }
}

/// Builds the reply from the present state of a lease, which may be unknown to the worker.
pub(crate) fn reply_current(held: Option<&HeldLease>, ended: Option<&EndedLease>) -> LeaseReply {
    match (held, ended) {
        (Some(held), _) => reply_granted(held),
        (None, Some(ended)) => reply_gone(*ended),
        (None, None) => reply_gone(EndedLease {
            end: None,
            checkpoint_permille: 0,
        }),
    }
}

/// Builds the reply for a command that was refused.
pub(crate) const fn reply_refused(why: LeaseRefusal) -> LeaseReply {
    LeaseReply::Refused { why }
}
