//! Guarantees hold through any sequence of events.
//!
//! Random events are applied to a small simulated site. The tests guard against bookkeeping errors
//! after which a guaranteed block is not covered, or a claim of an unused guarantee does not start
//! once the work in its way has stopped.

mod common;

use common::*;
use model::prelude::*;
use placement::{Event, PlacedMember, Placement, PlacementConfig, check_guarantees};
use proptest::prelude::*;
use rstest::rstest;

const WORKERS: u32 = 20;

/// An event of a random sequence; indices select among the existing jobs and workers.
#[derive(Debug, Clone)]
enum Step {
    Submit {
        organisation: usize,
        members: u32,
        accelerators_per_member: u32,
        adjacency: usize,
    },
    Start(usize),
    Finish(usize),
    Fail(usize, bool),
    StartFail(usize, bool),
    Stopped(usize),
    Cancel(u64),
    Checkpoint(usize),
    LoseMember(usize),
    Lose(u32),
    Leave(u32),
    Return(u32),
    Wait(u64),
    Adopt(u32, u8),
    Declare(usize),
}

fn steps() -> impl Strategy<Value = Step> {
    let job = 0..64_usize;
    let worker = 0..WORKERS;
    prop_oneof![
        8 => (0..4_usize, 1..17_u32, 1..9_u32, 0..3_usize).prop_map(
            |(organisation, members, accelerators_per_member, adjacency)| Step::Submit {
                organisation,
                members,
                accelerators_per_member,
                adjacency,
            }
        ),
        6 => job.clone().prop_map(Step::Start),
        4 => job.clone().prop_map(Step::Finish),
        2 => (job.clone(), any::<bool>()).prop_map(|(job, known)| Step::Fail(job, known)),
        2 => (job.clone(), any::<bool>()).prop_map(|(job, known)| Step::StartFail(job, known)),
        4 => job.clone().prop_map(Step::Stopped),
        2 => (0..64_u64).prop_map(Step::Cancel),
        1 => job.clone().prop_map(Step::Checkpoint),
        1 => job.prop_map(Step::LoseMember),
        1 => worker.clone().prop_map(Step::Lose),
        1 => worker.clone().prop_map(Step::Leave),
        3 => worker.prop_map(Step::Return),
        2 => (0..200_000_u64).prop_map(Step::Wait),
        1 => (0..WORKERS, 1..16_u8).prop_map(|(worker, mask)| Step::Adopt(worker, mask)),
        1 => (0..3_usize).prop_map(Step::Declare),
    ]
}

const ORGANISATIONS: [&str; 4] = ["north", "south", "east", "west"];

fn organisations(variant: usize) -> Vec<OrganisationSpec> {
    let south = [(Level::FourWorkers, 1), (Level::Four, 3)];
    let east = [(Level::Pair, 2), (Level::Accelerator, 5)];
    let less = variant.min(1);
    vec![
        organisation("north", &[(Level::TwoWorkers, 1), (Level::Worker, 1)], 96),
        organisation("south", &south[less..], 96),
        organisation("east", &east[..2 - less], 96),
        organisation("west", &[(Level::Rack, 1)][..variant / 2], 96),
    ]
}

fn site() -> Site {
    let workers = (0..WORKERS).map(|index| worker(index, [8, 8, 8, 4][index as usize % 4]));
    Site::new(PlacementConfig::default(), organisations(0), workers)
}

fn nth_running(site: &Site, index: usize) -> Option<JobId> {
    let count = site.running.len();
    (count > 0).then(|| site.running.keys().nth(index % count).cloned())?
}

fn first_worker(site: &Site, job: &JobId, known: bool) -> Option<WorkerName> {
    known.then(|| site.running[job][0].worker.clone())
}

fn apply_step(site: &mut Site, step: &Step) {
    let adjacencies = [Adjacency::Worker, Adjacency::Rack, Adjacency::DataCentre];
    match *step {
        Step::Submit {
            organisation,
            members,
            accelerators_per_member,
            adjacency,
        } => {
            let mut spec = job_spec(
                ORGANISATIONS[organisation],
                gang(members, accelerators_per_member, adjacencies[adjacency]),
            );
            spec.checkpointable = members % 3 != 0;
            site.submit(spec);
        }
        Step::Cancel(job) => site.apply(Event::Cancelled { job: job_id(job) }),
        Step::Lose(index) => site.apply(Event::WorkerLost {
            name: worker_name(index),
        }),
        Step::Leave(index) => site.apply(Event::WorkerLeaving {
            name: worker_name(index),
        }),
        Step::Return(index) => site.apply(Event::WorkerReturned {
            name: worker_name(index),
        }),
        Step::Wait(by_ms) => site.advance(by_ms),
        Step::Declare(variant) => site.declare(organisations(variant)),
        Step::Adopt(worker, mask) => {
            let accelerators = AcceleratorMask(mask);
            let spec = job_spec("south", gang(1, accelerators.count(), Adjacency::Worker));
            let worker = worker_name(worker);
            site.adopt(
                spec,
                PlacedMember {
                    worker,
                    accelerators,
                },
            );
        }
        Step::Stopped(index) => {
            let count = site.stopping.len();
            if count > 0 {
                let job = site.stopping[index % count].clone();
                site.end(
                    &job.clone(),
                    Event::Stopped {
                        job,
                        checkpoint_permille: 100,
                    },
                );
            }
        }
        Step::Start(index)
        | Step::Finish(index)
        | Step::Fail(index, _)
        | Step::StartFail(index, _)
        | Step::Checkpoint(index)
        | Step::LoseMember(index) => {
            if let Some(job) = nth_running(site, index) {
                apply_job_step(site, step, job);
            }
        }
    }
}

fn apply_job_step(site: &mut Site, step: &Step, job: JobId) {
    match *step {
        Step::Start(_) => site.start(&job),
        Step::Finish(_) => site.end(&job.clone(), Event::Finished { job }),
        Step::Fail(_, known) => {
            let worker = first_worker(site, &job, known);
            site.end(&job.clone(), Event::Failed { job, worker });
        }
        Step::StartFail(_, known) => {
            let worker = first_worker(site, &job, known);
            site.end(&job.clone(), Event::StartFailed { job, worker });
        }
        Step::Checkpoint(_) => site.apply(Event::Checkpointed { job, permille: 300 }),
        _ => {
            let worker = site.running[&job][0].worker.clone();
            site.apply(Event::MemberLost { job, worker });
        }
    }
}

/// Ends stopping jobs and cancels waiting ones until none is left.
fn clear_waiting(site: &mut Site) {
    loop {
        site.stop_all();
        let waiting = site
            .placement
            .jobs()
            .find(|row| row.state == JobState::Waiting);
        let Some(job) = waiting.map(|row| row.job.clone()) else {
            return;
        };
        site.apply(Event::Cancelled { job });
    }
}

/// Returns the organisation and level of a guaranteed block that is neither in use nor missing and
/// fits into the quota.
fn claimable(placement: &Placement) -> Option<(String, Level)> {
    let mut rows = placement.guarantees();
    let row = rows.find(|row| {
        row.declared > row.in_use + row.missing && row.held + row.level.accelerators() <= 96
    })?;
    Some((row.organisation.to_string(), row.level))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..Default::default() })]

    #[test]
    fn invariant_any_events(steps in prop::collection::vec(steps(), 1..120)) {
        let mut site = site();
        for step in &steps {
            apply_step(&mut site, step);
        }
    }

    #[test]
    fn claim_any_events(steps in prop::collection::vec(steps(), 1..80)) {
        let mut site = site();
        for step in &steps {
            apply_step(&mut site, step);
        }
        clear_waiting(&mut site);
        while let Some((organisation, level)) = claimable(&site.placement) {
            let job = site.submit(job_spec(&organisation, block_gang(level)));
            site.stop_all();
            prop_assert_eq!(site.state(&job), Some(JobState::Starting));
            clear_waiting(&mut site);
        }
    }
}

#[rstest]
#[case::fits(&[(Level::Rack, 1), (Level::FourWorkers, 1)], 0)]
#[case::no_second_rack(&[(Level::Rack, 2)], 1)]
#[case::small_ones_left_out(&[(Level::Rack, 1), (Level::FourWorkers, 1), (Level::Accelerator, 3)], 3)]
fn check_guarantees_sizes(#[case] guarantees: &[(Level, u32)], #[case] missing: u32) {
    let topology: Vec<_> = (0..12).map(|index| worker(index, 8)).collect();
    let organisations = [organisation("north", guarantees, 96)];
    let findings = check_guarantees(&topology, &name(DATA_CENTRE), &organisations);
    let total: u32 = findings.iter().map(|finding| finding.missing).sum();
    assert_eq!(total, missing);
}
