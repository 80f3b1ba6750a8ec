//! Identifiers of jobs, tasks and runs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The number of hexadecimal digits of a job's identifier.
const JOB_ID_DIGITS: usize = 16;

/// Says that a text is not the name of a job or task.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a {expected}")]
pub struct ParseIdError {
    /// What was read.
    pub text: String,
    /// What it should have been.
    pub expected: &'static str,
}

impl ParseIdError {
    fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.to_owned(),
            expected,
        }
    }
}

/// The identifier of a job, chosen by its caller: 16 hexadecimal digits.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ParseIdError::new(text, "job identifier of 16 lower-case hex digits");
        let lower = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(lower) {
            return Err(malformed());
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| malformed())
    }
}

/// The identifier of a task: its job, occurrence, step and place in the step.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The occurrence of a recurring job, from 0; 0 for any other job.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The place in the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ParseIdError::new(text, "task name JOB.OCCURRENCE.STEP.INDEX");
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(malformed)?.parse()?;
        let mut number = || -> Result<u32, ParseIdError> {
            let part = parts.next().ok_or_else(malformed)?;
            part.parse().map_err(|_| malformed())
        };
        let key = Self {
            job,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        match parts.next() {
            None => Ok(key),
            Some(_) => Err(malformed()),
        }
    }
}

/// The number of a run of a task; later runs have higher numbers.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RunNumber(pub u64);

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One run of one task.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunKey {
    /// The task.
    pub task: TaskKey,
    /// Which of its runs.
    pub number: RunNumber,
}

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}
