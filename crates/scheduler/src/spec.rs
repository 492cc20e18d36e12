//! What a caller asks for: steps of tasks, checked.

use std::ops::{Add, AddAssign, SubAssign};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The most tasks that one step may have.
const MAX_TASKS_PER_STEP: u32 = 4_096;

/// The most steps, and the most occurrences, of one job.
const MAX_STEPS: usize = 256;

/// The longest text that a job carries, in bytes; the platform's page names the figure.
const MAX_TEXT_BYTES: usize = 4_000;

/// Why a job cannot be taken as it is.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SpecError {
    /// There is nothing to run.
    #[error("steps: a job has 1 to {MAX_STEPS} steps")]
    Steps,
    /// A step without tasks, or with too many.
    #[error("steps[{0}].count: a step has 1 to {MAX_TASKS_PER_STEP} tasks")]
    Count(usize),
    /// A step that waits for itself, or for a later one.
    #[error("steps[{0}].after: {1} is not an earlier step")]
    After(usize, u32),
    /// The text is too long.
    #[error("spec: longer than {MAX_TEXT_BYTES} bytes")]
    Text,
}

/// Room on a worker, or what a task needs of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Need {
    /// Thousandths of a processor core.
    pub cpu_millis: i64,
    /// Memory, in megabytes.
    pub memory_mb: i64,
    /// Accelerators.
    pub accelerators: i64,
}

impl Need {
    /// Whether this fits into `room`.
    pub fn fits(&self, available: &Need) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// What is left of this room without `other`; may be below zero.
    pub fn minus(&self, other: &Need) -> Need {
        let mut left = *self;
        left -= *other;
        left
    }
}

impl AddAssign for Need {
    fn add_assign(&mut self, other: Need) {
        self.cpu_millis += other.cpu_millis;
        self.memory_mb += other.memory_mb;
        self.accelerators += other.accelerators;
    }
}

impl Add for Need {
    type Output = Need;

    fn add(mut self, other: Need) -> Need {
        self += other;
        self
    }
}

impl SubAssign for Need {
    fn sub_assign(&mut self, other: Need) {
        self.cpu_millis -= other.cpu_millis;
        self.memory_mb -= other.memory_mb;
        self.accelerators -= other.accelerators;
    }
}

/// One step of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u32,
    /// What each task needs.
    pub need: Need,
    /// Roughly how long a task runs, as the caller believes.
    pub estimate_ms: u64,
    /// Steps that have to be done first.
    pub after: Vec<u32>,
    /// Whether its tasks save their progress.
    pub saves_progress: bool,
    /// Whether its tasks run only together.
    pub gang: bool,
    /// Whether its tasks are slower when they run on more than one rack.
    pub one_rack: bool,
    /// A label that the worker must have.
    pub required_label: Option<String>,
    /// The rack that holds its data.
    pub data_rack: Option<String>,
    /// The most tasks of the step on one worker; 0 for any number.
    pub most_per_worker: u32,
    /// Whether several copies of a task may run.
    pub copies_allowed: bool,
    /// Whether its tasks run until the job is cancelled.
    pub lasting: bool,
    /// What its tasks run.
    pub image: Option<String>,
    /// The response-time tail that its tasks have to keep, if they serve users.
    pub latency_target_ms: Option<u64>,
    /// Whether its tasks run on processor time that others leave.
    pub fills: bool,
    /// How many tasks may be away at once by the system's doing; none given: no such bound.
    pub most_away: Option<u32>,
}

/// When the steps of a job run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Timing {
    /// How many times; 0 for once, at once.
    pub times: u32,
    /// When the first is due, in Unix milliseconds.
    pub start_at_unix_ms: u64,
    /// The time between two.
    pub interval_ms: u64,
}

impl Timing {
    /// How many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// When occurrence `k` is due, in Unix milliseconds; 0 for at once.
    pub fn due_unix_ms(&self, k: u32) -> u64 {
        match self.times {
            0 => 0,
            _ => self.start_at_unix_ms + u64::from(k) * self.interval_ms,
        }
    }
}

/// A job as handed in, checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Handed to each task as it is.
    pub text: String,
    /// What to run.
    pub steps: Vec<StepSpec>,
    /// When to run it.
    #[serde(default)]
    pub timing: Timing,
}

impl JobRequest {
    /// Checks what a caller asks for.
    pub fn check(
        text: String,
        steps: Vec<StepSpec>,
        timing: Timing,
    ) -> Result<JobRequest, SpecError> {
        if steps.is_empty() || steps.len() > MAX_STEPS || timing.times as usize > MAX_STEPS {
            return Err(SpecError::Steps);
        }
        if text.len() > MAX_TEXT_BYTES {
            return Err(SpecError::Text);
        }
        for (index, step) in steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS_PER_STEP {
                return Err(SpecError::Count(index));
            }
            if let Some(late) = step.after.iter().find(|after| **after as usize >= index) {
                return Err(SpecError::After(index, *late));
            }
        }
        Ok(JobRequest {
            text,
            steps,
            timing,
        })
    }
}
