//! Tasks that run until their job is cancelled start wherever there is room, however full the service is.
//!
//! Guards against LOST: capacity that was kept for urgent work, or for a rack, was kept from lasting tasks for longer than
//! the platform lets them have nothing running.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{BodyLimits, Configuration, StartOutcome};
use support::live_site::LiveSite;
use support::{Harness, job, queue, running, starts, step, stops, worker_of};

/// Run time of the work that occupies workers.
const LONG_MS: u64 = 70_000;

/// A lasting task must not have nothing running for this long while there is room for it.
const LONGEST_IDLE_MS: u64 = 3_000;

/// Time between two planning passes.
const PASS_MS: u64 = 100;

/// A planner and the runs that were started, which go on.
struct Site {
    harness: Harness,
    runs: Vec<Order>,
    jobs: u64,
}

impl Site {
    fn new(workers: u32) -> Site {
        Site {
            harness: Harness::with_workers(workers),
            runs: Vec::new(),
            jobs: 0,
        }
    }

    /// Submits a job of one step.
    fn submit(&mut self, priority: u32, step: StepSpec) {
        self.jobs += 1;
        let stored = job(self.jobs, priority, vec![step]);
        let now_ms = self.harness.now_ms;
        self.harness.planner.add_job(stored, self.jobs, now_ms);
    }

    /// Plays some time, in which the completed share of each run stands still. Returns the number of starts
    /// of the job that was submitted last.
    fn play(&mut self, ms: u64) -> usize {
        let last = format!("{:016x}.", self.jobs);
        let mut started = 0;
        for _ in 0..ms / PASS_MS {
            self.harness.now_ms += PASS_MS;
            for index in 0..self.harness.workers.len() {
                let worker = self.harness.workers[index];
                let here = self.runs.iter().filter(|run| worker_of(run) == worker);
                let in_progress = here.map(running).collect();
                self.harness.report(index, in_progress, vec![]);
            }
            let orders = self.harness.start_all();
            assert!(stops(&orders).is_empty(), "nothing is preempted");
            let names = starts(&orders);
            started += names.iter().filter(|(n, _)| n.starts_with(&last)).count();
            self.runs.extend(orders);
        }
        started
    }

    /// Plays until there are orders, for at most some time, and returns them.
    fn wait_for_orders(&mut self, most_ms: u64) -> Vec<Order> {
        for _ in 0..most_ms / PASS_MS {
            self.harness.now_ms += PASS_MS;
            for index in 0..self.harness.workers.len() {
                self.harness.report(index, vec![], vec![]);
            }
            let orders = self.harness.plan();
            if !orders.is_empty() {
                return orders;
            }
        }
        Vec::new()
    }
}

fn long_step(count: u32, accelerators: i64) -> StepSpec {
    StepSpec {
        estimate_ms: LONG_MS,
        ..step(count, accelerators)
    }
}

fn lasting_step(count: u32) -> StepSpec {
    StepSpec {
        lasting: true,
        estimate_ms: 60_000,
        ..step(count, 1)
    }
}

#[rstest]
#[case::single_tasks(1, false)]
#[case::lowest_priority(3, false)]
#[case::gang(1, true)]
fn lasting_task_starts_beside_urgent_gang_that_waits_while_half_is_in_use(
    #[case] priority: u32,
    #[case] gang: bool,
) {
    let mut site = Site::new(16);
    let long = StepSpec {
        most_per_worker: 1,
        ..long_step(16, 4)
    };
    site.submit(2, long);
    assert_eq!(site.play(15_000), 16);
    let urgent = StepSpec {
        gang: true,
        estimate_ms: 9_000,
        ..step(16, 8)
    };
    site.submit(0, urgent);
    assert_eq!(site.play(1_000), 0);
    let lasting = StepSpec {
        gang,
        ..lasting_step(2)
    };
    site.submit(priority, lasting);
    assert_eq!(site.play(LONGEST_IDLE_MS), 2, "64 of 128 are idle");
}

#[rstest]
#[case::next_priority(1)]
#[case::lowest_priority(3)]
fn lasting_task_starts_where_only_headroom_is_free(#[case] priority: u32) {
    let mut site = Site::new(8);
    site.harness.planner.set_configuration(&Configuration {
        version: 1,
        queues: vec![queue(0)],
        services: Vec::new(),
        organisations: Vec::new(),
        limits: BodyLimits { body_bytes: 1 },
    });
    site.submit(2, long_step(64, 1));
    assert_eq!(site.play(10_000), 32);
    site.submit(priority, lasting_step(2));
    assert_eq!(site.play(LONGEST_IDLE_MS), 2, "32 of 64 are idle");
}

#[rstest]
#[case::single_tasks(false)]
#[case::gang(true)]
fn lasting_task_leaves_full_rack_of_its_data(#[case] gang: bool) {
    let mut site = Site::new(16);
    let on_rack = |step: StepSpec| StepSpec {
        data_rack: Some("rack-0".to_string()),
        ..step
    };
    site.submit(2, on_rack(long_step(8, 8)));
    assert_eq!(site.play(1_000), 8);
    let lasting = StepSpec {
        gang,
        ..lasting_step(2)
    };
    site.submit(1, on_rack(lasting));
    assert_eq!(site.play(LONGEST_IDLE_MS), 2, "the other rack is idle");
}

/// A worker that turned away starts again and again gets no other work for up to 24 s, also once it is healthy.
#[test]
fn lasting_task_starts_at_quarantined_worker_if_no_other_has_room() {
    let mut site = Site::new(1);
    site.submit(1, lasting_step(1));
    for _ in 0..4 {
        let orders = site.wait_for_orders(30_000);
        assert_eq!(starts(&orders).len(), 1);
        let outcome = StartOutcome::Unhealthy;
        site.harness.report_start_outcome(&orders[0], outcome);
    }
    assert_eq!(starts(&site.wait_for_orders(LONGEST_IDLE_MS)).len(), 1);
}

/// The urgent job needs as much, waits as long, and finds no room before it since it may not use quarantined workers.
#[test]
fn lasting_task_starts_at_quarantined_worker_beside_urgent_job_that_waits() {
    let mut site = Site::new(1);
    site.submit(1, lasting_step(1));
    for _ in 0..4 {
        let orders = site.wait_for_orders(30_000);
        let outcome = StartOutcome::Unhealthy;
        site.harness.report_start_outcome(&orders[0], outcome);
    }
    let urgent = job(100, 0, vec![step(1, 1)]);
    let now_ms = site.harness.now_ms;
    site.harness.planner.add_job(urgent, 100, now_ms);
    let mut started = Vec::new();
    for _ in 0..LONGEST_IDLE_MS / PASS_MS {
        started.extend(starts(&site.wait_for_orders(PASS_MS)));
    }
    assert!(
        started
            .iter()
            .any(|(name, _)| name.starts_with("0000000000000001."))
    );
}

/// Tasks of a gang that run slower on several racks.
#[test]
fn lasting_gang_is_spread_over_racks_that_are_nearly_full() {
    let mut site = Site::new(16);
    let long = StepSpec {
        most_per_worker: 1,
        ..long_step(16, 7)
    };
    site.submit(2, long);
    assert_eq!(site.play(1_000), 16);
    let lasting = StepSpec {
        gang: true,
        one_rack: true,
        most_per_worker: 1,
        ..lasting_step(10)
    };
    site.submit(1, lasting);
    assert_eq!(site.play(LONGEST_IDLE_MS), 10);
}

/// The platform bears that nothing of a lasting task runs for 3 s, from 6 s after its last run.
const LONGEST_AWAY_MS: u64 = 9_000;

/// Guards against LOST: a worker is lost for good right after it has answered a renewal, and its lease, until whose end the
/// task may run there, is longer than the platform lets the task have nothing running.
#[rstest]
#[case::alone(0)]
#[case::beside_other_work(1)]
fn lasting_task_runs_again_in_time_after_its_worker_is_lost(#[case] others: u64) {
    let mut site = LiveSite::new(2);
    for number in 0..others {
        site.add(job(10 + number, 1, vec![long_step(2, 2)]));
    }
    let stored = job(1, 1, vec![lasting_step(1)]);
    let lost = site.run_job(stored.clone());
    site.play(10_000);
    site.workers[lost].reachable = false;
    site.workers[lost].up = false;
    site.play(LONGEST_AWAY_MS);
    assert_eq!(site.find_runs(stored.id), vec![1 - lost]);
}
