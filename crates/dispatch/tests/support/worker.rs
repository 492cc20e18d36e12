//! Model of a worker: leases with terms and expiry, and tickets with fences.

use std::collections::{BTreeMap, BTreeSet};

use model::prelude::*;

/// A lease that the modelled worker has granted.
#[derive(Debug, Clone)]
pub struct Lease {
    pub view: LeaseView,
    pub expires_ms: u64,
    pub stops_ms: Option<u64>,
    pub run_from_ms: u64,
}

/// A modelled worker.
#[derive(Debug, Clone)]
pub struct Worker {
    pub up: bool,
    pub paused: bool,
    pub leaving: bool,
    pub prepare_fails: bool,
    pub boot: u64,
    /// Run time of each task.
    pub run_ms: u64,
    /// Highest planner term that it has seen.
    pub highest: PlannerTerm,
    pub leases: BTreeMap<LeaseId, Lease>,
    /// Former leases, and how their tasks ended if they had started.
    pub gone: BTreeMap<LeaseId, Option<TaskEnd>>,
    pub ended: Vec<EndedTask>,
    pub fenced: BTreeSet<(NodeName, Incarnation)>,
    pub tickets: BTreeMap<Ticket, WorkId>,
}

impl Worker {
    pub fn new(run_ms: u64) -> Self {
        Self {
            up: true,
            paused: false,
            leaving: false,
            prepare_fails: false,
            boot: 1,
            run_ms,
            highest: PlannerTerm::default(),
            leases: BTreeMap::new(),
            gone: BTreeMap::new(),
            ended: Vec::new(),
            fenced: BTreeSet::new(),
            tickets: BTreeMap::new(),
        }
    }

    /// Loses all state and restarts with a new boot.
    pub fn reboot(&mut self) {
        *self = Self {
            boot: self.boot + 1,
            ..Self::new(self.run_ms)
        };
    }

    pub fn is_active(&self) -> bool {
        self.up && !self.paused
    }

    pub fn next_event_ms(&self) -> Option<u64> {
        let ends = |l: &Lease| {
            let finish_ms = (l.view.state == LeaseState::Running)
                .then_some(l.run_from_ms.saturating_add(self.run_ms));
            let times = [Some(l.expires_ms), l.stops_ms, finish_ms];
            times.into_iter().flatten().min()
        };
        self.leases.values().filter_map(ends).min()
    }

    /// Ends the leases that have expired or whose tasks have finished or been stopped.
    pub fn advance(&mut self, now_ms: u64) {
        let run_ms = self.run_ms;
        let end_of = |l: &Lease| {
            let running = l.view.state == LeaseState::Running;
            if running && now_ms >= l.run_from_ms.saturating_add(run_ms) {
                Some(TaskEnd::Finished)
            } else if l.stops_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                Some(TaskEnd::Stopped)
            } else {
                (now_ms >= l.expires_ms).then_some(TaskEnd::Expired)
            }
        };
        let ends = self.leases.iter();
        let ends: Vec<_> = ends.filter_map(|(id, l)| Some((*id, end_of(l)?))).collect();
        for (lease, end) in ends {
            self.end(lease, end);
        }
    }

    /// Ends a lease; a task that had started is added to the ended tasks.
    pub fn end(&mut self, lease: LeaseId, end: TaskEnd) {
        let Some(ended) = self.leases.remove(&lease) else {
            self.gone.entry(lease).or_insert(None);
            return;
        };
        let started = matches!(ended.view.state, LeaseState::Running | LeaseState::Stopping);
        self.gone.insert(lease, started.then_some(end));
        if started {
            let LeaseView { job, member, .. } = ended.view;
            self.ended.push(EndedTask {
                lease,
                job,
                member,
                end,
            });
        }
    }

    pub fn inventory(&self, now_ms: u64) -> Inventory {
        let view = |l: &Lease| LeaseView {
            remaining_ms: l.expires_ms.saturating_sub(now_ms),
            run_ms: now_ms.saturating_sub(l.run_from_ms),
            ..l.view.clone()
        };
        Inventory {
            boot: self.boot,
            highest_term: self.highest,
            leaving: self.leaving,
            accelerators: 8,
            slots: 8,
            connections_max: 64,
            leases: self.leases.values().map(view).collect(),
            ended: self.ended.clone(),
        }
    }

    pub fn apply(&mut self, now_ms: u64, command: &LeaseCommand) -> LeaseReply {
        if command.term < self.highest {
            return refused(LeaseRefusal::OldTerm {
                highest: self.highest,
            });
        }
        self.highest = command.term;
        let lease = command.lease;
        if let (LeaseOp::Reserve { .. }, false) = (&command.op, self.is_known(lease)) {
            return self.reserve(now_ms, lease, &command.op);
        }
        if command.op == LeaseOp::Return {
            self.end(lease, TaskEnd::Stopped);
        }
        match self.change(now_ms, lease, &command.op) {
            Ok(()) => self.state_of(lease),
            Err(why) => refused(why),
        }
    }

    fn is_known(&self, lease: LeaseId) -> bool {
        self.leases.contains_key(&lease) || self.gone.contains_key(&lease)
    }

    fn state_of(&self, lease: LeaseId) -> LeaseReply {
        let checkpoint_permille = 0;
        match self.leases.get(&lease) {
            Some(held) => LeaseReply::Granted {
                state: held.view.state,
                checkpoint_permille,
            },
            None => {
                let end = self.gone.get(&lease).copied().flatten();
                LeaseReply::Gone {
                    end,
                    checkpoint_permille,
                }
            }
        }
    }

    fn change(&mut self, now_ms: u64, lease: LeaseId, op: &LeaseOp) -> Result<(), LeaseRefusal> {
        let prepare_fails = self.prepare_fails;
        let Some(held) = self.leases.get_mut(&lease) else {
            return Ok(());
        };
        match (op, held.view.state) {
            (LeaseOp::Prepare, LeaseState::Reserved) if prepare_fails => {
                return Err(LeaseRefusal::PrepareFailed);
            }
            (LeaseOp::Prepare, LeaseState::Reserved) => held.view.state = LeaseState::Prepared,
            (LeaseOp::Release, LeaseState::Prepared) => {
                held.view.state = LeaseState::Running;
                held.run_from_ms = now_ms;
            }
            (LeaseOp::Release, LeaseState::Reserved) => return Err(LeaseRefusal::WrongState),
            (LeaseOp::Renew { duration_ms }, _) => held.expires_ms = now_ms + duration_ms,
            (LeaseOp::Stop { grace_ms }, _) => {
                let until_ms = now_ms + grace_ms;
                held.stops_ms = Some(held.stops_ms.map_or(until_ms, |at_ms| at_ms.min(until_ms)));
                if held.view.state == LeaseState::Running {
                    held.view.state = LeaseState::Stopping;
                }
                self.advance(now_ms);
            }
            _ => {}
        }
        Ok(())
    }

    fn reserve(&mut self, now_ms: u64, lease: LeaseId, op: &LeaseOp) -> LeaseReply {
        let LeaseOp::Reserve {
            job,
            member,
            members,
            accelerators,
            duration_ms,
            spec,
        } = op
        else {
            return refused(LeaseRefusal::WrongState);
        };
        if self.leaving {
            return refused(LeaseRefusal::Leaving);
        }
        let held = |l: &Lease| l.view.accelerators.overlaps(*accelerators);
        if self.leases.values().any(held) {
            return refused(LeaseRefusal::AcceleratorHeld);
        }
        let view = LeaseView {
            lease,
            job: job.clone(),
            member: *member,
            members: *members,
            accelerators: *accelerators,
            state: LeaseState::Reserved,
            remaining_ms: 0,
            run_ms: 0,
            checkpoint_permille: 0,
            spec: spec.clone(),
        };
        let expires_ms = now_ms + duration_ms;
        let held = Lease {
            view,
            expires_ms,
            stops_ms: None,
            run_from_ms: now_ms,
        };
        self.leases.insert(lease, held);
        self.state_of(lease)
    }
}

fn refused(why: LeaseRefusal) -> LeaseReply {
    LeaseReply::Refused { why }
}
