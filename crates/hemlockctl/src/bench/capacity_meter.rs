//! Measures processor time and memory of this process, and fits lines through the measurements.

use std::fs;

use rustix::time::{ClockId, clock_gettime};

use super::report::Series;

/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// Returns the processor time of this thread, in microseconds.
fn read_thread_cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Runs `work` and returns its result and its processor time in microseconds.
pub(super) fn measure_cpu_us<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let before_us = read_thread_cpu_us();
    let result = work();
    (result, read_thread_cpu_us() - before_us)
}

/// Runs `work` and returns its result and the growth of resident memory in bytes.
///
/// Reused memory that was freed before does not count, so a caller that compares sizes must keep
/// the results of all of them.
pub(super) fn measure_memory_bytes<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let before_bytes = read_resident_bytes();
    let result = work();
    (result, read_resident_bytes() - before_bytes)
}

/// Returns the resident memory of this process in bytes, or 0 if `/proc/self/statm` is not
/// available.
fn read_resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|raw| raw.parse::<f64>().ok()).unwrap_or(0.0) * PAGE_BYTES
}

/// Fits a least-squares line through `points`, which are sizes and values.
pub(super) fn fit(name: &'static str, per: &'static str, points: Vec<(f64, f64)>) -> Series {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    let intercept = mean_y - slope * mean_x;
    let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
    let distance = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).abs())
        .fold(0.0, f64::max);
    let exponent = compute_growth_exponent(&points);
    Series {
        name,
        per,
        points,
        exponent,
        intercept,
        slope,
        error_percent: if largest > 0.0 {
            100.0 * distance / largest
        } else {
            0.0
        },
    }
}

/// Returns the power of the size with which the values grow from the second to the last point; 1 is
/// linear growth.
fn compute_growth_exponent(points: &[(f64, f64)]) -> f64 {
    match (points.get(1), points.last()) {
        (Some(&(x0, y0)), Some(&(x1, y1))) if y0 > 0.0 && y1 > 0.0 && x1 > x0 => {
            (y1 / y0).ln() / (x1 / x0).ln()
        }
        _ => 0.0,
    }
}

impl Series {
    /// Returns the value at `size`: interpolated between measured sizes, and taken from the line
    /// outside of them.
    pub(super) fn value_at(&self, size: f64) -> f64 {
        let around = self
            .points
            .windows(2)
            .find(|pair| pair[0].0 <= size && size <= pair[1].0);
        match around {
            Some(&[(x0, y0), (x1, y1)]) => y0 + (y1 - y0) * (size - x0) / (x1 - x0),
            _ => self.intercept + self.slope * size,
        }
    }
}
