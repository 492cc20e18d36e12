//! Urgent work must start without waiting while other work fills the site.
//!
//! Guards against missing headroom: without it, background work occupies all accelerators, and urgent groups wait for
//! preemptions. A simulated site plays a load against the planner.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{BodyLimits, Configuration, RunOutcome, TaskName};
use support::{Harness, ended, job, queue, running, starts, step, stops, worker_of};

/// Run time of urgent tasks, and of other tasks.
const URGENT_MS: u64 = 2_000;
const OTHER_MS: u64 = 9_000;

/// A run in progress on a worker.
struct Run {
    order: Order,
    ends_ms: u64,
}

/// A simulated site whose workers run each task for a fixed time.
struct Site {
    harness: Harness,
    runs: Vec<Run>,
    ends: Vec<u64>,
    stopped: usize,
    /// Submission and first start of each urgent job.
    urgent: Vec<(u64, Option<u64>)>,
}

fn is_urgent(task: TaskName) -> bool {
    task.to_string().starts_with("00000000000a")
}

impl Site {
    fn new(workers: u32) -> Site {
        Site {
            harness: Harness::with_workers(workers),
            runs: Vec::new(),
            ends: vec![0; workers as usize],
            stopped: 0,
            urgent: Vec::new(),
        }
    }

    fn worker_index(&self, order: &Order) -> usize {
        let worker = worker_of(order);
        self.harness
            .workers
            .iter()
            .position(|w| *w == worker)
            .unwrap()
    }

    /// Advances by 100 ms: ends finished runs, reports, plans and starts.
    fn advance(&mut self) {
        self.harness.now_ms += 100;
        let now_ms = self.harness.now_ms;
        for index in 0..self.ends.len() {
            let (over, on): (Vec<usize>, Vec<usize>) = (0..self.runs.len())
                .filter(|run| self.worker_index(&self.runs[*run].order) == index)
                .partition(|run| self.runs[*run].ends_ms <= now_ms);
            let in_progress = on
                .iter()
                .map(|run| running(&self.runs[*run].order))
                .collect();
            let mut ends = Vec::new();
            for run in over {
                self.ends[index] += 1;
                let outcome = match self.runs[run].ends_ms {
                    0 => RunOutcome::Stopped,
                    _ => RunOutcome::Done,
                };
                ends.push(ended(&self.runs[run].order, self.ends[index], outcome, ""));
            }
            self.harness.report(index, in_progress, ends);
        }
        self.runs.retain(|run| run.ends_ms > now_ms);
        let orders = self.harness.start_all();
        self.stopped += stops(&orders).len();
        for order in orders {
            match &order {
                Order::Start { task, .. } => {
                    let takes_ms = match is_urgent(*task) {
                        true => URGENT_MS,
                        false => OTHER_MS,
                    };
                    if is_urgent(*task) {
                        let index = usize::from_str_radix(&task.to_string()[12..16], 16).unwrap();
                        self.urgent[index].1.get_or_insert(now_ms);
                    }
                    self.runs.push(Run {
                        order,
                        ends_ms: now_ms + takes_ms,
                    });
                }
                Order::Stop { task, .. } => {
                    let stopped = self.runs.iter_mut().find(|run| match &run.order {
                        Order::Start { task: running, .. } => running == task,
                        _ => false,
                    });
                    if let Some(run) = stopped {
                        run.ends_ms = 0;
                    }
                }
                _ => {}
            }
        }
    }

    /// Submits an urgent gang that fits on half a rack.
    fn submit_urgent_gang(&mut self) {
        let number = self.urgent.len() as u64;
        let gang = StepSpec {
            gang: true,
            one_rack: true,
            ..step(4, 4)
        };
        let now_ms = self.harness.now_ms;
        self.urgent.push((now_ms, None));
        let id = 0x0000_0000_000a_0000 + number;
        self.harness
            .planner
            .add_job(job(id, 0, vec![gang]), 1_000 + number, now_ms);
    }

    /// Submits a job of low priority with this many tasks.
    fn submit_other_job(&mut self, number: u64, tasks: u32) {
        let now_ms = self.harness.now_ms;
        let other = StepSpec {
            estimate_ms: OTHER_MS,
            ..step(tasks, 1)
        };
        let stored = StoredJob {
            stretch_percent: 600,
            ..job(number, 2, vec![other])
        };
        self.harness.planner.add_job(stored, number, now_ms);
    }
}

#[test]
fn urgent_gangs_start_at_once_under_background_load() {
    let mut site = Site::new(16);
    for tick in 0..120_u64 {
        if tick % 8 == 0 {
            site.submit_urgent_gang();
        }
        if tick == 20 || tick == 60 {
            site.submit_other_job(tick, 100);
        }
        site.advance();
    }
    let late: Vec<_> = site
        .urgent
        .iter()
        .filter(|(arrived_ms, started_ms)| started_ms.is_none_or(|at| at > arrived_ms + 100))
        .collect();
    assert!(late.is_empty(), "had to wait: {late:?}");
    assert_eq!(site.stopped, 0, "nothing was stopped for them");
    assert!(
        site.runs
            .iter()
            .filter(|run| !matches!(&run.order, Order::Start { task, .. } if is_urgent(*task)))
            .count()
            >= 60,
        "other work still uses most of the capacity"
    );
}

#[rstest]
#[case::no_wait(0, false)]
#[case::long_wait(12_000, true)]
fn other_work_uses_headroom_after_long_wait(#[case] waited_ms: u64, #[case] takes: bool) {
    let mut harness = Harness::with_workers(8);
    let gang = StepSpec {
        gang: true,
        ..step(4, 8)
    };
    harness
        .planner
        .add_job(job(1, 0, vec![gang]), 1, harness.now_ms);
    let urgent = harness.start_all();
    for (number, order) in urgent.iter().enumerate() {
        let index = harness
            .workers
            .iter()
            .position(|w| *w == worker_of(order))
            .unwrap();
        harness.report(
            index,
            vec![],
            vec![ended(order, number as u64 + 1, RunOutcome::Done, "")],
        );
    }
    let other = StepSpec {
        estimate_ms: OTHER_MS,
        ..step(8, 8)
    };
    let stored = StoredJob {
        stretch_percent: 300,
        ..job(2, 2, vec![other])
    };
    harness.planner.add_job(stored, 2, harness.now_ms);
    let first = starts(&harness.start_all()).len();
    assert_eq!(
        first, 4,
        "half of the workers are headroom for another such gang"
    );
    harness.now_ms += waited_ms;
    for index in 0..8 {
        harness.report(index, vec![], vec![]);
    }
    assert_eq!(!starts(&harness.plan()).is_empty(), takes);
}

#[rstest]
#[case::urgent_work_may_come(0, 32)]
#[case::no_urgent_work(1, 64)]
fn headroom_is_reserved_before_first_urgent_work(#[case] priority: u32, #[case] started: usize) {
    let mut harness = Harness::with_workers(8);
    harness.planner.set_configuration(&Configuration {
        version: 1,
        queues: vec![queue(priority)],
        services: Vec::new(),
        organisations: Vec::new(),
        limits: BodyLimits { body_bytes: 1 },
    });
    let other = StepSpec {
        estimate_ms: OTHER_MS,
        ..step(64, 1)
    };
    let stored = StoredJob {
        stretch_percent: 300,
        ..job(1, 2, vec![other])
    };
    harness.planner.add_job(stored, 1, harness.now_ms);
    assert_eq!(starts(&harness.plan()).len(), started);
}

/// On a site with few workers the expected urgent groups could hold all of them, with nothing running.
#[rstest]
#[case::one_worker(1, 4)]
#[case::two_workers(2, 8)]
fn headroom_leaves_half_of_small_site_to_other_work(#[case] workers: u32, #[case] started: usize) {
    let mut harness = Harness::with_workers(workers);
    harness.planner.set_configuration(&Configuration {
        version: 1,
        queues: vec![queue(0)],
        services: Vec::new(),
        organisations: Vec::new(),
        limits: BodyLimits { body_bytes: 1 },
    });
    let other = StepSpec {
        estimate_ms: OTHER_MS,
        ..step(64, 1)
    };
    let stored = StoredJob {
        stretch_percent: 600,
        ..job(1, 2, vec![other])
    };
    harness.planner.add_job(stored, 1, harness.now_ms);
    assert_eq!(starts(&harness.plan()).len(), started);
}

#[rstest]
#[case::saves_its_progress(true, 2, 32)]
#[case::would_lose_its_work(false, 2, 0)]
#[case::second_priority(true, 1, 0)]
fn headroom_is_freed_before_urgent_work_arrives(
    #[case] saves_progress: bool,
    #[case] priority: u32,
    #[case] stopped: usize,
) {
    let mut harness = Harness::with_workers(8);
    let other = StepSpec {
        estimate_ms: OTHER_MS,
        saves_progress,
        ..step(64, 1)
    };
    harness
        .planner
        .add_job(job(1, priority, vec![other]), 1, harness.now_ms);
    let runs = harness.start_all();
    assert_eq!(starts(&runs).len(), 64, "the site is full");
    harness.planner.set_configuration(&Configuration {
        version: 1,
        queues: vec![queue(0)],
        services: Vec::new(),
        organisations: Vec::new(),
        limits: BodyLimits { body_bytes: 1 },
    });
    let mut stops_seen = 0;
    for _ in 0..4 {
        harness.now_ms += 1_000;
        for index in 0..8 {
            let in_progress = runs
                .iter()
                .filter(|run| worker_of(run) == harness.workers[index])
                .map(running)
                .collect();
            harness.report(index, in_progress, vec![]);
        }
        stops_seen += stops(&harness.plan()).len();
    }
    assert_eq!(stops_seen, stopped, "never more than the headroom");
}
