//! Jobs that need advice, with drawn figures, VMs, policies, widths and troubles of the service, in virtual time. `HEMLOCK_SEEDS` sets how many
//! seeds are played.
//!
//! Guards against figures, or jobs beside each other, with which a job is asked about for ever, or a ticket is used that does not hold.

mod support;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use scheduler::prelude::*;
use scheduler::{Advice, JobId};
use support::advice_site::{AdviceSite, Behaviour};
use support::step;

const DEFAULT_SEEDS: u64 = 60;

/// Time in which jobs are handed in.
const TRAFFIC_MS: u64 = 10_000;

/// How long tasks run.
const RUN_MS: u64 = 1_500;

/// Times as long as the service needs to decide on each worker for each step, one VM alone, after which all jobs have to be
/// done.
const FINISH_FACTOR: u64 = 4;

fn draw_figures(random: &mut Pcg64) -> Advice {
    Advice {
        decide_ms: *[0, 20, 60, 300, 500, 1_500].choose(random).unwrap(),
        each_worker_ms: *[0, 1, 8, 100, 200, 400].choose(random).unwrap(),
        valid_ms: *[200, 700, 3_000, 10_000].choose(random).unwrap(),
    }
}

/// Returns a step that the allowed workers can run twice over.
fn draw_step(random: &mut Pcg64, allowed: u32) -> StepSpec {
    let widest = (allowed / 2).max(1);
    match random.random_range(0..4) {
        0 => step(1, 1),
        1 => step(random.random_range(1..=6), random.random_range(1..=4)),
        2 => StepSpec {
            gang: true,
            ..step(random.random_range(1..=widest), 8)
        },
        _ => StepSpec {
            gang: true,
            ..step(random.random_range(1..=widest), 2)
        },
    }
}

struct Played {
    site: AdviceSite,
    jobs: Vec<JobId>,
    steps: u64,
}

/// Plays a seed until all jobs are done or late.
fn play(seed: u64) -> Played {
    let mut random = Pcg64::seed_from_u64(seed);
    let workers: u32 = random.random_range(4..=60);
    let vms: usize = random.random_range(1..=7);
    let mut site = AdviceSite::new(workers, vms, draw_figures(&mut random));
    site.run_ms = RUN_MS;
    let share: f64 = *[0.0, 0.3, 0.7].choose(&mut random).unwrap();
    let allowed: Vec<u32> = (0..workers)
        .filter(|number| *number == 0 || !random.random_bool(share))
        .collect();
    site.allow_only(&allowed);
    let (mut jobs, mut steps) = (Vec::new(), 0);
    let mut at_ms = 0;
    while at_ms < TRAFFIC_MS {
        let count = random.random_range(1..=3);
        let mut spec: Vec<StepSpec> = (0..count)
            .map(|_| draw_step(&mut random, allowed.len() as u32))
            .collect();
        for (before, step) in (0..).zip(spec.iter_mut().skip(1)) {
            step.after = vec![before];
        }
        steps += count;
        jobs.push(site.submit(random.random_range(0..3), spec));
        let pause_ms = random.random_range(0..3_000);
        site.behaviour = match random.random_range(0..10) {
            0 => Behaviour::Busy,
            1 => Behaviour::Silent,
            2 => Behaviour::Slow(random.random_range(2..=6)),
            _ => Behaviour::Usual,
        };
        site.play(pause_ms);
        at_ms += pause_ms.max(100);
    }
    site.behaviour = Behaviour::Usual;
    let figures = site.figures;
    let each_ms = figures.query_ms(workers as usize) + RUN_MS;
    let most_ms = steps * each_ms * FINISH_FACTOR + 2 * TRAFFIC_MS;
    let mut left_ms = most_ms;
    let is_done = |site: &AdviceSite| jobs.iter().all(|id| site.is_done(*id));
    while !is_done(&site) && left_ms > 0 {
        site.play(500);
        left_ms = left_ms.saturating_sub(500);
    }
    Played { site, jobs, steps }
}

#[test]
fn jobs_are_done_whatever_is_drawn() {
    let seeds =
        std::env::var("HEMLOCK_SEEDS").map_or(DEFAULT_SEEDS, |seeds| seeds.parse().unwrap());
    let mut failed = Vec::new();
    for seed in 0..seeds {
        let played = play(seed);
        let site = &played.site;
        let open = played.jobs.iter().filter(|id| !site.is_done(**id)).count();
        if open > 0 {
            failed.push(format!(
                "seed {seed}: {open} of {} jobs are not done; {:?}, {} queries, {} starts refused, {} steps",
                played.jobs.len(),
                site.figures,
                site.asked.len(),
                site.refused,
                played.steps
            ));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
