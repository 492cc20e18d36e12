//! Decides whether a run that stands still goes on where it is or moves to another worker.
//!
//! Load: the runs on some workers stand still for seconds while the workers answer as usual, and a gang waits for its
//! slowest member. How long that lasts is unknown. So a run waits as long as a move would lose, with a margin, and then
//! moves: at worst that costs little more than twice what the better choice would have cost.
//!
//! In: the reported shares of the runs of a worker, on the worker's clock. Out: a [`Sight`] for each run, a [`Finding`] on
//! the worker, and a [`Decision`] for each run or gang.

use crate::task::JobId;

/// A run that has not grown for this long may stand still. Workers answer every 2 s at least, so that this takes one
/// answer without growth.
const MIN_STOOD_MS: u64 = 1_500;

/// A run stands still if this many hundredths of its work should have been done meanwhile, at its rate so far. Workers that
/// the platform slows down take up to 8 times as long, and the share is rounded down.
const MISSED_PERCENT: u64 = 10;

/// What a run needs to go on from its saved progress, at most: the pages name 0.1 and 0.6 s.
const RESTORE_MS: u64 = 600;

/// Time between two savings of progress, as the pages name it. It is lost if the stop cannot save.
const SAVING_INTERVAL_MS: u64 = 1_000;

/// The time for which a run stood still, against what a move loses, in hundredths. What lies above 100 covers the errors
/// in both, of which the time between answers is the largest.
const MARGIN_PERCENT: u64 = 125;

/// How often the runs of a group are moved because they stand still.
const MAX_MOVES: u32 = 1;

/// A task with a higher run number is not moved: it has moved, failed or been preempted often enough. The number outlives
/// the planner.
const MAX_RUN: u32 = 8;

/// How long a group avoids a worker on which a run of it stood still: as long as the shortest disruption of workers that
/// the platform lists.
pub(crate) const SHUN_MS: u64 = 6_000;

/// The reported share of a run, in hundredths, and when it was reported, on the worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Point {
    percent: u32,
    clock_ms: u64,
}

/// How the reported share of a run has grown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Growth {
    first: Option<Point>,
    /// The report with which the share last grew.
    last: Option<Point>,
    reported_ms: u64,
}

/// What the growth of a run shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sight {
    /// It has grown up to its newest report.
    Works,
    /// Nothing: it has done its part, or has not grown for a time that its rate explains.
    Unsure,
    /// Nothing but that it has not grown since its first report; how fast it should is unknown.
    NeverGrew { reported_ms: u64 },
    /// It has not grown for longer than its rate explains.
    StandsStill { stood_ms: u64 },
}

impl Growth {
    /// Takes in a reported share.
    pub fn record(&mut self, percent: u32, clock_ms: u64) {
        let point = Point { percent, clock_ms };
        let last = *self.last.get_or_insert(point);
        self.first.get_or_insert(point);
        if percent > last.percent {
            self.last = Some(point);
        }
        self.reported_ms = self.reported_ms.max(clock_ms);
    }

    /// Returns what the reports show.
    pub fn sight(&self) -> Sight {
        let (Some(first), Some(last)) = (self.first, self.last) else {
            return Sight::Unsure;
        };
        let stood_ms = self.reported_ms.saturating_sub(last.clock_ms);
        let grown = u64::from(last.percent.saturating_sub(first.percent));
        if last.percent >= 100 {
            return Sight::Unsure;
        }
        if grown > 0 && stood_ms == 0 {
            return Sight::Works;
        }
        if stood_ms < MIN_STOOD_MS {
            return Sight::Unsure;
        }
        if grown == 0 {
            return Sight::NeverGrew {
                reported_ms: stood_ms,
            };
        }
        let took_ms = last.clock_ms.saturating_sub(first.clock_ms);
        match stood_ms * grown >= MISSED_PERCENT * took_ms {
            true => Sight::StandsStill { stood_ms },
            false => Sight::Unsure,
        }
    }
}

/// A run of a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SeenRun {
    pub job: JobId,
    pub sight: Sight,
    /// Whether a run of the same step works on another worker.
    pub works_elsewhere: bool,
}

/// What the runs of a worker show about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Finding {
    /// Nothing stands still there.
    Sound,
    /// One run stands still, or some beside others that work, or some of one job, which may be at fault itself.
    StragglingRuns,
    /// Several runs stand still, and none works; they are of several jobs, or their siblings work elsewhere.
    StandsStill,
}

/// Returns what the runs of a worker show about it.
pub(crate) fn judge_worker(runs: &[SeenRun]) -> Finding {
    let still: Vec<&SeenRun> = runs
        .iter()
        .filter(|run| matches!(run.sight, Sight::StandsStill { .. }))
        .collect();
    let Some(first) = still.first() else {
        return Finding::Sound;
    };
    let is_not_the_jobs = still
        .iter()
        .any(|run| run.job != first.job || run.works_elsewhere);
    let works = runs.iter().any(|run| run.sight == Sight::Works);
    match still.len() > 1 && is_not_the_jobs && !works {
        true => Finding::StandsStill,
        false => Finding::StragglingRuns,
    }
}

/// A run that stands still, or a gang with such a member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StillRun {
    /// How long it has stood still.
    pub stood_ms: u64,
    /// How long it has worked, without that. What the other members of its gang did meanwhile does not count: they wait for
    /// it here, and end with it elsewhere.
    pub worked_ms: u64,
    pub saves_progress: bool,
    /// How long a stop takes at most, with its delivery.
    pub stop_ms: u64,
    /// How often the group was moved.
    pub moves: u32,
    /// The highest run number of its tasks.
    pub run: u32,
}

/// What becomes of a run that stands still.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    /// It goes on: it was moved before, or has been started often.
    MovedBefore,
    /// It goes on: a move would lose more than it has lost by standing still.
    LosesMore { move_ms: u64 },
    /// It goes on: there is no room elsewhere now.
    NoRoom,
    /// It is stopped and runs again elsewhere.
    Move { move_ms: u64 },
}

/// Decides what becomes of a run that stands still. `has_room` tells whether it fits elsewhere now.
pub(crate) fn decide(run: StillRun, has_room: impl FnOnce() -> bool) -> Decision {
    if run.moves >= MAX_MOVES || run.run > MAX_RUN {
        return Decision::MovedBefore;
    }
    let redone_ms = match run.saves_progress {
        true => run.worked_ms.min(SAVING_INTERVAL_MS) + RESTORE_MS,
        false => run.worked_ms,
    };
    let move_ms = run.stop_ms + redone_ms;
    if run.stood_ms * 100 < move_ms.saturating_mul(MARGIN_PERCENT) {
        return Decision::LosesMore { move_ms };
    }
    match has_room() {
        true => Decision::Move { move_ms },
        false => Decision::NoRoom,
    }
}
