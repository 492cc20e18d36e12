//! Remembers within a planning pass which shapes found no room, so that as large ones are not tried again.
//!
//! Capacity only shrinks within a pass: a group that needs at least as much of it as one that found no room finds none
//! either. At a crest, hundreds of groups wait that have few different shapes.

use crate::spec::Resources;

/// How much of the free capacity a group may use, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Access {
    /// What is neither headroom nor withheld for urgent groups that wait.
    OutsideHeadroom,
    /// The headroom too.
    Headroom,
    /// All of it; for urgent groups.
    All,
    /// All of it, at quarantined workers too.
    Quarantined,
}

/// Where the tasks of a shape have to fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Extent {
    /// On one rack.
    Rack,
    /// Anywhere.
    Site,
}

/// The shape of a group, as far as it decides whether there is room for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Shape {
    pub service: String,
    pub need: Resources,
    /// Number of tasks that have to fit at the same time.
    pub count: usize,
    pub extent: Extent,
    pub access: Access,
    /// Whether it may start beside tasks that may crash their worker.
    pub joins_suspects: bool,
}

/// The shapes that found no room in this pass.
#[derive(Debug, Default)]
pub(crate) struct Unplaceable(Vec<Shape>);

impl Unplaceable {
    /// Records a shape that found no room among all workers of its service.
    pub fn record(&mut self, shape: Shape) {
        if !self.covers(&shape) {
            self.0.push(shape);
        }
    }

    /// Returns whether a shape that needs no more than this one found no room.
    pub fn covers(&self, shape: &Shape) -> bool {
        self.0.iter().any(|failed| failed.implies(shape))
    }
}

impl Shape {
    /// Returns whether `other` finds no room if this shape finds none.
    fn implies(&self, other: &Shape) -> bool {
        self.access >= other.access
            && self.joins_suspects >= other.joins_suspects
            && self.count <= other.count
            && (self.extent == Extent::Site || other.extent == Extent::Rack)
            && self.need.fits(&other.need)
            && self.service == other.service
    }
}
