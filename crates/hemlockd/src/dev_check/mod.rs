//! `hemlockd dev --check`: drives a short workload and reports which promises were kept.
//!
//! Only the public interfaces are used: the HTTP interface of the nodes, and the fault switches and
//! reports of the stand-in platform. Every promise has a row in the printed table.

mod changes;
mod client;
mod gangs;
mod outages;
mod report;
mod requests;
mod sample;
mod site;
mod stops;
mod ticket_outcomes;

use std::sync::Arc;

use self::client::SiteClient;
use self::report::Report;
use self::sample::Sample;
use self::site::{CheckError, SiteDescription};

/// Exit code if a promise was broken or a check could not run.
const EXIT_BROKEN: u8 = 1;

/// Runs all checks against the site that `description` describes, and prints the table.
///
/// `description` is the line of JSON that `hemlockd dev` prints. Returns the exit code.
pub(crate) async fn run(description: &str) -> u8 {
    let client = match SiteDescription::parse(description).and_then(SiteClient::new) {
        Ok(client) => Arc::new(client),
        Err(e) => {
            eprintln!("hemlockd dev --check: {e}");
            return EXIT_BROKEN;
        }
    };
    let mut report = Report::start();
    if let Err(e) = run_checks(&client, &mut report).await {
        report.add_not_run("all checks were run", &e);
    }
    println!("{report}");
    if report.is_held() { 0 } else { EXIT_BROKEN }
}

/// Runs the checks one after another; those that stop nodes come last.
async fn run_checks(client: &Arc<SiteClient>, report: &mut Report) -> Result<(), CheckError> {
    let sample = Sample::read(client).await?;
    changes::check_change(client, report).await;
    requests::check_short_work(client, &sample, report).await;
    requests::check_whole_answers(client, &sample, report).await;
    requests::check_overload(client, &sample).await;
    requests::check_lost_answers(client, &sample).await;
    outages::check_leaving(client, &sample, report).await;
    gangs::check_rack(client, &sample, report).await;
    gangs::check_crashed_worker(client, &sample).await;
    let in_outage = outages::check_store(client, &sample, report).await;
    outages::check_partition(client, &sample, report).await;
    stops::check_kill(client, &sample).await;
    stops::check_planned(client, &sample, report).await;
    gangs::report_whole(client, report).await;
    ticket_outcomes::report_tickets(client, report).await;
    changes::report_never_reverted(client, in_outage, report).await;
    Ok(())
}
