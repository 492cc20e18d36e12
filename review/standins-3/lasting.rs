//! The worker of work that lasts is lost for good soon after a start.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::site::{KEY, Record, Site};

/// Six seconds after the last run, and three with nothing running.
const ALLOWED_MS: u64 = 9_000;

/// How long after the start the worker is lost.
const WORKED: Duration = Duration::from_millis(700);

/// Without the disruption the worker stays.
pub fn play(record: Record, root: &Path, trouble: bool) -> Verdict {
    let mut site = Site::start(record, root, 8, 3, None)?;
    let job = "4c61737400000001";
    let body = "{\"spec\":\"run_ms=600000\",\"long_running\":true,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1000,\"gpu\":1}]}";
    if site
        .ask_recorded(0, "POST", &format!("/usual/{job}"), KEY, body)
        .0
        != 200
    {
        return Err("the job was not accepted".to_string());
    }
    let mut first = None;
    for _ in 0..500 {
        first = site.running(job).pop();
        if first.is_some() {
            break;
        }
        sleep(Duration::from_millis(10));
    }
    let Some(first) = first else {
        return Err("the job does not start".to_string());
    };
    sleep(WORKED);
    if !trouble {
        return Ok((true, "the worker stays".to_string()));
    }
    let worker: usize = first
        .worker
        .trim_start_matches("i-")
        .parse()
        .map_err(|_| "a worker's id")?;
    site.kill_worker(worker);
    let lost_ms = site.record.now_ms();
    site.record
        .add(&format!("worker {} is lost for good", first.worker));
    while site.record.now_ms() < lost_ms + 30_000 {
        if site
            .events(job)
            .iter()
            .any(|event| event.how.is_none() && event.run > first.run)
        {
            break;
        }
        sleep(Duration::from_millis(20));
    }
    let gap_ms = site.record.now_ms() - lost_ms;
    site.record_decisions(job);
    Ok((
        gap_ms <= ALLOWED_MS,
        format!("nothing of it ran for {gap_ms} ms, {ALLOWED_MS} are allowed"),
    ))
}
