//! Checks the promises by what callers, workers and the store saw, not by the system's own state.

use std::collections::{BTreeMap, HashMap, HashSet};

use platform_standin::{AdvicePolicy, Note, Reply, StepSpec, WorkerEvent};

use crate::callers::{Asked, CallRecord, Confirmed};
use crate::claims::Claim;
use crate::site::Incident;

/// Two runs of a task at the same time count from this time on.
const OVERLAP_MS: u64 = 20;

/// A start counts as after a job was shown as completed from this time on.
const SHOWN_SLACK_MS: u64 = 1_000;

/// Bounds of the deployments, in milliseconds.
const CONTACT_MS: u64 = 4_000;
const DRAIN_MS: u64 = 2_500;
const VISIBLE_MS: u64 = 3_000;
const CANCEL_MS: u64 = 3_000;
const ROLLBACK_SLACK_MS: u64 = 250;
const REVOKE_MS: u64 = 5_000;
const GANG_TIMEOUT_MS: u64 = 3_000;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// The promise.
    pub promise: &'static str,
    /// The task or job, if it is about one.
    pub subject: String,
    /// What was seen.
    pub detail: String,
}

/// All that was seen of a play.
#[derive(Debug, Default)]
pub struct Observed {
    /// What the workers noted, by time.
    pub notes: Vec<Note>,
    /// What callers saw.
    pub calls: Vec<CallRecord>,
    /// The steps of each job that callers have; each step comes after the one before it.
    pub steps: BTreeMap<String, Vec<StepSpec>>,
    /// What jobs are for in a play about guarantees.
    pub claims: BTreeMap<String, Claim>,
    /// The policies of the jobs whose queue has one.
    pub advised: BTreeMap<String, AdvicePolicy>,
    /// The versions of the configuration.
    pub confirmed: Vec<Confirmed>,
    /// The faults as carried out.
    pub incidents: Vec<Incident>,
    /// Processes that ended by themselves.
    pub own_ends: Vec<String>,
    /// When the play ended.
    pub end_ms: u64,
}

/// A run as its worker saw it.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) run: u64,
    pub(crate) worker: String,
    incarnation: u64,
    late: bool,
    pub(crate) began_ms: u64,
    pub(crate) ended_ms: u64,
    /// The number of its end, and how it ended.
    end: Option<(u64, String)>,
}

impl Run {
    /// Returns whether it is under way at `at_ms`.
    pub(crate) fn is_on(&self, at_ms: u64) -> bool {
        (self.began_ms..self.ended_ms).contains(&at_ms)
    }

    /// Returns whether it has ended as done by `at_ms`.
    pub(crate) fn is_done_by(&self, at_ms: u64) -> bool {
        self.ended_ms <= at_ms && self.has_ended("done")
    }

    /// Returns whether its end was listed as failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.has_ended("failed")
    }

    pub(crate) fn has_ended(&self, how: &str) -> bool {
        self.end.as_ref().is_some_and(|(_, known)| known == how)
    }
}

/// Returns how many runs each worker has that have not ended.
pub(crate) fn open_runs(notes: &[Note]) -> HashMap<String, usize> {
    let mut open: HashMap<String, HashSet<(u64, &str, u64)>> = HashMap::new();
    for note in notes {
        let runs = open.entry(note.worker.clone()).or_default();
        match &note.event {
            WorkerEvent::Start { task, run, .. } => {
                runs.insert((note.incarnation, task, *run));
            }
            WorkerEvent::End { task, run, .. } => {
                runs.remove(&(note.incarnation, task.as_str(), *run));
            }
            WorkerEvent::Killed => runs.clear(),
            _ => {}
        }
    }
    open.into_iter()
        .map(|(worker, runs)| (worker, runs.len()))
        .collect()
}

/// Returns all runs by task, in the order of their starts.
fn collect_runs(observed: &Observed) -> BTreeMap<String, Vec<Run>> {
    let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    let mut killed: HashMap<&str, Vec<(u64, u64)>> = HashMap::new();
    for note in &observed.notes {
        if note.event == WorkerEvent::Killed {
            // The incarnation that is killed is the last that had begun.
            let incarnation = observed
                .notes
                .iter()
                .filter(|n| n.worker == note.worker && n.at_ms <= note.at_ms && n.incarnation > 0)
                .map(|n| n.incarnation)
                .max();
            let kills = killed.entry(&note.worker).or_default();
            kills.push((incarnation.unwrap_or(0), note.at_ms));
        }
    }
    for note in &observed.notes {
        match &note.event {
            WorkerEvent::Start {
                task, run, late, ..
            } => {
                let end_ms = killed
                    .get(note.worker.as_str())
                    .into_iter()
                    .flatten()
                    .find(|(incarnation, _)| *incarnation == note.incarnation)
                    .map_or(observed.end_ms, |(_, at_ms)| *at_ms);
                runs.entry(task.clone()).or_default().push(Run {
                    run: *run,
                    worker: note.worker.clone(),
                    incarnation: note.incarnation,
                    late: *late,
                    began_ms: note.at_ms,
                    ended_ms: end_ms.max(note.at_ms),
                    end: None,
                });
            }
            WorkerEvent::End {
                task,
                run,
                number,
                how,
            } => {
                let open = runs.get_mut(task).into_iter().flatten().find(|r| {
                    r.run == *run
                        && r.incarnation == note.incarnation
                        && r.worker == note.worker
                        && r.end.is_none()
                });
                if let Some(open) = open {
                    open.ended_ms = open.ended_ms.min(note.at_ms);
                    open.end = Some((*number, how.clone()));
                }
            }
            _ => {}
        }
    }
    runs
}

impl Observed {
    /// Returns whether no fault was on from `from_ms`, less the time after which contact counts again, to `until_ms`.
    pub(crate) fn is_calm(&self, from_ms: u64, until_ms: u64) -> bool {
        let from_ms = from_ms.saturating_sub(CONTACT_MS);
        !self
            .incidents
            .iter()
            .any(|incident| incident.from_ms <= until_ms && incident.until_ms >= from_ms)
    }

    /// Returns the number of starts.
    pub(crate) fn starts(&self) -> usize {
        let is_start = |note: &&Note| matches!(note.event, WorkerEvent::Start { .. });
        self.notes.iter().filter(is_start).count()
    }

    /// Returns all promises that were broken.
    pub fn check(&self) -> Vec<Broken> {
        let runs = collect_runs(self);
        let mut broken = Vec::new();
        self.check_runs(&runs, &mut broken);
        self.check_jobs(&runs, &mut broken);
        self.check_idle(&runs, &mut broken);
        self.check_leaving(&runs, &mut broken);
        self.check_gangs(&runs, &mut broken);
        self.check_attempts(&runs, &mut broken);
        self.check_claims(&runs, &mut broken);
        self.check_configuration(&mut broken);
        broken.extend(self.own_ends.iter().map(|line| Broken {
            promise: "no process ends by itself",
            subject: String::new(),
            detail: line.clone(),
        }));
        broken
    }

    /// Returns whether the end of a run was confirmed before the lease of its worker ended.
    pub(crate) fn was_confirmed(&self, run: &Run) -> bool {
        let Some((number, _)) = run.end else {
            return false;
        };
        self.notes
            .iter()
            .filter(|note| note.worker == run.worker && note.incarnation == run.incarnation)
            .skip_while(
                |note| !matches!(&note.event, WorkerEvent::End { number: n, .. } if *n == number),
            )
            .find_map(|note| match note.event {
                WorkerEvent::Confirmed { upto } if upto >= number => Some(true),
                WorkerEvent::LeaseEnded => Some(false),
                _ => None,
            })
            .unwrap_or(false)
    }

    fn shown_completed_ms(&self, job: &str) -> Option<u64> {
        self.calls
            .iter()
            .filter(|call| call.job == job && call.reply == Reply::Accepted("completed".into()))
            .map(|call| call.answered_ms)
            .min()
    }

    fn check_runs(&self, runs: &BTreeMap<String, Vec<Run>>, broken: &mut Vec<Broken>) {
        for (task, runs) in runs {
            let mut add = |promise, detail| {
                broken.push(Broken {
                    promise,
                    subject: task.clone(),
                    detail,
                });
            };
            let job = task.split('.').next().unwrap_or_default();
            let shown_ms = self.shown_completed_ms(job);
            for (at, first) in runs.iter().enumerate() {
                let confirmed = first.has_ended("done") && self.was_confirmed(first);
                for second in &runs[at + 1..] {
                    let until_ms = first.ended_ms.min(second.ended_ms);
                    if until_ms >= second.began_ms + OVERLAP_MS {
                        let both_ms = until_ms - second.began_ms;
                        let detail = format!(
                            "run {} on {} and run {} on {} at the same time for {both_ms} ms",
                            first.run, first.worker, second.run, second.worker
                        );
                        add("no task runs twice at the same time", detail);
                    }
                    if confirmed && second.began_ms > first.ended_ms {
                        let detail = format!(
                            "run {} started on {} after run {} was done on {} and confirmed",
                            second.run, second.worker, first.run, first.worker
                        );
                        add("no task starts after it is done", detail);
                    }
                }
                if shown_ms.is_some_and(|ms| first.began_ms > ms + SHOWN_SLACK_MS) && !first.late {
                    let detail = format!(
                        "run {} started on {} after its job was shown as completed",
                        first.run, first.worker
                    );
                    add("no task starts after it is done", detail);
                }
            }
        }
    }

    fn check_jobs(&self, runs: &BTreeMap<String, Vec<Run>>, broken: &mut Vec<Broken>) {
        let mut by_job: BTreeMap<&str, Vec<&CallRecord>> = BTreeMap::new();
        for call in self.calls.iter().filter(|call| !call.job.is_empty()) {
            by_job.entry(&call.job).or_default().push(call);
        }
        for (job, calls) in by_job {
            let mut add = |promise, detail| {
                broken.push(Broken {
                    promise,
                    subject: job.to_string(),
                    detail,
                });
            };
            let submits = || calls.iter().filter(|call| call.asked == Asked::Submit);
            let own_runs = || {
                runs.iter()
                    .filter(|(task, _)| task.starts_with(job))
                    .flat_map(|(task, runs)| runs.iter().map(move |run| (task, run)))
            };
            if submits().all(|call| matches!(call.reply, Reply::Refused | Reply::NotAllowed))
                && let Some((task, run)) = own_runs().next()
            {
                let detail = format!("{task} ran on {}, all attempts were refused", run.worker);
                add("a refused job never runs", detail);
            }
            let accepted_ms = submits()
                .filter(|call| matches!(call.reply, Reply::Accepted(_)))
                .map(|call| call.answered_ms)
                .min();
            let cancelled = calls.iter().find(|call| call.asked == Asked::Cancel);
            if let Some(accepted_ms) = accepted_ms
                && cancelled.is_none()
            {
                self.check_kept(job, &calls, accepted_ms, runs, &mut add);
            }
            let acknowledged = calls.iter().find(|call| {
                call.asked == Asked::Cancel
                    && matches!(call.reply, Reply::Accepted(_) | Reply::Unknown)
            });
            if let Some(call) = acknowledged {
                let late = own_runs().find(|(_, run)| {
                    run.began_ms > call.answered_ms + CANCEL_MS
                        && !run.late
                        && self.is_calm(run.began_ms, run.began_ms)
                });
                if let Some((task, run)) = late {
                    let detail = format!("{task} started on {} after the cancel", run.worker);
                    add("a cancelled job starts nothing", detail);
                }
                let shown = calls.iter().find(|later| {
                    later.asked == Asked::State
                        && later.sent_ms > call.answered_ms + CANCEL_MS
                        && matches!(&later.reply, Reply::Accepted(state) if state == "pending" || state == "running")
                        && self.is_calm(later.sent_ms, later.answered_ms)
                });
                if let Some(later) = shown {
                    let detail = format!("node {} shows {:?}", later.node + 1, later.reply);
                    add("a cancelled job is shown as over", detail);
                }
            }
        }
    }

    /// Checks that an accepted job, which nobody cancelled, was kept and completed, or has failed as often as it may.
    fn check_kept(
        &self,
        job: &str,
        calls: &[&CallRecord],
        accepted_ms: u64,
        runs: &BTreeMap<String, Vec<Run>>,
        add: &mut impl FnMut(&'static str, String),
    ) {
        let promise = "no accepted job is lost";
        let denied = calls.iter().find(|call| {
            call.asked == Asked::State
                && call.reply == Reply::Unknown
                && call.sent_ms > accepted_ms + VISIBLE_MS
                && self.is_calm(call.sent_ms, call.answered_ms)
        });
        if let Some(call) = denied {
            let detail = format!("node {} said that there is no such job", call.node + 1);
            add(promise, detail);
        }
        let last = calls.iter().rev().find_map(|call| match &call.reply {
            Reply::Accepted(state) if call.asked == Asked::State => Some(state.as_str()),
            _ => None,
        });
        let has_ended = match last {
            Some("completed") => true,
            Some("failed") => self.has_used_up_attempts(job, runs),
            _ => false,
        };
        if !has_ended {
            let failed_runs = self.count_failed_runs(job, runs);
            let last = last.unwrap_or_default();
            let detail =
                format!("it is shown as {last:?} at the end, {failed_runs} runs have failed");
            add(promise, detail);
        }
    }

    fn check_leaving(&self, runs: &BTreeMap<String, Vec<Run>>, broken: &mut Vec<Broken>) {
        for note in &self.notes {
            if note.event != WorkerEvent::LeavingStored {
                continue;
            }
            let late = runs
                .iter()
                .flat_map(|(task, runs)| runs.iter().map(move |run| (task, run)))
                .find(|(_, run)| {
                    run.worker == note.worker
                        && run.incarnation == note.incarnation
                        && run.began_ms > note.at_ms + DRAIN_MS
                        && !run.late
                        && self.is_calm_but_leaving(note, run.began_ms)
                });
            if let Some((task, run)) = late {
                broken.push(Broken {
                    promise: "a leaving worker gets no new work",
                    subject: task.clone(),
                    detail: format!(
                        "run {} started on {} {} ms after the store had its entry as leaving",
                        run.run,
                        run.worker,
                        run.began_ms - note.at_ms
                    ),
                });
            }
        }
    }

    /// Returns whether no other fault than its own leaving was on around a worker's leaving.
    fn is_calm_but_leaving(&self, leaving: &Note, until_ms: u64) -> bool {
        let from_ms = leaving.at_ms.saturating_sub(CONTACT_MS);
        !self.incidents.iter().any(|incident| {
            incident.from_ms <= until_ms
                && incident.until_ms >= from_ms
                && !incident.what.starts_with("worker-leaves of")
        })
    }

    /// A member that waited for the others in vain, with no fault near.
    fn check_gangs(&self, runs: &BTreeMap<String, Vec<Run>>, broken: &mut Vec<Broken>) {
        for (task, runs) in runs {
            for run in runs {
                if run.end.as_ref().is_some_and(|(_, how)| how == "alone")
                    && self.is_calm(run.began_ms - GANG_TIMEOUT_MS, run.ended_ms)
                {
                    broken.push(Broken {
                        promise: "a gang is whole",
                        subject: task.clone(),
                        detail: format!("run {} on {} ended alone", run.run, run.worker),
                    });
                }
            }
        }
    }

    fn check_configuration(&self, broken: &mut Vec<Broken>) {
        let mut add = |promise, detail| {
            broken.push(Broken {
                promise,
                subject: String::new(),
                detail,
            });
        };
        for (at, seen) in self.calls.iter().enumerate() {
            let Asked::Mark(version) = seen.asked else {
                continue;
            };
            if !matches!(seen.reply, Reply::Accepted(_)) {
                continue;
            }
            let reverted = self.calls[at + 1..].iter().find(|call| {
                let slack_ms = match self.is_calm(call.sent_ms, call.answered_ms) {
                    true => ROLLBACK_SLACK_MS,
                    false => 8 * ROLLBACK_SLACK_MS,
                };
                matches!(call.asked, Asked::Mark(later) if later >= version)
                    && (call.node, call.incarnation) == (seen.node, seen.incarnation)
                    && call.sent_ms > seen.answered_ms + slack_ms
                    && call.asked == seen.asked
                    && call.reply == Reply::NotAllowed
            });
            if let Some(call) = reverted {
                let detail = format!(
                    "node {} knew version {version} and did not {} ms later",
                    call.node + 1,
                    call.sent_ms - seen.answered_ms
                );
                add("a configuration in force is not reverted", detail);
                break;
            }
        }
        let withdrawn = self.confirmed.iter().find(|version| version.withdraws_key);
        let used = self.calls.iter().find(|call| {
            call.asked == Asked::WithdrawnKey
                && matches!(call.reply, Reply::Accepted(_))
                && withdrawn.is_some_and(|version| call.sent_ms > version.at_ms + REVOKE_MS)
        });
        if let Some(call) = used {
            let detail = format!("node {} accepted it", call.node + 1);
            add("a withdrawn key is refused in time", detail);
        }
    }
}
