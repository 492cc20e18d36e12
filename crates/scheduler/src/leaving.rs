//! Finds the work on workers that are expected to go, and carries out what [`crate::policy::departures`] decides about it.
//!
//! A run that is done as its worker exits is listed in an answer that nobody receives. The platform counts that end, but
//! the planner would start the task again. So nothing that only leaving workers list is left running until then.

use std::collections::{BTreeMap, HashSet};

use slotmap::SecondaryMap;

use crate::fit::{Candidate, find_places, find_places_on_one_rack};
use crate::group::{GroupKey, Phase, TaskKey};
use crate::overdue::Reach;
use crate::planner::Planner;
use crate::policy::departures::{
    AtRisk, Cause, Keep, Offer, Progress, Remaining, Stop, Subject, Verdict,
};
use crate::spec::Resources;
use crate::worker::{Worker, WorkerEntry, WorkerKey};

/// Time reserved for the delivery of a stop and of the answer that lists the end, both between regions, and for the wait
/// for a planning pass.
const STOP_DELIVERY_MS: u64 = 200;

impl Worker {
    /// Takes in what a list that was asked for at `asked_ms` says about the time of its leave.
    pub(crate) fn update_leave(&mut self, entry: &WorkerEntry, asked_ms: u64, now_ms: u64) {
        let is_new = !self.entry.leaving || self.entry.remaining_ms != entry.remaining_ms;
        let listed_before_ms = self.listed_asked_ms.replace(asked_ms);
        let (true, Some(remaining_ms)) = (entry.leaving, entry.remaining_ms) else {
            self.leaves_at_ms = self.leaves_at_ms.filter(|_| entry.leaving);
            return;
        };
        if !is_new && self.leaves_at_ms.is_some() {
            return;
        }
        // The entry is newer than the list before. Without one it may be of any age.
        let latest_ms = now_ms.saturating_add(remaining_ms);
        let earliest_ms = listed_before_ms.map(|ms| ms.saturating_add(remaining_ms));
        let before_ms = self.leaves_at_ms.unwrap_or(0);
        self.leaves_at_ms = Some(
            earliest_ms
                .unwrap_or(latest_ms)
                .max(before_ms)
                .min(latest_ms),
        );
    }
}

/// Capacity that work at risk may not use.
#[derive(Debug)]
pub(crate) struct Kept<'a> {
    /// Workers withheld for urgent groups that wait.
    pub workers: &'a HashSet<WorkerKey>,
    /// Headroom on each worker; none until it is needed.
    pub headroom: &'a mut Option<SecondaryMap<WorkerKey, Resources>>,
    /// The groups that were ready to start in this pass.
    pub ready: &'a [GroupKey],
}

/// What the planner offers to one gang or task at risk; looked up only if the decision depends on it.
struct Lookup<'a, 'b> {
    planner: &'a Planner,
    kept: &'a mut Kept<'b>,
    /// Capacity that earlier work of the pass moves to.
    taken: &'a SecondaryMap<WorkerKey, Resources>,
    subject: Subject,
    now_ms: u64,
    /// Where there is room, once that was looked up and found.
    places: Vec<(u32, WorkerKey)>,
}

impl Offer for Lookup<'_, '_> {
    fn has_room(&mut self) -> bool {
        let places = self
            .planner
            .find_refuge(self.subject, self.kept, self.taken, self.now_ms);
        self.places = places.unwrap_or_default();
        !self.places.is_empty()
    }

    fn others_wait(&mut self) -> bool {
        let own = self.subject.group();
        let service = &self.planner.jobs[own.job].stored.service;
        self.kept.ready.iter().any(|key| {
            let Some(job) = self.planner.jobs.get(key.job) else {
                return false;
            };
            let group = &job.groups[key.group as usize];
            let waits = |phase: Phase| phase == Phase::Waiting;
            *key != own
                && job.stored.service == *service
                && group.reservation.is_none()
                && group.tasks.iter().any(|task| waits(task.phase))
        })
    }
}

impl Planner {
    /// Decides what becomes of the work on workers that are expected to go.
    pub(crate) fn decide_departures(&mut self, mut kept: Kept<'_>, now_ms: u64) {
        let subjects = self.list_subjects(now_ms);
        if subjects.is_empty() && self.policy.departures.is_empty() {
            return;
        }
        let mut taken: SecondaryMap<WorkerKey, Resources> = SecondaryMap::new();
        for (subject, (left_ms, cause)) in &subjects {
            let Some(at_risk) = self.describe_risk(*subject, *cause, *left_ms, now_ms) else {
                continue;
            };
            if !at_risk.is_last_moment() && !self.policy.departures.is_due(*subject, now_ms) {
                continue;
            }
            let mut offer = Lookup {
                planner: self,
                kept: &mut kept,
                taken: &taken,
                subject: *subject,
                now_ms,
                places: Vec::new(),
            };
            let verdict = at_risk.weigh(&mut offer);
            let places = offer.places;
            if self.policy.departures.record(*subject, verdict, now_ms) {
                self.record_departure(*subject, &at_risk, verdict);
            }
            let Verdict::Stop(stop) = verdict else {
                continue;
            };
            self.stop_at_risk(*subject, stop, now_ms);
            if stop == Stop::Moves {
                let need = self.need(subject.group());
                for (_, worker) in &places {
                    if let Some(entry) = taken.entry(*worker) {
                        *entry.or_default() += need;
                    }
                }
                if let Subject::Gang(group) = *subject {
                    self.reserve_capacity(group, places, now_ms);
                }
            }
        }
        self.policy
            .departures
            .retain(|subject| subjects.contains_key(subject));
    }

    /// Returns the gangs and single tasks that run on workers that are expected to go, with the time that the first of
    /// these has left and why it goes.
    fn list_subjects(&self, now_ms: u64) -> BTreeMap<Subject, (u64, Cause)> {
        let mut subjects: BTreeMap<Subject, (u64, Cause)> = BTreeMap::new();
        for worker in self.workers.values().filter(|w| !w.tasks.is_empty()) {
            let Some((left_ms, cause)) = self.expect_departure(worker, now_ms) else {
                continue;
            };
            for task in worker.tasks.keys().filter(|task| self.works(**task)) {
                let subject = match self.is_gang(task.group) {
                    true => Subject::Gang(task.group),
                    // Nothing of it can be used elsewhere before the lease ends.
                    false if cause == Cause::Silent => continue,
                    false => Subject::Task(*task),
                };
                let first = subjects.entry(subject).or_insert((left_ms, cause));
                if left_ms < first.0 {
                    *first = (left_ms, cause);
                }
            }
        }
        subjects
    }

    /// Returns how long a worker stays at least, and why it is expected to go; none if it is not.
    fn expect_departure(&self, worker: &Worker, now_ms: u64) -> Option<(u64, Cause)> {
        if worker.entry.leaving {
            let left_ms = worker.leaves_at_ms?.saturating_sub(now_ms);
            return Some((left_ms, Cause::Leaves));
        }
        // One that has not answered this planner was added when it took over.
        let heard_ms = match worker.fenced {
            true => worker.answered_ms,
            false => worker.unlisted_since_ms,
        };
        let is_silent = now_ms > heard_ms + self.limits.unresponsive_ms;
        // That of a predecessor may count for longer, but the worker itself ends its runs by then.
        let lapses_ms = heard_ms + self.limits.lease_ms * 100 / 98;
        let left_ms = worker
            .lease_expiry_ms()
            .min(lapses_ms)
            .saturating_sub(now_ms);
        is_silent.then_some((left_ms, Cause::Silent))
    }

    /// Returns whether a task works or is about to.
    pub(crate) fn works(&self, key: TaskKey) -> bool {
        self.task(key).is_some_and(|task| {
            matches!(
                task.phase,
                Phase::Assigned(_)
                    | Phase::Starting { .. }
                    | Phase::Inherited(_)
                    | Phase::Running { .. }
            )
        })
    }

    /// Returns what the decision about work at risk rests on; none if it does not work any more, or ends anyway.
    fn describe_risk(
        &self,
        subject: Subject,
        cause: Cause,
        left_ms: u64,
        now_ms: u64,
    ) -> Option<AtRisk> {
        let members = self.list_members(subject);
        let group = subject.group();
        let job = self.jobs.get(group.job)?;
        let step = job.step_of(group.group as usize);
        let is_torn_down = job.groups[group.group as usize].teardown_since_ms.is_some();
        if is_torn_down || !members.iter().any(|member| self.works(*member)) {
            return None;
        }
        let stop_ms = self.limits.stop_grace_ms + STOP_DELIVERY_MS;
        let departures = || {
            members
                .iter()
                .filter_map(|member| self.task(*member)?.phase.worker())
                .filter_map(|worker| self.workers.get(worker))
                .map(|worker| self.expect_departure(worker, now_ms))
        };
        let is_unheard = departures().all(
            |departure| matches!(departure, Some((left_ms, Cause::Leaves)) if left_ms <= stop_ms),
        );
        // What lasts serves its users until the last moment, and its members on other workers may not be stopped for it.
        if step.lasting && !is_unheard {
            return None;
        }
        let remaining = self.estimate_remaining(group, &members, now_ms);
        Some(AtRisk {
            cause,
            left_ms,
            stop_ms,
            holds_others: departures().any(|departure| departure.is_none()),
            is_unheard,
            saves_progress: step.saves_progress,
            worked_ms: self.worked_ms(&members, now_ms),
            remaining,
        })
    }

    fn list_members(&self, subject: Subject) -> Vec<TaskKey> {
        match subject {
            Subject::Gang(group) => self.list_tasks(group),
            Subject::Task(task) => vec![task],
        }
    }

    /// Returns how long tasks of a group that end together still take: what their observed rates say, without these what
    /// is expected of their kind of work.
    fn estimate_remaining(&self, group: GroupKey, members: &[TaskKey], now_ms: u64) -> Remaining {
        let progress = || members.iter().map(|key| self.progress(*key, now_ms));
        let observed = progress()
            .filter_map(Remaining::observed)
            .reduce(Remaining::max);
        observed
            .or_else(|| {
                let run_time = self.run_time(group);
                progress()
                    .map(|progress| Remaining::expected(run_time, progress))
                    .reduce(Remaining::max)
            })
            .unwrap_or(Remaining::UNKNOWN)
    }

    /// Returns how far the current run of a task has come, as its worker reported.
    fn progress(&self, key: TaskKey, now_ms: u64) -> Progress {
        let Some(task) = self.task(key) else {
            return Progress::default();
        };
        let answered_ms = task
            .phase
            .worker()
            .and_then(|worker| self.workers.get(worker))
            .map_or(0, |worker| worker.answered_ms)
            .max(task.began_ms());
        let (from_percent, from_ms) = task.observed_from.unwrap_or((task.percent, answered_ms));
        Progress {
            from_percent,
            percent: task.percent,
            observed_ms: answered_ms.saturating_sub(from_ms),
            ran_ms: answered_ms.saturating_sub(task.began_ms()),
            age_ms: now_ms.saturating_sub(answered_ms),
        }
    }

    /// Returns how long tasks that end together have worked. A run of an earlier planner may be older than this one
    /// knows, so that its done share and rate say more.
    fn worked_ms(&self, members: &[TaskKey], now_ms: u64) -> u64 {
        let known_ms = members
            .iter()
            .filter_map(|key| self.task(*key))
            .filter(|task| task.started_ms > 0 && task.started_ms >= task.placed_ms)
            .map(|task| now_ms.saturating_sub(self.run_began_ms(task)));
        let by_rate_ms = members
            .iter()
            .filter_map(|key| Remaining::worked_ms(self.progress(*key, now_ms)));
        known_ms.chain(by_rate_ms).max().unwrap_or(0)
    }

    /// Returns where a gang or a task at risk could run now, with what its own stop frees; none if there is no room.
    fn find_refuge(
        &self,
        subject: Subject,
        kept: &mut Kept<'_>,
        taken: &SecondaryMap<WorkerKey, Resources>,
        now_ms: u64,
    ) -> Option<Vec<(u32, WorkerKey)>> {
        let group = subject.group();
        let members = self.list_members(subject);
        let need = self.need(group);
        let job = &self.jobs[group.job];
        let step = job.step_of(group.group as usize);
        let mut candidates = self.candidates(group, Reach::Usual, now_ms);
        if job.stored.priority != 0 {
            candidates.retain(|candidate| !kept.workers.contains(&candidate.worker));
            let headroom = kept
                .headroom
                .get_or_insert_with(|| self.compute_headroom(now_ms));
            take_from(&mut candidates, headroom);
        }
        take_from(&mut candidates, taken);
        if let Some(rack) = &step.data_rack {
            let rack = self.racks.find(rack);
            candidates.retain(|candidate| Some(candidate.rack) == rack);
        }
        let own = members
            .iter()
            .filter_map(|member| self.task(*member)?.phase.worker());
        for worker in own {
            for candidate in candidates.iter_mut().filter(|c| c.worker == worker) {
                candidate.free += need;
                candidate.slots_left = candidate.slots_left.saturating_add(1);
            }
        }
        let count = members.len();
        let on_one_rack = find_places_on_one_rack(&candidates, &need, count);
        let may_spread = !step.one_rack || count > self.max_tasks_on_one_rack(group);
        let places = match may_spread {
            true => on_one_rack.or_else(|| find_places(&candidates, &need, count)),
            false => on_one_rack,
        };
        let indexes = members.iter().map(|member| member.index);
        places.map(|places| indexes.zip(places).collect())
    }

    fn stop_at_risk(&mut self, subject: Subject, stop: Stop, now_ms: u64) {
        let task = match subject {
            Subject::Gang(group) => TaskKey { group, index: 0 },
            Subject::Task(task) => task,
        };
        let stopped = self.stop_with_gang(task, now_ms);
        let counter = match stop {
            Stop::LastMoment | Stop::SavesProgress | Stop::BeforeExit => {
                &mut self.counts.stopped_before_leave
            }
            Stop::Moves => &mut self.counts.moved_before_leave,
            Stop::CannotEnd => &mut self.counts.stopped_without_hope,
        };
        *counter += stopped;
    }

    /// Counts and logs a verdict that differs from the one before. That a single task goes on is not logged: it changes
    /// nothing for its job.
    fn record_departure(&mut self, subject: Subject, at_risk: &AtRisk, verdict: Verdict) {
        let Some(job) = self.jobs.get(subject.group().job) else {
            return;
        };
        let id = job.stored.id;
        let (what, reason) = match verdict {
            Verdict::Keep(keep) => ("kept at risk", describe_keep(keep)),
            Verdict::Stop(stop) => ("stopped for leave", describe_stop(stop)),
        };
        if let (Verdict::Keep(_), Subject::Task(_)) = (verdict, subject) {
            return;
        }
        self.counts.kept_at_risk += u64::from(matches!(verdict, Verdict::Keep(_)));
        let name = match subject {
            Subject::Gang(group) => {
                format!("gang of step {}", job.groups[group.group as usize].step)
            }
            Subject::Task(task) => format!("task {}", task.index),
        };
        let goes = match at_risk.cause {
            Cause::Leaves => "its first worker may exit",
            Cause::Silent => "the lease of a worker that does not answer ends",
        };
        let Remaining {
            least_ms,
            expected_ms,
            most_ms,
            ..
        } = at_risk.remaining;
        let why = format!(
            "{name}: {reason}; {goes} in {} ms, worked {} ms, ends in {expected_ms} ms ({least_ms} to {most_ms}), saves its progress: {}, on other workers too: {}",
            at_risk.left_ms, at_risk.worked_ms, at_risk.saves_progress, at_risk.holds_others
        );
        self.record_decision(Some(id), what, why);
    }
}

/// Takes capacity from the candidates on whose workers it is spoken for.
fn take_from(candidates: &mut [Candidate], spoken_for: &SecondaryMap<WorkerKey, Resources>) {
    for candidate in candidates {
        candidate.free -= spoken_for
            .get(candidate.worker)
            .copied()
            .unwrap_or_default();
    }
}

fn describe_keep(keep: Keep) -> &'static str {
    match keep {
        Keep::EndsInTime => "ends in time",
        Keep::StopsLater => "works until the last moment",
        Keep::MayEnd => "may end in time",
        Keep::LittleGain => "may not end in time, but a stop would save next to nothing",
        Keep::NothingWaits => "cannot end in time, but nothing would start in its place",
    }
}

fn describe_stop(stop: Stop) -> &'static str {
    match stop {
        Stop::LastMoment => "its worker may exit and nobody would hear of its end",
        Stop::SavesProgress => "saves its progress before its worker may exit",
        Stop::BeforeExit => {
            "cannot end in time, and starts again sooner if it ends before its worker exits"
        }
        Stop::Moves => "not likely to end in time, and there is room elsewhere",
        Stop::CannotEnd => "cannot end in time, and other work waits",
    }
}
