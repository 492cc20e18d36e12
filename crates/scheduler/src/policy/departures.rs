//! Decides what becomes of running work whose worker is expected to go: one that has announced that it leaves, or one
//! that does not answer and whose lease will end.
//!
//! A gang is lost whole with the first of its members. So the decision weighs how likely the work ends before that time
//! against what is lost if it does not, and whether it could go on elsewhere.

use std::collections::HashMap;

use super::durations::RunTime;
use crate::group::{GroupKey, TaskKey};

/// Factor by which a caller's estimate may be wrong either way before nothing else is known: nine of ten of the
/// estimates on the users' load sheets are at most that far off.
const ESTIMATE_FACTOR: u64 = 3;

/// What a new run of interrupted work costs beside the work that is done again: a stop, a start and the restoring of the
/// saved progress, by the bounds of the users' pages (400 ms, 250 ms and 600 ms at most).
const RESTART_MS: u64 = 1_250;

/// How likely a worker that does not answer is back before its lease ends, in hundredths. Nothing is known of it, so
/// either is as likely.
const RETURN_PERCENT: u64 = 50;

/// The least time that stopping work early has to save, if it saves no progress: reports are up to 2 s old by the users'
/// pages, so that less cannot be told from none.
const LEAST_GAIN_MS: u64 = 2_000;

/// How long after the announced time a worker may still be there: its entry is up to 0.8 s old when it is read.
const EXIT_SPREAD_MS: u64 = 1_000;

/// How often work at risk is weighed again: the shares of done work that it rests on arrive about this often.
const WEIGH_EVERY_MS: u64 = 200;

/// How long work still takes, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Remaining {
    /// The least that is plausible.
    pub least_ms: u64,
    /// As likely more as less.
    pub expected_ms: u64,
    /// The most that is plausible.
    pub most_ms: u64,
    /// Whether that is known from the rate of the run itself, and not from a caller's estimate.
    pub is_observed: bool,
}

/// How far a run has come since it was first observed, by the shares of done work that its worker reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Done share when the run was first observed, in hundredths.
    pub from_percent: u32,
    /// Done share in the last report, in hundredths.
    pub percent: u32,
    /// Time between the two.
    pub observed_ms: u64,
    /// Time from the start of the run to the last report, as far as it is known.
    pub ran_ms: u64,
    /// Age of the last report.
    pub age_ms: u64,
}

impl Remaining {
    /// Nothing is known of the end; it is not expected.
    pub const UNKNOWN: Remaining = Remaining {
        least_ms: u64::MAX,
        expected_ms: u64::MAX,
        most_ms: u64::MAX,
        is_observed: false,
    };

    /// Returns what is expected of the whole work, which takes no less than it has run already: as its kind is known to
    /// vary or, before that was learned, as far off as a caller's estimate may be.
    pub fn expected(run_time: RunTime, progress: Progress) -> Remaining {
        let left_percent = u64::from(100_u32.saturating_sub(progress.percent));
        let whole_ms = run_time.median_ms.max(progress.ran_ms);
        let left_ms = whole_ms.saturating_mul(left_percent) / 100;
        let (most, usual) = match run_time.observations {
            0 => (ESTIMATE_FACTOR, 1),
            _ => (
                run_time.p90_ms.max(run_time.median_ms).max(1),
                run_time.median_ms.max(1),
            ),
        };
        Remaining {
            least_ms: left_ms.saturating_mul(usual) / most,
            expected_ms: left_ms,
            most_ms: left_ms.saturating_mul(most) / usual,
            is_observed: false,
        }
        .minus(progress.age_ms)
    }

    /// Returns what the observed rate says; none before the share has grown by two hundredths, of which one may be the
    /// rounding of the shares.
    pub fn observed(progress: Progress) -> Option<Remaining> {
        let grown = u64::from(progress.percent.saturating_sub(progress.from_percent));
        let left = u64::from(100_u32.saturating_sub(progress.percent));
        if grown < 2 {
            return None;
        }
        let scale = |left: u64, grown: u64| progress.observed_ms.saturating_mul(left) / grown;
        let remaining = Remaining {
            least_ms: scale(left.saturating_sub(1), grown + 1),
            expected_ms: scale(left, grown),
            most_ms: scale(left, grown - 1),
            is_observed: true,
        };
        Some(remaining.minus(progress.age_ms))
    }

    /// Returns how long the whole work has run by the observed rate; none before that is known.
    pub fn worked_ms(progress: Progress) -> Option<u64> {
        let grown = u64::from(progress.percent.saturating_sub(progress.from_percent));
        let percent = u64::from(progress.percent);
        (grown >= 2).then(|| progress.observed_ms.saturating_mul(percent) / grown)
    }

    /// Returns the longer of two, of work that ends with its last part.
    pub fn max(self, other: Remaining) -> Remaining {
        Remaining {
            least_ms: self.least_ms.max(other.least_ms),
            expected_ms: self.expected_ms.max(other.expected_ms),
            most_ms: self.most_ms.max(other.most_ms),
            is_observed: self.is_observed && other.is_observed,
        }
    }

    fn minus(self, ms: u64) -> Remaining {
        Remaining {
            least_ms: self.least_ms.saturating_sub(ms),
            expected_ms: self.expected_ms.saturating_sub(ms),
            most_ms: self.most_ms.saturating_sub(ms),
            is_observed: self.is_observed,
        }
    }

    /// Returns whether the rate of the run rules out that it ends within a time.
    pub fn is_out_of_reach(self, within_ms: u64) -> bool {
        self.is_observed && self.chance_percent(within_ms) == 0
    }

    /// Returns how likely the work ends within a time, in hundredths.
    pub fn chance_percent(self, within_ms: u64) -> u64 {
        let share = |from: u64, to: u64| match to.saturating_sub(from) {
            0 => 50,
            span => within_ms.saturating_sub(from).min(span).saturating_mul(50) / span,
        };
        if within_ms >= self.most_ms {
            100
        } else if within_ms < self.least_ms {
            0
        } else if within_ms < self.expected_ms {
            share(self.least_ms, self.expected_ms)
        } else {
            50 + share(self.expected_ms, self.most_ms)
        }
    }
}

/// Why a worker is expected to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// It has announced that it leaves.
    Leaves,
    /// It does not answer, and its lease will end.
    Silent,
}

/// Work with a part on a worker that is expected to go: a gang, or a single task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AtRisk {
    pub cause: Cause,
    /// Time until the first of its workers may be gone.
    pub left_ms: u64,
    /// Time that a stop takes, with its delivery.
    pub stop_ms: u64,
    /// Whether it has parts on workers that stay, whose capacity others could use.
    pub holds_others: bool,
    /// Whether nobody would list its end if it ended when its workers go.
    pub is_unheard: bool,
    pub saves_progress: bool,
    /// Time of work that a stop discards if the work saves no progress.
    pub worked_ms: u64,
    pub remaining: Remaining,
}

/// Why work goes on for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Keep {
    /// It ends before its worker may be gone.
    EndsInTime,
    /// Its progress is saved, so that it can be stopped right before.
    StopsLater,
    /// What it has done is worth more than what is lost if it does not end in time.
    MayEnd,
    /// Its worker may be gone so soon that stopping it before saves next to nothing.
    LittleGain,
    /// Nothing would start in its place.
    NothingWaits,
}

/// Why work is stopped now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Stop {
    /// Its workers may be gone once a stop has ended, and nobody would hear of its end.
    LastMoment,
    /// The first of its workers may be gone once a stop has ended, which saves its progress.
    SavesProgress,
    /// The same, and it cannot end in time: a member that is stopped is known to have ended, while one that goes with
    /// its worker keeps the gang from starting again until the lease has ended.
    BeforeExit,
    /// It is not likely to end in time, and there is room for it elsewhere.
    Moves,
    /// It cannot end in time, and other work waits for its capacity.
    CannotEnd,
}

/// What becomes of work at risk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Verdict {
    Keep(Keep),
    Stop(Stop),
}

/// What the deployment offers to work that is stopped.
pub(crate) trait Offer {
    /// Returns whether there is room for it elsewhere now.
    fn has_room(&mut self) -> bool;
    /// Returns whether other work waits for capacity.
    fn others_wait(&mut self) -> bool;
}

impl AtRisk {
    /// Decides what becomes of the work now.
    pub fn weigh(&self, offer: &mut impl Offer) -> Verdict {
        match self.cause {
            Cause::Leaves => self.weigh_leave(offer),
            Cause::Silent => self.weigh_silence(offer),
        }
    }

    /// Returns whether a stop that is ordered now ends when the worker may be gone.
    pub fn is_last_moment(&self) -> bool {
        self.cause == Cause::Leaves && self.left_ms <= self.stop_ms
    }

    fn weigh_leave(&self, offer: &mut impl Offer) -> Verdict {
        if self.is_last_moment() {
            return self.weigh_last_moment();
        }
        let chance = self.remaining.chance_percent(self.left_ms);
        if chance >= 100 {
            return Verdict::Keep(Keep::EndsInTime);
        }
        if self.saves_progress {
            // A single task earns progress until its worker goes, on capacity that nobody else may use.
            return match self.holds_others && chance < 50 && offer.has_room() {
                true => Verdict::Stop(Stop::Moves),
                false => Verdict::Keep(Keep::StopsLater),
            };
        }
        if !self.remaining.is_out_of_reach(self.left_ms) && self.left_ms < LEAST_GAIN_MS {
            return Verdict::Keep(Keep::LittleGain);
        }
        // Reports narrow the range soon; as long as the end is as likely, what was done is not given up for it.
        if chance >= 50 || !self.is_worth_stopping(chance) {
            return Verdict::Keep(Keep::MayEnd);
        }
        if offer.has_room() {
            return Verdict::Stop(Stop::Moves);
        }
        match chance {
            0 if self.holds_others && offer.others_wait() => Verdict::Stop(Stop::CannotEnd),
            0 => Verdict::Keep(Keep::NothingWaits),
            _ => Verdict::Keep(Keep::MayEnd),
        }
    }

    /// Decides when a stop ends as the first of the workers may be gone. Work that saves no progress loses the same if it
    /// goes on, and may end if the worker stays a little longer.
    fn weigh_last_moment(&self) -> Verdict {
        if self.is_unheard {
            return Verdict::Stop(Stop::LastMoment);
        }
        let ends_sooner = self.remaining.expected_ms <= self.left_ms;
        let latest_ms = self.left_ms.saturating_add(EXIT_SPREAD_MS);
        match (self.saves_progress, ends_sooner) {
            (true, false) => Verdict::Stop(Stop::SavesProgress),
            (_, true) => Verdict::Keep(Keep::EndsInTime),
            (false, false) if self.remaining.is_out_of_reach(latest_ms) => {
                Verdict::Stop(Stop::BeforeExit)
            }
            (false, false) => Verdict::Keep(Keep::MayEnd),
        }
    }

    /// Decides about a gang with a member that does not answer. It can't run again before the lease of that member has
    /// ended, so a stop only serves those that wait for the capacity of the others.
    fn weigh_silence(&self, offer: &mut impl Offer) -> Verdict {
        let ends = self.remaining.chance_percent(self.left_ms);
        if ends >= 100 {
            return Verdict::Keep(Keep::EndsInTime);
        }
        if self.saves_progress {
            return Verdict::Keep(Keep::StopsLater);
        }
        if self.left_ms < LEAST_GAIN_MS {
            return Verdict::Keep(Keep::LittleGain);
        }
        let chance = ends + (100 - ends) * RETURN_PERCENT / 100;
        match self.is_worth_stopping(chance) {
            true if self.holds_others && offer.others_wait() => Verdict::Stop(Stop::CannotEnd),
            true => Verdict::Keep(Keep::NothingWaits),
            false => Verdict::Keep(Keep::MayEnd),
        }
    }

    /// Returns whether the time that is likely lost by going on is more than what a stop is likely to waste.
    fn is_worth_stopping(&self, chance_percent: u64) -> bool {
        let lost = (100 - chance_percent).saturating_mul(self.left_ms);
        let wasted = chance_percent.saturating_mul(self.worked_ms.saturating_add(RESTART_MS));
        lost > wasted
    }
}

/// A gang, or a single task, at risk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Subject {
    Gang(GroupKey),
    Task(TaskKey),
}

impl Subject {
    /// Returns the group that it belongs to.
    pub fn group(self) -> GroupKey {
        match self {
            Subject::Gang(group) => group,
            Subject::Task(task) => task.group,
        }
    }
}

/// What was decided last about the work that is at risk now.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    weighed: HashMap<Subject, (Verdict, u64)>,
}

impl Departures {
    /// Returns whether work is to be weighed now.
    pub fn is_due(&self, subject: Subject, now_ms: u64) -> bool {
        self.weighed
            .get(&subject)
            .is_none_or(|(_, weighed_ms)| now_ms >= weighed_ms + WEIGH_EVERY_MS)
    }

    /// Takes in a verdict. Returns whether it differs from the one before.
    pub fn record(&mut self, subject: Subject, verdict: Verdict, now_ms: u64) -> bool {
        let before = self.weighed.insert(subject, (verdict, now_ms));
        before.is_none_or(|(before, _)| before != verdict)
    }

    /// Forgets all work but what is at risk now.
    pub fn retain(&mut self, is_at_risk: impl Fn(&Subject) -> bool) {
        self.weighed.retain(|subject, _| is_at_risk(subject));
    }

    /// Returns whether nothing is at risk.
    pub fn is_empty(&self) -> bool {
        self.weighed.is_empty()
    }
}
