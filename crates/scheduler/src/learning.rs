//! Feeds what is learned about work and machines, and asks it for the planner's decisions.

use crate::group::{GroupKey, JobKey, TaskKey};
use crate::planner::Planner;
use crate::policy::durations::{Kind, RunTime};
use crate::policy::machine::SpeedClass;
use crate::worker::WorkerKey;

/// Shares, in hundredths, from which a run tells how fast its machine is, and how long it takes in all. Reported shares are
/// whole hundredths, so the first is exact to a tenth, the second to a twenty-fifth.
const SHARE_FOR_SPEED: u32 = 10;
const SHARE_FOR_RUN_TIME: u32 = 25;

/// What the speed of a machine matters for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UseOfSpeed {
    /// Urgent work goes to the fastest machines.
    Urgent,
    /// Work that can wait leaves the fast machines to urgent work. A gang runs as fast as its slowest member in any case.
    CanWait,
}

impl Planner {
    /// Learns from the share of work that a run has done.
    pub(crate) fn learn_from_share(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        percent: u32,
        now_ms: u64,
    ) {
        if !self.is_comparable(key, worker, now_ms) {
            return;
        }
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let Some((first_percent, first_ms)) = task.first_share else {
            // The members of a gang begin to work once all of them are there.
            if percent > 0 {
                task.first_share = Some((percent, now_ms));
            }
            return;
        };
        let done = percent.saturating_sub(first_percent);
        // A member that is done waits for the others of its gang.
        if percent >= 100 || done < SHARE_FOR_SPEED {
            return;
        }
        let took_ms = now_ms.saturating_sub(first_ms);
        let times = done >= SHARE_FOR_RUN_TIME && !task.is_timed;
        task.is_timed |= times;
        self.policy
            .speeds
            .observe(key, worker, done, took_ms, now_ms);
        if times {
            self.learn_run_time(key, worker, took_ms * 100 / u64::from(done));
        }
    }

    /// Learns from a run that has done its work.
    pub(crate) fn learn_from_end(&mut self, key: TaskKey, worker: WorkerKey, now_ms: u64) {
        let began_ms = self.task(key).map_or(0, |task| task.began_ms());
        if !self.is_comparable(key, worker, began_ms) {
            return;
        }
        let gang = self.is_gang(key.group);
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let times = !task.is_timed && !task.is_resumed;
        let took_ms = now_ms.saturating_sub(began_ms);
        task.is_timed = true;
        if times && !gang {
            self.policy
                .speeds
                .observe(key, worker, 100, took_ms, now_ms);
        }
        if times {
            self.learn_run_time(key, worker, took_ms);
        }
    }

    /// Learns how long a run takes in all, or its gang, of which one member speaks for all.
    fn learn_run_time(&mut self, key: TaskKey, worker: WorkerKey, run_ms: u64) {
        if self.is_gang(key.group) {
            for task in self.list_tasks(key.group) {
                if let Some(task) = self.task_mut(task) {
                    task.is_timed = true;
                }
            }
        }
        let usual_ms = run_ms as f64 * self.policy.speeds.factor(worker);
        let declared_ms = self.declared_ms(key.group);
        let kind = self.kind(key.group);
        self.policy
            .durations
            .observe(kind, usual_ms as u64, declared_ms);
    }

    /// Returns whether the progress of a run shows the speed of its machine: it works at full pace towards an end, beside
    /// its data, and its machine is warm.
    fn is_comparable(&self, key: TaskKey, worker: WorkerKey, now_ms: u64) -> bool {
        let (Some(task), Some(worker)) = (self.task(key), self.workers.get(worker)) else {
            return false;
        };
        let step = self.jobs[key.group.job].step_of(key.group.group as usize);
        let is_near = match &step.data_rack {
            None => true,
            Some(rack) => *rack == worker.entry.rack,
        };
        task.pace_percent == 100
            && !step.lasting
            && !step.fills
            && step.latency_target_ms.is_none()
            && is_near
            && now_ms >= worker.cold_until_ms
    }

    fn declared_ms(&self, group: GroupKey) -> u64 {
        self.jobs[group.job]
            .step_of(group.group as usize)
            .estimate_ms
    }

    fn kind(&self, group: GroupKey) -> Kind {
        let job = &self.jobs[group.job];
        let step = job.step_of(group.group as usize);
        Kind::new(
            &job.stored.queue,
            step.image.as_deref(),
            &job.stored.organisation,
        )
    }

    /// Returns how long a run of a group takes on a machine of usual speed.
    pub(crate) fn run_time(&self, group: GroupKey) -> RunTime {
        let declared_ms = self.declared_ms(group);
        self.policy
            .durations
            .estimate(self.kind(group), declared_ms)
    }

    /// Returns for the log how long the longest step of a job was expected to take, by what was learned.
    pub(crate) fn describe_run_time(&self, key: JobKey) -> String {
        let steps = self.jobs.get(key).map_or(0, |job| job.groups.len() as u32);
        let longest = (0..steps)
            .map(|group| self.run_time(GroupKey { job: key, group }))
            .max_by_key(|time| time.median_ms)
            .filter(|time| time.observations > 0);
        longest.map_or_else(String::new, |time| {
            format!(
                ", learned {} ms, 9 of 10 within {} ms, from {} runs",
                time.median_ms, time.p90_ms, time.observations
            )
        })
    }

    /// Returns the time that half of the runs of a group take at most.
    pub(crate) fn expected_run_ms(&self, group: GroupKey) -> u64 {
        self.run_time(group).median_ms
    }

    /// Returns when the current run of a task is expected to end, now if it is overdue; none if it lasts. A gang ends with
    /// its last member.
    pub(crate) fn expected_end_ms(&self, key: TaskKey, now_ms: u64) -> Option<u64> {
        let step = self.jobs[key.group.job].step_of(key.group.group as usize);
        if step.lasting {
            return None;
        }
        match step.gang {
            false => self.expected_member_end_ms(key, now_ms),
            true => (0..step.count)
                .filter_map(|index| {
                    let group = key.group;
                    self.expected_member_end_ms(TaskKey { group, index }, now_ms)
                })
                .max(),
        }
    }

    /// Returns when a run is expected to have done its own work: by its rate so far, otherwise by what its kind takes on a
    /// machine of that speed.
    fn expected_member_end_ms(&self, key: TaskKey, now_ms: u64) -> Option<u64> {
        let task = self.task(key)?;
        let left_percent = u64::from(100_u32.saturating_sub(task.percent));
        let since_ms = task.progressed_ms.max(task.began_ms());
        let measured_ms = task.first_share.and_then(|(percent, at_ms)| {
            let done = task.percent.saturating_sub(percent);
            let took_ms = task.progressed_ms.saturating_sub(at_ms);
            (done >= SHARE_FOR_SPEED).then(|| took_ms * left_percent / u64::from(done))
        });
        let left_ms = measured_ms.unwrap_or_else(|| {
            let factor = task
                .phase
                .worker()
                .map_or(1.0, |worker| self.policy.speeds.factor(worker));
            (self.expected_run_ms(key.group) as f64 / factor) as u64 * left_percent / 100
        });
        Some((since_ms + left_ms).max(now_ms))
    }

    /// Sets machines apart anew by what was learned of them.
    pub(crate) fn refresh_speeds(&mut self, now_ms: u64) {
        if let Some(why) = self.policy.speeds.refresh(now_ms) {
            self.record_decision(None, "speeds changed", why);
        }
        let (fast, slow) = self.policy.speeds.count_classes();
        (self.counts.machines_fast, self.counts.machines_slow) = (fast, slow);
    }

    /// Returns for the log on how many fast and slow machines tasks are placed, and counts gangs by that; nothing while
    /// speeds decide nothing.
    pub(crate) fn describe_speeds(&mut self, gang: bool, places: &[(u32, WorkerKey)]) -> String {
        if !self.policy.speeds.is_in_force() {
            return String::new();
        }
        let classes = places.iter().map(|(_, w)| self.policy.speeds.class(*w));
        let fast = classes.clone().filter(|c| *c == SpeedClass::Fast).count();
        let slow = classes.filter(|c| *c == SpeedClass::Slow).count();
        match fast.max(slow) == places.len() || fast + slow == 0 {
            _ if !gang => {}
            true => self.counts.gangs_alike += 1,
            false => self.counts.gangs_mixed += 1,
        }
        format!(", on fast machines: {fast}, on slow ones: {slow}")
    }

    /// Returns what the speed of a machine matters for with a group.
    pub(crate) fn use_of_speed(&self, group: GroupKey) -> UseOfSpeed {
        match self.jobs[group.job].stored.priority {
            0 => UseOfSpeed::Urgent,
            _ => UseOfSpeed::CanWait,
        }
    }

    /// Returns the order in which machines are preferred by their speed, the least first.
    pub(crate) fn speed_rank(&self, use_of_speed: UseOfSpeed, worker: WorkerKey) -> u8 {
        if !self.policy.speeds.is_in_force() {
            return 0;
        }
        match (use_of_speed, self.policy.speeds.class(worker)) {
            (UseOfSpeed::Urgent, SpeedClass::Fast) | (UseOfSpeed::CanWait, SpeedClass::Usual) => 0,
            (UseOfSpeed::Urgent, SpeedClass::Usual) | (UseOfSpeed::CanWait, SpeedClass::Fast) => 1,
            (_, SpeedClass::Slow) => 2,
        }
    }
}
