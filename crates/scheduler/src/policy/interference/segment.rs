//! The spans of a run in which its neighbours stay the same, and the comparison of two of them.

use super::{Level, RunSample, WorkKind};
use crate::group::TaskKey;

/// The shortest time over which a rate is measured. Shares of work are whole hundredths, of which a run of 10 s does ten
/// in that time.
const MIN_SEGMENT_MS: u64 = 1_000;

/// The least progress from which a rate is taken, in hundredths: rounding then shifts it by a quarter at most.
const MIN_SEGMENT_PERCENT: u32 = 4;

/// A change of rate beyond this factor is not counted: the worker, or the run, has come to a stop for another reason.
const MAX_FACTOR: f64 = 4.0;

/// A span of a run in which its neighbours stay the same.
#[derive(Debug)]
pub(super) struct Segment {
    task: TaskKey,
    run: u32,
    neighbours: Vec<WorkKind>,
    is_measured: bool,
    since_ms: u64,
    first_percent: u32,
    last_percent: u32,
    last_ms: u64,
    /// Sum and number of the tail latencies.
    tail_sum_ms: u64,
    tails: u32,
    /// Logarithm of the rate in the segment before, with its neighbours.
    before: Option<(f64, Vec<WorkKind>)>,
}

impl Segment {
    /// Returns whether a sample is of the same run.
    pub fn is_of(&self, sample: &RunSample) -> bool {
        self.task == sample.task && self.run == sample.run
    }

    /// Returns the logarithm of the rate; none if it was too short to tell.
    fn ln_rate(&self) -> Option<f64> {
        let took_ms = self.last_ms.saturating_sub(self.since_ms);
        if took_ms < MIN_SEGMENT_MS {
            return None;
        }
        if self.tails > 0 {
            // A latency that is twice as long is half the rate.
            let mean_ms = (self.tail_sum_ms as f64 / f64::from(self.tails)).max(1.0);
            return Some(-mean_ms.ln());
        }
        let percent = self.last_percent.saturating_sub(self.first_percent);
        (percent >= MIN_SEGMENT_PERCENT).then(|| (f64::from(percent) / took_ms as f64).ln())
    }
}

/// Goes on with the segment of a run, or begins the next one if its neighbours have changed. Returns the kind of work that
/// came or went between the last two segments, if it was only one, and the logarithm of the factor by which the run is
/// slower beside it.
pub(super) fn go_on(
    known: Option<Segment>,
    sample: &RunSample,
    neighbours: Vec<WorkKind>,
    at_ms: u64,
) -> (Segment, Option<(WorkKind, f64)>) {
    let (percent, tail_ms) = match sample.level {
        Level::Progress(percent) => (percent, None),
        Level::TailLatency(tail_ms) => (0, Some(tail_ms)),
        Level::Unmeasured => (0, None),
    };
    let is_measured = sample.level != Level::Unmeasured;
    let begin = |before| Segment {
        task: sample.task,
        run: sample.run,
        neighbours: neighbours.clone(),
        is_measured,
        since_ms: at_ms,
        first_percent: percent,
        last_percent: percent,
        last_ms: at_ms,
        tail_sum_ms: 0,
        tails: 0,
        before,
    };
    let Some(mut segment) = known.filter(|segment| segment.is_measured && is_measured) else {
        return (begin(None), None);
    };
    if segment.neighbours == neighbours {
        segment.last_percent = percent;
        segment.last_ms = at_ms;
        if let Some(tail_ms) = tail_ms {
            segment.tail_sum_ms = segment.tail_sum_ms.saturating_add(tail_ms);
            segment.tails += 1;
        }
        return (segment, None);
    }
    // What happened since the last report belongs to neither side.
    let ended = segment.ln_rate();
    let change = match (&segment.before, ended) {
        (Some((ln_rate_before, before)), Some(ln_rate)) => {
            find_only_change(before, &segment.neighbours).map(|(kind, came)| match came {
                true => (kind, ln_rate_before - ln_rate),
                false => (kind, ln_rate - ln_rate_before),
            })
        }
        _ => None,
    };
    let change = change.filter(|(_, ln_factor)| ln_factor.abs() <= MAX_FACTOR.ln());
    let before = match ended {
        Some(ln_rate) => Some((ln_rate, std::mem::take(&mut segment.neighbours))),
        None => segment.before.take(),
    };
    (begin(before), change)
}

/// Returns the kind in which two lists differ and whether it is in the second one; none if they differ in more or none.
fn find_only_change(before: &[WorkKind], after: &[WorkKind]) -> Option<(WorkKind, bool)> {
    let came = after.iter().filter(|kind| !before.contains(kind));
    let went = before.iter().filter(|kind| !after.contains(kind));
    let mut changes = came
        .map(|kind| (*kind, true))
        .chain(went.map(|kind| (*kind, false)));
    let only = changes.next()?;
    changes.next().is_none().then_some(only)
}
