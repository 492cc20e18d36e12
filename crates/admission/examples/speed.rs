//! Prints the duration of decisions with 10,000 open requests of 650 organisations.

use std::error::Error;
use std::time::Instant;

use admission::{Admission, AdmissionConfig, AttemptEnd, Decision, Offer, WorkerKey};
use model::prelude::*;

const ORGANISATIONS: usize = 650;
const WORKERS: usize = 4_000;
const SLOTS: u32 = 2;
const OPEN: usize = 10_000;
const ROUNDS: u32 = 100_000;

fn class(name: &str, urgency: Urgency, expected_run_ms: u64) -> Result<ClassSpec, NameError> {
    Ok(ClassSpec {
        name: name.try_into()?,
        urgency,
        expected_run_ms,
        deadline_ms: 600_000,
        grace_ms: 1_000,
        idempotent: true,
        in_flight_max: 100_000,
        queue_max: 100_000,
    })
}

type NameError = model::name::NameError;

fn main() -> Result<(), Box<dyn Error>> {
    let classes = [
        class("leak-report", Urgency::Urgent, 50)?,
        class("roster-query", Urgency::Normal, 150)?,
        class("rota-rebuild", Urgency::Normal, 20_000)?,
    ];
    let mut organisations = Vec::new();
    for n in 0..ORGANISATIONS {
        organisations.push(OrganisationSpec {
            name: format!("org-{n}").try_into()?,
            guarantees: Vec::new(),
            quota: Quota {
                accelerators: 0,
                requests_in_flight: 1_000,
            },
            classes: classes.iter().map(|class| class.name.clone()).collect(),
            token_digests: Vec::new(),
            suspended: false,
        });
    }
    let mut node = Admission::new(AdmissionConfig::default(), 1);
    node.declare(0, &organisations, &classes);
    for n in 0..WORKERS {
        node.upsert_worker(&format!("worker-{n}").try_into()?, SLOTS, 64);
    }
    let mut decisions = Vec::new();
    let mut running: Vec<(admission::RequestKey, WorkerKey)> = Vec::new();
    let offer = |n: usize| Offer {
        organisation: organisations[n % ORGANISATIONS].name.clone(),
        class: classes[n % classes.len()].name.clone(),
        deadline_at_ms: 600_000,
        idempotent: true,
    };
    let mut offered = 0;
    while offered < OPEN {
        if node.offer(0, offer(offered)).is_err() {
            break;
        }
        offered += 1;
    }
    let started = Instant::now();
    node.poll(0, &mut decisions);
    println!("{offered} open; first poll {:?}", started.elapsed());
    let started = Instant::now();
    for round in 0..ROUNDS {
        for decision in decisions.drain(..) {
            if let Decision::Start {
                request, worker, ..
            } = decision
            {
                running.push((request, worker));
            }
        }
        if !running.is_empty() {
            let at = round as usize * 7_919 % running.len();
            let (request, worker) = running.swap_remove(at);
            node.attempt_ended(0, request, worker, AttemptEnd::Answered);
            node.finish(0, request);
        }
        // A rejected request only reduces the number of open requests.
        let _ = node.offer(0, offer(round as usize));
        node.poll(0, &mut decisions);
    }
    let each = started.elapsed() / ROUNDS;
    println!(
        "one end, offer and poll: {each:?}, {} in flight",
        running.len()
    );
    Ok(())
}
