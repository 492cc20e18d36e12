//! Settings of the decision code, with a switch for each mechanism.

/// Switches of the mechanisms; all except hedging are on by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Queue requests by class and organisation; otherwise in one FIFO queue without limits for
    /// classes and organisations.
    pub class_queues: bool,
    /// Reserve headroom for shorter work.
    pub lanes: bool,
    /// Adapt the headroom to the observed load; otherwise it is a fixed share of the slots.
    pub adaptive_reserve: bool,
    /// Count attempts that overrun the run time of their class as long work, up to a share of the
    /// slots.
    pub straggler_lane: bool,
    /// Reject or spill requests that cannot meet their deadline before they are sent.
    pub shedding: bool,
    /// Serve requests that have waited long only when no fresh one can be started.
    pub fresh_first: bool,
    /// Serve organisations within their share before those above it.
    pub share_order: bool,
    /// Limit each node to its share of the slots and to what its peers leave unused.
    pub node_share: bool,
    /// Adapt the concurrency limit of a worker to its latency and failures.
    pub adaptive_concurrency: bool,
    /// Choose the less loaded of two random workers with a free slot; otherwise the first one.
    pub two_choices: bool,
    /// Limit retries by a budget for each organisation and for the node.
    pub retry_budget: bool,
    /// Send a hedged attempt for idempotent requests that take long; off by default.
    pub hedging: bool,
    /// Offer requests that cannot be run in time to other data centres instead of rejecting them.
    pub spill: bool,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            class_queues: true,
            lanes: true,
            adaptive_reserve: true,
            straggler_lane: true,
            shedding: true,
            fresh_first: true,
            share_order: true,
            node_share: true,
            adaptive_concurrency: true,
            two_choices: true,
            retry_budget: true,
            hedging: false,
            spill: true,
        }
    }
}

impl AdmissionConfig {
    /// Returns the baseline for comparisons: one FIFO queue, first fit and no load shedding.
    pub const fn baseline() -> Self {
        Self {
            class_queues: false,
            lanes: false,
            adaptive_reserve: false,
            straggler_lane: false,
            shedding: false,
            fresh_first: false,
            share_order: false,
            node_share: false,
            adaptive_concurrency: false,
            two_choices: false,
            retry_budget: false,
            hedging: false,
            spill: false,
        }
    }
}
