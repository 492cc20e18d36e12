//! Plays one seed: starts a site, sends jobs, carries out faults, and checks what was seen.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use platform_standin::{AdvicePolicy, steady_ms};
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::callers::{Callers, Operator};
use crate::check::{Broken, Observed};
use crate::faults::carry_out;
use crate::plan::{FaultKind, Plan};
use crate::site::{Programs, Site, lock};
use crate::story::tell;

/// Time from the end of the faults until an accepted job that can be done must have ended: contact counts again (4 s),
/// the longest lease ends (10 s), and jobs are asked for (14 s), besides the work of the longest job (27 s).
const FINISH_MS: u64 = 4_000 + 10_000 + 14_000 + 27_000;

/// Time between two looks at the processes.
const LOOK: Duration = Duration::from_millis(200);

/// Why a play could not run.
#[derive(Debug, Error)]
pub enum PlayError {
    /// A process, a link or a file.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// An HTTP client.
    #[error(transparent)]
    Http(#[from] reqwest::Error),
    /// The site was not ready in time.
    #[error("not within 30 s: {what}")]
    NotReady {
        /// What was awaited.
        what: &'static str,
    },
}

/// How seeds are played.
#[derive(Debug, Clone)]
pub struct PlayOptions {
    /// The programs.
    pub programs: Programs,
    /// Workers of the site.
    pub workers: usize,
    /// Time in which faults begin.
    pub faults_ms: u64,
    /// Mean time between two faults.
    pub mean_gap_ms: u64,
    /// The kinds that are drawn from.
    pub kinds: Vec<FaultKind>,
    /// Where the stories of failures are written.
    pub stories: PathBuf,
    /// Whether the folder of a play, with logs and notes, stays.
    pub keep: bool,
}

/// What came of a seed.
#[derive(Debug)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Jobs that were handed in, and starts that workers noted.
    pub jobs: usize,
    /// Starts that workers noted.
    pub starts: usize,
    /// Faults that were carried out.
    pub faults: usize,
    /// Promises that were broken.
    pub broken: Vec<Broken>,
    /// The file with the stories, if a promise was broken.
    pub story: Option<PathBuf>,
}

/// The folder of a play, which goes with it unless it is to stay.
#[derive(Debug)]
struct Scratch {
    folder: PathBuf,
    keep: bool,
}

impl Scratch {
    fn new(seed: u64, keep: bool) -> Scratch {
        static PLAYS: AtomicU32 = AtomicU32::new(0);
        let play = PLAYS.fetch_add(1, Ordering::SeqCst);
        let name = format!("hemlock-soak-{}-{play}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        Scratch { folder, keep }
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if !self.keep {
            // A play that could not start may have no folder.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the jobs of the queue with a policy, with that policy.
fn advised_jobs(plan: &Plan) -> BTreeMap<String, AdvicePolicy> {
    let advised = plan.jobs.iter().filter(|job| job.is_advised);
    advised
        .filter_map(|job| Some((job.id.clone(), plan.policy.clone()?)))
        .collect()
}

/// Plays a seed. All processes that it started have ended when it returns or is dropped.
pub async fn play(seed: u64, options: &PlayOptions) -> Result<Outcome, PlayError> {
    let scratch = Scratch::new(seed, options.keep);
    play_in(&scratch.folder, seed, options).await
}

async fn play_in(folder: &Path, seed: u64, options: &PlayOptions) -> Result<Outcome, PlayError> {
    let plan = Plan::draw(seed, &options.kinds, options.faults_ms, options.mean_gap_ms);
    let site = Site::start(
        &options.programs,
        folder,
        options.workers,
        plan.policy.clone(),
    )
    .await?;
    let callers = Arc::new(Callers::new()?);
    let operator = Arc::new(Operator::default());
    let (over, watched) = watch::channel(false);
    let start_ms = steady_ms();
    let mut jobs = JoinSet::new();
    for job in plan.jobs.clone() {
        let (callers, site, over) = (callers.clone(), site.clone(), watched.clone());
        jobs.spawn(async move {
            sleep(Duration::from_millis(job.at_ms)).await;
            callers.see_through(site, job, over).await;
        });
    }
    let mut faults = JoinSet::new();
    for fault in plan.faults.clone() {
        let (site, operator) = (site.clone(), operator.clone());
        faults.spawn(async move {
            sleep(Duration::from_millis(fault.at_ms)).await;
            carry_out(site, operator, fault).await;
        });
    }
    let mut watches = JoinSet::new();
    watches.spawn(
        callers
            .clone()
            .watch_configuration(site.clone(), operator.clone(), watched),
    );
    let look_after = site.clone();
    watches.spawn(async move {
        while look_after.look_after_processes().await.is_ok() {
            sleep(LOOK).await;
        }
    });
    while faults.join_next().await.is_some() {}
    site.note("the faults are over".to_string());
    let finish = async { while jobs.join_next().await.is_some() {} };
    if tokio::time::timeout(Duration::from_millis(FINISH_MS), finish)
        .await
        .is_err()
    {
        over.send_replace(true);
        while jobs.join_next().await.is_some() {}
    }
    over.send_replace(true);
    watches.shutdown().await;
    let observed = Observed {
        notes: site.notes(),
        calls: callers.calls(),
        steps: (plan.jobs.iter())
            .map(|job| (job.id.clone(), job.steps.clone()))
            .collect(),
        claims: (plan.jobs.iter())
            .filter_map(|job| Some((job.id.clone(), job.claim?)))
            .collect(),
        advised: advised_jobs(&plan),
        confirmed: operator.confirmed(),
        incidents: lock(&site.incidents).clone(),
        own_ends: lock(&site.own_ends).clone(),
        end_ms: steady_ms(),
    };
    let broken = observed.check();
    let story = match broken.is_empty() {
        true => None,
        false => Some(tell(&site, &plan, &observed, &broken, start_ms, options)?),
    };
    Ok(Outcome {
        seed,
        jobs: plan.jobs.len(),
        starts: observed.starts(),
        faults: observed.incidents.len(),
        broken,
        story,
    })
}
