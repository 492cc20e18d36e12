//! Workers that fail what they start: those workers get no work for a while, and jobs keep their last attempts for others.
//!
//! Guards against jobs that are shown as failed although they can be done: a gang that needs several workers meets one of
//! the failing ones again and again, and uses up its attempts within a second or two.

mod support;

use std::collections::HashSet;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{Decision, RunOutcome};
use support::idle_site::{LONGEST_DECISION_MS, PASS_MS, Site, URGENT_WINDOW_MS};
use support::{job, step, worker_of};

/// How long a run takes on a sound worker.
const RUN_MS: u64 = 600;

/// A site with workers that fail all that they start, and jobs that fail wherever they start.
struct Load {
    site: Site,
    failing: HashSet<usize>,
    hopeless: HashSet<u64>,
    begun: Vec<(Order, u64)>,
    decisions: Vec<Decision>,
    /// Number of runs that failed on each worker.
    failed: Vec<usize>,
}

impl Load {
    fn new(workers: u32) -> Load {
        Load {
            site: Site::new(workers),
            failing: HashSet::new(),
            hopeless: HashSet::new(),
            begun: Vec::new(),
            decisions: Vec::new(),
            failed: vec![0; workers as usize],
        }
    }

    fn submit(&mut self, priority: u32, attempts: u32, step: StepSpec) -> u64 {
        self.site.jobs += 1;
        let number = self.site.jobs;
        let stored = StoredJob {
            attempts,
            ..job(number, priority, vec![step])
        };
        let now_ms = self.site.harness.now_ms;
        self.site.harness.planner.add_job(stored, number, now_ms);
        number
    }

    fn index_of(&self, order: &Order) -> usize {
        let worker = worker_of(order);
        let workers = &self.site.harness.workers;
        workers.iter().position(|w| *w == worker).unwrap()
    }

    /// Plays one pass. Runs end after [`RUN_MS`], at failing workers and of hopeless jobs after one pass; the other
    /// members of a gang break with one that failed.
    fn advance(&mut self) {
        self.site.advance();
        let now_ms = self.site.harness.now_ms;
        for run in self.site.runs.clone() {
            if !self.begun.iter().any(|(known, _)| *known == run) {
                self.begun.push((run, now_ms));
            }
        }
        for (run, began_ms) in self.begun.clone() {
            let Order::Start { task, .. } = &run else {
                continue;
            };
            if !self.site.runs.contains(&run) || now_ms < began_ms + PASS_MS {
                continue;
            }
            let index = self.index_of(&run);
            let number = u64::from_str_radix(&task.job.to_string(), 16).unwrap();
            if self.failing.contains(&index) || self.hopeless.contains(&number) {
                self.failed[index] += 1;
                let job = task.job;
                self.site.end(run, RunOutcome::Failed);
                self.break_others(job);
            } else if now_ms >= began_ms + RUN_MS {
                self.site.end(run, RunOutcome::Done);
            }
        }
        let runs = self.site.runs.clone();
        self.begun.retain(|(run, _)| runs.contains(run));
        let decisions = self.site.harness.planner.take_decisions();
        self.decisions.extend(decisions);
    }

    /// Ends what still runs of a job with a gang.
    fn break_others(&mut self, job: JobId) {
        for run in self.site.runs.clone() {
            if matches!(&run, Order::Start { task, .. } if task.job == job) {
                self.site.end(run, RunOutcome::Broken);
            }
        }
    }

    fn play(&mut self, ms: u64) {
        for _ in 0..ms / PASS_MS {
            self.advance();
        }
    }

    /// Plays while an urgent gang and a single task come every 200 ms.
    fn play_under_load(&mut self, ms: u64) {
        for _ in 0..ms / (2 * PASS_MS) {
            self.submit(0, 4, gang(step(4, 2)));
            self.submit(1, 4, step(2, 1));
            self.play(2 * PASS_MS);
        }
    }

    fn count(&self, what: &str) -> usize {
        self.decisions.iter().filter(|d| d.what == what).count()
    }

    fn count_failed_jobs(&self) -> usize {
        let ended = self.decisions.iter().filter(|d| d.what == "job ended");
        ended.filter(|d| d.why.starts_with("state Failed")).count()
    }
}

fn gang(step: StepSpec) -> StepSpec {
    StepSpec { gang: true, ..step }
}

/// A quarter of the workers fails everything for 7 s, under load.
#[test]
fn gangs_end_while_a_quarter_of_workers_fails() {
    let mut load = Load::new(32);
    load.play_under_load(2_000);
    load.failing = (0..8).collect();
    load.play_under_load(7_000);
    load.failing.clear();
    load.play(6_000);
    let counts = load.site.harness.planner.counts();
    assert_eq!(load.count_failed_jobs(), 0);
    assert_eq!(load.site.harness.planner.sizes().0, 0);
    assert!(counts.quarantined_in_burst > 0);
    // Before the burst is known a worker may have failed as much as it had room for; then it gets one task at a time.
    assert!(
        load.failed.iter().all(|failed| *failed <= 12),
        "{:?}",
        load.failed
    );
}

/// What the workers fail by chance stays below the burst: nothing is decided.
#[rstest]
#[case::none(0)]
#[case::one_job_that_cannot_be_done(1)]
#[case::two_such_jobs(2)]
fn nothing_is_decided_without_burst(#[case] hopeless: u64) {
    let mut load = Load::new(32);
    load.play_under_load(2_000);
    for _ in 0..hopeless {
        let number = load.submit(1, 4, gang(step(4, 2)));
        load.hopeless.insert(number);
    }
    load.play_under_load(7_000);
    load.play(3_000);
    let counts = load.site.harness.planner.counts();
    assert_eq!(counts.quarantined_in_burst, 0);
    assert_eq!(counts.attempts_kept, 0);
    assert_eq!(counts.failed_by_job, 0);
    assert_eq!(load.count("worker quarantined"), 0);
    assert_eq!(load.count_failed_jobs(), hopeless as usize);
}

/// One failing worker is taken out after failures of two jobs, as without a burst.
#[test]
fn single_failing_worker_is_taken_out() {
    let mut load = Load::new(32);
    load.play_under_load(2_000);
    load.failing.insert(5);
    load.play_under_load(7_000);
    load.failing.clear();
    load.play(3_000);
    assert_eq!(load.site.harness.planner.counts().quarantined_in_burst, 0);
    assert!(load.count("worker quarantined") > 0);
    assert_eq!(load.count_failed_jobs(), 0);
}

/// A job that can never be done fails in the end, also while many workers fail, and isn't blamed on sound ones.
#[test]
fn hopeless_job_fails_during_burst() {
    let mut load = Load::new(32);
    load.play_under_load(2_000);
    load.failing = (0..8).collect();
    load.play_under_load(1_000);
    for _ in 0..4 {
        let number = load.submit(0, 4, gang(step(4, 2)));
        load.hopeless.insert(number);
    }
    load.play_under_load(6_000);
    assert_eq!(load.count_failed_jobs(), 4);
}

/// If all workers fail, a last attempt is kept for some seconds, and then made: the job isn't idle for long beside room.
#[rstest]
#[case::gang(true)]
#[case::single_task(false)]
fn last_attempt_is_made_without_proven_worker(#[case] is_gang: bool) {
    let mut load = Load::new(8);
    load.failing = (0..8).collect();
    for _ in 0..6 {
        load.submit(
            1,
            2,
            StepSpec {
                gang: is_gang,
                ..step(2, 4)
            },
        );
    }
    load.play(1_000);
    assert!(load.count("attempt kept") > 0);
    load.play(URGENT_WINDOW_MS + LONGEST_DECISION_MS);
    assert_eq!(load.site.harness.planner.sizes().0, 0);
    assert_eq!(load.count_failed_jobs(), 6);
}

/// Eight runs of one worker fail at the same time. That is one quarantine, not one of 24 s.
#[test]
fn runs_that_fail_together_quarantine_once() {
    let mut load = Load::new(1);
    for _ in 0..8 {
        load.submit(1, 9, step(1, 1));
    }
    load.advance();
    load.failing.insert(0);
    load.advance();
    load.failing.clear();
    assert_eq!(load.count("worker quarantined"), 1);
    load.play(4_000);
    assert_eq!(load.site.harness.planner.sizes().0, 0);
}
