//! Draws times in which one organisation's work holds all accelerators while another hands in what its guarantee covers, and
//! checks the guarantee and the limit on unavailable tasks.

use std::collections::{BTreeMap, BTreeSet};

use platform_standin::{STARTUP_MS, StepSpec, WORKER_ACCELERATORS};
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::callers::Asked;
use crate::check::{Broken, Observed, Run};
use crate::plan::{Fault, FaultKind, LEAD_IN_MS, MOST_ATTEMPTS, PlannedJob, draw_fault};

/// Probability that a play has such a time.
const CLAIMS: f64 = 0.4;

/// Time that the holder has to take all accelerators, in milliseconds.
const TAKE_MS: u64 = 4_000;

/// Time from then until the holder is cancelled, in milliseconds.
const HOLD_MS: u64 = 8_000;

/// Tasks of the holder; more than any site has accelerators.
const HOLDER_TASKS: u64 = 128;

/// How many tasks of a limited holder have to stay at work. The tasks for which there is no room are away in any case.
const MOST_KEPT: (u64, u64) = (24, 40);

/// Members of each gang of the holder.
const HOLDER_MEMBERS: u64 = 4;

/// How long the holder's tasks work; longer than a play.
const HOLDER_RUN_MS: u64 = 600_000;

/// Bounds of the deployments, in milliseconds.
const CONTACT_MS: u64 = 4_000;
const RECLAIM_MS: u64 = 2_900;
const NOTICE_MS: u64 = 5_500;

/// What a job is for in a play about guarantees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// It takes all that it can get, for an organisation without a guarantee.
    Holder {
        /// Whether it is as urgent as the work that the guarantee covers.
        urgent: bool,
        /// How many of its tasks may be unavailable, if they last and are limited.
        most_away: Option<u64>,
        /// Whether its tasks last until it is cancelled.
        lasting: bool,
    },
    /// The guarantee of its organisation covers it.
    Guaranteed,
}

/// Draws such a time, if a play may have one. At most one, so that the guaranteed jobs together stay within the guarantee.
pub(crate) fn draw_claims(
    random: &mut Pcg64,
    kinds: &[FaultKind],
    faults_ms: u64,
) -> (Vec<Fault>, Vec<PlannedJob>) {
    if !kinds.contains(&FaultKind::CapacityTaken) || !random.random_bool(CLAIMS) {
        return (Vec::new(), Vec::new());
    }
    let at_ms = random.random_range(LEAD_IN_MS..=faults_ms.max(LEAD_IN_MS));
    let taken = draw_fault(random, FaultKind::CapacityTaken, at_ms);
    let fault = Fault {
        for_ms: TAKE_MS + HOLD_MS,
        ..taken
    };
    let mut jobs = draw_holders(random, at_ms);
    let mut left = WORKER_ACCELERATORS;
    while left > 0 {
        let count = random.random_range(1..=left);
        left -= count;
        let step = StepSpec {
            count,
            run_ms: random.random_range(500..2_000),
            gang: count > 1 && random.random_bool(0.4),
            failing_runs: 0,
        };
        let at_ms = at_ms + TAKE_MS + random.random_range(0..500);
        jobs.push(draw_job(random, at_ms, step, Claim::Guaranteed));
    }
    (vec![fault], jobs)
}

fn draw_holders(random: &mut Pcg64, at_ms: u64) -> Vec<PlannedJob> {
    let step = |count: u64, gang: bool| StepSpec {
        count,
        run_ms: HOLDER_RUN_MS,
        gang,
        failing_runs: 0,
    };
    let holder = |urgent, lasting, most_away| Claim::Holder {
        urgent,
        most_away,
        lasting,
    };
    let (count, step, claim) = match random.random_range(0..4) {
        0 => (1, step(HOLDER_TASKS, false), holder(true, false, None)),
        1 => (
            HOLDER_TASKS / HOLDER_MEMBERS,
            step(HOLDER_MEMBERS, true),
            holder(true, false, None),
        ),
        2 => (1, step(HOLDER_TASKS, false), holder(true, true, None)),
        _ => {
            let most_away = HOLDER_TASKS - random.random_range(MOST_KEPT.0..=MOST_KEPT.1);
            let claim = holder(random.random_bool(0.5), true, Some(most_away));
            (1, step(HOLDER_TASKS, false), claim)
        }
    };
    (0..count)
        .map(|_| PlannedJob {
            cancel_after_ms: Some(TAKE_MS + HOLD_MS),
            ..draw_job(random, at_ms, step.clone(), claim)
        })
        .collect()
}

fn draw_job(random: &mut Pcg64, at_ms: u64, step: StepSpec, claim: Claim) -> PlannedJob {
    PlannedJob {
        at_ms,
        is_advised: false,
        id: format!("{:016x}", random.random::<u64>()),
        steps: vec![step],
        node: random.random_range(0..1_000),
        attempts: MOST_ATTEMPTS,
        cancel_after_ms: None,
        repeat_after_ms: None,
        cancels_in_doubt: false,
        claim: Some(claim),
    }
}

impl Observed {
    /// Finds guaranteed jobs that did not begin in time, and limited tasks that were stopped though too many others were
    /// away.
    pub(crate) fn check_claims(&self, runs: &BTreeMap<String, Vec<Run>>, broken: &mut Vec<Broken>) {
        for (job, claim) in &self.claims {
            match claim {
                Claim::Guaranteed => broken.extend(self.find_late_start(job, runs)),
                Claim::Holder {
                    most_away: Some(most_away),
                    ..
                } => broken.extend(self.find_stop_beyond_limit(job, *most_away, runs)),
                Claim::Holder { .. } => {}
            }
        }
    }

    fn find_late_start(&self, job: &str, runs: &BTreeMap<String, Vec<Run>>) -> Option<Broken> {
        let mut submits = self.calls.iter().filter(|call| call.job == job);
        let accepted_ms = submits
            .find(|call| call.asked == Asked::Submit && call.is_accepted())?
            .answered_ms;
        let due_ms = accepted_ms + RECLAIM_MS;
        if !self.is_calm_but_configuration(accepted_ms, due_ms) {
            return None;
        }
        if self.is_held_by_limited_work(accepted_ms, runs) {
            return None;
        }
        let count = self.steps.get(job)?.first()?.count;
        let late = (0..count).find(|index| {
            let runs = runs.get(&format!("{job}.0.0.{index}"));
            !runs.is_some_and(|runs| runs.iter().any(|run| run.began_ms <= due_ms))
        })?;
        Some(Broken {
            promise: "a guarantee can be reclaimed",
            subject: job.to_string(),
            detail: format!(
                "task {late} of {count} had not begun {RECLAIM_MS} ms after acceptance"
            ),
        })
    }

    /// Returns whether the limit of a holder may leave no stops that make room for the guarantee.
    fn is_held_by_limited_work(&self, at_ms: u64, runs: &BTreeMap<String, Vec<Run>>) -> bool {
        self.claims.iter().any(|(job, claim)| {
            let Claim::Holder {
                most_away: Some(most_away),
                ..
            } = claim
            else {
                return false;
            };
            let prefix = format!("{job}.");
            let own = runs.iter().filter(|(task, _)| task.starts_with(&prefix));
            let at_work = own.filter(|(_, runs)| is_at_work(runs, at_ms)).count() as u64;
            at_work + most_away < HOLDER_TASKS + WORKER_ACCELERATORS
        })
    }

    /// Returns whether no fault but changes of the configuration was on from `from_ms`, less the time after which contact
    /// counts again, to `until_ms`.
    fn is_calm_but_configuration(&self, from_ms: u64, until_ms: u64) -> bool {
        let from_ms = from_ms.saturating_sub(CONTACT_MS);
        let harmless = [FaultKind::Configuration, FaultKind::KeyWithdrawn].map(|k| k.to_string());
        !self.incidents.iter().any(|incident| {
            incident.from_ms <= until_ms
                && incident.until_ms >= from_ms
                && !harmless
                    .iter()
                    .any(|kind| incident.what.starts_with(kind.as_str()))
        })
    }

    fn find_stop_beyond_limit(
        &self,
        job: &str,
        most_away: u64,
        runs: &BTreeMap<String, Vec<Run>>,
    ) -> Option<Broken> {
        let cancelled_ms = self
            .calls
            .iter()
            .filter(|call| call.job == job && call.asked == Asked::Cancel)
            .map(|call| call.sent_ms)
            .min()
            .unwrap_or(u64::MAX);
        let prefix = format!("{job}.");
        let own: Vec<(&String, &Vec<Run>)> = runs
            .iter()
            .filter(|(task, _)| task.starts_with(&prefix))
            .collect();
        let count = self.steps.get(job)?.first()?.count;
        let unstarted = count.saturating_sub(own.len() as u64);
        let stops: BTreeSet<(u64, &String)> = own
            .iter()
            .flat_map(|(task, runs)| runs.iter().map(move |run| (*task, run)))
            .filter(|(_, run)| run.has_ended("stopped") && run.ended_ms < cancelled_ms)
            .filter(|(_, run)| run.ended_ms > run.began_ms + STARTUP_MS)
            .filter(|(_, run)| self.is_calm(run.ended_ms, run.ended_ms))
            .map(|(task, run)| (run.ended_ms, task))
            .collect();
        stops.into_iter().find_map(|(at_ms, stopped)| {
            let others = own.iter().filter(|(task, _)| *task != stopped);
            let away = others.filter(|(_, runs)| is_away(runs, at_ms)).count() as u64 + unstarted;
            (away >= most_away).then(|| Broken {
                promise: "no more tasks are away than allowed",
                subject: stopped.clone(),
                detail: format!(
                    "it was stopped while {away} others were away, {most_away} are allowed"
                ),
            })
        })
    }
}

/// Returns whether a run of a task has been under way for long enough to be at work.
fn is_at_work(runs: &[Run], at_ms: u64) -> bool {
    runs.iter()
        .any(|run| run.is_on(at_ms) && run.began_ms + STARTUP_MS <= at_ms)
}

/// Returns whether a task counts as away: an order has ended it and it is not at work since, or it has not been at work for
/// the notice time.
fn is_away(runs: &[Run], at_ms: u64) -> bool {
    if is_at_work(runs, at_ms) {
        return false;
    }
    let worked = runs
        .iter()
        .filter(|run| run.began_ms + STARTUP_MS < run.ended_ms.min(at_ms));
    match worked.max_by_key(|run| run.ended_ms.min(at_ms)) {
        None => true,
        Some(last) => last.has_ended("stopped") || last.ended_ms + NOTICE_MS <= at_ms,
    }
}
