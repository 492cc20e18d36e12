//! Maintenance waves: chooses the machines to take down next, never more at the same time than the wave allows.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::group::TaskKey;
use crate::planner::Planner;

/// A machine in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Whether it is up.
    pub up: bool,
    /// The id of its worker, if it has one.
    pub worker: Option<String>,
}

/// A maintenance wave requested by the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Number of the wave.
    pub number: u64,
    /// Names of the machines in the wave.
    pub machines: Vec<String>,
    /// The most of them that may be down at the same time.
    pub most_down: usize,
}

/// The outcome of taking a machine down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceOutcome {
    /// The machine is down for maintenance, or has already had it.
    Begun,
    /// The machine is not up, or it is leaving.
    Busy,
    /// The machine is not in the wave.
    NotOfWave,
    /// The platform has no such machine.
    NoSuchMachine,
    /// A later planner has given an order for the machine.
    OlderTerm,
    /// The platform did nothing.
    NotDone,
}

/// The stored progress of a machine in a wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineProgress {
    /// It is to be taken down, and the order may have been sent.
    Requested {
        /// The worker that was on it before.
        worker: Option<String>,
    },
    /// Its maintenance has begun.
    Begun {
        /// The worker that was on it before.
        worker: Option<String>,
    },
    /// It no longer exists, or it is not in the wave.
    Gone,
}

/// The stored progress of a wave: of each machine that a planner has decided about.
pub type WaveRecord = BTreeMap<String, MachineProgress>;

/// A machine to be taken down now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChosenMachine {
    /// Its name.
    pub name: String,
    /// The worker to be emptied before; none if the machine may have had its maintenance since it was last emptied.
    pub drain: Option<String>,
}

/// How long after the answer to an order a list must have been asked for, to show that the machine is up again under
/// the worker that it had.
const LIST_DELAY_MS: u64 = 1_000;

/// How long a machine must be missing in the list before it is asked for by name.
const MISSING_MS: u64 = 2_000;

/// How long a worker is kept empty while the order for its machine cannot be given.
const CLOSED_AT_MOST_MS: u64 = 3_000;

/// How long to wait before the order is given again after that, or after a machine was busy; doubles with each refusal.
const RETRY_PAUSE_MS: u64 = 2_000;

/// The most doublings of that pause.
const MAX_DOUBLINGS: u32 = 3;

/// The progress of a machine in a wave.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// It is to be taken down.
    Requested {
        worker: Option<String>,
        /// Whether an order may have been carried out without an answer.
        unanswered: bool,
        /// Since when its worker gets no new work.
        closed_ms: u64,
        /// Its worker works on until then.
        retry_ms: u64,
    },
    /// It was busy, and works on until then.
    Postponed { until_ms: u64 },
    /// Its maintenance has begun; `returned` if it is up again.
    Begun {
        worker: Option<String>,
        answered_ms: u64,
        returned: bool,
    },
    /// The machine no longer exists, or it is not in the wave.
    Gone,
}

/// The progress of a wave.
#[derive(Debug)]
pub struct WaveProgress {
    wave: MaintenanceWave,
    stages: HashMap<String, Stage>,
    /// Since when the list has not named a machine.
    missing_since_ms: HashMap<String, u64>,
    /// How often a machine was busy.
    refusals: HashMap<String, u32>,
}

impl WaveProgress {
    /// Continues a wave from what earlier planners have stored; an order that they stored may have been carried out.
    pub fn restore(wave: MaintenanceWave, record: WaveRecord, now_ms: u64) -> WaveProgress {
        let stages = record.into_iter().map(|(name, progress)| {
            let stage = match progress {
                MachineProgress::Requested { worker } => Stage::Requested {
                    worker,
                    unanswered: true,
                    closed_ms: now_ms,
                    retry_ms: 0,
                },
                MachineProgress::Begun { worker } => Stage::Begun {
                    worker,
                    answered_ms: now_ms,
                    returned: false,
                },
                MachineProgress::Gone => Stage::Gone,
            };
            (name, stage)
        });
        WaveProgress {
            stages: stages.collect(),
            wave,
            missing_since_ms: HashMap::new(),
            refusals: HashMap::new(),
        }
    }

    /// Returns a wave that the store says is completed.
    pub fn completed(wave: MaintenanceWave) -> WaveProgress {
        let stage = Stage::Begun {
            worker: None,
            answered_ms: 0,
            returned: true,
        };
        let stages = wave
            .machines
            .iter()
            .map(|name| (name.clone(), stage.clone()));
        WaveProgress {
            stages: stages.collect(),
            wave,
            missing_since_ms: HashMap::new(),
            refusals: HashMap::new(),
        }
    }

    /// Applies the wave as the operator requests it now.
    pub fn update(&mut self, wave: MaintenanceWave) {
        self.wave = wave;
    }

    /// Returns the wave as the operator requested it.
    pub fn wave(&self) -> &MaintenanceWave {
        &self.wave
    }

    /// Returns the progress to store.
    pub fn record(&self) -> WaveRecord {
        self.stages
            .iter()
            .filter_map(|(name, stage)| {
                let progress = match stage {
                    Stage::Requested { worker, .. } => MachineProgress::Requested {
                        worker: worker.clone(),
                    },
                    Stage::Begun { worker, .. } => MachineProgress::Begun {
                        worker: worker.clone(),
                    },
                    Stage::Gone => MachineProgress::Gone,
                    Stage::Postponed { .. } => return None,
                };
                Some((name.clone(), progress))
            })
            .collect()
    }

    /// Applies the platform's list, which was asked for at `asked_ms`: a machine that is up again no longer counts as
    /// down. If its worker is the one that it had, it had its maintenance before the order.
    pub fn apply_machine_list(&mut self, machines: &[Machine], asked_ms: u64) {
        let listed: HashMap<&str, &Machine> =
            machines.iter().map(|m| (m.name.as_str(), m)).collect();
        for name in &self.wave.machines {
            let Some(machine) = listed.get(name.as_str()) else {
                self.missing_since_ms
                    .entry(name.clone())
                    .or_insert(asked_ms);
                continue;
            };
            self.missing_since_ms.remove(name);
            if let Some(Stage::Begun {
                worker,
                answered_ms,
                returned,
            }) = self.stages.get_mut(name)
                && machine.up
                && (*worker != machine.worker || asked_ms >= *answered_ms + LIST_DELAY_MS)
            {
                *returned = true;
            }
        }
    }

    /// Returns the next machines to take down; their record has to be stored before anything is done. An order that may
    /// have been carried out is repeated, and its machine counts as down. Machines whose worker leaves are left out.
    pub fn choose_machines(
        &mut self,
        machines: &[Machine],
        now_ms: u64,
        is_leaving: impl Fn(&str) -> bool,
    ) -> Vec<ChosenMachine> {
        let listed: HashMap<&str, &Machine> =
            machines.iter().map(|m| (m.name.as_str(), m)).collect();
        let names = self.wave.machines.clone();
        let mut chosen = Vec::new();
        for name in &names {
            chosen.extend(self.repeat_order(name, listed.get(name.as_str()).copied(), now_ms));
        }
        let down = names
            .iter()
            .filter(|name| self.counts_as_down(name, listed.get(name.as_str()).copied()));
        let remaining = self.wave.most_down.saturating_sub(down.count());
        let fresh: Vec<&String> = names
            .iter()
            .filter(|name| match self.stages.get(*name) {
                None => true,
                Some(Stage::Postponed { until_ms }) => now_ms >= *until_ms,
                Some(_) => false,
            })
            .filter(|name| match listed.get(name.as_str()) {
                Some(machine) => machine.up && !machine.worker.as_deref().is_some_and(&is_leaving),
                None => self.is_missing(name, now_ms),
            })
            .take(remaining)
            .collect();
        for name in fresh {
            let worker = listed.get(name.as_str()).and_then(|m| m.worker.clone());
            chosen.push(ChosenMachine {
                name: name.clone(),
                drain: worker.clone(),
            });
            let stage = Stage::Requested {
                worker,
                unanswered: false,
                closed_ms: now_ms,
                retry_ms: 0,
            };
            self.stages.insert(name.clone(), stage);
        }
        chosen
    }

    /// Returns a machine whose order has to be given again now.
    fn repeat_order(
        &mut self,
        name: &str,
        machine: Option<&Machine>,
        now_ms: u64,
    ) -> Option<ChosenMachine> {
        if machine.is_none() && !self.is_missing(name, now_ms) {
            return None;
        }
        let Stage::Requested {
            worker,
            unanswered,
            closed_ms,
            retry_ms,
        } = self.stages.get_mut(name)?
        else {
            return None;
        };
        if now_ms < *retry_ms || !*unanswered && machine.is_some_and(|m| !m.up) {
            return None;
        }
        if *retry_ms > 0 {
            (*closed_ms, *retry_ms) = (now_ms, 0);
        }
        let current = machine.and_then(|m| m.worker.clone());
        if !*unanswered {
            worker.clone_from(&current);
        }
        Some(ChosenMachine {
            name: name.to_string(),
            drain: worker.clone().filter(|_| *worker == current),
        })
    }

    /// Returns whether a machine counts towards the most that may be down.
    fn counts_as_down(&self, name: &str, machine: Option<&Machine>) -> bool {
        match self.stages.get(name) {
            Some(
                Stage::Requested { .. }
                | Stage::Begun {
                    returned: false, ..
                },
            ) => true,
            Some(Stage::Gone | Stage::Begun { returned: true, .. }) => false,
            Some(Stage::Postponed { .. }) | None => machine.is_some_and(|m| !m.up),
        }
    }

    /// Returns whether the list has not named a machine for so long that it may no longer exist.
    fn is_missing(&self, name: &str, now_ms: u64) -> bool {
        self.missing_since_ms
            .get(name)
            .is_some_and(|since_ms| now_ms >= since_ms + MISSING_MS)
    }

    /// Records the outcome of taking a machine down; none if the call was unanswered.
    pub fn record_outcome(
        &mut self,
        machine: &str,
        outcome: Option<MaintenanceOutcome>,
        now_ms: u64,
    ) {
        let Some(Stage::Requested {
            worker,
            unanswered,
            closed_ms,
            retry_ms,
        }) = self.stages.get_mut(machine)
        else {
            return;
        };
        match outcome {
            Some(MaintenanceOutcome::Begun) => {
                let stage = Stage::Begun {
                    worker: worker.take(),
                    answered_ms: now_ms,
                    returned: false,
                };
                self.stages.insert(machine.to_string(), stage);
            }
            Some(MaintenanceOutcome::NoSuchMachine | MaintenanceOutcome::NotOfWave) => {
                self.stages.insert(machine.to_string(), Stage::Gone);
            }
            Some(MaintenanceOutcome::Busy) if *unanswered => *retry_ms = now_ms + RETRY_PAUSE_MS,
            Some(MaintenanceOutcome::Busy) => self.postpone(machine, now_ms),
            Some(MaintenanceOutcome::OlderTerm) => {}
            Some(MaintenanceOutcome::NotDone) | None => {
                *unanswered |= outcome.is_none();
                if now_ms >= *closed_ms + CLOSED_AT_MOST_MS {
                    *retry_ms = now_ms + RETRY_PAUSE_MS;
                }
            }
        }
    }

    fn postpone(&mut self, machine: &str, now_ms: u64) {
        let refusals = self.refusals.entry(machine.to_string()).or_default();
        let pause_ms = RETRY_PAUSE_MS << (*refusals).min(MAX_DOUBLINGS);
        *refusals += 1;
        let stage = Stage::Postponed {
            until_ms: now_ms + pause_ms,
        };
        self.stages.insert(machine.to_string(), stage);
    }

    /// Returns the workers that get no new work for the sake of this wave.
    pub fn closed_workers(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        self.stages.values().filter_map(move |stage| match stage {
            Stage::Requested {
                worker, retry_ms, ..
            } if now_ms >= *retry_ms => worker.as_deref(),
            Stage::Begun {
                worker,
                returned: false,
                ..
            } => worker.as_deref(),
            _ => None,
        })
    }

    /// Returns whether every machine that still exists has begun its maintenance.
    pub fn is_completed(&self) -> bool {
        self.wave
            .machines
            .iter()
            .all(|m| matches!(self.stages.get(m), Some(Stage::Begun { .. } | Stage::Gone)))
    }
}

impl Planner {
    /// Drains a worker whose machine goes down: it gets no new work and its tasks are stopped, those of a step with a
    /// limit on unavailable tasks as far as the limit allows, and all others after them. Returns the number of tasks and
    /// orphaned runs that still occupy its capacity; 0 for an unknown worker.
    pub fn drain_worker(&mut self, id: &str, now_ms: u64) -> usize {
        let Some(key) = self.by_id.get(id).copied() else {
            return 0;
        };
        let Some(worker) = self.workers.get_mut(key) else {
            return 0;
        };
        worker.draining = true;
        let mut tasks: Vec<TaskKey> = worker.tasks.keys().copied().collect();
        tasks.sort_unstable();
        let (limited, others): (Vec<TaskKey>, Vec<TaskKey>) = tasks
            .into_iter()
            .partition(|task| self.is_limited(task.group));
        for task in limited {
            if self.works(task) && self.may_end(task, now_ms) {
                self.stop_with_gang(task, now_ms);
            }
        }
        // The other work goes on as long as the machine cannot go down.
        let others = match self.is_kept_up(id) {
            true => Vec::new(),
            false => others,
        };
        for task in &others {
            let gang = self.is_gang(task.group);
            self.stop_task(*task, now_ms);
            if gang {
                self.tear_down_gang(task.group, now_ms);
            }
        }
        self.workers
            .get(key)
            .map_or(0, |w| w.tasks.len() + w.orphaned_runs.len())
    }

    /// Returns whether a worker runs tasks that may not be ended before others of their step are at work again.
    pub fn is_kept_up(&self, id: &str) -> bool {
        let worker = self.by_id.get(id).and_then(|key| self.workers.get(*key));
        let tasks = worker.into_iter().flat_map(|worker| worker.tasks.keys());
        tasks
            .filter(|task| self.works(**task))
            .any(|task| self.is_limited(task.group))
    }

    /// Lets all drained workers work again but those with these ids.
    pub fn keep_draining(&mut self, ids: &HashSet<&str>) {
        for worker in self.workers.values_mut().filter(|w| w.draining) {
            if !ids.contains(worker.entry.id.as_str()) {
                worker.draining = false;
                self.changed = true;
            }
        }
    }

    /// Returns whether a worker has announced that it leaves.
    pub fn is_leaving(&self, id: &str) -> bool {
        let worker = self.by_id.get(id).and_then(|key| self.workers.get(*key));
        worker.is_some_and(|worker| worker.entry.leaving)
    }
}
