//! Randomised days on which some tasks crash their workers, workers crash by chance or leave, and planners change, in
//! series and overlapping.
//!
//! Guards against a task that crashes its workers being started too often, and against jobs that are given up or
//! forgotten although they can be done.

mod support;

use std::collections::HashSet;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use scheduler::JobState;
use support::crash_site::{AWAY_MS, LONG_AWAY_MS, MAX_LATE_STARTS, Site, gang, is_never, lasting};
use support::{job, step};

/// Seeds of the soak; `HEMLOCK_SEEDS` sets another number.
const SOAK_SEEDS: u64 = 8;

/// Submits a job with a random step; its first task is deadly or not.
fn add_random_job(site: &mut Site, rng: &mut Pcg64Mcg, id: u64, is_deadly: bool) {
    let step = match rng.random_range(0..4) {
        0 => gang(rng.random_range(1..4), 8),
        1 => gang(rng.random_range(1..6), 2),
        2 => lasting(rng.random_range(1..4)),
        _ => step(rng.random_range(1..12), 1),
    };
    let mut stored = job(id, rng.random_range(0..3), vec![step]);
    stored.organisation = format!("organisation-{}", id % 3);
    site.add(stored);
    if is_deadly {
        site.deadly
            .insert(format!("{id:016x}.0.0.0").parse().unwrap());
    }
}

/// Jobs of all kinds, some of them deadly, with crashes by chance, changes of the planner, and workers that leave, in
/// series and overlapping.
fn soak(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut site = Site::new(16, is_never);
    site.survives_ms = [10, 600, 2_500, 4_000][rng.random_range(0..4)];
    site.away_ms = [AWAY_MS, LONG_AWAY_MS][rng.random_range(0..2)];
    site.takes_over = rng.random_bool(0.3);
    let jobs = rng.random_range(6..14);
    let deadly: HashSet<u64> = (1..=jobs).filter(|_| rng.random_bool(0.25)).collect();
    let mut chances = 4;
    for id in 1..=jobs {
        add_random_job(&mut site, &mut rng, id, deadly.contains(&id));
        for _ in 0..rng.random_range(1..30) {
            let worker = rng.random_range(0..site.workers.len());
            match rng.random_range(0..60) {
                0 if chances > 0 => {
                    chances -= 1;
                    site.crash(worker);
                }
                1 => {
                    let leaves_ms = site.harness.now_ms + 6_000;
                    site.workers[worker].leaves_ms.get_or_insert(leaves_ms);
                }
                2 => site.take_over(),
                _ => {}
            }
            site.tick();
        }
    }
    site.play(400_000);
    for id in 1..=jobs {
        let state = site.state(id);
        match (deadly.contains(&id), lasts(&site, id)) {
            (true, false) => assert_eq!(state, JobState::Failed, "seed {seed}, deadly job {id}"),
            (true, true) => assert_eq!(state, JobState::Running, "seed {seed}, lasting job {id}"),
            (false, _) => assert_ne!(state, JobState::Failed, "seed {seed}, job {id}"),
        }
        assert_ne!(state, JobState::Pending, "seed {seed}, job {id}");
    }
    for id in (1..=jobs).filter(|id| deadly.contains(id)) {
        let task = format!("{id:016x}.0.0.0").parse().unwrap();
        let starts = site.late_starts.get(&task).copied().unwrap_or(0);
        match lasts(&site, id) {
            true => assert!(starts > MAX_LATE_STARTS, "seed {seed}: {starts} of {task}"),
            false => assert!(
                starts <= MAX_LATE_STARTS,
                "seed {seed}: {starts} starts of {task} after three crashes"
            ),
        }
    }
}

/// Returns whether a job runs until it is cancelled.
fn lasts(site: &Site, id: u64) -> bool {
    let id = format!("{id:016x}").parse().unwrap();
    let stored = site.stored.iter().find(|stored| stored.id == id);
    stored.is_some_and(|stored| stored.request.steps[0].lasting)
}

#[test]
fn soak_with_tasks_that_crash_workers() {
    let seeds = std::env::var("HEMLOCK_SEEDS").map_or(SOAK_SEEDS, |n| n.parse().unwrap());
    for seed in 0..seeds {
        soak(seed);
    }
}
