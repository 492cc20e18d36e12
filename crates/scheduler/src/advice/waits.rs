//! The steps that wait for advice, and those whose turn comes soon.

use super::sizing::{LONGEST_SHORT_QUERY_MS, QueryTurn, most_workers, usable_ms};
use crate::configuration::Advice;
use crate::group::{GroupKey, JobKey, Phase, TaskKey};
use crate::planner::Planner;

/// The longest time before its turn at which a step is asked about; its tasks are held in memory from then on.
const MAX_LEAD_MS: u64 = 10_000;

/// A group that may need advice.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AdviceWait {
    pub group: GroupKey,
    /// Whether its turn has come; otherwise it is expected soon.
    pub is_ready: bool,
    pub turn: QueryTurn,
}

impl Planner {
    /// Returns the wait of a group whose turn has come and that was not placed completely; none if its queue has no advice
    /// policy.
    pub(crate) fn wait_for_advice(&self, group: GroupKey, now_ms: u64) -> Option<AdviceWait> {
        let job = self.jobs.get(group.job)?;
        job.stored.advice?;
        let state = &job.groups[group.group as usize];
        let waits = state.tasks.iter().any(|task| task.phase == Phase::Waiting);
        let since_ms = now_ms.saturating_sub(state.waited_ms(now_ms));
        let is_idle =
            job.step_of(group.group as usize).lasting || self.may_be_idle(group.job, now_ms);
        waits.then_some(AdviceWait {
            group,
            is_ready: true,
            turn: QueryTurn {
                since_ms,
                asked_ms: state.tickets.asked_ms,
                is_urgent: job.stored.priority == 0,
                is_idle,
            },
        })
    }

    /// Returns how long before its turn a step of a job is asked about; 0 if its queue has no advice policy.
    pub(crate) fn advice_lead_ms(&self, job: JobKey) -> u64 {
        self.advice_of(&self.jobs[job])
            .map_or(0, |advice| lead_ms(&advice))
    }

    /// Returns the groups whose turn comes soon: the steps before them end, or their time comes, while a query about them
    /// takes.
    pub(super) fn list_coming_groups(&self, now_ms: u64) -> Vec<AdviceWait> {
        let mut coming = Vec::new();
        for (key, job) in &self.jobs {
            let Some(advice) = self.advice_of(job).filter(|_| !job.state.is_final()) else {
                continue;
            };
            let lead_ms = lead_ms(&advice);
            for index in 0..job.groups.len() {
                let state = &job.groups[index];
                let waits = state.tasks.iter().all(|task| task.phase == Phase::Waiting);
                if state.ready_ms.is_some() || !waits {
                    continue;
                }
                let Some(ready_ms) = self.expect_ready_ms(key, index, now_ms) else {
                    continue;
                };
                if ready_ms > now_ms.saturating_add(lead_ms) {
                    continue;
                }
                coming.push(AdviceWait {
                    group: GroupKey {
                        job: key,
                        group: index as u32,
                    },
                    is_ready: false,
                    turn: QueryTurn {
                        since_ms: ready_ms,
                        asked_ms: state.tickets.asked_ms,
                        is_urgent: job.stored.priority == 0,
                        is_idle: true,
                    },
                });
            }
        }
        coming
    }

    /// Returns when the turn of a group is expected to come; none if a step before it has not started completely, or it is
    /// not known when that ends.
    fn expect_ready_ms(&self, job_key: JobKey, index: usize, now_ms: u64) -> Option<u64> {
        let job = &self.jobs[job_key];
        let due_unix_ms = job
            .stored
            .request
            .timing
            .due_unix_ms(job.groups[index].occurrence);
        let mut ready_ms = due_unix_ms.saturating_sub(self.unix_ahead_ms).max(now_ms);
        for step in &job.step_of(index).after {
            let Some(before) = job.find_group(job.groups[index].occurrence, *step) else {
                continue;
            };
            for (task, state) in (0..).zip(&job.groups[before].tasks) {
                if state.is_done() {
                    continue;
                }
                state.phase.worker()?;
                let key = TaskKey {
                    group: GroupKey {
                        job: job_key,
                        group: before as u32,
                    },
                    index: task,
                };
                ready_ms = ready_ms.max(self.expected_end_ms(key, now_ms)?);
            }
        }
        Some(ready_ms)
    }
}

/// Returns how long before its turn a step is asked about: for as long as a query and the one in front of it take, but so
/// that its tickets still hold.
fn lead_ms(advice: &Advice) -> u64 {
    let query_ms = advice.query_ms(most_workers(advice));
    let valid_ms = usable_ms(advice.valid_ms);
    query_ms
        .saturating_add(LONGEST_SHORT_QUERY_MS.min(valid_ms / 2))
        .min(MAX_LEAD_MS)
}
