//! Division of limits among the entry nodes of a data centre.

/// Usage of one limit by the other entry nodes, according to their rows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PeerUse {
    /// Attempts in flight.
    pub(crate) in_flight: u32,
    /// Waiting requests.
    pub(crate) waiting: u32,
}

impl PeerUse {
    /// Adds the counts of one row.
    pub(crate) fn add(&mut self, in_flight: u32, waiting: u32) {
        self.in_flight = self.in_flight.saturating_add(in_flight);
        self.waiting = self.waiting.saturating_add(waiting);
    }

    /// Subtracts the counts of one row.
    pub(crate) fn subtract(&mut self, in_flight: u32, waiting: u32) {
        self.in_flight = self.in_flight.saturating_sub(in_flight);
        self.waiting = self.waiting.saturating_sub(waiting);
    }
}

/// The entry nodes that share the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Sharing {
    /// Number of entry nodes of the data centre, including this one.
    pub(crate) nodes: u32,
    /// Whether the rows of all other nodes are fresh.
    pub(crate) fresh: bool,
}

/// Rounding of a share that is not an integer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rounding {
    /// Round down: the sum of the shares does not exceed the limit, except that each is at least 1.
    Down,
    /// Round up: the sum of the shares reaches the limit.
    Up,
}

impl Sharing {
    /// Returns the part of `limit` that this node may use: its equal share plus what its peers
    /// leave unused.
    ///
    /// Without fresh rows of all peers, they are assumed to need their whole share.
    pub(crate) fn allowed(self, limit: u32, peers: PeerUse, rounding: Rounding) -> u32 {
        let nodes = self.nodes.max(1);
        let share = match rounding {
            Rounding::Down => (limit / nodes).max(limit.min(1)),
            Rounding::Up => limit.div_ceil(nodes),
        };
        if nodes == 1 || !self.fresh {
            return share;
        }
        let peers_share = limit - share;
        let peers_demand = peers.in_flight.saturating_add(peers.waiting);
        let spare = peers_share.saturating_sub(peers_demand);
        let unused = limit.saturating_sub(peers.in_flight);
        let least = match rounding {
            Rounding::Down => 0,
            Rounding::Up => share / 2,
        };
        (share + spare).min(unused.max(least))
    }
}
