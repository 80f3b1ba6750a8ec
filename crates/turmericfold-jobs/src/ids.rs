//! Identifiers of jobs, tasks and runs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The number of hexadecimal digits in the text form of a [`JobId`].
const JOB_ID_DIGITS: usize = 16;

/// The error of parsing the identifier of a job or task.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a {expected}")]
pub struct ParseIdError {
    /// The text that could not be parsed.
    pub text: String,
    /// The expected format.
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

/// The identifier of a job, chosen by its caller.
///
/// Its text form has 16 lower-case hexadecimal digits.
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
        let is_lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(is_lower_hex) {
            return Err(malformed());
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| malformed())
    }
}

/// The identifier of a task.
///
/// Its text form is `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The number of the occurrence, from 0; always 0 if the job does not recur.
    pub occurrence: u32,
    /// The number of the step, from 0.
    pub step: u32,
    /// The index of the task within its step, from 0.
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

/// The number of a run of a task; later runs of a task have higher numbers.
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

/// The identifier of a run: its task and its number.
///
/// Its text form is `TASK#NUMBER`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunKey {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub number: RunNumber,
}

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}
