//! Computes figures from the load and the record of one simulation of requests.

use hdrhistogram::Histogram;
use model::prelude::*;

use super::report::Figures;
use super::request_load::Load;
use super::request_record::{Outcome, Record, RequestRecord};
use super::request_sim::capacity_slots;

/// Indices of the organisations whose offered load stays below their share of the capacity even
/// when the total load is twice the capacity.
const IN_SHARE_ORGANISATIONS: std::ops::Range<usize> = 2..4;

/// Time for which waiting must be normal to count as recovered, in milliseconds.
const NORMAL_FOR_MS: u64 = 10_000;

/// Step between the windows that are tried as the end of the recovery, in milliseconds.
const RECOVERY_STEP_MS: u64 = 250;

/// Largest share of requests of a class that may wait longer than normal or be rejected, in
/// permille.
const ABNORMAL_PERMILLE_MAX: usize = 20;

/// Largest time that the histograms can record, in milliseconds.
const HISTOGRAM_MS_MAX: u64 = 10_000_000;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A span of time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Window {
    /// First millisecond of the span.
    pub(crate) from_ms: u64,
    /// First millisecond after the span.
    pub(crate) to_ms: u64,
}

impl Window {
    /// Returns whether `at_ms` is in the window.
    fn contains(self, at_ms: u64) -> bool {
        (self.from_ms..self.to_ms).contains(&at_ms)
    }

    /// Returns how many milliseconds of `from_ms..to_ms` are in the window.
    fn overlap_ms(self, from_ms: u64, to_ms: u64) -> u64 {
        let end_ms = to_ms.min(self.to_ms);
        end_ms.saturating_sub(from_ms.max(self.from_ms))
    }
}

/// Groups of classes that figures are reported for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Group {
    /// Urgent classes.
    Urgent,
    /// Short classes that are not urgent.
    Short,
    /// Long classes.
    Long,
}

/// Returns the group of a class.
fn group_of(spec: &ClassSpec) -> Group {
    if spec.urgency == Urgency::Urgent {
        Group::Urgent
    } else if spec.is_short() {
        Group::Short
    } else {
        Group::Long
    }
}

/// The load and the record of one simulation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Run<'a> {
    /// Simulated load.
    pub(crate) load: &'a Load,
    /// Record of the simulation.
    pub(crate) record: &'a Record,
}

impl Run<'_> {
    /// Iterates over the indices of the requests of a group that arrived in a window.
    fn iterate_arrivals(self, group: Group, window: Window) -> impl Iterator<Item = usize> {
        let requests = self.load.requests.iter().enumerate();
        let arrived = requests.filter(move |(_, request)| window.contains(request.at_ms));
        let of_group = arrived
            .filter(move |(_, request)| group_of(&self.load.classes[request.class].spec) == group);
        of_group.map(|(index, _)| index)
    }

    /// Returns the time from the arrival of a request to its first start, or to its end if it never
    /// started.
    fn wait_ms(self, index: usize) -> u64 {
        let RequestRecord {
            first_started_ms,
            ended_ms,
            ..
        } = self.record.requests[index];
        let at_ms = self.load.requests[index].at_ms;
        first_started_ms.unwrap_or(ended_ms).saturating_sub(at_ms)
    }

    fn is_answered(self, index: usize) -> bool {
        self.record.requests[index].outcome == Outcome::Answered
    }

    /// Returns the share of the requests of a group that were answered within their deadline.
    pub(crate) fn answered_ratio(self, group: Group, window: Window) -> f64 {
        let mut arrived = 0_u32;
        let mut answered = 0_u32;
        for index in self.iterate_arrivals(group, window) {
            arrived += 1;
            answered += u32::from(self.is_answered(index));
        }
        f64::from(answered) / f64::from(arrived.max(1))
    }

    /// Collects the waiting times of the requests of a group.
    ///
    /// Requests that were rejected without a start have not waited for a worker and are left out.
    pub(crate) fn collect_waits(self, group: Group, window: Window) -> TimeHistogram {
        let mut waits = TimeHistogram::new();
        for index in self.iterate_arrivals(group, window) {
            let record = &self.record.requests[index];
            if record.first_started_ms.is_some() || record.outcome != Outcome::Rejected {
                waits.record(self.wait_ms(index));
            }
        }
        waits
    }

    /// Collects the times from arrival to answer of the answered requests of a group.
    fn collect_answer_times(self, group: Group, window: Window) -> TimeHistogram {
        let mut times = TimeHistogram::new();
        for index in self.iterate_arrivals(group, window) {
            if self.is_answered(index) {
                let at_ms = self.load.requests[index].at_ms;
                times.record(self.record.requests[index].ended_ms.saturating_sub(at_ms));
            }
        }
        times
    }

    /// Returns the 99th percentile of the time from arrival to answer of short requests.
    pub(crate) fn short_answer_p99_ms(self, window: Window) -> f64 {
        self.collect_answer_times(Group::Short, window)
            .quantile_ms(0.99) as f64
    }

    /// Returns an upper bound of the goodput in a window that holds for every policy: the share of
    /// the capacity that the load could use if every request ran on arrival, up to the capacity.
    pub(crate) fn goodput_bound_ratio(self, window: Window) -> f64 {
        let mut changes: Vec<(u64, i64)> = Vec::new();
        for request in &self.load.requests {
            let end_ms = (request.at_ms + request.run_ms[0]).min(request.deadline_at_ms);
            changes.extend([(request.at_ms, 1), (end_ms, -1)]);
        }
        changes.sort_unstable();
        let capacity = capacity_slots();
        let (mut busy, mut last_ms, mut done_ms) = (0, 0, 0.0);
        let mut is_full = false;
        for (at_ms, change) in changes {
            let span_ms = window.overlap_ms(last_ms, at_ms) as f64;
            // Once the slots were full in the window, the backlog can keep them full.
            is_full |= span_ms > 0.0 && busy as f64 >= capacity;
            done_ms += span_ms * if is_full { capacity } else { busy as f64 };
            busy += change;
            last_ms = at_ms;
        }
        done_ms / (capacity * (window.to_ms - window.from_ms) as f64)
    }

    /// Returns the number of attempts started in a window per request that arrived in it.
    pub(crate) fn attempts_ratio(self, window: Window) -> f64 {
        let attempts = self.record.attempts.iter();
        let started = attempts.filter(|attempt| window.contains(attempt.started_ms));
        let requests = self.load.requests.iter();
        let arrived = requests.filter(|request| window.contains(request.at_ms));
        started.count() as f64 / arrived.count().max(1) as f64
    }

    /// Counts the requests of a group that no worker started.
    pub(crate) fn count_not_started(self, group: Group, window: Window) -> usize {
        let arrivals = self.iterate_arrivals(group, window);
        arrivals
            .filter(|&index| self.record.requests[index].first_started_ms.is_none())
            .count()
    }

    /// Returns the work done in a window for answers that arrived in time, as a ratio to the
    /// capacity.
    pub(crate) fn goodput_ratio(self, window: Window) -> f64 {
        let useful = self.record.attempts.iter().filter(|attempt| attempt.useful);
        let done_ms: f64 = useful
            .map(|attempt| {
                let overlap_ms = window.overlap_ms(attempt.started_ms, attempt.ended_ms);
                overlap_ms as f64 / attempt.slowdown
            })
            .sum();
        done_ms / (capacity_slots() * (window.to_ms - window.from_ms) as f64)
    }

    /// Returns the work of a group done in a window for answers that arrived in time, in slot
    /// milliseconds.
    pub(crate) fn throughput_ms(self, group: Group, window: Window) -> f64 {
        let useful = self.record.attempts.iter().filter(|attempt| attempt.useful);
        let of_group = useful.filter(|attempt| {
            let class = self.load.requests[attempt.request].class;
            group_of(&self.load.classes[class].spec) == group
        });
        of_group
            .map(|attempt| {
                let overlap_ms = window.overlap_ms(attempt.started_ms, attempt.ended_ms);
                overlap_ms as f64 / attempt.slowdown
            })
            .sum()
    }

    /// Returns the answered share of the work offered by the organisations that stay below their
    /// share.
    fn in_share_answered_ratio(self, window: Window) -> f64 {
        let mut offered_ms = 0;
        let mut answered_ms = 0;
        for (index, request) in self.load.requests.iter().enumerate() {
            let in_share = IN_SHARE_ORGANISATIONS.contains(&request.organisation);
            if in_share && window.contains(request.at_ms) {
                offered_ms += request.run_ms[0];
                if self.is_answered(index) {
                    answered_ms += request.run_ms[0];
                }
            }
        }
        answered_ms as f64 / offered_ms.max(1) as f64
    }

    /// Returns the longest normal wait of each class: its 99th percentile in the window `steady`,
    /// or its expected run time if that is longer.
    fn normal_waits_ms(self, steady: Window) -> Vec<u64> {
        let mut histograms: Vec<_> = self
            .load
            .classes
            .iter()
            .map(|_| TimeHistogram::new())
            .collect();
        for (index, request) in self.load.requests.iter().enumerate() {
            if steady.contains(request.at_ms) {
                histograms[request.class].record(self.wait_ms(index));
            }
        }
        let classes = self.load.classes.iter().zip(&histograms);
        classes
            .map(|(class, waits)| waits.quantile_ms(0.99).max(class.spec.expected_run_ms))
            .collect()
    }

    /// Returns the time from `peak_end_ms` until the arrivals of all classes wait normally and are
    /// not rejected for [`NORMAL_FOR_MS`], or until `until_ms` if that does not happen.
    pub(crate) fn recovery_ms(self, steady: Window, peak_end_ms: u64, until_ms: u64) -> f64 {
        let normal_ms = self.normal_waits_ms(steady);
        let mut from_ms = peak_end_ms;
        while from_ms + NORMAL_FOR_MS <= until_ms {
            let window = Window {
                from_ms,
                to_ms: from_ms + NORMAL_FOR_MS,
            };
            if self.is_normal(&normal_ms, window) {
                return (from_ms - peak_end_ms) as f64;
            }
            from_ms += RECOVERY_STEP_MS;
        }
        (until_ms - peak_end_ms) as f64
    }

    fn is_normal(self, normal_ms: &[u64], window: Window) -> bool {
        let mut arrived = vec![0; normal_ms.len()];
        let mut abnormal = vec![0; normal_ms.len()];
        for (index, request) in self.load.requests.iter().enumerate() {
            if window.contains(request.at_ms) {
                let is_rejected = self.record.requests[index].outcome == Outcome::Rejected;
                let waits_longer = self.wait_ms(index) > normal_ms[request.class];
                arrived[request.class] += 1;
                abnormal[request.class] += usize::from(is_rejected || waits_longer);
            }
        }
        let mut classes = arrived.iter().zip(&abnormal);
        classes.all(|(arrived, abnormal)| abnormal * 1_000 <= arrived * ABNORMAL_PERMILLE_MAX)
    }

    /// Computes the figures that every benchmark of requests reports for the arrivals of `window`.
    pub(crate) fn figures(self, window: Window) -> Figures {
        let mut figures = Figures::new();
        let urgent = self.collect_waits(Group::Urgent, window);
        figures.insert("urgent_wait_p50_ms", urgent.quantile_ms(0.5) as f64);
        figures.insert("urgent_wait_p99_ms", urgent.quantile_ms(0.99) as f64);
        figures.insert("urgent_wait_max_ms", urgent.quantile_ms(1.0) as f64);
        let short = self.collect_waits(Group::Short, window);
        figures.insert("short_wait_p50_ms", short.quantile_ms(0.5) as f64);
        figures.insert("short_wait_p99_ms", short.quantile_ms(0.99) as f64);
        figures.insert("short_answer_p99_ms", self.short_answer_p99_ms(window));
        let long = self.collect_waits(Group::Long, window);
        figures.insert("long_wait_p50_ms", long.quantile_ms(0.5) as f64);
        figures.insert("long_wait_p99_ms", long.quantile_ms(0.99) as f64);
        let not_started = self.count_not_started(Group::Urgent, window);
        figures.insert("urgent_not_started", not_started as f64);
        let urgent_ratio = self.answered_ratio(Group::Urgent, window);
        figures.insert("urgent_in_deadline_ratio", urgent_ratio);
        figures.insert(
            "short_in_deadline_ratio",
            self.answered_ratio(Group::Short, window),
        );
        figures.insert(
            "long_in_deadline_ratio",
            self.answered_ratio(Group::Long, window),
        );
        figures.insert("goodput_ratio", self.goodput_ratio(window));
        figures.insert(
            "in_share_answered_ratio",
            self.in_share_answered_ratio(window),
        );
        figures.insert("attempts_refused", self.record.refused as f64);
        figures.insert("hedges", self.record.hedges as f64);
        figures
    }
}

/// Histogram of times in milliseconds, with three significant digits.
#[derive(Debug)]
pub(crate) struct TimeHistogram {
    /// `None` if the histogram library rejects the constant bounds.
    histogram: Option<Histogram<u64>>,
}

impl TimeHistogram {
    fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, HISTOGRAM_MS_MAX, SIGNIFICANT_DIGITS);
        Self {
            histogram: histogram.ok(),
        }
    }

    fn record(&mut self, wait_ms: u64) {
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(wait_ms);
        }
    }

    fn quantile_ms(&self, quantile: f64) -> u64 {
        let histogram = self.histogram.as_ref();
        histogram.map_or(u64::MAX, |waits| waits.value_at_quantile(quantile))
    }
}
