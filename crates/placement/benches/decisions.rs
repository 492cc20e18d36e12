//! Duration of decisions and memory of the state at the target size.
//!
//! The site has 13,000 workers with 21,000 accelerators: some have eight, many have one, most have
//! none. Running and waiting jobs have 95,000 tasks in total. Percentiles are over single events,
//! because the required bounds are on percentiles.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use model::job::RawGangShape;
use model::prelude::*;
use placement::{Decision, Event, Placement, PlacementConfig, WorkerSpec};

const WORKERS: u32 = 13_000;
const FULL_RACKS: u32 = 290;
const TASKS: u32 = 95_000;
const ORGANISATIONS: u32 = 650;
const SAMPLES: usize = 2_000;

fn name<T: TryFrom<String>>(raw: String) -> T {
    T::try_from(raw).unwrap_or_else(|_| panic!("a valid name"))
}

fn job_id(sequence: u64) -> JobId {
    JobId {
        data_centre: name("gyor".into()),
        node: name("n1".into()),
        incarnation: Incarnation(1),
        sequence,
    }
}

fn spec(
    sequence: u64,
    members: u32,
    accelerators_per_member: u32,
    adjacency: Adjacency,
) -> JobSpec {
    let raw = RawGangShape {
        members,
        accelerators_per_member,
        adjacency,
    };
    JobSpec {
        class: name("sweep".into()),
        organisation: name(format!("team{}", sequence % u64::from(ORGANISATIONS))),
        gang: GangShape::try_from(raw).expect("a valid gang"),
        run_ms_declared: 3_600_000 + sequence % 977 * 1_000,
        checkpointable: !sequence.is_multiple_of(5),
        ticket: None,
        input: String::new(),
    }
}

/// A simulated site with its running jobs.
struct Site {
    placement: Placement,
    now_ms: u64,
    next_job: u64,
    running: Vec<JobId>,
}

impl Site {
    fn new() -> Self {
        let mut site = Self {
            placement: Placement::new(PlacementConfig::default(), 1),
            now_ms: 0,
            next_job: 0,
            running: Vec::new(),
        };
        for index in 0..WORKERS {
            let rack = index / WORKERS_PER_RACK;
            let has_eight_accelerators = rack < FULL_RACKS;
            let has_one_accelerator =
                !has_eight_accelerators && (index - FULL_RACKS * WORKERS_PER_RACK) < 2_440;
            site.apply(Event::WorkerJoined(WorkerSpec {
                name: name(format!("w{index}")),
                rack: name(format!("r{rack}")),
                position: index % WORKERS_PER_RACK,
                accelerators: if has_eight_accelerators {
                    8
                } else {
                    u32::from(has_one_accelerator)
                },
            }));
        }
        site.declare();
        site.now_ms += 60_000;
        site.tick();
        site
    }

    fn declare(&mut self) -> Duration {
        let organisations = (0..ORGANISATIONS).map(|index| OrganisationSpec {
            name: name(format!("team{index}")),
            guarantees: vec![Guarantee {
                data_centre: name("gyor".into()),
                level: if index % 10 == 0 {
                    Level::Worker
                } else {
                    Level::Four
                },
                count: 1,
            }],
            quota: Quota {
                accelerators: 2_000,
                requests_in_flight: 0,
            },
            classes: vec![name("sweep".into())],
            token_digests: Vec::new(),
            suspended: false,
        });
        let class = ClassSpec {
            name: name("sweep".into()),
            urgency: Urgency::Normal,
            expected_run_ms: 3_600_000,
            deadline_ms: 0,
            grace_ms: 30_000,
            idempotent: true,
            in_flight_max: 0,
            queue_max: 0,
        };
        let organisations = organisations.collect();
        self.apply(Event::Declared {
            data_centre: name("gyor".into()),
            organisations,
            classes: vec![class],
        })
    }

    fn apply(&mut self, event: Event) -> Duration {
        let mut out = Vec::new();
        let start = Instant::now();
        self.placement.apply(self.now_ms, event, &mut out);
        let duration = start.elapsed();
        self.carry_out(out);
        while self
            .placement
            .next_wake_ms()
            .is_some_and(|wake_ms| wake_ms <= self.now_ms)
        {
            self.tick();
        }
        duration
    }

    fn tick(&mut self) -> Duration {
        let mut out = Vec::new();
        let start = Instant::now();
        self.placement.tick(self.now_ms, &mut out);
        let duration = start.elapsed();
        self.carry_out(out);
        duration
    }

    fn carry_out(&mut self, out: Vec<Decision>) {
        for decision in black_box(out) {
            match decision {
                Decision::Start { job, .. } => {
                    self.running.push(job.clone());
                    self.apply(Event::Started { job });
                }
                Decision::Stop { job, .. } => {
                    self.running.retain(|other| *other != job);
                    let checkpoint_permille = 0;
                    self.apply(Event::Stopped {
                        job,
                        checkpoint_permille,
                    });
                }
                _ => {}
            }
        }
    }

    fn submit(
        &mut self,
        members: u32,
        accelerators_per_member: u32,
        adjacency: Adjacency,
    ) -> Duration {
        let sequence = self.next_job;
        self.next_job += 1;
        self.now_ms += 7;
        let spec = spec(sequence, members, accelerators_per_member, adjacency);
        self.apply(Event::Submitted {
            job: job_id(sequence),
            spec,
        })
    }

    fn finish(&mut self, index: usize) -> Duration {
        let job = self.running.swap_remove(index % self.running.len());
        self.now_ms += 7;
        self.apply(Event::Finished { job })
    }

    /// Submits jobs of mixed shapes with at least `tasks` tasks in total.
    fn fill(&mut self, tasks: u32) {
        let mut left = tasks;
        while left > 0 {
            let (members, accelerators_per_member, adjacency) = match self.next_job % 8 {
                0 => (16, 8, Adjacency::DataCentre),
                1 => (8, 8, Adjacency::Rack),
                2 => (4, 8, Adjacency::Rack),
                3 => (32, 1, Adjacency::DataCentre),
                4 => (1, 8, Adjacency::Worker),
                5 => (2, 4, Adjacency::Worker),
                6 => (1, 2, Adjacency::Worker),
                _ => (1, 1, Adjacency::Worker),
            };
            self.submit(members, accelerators_per_member, adjacency);
            left = left.saturating_sub(members);
        }
    }
}

/// Prints the percentiles of `times`.
fn report(what: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |permille: usize| times[(times.len() - 1) * permille / 1000];
    println!(
        "{what}: median {:?}, 99th percentile {:?}, longest {:?}",
        at(500),
        at(990),
        at(1000)
    );
}

/// Returns the resident memory of this process in kilobytes, or 0 where it is not available.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn measure_decisions(criterion: &mut Criterion) {
    let empty_kb = resident_kb();
    let mut site = Site::new();
    site.fill(2_500);
    let single = (0..SAMPLES).map(|_| site.submit(1, 1, Adjacency::Worker));
    report(
        "single placement, part of the accelerators open",
        single.collect(),
    );
    let running = site.running.len();
    let gangs: Vec<Duration> = (0..40)
        .map(|_| site.submit(16, 8, Adjacency::DataCentre))
        .collect();
    let started = site.running.len() - running;
    report(&format!("gang of 128, {started} of 40 started"), gangs);
    site.fill(TASKS);
    let state_mb = (resident_kb() - empty_kb) as f64 / 1e3;
    println!("state with all tasks, resident: {state_mb:.1} MB");
    let full = (0..SAMPLES).map(|_| site.submit(1, 1, Adjacency::Worker));
    report("single submission, all accelerators held", full.collect());
    let gangs = (0..200).map(|_| site.submit(16, 8, Adjacency::DataCentre));
    report("submission of a gang of 128, all held", gangs.collect());
    let finishes = (0..SAMPLES).map(|index| site.finish(index * 7_919));
    report("end of a job and what starts for it", finishes.collect());
    let ticks = (0..200).map(|_| {
        site.now_ms += 1_000;
        site.tick()
    });
    report("tick", ticks.collect());
    let declarations = (0..20).map(|_| site.declare());
    report("declaration of 650 organisations", declarations.collect());
    let losses = (0..100).map(|index| {
        let name: WorkerName = name(format!("w{}", index * 13));
        let duration = site.apply(Event::WorkerLost { name: name.clone() });
        site.apply(Event::WorkerReturned { name });
        duration
    });
    report("loss of a worker", losses.collect());
    let cancels = (0..SAMPLES as u64).map(|index| {
        let job = job_id(site.next_job - 1 - index);
        site.apply(Event::Cancelled { job })
    });
    report("cancellation in a wave", cancels.collect());
    criterion.bench_function("submit and cancel a single job, all held", |bencher| {
        bencher.iter(|| {
            site.submit(1, 1, Adjacency::Worker);
            let job = job_id(site.next_job - 1);
            site.apply(Event::Cancelled { job })
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_secs(2));
    targets = measure_decisions
}
criterion_main!(benches);
