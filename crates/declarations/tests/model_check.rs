//! Explores every interleaving of concurrent changes under store faults, crashes and stale reads.
//!
//! Guards against changes that are lost, applied twice or reported with a wrong outcome, and
//! against replicas that return to an earlier revision. Each seeded fault must be found, which
//! shows that the exploration reaches such states.

mod support;
#[path = "support/world.rs"]
mod world;

use declarations::{Edit, EditorLimits, EditorStep};
use pathfinding::directed::bfs::{bfs, bfs_reach};
use rstest::rstest;
use support::{put, request};
use world::{Scenario, SeededFault, World};

fn same_organisation() -> Vec<Vec<Edit>> {
    vec![vec![put("trials", 1)], vec![put("trials", 2)]]
}

fn different_organisations() -> Vec<Vec<Edit>> {
    vec![vec![put("trials", 1)], vec![put("desks", 2)]]
}

fn three_operators() -> Vec<Vec<Edit>> {
    vec![
        vec![put("trials", 1)],
        vec![put("desks", 2)],
        vec![put("trials", 3), put("desks", 3)],
    ]
}

fn scenario(edits: Vec<Vec<Edit>>) -> Scenario {
    let requests = edits
        .into_iter()
        .zip(1..)
        .map(|(edits, id)| request(id, Some(0), edits))
        .collect();
    Scenario {
        requests,
        limits: EditorLimits {
            retries_max: 3,
            manifest_log_len_max: 1,
            manifest_items_max: 64,
        },
        call_faults: 0,
        crashes: 0,
        node_restarts: 0,
        has_replicas: false,
        seeded: None,
    }
}

/// Visits every state; returns the number of all states and of final ones.
fn explore(scenario: Scenario) -> (usize, usize) {
    let is_overlapping = scenario.requests.len() == 2
        && scenario.requests[0].edits[0].key() == scenario.requests[1].edits[0].key();
    let mut states = 0;
    let mut finals = 0;
    for world in bfs_reach(World::new(scenario), World::successors) {
        states += 1;
        assert_eq!(world.violation, None, "after {}", world.action);
        if let Some(outcomes) = world.final_outcomes() {
            finals += 1;
            check_outcomes_reported(&outcomes, is_overlapping);
        }
    }
    (states, finals)
}

/// Checks that at most one of two overlapping changes is applied, and that every change ends as
/// applied, in conflict or unavailable.
fn check_outcomes_reported(outcomes: &[EditorStep], is_overlapping: bool) {
    let is_done = |step: &&EditorStep| matches!(step, EditorStep::Done(_));
    let done = outcomes.iter().filter(is_done).count();
    if is_overlapping {
        assert!(done <= 1, "{outcomes:?}");
    }
    let is_reported = |step: &EditorStep| {
        matches!(
            step,
            EditorStep::Done(_) | EditorStep::Conflict(_) | EditorStep::Unavailable { .. }
        )
    };
    assert!(outcomes.iter().all(is_reported), "{outcomes:?}");
}

#[rstest]
#[case::same_organisation(same_organisation(), 2, 1, 3)]
#[case::same_organisation_impatient(same_organisation(), 3, 1, 1)]
#[case::different_organisations(different_organisations(), 2, 1, 3)]
#[case::different_organisations_impatient(different_organisations(), 2, 1, 1)]
#[case::three_operators(three_operators(), 1, 0, 3)]
fn explore_editors(
    #[case] edits: Vec<Vec<Edit>>,
    #[case] call_faults: u8,
    #[case] crashes: u8,
    #[case] retries_max: u32,
) {
    let limits = EditorLimits {
        retries_max,
        manifest_log_len_max: 1,
        manifest_items_max: 64,
    };
    let (states, finals) = explore(Scenario {
        limits,
        call_faults,
        crashes,
        ..scenario(edits)
    });
    println!("{states} states, {finals} of them final");
    assert!(states > 500 && finals > 5);
}

#[rstest]
#[case::same_organisation(same_organisation(), 1)]
#[case::different_organisations(different_organisations(), 1)]
fn explore_replicas(#[case] edits: Vec<Vec<Edit>>, #[case] call_faults: u8) {
    let (states, finals) = explore(Scenario {
        call_faults,
        node_restarts: 1,
        has_replicas: true,
        ..scenario(edits)
    });
    println!("{states} states, {finals} of them final");
    assert!(states > 500 && finals > 5);
}

#[rstest]
#[case::lost_passed_as_unavailable(SeededFault::LostPassedAsUnavailable, "Unavailable")]
#[case::retry_under_new_id(SeededFault::RetryUnderNewId, "is told Conflict")]
#[case::late_offer_installed(SeededFault::LateOfferInstalled, "back to")]
fn explore_seeded_fault_is_found(#[case] seeded: SeededFault, #[case] expected: &str) {
    let scenario = Scenario {
        limits: EditorLimits {
            retries_max: 1,
            manifest_log_len_max: 1,
            manifest_items_max: 64,
        },
        call_faults: 2,
        crashes: 1,
        node_restarts: 1,
        has_replicas: seeded == SeededFault::LateOfferInstalled,
        seeded: Some(seeded),
        ..scenario(different_organisations())
    };
    let path = bfs(&World::new(scenario), World::successors, |world| {
        world.violation.is_some()
    })
    .expect("the seeded fault is not found");
    let violation = path.last().and_then(|world| world.violation.clone());
    for world in &path {
        println!("{}", world.action);
    }
    println!("{violation:?}");
    assert!(violation.unwrap().contains(expected));
}
