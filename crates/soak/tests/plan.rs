//! A seed decides the plan.

use platform_standin::StepSpec;
use rstest::rstest;
use soak::{FaultKind, Plan};

#[rstest]
#[case::all_kinds(&FaultKind::all())]
#[case::one_kind(&[FaultKind::PowerLoss])]
fn draw_same_plan_for_same_seed(#[case] kinds: &[FaultKind]) {
    let draw = |seed| Plan::draw(seed, kinds, 20_000, 1_000);
    assert_eq!(draw(5), draw(5));
    assert_ne!(draw(5).jobs, draw(6).jobs);
    assert!(
        draw(5)
            .faults
            .iter()
            .all(|fault| kinds.contains(&fault.kind))
    );
}

#[test]
fn draw_every_kind_in_some_plan() {
    let drawn: Vec<FaultKind> = (0..100)
        .flat_map(|seed| Plan::draw(seed, &FaultKind::all(), 20_000, 1_000).faults)
        .map(|fault| fault.kind)
        .collect();
    assert!(FaultKind::all().iter().all(|kind| drawn.contains(kind)));
}

/// Guards against plans that miss a store outage during which workers go away and the lead changes.
#[test]
fn draw_outages_while_workers_go_away_in_half_of_plans() {
    let goes = [
        FaultKind::WorkerLeaves,
        FaultKind::WorkerCrash,
        FaultKind::WorkerReplaced,
        FaultKind::PowerLoss,
        FaultKind::WorkerCutOff,
        FaultKind::WorkerLeavesForGood,
        FaultKind::WorkerLostForGood,
    ];
    let has_overlap = |seed: &u64| {
        let faults = Plan::draw(*seed, &FaultKind::all(), 25_000, 1_500).faults;
        faults.iter().any(|outage| {
            let is_outage = matches!(outage.kind, FaultKind::StoreSilent | FaultKind::StoreBusy);
            let until_ms = outage.at_ms + outage.for_ms;
            let near = |fault: &&soak::Fault| {
                goes.contains(&fault.kind)
                    && (outage.at_ms.saturating_sub(2_000)..until_ms).contains(&fault.at_ms)
            };
            is_outage && outage.for_ms >= 3_000 && faults.iter().filter(near).count() >= 2
        })
    };
    assert!((0..100).filter(has_overlap).count() >= 50);
}

/// Guards against runs that never fail in a play.
#[test]
fn draw_two_step_jobs_with_failing_runs() {
    let jobs: Vec<_> = (0..20)
        .flat_map(|seed| Plan::draw(seed, &FaultKind::all(), 25_000, 1_500).jobs)
        .collect();
    let fails = |steps: &[StepSpec]| steps.len() == 2 && steps.iter().all(|s| s.failing_runs == 2);
    assert!(jobs.iter().any(|job| fails(&job.steps)));
}

/// Guards against gangs whose members never fail together, and against plans that change with the kinds drawn apart.
#[test]
fn draw_failing_workers_beside_gangs_in_some_plans() {
    let all = FaultKind::all();
    let others: Vec<FaultKind> = all
        .iter()
        .copied()
        .filter(|kind| *kind != FaultKind::WorkersFail)
        .collect();
    let mut with_failures = 0;
    for seed in 0..100 {
        let plan = Plan::draw(seed, &all, 20_000, 1_000);
        let without = Plan::draw(seed, &others, 20_000, 1_000);
        let is_failure = |fault: &soak::Fault| fault.kind == FaultKind::WorkersFail;
        assert!(
            without
                .faults
                .iter()
                .all(|fault| plan.faults.contains(fault))
        );
        assert!(without.jobs.iter().all(|job| plan.jobs.contains(job)));
        if plan.faults.iter().any(is_failure) {
            with_failures += 1;
            let gangs = plan.jobs.iter().filter(|job| job.steps[0].gang);
            assert!(gangs.count() >= 8, "seed {seed}");
        }
    }
    assert!((20..=60).contains(&with_failures), "{with_failures}");
}

/// Guards against plays without a queue that has an advice policy, and against plans that change with it.
#[test]
fn draw_advised_queue_in_some_plans() {
    let all = FaultKind::all();
    let is_advice = |kind: &FaultKind| kind.to_string().starts_with("advice");
    let others: Vec<FaultKind> = all
        .iter()
        .copied()
        .filter(|kind| !is_advice(kind))
        .collect();
    let mut with_queue = 0;
    let mut in_trouble = 0;
    for seed in 0..100 {
        let plan = Plan::draw(seed, &all, 20_000, 1_000);
        let without = Plan::draw(seed, &others, 20_000, 1_000);
        assert_eq!(without.policy, None);
        let advised = plan.jobs.iter().filter(|job| job.is_advised);
        assert_eq!(advised.clone().count() > 0, plan.policy.is_some());
        let rest: Vec<_> = plan.jobs.iter().filter(|job| !job.is_advised).collect();
        assert_eq!(rest, without.jobs.iter().collect::<Vec<_>>());
        with_queue += usize::from(plan.policy.is_some());
        in_trouble += usize::from(plan.faults.iter().any(|fault| is_advice(&fault.kind)));
    }
    assert!((40..=80).contains(&with_queue), "{with_queue}");
    assert!(in_trouble >= 20, "{in_trouble}");
}
