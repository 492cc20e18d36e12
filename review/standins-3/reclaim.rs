//! Cases about guaranteed capacity: another organisation holds all accelerators when the organisation with a guarantee
//! hands in urgent work that the guarantee covers.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::site::{GUARANTEED, KEY, OTHER_KEY, Record, Site, WORKER_ACCELERATORS};

const WORKERS: usize = 8;

/// The bound of the users' pages for a small deployment.
const RECLAIM_MS: u64 = 2_900;

/// How long the job is watched after its confirmation.
const WATCHED_MS: u64 = 20_000;

/// What holds the accelerators.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// Work of priority 0 of an organisation without a guarantee.
    Urgent,
    /// Work of priority 2 that lasts, of which half may be unavailable.
    MayMiss,
}

/// Without the disruption the same work is handed in to a queue of priority 2, or without `may_miss`.
pub fn play(record: Record, root: &Path, holder: Holder, trouble: bool) -> Verdict {
    let site = Site::start(record, root, WORKERS, 3, None)?;
    let all = WORKERS as u64 * WORKER_ACCELERATORS;
    let (prefix, may_miss) = match (holder, trouble) {
        (Holder::Urgent, true) => ("/urgent/", String::new()),
        (Holder::MayMiss, true) => ("/later/", format!(",\"may_miss\":{}", all / 2)),
        (_, false) => ("/later/", String::new()),
    };
    let large = "4c6f6e6720776f72";
    let body = format!(
        "{{\"spec\":\"run_ms=600000\",\"long_running\":true,\"steps\":[{{\"count\":{all},\"cpu\":1000,\"mem_mb\":1000,\"gpu\":1,\
         \"estimate_ms\":60000{may_miss}}}]}}"
    );
    let path = format!("{prefix}{large}");
    if site.ask_recorded(0, "POST", &path, OTHER_KEY, &body).0 != 200 {
        return Err("the large job was not accepted".to_string());
    }
    for _ in 0..100 {
        if site.running(large).len() as u64 == all {
            break;
        }
        sleep(Duration::from_millis(100));
    }
    let held = site.running(large).len() as u64;
    site.record.add(&format!(
        "the large job runs on {held} of {all} accelerators"
    ));
    if held < all {
        return Err("the large job does not hold all accelerators".to_string());
    }
    sleep(Duration::from_millis(2_000));

    let urgent = "55726765006e7401";
    let body = format!(
        "{{\"spec\":\"run_ms=2000\",\"steps\":[{{\"count\":{GUARANTEED},\"cpu\":1000,\"mem_mb\":1000,\"gpu\":1,\"estimate_ms\":2000}}]}}"
    );
    let path = format!("/urgent/{urgent}");
    if site.ask_recorded(1, "POST", &path, KEY, &body).0 != 200 {
        return Err("the urgent job was not accepted".to_string());
    }
    let confirmed_ms = site.record.now_ms();
    let mut begun_ms = None;
    while site.record.now_ms() < confirmed_ms + WATCHED_MS {
        let begun = site
            .events(urgent)
            .iter()
            .filter(|event| event.how.is_none())
            .count();
        if begun as u64 >= GUARANTEED {
            begun_ms = Some(site.record.now_ms() - confirmed_ms);
            break;
        }
        sleep(Duration::from_millis(50));
    }
    for event in site.events(urgent) {
        site.record.add(&format!("worker: {event:?}"));
    }
    let state = site.ask_recorded(2, "GET", &path, KEY, "").1;
    site.record.add(&format!(
        "the large job runs on {} accelerators",
        site.running(large).len()
    ));
    site.record_decisions(urgent);
    Ok(match begun_ms {
        Some(ms) if ms <= RECLAIM_MS => (
            true,
            format!("all {GUARANTEED} work units had begun after {ms} ms"),
        ),
        Some(ms) => (
            false,
            format!("the work units had begun only after {ms} ms, {RECLAIM_MS} are allowed"),
        ),
        None => (
            false,
            format!(
                "the work units had not begun {WATCHED_MS} ms after the confirmation, {RECLAIM_MS} are allowed; {state}"
            ),
        ),
    })
}
