//! The counters of a node that come from its planner.

use scheduler::RunCounts;

use crate::metrics::Counter;

/// Returns the counters of the planner's present term, with their values.
pub(crate) fn list_counts(counts: &RunCounts) -> impl Iterator<Item = (Counter, u64)> {
    let runs = [
        (Counter::StartsRefused, counts.refused),
        (Counter::Preempted, counts.preempted),
        (Counter::TasksLost, counts.lost),
        (Counter::TasksFailed, counts.failed),
        (Counter::TasksBroken, counts.broken),
        (Counter::TasksAlone, counts.alone),
        (Counter::JobsGivenUp, counts.given_up),
        (Counter::AdviceQueries, counts.advice_queries),
        (Counter::AdviceUnanswered, counts.advice_unanswered),
        (Counter::AdviceNamed, counts.advice_named),
        (Counter::AdviceAllowed, counts.advice_allowed),
        (Counter::EntriesSetAside, counts.entries_set_aside),
        (Counter::WorkersRestarted, counts.restarted),
    ];
    let turns = [
        (Counter::PassedOverGuarantee, counts.passed_over_guarantee),
        (Counter::PassedOverAged, counts.passed_over_aged),
        (Counter::PassedOverShare, counts.passed_over_share),
        (Counter::PassedOverSlack, counts.passed_over_slack),
        (Counter::PassedOverWorthless, counts.passed_over_worthless),
    ];
    let departures = [
        (Counter::StoppedBeforeLeave, counts.stopped_before_leave),
        (Counter::MovedBeforeLeave, counts.moved_before_leave),
        (Counter::StoppedWithoutHope, counts.stopped_without_hope),
        (Counter::KeptAtRisk, counts.kept_at_risk),
    ];
    let failures = [
        (Counter::QuarantinedInBurst, counts.quarantined_in_burst),
        (Counter::AttemptsKept, counts.attempts_kept),
        (Counter::FailedByJob, counts.failed_by_job),
        (Counter::MovedStill, counts.moved_still),
        (Counter::StillKept, counts.still_kept),
        (Counter::WorkersStill, counts.workers_still),
    ];
    let machines = [
        (Counter::MachinesFast, counts.machines_fast),
        (Counter::MachinesSlow, counts.machines_slow),
        (Counter::GangsAlike, counts.gangs_alike),
        (Counter::GangsMixed, counts.gangs_mixed),
        (Counter::KeptApart, counts.kept_apart),
    ];
    let discarded_core_ms = [
        (
            Counter::WastedPreemptedCoreS,
            counts.discarded_preempted_core_ms,
        ),
        (
            Counter::WastedUnwantedCoreS,
            counts.discarded_unwanted_core_ms,
        ),
        (Counter::WastedFailedCoreS, counts.discarded_failed_core_ms),
        (Counter::WastedBrokenCoreS, counts.discarded_broken_core_ms),
        (Counter::WastedLostCoreS, counts.discarded_lost_core_ms),
    ];
    let discarded = discarded_core_ms.map(|(counter, core_ms)| (counter, core_ms / 1000));
    runs.into_iter()
        .chain(turns)
        .chain(departures)
        .chain(failures)
        .chain(machines)
        .chain(discarded)
}
