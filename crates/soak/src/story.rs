//! Writes down what happened around broken promises: the faults, what workers noted of the task or job, and the lines of
//! all nodes' logs that name the job or its workers.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::PathBuf;

use platform_standin::Note;

use crate::check::{Broken, Observed};
use crate::plan::Plan;
use crate::play::PlayOptions;
use crate::site::Site;

/// Lines of logs about workers count from this time before the first run on.
const BEFORE_MS: u64 = 8_000;

/// Lines of logs about workers count until this time after the last run.
const AFTER_MS: u64 = 3_000;

/// Most subjects that are told of one play.
const TOLD: usize = 3;

/// Writes the stories of a play; returns the file.
pub(crate) fn tell(
    site: &Site,
    plan: &Plan,
    observed: &Observed,
    broken: &[Broken],
    start_ms: u64,
    options: &PlayOptions,
) -> std::io::Result<PathBuf> {
    let mut text = format!("seed {}, {} workers\n", plan.seed, options.workers);
    for one in broken {
        let _ = writeln!(text, "{}: {} {}", one.promise, one.subject, one.detail);
    }
    text += "\nfault plan, milliseconds from the start of the traffic\n";
    for fault in &plan.faults {
        let (at_ms, for_ms) = (fault.at_ms, fault.for_ms);
        let _ = writeln!(text, "{at_ms:>7} {} for {for_ms} ms", fault.kind);
    }
    let logs = site.logs();
    let jobs: BTreeSet<&str> = broken
        .iter()
        .filter_map(|one| one.subject.split('.').next())
        .collect();
    for job in jobs.into_iter().take(TOLD) {
        let title = if job.is_empty() {
            "the whole play"
        } else {
            job
        };
        let _ = writeln!(text, "\nstory of {title}");
        for (at_ms, line) in collect_lines(site, observed, &logs, job) {
            let _ = writeln!(text, "{:>7} {line}", at_ms as i64 - start_ms as i64);
        }
    }
    std::fs::create_dir_all(&options.stories)?;
    let path = options.stories.join(format!("seed-{}.txt", plan.seed));
    std::fs::write(&path, text)?;
    Ok(path)
}

fn collect_lines(
    site: &Site,
    observed: &Observed,
    logs: &[(u64, String)],
    job: &str,
) -> Vec<(u64, String)> {
    let mut lines: Vec<(u64, String)> = site.journal();
    let named = |note: &&Note| !job.is_empty() && format!("{:?}", note.event).contains(job);
    let own: Vec<&Note> = observed.notes.iter().filter(named).collect();
    let workers: BTreeSet<&str> = own.iter().map(|note| note.worker.as_str()).collect();
    let from_ms = own
        .first()
        .map_or(0, |note| note.at_ms.saturating_sub(BEFORE_MS));
    let until_ms = own.last().map_or(u64::MAX, |note| note.at_ms + AFTER_MS);
    let near = |at_ms: u64| (from_ms..=until_ms).contains(&at_ms);
    for note in &observed.notes {
        let told = match &note.event {
            event if format!("{event:?}").contains("task") => named(&note),
            _ => workers.contains(note.worker.as_str()) && near(note.at_ms),
        };
        if told {
            let (worker, incarnation) = (&note.worker, note.incarnation);
            lines.push((
                note.at_ms,
                format!(
                    "worker {worker} incarnation {incarnation}: {:?}",
                    note.event
                ),
            ));
        }
    }
    for call in observed.calls.iter().filter(|call| call.job == job) {
        let line = format!(
            "caller: {:?} at node {} -> {:?}, after {} ms",
            call.asked,
            call.node + 1,
            call.reply,
            call.answered_ms - call.sent_ms
        );
        lines.push((call.sent_ms, line));
    }
    for (at_ms, line) in logs {
        let about_job = !job.is_empty() && line.contains(job);
        let about_worker = near(*at_ms) && workers.iter().any(|worker| line.contains(worker));
        let about_all = line.contains("\"part\":\"lead\"") || line.contains("panicked");
        if about_job || about_worker || about_all {
            lines.push((*at_ms, line.clone()));
        }
    }
    lines.sort_by_key(|(at_ms, _)| *at_ms);
    lines
}
