//! Finds the work that the guarantees of organisations cover.

use std::collections::{HashMap, HashSet};

use crate::group::{GroupKey, JobKey, TaskKey};
use crate::planner::Planner;
use crate::policy::guarantees::{UrgentJob, divide_guarantee};
use crate::spec::Resources;

/// The work that may not be stopped for a guarantee, as the guarantee of its own organisation covers it.
#[derive(Debug, Default)]
pub(crate) struct Coverage {
    jobs: HashSet<JobKey>,
    /// Tasks of jobs that are covered in part.
    tasks: HashSet<TaskKey>,
}

impl Coverage {
    /// Returns whether a task is covered.
    pub fn covers(&self, task: TaskKey) -> bool {
        self.jobs.contains(&task.group.job) || self.tasks.contains(&task)
    }
}

/// What a planning pass has found out about guarantees, each once: many groups may wait for room in vain.
#[derive(Debug, Default)]
pub(crate) struct Reclaims {
    /// The organisations whose unfinished urgent jobs together need no more accelerators than are guaranteed.
    within: Option<HashSet<String>>,
    coverage: Option<Coverage>,
    /// Needs and numbers of tasks, by service, for which no stops make room on any worker.
    in_vain: Vec<(String, Resources, usize)>,
}

impl Reclaims {
    /// Returns whether an urgent job is covered by the guarantee of its organisation as a whole.
    pub fn is_guaranteed(&mut self, planner: &Planner, key: JobKey) -> bool {
        let within = self
            .within
            .get_or_insert_with(|| planner.list_organisations_within());
        within.contains(&planner.jobs[key].stored.organisation)
    }

    /// Returns the work that guarantees cover.
    pub fn coverage(&mut self, planner: &Planner) -> &Coverage {
        self.coverage.get_or_insert_with(|| planner.find_coverage())
    }

    /// Records that no stops make room for so many tasks that may run on all workers of a service.
    pub fn record_in_vain(&mut self, service: &str, need: Resources, count: usize) {
        self.in_vain.push((service.to_string(), need, count));
    }

    /// Returns whether it was found that no stops make room for as little as that.
    pub fn is_in_vain(&self, service: &str, need: &Resources, count: usize) -> bool {
        self.in_vain.iter().any(|(known, least, least_count)| {
            known == service && least.fits(need) && *least_count <= count
        })
    }
}

impl Planner {
    /// Returns the organisations with unfinished urgent jobs that need no more accelerators than are guaranteed.
    fn list_organisations_within(&self) -> HashSet<String> {
        let needs = self.sum_urgent_needs().into_iter();
        let guaranteed = |name: &str| self.guaranteed.get(name).copied().unwrap_or(0);
        needs
            .filter(|(name, needed)| *needed <= guaranteed(name))
            .map(|(name, _)| name.to_string())
            .collect()
    }

    /// Returns the accelerators that all unfinished urgent jobs of each organisation need together.
    pub(crate) fn sum_urgent_needs(&self) -> HashMap<&str, i64> {
        let mut needs = HashMap::new();
        for (_, job) in self.list_urgent_jobs() {
            *needs.entry(job.stored.organisation.as_str()).or_insert(0) += job.accelerators();
        }
        needs
    }

    /// Returns the work that the guarantees of all organisations cover now.
    pub(crate) fn find_coverage(&self) -> Coverage {
        let mut by_organisation: HashMap<&str, Vec<UrgentJob>> = HashMap::new();
        for (key, job) in self.list_urgent_jobs() {
            let steps = &job.stored.request.steps;
            let jobs = by_organisation.entry(job.stored.organisation.as_str());
            jobs.or_default().push(UrgentJob {
                job: key,
                order: job.order,
                accelerators: job.accelerators(),
                is_divisible: !steps.iter().any(|step| step.gang),
            });
        }
        let mut coverage = Coverage::default();
        for (organisation, jobs) in by_organisation {
            let guaranteed = self.guaranteed.get(organisation).copied().unwrap_or(0);
            for (job, accelerators) in divide_guarantee(guaranteed, jobs) {
                match accelerators >= self.jobs[job].accelerators() {
                    true => _ = coverage.jobs.insert(job),
                    false => coverage
                        .tasks
                        .extend(self.list_covered_tasks(job, accelerators)),
                }
            }
        }
        coverage
    }

    /// Returns the first of a job's tasks on workers that together have no more than these accelerators.
    fn list_covered_tasks(&self, key: JobKey, accelerators: i64) -> Vec<TaskKey> {
        let mut left = accelerators;
        let mut covered = Vec::new();
        for group in 0..self.jobs[key].groups.len() {
            let group = GroupKey {
                job: key,
                group: group as u32,
            };
            let need = self.need(group).accelerators;
            for task in self.list_tasks(group) {
                let is_on_worker = self.task(task).is_some_and(|t| t.phase.worker().is_some());
                if is_on_worker && need <= left {
                    left -= need;
                    covered.push(task);
                }
            }
        }
        covered
    }

    fn list_urgent_jobs(&self) -> impl Iterator<Item = (JobKey, &crate::job::Job)> {
        let unfinished = self.jobs.iter().filter(|(_, job)| !job.state.is_final());
        unfinished.filter(|(_, job)| job.stored.priority == 0)
    }
}
