//! Checks that failed runs count as attempts: a job may end as failed once they are used up, and nothing of it starts then.

use std::collections::{BTreeMap, BTreeSet};

use platform_standin::DECLARED_ATTEMPTS;

use crate::check::{Broken, Observed, Run};

impl Observed {
    /// Returns the most failed runs of a task of a job, or of a gang, whose run counts once however many members fail in it.
    pub(crate) fn count_failed_runs(&self, job: &str, runs: &BTreeMap<String, Vec<Run>>) -> usize {
        let mut failed: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
        for (task, runs) in runs.iter().filter(|(task, _)| task.starts_with(job)) {
            let counted = self.gang_of(task).unwrap_or(task);
            let numbers = runs.iter().filter(|run| run.has_failed());
            let known = failed.entry(counted).or_default();
            known.extend(numbers.map(|run| run.run));
        }
        failed.values().map(BTreeSet::len).max().unwrap_or(0)
    }

    /// Returns whether a job may be shown as failed.
    pub(crate) fn has_used_up_attempts(
        &self,
        job: &str,
        runs: &BTreeMap<String, Vec<Run>>,
    ) -> bool {
        self.count_failed_runs(job, runs) >= DECLARED_ATTEMPTS as usize
    }

    /// Returns the name of the gang that a task belongs to, if it does.
    fn gang_of<'t>(&self, task: &'t str) -> Option<&'t str> {
        let (gang, _index) = task.rsplit_once('.')?;
        let mut parts = gang.split('.');
        let steps = self.steps.get(parts.next()?)?;
        let step = parts.nth(1)?.parse::<usize>().ok()?;
        steps.get(step).filter(|step| step.gang).map(|_| gang)
    }

    /// Finds tasks that start after as many of their runs have failed as may, counting ends that were confirmed.
    pub(crate) fn check_attempts(
        &self,
        runs: &BTreeMap<String, Vec<Run>>,
        broken: &mut Vec<Broken>,
    ) {
        for (task, runs) in runs {
            let mut failed_ms: Vec<u64> = runs
                .iter()
                .filter(|run| run.has_failed() && self.was_confirmed(run))
                .map(|run| run.ended_ms)
                .collect();
            failed_ms.sort_unstable();
            let Some(last_ms) = failed_ms.get(DECLARED_ATTEMPTS as usize - 1) else {
                continue;
            };
            if let Some(late) = runs.iter().find(|run| run.began_ms > *last_ms) {
                broken.push(Broken {
                    promise: "no task starts after its attempts are used up",
                    subject: task.clone(),
                    detail: format!("run {} started on {}", late.run, late.worker),
                });
            }
        }
    }
}
