//! Lease identifiers across planner terms: each term uses identifiers of its own.
//!
//! If a later term of the same node reused identifiers, a worker would take its reservations for
//! repeats of earlier, ended leases.

mod support;

use std::collections::BTreeSet;

use dispatch::gangs::GangConfig;
use model::prelude::*;
use support::gang_world::GangWorld;

#[test]
fn second_term_of_a_node_draws_other_leases() {
    let mut world = GangWorld::new(GangConfig::default(), &["a"], 2, 600_000);
    let mut leases: BTreeSet<LeaseId> = BTreeSet::new();
    for term in 1..4 {
        let fresh = GangWorld::new(GangConfig::default(), &["a"], 0, 0);
        world.planners = fresh.planners;
        world.take_over("a");
        world.run_until(world.now_ms + 100);
        world.start("a", term, &["w-0", "w-1"]);
        world.run_until(world.now_ms + 100);
        leases.extend(world.workers.values().flat_map(|w| w.leases.keys()));
        let now_ms = world.now_ms;
        world.with("a", |gangs| gangs.stop(now_ms, &support::job_id(term), 0));
        world.run_until(now_ms + 1_000);
        assert_eq!(world.leases(), 0);
    }
    assert_eq!(leases.len(), 6);
}
