//! Checks once-only work: compares the outcomes that callers received with the runs that the
//! platform counted.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use model::prelude::*;
use serde::Deserialize;

use super::client::{CallerOutcome, SiteClient};
use super::report::Report;
use super::site::CheckError;

/// A row of the stand-in platform's report about runs.
#[derive(Debug, Deserialize)]
pub(super) struct RunRow {
    /// Ticket of once-only work.
    pub(super) ticket: Option<Ticket>,
    /// The work.
    pub(super) work_id: String,
    /// Worker that ran it.
    pub(super) worker: WorkerName,
    /// Number of times that the work was started.
    pub(super) runs: u32,
}

/// Last outcome that callers received for each ticket.
#[derive(Debug, Default)]
pub(super) struct TicketOutcomes(Mutex<BTreeMap<Ticket, CallerOutcome>>);

impl TicketOutcomes {
    /// Records an outcome; a missing reply does not replace an earlier outcome.
    pub(super) fn record(&self, ticket: &Ticket, outcome: &CallerOutcome) {
        let mut outcomes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if *outcome != CallerOutcome::NoReply || !outcomes.contains_key(ticket) {
            outcomes.insert(ticket.clone(), outcome.clone());
        }
    }

    /// Returns the last outcome for each ticket.
    fn snapshot(&self) -> BTreeMap<Ticket, CallerOutcome> {
        let outcomes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.clone()
    }
}

/// Reports whether once-only work ran at most once, and whether refused work never ran.
pub(super) async fn report_tickets(client: &SiteClient, report: &mut Report) {
    match compare_runs(client).await {
        Ok(counts) => counts.report(report),
        Err(e) => {
            report.add_not_run("once-only work runs at most once", &e);
            report.add_not_run("a refusal is true", &e);
        }
    }
}

/// Counts of the comparison.
#[derive(Debug, Default)]
struct TicketCounts {
    tickets: usize,
    answered: usize,
    unknown: usize,
    repeated: usize,
    refused: usize,
    refused_but_run: usize,
    answered_but_not_run: usize,
}

/// Compares the outcomes with the runs.
async fn compare_runs(client: &SiteClient) -> Result<TicketCounts, CheckError> {
    let rows: Vec<RunRow> = client.report("/v1/runs").await?;
    let mut runs: BTreeMap<Ticket, u32> = BTreeMap::new();
    for row in rows {
        if let Some(ticket) = row.ticket {
            *runs.entry(ticket).or_default() += row.runs;
        }
    }
    let mut counts = TicketCounts::default();
    for (ticket, outcome) in client.ticket_outcomes.snapshot() {
        let count = runs.get(&ticket).copied().unwrap_or(0);
        counts.tickets += 1;
        counts.repeated += usize::from(count > 1);
        match outcome {
            CallerOutcome::Refused { .. } => {
                counts.refused += 1;
                counts.refused_but_run += usize::from(count > 0);
            }
            CallerOutcome::Answer { .. } => {
                counts.answered += 1;
                counts.answered_but_not_run += usize::from(count == 0);
            }
            _ => counts.unknown += 1,
        }
    }
    Ok(counts)
}

impl TicketCounts {
    /// Adds the rows to the report.
    fn report(&self, report: &mut Report) {
        let Self {
            tickets,
            answered,
            unknown,
            repeated,
            refused,
            refused_but_run,
            answered_but_not_run,
        } = *self;
        report.add(
            "once-only work runs at most once",
            tickets,
            format!("{repeated} ran twice; {answered} answered, {unknown} unknown or failed"),
            repeated == 0 && answered_but_not_run == 0,
        );
        report.add(
            "a refusal is true",
            refused,
            format!("{refused_but_run} of {refused} refused were run"),
            refused_but_run == 0,
        );
    }
}
