//! A seed decides the plan.

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
