//! Maintenance waves: chooses the machines to take down next, never more at the same time than the wave allows.

use std::collections::HashMap;

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
}

/// The progress of a machine in a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The call was sent; its outcome is unknown.
    Requested,
    /// The machine went down; `returned` if it is up again.
    Begun { returned: bool },
    /// The machine no longer exists, or it is not in the wave.
    Gone,
}

/// The progress of a wave.
#[derive(Debug)]
pub struct WaveProgress {
    wave: MaintenanceWave,
    stages: HashMap<String, Stage>,
    /// The worker on each machine when it was taken down.
    workers_before: HashMap<String, Option<String>>,
}

impl WaveProgress {
    /// Starts a wave without knowledge of its progress; machines that had their maintenance report so when they are
    /// ordered down again.
    pub fn new(wave: MaintenanceWave) -> WaveProgress {
        WaveProgress {
            wave,
            stages: HashMap::new(),
            workers_before: HashMap::new(),
        }
    }

    /// Returns the wave as the operator requested it.
    pub fn wave(&self) -> &MaintenanceWave {
        &self.wave
    }

    /// Applies the platform's list: a machine that is up again with another worker no longer counts as down.
    pub fn apply_machine_list(&mut self, machines: &[Machine]) {
        let listed: HashMap<&str, &Machine> =
            machines.iter().map(|m| (m.name.as_str(), m)).collect();
        for name in &self.wave.machines {
            match (self.stages.get(name), listed.get(name.as_str())) {
                (_, None) if !machines.is_empty() => {
                    self.stages.insert(name.clone(), Stage::Gone);
                }
                (Some(Stage::Begun { returned: false }), Some(machine))
                    if machine.up && self.workers_before.get(name) != Some(&machine.worker) =>
                {
                    self.stages
                        .insert(name.clone(), Stage::Begun { returned: true });
                }
                _ => {}
            }
        }
    }

    /// Returns the next machines to take down. A call whose outcome is unknown is repeated, and its machine counts as
    /// down.
    pub fn choose_machines(&mut self, machines: &[Machine]) -> Vec<String> {
        let mut chosen: Vec<String> = self
            .wave
            .machines
            .iter()
            .filter(|m| self.stages.get(*m) == Some(&Stage::Requested))
            .cloned()
            .collect();
        let known_down = |name: &str| machines.iter().any(|m| m.name == name && !m.up);
        let down = |stage: Option<&Stage>, name: &str| match stage {
            Some(Stage::Requested | Stage::Begun { returned: false }) => true,
            Some(Stage::Gone | Stage::Begun { returned: true }) => false,
            None => known_down(name),
        };
        let count = self
            .wave
            .machines
            .iter()
            .filter(|m| down(self.stages.get(*m), m))
            .count();
        let remaining = self.wave.most_down.saturating_sub(count);
        let fresh: Vec<String> = self
            .wave
            .machines
            .iter()
            .filter(|name| !self.stages.contains_key(*name))
            .filter(|name| machines.iter().any(|m| &m.name == *name && m.up))
            .take(remaining)
            .cloned()
            .collect();
        for name in fresh {
            let worker = machines
                .iter()
                .find(|m| m.name == name)
                .and_then(|m| m.worker.clone());
            self.workers_before.insert(name.clone(), worker);
            self.stages.insert(name.clone(), Stage::Requested);
            chosen.push(name);
        }
        chosen
    }

    /// Records the outcome of taking a machine down; none if the call was unanswered.
    pub fn record_outcome(&mut self, machine: &str, outcome: Option<MaintenanceOutcome>) {
        match outcome {
            Some(MaintenanceOutcome::Begun) => {
                self.stages
                    .insert(machine.to_string(), Stage::Begun { returned: false });
            }
            Some(MaintenanceOutcome::NoSuchMachine | MaintenanceOutcome::NotOfWave) => {
                self.stages.insert(machine.to_string(), Stage::Gone);
            }
            Some(MaintenanceOutcome::Busy) => {
                self.stages.remove(machine);
            }
            Some(MaintenanceOutcome::OlderTerm) | None => {}
        }
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
    /// Drains a worker whose machine goes down: it gets no new work and its tasks are stopped. Returns the number of
    /// tasks and orphaned runs that still occupy its capacity; 0 for an unknown worker.
    pub fn drain_worker(&mut self, id: &str, now_ms: u64) -> usize {
        let Some(key) = self.by_id.get(id).copied() else {
            return 0;
        };
        let Some(worker) = self.workers.get_mut(key) else {
            return 0;
        };
        worker.draining = true;
        let tasks: Vec<TaskKey> = worker.tasks.keys().copied().collect();
        for task in &tasks {
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
}
