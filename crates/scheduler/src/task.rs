//! Names of jobs and tasks, and their text form.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a name cannot be parsed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum NameError {
    /// A job id is not 16 lower-case hexadecimal digits.
    #[error("a job's id is 16 lower-case hexadecimal digits")]
    JobId,
    /// A task name does not have the form `ID.OCCURRENCE.STEP.INDEX`.
    #[error("a task's name has the form ID.OCCURRENCE.STEP.INDEX")]
    Task,
    /// The name of a hand-over does not have the form `TERM-NUMBER`.
    #[error("the name of a hand-over has the form TERM-NUMBER")]
    HandOver,
}

/// Identifier of a job, chosen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(u64);

impl From<u64> for JobId {
    fn from(number: u64) -> JobId {
        JobId(number)
    }
}

impl FromStr for JobId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let digits =
            text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if !digits {
            return Err(NameError::JobId);
        }
        u64::from_str_radix(text, 16)
            .map(JobId)
            .map_err(|_| NameError::JobId)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Name of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// Occurrence of the job's steps; 0 for a job that runs once.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u32,
    /// Index of the task in the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.occurrence, self.step, self.index
        )
    }
}

impl FromStr for TaskName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let mut parts = text.split('.');
        let job = parts.next().and_then(|p| p.parse().ok());
        let mut number = || parts.next().and_then(|p| p.parse::<u32>().ok());
        let (occurrence, step, index) = (number(), number(), number());
        match (job, occurrence, step, index, parts.next()) {
            (Some(job), Some(occurrence), Some(step), Some(index), None) => Ok(TaskName {
                job,
                occurrence,
                step,
                index,
            }),
            _ => Err(NameError::Task),
        }
    }
}

impl From<TaskName> for String {
    fn from(name: TaskName) -> String {
        name.to_string()
    }
}

impl TryFrom<String> for TaskName {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}
