//! Checks that no job stands idle: nothing of it runs although a task of it could, by what workers and callers saw.

use std::collections::{BTreeMap, BTreeSet};

use platform_standin::{StepSpec, WORKER_ACCELERATORS, WorkerEvent};

use crate::callers::Asked;
use crate::check::{Broken, Observed, Run};

/// Time from the end of traffic and faults until the rule holds (`finish_s` of the deployments).
const FINISH_MS: u64 = 14_000;

/// Time for which a job may stand idle then, by the users' rule.
const IDLE_MS: u64 = 3_000;

/// How often over a task must fit for it to count as one that could run, by the users' rule.
const ROOM_FACTOR: u64 = 2;

/// What the workers of a site have left at a moment, in tasks.
#[derive(Debug, Clone, Copy)]
struct Room {
    /// What the workers that are up and take work can run at once.
    total: u64,
    /// What runs there.
    used: u64,
    /// How many more fit.
    free: u64,
}

impl Observed {
    /// Finds jobs that stand idle, one entry a job.
    pub(crate) fn check_idle(&self, runs: &BTreeMap<String, Vec<Run>>, broken: &mut Vec<Broken>) {
        let submits = || self.calls.iter().filter(|call| call.asked == Asked::Submit);
        let disturbed_ms = self.incidents.iter().map(|incident| incident.until_ms);
        let over_ms = submits()
            .map(|call| call.answered_ms)
            .chain(disturbed_ms)
            .max()
            .unwrap_or(0);
        let judged_ms = over_ms + FINISH_MS;
        let changes_ms: BTreeSet<u64> = runs
            .values()
            .flatten()
            .flat_map(|run| [run.began_ms, run.ended_ms])
            .chain(self.notes.iter().map(|note| note.at_ms))
            .filter(|at_ms| (judged_ms..self.end_ms).contains(at_ms))
            .chain((judged_ms < self.end_ms).then_some(judged_ms))
            .collect();
        let moments: Vec<(u64, BTreeMap<&str, Room>)> = changes_ms
            .into_iter()
            .map(|at_ms| (at_ms, self.rooms(runs, at_ms)))
            .collect();
        for (job, steps) in &self.steps {
            if !self.is_owed(job) || self.has_used_up_attempts(job, runs) {
                continue;
            }
            let mut idle: Option<(u64, String)> = None;
            for (at_ms, rooms) in &moments {
                let room = self.sum_rooms(job, rooms);
                match idle_task(runs, job, steps, *at_ms, room) {
                    Some(task) => idle = idle.or(Some((*at_ms, task))),
                    None if idle
                        .as_ref()
                        .is_some_and(|(from, _)| from + IDLE_MS <= *at_ms) =>
                    {
                        break;
                    }
                    None => idle = None,
                }
            }
            if let Some((from_ms, task)) = idle.filter(|(from, _)| from + IDLE_MS <= self.end_ms) {
                broken.push(Broken {
                    promise: "no job stands idle beside free workers",
                    subject: job.clone(),
                    detail: format!(
                        "{task} could run, and nothing of its job does, from {} ms after the end of traffic and faults",
                        from_ms - over_ms
                    ),
                });
            }
        }
    }

    /// Returns what each worker that is up and takes work has left.
    fn rooms(&self, runs: &BTreeMap<String, Vec<Run>>, at_ms: u64) -> BTreeMap<&str, Room> {
        let mut up: BTreeMap<&str, bool> = BTreeMap::new();
        for note in self.notes.iter().take_while(|note| note.at_ms <= at_ms) {
            match note.event {
                WorkerEvent::Began => up.insert(&note.worker, true),
                WorkerEvent::LeavingStored | WorkerEvent::Left | WorkerEvent::Killed => {
                    up.insert(&note.worker, false)
                }
                _ => None,
            };
        }
        let mut used: BTreeMap<&str, u64> = BTreeMap::new();
        for run in runs.values().flatten().filter(|run| run.is_on(at_ms)) {
            *used.entry(&run.worker).or_default() += 1;
        }
        let up = up.into_iter().filter(|(_, up)| *up);
        up.map(|(worker, _)| {
            let used = used.get(worker).copied().unwrap_or(0);
            let room = Room {
                total: WORKER_ACCELERATORS,
                used,
                free: WORKER_ACCELERATORS.saturating_sub(used),
            };
            (worker, room)
        })
        .collect()
    }

    /// Returns what all workers have left together for a job: of the free room, that of the workers that it may run on.
    fn sum_rooms(&self, job: &str, rooms: &BTreeMap<&str, Room>) -> Room {
        let policy = self.advised.get(job);
        let mut sum = Room {
            total: 0,
            used: 0,
            free: 0,
        };
        for (worker, room) in rooms {
            sum.total += room.total;
            sum.used += room.used;
            if policy.is_none_or(|policy| policy.allows(job, worker)) {
                sum.free += room.free;
            }
        }
        sum
    }

    /// Returns whether a job was accepted and nobody has tried to cancel it.
    fn is_owed(&self, job: &str) -> bool {
        let calls = || self.calls.iter().filter(|call| call.job == job);
        calls().any(|call| call.asked == Asked::Submit && call.is_accepted())
            && !calls().any(|call| call.asked == Asked::Cancel)
    }
}

/// Returns a task of a job that could run at `at_ms`, if nothing of the job runs then. A run of a task that is done is
/// none of the job's, whoever was told of the end.
fn idle_task(
    runs: &BTreeMap<String, Vec<Run>>,
    job: &str,
    steps: &[StepSpec],
    at_ms: u64,
    room: Room,
) -> Option<String> {
    let name = |step: usize, at: u64| format!("{job}.0.{step}.{at}");
    let runs_of = |task: &str| runs.get(task).map_or(&[][..], Vec::as_slice);
    let is_done = |task: &str| runs_of(task).iter().any(|run| run.is_done_by(at_ms));
    let (step, spec) = steps
        .iter()
        .enumerate()
        .find(|(step, spec)| (0..spec.count).any(|at| !is_done(&name(*step, at))))?;
    let waiting: Vec<String> = (0..spec.count)
        .map(|at| name(step, at))
        .filter(|task| !is_done(task))
        .collect();
    let running = waiting
        .iter()
        .any(|task| runs_of(task).iter().any(|run| run.is_on(at_ms)));
    let needed = if spec.gang { spec.count } else { 1 };
    let fits = room.free >= ROOM_FACTOR * needed && 2 * room.used < room.total;
    waiting.into_iter().next().filter(|_| !running && fits)
}
