//! Workers that join, leave, return or are lost, and members of gangs lost with them.

use model::prelude::*;

use crate::engine::Placement;
use crate::event::{Decision, StopReason, WorkerSpec};
use crate::job::JobKey;
use crate::topology::{WorkerKey, WorkerState};

/// Time without new workers after which the set of workers is assumed to be complete, in
/// milliseconds.
const HARDWARE_SETTLE_MS: u64 = 10_000;

impl Placement {
    pub(crate) fn join_worker(&mut self, spec: WorkerSpec, out: &mut Vec<Decision>) {
        let known = self.topology.find_worker(&spec.name);
        if let Some(key) = known {
            let worker = self.topology.worker(key);
            let state = worker.map(|worker| worker.state);
            if worker.is_some_and(|worker| worker.spec == spec) {
                if state == Some(WorkerState::Lost) {
                    self.make_usable(key);
                }
                return;
            }
            let name = spec.name.clone();
            self.lose_worker(&name, out);
            self.topology.remove_worker(key);
        }
        if let Some(name) = self.topology.occupant(&spec) {
            self.lose_worker(&name, out);
        }
        let key = self.topology.insert_worker(spec);
        self.hardware_settled_ms = self.now_ms + HARDWARE_SETTLE_MS;
        self.make_usable(key);
    }

    pub(crate) fn make_usable(&mut self, key: WorkerKey) {
        self.topology.set_state(key, WorkerState::Healthy);
        self.hardware_changed = true;
        if self.has_shortfall {
            self.recount_shortfall();
        }
        self.unblock_rack(key.rack());
    }

    pub(crate) fn return_worker(&mut self, name: &WorkerName) {
        let Some(key) = self.topology.find_worker(name) else {
            return;
        };
        let state = self.topology.worker(key).map(|worker| worker.state);
        if matches!(state, Some(WorkerState::Leaving | WorkerState::Lost)) {
            self.make_usable(key);
        }
    }

    pub(crate) fn drain_worker(&mut self, name: &WorkerName, out: &mut Vec<Decision>) {
        let Some(key) = self.topology.find_worker(name) else {
            return;
        };
        let state = self.topology.worker(key).map(|worker| worker.state);
        if matches!(state, Some(WorkerState::Lost)) {
            return;
        }
        self.withdraw_worker(key, WorkerState::Leaving);
        for job in self.jobs_on(key) {
            if self.jobs[job].spec.checkpointable {
                self.stop(job, StopReason::WorkerLeaving, out);
            }
        }
    }

    pub(crate) fn lose_worker(&mut self, name: &WorkerName, out: &mut Vec<Decision>) {
        let Some(key) = self.topology.find_worker(name) else {
            return;
        };
        self.withdraw_worker(key, WorkerState::Lost);
        for job in self.jobs_on(key) {
            self.lose_members_on(job, key, out);
        }
    }

    /// Takes a worker out of use; guarantees bound on it can be bound elsewhere.
    pub(crate) fn withdraw_worker(&mut self, key: WorkerKey, state: WorkerState) {
        self.topology.set_state(key, state);
        self.unbind_blocks_on(key);
        self.recount_shortfall();
        let rack = key.rack();
        let gone = key.mask(AcceleratorMask(u8::MAX));
        self.drop_reservations_on(rack, gone);
    }

    /// Returns the jobs that hold accelerators of a worker.
    pub(crate) fn jobs_on(&self, key: WorkerKey) -> Vec<JobKey> {
        let all = key.mask(AcceleratorMask(u8::MAX));
        self.topology.holders(key.rack(), all)
    }

    pub(crate) fn lose_member(&mut self, id: &JobId, worker: &WorkerName, out: &mut Vec<Decision>) {
        let key = self.find_job(id);
        let worker = self.topology.find_worker(worker);
        if let (Some(key), Some(worker)) = (key, worker) {
            self.lose_members_on(key, worker, out);
        }
    }

    /// Handles the loss of the members of a gang on one worker: stops the remaining members, or
    /// ends the run when none remains.
    pub(crate) fn lose_members_on(
        &mut self,
        key: JobKey,
        worker: WorkerKey,
        out: &mut Vec<Decision>,
    ) {
        let job = &mut self.jobs[key];
        if !job.is_holding() {
            return;
        }
        if !job.lost_on.contains(&worker) {
            job.lost_on.push(worker);
        }
        let mut members = job.members.iter();
        if members.any(|held| !job.lost_on.contains(&held.worker)) {
            self.stop(key, StopReason::MemberLost, out);
        } else {
            self.end_run(key, out);
        }
    }
}
