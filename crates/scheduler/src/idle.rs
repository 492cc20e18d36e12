//! Logs jobs of which nothing has run for long, with what they wait for.

use crate::group::{GroupKey, JobKey, Phase, Task};
use crate::overdue::Reach;
use crate::planner::Planner;

/// A job of which nothing has run for this long is logged. The platform lets a job have nothing running for as long while
/// there is room.
const IDLE_MS: u64 = 3_000;

/// How often the jobs are looked through.
const CHECK_EVERY_MS: u64 = 500;

/// The most jobs logged in one check; the others follow in the next ones.
const MAX_LINES_PER_CHECK: usize = 8;

/// What a job of which nothing runs waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IdleReason {
    /// A worker that may run a task does not answer; its lease has not expired.
    WorkerSilent,
    /// The assignment of a task is not in the store yet.
    AssignmentUnstored,
    /// The start of a task is under way or got no answer.
    StartUnconfirmed,
    /// A run is being stopped, or the members of a gang have not ended yet.
    RunEnding,
    /// The pause after a failed run or a refused start is not over.
    Pausing,
    /// Tasks that occupy the reserved capacity are being stopped.
    ReservationPending,
    /// No worker that can run a task has room.
    NoRoom,
    /// Only quarantined workers have room.
    Quarantined,
    /// Many workers fail, and only workers have room of which it is not known that they work.
    WorkersFailing,
    /// Only workers with a task that may crash them have room.
    BesideSuspect,
    /// No worker with room has been allowed by the queue's policy.
    NoTicket,
    /// Only workers away from the rack of the data have room.
    OtherRack,
    /// The room is withheld for urgent work.
    Withheld,
}

impl Planner {
    /// Logs the jobs of which nothing has run for [`IDLE_MS`], once for each time.
    pub(crate) fn report_idle_jobs(&mut self, now_ms: u64) {
        if now_ms < self.idle_checked_ms + CHECK_EVERY_MS {
            return;
        }
        self.idle_checked_ms = now_ms;
        let mut lines_left = MAX_LINES_PER_CHECK;
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            let idle = self.find_idle_group(key, now_ms);
            let job = &mut self.jobs[key];
            let Some((group, reason)) = idle else {
                (job.idle_since_ms, job.is_idle_logged) = (None, false);
                continue;
            };
            let idle_ms = now_ms - *job.idle_since_ms.get_or_insert(now_ms);
            if idle_ms < IDLE_MS || job.is_idle_logged || lines_left == 0 {
                continue;
            }
            lines_left -= 1;
            job.is_idle_logged = true;
            let reason = reason.unwrap_or_else(|| self.find_waiting_reason(group, now_ms));
            let advice = match reason {
                IdleReason::NoTicket => format!("; {}", self.describe_advice(group, now_ms)),
                _ => String::new(),
            };
            let job = &self.jobs[key];
            let state = &job.groups[group.group as usize];
            let why = format!(
                "{reason:?} after {idle_ms} ms: step {}, {} of {} tasks done, highest run {}{advice}",
                state.step,
                state.tasks.iter().filter(|task| task.is_done()).count(),
                state.tasks.len(),
                state.highest_run()
            );
            let id = job.stored.id;
            self.record_decision(Some(id), "idle", why);
        }
    }

    /// Returns the first group of a job that could run, if nothing of the job runs, and the reason if a task of it occupies
    /// a worker.
    fn find_idle_group(&self, key: JobKey, now_ms: u64) -> Option<(GroupKey, Option<IdleReason>)> {
        let job = &self.jobs[key];
        if job.state.is_final() {
            return None;
        }
        let (mut occupying, mut waiting) = (None, None);
        for (index, state) in (0..).zip(&job.groups) {
            let group = GroupKey {
                job: key,
                group: index,
            };
            for task in state.tasks.iter().filter(|task| !task.is_done()) {
                match self.find_task_idle_reason(task, now_ms) {
                    Ok(()) => return None,
                    Err(Some(reason)) => occupying = occupying.or(Some((group, Some(reason)))),
                    Err(None) if state.ready_ms.is_some() && job.is_unblocked(index as usize) => {
                        waiting = waiting.or(Some((group, None)));
                    }
                    Err(None) => {}
                }
            }
        }
        occupying.or(waiting)
    }

    /// Returns why a task that occupies a worker does not run, if so.
    fn find_task_idle_reason(&self, task: &Task, now_ms: u64) -> Result<(), Option<IdleReason>> {
        let is_silent = task
            .phase
            .worker()
            .and_then(|worker| self.workers.get(worker))
            .is_some_and(|worker| !worker.fenced || worker.answered_ms + IDLE_MS < now_ms);
        match task.phase {
            Phase::Waiting | Phase::Done => Err(None),
            Phase::Assigned(_) => Err(Some(IdleReason::AssignmentUnstored)),
            _ if is_silent => Err(Some(IdleReason::WorkerSilent)),
            Phase::Starting { .. } => Err(Some(IdleReason::StartUnconfirmed)),
            Phase::Stopping { .. } => Err(Some(IdleReason::RunEnding)),
            Phase::Inherited(_) | Phase::Running { .. } | Phase::Ending { .. } => Ok(()),
        }
    }

    /// Returns what a group waits for whose turn has come and of which nothing occupies a worker.
    fn find_waiting_reason(&self, key: GroupKey, now_ms: u64) -> IdleReason {
        let group = &self.jobs[key.job].groups[key.group as usize];
        let mut waiting = group
            .tasks
            .iter()
            .filter(|task| task.phase == Phase::Waiting);
        if group.teardown_since_ms.is_some() {
            IdleReason::RunEnding
        } else if group.reservation.is_some() {
            IdleReason::ReservationPending
        } else if waiting.all(|task| task.not_before_ms > now_ms) {
            IdleReason::Pausing
        } else {
            self.find_room_reason(key, now_ms)
        }
    }

    /// Returns what keeps a group that is ready from the workers that have room for one task.
    fn find_room_reason(&self, key: GroupKey, now_ms: u64) -> IdleReason {
        let need = self.need(key);
        let mut with_room: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                self.is_reachable(worker, now_ms)
                    && self.is_eligible(key, worker)
                    && self.slots_left(key, worker) > 0
                    && need.fits(&worker.free())
            })
            .collect();
        if with_room.is_empty() {
            return IdleReason::NoRoom;
        }
        with_room.retain(|(_, worker)| worker.health.is_trusted(now_ms));
        if with_room.is_empty() {
            return IdleReason::Quarantined;
        }
        if let Some(burst) = self.needs_proven_workers(key, Reach::Usual, now_ms) {
            with_room.retain(|(_, worker)| worker.health.is_proven(burst));
            if with_room.is_empty() {
                return IdleReason::WorkersFailing;
            }
        }
        with_room.retain(|(_, worker)| !self.is_held_by_suspect(worker));
        if with_room.is_empty() {
            return IdleReason::BesideSuspect;
        }
        with_room.retain(|(worker, _)| self.has_ticket(key, *worker, now_ms));
        if with_room.is_empty() {
            return IdleReason::NoTicket;
        }
        let step = self.jobs[key.job].step_of(key.group as usize);
        let rack = step.data_rack.as_ref().map(|rack| self.racks.find(rack));
        let is_on_rack = |rack_of_worker| rack.is_none_or(|rack| Some(rack_of_worker) == rack);
        match with_room.iter().any(|(_, worker)| is_on_rack(worker.rack)) {
            true => IdleReason::Withheld,
            false => IdleReason::OtherRack,
        }
    }
}
