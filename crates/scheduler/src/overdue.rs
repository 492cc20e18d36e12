//! Decides which work has waited so long that it starts wherever there is room: capacity withheld for urgent work, the
//! headroom, other racks than that of its data, and quarantined workers if no other has room.

use std::collections::BTreeMap;

use crate::group::{GroupKey, JobKey, Phase};
use crate::planner::Planner;
use crate::spec::Resources;
use crate::worker::Worker;

/// How long work waits for capacity other than that withheld for urgent work, for its rack, and for a worker that is not
/// quarantined. The platform lets it have nothing running for 3 s while there is room; half of that is reserved for storing
/// and delivering the start.
const LONGEST_IDLE_WAIT_MS: u64 = 1_500;

/// The same for work that may have waited at an earlier planner for as long: the rest of the 3 s without that wait, and
/// without 1 s for the change of planners and for delivering the start. The workers that are up have answered by then.
const LONGEST_INHERITED_WAIT_MS: u64 = 500;

/// Where a group may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Where it keeps nothing from others and runs well.
    Usual,
    /// Wherever there is room that is not reserved for a preemption.
    Anywhere,
}

/// What a planning pass has found out about services and jobs, each once.
#[derive(Debug, Default)]
pub(crate) struct IdleWork {
    half_used: BTreeMap<String, bool>,
    idle: BTreeMap<JobKey, bool>,
}

impl IdleWork {
    /// Records that a task of a job was placed.
    pub fn record_placed(&mut self, job: JobKey) {
        self.idle.insert(job, false);
    }
}

impl Planner {
    /// Returns how many tasks of a group have to start wherever there is room: all that wait if they last or are a gang, one
    /// if nothing else of the job runs, which is enough to make progress.
    pub(crate) fn count_overdue(
        &self,
        group: GroupKey,
        idle_work: &mut IdleWork,
        now_ms: u64,
    ) -> usize {
        let job = &self.jobs[group.job];
        let group_state = &job.groups[group.group as usize];
        let step = job.step_of(group.group as usize);
        let longest_wait_ms = match group_state.waits_since_before(job.known_ms) {
            true => LONGEST_INHERITED_WAIT_MS,
            false => LONGEST_IDLE_WAIT_MS,
        };
        if group_state.waited_ms(now_ms) < longest_wait_ms {
            return 0;
        }
        if step.lasting {
            return usize::MAX;
        }
        let service = &job.stored.service;
        // The platform asks for this only once no work has come for long. Until then, urgent work needs its headroom.
        if self.urgent.came_lately(service, now_ms) {
            return 0;
        }
        let half_used = match idle_work.half_used.get(service) {
            Some(half_used) => *half_used,
            None => {
                let half_used = self.is_service_half_used(service, now_ms);
                idle_work.half_used.insert(service.clone(), half_used);
                half_used
            }
        };
        let idle = idle_work.idle.entry(group.job);
        if half_used || !*idle.or_insert_with(|| self.may_be_idle(group.job, now_ms)) {
            return 0;
        }
        match step.gang {
            true => usize::MAX,
            false => 1,
        }
    }

    /// Returns whether at least half of each resource of a service is in use. The platform does not say which resource
    /// counts, or how they are weighed: by any of these, the service is half used if all of its resources are.
    fn is_service_half_used(&self, service: &str, now_ms: u64) -> bool {
        let capacity = self.service_capacity(service);
        let workers = self.workers.values();
        let used = workers
            .filter(|w| w.listed && w.entry.service == service && self.has_answered(w, now_ms))
            .fold(Resources::default(), |sum, w| sum + w.used);
        used.cpu_millis * 2 >= capacity.cpu_millis
            && used.memory_mb * 2 >= capacity.memory_mb
            && used.accelerators * 2 >= capacity.accelerators
    }

    /// Returns whether it is uncertain that a task of a job runs or is about to.
    pub(crate) fn may_be_idle(&self, key: JobKey, now_ms: u64) -> bool {
        let mut tasks = self.jobs[key].groups.iter().flat_map(|group| &group.tasks);
        !tasks.any(|task| match task.phase {
            Phase::Assigned(worker)
            | Phase::Running { worker, .. }
            | Phase::Starting {
                worker,
                unanswered: false,
            } => self
                .workers
                .get(worker)
                .is_some_and(|worker| self.has_answered(worker, now_ms)),
            _ => false,
        })
    }

    /// Returns whether a worker has answered lately.
    pub(crate) fn has_answered(&self, worker: &Worker, now_ms: u64) -> bool {
        worker.fenced
            && !worker.unresponsive
            && worker.answered_ms + self.limits.unresponsive_ms >= now_ms
    }
}
