//! The request of a caller: steps of tasks, their resources and timing, with the checks on them.

use std::ops::{Add, AddAssign, SubAssign};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The most tasks of one step.
const MAX_TASKS_PER_STEP: u32 = 4_096;

/// The most steps, and the most occurrences, of one job.
const MAX_STEPS: usize = 256;

/// The longest text of a job, in bytes; a limit of the platform.
const MAX_TEXT_BYTES: usize = 4_000;

/// Why a job request is invalid.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SpecError {
    /// The job has no steps, too many steps or too many occurrences.
    #[error("steps: a job has 1 to {MAX_STEPS} steps")]
    Steps,
    /// The step has no tasks, or too many.
    #[error("steps[{0}].count: a step has 1 to {MAX_TASKS_PER_STEP} tasks")]
    Count(usize),
    /// The step depends on itself or on a later step.
    #[error("steps[{0}].after: {1} is not an earlier step")]
    After(usize, u32),
    /// A task of the step needs less than nothing, or more than any worker has.
    #[error("steps[{0}]: a task needs 0 to {max} of each resource", max = Resources::MAX)]
    Need(usize),
    /// The text is too long.
    #[error("spec: longer than {MAX_TEXT_BYTES} bytes")]
    Text,
}

/// Resources that a worker has, or that a task needs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: i64,
    /// Memory, in megabytes.
    pub memory_mb: i64,
    /// Number of accelerators.
    pub accelerators: i64,
}

impl Resources {
    /// The most of each resource that a worker can have or a task can need, so that sums over many do not overflow.
    const MAX: i64 = 1_000_000_000;

    /// Returns whether a worker can have, or a task can need, these resources.
    pub fn is_valid(&self) -> bool {
        [self.cpu_millis, self.memory_mb, self.accelerators]
            .iter()
            .all(|amount| (0..=Resources::MAX).contains(amount))
    }

    /// Returns whether a task with these resources fits into the `available` ones.
    pub fn fits(&self, available: &Resources) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Returns these resources minus `other`; components may be negative.
    pub fn minus(&self, other: &Resources) -> Resources {
        let mut left = *self;
        left -= *other;
        left
    }

    /// Returns the resources of this many such tasks.
    pub(crate) fn times(&self, count: i64) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpu_millis += other.cpu_millis;
        self.memory_mb += other.memory_mb;
        self.accelerators += other.accelerators;
    }
}

impl Add for Resources {
    type Output = Resources;

    fn add(mut self, other: Resources) -> Resources {
        self += other;
        self
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        self.cpu_millis -= other.cpu_millis;
        self.memory_mb -= other.memory_mb;
        self.accelerators -= other.accelerators;
    }
}

/// One step of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub need: Resources,
    /// Estimated run time of a task, as given by the caller.
    pub estimate_ms: u64,
    /// Indexes of earlier steps that have to be done first.
    pub after: Vec<u32>,
    /// Whether its tasks save their progress.
    pub saves_progress: bool,
    /// Whether its tasks are a gang, which runs only as a whole.
    pub gang: bool,
    /// Whether its tasks run slower when they are spread over several racks.
    pub one_rack: bool,
    /// A label that the worker must have.
    pub required_label: Option<String>,
    /// The rack that holds its data; tasks run slower elsewhere.
    pub data_rack: Option<String>,
    /// The most tasks of the step on one worker; 0 for no limit.
    pub most_per_worker: u32,
    /// Whether several copies of a task may run at the same time.
    pub copies_allowed: bool,
    /// Whether its tasks run until the job is cancelled.
    pub lasting: bool,
    /// The image that its tasks run.
    pub image: Option<String>,
    /// Target of the tail response time, in milliseconds, for tasks that serve users.
    pub latency_target_ms: Option<u64>,
    /// Whether its tasks are fillers, which run on processor time that other tasks leave unused.
    pub fills: bool,
    /// The most tasks that the scheduler may have stopped at the same time; none for no limit.
    pub most_away: Option<u32>,
}

/// When the steps of a job run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Timing {
    /// Number of occurrences; 0 for one that starts immediately.
    pub times: u32,
    /// When the first occurrence is due, in Unix milliseconds.
    pub start_at_unix_ms: u64,
    /// Time between two occurrences.
    pub interval_ms: u64,
}

impl Timing {
    /// Returns the number of times that the steps run; at least 1.
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// Returns when occurrence `k` is due, in Unix milliseconds; 0 for immediately.
    pub fn due_unix_ms(&self, k: u32) -> u64 {
        match self.times {
            0 => 0,
            _ => self
                .start_at_unix_ms
                .saturating_add(self.interval_ms.saturating_mul(u64::from(k))),
        }
    }
}

/// A submitted job that passed the checks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "UncheckedRequest")]
pub struct JobRequest {
    /// Text that each task gets unchanged.
    pub text: String,
    /// The steps to run.
    pub steps: Vec<StepSpec>,
    /// When to run them.
    pub timing: Timing,
}

/// A request as stored, before it is checked.
#[derive(Debug, Deserialize)]
struct UncheckedRequest {
    text: String,
    steps: Vec<StepSpec>,
    #[serde(default)]
    timing: Timing,
}

impl TryFrom<UncheckedRequest> for JobRequest {
    type Error = SpecError;

    fn try_from(unchecked: UncheckedRequest) -> Result<JobRequest, SpecError> {
        JobRequest::check(unchecked.text, unchecked.steps, unchecked.timing)
    }
}

impl JobRequest {
    /// Checks the parts of a submission and builds the request.
    ///
    /// Fails with the first [`SpecError`] found.
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
            if !step.need.is_valid() {
                return Err(SpecError::Need(index));
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
