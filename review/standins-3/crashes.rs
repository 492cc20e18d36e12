//! The worker of a sound work unit crashes, one time after the other.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::site::{Event, KEY, LOOK, Record, Site};

/// Workers; one of them is the share of workers that the pages let crash at once.
const WORKERS: usize = 8;

/// How often the worker crashes that has the work unit at that time.
const CRASHES: u32 = 5;

/// How long a crashed worker is away.
const AWAY: Duration = Duration::from_millis(2_000);

/// How long a run works before its worker crashes.
const WORKED: Duration = Duration::from_millis(4_000);

pub fn play(record: Record, root: &Path, trouble: bool) -> Verdict {
    let mut site = Site::start(record, root, WORKERS, 3, None)?;
    let job = "536f756e64206a6f";
    let path = format!("/usual/{job}");
    let body = "{\"spec\":\"run_ms=8000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1000,\"gpu\":1,\"estimate_ms\":8000}]}";
    if site.ask_recorded(0, "POST", &path, KEY, body).0 != 200 {
        return Err("the job was not accepted".to_string());
    }
    let crashes = if trouble { CRASHES } else { 0 };
    let mut earlier = 0;
    for number in 1..=crashes {
        let Some(run) = wait_for_run(&site, job, earlier) else {
            site.record_decisions(job);
            return Err(format!("no run after crash {}", number - 1));
        };
        earlier = run.run;
        site.record.add(&format!("worker: {run:?}"));
        sleep(WORKED);
        let worker: usize = run
            .worker
            .trim_start_matches("i-")
            .parse()
            .map_err(|_| "a worker's id")?;
        site.kill_worker(worker);
        site.record
            .add(&format!("worker {} crashes, crash {number}", run.worker));
        sleep(AWAY);
        site.start_worker(worker)?;
        site.record.add(&format!("worker {} is back", run.worker));
    }
    let mut state = String::new();
    let began_ms = site.record.now_ms();
    while site.record.now_ms() < began_ms + 30_000 {
        state = site.ask(2, "GET", &path, KEY, "").1;
        if ["completed", "failed", "cancelled"]
            .iter()
            .any(|end| state.contains(end))
        {
            break;
        }
        sleep(Duration::from_millis(200));
    }
    site.ask_recorded(1, "GET", &path, KEY, "");
    let events = site.events(job);
    for event in &events {
        site.record.add(&format!("worker: {event:?}"));
    }
    let failed_runs = events
        .iter()
        .filter(|event| event.how.as_deref() == Some("failed"))
        .count();
    site.record_decisions(job);
    Ok(match state.contains("failed") && failed_runs == 0 {
        true => (
            false,
            format!("the job is shown as failed, and {failed_runs} runs ended so; {state}"),
        ),
        false => (true, format!("{failed_runs} runs ended failed; {state}")),
    })
}

/// Waits for a run of the job after the given one.
fn wait_for_run(site: &Site, job: &str, earlier: u64) -> Option<Event> {
    let began_ms = site.record.now_ms();
    while site.record.now_ms() < began_ms + 14_000 {
        let starts = site
            .events(job)
            .into_iter()
            .filter(|event| event.how.is_none());
        if let Some(run) = starts.into_iter().find(|event| event.run > earlier) {
            return Some(run);
        }
        sleep(LOOK);
    }
    None
}
