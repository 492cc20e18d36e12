//! Settings of the placement policy.

/// Settings of the placement policy; each mechanism can be switched off separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementConfig {
    /// Whether guaranteed shapes are bound to blocks and reclaimed from preemptible work.
    pub guarantees: bool,
    /// Whether waiting jobs are ordered by estimated run time instead of arrival.
    pub shortest_first: bool,
    /// Whether a job may start while an earlier one does not fit.
    pub backfill: bool,
    /// Whether accelerators are reserved for blocked jobs.
    pub reservations: bool,
    /// Whether declared run times are corrected by the run times observed per class and
    /// organisation.
    pub learning: bool,
    /// Whether the time that a job has waited raises its place in the queue.
    pub ageing: bool,
    /// Whether jobs of organisations with a larger share of the data centre wait longer.
    pub fairness: bool,
    /// Whether the smallest fitting blocks are chosen, so that large free blocks stay whole.
    pub best_fit: bool,
    /// Whether checkpointable work is moved to free adjacent accelerators for a blocked gang.
    pub defragmentation: bool,
    /// Whether workers on which every job fails are quarantined.
    pub quarantine: bool,
    /// Weight of the submission time against the estimated run time in the order of the queue, in
    /// thousandths.
    pub ageing_permille: u64,
    /// Delay added to the queue rank of a job for each thousandth of the data centre that its
    /// organisation holds beyond its guarantees, in milliseconds.
    pub fairness_ms_per_permille: u64,
    /// Maximum number of blocked jobs that accelerators are reserved for.
    pub reservations_max: usize,
    /// Consecutive failures of different jobs after which a worker is quarantined.
    pub quarantine_failures: u32,
    /// Failures of a job after which it is not started again.
    pub job_failures: u32,
    /// Duration of the first quarantine of a worker, in milliseconds; each further one lasts twice
    /// as long.
    pub quarantine_ms: u64,
    /// Maximum duration of a quarantine, in milliseconds.
    pub quarantine_ms_max: u64,
    /// Duration of the probation after a quarantine, in which a worker gets only jobs that fit on
    /// one worker, in milliseconds.
    pub probation_ms: u64,
    /// Initial backoff after a failure, in milliseconds; it doubles with each further one.
    pub retry_ms: u64,
    /// Minimum age of a shortfall before it is reported, in milliseconds.
    pub shortfall_delay_ms: u64,
    /// Time after the grace period at which a stop is repeated without grace, in milliseconds.
    pub stop_overdue_ms: u64,
    /// Cost of stopping and restarting a job in addition to discarded work, in milliseconds per
    /// accelerator.
    pub restart_ms: u64,
    /// Time that a blocked gang waits before work is moved for it, in milliseconds.
    pub defragmentation_after_ms: u64,
    /// Minimum ratio of the gain of a move to its cost, in thousandths.
    pub defragmentation_gain_permille: u64,
    /// Interval between two rounds of reservations and moves, in milliseconds.
    pub round_ms: u64,
    /// Time after which ended jobs are forgotten, in milliseconds.
    pub ended_keep_ms: u64,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            guarantees: true,
            shortest_first: true,
            backfill: true,
            reservations: true,
            learning: true,
            ageing: true,
            fairness: true,
            best_fit: true,
            defragmentation: true,
            quarantine: true,
            ageing_permille: 250,
            fairness_ms_per_permille: 10_000,
            reservations_max: 2,
            quarantine_failures: 3,
            job_failures: 3,
            quarantine_ms: 60_000,
            quarantine_ms_max: 3_600_000,
            probation_ms: 600_000,
            retry_ms: 500,
            shortfall_delay_ms: 1_000,
            stop_overdue_ms: 2_000,
            restart_ms: 5_000,
            defragmentation_after_ms: 60_000,
            defragmentation_gain_permille: 2_000,
            round_ms: 1_000,
            ended_keep_ms: 600_000,
        }
    }
}

impl PlacementConfig {
    /// Returns the baseline for comparisons: one FIFO queue, first fit and no preemption.
    pub fn baseline() -> Self {
        Self {
            guarantees: false,
            shortest_first: false,
            backfill: false,
            reservations: false,
            learning: false,
            ageing: false,
            fairness: false,
            best_fit: false,
            defragmentation: false,
            quarantine: false,
            ..Self::default()
        }
    }
}
