//! The calls of a played site: renewals and orders that are lost, answered late, or carried out late.

use rand::RngExt;
use scheduler::prelude::*;
use scheduler::{StartOutcome, StopOutcome};

use super::live_site::TICK_MS;
use super::lives_play::{Late, Play, TASK_ACCELERATORS};

/// How long the planner waits for the answer to a renewal.
const RENEWAL_TIMEOUT_MS: u64 = 2_700;

/// How long the planner waits for the answer to an order.
const ORDER_TIMEOUT_MS: u64 = 700;

impl Play {
    /// Returns the worker that a call to this place reaches, if it is the one that the call names.
    fn find_receiver(&self, entry: &WorkerEntry) -> Option<usize> {
        let workers = self.site.workers.iter();
        workers.enumerate().position(|(_, w)| {
            w.up && w.reachable && w.address == entry.address && w.id == entry.id
        })
    }

    /// Sends a renewal, the answer to which may be late or lost.
    pub fn renew(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms();
        let new_connection = self.reconnects.contains(&key);
        let Some((address, report)) = self.ask(key, new_connection) else {
            return;
        };
        let (delay_ms, report) = match (report, self.rng.random_range(0..12)) {
            (None, _) | (_, 0) => (RENEWAL_TIMEOUT_MS, None),
            (Some(report), 1..4) => (self.rng.random_range(1..20) * TICK_MS, Some(report)),
            (Some(report), _) => (0, Some(report)),
        };
        self.waiting.insert(key);
        match delay_ms {
            0 => self.apply_report(key, &address, report),
            _ => self
                .late
                .push((now_ms + delay_ms, Late::Report(key, address, report))),
        }
    }

    /// Asks a worker for its lists; returns the address and the answer, if there is one. None if the planner does not know
    /// the worker any more.
    fn ask(
        &mut self,
        key: WorkerKey,
        new_connection: bool,
    ) -> Option<(String, Option<RenewalReport>)> {
        let now_ms = self.now_ms();
        let planner = &mut self.site.harness.planner;
        let entry = planner.entry(key)?.clone();
        let lease_end_clock_ms = match planner.is_occupied(key) {
            true => planner.grant_lease(key, now_ms),
            false => None,
        };
        let confirmed = match new_connection {
            true => 0,
            false => planner.confirmed_ends(key, now_ms),
        };
        let Some(index) = self.find_receiver(&entry) else {
            return Some((entry.address, None));
        };
        if self.terms[index] > self.term {
            return Some((entry.address, None));
        }
        self.terms[index] = self.term;
        let worker = &mut self.site.workers[index];
        worker.prolong_lease(lease_end_clock_ms.unwrap_or(0), now_ms);
        let forgotten: Vec<u64> = worker
            .ended
            .extract_if(.., |ended| ended.number <= confirmed)
            .map(|ended| ended.number)
            .collect();
        let born_unix_ms = worker.born_unix_ms;
        let report = worker.report(now_ms, now_ms);
        let lapsed_ms = self.lapsed_ms[index];
        for done in self.done.iter().filter(|done| {
            done.worker == index
                && done.born_unix_ms == born_unix_ms
                && forgotten.contains(&done.number)
        }) {
            if done.started_after && lapsed_ms < done.at_ms {
                let task = done.task;
                self.violations
                    .push(format!("{task} was started after it was done"));
            }
        }
        Some((entry.address, Some(report)))
    }

    fn apply_report(&mut self, key: WorkerKey, address: &str, report: Option<RenewalReport>) {
        self.waiting.remove(&key);
        let received_ms = self.now_ms();
        match report {
            Some(report) => {
                // The worker's clock was read when it answered, which is a lower bound of its time on arrival.
                let report = RenewalReport {
                    received_ms,
                    ..report
                };
                self.reconnects.remove(&key);
                let planner = &mut self.site.harness.planner;
                planner.apply_report_from(key, address, &report);
            }
            None => {
                self.reconnects.insert(key);
                self.site.harness.planner.record_unanswered_renewal(key);
            }
        }
    }

    pub fn send(&mut self, order: Order) {
        let now_ms = self.now_ms();
        let (worker, again) = match &order {
            Order::Start { worker, again, .. } | Order::Stop { worker, again, .. } => {
                (*worker, *again)
            }
            _ => return,
        };
        let Some(entry) = self.site.harness.planner.entry(worker).cloned() else {
            return;
        };
        if let Order::Start { task_key, run, .. } = &order {
            let mut may_send = true;
            if again {
                match self.ask(worker, true) {
                    Some((address, Some(report))) => {
                        let planner = &mut self.site.harness.planner;
                        planner.apply_report_from(worker, &address, &report);
                    }
                    _ => {
                        may_send = false;
                        self.site.harness.planner.record_unanswered_renewal(worker);
                    }
                }
            }
            let planner = &mut self.site.harness.planner;
            if !planner.revalidate_start(*task_key, *run, now_ms) {
                return;
            }
            if !may_send {
                let outcome = Late::StartOutcome(order, StartOutcome::NoAnswer);
                return self.late.push((now_ms + ORDER_TIMEOUT_MS, outcome));
            }
        }
        let lease = self
            .site
            .harness
            .planner
            .grant_lease(worker, now_ms)
            .unwrap_or(0);
        let here = self.site.workers.iter().enumerate();
        let other = here
            .filter(|(_, w)| w.up && w.reachable && w.address == entry.address)
            .any(|(_, w)| w.id != entry.id);
        let Some(index) = self.find_receiver(&entry) else {
            return self.finish(order, None, other);
        };
        match self.rng.random_range(0..10) {
            // Not carried out, and not answered.
            0 => self.finish(order, None, false),
            // Carried out later, and not answered.
            1 => {
                let at_ms = now_ms + self.rng.random_range(1..40) * TICK_MS;
                let born_unix_ms = self.site.workers[index].born_unix_ms;
                let late = Late::Order(index, born_unix_ms, order.clone(), self.term, lease);
                self.late.push((at_ms, late));
                self.finish(order, None, false);
            }
            // Carried out, and not answered.
            2 => {
                self.carry_out(index, &order, self.term, lease);
                self.finish(order, None, false);
            }
            _ => {
                let outcome = self.carry_out(index, &order, self.term, lease);
                self.finish(order, Some(outcome), false);
            }
        }
    }

    /// Reports the outcome of an order once its answer arrives or is given up; `other` if another worker has turned the
    /// call away.
    fn finish(&mut self, order: Order, outcome: Option<StartOutcome>, other: bool) {
        let now_ms = self.now_ms();
        let delay_ms = match (outcome, other) {
            (None, false) => ORDER_TIMEOUT_MS,
            _ => self.rng.random_range(0..3) * TICK_MS,
        };
        let late = match &order {
            Order::Start { .. } => Late::StartOutcome(
                order,
                match (outcome, other) {
                    (Some(outcome), _) => outcome,
                    (None, true) => StartOutcome::OtherLife,
                    (None, false) => StartOutcome::NoAnswer,
                },
            ),
            _ => Late::StopOutcome(
                order,
                match (outcome, other) {
                    (Some(StartOutcome::OlderTerm), _) => StopOutcome::OlderTerm,
                    (Some(_), _) => StopOutcome::Taken {
                        sent_ms: now_ms,
                        received_ms: 0,
                    },
                    (None, true) => StopOutcome::OtherLife,
                    (None, false) => StopOutcome::NoAnswer,
                },
            ),
        };
        self.late.push((now_ms + delay_ms, late));
    }

    fn carry_out(&mut self, index: usize, order: &Order, term: u64, lease: u64) -> StartOutcome {
        let now_ms = self.now_ms();
        if term < self.terms[index] {
            return StartOutcome::OlderTerm;
        }
        self.terms[index] = term;
        let worker = &mut self.site.workers[index];
        match order {
            Order::Start { task, run, .. } => {
                if lease <= worker.clock_ms(now_ms) {
                    return StartOutcome::Late;
                }
                let before = worker.running.len();
                let outcome = worker.start(*task, *run, lease, now_ms);
                if worker.running.len() > before {
                    self.began_ms.insert((index, *task, *run), now_ms);
                    for done in self.done.iter_mut().filter(|done| done.task == *task) {
                        done.started_after = true;
                    }
                    if worker.running.len() as i64 * TASK_ACCELERATORS > 8 {
                        let id = &worker.id;
                        self.violations
                            .push(format!("{task} run {run} does not fit on {id}"));
                    }
                }
                outcome
            }
            Order::Stop { task, run, .. } => {
                worker.stop(*task, *run);
                StartOutcome::Started { received_ms: 0 }
            }
            _ => StartOutcome::Malformed,
        }
    }

    pub fn deliver_late(&mut self) {
        let now_ms = self.now_ms();
        let due: Vec<Late> = self
            .late
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .map(|(_, late)| late)
            .collect();
        for late in due {
            match late {
                Late::Order(index, born_unix_ms, order, term, lease) => {
                    let worker = &self.site.workers[index];
                    if worker.up && worker.born_unix_ms == born_unix_ms {
                        self.carry_out(index, &order, term, lease);
                    }
                }
                _ if self.planner_back_ms.is_some() => {}
                Late::Report(key, address, report) => self.apply_report(key, &address, report),
                Late::StartOutcome(order, outcome) => {
                    let outcome = match outcome {
                        StartOutcome::Started { .. } => StartOutcome::Started {
                            received_ms: now_ms,
                        },
                        outcome => outcome,
                    };
                    self.site.harness.report_start_outcome(&order, outcome);
                }
                Late::StopOutcome(order, outcome) => {
                    let outcome = match outcome {
                        StopOutcome::Taken { sent_ms, .. } => StopOutcome::Taken {
                            sent_ms,
                            received_ms: now_ms,
                        },
                        outcome => outcome,
                    };
                    if let Order::Stop {
                        task_key: Some(key),
                        run,
                        ..
                    } = order
                    {
                        let planner = &mut self.site.harness.planner;
                        planner.apply_stop_outcome(key, run, outcome, now_ms);
                    }
                }
            }
        }
    }
}
