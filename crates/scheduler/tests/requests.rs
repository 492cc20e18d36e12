//! The checks on jobs that callers submit, and on those read from the store.
//!
//! Guards against a job that frees capacity for others, or whose size ends the process.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use scheduler::{SpecError, Timing};
use support::{Harness, job, step};

/// Needs that no deployment has, with a reason to refuse each.
fn with_need(cpu_millis: i64, memory_mb: i64, accelerators: i64) -> StepSpec {
    StepSpec {
        need: Resources {
            cpu_millis,
            memory_mb,
            accelerators,
        },
        ..step(1, 1)
    }
}

fn check(steps: Vec<StepSpec>) -> Result<JobRequest, SpecError> {
    JobRequest::check("text".to_string(), steps, Timing::default())
}

/// The store keeps a cancel of a job that was never accepted until a flush names it.
#[test]
fn cancel_of_unknown_job_is_handed_to_flush() {
    let mut harness = Harness::with_workers(1);
    let (known, unknown) = (job(1, 1, vec![step(1, 1)]), job(2, 1, vec![step(1, 1)]));
    harness.planner.add_job(known.clone(), 1, harness.now_ms);
    harness.planner.cancel_job(known.id, harness.now_ms);
    harness.planner.cancel_job(unknown.id, harness.now_ms);
    let (_, flush) = harness.plan_without_store();
    assert_eq!(flush.unsubmitted, vec![unknown.id]);
    harness.planner.complete_flush(flush, harness.now_ms);
    // Its removal may be reported after the job was removed.
    harness.planner.cancel_job(known.id, harness.now_ms);
    let (_, flush) = harness.plan_without_store();
    assert!(flush.is_empty());
}

#[rstest]
#[case::cpu_negative(with_need(-1, 1, 1))]
#[case::memory_negative(with_need(1, -1, 1))]
#[case::accelerators_negative(with_need(1, 1, -1))]
#[case::cpu_lowest(with_need(i64::MIN, 1, 1))]
#[case::cpu_highest(with_need(i64::MAX, 1, 1))]
#[case::memory_highest(with_need(1, i64::MAX, 1))]
#[case::accelerators_highest(with_need(1, 1, i64::MAX))]
fn need_that_frees_or_overflows_capacity_is_accepted(#[case] odd: StepSpec) {
    let refused = check(vec![step(1, 1), odd]);
    assert_eq!(refused, Err(SpecError::Need(1)));
}

#[rstest]
#[case::nothing(with_need(0, 0, 0))]
#[case::very_large(with_need(1_000_000, 1_000_000, 10_000))]
fn valid_need_is_refused(#[case] valid: StepSpec) {
    assert!(check(vec![valid]).is_ok());
}

/// A job in the store may come from another writer, who did not check it.
#[rstest]
#[case::steps(|job: &mut StoredJob| job.request.steps.clear())]
#[case::tasks(|job: &mut StoredJob| job.request.steps[0].count = u32::MAX)]
#[case::occurrences(|job: &mut StoredJob| job.request.timing.times = u32::MAX)]
#[case::later_step(|job: &mut StoredJob| job.request.steps[0].after = vec![7])]
#[case::text(|job: &mut StoredJob| job.request.text = "x".repeat(5_000))]
#[case::need(|job: &mut StoredJob| job.request.steps[0].need.accelerators = -8)]
fn stored_job_that_no_node_accepts_is_read(#[case] change: fn(&mut StoredJob)) {
    let mut odd = job(1, 1, vec![step(1, 1)]);
    assert_eq!(
        serde_json::from_str::<StoredJob>(&serde_json::to_string(&odd).unwrap()).unwrap(),
        odd
    );
    change(&mut odd);
    let text = serde_json::to_string(&odd).unwrap();
    assert!(serde_json::from_str::<StoredJob>(&text).is_err());
}
