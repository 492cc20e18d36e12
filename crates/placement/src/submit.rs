//! Handling of declarations, submissions and adopted jobs.

use model::prelude::*;

use crate::engine::Placement;
use crate::estimate::estimate_from_declared;
use crate::event::{Decision, PlacedMember, StopReason};
use crate::fit::{Allocation, Need};
use crate::job::{Job, JobKey, Phase};

impl Placement {
    pub(crate) fn declare(
        &mut self,
        data_centre: DataCentreName,
        organisations: &[OrganisationSpec],
        classes: &[ClassSpec],
        out: &mut Vec<Decision>,
    ) {
        let guarantees = self.config.guarantees;
        let allows_less = self
            .registry
            .declare(&data_centre, organisations, classes, guarantees);
        self.data_centre = Some(data_centre);
        self.recount_shortfall();
        if allows_less {
            self.refuse_undeclared(out);
        }
        self.hardware_changed = true;
        self.claim_ready.extend(self.registry.organisation_keys());
        self.queue.unblock_all();
    }

    /// Refuses the waiting jobs that the declarations no longer allow; jobs of suspended
    /// organisations keep waiting.
    pub(crate) fn refuse_undeclared(&mut self, out: &mut Vec<Decision>) {
        let waiting = self.jobs.iter().filter(|(_, job)| job.is_waiting());
        let undeclared: Vec<_> = waiting
            .filter_map(|(key, job)| Some((key, self.check_declared(&job.spec).err()?)))
            .filter(|(_, (reason, _))| *reason != RefusalReason::Suspended)
            .collect();
        for (key, (reason, detail)) in undeclared {
            self.refuse_waiting(key, reason, detail, out);
        }
    }

    /// Refuses a waiting job, or fails it if it has run before.
    pub(crate) fn refuse_waiting(
        &mut self,
        key: JobKey,
        reason: RefusalReason,
        detail: String,
        out: &mut Vec<Decision>,
    ) {
        self.leave_queue(key);
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let id = job.id.clone();
        out.push(if job.has_run {
            Decision::Fail { job: id, detail }
        } else {
            Decision::Refuse {
                job: id,
                reason,
                detail,
            }
        });
        self.end(key, JobState::Failed);
    }

    /// Checks a submission against the declarations; returns what its gang needs.
    ///
    /// # Errors
    ///
    /// Returns why the declarations do not allow it.
    pub(crate) fn check_declared(&self, spec: &JobSpec) -> Result<Need, (RefusalReason, String)> {
        let name = &spec.organisation;
        let organisation = self.registry.find_organisation(name);
        let organisation = organisation
            .map(|key| self.registry.organisation(key))
            .ok_or_else(|| {
                let detail = format!("organisation {name} is not declared");
                (RefusalReason::UnknownOrganisation, detail)
            })?;
        if organisation.suspended {
            let detail = format!("organisation {name} is suspended");
            return Err((RefusalReason::Suspended, detail));
        }
        let class = self.registry.find_class(&spec.class);
        if !class.is_some_and(|class| organisation.classes.contains(&class)) {
            let detail = format!("class {} is not declared for {name}", spec.class);
            return Err((RefusalReason::UnknownClass, detail));
        }
        let need = Need::of_gang(spec.gang).ok_or_else(|| {
            let detail = format!(
                "{} accelerators do not fit on one worker",
                spec.gang.accelerators()
            );
            (RefusalReason::ImpossibleShape, detail)
        })?;
        let quota = organisation.quota_accelerators;
        if need.accelerators() > quota {
            let detail = format!(
                "the gang needs {} accelerators, the quota of {name} is {quota}",
                need.accelerators()
            );
            return Err((RefusalReason::QuotaUsed, detail));
        }
        Ok(need)
    }

    /// Checks whether the known hardware could hold `need` if it were free.
    ///
    /// # Errors
    ///
    /// Returns the explanation for the caller.
    pub(crate) fn check_hardware(&self, need: &Need) -> Result<(), String> {
        if need.fits_hardware(&self.topology) {
            return Ok(());
        }
        let place = match (need.units, need.one_rack) {
            (1, _) => "no worker",
            (_, true) => "no rack",
            (_, false) => "no set of workers",
        };
        Err(format!(
            "{place} of this data centre has {} times {} adjacent accelerators",
            need.units, need.accelerators_per_unit
        ))
    }

    /// Returns whether the set of workers is assumed to be complete.
    pub(crate) const fn is_hardware_settled(&self) -> bool {
        !self.topology.racks.is_empty() && self.now_ms >= self.hardware_settled_ms
    }

    pub(crate) fn submit(&mut self, id: JobId, spec: JobSpec, out: &mut Vec<Decision>) {
        if self.job_keys.contains_key(&id) {
            return;
        }
        let checked = if self.data_centre.is_none() {
            let detail = "there are no declarations yet".to_owned();
            Err((RefusalReason::NotReady, detail))
        } else {
            self.check_declared(&spec)
        };
        let checked = checked.and_then(|need| {
            if !self.is_hardware_settled() {
                self.hardware_changed = true;
                return Ok(need);
            }
            match self.check_hardware(&need) {
                Ok(()) => Ok(need),
                Err(detail) => Err((RefusalReason::ImpossibleShape, detail)),
            }
        });
        match checked {
            Ok(need) => {
                let key = self.insert_job(id, spec, need);
                self.requeue(key);
            }
            Err((reason, detail)) => out.push(Decision::Refuse {
                job: id,
                reason,
                detail,
            }),
        }
    }

    pub(crate) fn insert_job(&mut self, id: JobId, spec: JobSpec, need: Need) -> JobKey {
        let organisation = self.registry.intern_organisation(&spec.organisation);
        let class = self.registry.intern_class(&spec.class);
        let job = Job {
            id: id.clone(),
            organisation,
            class,
            need,
            phase: Phase::Waiting { not_before_ms: 0 },
            submitted_ms: self.now_ms,
            started_ms: 0,
            waited_ms: 0,
            waiting_since_ms: self.now_ms,
            rank_ms: 0,
            urgency: Urgency::Normal,
            estimate: estimate_from_declared(spec.run_ms_declared),
            members: Vec::new(),
            blocks: Vec::new(),
            checkpoint_permille: 0,
            resumed_permille: 0,
            checkpoint_ms: self.now_ms,
            has_run: false,
            failed_on: Vec::new(),
            failures: 0,
            failed_starts: 0,
            preemptions: 0,
            lost_on: Vec::new(),
            cancelled: false,
            spec,
        };
        let key = self.jobs.insert(job);
        self.job_keys.insert(id, key);
        key
    }

    pub(crate) fn adopt(
        &mut self,
        id: JobId,
        spec: JobSpec,
        members: &[PlacedMember],
        run_ms: u64,
        out: &mut Vec<Decision>,
    ) {
        let known = self.find_job(&id);
        if known.is_some_and(|key| !self.jobs[key].is_waiting()) {
            return;
        }
        let Some(need) = Need::of_gang(spec.gang) else {
            return;
        };
        let key = match known {
            Some(key) => {
                self.leave_queue(key);
                key
            }
            None => self.insert_job(id, spec, need),
        };
        let wanted = members.iter().filter_map(|member| {
            let worker = self.topology.find_worker(&member.worker)?;
            let held = Allocation {
                worker,
                accelerators: member.accelerators,
            };
            let rack = self.topology.rack(worker.rack());
            (rack.used & held.mask() == 0).then_some(held)
        });
        let held: Vec<Allocation> = wanted.collect();
        let is_whole = held.len() == members.len();
        let is_claimed = held.iter().any(|held| {
            let rack = self.topology.rack(held.worker.rack());
            rack.claimed & held.mask() != 0
        });
        let started_ms = self.now_ms.saturating_sub(run_ms);
        let job = &mut self.jobs[key];
        job.members = held;
        job.phase = Phase::Running;
        job.has_run = true;
        job.started_ms = started_ms;
        job.checkpoint_ms = started_ms;
        self.charge(key, true);
        self.hold_members(key);
        if !is_whole {
            self.stop(key, StopReason::MemberLost, out);
        } else if is_claimed {
            self.stop(key, StopReason::Reclaimed, out);
        } else if !self.promote(key) {
            self.promotable.push(key);
        }
    }
}
