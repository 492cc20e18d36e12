//! The store falls silent as a submission arrives. Its caller gets no usable answer and cancels the job once the store is
//! back; then the store carries the submission out.

use std::path::Path;
use std::thread::{self, sleep};
use std::time::Duration;

use crate::Verdict;
use crate::site::{KEY, Record, Site};

/// Bounds of the users' pages for a small deployment.
const CANCEL_MS: u64 = 3_000;
const CONTACT_MS: u64 = 4_000;

/// How much later the store carries out what arrived as it fell silent; the pages' `late` is 1 to 6 s.
const LATE_MS: u64 = 6_000;

/// How long the store takes changes in before it does nothing at all any more.
const FALLING_SILENT: Duration = Duration::from_millis(80);

/// How long workers are watched after the cancel.
const WATCHED_MS: u64 = 16_000;

/// By how much an event may have been seen too late.
const SEEN_LATE_MS: u64 = 100;

pub fn play(record: Record, root: &Path, trouble: bool) -> Verdict {
    let site = Site::start(record, root, 8, 3, None)?;
    let job = "4c61746520777269";
    let path = format!("/usual/{job}");
    let step = "\"count\":2,\"cpu\":1000,\"mem_mb\":1000,\"gpu\":1,\"estimate_ms\":3000";
    let body = format!(
        "{{\"spec\":\"run_ms=3000\",\"steps\":[{{{step}}},{{{step},\"after\":[0]}},{{{step},\"after\":[1]}}]}}"
    );
    let submitted_ms = site.record.now_ms();
    if trouble {
        // From now on no change is answered; those that arrive in a moment are carried out later.
        site.set_store_fault("late_changes", LATE_MS);
    }
    let submitted = thread::scope(|scope| {
        let submission = scope.spawn(|| site.ask_recorded(0, "POST", &path, KEY, &body));
        if trouble {
            sleep(FALLING_SILENT);
            site.set_store_fault("unresponsive", 0);
        }
        submission.join().unwrap_or_default()
    });
    if trouble {
        site.set_store_fault("none", 0);
    }
    // The store is undisturbed once it has carried out what arrived as it fell silent.
    let disturbed_until_ms = site.record.now_ms().max(submitted_ms + LATE_MS);
    if trouble && !matches!(submitted.0, 0 | 502 | 504) {
        return Err("the submission got an answer that says what became of it".to_string());
    }
    let mut cancelled_ms = None;
    for _ in 0..20 {
        let answer = site.ask_recorded(1, "DELETE", &path, KEY, "");
        if matches!(answer.0, 200..=299 | 410) {
            cancelled_ms = Some(site.record.now_ms());
            break;
        }
        sleep(Duration::from_millis(200));
    }
    let Some(cancelled_ms) = cancelled_ms else {
        return Err("the cancel was not acknowledged".to_string());
    };
    // Starts that are too late for the rule, by machines that have been in touch for long enough.
    let from_ms = (cancelled_ms + CANCEL_MS).max(disturbed_until_ms + CONTACT_MS) + SEEN_LATE_MS;
    let (mut seen, mut too_late) = (0, 0);
    while site.record.now_ms() < cancelled_ms + WATCHED_MS {
        let events = site.events(job);
        let now_ms = site.record.now_ms();
        for event in &events[seen..] {
            site.record.add(&format!(
                "worker: {event:?}, {} ms after the cancel was acknowledged",
                now_ms - cancelled_ms
            ));
            too_late += u32::from(event.how.is_none() && now_ms > from_ms);
        }
        seen = events.len();
        sleep(Duration::from_millis(20));
    }
    let state = site.ask_recorded(2, "GET", &path, KEY, "");
    site.record_decisions(job);
    Ok(match too_late {
        0 => (
            true,
            format!(
                "no work unit started over {CANCEL_MS} ms after the cancel by a machine in touch; {}",
                state.1
            ),
        ),
        _ => (
            false,
            format!(
                "{too_late} work units started over {CANCEL_MS} ms after the cancel was acknowledged, {CONTACT_MS} ms after all disturbance; {}",
                state.1
            ),
        ),
    })
}
