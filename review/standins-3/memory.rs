//! Jobs of the site's own size wait for room; the platform ends a process that exceeds the memory of its machine.

use std::path::Path;
use std::thread::{scope, sleep};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::site::{KEY, OTHER_KEY, Record, Site};

const NODES: usize = 3;

/// Jobs that are handed in: an eighth of those of a day.
const JOBS: u64 = 1_800;

/// Work units of a step, occurrences, and the time between two, of the largest job of a kind of the site.
const UNITS: u64 = 94;
const TIMES: u64 = 4;
const INTERVAL_MS: u64 = 4_500;

/// Memory of the smallest machine of the site, in megabytes.
const MEMORY_MB: u64 = 160;

/// How often a machine may lose its process.
const MOST_ENDS: u32 = 2;

/// How long the nodes are watched.
const WATCHED_MS: u64 = 40_000;

/// Without the disruption a tenth of the jobs is handed in.
pub fn play(record: Record, root: &Path, trouble: bool) -> Verdict {
    let mut site = Site::start(record, root, 8, NODES, None)?;
    let jobs = if trouble { JOBS } else { JOBS / 10 };
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let body = format!(
        "{{\"spec\":\"run_ms=8100\",\"times\":{TIMES},\"start_at_ms\":{},\"interval_ms\":{INTERVAL_MS},\"steps\":[{{\"count\":{UNITS},\
         \"cpu\":5600,\"mem_mb\":11000,\"gpu\":1,\"estimate_ms\":8100}}]}}",
        unix.as_millis()
    );
    site.record
        .add(&format!("caller: {jobs} times POST {body}"));
    let accepted: usize = scope(|scope| {
        let callers: Vec<_> = (0..NODES)
            .map(|node| {
                let (site, body) = (&site, &body);
                scope.spawn(move || {
                    let own = (0..jobs).filter(|job| job % NODES as u64 == node as u64);
                    own.filter(|job| {
                        let path = format!("/later/4d656d00{job:08x}");
                        site.ask(node, "POST", &path, OTHER_KEY, body).0 == 200
                    })
                    .count()
                })
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap_or(0))
            .sum()
    });
    site.record
        .add(&format!("{accepted} of {jobs} jobs are accepted with 200"));
    let mut ends = [0_u32; NODES];
    let mut most_mb = [0_u64; NODES];
    let began_ms = site.record.now_ms();
    while site.record.now_ms() < began_ms + WATCHED_MS {
        for node in 0..NODES {
            let Some(used_mb) = site.resident_mb(node) else {
                return Err(format!("the memory of node {} cannot be read", node + 1));
            };
            most_mb[node] = most_mb[node].max(used_mb);
            if used_mb > MEMORY_MB {
                ends[node] += 1;
                site.record.add(&format!(
                    "platform: node {} has {used_mb} MB of {MEMORY_MB} and is killed, time {}",
                    node + 1,
                    ends[node]
                ));
                site.kill_node(node);
                sleep(Duration::from_millis(300));
                site.restart_node(node)?;
            }
        }
        sleep(Duration::from_millis(100));
    }
    let state = site.ask_recorded(0, "GET", "/later/", KEY, "");
    let over = ends.iter().filter(|ends| **ends > MOST_ENDS).count();
    let why = format!(
        "processes ended {ends:?} times for their memory, they had up to {most_mb:?} MB; waiting: {} {}",
        state.0, state.1
    );
    // A tenth of the machines, two at least.
    Ok((over < 2, why))
}
