//! The checker finds what it is meant to find, and nothing in what is allowed.

use platform_standin::{Note, Reply, StepSpec, WorkerEvent};
use rstest::rstest;
use soak::{Asked, CallRecord, Confirmed, Incident, Observed};

const JOB: &str = "00000000000000aa";
const TASK: &str = "00000000000000aa.0.0.0";

fn note(at_ms: u64, worker: &str, event: WorkerEvent) -> Note {
    let worker = worker.to_string();
    Note {
        at_ms,
        worker,
        incarnation: 1,
        event,
    }
}

fn start(at_ms: u64, worker: &str, run: u64) -> Note {
    let task = TASK.to_string();
    let event = WorkerEvent::Start {
        task,
        run,
        term: 1,
        late: false,
    };
    note(at_ms, worker, event)
}

fn end(at_ms: u64, worker: &str, run: u64, how: &str) -> Note {
    let event = WorkerEvent::End {
        task: TASK.to_string(),
        run,
        number: 1,
        how: how.to_string(),
    };
    note(at_ms, worker, event)
}

fn confirmed(at_ms: u64, worker: &str) -> Note {
    note(at_ms, worker, WorkerEvent::Confirmed { upto: 1 })
}

fn killed(at_ms: u64, worker: &str) -> Note {
    Note {
        incarnation: 0,
        ..note(at_ms, worker, WorkerEvent::Killed)
    }
}

fn call(sent_ms: u64, asked: Asked, reply: Reply) -> CallRecord {
    let job = match asked {
        Asked::Submit | Asked::State | Asked::Cancel => JOB.to_string(),
        Asked::Mark(_) | Asked::WithdrawnKey => String::new(),
    };
    CallRecord {
        sent_ms,
        answered_ms: sent_ms + 1,
        node: 0,
        incarnation: 1,
        job,
        asked,
        reply,
    }
}

fn accepted(state: &str) -> Reply {
    Reply::Accepted(state.to_string())
}

fn promises(observed: &Observed) -> Vec<&'static str> {
    let mut promises: Vec<&'static str> = observed.check().iter().map(|one| one.promise).collect();
    promises.dedup();
    promises
}

const TWICE: &str = "no task runs twice at the same time";
const AFTER_DONE: &str = "no task starts after it is done";

#[rstest]
#[case::beside_each_other(vec![start(0, "a", 1), start(50, "b", 2), end(80, "a", 1, "stopped")], &[TWICE])]
#[case::one_after_the_other(vec![start(0, "a", 1), end(50, "a", 1, "lapsed"), start(50, "b", 2)], &[])]
#[case::beside_each_other_for_a_moment(vec![start(0, "a", 1), start(50, "b", 2), end(69, "a", 1, "stopped")], &[])]
#[case::first_worker_killed(vec![start(0, "a", 1), killed(40, "a"), start(50, "b", 2)], &[])]
#[case::after_confirmed_end(
    vec![start(0, "a", 1), end(50, "a", 1, "done"), confirmed(900, "a"), start(600, "b", 2)], &[AFTER_DONE])]
#[case::after_unconfirmed_end(vec![start(0, "a", 1), end(50, "a", 1, "done"), start(60, "b", 2)], &[])]
#[case::confirmed_after_lease_ended(
    vec![start(0, "a", 1), end(50, "a", 1, "done"), note(70, "a", WorkerEvent::LeaseEnded), confirmed(900, "a"),
        start(100, "b", 2)], &[])]
fn check_runs_of_one_task(#[case] mut notes: Vec<Note>, #[case] expected: &[&str]) {
    notes.sort_by_key(|note| note.at_ms);
    let observed = Observed {
        notes,
        end_ms: 1_000,
        ..Observed::default()
    };
    assert_eq!(promises(&observed), expected);
}

#[rstest]
#[case::completed(vec![call(0, Asked::Submit, accepted("")), call(9, Asked::State, accepted("completed"))], &[])]
#[case::never_completed(
    vec![call(0, Asked::Submit, accepted("")), call(9, Asked::State, accepted("running"))], &["no accepted job is lost"])]
#[case::failed(
    vec![call(0, Asked::Submit, accepted("")), call(9, Asked::State, accepted("failed"))], &["no accepted job is lost"])]
#[case::refused_and_run(vec![call(0, Asked::Submit, Reply::Refused)], &["a refused job never runs"])]
#[case::unanswered_and_run(vec![call(0, Asked::Submit, Reply::Refused), call(1, Asked::Submit, Reply::Unclear(0))], &[])]
fn check_jobs_by_what_callers_saw(#[case] calls: Vec<CallRecord>, #[case] expected: &[&str]) {
    let observed = Observed {
        notes: vec![start(5, "a", 1), end(6, "a", 1, "done")],
        calls,
        end_ms: 1_000,
        ..Observed::default()
    };
    assert_eq!(promises(&observed), expected);
}

#[rstest]
#[case::in_time(2_000, false, &[])]
#[case::late(2_600, false, &["a leaving worker gets no new work"])]
#[case::late_beside_a_fault(2_600, true, &[])]
fn check_starts_on_leaving_worker(
    #[case] after_ms: u64,
    #[case] disturbed: bool,
    #[case] expected: &[&str],
) {
    let incidents = disturbed.then(|| Incident {
        from_ms: 9_000,
        until_ms: 9_500,
        what: "store-slow of the store".to_string(),
    });
    let observed = Observed {
        notes: vec![
            note(10_000, "a", WorkerEvent::LeavingStored),
            start(10_000 + after_ms, "a", 1),
            end(10_001 + after_ms, "a", 1, "stopped"),
        ],
        incidents: incidents.into_iter().collect(),
        end_ms: 20_000,
        ..Observed::default()
    };
    assert_eq!(promises(&observed), expected);
}

#[rstest]
#[case::still_known(Asked::Mark(7), accepted(""), &[])]
#[case::reverted(Asked::Mark(7), Reply::NotAllowed, &["a configuration in force is not reverted"])]
#[case::key_refused(Asked::WithdrawnKey, Reply::NotAllowed, &[])]
#[case::key_used(Asked::WithdrawnKey, accepted(""), &["a withdrawn key is refused in time"])]
fn check_configuration_in_force(
    #[case] asked: Asked,
    #[case] reply: Reply,
    #[case] expected: &[&str],
) {
    let observed = Observed {
        calls: vec![
            call(100, Asked::Mark(7), accepted("")),
            call(6_000, asked, reply),
        ],
        confirmed: vec![Confirmed {
            at_ms: 50,
            version: 7,
            withdraws_key: true,
        }],
        end_ms: 9_000,
        ..Observed::default()
    };
    assert_eq!(promises(&observed), expected);
}

/// Returns the notes of the members of one run of a gang, each on a worker of its own, that end like this.
fn gang_run(run: u64, ends: &[&str]) -> Vec<Note> {
    let member = |index: usize, how: &str| {
        let (at_ms, worker) = (100 * run, format!("w-{index}-{run}"));
        let task = format!("{JOB}.0.0.{index}");
        let begin = WorkerEvent::Start {
            task: task.clone(),
            run,
            term: 1,
            late: false,
        };
        let end = WorkerEvent::End {
            task,
            run,
            number: 1,
            how: how.to_string(),
        };
        [
            note(at_ms, &worker, begin),
            note(at_ms + 50, &worker, end),
            confirmed(at_ms + 60, &worker),
        ]
    };
    let ends = ends.iter().enumerate();
    ends.flat_map(|(index, how)| member(index, how)).collect()
}

const LOST: &str = "no accepted job is lost";
const AFTER_ATTEMPTS: &str = "no task starts after its attempts are used up";

/// The queue allows four failed runs.
#[rstest]
#[case::one_run_of_a_gang(true, vec![vec!["failed"; 4]], &[LOST])]
#[case::three_runs_of_a_gang(true, vec![vec!["failed"; 2]; 3], &[LOST])]
#[case::four_runs_of_a_gang(true, vec![vec!["failed", "broken"]; 4], &[])]
#[case::different_members_of_a_gang(
    true, vec![vec!["failed", "broken"], vec!["broken", "failed"], vec!["failed", "broken"], vec!["broken", "failed"]], &[])]
#[case::three_runs_of_a_task(false, vec![vec!["failed"]; 3], &[LOST])]
#[case::four_runs_of_a_task(false, vec![vec!["failed"]; 4], &[])]
#[case::one_run_of_four_tasks(false, vec![vec!["failed"; 4]], &[LOST])]
#[case::ends_that_are_not_failures(false, vec![vec!["lapsed"]; 4], &[LOST])]
#[case::fifth_run_of_a_task(false, vec![vec!["failed"]; 5], &[AFTER_ATTEMPTS])]
fn check_job_that_is_shown_as_failed(
    #[case] gang: bool,
    #[case] runs: Vec<Vec<&str>>,
    #[case] expected: &[&str],
) {
    let step = StepSpec {
        count: runs[0].len() as u64,
        run_ms: 1_000,
        gang,
        failing_runs: 0,
    };
    let notes = (1..).zip(&runs).flat_map(|(run, ends)| gang_run(run, ends));
    let observed = Observed {
        notes: notes.collect(),
        calls: vec![
            call(0, Asked::Submit, accepted("")),
            call(900, Asked::State, accepted("failed")),
        ],
        steps: [(JOB.to_string(), vec![step])].into(),
        end_ms: 1_000,
        ..Observed::default()
    };
    assert_eq!(promises(&observed), expected);
}
