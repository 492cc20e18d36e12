//! What came of orders: starts and stops that were taken, refused, or got no answer.

use crate::group::{Phase, UnitKey};
use crate::orders::{StartOutcome, StopOutcome};
use crate::planner::Planner;
use crate::worker::WorkerKey;

/// A worker that turned an order away gets none for this long.
const AFTER_TURNED_AWAY_MS: u64 = 300;

impl Planner {
    /// What came of a start.
    pub fn take_start(&mut self, key: UnitKey, run: u32, outcome: StartOutcome, now_ms: u64) {
        self.changed = true;
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        let Phase::Starting { worker, doubted } = unit.phase else {
            return;
        };
        if unit.run != run {
            return;
        }
        match outcome {
            StartOutcome::Started { received_ms } => self.confirm_start(key, worker, received_ms),
            StartOutcome::NoAnswer => {
                unit.phase = Phase::Starting {
                    worker,
                    doubted: true,
                };
                self.counts.unanswered += 1;
                self.push_start(key, worker, true);
            }
            StartOutcome::OlderTerm => self.deposed = true,
            StartOutcome::OtherLife => self.drop_life(worker, "another life answers", now_ms),
            _ => self.take_refused_start(key, worker, doubted, outcome, now_ms),
        }
    }

    fn confirm_start(&mut self, key: UnitKey, worker: WorkerKey, received_ms: u64) {
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        unit.phase = Phase::Running {
            worker,
            confirmed_ms: received_ms,
        };
        unit.started_ms = received_ms;
        unit.progressed_ms = received_ms;
        let job = &self.jobs[key.group.job];
        let first = job
            .groups
            .iter()
            .flat_map(|g| g.units.iter())
            .filter(|u| u.started_ms > 0)
            .count()
            == 1;
        if first {
            self.first_start_ms
                .push(received_ms.saturating_sub(job.known_ms));
        }
    }

    /// A worker refused a start: it runs elsewhere, unless an earlier call may still be carried out.
    fn take_refused_start(
        &mut self,
        key: UnitKey,
        worker: WorkerKey,
        doubted: bool,
        why: StartOutcome,
        now_ms: u64,
    ) {
        self.counts.refused += 1;
        let id = self.jobs[key.group.job].stored.id;
        let name = self
            .workers
            .get(worker)
            .map_or_else(String::new, |w| w.entry.id.clone());
        self.decide(
            Some(id),
            "start refused",
            format!("worker {name}: {why:?}, doubted: {doubted}"),
        );
        if doubted || why == StartOutcome::OldRun {
            return self.push_stop(key, worker, false, now_ms);
        }
        if why == StartOutcome::NoTicket {
            self.jobs[key.group.job].groups[key.group.group as usize]
                .tickets
                .forget(worker);
        }
        if let Some(unit) = self.unit_mut(key) {
            unit.avoid = Some(worker);
            unit.not_before_ms = now_ms + AFTER_TURNED_AWAY_MS;
        }
        if why == StartOutcome::Unhealthy
            && let Some(worker) = self.workers.get_mut(worker)
        {
            worker.health.quarantine(now_ms);
        }
        self.clear(key, Phase::Waiting, now_ms);
        if self.is_gang(key.group) {
            self.dissolve_gang(key.group, now_ms);
        }
    }

    /// What came of a stop.
    pub fn take_stop(&mut self, key: UnitKey, run: u32, outcome: StopOutcome, now_ms: u64) {
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        let Phase::Stopping {
            worker,
            confirmed_ms: None,
        } = unit.phase
        else {
            return;
        };
        if unit.run != run {
            return;
        }
        match outcome {
            StopOutcome::Taken { received_ms } => {
                unit.phase = Phase::Stopping {
                    worker,
                    confirmed_ms: Some(received_ms),
                };
            }
            StopOutcome::OlderTerm => self.deposed = true,
            StopOutcome::OtherLife => self.drop_life(worker, "another life answers", now_ms),
            StopOutcome::NoAnswer => {
                self.counts.unanswered += 1;
                self.push_stop(key, worker, true, now_ms);
            }
        }
    }
}
