//! The table of promises and whether they were kept.

use std::fmt;
use std::time::Instant;

use comfy_table::Table;

use super::site::CheckError;

/// Whether a promise was kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// It was kept in every case.
    Held,
    /// It was broken.
    Broken,
    /// The check could not be run.
    NotRun,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Held => "held",
            Self::Broken => "BROKEN",
            Self::NotRun => "NOT RUN",
        })
    }
}

/// One row of the table.
#[derive(Debug)]
struct Row {
    promise: &'static str,
    cases: usize,
    figure: String,
    verdict: Verdict,
}

/// The table.
#[derive(Debug)]
pub(super) struct Report {
    rows: Vec<Row>,
    start: Instant,
}

impl Report {
    /// Starts an empty table; times in its output count from now.
    pub(super) fn start() -> Self {
        Self {
            rows: Vec::new(),
            start: Instant::now(),
        }
    }

    /// Adds the result of a promise; without any case it counts as not run.
    pub(super) fn add(
        &mut self,
        promise: &'static str,
        cases: usize,
        figure: impl Into<String>,
        is_held: bool,
    ) {
        let verdict = match (cases, is_held) {
            (0, _) => Verdict::NotRun,
            (_, true) => Verdict::Held,
            (_, false) => Verdict::Broken,
        };
        self.push(promise, cases, figure.into(), verdict);
    }

    /// Adds a promise whose check could not be run.
    pub(super) fn add_not_run(&mut self, promise: &'static str, error: &CheckError) {
        self.push(promise, 0, error.to_string(), Verdict::NotRun);
    }

    /// Adds a row and prints it on standard error at once.
    fn push(&mut self, promise: &'static str, cases: usize, figure: String, verdict: Verdict) {
        let at_s = self.start.elapsed().as_secs();
        eprintln!("{at_s} s: {promise}: {verdict} ({figure})");
        self.rows.push(Row {
            promise,
            cases,
            figure,
            verdict,
        });
    }

    /// Returns whether every promise was kept.
    pub(super) fn is_held(&self) -> bool {
        self.rows.iter().all(|row| row.verdict == Verdict::Held)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new();
        table.set_header(["promise", "cases", "figure", "verdict"]);
        for row in &self.rows {
            let cases = row.cases.to_string();
            let verdict = row.verdict.to_string();
            table.add_row([row.promise, &cases, &row.figure, &verdict]);
        }
        table.fmt(f)
    }
}
