//! Simulated site for the state machines: models of planners, entry nodes and workers, links with
//! injected faults, and virtual time.

#![allow(dead_code)]

pub mod gang_world;
pub mod script;
pub mod ticket_world;
pub mod worker;

use model::job::RawGangShape;
use model::prelude::*;

/// Parses a name; panics if it is malformed.
pub fn name<T: for<'a> TryFrom<&'a str, Error: std::fmt::Debug>>(raw: &str) -> T {
    T::try_from(raw).expect("well-formed name")
}

/// Builds the specification of a gang job with `members` members of one accelerator each.
pub fn job_spec(members: u32) -> JobSpec {
    let shape = RawGangShape {
        members,
        accelerators_per_member: 1,
        adjacency: Adjacency::DataCentre,
    };
    JobSpec {
        class: name("rota-rebuild"),
        organisation: name("county"),
        gang: GangShape::try_from(shape).expect("valid shape"),
        run_ms_declared: 60_000,
        checkpointable: true,
        ticket: None,
        input: String::new(),
    }
}

/// Builds the identifier of the job with this sequence number.
pub fn job_id(sequence: u64) -> JobId {
    JobId {
        data_centre: name("gyor"),
        node: name("gyor-1"),
        incarnation: Incarnation(1),
        sequence,
    }
}
