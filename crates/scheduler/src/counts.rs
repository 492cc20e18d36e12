//! Counts of runs and of the work that they discard.

/// Counts of runs and their outcomes, and of discarded work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Starts that were sent.
    pub starts: u64,
    /// Runs that succeeded.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that were preempted.
    pub preempted: u64,
    /// Runs that were stopped before their worker may leave.
    pub stopped_before_leave: u64,
    /// Runs that were stopped to go on elsewhere, since they were not likely to end before their worker may leave.
    pub moved_before_leave: u64,
    /// Runs of gangs that were stopped since they cannot end before one of their workers goes.
    pub stopped_without_hope: u64,
    /// Decisions that a gang goes on although one of its workers is expected to go.
    pub kept_at_risk: u64,
    /// Runs lost with their worker or its lease.
    pub lost: u64,
    /// Runs that ended because another member of their gang ended.
    pub broken: u64,
    /// Runs whose gang did not start completely in time.
    pub alone: u64,
    /// Starts that a worker refused.
    pub refused: u64,
    /// Calls that were unanswered.
    pub unanswered: u64,
    /// Queries to the advice service that were sent.
    pub advice_queries: u64,
    /// Those that were refused or not answered in time.
    pub advice_unanswered: u64,
    /// Workers named in queries.
    pub advice_named: u64,
    /// Workers that answers have allowed.
    pub advice_allowed: u64,
    /// Jobs that were given up because a task crashed one worker after the other.
    pub given_up: u64,
    /// Workers that were quarantined after one failure, during a burst of them.
    pub quarantined_in_burst: u64,
    /// Attempts that were kept for workers known to work, during a burst of failures.
    pub attempts_kept: u64,
    /// Runs, or gangs, that were moved because they stood still.
    pub moved_still: u64,
    /// Answers of workers by which a run, or a gang, that stood still stayed where it was.
    pub still_kept: u64,
    /// Workers that were chosen last from then on, because their runs stood still.
    pub workers_still: u64,
    /// Runs that failed by their job's own fault, during a burst of failures.
    pub failed_by_job: u64,
    /// Entries of the list that contradict what their worker itself has said.
    pub entries_set_aside: u64,
    /// Workers that answered as a later incarnation.
    pub restarted: u64,
    /// Machines known to be faster than usual, and slower.
    pub machines_fast: u64,
    /// See [`RunCounts::machines_fast`].
    pub machines_slow: u64,
    /// Gangs placed on machines of like speed while speeds decide.
    pub gangs_alike: u64,
    /// Gangs placed on machines of different speeds while speeds decide, as there was no room on like ones.
    pub gangs_mixed: u64,
    /// Choices of workers that interference has changed.
    pub kept_apart: u64,
    /// Work discarded by preempted runs, in core-milliseconds.
    pub discarded_preempted_core_ms: u64,
    /// The same by runs of cancelled or failed jobs.
    pub discarded_unwanted_core_ms: u64,
    /// The same by runs that failed.
    pub discarded_failed_core_ms: u64,
    /// The same by runs that ended with their gang or whose gang did not start completely.
    pub discarded_broken_core_ms: u64,
    /// The same by runs lost with their worker or its lease.
    pub discarded_lost_core_ms: u64,
    /// Groups that a later group of another organisation went before, because its guarantee covered that one.
    pub passed_over_guarantee: u64,
    /// The same, because that one had waited far beyond the time in which it was worth something.
    pub passed_over_aged: u64,
    /// The same, because its own organisation was further above its entitlement.
    pub passed_over_share: u64,
    /// The same, because that one had less time left to be on time.
    pub passed_over_slack: u64,
    /// The same, because it could no longer be worth anything.
    pub passed_over_worthless: u64,
}
