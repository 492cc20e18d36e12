//! Feeds the decisions on runs that stand still with the answers of workers, and carries out what they decide.

use crate::fit::find_places;
use crate::group::{GroupKey, Phase, Task, TaskKey};
use crate::overdue::Reach;
use crate::planner::Planner;
use crate::policy::stragglers::{
    Decision, Finding, SHUN_MS, SeenRun, Sight, StillRun, decide, judge_worker,
};
use crate::worker::WorkerKey;

/// Time for the delivery of a stop and of the answer that lists the end, both between regions, and for the wait for a
/// planning pass.
const STOP_DELIVERY_MS: u64 = 200;

impl Planner {
    /// Looks for runs that stand still on a worker that has just answered, and moves those that lose less elsewhere.
    pub(crate) fn check_still_runs(&mut self, key: WorkerKey, now_ms: u64) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let mut runs: Vec<(TaskKey, Sight)> = worker
            .tasks
            .keys()
            .filter_map(|task| Some((*task, self.sight(*task)?)))
            .collect();
        let is_sound = |(_, sight): &(TaskKey, Sight)| !matches!(sight, Sight::StandsStill { .. });
        if runs.iter().all(is_sound) {
            return;
        }
        runs.sort_unstable_by_key(|(task, _)| *task);
        let seen: Vec<SeenRun> = runs
            .iter()
            .map(|(task, sight)| SeenRun {
                job: self.jobs[task.group.job].stored.id,
                sight: *sight,
                works_elsewhere: self.works_elsewhere(task.group, key),
            })
            .collect();
        let finding = judge_worker(&seen);
        if finding == Finding::StandsStill {
            self.record_still_worker(key, seen.len());
        }
        let mut moved = 0;
        for (task, sight) in runs {
            let stood_ms = match (sight, finding) {
                (Sight::StandsStill { stood_ms }, _) => stood_ms,
                (Sight::NeverGrew { reported_ms }, Finding::StandsStill) => reported_ms,
                _ => continue,
            };
            // A member of its gang there may have been moved with the others.
            if self.sight(task).is_some() && self.move_still_run(task, key, stood_ms, moved, now_ms)
            {
                moved += 1;
            }
        }
    }

    /// Returns whether a run of a group works on another worker than this one.
    fn works_elsewhere(&self, group: GroupKey, worker: WorkerKey) -> bool {
        self.list_tasks(group).into_iter().any(|task| {
            let elsewhere = |task: &Task| task.phase.worker() != Some(worker);
            self.task(task).is_some_and(elsewhere) && self.sight(task) == Some(Sight::Works)
        })
    }

    /// Returns what the reports of a run show; none if it is no run whose share has to grow. A filler gets what others
    /// leave, and what was paced down is slow on purpose.
    fn sight(&self, key: TaskKey) -> Option<Sight> {
        let job = self.jobs.get(key.group.job)?;
        let step = job.step_of(key.group.group as usize);
        let task = self.task(key)?;
        let is_running = matches!(task.phase, Phase::Running { .. }) && !task.is_done_before;
        let may_be_still = step.lasting || step.fills || task.pace_percent < 100;
        (is_running && !may_be_still && !job.state.is_final()).then(|| task.growth.sight())
    }

    fn record_still_worker(&mut self, key: WorkerKey, runs: usize) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if !worker.health.record_still() {
            return;
        }
        let why = format!(
            "worker {} answers, but several of its {runs} runs stand still, and none works",
            worker.entry.id
        );
        self.counts.workers_still += 1;
        self.record_decision(None, "worker stands still", why);
    }

    /// Moves a run that stands still, or its gang, if that loses less. Returns whether it does. `moved` is the number of
    /// runs of the same worker that were moved just now, which need room, too.
    fn move_still_run(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        stood_ms: u64,
        moved: usize,
        now_ms: u64,
    ) -> bool {
        let Some(run) = self.describe_still_run(key, stood_ms, now_ms) else {
            return false;
        };
        let decision = decide(run, || self.has_room_elsewhere(key, worker, moved, now_ms));
        let Decision::Move { move_ms } = decision else {
            self.counts.still_kept += 1;
            return false;
        };
        let group = &mut self.jobs[key.group.job].groups[key.group.group as usize];
        group.moves += 1;
        group.shunned = Some((worker, now_ms + SHUN_MS));
        if let Some(task) = self.task_mut(key) {
            task.avoid = Some(worker);
        }
        let job = &self.jobs[key.group.job];
        let id = job.stored.id;
        let name = job.task_name(key.group.group as usize, key.index as usize);
        let stopped = self.stop_with_gang(key, now_ms);
        self.counts.moved_still += 1;
        let worker = self
            .workers
            .get(worker)
            .map_or_else(String::new, |worker| worker.entry.id.clone());
        let why = format!(
            "task {name} run {} on worker {worker} stood still for {stood_ms} ms after {} ms of work, a move loses {move_ms} ms; {stopped} tasks are stopped",
            run.run, run.worked_ms
        );
        self.record_decision(Some(id), "run moved", why);
        true
    }

    /// Returns what a run that stands still has done; none if it is not to be stopped, or if its gang does not work as a
    /// whole.
    fn describe_still_run(&self, key: TaskKey, stood_ms: u64, now_ms: u64) -> Option<StillRun> {
        let job = self.jobs.get(key.group.job)?;
        let step = job.step_of(key.group.group as usize);
        let group = &job.groups[key.group.group as usize];
        let members = match step.gang {
            true => &group.tasks[..],
            false => std::slice::from_ref(group.tasks.get(key.index as usize)?),
        };
        let works = |task: &Task| matches!(task.phase, Phase::Running { .. });
        if group.teardown_since_ms.is_some()
            || !members.iter().all(works)
            || self.has_few_starts_left(key)
        {
            return None;
        }
        // A gang begins to work with its last member.
        let began_ms = members.iter().map(|task| task.began_ms()).max()?;
        let ran_ms = now_ms.saturating_sub(began_ms);
        let worked_ms = ran_ms.saturating_sub(stood_ms);
        Some(StillRun {
            stood_ms,
            worked_ms,
            saves_progress: step.saves_progress,
            stop_ms: self.limits.stop_grace_ms + STOP_DELIVERY_MS,
            moves: group.moves,
            run: members.iter().map(|task| task.run).max()?,
        })
    }

    /// Returns whether a run fits on another worker now, beside others that were moved. The other members of a gang can
    /// go back to where they are.
    fn has_room_elsewhere(
        &self,
        key: TaskKey,
        worker: WorkerKey,
        moved: usize,
        now_ms: u64,
    ) -> bool {
        let here = match self.is_gang(key.group) {
            true => self.count_members(key.group, worker),
            false => 1,
        };
        let mut candidates = self.candidates(key.group, Reach::Usual, now_ms);
        candidates.retain(|candidate| candidate.worker != worker && !candidate.recently_failed);
        let step = self.jobs[key.group.job].step_of(key.group.group as usize);
        if let Some(rack) = &step.data_rack {
            let rack = self.racks.find(rack);
            candidates.retain(|candidate| Some(candidate.rack) == rack);
        }
        if step.one_rack {
            let rack = self.workers.get(worker).map(|worker| worker.rack);
            candidates.retain(|candidate| Some(candidate.rack) == rack);
        }
        find_places(&candidates, &self.need(key.group), here + moved).is_some()
    }

    fn count_members(&self, group: GroupKey, worker: WorkerKey) -> usize {
        let tasks = &self.jobs[group.job].groups[group.group as usize].tasks;
        tasks
            .iter()
            .filter(|task| task.phase.worker() == Some(worker))
            .count()
    }
}
