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
}
