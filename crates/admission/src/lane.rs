//! Lanes: classes grouped by how long their work occupies a slot, and the headroom that longer
//! lanes leave free for shorter ones.

use model::prelude::*;

use crate::config::AdmissionConfig;
use crate::estimate::Rate;
use crate::queue::Age;
use crate::share::PeerUse;

/// Longest expected run time of the brief lane, in milliseconds.
const BRIEF_RUN_MS_MAX: u64 = 250;

/// Time constant of the observed load, in milliseconds.
const LOAD_TIME_CONSTANT_MS: f64 = 4_000.0;

/// Standard deviations of the load that the headroom covers above its mean.
const HEADROOM_DEVIATIONS: f64 = 1.0;

/// Shares of the loads of the shorter lanes that a lane leaves headroom for.
#[derive(Debug, Clone, Copy)]
struct HeadroomShares {
    brief: f64,
    short: f64,
}

impl HeadroomShares {
    /// Returns the shares for `lane` and `age`; overdue work leaves more headroom, so that a
    /// backlog does not delay fresh work.
    const fn of(lane: Lane, age: Age) -> Self {
        let (brief, short) = match (lane, age) {
            (Lane::Brief, _) => (0.0, 0.0),
            (Lane::Short, Age::Fresh) => (0.4, 0.0),
            (Lane::Short, Age::Overdue) => (1.5, 0.0),
            (Lane::Long | Lane::Straggler, Age::Fresh) => (1.0, 0.5),
            (Lane::Long | Lane::Straggler, Age::Overdue) => (1.5, 1.5),
        };
        Self { brief, short }
    }
}

/// Maximum headroom for the brief lane, in permille of the slots.
const BRIEF_HEADROOM_PERMILLE_MAX: u32 = 400;

/// Maximum headroom for the brief and the short lane together, in permille of the slots.
const SHORT_HEADROOM_PERMILLE_MAX: u32 = 650;

/// Minimum headroom, even if no shorter work has been observed, in permille of the slots.
///
/// Long work occupies its slots for longer than a burst of urgent work takes to arrive.
const HEADROOM_PERMILLE_MIN: u32 = 40;

/// Minimum interval between two starts of long work beyond the equal share of this node, in
/// milliseconds.
///
/// Within this interval the rows of the other nodes report what they have started.
const LONG_BORROW_INTERVAL_MS: u64 = 1_000;

/// Headroom for each shorter lane when it is not adaptive, in permille of the slots.
const FIXED_HEADROOM_PERMILLE: u32 = 200;

/// Slots that the short lane gets before other normal work, in permille.
const SHORT_FLOOR_PERMILLE: u32 = 100;

/// Slots that the long lane gets before other normal work, in permille.
const LONG_FLOOR_PERMILLE: u32 = 250;

/// Maximum share of the slots that the straggler lane may hold, in permille.
const STRAGGLER_PERMILLE_MAX: u32 = 100;

/// Group of work by how long it occupies a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lane {
    /// Expected to end within 250 ms.
    Brief,
    /// Expected to end within the bound of short classes.
    Short,
    /// Expected to run longer.
    Long,
    /// Has overrun the expected run time of a shorter lane.
    Straggler,
}

impl Lane {
    /// Returns the lane of a class.
    pub(crate) fn of_class(spec: &ClassSpec) -> Self {
        if spec.expected_run_ms <= BRIEF_RUN_MS_MAX {
            Self::Brief
        } else if spec.is_short() {
            Self::Short
        } else {
            Self::Long
        }
    }

    /// Returns the precedence in the order of service, higher for shorter work.
    pub(crate) const fn precedence(self) -> u8 {
        match self {
            Self::Brief => 2,
            Self::Short => 1,
            Self::Long | Self::Straggler => 0,
        }
    }
}

/// Usage of the lanes by this node.
#[derive(Debug)]
pub(crate) struct Lanes {
    in_flight: [u32; 4],
    /// Time of the last start of long work beyond the equal share.
    long_borrowed_ms: u64,
    brief_load: Rate,
    short_load: Rate,
    /// Load of the brief lane at the other entry nodes, in thousandths of a slot.
    pub(crate) peers_brief_load: PeerUse,
    /// Load of the short lane at the other entry nodes, in thousandths of a slot.
    pub(crate) peers_short_load: PeerUse,
}

/// Numbers of slots and attempts that limit the lanes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotLimits {
    /// Equal share of this node of the slots of the data centre.
    pub(crate) share: u32,
    /// Slots that this node may use, including those that the other nodes leave unused.
    pub(crate) own: u32,
    /// Capacity of the data centre: the sum of the concurrency limits of its workers.
    pub(crate) all: u32,
    /// Attempts of the other entry nodes in flight in the short lane.
    pub(crate) peers_short: u32,
    /// Attempts of the other entry nodes in flight in the long lane.
    pub(crate) peers_long: u32,
}

impl Lanes {
    /// Creates empty lanes.
    pub(crate) fn new() -> Self {
        Self {
            in_flight: [0; 4],
            long_borrowed_ms: 0,
            brief_load: Rate::new(0, LOAD_TIME_CONSTANT_MS),
            short_load: Rate::new(0, LOAD_TIME_CONSTANT_MS),
            peers_brief_load: PeerUse::default(),
            peers_short_load: PeerUse::default(),
        }
    }

    /// Returns the number of attempts in flight in all lanes.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.iter().sum()
    }

    /// Records a submitted request that will occupy a slot for about `run_ms`.
    pub(crate) fn observe(&mut self, now_ms: u64, spec: &ClassSpec, run_ms: f64) {
        match Lane::of_class(spec) {
            _ if spec.urgency == Urgency::Urgent => self.brief_load.record(now_ms, run_ms),
            Lane::Brief => self.brief_load.record(now_ms, run_ms),
            Lane::Short => self.short_load.record(now_ms, run_ms),
            Lane::Long | Lane::Straggler => {}
        }
    }

    /// Records the start of an attempt; `share` is the equal share of this node.
    pub(crate) fn enter(&mut self, now_ms: u64, lane: Lane, share: u32) {
        self.in_flight[lane as usize] += 1;
        let is_borrowed = self.in_flight[Lane::Long as usize] >= share;
        if lane == Lane::Long && is_borrowed {
            self.long_borrowed_ms = now_ms;
        }
    }

    /// Records the end of an attempt.
    pub(crate) fn leave(&mut self, lane: Lane) {
        let count = &mut self.in_flight[lane as usize];
        *count = count.saturating_sub(1);
    }

    /// Moves an attempt that has overrun its class to the straggler lane, unless that is full;
    /// returns the lane of the attempt afterwards.
    pub(crate) fn move_to_stragglers(&mut self, lane: Lane, slots: u32) -> Lane {
        let stragglers = self.in_flight[Lane::Straggler as usize];
        if lane == Lane::Long || stragglers >= permille_of(slots, STRAGGLER_PERMILLE_MAX).max(1) {
            return lane;
        }
        self.leave(lane);
        self.in_flight[Lane::Straggler as usize] += 1;
        Lane::Straggler
    }

    /// Returns the observed load of the brief and of the short lane of this node, in thousandths of
    /// a slot.
    pub(crate) fn loads_milli(&self, now_ms: u64) -> (u32, u32) {
        let milli = |load: &Rate| (load.at(now_ms) * 1_000.0) as u32;
        (milli(&self.brief_load), milli(&self.short_load))
    }

    /// Returns whether `lane` may start one more attempt.
    ///
    /// Longer lanes leave the headroom free in the slots of this node and, according to the rows of
    /// the other nodes, in those of the data centre.
    pub(crate) fn has_free_slot(
        &self,
        now_ms: u64,
        config: &AdmissionConfig,
        lane: Lane,
        age: Age,
        limits: SlotLimits,
    ) -> bool {
        let total = self.in_flight();
        if !config.lanes {
            return total < limits.own;
        }
        let [brief, short, ..] = self.in_flight;
        let (longer, peers_longer) = match lane {
            Lane::Brief => return age == Age::Fresh || total < limits.own,
            Lane::Short => (total - brief, limits.peers_short + limits.peers_long),
            Lane::Long | Lane::Straggler => (total - brief - short, limits.peers_long),
        };
        let (own_load, peers_load) = self.loads_to_reserve(now_ms, lane, age);
        let own_headroom = headroom(config, lane, own_load, limits.own);
        let all_headroom = headroom(config, lane, own_load + peers_load, limits.all);
        let is_long = lane == Lane::Long || age == Age::Overdue;
        // Rows do not show yet what other nodes start at the same time, so borrowing is paced.
        let may_borrow = now_ms >= self.long_borrowed_ms + LONG_BORROW_INTERVAL_MS;
        if lane == Lane::Long && longer + own_headroom >= limits.share && !may_borrow {
            return false;
        }
        (!is_long || (total < limits.own && longer + own_headroom < limits.own))
            && longer + peers_longer + all_headroom < limits.all
    }

    /// Returns the load that `lane` leaves headroom for when it starts work of `age`, at this node
    /// and at the other nodes, in slots.
    fn loads_to_reserve(&self, now_ms: u64, lane: Lane, age: Age) -> (f64, f64) {
        let shares = HeadroomShares::of(lane, age);
        let own =
            shares.brief * self.brief_load.at(now_ms) + shares.short * self.short_load.at(now_ms);
        let peers_milli = shares.brief * f64::from(self.peers_brief_load.in_flight)
            + shares.short * f64::from(self.peers_short_load.in_flight);
        (own, peers_milli / 1_000.0)
    }

    /// Returns whether a lane holds fewer slots than it gets before other normal work.
    pub(crate) fn is_below_floor(&self, lane: Lane, slots: u32) -> bool {
        let floor_permille = match lane {
            Lane::Brief | Lane::Straggler => return false,
            Lane::Short => SHORT_FLOOR_PERMILLE,
            Lane::Long => LONG_FLOOR_PERMILLE,
        };
        self.in_flight[lane as usize] < permille_of(slots, floor_permille)
    }
}

/// Returns the number of `total_slots` that `lane` leaves free for shorter lanes with a mean load
/// of `load` slots.
fn headroom(config: &AdmissionConfig, lane: Lane, load: f64, total_slots: u32) -> u32 {
    let (most_permille, fixed_permille) = match lane {
        Lane::Short => (BRIEF_HEADROOM_PERMILLE_MAX, FIXED_HEADROOM_PERMILLE),
        _ => (SHORT_HEADROOM_PERMILLE_MAX, 2 * FIXED_HEADROOM_PERMILLE),
    };
    if !config.adaptive_reserve {
        return permille_of(total_slots, fixed_permille);
    }
    let slots = (load + HEADROOM_DEVIATIONS * load.sqrt()).round() as u32;
    let least = permille_of(total_slots, HEADROOM_PERMILLE_MIN).max(1);
    slots
        .max(least)
        .min(permille_of(total_slots, most_permille))
}

/// Returns `permille` of `whole`, rounded down.
fn permille_of(whole: u32, permille: u32) -> u32 {
    whole * permille / 1_000
}
