//! Simulated site that carries out decisions and checks the invariant after each; each test file
//! uses a part of it.

#![allow(dead_code)]

use std::collections::BTreeMap;

use model::job::RawGangShape;
use model::prelude::*;
use placement::{Decision, Event, PlacedMember, Placement, PlacementConfig, WorkerSpec};

pub const DATA_CENTRE: &str = "gyor";
pub const GRACE_MS: u64 = 10_000;

pub fn name<T: TryFrom<String>>(raw: impl Into<String>) -> T {
    let raw = raw.into();
    T::try_from(raw.clone()).unwrap_or_else(|_| panic!("{raw} is not a name"))
}

pub fn job_id(sequence: u64) -> JobId {
    JobId {
        data_centre: name(DATA_CENTRE),
        node: name("n1"),
        incarnation: Incarnation(1),
        sequence,
    }
}

pub fn organisation(
    organisation: &str,
    guarantees: &[(Level, u32)],
    quota: u32,
) -> OrganisationSpec {
    let guarantees = guarantees.iter().map(|&(level, count)| Guarantee {
        data_centre: name(DATA_CENTRE),
        level,
        count,
    });
    OrganisationSpec {
        name: name(organisation),
        guarantees: guarantees.collect(),
        quota: Quota {
            accelerators: quota,
            requests_in_flight: 100,
        },
        classes: vec![name("sweep")],
        token_digests: Vec::new(),
        suspended: false,
    }
}

pub fn gang(members: u32, accelerators_per_member: u32, adjacency: Adjacency) -> GangShape {
    let raw = RawGangShape {
        members,
        accelerators_per_member,
        adjacency,
    };
    GangShape::try_from(raw).expect("a valid gang")
}

/// Builds the gang that fills one block of `level`.
pub fn block_gang(level: Level) -> GangShape {
    let accelerators = level.accelerators();
    if accelerators <= ACCELERATORS_PER_WORKER {
        gang(1, accelerators, Adjacency::Worker)
    } else {
        gang(level.workers(), ACCELERATORS_PER_WORKER, Adjacency::Rack)
    }
}

pub fn job_spec(organisation: &str, gang: GangShape) -> JobSpec {
    JobSpec {
        class: name("sweep"),
        organisation: name(organisation),
        gang,
        run_ms_declared: 60_000,
        checkpointable: true,
        ticket: None,
        input: String::new(),
    }
}

pub fn worker_name(index: u32) -> WorkerName {
    name(format!("w{index}"))
}

pub fn worker(index: u32, accelerators: u32) -> WorkerSpec {
    WorkerSpec {
        name: worker_name(index),
        rack: name(format!("r{}", index / WORKERS_PER_RACK)),
        position: index % WORKERS_PER_RACK,
        accelerators,
    }
}

/// Placement with the jobs that it has started and the decisions that it has made.
pub struct Site {
    pub placement: Placement,
    pub now_ms: u64,
    pub running: BTreeMap<JobId, Vec<PlacedMember>>,
    pub stopping: Vec<JobId>,
    pub log: Vec<Decision>,
    next_job: u64,
}

impl Site {
    pub fn new(
        config: PlacementConfig,
        organisations: Vec<OrganisationSpec>,
        workers: impl IntoIterator<Item = WorkerSpec>,
    ) -> Self {
        let mut site = Self {
            placement: Placement::new(config, 1),
            now_ms: 0,
            running: BTreeMap::new(),
            stopping: Vec::new(),
            log: Vec::new(),
            next_job: 0,
        };
        for worker in workers {
            site.apply(Event::WorkerJoined(worker));
        }
        site.declare(organisations);
        site.advance(20_000);
        site
    }

    pub fn declare(&mut self, organisations: Vec<OrganisationSpec>) {
        let class = ClassSpec {
            name: name("sweep"),
            urgency: Urgency::Normal,
            expected_run_ms: 60_000,
            deadline_ms: 0,
            grace_ms: GRACE_MS,
            idempotent: false,
            in_flight_max: 0,
            queue_max: 0,
        };
        self.apply(Event::Declared {
            data_centre: name(DATA_CENTRE),
            organisations,
            classes: vec![class],
        });
    }

    /// Adopts a running job on accelerators that no other job holds; does nothing if one does.
    pub fn adopt(&mut self, spec: JobSpec, member: PlacedMember) {
        let mut held = self.running.values().flatten();
        if held.any(|other| {
            other.worker == member.worker && other.accelerators.overlaps(member.accelerators)
        }) {
            return;
        }
        // Placement still holds the accelerators of the lost members of a stopping gang, although
        // they are free on the worker.
        let mut rows = self.placement.accelerators();
        if rows.any(|row| {
            let bit = AcceleratorMask(1 << row.index);
            *row.worker == member.worker
                && row.holder.is_some()
                && member.accelerators.overlaps(bit)
        }) {
            return;
        }
        drop(rows);
        let job = job_id(self.next_job);
        self.next_job += 1;
        self.running.insert(job.clone(), vec![member.clone()]);
        self.apply(Event::Adopted {
            job,
            spec,
            members: vec![member],
            run_ms: 5_000,
        });
    }

    pub fn apply(&mut self, event: Event) {
        match &event {
            Event::WorkerLost { name } => self.drop_members(name, None),
            Event::MemberLost { job, worker } => self.drop_members(worker, Some(job)),
            _ => {}
        }
        let mut out = Vec::new();
        self.placement.apply(self.now_ms, event, &mut out);
        self.carry_out(out);
        self.advance(0);
    }

    pub fn advance(&mut self, by_ms: u64) {
        let end_ms = self.now_ms + by_ms;
        while let Some(wake_ms) = self.placement.next_wake_ms()
            && wake_ms <= end_ms
        {
            self.now_ms = self.now_ms.max(wake_ms);
            self.tick();
        }
        self.now_ms = end_ms;
    }

    fn tick(&mut self) {
        let mut out = Vec::new();
        self.placement.tick(self.now_ms, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, out: Vec<Decision>) {
        for decision in &out {
            match decision {
                Decision::Start { job, members } => {
                    self.check_free(members);
                    self.running.insert(job.clone(), members.clone());
                }
                Decision::Stop { job, .. } => {
                    assert!(
                        self.running.contains_key(job),
                        "{job} is stopped but not held"
                    );
                    if !self.stopping.contains(job) {
                        self.stopping.push(job.clone());
                    }
                }
                _ => {}
            }
        }
        self.log.extend(out);
        self.placement
            .check_invariant()
            .expect("the invariant holds");
    }

    fn check_free(&self, members: &[PlacedMember]) {
        for member in members {
            let mut held = self.running.values().flatten();
            let is_held = held.any(|other| {
                other.worker == member.worker && other.accelerators.overlaps(member.accelerators)
            });
            assert!(!is_held, "{} is held twice", member.worker);
        }
    }

    /// Ends the members on one worker, of the job `only` or of all jobs.
    fn drop_members(&mut self, worker: &WorkerName, only: Option<&JobId>) {
        for (job, members) in &mut self.running {
            if only.is_none_or(|only| only == job) {
                members.retain(|member| member.worker != *worker);
            }
        }
        self.running.retain(|_, members| !members.is_empty());
        let running = &self.running;
        self.stopping.retain(|job| running.contains_key(job));
    }

    pub fn submit(&mut self, spec: JobSpec) -> JobId {
        let job = job_id(self.next_job);
        self.next_job += 1;
        self.apply(Event::Submitted {
            job: job.clone(),
            spec,
        });
        job
    }

    pub fn start(&mut self, job: &JobId) {
        self.apply(Event::Started { job: job.clone() });
    }

    pub fn end(&mut self, job: &JobId, event: Event) {
        self.running.remove(job);
        self.stopping.retain(|other| other != job);
        self.apply(event);
    }

    pub fn stop_all(&mut self) {
        while let Some(job) = self.stopping.first().cloned() {
            self.end(
                &job.clone(),
                Event::Stopped {
                    job,
                    checkpoint_permille: 500,
                },
            );
        }
    }

    pub fn state(&self, job: &JobId) -> Option<JobState> {
        self.placement.job(job).map(|row| row.state)
    }
}
