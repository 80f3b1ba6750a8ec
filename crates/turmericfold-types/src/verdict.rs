//! The verdict on a request: whether it may have run.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Whether a request has run, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request certainly did not run; anyone may retry it.
    NotRun,
    /// The request may have run; only an idempotent one may be retried.
    MayHaveRun,
    /// The request ran and was answered.
    Ran,
}

impl Verdict {
    /// Returns the verdict as written in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not_run" => Ok(Self::NotRun),
            "may_have_run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            other => Err(format!(
                "`{other}` is not a verdict; use `not_run`, `may_have_run` or `ran`"
            )),
        }
    }
}
