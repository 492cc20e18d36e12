//! The checker finds jobs that stand idle beside free workers, and nothing in what the rule allows.

use platform_standin::{AdvicePolicy, Note, Reply, StepSpec, WorkerEvent};
use rstest::rstest;
use soak::{Asked, CallRecord, Incident, Observed};

const JOB: &str = "00000000000000aa";
const FIRST: &str = "00000000000000aa.0.0.0";
const SECOND: &str = "00000000000000aa.0.1.0";

/// When the traffic ends.
const OVER_MS: u64 = 1_000;

/// When the rule begins to hold.
const JUDGED_MS: u64 = OVER_MS + 14_000;

const IDLE: &str = "no job stands idle beside free workers";

fn note(at_ms: u64, worker: &str, event: WorkerEvent) -> Note {
    let worker = worker.to_string();
    Note {
        at_ms,
        worker,
        incarnation: 1,
        event,
    }
}

fn start(at_ms: u64, worker: &str, task: &str, run: u64) -> Note {
    let task = task.to_string();
    let event = WorkerEvent::Start {
        task,
        run,
        term: 1,
        late: false,
    };
    note(at_ms, worker, event)
}

fn end(at_ms: u64, worker: &str, task: &str, run: u64, how: &str) -> Note {
    let event = WorkerEvent::End {
        task: task.to_string(),
        run,
        number: run,
        how: how.to_string(),
    };
    note(at_ms, worker, event)
}

/// Fills this many of a worker's accelerators with another job from before the rule holds to the end.
fn fill(worker: &str, runs: u64) -> Vec<Note> {
    let task = |at| format!("00000000000000bb.0.0.{at}");
    (0..runs)
        .map(|at| start(500, worker, &task(at), 1))
        .collect()
}

fn call(sent_ms: u64, asked: Asked) -> CallRecord {
    CallRecord {
        sent_ms,
        answered_ms: sent_ms,
        node: 0,
        incarnation: 1,
        job: JOB.to_string(),
        asked,
        reply: Reply::Accepted(String::new()),
    }
}

/// A job of two steps of one task each, on workers a and b.
fn two_steps(notes: Vec<Note>, end_ms: u64) -> Observed {
    let step = StepSpec {
        count: 1,
        run_ms: 4_000,
        gang: false,
        failing_runs: 0,
    };
    let began = ["a", "b"].map(|worker| note(0, worker, WorkerEvent::Began));
    let mut notes: Vec<Note> = began.into_iter().chain(notes).collect();
    notes.sort_by_key(|note| note.at_ms);
    Observed {
        notes,
        calls: vec![
            call(OVER_MS, Asked::Submit),
            CallRecord {
                reply: Reply::Accepted("completed".into()),
                ..call(end_ms, Asked::State)
            },
        ],
        steps: [(JOB.to_string(), vec![step.clone(), step])].into(),
        end_ms,
        ..Observed::default()
    }
}

fn promises(observed: &Observed) -> Vec<&'static str> {
    observed.check().iter().map(|one| one.promise).collect()
}

#[rstest]
#[case::never_started(vec![], 3_000, &[IDLE])]
#[case::not_yet_for_long(vec![], 2_999, &[])]
#[case::at_work(vec![start(2_000, "a", FIRST, 1)], 9_000, &[])]
#[case::started_in_time(vec![start(JUDGED_MS + 2_900, "a", FIRST, 1)], 9_000, &[])]
#[case::started_late(vec![start(JUDGED_MS + 3_100, "a", FIRST, 1)], 9_000, &[IDLE])]
#[case::failed_and_not_started_again(
    vec![start(2_000, "a", FIRST, 1), end(3_000, "a", FIRST, 1, "failed")], 3_000, &[IDLE])]
#[case::worker_killed(
    vec![start(2_000, "a", FIRST, 1), Note { incarnation: 0, ..note(3_000, "a", WorkerEvent::Killed) }], 3_000, &[IDLE])]
#[case::second_step_at_work(
    vec![start(2_000, "a", FIRST, 1), end(3_000, "a", FIRST, 1, "done"), start(4_000, "b", SECOND, 1)], 9_000, &[])]
#[case::done_step_runs_again_after_unheard_end(
    vec![start(2_000, "a", FIRST, 1), end(6_000, "a", FIRST, 1, "done"), note(6_500, "a", WorkerEvent::Left),
        start(JUDGED_MS - 500, "b", FIRST, 2), end(JUDGED_MS + 3_500, "b", FIRST, 2, "done"),
        start(JUDGED_MS + 3_600, "b", SECOND, 1)], 9_000, &[IDLE])]
#[case::all_done_but_not_shown(
    vec![start(2_000, "a", FIRST, 1), end(3_000, "a", FIRST, 1, "done"),
        start(3_100, "a", SECOND, 1), end(7_000, "a", SECOND, 1, "done")], 9_000, &[])]
fn check_job_with_nothing_running(
    #[case] notes: Vec<Note>,
    #[case] after_judged_ms: u64,
    #[case] expected: &[&str],
) {
    let observed = two_steps(notes, JUDGED_MS + after_judged_ms);
    assert_eq!(promises(&observed), expected);
}

#[rstest]
#[case::half_is_used(fill("a", 8), &[])]
#[case::under_half_is_used(fill("a", 7), &[IDLE])]
#[case::one_worker_left(vec![note(900, "b", WorkerEvent::Left)], &[IDLE])]
#[case::one_worker_leaves_and_half_of_the_rest_is_used(
    [fill("a", 4), vec![note(900, "b", WorkerEvent::LeavingStored)]].concat(), &[])]
#[case::no_worker_is_up(vec![note(900, "a", WorkerEvent::Left), note(900, "b", WorkerEvent::Left)], &[])]
fn check_idle_job_by_free_capacity(#[case] notes: Vec<Note>, #[case] expected: &[&str]) {
    assert_eq!(promises(&two_steps(notes, JUDGED_MS + 4_000)), expected);
}

#[rstest]
#[case::fits_twice(8, &[IDLE])]
#[case::fits_once(9, &[])]
fn check_idle_gang_by_free_capacity(#[case] members: u64, #[case] expected: &[&str]) {
    let mut observed = two_steps(vec![], JUDGED_MS + 4_000);
    for step in observed.steps.values_mut().flatten() {
        (step.count, step.gang) = (members, true);
    }
    assert_eq!(promises(&observed), expected);
}

#[test]
fn check_no_idle_job_after_cancel() {
    let mut observed = two_steps(vec![], JUDGED_MS + 4_000);
    observed.calls.push(CallRecord {
        reply: Reply::Unclear(0),
        ..call(OVER_MS, Asked::Cancel)
    });
    assert_eq!(promises(&observed), Vec::<&str>::new());
}

#[rstest]
#[case::too_soon_after_fault(OVER_MS + 2_000, &[])]
#[case::long_enough_after_fault(OVER_MS + 1_000, &[IDLE])]
fn check_idle_job_from_end_of_faults(#[case] until_ms: u64, #[case] expected: &[&str]) {
    let mut observed = two_steps(vec![], JUDGED_MS + 4_000);
    observed.incidents.push(Incident {
        from_ms: 0,
        until_ms,
        what: "store-silent of the store".to_string(),
    });
    assert_eq!(promises(&observed), expected);
}

/// Returns a job that the workers a and b are both allowed for, only one is, or none.
fn advised_job(allowed: usize) -> String {
    let policy = policy();
    let count = |id: &String| ["a", "b"].iter().filter(|w| policy.allows(id, w)).count();
    let mut ids = (0..1_000_u64).map(|id| format!("{id:016x}"));
    ids.find(|id| count(id) == allowed).unwrap()
}

fn policy() -> AdvicePolicy {
    AdvicePolicy {
        decide_ms: 500,
        each_worker_ms: 200,
        valid_ms: 10_000,
        forbidden_permille: 500,
    }
}

/// A job that may run on some workers only counts as idle beside room on these.
#[rstest]
#[case::allowed_everywhere(2, 5, &[IDLE])]
#[case::allowed_on_one_worker(1, 4, &[IDLE])]
#[case::allowed_on_one_worker_with_too_little_room(1, 5, &[])]
#[case::forbidden_everywhere(0, 1, &[])]
fn check_idle_job_by_policy(
    #[case] allowed: usize,
    #[case] members: u64,
    #[case] expected: &[&str],
) {
    let mut observed = two_steps(vec![], JUDGED_MS + 4_000);
    let job = advised_job(allowed);
    let mut steps = observed.steps.remove(JOB).unwrap();
    for step in &mut steps {
        (step.count, step.gang) = (members, true);
    }
    observed.steps.insert(job.clone(), steps);
    for call in &mut observed.calls {
        call.job = job.clone();
    }
    observed.advised.insert(job, policy());
    assert_eq!(promises(&observed), expected);
}
