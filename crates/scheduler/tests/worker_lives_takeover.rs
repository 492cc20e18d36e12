//! A planner that takes over asks the workers of its predecessor where they were, whatever the list says of them.
//!
//! Guards against a task that runs twice because the list names its worker as another incarnation, at another address,
//! under another id, or not at all.

mod support;

use rstest::rstest;
use scheduler::prelude::*;
use support::live_site::LiveSite;
use support::{job, limits, starts, step};

/// Long enough that every lease that is not renewed has ended.
const LONGER_THAN_LEASE_MS: u64 = 20_000;

/// Time in which the planner starts a task elsewhere once it may.
const PROMPT_MS: u64 = 1_500;

fn task_job(number: u64) -> StoredJob {
    job(number, 1, vec![step(1, 1)])
}

/// How the list of workers names the worker that a predecessor used.
#[derive(Debug, Clone, Copy)]
enum Listed {
    Truly,
    Born(u64),
    AnotherAddress,
    AnotherId,
    Nowhere,
}

/// Creates a site on which a planner has just taken over a task; returns its worker, too. `change` changes the worker
/// before the planner has called it.
fn take_over(
    job: &StoredJob,
    listed: Listed,
    change: impl FnOnce(&mut LiveSite, usize),
) -> (LiveSite, usize) {
    let mut site = LiveSite::new(2);
    let home = site.run_job(job.clone());
    let entry = &mut site.entries[home];
    match listed {
        Listed::Truly => {}
        Listed::Born(born_unix_ms) => entry.born_unix_ms = born_unix_ms,
        Listed::AnotherAddress => entry.address = "10.9.9.9:80".to_string(),
        Listed::AnotherId => {
            entry.id = "i-9".to_string();
            entry.born_unix_ms = 5_000;
        }
        Listed::Nowhere => {
            site.entries.remove(home);
        }
    }
    change(&mut site, home);
    site.take_over();
    for key in site.keys_of(1 - home) {
        site.renew(key);
    }
    let (id, address) = (&site.workers[home].id, &site.workers[home].address);
    assert!(
        site.asked_places().contains(&(id.clone(), address.clone())),
        "it is asked where it was: {:?}",
        site.asked_places()
    );
    (site, home)
}

#[rstest]
fn take_over_task_that_goes_on(
    #[values(
        Listed::Truly,
        Listed::Born(0),
        Listed::Born(2_000),
        Listed::Born(u64::MAX),
        Listed::AnotherAddress,
        Listed::AnotherId,
        Listed::Nowhere
    )]
    listed: Listed,
) {
    let job = task_job(1);
    let (mut site, home) = take_over(&job, listed, |_, _| {});
    site.play(2 * LONGER_THAN_LEASE_MS);
    site.assert_runs_on(job.id, home);
}

#[rstest]
fn take_over_task_of_worker_out_of_contact(
    #[values(
        Listed::Truly,
        Listed::Born(0),
        Listed::Born(2_000),
        Listed::Born(u64::MAX),
        Listed::AnotherAddress,
        Listed::AnotherId,
        Listed::Nowhere
    )]
    listed: Listed,
    #[values(true, false)] leaving: bool,
) {
    let job = task_job(1);
    let (mut site, home) = take_over(&job, listed, |site, home| {
        if leaving {
            let named = std::mem::take(&mut site.entries);
            site.entries = (0..2).map(support::entry).collect();
            site.entries[home].leaving = true;
            site.play(1_000);
            site.entries = named;
        }
        site.workers[home].reachable = false;
    });
    // The predecessor renewed the lease of a leaving worker only under a valid lead.
    let predecessor_renewal_ms = match leaving {
        true => 0,
        false => limits().predecessor_renewal_ms,
    };
    let inherited_ms = predecessor_renewal_ms + limits().lease_ms * 100 / 98;
    let latest_ms = site.harness.now_ms + inherited_ms;
    while site.harness.now_ms < latest_ms {
        assert_eq!(site.runs_started(job.id), vec![1]);
        site.tick();
    }
    site.play(PROMPT_MS);
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
    assert_eq!(site.find_runs(job.id), vec![1 - home]);
}

#[rstest]
fn take_over_task_of_worker_that_answers_without_it(
    #[values(
        Listed::Truly,
        Listed::Born(0),
        Listed::Born(2_000),
        Listed::Born(u64::MAX),
        Listed::AnotherAddress,
        Listed::AnotherId,
        Listed::Nowhere
    )]
    listed: Listed,
) {
    let job = task_job(1);
    let (mut site, _) = take_over(&job, listed, |site, home| {
        site.workers[home].restart(site.harness.now_ms);
    });
    assert_eq!(starts(&site.plan()), vec![], "it has not answered yet");
    site.play(PROMPT_MS);
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
    site.play(LONGER_THAN_LEASE_MS);
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
}

#[test]
fn take_over_task_of_worker_replaced_at_its_address() {
    let job = task_job(1);
    let (mut site, _) = take_over(&job, Listed::AnotherId, |site, home| {
        let address = site.workers[home].address.clone();
        site.workers[home].up = false;
        let next = site.add_worker_at(9, &address);
        site.workers[next].born_unix_ms = 5_000;
    });
    assert_eq!(starts(&site.plan()), vec![], "nobody has answered yet");
    site.play(PROMPT_MS);
    assert_eq!(site.runs_started(job.id), vec![1, 2]);
    assert_eq!(site.find_runs(job.id).len(), 1);
}
