//! Assembles gangs from the inventories that a take-over collects from the workers.

use std::collections::{BTreeMap, BTreeSet};

use model::prelude::*;

use super::gang::{Gang, Phase, StopCause};
use super::lease_id::StartId;
use super::member::{Member, Step};

/// Identifies one start of a job.
pub(super) type FoundKey = (JobId, StartId);

/// Members of one start that have been found so far.
#[derive(Debug, Clone)]
pub(super) struct FoundGang {
    spec: JobSpec,
    size: u32,
    members: BTreeMap<u32, Member>,
    run_ms: u64,
    /// Earliest time at which its first member may have been released.
    release_ms: u64,
}

/// Ended tasks that workers still list, by member.
pub(super) type EndedMembers = BTreeMap<u32, (WorkerName, EndedTask)>;

/// Starts that have been found and are neither adopted nor reported yet.
#[derive(Debug, Clone, Default)]
pub(super) struct FoundGangs {
    gangs: BTreeMap<FoundKey, FoundGang>,
    ended: BTreeMap<FoundKey, EndedMembers>,
    /// Starts that have changed since the complete ones were last removed.
    touched: BTreeSet<FoundKey>,
}

impl FoundGangs {
    /// Adds an inventory that was queried at `queried_ms` and arrived at `now_ms`.
    pub fn merge(
        &mut self,
        queried_ms: u64,
        now_ms: u64,
        worker: &WorkerName,
        inventory: Inventory,
    ) {
        for view in inventory.leases {
            let key = (view.job.clone(), StartId::of_lease(view.lease));
            let gang = self.gangs.entry(key.clone()).or_insert_with(|| FoundGang {
                spec: view.spec.clone(),
                size: view.members,
                members: BTreeMap::new(),
                run_ms: 0,
                release_ms: now_ms,
            });
            gang.run_ms = gang.run_ms.max(view.run_ms);
            if matches!(view.state, LeaseState::Running | LeaseState::Stopping) {
                gang.release_ms = gang.release_ms.min(queried_ms.saturating_sub(view.run_ms));
            }
            let member = build_member(queried_ms, now_ms, worker, &view);
            gang.members.insert(view.member, member);
            self.touched.insert(key);
        }
        for task in inventory.ended {
            let key = (task.job.clone(), StartId::of_lease(task.lease));
            let members = self.ended.entry(key.clone()).or_default();
            members.insert(task.member, (worker.clone(), task));
            self.touched.insert(key);
        }
    }

    /// Removes and returns the starts of which all members were found.
    pub fn take_all_complete(&mut self) -> Vec<(FoundKey, FoundGang)> {
        let touched = std::mem::take(&mut self.touched);
        let complete = touched.into_iter().filter_map(|key| {
            let gang = self.take_complete(&key)?;
            Some((key, gang))
        });
        complete.collect()
    }

    fn take_complete(&mut self, key: &FoundKey) -> Option<FoundGang> {
        let gang = self.gangs.get(key)?;
        let ended = self.ended.get(key);
        let is_found = |index: u32| {
            let has_ended = ended.is_some_and(|e| e.contains_key(&index));
            gang.members.contains_key(&index) || has_ended
        };
        if !(0..gang.size).all(is_found) {
            return None;
        }
        self.take(key)
    }

    /// Removes and returns a start with all its members that were found.
    pub fn take(&mut self, key: &FoundKey) -> Option<FoundGang> {
        let mut gang = self.gangs.remove(key)?;
        for (index, (worker, task)) in self.ended.remove(key).unwrap_or_default() {
            let member = gang
                .members
                .entry(index)
                .or_insert_with(|| Member::new(worker, AcceleratorMask::default(), task.lease));
            if member.gone_from_ms == 0 {
                member.step = Step::Ended(Some(task.end));
            }
        }
        Some(gang)
    }

    /// Returns the starts of which a member is missing, each with the time until which all its
    /// leases that were found are certainly in force.
    pub fn incomplete(&self) -> Vec<(FoundKey, u64)> {
        let in_force_ms =
            |gang: &FoundGang| gang.members.values().map(|m| m.in_force_until_ms).min();
        self.gangs
            .iter()
            .map(|(key, gang)| (key.clone(), in_force_ms(gang).unwrap_or(0)))
            .collect()
    }

    /// Removes and returns the starts of which only ended tasks were found.
    pub fn take_ended(&mut self) -> BTreeMap<FoundKey, EndedMembers> {
        let gangs = &self.gangs;
        let (rest, ended) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|(key, _)| gangs.contains_key(key));
        self.ended = rest;
        ended
    }

    /// Returns whether a lease of the job was found.
    pub fn has_job(&self, job: &JobId) -> bool {
        self.gangs.keys().any(|(found, _)| found == job)
    }
}

impl FoundGang {
    /// Returns how long its longest-running member has run.
    pub const fn run_ms(&self) -> u64 {
        self.run_ms
    }

    /// Converts it to a gang in the phase that follows from its members' states.
    pub fn into_gang(self, key: &FoundKey) -> Gang {
        let complete = self.members.len() == self.size as usize;
        let members: Vec<Member> = self.members.into_values().collect();
        let (phase, cause) = infer_phase(&members, complete);
        let mut gang = Gang::new(key.0.clone(), self.spec, key.1, members, phase);
        gang.released = phase != Phase::Reserving && may_have_run(&gang.members, complete);
        gang.cause = cause;
        gang.release_ms = self.release_ms;
        gang
    }
}

fn build_member(queried_ms: u64, now_ms: u64, worker: &WorkerName, view: &LeaseView) -> Member {
    let mut member = Member::new(worker.clone(), view.accelerators, view.lease);
    member.step = Step::from(view.state);
    member.in_force_until_ms = queried_ms + view.remaining_ms;
    member.gone_from_ms = now_ms + view.remaining_ms;
    member.confirmed_ms = queried_ms;
    member.checkpoint_permille = view.checkpoint_permille;
    member
}

/// Infers the phase of a gang from its members, and the cause if it has to be stopped.
fn infer_phase(members: &[Member], complete: bool) -> (Phase, Option<StopCause>) {
    let with = |step: Step| members.iter().any(|m| m.step == step);
    let failed = Step::Ended(Some(TaskEnd::Failed));
    let broken = |m: &&Member| {
        let finished = Step::Ended(Some(TaskEnd::Finished));
        m.is_over() && m.step != finished && m.step != failed
    };
    if let Some(member) = members.iter().find(|m| m.step == failed) {
        return (
            Phase::Stopping,
            Some(StopCause::Failed(member.worker.clone())),
        );
    }
    if let Some(member) = members.iter().find(broken) {
        let worker = Some(member.worker.clone());
        return (Phase::Stopping, Some(StopCause::Lost(worker)));
    }
    if !complete {
        return (Phase::Stopping, Some(StopCause::Lost(None)));
    }
    if with(Step::Stopping) {
        return (Phase::Stopping, Some(StopCause::Requested));
    }
    let finished = with(Step::Ended(Some(TaskEnd::Finished)));
    let running = with(Step::Running) || finished;
    match (running, with(Step::Prepared), with(Step::Reserved)) {
        (true, false, false) => (Phase::Running, None),
        (true, true, false) => (Phase::Releasing, None),
        (false, _, _) => (Phase::Reserving, None),
        (true, _, true) => (Phase::Stopping, Some(StopCause::Lost(None))),
    }
}

/// Returns whether a member may have run.
///
/// None is released before all are prepared, so none has run while one is only reserved.
fn may_have_run(members: &[Member], complete: bool) -> bool {
    let reserved = members.iter().any(|m| m.step == Step::Reserved);
    let idle = |m: &Member| matches!(m.step, Step::Reserved | Step::Prepared);
    let all_idle = complete && members.iter().all(idle);
    let none_ran = reserved && members.iter().all(idle);
    !(none_ran || all_idle)
}
