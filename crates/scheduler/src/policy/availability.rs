//! Decides which tasks of a step with a limit on unavailable tasks may be ended now.
//!
//! The platform counts a task as away if an order has ended it and it has not been at work since, or if it has not been
//! at work for the notice time for any cause. It forbids to end a task that is at work while so many others are away.

/// How old a worker's report that a task is at work may be when it is used: the longest time between two answers, and the
/// way of the answer.
const REPORT_AGE_MS: u64 = 2_500;

/// What is known of a task's work for its users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Presence {
    /// When a worker last reported it at work; before that, when the planner learned of it.
    at_work_ms: u64,
    /// Whether an earlier planner may have ended it: it is not new, and no worker has reported it at work to this one.
    is_unknown: bool,
    /// Whether an order has ended a run since then.
    is_ended_by_order: bool,
}

impl Presence {
    /// A task that is reported to be at work, or that is new.
    pub fn at_work(now_ms: u64) -> Presence {
        Presence {
            at_work_ms: now_ms,
            is_unknown: false,
            is_ended_by_order: false,
        }
    }

    /// A task that an earlier planner has left.
    pub fn unknown(now_ms: u64) -> Presence {
        Presence {
            is_unknown: true,
            ..Presence::at_work(now_ms)
        }
    }

    /// Records that an order ends the task.
    pub fn record_order(&mut self) {
        self.is_ended_by_order = true;
    }

    /// Returns whether the task has not been at work for so long that it counts as away whatever the cause, or may soon.
    /// A run of it that a worker lists is not at work.
    pub fn is_idle(self, notice_ms: u64, now_ms: u64) -> bool {
        let longest_ms = notice_ms.saturating_sub(REPORT_AGE_MS);
        self.at_work_ms.saturating_add(longest_ms) < now_ms
    }

    fn is_away(self, notice_ms: u64, now_ms: u64) -> bool {
        self.is_ended_by_order || self.is_unknown || self.is_idle(notice_ms, now_ms)
    }
}

/// Returns how many tasks of a step that are at work may be ended now, if `most_away` of its tasks may be away.
pub(crate) fn count_endable(
    most_away: u32,
    tasks: impl Iterator<Item = Presence>,
    notice_ms: u64,
    now_ms: u64,
) -> usize {
    let away = tasks.filter(|task| task.is_away(notice_ms, now_ms)).count();
    (most_away as usize).saturating_sub(away)
}
