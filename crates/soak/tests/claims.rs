//! The checker finds guarantees that are met late, stops beyond a limit, and cancels that are not heeded.

use platform_standin::{Note, Reply, StepSpec, WorkerEvent};
use rstest::rstest;
use soak::{Asked, CallRecord, Claim, Incident, Observed};

const JOB: &str = "00000000000000aa";

const RECLAIM: &str = "a guarantee can be reclaimed";
const AWAY: &str = "no more tasks are away than allowed";
const STARTS: &str = "a cancelled job starts nothing";
const SHOWN: &str = "a cancelled job is shown as over";

/// When the submission or the cancel is answered.
const ANSWERED_MS: u64 = 20_000;

fn note(at_ms: u64, event: WorkerEvent) -> Note {
    Note {
        at_ms,
        worker: "a".to_string(),
        incarnation: 1,
        event,
    }
}

fn start(at_ms: u64, index: u64, run: u64) -> Note {
    let event = WorkerEvent::Start {
        task: format!("{JOB}.0.0.{index}"),
        run,
        term: 1,
        late: false,
    };
    note(at_ms, event)
}

fn stopped(at_ms: u64, index: u64, run: u64) -> Note {
    let event = WorkerEvent::End {
        task: format!("{JOB}.0.0.{index}"),
        run,
        number: index + 1,
        how: "stopped".to_string(),
    };
    note(at_ms, event)
}

fn call(sent_ms: u64, asked: Asked, reply: Reply) -> CallRecord {
    CallRecord {
        sent_ms,
        answered_ms: sent_ms,
        node: 0,
        incarnation: 1,
        job: JOB.to_string(),
        asked,
        reply,
    }
}

fn observed(notes: Vec<Note>, calls: Vec<CallRecord>, claim: Option<Claim>) -> Observed {
    let step = StepSpec {
        count: 3,
        run_ms: 1_000,
        gang: false,
        failing_runs: 0,
    };
    Observed {
        notes,
        calls,
        steps: [(JOB.to_string(), vec![step])].into(),
        claims: claim
            .map(|claim| (JOB.to_string(), claim))
            .into_iter()
            .collect(),
        end_ms: 60_000,
        ..Observed::default()
    }
}

fn promises(observed: &Observed) -> Vec<&'static str> {
    observed.check().iter().map(|one| one.promise).collect()
}

#[rstest]
#[case::in_time(22_900, None, &[])]
#[case::late(22_901, None, &[RECLAIM])]
#[case::late_beside_a_fault(30_000, Some("store-slow of the store"), &[])]
#[case::late_beside_a_change(30_000, Some("configuration of version 7"), &[RECLAIM])]
fn check_guaranteed_job(
    #[case] last_ms: u64,
    #[case] fault: Option<&str>,
    #[case] expected: &[&str],
) {
    let notes = vec![
        start(20_100, 0, 1),
        start(20_200, 1, 1),
        start(last_ms, 2, 1),
    ];
    let calls = vec![
        call(ANSWERED_MS, Asked::Submit, Reply::Accepted(String::new())),
        call(
            50_000,
            Asked::State,
            Reply::Accepted("completed".to_string()),
        ),
    ];
    let incident = fault.map(|what| Incident {
        from_ms: 17_000,
        until_ms: 17_500,
        what: what.to_string(),
    });
    let observed = Observed {
        incidents: incident.into_iter().collect(),
        ..observed(notes, calls, Some(Claim::Guaranteed))
    };
    assert_eq!(promises(&observed), expected);
}

/// Three tasks, of which one may be away, work from second 10; the first is stopped at second 20.
#[rstest]
#[case::one(vec![], &[])]
#[case::two_at_once(vec![stopped(20_000, 1, 1)], &[AWAY])]
#[case::next_while_first_is_away(vec![stopped(24_000, 1, 1)], &[AWAY])]
#[case::next_while_first_starts(vec![start(23_800, 0, 2), stopped(24_000, 1, 1)], &[AWAY])]
#[case::next_once_first_is_at_work(vec![start(21_000, 0, 2), stopped(24_000, 1, 1)], &[])]
#[case::next_after_the_cancel(vec![stopped(41_000, 1, 1)], &[])]
fn check_stops_of_limited_tasks(#[case] more: Vec<Note>, #[case] expected: &[&str]) {
    let mut notes: Vec<Note> = (0..3).map(|index| start(10_000, index, 1)).collect();
    notes.push(stopped(20_000, 0, 1));
    notes.extend(more);
    notes.sort_by_key(|note| note.at_ms);
    let calls = vec![
        call(9_000, Asked::Submit, Reply::Accepted(String::new())),
        call(40_000, Asked::Cancel, Reply::Accepted(String::new())),
    ];
    let claim = Claim::Holder {
        urgent: false,
        most_away: Some(1),
        lasting: true,
    };
    assert_eq!(promises(&observed(notes, calls, Some(claim))), expected);
}

#[rstest]
#[case::nothing_starts(Reply::Unknown, 30_000, Reply::Unknown, &[])]
#[case::starts_in_time(Reply::Unknown, 22_900, Reply::Unknown, &[])]
#[case::starts_after_cancel(Reply::Accepted(String::new()), 23_100, Reply::Unknown, &[STARTS])]
#[case::starts_after_unknown(Reply::Unknown, 23_100, Reply::Unknown, &[STARTS])]
#[case::shown_as_running(Reply::Unknown, 30_000, Reply::Accepted("running".to_string()), &[SHOWN])]
#[case::cancel_refused(Reply::Refused, 23_100, Reply::Accepted("running".to_string()), &[])]
fn check_cancel_of_job_in_doubt(
    #[case] answer: Reply,
    #[case] started_ms: u64,
    #[case] state: Reply,
    #[case] expected: &[&str],
) {
    let notes = match started_ms {
        30_000 => vec![],
        at_ms => vec![start(at_ms, 0, 1), stopped(at_ms + 100, 0, 1)],
    };
    let calls = vec![
        call(19_000, Asked::Submit, Reply::Unclear(504)),
        call(ANSWERED_MS, Asked::Cancel, answer),
        call(30_000, Asked::State, state),
    ];
    assert_eq!(promises(&observed(notes, calls, None)), expected);
}
