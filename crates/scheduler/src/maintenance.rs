//! Waves of upkeep: which machine goes down next, without more being down than the wave allows.

use std::collections::HashMap;

use crate::group::TaskKey;
use crate::planner::Planner;

/// A machine, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Whether it is up.
    pub up: bool,
    /// The id of its worker, if it has one.
    pub worker: Option<String>,
}

/// Upkeep that the operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpkeepWave {
    /// Its number.
    pub number: u64,
    /// The machines that are to have their upkeep.
    pub machines: Vec<String>,
    /// The most of them that may be down at one time.
    pub most_down: usize,
}

/// What came of taking a machine down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpkeepOutcome {
    /// It is down for its upkeep, or had it before.
    Begun,
    /// It is not up, or leaves.
    Busy,
    /// It is not of that wave.
    NotOfWave,
    /// The platform has no such machine.
    NoSuchMachine,
    /// A later planner has ordered something for it.
    OlderTerm,
}

/// Where a machine of a wave stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The call was sent; whether it was carried out is not known.
    Requested,
    /// Down, or already up again if `back`.
    Begun { returned: bool },
    /// It has gone for good.
    Gone,
}

/// How far a wave has come.
#[derive(Debug)]
pub struct WaveProgress {
    wave: UpkeepWave,
    stages: HashMap<String, Stage>,
    /// The worker that each machine was when it was taken down.
    workers_before: HashMap<String, Option<String>>,
}

impl WaveProgress {
    /// A wave of which nothing is known; machines that had their upkeep are found so when they are asked again.
    pub fn new(wave: UpkeepWave) -> WaveProgress {
        WaveProgress {
            wave,
            stages: HashMap::new(),
            workers_before: HashMap::new(),
        }
    }

    /// The wave.
    pub fn wave(&self) -> &UpkeepWave {
        &self.wave
    }

    /// Takes in the platform's list: machines that are up again with another worker no longer count as down.
    pub fn take_list(&mut self, machines: &[Machine]) {
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

    /// The next machines to take down; a call whose outcome is not known is made again and counts as down.
    pub fn choose(&mut self, machines: &[Machine]) -> Vec<String> {
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

    /// What came of taking a machine down; none if there was no answer.
    pub fn note(&mut self, machine: &str, outcome: Option<UpkeepOutcome>) {
        match outcome {
            Some(UpkeepOutcome::Begun) => {
                self.stages
                    .insert(machine.to_string(), Stage::Begun { returned: false });
            }
            Some(UpkeepOutcome::NoSuchMachine | UpkeepOutcome::NotOfWave) => {
                self.stages.insert(machine.to_string(), Stage::Gone);
            }
            Some(UpkeepOutcome::Busy) => {
                self.stages.remove(machine);
            }
            Some(UpkeepOutcome::OlderTerm) | None => {}
        }
    }

    /// Whether every machine that stays has begun its upkeep.
    pub fn is_completed(&self) -> bool {
        self.wave
            .machines
            .iter()
            .all(|m| matches!(self.stages.get(m), Some(Stage::Begun { .. } | Stage::Gone)))
    }
}

impl Planner {
    /// Gives a worker no new work and stops what runs there, since its machine is to go down; returns how many tasks
    /// still take its room.
    pub fn empty_worker(&mut self, id: &str, now_ms: u64) -> usize {
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
