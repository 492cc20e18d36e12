//! Measurements for docs/BENCHMARKS.md; run with `--release -- --nocapture --ignored`.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use dispatch::gangs::{GangConfig, GangOutput, Gangs};
use model::prelude::*;
use rstest::rstest;
use support::gang_world::{CallFault, GangWorld};
use support::worker::Worker;
use support::{job_id, job_spec, name};

const OFFSETS_MS: std::ops::Range<u64> = 0..3_000;
const OFFSET_STEP_MS: usize = 50;
const MEMBERS: u32 = 8;
const LAYERS: u32 = 7;
const RUN_MS: u64 = 30_000;

fn world_with_gang(offset_ms: u64) -> GangWorld {
    let mut world = GangWorld::new(GangConfig::default(), &["a", "b"], 4, 600_000);
    world.take_over("a");
    world.run_until(1_100);
    world.start("a", 1, &["w-0", "w-1", "w-2", "w-3"]);
    world.run_until(6_000 + offset_ms);
    world
}

fn worker<'a>(world: &'a mut GangWorld, raw: &str) -> &'a mut Worker {
    world
        .workers
        .get_mut(&name::<WorkerName>(raw))
        .expect("known")
}

fn kill_planner(world: &mut GangWorld) {
    world.planners.get_mut("a").expect("known").up = false;
}

fn cut(world: &mut GangWorld, node: &str, raw: &str) {
    world.cuts.insert((node.to_owned(), name(raw)));
}

fn replace_planner(world: &mut GangWorld) {
    world.run_until(world.now_ms + 2_500);
    world.take_over("b");
}

/// Returns the longest time for which the gang ran without a member, when the failure occurs at any
/// offset within a renewal round.
fn longest_missing_ms(fail: impl Fn(&mut GangWorld)) -> u64 {
    let times = OFFSETS_MS.step_by(OFFSET_STEP_MS).map(|offset_ms| {
        let mut world = world_with_gang(offset_ms);
        fail(&mut world);
        world.run_until(world.now_ms + 60_000);
        assert_eq!(world.violation, None);
        world.member_missing_max_ms
    });
    times.max().unwrap_or(0)
}

fn release_lost(world: &mut GangWorld) {
    let delays = [
        CallFault::Delay(0),
        CallFault::Delay(0),
        CallFault::LoseCall,
    ];
    let now_ms = world.now_ms;
    world.with("a", |gangs| gangs.stop(now_ms, &job_id(1), 0));
    world.run_until(now_ms + 2_000);
    world.faults.insert(name("w-0"), delays.to_vec());
    world.start("a", 2, &["w-0", "w-1"]);
    world.run_until(world.now_ms + 200);
    assert_eq!(world.running().len(), 1);
    cut(world, "a", "w-0");
}

#[rstest]
#[case::worker_killed(|w: &mut GangWorld| { worker(w, "w-0").reboot(); worker(w, "w-0").up = false; })]
#[case::worker_restarted(|w: &mut GangWorld| worker(w, "w-0").reboot())]
#[case::worker_paused(|w: &mut GangWorld| worker(w, "w-0").paused = true)]
#[case::worker_cut_off(|w: &mut GangWorld| cut(w, "a", "w-0"))]
#[case::release_lost_and_cut(release_lost)]
#[case::planners_killed(kill_planner)]
#[case::planner_killed_and_replaced(|w: &mut GangWorld| { kill_planner(w); replace_planner(w); })]
#[case::planner_and_worker_killed(|w: &mut GangWorld| {
    kill_planner(w);
    worker(w, "w-0").reboot();
    worker(w, "w-0").up = false;
    replace_planner(w);
})]
#[case::worker_killed_and_another_cut(|w: &mut GangWorld| {
    worker(w, "w-0").reboot();
    worker(w, "w-0").up = false;
    cut(w, "a", "w-1");
})]
#[ignore = "measurement"]
fn measure_alone(#[case] fail: fn(&mut GangWorld)) {
    let test = std::thread::current().name().unwrap_or_default().to_owned();
    let bound_ms = GangConfig::default().lease_ms;
    println!(
        "{test}: {} ms without a member at most, bound {bound_ms} ms",
        longest_missing_ms(fail)
    );
}

/// Executes all outputs immediately and counts calls, commands and inventories.
struct DirectHarness {
    gangs: Gangs,
    workers: BTreeMap<WorkerName, Worker>,
    calls: u64,
    commands: u64,
    inventories: u64,
    events: VecDeque<GangOutput>,
}

impl DirectHarness {
    fn process_outputs(&mut self, now_ms: u64) {
        while let Some(output) = self.gangs.poll() {
            match output {
                GangOutput::Call {
                    call,
                    worker,
                    commands,
                } => {
                    self.calls += 1;
                    self.commands += commands.len() as u64;
                    let entry = self.workers.get_mut(&worker).expect("known");
                    let replies = commands.iter().map(|c| entry.apply(now_ms, c)).collect();
                    self.gangs.on_replies(now_ms, &worker, call, Ok(replies));
                }
                GangOutput::AskInventory { worker } => {
                    self.inventories += 1;
                    let inventory = self.workers[&worker].inventory(now_ms);
                    self.gangs.on_inventory(now_ms, &worker, Ok(inventory));
                }
                event => self.events.push_back(event),
            }
        }
    }
}

#[rstest]
#[case(50)]
#[case(500)]
#[case(3_250)]
#[case(13_000)]
#[ignore = "measurement"]
fn measure_messages(#[case] workers: u32) {
    let names: Vec<WorkerName> = (0..workers).map(|i| name(&format!("w-{i}"))).collect();
    let fresh = |node: &str| Gangs::new(GangConfig::default(), name(node), Incarnation(1), 0);
    let mut harness = DirectHarness {
        gangs: fresh("a"),
        workers: names
            .iter()
            .map(|w| (w.clone(), Worker::new(u64::MAX)))
            .collect(),
        calls: 0,
        commands: 0,
        inventories: 0,
        events: VecDeque::new(),
    };
    let mut now_ms = 1_000;
    harness.gangs.take_over(now_ms, &names);
    harness.process_outputs(now_ms);
    let mut jobs = 0;
    for layer in 0..LAYERS {
        for members in names.chunks_exact(MEMBERS as usize) {
            jobs += 1;
            let mask = AcceleratorMask(1 << layer);
            let members = members.iter().map(|w| (w.clone(), mask)).collect();
            harness
                .gangs
                .start(now_ms, job_id(jobs), job_spec(MEMBERS), members);
        }
        harness.process_outputs(now_ms);
    }
    now_ms += 10_000;
    let run = |harness: &mut DirectHarness, from_ms: u64, to_ms: u64| {
        let mut at_ms = from_ms;
        while let Some(wake_ms) = harness.gangs.next_wake_ms().filter(|at_ms| *at_ms < to_ms) {
            at_ms = at_ms.max(wake_ms);
            harness.gangs.tick(at_ms);
            harness.process_outputs(at_ms);
        }
    };
    run(&mut harness, 1_000, now_ms);
    (harness.calls, harness.commands) = (0, 0);
    let began = Instant::now();
    run(&mut harness, now_ms, now_ms + RUN_MS);
    let cpu_ms = began.elapsed().as_secs_f64() * 1_000.0;
    let seconds = RUN_MS as f64 / 1_000.0;
    println!(
        "{workers} workers, {jobs} gangs of {MEMBERS}: {:.2} calls/s per worker, {:.2} commands/s \
         per gang, {:.0} calls/s in all, {:.2} ms of processor time per second with the model workers",
        harness.calls as f64 / seconds / f64::from(workers),
        harness.commands as f64 / seconds / jobs as f64,
        harness.calls as f64 / seconds,
        cpu_ms / seconds,
    );
    now_ms += RUN_MS;
    harness.gangs = fresh("b");
    (harness.calls, harness.inventories) = (0, 0);
    harness.events.clear();
    let began = Instant::now();
    harness.gangs.take_over(now_ms, &names);
    harness.process_outputs(now_ms);
    let took_ms = began.elapsed().as_secs_f64() * 1_000.0;
    let adopted = |e: &&GangOutput| matches!(e, GangOutput::Adopted { .. });
    println!(
        "{workers} workers: take-over with {} inventories and {} calls, {} gangs adopted, {took_ms:.0} ms \
         of processor time with the model workers",
        harness.inventories,
        harness.calls,
        harness.events.iter().filter(adopted).count(),
    );
}

#[rstest]
#[case(0, 50)]
#[case(1, 50)]
#[ignore = "measurement"]
fn measure_take_over_time(#[case] unreachable: u32, #[case] workers: u32) {
    let mut world = GangWorld::new(GangConfig::default(), &["a", "b"], workers, 600_000);
    (0..unreachable).for_each(|i| cut(&mut world, "a", &format!("w-{i}")));
    let began_ms = world.now_ms;
    world.take_over("a");
    while !world.planners["a"].take_over_done {
        world.run_until(world.now_ms + 1);
    }
    let took_ms = world.now_ms - began_ms;
    println!(
        "take-over of {workers} workers, {unreachable} of them unreachable: {took_ms} ms of virtual time"
    );
}
