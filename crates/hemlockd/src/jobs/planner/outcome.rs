//! Applies decisions of placement to the gangs, and outputs of the gangs to placement and the job
//! records.

use dispatch::gangs::GangOutput;
use model::prelude::*;
use placement::{Decision, Event, PlacedMember};

use super::{Effect, Planner};

impl Planner {
    /// Applies a decision of placement.
    pub(super) fn apply_decision(&mut self, now_ms: u64, decision: Decision) {
        match decision {
            Decision::Start { job, members } => self.start(now_ms, job, members),
            Decision::Stop { job, grace_ms, why } => {
                log::info!(target: "jobs", "Stopping job {job} ({why:?}).");
                self.gangs.stop(now_ms, &job, grace_ms);
            }
            Decision::Refuse {
                job,
                reason,
                detail,
            } => {
                self.update_record(now_ms, &job, JobState::Failed, detail.clone());
                self.refusals.insert(job, (reason, detail));
            }
            Decision::Fail { job, detail } => {
                self.update_record(now_ms, &job, JobState::Failed, detail)
            }
            Decision::Quarantine { worker, .. } => {
                log::warn!(target: "jobs", "Worker {worker} is quarantined.");
            }
            Decision::Release { worker } => {
                log::info!(target: "jobs", "Worker {worker} is released from quarantine.");
            }
            Decision::Shortfall {
                organisation,
                level,
                missing,
            } => {
                self.effects.push(Effect::Count("guarantees.shortfalls"));
                log::error!(
                    target: "jobs",
                    "{missing} guaranteed blocks of {level} of {organisation} have no healthy \
                     hardware."
                );
            }
            Decision::ShortfallEnded {
                organisation,
                level,
            } => {
                log::info!(
                    target: "jobs",
                    "The guaranteed blocks of {level} of {organisation} are covered again."
                );
            }
        }
    }

    /// Starts a gang.
    pub(super) fn start(&mut self, now_ms: u64, job: JobId, members: Vec<PlacedMember>) {
        let Some(spec) = self.records.get(&job).map(|record| record.spec.clone()) else {
            return;
        };
        if spec.ticket.is_some() {
            self.update_state(now_ms, &job, JobState::Starting);
        }
        let members = members
            .into_iter()
            .map(|m| (m.worker, m.accelerators))
            .collect();
        self.gangs.start(now_ms, job, spec, members);
    }

    /// Handles an output of the gangs.
    pub(super) fn handle_gang_output(&mut self, now_ms: u64, output: GangOutput) {
        match output {
            GangOutput::Call {
                call,
                worker,
                commands,
            } => {
                self.effects.push(Effect::Leases {
                    call,
                    worker,
                    commands,
                });
            }
            GangOutput::AskInventory { worker } => {
                self.effects.push(Effect::Inventory { worker });
            }
            GangOutput::Started { job } => {
                self.effects.push(Effect::Count("gangs.started"));
                self.update_state(now_ms, &job, JobState::Running);
                self.apply(now_ms, Event::Started { job });
            }
            GangOutput::StartFailed {
                job,
                worker,
                reason,
            } => {
                log::info!(target: "jobs", "The start of job {job} failed ({reason}).");
                self.effects.push(Effect::Count("gangs.start_failed"));
                self.update_state(now_ms, &job, JobState::Waiting);
                self.apply(
                    now_ms,
                    Event::StartFailed {
                        job: job.clone(),
                        worker,
                    },
                );
                self.end_if_final(now_ms, &job);
            }
            GangOutput::MemberLost { job, worker } => {
                self.effects.push(Effect::Count("gangs.members_lost"));
                self.apply(now_ms, Event::MemberLost { job, worker });
            }
            GangOutput::Stopped {
                job,
                checkpoint_permille,
            } => {
                self.handle_stopped(now_ms, job, checkpoint_permille);
            }
            GangOutput::Finished { job } => {
                self.apply(now_ms, Event::Finished { job: job.clone() });
                self.update_record(now_ms, &job, JobState::Finished, String::new());
            }
            GangOutput::Failed { job, worker } => {
                self.apply(
                    now_ms,
                    Event::Failed {
                        job: job.clone(),
                        worker: Some(worker),
                    },
                );
                self.end_if_final(now_ms, &job);
            }
            GangOutput::Adopted {
                job,
                spec,
                members,
                run_ms,
            } => {
                self.adopt(now_ms, job, spec, members, run_ms);
            }
            GangOutput::Partial { job, spec, members } => {
                // Placement keeps the accelerators reserved until the other members have stopped.
                self.adopt(now_ms, job, spec, members, 0);
            }
            GangOutput::FoundFinished { job, members } => {
                self.found_finished(now_ms, &job, members)
            }
            GangOutput::OldTerm { .. } => {
                self.effects.push(Effect::Count("leases.old_term"));
                self.has_stepped_down = true;
            }
            GangOutput::TakeOverDone => self.can_start = true,
            GangOutput::Settled => self.is_reconciled = true,
        }
    }

    /// Handles the stop of all members of a job before its end.
    pub(super) fn handle_stopped(&mut self, now_ms: u64, job: JobId, checkpoint_permille: u32) {
        self.update_state(now_ms, &job, JobState::Waiting);
        self.apply(
            now_ms,
            Event::Stopped {
                job: job.clone(),
                checkpoint_permille,
            },
        );
        self.end_if_final(now_ms, &job);
    }

    /// Records the end of a job that placement has ended.
    pub(super) fn end_if_final(&mut self, now_ms: u64, job: &JobId) {
        let Some(row) = self.placement.job(job).filter(|row| row.state.is_final()) else {
            return;
        };
        let (state, why) = (row.state, row.why);
        self.update_record(now_ms, job, state, why);
    }
}
